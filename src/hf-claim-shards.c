/* Group commit of idempotency claims by conditional updates of shard objects. */
#include "hf-claim-shards.h"

#include "hf-members.h"

/* --- internal functions: keys --- */

static guint
key_hash (gconstpointer data)
{
  return (guint) ((const struct hf_claim_key *) data)->low;
}

static gboolean
key_equal (gconstpointer a, gconstpointer b)
{
  const struct hf_claim_key *left = a;
  const struct hf_claim_key *right = b;
  return left->high == right->high && left->low == right->low;
}

static bool
same_id (struct hf_rpc_claim_id a, struct hf_rpc_claim_id b)
{
  return a.boot_id == b.boot_id && a.seq == b.seq;
}

static GHashTable *
new_key_table (void)
{
  return g_hash_table_new_full (key_hash, key_equal, NULL, g_free);
}

static void
add_key (GHashTable *keys, struct hf_claimed_key key)
{
  struct hf_claimed_key *copy = g_new (struct hf_claimed_key, 1);
  *copy = key;
  g_hash_table_replace (keys, &copy->key, copy);
}

/* Copies the keys that were claimed at or after @oldest; older ones are past the retention window. */
static GHashTable *
copy_unexpired_keys (GHashTable *keys, int64_t oldest)
{
  GHashTable *copy = new_key_table ();
  GHashTableIter iter;
  struct hf_claimed_key *key;
  g_hash_table_iter_init (&iter, keys);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &key))
    if (key->since >= oldest)
      add_key (copy, *key);
  return copy;
}

/* --- internal functions: the shard object --- */

static void
shard_object_name (unsigned shard, char *name, size_t size)
{
  g_snprintf (name, size, "claims-%02u", shard);
}

/* One line for each key: high low boot_id seq since, in hex. */
static char *
format_object (unsigned shard, uint64_t version, GHashTable *keys)
{
  char name[32];
  GString *text = g_string_new (NULL);
  GHashTableIter iter;
  const struct hf_claimed_key *key;
  g_hash_table_iter_init (&iter, keys);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &key))
    g_string_append_printf (text,
                            "%" G_GINT64_MODIFIER "x %" G_GINT64_MODIFIER "x %" G_GINT64_MODIFIER
                            "x %" G_GINT64_MODIFIER "x %" G_GINT64_MODIFIER "x\n",
                            (guint64) key->key.high, (guint64) key->key.low, (guint64) key->holder.boot_id,
                            (guint64) key->holder.seq, (guint64) key->since);
  JsonObject *data = json_object_new ();
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  json_object_set_string_member (data, "keys", text->str);
  json_node_take_object (node, data);
  g_string_free (text, TRUE);
  shard_object_name (shard, name, sizeof name);
  return hf_object_to_json (name, version, node);
}

static GHashTable *
parse_keys (const struct hf_object *object)
{
  GHashTable *keys = new_key_table ();
  const char *at = hf_object_get_str (object, "keys").data;
  while (*at)
    {
      uint64_t fields[5];
      char *end = (char *) at;
      for (int i = 0; i < 5; i++)
        fields[i] = g_ascii_strtoull (end, &end, 16);
      if (*end != '\n')
        break;
      add_key (keys, (struct hf_claimed_key){ .key = { fields[0], fields[1] },
                                              .holder = { fields[2], fields[3] },
                                              .since = (int64_t) fields[4] });
      at = end + 1;
    }
  return keys;
}

static void
request_read (struct hf_state *state, unsigned shard_index)
{
  char name[32];
  shard_object_name (shard_index, name, sizeof name);
  state->claim_shards[shard_index].call_in_flight = true;
  hf_state_call_platform (state, HF_PLATFORM_GET, HF_PURPOSE_CLAIMS, shard_index, hf_str (name), 0,
                          (struct hf_str){ 0 });
}

/* --- internal functions: one write --- */

static void start_next_call (struct hf_state *state, unsigned shard_index);

static bool
is_committed (GHashTable *keys, const struct hf_claim_shard_op *op)
{
  const struct hf_claimed_key *current = g_hash_table_lookup (keys, &op->key);
  return current && same_id (current->holder, op->id);
}

/* Applies an operation to the keys of the next write. Returns true if its outcome
 * has to wait for the write. */
