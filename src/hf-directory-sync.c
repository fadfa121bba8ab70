/* The directory, passed on from entry to entry. */
#include "hf-directory-sync.h"

#include "hf-directory.h"
#include "hf-members.h"
#include "hf-roles.h"
#include "hf-config-sync.h"

/* --- types --- */

/* A backend server that changed, and when. */
struct hf_relay_change
{
  uint64_t revision; /* 0: not known yet */
  struct hf_str server;
};

/* Reports of one message to come, which live with the effects. */
struct reports
{
  struct hf_state *state;
  GArray *items; /* hf_rpc_report */
};

/* --- internal functions: history --- */

static void
clear_change (void *data)
{
  struct hf_relay_change *change = data;
  hf_str_free (&change->server);
}

static struct hf_relay_change *
change_at (const struct hf_relay *relay, guint i)
{
  return &g_array_index (relay->changes, struct hf_relay_change, i);
}

static void
forget_oldest (struct hf_relay *relay)
{
  if (relay->changes->len <= HF_RELAY_CHANGES_MAX)
    return;
  guint surplus = relay->changes->len - HF_RELAY_CHANGES_MAX;
  relay->since = MAX (relay->since, change_at (relay, surplus - 1)->revision);
  g_array_remove_range (relay->changes, 0, surplus);
}

/* --- internal functions: reports --- */

static void
add_report (void *context, const struct hf_server_report *report)
{
  struct reports *reports = context;
  struct hf_effects *out = reports->state->out;
  struct hf_str name = hf_effects_keep (out, report->name);
  struct hf_str service = hf_effects_keep (out, report->service);
  struct hf_str address = hf_effects_keep (out, report->address);
  struct hf_str domain = hf_effects_keep (out, report->failure_domain);
  if (name.len > HF_RPC_NAME_MAX || service.len > HF_RPC_NAME_MAX || address.len > HF_RPC_NAME_MAX
      || domain.len > HF_RPC_NAME_MAX)
    return;
  hf_rpc_report item = { .name = { (u_int) name.len, (char *) name.data },
                         .service = { (u_int) service.len, (char *) service.data },
                         .address = { (u_int) address.len, (char *) address.data },
                         .failure_domain = { (u_int) domain.len, (char *) domain.data },
                         .slots = report->slots,
                         .incarnation = report->incarnation,
                         .cold_ms = (unsigned) report->cold_ms,
                         .leaving = report->leaving,
                         .gone = report->gone,
                         .keep_ms = (unsigned) report->keep_ms };
  g_array_append_val (reports->items, item);
}

static struct hf_server_report
read_report (const hf_rpc_report *item)
{
  return (struct hf_server_report){ .name = { item->name.name_val, item->name.name_len },
                                    .service = { item->service.service_val, item->service.service_len },
                                    .address = { item->address.address_val, item->address.address_len },
                                    .failure_domain = { item->failure_domain.failure_domain_val,
                                                        item->failure_domain.failure_domain_len },
                                    .slots = item->slots,
                                    .incarnation = item->incarnation,
                                    .cold_ms = item->cold_ms,
                                    .leaving = item->leaving,
                                    .gone = item->gone,
                                    .keep_ms = item->keep_ms };
}

static bool
is_named_later (const struct hf_relay *relay, guint i)
{
  for (guint later = i + 1; later < relay->changes->len; later++)
    if (hf_str_equal (change_at (relay, later)->server, change_at (relay, i)->server))
      return true;
  return false;
}

static void
collect_changes (struct reports *reports, uint64_t from)
{
  const struct hf_relay *relay = &reports->state->relay;
  for (guint i = 0; i < relay->changes->len; i++)
    {
      const struct hf_relay_change *change = change_at (relay, i);
      if (change->revision <= from || is_named_later (relay, i))
        continue;
      struct hf_server_report report = hf_directory_look (reports->state, change->server);
      add_report (reports, &report);
    }
}

/* --- internal functions: sending --- */

