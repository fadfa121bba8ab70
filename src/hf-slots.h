/**
 * DOC: hf-slots - requesting and granting slots across entries
 *
 * Requests a slot for each attempt of this entry: from the granter of the service,
 * or from its own pool if the policy needs no granter, this entry is the granter,
 * or the granter does not respond. Serves the requests of other entries as granter.
 */
#ifndef HF_SLOTS_H
#define HF_SLOTS_H

#include "hf-state.h"

/* --- public functions --- */

/* --- public functions: attempts of this entry --- */

/* Requests a slot; hf_calls_handle_decision gets the decision, immediately or later. */
void hf_slots_request (struct hf_state *state, struct hf_call *call, unsigned attempt_index);

/* Resends a request without a decision, or turns to another granter or the own pool. */
void hf_slots_request_again (struct hf_state *state, struct hf_call *call, unsigned attempt_index);

/* Starts the timer after which a queued request is to be confirmed by the granter. */
void hf_slots_handle_queued (struct hf_state *state, struct hf_call *call, unsigned attempt_index);

/* Releases the slot, or the place in the queue. */
void
hf_slots_release (struct hf_state *state, struct hf_call *call, unsigned attempt_index, enum hf_slot_result result);

/* Releases a slot that was granted at a server and is not needed. */
void hf_slots_release_unused (struct hf_state *state, struct hf_call *call, unsigned attempt_index, uint64_t server);
/* Returns a slot at a server that this entry must not use and that its granter believes usable; requests another one
 * a little later. */
void hf_slots_return (struct hf_state *state,
                      struct hf_call *call,
                      unsigned attempt_index,
                      const struct hf_pool_server *server);

/* --- public functions: events --- */

/* The granter has referred the attempt to another slice: requests its slot there. */
void hf_slots_refer (struct hf_state *state, struct hf_call *call, unsigned attempt_index, uint64_t slice_id);
/* After the slices have changed: attempts that wait for a slot of one that is left move to another one. */
void hf_slots_leave_outdated (struct hf_state *state);
void hf_slots_handle_message (struct hf_state *state, const struct hf_event *event); /* acquire, decision, release */
void hf_slots_handle_measurement (struct hf_state *state, const struct hf_event *event); /* grants queued requests */
void hf_slots_update_pools (struct hf_state *state); /* every pool: expires, then grants queued requests */

#endif
