/**
 * DOC: hf-trace - log lines on the life of a request
 *
 * One line for each decision that touches a request, with its id, what the
 * decision rested on and how old that was. "hickoryctl explain" reads them.
 */
#ifndef HF_TRACE_H
#define HF_TRACE_H

#include "hf-state.h"

/* --- public functions --- */

void hf_trace_request_routed (struct hf_state *state,
                              const struct hf_call *call); /* class, service, configuration, time */
void
hf_trace_request_queued (struct hf_state *state, const struct hf_call *call, unsigned attempt); /* waits for a slot */
void hf_trace_slot_denied (struct hf_state *state,
                           const struct hf_call *call,
                           unsigned attempt,
                           const char *reason); /* no slot for an attempt */
void hf_trace_request_sent (struct hf_state *state,
                            const struct hf_call *call,
                            unsigned attempt,
                            const struct hf_pool_server *server); /* which server, by whose grant, on what knowledge */
void hf_trace_attempt_ended (struct hf_state *state,
                             const struct hf_call *call,
                             unsigned attempt,
                             const struct hf_event *event);                                   /* how an attempt ended */
void hf_trace_retry (struct hf_state *state, const struct hf_call *call, const char *reason); /* retry or hedge */
void hf_trace_request_refused (struct hf_state *state,
                               const struct hf_event *event,
                               unsigned status,
                               const char *reason); /* refused before it became a call */
void hf_trace_request_failed (struct hf_state *state,
                              const struct hf_call *call,
                              unsigned status,
                              enum hf_outcome outcome,
                              int64_t retry_after_ms,
                              const char *reason); /* answered by a failure of this system's own */
void hf_trace_request_answered (struct hf_state *state, const struct hf_call *call, unsigned attempt); /* passed on */
void hf_trace_response_aborted (struct hf_state *state, const struct hf_call *call);    /* the answer broke off */
void hf_trace_caller_disconnected (struct hf_state *state, const struct hf_call *call); /* the caller left */

#endif
