/* Measures the speed of backend servers. */
#include "hf-measure.h"

#include "hf-placement.h"
#include "hf-roles.h"
#include "hf-slices.h"

/* --- internal functions --- */

static bool
is_due (const struct hf_state *state, const struct hf_pool_server *server, int64_t interval_us)
{
  int64_t last_at = MAX (server->slowdown_reported_at, server->measurement_sent_at);
  bool full = server->granted + server->remote_load >= server->slots;
  return !full && server->measurable_at <= state->now && !hf_health_is_draining (server, state->now)
         && state->now - last_at >= interval_us;
}

static void
send_measurement (struct hf_state *state, const struct hf_service *spec, struct hf_pool_server *server)
{
  struct hf_effect effect = { .kind = HF_EFFECT_SEND_PROBE, .server = server->id, .incarnation = server->incarnation };
  effect.address = hf_effects_copy (state->effects, server->address);
  effect.crosses_domain = hf_state_crosses_domain (state, server->failure_domain);
  effect.path = hf_effects_copy (state->effects, spec->health_path);
  effect.name = hf_effects_copy (state->effects, server->name);
  hf_effects_add (state->effects, effect);
  hf_state_increment (state, HF_COUNT_PROBES);
  hf_health_measurement_sent (server, state->now);
}

/* Counts the measurements that may still get a response. */
static unsigned
count_in_flight (const struct hf_state *state, const struct hf_pool *pool)
{
  unsigned n = 0;
  for (guint i = 0; i < pool->servers->len; i++)
    {
      const struct hf_pool_server *server = &g_array_index (pool->servers, struct hf_pool_server, i);
      n += server->measurement_sent_at > server->slowdown_reported_at
           && state->now - server->measurement_sent_at < HF_SPEED_FRESH_MS * HF_MS;
    }
  return n;
}

static void
measure_slice (struct hf_state *state, const struct hf_service *spec, struct hf_service_state *service)
{
  service->pool.requires_measurements
      = spec->measure_interval_ms > 0 && hf_roles_slice_granter (state, service) == state->boot_id;
  if (!service->pool.requires_measurements || state->now - service->last_slot_request_at > HF_MEASURE_IDLE_MS * HF_MS)
    return;
  hf_measure_for_queue (state, service);
  for (size_t i = 0; i < service->pool.servers->len; i++)
    {
      struct hf_pool_server *server = &g_array_index (service->pool.servers, struct hf_pool_server, i);
      if (is_due (state, server, spec->measure_interval_ms * HF_MS))
        send_measurement (state, spec, server);
    }
}

static void
measure_service (struct hf_state *state, const struct hf_service *spec)
{
  const struct hf_service_state *first = hf_state_find_service (state, hf_service_id (spec));
  for (unsigned i = 0; first && i < hf_slices_total (first); i++)
    {
      struct hf_service_state *slice = hf_slices_find (state, first->id, i);
      if (slice)
        measure_slice (state, spec, slice);
    }
}

/* --- public functions --- */

void
hf_measure_tick (struct hf_state *state)
{
  hf_state_start_timer (state, HF_MEASURE_TICK_MS * HF_MS, HF_TIMER_MEASURE_TICK, 0, 0);
  for (size_t i = 0; state->document && i < state->document->services.n; i++)
    measure_service (state, hf_document_get_service (state->document, i));
}

/* Measures, for each of the first requests in the queue, the server that would suit it best. */
void
hf_measure_for_queue (struct hf_state *state, struct hf_service_state *service)
{
  const struct hf_pool *pool = &service->pool;
  const struct hf_service *spec = pool->requires_measurements && state->document
                                      ? hf_document_find_service (state->document, service->name)
                                      : NULL;
  unsigned waiting = hf_pool_queue_length (pool);
  if (!spec || spec->measure_interval_ms == 0 || waiting == 0)
    return;
  unsigned in_flight = count_in_flight (state, pool);
  unsigned limit = MIN (HF_MEASURES_IN_FLIGHT_MAX, waiting + 1);
  for (unsigned i = 0; in_flight < limit; i++, in_flight++)
    {
      const struct hf_slot_request *request = hf_pool_queued_request (pool, MIN (i, waiting - 1));
      struct hf_pool_server *server = hf_placement_server_to_measure (pool, state->now, request);
      if (!server)
        return;
      send_measurement (state, spec, server);
    }
}

void
hf_measure_handle_result (struct hf_state *state, const struct hf_event *event)
{
  struct hf_service_state *service = g_hash_table_lookup (state->service_by_server, &event->server);
  if (service)
    hf_pool_record_measurement (&service->pool, event->server, state->now, event->hints.status != 0,
                                event->hints.slowdown_percent);
}
