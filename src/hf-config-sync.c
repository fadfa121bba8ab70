/* The configuration in force: adoption, and the watches of the platform. */
#include "hf-config-sync.h"

#include "hf-calls.h"
#include "hf-directory.h"
#include "hf-evacuation-sync.h"
#include "hf-members.h"
#include "hf-revocation.h"
#include "hf-slices.h"
#include "hf-slots.h"

/* --- constants --- */

static const char *const watch_names[]
    = { [HF_PURPOSE_CONFIG] = "config", [HF_PURPOSE_VMS] = "vms", [HF_PURPOSE_EVACUATIONS] = "evacuations" };

/* --- internal functions: adoption --- */

static void
mark_draining_servers (struct hf_state *state, struct hf_service_state *service)
{
  for (size_t i = 0; i < service->pool.servers->len; i++)
    {
      struct hf_pool_server *server = &g_array_index (service->pool.servers, struct hf_pool_server, i);
      bool draining = g_hash_table_contains (state->draining_vms, server->address.data);
      hf_pool_set_draining (&service->pool, server->id, HF_DRAIN_VM_LIST, draining, 0);
    }
}

/* Removes the services that the document no longer declares, once their last call has ended. */
static void
remove_undeclared_services (struct hf_state *state)
{
  GHashTableIter iter;
  struct hf_service_state *service;
  g_hash_table_iter_init (&iter, state->services);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &service))
    {
      bool declared = false;
      for (size_t i = 0; i < state->document->services.n && !declared; i++)
        declared = hf_service_id (hf_document_get_service (state->document, i)) == service->service_id;
      if (declared || hf_calls_is_slice_in_use (state, service->id))
        continue;
      g_hash_table_iter_remove (&iter);
    }
}

static void
index_servers (struct hf_state *state, struct hf_service_state *service)
{
  for (size_t i = 0; i < service->pool.servers->len; i++)
    {
      uint64_t id = g_array_index (service->pool.servers, struct hf_pool_server, i).id;
      g_hash_table_insert (state->service_by_server, g_memdup2 (&id, sizeof id), service);
    }
}

/* Starts the measurement timer with the first document that has a measured service, so that other documents cost no
 * timer. It then runs until the process exits. */
static void
start_measure_timer (struct hf_state *state)
{
  bool measured = false;
  for (size_t i = 0; i < state->document->services.n; i++)
    measured = measured || hf_document_get_service (state->document, i)->measure_interval_ms > 0;
  if (!measured || state->measure_timer_running)
    return;
  state->measure_timer_running = true;
  hf_state_start_timer (state, 0, HF_TIMER_MEASURE_TICK, 0, 0);
}

static void
apply_document (struct hf_state *state)
{
  g_hash_table_remove_all (state->service_by_server);
  for (size_t i = 0; i < state->document->services.n; i++)
    {
      const struct hf_service *spec = hf_document_get_service (state->document, i);
      struct hf_service_state *service = hf_slices_find_or_add_first (state, spec);
      hf_slices_configure (state, spec);
      if (spec->uses_directory)
        hf_directory_fill_pool (state, service);
      mark_draining_servers (state, service);
      index_servers (state, service);
    }
  remove_undeclared_services (state);
  hf_effects_add (state->effects,
                  (struct hf_effect){ .kind = HF_EFFECT_SET_LIMITS, .limits = state->document->limits });
  start_measure_timer (state);
  hf_slots_update_pools (state);
}

static bool
adopt_document (struct hf_state *state, uint64_t generation, struct hf_str text, enum hf_config_origin origin)
{
  const char *source = origin == HF_CONFIG_FROM_PLATFORM ? "the platform" : "a peer";
  struct hf_error error = { 0 };
  struct hf_document *document = hf_document_load (text, &error);
  if (!document)
    {
      hf_state_log (state, HF_LOG_CONFIG_INVALID, "rejecting generation %" G_GUINT64_FORMAT " from %s, line %u: %s%s%s",
                    (guint64) generation, source, error.line, error.path, *error.path ? ": " : "", error.message);
      return false;
    }
  document->generation = generation;
  hf_document_unref (state->document);
  state->document = document;
  apply_document (state);
  hf_state_log (state, HF_LOG_CONFIG_ADOPTED, "adopted generation %" G_GUINT64_FORMAT " from %s", (guint64) generation,
                source);
  hf_config_spread_handle_adopted (state, origin);
  if (origin == HF_CONFIG_FROM_PLATFORM)
    hf_revocation_confirm (state, state->now);
  return true;
}

/* --- internal functions: the platform's copy --- */

static void
schedule_restore (struct hf_state *state)
{
  if (!state->restore_timer)
    state->restore_timer = hf_state_start_timer (state, HF_PLATFORM_RETRY_MS * HF_MS, HF_TIMER_CONFIG_RESTORE, 0, 0);
}

