/* Health probes within the probe budget of a service. */
#include "hf-probes.h"

#include "hf-members.h"
#include "hf-quarantine.h"

/* --- internal functions --- */

static int64_t
current_epoch (const struct hf_state *state)
{
  return state->wall_time / (HF_PROBE_EPOCH_SEC * HF_SEC);
}

static const struct hf_service *
find_spec (const struct hf_state *state, uint64_t id)
{
  for (size_t i = 0; state->document && i < state->document->services.n; i++)
    if (hf_service_id (hf_document_get_service (state->document, i)) == id)
      return hf_document_get_service (state->document, i);
  return NULL;
}

static void
object_name (uint64_t service, char *name, size_t size)
{
  g_snprintf (name, size, "probes-%016" G_GINT64_MODIFIER "x", (guint64) service);
}

static void
read_allotment (struct hf_state *state, struct hf_service_state *service)
{
  char name[40];
  object_name (service->id, name, sizeof name);
  service->probe_allotment_pending = true;
  hf_state_call_platform (state, HF_PLATFORM_GET, HF_PURPOSE_PROBES, service->id, hf_str (name), 0,
                          (struct hf_str){ 0 });
}

/* Writes how many tokens of the epoch are left. */
static void
write_allotment (struct hf_state *state, struct hf_service_state *service, uint64_t version, unsigned left)
{
  char name[40];
  JsonObject *data = json_object_new ();
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  object_name (service->id, name, sizeof name);
  json_object_set_int_member (data, "epoch", service->probe_epoch);
  json_object_set_int_member (data, "left", left);
  json_node_take_object (node, data);
  char *json = hf_object_to_json (name, version, node);
  service->probe_allotment_pending = true;
  hf_state_call_platform (state, HF_PLATFORM_PUT, HF_PURPOSE_PROBES, service->id, hf_str (name), version,
                          hf_str (json));
  g_free (json);
}

/* Tokens of an earlier epoch have expired. */
static void
update_epoch (const struct hf_state *state, struct hf_service_state *service)
{
  if (service->probe_epoch == current_epoch (state))
    return;
  service->probe_epoch = current_epoch (state);
  service->probe_tokens = 0;
  service->probe_tokens_requested = 0;
  service->probe_allotment_retry_at = 0;
}

/* Takes half of the tokens that are left, so that another entry that becomes the owner in this epoch finds some. */
static void
take_tokens (struct hf_state *state, struct hf_service_state *service, uint64_t version, unsigned left)
{
  unsigned taken = (left + 1) / 2;
  if (taken == 0)
    {
      service->probe_allotment_retry_at = state->now + HF_PROBE_ALLOTMENT_RETRY_MS * HF_MS;
      return;
    }
  service->probe_tokens_requested = taken;
  write_allotment (state, service, version, left - taken);
}

/* The tokens count as given back even if the write fails: whether it was applied may be unknown. */
static void
return_tokens (struct hf_state *state, struct hf_service_state *service, uint64_t version, unsigned left)
{
  unsigned returned = service->probe_tokens;
  service->probe_tokens = 0;
  write_allotment (state, service, version, left + returned);
}

/* Returns the tokens left in the epoch of @service; @object is NULL if there is none yet. */
static unsigned
count_left (const struct hf_service_state *service, const struct hf_service *spec, const struct hf_object *object)
{
  int64_t epoch = object ? (int64_t) hf_object_get_uint (object, "epoch") : -1;
  if (epoch < service->probe_epoch)
    return (unsigned) spec->probe_budget;
  return epoch == service->probe_epoch ? (unsigned) hf_object_get_uint (object, "left") : 0;
}

static void
handle_read (struct hf_state *state, struct hf_service_state *service, const struct hf_object *object)
{
  const struct hf_service *spec = find_spec (state, service->id);
  uint64_t version = object ? object->version : 0;
  update_epoch (state, service);
  if (!spec)
    return;
  unsigned left = count_left (service, spec, object);
  if (hf_members_is_owner (state, service->id))
    take_tokens (state, service, version, left);
  else if (service->probe_tokens > 0)
    return_tokens (state, service, version, left);
}

static bool
is_idle (const struct hf_state *state, const struct hf_pool_server *server)
{
  bool unwanted = (server->drain_sources & HF_DRAIN_LEAVING) || server->measurable_at > state->now;
  return !unwanted && server->granted == 0 && state->now - server->last_response_at >= HF_PROBE_IDLE_MS * HF_MS;
}

