/**
 * DOC: hf-probes - health probes inside the agreed budget
 *
 * Only backend servers that have answered nothing lately are probed. The
 * tokens of an epoch are allotted by a conditional update in the platform, so
 * that one entry at most holds them, whatever the entries believe of one
 * another. Without the platform there are no probes.
 */
#ifndef HF_PROBES_H
#define HF_PROBES_H

#include "hf-state.h"

/* --- public functions --- */

void hf_probes_tick (struct hf_state *state);                                          /* sends what is due */
void hf_probes_handle_platform (struct hf_state *state, const struct hf_event *event); /* outcome of an allotment */
void hf_probes_handle_result (struct hf_state *state, const struct hf_event *event);   /* outcome of a probe */

#endif
