/* Directory changes exchanged between entries, and whether this entry watches the platform itself. */
#include "hf-directory-sync.h"

#include "hf-directory.h"
#include "hf-roles.h"
#include "hf-revocation.h"
#include "hf-wire.h"

/* --- types --- */

/* A backend server that changed, and the revision of the change. */
struct hf_directory_change
{
  uint64_t revision; /* 0: not known until the next advance */
  struct hf_str server;
};

/* Reports collected for one update. Their strings are owned by the list of effects. */
struct report_list
{
  struct hf_state *state;
  GArray *items; /* hf_rpc_server_report */
};

/* --- internal functions: history --- */

static void
clear_change (void *data)
{
  struct hf_directory_change *change = data;
  hf_str_free (&change->server);
}

static struct hf_directory_change *
change_at (const struct hf_directory_sync *sync, guint i)
{
  return &g_array_index (sync->changes, struct hf_directory_change, i);
}

static void
trim_changes (struct hf_directory_sync *sync)
{
  if (sync->changes->len <= HF_DIRECTORY_SYNC_CHANGES_MAX)
    return;
  guint surplus = sync->changes->len - HF_DIRECTORY_SYNC_CHANGES_MAX;
  sync->changes_since = MAX (sync->changes_since, change_at (sync, surplus - 1)->revision);
  g_array_remove_range (sync->changes, 0, surplus);
}

static bool
is_in_gap (const struct hf_directory_sync *sync, uint64_t revision)
{
  return revision > sync->gap_begin && revision < sync->gap_end;
}

/* One gap is kept: the history before an earlier one is dropped. */
static void
note_gap (struct hf_directory_sync *sync, uint64_t begin, uint64_t end)
{
  sync->changes_since = MAX (sync->changes_since, sync->gap_end);
  sync->gap_begin = begin;
  sync->gap_end = end;
}

/* The parts that have arrived of a later update are applied, but not as changes after this position: the history begins
 * where that update leads. */
static void
drop_history_before_parts (struct hf_directory_sync *sync, struct hf_store_position position)
{
  struct hf_store_position partial = sync->partial_position;
  if (partial.era == position.era && partial.revision > position.revision)
    sync->changes_since = MAX (sync->changes_since, partial.revision);
}

/* --- internal functions: reports --- */

static void
add_report (void *context, const struct hf_server_report *report)
{
  struct report_list *reports = context;
  struct hf_effects *out = reports->state->effects;
  struct hf_str name = hf_effects_copy (out, report->name);
  struct hf_str service = hf_effects_copy (out, report->service);
  struct hf_str address = hf_effects_copy (out, report->address);
  struct hf_str domain = hf_effects_copy (out, report->failure_domain);
  if (name.len > HF_RPC_NAME_MAX || service.len > HF_RPC_NAME_MAX || address.len > HF_RPC_NAME_MAX
      || domain.len > HF_RPC_NAME_MAX)
    return;
  hf_rpc_server_report item = { .name = { (u_int) name.len, (char *) name.data },
                                .service = { (u_int) service.len, (char *) service.data },
                                .address = { (u_int) address.len, (char *) address.data },
                                .failure_domain = { (u_int) domain.len, (char *) domain.data },
                                .slots = report->slots,
                                .incarnation = report->incarnation,
                                .sequence = report->sequence,
                                .warmup_ms = (unsigned) report->warmup_ms,
                                .draining = report->draining,
                                .removed = report->removed,
                                .removal_delay_ms = (unsigned) report->removal_delay_ms };
  g_array_append_val (reports->items, item);
}

