/* Slots of the backend servers of one service. */
#include "hf-pool.h"

#include "hf-placement.h"
#include "hf-admission.h"

#include "config.h"

/* --- types --- */

/* Hash key; the first member of the structs below, which are their own keys. */
struct key
{
  uint64_t entry;
  uint64_t id; /* ticket of an attempt, or id of a backend server */
};

struct grant
{
  struct key key;
  uint64_t server;
  int64_t granted_at;
  bool last_slot;    /* it took the last free slot of its server */
  bool normal_speed; /* the server reported normal speed */
  bool retry;        /* it took a token of the retry budget */
  int64_t expires_at;
  bool silent; /* its request got no response; the server may still hold it */
};

struct queued
{
  struct key key;
  struct hf_slot_request request;
  GSequenceIter *position;
};

struct remote_load
{
  struct key key; /* entry and server */
  unsigned count;
};

/* --- internal functions: keys --- */

static guint
key_hash (gconstpointer data)
{
  const struct key *key = data;
  return (guint) hf_hash_pair (key->entry, key->id);
}

static gboolean
key_equal (gconstpointer a, gconstpointer b)
{
  const struct key *left = a;
  const struct key *right = b;
  return left->entry == right->entry && left->id == right->id;
}

static int
compare_urgency (gconstpointer a, gconstpointer b, gpointer context)
{
  const struct hf_slot_request *left = &((const struct queued *) a)->request;
  const struct hf_slot_request *right = &((const struct queued *) b)->request;
  (void) context;
  if (left->priority != right->priority)
    return left->priority < right->priority ? -1 : 1;
  if (left->worth != right->worth)
    return left->worth > right->worth ? -1 : 1;
  return left->deadline < right->deadline ? -1 : left->deadline > right->deadline;
}

/* --- internal functions: backend servers --- */

static struct hf_pool_server *
server_at (const struct hf_pool *pool, size_t i)
{
  return &g_array_index (pool->servers, struct hf_pool_server, i);
}

/* --- internal functions: queue --- */

static void
add_decision (GArray *decisions,
              const struct hf_slot_request *request,
              enum hf_decision_kind kind,
              uint64_t server,
              enum hf_refusal_reason reason)
{
  struct hf_decision decision
      = { .kind = kind, .entry = request->entry, .ticket = request->ticket, .server = server, .reason = reason };
  g_array_append_val (decisions, decision);
}

static void
refuse (struct hf_pool *pool, GArray *decisions, const struct hf_slot_request *request, enum hf_refusal_reason reason)
{
  pool->refused[reason]++;
  if (reason == HF_REFUSAL_PUSHBACK && request->retry)
    hf_retry_budget_refund (&pool->retry_budget, true);
  add_decision (decisions, request, HF_DECISION_REFUSED, 0, reason);
}

static void
record_saturation (struct hf_pool *pool, const struct grant *grant, enum hf_slot_result result, int64_t latency_us)
{
  if (result == HF_SLOT_OK && grant->normal_speed && pool->median_latency_us > 0)
    hf_saturation_record (&pool->saturation, grant->last_slot, (double) latency_us / pool->median_latency_us);
}

static void
grant_slot (struct hf_pool *pool,
            int64_t now,
            const struct hf_slot_request *request,
            struct hf_pool_server *server,
            GArray *decisions)
{
  struct grant *grant = g_new (struct grant, 1);
  *grant = (struct grant){ .key = { request->entry, request->ticket },
                           .server = server->id,
                           .granted_at = now,
                           .last_slot = server->slots > 1 && server->granted + 1 >= server->slots,
                           .normal_speed = hf_health_reports_normal_speed (server, now),
                           .retry = request->retry,
                           .expires_at = request->deadline + HF_GRANT_GRACE_MS * HF_MS };
  g_hash_table_replace (pool->grants, grant, grant);
  server->granted++;
  hf_cold_count_start (&pool->cold, &server->cold, now);
  hf_pushback_count_grant (server->pushbacks, request->entry);
  hf_saturation_count_grant (&pool->saturation);
  add_decision (decisions, request, HF_DECISION_GRANTED, server->id, HF_REFUSAL_NONE);
}

