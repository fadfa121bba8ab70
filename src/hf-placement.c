/* Choice of the backend server for a request. */
#include "hf-placement.h"

#include <string.h>

#include "config.h"

/* --- internal functions --- */

static const struct hf_pool_server *
server_at (const struct hf_pool *pool, size_t i)
{
  return &g_array_index (pool->servers, struct hf_pool_server, i);
}

static unsigned
effective_load (const struct hf_pool *pool, const struct hf_pool_server *server, int64_t now)
{
  unsigned load = server->granted;
  if (pool->policy->uses_remote_load)
    load += server->remote_load;
  bool fresh = now - server->load_reported_at < HF_LOAD_REPORT_MAX_AGE_MS * HF_MS;
  if (pool->policy->uses_load_reports && fresh && server->reported_load > (int) load)
    load = (unsigned) server->reported_load;
  return load;
}

/* True if the entry may send requests to the server, now or once a slot of it is free. */
static bool
is_usable_by (const struct hf_pool *pool, const struct hf_pool_server *server, int64_t now, uint64_t entry)
{
  bool too_cold = hf_cold_is_limited (&pool->cold, &server->cold, now) && pool->cold.allowed == 0;
  return hf_health_is_usable (server, now) && !too_cold && hf_pushback_until (server->pushbacks, entry) <= now;
}

/* A server without results is expected to have the mean latency of the others. */
static double
expected_latency (const struct hf_pool *pool, const struct hf_pool_server *server)
{
  double sum = 0;
  unsigned n = 0;
  if (server->samples > 0)
    return server->latency_us;
  for (size_t i = 0; i < pool->servers->len; i++)
    {
      const struct hf_pool_server *other = server_at (pool, i);
      if (other->samples == 0)
        continue;
      sum += other->latency_us;
      n++;
    }
  return n ? sum / n : 0;
}

static double
distance_cost_us (const struct hf_pool *pool,
                  const struct hf_pool_server *server,
                  const struct hf_slot_request *request)
{
  bool same_domain = request->failure_domain == 0 || server->failure_domain == 0
                     || request->failure_domain == server->failure_domain;
  return same_domain ? 0 : pool->far_cost_us + HF_PLACEMENT_FAR_US_PER_BYTE * (double) request->body_bytes;
}

/* Slots that may be used, without a last slot that is to be left free. */
static unsigned
usable_slots (const struct hf_pool *pool, const struct hf_pool_server *server)
{
  unsigned slots = hf_health_usable_slots (server);
  bool reports_speed = server->slowdown_percent > 0;
  if (reports_speed && server->slots > 1 && slots == server->slots
      && hf_saturation_avoids_last_slot (&pool->saturation))
    return slots - 1;
  return slots;
}

/* A request that starts in a slow phase of a server takes longer than most waits
 * for the end of that phase. Where measurements are required, a server that
 * reports its speed therefore gets requests only after a fresh report of normal
 * speed. Exceptions: a stale server whose measurement timed out or that must not
 * be measured, and a persistently slow one for a request that has waited for long
 * enough. */
static bool
may_start_now (const struct hf_pool *pool,
               int64_t now,
               const struct hf_pool_server *server,
               const struct hf_slot_request *request)
{
  int64_t waited = now - request->received_at;
  if (!pool->requires_measurements)
    return true;
  switch (hf_health_speed (server, now))
    {
    case HF_SPEED_NEVER_REPORTED:
    case HF_SPEED_NORMAL:
      return true;
    case HF_SPEED_STALE:
      if (server->measurable_at > now)
        return true;
      return server->measurement_unanswered_since > 0
             && now - server->measurement_unanswered_since >= HF_MEASURE_TIMEOUT_MS * HF_MS;
    case HF_SPEED_PERSISTENTLY_SLOW:
      return waited >= HF_SLOW_SERVER_WAIT_MS * HF_MS;
    case HF_SPEED_SLOW:
      break;
    }
  return false;
}

