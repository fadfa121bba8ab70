/* Slices of a large service. */
#include "hf-slices.h"

/* --- internal functions --- */

static uint64_t
slice_id (uint64_t service, unsigned slice)
{
  return slice == 0 ? service : hf_hash_pair (service, slice);
}

static unsigned
slots_of (const struct hf_state *state, const struct hf_service_state *slice)
{
  unsigned slots = 0;
  for (guint i = 0; i < slice->pool.servers->len; i++)
    {
      const struct hf_pool_server *server = &g_array_index (slice->pool.servers, struct hf_pool_server, i);
      if (hf_health_is_usable (server, state->now))
        slots += hf_health_slots (server);
    }
  return slots;
}

/* --- public functions --- */

unsigned
hf_slices_wanted (size_t servers, unsigned now)
{
  unsigned wanted = 1;
  if (servers <= HF_SLICE_SERVERS_MAX)
    return 1;
  while (servers > (size_t) wanted * HF_SLICE_SERVERS && wanted < HF_SLICES_MAX)
    wanted *= 2;
  /* Fewer only when they are clearly too many: servers come and go. */
  bool far_too_many = servers * 3 < (size_t) now * HF_SLICE_SERVERS;
  return wanted > now || far_too_many ? wanted : now;
}

struct hf_service_state *
hf_slices_add (struct hf_state *state, const struct hf_service *spec, unsigned slice)
{
  uint64_t id = slice_id (hf_service_id (spec), slice);
  struct hf_service_state *service = hf_state_service (state, id);
  if (service)
    return service;
  service = g_new0 (struct hf_service_state, 1);
  service->id = id;
  service->parent = hf_service_id (spec);
  service->slices = 1;
  service->name = hf_str_dup (spec->name);
  hf_pool_init (&service->pool, hf_random_next (&state->random));
  g_hash_table_insert (state->services, &service->id, service);
  return service;
}

void
hf_slices_configure (struct hf_state *state, const struct hf_service *spec)
{
  unsigned slices = hf_slices_add (state, spec, 0)->slices;
  for (unsigned i = 0; i < slices; i++)
    hf_pool_configure (&hf_slices_add (state, spec, i)->pool, spec);
}

struct hf_service_state *
hf_slices_home (const struct hf_state *state, uint64_t service, uint64_t server)
{
  const struct hf_service_state *first = hf_state_service (state, service);
  return first ? hf_slices_at (state, service, (unsigned) (server % first->slices)) : NULL;
}

bool
hf_slices_resize (struct hf_state *state, uint64_t service, size_t servers)
{
  struct hf_service_state *first = hf_state_service (state, service);
  const struct hf_service *spec = first && state->document ? hf_document_find (state->document, first->name) : NULL;
  unsigned wanted = first ? hf_slices_wanted (servers, first->slices) : 0;
  if (!spec || wanted == first->slices)
    return false;
  first->slices = wanted;
  hf_slices_configure (state, spec);
  /* The first stocks of many pools at many entries would add up. */
  for (unsigned i = 0; i < wanted && wanted > 1; i++)
    hf_slices_at (state, service, i)->pool.budget.tokens = 0;
  return true;
}

uint64_t
hf_slices_draw (struct hf_state *state, uint64_t service)
{
  const struct hf_service_state *first = hf_state_service (state, service);
  unsigned weights[HF_SLICES_MAX];
  uint64_t sum = 0;
  if (!first || first->slices <= 1)
    return service;
  for (unsigned i = 0; i < first->slices; i++)
    {
      const struct hf_service_state *slice = hf_slices_at (state, service, i);
      weights[i] = slice ? slots_of (state, slice) : 0;
      sum += weights[i];
    }
  uint64_t drawn = sum ? hf_random_next (&state->random) % sum : 0;
  for (unsigned i = 0; i < first->slices && sum; i++)
    {
      if (drawn < weights[i])
        return slice_id (service, i);
      drawn -= weights[i];
    }
  return service;
}

struct hf_service_state *
hf_slices_at (const struct hf_state *state, uint64_t service, unsigned slice)
{
  return hf_state_service (state, slice_id (service, slice));
}
