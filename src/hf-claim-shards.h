/**
 * DOC: hf-claim-shards - idempotency claims in the platform
 *
 * The part of claims that runs on the entry that owns a shard of the key space.
 * It commits claims by conditional updates of one platform object for each
 * shard, several claims at a time.
 */
#ifndef HF_CLAIM_SHARDS_H
#define HF_CLAIM_SHARDS_H

#include "hf-state.h"

/* --- types --- */

/** struct hf_claimed_key - a key in a shard, and the claim that holds it */
struct hf_claimed_key
{
  struct hf_claim_key key;
  struct hf_rpc_claim_id holder;
  int64_t since; /* wall clock, seconds */
};

/* --- public functions: keys --- */

unsigned hf_claim_shards_index (struct hf_claim_key key); /* shard of a key */
uint64_t hf_claim_shards_subject (unsigned shard);        /* subject for hf_members_owner */

/* --- public functions: operations --- */

/* Queues an operation, a repeated one only once; hf_claims_reply follows with its outcome. */
void hf_claim_shards_submit (struct hf_state *state, const struct hf_claim_shard_op *op);
void hf_claim_shards_handle_timer (struct hf_state *state, unsigned shard_index); /* the next write may start */

/* Handles the outcome of a read or write of a shard object. */
void hf_claim_shards_handle_platform (struct hf_state *state, const struct hf_event *event);

/* --- public functions: init and close --- */

void hf_claim_shards_init (struct hf_claim_shard *shard);  /* not loaded */
void hf_claim_shards_close (struct hf_claim_shard *shard); /* frees all */

/* --- implemented by hf-claims --- */

/* Sends the outcome of an operation to the entry that requested it; holder: the claim that holds the key now. */
void hf_claims_reply (struct hf_state *state,
                      const struct hf_claim_shard_op *op,
                      enum hf_claim_outcome outcome,
                      struct hf_rpc_claim_id holder);

#endif
