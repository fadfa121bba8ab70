/**
 * DOC: hf-retry - retry budget and backoff
 *
 * A token bucket that first attempts fill and retries empty, and the delay
 * before a retry. Where one entry grants the slots of a service, its bucket is
 * the fleet's: budgets per client do not bound their stock of tokens together
 * (PAPER-aws-architecture-series-54-d10e; measured in docs/MEASUREMENTS.md).
 */
#ifndef HF_RETRY_H
#define HF_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/* --- types --- */

/**
 * struct hf_retry_budget - tokens for retries and hedges
 * @tokens: retries allowed now
 * @max_tokens: most tokens kept
 * @deposit: tokens earned by one first attempt
 * @allowed: retries allowed so far
 * @denied: retries refused so far
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
void hf_retry_budget_deposit (struct hf_retry_budget *budget);                                 /* a first attempt */
bool hf_retry_budget_withdraw (struct hf_retry_budget *budget);                                /* false: no retry now */
int64_t hf_retry_hedge_delay_us (int64_t soft_deadline_left_us,
                                 double latency_us); /* late enough to be unlucky, early enough for the aim */
int64_t hf_retry_backoff_us (unsigned retry,
                             int64_t retry_after_ms,
                             uint64_t random); /* full jitter, server's delay honoured */

#endif
