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

size_t hf_placement_usable_servers (const struct hf_pool *pool,
                                    int64_t now,
                                    uint64_t excluded_server); /* servers that take work */
struct hf_pool_server *hf_placement_choose_server (struct hf_pool *pool,
                                                   int64_t now,
                                                   const struct hf_slot_request *request); /* NULL: none now */
unsigned hf_placement_usable_slots (const struct hf_pool *pool,
                                    int64_t now,
                                    double *latency_us);                   /* slots worth using, mean latency */
bool hf_placement_has_free_slot (const struct hf_pool *pool, int64_t now); /* a slot may be free */
struct hf_pool_server *hf_placement_server_to_measure (
    const struct hf_pool *pool,
    int64_t now,
    const struct hf_slot_request *request); /* whose word would help that want; NULL if none */

#endif
