/* The configuration in force. */
#include "hf-config-sync.h"

#include <string.h>

#include "hf-calls.h"
#include "hf-directory.h"
#include "hf-members.h"
#include "hf-directory-sync.h"
#include "hf-slices.h"
#include "hf-slots.h"

/* --- constants --- */

static const char *const watch_names[] = { [HF_PURPOSE_CONFIG] = "config", [HF_PURPOSE_VMS] = "vms" };

/* --- internal functions: adoption --- */

static uint64_t
generation_of (const struct hf_state *state)
{
  return state->document ? state->document->generation : 0;
}

static void
mark_listed_leaving (struct hf_state *state, struct hf_service_state *service)
{
  for (size_t i = 0; i < service->pool.servers->len; i++)
    {
      struct hf_pool_server *server = &g_array_index (service->pool.servers, struct hf_pool_server, i);
      bool leaving = g_hash_table_contains (state->vm_leaving, server->address.data);
      hf_pool_set_leaving (&service->pool, server->id, HF_LEAVING_VM_LIST, leaving, 0);
    }
}

/* Services that are gone stay until their last call has ended. */
static void
remove_services (struct hf_state *state)
{
  GHashTableIter iter;
  struct hf_service_state *service;
  g_hash_table_iter_init (&iter, state->services);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &service))
    {
      bool declared = false;
      for (size_t i = 0; i < state->document->services.n && !declared; i++)
        declared = hf_service_id (hf_document_service (state->document, i)) == service->parent;
      if (declared || hf_calls_use_service (state, service->id))
        continue;
      g_hash_table_iter_remove (&iter);
    }
}

static void
add_homes (struct hf_state *state, struct hf_service_state *service)
{
  for (size_t i = 0; i < service->pool.servers->len; i++)
    {
      uint64_t id = g_array_index (service->pool.servers, struct hf_pool_server, i).id;
      g_hash_table_insert (state->homes, g_memdup2 (&id, sizeof id), service);
    }
}

/* Documents without measured services cost no timer. */
static void
arm_measuring (struct hf_state *state)
{
  bool measured = false;
  for (size_t i = 0; i < state->document->services.n; i++)
    measured = measured || hf_document_service (state->document, i)->measure_ms > 0;
  if (!measured || state->measuring)
    return;
  state->measuring = true;
  hf_state_timer (state, 0, HF_TIMER_MEASURE, 0, 0);
}

static void
apply_document (struct hf_state *state)
{
  g_hash_table_remove_all (state->homes);
  for (size_t i = 0; i < state->document->services.n; i++)
    {
      const struct hf_service *spec = hf_document_service (state->document, i);
      struct hf_service_state *service = hf_slices_add (state, spec, 0);
      hf_slices_configure (state, spec);
      if (spec->directory)
        hf_directory_fill (state, service);
      mark_listed_leaving (state, service);
      add_homes (state, service);
    }
  remove_services (state);
  hf_effects_add (state->out, (struct hf_effect){ .kind = HF_EFFECT_LIMIT, .limits = state->document->limits });
  arm_measuring (state);
  hf_slots_pump (state);
}

static bool
adopt (struct hf_state *state, uint64_t generation, struct hf_str text, const char *source)
{
  struct hf_error error = { 0 };
  struct hf_document *document = hf_document_load (text, &error);
  if (!document)
    {
      hf_state_log (state, HF_LOG_CONFIG_INVALID, "generation %" G_GUINT64_FORMAT " from %s, line %u: %s",
                    (guint64) generation, source, error.line, error.message);
      return false;
    }
  document->generation = generation;
  hf_document_unload (state->document);
  state->document = document;
  apply_document (state);
  hf_state_log (state, HF_LOG_CONFIG_ADOPTED, "generation %" G_GUINT64_FORMAT " from %s", (guint64) generation, source);
  hf_members_tell (state);
  hf_relay_tell (state);
  return true;
}

/* --- internal functions: the platform's copy --- */

static void
schedule_restore (struct hf_state *state)
{
  if (!state->restore_timer)
    state->restore_timer = hf_state_timer (state, HF_PLATFORM_RETRY_MS * HF_MS, HF_TIMER_RESTORE, 0, 0);
}

