/* Requests that crash backend servers, and notices between entries. */
#include "hf-quarantine.h"

#include "hf-members.h"

/* --- internal functions --- */

static struct hf_suspect *
find_suspect (const struct hf_state *state, uint64_t fingerprint)
{
  return g_hash_table_lookup (state->suspects, &fingerprint);
}

static struct hf_suspect *
add_suspect (struct hf_state *state, uint64_t fingerprint)
{
  struct hf_suspect *suspect = g_new0 (struct hf_suspect, 1);
  suspect->fingerprint = fingerprint;
  suspect->first_at = state->now;
  g_hash_table_insert (state->suspects, &suspect->fingerprint, suspect);
  return suspect;
}

static bool
has_struck (const struct hf_suspect *suspect, uint64_t server)
{
  for (unsigned i = 0; i < suspect->strikes; i++)
    if (suspect->servers[i] == server)
      return true;
  return false;
}

static void
notice_leaving (struct hf_state *state, const struct hf_rpc_notice *notice, bool leaving)
{
  struct hf_service_state *service = hf_state_service (state, notice->subject);
  unsigned hold_ms = MIN (notice->hold_ms, HF_LEAVING_HOLD_MS);
  if (!service)
    return;
  if (leaving)
    hf_state_note_leaving (state, service, notice->id, HF_LEAVING_PEER, state->now + hold_ms * HF_MS, "another entry");
  else
    hf_pool_set_leaving (&service->pool, notice->id, HF_LEAVING_SEEN, false, 0);
}

/* --- public functions --- */

bool
hf_quarantine_holds (const struct hf_state *state, uint64_t fingerprint)
{
  const struct hf_suspect *suspect = find_suspect (state, fingerprint);
  return suspect && suspect->until > state->now;
}

void
hf_quarantine_strike (struct hf_state *state, uint64_t fingerprint, uint64_t server, bool tell)
{
  struct hf_suspect *suspect = find_suspect (state, fingerprint);
  if (!suspect)
    suspect = add_suspect (state, fingerprint);
  if (tell)
    hf_quarantine_tell (state, HF_NOTICE_STRIKE, fingerprint, server, HF_STRIKE_WINDOW_SEC * 1000);
  if (suspect->strikes < HF_STRIKES_MAX && !has_struck (suspect, server))
    suspect->servers[suspect->strikes++] = server;
  if (suspect->strikes < HF_STRIKES_MAX || suspect->until > state->now)
    return;
  suspect->until = state->now + HF_QUARANTINE_SEC * HF_SEC;
  hf_state_log (state, HF_LOG_QUARANTINED,
                "request %016" G_GINT64_MODIFIER "x broke %d backend servers; held back for %d s",
                (guint64) fingerprint, HF_STRIKES_MAX, HF_QUARANTINE_SEC);
}

void
hf_quarantine_clear (struct hf_state *state, uint64_t fingerprint)
{
  if (!g_hash_table_remove (state->suspects, &fingerprint))
    return;
  hf_quarantine_tell (state, HF_NOTICE_CLEAR, fingerprint, 0, 0);
}

void
hf_quarantine_expire (struct hf_state *state)
{
  GHashTableIter iter;
  struct hf_suspect *suspect;
  g_hash_table_iter_init (&iter, state->suspects);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &suspect))
    if (suspect->until <= state->now && state->now - suspect->first_at > HF_STRIKE_WINDOW_SEC * HF_SEC)
      g_hash_table_iter_remove (&iter);
}

void
hf_quarantine_tell (struct hf_state *state, enum hf_notice_kind kind, uint64_t subject, uint64_t id, unsigned hold_ms)
{
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_NOTICE } };
  message.body.hf_rpc_body_u.notice
      = (struct hf_rpc_notice){ .kind = kind, .subject = subject, .id = id, .hold_ms = hold_ms };
  for (size_t i = 0; i < state->members->len; i++)
    {
      const struct hf_member *member = g_ptr_array_index (state->members, i);
      if (!member->silent)
        hf_state_send_to (state, member->address, message);
    }
}

void
hf_quarantine_message (struct hf_state *state, const struct hf_event *event)
{
  const struct hf_rpc_notice *notice = &event->peer.message->body.hf_rpc_body_u.notice;
  if (notice->kind == HF_NOTICE_LEAVING)
    notice_leaving (state, notice, true);
  else if (notice->kind == HF_NOTICE_STAYING)
    notice_leaving (state, notice, false);
  else if (notice->kind == HF_NOTICE_STRIKE)
    hf_quarantine_strike (state, notice->subject, notice->id, false);
  else if (notice->kind == HF_NOTICE_CLEAR)
    g_hash_table_remove (state->suspects, &notice->subject);
}
