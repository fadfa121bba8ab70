/* Slices of a large service. */
#include "hf-slices.h"

#include "hf-cold-servers.h"
#include "hf-evacuation-sync.h"
/* --- types --- */

/* What makes the id of a slice. */
struct slice_key
{
  uint64_t service;
  bool has_domain;
  uint64_t failure_domain;
  unsigned slice; /* among those of the service, or of the failure domain */
};

/* --- internal functions --- */

static uint64_t
slice_id (const struct slice_key *key)
{
  uint64_t base = key->has_domain ? hf_hash_pair (key->service, key->failure_domain) : key->service;
  return key->slice == 0 ? base : hf_hash_pair (base, key->slice);
}

/* @i: index among all slices of the service. */
static struct slice_key
key_at (const struct hf_service_state *first, unsigned i)
{
  struct slice_key key = { .service = first->service_id, .slice = i };
  if (!first->domains)
    return key;
  key.has_domain = true;
  key.failure_domain = g_array_index (first->domains, uint64_t, i / first->slice_count);
  key.slice = i % first->slice_count;
  return key;
}

static bool
has_domain (const struct hf_service_state *first, uint64_t failure_domain)
{
  for (guint i = 0; first->domains && i < first->domains->len; i++)
    if (g_array_index (first->domains, uint64_t, i) == failure_domain)
      return true;
  return false;
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

static struct hf_service_state *
find_or_add (struct hf_state *state, const struct hf_service *spec, const struct slice_key *key)
{
  uint64_t id = slice_id (key);
  struct hf_service_state *service = hf_state_find_service (state, id);
  if (service)
    return service;
  service = g_new0 (struct hf_service_state, 1);
  service->id = id;
  service->service_id = hf_service_id (spec);
  service->slice_count = 1;
  service->has_domain = key->has_domain;
  service->failure_domain = key->failure_domain;
  service->name = hf_str_dup (spec->name);
  hf_pool_init (&service->pool, hf_random_next (&state->random_state));
  set_far_cost (state, service);
  service->pool.silent_hold_us = state->silent_hold_us;
  g_hash_table_insert (state->services, &service->id, service);
  return service;
}

/* Slices by failure domain may be more than without them; together they have the same retry tokens, unless that would
 * be less than one for each. */
static void
share_retry_budget (const struct hf_service_state *first, struct hf_service_state *slice)
{
  struct hf_retry_budget *budget = &slice->pool.retry_budget;
  unsigned total = hf_slices_total (first);
  budget->max_tokens = MAX (1.0, budget->max_tokens * MIN (first->budget_shares, total) / total);
  budget->tokens = MIN (budget->tokens, budget->max_tokens);
}

/* Sets the failure domains that have slices; NULL: none. One that has no servers any more keeps its slices, as its
 * servers may return. Returns true if that changes them. */
static bool
set_domains (struct hf_service_state *first, const GArray *domains)
{
  bool changed = (first->domains != NULL) != (domains != NULL);
  if (changed && !domains)
    g_clear_pointer (&first->domains, g_array_unref);
  else if (changed)
    first->domains = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  for (guint i = 0; domains && i < domains->len; i++)
    {
      const struct hf_domain_servers *domain = &g_array_index (domains, struct hf_domain_servers, i);
      if (has_domain (first, domain->failure_domain))
        continue;
      g_array_append_val (first->domains, domain->failure_domain);
      changed = true;
    }
  return changed;
}

/* Slices of the service, or of each failure domain: as many as the largest one needs. */
static unsigned
target_count (struct hf_service_state *first, const GArray *domains, bool domains_changed)
{
  size_t servers = 0;
  size_t largest = 0;
  for (guint i = 0; i < domains->len; i++)
    {
      const struct hf_domain_servers *domain = &g_array_index (domains, struct hf_domain_servers, i);
      servers += domain->servers;
      largest = MAX (largest, domain->servers);
    }
  first->budget_shares = hf_slices_target_count (servers, 1);
  return hf_slices_target_count (first->domains ? largest : servers, domains_changed ? 1 : first->slice_count);
}

/* Draws one of the slices, or of those of a failure domain, with their usable slots as weights; 0: they have none. */
static uint64_t
draw_slice (struct hf_state *state, const struct hf_service_state *first, const uint64_t *failure_domain)
{
  unsigned total = hf_slices_total (first);
  unsigned weights[total + 1];
  uint64_t sum = 0;
  for (unsigned i = 0; i < total; i++)
    {
      const struct hf_service_state *slice = hf_slices_find (state, first->id, i);
      bool may_be_drawn = slice && (!failure_domain || slice->failure_domain == *failure_domain);
      weights[i] = may_be_drawn ? count_usable_slots (state, slice) : 0;
      sum += weights[i];
    }
  uint64_t drawn = sum ? hf_random_next (&state->random_state) % sum : 0;
  for (unsigned i = 0; i < total && sum; i++)
    {
      if (drawn < weights[i])
        return hf_slices_find (state, first->id, i)->id;
      drawn -= weights[i];
    }
  return 0;
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
hf_slices_find_or_add_first (struct hf_state *state, const struct hf_service *spec)
{
  const struct slice_key key = { .service = hf_service_id (spec) };
  return find_or_add (state, spec, &key);
}

void
hf_slices_configure (struct hf_state *state, const struct hf_service *spec)
{
  struct hf_service_state *first = hf_slices_find_or_add_first (state, spec);
  hf_pool_configure (&first->pool, spec);
  for (unsigned i = 0; i < hf_slices_total (first); i++)
    {
      struct slice_key key = key_at (first, i);
      struct hf_service_state *slice = find_or_add (state, spec, &key);
      if (slice != first)
        hf_pool_configure (&slice->pool, spec);
      if (slice->has_domain)
        share_retry_budget (first, slice);
      hf_cold_servers_configure (state, &slice->pool, spec);
      hf_evacuation_sync_apply_all (state, slice);
    }
}

struct hf_service_state *
hf_slices_find_by_server (const struct hf_state *state, uint64_t service, uint64_t server, uint64_t failure_domain)
{
  const struct hf_service_state *first = hf_state_find_service (state, service);
  if (!first || (first->domains && !has_domain (first, failure_domain)))
    return NULL;
  const struct slice_key key = { .service = service,
                                 .has_domain = first->domains != NULL,
                                 .failure_domain = failure_domain,
                                 .slice = (unsigned) (server % first->slice_count) };
  return hf_state_find_service (state, slice_id (&key));
}

bool
hf_slices_resize (struct hf_state *state, uint64_t service, const GArray *domains)
{
  struct hf_service_state *first = hf_state_find_service (state, service);
  const struct hf_service *spec
      = first && state->document ? hf_document_find_service (state->document, first->name) : NULL;
  if (!spec)
    return false;
  bool by_domain = hf_affinity_is_on (&state->affinity) && spec->policy == HF_POLICY_GRANTS;
  bool domains_changed = set_domains (first, by_domain ? domains : NULL);
  unsigned target = target_count (first, domains, domains_changed);
  if (!domains_changed && target == first->slice_count)
    return false;
  first->slice_count = target;
  hf_slices_configure (state, spec);
  /* Retry budgets start empty: the initial tokens of many pools at many entries would add up. */
  unsigned total = hf_slices_total (first);
  for (unsigned i = 0; i < total && total > 1; i++)
    hf_slices_find (state, service, i)->pool.retry_budget.tokens = 0;
  return true;
}

uint64_t
hf_slices_choose (struct hf_state *state, uint64_t service)
{
  const struct hf_service_state *first = hf_state_find_service (state, service);
  unsigned total = first ? hf_slices_total (first) : 0;
  uint64_t home = hf_hash (state->failure_domain, 0);
  if (total <= 1 && !(first && first->domains))
    return service;
  uint64_t chosen = first->domains ? draw_slice (state, first, &home) : 0;
  if (chosen == 0)
    chosen = draw_slice (state, first, NULL);
  return chosen ? chosen : service;
}

struct hf_service_state *
hf_slices_find (const struct hf_state *state, uint64_t service, unsigned slice)
{
  const struct hf_service_state *first = hf_state_find_service (state, service);
  if (!first || slice >= hf_slices_total (first))
    return NULL;
  const struct slice_key key = key_at (first, slice);
  return hf_state_find_service (state, slice_id (&key));
}

unsigned
hf_slices_total (const struct hf_service_state *first)
{
  return first->domains ? first->domains->len * first->slice_count : first->slice_count;
}

bool
hf_slices_is_outdated (const struct hf_state *state, const struct hf_service_state *slice)
{
  const struct hf_service_state *first = hf_state_find_service (state, slice->service_id);
  return first && slice->has_domain != (first->domains != NULL) && slice->pool.servers->len == 0;
}

void
hf_slices_handle_affinity (struct hf_state *state)
{
  GHashTableIter iter;
  struct hf_service_state *service;
  g_hash_table_iter_init (&iter, state->services);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &service))
    set_far_cost (state, service);
  state->directory.pools_outdated = true;
  state->directory.slices_outdated = true;
}
