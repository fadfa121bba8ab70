/**
 * DOC: hf-retry - retry budget, backoff and hedge delay
 *
 * The retry budget is a token bucket: each first attempt deposits a fraction
 * of a token, each retry and hedge withdraws one. Where one entry grants the
 * slots of a service, the whole fleet shares its bucket, because budgets per
 * client do not bound the sum of their tokens
 * (PAPER-aws-architecture-series-54-d10e; measured in docs/MEASUREMENTS.md).
 */
#ifndef HF_RETRY_H
#define HF_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/* --- types --- */

/**
 * struct hf_retry_budget - tokens for retries and hedges
 * @tokens: tokens in the bucket; a retry takes one
 * @max_tokens: size of the bucket
 * @deposit: tokens added per first attempt
 * @allowed: number of retries allowed
 * @denied: number of retries denied
 */
struct hf_retry_budget
{
  double tokens;
  double max_tokens;
  double deposit;
  uint64_t allowed;
  uint64_t denied;
};

/* --- public functions --- */

void hf_retry_budget_init (struct hf_retry_budget *budget, double max_tokens, double percent); /* full bucket */
void hf_retry_budget_deposit (struct hf_retry_budget *budget);            /* call once per first attempt */
void hf_retry_budget_refund (struct hf_retry_budget *budget, bool retry); /* undoes a withdrawal, or a deposit */
bool hf_retry_budget_withdraw (struct hf_retry_budget *budget); /* takes a token; false: the retry is denied */

/* Delay of a hedge: so late that the hedge can just meet the soft deadline, but at least as long as the time reserved
 * for it, after which the first attempt is unusually slow. latency_us: median latency. */
int64_t hf_retry_hedge_delay_us (int64_t soft_deadline_left_us, double latency_us);

/* Exponential backoff with full jitter, added to the server's Retry-After (0 or less: none). retry: 0 for the first. */
int64_t hf_retry_backoff_us (unsigned retry, int64_t retry_after_ms, uint64_t random);

#endif
