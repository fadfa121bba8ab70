/* Slices of a large service. */
#include "hf-slices.h"

#include "hf-cold-servers.h"
#include "hf-evacuation-sync.h"

/* --- internal functions --- */

static uint64_t
slice_id (uint64_t service, unsigned slice)
{
  return slice == 0 ? service : hf_hash_pair (service, slice);
}

static unsigned
count_usable_slots (const struct hf_state *state, const struct hf_service_state *slice)
{
  unsigned slots = 0;
  for (guint i = 0; i < slice->pool.servers->len; i++)
    {
      const struct hf_pool_server *server = &g_array_index (slice->pool.servers, struct hf_pool_server, i);
      bool pushes_back = hf_pushback_until (server->pushbacks, state->boot_id) > state->now;
      if (pushes_back || !hf_health_is_usable (server, state->now))
        continue;
      /* The limit of a cold server keeps about one slot busy. */
      bool is_limited = hf_cold_is_limited (&slice->pool.cold, &server->cold, state->now);
      slots += is_limited ? 1 : hf_health_usable_slots (server);
    }
  return slots;
}

static void
set_far_cost (const struct hf_state *state, struct hf_service_state *service)
{
  service->pool.far_cost_us = hf_affinity_is_on (&state->affinity) ? HF_AFFINITY_FAR_US : HF_PLACEMENT_FAR_US;
}

/* --- public functions --- */

unsigned
hf_slices_target_count (size_t servers, unsigned current)
{
  unsigned target = 1;
  if (servers <= HF_SLICE_SINGLE_SERVERS_MAX)
    return 1;
  while (servers > (size_t) target * HF_SLICE_SERVERS && target < HF_SLICES_MAX)
    target *= 2;
  /* Reduces the count only when it is far too large, as the number of servers varies. */
  bool far_too_many = servers * 3 < (size_t) current * HF_SLICE_SERVERS;
  return target > current || far_too_many ? target : current;
}

struct hf_service_state *
hf_slices_find_or_add (struct hf_state *state, const struct hf_service *spec, unsigned slice)
{
  uint64_t id = slice_id (hf_service_id (spec), slice);
  struct hf_service_state *service = hf_state_find_service (state, id);
  if (service)
    return service;
  service = g_new0 (struct hf_service_state, 1);
  service->id = id;
  service->service_id = hf_service_id (spec);
  service->slice_count = 1;
  service->name = hf_str_dup (spec->name);
  hf_pool_init (&service->pool, hf_random_next (&state->random_state));
  set_far_cost (state, service);
  service->pool.silent_hold_us = state->silent_hold_us;
  g_hash_table_insert (state->services, &service->id, service);
  return service;
}

void
hf_slices_configure (struct hf_state *state, const struct hf_service *spec)
{
  unsigned slices = hf_slices_find_or_add (state, spec, 0)->slice_count;
  for (unsigned i = 0; i < slices; i++)
    {
      struct hf_service_state *slice = hf_slices_find_or_add (state, spec, i);
      hf_pool_configure (&slice->pool, spec);
      hf_cold_servers_configure (state, &slice->pool, spec);
      hf_evacuation_sync_apply_all (state, slice);
    }
}

struct hf_service_state *
hf_slices_find_by_server (const struct hf_state *state, uint64_t service, uint64_t server)
{
  const struct hf_service_state *first = hf_state_find_service (state, service);
  return first ? hf_slices_find (state, service, (unsigned) (server % first->slice_count)) : NULL;
}

bool
hf_slices_resize (struct hf_state *state, uint64_t service, size_t servers)
{
  struct hf_service_state *first = hf_state_find_service (state, service);
  const struct hf_service *spec
      = first && state->document ? hf_document_find_service (state->document, first->name) : NULL;
  unsigned target = first ? hf_slices_target_count (servers, first->slice_count) : 0;
  if (!spec || target == first->slice_count)
    return false;
  first->slice_count = target;
  hf_slices_configure (state, spec);
  /* Retry budgets start empty: the initial tokens of many pools at many entries would add up. */
  for (unsigned i = 0; i < target && target > 1; i++)
    hf_slices_find (state, service, i)->pool.retry_budget.tokens = 0;
  return true;
}

uint64_t
hf_slices_choose (struct hf_state *state, uint64_t service)
{
  const struct hf_service_state *first = hf_state_find_service (state, service);
  unsigned weights[HF_SLICES_MAX];
  uint64_t sum = 0;
  if (!first || first->slice_count <= 1)
    return service;
  for (unsigned i = 0; i < first->slice_count; i++)
    {
      const struct hf_service_state *slice = hf_slices_find (state, service, i);
      weights[i] = slice ? count_usable_slots (state, slice) : 0;
      sum += weights[i];
    }
  uint64_t drawn = sum ? hf_random_next (&state->random_state) % sum : 0;
  for (unsigned i = 0; i < first->slice_count && sum; i++)
    {
      if (drawn < weights[i])
        return slice_id (service, i);
      drawn -= weights[i];
    }
  return service;
}

struct hf_service_state *
hf_slices_find (const struct hf_state *state, uint64_t service, unsigned slice)
{
  return hf_state_find_service (state, slice_id (service, slice));
}

void
hf_slices_handle_affinity (struct hf_state *state)
{
  GHashTableIter iter;
  struct hf_service_state *service;
  g_hash_table_iter_init (&iter, state->services);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &service))
    set_far_cost (state, service);
}
