/**
 * DOC: hf-restrictions - requests that backend servers do not want from this entry
 *
 * A backend server may say in any response that it is leaving. From then on
 * this entry sends that instance of it no request, whatever the directory or
 * other entries report; only another instance is used again. With a 503 it may
 * send Retry-After (pushback): then it gets nothing from this entry for that
 * time, and other entries go on. The entry that grants the slots of its service
 * is told of both, so that it grants no further ones.
 */
#ifndef HF_RESTRICTIONS_H
#define HF_RESTRICTIONS_H

#include "hf-state.h"

/* --- public functions --- */

void hf_restrictions_init (struct hf_state *state);
void hf_restrictions_close (struct hf_state *state);

/* Events: SERVER_HINTS, and the notices between entries that concern a restriction. */
void hf_restrictions_handle_hints (struct hf_state *state, const struct hf_event *event);
void hf_restrictions_handle_notice (struct hf_state *state, const struct hf_event *event);

bool hf_restrictions_pushes_back (const struct hf_response_hints *hints); /* a 503 with a Retry-After */

/* Time until the first server of a slice may be used, if every one wants no requests from this entry; else 0. */
int64_t hf_restrictions_wait_ms (const struct hf_state *state, uint64_t slice_id);

/* Applies what is known of a backend server that was added to the pool of a service, or restarted. */
void hf_restrictions_apply (struct hf_state *state, struct hf_service_state *service, uint64_t server);

/* Tells an entry that granted a slot which this entry must not use. */
void hf_restrictions_tell (struct hf_state *state, uint64_t granter, const struct hf_pool_server *server);

/* Appends one line for each instance: what it said, and how long ago. */
void hf_restrictions_write (const struct hf_state *state, int64_t now, GString *text);

/* Forgets instances that have not been listed for a long time. */
void hf_restrictions_expire (struct hf_state *state);

#endif
