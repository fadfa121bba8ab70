/**
 * DOC: hf-deadlines - how long callers wait
 *
 * Reads from a request and its class when an answer is due and when it is
 * worth most, and when a refused caller is to come back.
 */
#ifndef HF_DEADLINES_H
#define HF_DEADLINES_H

#include "hf-state.h"

/* --- public functions --- */

void hf_deadlines_set (struct hf_state *state,
                       struct hf_call *call,
                       const struct hf_event *event); /* sets the times of a call that has its class */
int64_t hf_deadlines_retry_after_ms (struct hf_state *state, const struct hf_call *call); /* Retry-After of a refusal */

#endif
