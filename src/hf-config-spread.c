/* Documents that entries get from one another: offers, pulls and chunks. */
#include "hf-config-spread.h"

#include <string.h>

#include "hf-config-history.h"
#include "hf-document-pack.h"

/* --- internal functions: state --- */

static enum hf_config_origin
origin_of (const struct hf_state *state, const struct hf_member *member)
{
  return hf_state_is_in_own_domain (state, member) ? HF_CONFIG_FROM_DOMAIN : HF_CONFIG_FROM_OTHER_DOMAIN;
}

/* --- internal functions: offers --- */

/* Whether this entry is one of the coordinators that offer documents to @member. Rendezvous hashing spreads the other
 * entries of the failure domain evenly, and few of them change their providers when a coordinator is lost. */
static bool
is_provider_of (const struct hf_state *state, const struct hf_member *member)
{
  uint64_t subject = hf_hash (member->address, 0);
  uint64_t own_weight = hf_hash_pair (subject, state->boot_id);
  unsigned ahead = 0;
  for (guint i = 0; i < state->members->len; i++)
    {
      const struct hf_member *other = g_ptr_array_index (state->members, i);
      if (other->is_coordinator && other->alive && other->failure_domain == member->failure_domain)
        ahead += hf_hash_pair (subject, other->boot_id) > own_weight;
    }
  return ahead < HF_CONFIG_PROVIDERS;
}

/* Who brings a document into a failure domain offers it to the coordinators there, and who has it from the platform to
 * those of other failure domains, too: the platform may not respond to any entry there. */
static bool
gets_offer (const struct hf_state *state, const struct hf_member *member, enum hf_config_origin origin)
{
  bool in_own_domain = hf_state_is_in_own_domain (state, member);
  if (member->timed_out)
    return false;
  if (member->is_coordinator || member->is_watcher)
    return in_own_domain ? origin != HF_CONFIG_FROM_DOMAIN : origin == HF_CONFIG_FROM_PLATFORM;
  return in_own_domain && state->roles.is_coordinator && is_provider_of (state, member);
}

static void
send_offers (struct hf_state *state, enum hf_config_origin origin)
{
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_CONFIG_OFFER } };
  message.body.hf_rpc_body_u.config_offer
      = (struct hf_rpc_config_offer){ .generation = state->document->generation, .digest = state->document->digest };
  for (guint i = 0; i < state->members->len; i++)
    {
      const struct hf_member *member = g_ptr_array_index (state->members, i);
      if (member->generation < state->document->generation && gets_offer (state, member, origin))
        hf_state_send_to_address (state, member->address, message);
    }
}

/* --- internal functions: pulls --- */

static void
end_pull (struct hf_config_pull *pull)
{
  hf_timers_cancel (&pull->timer);
  if (pull->packed)
    g_byte_array_unref (pull->packed);
  *pull = (struct hf_config_pull){ 0 };
}

static void
start_pull_timer (struct hf_state *state, int64_t delay_ms)
{
  struct hf_config_pull *pull = &state->config_spread.pull;
  hf_timers_cancel (&pull->timer);
  pull->timer = hf_state_start_timer (state, delay_ms * HF_MS, HF_TIMER_CONFIG_PULL, 0, 0);
}

static void
request_chunk (struct hf_state *state)
{
  struct hf_config_pull *pull = &state->config_spread.pull;
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_CONFIG_PULL } };
  message.body.hf_rpc_body_u.config_pull
      = (struct hf_rpc_config_pull){ .generation = pull->generation, .offset = pull->packed->len };
  hf_state_send_to_member (state, pull->boot_id, message);
  /* Many entries pull at the same time over a small link: requests repeated too early would have every chunk sent
   * twice, so the delay doubles. */
  start_pull_timer (state, HF_CONFIG_PULL_RETRY_MS << MIN (pull->requests_sent, HF_CONFIG_PULL_DOUBLINGS_MAX));
  pull->requests_sent++;
}

