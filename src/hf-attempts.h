/**
 * DOC: hf-attempts - connection and evaluation of an attempt at a backend server
 *
 * Decides which connection an attempt may use. Derives from the end of an
 * attempt how its slot was used and whether the server crashed, and records the
 * load and draining state that the response reported.
 */
#ifndef HF_ATTEMPTS_H
#define HF_ATTEMPTS_H

#include "hf-state.h"

/* --- public functions --- */

/* Longest idle time of the kept connection that attempt @i may use; 0: only a new one. */
int64_t hf_attempts_connection_idle_max_ms (const struct hf_call *call, unsigned i, uint64_t server);

bool hf_attempts_is_failure_status (unsigned status);                       /* true for 5xx, which may be retried */
enum hf_slot_result hf_attempts_slot_result (const struct hf_event *event); /* slot result of an ATTEMPT_END event */
bool hf_attempts_is_crash (const struct hf_state *state,
                           const struct hf_call *call,
                           const struct hf_attempt *attempt,
                           const struct hf_event *event); /* true if it may have crashed a healthy server */
void hf_attempts_record_hints (struct hf_state *state,
                               const struct hf_call *call,
                               struct hf_attempt *attempt,
                               const struct hf_response_hints *hints); /* records slowdown, load and draining */

#endif
