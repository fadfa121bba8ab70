/* What a waiting request can still hope for. */
#include "hf-admission.h"

#include "hf-placement.h"

#include "config.h"

/* --- internal functions --- */

/* Without answers in time, what was given up tells how long work takes at least. */
static double
usual_latency (const struct hf_pool *pool, int64_t now)
{
  double latency;
  if (pool->typical_us > 0)
    return pool->typical_us;
  hf_placing_slots (pool, now, &latency);
  return latency;
}

/* --- public functions --- */

/* True if the time to reach the head of the queue leaves too little for the
 * work. */
bool
hf_prospect_would_be_late (const struct hf_pool *pool, int64_t now, const struct hf_pool_want *want, unsigned ahead)
{
  double latency;
  unsigned slots = hf_placing_slots (pool, now, &latency);
  if (slots == 0)
    return false;
  return (double) now + (ahead + 1) * latency / slots + latency > (double) want->deadline;
}

bool
hf_prospect_is_late (const struct hf_pool *pool, int64_t now, const struct hf_pool_want *want)
{
  return want->aim_at != 0 && (double) now + pool->typical_us * HF_AIM_ROOM > (double) want->aim_at;
}

/* What is late gives way to the rest, and may not be reached in time. */
bool
hf_prospect_is_hopeless (const struct hf_pool *pool,
                         int64_t now,
                         const struct hf_pool_want *want,
                         unsigned ahead,
                         unsigned slots)
{
  if (!hf_prospect_is_late (pool, now, want) || slots == 0)
    return false;
  double wait = HF_LATE_PRESSURE * ahead * pool->typical_us / slots;
  return (double) now + wait + pool->typical_us > (double) want->deadline;
}

/* Too little time is left even for a start now. */
bool
hf_prospect_is_too_late (const struct hf_pool *pool, int64_t now, const struct hf_pool_want *want)
{
  if (want->aim_at == 0)
    return want->deadline <= now;
  return (double) now + usual_latency (pool, now) * HF_LAST_START >= (double) want->deadline;
}
