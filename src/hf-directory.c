/* Backend servers that the platform lists, and their places in the pools. */
#include "hf-directory.h"

#include "hf-directory-sync.h"
#include "hf-evacuation-sync.h"
#include "hf-restrictions.h"
#include "hf-revocation.h"
#include "hf-slices.h"
#include "hf-slots.h"

/* --- types --- */

/* One backend server of the directory; owns the strings of its report. */
struct listed_server
{
  struct hf_server_report report;
  int64_t warmup_until;
  int64_t started_at; /* when this start of it was first reported here */
  bool stale;         /* not reported yet since the list began */
  int64_t remove_at;  /* when a delayed removal is due; 0: it is listed */
};

/* --- internal functions: memory --- */

static void
clear_listed (struct listed_server *listed)
{
  hf_str_free (&listed->report.name);
  hf_str_free (&listed->report.service);
  hf_str_free (&listed->report.address);
  hf_str_free (&listed->report.failure_domain);
}

static void
free_listed (void *data)
{
  clear_listed (data);
  g_free (data);
}

static struct listed_server *
find_listed (const struct hf_state *state, struct hf_str name)
{
  char *text = g_strndup (name.data, name.len);
  struct listed_server *listed = g_hash_table_lookup (state->directory.servers, text);
  g_free (text);
  return listed;
}

/* --- internal functions: pools --- */

/* A server whose report does not tell is taken as cold after its start where its service limits cold servers. */
static void
assume_cold (const struct hf_service_state *service, struct listed_server *listed)
{
  const struct hf_cold_limits *limits = &service->pool.cold;
  if (limits->enabled && listed->report.warmup_unknown)
    listed->warmup_until = MAX (listed->warmup_until, listed->started_at + limits->cold_us);
}

static uint64_t
failure_domain_of (const struct listed_server *listed)
{
  return listed->report.failure_domain.len ? hf_hash (listed->report.failure_domain, 0) : 0;
}

/* Adds or updates the server in the pool of its slice, and removes it from the pool of its former slice. */
static void
put_in_pool (struct hf_state *state, struct listed_server *listed)
{
  uint64_t id = hf_server_id (listed->report.service, listed->report.name);
  struct hf_service_state *service
      = hf_slices_find_by_server (state, hf_hash (listed->report.service, 0), id, failure_domain_of (listed));
  struct hf_service_state *before = g_hash_table_lookup (state->service_by_server, &id);
  if (before && before != service)
    hf_pool_remove_server (&before->pool, id);
  if (!service)
    return;
  assume_cold (service, listed);
  struct hf_pool_listing listing = { .spec = { .name = listed->report.name,
                                               .address = listed->report.address,
                                               .failure_domain = listed->report.failure_domain,
                                               .slots = listed->report.slots },
                                     .id = id,
                                     .incarnation = listed->report.incarnation,
                                     .warmup_until = listed->warmup_until };
  hf_pool_put_server (&service->pool, &listing);
  hf_pool_set_draining (&service->pool, listing.id, HF_DRAIN_DIRECTORY, listed->report.draining, 0);
  hf_restrictions_apply (state, service, listing.id);
  hf_evacuation_sync_note_name (state, listed->report.failure_domain);
  hf_evacuation_sync_apply (state, service, listing.id);
  g_hash_table_insert (state->service_by_server, g_memdup2 (&listing.id, sizeof listing.id), service);
}

static void
remove_listed (struct hf_state *state, const struct listed_server *listed)
{
  uint64_t id = hf_server_id (listed->report.service, listed->report.name);
  struct hf_service_state *service = g_hash_table_lookup (state->service_by_server, &id);
  hf_state_log (state, HF_LOG_SERVER_GONE,
                "backend server " HF_STR_FMT " of " HF_STR_FMT " is no longer listed; removing it",
                HF_STR_ARG (listed->report.name), HF_STR_ARG (listed->report.service));
  if (service)
    hf_pool_remove_server (&service->pool, id);
  g_hash_table_remove (state->service_by_server, &id);
}

/* --- internal functions: removal --- */

/* Position at which a server is removed now: nothing up to it brings it back. */
static struct hf_store_position
removal_position (const struct hf_state *state)
{
  static const struct hf_store_position last = { .era = UINT64_MAX, .revision = UINT64_MAX };
  struct hf_store_position to = state->directory.update_to;
  return to.revision ? to : last;
}