static struct hf_pool_server *
next_idle_server (const struct hf_state *state, struct hf_service_state *service)
{
  size_t n = service->pool.servers->len;
  for (size_t i = 0; i < n; i++)
    {
      size_t index = (service->next_probe_index + i) % n;
      struct hf_pool_server *server = &g_array_index (service->pool.servers, struct hf_pool_server, index);
      if (!is_idle (state, server))
        continue;
      service->next_probe_index = index;
      return server;
    }
  return NULL;
}

static void
send_probe (struct hf_state *state,
            struct hf_service_state *service,
            const struct hf_service *spec,
            struct hf_pool_server *server)
{
  struct hf_effect effect = { .kind = HF_EFFECT_SEND_PROBE, .server = server->id, .arg = service->id };
  effect.incarnation = server->incarnation;
  effect.address = hf_effects_copy (state->effects, server->address);
  effect.crosses_domain = hf_state_crosses_domain (state, server->failure_domain);
  effect.path = hf_effects_copy (state->effects, spec->health_path);
  hf_effects_add (state->effects, effect);
  hf_state_increment (state, HF_COUNT_PROBES);
  service->probe_tokens--;
  server->last_response_at = state->now; /* probed again after HF_PROBE_IDLE_MS at the earliest */
}

/* Probes all idle servers, as far as there are tokens. */
static void
tick_owner (struct hf_state *state, struct hf_service_state *service, const struct hf_service *spec)
{
  struct hf_pool_server *idle = next_idle_server (state, service);
  while (idle && service->probe_tokens > 0)
    {
      send_probe (state, service, spec, idle);
      idle = next_idle_server (state, service);
    }
  if (idle && state->now >= service->probe_allotment_retry_at)
    read_allotment (state, service);
}

static void
tick_service (struct hf_state *state, struct hf_service_state *service)
{
  const struct hf_service *spec = find_spec (state, service->id);
  if (!spec || spec->probe_budget == 0 || service->probe_allotment_pending)
    return;
  update_epoch (state, service);
  if (hf_members_is_owner (state, service->id))
    tick_owner (state, service, spec);
  else if (service->probe_tokens > 0)
    read_allotment (state, service); /* to give the tokens back */
}

/* Tokens whose write failed, or succeeded too late for its epoch, are not used. */
static void
handle_write (struct hf_state *state, struct hf_service_state *service, bool written)
{
  if (written && service->probe_epoch == current_epoch (state))
    service->probe_tokens += service->probe_tokens_requested;
  service->probe_tokens_requested = 0;
  if (written)
    tick_service (state, service);
}

/* --- public functions --- */

void
hf_probes_tick (struct hf_state *state)
{
  GHashTableIter iter;
  struct hf_service_state *service;
  g_hash_table_iter_init (&iter, state->services);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &service))
    tick_service (state, service);
}

void
hf_probes_handle_platform (struct hf_state *state, const struct hf_event *event)
{
  struct hf_service_state *service = hf_state_find_service (state, event->platform.arg);
  struct hf_object object = { 0 };
  if (!service)
    return;
  service->probe_allotment_pending = false;
  bool ok = event->platform.status == 200 || event->platform.status == 201;
  if (event->platform.op == HF_PLATFORM_PUT)
    handle_write (state, service, ok);
  else if (event->platform.status == 404)
    handle_read (state, service, NULL);
  else if (ok && hf_object_load (event->platform.data, &object, NULL))
    {
      handle_read (state, service, &object);
      hf_object_unload (&object);
    } /* else the allotment is unknown: read again at the next tick */
}

void
hf_probes_handle_result (struct hf_state *state, const struct hf_event *event)
{
  struct hf_service_state *service = g_hash_table_lookup (state->service_by_server, &event->server);
  const struct hf_pool_server *server = service ? hf_pool_find_server (&service->pool, event->server) : NULL;
  if (!server || event->hints.status == 0)
    return;
  if (event->hints.load >= 0)
    hf_pool_record_load (&service->pool, event->server, event->hints.load, state->now);
  bool was_draining = (server->drain_sources & HF_DRAIN_TEMPORARY) != 0;
  int64_t until = state->now + HF_DRAIN_HOLD_MS * HF_MS;
  if (event->hints.draining)
    {
      if (hf_state_mark_draining (state, service, event->server, HF_DRAIN_HEALTH, until, "its health endpoint"))
        hf_quarantine_broadcast (state, HF_NOTICE_DRAINING, service->id, event->server, HF_DRAIN_HOLD_MS);
    }
  else if (event->hints.status == 200 && was_draining)
    {
      hf_pool_set_draining (&service->pool, event->server, HF_DRAIN_TEMPORARY, false, 0);
      hf_quarantine_broadcast (state, HF_NOTICE_NOT_DRAINING, service->id, event->server, 0);
    }
}
