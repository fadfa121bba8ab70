/* At most one run for an Idempotency-Key: the side of the calls. */
#include "hf-claims.h"

#include <string.h>

#include "hf-calls.h"
#include "hf-members.h"
#include "hf-claim-shards.h"

/* --- constants --- */

#define INQUIRIES_MAX         2
#define RELEASE_ASKS_MAX      60
#define RELEASE_DOUBLINGS_MAX 6
#define UUID_LENGTH           36
#define CLOCK_MARGIN_SEC      3600 /* clocks of callers and VMs may differ */

/* --- internal functions: keys --- */

static struct hf_claim_key
make_key (struct hf_str service, struct hf_str key)
{
  guint8 digest[32];
  gsize size = sizeof digest;
  struct hf_claim_key out;
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  g_checksum_update (sum, (const guchar *) service.data, (gssize) service.len);
  g_checksum_update (sum, (const guchar *) "\n", 1);
  g_checksum_update (sum, (const guchar *) key.data, (gssize) key.len);
  g_checksum_get_digest (sum, digest, &size);
  g_checksum_free (sum);
  memcpy (&out, digest, sizeof out);
  return out;
}

/* Time of a UUID version 7 in seconds, or -1. */
static int64_t
uuid_time (struct hf_str key)
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
  return (struct hf_rpc_claim_id){ .boot = state->boot, .seq = claim->seq };
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
  claim->asks = 0;
  hf_timers_cancel (&claim->timer);
}

/* --- internal functions: asking the owner of the shard --- */

static void
ask_owner (struct hf_state *state, struct hf_claim *claim, enum hf_claim_op op)
{
  uint64_t owner = hf_members_owner (state, hf_shards_subject (hf_shards_of (claim->key)));
  struct hf_shard_op own
      = { .op = op, .key = claim->key, .id = own_id (state, claim), .replaces = claim->replaces, .from = state->boot };
  claim->asks++;
  hf_timers_cancel (&claim->timer);
  /* A release has no caller waiting and backs off. */
  unsigned doublings = op == HF_CLAIM_OP_RELEASE ? MIN (claim->asks, RELEASE_DOUBLINGS_MAX) : 0;
  claim->timer = hf_state_timer (state, (HF_CLAIM_ASK_MS * HF_MS) << doublings, HF_TIMER_CLAIM_ASK, claim->seq, 0);
  if (owner == state->boot)
    {
      hf_shards_add (state, &own);
      return;
    }
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_CLAIM } };
  message.body.hf_rpc_body_u.claim = (struct hf_rpc_claim){
    .op = op, .key_high = claim->key.high, .key_low = claim->key.low, .id = own.id, .replaces = claim->replaces
  };
  hf_state_send (state, owner, message);
}

static void
release (struct hf_state *state, struct hf_claim *claim)
{
  set_phase (state, claim, HF_CLAIM_RELEASING);
  ask_owner (state, claim, HF_CLAIM_OP_RELEASE);
}

/* --- internal functions: asking the holder --- */

static void
fail_call (struct hf_state *state, struct hf_claim *claim, unsigned status, enum hf_outcome outcome, const char *reason)
{
  uint64_t call = claim->call;
  if (call)
    hf_calls_claim_failed (state, call, status, outcome, reason);
}

static void
inquiry_answered (struct hf_state *state, struct hf_claim *claim, enum hf_inquiry_state answer, unsigned status)
{
  char reason[96];
  if (answer == HF_INQUIRY_NOT_RUN)
    {
      /* The holder will never run it: take its place. */
      claim->replaces = claim->holder;
      set_phase (state, claim, HF_CLAIM_ASKING);
      ask_owner (state, claim, HF_CLAIM_OP_COMMIT);
      return;
    }
  set_phase (state, claim, HF_CLAIM_RELEASED);
  if (answer == HF_INQUIRY_DONE && status)
    g_snprintf (reason, sizeof reason, "this Idempotency-Key was answered before, with status %u", status);
  else if (answer == HF_INQUIRY_RUNNING)
    g_strlcpy (reason, "this Idempotency-Key is being worked on", sizeof reason);
  else
    g_strlcpy (reason, "this Idempotency-Key was used before; its outcome is not known", sizeof reason);
  fail_call (state, claim, 409, HF_OUTCOME_UNKNOWN, reason);
}

