/* Quarantine of requests that crash backend servers; notices between entries. */
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
  suspect->first_crash_at = state->now;
  g_hash_table_insert (state->suspects, &suspect->fingerprint, suspect);
  return suspect;
}

static bool
has_crashed_server (const struct hf_suspect *suspect, uint64_t server)
{
  for (unsigned i = 0; i < suspect->crash_count; i++)
    if (suspect->crashed_servers[i] == server)
      return true;
  return false;
}

static void
apply_draining_notice (struct hf_state *state, const struct hf_rpc_notice *notice, bool draining)
{
  struct hf_service_state *service = hf_state_find_service (state, notice->subject);
  unsigned hold_ms = MIN (notice->hold_ms, HF_DRAIN_HOLD_MS);
  if (!service)
    return;
  if (draining)
    hf_state_mark_draining (state, service, notice->id, HF_DRAIN_PEER, state->now + hold_ms * HF_MS, "another entry");
  else
    hf_pool_set_draining (&service->pool, notice->id, HF_DRAIN_TEMPORARY, false, 0);
}

/* --- public functions --- */

bool
hf_quarantine_is_active (const struct hf_state *state, uint64_t fingerprint)
{
  const struct hf_suspect *suspect = find_suspect (state, fingerprint);
  return suspect && suspect->quarantined_until > state->now;
}

void
hf_quarantine_record_crash (struct hf_state *state, uint64_t fingerprint, uint64_t server, bool broadcast)
{
  struct hf_suspect *suspect = find_suspect (state, fingerprint);
  if (!suspect)
    suspect = add_suspect (state, fingerprint);
  if (broadcast)
    hf_quarantine_broadcast (state, HF_NOTICE_CRASH, fingerprint, server, HF_CRASH_WINDOW_SEC * 1000);
  if (suspect->crash_count < HF_CRASHES_MAX && !has_crashed_server (suspect, server))
    suspect->crashed_servers[suspect->crash_count++] = server;
  if (suspect->crash_count < HF_CRASHES_MAX || suspect->quarantined_until > state->now)
    return;
  suspect->quarantined_until = state->now + HF_QUARANTINE_SEC * HF_SEC;
  hf_state_log (state, HF_LOG_REQUEST_QUARANTINED,
                "request %016" G_GINT64_MODIFIER "x crashed %d backend servers; refusing it for %d s",
                (guint64) fingerprint, HF_CRASHES_MAX, HF_QUARANTINE_SEC);
}

void
hf_quarantine_clear (struct hf_state *state, uint64_t fingerprint)
{
  if (!g_hash_table_remove (state->suspects, &fingerprint))
    return;
  hf_quarantine_broadcast (state, HF_NOTICE_CLEAR, fingerprint, 0, 0);
}

void
hf_quarantine_expire (struct hf_state *state)
{
  GHashTableIter iter;
  struct hf_suspect *suspect;
  g_hash_table_iter_init (&iter, state->suspects);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &suspect))
    if (suspect->quarantined_until <= state->now && state->now - suspect->first_crash_at > HF_CRASH_WINDOW_SEC * HF_SEC)
      g_hash_table_iter_remove (&iter);
}

void
hf_quarantine_broadcast (struct hf_state *state,
                         enum hf_notice_kind kind,
                         uint64_t subject,
                         uint64_t id,
                         unsigned hold_ms)
{
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_NOTICE } };
  message.body.hf_rpc_body_u.notice
      = (struct hf_rpc_notice){ .kind = kind, .subject = subject, .id = id, .hold_ms = hold_ms };
  for (size_t i = 0; i < state->members->len; i++)
    {
      const struct hf_member *member = g_ptr_array_index (state->members, i);
      if (!member->timed_out)
        hf_state_send_to_address (state, member->address, message);
    }
}

void
hf_quarantine_handle_notice (struct hf_state *state, const struct hf_event *event)
{
  const struct hf_rpc_notice *notice = &event->peer.message->body.hf_rpc_body_u.notice;
  if (notice->kind == HF_NOTICE_DRAINING)
    apply_draining_notice (state, notice, true);
  else if (notice->kind == HF_NOTICE_NOT_DRAINING)
    apply_draining_notice (state, notice, false);
  else if (notice->kind == HF_NOTICE_CRASH)
    hf_quarantine_record_crash (state, notice->subject, notice->id, false);
  else if (notice->kind == HF_NOTICE_CLEAR)
    g_hash_table_remove (state->suspects, &notice->subject);
}
