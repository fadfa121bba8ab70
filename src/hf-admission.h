/**
 * DOC: hf-admission - whether a slot request can still be served in time
 *
 * Estimates from the median latency, the usable slots and the length of the
 * queue whether a slot request can meet its soft deadline and its deadline.
 * Times are monotonic, in microseconds.
 */
#ifndef HF_ADMISSION_H
#define HF_ADMISSION_H

#include "hf-pool.h"

/* --- public functions --- */

/* True if the request would miss its deadline. ahead: requests queued before it. */
bool hf_admission_would_miss_deadline (const struct hf_pool *pool,
                                       int64_t now,
                                       const struct hf_slot_request *request,
                                       unsigned ahead);

/* True if a start now is too late for the soft deadline. */
bool hf_admission_misses_soft_deadline (const struct hf_pool *pool, int64_t now, const struct hf_slot_request *request);

/* True if the request would miss its soft deadline and its deadline. ahead: as above; slots: usable ones. */
bool hf_admission_should_shed (const struct hf_pool *pool,
                               int64_t now,
                               const struct hf_slot_request *request,
                               unsigned ahead,
                               unsigned slots);

/* True if even a start now is too late for the deadline. */
bool hf_admission_is_too_late (const struct hf_pool *pool, int64_t now, const struct hf_slot_request *request);

#endif