static void
drop_listed (struct hf_state *state, const struct listed_server *listed)
{
  remove_listed (state, listed);
  hf_removed_servers_add (state->directory.removed, &listed->report, removal_position (state), state->now);
  g_hash_table_remove (state->directory.servers, listed->report.name.data);
}

/* Removes a server, now or after a delay. After an outage of the directory it takes a short time until all live
 * servers are listed again, so none is removed within HF_DIRECTORY_OUTAGE_GRACE_MS of its recovery. */
static void
schedule_removal (struct hf_state *state, struct listed_server *listed, int64_t delay_ms)
{
  int64_t remove_at = state->now + delay_ms * HF_MS;
  if (state->directory.recovered_at > 0)
    remove_at = MAX (remove_at, state->directory.recovered_at + HF_DIRECTORY_OUTAGE_GRACE_MS * HF_MS);
  hf_directory_sync_record_change (state, listed->report.name);
  if (state->now < remove_at)
    {
      listed->remove_at = remove_at;
      hf_state_start_timer (state, remove_at - state->now, HF_TIMER_DIRECTORY_EXPIRE, 0, 0);
      return;
    }
  drop_listed (state, listed);
}

/* A removal may name a newer report than the last one that arrived here, as not every report is passed on. An object
 * that is not valid names none. */
static void
handle_removal (struct hf_state *state, struct listed_server *listed, const struct hf_server_report *report)
{
  if (!listed && report->incarnation > 0)
    hf_removed_servers_add (state->directory.removed, report, removal_position (state), state->now);
  if (!listed)
    {
      hf_directory_sync_record_change (state, report->name);
      return;
    }
  if (hf_server_report_compare_age (report, &listed->report) > 0)
    {
      listed->report.incarnation = report->incarnation;
      listed->report.sequence = report->sequence;
    }
  if (listed->remove_at == 0)
    schedule_removal (state, listed, report->removal_delay_ms);
}

/* --- internal functions: updates --- */

/* Whether a newer report of the server is known. A list may be from an older copy of the directory, so it does not
 * bring back a removed server by its last report either, unless it is known to be newer than the removal: an older
 * list, which the server was not on yet, may have removed it. A change does: the server has been written again. */
static bool
is_superseded (const struct hf_state *state,
               const struct listed_server *listed,
               const struct hf_server_report *report,
               bool from_list)
{
  const struct hf_server_report *known
      = listed ? &listed->report : hf_removed_servers_find (state->directory.removed, report->name, state->now);
  if (!known)
    return false;
  int age = hf_server_report_compare_age (report, known);
  if (age != 0 || !from_list || listed)
    return age < 0;
  struct hf_store_position removed_at = hf_removed_servers_find_position (state->directory.removed, report->name);
  return hf_store_position_compare (state->directory.update_to, removed_at) <= 0;
}

/* A report without service, address or slots counts as a removal. */
static bool
is_complete (const struct hf_server_report *report)
{
  return report->service.len > 0 && report->address.len > 0 && report->slots > 0;
}

static void
log_change (struct hf_state *state, const struct listed_server *before, const struct hf_server_report *report)
{
  if (!before || before->report.incarnation != report->incarnation)
    hf_state_log (state, HF_LOG_SERVER_LISTED, "backend server " HF_STR_FMT " of " HF_STR_FMT " at " HF_STR_FMT "%s",
                  HF_STR_ARG (report->name), HF_STR_ARG (report->service), HF_STR_ARG (report->address),
                  report->draining ? ", draining" : "");
  else if (report->draining && !before->report.draining)
    hf_state_log (state, HF_LOG_SERVER_LEAVING,
                  "backend server " HF_STR_FMT " of " HF_STR_FMT
                  " is draining and gets no new requests, reported by the directory",
                  HF_STR_ARG (report->name), HF_STR_ARG (report->service));
}

static void
put_service_servers (struct hf_state *state, struct hf_str service)
{
  GHashTableIter iter;
  struct listed_server *listed;
  g_hash_table_iter_init (&iter, state->directory.servers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &listed))
    if (hf_str_equal (listed->report.service, service))
      put_in_pool (state, listed);
}

