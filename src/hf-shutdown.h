/**
 * DOC: hf-shutdown - shutdown of this entry
 *
 * From SIGTERM on, a request is accepted only if it can be expected to end
 * before the process exits, and every accepted one is answered before that.
 */
#ifndef HF_SHUTDOWN_H
#define HF_SHUTDOWN_H

#include "hf-state.h"

/* --- public functions --- */

void hf_shutdown_begin (struct hf_state *state); /* fails the health check, bounds the calls in progress */
/* Whether a new call can end before the exit; if so, bounds its deadline. */
bool hf_shutdown_accept (struct hf_state *state, struct hf_call *call);
/* Whether an attempt that gets its slot now can end before the exit. */
bool hf_shutdown_may_dispatch (const struct hf_state *state, const struct hf_call *call);
/* The backend server's deadline: if the exit bounds it, it leaves time for the server's own response. */
int64_t hf_shutdown_server_deadline (const struct hf_state *state, const struct hf_call *call);

#endif