static enum hf_inquiry_state
state_of (const struct hf_claim *claim)
{
  if (!claim)
    return HF_INQUIRY_UNKNOWN;
  switch (claim->phase)
    {
    case HF_CLAIM_RELEASING:
    case HF_CLAIM_RELEASED:
      return HF_INQUIRY_NOT_RUN;
    case HF_CLAIM_DONE:
      return claim->status ? HF_INQUIRY_DONE : HF_INQUIRY_UNKNOWN;
    case HF_CLAIM_ASKING:
    case HF_CLAIM_INQUIRING:
    case HF_CLAIM_COMMITTED:
      break;
    }
  return HF_INQUIRY_RUNNING;
}

static void
inquire (struct hf_state *state, struct hf_claim *claim)
{
  if (claim->holder.boot == state->boot)
    {
      const struct hf_claim *holder = find_claim (state, claim->holder.seq);
      inquiry_answered (state, claim, state_of (holder), holder ? holder->status : 0);
      return;
    }
  const struct hf_member *member = hf_members_find (state, claim->holder.boot);
  if (!member || !member->alive || claim->asks >= INQUIRIES_MAX)
    {
      inquiry_answered (state, claim, HF_INQUIRY_UNKNOWN, 0);
      return;
    }
  claim->asks++;
  claim->timer = hf_state_timer (state, HF_CLAIM_INQUIRE_MS * HF_MS, HF_TIMER_CLAIM_INQUIRE, claim->seq, 0);
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_INQUIRY } };
  message.body.hf_rpc_body_u.inquiry = (struct hf_rpc_inquiry){
    .key_high = claim->key.high, .key_low = claim->key.low, .holder = claim->holder, .asker = own_id (state, claim)
  };
  hf_state_send (state, claim->holder.boot, message);
}

/* --- internal functions: replies --- */

static void
own_reply (struct hf_state *state, uint64_t seq, enum hf_claim_outcome outcome, struct hf_rpc_claim_id holder)
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
  if (claim->phase != HF_CLAIM_ASKING)
    return;
  if (outcome == HF_CLAIM_OUTCOME_COMMITTED)
    {
      set_phase (state, claim, HF_CLAIM_COMMITTED);
      hf_calls_claimed (state, claim->call);
    }
  else if (outcome == HF_CLAIM_OUTCOME_TAKEN)
    {
      hf_state_count (state, HF_COUNT_CLAIMS_TAKEN);
      set_phase (state, claim, HF_CLAIM_INQUIRING);
      claim->holder = holder;
      inquire (state, claim);
    }
  else if (outcome == HF_CLAIM_OUTCOME_UNAVAILABLE)
    fail_call (state, claim, 503, HF_OUTCOME_NOT_RUN, "the key cannot be claimed now");
}

static void
peer_inquiry (struct hf_state *state, uint64_t from, const struct hf_rpc_inquiry *inquiry)
{
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_INQUIRY_REPLY } };
  const struct hf_claim *claim = inquiry->holder.boot == state->boot ? find_claim (state, inquiry->holder.seq) : NULL;
  message.body.hf_rpc_body_u.inquiry_reply = (struct hf_rpc_inquiry_reply){
    .key_high = inquiry->key_high,
    .key_low = inquiry->key_low,
    .holder = inquiry->holder,
    .asker = inquiry->asker,
    .state = state_of (claim),
    .status = claim ? claim->status : 0,
  };
  hf_state_send (state, from, message);
}

static void
peer_inquiry_reply (struct hf_state *state, const struct hf_rpc_inquiry_reply *reply)
{
  struct hf_claim *claim = reply->asker.boot == state->boot ? find_claim (state, reply->asker.seq) : NULL;
  bool asked = claim && claim->phase == HF_CLAIM_INQUIRING && claim->holder.boot == reply->holder.boot
               && claim->holder.seq == reply->holder.seq;
  if (asked)
    inquiry_answered (state, claim, reply->state <= HF_INQUIRY_DONE ? reply->state : HF_INQUIRY_UNKNOWN, reply->status);
}

static void
peer_claim (struct hf_state *state, uint64_t from, const struct hf_rpc_claim *claim)
{
  struct hf_shard_op op = { .op = claim->op == HF_CLAIM_OP_RELEASE ? HF_CLAIM_OP_RELEASE : HF_CLAIM_OP_COMMIT,
                            .key = { claim->key_high, claim->key_low },
                            .id = claim->id,
                            .replaces = claim->replaces,
                            .from = from };
  hf_shards_add (state, &op);
}

/* --- public functions: calls of this entry --- */