static void
count_in_domain (GArray *domains, uint64_t failure_domain)
{
  for (guint i = 0; i < domains->len; i++)
    {
      struct hf_domain_servers *domain = &g_array_index (domains, struct hf_domain_servers, i);
      if (domain->failure_domain != failure_domain)
        continue;
      domain->servers++;
      return;
    }
  struct hf_domain_servers added = { .failure_domain = failure_domain, .servers = 1 };
  g_array_append_val (domains, added);
}

static void
resize_slices (struct hf_state *state, struct hf_str service)
{
  GHashTableIter iter;
  struct listed_server *listed;
  GArray *domains = g_array_new (FALSE, FALSE, sizeof (struct hf_domain_servers));
  g_hash_table_iter_init (&iter, state->directory.servers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &listed))
    if (hf_str_equal (listed->report.service, service))
      count_in_domain (domains, failure_domain_of (listed));
  if (hf_slices_resize (state, hf_hash (service, 0), domains))
    put_service_servers (state, service);
  g_array_unref (domains);
}

/* Compares all of a report but its warm-up time, which shrinks by itself from report to report. */
static bool
is_unchanged (const struct listed_server *listed, const struct hf_server_report *report)
{
  const struct hf_server_report *current = &listed->report;
  return listed->remove_at == 0 && current->draining == report->draining && current->slots == report->slots
         && current->incarnation == report->incarnation && hf_str_equal (current->service, report->service)
         && hf_str_equal (current->address, report->address)
         && hf_str_equal (current->failure_domain, report->failure_domain);
}

/* A server that is listed already has become cold again, or has ceased to be: matters where its service limits cold
 * servers. */
static void
note_cold (struct hf_state *state, struct listed_server *listed, const struct hf_server_report *report)
{
  uint64_t id = hf_server_id (report->service, report->name);
  struct hf_service_state *service = g_hash_table_lookup (state->service_by_server, &id);
  struct hf_pool_server *server = service ? hf_pool_find_server (&service->pool, id) : NULL;
  if (!server || !service->pool.cold.enabled || report->warmup_unknown)
    return;
  listed->warmup_until = report->warmup_ms > 0 ? state->now + report->warmup_ms * HF_MS : 0;
  hf_cold_record_listing (&server->cold, state->now, report->warmup_ms * HF_MS);
}

static void
add_or_update (struct hf_state *state,
               struct listed_server *listed,
               const struct hf_server_report *report,
               bool from_list)
{
  bool is_newer = !listed || hf_server_report_compare_age (report, &listed->report) > 0;
  int64_t started_at = listed ? listed->started_at : 0;
  bool is_same_start = listed && listed->report.incarnation == report->incarnation;
  if (listed && is_unchanged (listed, report))
    {
      if (!from_list && report->sequence > listed->report.sequence)
        hf_directory_sync_record_change (state, report->name);
      if (is_newer)
        note_cold (state, listed, report);
      listed->stale = false;
      listed->report.sequence = report->sequence;
      return;
    }
  hf_removed_servers_forget (state->directory.removed, report->name);
  hf_directory_sync_record_change (state, report->name);
  log_change (state, listed, report);
  if (listed && !hf_str_equal (listed->report.service, report->service))
    remove_listed (state, listed);
  if (listed)
    clear_listed (listed);
  else
    {
      listed = g_new0 (struct listed_server, 1);
      g_hash_table_insert (state->directory.servers, g_strndup (report->name.data, report->name.len), listed);
    }
  *listed = (struct listed_server){ .report = *report };
  listed->report.name = hf_str_dup (report->name);
  listed->report.service = hf_str_dup (report->service);
  listed->report.address = hf_str_dup (report->address);
  listed->report.failure_domain = hf_str_dup (report->failure_domain);
  if (report->warmup_ms > 0)
    listed->warmup_until = state->now + report->warmup_ms * HF_MS;
  listed->started_at = is_same_start ? started_at : state->now;
  put_in_pool (state, listed);
  if (is_newer && is_same_start)
    note_cold (state, listed, report);
}

static struct hf_server_report
look_up_removed (const struct hf_state *state, struct hf_str name)
{
  const struct hf_server_report *last = hf_removed_servers_find (state->directory.removed, name, state->now);
  struct hf_server_report report = last ? *last : (struct hf_server_report){ 0 };
  report.name = name;
  report.removed = true;
  return report;
}

/* --- internal functions: lists --- */

static void
mark_stale (struct hf_state *state)
{
  GHashTableIter iter;
  struct listed_server *listed;
  g_hash_table_iter_init (&iter, state->directory.servers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &listed))
    listed->stale = true;
}

