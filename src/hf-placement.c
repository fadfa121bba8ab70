/* Which backend server of a service takes a request. */
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
load_of (const struct hf_pool *pool, const struct hf_pool_server *server, int64_t now)
{
  unsigned load = server->granted;
  if (pool->policy->use_foreign)
    load += server->foreign;
  bool fresh = now - server->reported_at < HF_LOAD_REPORT_MAX_MS * HF_MS;
  if (pool->policy->use_reports && fresh && server->reported > (int) load)
    load = (unsigned) server->reported;
  return load;
}

/* Latency of a server that answered nothing yet is that of the others. */
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
distance_us (const struct hf_pool_server *server, const struct hf_pool_want *want)
{
  bool near
      = want->failure_domain == 0 || server->failure_domain == 0 || want->failure_domain == server->failure_domain;
  return near ? 0 : HF_PLACE_FAR_US + HF_PLACE_FAR_US_BYTE * (double) want->body_bytes;
}

/* Slots of a server that are worth using. */
static unsigned
usable_slots_of (const struct hf_pool *pool, const struct hf_pool_server *server)
{
  unsigned slots = hf_health_slots (server);
  bool measured = server->slowdown_percent > 0;
  if (measured && server->slots > 1 && slots == server->slots && hf_crowding_avoids_last (&pool->crowding))
    return slots - 1;
  return slots;
}

/* A start in a slow time lasts as long as many waits for its end: where servers
 * are asked for their speed, only one that has just said it is well is used. */
static bool
may_start (const struct hf_pool *pool,
           int64_t now,
           const struct hf_pool_server *server,
           const struct hf_pool_want *want)
{
  int64_t waited = now - want->asked_at;
  if (!pool->measures)
    return true;
  switch (hf_health_speed (server, now))
    {
    case HF_SPEED_UNTOLD:
    case HF_SPEED_USUAL:
      return true;
    case HF_SPEED_OLD:
      return server->unanswered_since > 0 && now - server->unanswered_since >= HF_SPEED_WAIT_MS * HF_MS;
    case HF_SPEED_LASTING:
      return waited >= HF_SLOW_WAIT_MS * HF_MS;
    case HF_SPEED_SLOW:
      break;
    }
  return false;
}

static size_t
list_candidates (const struct hf_pool *pool,
                 int64_t now,
                 const struct hf_pool_want *want,
                 uint64_t exclude,
                 bool all_slots,
                 struct hf_candidate *candidates)
{
  size_t n = 0;
  for (size_t i = 0; i < pool->servers->len; i++)
    {
      const struct hf_pool_server *server = server_at (pool, i);
      unsigned load = load_of (pool, server, now);
      if (!hf_health_is_usable (server, now) || server->id == exclude || !may_start (pool, now, server, want))
        continue;
      if (pool->policy->bounded && load >= (all_slots ? hf_health_slots (server) : usable_slots_of (pool, server)))
        continue;
      candidates[n++] = (struct hf_candidate){ .index = i,
                                               .load = load,
                                               .slots = hf_health_slots (server),
                                               .latency_us = expected_latency (pool, server),
                                               .factor = hf_health_factor (server, now),
                                               .distance_us = distance_us (server, want),
                                               .failure = server->failure };
    }
  return n;
}

/* A want with time to spare waits for a server that is not slowed down, and with
 * a large body for a near one: slow times are short against what a start in one
 * of them costs. */
static bool
may_wait (const struct hf_pool *pool, int64_t now, const struct hf_pool_want *want)
{
  if (want->aim_at == 0 || pool->typical_us <= 0)
    return false;
  double spare = (double) (want->aim_at - now) - pool->typical_us;
  return spare > 0 && now - want->asked_at < HF_PLACE_PATIENCE_MS * HF_MS;
}

static size_t
drop_costly (struct hf_candidate *candidates, size_t n)
{
  size_t kept = 0;
  for (size_t i = 0; i < n; i++)
    if (candidates[i].factor < HF_PLACE_SLOW_FACTOR && candidates[i].distance_us < HF_PLACE_FAR_WAIT_US)
      candidates[kept++] = candidates[i];
  return kept;
}