static struct hf_rpc_message
make_message (const struct hf_state *state, uint64_t from, bool whole)
{
  const struct hf_directory *directory = &state->directory;
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_DIRECTORY } };
  message.body.hf_rpc_body_u.directory = (struct hf_rpc_directory){
    .from = from,
    .to = directory->revision,
    .whole = whole,
    .blind = directory->blind_until > state->now,
    .age_ms = (unsigned) CLAMP ((state->now - directory->fresh_at) / HF_MS, 0, G_MAXUINT32),
    .generation = state->document ? state->document->generation : 0,
    .digest = state->document ? state->document->digest : 0,
  };
  return message;
}

/* Watchers tell one another, too: the watch of one may hang unnoticed. */
static bool
is_follower (const struct hf_state *state, const struct hf_member *member)
{
  return member->failure_domain == hf_hash (state->failure_domain, 0) && !member->silent;
}

static void
send_to_followers (struct hf_state *state, const struct hf_rpc_message *message)
{
  for (guint i = 0; i < state->members->len; i++)
    {
      const struct hf_member *member = g_ptr_array_index (state->members, i);
      if (is_follower (state, member))
        hf_state_send_to (state, member->address, *message);
    }
}

/* The datagrams of one message, to @address, or, if that is empty, to all followers. */
static void
send_reports (struct hf_state *state, struct hf_str address, uint64_t from, bool whole, const GArray *items)
{
  struct hf_rpc_message message = make_message (state, from, whole);
  struct hf_rpc_directory *directory = &message.body.hf_rpc_body_u.directory;
  hf_rpc_report *all = hf_effects_alloc (state->out, (items->len + 1) * sizeof *all);
  for (guint i = 0; i < items->len; i++)
    all[i] = g_array_index (items, hf_rpc_report, i);
  directory->parts = MAX (1, (items->len + HF_RPC_REPORTS_MAX - 1) / HF_RPC_REPORTS_MAX);
  if (directory->parts > HF_RELAY_PARTS_MAX)
    {
      hf_state_log (state, HF_LOG_FOLLOW,
                    "%u backend servers are too many for one message; others have to ask the platform", items->len);
      return;
    }
  for (unsigned part = 0; part < directory->parts; part++)
    {
      guint begin = part * HF_RPC_REPORTS_MAX;
      directory->part = part;
      directory->reports.reports_val = all + begin;
      directory->reports.reports_len = MIN (items->len - begin, HF_RPC_REPORTS_MAX);
      if (address.len)
        hf_state_send_to (state, address, message);
      else
        send_to_followers (state, &message);
    }
}

static void
send_changes (struct hf_state *state, struct hf_str address, uint64_t from)
{
  struct reports reports = { .state = state, .items = g_array_new (FALSE, FALSE, sizeof (hf_rpc_report)) };
  bool whole = from < state->relay.since;
  if (whole)
    hf_directory_each (state, add_report, &reports);
  else
    collect_changes (&reports, from);
  send_reports (state, address, from, whole, reports.items);
  g_array_unref (reports.items);
}

static void
ask_for_changes (struct hf_state *state, struct hf_str address)
{
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_DIRECTORY_PULL } };
  message.body.hf_rpc_body_u.directory_pull = (struct hf_rpc_directory_pull){ .from = state->directory.revision };
  hf_state_send_to (state, address, message);
}

/* --- internal functions: receiving --- */

/* Two at a time would each take away what the other has told. */
static bool
may_tell_whole (const struct hf_state *state, uint64_t sender)
{
  const struct hf_relay *relay = &state->relay;
  bool is_over = state->now - relay->whole_at >= HF_RELAY_WHOLE_MS * HF_MS;
  return !state->directory.listing && (relay->whole_from == 0 || relay->whole_from == sender || is_over);
}

static void
begin_parts (struct hf_state *state, struct hf_member *member, const struct hf_rpc_directory *message)
{
  struct hf_relay *relay = &state->relay;
  bool same = member->parts.to == message->to && member->parts.whole == message->whole;
  bool goes_on = !message->whole || relay->whole_from == member->boot;
  if (same && goes_on)
    return;
  member->parts = (struct hf_relay_parts){ .to = message->to, .whole = message->whole };
  if (!message->whole)
    return;
  relay->whole_from = member->boot;
  relay->whole_at = state->now;
  hf_directory_begin_list (state);
}

