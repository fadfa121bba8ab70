/**
 * DOC: hf-reduce - the reducer
 *
 * One function over all events, with its effects as data. It reads no clock,
 * opens no socket and uses no source of randomness of its own.
 */
#ifndef HF_REDUCE_H
#define HF_REDUCE_H

#include "hf-event.h"
#include "hf-routing.h"
#include "hf-settings.h"

struct hf_state;

/* --- public functions --- */

/* Creates the state of one process; boot_id is random, unique among all entries and seeds the random numbers. */
struct hf_state *hf_state_new (const struct hf_settings *settings, uint64_t boot_id);
void hf_state_free (struct hf_state *state);

/* Applies one event to the state and appends the effects to the list. */
void hf_reduce (struct hf_state *state, const struct hf_event *event, struct hf_effects *effects);
bool hf_state_is_repeatable (const struct hf_state *state, const struct hf_request_head *head); /* may run twice */

#endif