static void
remove_queued (struct hf_pool *pool, struct queued *queued)
{
  GSequenceIter *position = queued->position;
  g_hash_table_remove (pool->queued_by_key, queued);
  g_sequence_remove (position);
}

static struct queued *
enqueue (struct hf_pool *pool, const struct hf_slot_request *request)
{
  struct queued *queued = g_new0 (struct queued, 1);
  queued->key = (struct key){ request->entry, request->ticket };
  queued->request = *request;
  queued->position = g_sequence_insert_sorted (pool->queue, queued, compare_urgency, NULL);
  g_hash_table_replace (pool->queued_by_key, queued, queued);
  return queued;
}

static void
refuse_last_queued (struct hf_pool *pool, GArray *decisions)
{
  GSequenceIter *position = g_sequence_iter_prev (g_sequence_get_end_iter (pool->queue));
  struct queued *last = g_sequence_get (position);
  refuse (pool, decisions, &last->request, HF_REFUSAL_QUEUE_FULL);
  remove_queued (pool, last);
}

static void
enqueue_or_refuse (struct hf_pool *pool, int64_t now, const struct hf_slot_request *request, GArray *decisions)
{
  if (hf_placement_usable_servers (pool, now, 0, 0) == 0)
    {
      refuse (pool, decisions, request, HF_REFUSAL_NO_SERVER);
      return;
    }
  struct queued *queued = enqueue (pool, request);
  unsigned ahead = (unsigned) g_sequence_iter_get_position (queued->position);
  enum hf_refusal_reason reason = hf_admission_check (pool, now, &queued->request, ahead);
  if (reason != HF_REFUSAL_NONE)
    {
      refuse (pool, decisions, request, reason);
      remove_queued (pool, queued);
      return;
    }
  add_decision (decisions, request, HF_DECISION_QUEUED, 0, HF_REFUSAL_NONE);
  if (hf_pool_queue_length (pool) > pool->queue_limit)
    refuse_last_queued (pool, decisions);
}

/* Grants slots in queue order, either to the requests that would miss their soft
 * deadline or to the others. Refuses those that can no longer meet their deadline. */
static void
grant_queued (struct hf_pool *pool, int64_t now, bool misses_soft_deadline, GArray *decisions)
{
  GSequenceIter *position = g_sequence_get_begin_iter (pool->queue);
  while (!g_sequence_iter_is_end (position))
    {
      struct queued *queued = g_sequence_get (position);
      position = g_sequence_iter_next (position);
      if (hf_admission_is_too_late (pool, now, &queued->request))
        {
          refuse (pool, decisions, &queued->request, HF_REFUSAL_DEADLINE);
          remove_queued (pool, queued);
          continue;
        }
      if (hf_admission_misses_soft_deadline (pool, now, &queued->request) != misses_soft_deadline)
        continue;
      if (!hf_placement_has_free_slot (pool, now))
        return;
      struct hf_pool_server *server = hf_placement_choose_server (pool, now, &queued->request);
      /* A request without a soft deadline is never overtaken by those behind it. */
      if (!server && queued->request.soft_deadline == 0
          && !hf_placement_is_pushed_back (pool, now, queued->request.entry))
        return;
      if (!server)
        continue;
      grant_slot (pool, now, &queued->request, server, decisions);
      remove_queued (pool, queued);
    }
}

static void
release_server_slot (struct hf_pool *pool, struct grant *grant)
{
  struct hf_pool_server *server = hf_pool_find_server (pool, grant->server);
  if (!server)
    return;
  if (server->granted > 0)
    server->granted--;
  hf_pushback_count_release (server->pushbacks, grant->key.entry);
}