static void
config_object (struct hf_state *state, const struct hf_object *object)
{
  struct hf_manifest manifest;
  struct hf_error error = { 0 };
  if (!hf_str_equal (object->name, hf_str ("config")))
    return;
  if (object->type == HF_WATCH_DELETED)
    {
      state->config_version = 0;
      state->config_stored = 0;
      schedule_restore (state);
      return;
    }
  if (!hf_manifest_read (object, &manifest, &error))
    {
      hf_state_log (state, HF_LOG_CONFIG_INVALID, "object config: %s", error.message);
      return;
    }
  state->config_version = object->version;
  state->config_stored = manifest.generation;
  if (manifest.generation > generation_of (state))
    adopt (state, manifest.generation, manifest.document, "the platform");
  else if (manifest.generation < generation_of (state))
    {
      hf_state_log (state, HF_LOG_CONFIG_OLD,
                    "the platform serves generation %" G_GUINT64_FORMAT ", in force is %" G_GUINT64_FORMAT,
                    (guint64) manifest.generation, (guint64) generation_of (state));
      schedule_restore (state);
    }
  else if (manifest.digest != state->document->digest)
    hf_state_log (state, HF_LOG_CONFIG_SPLIT, "generation %" G_GUINT64_FORMAT " has two documents",
                  (guint64) manifest.generation);
}

static void
open_watch (struct hf_state *state, enum hf_purpose purpose)
{
  struct hf_watch *watch = &state->watches[purpose];
  watch->started_at = state->now;
  watch->heard_at = state->now;
  watch->complete = false;
  if (purpose == HF_PURPOSE_VMS)
    hf_members_begin_list (state);
  hf_state_platform (state, HF_PLATFORM_WATCH, purpose, 0, hf_str (watch_names[purpose]), 0, (struct hf_str){ 0 });
}

static void
note_reachable (struct hf_state *state, bool reachable)
{
  if (reachable == state->platform_reachable)
    return;
  state->platform_reachable = reachable;
  if (reachable)
    hf_state_log (state, HF_LOG_PLATFORM_BACK, "the platform answers");
  else
    hf_state_log (state, HF_LOG_PLATFORM_LOST, "the platform does not answer");
}

static void
watch_ended (struct hf_state *state, enum hf_purpose purpose, unsigned status)
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
  /* Jitter keeps the entries from returning to the platform together. */
  delay = delay / 2 + (int64_t) (hf_random_next (&state->random) % (uint64_t) (delay / 2 + 1));
  hf_timers_cancel (&watch->timer);
  watch->timer = hf_state_timer (state, delay * HF_MS, HF_TIMER_WATCH, purpose, 0);
}

/* A watch that lost a line looks alive; the version of the object does not lie.
 */
static void
stored_checked (struct hf_state *state, const struct hf_event *event)
{
  struct hf_object object;
  if (event->platform.status != 200 || !hf_object_load (event->platform.data, &object, NULL))
    return;
  bool missed = object.version != state->config_version && !state->watches[HF_PURPOSE_CONFIG].timer;
  hf_object_unload (&object);
  if (!missed)
    return;
  hf_state_log (state, HF_LOG_WATCH_SILENT, "watch of config missed a change; opening a new one");
  open_watch (state, HF_PURPOSE_CONFIG);
}

/* --- internal functions: pulling from a peer --- */

static void
end_pull (struct hf_state *state)
{
  hf_timers_cancel (&state->pull.timer);
  if (state->pull.text)
    g_string_free (state->pull.text, TRUE);
  state->pull = (struct hf_pull){ 0 };
}

static void
ask_chunk (struct hf_state *state)
{
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_PULL } };
  message.body.hf_rpc_body_u.pull
      = (struct hf_rpc_pull){ .generation = state->pull.generation, .offset = (unsigned) state->pull.text->len };
  hf_state_send (state, state->pull.from, message);
  hf_timers_cancel (&state->pull.timer);
  /* Many ask at once, and a small link takes its time: questions that are
   * repeated too early would fill it with answers twice. */
  int64_t delay = HF_CONFIG_PULL_MS << MIN (state->pull.asks, HF_CONFIG_PULL_DOUBLINGS);
  state->pull.asks++;
  state->pull.timer = hf_state_timer (state, delay * HF_MS, HF_TIMER_PULL, 0, 0);
}