static void
handle_config_object (struct hf_state *state, const struct hf_object *object)
{
  struct hf_manifest manifest;
  struct hf_error error = { 0 };
  if (!hf_str_equal (object->name, hf_str ("config")))
    return;
  if (object->event_type == HF_WATCH_DELETED)
    {
      state->config_version = 0;
      state->config_stored_generation = 0;
      schedule_restore (state);
      return;
    }
  if (!hf_manifest_read (object, &manifest, &error))
    {
      hf_state_log (state, HF_LOG_CONFIG_INVALID, "stored object config: %s; keeping the configuration in force",
                    error.message);
      return;
    }
  state->config_version = object->version;
  state->config_stored_generation = manifest.generation;
  if (manifest.generation > hf_state_generation (state))
    adopt_document (state, manifest.generation, manifest.document, HF_CONFIG_FROM_PLATFORM);
  else if (manifest.generation < hf_state_generation (state))
    {
      hf_state_log (state, HF_LOG_CONFIG_OLD,
                    "the platform returned older generation %" G_GUINT64_FORMAT
                    "; keeping generation %" G_GUINT64_FORMAT " in force",
                    (guint64) manifest.generation, (guint64) hf_state_generation (state));
      schedule_restore (state);
    }
  else if (manifest.digest != state->document->digest)
    hf_state_log (state, HF_LOG_CONFIG_SPLIT,
                  "generation %" G_GUINT64_FORMAT " has another document in the platform; keeping the one in force",
                  (guint64) manifest.generation);
}

static void
open_watch (struct hf_state *state, enum hf_platform_purpose purpose)
{
  struct hf_watch *watch = &state->watches[purpose];
  watch->started_at = state->now;
  watch->last_event_at = state->now;
  watch->complete = false;
  if (purpose == HF_PURPOSE_VMS)
    hf_members_begin_list (state);
  if (purpose == HF_PURPOSE_EVACUATIONS)
    hf_evacuations_begin_list (&state->evacuations);
  hf_state_call_platform (state, HF_PLATFORM_WATCH, purpose, 0, hf_str (watch_names[purpose]), 0, (struct hf_str){ 0 });
}

static void
note_reachable (struct hf_state *state, bool reachable)
{
  if (reachable == state->platform_reachable)
    return;
  state->platform_reachable = reachable;
  if (reachable)
    hf_state_log (state, HF_LOG_PLATFORM_BACK, "the platform responds again");
  else
    hf_state_log (state, HF_LOG_PLATFORM_LOST, "the platform does not respond; retrying its watches");
}

static void
handle_watch_end (struct hf_state *state, enum hf_platform_purpose purpose, unsigned status)
{
  struct hf_watch *watch = &state->watches[purpose];
  bool ok = status == 200;
  if (ok)
    watch->failures = 0;
  else
    watch->failures++;
  note_reachable (state, ok);
  int64_t delay = HF_PLATFORM_RETRY_MS << MIN (watch->failures, 4U);
  delay = ok ? 0 : MIN (delay, HF_PLATFORM_RETRY_MAX_MS);
  /* Jitter keeps the entries from reconnecting to the platform at the same time. */
  delay = delay / 2 + (int64_t) (hf_random_next (&state->random_state) % (uint64_t) (delay / 2 + 1));
  hf_timers_cancel (&watch->timer);
  watch->timer = hf_state_start_timer (state, delay * HF_MS, HF_TIMER_WATCH, purpose, 0);
}

/* A watch that lost a line shows no error, so the version of the stored object is compared with the last one
 * received. */
static void
handle_stored_version (struct hf_state *state, const struct hf_event *event)
{
  struct hf_object object;
  if (event->platform.status != 200 || !hf_object_load (event->platform.data, &object, NULL))
    return;
  bool missed = object.version != state->config_version && !state->watches[HF_PURPOSE_CONFIG].timer;
  hf_object_unload (&object);
  if (!missed)
    return;
  hf_state_log (state, HF_LOG_WATCH_SILENT, "watch of config missed a change; opening a new watch");
  open_watch (state, HF_PURPOSE_CONFIG);
}

/* --- internal functions: evacuations --- */

/* Each entry watches for itself here, so the position only orders what this one has received. */
static void
apply_evacuations (struct hf_state *state)
{
  struct hf_event step = { .list_step = HF_LIST_PROGRESS, .position = state->evacuations.position };
  step.position.revision++;
  if (hf_evacuation_sync_handle_step (state, &step))
    hf_slots_update_pools (state);
}

static void
handle_evacuation (struct hf_state *state, const struct hf_object *object)
{
  const struct hf_event report
      = { .evacuation = { .domain = object->name, .in_force = object->event_type != HF_WATCH_DELETED } };
  hf_evacuation_sync_handle_report (state, &report);
  if (state->watches[HF_PURPOSE_EVACUATIONS].complete)
    apply_evacuations (state);
}

/* The first bookmark of a watch shows that every object was listed. */
static void
handle_bookmark (struct hf_state *state, enum hf_platform_purpose purpose)
{
  bool was_complete = state->watches[purpose].complete;
  state->watches[purpose].complete = true;
  if (was_complete)
    return;
  if (purpose == HF_PURPOSE_VMS)
    hf_members_end_list (state);
  if (purpose == HF_PURPOSE_EVACUATIONS)
    apply_evacuations (state);
}

/* --- public functions --- */

