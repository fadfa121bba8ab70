/**
 * DOC: hf-reduce - the reducer
 *
 * One function over all events, effects as data. It reads no clock, opens no
 * socket and draws no random number of its own.
 */
#ifndef HF_REDUCE_H
#define HF_REDUCE_H

#include "hf-event.h"
#include "hf-settings.h"

struct hf_state;

/* --- public functions --- */

struct hf_state *hf_state_new (const struct hf_settings *settings,
                               uint64_t boot_id); /* init; boot is random and unique */
void hf_state_free (struct hf_state *state);      /* close */
void
hf_reduce (struct hf_state *state, const struct hf_event *event, struct hf_effects *effects); /* appends the effects */
bool hf_state_is_initialised (const struct hf_state *state); /* it has what requests are decided by */
bool hf_state_is_ready (const struct hf_state *state);       /* health check passes */
bool hf_state_is_leaving (const struct hf_state *state);     /* it is shutting down */
uint64_t *hf_state_counters (struct hf_state *state);        /* by enum hf_counter */

#endif