/* Told to all that ask, a document would fill a small link for seconds. Who gets
 * no part asks again, or asks another entry that has the document by then. */
static bool
may_serve (struct hf_state *state, unsigned offset)
{
  if (state->now - state->serving_since >= HF_SERVE_WINDOW_MS * HF_MS)
    {
      state->serving_since = state->now;
      state->served_bytes = 0;
    }
  return state->served_bytes < (offset > 0 ? HF_SERVE_BYTES : HF_SERVE_FIRST_BYTES);
}

static void
peer_pull (struct hf_state *state, uint64_t from, const struct hf_rpc_pull *pull)
{
  const struct hf_document *document = state->document;
  if (!document || document->generation != pull->generation || pull->offset >= document->text.len)
    return;
  if (!may_serve (state, pull->offset))
    return;
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_CHUNK } };
  struct hf_rpc_chunk *chunk = &message.body.hf_rpc_body_u.chunk;
  chunk->generation = document->generation;
  chunk->digest = document->digest;
  chunk->total = (unsigned) document->text.len;
  chunk->offset = pull->offset;
  chunk->data.data_len = (unsigned) MIN (document->text.len - pull->offset, HF_CHUNK_BYTES);
  chunk->data.data_val = hf_effects_alloc (state->out, chunk->data.data_len);
  memcpy (chunk->data.data_val, document->text.data + pull->offset, chunk->data.data_len);
  state->served_bytes += chunk->data.data_len;
  hf_state_send (state, from, message);
}

static void
peer_chunk (struct hf_state *state, uint64_t from, const struct hf_rpc_chunk *chunk)
{
  struct hf_pull *pull = &state->pull;
  if (pull->from != from || chunk->generation != pull->generation || chunk->offset != pull->text->len)
    return;
  if (chunk->total > HF_DOCUMENT_BYTES_MAX || chunk->data.data_len == 0)
    return;
  g_string_append_len (pull->text, chunk->data.data_val, chunk->data.data_len);
  pull->asks = 0;
  pull->progress_at = state->now;
  if (pull->text->len < chunk->total)
    {
      ask_chunk (state);
      return;
    }
  struct hf_str text = { .data = pull->text->str, .len = pull->text->len };
  bool whole = hf_hash (text, 0) == pull->digest;
  if (whole && pull->generation > generation_of (state))
    adopt (state, pull->generation, text, "a peer");
  end_pull (state);
  if (!state->external && state->config_stored < generation_of (state))
    schedule_restore (state);
}

/* --- public functions --- */

void
hf_sync_start (struct hf_state *state)
{
  state->platform_reachable = true;
  open_watch (state, HF_PURPOSE_CONFIG);
  open_watch (state, HF_PURPOSE_VMS);
}

void
hf_sync_document (struct hf_state *state, const struct hf_event *event)
{
  if (event->document.generation > generation_of (state))
    adopt (state, event->document.generation, event->document.text, "the platform");
}

void
hf_sync_watch (struct hf_state *state, const struct hf_event *event)
{
  enum hf_purpose purpose = event->platform.purpose;
  struct hf_watch *watch = &state->watches[purpose];
  struct hf_object object;
  struct hf_error error = { 0 };
  if (event->platform.status != 0 || event->platform.data.len == 0)
    {
      watch_ended (state, purpose, event->platform.status);
      return;
    }
  watch->heard_at = state->now;
  watch->failures = 0;
  note_reachable (state, true);
  if (!hf_object_load_watch (event->platform.data, &object, &error))
    {
      hf_state_log (state, HF_LOG_CONFIG_INVALID, "watch of %s: %s", watch_names[purpose], error.message);
      return;
    }
  if (object.type == HF_WATCH_BOOKMARK)
    {
      if (purpose == HF_PURPOSE_VMS && !watch->complete)
        hf_members_end_list (state);
      watch->complete = true;
    }
  else if (purpose == HF_PURPOSE_CONFIG)
    config_object (state, &object);
  else
    hf_members_vm (state, &object);
  hf_object_unload (&object);
}

