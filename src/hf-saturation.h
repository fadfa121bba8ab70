/**
 * DOC: hf-saturation - whether the last slot of a backend server is worth using
 *
 * Some backend servers slow down all their work when their last slot is taken.
 * Compares the latency of requests that took a last slot with that of others,
 * both at times when the server said that it was not slowed down. Until enough
 * is known the last slot is left free, but for a few requests that find out.
 */
#ifndef HF_SATURATION_H
#define HF_SATURATION_H

#include <stdbool.h>

/* --- types --- */

/** struct hf_latency_ratio - smoothed relative latency */
struct hf_latency_ratio
{
  double mean;
  unsigned samples;
};

/** struct hf_saturation - what was learned for the backend servers of one service */
struct hf_saturation
{
  struct hf_latency_ratio last_slot;   /* requests that took a last slot */
  struct hf_latency_ratio other_slots; /* requests that left one free */
  unsigned grants;                     /* choices made so far */
};

/* --- public functions --- */

void hf_saturation_record (struct hf_saturation *saturation,
                           bool last_slot,
                           double latency_ratio); /* latency over the usual one */
bool
hf_saturation_avoids_last_slot (const struct hf_saturation *saturation); /* it only costs, or nothing is known yet */
bool
hf_saturation_tries_last_slot (const struct hf_saturation *saturation); /* the next choice may use it to find out */
void hf_saturation_count_grant (struct hf_saturation *saturation);      /* a slot was given */

#endif
