/* What a process says of itself. */
#include "hf-status.h"

#include "hf-state.h"

/* An entry to which nobody tells the orders is not in touch. It must not stay out of use for that. */
static bool
knows_evacuations (const struct hf_state *state)
{
  bool has_waited = state->now - state->started_at >= HF_EVACUATIONS_WAIT_MS * HF_MS;
  return !state->follows_evacuations || state->evacuations.position.revision > 0 || has_waited;
}

bool
hf_state_is_initialised (const struct hf_state *state)
{
  bool listed = !state->external_store || (state->directory.complete && state->directory.entries_complete);
  return state->document && listed && knows_evacuations (state);
}

bool
hf_state_is_ready (const struct hf_state *state)
{
  return hf_state_is_initialised (state) && !state->leaving;
}

bool
hf_state_is_leaving (const struct hf_state *state)
{
  return state->leaving;
}

int64_t
hf_state_exit_at (const struct hf_state *state)
{
  return state->exit_at;
}

uint64_t *
hf_state_counters (struct hf_state *state)
{
  return state->counters;
}

struct hf_traffic *
hf_state_traffic (struct hf_state *state)
{
  return &state->traffic;
}