static struct hf_server_report
read_report (const hf_rpc_server_report *item)
{
  return (struct hf_server_report){ .name = { item->name.name_val, item->name.name_len },
                                    .service = { item->service.service_val, item->service.service_len },
                                    .address = { item->address.address_val, item->address.address_len },
                                    .failure_domain = { item->failure_domain.failure_domain_val,
                                                        item->failure_domain.failure_domain_len },
                                    .slots = item->slots,
                                    .incarnation = item->incarnation,
                                    .sequence = item->sequence,
                                    .warmup_ms = item->warmup_ms,
                                    .draining = item->draining,
                                    .removed = item->removed,
                                    .removal_delay_ms = item->removal_delay_ms };
}

/* A report has the current state of a server, so of several changes of one server one report is collected. */
static void
collect_changes (struct report_list *reports, uint64_t from)
{
  const struct hf_directory_sync *sync = &reports->state->directory_sync;
  GHashTable *collected = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = sync->changes->len; i-- > 0;)
    {
      struct hf_str server = change_at (sync, i)->server;
      if (change_at (sync, i)->revision <= from || !g_hash_table_add (collected, (gpointer) server.data))
        continue; /* also a change whose revision is not known yet */
      struct hf_server_report report = hf_directory_lookup (reports->state, server);
      add_report (reports, &report);
    }
  g_hash_table_destroy (collected);
}

/* --- internal functions: sending --- */

static struct hf_rpc_message
make_message (const struct hf_state *state, struct hf_store_position from, bool full)
{
  const struct hf_directory *directory = &state->directory;
  const struct hf_directory_sync *sync = &state->directory_sync;
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_DIRECTORY_UPDATE } };
  message.body.hf_rpc_body_u.directory_update = (struct hf_rpc_directory_update){
    .from = hf_wire_write_position (from),
    .from_max = !full && from.revision <= sync->gap_begin && sync->gap_end > 0 ? sync->gap_begin : 0,
    .to = hf_wire_write_position (directory->position),
    .full = full,
    .platform_unreachable = directory->platform_unreachable_until > state->now,
    .age_ms = (unsigned) CLAMP ((state->now - directory->confirmed_at) / HF_MS, 0, G_MAXUINT32),
    .generation = hf_state_generation (state),
    .digest = state->document ? state->document->digest : 0,
  };
  return message;
}

/* Followers are all other entries of this failure domain. Watchers follow each other, too, as the watch of one may hang
 * unnoticed. */
static bool
is_follower (const struct hf_state *state, const struct hf_member *member)
{
  return hf_state_is_in_own_domain (state, member) && !member->timed_out;
}

/* The watches of all watchers of another failure domain may be lost: whose watches are renewed often sends changes to
 * the watchers there, which pass them on. */
static bool
gets_changes (const struct hf_state *state, const struct hf_member *member)
{
  bool is_remote_watcher = state->roles.has_short_watches && member->is_watcher && !member->timed_out;
  return is_follower (state, member) || is_remote_watcher;
}

static void
send_to_members (struct hf_state *state,
                 const struct hf_rpc_message *message,
                 bool (*is_receiver) (const struct hf_state *state, const struct hf_member *member))
{
  for (guint i = 0; i < state->members->len; i++)
    {
      const struct hf_member *member = g_ptr_array_index (state->members, i);
      if (is_receiver (state, member))
        hf_state_send_to_address (state, member->address, *message);
    }
}

static uint64_t
digest_names (const GArray *items)
{
  uint64_t digest = 0;
  for (guint i = 0; i < items->len; i++)
    {
      const hf_rpc_server_report *report = &g_array_index (items, hf_rpc_server_report, i);
      digest = hf_hash ((struct hf_str){ report->name.name_val, report->name.name_len }, digest);
    }
  return digest;
}