static bool
apply_op (struct hf_state *state,
          const struct hf_claim_shard *shard,
          GHashTable *keys,
          const struct hf_claim_shard_op *op,
          enum hf_claim_outcome *outcome,
          struct hf_rpc_claim_id *holder)
{
  const struct hf_claimed_key *current = g_hash_table_lookup (keys, &op->key);
  bool own = current && same_id (current->holder, op->id);
  *holder = current ? current->holder : op->id;
  if (op->op == HF_CLAIM_OP_RELEASE)
    {
      *outcome = HF_CLAIM_OUTCOME_RELEASED;
      return own && g_hash_table_remove (keys, &op->key);
    }
  *outcome = HF_CLAIM_OUTCOME_COMMITTED;
  /* A repetition of an operation in this batch waits for the same write. */
  if (own)
    return !is_committed (shard->keys, op);
  if (current && !same_id (current->holder, op->replaces))
    {
      *outcome = HF_CLAIM_OUTCOME_TAKEN;
      return false;
    }
  if (!current && g_hash_table_size (keys) >= HF_CLAIM_SHARD_KEYS_MAX)
    {
      *outcome = HF_CLAIM_OUTCOME_UNAVAILABLE;
      hf_state_log (state, HF_LOG_CLAIM_SHARD_FULL, "shard %u holds %d unexpired keys, its limit; refusing the claim",
                    hf_claim_shards_index (op->key), HF_CLAIM_SHARD_KEYS_MAX);
      return false;
    }
  add_key (keys, (struct hf_claimed_key){ .key = op->key, .holder = op->id, .since = state->wall_time / HF_SEC });
  return true;
}

/* Detaches the waiting operations, as a reply may queue new ones while the list is processed. */
static GArray *
take_waiting (struct hf_claim_shard *shard)
{
  GArray *waiting = shard->waiting;
  shard->waiting = g_array_new (FALSE, FALSE, sizeof (struct hf_claim_shard_op));
  return waiting;
}

static void
start_write (struct hf_state *state, unsigned shard_index)
{
  struct hf_claim_shard *shard = &state->claim_shards[shard_index];
  GHashTable *next = copy_unexpired_keys (shard->keys, state->wall_time / HF_SEC - HF_CLAIM_KEY_RETENTION_SEC);
  GArray *waiting = take_waiting (shard);
  shard->call_in_flight = true;
  g_array_set_size (shard->writing, 0);
  for (guint w = 0; w < waiting->len; w++)
    {
      const struct hf_claim_shard_op *op = &g_array_index (waiting, struct hf_claim_shard_op, w);
      enum hf_claim_outcome outcome;
      struct hf_rpc_claim_id holder;
      if (apply_op (state, shard, next, op, &outcome, &holder))
        g_array_append_val (shard->writing, *op);
      else
        hf_claims_reply (state, op, outcome, holder);
    }
  g_array_unref (waiting);
  if (shard->writing->len == 0)
    {
      g_hash_table_destroy (next);
      shard->call_in_flight = false;
      start_next_call (state, shard_index);
      return;
    }
  char name[32];
  char *json = format_object (shard_index, shard->version, next);
  shard_object_name (shard_index, name, sizeof name);
  shard->next_keys = next;
  shard->written_at = state->now;
  hf_state_call_platform (state, HF_PLATFORM_PUT, HF_PURPOSE_CLAIMS, shard_index, hf_str (name), shard->version,
                          hf_str (json));
  hf_state_increment (state, HF_COUNT_CLAIM_WRITES);
  g_free (json);
}

/* Starts the next platform call. Writes of a shard are at least HF_CLAIM_WRITE_INTERVAL_MS apart, which bounds
 * the write rate of the whole fleet. */
static void
start_next_call (struct hf_state *state, unsigned shard_index)
{
  struct hf_claim_shard *shard = &state->claim_shards[shard_index];
  if (shard->call_in_flight || shard->waiting->len == 0)
    return;
  if (!shard->loaded)
    {
      request_read (state, shard_index);
      return;
    }
  int64_t due = shard->written_at + HF_CLAIM_WRITE_INTERVAL_MS * HF_MS;
  if (shard->written_at && state->now < due)
    {
      if (!shard->timer)
        shard->timer = hf_state_start_timer (state, due - state->now, HF_TIMER_CLAIM_WRITE, shard_index, 0);
      return;
    }
  start_write (state, shard_index);
}

static void
fail_waiting (struct hf_state *state, struct hf_claim_shard *shard)
{
  GArray *waiting = take_waiting (shard);
  for (guint w = 0; w < waiting->len; w++)
    {
      const struct hf_claim_shard_op *op = &g_array_index (waiting, struct hf_claim_shard_op, w);
      hf_claims_reply (state, op, HF_CLAIM_OUTCOME_UNAVAILABLE, op->id);
    }
  g_array_unref (waiting);
  hf_state_log (state, HF_LOG_CLAIM_UNAVAILABLE,
                "shard object could not be read from the platform; refusing the waiting claims");
}

