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
 * @max: most tokens kept
 * @earn: tokens earned by one first attempt
 * @spent: retries allowed so far
 * @denied: retries refused so far
 */
struct hf_retry_budget
{
  double tokens;
  double max;
  double earn;
  uint64_t spent;
  uint64_t denied;
};

/* --- public functions --- */

void hf_retry_init (struct hf_retry_budget *budget, double max, double percent); /* full bucket */
void hf_retry_earn (struct hf_retry_budget *budget);                             /* a first attempt */
bool hf_retry_spend (struct hf_retry_budget *budget);                            /* false: no retry now */
int64_t hf_hedge_after_us (int64_t aim_left_us,
                           double latency_us); /* late enough to be unlucky, early enough for the aim */
int64_t
hf_retry_delay_us (unsigned retry, int64_t retry_after_ms, uint64_t random); /* full jitter, server's delay honoured */

#endif