/* Sends the parts of one update, one datagram each, to @address or, if that is empty, to all that get changes. */
static void
send_reports (struct hf_state *state,
              struct hf_str address,
              struct hf_store_position from,
              bool full,
              const GArray *items)
{
  struct hf_rpc_message message = make_message (state, from, full);
  struct hf_rpc_directory_update *directory = &message.body.hf_rpc_body_u.directory_update;
  hf_rpc_server_report *all = hf_effects_alloc (state->effects, (items->len + 1) * sizeof *all);
  for (guint i = 0; i < items->len; i++)
    all[i] = g_array_index (items, hf_rpc_server_report, i);
  directory->reports_digest = digest_names (items);
  directory->parts = MAX (1, (items->len + HF_RPC_REPORTS_MAX - 1) / HF_RPC_REPORTS_MAX);
  if (directory->parts > HF_DIRECTORY_SYNC_PARTS_MAX)
    {
      hf_state_log (state, HF_LOG_FOLLOW,
                    "%u backend servers are too many for one update; not sent, followers have to watch the platform",
                    items->len);
      return;
    }
  for (unsigned part = 0; part < directory->parts; part++)
    {
      guint begin = part * HF_RPC_REPORTS_MAX;
      directory->part = part;
      directory->reports.reports_val = all + begin;
      directory->reports.reports_len = MIN (items->len - begin, HF_RPC_REPORTS_MAX);
      if (address.len)
        hf_state_send_to_address (state, address, message);
      else
        send_to_members (state, &message, gets_changes);
    }
}

static void
send_changes (struct hf_state *state, struct hf_str address, struct hf_store_position from)
{
  struct report_list reports = { .state = state, .items = g_array_new (FALSE, FALSE, sizeof (hf_rpc_server_report)) };
  bool same_era = from.era == state->directory.position.era;
  bool known
      = from.revision >= state->directory_sync.changes_since && !is_in_gap (&state->directory_sync, from.revision);
  bool full = !same_era || !known;
  if (full)
    hf_directory_foreach (state, add_report, &reports);
  else
    collect_changes (&reports, from.revision);
  send_reports (state, address, from, full, reports.items);
  g_array_unref (reports.items);
}

static void
pull_changes (struct hf_state *state, struct hf_str address)
{
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_DIRECTORY_PULL } };
  message.body.hf_rpc_body_u.directory_pull
      = (struct hf_rpc_directory_pull){ .from = hf_wire_write_position (state->directory.position) };
  hf_state_send_to_address (state, address, message);
}

/* --- internal functions: receiving --- */

/* One full list at a time: the end of each of two lists would remove the servers that only the other one reported.
 * A list that is not complete within HF_DIRECTORY_SYNC_FULL_TIMEOUT_MS is replaced by another sender's. */
static bool
may_accept_full (const struct hf_state *state, uint64_t sender)
{
  const struct hf_directory_sync *sync = &state->directory_sync;
  bool timed_out = state->now - sync->full_sync_started_at >= HF_DIRECTORY_SYNC_FULL_TIMEOUT_MS * HF_MS;
  return !state->directory.listing && (sync->full_sync_from == 0 || sync->full_sync_from == sender || timed_out);
}

static void
begin_update (struct hf_state *state, struct hf_member *member, const struct hf_rpc_directory_update *message)
{
  struct hf_directory_sync *sync = &state->directory_sync;
  struct hf_store_position to = hf_wire_read_position (message->to);
  const struct hf_directory_parts *parts = &member->directory_parts;
  bool same_update = hf_store_position_compare (parts->to, to) == 0 && parts->full == message->full
                     && parts->reports_digest == message->reports_digest;
  bool continues = !message->full || sync->full_sync_from == member->boot_id;
  if (same_update && continues)
    return;
  member->directory_parts = (struct hf_directory_parts){
    .to = to, .reports_digest = message->reports_digest, .has_gap = message->from_max > 0, .full = message->full
  };
  if (!message->full)
    return;
  sync->full_sync_from = member->boot_id;
  sync->full_sync_started_at = state->now;
  hf_directory_begin_list (state);
}