static void
start_pull (struct hf_state *state, const struct hf_member *source, int64_t wait_ms)
{
  struct hf_config_pull *pull = &state->config_spread.pull;
  end_pull (pull);
  pull->boot_id = source->boot_id;
  pull->generation = source->generation;
  pull->packed = g_byte_array_new ();
  pull->progress_at = state->now + wait_ms * HF_MS;
  if (wait_ms > 0)
    start_pull_timer (state, wait_ms);
  else
    request_chunk (state);
}

static bool
is_stalled (const struct hf_state *state)
{
  return state->now - state->config_spread.pull.progress_at >= HF_CONFIG_PULL_STALL_MS * HF_MS;
}

/* An entry of the own failure domain is the better source, then one with a newer generation. The entries are spread
 * over sources of the same rank. */
static bool
is_better_source (const struct hf_state *state, const struct hf_member *a, const struct hf_member *b)
{
  bool a_in_domain = hf_state_is_in_own_domain (state, a);
  bool b_in_domain = hf_state_is_in_own_domain (state, b);
  if (a_in_domain != b_in_domain)
    return a_in_domain;
  if (a->generation != b->generation)
    return a->generation > b->generation;
  return hf_hash_pair (state->boot_id, a->boot_id) > hf_hash_pair (state->boot_id, b->boot_id);
}

/* Returns the best entry to pull a newer document from, other than @excluded; NULL: none is known. */
static const struct hf_member *
find_source (const struct hf_state *state, uint64_t excluded)
{
  const struct hf_member *best = NULL;
  for (guint i = 0; i < state->members->len; i++)
    {
      const struct hf_member *member = g_ptr_array_index (state->members, i);
      bool usable = member->boot_id && member->boot_id != excluded && !member->timed_out;
      if (!usable || member->generation <= hf_state_generation (state))
        continue;
      if (!best || is_better_source (state, member, best))
        best = member;
    }
  return best;
}

/* A member has named its generation. @wait_ms: how long to wait for an offer of a better source. */
static void
consider_source (struct hf_state *state, const struct hf_member *member, int64_t wait_ms)
{
  struct hf_config_spread *spread = &state->config_spread;
  const struct hf_config_pull *pull = &spread->pull;
  if (member->generation <= hf_state_generation (state))
    return;
  if (spread->behind_since == 0)
    spread->behind_since = state->now;
  bool is_waiting = pull->boot_id && pull->requests_sent == 0;
  if (!pull->boot_id || (is_waiting && wait_ms == 0) || (!is_waiting && is_stalled (state)))
    start_pull (state, member, wait_ms);
}

/* How long an entry may be behind the others before it reads the platform's copy. That takes its link and its processor
 * longer than the rest of a pull that makes progress. */
static int64_t
read_delay_ms (const struct hf_state *state)
{
  return is_stalled (state) ? HF_CONFIG_READ_AFTER_MS : HF_CONFIG_READ_PROGRESS_MS;
}

/* Reads the platform's copy if other entries have not sent a newer document for too long. */
static void
read_if_late (struct hf_state *state)
{
  struct hf_config_spread *spread = &state->config_spread;
  bool late = state->now - spread->behind_since >= read_delay_ms (state) * HF_MS;
  bool read_lately = spread->read_at > 0 && state->now - spread->read_at < HF_CONFIG_READ_INTERVAL_MS * HF_MS;
  if (!state->external_store || !late || read_lately)
    return;
  spread->read_at = state->now;
  hf_state_log (state, HF_LOG_CONFIG_LATE,
                "no entry has sent generation %" G_GUINT64_FORMAT " within %d ms; reading it from the platform",
                (guint64) spread->pull.generation, (int) read_delay_ms (state));
  hf_effects_add (state->effects, (struct hf_effect){ .kind = HF_EFFECT_READ_DOCUMENT });
}

/* --- internal functions: chunks --- */

/* Rate limit for chunks: a document sent to all entries concurrently would saturate a small link for seconds. An entry
 * that receives no chunk repeats its request, or pulls from another entry that has the document by then. Chunks after
 * the first have a higher limit, so that pulls in progress finish before others begin. */
