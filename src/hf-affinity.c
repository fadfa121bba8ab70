/* Whether requests are placed near their callers. */
#include "hf-affinity.h"

#include <glib.h>

#include "config.h"

/* --- internal functions --- */

static int64_t
smaller_rtt (int64_t a, int64_t b)
{
  if (a == 0 || b == 0)
    return MAX (a, b);
  return MIN (a, b);
}

/* Two windows, so that a sample counts for at least one of them and at most two. */
static void
advance_window (struct hf_affinity *affinity, int64_t now)
{
  int64_t age = now - affinity->window_at;
  if (age < HF_AFFINITY_WINDOW_MS * HF_MS)
    return;
  affinity->previous_rtt_us = age < 2 * HF_AFFINITY_WINDOW_MS * HF_MS ? affinity->window_rtt_us : 0;
  affinity->window_rtt_us = 0;
  affinity->window_at = now;
}

/* --- public functions: round trips --- */

void
hf_affinity_record_rtt (struct hf_affinity *affinity, int64_t now, int64_t rtt_us)
{
  if (rtt_us <= 0 || rtt_us > HF_AFFINITY_RTT_MAX_MS * HF_MS)
    return;
  advance_window (affinity, now);
  affinity->window_rtt_us = smaller_rtt (affinity->window_rtt_us, rtt_us);
  if (affinity->samples == 0)
    affinity->first_sample_at = now;
  affinity->samples++;
}

int64_t
hf_affinity_rtt_us (const struct hf_affinity *affinity, int64_t now)
{
  struct hf_affinity current = *affinity;
  advance_window (&current, now);
  return smaller_rtt (current.window_rtt_us, current.previous_rtt_us);
}

bool
hf_affinity_has_settled (const struct hf_affinity *affinity, int64_t now)
{
  return affinity->samples >= HF_AFFINITY_SAMPLES_MIN
         && now - affinity->first_sample_at >= HF_AFFINITY_SETTLE_MS * HF_MS;
}

/* --- public functions: decision --- */

bool
hf_affinity_is_on (const struct hf_affinity *affinity)
{
  if (affinity->mode == HF_AFFINITY_AUTO)
    return affinity->epoch % 2 == 1;
  return affinity->mode == HF_AFFINITY_ON;
}

bool
hf_affinity_has_spread (const struct hf_affinity *affinity, int64_t now)
{
  return affinity->changed_at == 0 || now - affinity->changed_at >= HF_AFFINITY_SPREAD_MS * HF_MS;
}

bool
hf_affinity_decide (struct hf_affinity *affinity, int64_t now, int64_t rtt_us)
{
  bool is_on = affinity->epoch % 2 == 1;
  int64_t limit_us = is_on ? HF_AFFINITY_RTT_KEEP_MS * HF_MS : HF_AFFINITY_RTT_MIN_MS * HF_MS;
  if (affinity->mode != HF_AFFINITY_AUTO || rtt_us == 0 || (rtt_us >= limit_us) == is_on)
    return false;
  affinity->epoch++;
  affinity->changed_at = now;
  return true;
}

bool
hf_affinity_adopt (struct hf_affinity *affinity, int64_t now, unsigned epoch)
{
  if (affinity->mode != HF_AFFINITY_AUTO || epoch <= affinity->epoch)
    return false;
  affinity->epoch = epoch;
  affinity->changed_at = now;
  return true;
}

/* --- public functions: crossing --- */

bool
hf_affinity_should_cross (const struct hf_forecast *home,
                          const struct hf_forecast *other,
                          int64_t spare_us,
                          int64_t rtt_us)
{
  int64_t cost_us = rtt_us + HF_AFFINITY_CROSS_MIN_MS * HF_MS;
  return (double) home->wait_us > HF_AFFINITY_SPARE_RATIO * (double) spare_us
         && other->wait_us + cost_us < home->wait_us;
}

void
hf_affinity_count_referral (struct hf_forecast *forecast)
{
  if (forecast->free_slots > 0)
    forecast->free_slots--;
  if (forecast->free_slots == 0)
    forecast->wait_us += MAX (forecast->slot_us, HF_MS);
}

bool
hf_affinity_differs (const struct hf_forecast *forecast, const struct hf_forecast *reported)
{
  int64_t step_us = HF_AFFINITY_CROSS_MIN_MS * HF_MS;
  unsigned few = MIN (forecast->free_slots, reported->free_slots);
  unsigned many = MAX (forecast->free_slots, reported->free_slots);
  return ABS (forecast->wait_us - reported->wait_us) >= step_us || many > 2 * few + 1;
}