static void
remove_stale (struct hf_state *state)
{
  GList *all = g_hash_table_get_values (state->directory.servers);
  for (GList *item = all; item; item = item->next)
    {
      struct listed_server *listed = item->data;
      if (listed->stale && listed->remove_at == 0)
        schedule_removal (state, listed, 0);
    }
  g_list_free (all);
}

/* --- internal functions: reachability of the platform --- */

static void
note_unreachable (struct hf_state *state)
{
  bool was_unreachable = state->directory.platform_unreachable_until > state->now;
  state->directory.platform_unreachable_until = state->now + HF_PLATFORM_UNREACHABLE_MS * HF_MS;
  state->directory_sync.platform_reachable_since = 0;
  if (was_unreachable)
    return;
  hf_directory_sync_announce (state);
  state->roles.update_pending = true;
}

/* A response confirms the position only if this entry waits for changes, and for those of the newest era. After a pause
 * between two watches the others are told at once, before they cease to rely on their copies. */
static void
confirm_position (struct hf_state *state)
{
  struct hf_directory *directory = &state->directory;
  bool watches = state->directory_sync.watch_mode == HF_WATCH_MODE_ON;
  if (!watches || directory->position.era != directory->era)
    return;
  bool was_pausing = state->now - directory->confirmed_at > HF_DIRECTORY_SYNC_PAUSE_MS * HF_MS;
  directory->confirmed_at = state->now;
  hf_revocation_confirm (state, state->now);
  if (was_pausing)
    hf_directory_sync_announce (state);
}

static void
note_reachable (struct hf_state *state)
{
  struct hf_directory *directory = &state->directory;
  bool was_unreachable = directory->platform_unreachable_until > 0;
  directory->platform_unreachable_until = 0;
  if (state->directory_sync.watch_mode != HF_WATCH_MODE_OFF && state->directory_sync.platform_reachable_since == 0)
    state->directory_sync.platform_reachable_since = state->now;
  if (!was_unreachable)
    return;
  state->roles.update_pending = true;
  hf_directory_sync_announce (state);
}

/* Reports of an older era are outdated: the platform, or a replica of it, sent them before it came back from a copy. */
static bool
is_outdated (struct hf_state *state, struct hf_store_position position)
{
  hf_directory_note_era (state, position.era);
  return position.era < state->directory.era;
}

static void
begin_platform_list (struct hf_state *state, struct hf_store_position position)
{
  if (is_outdated (state, position))
    return;
  state->directory.listing = true;
  hf_directory_begin_list (state);
}

static void
end_platform_list (struct hf_state *state, struct hf_store_position position)
{
  if (is_outdated (state, position))
    return;
  state->directory.listing = false;
  state->directory.update_to = position;
  hf_directory_end_list (state);
  hf_directory_update_pools (state);
  state->directory.confirmed_at = state->now;
  hf_directory_sync_advance (state, position, true);
}

/* Changes of a new era follow on a list of it only. */
static void
advance_platform_list (struct hf_state *state, struct hf_store_position position)
{
  if (is_outdated (state, position) || position.era != state->directory.position.era)
    return;
  hf_directory_update_pools (state);
  hf_directory_sync_advance (state, position, false);
}

/* --- public functions --- */

void
hf_directory_init (struct hf_directory *directory)
{
  directory->servers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_listed);
  directory->removed = hf_removed_servers_open ();
}

void
hf_directory_close (struct hf_directory *directory)
{
  g_hash_table_destroy (directory->servers);
  hf_removed_servers_close (directory->removed);
}

void
hf_directory_update_server (struct hf_state *state, const struct hf_server_report *report, bool from_list)
{
  struct listed_server *listed = find_listed (state, report->name);
  if (report->removed || !is_complete (report))
    handle_removal (state, listed, report);
  else if (!is_superseded (state, listed, report, from_list))
    add_or_update (state, listed, report, from_list);
  else if (listed)
    listed->stale = false;
  state->directory.pools_outdated = true;
}

void
hf_directory_begin_list (struct hf_state *state)
{
  mark_stale (state);
}

void
hf_directory_end_list (struct hf_state *state)
{
  remove_stale (state);
  state->directory.complete = true;
  state->directory.pools_outdated = true;
}

