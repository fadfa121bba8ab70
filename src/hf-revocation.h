/**
 * DOC: hf-revocation - how long keys are accepted without contact to the store
 *
 * With the setting strict_revoke an entry refuses requests with keys once
 * nothing has confirmed its configuration for the time revoke, as a key may have
 * been removed meanwhile. A configuration is confirmed by this entry's own
 * watch, or by an entry that watches and has no newer one.
 */
#ifndef HF_REVOCATION_H
#define HF_REVOCATION_H

#include "hf-state.h"

/* --- public functions --- */

/* The configuration in force was the newest one of the store at a point in time, unless another entry has a newer one.
 */
void hf_revocation_confirm (struct hf_state *state, int64_t at);

/* The same for the configuration of another entry, which has this generation. */
void hf_revocation_confirm_generation (struct hf_state *state, uint64_t generation, int64_t at);
bool hf_revocation_is_due (const struct hf_state *state); /* true: requests with keys are refused */
void hf_revocation_tick (struct hf_state *state);         /* with each heartbeat: logs when that begins and ends */

#endif
