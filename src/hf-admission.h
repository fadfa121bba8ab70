/**
 * DOC: hf-admission - whether a slot request can still be served in time
 *
 * Estimates from the median latency, the usable slots and the length of the
 * queue whether a slot request can meet its soft deadline and its deadline.
 * Times are monotonic, in microseconds.
 */
#ifndef HF_ADMISSION_H
#define HF_ADMISSION_H

#include "hf-affinity.h"
#include "hf-pool.h"

/* --- public functions --- */

/* Why a request cannot be queued, such as that it would miss its deadline; HF_REFUSAL_NONE: it can. ahead: requests
 * queued before it. */
enum hf_refusal_reason
hf_admission_check (const struct hf_pool *pool, int64_t now, const struct hf_slot_request *request, unsigned ahead);

/* True if all servers want no requests from its entry until it is too late for the deadline. */
bool hf_admission_is_pushed_back (const struct hf_pool *pool, int64_t now, const struct hf_slot_request *request);

/* True if a start now is too late for the soft deadline. */
bool hf_admission_misses_soft_deadline (const struct hf_pool *pool, int64_t now, const struct hf_slot_request *request);

/* True if the request would miss its soft deadline and its deadline. ahead: as above; slots: usable ones. */
bool hf_admission_should_shed (const struct hf_pool *pool,
                               int64_t now,
                               const struct hf_slot_request *request,
                               unsigned ahead,
                               double slots);

/* True if even a start now is too late for the deadline. */
bool hf_admission_is_too_late (const struct hf_pool *pool, int64_t now, const struct hf_slot_request *request);

/* How soon a slot request that arrives now would be granted. */
struct hf_forecast hf_admission_forecast (const struct hf_pool *pool, int64_t now);

/* How long the request can wait and still meet its soft deadline; below 0: it misses it in any case. */
int64_t hf_admission_spare_us (const struct hf_pool *pool, int64_t now, const struct hf_slot_request *request);

#endif
