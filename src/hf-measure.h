/**
 * DOC: hf-measure - measuring the speed of backend servers
 *
 * Load shifts faster than answers bring news of it. The granter of a service
 * asks servers with a free slot how long work takes there now: just before it
 * grants, for requests that wait for such news, and now and then, as often as
 * the service says, while it is in use.
 */
#ifndef HF_MEASURE_H
#define HF_MEASURE_H

#include "hf-state.h"

/* --- public functions --- */

void hf_measure_tick (struct hf_state *state);                                        /* sends what is due */
void hf_measure_for_queue (struct hf_state *state, struct hf_service_state *service); /* for those that wait */
void hf_measure_handle_result (struct hf_state *state, const struct hf_event *event); /* PROBE: an answer, or none */

#endif
