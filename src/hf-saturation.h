/**
 * DOC: hf-saturation - whether to use the last free slot of a backend server
 *
 * Some backend servers slow down all their requests while every slot is in use.
 * Compares the latency of requests that took the last slot of a server with that
 * of requests that left one free. Only requests that started while the server
 * reported normal speed count. Until there are enough samples the last slot
 * stays free, except for a few trial requests that collect samples.
 */
#ifndef HF_SATURATION_H
#define HF_SATURATION_H

#include <stdbool.h>

/* --- types --- */

/** struct hf_latency_ratio - smoothed latency of requests, relative to the median latency of the service */
struct hf_latency_ratio
{
  double mean;
  unsigned samples;
};

/** struct hf_saturation - latency with and without a free slot, over all backend servers of one service */
struct hf_saturation
{
  struct hf_latency_ratio last_slot;   /* requests that took the last slot of their server */
  struct hf_latency_ratio other_slots; /* requests that left a slot free */
  unsigned grants;                     /* slots granted so far */
};

/* --- public functions --- */

void hf_saturation_record (struct hf_saturation *saturation, bool last_slot, double latency_ratio); /* one request */
bool hf_saturation_avoids_last_slot (const struct hf_saturation *saturation); /* also true with too few samples */
bool hf_saturation_tries_last_slot (const struct hf_saturation *saturation);  /* next grant may take one, as a trial */
void hf_saturation_count_grant (struct hf_saturation *saturation);

#endif