static void
end_parts (struct hf_state *state, struct hf_member *member)
{
  struct hf_relay_parts parts = member->parts;
  member->parts = (struct hf_relay_parts){ 0 };
  if (parts.whole)
    {
      state->relay.whole_from = 0;
      hf_directory_end_list (state);
    }
  hf_directory_settle (state);
  hf_relay_advance (state, parts.to, parts.whole);
}

static void
take_part (struct hf_state *state, struct hf_member *member, const struct hf_rpc_directory *message)
{
  if (message->parts == 0 || message->parts > HF_RELAY_PARTS_MAX || message->part >= message->parts)
    return;
  if (message->whole && !may_tell_whole (state, member->boot))
    return;
  begin_parts (state, member, message);
  for (u_int i = 0; i < message->reports.reports_len; i++)
    {
      struct hf_server_report report = read_report (&message->reports.reports_val[i]);
      hf_directory_report (state, &report);
    }
  member->parts.seen |= 1ULL << message->part;
  uint64_t all = message->parts == HF_RELAY_PARTS_MAX ? UINT64_MAX : (1ULL << message->parts) - 1;
  if (member->parts.seen == all)
    end_parts (state, member);
}

static void
note_behind (struct hf_state *state, struct hf_str address)
{
  struct hf_relay *relay = &state->relay;
  if (relay->behind_since == 0)
    relay->behind_since = state->now;
  if (state->now - relay->behind_since < HF_RELAY_BEHIND_MS * HF_MS)
    return;
  relay->behind_since = state->now;
  ask_for_changes (state, address);
}

static void
take_directory (struct hf_state *state, struct hf_member *member, const struct hf_rpc_directory *message)
{
  struct hf_directory *directory = &state->directory;
  state->roles.changed = state->roles.changed || member->blind != (bool) message->blind;
  member->blind = message->blind;
  member->generation = message->generation;
  member->digest = message->digest;
  hf_sync_peer (state, member);
  bool is_news = message->to > directory->revision;
  if (is_news && (message->whole || message->from <= directory->revision))
    take_part (state, member, message);
  if (directory->revision < message->to)
    {
      note_behind (state, member->address);
      return;
    }
  state->relay.behind_since = 0;
  if (!message->blind)
    directory->fresh_at = MAX (directory->fresh_at, state->now - message->age_ms * HF_MS);
}

/* --- internal functions: who follows the platform --- */

/* After an outage for all the watchers are back soon, too. */
static bool
was_away (const struct hf_state *state)
{
  int64_t regained_at = state->directory.regained_at;
  return regained_at > 0 && state->now - regained_at < HF_BLIND_MS * HF_MS;
}

static enum hf_follow
wanted (const struct hf_state *state)
{
  const struct hf_relay *relay = &state->relay;
  bool fresh = state->now - state->directory.fresh_at < HF_RELAY_FRESH_MS * HF_MS;
  int64_t wait_ms = was_away (state) ? HF_RELAY_AWAY_MS : HF_RELAY_WAIT_MS;
  bool waited = relay->answers_since > 0 && state->now - relay->answers_since >= wait_ms * HF_MS;
  bool settled = state->now - state->roles.watches_since >= HF_RELAY_SETTLE_MS * HF_MS;
  if (state->roles.watches && (settled || relay->follow == HF_FOLLOW_ON))
    return HF_FOLLOW_ON;
  if (relay->follow == HF_FOLLOW_ON && state->now < relay->follow_until)
    return HF_FOLLOW_ON;
  if (fresh)
    return HF_FOLLOW_OFF;
  return waited ? HF_FOLLOW_ON : HF_FOLLOW_PROBE;
}

