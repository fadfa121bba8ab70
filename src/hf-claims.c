/* At most one run for an Idempotency-Key: the claims made by this entry. */
#include "hf-claims.h"

#include <string.h>

#include "hf-calls.h"
#include "hf-claim-shards.h"
#include "hf-members.h"

/* --- constants --- */

#define QUERIES_MAX           2  /* unanswered queries after which the state of the holder's claim counts as unknown */
#define RELEASE_REQUESTS_MAX  60 /* unanswered release requests after which no more are sent */
#define RELEASE_DOUBLINGS_MAX 6  /* of the delay between two release requests */
#define UUID_LENGTH           36
#define CLOCK_MARGIN_SEC      3600 /* possible difference between the clocks of callers and VMs */

/* --- internal functions: keys --- */

/* Organisations do not know the keys of one another: equal ones of two organisations are two keys. */
static struct hf_claim_key
hash_key (struct hf_str service, const struct hf_organisation *organisation, struct hf_str key)
{
  guint8 digest[32];
  gsize size = sizeof digest;
  struct hf_claim_key out;
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  g_checksum_update (sum, (const guchar *) service.data, (gssize) service.len);
  g_checksum_update (sum, (const guchar *) "\n", 1);
  if (organisation)
    {
      g_checksum_update (sum, (const guchar *) organisation->name.data, (gssize) organisation->name.len);
      g_checksum_update (sum, (const guchar *) "\n", 1);
    }
  g_checksum_update (sum, (const guchar *) key.data, (gssize) key.len);
  g_checksum_get_digest (sum, digest, &size);
  g_checksum_free (sum);
  memcpy (&out, digest, sizeof out);
  return out;
}

/* Time of a UUID version 7 in seconds since 1970; -1 for any other key. */
static int64_t
uuid_v7_seconds (struct hf_str key)
{
  char hex[13] = "";
  if (key.len != UUID_LENGTH || key.data[8] != '-' || key.data[13] != '-' || key.data[14] != '7')
    return -1;
  memcpy (hex, key.data, 8);
  memcpy (hex + 8, key.data + 9, 4);
  return (int64_t) (g_ascii_strtoull (hex, NULL, 16) / 1000);
}

static struct hf_rpc_claim_id
own_id (const struct hf_state *state, const struct hf_claim *claim)
{
  return (struct hf_rpc_claim_id){ .boot_id = state->boot_id, .seq = claim->seq };
}

static struct hf_claim *
find_claim (const struct hf_state *state, uint64_t seq)
{
  return g_hash_table_lookup (state->claims, &seq);
}

static void
set_phase (struct hf_state *state, struct hf_claim *claim, enum hf_claim_phase phase)
{
  claim->phase = phase;
  claim->changed_at = state->now;
  claim->requests_sent = 0;
  hf_timers_cancel (&claim->timer);
}

/* --- internal functions: requests to the owner of the shard --- */

static void
submit_to_owner (struct hf_state *state, struct hf_claim *claim, enum hf_claim_op op)
{
  uint64_t owner = hf_members_owner (state, hf_claim_shards_subject (hf_claim_shards_index (claim->key)));
  struct hf_claim_shard_op request = {
    .op = op, .key = claim->key, .id = own_id (state, claim), .replaces = claim->replaces, .requester = state->boot_id
  };
  claim->requests_sent++;
  hf_timers_cancel (&claim->timer);
  /* No caller waits for a release, so its retries back off exponentially. */
  unsigned doublings = op == HF_CLAIM_OP_RELEASE ? MIN (claim->requests_sent, RELEASE_DOUBLINGS_MAX) : 0;
  claim->timer
      = hf_state_start_timer (state, (HF_CLAIM_RETRY_MS * HF_MS) << doublings, HF_TIMER_CLAIM_RESEND, claim->seq, 0);
  if (owner == state->boot_id)
    {
      hf_claim_shards_submit (state, &request);
      return;
    }
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_CLAIM } };
  message.body.hf_rpc_body_u.claim = (struct hf_rpc_claim){
    .op = op, .key_high = claim->key.high, .key_low = claim->key.low, .id = request.id, .replaces = claim->replaces
  };
  hf_state_send_to_member (state, owner, message);
}

