/* Retry budget, backoff and hedge delay. */
#include "hf-retry.h"

#include <glib.h>

#include "config.h"

/* --- public functions --- */

void
hf_retry_budget_init (struct hf_retry_budget *budget, double max_tokens, double percent)
{
  *budget = (struct hf_retry_budget){ .tokens = max_tokens, .max_tokens = max_tokens, .deposit = percent / 100.0 };
}

void
hf_retry_budget_deposit (struct hf_retry_budget *budget)
{
  budget->tokens += budget->deposit;
  if (budget->tokens > budget->max_tokens)
    budget->tokens = budget->max_tokens;
}

void
hf_retry_budget_refund (struct hf_retry_budget *budget, bool retry)
{
  if (!retry)
    {
      budget->tokens = MAX (budget->tokens - budget->deposit, 0);
      return;
    }
  budget->tokens = MIN (budget->tokens + 1.0, budget->max_tokens);
  budget->allowed--;
}

bool
hf_retry_budget_withdraw (struct hf_retry_budget *budget)
{
  if (budget->tokens < 1.0)
    {
      budget->denied++;
      return false;
    }
  budget->tokens -= 1.0;
  budget->allowed++;
  return true;
}

int64_t
hf_retry_backoff_us (unsigned retry, int64_t retry_after_ms, uint64_t random)
{
  int64_t ceiling_us = HF_BACKOFF_BASE_MS * HF_MS << (retry < 10 ? retry : 10);
  if (ceiling_us > HF_BACKOFF_CAP_MS * HF_MS)
    ceiling_us = HF_BACKOFF_CAP_MS * HF_MS;
  int64_t delay_us = (int64_t) (random % (uint64_t) (ceiling_us + 1));
  if (retry_after_ms > 0)
    delay_us += retry_after_ms * HF_MS;
  return delay_us;
}

int64_t
hf_retry_hedge_delay_us (int64_t soft_deadline_left_us, double latency_us)
{
  double reserve_us = latency_us * HF_HEDGE_RESERVE_RATIO;
  return (int64_t) MAX ((double) soft_deadline_left_us - reserve_us, reserve_us);
}
