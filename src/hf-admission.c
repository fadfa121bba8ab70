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
  if (pool->median_latency_us > 0)
    return pool->median_latency_us;
  hf_placement_usable_slots (pool, now, &latency);
  return latency;
}

/* --- public functions --- */

/* True if the time to reach the head of the queue leaves too little for the
 * work. */
bool
hf_admission_would_miss_deadline (const struct hf_pool *pool,
                                  int64_t now,
                                  const struct hf_slot_request *request,
                                  unsigned ahead)
{
  double latency;
  unsigned slots = hf_placement_usable_slots (pool, now, &latency);
  if (slots == 0)
    return false;
  return (double) now + (ahead + 1) * latency / slots + latency > (double) request->deadline;
}

bool
hf_admission_misses_target (const struct hf_pool *pool, int64_t now, const struct hf_slot_request *request)
{
  return request->soft_deadline != 0
         && (double) now + pool->median_latency_us * HF_SOFT_DEADLINE_RATIO > (double) request->soft_deadline;
}

/* What is late gives way to the rest, and may not be reached in time. */
bool
hf_admission_should_shed (const struct hf_pool *pool,
                          int64_t now,
                          const struct hf_slot_request *request,
                          unsigned ahead,
                          unsigned slots)
{
  if (!hf_admission_misses_target (pool, now, request) || slots == 0)
    return false;
  double wait = HF_LATE_QUEUE_FACTOR * ahead * pool->median_latency_us / slots;
  return (double) now + wait + pool->median_latency_us > (double) request->deadline;
}

/* Too little time is left even for a start now. */
bool
hf_admission_is_too_late (const struct hf_pool *pool, int64_t now, const struct hf_slot_request *request)
{
  if (request->soft_deadline == 0)
    return request->deadline <= now;
  return (double) now + usual_latency (pool, now) * HF_LAST_START_RATIO >= (double) request->deadline;
}
