/**
 * DOC: hf-claim-shards - the owner's side of claims
 *
 * Commits the claims of a shard of the key space by conditional updates of
 * one platform object, several at a time.
 */
#ifndef HF_CLAIM_SHARDS_H
#define HF_CLAIM_SHARDS_H

#include "hf-state.h"

/* --- types --- */

/** struct hf_claimed_key - a claimed key; two hashes, who holds it and since when
 */
struct hf_claimed_key
{
  struct hf_claim_key key;
  struct hf_rpc_claim_id holder;
  int64_t since; /* wall clock, seconds */
};

/* --- public functions --- */

unsigned hf_claim_shards_index (struct hf_claim_key key); /* shard of a key */
uint64_t hf_claim_shards_subject (unsigned shard);        /* for hf_members_owner */
void hf_claim_shards_submit (struct hf_state *state,
                             const struct hf_claim_shard_op *op);           /* an operation; hf_claims_reply follows */
void hf_claim_shards_handle_timer (struct hf_state *state, unsigned shard); /* the next write may start */
void hf_claim_shards_handle_platform (struct hf_state *state,
                                      const struct hf_event *event); /* outcome of a read or write */
void hf_claim_shards_init (struct hf_claim_shard *shard);            /* nothing loaded */
void hf_claim_shards_close (struct hf_claim_shard *shard);           /* frees all */
void hf_claims_reply (struct hf_state *state,
                      const struct hf_claim_shard_op *op,
                      enum hf_claim_outcome outcome,
                      struct hf_rpc_claim_id holder); /* tells the asking entry */

#endif
