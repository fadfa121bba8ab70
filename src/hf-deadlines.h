/**
 * DOC: hf-deadlines - deadlines of calls, and Retry-After
 *
 * Derives the deadline and the soft deadline of a call from the request and
 * its class, and the time after which a refused caller may retry.
 */
#ifndef HF_DEADLINES_H
#define HF_DEADLINES_H

#include "hf-state.h"

/* --- public functions --- */

void hf_deadlines_set (struct hf_state *state,
                       struct hf_call *call,
                       const struct hf_event *event); /* sets arrival time and deadlines; needs call->class */
int64_t hf_deadlines_retry_after_ms (struct hf_state *state, const struct hf_call *call); /* Retry-After of an error */

#endif