static void
recount_remote_load (struct hf_pool *pool, uint64_t id)
{
  struct hf_pool_server *server = hf_pool_find_server (pool, id);
  GHashTableIter iter;
  struct remote_load *remote_load;
  if (!server)
    return;
  server->remote_load = 0;
  g_hash_table_iter_init (&iter, pool->remote_loads);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &remote_load))
    if (remote_load->key.id == id)
      server->remote_load += remote_load->count;
}

static unsigned
count_grants (const struct hf_pool *pool, uint64_t entry, uint64_t server)
{
  GHashTableIter iter;
  struct grant *grant;
  unsigned n = 0;
  g_hash_table_iter_init (&iter, pool->grants);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &grant))
    n += grant->key.entry == entry && grant->server == server && !grant->silent;
  return n;
}

/* --- internal functions: configuration --- */

static struct hf_pool_server
make_server (const struct hf_service *service, const struct hf_server *spec, bool slow_start)
{
  return (struct hf_pool_server){
    .id = hf_server_id (service->name, spec->name),
    .slots = (unsigned) spec->slots,
    .slow_start_slots = slow_start ? 1 : (unsigned) spec->slots,
    .reported_load = -1,
  };
}

static void
clear_server (void *data)
{
  struct hf_pool_server *server = data;
  hf_str_free (&server->name);
  hf_str_free (&server->address);
  g_clear_pointer (&server->pushbacks, g_array_unref);
  hf_cold_close (&server->cold);
}

static GArray *
new_servers (void)
{
  GArray *servers = g_array_new (FALSE, TRUE, sizeof (struct hf_pool_server));
  g_array_set_clear_func (servers, clear_server);
  return servers;
}

static void
update_server (struct hf_pool_server *server, const struct hf_server *spec)
{
  hf_str_free (&server->name);
  hf_str_free (&server->address);
  server->name = hf_str_dup (spec->name);
  server->address = hf_str_dup (spec->address);
  if (server->slow_start_slots >= server->slots)
    server->slow_start_slots = (unsigned) spec->slots;
  server->slots = (unsigned) spec->slots;
  server->failure_domain = spec->failure_domain.len ? hf_hash (spec->failure_domain, 0) : 0;
  server->drain_sources &= ~(unsigned) HF_DRAIN_DOCUMENT;
  if (spec->draining)
    server->drain_sources |= HF_DRAIN_DOCUMENT;
}

/* --- public functions: init and close --- */

void
hf_pool_init (struct hf_pool *pool, uint64_t random_seed)
{
  *pool = (struct hf_pool){ .policy = &hf_policies[HF_POLICY_GRANTS],
                            .random_state = random_seed,
                            .far_cost_us = HF_PLACEMENT_FAR_US };
  pool->servers = new_servers ();
  pool->grants = g_hash_table_new_full (key_hash, key_equal, NULL, g_free);
  pool->queue = g_sequence_new (g_free);
  pool->queued_by_key = g_hash_table_new (key_hash, key_equal);
  pool->remote_loads = g_hash_table_new_full (key_hash, key_equal, NULL, g_free);
}

void
hf_pool_close (struct hf_pool *pool)
{
  g_hash_table_destroy (pool->queued_by_key);
  g_sequence_free (pool->queue);
  g_hash_table_destroy (pool->grants);
  g_hash_table_destroy (pool->remote_loads);
  g_array_unref (pool->servers);
}

