/**
 * DOC: hf-affinity-sync - round trips and the decision on affinity, in heartbeats
 *
 * A heartbeat carries the time at which it was sent and returns that of the last
 * one from its receiver, with the time that has passed since that arrived: the
 * receiver knows the round trip, without a further message.
 */
#ifndef HF_AFFINITY_SYNC_H
#define HF_AFFINITY_SYNC_H

#include "hf-state.h"

/* --- public functions --- */

/* Fills the fields of a heartbeat to a member. */
void hf_affinity_sync_fill (const struct hf_state *state,
                            const struct hf_member *member,
                            struct hf_rpc_heartbeat *heartbeat);
void
hf_affinity_sync_handle (struct hf_state *state, struct hf_member *member, const struct hf_rpc_heartbeat *heartbeat);
void hf_affinity_sync_tick (struct hf_state *state); /* at each heartbeat: decides, if this entry does so */

/* Smallest round trip between failure domains, measured by this entry or reported by others; 0: unknown. */
int64_t hf_affinity_sync_rtt_us (const struct hf_state *state);

#endif
