/**
 * DOC: hf-claims - at most one run for an Idempotency-Key
 *
 * A key is claimed in the platform before its request is dispatched. Keys hash
 * to shard objects; the entry that owns a shard commits waiting claims together
 * in one conditional update. If two entries both believe that they own a shard,
 * the update of one fails on the object's version, so correctness depends on no
 * lease and no clock. docs/DESIGN.md, "At most once", has the argument.
 */
#ifndef HF_CLAIMS_H
#define HF_CLAIMS_H

#include "hf-state.h"

/* --- public functions: calls of this entry --- */

/* Claims a key for a call; hf_calls_handle_claim_committed or _claim_failed follows. */
void hf_claims_begin (struct hf_state *state, struct hf_call *call, struct hf_str key);

/* Ends the claim of a call that is over: releases the key if the request did not run. status 0: no response. */
void hf_claims_end (struct hf_state *state, struct hf_call *call, enum hf_outcome outcome, unsigned status);

/* --- public functions: events --- */

void hf_claims_handle_message (struct hf_state *state, const struct hf_event *event); /* CLAIM, CLAIM_QUERY, replies */
void hf_claims_handle_timer (struct hf_state *state, const struct hf_timer *timer);   /* HF_TIMER_CLAIM_... */
void hf_claims_expire (struct hf_state *state);                                       /* removes old outcomes */

/* --- public functions: init and close --- */

void hf_claims_init (struct hf_state *state);  /* no claims, shards not loaded */
void hf_claims_close (struct hf_state *state); /* frees claims and shards */

#endif