static void
finish_read (struct hf_state *state, unsigned shard_index, const struct hf_event *event)
{
  struct hf_claim_shard *shard = &state->claim_shards[shard_index];
  struct hf_object object;
  bool found = event->platform.status == 200 && hf_object_load (event->platform.data, &object, NULL);
  if (!found && event->platform.status != 404)
    {
      fail_waiting (state, shard);
      return;
    }
  g_hash_table_destroy (shard->keys);
  shard->keys = found ? parse_keys (&object) : new_key_table ();
  shard->version = found ? object.version : 0;
  shard->loaded = true;
  if (found)
    hf_object_unload (&object);
}

/* Queues the operations of a write again that was rejected or has an unknown outcome. The shard is read back first,
 * and its keys then show for each operation whether it has to be repeated. */
static void
requeue_writing (struct hf_claim_shard *shard)
{
  g_array_prepend_vals (shard->waiting, shard->writing->data, shard->writing->len);
  g_array_set_size (shard->writing, 0);
  shard->loaded = false;
}

static void
finish_write (struct hf_state *state, unsigned shard_index, const struct hf_event *event)
{
  struct hf_claim_shard *shard = &state->claim_shards[shard_index];
  struct hf_object object;
  bool ok = (event->platform.status == 200 || event->platform.status == 201)
            && hf_object_load (event->platform.data, &object, NULL);
  if (!ok)
    {
      if (event->platform.status != 409)
        hf_state_log (state, HF_LOG_CLAIM_SETTLED, "outcome of a write of shard %u is unknown; reading the shard back",
                      shard_index);
      g_clear_pointer (&shard->next_keys, g_hash_table_destroy);
      requeue_writing (shard);
      return;
    }
  g_hash_table_destroy (shard->keys);
  shard->keys = shard->next_keys;
  shard->next_keys = NULL;
  shard->version = object.version;
  hf_object_unload (&object);
  for (guint s = 0; s < shard->writing->len; s++)
    {
      const struct hf_claim_shard_op *op = &g_array_index (shard->writing, struct hf_claim_shard_op, s);
      bool commit = op->op == HF_CLAIM_OP_COMMIT;
      hf_claims_reply (state, op, commit ? HF_CLAIM_OUTCOME_COMMITTED : HF_CLAIM_OUTCOME_RELEASED, op->id);
      if (commit)
        hf_state_increment (state, HF_COUNT_CLAIMS_COMMITTED);
    }
  g_array_set_size (shard->writing, 0);
}

/* --- public functions --- */

unsigned
hf_claim_shards_index (struct hf_claim_key key)
{
  return (unsigned) (key.high % HF_CLAIM_SHARDS);
}

uint64_t
hf_claim_shards_subject (unsigned shard)
{
  return hf_hash (hf_str ("claims"), shard);
}

void
hf_claim_shards_submit (struct hf_state *state, const struct hf_claim_shard_op *op)
{
  unsigned shard_index = hf_claim_shards_index (op->key);
  struct hf_claim_shard *shard = &state->claim_shards[shard_index];
  for (guint w = 0; w < shard->waiting->len; w++)
    {
      const struct hf_claim_shard_op *queued = &g_array_index (shard->waiting, struct hf_claim_shard_op, w);
      if (queued->op == op->op && same_id (queued->id, op->id) && same_id (queued->replaces, op->replaces))
        return;
    }
  g_array_append_val (shard->waiting, *op);
  start_next_call (state, shard_index);
}

void
hf_claim_shards_handle_timer (struct hf_state *state, unsigned shard_index)
{
  state->claim_shards[shard_index].timer = NULL;
  start_next_call (state, shard_index);
}

void
hf_claim_shards_handle_platform (struct hf_state *state, const struct hf_event *event)
{
  unsigned shard_index = (unsigned) event->platform.arg;
  if (shard_index >= HF_CLAIM_SHARDS)
    return;
  if (event->platform.op == HF_PLATFORM_PUT)
    finish_write (state, shard_index, event);
  else
    finish_read (state, shard_index, event);
  state->claim_shards[shard_index].call_in_flight = false;
  start_next_call (state, shard_index);
}

void
hf_claim_shards_init (struct hf_claim_shard *shard)
{
  *shard = (struct hf_claim_shard){ 0 };
  shard->keys = new_key_table ();
  shard->waiting = g_array_new (FALSE, FALSE, sizeof (struct hf_claim_shard_op));
  shard->writing = g_array_new (FALSE, FALSE, sizeof (struct hf_claim_shard_op));
}

void
hf_claim_shards_close (struct hf_claim_shard *shard)
{
  g_hash_table_destroy (shard->keys);
  g_clear_pointer (&shard->next_keys, g_hash_table_destroy);
  g_array_unref (shard->waiting);
  g_array_unref (shard->writing);
}
