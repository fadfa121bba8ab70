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
  unsigned turn;                 /* choices made so far */
};

/* --- public functions --- */

void hf_crowding_learn (struct hf_crowding *crowding, bool last_slot, double relative); /* latency over the usual one */
bool hf_crowding_avoids_last (const struct hf_crowding *crowding); /* it only costs, or nothing is known yet */
bool hf_crowding_tries_last (const struct hf_crowding *crowding);  /* the next choice may use it to find out */
void hf_crowding_count (struct hf_crowding *crowding);             /* a slot was given */

#endif