void
hf_pool_configure (struct hf_pool *pool, const struct hf_service *service)
{
  bool first = !pool->configured;
  pool->configured = true;
  GArray *servers = service->uses_directory ? g_array_ref (pool->servers) : new_servers ();
  for (size_t i = 0; i < service->servers.n; i++)
    {
      const struct hf_server *spec = hf_service_get_server (service, i);
      struct hf_pool_server *known = hf_pool_find_server (pool, hf_server_id (service->name, spec->name));
      struct hf_pool_server server = known ? *known : make_server (service, spec, !first);
      if (known)
        {
          known->name = known->address = (struct hf_str){ 0 };
          known->pushbacks = NULL;
          known->cold = (struct hf_cold){ 0 };
        }
      update_server (&server, spec);
      g_array_append_val (servers, server);
    }
  g_array_unref (pool->servers);
  pool->servers = servers;
  pool->policy = &hf_policies[service->policy];
  pool->queue_limit = (unsigned) service->queue_limit;
  double max_tokens = service->policy == HF_POLICY_GRANTS ? HF_RETRY_TOKENS_SHARED_MAX : HF_RETRY_TOKENS_MAX;
  if (first)
    hf_retry_budget_init (&pool->retry_budget, max_tokens, (double) service->retry_percent);
  pool->retry_budget.max_tokens = max_tokens;
  pool->retry_budget.deposit = (double) service->retry_percent / 100.0;
}

void
hf_pool_put_server (struct hf_pool *pool, const struct hf_pool_listing *listing)
{
  struct hf_pool_server *known = hf_pool_find_server (pool, listing->id);
  if (!known)
    {
      struct hf_pool_server server
          = { .id = listing->id,
              .reported_load = -1,
              .slow_start_slots = (unsigned) listing->spec.slots,
              .cold = { .until = listing->warmup_until, .shared_until = listing->warmup_until } };
      g_array_append_val (pool->servers, server);
      known = hf_pool_find_server (pool, listing->id);
    }
  else if (known->incarnation != listing->incarnation)
    {
      /* The server was restarted: discard its latency, failures and reports. */
      unsigned granted = known->granted;
      clear_server (known);
      *known = (struct hf_pool_server){ .id = listing->id,
                                        .reported_load = -1,
                                        .slow_start_slots = (unsigned) listing->spec.slots,
                                        .cold
                                        = { .until = listing->warmup_until, .shared_until = listing->warmup_until } };
      known->granted = granted;
    }
  update_server (known, &listing->spec);
  known->incarnation = listing->incarnation;
  known->warmup_until = listing->warmup_until;
}

void
hf_pool_remove_server (struct hf_pool *pool, uint64_t id)
{
  for (guint i = 0; i < pool->servers->len; i++)
    if (server_at (pool, i)->id == id)
      {
        g_array_remove_index_fast (pool->servers, i);
        return;
      }
}

/* A hedge is useful only if the first attempt has met a slow phase of its server:
 * the server reported one lately, or the attempt takes much longer than the median
 * latency. Always true for a server that does not report its speed. */
static bool
should_hedge (const struct hf_pool *pool, int64_t now, const struct hf_slot_request *hedge)
{
  const struct hf_pool_server *server = hf_pool_find_server (pool, hedge->excluded_server);
  bool reports_speed = server && server->slowdown_percent > 0;
  const struct key original = { hedge->entry, hedge->ticket - 1 }; /* the attempt before the hedge */
  const struct grant *grant = g_hash_table_lookup (pool->grants, &original);
  bool long_running = grant && (double) (now - grant->granted_at) > HF_HEDGE_LONG_RATIO * pool->median_latency_us;
  return !reports_speed || long_running || now - server->last_slow_at < HF_HEDGE_SLOW_WINDOW_MS * HF_MS;
}

/* Moves the estimate by a fixed relative step towards each latency: it converges to the median. */
static void
update_median_latency (struct hf_pool *pool, enum hf_slot_result result, int64_t latency_us)
{
  if (result != HF_SLOT_OK || latency_us <= 0)
    return;
  /* Large steps at first: the first responses may be far from the median. */
  pool->median_samples++;
  double step = MAX (HF_MEDIAN_STEP, HF_MEDIAN_STEP_FIRST / pool->median_samples);
  if (pool->median_latency_us <= 0)
    pool->median_latency_us = (double) latency_us;
  else if ((double) latency_us > pool->median_latency_us)
    pool->median_latency_us = MIN ((double) latency_us, pool->median_latency_us * (1.0 + step));
  else
    pool->median_latency_us = MAX ((double) latency_us, pool->median_latency_us * (1.0 - step));
}

