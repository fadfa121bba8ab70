/**
 * DOC: hf-placement - which backend server of a service takes a request
 *
 * Weighs the servers with a free slot by the time that the work is expected to
 * take there now, by use, distance and failures, and tells when waiting for a
 * better one is worth more than a start now.
 */
#ifndef HF_PLACEMENT_H
#define HF_PLACEMENT_H

#include "hf-pool.h"

/* --- public functions --- */

size_t hf_placing_usable (const struct hf_pool *pool, int64_t now, uint64_t exclude); /* servers that take work */
struct hf_pool_server *
hf_placing_choose (struct hf_pool *pool, int64_t now, const struct hf_pool_want *want); /* NULL: none now */
unsigned
hf_placing_slots (const struct hf_pool *pool, int64_t now, double *latency_us); /* slots worth using, mean latency */
bool hf_placing_has_room (const struct hf_pool *pool, int64_t now);             /* a slot may be free */
struct hf_pool_server *
hf_placing_to_measure (const struct hf_pool *pool,
                       int64_t now,
                       const struct hf_pool_want *want); /* whose word would help that want; NULL if none */

#endif
