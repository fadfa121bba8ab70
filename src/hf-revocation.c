/* How long keys are accepted without contact to the store. */
#include "hf-revocation.h"

/* --- public functions --- */

void
hf_revocation_confirm (struct hf_state *state, int64_t at)
{
  if (state->document && state->config_spread.behind_since == 0)
    state->config_confirmed_at = MAX (state->config_confirmed_at, at);
}

void
hf_revocation_confirm_generation (struct hf_state *state, uint64_t generation, int64_t at)
{
  if (generation <= hf_state_generation (state))
    hf_revocation_confirm (state, at);
}

bool
hf_revocation_is_due (const struct hf_state *state)
{
  return state->revoke_us > 0 && state->now - state->config_confirmed_at >= state->revoke_us;
}

void
hf_revocation_tick (struct hf_state *state)
{
  bool has_keys = state->document && hf_document_needs_keys (state->document);
  bool unconfirmed = has_keys && hf_revocation_is_due (state);
  if (unconfirmed == state->config_unconfirmed)
    return;
  state->config_unconfirmed = unconfirmed;
  if (unconfirmed)
    hf_state_log (state, HF_LOG_CONFIG_UNCONFIRMED,
                  "nothing has confirmed generation %" G_GUINT64_FORMAT " for %d ms; refusing requests with keys",
                  (guint64) hf_state_generation (state), (int) (state->revoke_us / HF_MS));
  else
    hf_state_log (state, HF_LOG_CONFIG_CONFIRMED, "generation %" G_GUINT64_FORMAT " is confirmed; accepting keys",
                  (guint64) hf_state_generation (state));
}
