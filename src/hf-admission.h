/**
 * DOC: hf-admission - what a waiting request can still hope for
 *
 * Tells from the usual latency, the slots and the place in the queue whether a
 * want can be answered within its aim, in time, or not at all.
 */
#ifndef HF_ADMISSION_H
#define HF_ADMISSION_H

#include "hf-pool.h"

/* --- public functions --- */

bool hf_admission_would_miss_deadline (const struct hf_pool *pool,
                                       int64_t now,
                                       const struct hf_slot_request *request,
                                       unsigned ahead); /* behind so many it would miss its deadline */
bool hf_admission_misses_target (const struct hf_pool *pool,
                                 int64_t now,
                                 const struct hf_slot_request *request); /* its aim is missed */
bool hf_admission_should_shed (const struct hf_pool *pool,
                               int64_t now,
                               const struct hf_slot_request *request,
                               unsigned ahead,
                               unsigned slots); /* late, and not reached in time */
bool hf_admission_is_too_late (const struct hf_pool *pool,
                               int64_t now,
                               const struct hf_slot_request *request); /* even a start now is useless */

#endif
