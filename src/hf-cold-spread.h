/**
 * DOC: hf-cold-spread - cold backend servers in heartbeats
 *
 * Only the granter measures backend servers and hears that one is cold again. It
 * tells the others, which use no cold server while they decide without it. What
 * all entries learn from the directory is left out.
 */
#ifndef HF_COLD_SPREAD_H
#define HF_COLD_SPREAD_H

#include "hf-state.h"

/* --- public functions --- */

/* Sets the cold servers in a heartbeat; they live as long as the list of effects. */
void hf_cold_spread_write (struct hf_state *state, struct hf_rpc_heartbeat *heartbeat);
void hf_cold_spread_handle_heartbeat (struct hf_state *state, const struct hf_rpc_heartbeat *heartbeat);

/* A server was found to be cold: whether others are to be told before the next regular heartbeats. */
void hf_cold_spread_note (struct hf_state *state, const struct hf_pool_server *server);

/* True at most each HF_COLD_ANNOUNCE_MS, if such a server was noted. */
bool hf_cold_spread_is_announcement_due (struct hf_state *state);

#endif
