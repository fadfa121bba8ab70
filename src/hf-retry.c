/* Retry budget and backoff. */
#include "hf-retry.h"

#include <glib.h>

#include "config.h"

/* --- public functions --- */

void
hf_retry_init (struct hf_retry_budget *budget, double max, double percent)
{
  *budget = (struct hf_retry_budget){ .tokens = max, .max = max, .earn = percent / 100.0 };
}

void
hf_retry_earn (struct hf_retry_budget *budget)
{
  budget->tokens += budget->earn;
  if (budget->tokens > budget->max)
    budget->tokens = budget->max;
}

bool
hf_retry_spend (struct hf_retry_budget *budget)
{
  if (budget->tokens < 1.0)
    {
      budget->denied++;
      return false;
    }
  budget->tokens -= 1.0;
  budget->spent++;
  return true;
}

int64_t
hf_retry_delay_us (unsigned retry, int64_t retry_after_ms, uint64_t random)
{
  int64_t ceiling = HF_BACKOFF_BASE_MS * HF_MS << (retry < 10 ? retry : 10);
  if (ceiling > HF_BACKOFF_CAP_MS * HF_MS)
    ceiling = HF_BACKOFF_CAP_MS * HF_MS;
  int64_t delay = (int64_t) (random % (uint64_t) (ceiling + 1));
  if (retry_after_ms > 0)
    delay += retry_after_ms * HF_MS;
  return delay;
}

int64_t
hf_hedge_after_us (int64_t aim_left_us, double latency_us)
{
  double room = latency_us * HF_HEDGE_ROOM_RATIO;
  return (int64_t) MAX ((double) aim_left_us - room, room);
}