static bool
may_send_chunk (struct hf_state *state, unsigned offset)
{
  struct hf_config_spread *spread = &state->config_spread;
  if (state->now - spread->send_window_at >= HF_CONFIG_SEND_WINDOW_MS * HF_MS)
    {
      spread->send_window_at = state->now;
      spread->sent_bytes = 0;
    }
  size_t limit = offset > 0 ? state->config_spread.send_bytes_max
                            : state->config_spread.send_bytes_max * HF_CONFIG_SEND_FIRST_PERCENT / 100;
  return spread->sent_bytes < limit;
}

/* The compressed document of a generation; if it is not kept any more, that of the one in force. */
static const struct hf_config_copy *
find_copy (struct hf_state *state, uint64_t generation)
{
  GArray *history = state->config_spread.history;
  const struct hf_document *document = state->document;
  const struct hf_config_copy *copy = hf_config_history_find (history, generation);
  if (!copy)
    copy = hf_config_history_find (history, document->generation);
  if (copy)
    return copy;
  hf_config_history_add (history, (struct hf_config_copy){ .generation = document->generation,
                                                           .digest = document->digest,
                                                           .text_bytes = document->text.len,
                                                           .packed = hf_document_pack (document->text) });
  return hf_config_history_find (history, document->generation);
}

static void
handle_pull (struct hf_state *state, uint64_t from, const struct hf_rpc_config_pull *pull)
{
  if (!state->document || state->document->generation < pull->generation || !may_send_chunk (state, pull->offset))
    return;
  const struct hf_config_copy *copy = find_copy (state, pull->generation);
  gsize total;
  const char *packed = g_bytes_get_data (copy->packed, &total);
  unsigned offset = copy->generation == pull->generation ? pull->offset : 0;
  if (offset >= total)
    return;
  unsigned bytes = (unsigned) MIN (total - offset, HF_CONFIG_CHUNK_BYTES);
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_CONFIG_CHUNK } };
  struct hf_rpc_config_chunk *chunk = &message.body.hf_rpc_body_u.config_chunk;
  *chunk = (struct hf_rpc_config_chunk){ .generation = copy->generation,
                                         .digest = copy->digest,
                                         .text_bytes = (unsigned) copy->text_bytes,
                                         .total = (unsigned) total,
                                         .offset = offset };
  chunk->data.data_len = bytes;
  chunk->data.data_val = hf_effects_alloc (state->effects, bytes);
  memcpy (chunk->data.data_val, packed + offset, bytes);
  state->config_spread.sent_bytes += bytes;
  hf_state_send_to_member (state, from, message);
}

/* Appends a chunk to the pull in progress. The first chunk of a newer generation replaces what was received: the source
 * no longer has the one that was requested. */
static bool
accept_chunk (struct hf_state *state, uint64_t from, const struct hf_rpc_config_chunk *chunk)
{
  struct hf_config_pull *pull = &state->config_spread.pull;
  if (pull->boot_id != from || chunk->generation < pull->generation || chunk->total > HF_DOCUMENT_BYTES_MAX)
    return false;
  if (chunk->generation > pull->generation)
    {
      pull->generation = chunk->generation;
      g_byte_array_set_size (pull->packed, 0);
    }
  if (chunk->offset != pull->packed->len || chunk->data.data_len == 0)
    return false;
  g_byte_array_append (pull->packed, (const guint8 *) chunk->data.data_val, chunk->data.data_len);
  pull->requests_sent = 0;
  pull->progress_at = state->now;
  return true;
}

static bool
read_document (struct hf_state *state, const struct hf_rpc_config_chunk *chunk, struct hf_str *text)
{
  const GByteArray *packed = state->config_spread.pull.packed;
  struct hf_str bytes = { .data = (const char *) packed->data, .len = packed->len };
  if (!hf_document_unpack (bytes, chunk->text_bytes, text))
    return false;
  if (hf_hash (*text, 0) == chunk->digest)
    return true;
  hf_str_free (text);
  return false;
}

