/* Backend servers that the platform lists. */
#include "hf-directory.h"

#include "hf-slices.h"
#include "hf-slots.h"

/* --- types --- */

/* One listed backend server; strings are copies. */
struct listed
{
  struct hf_server_report report;
  int64_t cold_until;
  bool stale;      /* not seen since the list began */
  int64_t gone_at; /* to be removed then; 0: it is listed */
};

/* --- internal functions: memory --- */

static void
unset (struct listed *listed)
{
  hf_str_free (&listed->report.name);
  hf_str_free (&listed->report.service);
  hf_str_free (&listed->report.address);
  hf_str_free (&listed->report.failure_domain);
}

static void
free_listed (void *data)
{
  unset (data);
  g_free (data);
}

static struct listed *
find (struct hf_state *state, struct hf_str name)
{
  char *text = g_strndup (name.data, name.len);
  struct listed *listed = g_hash_table_lookup (state->directory.servers, text);
  g_free (text);
  return listed;
}

/* --- internal functions: pools --- */

/* Into the pool of its slice, and out of the one that it was in. */
static void
put_in_pool (struct hf_state *state, const struct listed *listed)
{
  uint64_t id = hf_server_id (listed->report.service, listed->report.name);
  struct hf_service_state *service = hf_slices_home (state, hf_hash (listed->report.service, 0), id);
  struct hf_service_state *before = g_hash_table_lookup (state->homes, &id);
  if (before && before != service)
    hf_pool_remove (&before->pool, id);
  if (!service)
    return;
  struct hf_pool_listing listing = { .spec = { .name = listed->report.name,
                                               .address = listed->report.address,
                                               .failure_domain = listed->report.failure_domain,
                                               .slots = listed->report.slots },
                                     .id = id,
                                     .incarnation = listed->report.incarnation,
                                     .cold_until = listed->cold_until };
  hf_pool_put (&service->pool, &listing);
  hf_pool_set_leaving (&service->pool, listing.id, HF_LEAVING_DIRECTORY, listed->report.leaving, 0);
  g_hash_table_insert (state->homes, g_memdup2 (&listing.id, sizeof listing.id), service);
}

static void
remove_listed (struct hf_state *state, const struct listed *listed)
{
  uint64_t id = hf_server_id (listed->report.service, listed->report.name);
  struct hf_service_state *service = g_hash_table_lookup (state->homes, &id);
  hf_state_log (state, HF_LOG_SERVER_GONE, "backend server " HF_STR_FMT " of " HF_STR_FMT " is no longer listed",
                HF_STR_ARG (listed->report.name), HF_STR_ARG (listed->report.service));
  if (service)
    hf_pool_remove (&service->pool, id);
  g_hash_table_remove (state->homes, &id);
}

/* --- internal functions: removal --- */

/* After an outage servers that live are listed again within a short time. */
static void
let_go (struct hf_state *state, struct listed *listed)
{
  int64_t settled = state->directory.regained_at + HF_DIRECTORY_SETTLE_MS * HF_MS;
  if (state->directory.regained_at > 0 && state->now < settled)
    {
      listed->gone_at = settled;
      hf_state_timer (state, settled - state->now, HF_TIMER_DIRECTORY, 0, 0);
      return;
    }
  remove_listed (state, listed);
  g_hash_table_remove (state->directory.servers, listed->report.name.data);
}

static bool
is_complete (const struct hf_server_report *report)
{
  return report->service.len > 0 && report->address.len > 0 && report->slots > 0;
}

static void
log_change (struct hf_state *state, const struct listed *before, const struct hf_server_report *report)
{
  if (!before || before->report.incarnation != report->incarnation)
    hf_state_log (state, HF_LOG_SERVER_LISTED, "backend server " HF_STR_FMT " of " HF_STR_FMT " at " HF_STR_FMT "%s",
                  HF_STR_ARG (report->name), HF_STR_ARG (report->service), HF_STR_ARG (report->address),
                  report->leaving ? ", leaving" : "");
  else if (report->leaving && !before->report.leaving)
    hf_state_log (state, HF_LOG_SERVER_LEAVING,
                  "backend server " HF_STR_FMT " of " HF_STR_FMT " is leaving, by the directory",
                  HF_STR_ARG (report->name), HF_STR_ARG (report->service));
}

