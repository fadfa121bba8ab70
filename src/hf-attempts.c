/* Connection and evaluation of an attempt at a backend server. */
#include "hf-attempts.h"

#include "hf-quarantine.h"
#include "hf-restrictions.h"

/* --- internal functions --- */

static void
record_draining (struct hf_state *state,
                 const struct hf_call *call,
                 const struct hf_attempt *attempt,
                 bool draining,
                 bool refused)
{
  struct hf_service_state *service = hf_state_find_service (state, call->slice_id);
  int64_t until = state->now + HF_DRAIN_HOLD_MS * HF_MS;
  if (!service || !draining)
    return;
  enum hf_drain_source source = refused ? HF_DRAIN_REFUSAL : HF_DRAIN_HEALTH;
  if (hf_state_mark_draining (state, service, attempt->server, source, until, "its own response"))
    hf_quarantine_broadcast (state, HF_NOTICE_DRAINING, service->id, attempt->server, HF_DRAIN_HOLD_MS);
}

static void
record_load (struct hf_state *state,
             const struct hf_call *call,
             struct hf_attempt *attempt,
             const struct hf_response_hints *hints)
{
  struct hf_service_state *service = hf_state_find_service (state, call->slice_id);
  attempt->slowdown_percent = hints->slowdown_percent;
  if (service)
    hf_pool_record_slowdown (&service->pool, attempt->server, state->now, hints->slowdown_percent);
  if (service && hints->load >= 0)
    hf_pool_record_load (&service->pool, attempt->server, hints->load, state->now);
}

/* --- public functions --- */

/* Where an attempt of the call has ended at the server, its kept connections may have ended, too. */
int64_t
hf_attempts_connection_idle_max_ms (const struct hf_call *call, unsigned i, uint64_t server)
{
  for (unsigned earlier = 0; earlier < i; earlier++)
    if (call->attempts[earlier].server == server)
      return 0;
  return call->class->repeatable ? HF_CONNECTION_IDLE_MS : HF_CONNECTION_PROVEN_MS;
}

bool
hf_attempts_is_failure_status (unsigned status)
{
  return status >= 500;
}

enum hf_slot_result
hf_attempts_slot_result (const struct hf_event *event)
{
  switch (event->result)
    {
    case HF_ATTEMPT_ANSWERED:
      if (hf_restrictions_pushes_back (&event->hints))
        return HF_SLOT_UNUSED;
      if (event->hints.not_run)
        return HF_SLOT_REFUSED;
      return event->hints.status >= 500 ? HF_SLOT_FAILED : HF_SLOT_OK;
    case HF_ATTEMPT_TIMEOUT:
      return HF_SLOT_TIMED_OUT;
    case HF_ATTEMPT_CANCELLED:
      return HF_SLOT_UNUSED;
    case HF_ATTEMPT_BROKEN:
      return event->bytes_sent ? HF_SLOT_CONNECTION_LOST : HF_SLOT_FAILED;
    case HF_ATTEMPT_CONNECT_FAILED:
    case HF_ATTEMPT_TRUNCATED:
      break;
    }
  return HF_SLOT_FAILED;
}

bool
hf_attempts_is_crash (const struct hf_state *state,
                      const struct hf_call *call,
                      const struct hf_attempt *attempt,
                      const struct hf_event *event)
{
  const struct hf_service_state *service = hf_state_find_service (state, call->slice_id);
  if (event->result != HF_ATTEMPT_BROKEN || !event->bytes_sent || !service)
    return false;
  return hf_pool_may_have_caused_crash (&service->pool, attempt->server, attempt->started_at);
}

void
hf_attempts_record_hints (struct hf_state *state,
                          const struct hf_call *call,
                          struct hf_attempt *attempt,
                          const struct hf_response_hints *hints)
{
  record_load (state, call, attempt, hints);
  record_draining (state, call, attempt, hints->draining, hints->not_run);
}