void
hf_sync_watch_timer (struct hf_state *state, enum hf_purpose purpose)
{
  state->watches[purpose].timer = NULL;
  open_watch (state, purpose);
}

void
hf_sync_check_watches (struct hf_state *state)
{
  for (int purpose = HF_PURPOSE_CONFIG; purpose <= HF_PURPOSE_VMS; purpose++)
    {
      struct hf_watch *watch = &state->watches[purpose];
      if (watch->timer || state->now - watch->heard_at < HF_WATCH_SILENT_MS * HF_MS)
        continue;
      hf_state_log (state, HF_LOG_WATCH_SILENT, "watch of %s is silent; opening a new one", watch_names[purpose]);
      open_watch (state, purpose);
    }
}

void
hf_sync_check_stored (struct hf_state *state)
{
  bool due = state->now - state->config_checked_at >= HF_CONFIG_CHECK_MS * HF_MS;
  if (!due || !hf_members_own (state, hf_hash (hf_str ("config"), 0)))
    return;
  state->config_checked_at = state->now;
  hf_state_platform (state, HF_PLATFORM_HEAD, HF_PURPOSE_CONFIG, 0, hf_str ("config"), 0, (struct hf_str){ 0 });
}

void
hf_sync_platform (struct hf_state *state, const struct hf_event *event)
{
  struct hf_object object;
  if (event->platform.op == HF_PLATFORM_HEAD)
    {
      stored_checked (state, event);
      return;
    }
  if (event->platform.status != 200 && event->platform.status != 201)
    {
      /* Lost or a conflict: the watch tells what is there now. */
      schedule_restore (state);
      return;
    }
  if (!hf_object_load (event->platform.data, &object, NULL))
    return;
  state->config_version = object.version;
  state->config_stored = hf_object_uint (&object, "generation");
  hf_state_log (state, HF_LOG_CONFIG_RESTORED, "wrote generation %" G_GUINT64_FORMAT " back",
                (guint64) state->config_stored);
  hf_object_unload (&object);
}

void
hf_sync_peer (struct hf_state *state, const struct hf_member *member)
{
  struct hf_pull *pull = &state->pull;
  bool stalled = pull->from && pull->from != member->boot && member->generation == pull->generation
                 && state->now - pull->progress_at >= HF_CONFIG_STALLED_MS * HF_MS;
  if (member->generation <= generation_of (state) || (member->generation <= pull->generation && !stalled))
    return;
  end_pull (state);
  pull->from = member->boot;
  pull->generation = member->generation;
  pull->digest = member->digest;
  pull->text = g_string_new (NULL);
  pull->progress_at = state->now;
  ask_chunk (state);
}

void
hf_sync_message (struct hf_state *state, const struct hf_event *event)
{
  const struct hf_rpc_message *message = event->peer.message;
  if (message->body.kind == HF_RPC_PULL)
    peer_pull (state, message->boot, &message->body.hf_rpc_body_u.pull);
  else
    peer_chunk (state, message->boot, &message->body.hf_rpc_body_u.chunk);
}

void
hf_sync_pull_timer (struct hf_state *state)
{
  state->pull.timer = NULL;
  const struct hf_member *member = hf_members_find (state, state->pull.from);
  bool usable = member && member->generation == state->pull.generation;
  bool timely = state->now - state->pull.progress_at < HF_PEER_TIMEOUT_MS * HF_MS;
  if (usable && timely && state->pull.generation > generation_of (state))
    ask_chunk (state);
  else
    end_pull (state); /* the next heartbeat starts another */
}

void
hf_sync_restore (struct hf_state *state)
{
  state->restore_timer = NULL;
  if (!state->document || state->config_stored >= generation_of (state))
    return;
  if (!hf_members_own (state, hf_hash (hf_str ("config"), 0)))
    return;
  struct hf_manifest manifest = { .generation = state->document->generation,
                                  .digest = state->document->digest,
                                  .document = state->document->text };
  char *json = hf_manifest_write (state->config_version, &manifest);
  hf_state_platform (state, HF_PLATFORM_PUT, HF_PURPOSE_CONFIG, 0, hf_str ("config"), state->config_version,
                     hf_str (json));
  g_free (json);
}
