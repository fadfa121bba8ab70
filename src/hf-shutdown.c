/* Shutdown of this entry. */
#include "hf-shutdown.h"

#include "hf-members.h"

/* --- internal functions --- */

/* By then every call is answered. */
static int64_t
last_response_at (const struct hf_state *state)
{
  return state->exit_at - HF_EXIT_FLUSH_MS * HF_MS;
}

/* Whether a stage that begins now is usually over in time; @if_unknown without a known latency of the class. */
static bool
usually_ends_in_time (const struct hf_state *state,
                      const struct hf_call *call,
                      enum hf_latency_stage stage,
                      bool if_unknown)
{
  int64_t latency_us = hf_latency_quantile (&state->latency, call->class->name, stage, HF_EXIT_LATENCY_QUANTILE);
  return latency_us < 0 ? if_unknown : state->now + latency_us <= last_response_at (state);
}

static void
bound_deadline (struct hf_state *state, struct hf_call *call)
{
  if (call->deadline <= last_response_at (state) || !call->deadline_timer || call->response_relayed)
    return;
  call->deadline = MAX (last_response_at (state), state->now);
  call->soft_deadline = MIN (call->soft_deadline, call->deadline);
  hf_timers_cancel (&call->deadline_timer);
  call->deadline_timer = hf_state_start_timer (state, call->deadline - state->now, HF_TIMER_CALL_DEADLINE, call->id, 0);
}

/* --- public functions --- */

void
hf_shutdown_begin (struct hf_state *state)
{
  GHashTableIter iter;
  struct hf_call *call;
  if (state->leaving)
    return;
  state->leaving = true;
  state->exit_at = state->now + state->shutdown_timeout_ms * HF_MS;
  state->roles.update_pending = true;
  hf_state_log (state, HF_LOG_SHUTDOWN, "the health check fails from now on; accepting requests for another %d ms",
                (int) state->drain_wait_ms);
  hf_members_send_heartbeats (state, false);
  if (state->external_store)
    hf_effects_add (state->effects, (struct hf_effect){ .kind = HF_EFFECT_WITHDRAW });
  g_hash_table_iter_init (&iter, state->calls);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &call))
    bound_deadline (state, call);
  int64_t last_response_us = MAX (last_response_at (state) - state->now, 0);
  hf_state_start_timer (state, last_response_us, HF_TIMER_LAST_RESPONSES, 0, 0);
  hf_state_start_timer (state, MIN (state->drain_wait_ms * HF_MS, last_response_us), HF_TIMER_EXIT, 0, 0);
}

bool
hf_shutdown_accept (struct hf_state *state, struct hf_call *call)
{
  if (!state->leaving || call->deadline <= last_response_at (state))
    return true;
  if (!call->class->repeatable || !usually_ends_in_time (state, call, HF_STAGE_WHOLE, false))
    return false;
  bound_deadline (state, call);
  return true;
}

bool
hf_shutdown_may_dispatch (const struct hf_state *state, const struct hf_call *call)
{
  return !state->leaving || call->deadline < last_response_at (state)
         || usually_ends_in_time (state, call, HF_STAGE_ATTEMPT, true);
}

int64_t
hf_shutdown_server_deadline (const struct hf_state *state, const struct hf_call *call)
{
  bool bounded = state->leaving && call->deadline >= last_response_at (state);
  return bounded ? call->deadline - HF_EXIT_FLUSH_MS * HF_MS : call->deadline;
}