void
hf_claims_begin (struct hf_state *state, struct hf_call *call, struct hf_str key)
{
  int64_t made = uuid_time (key);
  int64_t now = state->wall / HF_SEC;
  if (made >= 0 && made < now - HF_CLAIM_RETENTION_SEC + CLOCK_MARGIN_SEC)
    {
      hf_calls_claim_failed (state, call->id, 422, HF_OUTCOME_NOT_RUN,
                             "this Idempotency-Key is older than the retention window");
      return;
    }
  struct hf_claim *claim = g_new0 (struct hf_claim, 1);
  claim->seq = ++state->claim_seq;
  claim->call = call->id;
  claim->key = make_key (call->service->name, key);
  claim->changed_at = state->now;
  call->claim = claim->seq;
  g_hash_table_insert (state->claims, &claim->seq, claim);
  ask_owner (state, claim, HF_CLAIM_OP_COMMIT);
}

void
hf_claims_ended (struct hf_state *state, struct hf_call *call, enum hf_outcome outcome, unsigned status)
{
  struct hf_claim *claim = call->claim ? find_claim (state, call->claim) : NULL;
  call->claim = 0;
  if (!claim)
    return;
  claim->call = 0;
  claim->status = status;
  /* Taken by another: there is nothing of this claim to release. */
  if (claim->phase == HF_CLAIM_RELEASED || claim->phase == HF_CLAIM_INQUIRING)
    set_phase (state, claim, HF_CLAIM_RELEASED);
  else if (outcome == HF_OUTCOME_NOT_RUN || claim->phase == HF_CLAIM_ASKING)
    release (state, claim);
  else
    set_phase (state, claim, HF_CLAIM_DONE);
}

/* --- public functions: events --- */

void
hf_claims_message (struct hf_state *state, const struct hf_event *event)
{
  const struct hf_rpc_message *message = event->peer.message;
  const struct hf_rpc_claim_reply *reply = &message->body.hf_rpc_body_u.claim_reply;
  if (message->body.kind == HF_RPC_CLAIM)
    peer_claim (state, message->boot, &message->body.hf_rpc_body_u.claim);
  else if (message->body.kind == HF_RPC_CLAIM_REPLY && reply->id.boot == state->boot)
    own_reply (state, reply->id.seq, reply->outcome, reply->holder);
  else if (message->body.kind == HF_RPC_INQUIRY)
    peer_inquiry (state, message->boot, &message->body.hf_rpc_body_u.inquiry);
  else if (message->body.kind == HF_RPC_INQUIRY_REPLY)
    peer_inquiry_reply (state, &message->body.hf_rpc_body_u.inquiry_reply);
}

void
hf_claims_timer (struct hf_state *state, const struct hf_timer *timer)
{
  if (timer->kind == HF_TIMER_CLAIM_WRITE)
    {
      hf_shards_timer (state, (unsigned) timer->id);
      return;
    }
  struct hf_claim *claim = find_claim (state, timer->id);
  if (!claim)
    return;
  claim->timer = NULL;
  if (claim->phase == HF_CLAIM_INQUIRING)
    inquire (state, claim);
  else if (claim->phase == HF_CLAIM_ASKING)
    ask_owner (state, claim, HF_CLAIM_OP_COMMIT);
  else if (claim->phase == HF_CLAIM_RELEASING && claim->asks < RELEASE_ASKS_MAX)
    ask_owner (state, claim, HF_CLAIM_OP_RELEASE);
}

void
hf_claims_expire (struct hf_state *state)
{
  GHashTableIter iter;
  struct hf_claim *claim;
  g_hash_table_iter_init (&iter, state->claims);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &claim))
    {
      if (claim->call || claim->timer || state->now - claim->changed_at < HF_CLAIM_MEMORY_SEC * HF_SEC)
        continue;
      g_hash_table_iter_remove (&iter);
    }
}

void
hf_claims_reply (struct hf_state *state,
                 const struct hf_shard_op *op,
                 enum hf_claim_outcome outcome,
                 struct hf_rpc_claim_id holder)
{
  if (op->from == state->boot)
    {
      own_reply (state, op->id.seq, outcome, holder);
      return;
    }
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_CLAIM_REPLY } };
  message.body.hf_rpc_body_u.claim_reply = (struct hf_rpc_claim_reply){
    .outcome = outcome, .key_high = op->key.high, .key_low = op->key.low, .id = op->id, .holder = holder
  };
  hf_state_send (state, op->from, message);
}

/* --- public functions: init and close --- */

void
hf_claims_init (struct hf_state *state)
{
  state->claims = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  for (unsigned i = 0; i < HF_CLAIM_SHARDS; i++)
    hf_shards_init (&state->shards[i]);
}

void
hf_claims_close (struct hf_state *state)
{
  g_hash_table_destroy (state->claims);
  for (unsigned i = 0; i < HF_CLAIM_SHARDS; i++)
    hf_shards_close (&state->shards[i]);
}