/* --- public functions: slots --- */

void
hf_pool_acquire_slot (struct hf_pool *pool, int64_t now, struct hf_slot_request request, GArray *decisions)
{
  struct key key = { request.entry, request.ticket };
  struct grant *grant = g_hash_table_lookup (pool->grants, &key);
  if (grant)
    {
      add_decision (decisions, &request, HF_DECISION_GRANTED, grant->server, HF_REFUSAL_NONE);
      return;
    }
  if (g_hash_table_contains (pool->queued_by_key, &key))
    {
      add_decision (decisions, &request, HF_DECISION_QUEUED, 0, HF_REFUSAL_NONE);
      return;
    }
  if (request.hedge && !should_hedge (pool, now, &request))
    {
      refuse (pool, decisions, &request, HF_REFUSAL_HEDGE_NOT_NEEDED);
      return;
    }
  if (request.retry && !hf_retry_budget_withdraw (&pool->retry_budget))
    {
      refuse (pool, decisions, &request, HF_REFUSAL_RETRY_BUDGET);
      return;
    }
  if (!request.retry)
    hf_retry_budget_deposit (&pool->retry_budget);
  /* Queued requests go first, unless the new one precedes them in queue order. */
  request.received_at = now;
  bool queue_empty = hf_pool_queue_length (pool) == 0;
  struct hf_pool_server *server = queue_empty ? hf_placement_choose_server (pool, now, &request) : NULL;
  if (server)
    {
      grant_slot (pool, now, &request, server, decisions);
      return;
    }
  enqueue_or_refuse (pool, now, &request, decisions);
  if (!queue_empty)
    hf_pool_grant_queued (pool, now, decisions);
}

static struct grant *
find_oldest_silent (const struct hf_pool *pool, uint64_t server)
{
  GHashTableIter iter;
  struct grant *grant;
  struct grant *oldest = NULL;
  g_hash_table_iter_init (&iter, pool->grants);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &grant))
    if (grant->silent && grant->server == server && (!oldest || grant->granted_at < oldest->granted_at))
      oldest = grant;
  return oldest;
}

/* A server that never answers what it cannot queue may hold a request that got no response: its slot is kept for a
 * time. Each success there shows that it works on, and gives back one of those. */
static void
hold_or_release (struct hf_pool *pool, int64_t now, struct grant *grant, enum hf_slot_result result)
{
  if (pool->silent_hold_us > 0 && (result == HF_SLOT_TIMED_OUT || result == HF_SLOT_SUPERSEDED))
    {
      grant->silent = true;
      grant->expires_at = now + pool->silent_hold_us;
      return;
    }
  release_server_slot (pool, grant);
  struct grant *silent
      = result == HF_SLOT_OK && pool->silent_hold_us > 0 ? find_oldest_silent (pool, grant->server) : NULL;
  if (!silent)
    return;
  release_server_slot (pool, silent);
  g_hash_table_remove (pool->grants, &silent->key);
}

bool
hf_pool_has_grant (const struct hf_pool *pool, uint64_t entry, uint64_t ticket)
{
  const struct key key = { entry, ticket };
  return g_hash_table_contains (pool->grants, &key);
}

static void
record_pushback_success (struct hf_pool_server *server, uint64_t entry, enum hf_slot_result result)
{
  if (result == HF_SLOT_OK)
    hf_pushback_count_success (server->pushbacks, entry, server->slots);
}

