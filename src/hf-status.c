/* What a process says of itself. */
#include "hf-status.h"

#include "hf-state.h"

bool
hf_state_is_initialised (const struct hf_state *state)
{
  bool listed = !state->external_store || (state->directory.complete && state->directory.entries_complete);
  bool knows_evacuations = !state->follows_evacuations || state->evacuations.position.revision > 0;
  return state->document && listed && knows_evacuations;
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
