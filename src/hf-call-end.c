/* The end of an attempt and of a call. */
#include "hf-call-end.h"

#include "hf-claims.h"
#include "hf-deadlines.h"
#include "hf-quota-leases.h"
#include "hf-restrictions.h"
#include "hf-slots.h"
#include "hf-trace.h"

/* --- internal functions --- */

static void
cancel_others (struct hf_state *state, struct hf_call *call, int winner)
{
  call->ignore_refusals = true;
  for (unsigned i = 0; i < call->n_attempts; i++)
    {
      bool waiting = call->attempts[i].phase == HF_PHASE_WAITING;
      bool running = call->attempts[i].phase == HF_PHASE_RUNNING;
      if ((int) i != winner && (waiting || running))
        hf_call_cancel_attempt (state, call, i, waiting ? HF_SLOT_UNUSED : HF_SLOT_SUPERSEDED);
    }
}

/* --- public functions: attempts --- */

/* Attempts that wait for a slot or run, and a scheduled retry. */
unsigned
hf_call_count_live_attempts (const struct hf_call *call)
{
  unsigned n = call->retry_timer ? 1 : 0;
  for (unsigned i = 0; i < call->n_attempts; i++)
    n += call->attempts[i].phase == HF_PHASE_WAITING || call->attempts[i].phase == HF_PHASE_RUNNING;
  return n;
}

bool
hf_call_has_live_attempt (const struct hf_call *call)
{
  return hf_call_count_live_attempts (call) > 0;
}

void
hf_call_end_attempt (struct hf_state *state, struct hf_call *call, unsigned i, enum hf_slot_result result)
{
  struct hf_attempt *attempt = &call->attempts[i];
  hf_timers_cancel (&attempt->response_timer);
  attempt->phase = HF_PHASE_ENDED;
  hf_slots_release (state, call, i, result);
}

void
hf_call_cancel_attempt (struct hf_state *state, struct hf_call *call, unsigned i, enum hf_slot_result result)
{
  if (call->attempts[i].phase == HF_PHASE_RUNNING)
    hf_effects_add (state->effects,
                    (struct hf_effect){ .kind = HF_EFFECT_CANCEL_ATTEMPT, .call = call->id, .attempt = i });
  hf_call_end_attempt (state, call, i, result);
}

/* --- public functions: calls --- */

void
hf_call_count_outcome (struct hf_state *state,
                       const struct hf_organisation *organisation,
                       enum hf_organisation_outcome outcome)
{
  if (organisation)
    hf_organisation_counts_add (&state->organisation_counts, organisation->name, outcome);
}

void
hf_call_remove (struct hf_state *state, struct hf_call *call)
{
  cancel_others (state, call, -1);
  hf_timers_cancel (&call->deadline_timer);
  hf_timers_cancel (&call->retry_timer);
  hf_quota_leases_release (state, call);
  g_hash_table_remove (state->calls, &call->id);
}

void
hf_call_send_error (struct hf_state *state,
                    uint64_t id,
                    unsigned status,
                    enum hf_outcome outcome,
                    int64_t retry_after_ms,
                    const char *reason)
{
  struct hf_effect effect = {
    .kind = HF_EFFECT_SEND_ERROR, .call = id, .status = status, .outcome = outcome, .retry_after_ms = retry_after_ms
  };
  effect.text = hf_effects_copy (state->effects, hf_str (reason));
  hf_effects_add (state->effects, effect);
  hf_state_increment (state, outcome == HF_OUTCOME_NOT_RUN ? HF_COUNT_NOT_RUN : HF_COUNT_UNKNOWN);
}

/* Reports "not run" only if no attempt can have run the request. */
void
hf_call_end_with_error (struct hf_state *state, struct hf_call *call, unsigned status, const char *reason)
{
  cancel_others (state, call, -1);
  enum hf_outcome outcome = call->may_have_run ? HF_OUTCOME_UNKNOWN : HF_OUTCOME_NOT_RUN;
  if (call->may_have_run && status == 503 && call->class->resend_refused)
    status = 502; /* to the caller, 503 means that the request has not run */
  hf_claims_end (state, call, outcome, 0);
  int64_t retry_after_ms = 0;
  if (status == 503)
    retry_after_ms = hf_deadlines_retry_after_ms (state, call) + hf_restrictions_wait_ms (state, call->slice_id);
  hf_trace_request_failed (state, call, status, outcome, retry_after_ms, reason);
  hf_call_count_outcome (state, call->organisation,
                         call->may_have_run ? HF_ORGANISATION_UNKNOWN : HF_ORGANISATION_NOT_RUN);
  hf_call_send_error (state, call->id, status, outcome, retry_after_ms, reason);
  hf_call_remove (state, call);
}

/* The caller sends the request to another entry, which need not wait for it. */
void
hf_call_refuse_at_shutdown (struct hf_state *state, struct hf_call *call)
{
  int64_t retry_after_ms = call->class->aim_ms > 0 ? HF_RETRY_AFTER_LEAVING_MS : HF_RETRY_AFTER_DEFAULT_MS;
  hf_trace_request_failed (state, call, 503, HF_OUTCOME_NOT_RUN, retry_after_ms, "shutting down");
  hf_call_count_outcome (state, call->organisation, HF_ORGANISATION_NOT_RUN);
  hf_call_send_error (state, call->id, 503, HF_OUTCOME_NOT_RUN, retry_after_ms, "shutting down");
  hf_call_remove (state, call);
}

/* Only calls that were never sent to a backend server wait for credit. */
void
hf_call_refuse_by_quota (struct hf_state *state, struct hf_call *call, int64_t retry_after_ms)
{
  cancel_others (state, call, -1);
  hf_claims_end (state, call, HF_OUTCOME_NOT_RUN, 0);
  hf_state_increment (state, HF_COUNT_QUOTA_REFUSED);
  retry_after_ms = MAX (retry_after_ms, 1);
  hf_trace_request_over_quota (state, call, retry_after_ms);
  hf_call_count_outcome (state, call->organisation, HF_ORGANISATION_NOT_RUN);
  hf_call_send_error (state, call->id, 429, HF_OUTCOME_NOT_RUN, retry_after_ms,
                      "the organisation is beyond its limit of requests");
  hf_call_remove (state, call);
}

/* Stops the other attempts: the caller gets the response of attempt @i. */
void
hf_call_relay_response (struct hf_state *state, struct hf_call *call, unsigned i, enum hf_outcome outcome)
{
  struct hf_effect effect = { .kind = HF_EFFECT_RELAY_RESPONSE, .call = call->id, .attempt = i, .outcome = outcome };
  cancel_others (state, call, (int) i);
  hf_timers_cancel (&call->deadline_timer);
  hf_timers_cancel (&call->retry_timer);
  hf_effects_add (state->effects, effect);
  call->response_relayed = true;
  hf_state_increment (state, HF_COUNT_ANSWERED);
  hf_call_count_outcome (state, call->organisation, HF_ORGANISATION_ANSWERED);
  hf_trace_request_answered (state, call, i);
  hf_latency_record (&state->latency, call->class->name, HF_STAGE_WHOLE, state->now - call->arrived_at);
  if (call->attempts[i].hedge)
    hf_state_increment (state, HF_COUNT_HEDGES_WON);
}
