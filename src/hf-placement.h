/**
 * DOC: hf-placement - choice of the backend server for a request
 *
 * Compares the servers with a free slot by the expected latency, load, distance
 * and failure rate. Chooses none while a request has time to wait for a server
 * that is faster or nearer than the free ones.
 */
#ifndef HF_PLACEMENT_H
#define HF_PLACEMENT_H

#include "hf-pool.h"

/* --- public functions --- */

/* Counts the servers other than the excluded one that an entry may use; entry 0: that any entry may use. */
size_t hf_placement_usable_servers (const struct hf_pool *pool, int64_t now, uint64_t entry, uint64_t excluded_server);
/* The first time at which some server may be used by an entry that may use none now; 0: it may use one, or none ever.
 */
int64_t hf_placement_first_return (const struct hf_pool *pool, int64_t now, uint64_t entry);
bool hf_placement_is_pushed_back (const struct hf_pool *pool, int64_t now, uint64_t entry); /* by some server */

/* Chooses the server for a request by the pool's policy; NULL: none now. */
struct hf_pool_server *
hf_placement_choose_server (struct hf_pool *pool, int64_t now, const struct hf_slot_request *request);

/* Counts the slots of servers that an entry may use (0: any entry), without last slots to be left free; those of a cold
 * server as far as its limit keeps them busy. latency_us: mean latency per slot. */
double hf_placement_usable_slots (const struct hf_pool *pool, int64_t now, uint64_t entry, double *latency_us);
bool hf_placement_has_free_slot (const struct hf_pool *pool, int64_t now); /* true: a server may be available */
/* Slots of the servers that are usable and not slow, and how many of these slots are free. */
unsigned hf_placement_normal_slots (const struct hf_pool *pool, int64_t now, unsigned *free_slots);

/* Returns the best server for a request among those with a free slot and a measurement due; NULL: none. */
struct hf_pool_server *
hf_placement_server_to_measure (const struct hf_pool *pool, int64_t now, const struct hf_slot_request *request);

#endif