static void
put_all (struct hf_state *state, struct hf_str service)
{
  GHashTableIter iter;
  struct listed *listed;
  g_hash_table_iter_init (&iter, state->directory.servers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &listed))
    if (hf_str_equal (listed->report.service, service))
      put_in_pool (state, listed);
}

static void
fit_slices (struct hf_state *state, struct hf_str service)
{
  GHashTableIter iter;
  struct listed *listed;
  size_t servers = 0;
  g_hash_table_iter_init (&iter, state->directory.servers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &listed))
    servers += hf_str_equal (listed->report.service, service);
  if (hf_slices_resize (state, hf_hash (service, 0), servers))
    put_all (state, service);
}

static void
take (struct hf_state *state, const struct hf_server_report *report)
{
  struct listed *listed = find (state, report->name);
  log_change (state, listed, report);
  if (listed && !hf_str_equal (listed->report.service, report->service))
    remove_listed (state, listed);
  if (listed)
    unset (listed);
  else
    {
      listed = g_new0 (struct listed, 1);
      g_hash_table_insert (state->directory.servers, g_strndup (report->name.data, report->name.len), listed);
    }
  *listed = (struct listed){ .report = *report };
  listed->report.name = hf_str_dup (report->name);
  listed->report.service = hf_str_dup (report->service);
  listed->report.address = hf_str_dup (report->address);
  listed->report.failure_domain = hf_str_dup (report->failure_domain);
  if (report->cold_ms > 0)
    listed->cold_until = state->now + report->cold_ms * HF_MS;
  put_in_pool (state, listed);
  fit_slices (state, listed->report.service);
}

/* --- internal functions: lists --- */

static void
mark_stale (struct hf_state *state)
{
  GHashTableIter iter;
  struct listed *listed;
  g_hash_table_iter_init (&iter, state->directory.servers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &listed))
    listed->stale = true;
}

static void
drop_stale (struct hf_state *state)
{
  GList *all = g_hash_table_get_values (state->directory.servers);
  for (GList *item = all; item; item = item->next)
    {
      struct listed *listed = item->data;
      if (listed->stale && listed->gone_at == 0)
        let_go (state, listed);
    }
  g_list_free (all);
}

/* --- public functions --- */

void
hf_directory_init (struct hf_directory *directory)
{
  directory->servers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_listed);
}

void
hf_directory_close (struct hf_directory *directory)
{
  g_hash_table_destroy (directory->servers);
}

void
hf_directory_report (struct hf_state *state, const struct hf_server_report *report)
{
  struct listed *listed = find (state, report->name);
  if (!report->gone && is_complete (report))
    take (state, report);
  else if (listed && listed->gone_at == 0)
    let_go (state, listed);
  hf_slots_pump (state);
}

void
hf_directory_list (struct hf_state *state, enum hf_list_step step)
{
  struct hf_directory *directory = &state->directory;
  switch (step)
    {
    case HF_LIST_BEGIN:
      mark_stale (state);
      break;
    case HF_LIST_END:
      drop_stale (state);
      directory->complete = true;
      hf_slots_pump (state);
      break;
    case HF_LIST_ENTRIES:
      directory->entries_complete = true;
      break;
    case HF_LIST_LOST:
      if (!directory->lost)
        hf_state_log (state, HF_LOG_PLATFORM_LOST, "the directory does not answer");
      directory->lost = true;
      break;
    case HF_LIST_ALIVE:
      if (directory->lost)
        {
          hf_state_log (state, HF_LOG_PLATFORM_BACK, "the directory answers");
          directory->regained_at = state->now;
        }
      directory->lost = false;
      break;
    }
}

void
hf_directory_expire (struct hf_state *state)
{
  GList *all = g_hash_table_get_values (state->directory.servers);
  for (GList *item = all; item; item = item->next)
    {
      struct listed *listed = item->data;
      if (listed->gone_at == 0 || listed->gone_at > state->now)
        continue;
      remove_listed (state, listed);
      g_hash_table_remove (state->directory.servers, listed->report.name.data);
    }
  g_list_free (all);
}

void
hf_directory_fill (struct hf_state *state, struct hf_service_state *service)
{
  put_all (state, service->name);
  fit_slices (state, service->name);
}