static size_t
list_candidates (const struct hf_pool *pool,
                 int64_t now,
                 const struct hf_slot_request *request,
                 uint64_t excluded_server,
                 bool try_last_slots,
                 struct hf_candidate *candidates)
{
  size_t n = 0;
  for (size_t i = 0; i < pool->servers->len; i++)
    {
      const struct hf_pool_server *server = server_at (pool, i);
      unsigned load = effective_load (pool, server, now);
      if (!hf_health_is_usable (server, now) || server->id == excluded_server
          || !hf_pushback_allows (server->pushbacks, request->entry, now)
          || !hf_cold_allows_start (&pool->cold, &server->cold, now) || !may_start_now (pool, now, server, request))
        continue;
      if (pool->policy->skips_full_servers
          && load >= (try_last_slots ? hf_health_usable_slots (server) : usable_slots (pool, server)))
        continue;
      candidates[n++] = (struct hf_candidate){ .server_index = i,
                                               .load = load,
                                               .slots = hf_health_usable_slots (server),
                                               .latency_us = expected_latency (pool, server),
                                               .latency_factor = hf_health_latency_factor (server, now),
                                               .distance_cost_us = distance_cost_us (pool, server, request),
                                               .failure_rate = server->failure_rate };
    }
  return n;
}

/* A request with time left before its soft deadline waits for a server that is not
 * slow and, with a large body, for a near one: a slow phase lasts for a shorter
 * time than the delay of a request that starts in it. */
static bool
may_wait (const struct hf_pool *pool, int64_t now, const struct hf_slot_request *request)
{
  if (request->soft_deadline == 0 || pool->median_latency_us <= 0)
    return false;
  double spare_us = (double) (request->soft_deadline - now) - pool->median_latency_us;
  return spare_us > 0 && now - request->received_at < HF_PLACEMENT_WAIT_MAX_MS * HF_MS;
}

static size_t
drop_slow_or_distant (struct hf_candidate *candidates, size_t n)
{
  size_t kept = 0;
  for (size_t i = 0; i < n; i++)
    if (candidates[i].latency_factor < HF_PLACEMENT_SLOW_FACTOR
        && candidates[i].distance_cost_us < HF_PLACEMENT_FAR_WAIT_US)
      candidates[kept++] = candidates[i];
  return kept;
}

/* A trial that measures the cost of last slots takes one, if any server has just one slot free. */
static size_t
prefer_last_slots (const struct hf_pool *pool, struct hf_candidate *candidates, size_t n)
{
  size_t kept = 0;
  struct hf_candidate with_last_slot[n + 1];
  for (size_t i = 0; i < n; i++)
    {
      const struct hf_pool_server *server = server_at (pool, candidates[i].server_index);
      bool not_slow = server->slowdown_percent > 0 && candidates[i].latency_factor < HF_PLACEMENT_SLOW_FACTOR;
      if (not_slow && server->slots > 1 && candidates[i].load + 1 >= server->slots)
        with_last_slot[kept++] = candidates[i];
    }
  if (kept == 0)
    return n;
  memcpy (candidates, with_last_slot, kept * sizeof *with_last_slot);
  return kept;
}

/* True if a server that reports its speed has no fresh report of normal speed, and
 * its last report and measurement are old enough for the next one. */
static bool
is_measurement_due (const struct hf_pool_server *server, int64_t now)
{
  enum hf_speed speed = hf_health_speed (server, now);
  int64_t interval_ms = server->slow_since > 0 ? HF_MEASURE_SLOW_INTERVAL_MS : HF_MEASURE_MIN_INTERVAL_MS;
  int64_t last_at = MAX (server->slowdown_reported_at, server->measurement_sent_at);
  return speed != HF_SPEED_NORMAL && speed != HF_SPEED_NEVER_REPORTED && now - last_at >= interval_ms * HF_MS;
}

/* --- public functions --- */

size_t
hf_placement_usable_servers (const struct hf_pool *pool, int64_t now, uint64_t entry, uint64_t excluded_server)
{
  size_t n = 0;
  for (size_t i = 0; i < pool->servers->len; i++)
    n += is_usable_by (pool, server_at (pool, i), now, entry) && server_at (pool, i)->id != excluded_server;
  return n;
}

int64_t
hf_placement_first_return (const struct hf_pool *pool, int64_t now, uint64_t entry)
{
  int64_t first = 0;
  for (size_t i = 0; i < pool->servers->len; i++)
    {
      const struct hf_pool_server *server = server_at (pool, i);
      if (hf_health_is_draining (server, now) || hf_health_is_unresponsive (server))
        continue;
      int64_t return_at = MAX (server->ejected_until, hf_pushback_until (server->pushbacks, entry));
      if (return_at <= now)
        return 0;
      first = first == 0 ? return_at : MIN (first, return_at);
    }
  return first;
}

bool
hf_placement_is_pushed_back (const struct hf_pool *pool, int64_t now, uint64_t entry)
{
  for (size_t i = 0; i < pool->servers->len; i++)
    if (!hf_pushback_allows (server_at (pool, i)->pushbacks, entry, now))
      return true;
  return false;
}