static void
finish_update (struct hf_state *state, struct hf_member *member)
{
  struct hf_directory_parts parts = member->directory_parts;
  member->directory_parts = (struct hf_directory_parts){ 0 };
  if (parts.full)
    {
      state->directory_sync.full_sync_from = 0;
      hf_directory_end_list (state);
      /* The entries that matter to this one have introduced themselves by heartbeats before. */
      state->directory.entries_complete = true;
    }
  hf_directory_update_pools (state);
  if (parts.has_gap)
    note_gap (&state->directory_sync, state->directory.position.revision, parts.to.revision);
  hf_directory_sync_advance (state, parts.to, parts.full);
}

static void
apply_part (struct hf_state *state, struct hf_member *member, const struct hf_rpc_directory_update *message)
{
  if (message->parts == 0 || message->parts > HF_DIRECTORY_SYNC_PARTS_MAX || message->part >= message->parts)
    return;
  if (message->full && !may_accept_full (state, member->boot_id))
    return;
  begin_update (state, member, message);
  state->directory.update_to = hf_wire_read_position (message->to);
  if (message->parts > 1)
    state->directory_sync.partial_position
        = hf_store_position_max (state->directory_sync.partial_position, state->directory.update_to);
  for (u_int i = 0; i < message->reports.reports_len; i++)
    {
      struct hf_server_report report = read_report (&message->reports.reports_val[i]);
      hf_directory_update_server (state, &report, message->full);
    }
  member->directory_parts.received |= 1ULL << message->part;
  uint64_t all = message->parts == HF_DIRECTORY_SYNC_PARTS_MAX ? UINT64_MAX : (1ULL << message->parts) - 1;
  if (member->directory_parts.received == all)
    finish_update (state, member);
}

static void
note_lag (struct hf_state *state, struct hf_str address)
{
  struct hf_directory_sync *sync = &state->directory_sync;
  if (sync->behind_since == 0)
    sync->behind_since = state->now;
  if (state->now - sync->behind_since < HF_DIRECTORY_SYNC_LAG_MAX_MS * HF_MS)
    return;
  sync->behind_since = state->now;
  pull_changes (state, address);
}

/* Whether the update follows on this entry's directory or replaces it. Changes of another era follow on nothing here.
 */
static bool
is_applicable (const struct hf_state *state, const struct hf_rpc_directory_update *message)
{
  struct hf_store_position own = state->directory.position;
  if (hf_store_position_compare (hf_wire_read_position (message->to), own) <= 0)
    return false;
  bool same_era = message->from.era == own.era && message->to.era == own.era;
  bool follows
      = message->from.revision <= own.revision && (message->from_max == 0 || own.revision <= message->from_max);
  return message->full || (same_era && follows);
}

/* A sender that has not noticed yet that the platform came back from an older copy confirms nothing. */
static void
handle_update (struct hf_state *state, struct hf_member *member, const struct hf_rpc_directory_update *message)
{
  struct hf_directory *directory = &state->directory;
  state->roles.update_pending
      = state->roles.update_pending || member->platform_unreachable != (bool) message->platform_unreachable;
  member->platform_unreachable = message->platform_unreachable;
  member->generation = message->generation;
  member->digest = message->digest;
  hf_directory_note_era (state, message->to.era);
  if (message->to.era < directory->era)
    return;
  if (is_applicable (state, message))
    apply_part (state, member, message);
  if (hf_store_position_compare (directory->position, hf_wire_read_position (message->to)) < 0)
    {
      note_lag (state, member->address);
      return;
    }
  state->directory_sync.behind_since = 0;
  if (message->platform_unreachable)
    return;
  int64_t confirmed_at = state->now - message->age_ms * HF_MS;
  directory->confirmed_at = MAX (directory->confirmed_at, confirmed_at);
  hf_revocation_confirm_generation (state, message->generation, confirmed_at);
  if (member->is_watcher && hf_state_is_in_own_domain (state, member))
    state->directory_sync.watcher_confirmed_at = MAX (state->directory_sync.watcher_confirmed_at, confirmed_at);
}

