/* Whether a slot request can still be served in time. */
#include "hf-admission.h"

#include "hf-placement.h"

#include "config.h"

/* --- internal functions --- */

/* Before the first response in time there is no median; the servers' latencies
 * then include attempts that timed out, and are a lower bound. */
static double
usual_latency_us (const struct hf_pool *pool, int64_t now)
{
  double latency_us;
  if (pool->median_latency_us > 0)
    return pool->median_latency_us;
  hf_placement_usable_slots (pool, now, 0, &latency_us);
  return latency_us;
}

/* --- public functions --- */

/* Refuses a request if the wait in the queue leaves too little time to run it. */
enum hf_refusal_reason
hf_admission_check (const struct hf_pool *pool, int64_t now, const struct hf_slot_request *request, unsigned ahead)
{
  double latency_us;
  double slots = hf_placement_usable_slots (pool, now, request->entry, &latency_us);
  if (slots == 0)
    return hf_admission_is_pushed_back (pool, now, request) ? HF_REFUSAL_PUSHBACK : HF_REFUSAL_NONE;
  bool misses = (double) now + (ahead + 1) * latency_us / slots + latency_us > (double) request->deadline;
  return misses ? HF_REFUSAL_DEADLINE : HF_REFUSAL_NONE;
}

bool
hf_admission_is_pushed_back (const struct hf_pool *pool, int64_t now, const struct hf_slot_request *request)
{
  int64_t return_at = hf_placement_first_return (pool, now, request->entry);
  return return_at > now && (double) return_at + usual_latency_us (pool, now) > (double) request->deadline;
}

bool
hf_admission_misses_soft_deadline (const struct hf_pool *pool, int64_t now, const struct hf_slot_request *request)
{
  return request->soft_deadline != 0
         && (double) now + pool->median_latency_us * HF_SOFT_DEADLINE_RATIO > (double) request->soft_deadline;
}

/* Requests that would miss their soft deadline are served last, so the queue ahead
 * of them may not drain before their deadline. */
bool
hf_admission_should_shed (const struct hf_pool *pool,
                          int64_t now,
                          const struct hf_slot_request *request,
                          unsigned ahead,
                          double slots)
{
  if (!hf_admission_misses_soft_deadline (pool, now, request) || slots == 0)
    return false;
  double wait_us = HF_LATE_QUEUE_FACTOR * ahead * pool->median_latency_us / slots;
  return (double) now + wait_us + pool->median_latency_us > (double) request->deadline;
}

/* True if even an immediate start would miss the deadline. */
bool
hf_admission_is_too_late (const struct hf_pool *pool, int64_t now, const struct hf_slot_request *request)
{
  if (request->soft_deadline == 0)
    return request->deadline <= now;
  return (double) now + usual_latency_us (pool, now) * HF_LAST_START_RATIO >= (double) request->deadline;
}

/* Where all servers are slow, a request that starts there takes longer by about as much as if it had waited. */
struct hf_forecast
hf_admission_forecast (const struct hf_pool *pool, int64_t now)
{
  struct hf_forecast forecast = { 0 };
  double latency_us = usual_latency_us (pool, now);
  unsigned queued = (unsigned) g_sequence_get_length (pool->queue);
  unsigned slots = hf_placement_normal_slots (pool, now, &forecast.free_slots);
  if (slots == 0)
    {
      bool is_usable = hf_placement_usable_servers (pool, now, 0, 0) > 0;
      forecast.slot_us = (int64_t) latency_us;
      forecast.wait_us
          = is_usable ? (int64_t) (latency_us * (HF_SLOWDOWN_FACTOR_MAX - 1)) : HF_AFFINITY_WAIT_MAX_MS * HF_MS;
      return forecast;
    }
  forecast.slot_us = (int64_t) (latency_us / slots);
  if (queued >= forecast.free_slots)
    forecast.wait_us = (queued - forecast.free_slots + 1) * forecast.slot_us;
  forecast.free_slots -= MIN (queued, forecast.free_slots);
  return forecast;
}

int64_t
hf_admission_spare_us (const struct hf_pool *pool, int64_t now, const struct hf_slot_request *request)
{
  int64_t deadline = request->soft_deadline ? request->soft_deadline : request->deadline;
  return deadline - now - (int64_t) (usual_latency_us (pool, now) * HF_SOFT_DEADLINE_RATIO);
}
