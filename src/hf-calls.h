/**
 * DOC: hf-calls - processing of a caller's request
 *
 * A call is a caller's request from its arrival to the end of its response:
 * idempotency claim, slot requests, attempts, retries and hedges. Each call
 * ends with a relayed response, an error or the loss of the caller.
 */
#ifndef HF_CALLS_H
#define HF_CALLS_H

#include "hf-state.h"

/* --- public functions: events --- */

void hf_calls_handle_request (struct hf_state *state, const struct hf_event *event); /* starts a call or refuses it */
void hf_calls_handle_caller_gone (struct hf_state *state, uint64_t id);              /* cancels the call */
void hf_calls_handle_attempt_head (struct hf_state *state, const struct hf_event *event); /* relays a long response */
void hf_calls_handle_attempt_end (struct hf_state *state, const struct hf_event *event);  /* relays, retries or fails */
void hf_calls_handle_timer (struct hf_state *state, const struct hf_timer *timer);        /* one of the call's timers */

/* --- public functions: other modules --- */

bool hf_calls_handle_decision (struct hf_state *state,
                               uint64_t id,
                               unsigned attempt,
                               const struct hf_decision *decision); /* false: the slot is not used */
void hf_calls_handle_credit (struct hf_state *state, uint64_t id);  /* begins the call, or sends it if it has a slot */
void hf_calls_handle_claim_committed (struct hf_state *state, uint64_t id); /* starts the first attempt */
void hf_calls_handle_claim_failed (struct hf_state *state,
                                   uint64_t id,
                                   unsigned status,
                                   enum hf_outcome outcome,
                                   const char *reason); /* ends the call with this HTTP status */
bool hf_calls_is_slice_in_use (const struct hf_state *state, uint64_t slice_id); /* true if a call uses the slice */
void hf_calls_free (void *call);                                                 /* GDestroyNotify of hf_state.calls */

#endif