static void
release_claim (struct hf_state *state, struct hf_claim *claim)
{
  set_phase (state, claim, HF_CLAIM_RELEASING);
  submit_to_owner (state, claim, HF_CLAIM_OP_RELEASE);
}

/* --- internal functions: queries to the holder --- */

static void
fail_call (struct hf_state *state, struct hf_claim *claim, unsigned status, enum hf_outcome outcome, const char *reason)
{
  uint64_t call = claim->call;
  if (call)
    hf_calls_handle_claim_failed (state, call, status, outcome, reason);
}

static void
apply_query_result (struct hf_state *state, struct hf_claim *claim, enum hf_claim_query_state result, unsigned status)
{
  char reason[96];
  if (result == HF_CLAIM_QUERY_NOT_RUN)
    {
      /* The holder's claim will never run: replace it. */
      claim->replaces = claim->holder;
      set_phase (state, claim, HF_CLAIM_COMMITTING);
      submit_to_owner (state, claim, HF_CLAIM_OP_COMMIT);
      return;
    }
  set_phase (state, claim, HF_CLAIM_RELEASED);
  if (result == HF_CLAIM_QUERY_DONE && status)
    g_snprintf (reason, sizeof reason, "this Idempotency-Key was answered before, with status %u", status);
  else if (result == HF_CLAIM_QUERY_RUNNING)
    g_strlcpy (reason, "this Idempotency-Key is being worked on", sizeof reason);
  else
    g_strlcpy (reason, "this Idempotency-Key was used before; its outcome is not known", sizeof reason);
  fail_call (state, claim, 409, HF_OUTCOME_UNKNOWN, reason);
}

static enum hf_claim_query_state
query_state_of (const struct hf_claim *claim)
{
  if (!claim)
    return HF_CLAIM_QUERY_UNKNOWN;
  switch (claim->phase)
    {
    case HF_CLAIM_RELEASING:
    case HF_CLAIM_RELEASED:
      return HF_CLAIM_QUERY_NOT_RUN;
    case HF_CLAIM_DONE:
      return claim->status ? HF_CLAIM_QUERY_DONE : HF_CLAIM_QUERY_UNKNOWN;
    case HF_CLAIM_COMMITTING:
    case HF_CLAIM_QUERYING_HOLDER:
    case HF_CLAIM_COMMITTED:
      break;
    }
  return HF_CLAIM_QUERY_RUNNING;
}

static void
query_holder (struct hf_state *state, struct hf_claim *claim)
{
  if (claim->holder.boot_id == state->boot_id)
    {
      const struct hf_claim *holder = find_claim (state, claim->holder.seq);
      apply_query_result (state, claim, query_state_of (holder), holder ? holder->status : 0);
      return;
    }
  const struct hf_member *member = hf_state_find_member (state, claim->holder.boot_id);
  if (!member || !member->alive || claim->requests_sent >= QUERIES_MAX)
    {
      apply_query_result (state, claim, HF_CLAIM_QUERY_UNKNOWN, 0);
      return;
    }
  claim->requests_sent++;
  claim->timer = hf_state_start_timer (state, HF_CLAIM_QUERY_RETRY_MS * HF_MS, HF_TIMER_CLAIM_QUERY, claim->seq, 0);
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_CLAIM_QUERY } };
  message.body.hf_rpc_body_u.claim_query = (struct hf_rpc_claim_query){
    .key_high = claim->key.high, .key_low = claim->key.low, .holder = claim->holder, .requester = own_id (state, claim)
  };
  hf_state_send_to_member (state, claim->holder.boot_id, message);
}

/* --- internal functions: replies --- */

