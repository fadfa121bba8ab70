/**
 * DOC: hf-call-end - the end of an attempt and of a call
 *
 * Gives back what an attempt held, and ends a call with the response of one
 * attempt or with an error. An error says "not run" only if no attempt can have
 * run the request.
 */
#ifndef HF_CALL_END_H
#define HF_CALL_END_H

#include "hf-state.h"

/* --- public functions: attempts --- */

/* Attempts that wait for a slot or run, and a scheduled retry. */
unsigned hf_call_count_live_attempts (const struct hf_call *call);
bool hf_call_has_live_attempt (const struct hf_call *call);
/* Gives back the attempt's slot. */
void hf_call_end_attempt (struct hf_state *state, struct hf_call *call, unsigned i, enum hf_slot_result result);
/* The same for one that waits or runs; its connection is closed. */
void hf_call_cancel_attempt (struct hf_state *state, struct hf_call *call, unsigned i, enum hf_slot_result result);

/* --- public functions: calls --- */

/* Counts a request of an organisation, NULL: of none. */
void hf_call_count_outcome (struct hf_state *state,
                            const struct hf_organisation *organisation,
                            enum hf_organisation_outcome outcome);

void hf_call_remove (struct hf_state *state, struct hf_call *call); /* cancels its attempts and frees it */
/* Sends the caller a response of this entry; retry_after_ms 0: without Retry-After. */
void hf_call_send_error (struct hf_state *state,
                         uint64_t id,
                         unsigned status,
                         enum hf_outcome outcome,
                         int64_t retry_after_ms,
                         const char *reason);
/* Sends an error with the outcome that the attempts allow, and removes the call. */
void hf_call_end_with_error (struct hf_state *state, struct hf_call *call, unsigned status, const char *reason);
void hf_call_refuse_at_shutdown (struct hf_state *state, struct hf_call *call); /* removes it, too */
/* Refuses a call of an organisation that is beyond its limit: 429, not run; removes it. */
void hf_call_refuse_by_quota (struct hf_state *state, struct hf_call *call, int64_t retry_after_ms);
/* Gives the caller the response of attempt @i and stops the others. */
void hf_call_relay_response (struct hf_state *state, struct hf_call *call, unsigned i, enum hf_outcome outcome);

#endif