/* One that knows a later era than this entry has no use for its list. */
static void
handle_pull (struct hf_state *state, struct hf_str address, const struct hf_rpc_directory_pull *message)
{
  hf_directory_note_era (state, message->from.era);
  if (message->from.era <= state->directory.position.era)
    send_changes (state, address, hf_wire_read_position (message->from));
}

/* The platform has not listed the directory to this entry since its start: requests all of it from another one. */
static void
pull_first_directory (struct hf_state *state, struct hf_str address)
{
  struct hf_directory_sync *sync = &state->directory_sync;
  bool waited = state->now - state->started_at >= HF_DIRECTORY_SYNC_START_WAIT_MS * HF_MS;
  if (!waited || state->now - sync->first_pull_at < HF_DIRECTORY_SYNC_FULL_TIMEOUT_MS * HF_MS)
    return;
  sync->first_pull_at = state->now;
  pull_changes (state, address);
}

/* --- internal functions: watch mode --- */

/* A watcher that loses its role goes on until the entries that take over keep this one current. */
static bool
sends_updates (const struct hf_state *state)
{
  return state->roles.is_watcher || state->directory_sync.serves_others;
}

/* True shortly after an outage of the platform. Watchers with the same outage need a little longer to send changes
 * again. */
static bool
had_outage (const struct hf_state *state)
{
  int64_t recovered_at = state->directory.recovered_at;
  return recovered_at > 0 && state->now - recovered_at < HF_PLATFORM_UNREACHABLE_MS * HF_MS;
}

static enum hf_watch_mode
wanted_watch_mode (const struct hf_state *state)
{
  const struct hf_directory_sync *sync = &state->directory_sync;
  bool is_current = state->now - state->directory.confirmed_at < HF_DIRECTORY_SYNC_AGE_MAX_MS * HF_MS;
  int64_t wait_ms = had_outage (state) ? HF_DIRECTORY_SYNC_OUTAGE_WAIT_MS : HF_DIRECTORY_SYNC_WATCHER_WAIT_MS;
  bool waited = sync->platform_reachable_since > 0 && state->now - sync->platform_reachable_since >= wait_ms * HF_MS;
  bool role_is_stable = state->now - state->roles.watcher_since >= HF_DIRECTORY_SYNC_ROLE_DELAY_MS * HF_MS;
  if (state->roles.is_watcher && (role_is_stable || sync->watch_mode == HF_WATCH_MODE_ON))
    return HF_WATCH_MODE_ON;
  bool replaced = sync->watcher_confirmed_at > state->roles.watcher_until;
  if (sync->watch_mode == HF_WATCH_MODE_ON && (state->now < sync->watch_until || (sync->serves_others && !replaced)))
    return HF_WATCH_MODE_ON;
  if (is_current)
    return HF_WATCH_MODE_OFF;
  if (waited)
    return HF_WATCH_MODE_ON;
  return state->roles.ranks_as_watcher ? HF_WATCH_MODE_AWAIT : HF_WATCH_MODE_PROBE;
}

/* A watcher waits long while others of the fleet renew their watches often. An entry that watches without the role does
 * so because it knows of no such watcher. */
static int64_t
wanted_watch_wait_ms (const struct hf_state *state)
{
  bool is_covered = state->roles.is_watcher && !state->roles.has_short_watches;
  return is_covered ? HF_STORE_WATCH_WAIT_MS : HF_STORE_WATCH_WAIT_SHORT_MS;
}

static void
log_watch_mode (struct hf_state *state, enum hf_watch_mode mode)
{
  static const char *const texts[]
      = { [HF_WATCH_MODE_OFF] = "watchers send directory changes; this entry does not watch the platform",
          [HF_WATCH_MODE_AWAIT] = "checking often whether the platform responds, to watch it then",
          [HF_WATCH_MODE_PROBE] = "no watcher sends current changes; checking whether the platform responds",
          [HF_WATCH_MODE_ON] = "this entry watches the platform's directory" };
  hf_state_log (state, HF_LOG_FOLLOW, "%s; revision %" G_GUINT64_FORMAT, texts[mode],
                (guint64) state->directory.position.revision);
}

