/**
 * DOC: hf-slots - slots of backend servers for this entry's attempts
 *
 * Asks whoever knows the free slots: the granter of the service, or this
 * entry's own pool where the policy says so or the granter is silent.
 */
#ifndef HF_SLOTS_H
#define HF_SLOTS_H

#include "hf-state.h"

/* --- public functions --- */

uint64_t hf_slots_ticket (uint64_t call, unsigned attempt); /* name of an attempt */
void hf_slots_request (struct hf_state *state,
                       struct hf_call *call,
                       unsigned attempt); /* asks for a slot; a decision follows */
void hf_slots_request_again (struct hf_state *state, struct hf_call *call, unsigned attempt); /* the answer is late */
void hf_slots_handle_queued (struct hf_state *state,
                             struct hf_call *call,
                             unsigned attempt); /* the granter has it: confirm later */
void hf_slots_release (struct hf_state *state,
                       struct hf_call *call,
                       unsigned attempt,
                       enum hf_slot_result result); /* gives the slot or the
                                                       place in the queue back */
void hf_slots_handle_message (struct hf_state *state,
                              const struct hf_event *event); /* ACQUIRE, DECISION or RELEASE came */
void hf_slots_handle_measurement (struct hf_state *state,
                                  const struct hf_event *event); /* PROBE: what waited for news may get a slot */
void hf_slots_update_pools (struct hf_state *state);             /* expires and grants in every pool */

#endif