static void
follow (struct hf_state *state, enum hf_follow how)
{
  static const char *const texts[] = { [HF_FOLLOW_OFF] = "watchers tell what changes",
                                       [HF_FOLLOW_PROBE] = "no watcher says anything current",
                                       [HF_FOLLOW_ON] = "this entry follows the platform" };
  struct hf_relay *relay = &state->relay;
  if (relay->follow == how)
    return;
  relay->follow = how;
  relay->answers_since = 0;
  relay->follow_until = state->roles.watches ? 0 : state->now + HF_RELAY_HOLD_MS * HF_MS;
  hf_state_log (state, HF_LOG_FOLLOW, "%s; revision %" G_GUINT64_FORMAT, texts[how],
                (guint64) state->directory.revision);
  hf_effects_add (state->out,
                  (struct hf_effect){ .kind = HF_EFFECT_FOLLOW, .follow = how, .revision = state->directory.revision });
}

/* --- public functions --- */

void
hf_relay_init (struct hf_relay *relay)
{
  *relay = (struct hf_relay){ .changes = g_array_new (FALSE, FALSE, sizeof (struct hf_relay_change)) };
  g_array_set_clear_func (relay->changes, clear_change);
}

void
hf_relay_close (struct hf_relay *relay)
{
  g_array_unref (relay->changes);
}

void
hf_relay_changed (struct hf_state *state, struct hf_str server)
{
  struct hf_relay_change change = { .server = hf_str_dup (server) };
  g_array_append_val (state->relay.changes, change);
}

void
hf_relay_advance (struct hf_state *state, uint64_t revision, bool list)
{
  struct hf_relay *relay = &state->relay;
  uint64_t before = relay->changed;
  bool changed = false;
  for (guint i = relay->changes->len; i-- > 0 && change_at (relay, i)->revision == 0;)
    {
      change_at (relay, i)->revision = revision;
      changed = true;
    }
  if (list)
    {
      g_array_set_size (relay->changes, 0);
      relay->since = revision;
    }
  if (changed || list)
    relay->changed = revision;
  forget_oldest (relay);
  state->directory.revision = revision;
  if (!state->roles.watches || !changed)
    return;
  if (list)
    hf_relay_tell (state);
  else
    send_changes (state, (struct hf_str){ 0 }, before);
  relay->told_at = state->now;
}

void
hf_relay_tell (struct hf_state *state)
{
  if (!state->external || !state->roles.watches || !state->directory.complete)
    return;
  struct hf_rpc_message message = make_message (state, state->relay.changed, false);
  message.body.hf_rpc_body_u.directory.parts = 1;
  send_to_followers (state, &message);
  state->relay.told_at = state->now;
}

/* The watches of a whole failure domain may hang unnoticed. */
void
hf_relay_heard (struct hf_state *state, const struct hf_member *member, uint64_t changed)
{
  struct hf_relay *relay = &state->relay;
  uint64_t revision = state->directory.revision;
  if (!state->external || !state->directory.complete || changed <= revision)
    return;
  if (relay->elsewhere <= revision)
    relay->elsewhere_since = state->now;
  relay->elsewhere = MAX (relay->elsewhere, changed);
  if (state->now - relay->elsewhere_since < HF_RELAY_ELSEWHERE_MS * HF_MS)
    return;
  relay->elsewhere_since = state->now;
  ask_for_changes (state, member->address);
}

void
hf_relay_tick (struct hf_state *state)
{
  struct hf_directory *directory = &state->directory;
  if (!state->external || !directory->entries_complete)
    return;
  if (directory->blind_until > 0 && directory->blind_until <= state->now)
    {
      directory->blind_until = 0;
      hf_roles_update (state);
    }
  follow (state, wanted (state));
  if (state->now - state->relay.told_at >= HF_RELAY_BEAT_MS * HF_MS)
    hf_relay_tell (state);
}

void
hf_relay_message (struct hf_state *state, const struct hf_event *event)
{
  const struct hf_rpc_message *message = event->peer.message;
  struct hf_member *member = hf_members_find (state, message->boot);
  if (message->body.kind == HF_RPC_DIRECTORY && member && state->external)
    take_directory (state, member, &message->body.hf_rpc_body_u.directory);
  else if (message->body.kind == HF_RPC_DIRECTORY_PULL && state->directory.complete)
    send_changes (state, event->peer.address, message->body.hf_rpc_body_u.directory_pull.from);
}