static void
begin_watch_mode (struct hf_state *state, enum hf_watch_mode mode)
{
  struct hf_directory_sync *sync = &state->directory_sync;
  sync->watch_mode = mode;
  sync->platform_reachable_since = 0;
  sync->watch_until = state->roles.is_watcher ? 0 : state->now + HF_DIRECTORY_SYNC_WATCH_MIN_MS * HF_MS;
  log_watch_mode (state, mode);
}

/* Watchers kept this entry current and have ceased to: they may have been killed with changes that they had not sent.
 */
static bool
lacks_watchers (const struct hf_state *state, enum hf_watch_mode mode)
{
  bool is_checking = mode == HF_WATCH_MODE_PROBE || mode == HF_WATCH_MODE_AWAIT;
  return is_checking && state->directory_sync.watcher_confirmed_at > 0;
}

static void
set_watch_mode (struct hf_state *state, enum hf_watch_mode mode, int64_t wait_ms)
{
  struct hf_directory_sync *sync = &state->directory_sync;
  bool waits_otherwise = mode == HF_WATCH_MODE_ON && sync->watch_wait_ms != wait_ms;
  if (sync->watch_mode == mode && !waits_otherwise)
    return;
  if (sync->watch_mode != mode)
    begin_watch_mode (state, mode);
  sync->watch_wait_ms = wait_ms;
  hf_effects_add (state->effects, (struct hf_effect){ .kind = HF_EFFECT_SET_WATCH,
                                                      .watch_mode = mode,
                                                      .watch_wait_ms = wait_ms,
                                                      .catches_up = lacks_watchers (state, mode),
                                                      .position = state->directory.position });
}

/* --- internal functions: eras --- */

static void
report_new_era (struct hf_state *state, struct hf_store_position before)
{
  struct hf_store_position now = state->directory.position;
  hf_state_increment (state, HF_COUNT_PLATFORM_RESTORED);
  hf_state_log (state, HF_LOG_PLATFORM_RESTORED,
                "the platform came back from an older copy; the directory was in era %" G_GUINT64_FORMAT
                " at revision %" G_GUINT64_FORMAT ", it is in era %" G_GUINT64_FORMAT " at revision %" G_GUINT64_FORMAT,
                (guint64) before.era, (guint64) before.revision, (guint64) now.era, (guint64) now.revision);
}

/* --- public functions --- */

void
hf_directory_sync_handle_era (struct hf_state *state)
{
  struct hf_directory_sync *sync = &state->directory_sync;
  sync->full_sync_from = 0;
  sync->behind_since = 0;
}

void
hf_directory_sync_init (struct hf_directory_sync *sync)
{
  *sync = (struct hf_directory_sync){ .changes = g_array_new (FALSE, FALSE, sizeof (struct hf_directory_change)) };
  g_array_set_clear_func (sync->changes, clear_change);
}

void
hf_directory_sync_close (struct hf_directory_sync *sync)
{
  g_array_unref (sync->changes);
}

void
hf_directory_sync_record_change (struct hf_state *state, struct hf_str server)
{
  struct hf_directory_change change = { .server = hf_str_dup (server) };
  g_array_append_val (state->directory_sync.changes, change);
}

