/**
 * DOC: hf-affinity - whether requests are placed near their callers
 *
 * With domain affinity a request stays in the failure domain that it arrived in
 * while it is served in time there. It is worth its loss of choice only where a
 * crossing takes long: the round trips between failure domains are measured, and
 * one entry decides for the fleet, since slices and granters depend on it. The
 * decision has a number, the epoch, which rises by one with each change and is odd
 * while affinity is on; each entry adopts the highest that it hears of. This module
 * has no clock and no I/O: the time is a parameter, in microseconds.
 */
#ifndef HF_AFFINITY_H
#define HF_AFFINITY_H

#include "hf-base.h"

/* --- types --- */

/** enum hf_affinity_mode - setting domain_affinity */
enum hf_affinity_mode
{
  HF_AFFINITY_AUTO, /* by the measured round trips */
  HF_AFFINITY_ON,
  HF_AFFINITY_OFF,
};

/**
 * struct hf_affinity - affinity as one entry knows it
 * @mode: setting of this entry
 * @epoch: number of the fleet's decision, odd: on; used with HF_AFFINITY_AUTO only
 * @changed_at: when this entry learned of the decision; 0: never
 * @samples: round trips measured by this entry so far
 * @first_sample_at: when it measured the first one; 0: none
 * @window_at: start of the current window of samples
 * @window_rtt_us: smallest sample of this window; 0: none
 * @previous_rtt_us: the same of the window before
 */
struct hf_affinity
{
  enum hf_affinity_mode mode;
  unsigned epoch;
  int64_t changed_at;
  unsigned samples;
  int64_t first_sample_at;
  int64_t window_at;
  int64_t window_rtt_us;
  int64_t previous_rtt_us;
};

/** struct hf_forecast - how soon a slice could serve a request */
struct hf_forecast
{
  unsigned free_slots;
  int64_t wait_us; /* expected wait of a request that arrives now */
  int64_t slot_us; /* additional wait for each request in the queue */
};

/* --- public functions: round trips --- */

/* Records a round trip to an entry of another failure domain. */
void hf_affinity_record_rtt (struct hf_affinity *affinity, int64_t now, int64_t rtt_us);
int64_t hf_affinity_rtt_us (const struct hf_affinity *affinity, int64_t now);   /* smallest recent one; 0: none */
bool hf_affinity_has_settled (const struct hf_affinity *affinity, int64_t now); /* enough samples to decide */

/* --- public functions: decision --- */

bool hf_affinity_is_on (const struct hf_affinity *affinity);
bool hf_affinity_has_spread (const struct hf_affinity *affinity, int64_t now); /* all entries know the decision */

/* Decides for the fleet by the smallest round trip between its failure domains (0: unknown); returns true if that
 * changes the decision. */
bool hf_affinity_decide (struct hf_affinity *affinity, int64_t now, int64_t rtt_us);

/* Adopts the decision that another entry knows; returns true if it is newer. */
bool hf_affinity_adopt (struct hf_affinity *affinity, int64_t now, unsigned epoch);

/* --- public functions: crossing --- */

/* Whether a request is better served in another failure domain: the wait at home takes much of what it can spare
 * (spare_us: time until its soft deadline, without its usual latency), and the wait there is shorter by more than the
 * crossing takes. That margin also keeps two domains with the same load from exchanging their requests. */
bool hf_affinity_should_cross (const struct hf_forecast *home,
                               const struct hf_forecast *other,
                               int64_t spare_us,
                               int64_t rtt_us);
void hf_affinity_count_referral (struct hf_forecast *forecast); /* a request goes there */

/* Whether a forecast differs so much from the one reported last that it is reported at once. */
bool hf_affinity_differs (const struct hf_forecast *forecast, const struct hf_forecast *reported);

#endif
