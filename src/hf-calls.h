/**
 * DOC: hf-calls - life of a caller's request
 *
 * From arrival over claim, slot and attempts to the answer: what may be
 * tried again, what the caller is told, and when an attempt is given up.
 */
#ifndef HF_CALLS_H
#define HF_CALLS_H

#include "hf-state.h"

/* --- public functions: events --- */

void hf_calls_handle_request (struct hf_state *state, const struct hf_event *event); /* a request is here */
void hf_calls_handle_caller_gone (struct hf_state *state, uint64_t id);              /* nobody waits for the answer */
void hf_calls_handle_attempt_head (struct hf_state *state, const struct hf_event *event); /* head of a long answer */
void hf_calls_handle_attempt_end (struct hf_state *state, const struct hf_event *event);  /* an attempt ended */
void hf_calls_handle_timer (struct hf_state *state, const struct hf_timer *timer);        /* one of its timers */

/* --- public functions: other modules --- */

bool hf_calls_handle_decision (struct hf_state *state,
                               uint64_t id,
                               unsigned attempt,
                               const struct hf_decision *decision);         /* slot decision; false: nobody wants it */
void hf_calls_handle_claim_committed (struct hf_state *state, uint64_t id); /* its claim is committed */
void hf_calls_handle_claim_failed (struct hf_state *state,
                                   uint64_t id,
                                   unsigned status,
                                   enum hf_outcome outcome,
                                   const char *reason);                           /* its claim is not */
bool hf_calls_is_service_in_use (const struct hf_state *state, uint64_t service); /* some call is in it */
void hf_calls_free (void *call);                                                  /* for the table of calls */

#endif