static void
handle_own_reply (struct hf_state *state, uint64_t seq, enum hf_claim_outcome outcome, struct hf_rpc_claim_id holder)
{
  struct hf_claim *claim = find_claim (state, seq);
  if (!claim)
    return;
  if (claim->phase == HF_CLAIM_RELEASING)
    {
      if (outcome == HF_CLAIM_OUTCOME_RELEASED)
        set_phase (state, claim, HF_CLAIM_RELEASED);
      return;
    }
  if (claim->phase != HF_CLAIM_COMMITTING)
    return;
  if (outcome == HF_CLAIM_OUTCOME_COMMITTED)
    {
      set_phase (state, claim, HF_CLAIM_COMMITTED);
      hf_calls_handle_claim_committed (state, claim->call);
    }
  else if (outcome == HF_CLAIM_OUTCOME_TAKEN)
    {
      hf_state_increment (state, HF_COUNT_CLAIMS_TAKEN);
      set_phase (state, claim, HF_CLAIM_QUERYING_HOLDER);
      claim->holder = holder;
      query_holder (state, claim);
    }
  else if (outcome == HF_CLAIM_OUTCOME_UNAVAILABLE)
    fail_call (state, claim, 503, HF_OUTCOME_NOT_RUN, "the key cannot be claimed now");
}

static void
handle_query (struct hf_state *state, uint64_t from, const struct hf_rpc_claim_query *query)
{
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_CLAIM_QUERY_REPLY } };
  const struct hf_claim *claim = query->holder.boot_id == state->boot_id ? find_claim (state, query->holder.seq) : NULL;
  message.body.hf_rpc_body_u.claim_query_reply = (struct hf_rpc_claim_query_reply){
    .key_high = query->key_high,
    .key_low = query->key_low,
    .holder = query->holder,
    .requester = query->requester,
    .state = query_state_of (claim),
    .status = claim ? claim->status : 0,
  };
  hf_state_send_to_member (state, from, message);
}

static void
handle_query_reply (struct hf_state *state, const struct hf_rpc_claim_query_reply *reply)
{
  struct hf_claim *claim = reply->requester.boot_id == state->boot_id ? find_claim (state, reply->requester.seq) : NULL;
  bool expected = claim && claim->phase == HF_CLAIM_QUERYING_HOLDER && claim->holder.boot_id == reply->holder.boot_id
                  && claim->holder.seq == reply->holder.seq;
  if (expected)
    apply_query_result (state, claim, reply->state <= HF_CLAIM_QUERY_DONE ? reply->state : HF_CLAIM_QUERY_UNKNOWN,
                        reply->status);
}

static void
handle_claim (struct hf_state *state, uint64_t from, const struct hf_rpc_claim *claim)
{
  struct hf_claim_shard_op op = { .op = claim->op == HF_CLAIM_OP_RELEASE ? HF_CLAIM_OP_RELEASE : HF_CLAIM_OP_COMMIT,
                                  .key = { claim->key_high, claim->key_low },
                                  .id = claim->id,
                                  .replaces = claim->replaces,
                                  .requester = from };
  hf_claim_shards_submit (state, &op);
}

/* --- public functions: calls of this entry --- */

void
hf_claims_begin (struct hf_state *state, struct hf_call *call, struct hf_str key)
{
  int64_t created = uuid_v7_seconds (key);
  int64_t now = state->wall_time / HF_SEC;
  /* An earlier claim of so old a key may have expired, and the request would run a second time. */
  if (created >= 0 && created < now - HF_CLAIM_KEY_RETENTION_SEC + CLOCK_MARGIN_SEC)
    {
      hf_calls_handle_claim_failed (state, call->id, 422, HF_OUTCOME_NOT_RUN,
                                    "this Idempotency-Key is older than the retention window");
      return;
    }
  struct hf_claim *claim = g_new0 (struct hf_claim, 1);
  claim->seq = ++state->last_claim_seq;
  claim->call = call->id;
  claim->key = hash_key (call->service->name, call->organisation, key);
  claim->changed_at = state->now;
  call->claim = claim->seq;
  g_hash_table_insert (state->claims, &claim->seq, claim);
  submit_to_owner (state, claim, HF_CLAIM_OP_COMMIT);
}

