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

bool hf_prospect_would_be_late (const struct hf_pool *pool,
                                int64_t now,
                                const struct hf_pool_want *want,
                                unsigned ahead); /* behind so many it would miss its deadline */
bool
hf_prospect_is_late (const struct hf_pool *pool, int64_t now, const struct hf_pool_want *want); /* its aim is missed */
bool hf_prospect_is_hopeless (const struct hf_pool *pool,
                              int64_t now,
                              const struct hf_pool_want *want,
                              unsigned ahead,
                              unsigned slots); /* late, and not reached in time */
bool hf_prospect_is_too_late (const struct hf_pool *pool,
                              int64_t now,
                              const struct hf_pool_want *want); /* even a start now is useless */

#endif