void
hf_config_sync_start (struct hf_state *state)
{
  state->platform_reachable = true;
  open_watch (state, HF_PURPOSE_CONFIG);
  open_watch (state, HF_PURPOSE_VMS);
  if (state->follows_evacuations)
    open_watch (state, HF_PURPOSE_EVACUATIONS);
}

void
hf_config_sync_handle_document (struct hf_state *state, const struct hf_event *event)
{
  if (event->document.generation > hf_state_generation (state))
    adopt_document (state, event->document.generation, event->document.text, HF_CONFIG_FROM_PLATFORM);
}

void
hf_config_sync_handle_watch (struct hf_state *state, const struct hf_event *event)
{
  enum hf_platform_purpose purpose = event->platform.purpose;
  struct hf_watch *watch = &state->watches[purpose];
  struct hf_object object;
  struct hf_error error = { 0 };
  if (event->platform.status != 0 || event->platform.data.len == 0)
    {
      handle_watch_end (state, purpose, event->platform.status);
      return;
    }
  watch->last_event_at = state->now;
  watch->failures = 0;
  note_reachable (state, true);
  if (!hf_object_load_watch (event->platform.data, &object, &error))
    {
      hf_state_log (state, HF_LOG_CONFIG_INVALID, "watch of %s: %s; ignoring the line", watch_names[purpose],
                    error.message);
      return;
    }
  if (object.event_type == HF_WATCH_BOOKMARK)
    handle_bookmark (state, purpose);
  else if (purpose == HF_PURPOSE_CONFIG)
    handle_config_object (state, &object);
  else if (purpose == HF_PURPOSE_EVACUATIONS)
    handle_evacuation (state, &object);
  else
    hf_members_update_vm (state, &object);
  if (purpose == HF_PURPOSE_CONFIG && watch->complete)
    hf_revocation_confirm (state, state->now);
  hf_object_unload (&object);
}

void
hf_config_sync_reopen_watch (struct hf_state *state, enum hf_platform_purpose purpose)
{
  state->watches[purpose].timer = NULL;
  open_watch (state, purpose);
}

void
hf_config_sync_check_watches (struct hf_state *state)
{
  int last = state->follows_evacuations ? HF_PURPOSE_EVACUATIONS : HF_PURPOSE_VMS;
  for (int purpose = HF_PURPOSE_CONFIG; purpose <= last; purpose++)
    {
      struct hf_watch *watch = &state->watches[purpose];
      if (watch->timer || state->now - watch->last_event_at < HF_WATCH_SILENCE_TIMEOUT_MS * HF_MS)
        continue;
      hf_state_log (state, HF_LOG_WATCH_SILENT, "watch of %s has received nothing for too long; opening a new watch",
                    watch_names[purpose]);
      open_watch (state, purpose);
    }
}

/* One entry checks for the whole fleet; its heartbeats then report a generation that the others have missed. */
void
hf_config_sync_check_stored (struct hf_state *state)
{
  bool due = state->now - state->config_checked_at >= HF_CONFIG_CHECK_INTERVAL_MS * HF_MS;
  if (!due || !hf_members_is_owner (state, hf_hash (hf_str ("config"), 0)))
    return;
  state->config_checked_at = state->now;
  hf_state_call_platform (state, HF_PLATFORM_HEAD, HF_PURPOSE_CONFIG, 0, hf_str ("config"), 0, (struct hf_str){ 0 });
}

void
hf_config_sync_handle_platform (struct hf_state *state, const struct hf_event *event)
{
  struct hf_object object;
  if (event->platform.op == HF_PLATFORM_HEAD)
    {
      handle_stored_version (state, event);
      return;
    }
  if (event->platform.status != 200 && event->platform.status != 201)
    {
      /* No response or a conflict: tries again later, with the version that the watch has delivered by then. */
      schedule_restore (state);
      return;
    }
  if (!hf_object_load (event->platform.data, &object, NULL))
    return;
  state->config_version = object.version;
  state->config_stored_generation = hf_object_get_uint (&object, "generation");
  hf_state_log (state, HF_LOG_CONFIG_RESTORED, "wrote generation %" G_GUINT64_FORMAT " back to the platform",
                (guint64) state->config_stored_generation);
  hf_object_unload (&object);
}

void
hf_config_sync_adopt_received (struct hf_state *state, const struct hf_config_received *received)
{
  adopt_document (state, received->generation, received->text, received->origin);
  if (!state->external_store && state->config_stored_generation < hf_state_generation (state))
    schedule_restore (state);
}

void
hf_config_sync_restore (struct hf_state *state)
{
  state->restore_timer = NULL;
  if (!state->document || state->config_stored_generation >= hf_state_generation (state))
    return;
  if (!hf_members_is_owner (state, hf_hash (hf_str ("config"), 0)))
    return;
  struct hf_manifest manifest = { .generation = state->document->generation,
                                  .digest = state->document->digest,
                                  .document = state->document->text };
  char *json = hf_manifest_to_json (state->config_version, &manifest);
  hf_state_call_platform (state, HF_PLATFORM_PUT, HF_PURPOSE_CONFIG, 0, hf_str ("config"), state->config_version,
                          hf_str (json));
  g_free (json);
}