/* A choice that is to find out what last slots cost takes one, if there is one. */
static size_t
prefer_last_slots (const struct hf_pool *pool, struct hf_candidate *candidates, size_t n)
{
  size_t kept = 0;
  struct hf_candidate last[n + 1];
  for (size_t i = 0; i < n; i++)
    {
      const struct hf_pool_server *server = server_at (pool, candidates[i].index);
      bool calm = server->slowdown_percent > 0 && candidates[i].factor < HF_PLACE_SLOW_FACTOR;
      if (calm && server->slots > 1 && candidates[i].load + 1 >= server->slots)
        last[kept++] = candidates[i];
    }
  if (kept == 0)
    return n;
  memcpy (candidates, last, kept * sizeof *last);
  return kept;
}

/* Its word is wanted, and it was not asked just before. */
static bool
is_measure_due (const struct hf_pool_server *server, int64_t now)
{
  enum hf_speed speed = hf_health_speed (server, now);
  int64_t again_ms = server->slow_since > 0 ? HF_MEASURE_SLOW_MS : HF_MEASURE_AGAIN_MS;
  int64_t known_at = MAX (server->slowdown_at, server->asked_at);
  return speed != HF_SPEED_USUAL && speed != HF_SPEED_UNTOLD && now - known_at >= again_ms * HF_MS;
}

/* --- public functions --- */

size_t
hf_placing_usable (const struct hf_pool *pool, int64_t now, uint64_t exclude)
{
  size_t n = 0;
  for (size_t i = 0; i < pool->servers->len; i++)
    n += hf_health_is_usable (server_at (pool, i), now) && server_at (pool, i)->id != exclude;
  return n;
}

struct hf_pool_server *
hf_placing_choose (struct hf_pool *pool, int64_t now, const struct hf_pool_want *want)
{
  uint64_t exclude = want->exclude;
  struct hf_candidate candidates[pool->servers->len + 1];
  bool all_slots = hf_crowding_tries_last (&pool->crowding);
  size_t n = list_candidates (pool, now, want, exclude, all_slots, candidates);
  /* An excluded server is better than none. */
  if (n == 0 && exclude && hf_placing_usable (pool, now, exclude) == 0)
    n = list_candidates (pool, now, want, 0, all_slots, candidates);
  if (all_slots)
    n = prefer_last_slots (pool, candidates, n);
  if (may_wait (pool, now, want))
    n = drop_costly (candidates, n);
  if (n == 0)
    return NULL;
  struct hf_choice_context choice = { .turn = pool->turn };
  size_t i = pool->policy->choose (&choice, candidates, n, hf_random_next (&pool->random));
  pool->turn++;
  return i < n ? &g_array_index (pool->servers, struct hf_pool_server, candidates[i].index) : NULL;
}

unsigned
hf_placing_slots (const struct hf_pool *pool, int64_t now, double *latency_us)
{
  unsigned slots = 0;
  double sum = 0;
  for (size_t i = 0; i < pool->servers->len; i++)
    {
      const struct hf_pool_server *server = server_at (pool, i);
      if (!hf_health_is_usable (server, now))
        continue;
      unsigned own = usable_slots_of (pool, server);
      slots += own;
      sum += expected_latency (pool, server) * own;
    }
  *latency_us = slots ? sum / slots : 0;
  return slots;
}

bool
hf_placing_has_room (const struct hf_pool *pool, int64_t now)
{
  bool tries = hf_crowding_tries_last (&pool->crowding);
  for (size_t i = 0; i < pool->servers->len; i++)
    {
      const struct hf_pool_server *server = server_at (pool, i);
      unsigned slots = tries ? hf_health_slots (server) : usable_slots_of (pool, server);
      bool is_slow = pool->measures && hf_health_speed (server, now) == HF_SPEED_SLOW;
      if (hf_health_is_usable (server, now) && !is_slow && load_of (pool, server, now) < slots)
        return true;
    }
  return !pool->policy->bounded;
}

struct hf_pool_server *
hf_placing_to_measure (const struct hf_pool *pool, int64_t now, const struct hf_pool_want *want)
{
  struct hf_pool_server *best = NULL;
  double least = 0;
  for (guint i = 0; i < pool->servers->len; i++)
    {
      struct hf_pool_server *server = &g_array_index (pool->servers, struct hf_pool_server, i);
      bool is_free = load_of (pool, server, now) < usable_slots_of (pool, server);
      if (!is_free || !hf_health_is_usable (server, now) || !is_measure_due (server, now))
        continue;
      double cost = expected_latency (pool, server) * hf_health_factor (server, now) + distance_us (server, want);
      if (best && cost >= least)
        continue;
      best = server;
      least = cost;
    }
  return best;
}
