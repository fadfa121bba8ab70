/**
 * DOC: hf-claims - at most one run for an Idempotency-Key
 *
 * A key is claimed in the platform before its request is dispatched. Keys
 * hash to shard objects; the entry responsible for a shard commits waiting
 * claims together in one conditional update. Two entries that both believe
 * to be responsible meet at the object's version, so no lease or clock is
 * part of the proof. docs/DESIGN.md, "At most once", has the argument.
 */
#ifndef HF_CLAIMS_H
#define HF_CLAIMS_H

#include "hf-state.h"

/* --- public functions: calls of this entry --- */

void hf_claims_begin (struct hf_state *state,
                      struct hf_call *call,
                      struct hf_str key); /* hf_calls_handle_claim_committed or _claim_failed follows */
void hf_claims_end (struct hf_state *state,
                    struct hf_call *call,
                    enum hf_outcome outcome,
                    unsigned status); /* the call is over */

/* --- public functions: events --- */

void hf_claims_handle_message (struct hf_state *state,
                               const struct hf_event *event); /* CLAIM, INQUIRY and their replies */
void hf_claims_handle_timer (struct hf_state *state, const struct hf_timer *timer); /* one of its timers */
void hf_claims_expire (struct hf_state *state);                                     /* forgets old outcomes */

/* --- public functions: init and close --- */

void hf_claims_init (struct hf_state *state);  /* empty shards */
void hf_claims_close (struct hf_state *state); /* frees all */

#endif
