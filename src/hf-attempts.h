/**
 * DOC: hf-attempts - what an attempt at a backend server shows
 *
 * Reads the end of an attempt: how the slot was used, whether the server
 * crashed under it, and what the answer said of load and draining.
 */
#ifndef HF_ATTEMPTS_H
#define HF_ATTEMPTS_H

#include "hf-state.h"

/* --- public functions --- */

bool hf_attempt_is_failure (unsigned status);                            /* a status that may be tried again */
enum hf_pool_result hf_attempt_result_of (const struct hf_event *event); /* for the pool */
bool hf_attempt_is_crash (const struct hf_state *state,
                          const struct hf_call *call,
                          const struct hf_attempt *attempt,
                          const struct hf_event *event); /* it broke a server that was well before */
void hf_attempt_learn (struct hf_state *state,
                       const struct hf_call *call,
                       struct hf_attempt *attempt,
                       const struct hf_answer_hints *hints); /* load report and draining */

#endif
