/**
 * DOC: hf-cold-servers - cold backend servers in the pools
 *
 * Decides how many starts at a cold server the pools of this entry may grant, and
 * records what servers tell of themselves. An entry grants none where it is not
 * the granter, so that the limit holds for all entries together.
 */
#ifndef HF_COLD_SERVERS_H
#define HF_COLD_SERVERS_H

#include "hf-state.h"

/* --- public functions: limits --- */

void hf_cold_servers_configure (const struct hf_state *state, struct hf_pool *pool, const struct hf_service *spec);
void hf_cold_servers_update (struct hf_state *state); /* time has passed, or the roles have changed */

/* --- public functions: events --- */

void hf_cold_servers_handle_hints (struct hf_state *state, const struct hf_event *event);  /* SERVER_HINTS */
void hf_cold_servers_handle_notice (struct hf_state *state, const struct hf_event *event); /* NOTICE */

#endif
