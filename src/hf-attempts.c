/* What an attempt at a backend server shows. */
#include "hf-attempts.h"

#include "hf-quarantine.h"

/* --- internal functions --- */

static void
learn_leaving (struct hf_state *state,
               const struct hf_call *call,
               const struct hf_attempt *attempt,
               bool leaving,
               bool refused_it)
{
  struct hf_service_state *service = hf_state_service (state, call->service_id);
  int64_t until = state->now + HF_LEAVING_HOLD_MS * HF_MS;
  if (!service || !leaving)
    return;
  enum hf_leaving source = refused_it ? HF_LEAVING_REFUSAL : HF_LEAVING_HEALTH;
  if (hf_state_note_leaving (state, service, attempt->server, source, until, "its own answer"))
    hf_quarantine_tell (state, HF_NOTICE_LEAVING, service->id, attempt->server, HF_LEAVING_HOLD_MS);
}

static void
learn_load (struct hf_state *state,
            const struct hf_call *call,
            struct hf_attempt *attempt,
            const struct hf_answer_hints *hints)
{
  struct hf_service_state *service = hf_state_service (state, call->service_id);
  attempt->slowdown_percent = hints->slowdown_percent;
  if (service)
    hf_pool_heard (&service->pool, attempt->server, state->now, hints->slowdown_percent);
  if (service && hints->load >= 0)
    hf_pool_report (&service->pool, attempt->server, hints->load, state->now);
}

/* --- public functions --- */

bool
hf_attempt_is_failure (unsigned status)
{
  return status >= 500;
}

enum hf_pool_result
hf_attempt_result_of (const struct hf_event *event)
{
  switch (event->result)
    {
    case HF_ATTEMPT_ANSWERED:
      if (event->hints.not_run)
        return HF_POOL_REFUSED;
      return event->hints.status >= 500 ? HF_POOL_FAILED : HF_POOL_OK;
    case HF_ATTEMPT_TIMEOUT:
      return HF_POOL_SLOW;
    case HF_ATTEMPT_CANCELLED:
      return HF_POOL_UNUSED;
    case HF_ATTEMPT_BROKEN:
      return event->handed ? HF_POOL_BROKEN : HF_POOL_FAILED;
    case HF_ATTEMPT_CONNECT_FAILED:
    case HF_ATTEMPT_SHORT:
      break;
    }
  return HF_POOL_FAILED;
}

bool
hf_attempt_is_crash (const struct hf_state *state,
                     const struct hf_call *call,
                     const struct hf_attempt *attempt,
                     const struct hf_event *event)
{
  const struct hf_service_state *service = hf_state_service (state, call->service_id);
  if (event->result != HF_ATTEMPT_BROKEN || !event->handed || !service)
    return false;
  return hf_pool_may_have_crashed (&service->pool, attempt->server, attempt->started_at);
}

void
hf_attempt_learn (struct hf_state *state,
                  const struct hf_call *call,
                  struct hf_attempt *attempt,
                  const struct hf_answer_hints *hints)
{
  learn_load (state, call, attempt, hints);
  learn_leaving (state, call, attempt, hints->leaving, hints->not_run);
}