void
hf_directory_update_pools (struct hf_state *state)
{
  if (!state->directory.pools_outdated)
    return;
  state->directory.pools_outdated = false;
  for (size_t i = 0; state->document && i < state->document->services.n; i++)
    {
      const struct hf_service *service = hf_document_get_service (state->document, i);
      if (service->uses_directory)
        resize_slices (state, service->name);
    }
  hf_slots_update_pools (state);
}

void
hf_directory_update_slices (struct hf_state *state)
{
  state->directory.slices_outdated = false;
  hf_directory_update_pools (state);
}

/* What the copy lacks is written again, which takes as long as after an outage. */
void
hf_directory_note_era (struct hf_state *state, uint64_t era)
{
  struct hf_directory *directory = &state->directory;
  if (era <= directory->era)
    return;
  directory->era = era;
  if (directory->complete)
    directory->recovered_at = state->now;
  hf_directory_sync_handle_era (state);
  hf_effects_add (state->effects, (struct hf_effect){ .kind = HF_EFFECT_LIST_AGAIN, .position = { .era = era } });
}

/* A list shows what a server is, not that it has changed and changed back since the list before. */
void
hf_directory_handle_report (struct hf_state *state, const struct hf_event *event)
{
  const struct hf_directory *directory = &state->directory;
  if (is_outdated (state, event->position))
    return;
  if (directory->listing && event->position.revision > directory->position.revision)
    hf_directory_sync_record_change (state, event->report.name);
  state->directory.update_to = directory->listing ? (struct hf_store_position){ 0 } : event->position;
  hf_directory_update_server (state, &event->report, directory->listing);
}

void
hf_directory_handle_list (struct hf_state *state, const struct hf_event *event)
{
  struct hf_directory *directory = &state->directory;
  switch (event->list_step)
    {
    case HF_LIST_BEGIN:
      begin_platform_list (state, event->position);
      break;
    case HF_LIST_END:
      end_platform_list (state, event->position);
      break;
    case HF_LIST_PROGRESS:
      advance_platform_list (state, event->position);
      break;
    case HF_LIST_NEW_ERA:
      hf_directory_note_era (state, event->position.era);
      break;
    case HF_LIST_ENTRIES_END:
      directory->entries_complete = true;
      break;
    case HF_LIST_UNREACHABLE:
      if (!directory->unreachable)
        hf_state_log (state, HF_LOG_PLATFORM_LOST,
                      "the directory does not respond; keeping the backend servers listed last");
      directory->unreachable = true;
      note_unreachable (state);
      break;
    case HF_LIST_REACHABLE:
    case HF_LIST_RESPONDS:
      if (directory->unreachable)
        {
          hf_state_log (state, HF_LOG_PLATFORM_BACK, "the directory responds again");
          directory->recovered_at = state->now;
        }
      directory->unreachable = false;
      if (event->list_step == HF_LIST_REACHABLE)
        confirm_position (state);
      note_reachable (state);
      break;
    }
}

void
hf_directory_remove_expired (struct hf_state *state)
{
  GList *all = g_hash_table_get_values (state->directory.servers);
  state->directory.update_to = state->directory.position;
  for (GList *item = all; item; item = item->next)
    {
      struct listed_server *listed = item->data;
      if (listed->remove_at == 0 || listed->remove_at > state->now)
        continue;
      drop_listed (state, listed);
    }
  g_list_free (all);
}

void
hf_directory_fill_pool (struct hf_state *state, struct hf_service_state *service)
{
  put_service_servers (state, service->name);
  resize_slices (state, service->name);
}

struct hf_server_report
hf_directory_lookup (const struct hf_state *state, struct hf_str name)
{
  const struct listed_server *listed = find_listed (state, name);
  if (!listed)
    return look_up_removed (state, name);
  struct hf_server_report report = listed->report;
  report.warmup_ms = MAX (0, (listed->warmup_until - state->now) / HF_MS);
  report.removed = listed->remove_at > 0;
  report.removal_delay_ms = MAX (0, (listed->remove_at - state->now) / HF_MS);
  return report;
}

void
hf_directory_foreach (const struct hf_state *state,
                      void (*visit) (void *context, const struct hf_server_report *report),
                      void *context)
{
  GHashTableIter iter;
  const struct listed_server *listed;
  g_hash_table_iter_init (&iter, state->directory.servers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &listed))
    {
      struct hf_server_report report = hf_directory_lookup (state, listed->report.name);
      visit (context, &report);
    }
}