void
hf_directory_sync_advance (struct hf_state *state, struct hf_store_position position, bool full)
{
  struct hf_directory_sync *sync = &state->directory_sync;
  struct hf_store_position last = state->directory.position;
  struct hf_store_position before = sync->changed_position;
  bool new_era = last.revision > 0 && last.era != position.era;
  /* A list that follows on a known state shows by its differences what has changed since then. */
  bool restart = full && (last.revision == 0 || new_era || hf_store_position_compare (position, last) < 0);
  bool changed = false;
  for (guint i = sync->changes->len; i-- > 0 && change_at (sync, i)->revision == 0;)
    {
      change_at (sync, i)->revision = position.revision;
      changed = true;
    }
  if (restart)
    {
      g_array_set_size (sync->changes, 0);
      sync->changes_since = position.revision;
      sync->gap_begin = sync->gap_end = 0;
    }
  else if (full)
    note_gap (sync, last.revision, position.revision);
  drop_history_before_parts (sync, position);
  if (changed || restart)
    sync->changed_position = position;
  trim_changes (sync);
  state->directory.position = position;
  if (new_era)
    report_new_era (state, last);
  if (!sends_updates (state) || !(changed || new_era))
    return;
  if (restart)
    hf_directory_sync_announce (state);
  else
    send_changes (state, (struct hf_str){ 0 }, before);
  sync->last_sent_at = state->now;
}

void
hf_directory_sync_announce (struct hf_state *state)
{
  if (!state->external_store || !sends_updates (state) || !state->directory.complete)
    return;
  struct hf_rpc_message message = make_message (state, state->directory_sync.changed_position, false);
  message.body.hf_rpc_body_u.directory_update.parts = 1;
  send_to_members (state, &message, is_follower);
  state->directory_sync.last_sent_at = state->now;
}

/* Requests changes that other failure domains have: the watches of all watchers here may hang unnoticed. */
void
hf_directory_sync_note_position (struct hf_state *state, const struct hf_event *event)
{
  struct hf_directory_sync *sync = &state->directory_sync;
  struct hf_store_position own = state->directory.position;
  struct hf_store_position position
      = hf_wire_read_position (event->peer.message->body.hf_rpc_body_u.heartbeat.directory_position);
  if (!state->external_store || hf_store_position_compare (position, own) <= 0)
    return;
  hf_directory_note_era (state, position.era);
  if (!state->directory.complete)
    {
      pull_first_directory (state, event->peer.address);
      return;
    }
  if (hf_store_position_compare (sync->remote_position, own) <= 0)
    sync->remote_ahead_since = state->now;
  sync->remote_position = hf_store_position_max (sync->remote_position, position);
  if (state->now - sync->remote_ahead_since < HF_DIRECTORY_SYNC_REMOTE_LAG_MAX_MS * HF_MS)
    return;
  sync->remote_ahead_since = state->now;
  pull_changes (state, event->peer.address);
}

void
hf_directory_sync_tick (struct hf_state *state)
{
  struct hf_directory *directory = &state->directory;
  if (!state->external_store || !directory->entries_complete)
    return;
  if (directory->platform_unreachable_until > 0 && directory->platform_unreachable_until <= state->now)
    {
      directory->platform_unreachable_until = 0;
      hf_roles_update (state);
    }
  set_watch_mode (state, wanted_watch_mode (state), wanted_watch_wait_ms (state));
  bool watches = state->directory_sync.watch_mode == HF_WATCH_MODE_ON;
  bool responds = state->directory_sync.platform_reachable_since > 0;
  state->directory_sync.serves_others
      = watches && (state->directory_sync.serves_others || (state->roles.is_watcher && responds));
  if (state->now - state->directory_sync.last_sent_at >= HF_DIRECTORY_SYNC_INTERVAL_MS * HF_MS)
    hf_directory_sync_announce (state);
}

void
hf_directory_sync_handle_message (struct hf_state *state, const struct hf_event *event)
{
  const struct hf_rpc_message *message = event->peer.message;
  struct hf_member *member = hf_state_find_member (state, message->boot_id);
  if (message->body.kind == HF_RPC_DIRECTORY_UPDATE && member && state->external_store)
    handle_update (state, member, &message->body.hf_rpc_body_u.directory_update);
  else if (message->body.kind == HF_RPC_DIRECTORY_PULL && state->directory.complete)
    handle_pull (state, event->peer.address, &message->body.hf_rpc_body_u.directory_pull);
}
