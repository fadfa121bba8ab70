/* Measuring the speed of backend servers. */
#include "hf-measure.h"

#include "hf-members.h"
#include "hf-placement.h"
#include "hf-slices.h"

/* --- internal functions --- */

static bool
is_due (const struct hf_state *state, const struct hf_pool_server *server, int64_t measure_us)
{
  int64_t known_at = MAX (server->slowdown_at, server->asked_at);
  bool full = server->granted + server->foreign >= server->slots;
  return !full && !hf_health_is_leaving (server, state->now) && state->now - known_at >= measure_us;
}

static void
measure (struct hf_state *state, const struct hf_service *spec, struct hf_pool_server *server)
{
  struct hf_effect effect = { .kind = HF_EFFECT_PROBE, .server = server->id };
  effect.address = hf_effects_keep (state->out, server->address);
  effect.path = hf_effects_keep (state->out, spec->health_path);
  effect.name = hf_effects_keep (state->out, server->name);
  hf_effects_add (state->out, effect);
  hf_state_count (state, HF_COUNT_PROBES);
  hf_health_note_asked (server, state->now);
}

/* Measurements that may still be answered. */
static unsigned
count_out (const struct hf_state *state, const struct hf_pool *pool)
{
  unsigned n = 0;
  for (guint i = 0; i < pool->servers->len; i++)
    {
      const struct hf_pool_server *server = &g_array_index (pool->servers, struct hf_pool_server, i);
      n += server->asked_at > server->slowdown_at && state->now - server->asked_at < HF_SPEED_FRESH_MS * HF_MS;
    }
  return n;
}

static void
measure_slice (struct hf_state *state, const struct hf_service *spec, struct hf_service_state *service)
{
  service->pool.measures = hf_members_own (state, service->id);
  if (!service->pool.measures || state->now - service->wanted_at > HF_MEASURE_USED_MS * HF_MS)
    return;
  hf_measure_demand (state, service);
  for (size_t i = 0; i < service->pool.servers->len; i++)
    {
      struct hf_pool_server *server = &g_array_index (service->pool.servers, struct hf_pool_server, i);
      if (is_due (state, server, spec->measure_ms * HF_MS))
        measure (state, spec, server);
    }
}

static void
measure_service (struct hf_state *state, const struct hf_service *spec)
{
  const struct hf_service_state *first = hf_state_service (state, hf_service_id (spec));
  for (unsigned i = 0; first && i < first->slices; i++)
    {
      struct hf_service_state *slice = hf_slices_at (state, first->id, i);
      if (slice)
        measure_slice (state, spec, slice);
    }
}

/* --- public functions --- */

void
hf_measure_tick (struct hf_state *state)
{
  hf_state_timer (state, HF_MEASURE_TICK_MS * HF_MS, HF_TIMER_MEASURE, 0, 0);
  for (size_t i = 0; state->document && i < state->document->services.n; i++)
    {
      const struct hf_service *spec = hf_document_service (state->document, i);
      if (spec->measure_ms > 0)
        measure_service (state, spec);
    }
}

/* For each of the first in the queue the server that would suit it best. */
void
hf_measure_demand (struct hf_state *state, struct hf_service_state *service)
{
  const struct hf_pool *pool = &service->pool;
  const struct hf_service *spec
      = pool->measures && state->document ? hf_document_find (state->document, service->name) : NULL;
  unsigned waiting = hf_pool_waiting (pool);
  if (!spec || spec->measure_ms == 0 || waiting == 0)
    return;
  unsigned more = count_out (state, pool);
  unsigned most = MIN (HF_MEASURES_OUT_MAX, waiting + 1);
  for (unsigned i = 0; more < most; i++, more++)
    {
      const struct hf_pool_want *want = hf_pool_waits (pool, MIN (i, waiting - 1));
      struct hf_pool_server *server = hf_placing_to_measure (pool, state->now, want);
      if (!server)
        return;
      measure (state, spec, server);
    }
}

void
hf_measure_result (struct hf_state *state, const struct hf_event *event)
{
  struct hf_service_state *service = g_hash_table_lookup (state->homes, &event->server);
  if (service)
    hf_pool_measured (&service->pool, event->server, state->now, event->hints.status != 0,
                      event->hints.slowdown_percent);
}