void
hf_pool_release_slot (struct hf_pool *pool,
                      int64_t now,
                      uint64_t entry,
                      uint64_t ticket,
                      enum hf_slot_result result,
                      int64_t latency_us,
                      GArray *decisions)
{
  struct key key = { entry, ticket };
  struct queued *queued = g_hash_table_lookup (pool->queued_by_key, &key);
  struct grant *grant = g_hash_table_lookup (pool->grants, &key);
  if (queued)
    remove_queued (pool, queued);
  if (grant && !grant->silent)
    {
      struct hf_pool_server *server = hf_pool_find_server (pool, grant->server);
      update_median_latency (pool, result, latency_us);
      hold_or_release (pool, now, grant, result);
      if (server)
        {
          record_saturation (pool, grant, result, latency_us);
          hf_health_record_result (pool->servers, server, now, result, latency_us);
          record_pushback_success (server, entry, result);
        }
      if (result == HF_SLOT_RETURNED)
        hf_retry_budget_refund (&pool->retry_budget, grant->retry);
      if (!grant->silent)
        g_hash_table_remove (pool->grants, &key);
    }
  hf_pool_grant_queued (pool, now, decisions);
}

void
hf_pool_record_result (struct hf_pool *pool,
                       int64_t now,
                       uint64_t entry,
                       uint64_t server,
                       enum hf_slot_result result,
                       int64_t latency_us)
{
  struct hf_pool_server *known = hf_pool_find_server (pool, server);
  update_median_latency (pool, result, latency_us);
  if (!known)
    return;
  hf_health_record_result (pool->servers, known, now, result, latency_us);
  record_pushback_success (known, entry, result);
}

void
hf_pool_grant_queued (struct hf_pool *pool, int64_t now, GArray *decisions)
{
  if (hf_pool_queue_length (pool) == 0)
    return;
  grant_queued (pool, now, false, decisions);
  if (hf_placement_has_free_slot (pool, now))
    grant_queued (pool, now, true, decisions);
}

void
hf_pool_expire (struct hf_pool *pool, int64_t now, GArray *decisions)
{
  GHashTableIter iter;
  struct grant *grant;
  g_hash_table_iter_init (&iter, pool->grants);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &grant))
    if (grant->expires_at <= now)
      {
        release_server_slot (pool, grant);
        g_hash_table_iter_remove (&iter);
      }
  double latency_us;
  double slots = hf_placement_usable_slots (pool, now, 0, &latency_us);
  unsigned ahead = 0;
  GSequenceIter *position = g_sequence_get_begin_iter (pool->queue);
  while (!g_sequence_iter_is_end (position))
    {
      struct queued *queued = g_sequence_get (position);
      position = g_sequence_iter_next (position);
      ahead++;
      bool pushed_back = hf_admission_is_pushed_back (pool, now, &queued->request);
      if (queued->request.deadline > now && !pushed_back
          && !hf_admission_should_shed (pool, now, &queued->request, ahead, slots))
        continue;
      refuse (pool, decisions, &queued->request, pushed_back ? HF_REFUSAL_PUSHBACK : HF_REFUSAL_DEADLINE);
      remove_queued (pool, queued);
    }
  hf_pool_grant_queued (pool, now, decisions);
}

/* --- public functions: other entries --- */

void
hf_pool_remove_entry (struct hf_pool *pool, uint64_t entry)
{
  GHashTableIter iter;
  struct remote_load *remote_load;
  hf_pool_reconcile_grants (pool, INT64_MAX, entry, NULL, 0);
  g_hash_table_iter_init (&iter, pool->remote_loads);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &remote_load))
    if (remote_load->key.entry == entry)
      g_hash_table_iter_remove (&iter);
  for (size_t i = 0; i < pool->servers->len; i++)
    {
      recount_remote_load (pool, server_at (pool, i)->id);
      hf_pushback_remove_entry (server_at (pool, i)->pushbacks, entry);
    }
  GSequenceIter *position = g_sequence_get_begin_iter (pool->queue);
  while (!g_sequence_iter_is_end (position))
    {
      struct queued *queued = g_sequence_get (position);
      position = g_sequence_iter_next (position);
      if (queued->key.entry == entry)
        remove_queued (pool, queued);
    }
}

