/**
 * DOC: hf-evacuation-sync - evacuations among the entries and in the pools
 *
 * Watchers learn from the platform's store which failure domains are evacuated;
 * all entries tell one another in heartbeats. With the project's own object API
 * each entry watches it by itself. The backend servers of an evacuated
 * domain get no new requests; what they run is not disturbed.
 */
#ifndef HF_EVACUATION_SYNC_H
#define HF_EVACUATION_SYNC_H

#include "hf-state.h"

/* --- public functions: events --- */

void hf_evacuation_sync_handle_report (struct hf_state *state, const struct hf_event *event); /* EVACUATION_REPORT */

/* EVACUATION_STEP and HEARTBEAT. They return true if the set in force has changed, and with it the drain sources of the
 * servers in all pools; the pools are not updated yet. */
bool hf_evacuation_sync_handle_step (struct hf_state *state, const struct hf_event *event);
bool hf_evacuation_sync_handle_heartbeat (struct hf_state *state, const struct hf_rpc_heartbeat *heartbeat);

void hf_evacuation_sync_note_name (struct hf_state *state, struct hf_str name); /* of a failure domain, for log lines */

/* --- public functions: heartbeats --- */

/* Sets the evacuations in a heartbeat; they live as long as the list of effects. */
void hf_evacuation_sync_write (struct hf_state *state, struct hf_rpc_heartbeat *heartbeat);

/* --- public functions: pools --- */

/* A server was added to a pool or has changed. */
void hf_evacuation_sync_apply (const struct hf_state *state, struct hf_service_state *service, uint64_t server);
void hf_evacuation_sync_apply_all (const struct hf_state *state, struct hf_service_state *service); /* its servers */

#endif
