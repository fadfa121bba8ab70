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

bool hf_attempts_is_failure_status (unsigned status);                       /* a status that may be tried again */
enum hf_slot_result hf_attempts_pool_result (const struct hf_event *event); /* for the pool */
bool hf_attempts_is_crash (const struct hf_state *state,
                           const struct hf_call *call,
                           const struct hf_attempt *attempt,
                           const struct hf_event *event); /* it broke a server that was well before */
void hf_attempts_record_hints (struct hf_state *state,
                               const struct hf_call *call,
                               struct hf_attempt *attempt,
                               const struct hf_response_hints *hints); /* load report and draining */

#endif
