/**
 * DOC: hf-referrals - slot requests that go to another failure domain
 *
 * With domain affinity a slot request goes to a granter of its own failure domain.
 * If its wait there endangers its target latency, that granter refers it to the
 * slice of another domain. It knows how soon the others could serve a request from
 * the load reports that granters send one another: at once when that changes
 * noticeably, else once a second.
 */
#ifndef HF_REFERRALS_H
#define HF_REFERRALS_H

#include "hf-state.h"

/* --- public functions --- */

void hf_referrals_tick (struct hf_state *state); /* sends load reports that are due */
void hf_referrals_handle_message (struct hf_state *state, const struct hf_event *event);

/* Returns the id of the slice that a slot request is referred to; 0: it stays. */
uint64_t
hf_referrals_choose (struct hf_state *state, struct hf_service_state *home, const struct hf_slot_request *request);

#endif