struct hf_pool_server *
hf_placement_choose_server (struct hf_pool *pool, int64_t now, const struct hf_slot_request *request)
{
  uint64_t excluded_server = request->excluded_server;
  struct hf_candidate candidates[pool->servers->len + 1];
  bool try_last_slots = hf_saturation_tries_last_slot (&pool->saturation);
  size_t n = list_candidates (pool, now, request, excluded_server, try_last_slots, candidates);
  /* The excluded server is used if no other one is usable. */
  if (n == 0 && excluded_server && hf_placement_usable_servers (pool, now, request->entry, excluded_server) == 0)
    n = list_candidates (pool, now, request, 0, try_last_slots, candidates);
  if (try_last_slots)
    n = prefer_last_slots (pool, candidates, n);
  if (may_wait (pool, now, request))
    n = drop_slow_or_distant (candidates, n);
  if (n == 0)
    return NULL;
  struct hf_choice_context context = { .choices = pool->choices };
  size_t i = pool->policy->choose (&context, candidates, n, hf_random_next (&pool->random_state));
  pool->choices++;
  return i < n ? &g_array_index (pool->servers, struct hf_pool_server, candidates[i].server_index) : NULL;
}

double
hf_placement_usable_slots (const struct hf_pool *pool, int64_t now, uint64_t entry, double *latency_us)
{
  double slots = 0;
  double sum = 0;
  for (size_t i = 0; i < pool->servers->len; i++)
    {
      const struct hf_pool_server *server = server_at (pool, i);
      if (!is_usable_by (pool, server, now, entry))
        continue;
      double latency = expected_latency (pool, server);
      double server_slots = usable_slots (pool, server);
      if (hf_cold_is_limited (&pool->cold, &server->cold, now))
        server_slots = MIN (server_slots, hf_cold_busy_slots (&pool->cold, latency));
      slots += server_slots;
      sum += latency * server_slots;
    }
  *latency_us = slots > 0 ? sum / slots : 0;
  return slots;
}

bool
hf_placement_has_free_slot (const struct hf_pool *pool, int64_t now)
{
  bool try_last_slots = hf_saturation_tries_last_slot (&pool->saturation);
  for (size_t i = 0; i < pool->servers->len; i++)
    {
      const struct hf_pool_server *server = server_at (pool, i);
      unsigned slots = try_last_slots ? hf_health_usable_slots (server) : usable_slots (pool, server);
      bool is_slow = pool->requires_measurements && hf_health_speed (server, now) == HF_SPEED_SLOW;
      bool may_start = hf_cold_allows_start (&pool->cold, &server->cold, now);
      if (hf_health_is_usable (server, now) && !is_slow && may_start && effective_load (pool, server, now) < slots)
        return true;
    }
  return !pool->policy->skips_full_servers;
}

unsigned
hf_placement_normal_slots (const struct hf_pool *pool, int64_t now, unsigned *free_slots)
{
  unsigned sum = 0;
  *free_slots = 0;
  for (size_t i = 0; i < pool->servers->len; i++)
    {
      const struct hf_pool_server *server = server_at (pool, i);
      bool is_slow = pool->requires_measurements && hf_health_speed (server, now) == HF_SPEED_SLOW;
      unsigned slots = usable_slots (pool, server);
      if (!hf_health_is_usable (server, now) || is_slow)
        continue;
      sum += slots;
      *free_slots += slots - MIN (slots, effective_load (pool, server, now));
    }
  return sum;
}

struct hf_pool_server *
hf_placement_server_to_measure (const struct hf_pool *pool, int64_t now, const struct hf_slot_request *request)
{
  struct hf_pool_server *best = NULL;
  double lowest_cost = 0;
  for (guint i = 0; i < pool->servers->len; i++)
    {
      struct hf_pool_server *server = &g_array_index (pool->servers, struct hf_pool_server, i);
      bool is_free = effective_load (pool, server, now) < usable_slots (pool, server);
      if (!is_free || server->measurable_at > now || !hf_health_is_usable (server, now)
          || !is_measurement_due (server, now) || !hf_cold_allows_start (&pool->cold, &server->cold, now))
        continue;
      double cost = expected_latency (pool, server) * hf_health_latency_factor (server, now)
                    + distance_cost_us (pool, server, request);
      if (best && cost >= lowest_cost)
        continue;
      best = server;
      lowest_cost = cost;
    }
  return best;
}