void
hf_pool_reconcile_grants (struct hf_pool *pool, int64_t now, uint64_t entry, const uint64_t *tickets, size_t n)
{
  GHashTableIter iter;
  struct grant *grant;
  g_hash_table_iter_init (&iter, pool->grants);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &grant))
    {
      bool held = false;
      if (grant->silent || grant->key.entry != entry || now - grant->granted_at < HF_GRANT_TRANSIT_MS * HF_MS)
        continue;
      for (size_t i = 0; i < n && !held; i++)
        held = tickets[i] == grant->key.id;
      if (held)
        {
          grant->expires_at = MAX (grant->expires_at, now + HF_PEER_TIMEOUT_MS * HF_MS);
          continue;
        }
      release_server_slot (pool, grant);
      g_hash_table_iter_remove (&iter);
    }
}

void
hf_pool_set_remote_load (struct hf_pool *pool, uint64_t entry, uint64_t server, unsigned count)
{
  struct key key = { entry, server };
  struct remote_load *remote_load = g_hash_table_lookup (pool->remote_loads, &key);
  unsigned granted = count_grants (pool, entry, server);
  unsigned ungranted = count > granted ? count - granted : 0;
  if (!remote_load && ungranted == 0)
    return;
  if (!remote_load)
    {
      remote_load = g_new0 (struct remote_load, 1);
      remote_load->key = key;
      g_hash_table_insert (pool->remote_loads, remote_load, remote_load);
    }
  remote_load->count = ungranted;
  if (ungranted == 0)
    g_hash_table_remove (pool->remote_loads, &key);
  recount_remote_load (pool, server);
}

/* --- public functions: backend servers --- */

struct hf_pool_server *
hf_pool_find_server (const struct hf_pool *pool, uint64_t id)
{
  for (size_t i = 0; i < pool->servers->len; i++)
    if (server_at (pool, i)->id == id)
      return server_at (pool, i);
  return NULL;
}

bool
hf_pool_set_draining (struct hf_pool *pool, uint64_t id, enum hf_drain_source source, bool add, int64_t until)
{
  struct hf_pool_server *server = hf_pool_find_server (pool, id);
  if (!server)
    return false;
  bool is_new = add && !(server->drain_sources & source);
  server->drain_sources = add ? server->drain_sources | source : server->drain_sources & ~(unsigned) source;
  if (add && until > server->drain_until)
    server->drain_until = until;
  return is_new;
}

bool
hf_pool_may_have_caused_crash (const struct hf_pool *pool, uint64_t id, int64_t started_at)
{
  const struct hf_pool_server *server = hf_pool_find_server (pool, id);
  return server && (server->connection_lost_at == 0 || started_at <= server->connection_lost_at);
}

void
hf_pool_record_load (struct hf_pool *pool, uint64_t id, int reported_load, int64_t now)
{
  struct hf_pool_server *server = hf_pool_find_server (pool, id);
  if (!server)
    return;
  server->reported_load = reported_load;
  server->load_reported_at = now;
}

void
hf_pool_record_slowdown (struct hf_pool *pool, uint64_t id, int64_t now, int percent)
{
  struct hf_pool_server *server = hf_pool_find_server (pool, id);
  if (server)
    hf_health_record_slowdown (server, now, percent);
}

void
hf_pool_record_measurement (struct hf_pool *pool, uint64_t id, int64_t now, bool answered, int percent)
{
  struct hf_pool_server *server = hf_pool_find_server (pool, id);
  if (!server)
    return;
  hf_health_record_slowdown (server, now, percent);
  server->unanswered_measurements = answered ? 0 : server->unanswered_measurements + 1;
}

unsigned
hf_pool_queue_length (const struct hf_pool *pool)
{
  return (unsigned) g_sequence_get_length (pool->queue);
}

const struct hf_slot_request *
hf_pool_queued_request (const struct hf_pool *pool, unsigned i)
{
  const struct queued *queued = g_sequence_get (g_sequence_get_iter_at_pos (pool->queue, (gint) i));
  return &queued->request;
}
