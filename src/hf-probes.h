/**
 * DOC: hf-probes - health probes within the probe budget of a service
 *
 * Probes only backend servers without a recent response. The probe tokens of an
 * epoch are allotted by conditional updates in the platform, so that no two
 * entries hold the same ones, even if the entries disagree about the membership.
 * The owner of a service takes half of the tokens left at a time; an entry that is
 * not the owner any more gives back what it has. While the platform is unreachable
 * no tokens are allotted and probes stop.
 */
#ifndef HF_PROBES_H
#define HF_PROBES_H

#include "hf-state.h"

/* --- public functions --- */

void hf_probes_tick (struct hf_state *state);                                          /* sends probes that are due */
void hf_probes_handle_platform (struct hf_state *state, const struct hf_event *event); /* result of an allotment */
void hf_probes_handle_result (struct hf_state *state, const struct hf_event *event);   /* result of a probe */

#endif