static bool
handle_chunk (struct hf_state *state,
              const struct hf_member *from,
              const struct hf_rpc_config_chunk *chunk,
              struct hf_config_received *received)
{
  struct hf_config_pull *pull = &state->config_spread.pull;
  if (!accept_chunk (state, from->boot_id, chunk))
    return false;
  if (pull->packed->len < chunk->total)
    {
      request_chunk (state);
      return false;
    }
  struct hf_str text;
  bool valid = read_document (state, chunk, &text);
  if (!valid)
    hf_state_log (state, HF_LOG_CONFIG_INVALID,
                  "generation %" G_GUINT64_FORMAT " from entry " HF_STR_FMT " does not match its digest; dropping it",
                  (guint64) chunk->generation, HF_STR_ARG (from->name));
  else
    hf_config_history_add (
        state->config_spread.history,
        (struct hf_config_copy){ .generation = chunk->generation,
                                 .digest = chunk->digest,
                                 .text_bytes = chunk->text_bytes,
                                 .packed = g_byte_array_free_to_bytes (g_steal_pointer (&pull->packed)) });
  end_pull (pull);
  if (!valid || chunk->generation <= hf_state_generation (state))
    {
      if (valid)
        hf_str_free (&text);
      return false;
    }
  *received
      = (struct hf_config_received){ .generation = chunk->generation, .text = text, .origin = origin_of (state, from) };
  return true;
}

/* --- public functions --- */

void
hf_config_spread_init (struct hf_config_spread *spread, double link_mbps)
{
  double link_bytes
      = (link_mbps > 0 ? link_mbps : HF_LINK_DEFAULT_MBPS) * 1000 * 1000 / 8 * HF_CONFIG_SEND_WINDOW_MS / 1000;
  *spread = (struct hf_config_spread){ .history = hf_config_history_new (),
                                       .send_bytes_max = (size_t) (link_bytes * HF_CONFIG_SEND_LINK_PERCENT / 100) };
}

void
hf_config_spread_close (struct hf_config_spread *spread)
{
  if (spread->pull.packed)
    g_byte_array_unref (spread->pull.packed);
  g_array_unref (spread->history);
}

void
hf_config_spread_handle_adopted (struct hf_state *state, enum hf_config_origin origin)
{
  struct hf_config_spread *spread = &state->config_spread;
  const struct hf_member *source = find_source (state, 0);
  spread->behind_since = source ? state->now : 0;
  send_offers (state, origin);
  if (spread->pull.boot_id && spread->pull.generation <= hf_state_generation (state))
    end_pull (&spread->pull);
  if (source && !spread->pull.boot_id)
    start_pull (state, source, 0);
}

void
hf_config_spread_note_member (struct hf_state *state, uint64_t boot_id)
{
  const struct hf_member *member = hf_state_find_member (state, boot_id);
  if (member)
    consider_source (state, member, state->document ? HF_CONFIG_OFFER_WAIT_MS : 0);
}

bool
hf_config_spread_handle_message (struct hf_state *state,
                                 const struct hf_event *event,
                                 struct hf_config_received *received)
{
  const struct hf_rpc_body *body = &event->peer.message->body;
  struct hf_member *member = hf_state_find_member (state, event->peer.message->boot_id);
  if (!member)
    return false;
  if (body->kind == HF_RPC_CONFIG_CHUNK)
    return handle_chunk (state, member, &body->hf_rpc_body_u.config_chunk, received);
  if (body->kind == HF_RPC_CONFIG_PULL)
    {
      handle_pull (state, member->boot_id, &body->hf_rpc_body_u.config_pull);
      return false;
    }
  member->generation = body->hf_rpc_body_u.config_offer.generation;
  member->digest = body->hf_rpc_body_u.config_offer.digest;
  bool waits = state->document && !hf_state_is_in_own_domain (state, member);
  consider_source (state, member, waits ? HF_CONFIG_OFFER_WAIT_MS : 0);
  return false;
}

void
hf_config_spread_handle_timer (struct hf_state *state)
{
  struct hf_config_pull *pull = &state->config_spread.pull;
  pull->timer = NULL;
  read_if_late (state);
  const struct hf_member *source = hf_state_find_member (state, pull->boot_id);
  const struct hf_member *other = find_source (state, pull->boot_id);
  bool given_up = state->now - pull->progress_at >= HF_PEER_TIMEOUT_MS * HF_MS;
  if (other && (!source || is_stalled (state)))
    start_pull (state, other, 0);
  else if (source && !given_up)
    request_chunk (state);
  else
    end_pull (pull); /* the next announcement of a newer generation starts another */
}
