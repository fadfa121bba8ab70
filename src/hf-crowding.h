/**
 * DOC: hf-crowding - whether the last slot of a backend server is worth using
 *
 * Some backend servers slow down all their work when their last slot is taken.
 * Compares the latency of requests that took a last slot with that of others,
 * both relative to their server and at times when it said it was not slowed
 * down, and tells when the last slot only costs.
 */
#ifndef HF_CROWDING_H
#define HF_CROWDING_H

#include <stdbool.h>

/* --- types --- */

/** struct hf_crowding_mean - smoothed relative latency */
struct hf_crowding_mean
{
  double value;
  unsigned samples;
};

/** struct hf_crowding - what was learned for the backend servers of one service */
struct hf_crowding
{
  struct hf_crowding_mean last;  /* requests that took a last slot */
  struct hf_crowding_mean other; /* requests that left one free */
};

/* --- public functions --- */

void hf_crowding_learn (struct hf_crowding *crowding, bool last_slot, double relative); /* latency over the usual one */
bool hf_crowding_avoids_last (const struct hf_crowding *crowding);                      /* the last slot only costs */

#endif