void
hf_claims_end (struct hf_state *state, struct hf_call *call, enum hf_outcome outcome, unsigned status)
{
  struct hf_claim *claim = call->claim ? find_claim (state, call->claim) : NULL;
  call->claim = 0;
  if (!claim)
    return;
  claim->call = 0;
  claim->status = status;
  /* Another claim holds the key, so there is nothing to release. */
  if (claim->phase == HF_CLAIM_RELEASED || claim->phase == HF_CLAIM_QUERYING_HOLDER)
    set_phase (state, claim, HF_CLAIM_RELEASED);
  else if (outcome == HF_OUTCOME_NOT_RUN || claim->phase == HF_CLAIM_COMMITTING)
    release_claim (state, claim);
  else
    set_phase (state, claim, HF_CLAIM_DONE);
}

/* --- public functions: events --- */

void
hf_claims_handle_message (struct hf_state *state, const struct hf_event *event)
{
  const struct hf_rpc_message *message = event->peer.message;
  const struct hf_rpc_claim_reply *reply = &message->body.hf_rpc_body_u.claim_reply;
  if (message->body.kind == HF_RPC_CLAIM)
    handle_claim (state, message->boot_id, &message->body.hf_rpc_body_u.claim);
  else if (message->body.kind == HF_RPC_CLAIM_REPLY && reply->id.boot_id == state->boot_id)
    handle_own_reply (state, reply->id.seq, reply->outcome, reply->holder);
  else if (message->body.kind == HF_RPC_CLAIM_QUERY)
    handle_query (state, message->boot_id, &message->body.hf_rpc_body_u.claim_query);
  else if (message->body.kind == HF_RPC_CLAIM_QUERY_REPLY)
    handle_query_reply (state, &message->body.hf_rpc_body_u.claim_query_reply);
}

void
hf_claims_handle_timer (struct hf_state *state, const struct hf_timer *timer)
{
  if (timer->kind == HF_TIMER_CLAIM_WRITE)
    {
      hf_claim_shards_handle_timer (state, (unsigned) timer->id);
      return;
    }
  struct hf_claim *claim = find_claim (state, timer->id);
  if (!claim)
    return;
  claim->timer = NULL;
  if (claim->phase == HF_CLAIM_QUERYING_HOLDER)
    query_holder (state, claim);
  else if (claim->phase == HF_CLAIM_COMMITTING)
    submit_to_owner (state, claim, HF_CLAIM_OP_COMMIT);
  else if (claim->phase == HF_CLAIM_RELEASING && claim->requests_sent < RELEASE_REQUESTS_MAX)
    submit_to_owner (state, claim, HF_CLAIM_OP_RELEASE);
}

void
hf_claims_expire (struct hf_state *state)
{
  GHashTableIter iter;
  struct hf_claim *claim;
  g_hash_table_iter_init (&iter, state->claims);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &claim))
    {
      if (claim->call || claim->timer || state->now - claim->changed_at < HF_CLAIM_OUTCOME_RETENTION_SEC * HF_SEC)
        continue;
      g_hash_table_iter_remove (&iter);
    }
}

void
hf_claims_reply (struct hf_state *state,
                 const struct hf_claim_shard_op *op,
                 enum hf_claim_outcome outcome,
                 struct hf_rpc_claim_id holder)
{
  if (op->requester == state->boot_id)
    {
      handle_own_reply (state, op->id.seq, outcome, holder);
      return;
    }
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_CLAIM_REPLY } };
  message.body.hf_rpc_body_u.claim_reply = (struct hf_rpc_claim_reply){
    .outcome = outcome, .key_high = op->key.high, .key_low = op->key.low, .id = op->id, .holder = holder
  };
  hf_state_send_to_member (state, op->requester, message);
}

/* --- public functions: init and close --- */

void
hf_claims_init (struct hf_state *state)
{
  state->claims = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  for (unsigned i = 0; i < HF_CLAIM_SHARDS; i++)
    hf_claim_shards_init (&state->claim_shards[i]);
}

void
hf_claims_close (struct hf_state *state)
{
  g_hash_table_destroy (state->claims);
  for (unsigned i = 0; i < HF_CLAIM_SHARDS; i++)
    hf_claim_shards_close (&state->claim_shards[i]);
}
