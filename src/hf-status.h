/**
 * DOC: hf-status - what a process says of itself
 *
 * Read by the health check, by the event loop, and before work is accepted.
 */
#ifndef HF_STATUS_H
#define HF_STATUS_H

#include "hf-base.h"

struct hf_state;
struct hf_traffic;

/* Configuration and directory have been loaded, and what is evacuated where that is ordered. */
bool hf_state_is_initialised (const struct hf_state *state);
bool hf_state_is_ready (const struct hf_state *state);   /* the health check passes */
bool hf_state_is_leaving (const struct hf_state *state); /* it is shutting down */
int64_t hf_state_exit_at (const struct hf_state *state); /* if leaving: time of the exit in any case */
uint64_t *hf_state_counters (struct hf_state *state);    /* by enum hf_counter */
struct hf_traffic *hf_state_traffic (struct hf_state *state);

#endif
