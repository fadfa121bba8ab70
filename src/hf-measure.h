/**
 * DOC: hf-measure - measuring the speed of backend servers
 *
 * Load on backend servers changes faster than responses report it. The granter
 * of a service therefore requests the health endpoint of servers with a free
 * slot, which reports how long work takes there now (slowdown_percent). It does
 * so just before a grant, for queued requests that need a fresh report, and every
 * measure_ms (key of the service) while the service receives requests.
 */
#ifndef HF_MEASURE_H
#define HF_MEASURE_H

#include "hf-state.h"

/* --- public functions --- */

void hf_measure_tick (struct hf_state *state);                                        /* periodic measurements */
void hf_measure_for_queue (struct hf_state *state, struct hf_service_state *service); /* for queued requests */
void hf_measure_handle_result (struct hf_state *state, const struct hf_event *event); /* response, or none */

#endif
