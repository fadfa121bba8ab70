/* Slots of one service's backend servers. */
#include "hf-pool.h"

#include "hf-placement.h"
#include "hf-admission.h"

#include "config.h"

/* --- types --- */

/* Names one attempt of one entry; first member of records and waiting wants. */
struct key
{
  uint64_t entry;
  uint64_t ticket;
};

struct record
{
  struct key key;
  uint64_t server;
  int64_t issued_at;
  bool last_slot; /* took the last free slot of its server */
  bool calm;      /* the server said that it was not slowed down */
  int64_t expires_at;
};

struct waiting
{
  struct key key;
  struct hf_pool_want want;
  GSequenceIter *place;
};

struct foreign
{
  struct key key; /* entry and server */
  unsigned count;
};

/* --- internal functions: keys --- */

static guint
key_hash (gconstpointer data)
{
  const struct key *key = data;
  return (guint) hf_hash_pair (key->entry, key->ticket);
}

static gboolean
key_equal (gconstpointer a, gconstpointer b)
{
  const struct key *left = a;
  const struct key *right = b;
  return left->entry == right->entry && left->ticket == right->ticket;
}

static int
compare_waiting (gconstpointer a, gconstpointer b, gpointer context)
{
  const struct hf_pool_want *left = &((const struct waiting *) a)->want;
  const struct hf_pool_want *right = &((const struct waiting *) b)->want;
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
decide (GArray *decisions,
        const struct hf_pool_want *want,
        enum hf_decision_kind kind,
        uint64_t server,
        enum hf_refusal reason)
{
  struct hf_decision decision
      = { .kind = kind, .entry = want->entry, .ticket = want->ticket, .server = server, .reason = reason };
  g_array_append_val (decisions, decision);
}

static void
refuse (struct hf_pool *pool, GArray *decisions, const struct hf_pool_want *want, enum hf_refusal reason)
{
  pool->refused[reason]++;
  decide (decisions, want, HF_DECISION_REFUSED, 0, reason);
}

static bool
is_calm (const struct hf_pool_server *server, int64_t now)
{
  bool fresh = now - server->slowdown_at < HF_SLOWDOWN_LIFE_MS * HF_MS;
  return fresh && server->slowdown_percent > 0 && server->slowdown_percent <= HF_CROWDING_CALM;
}

static void
learn_crowding (struct hf_pool *pool, const struct record *record, enum hf_pool_result result, int64_t latency_us)
{
  if (result == HF_POOL_OK && record->calm && pool->typical_us > 0)
    hf_crowding_learn (&pool->crowding, record->last_slot, (double) latency_us / pool->typical_us);
}

static void
grant (struct hf_pool *pool,
       int64_t now,
       const struct hf_pool_want *want,
       struct hf_pool_server *server,
       GArray *decisions)
{
  struct record *record = g_new (struct record, 1);
  *record = (struct record){ .key = { want->entry, want->ticket },
                             .server = server->id,
                             .issued_at = now,
                             .last_slot = server->slots > 1 && server->granted + 1 >= server->slots,
                             .calm = is_calm (server, now),
                             .expires_at = want->deadline + HF_GRANT_GRACE_MS * HF_MS };
  g_hash_table_replace (pool->records, record, record);
  server->granted++;
  hf_crowding_count (&pool->crowding);
  decide (decisions, want, HF_DECISION_GRANTED, server->id, HF_REFUSAL_NONE);
}

static void
remove_waiting (struct hf_pool *pool, struct waiting *waiting)
{
  GSequenceIter *place = waiting->place;
  g_hash_table_remove (pool->queued, waiting);
  g_sequence_remove (place);
}

static struct waiting *
enqueue (struct hf_pool *pool, const struct hf_pool_want *want)
{
  struct waiting *waiting = g_new0 (struct waiting, 1);
  waiting->key = (struct key){ want->entry, want->ticket };
  waiting->want = *want;
  waiting->place = g_sequence_insert_sorted (pool->queue, waiting, compare_waiting, NULL);
  g_hash_table_replace (pool->queued, waiting, waiting);
  return waiting;
}

static void
shed_least_worth (struct hf_pool *pool, GArray *decisions)
{
  GSequenceIter *last = g_sequence_iter_prev (g_sequence_get_end_iter (pool->queue));
  struct waiting *least = g_sequence_get (last);
  refuse (pool, decisions, &least->want, HF_REFUSAL_QUEUE_FULL);
  remove_waiting (pool, least);
}

static void
wait_or_refuse (struct hf_pool *pool, int64_t now, const struct hf_pool_want *want, GArray *decisions)
{
  if (hf_placing_usable (pool, now, 0) == 0)
    {
      refuse (pool, decisions, want, HF_REFUSAL_NO_SERVER);
      return;
    }
  struct waiting *waiting = enqueue (pool, want);
  if (hf_prospect_would_be_late (pool, now, &waiting->want, (unsigned) g_sequence_iter_get_position (waiting->place)))
    {
      refuse (pool, decisions, want, HF_REFUSAL_DEADLINE);
      remove_waiting (pool, waiting);
      return;
    }
  decide (decisions, want, HF_DECISION_QUEUED, 0, HF_REFUSAL_NONE);
  if (hf_pool_waiting (pool) > pool->queue_limit)
    shed_least_worth (pool, decisions);
}

/* Grants to those that are late, or to those that are not, in their order. What
 * can no longer be answered in time is refused. */
static void
pump_some (struct hf_pool *pool, int64_t now, bool late, GArray *decisions)
{
  GSequenceIter *place = g_sequence_get_begin_iter (pool->queue);
  while (!g_sequence_iter_is_end (place))
    {
      struct waiting *waiting = g_sequence_get (place);
      place = g_sequence_iter_next (place);
      if (hf_prospect_is_too_late (pool, now, &waiting->want))
        {
          refuse (pool, decisions, &waiting->want, HF_REFUSAL_DEADLINE);
          remove_waiting (pool, waiting);
          continue;
        }
      if (hf_prospect_is_late (pool, now, &waiting->want) != late)
        continue;
      if (!hf_placing_has_room (pool, now))
        return;
      struct hf_pool_server *server = hf_placing_choose (pool, now, &waiting->want);
      /* Without aims the first in line is never passed. */
      if (!server && waiting->want.aim_at == 0)
        return;
      if (!server)
        continue;
      grant (pool, now, &waiting->want, server, decisions);
      remove_waiting (pool, waiting);
    }
}

static void
drop_record (struct hf_pool *pool, struct record *record)
{
  struct hf_pool_server *server = hf_pool_server (pool, record->server);
  if (server && server->granted > 0)
    server->granted--;
}

static void
recount_foreign (struct hf_pool *pool, uint64_t id)
{
  struct hf_pool_server *server = hf_pool_server (pool, id);
  GHashTableIter iter;
  struct foreign *foreign;
  if (!server)
    return;
  server->foreign = 0;
  g_hash_table_iter_init (&iter, pool->foreign);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &foreign))
    if (foreign->key.ticket == id)
      server->foreign += foreign->count;
}

static unsigned
count_records (const struct hf_pool *pool, uint64_t entry, uint64_t server)
{
  GHashTableIter iter;
  struct record *record;
  unsigned n = 0;
  g_hash_table_iter_init (&iter, pool->records);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &record))
    n += record->key.entry == entry && record->server == server;
  return n;
}

/* --- internal functions: configuration --- */

static struct hf_pool_server
make_server (const struct hf_service *service, const struct hf_server *spec, bool cold)
{
  return (struct hf_pool_server){
    .id = hf_server_id (service->name, spec->name),
    .slots = (unsigned) spec->slots,
    .ramp = cold ? 1 : (unsigned) spec->slots,
    .reported = -1,
  };
}

static void
clear_server (void *data)
{
  struct hf_pool_server *server = data;
  hf_str_free (&server->name);
  hf_str_free (&server->address);
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
  if (server->ramp >= server->slots)
    server->ramp = (unsigned) spec->slots;
  server->slots = (unsigned) spec->slots;
  server->failure_domain = spec->failure_domain.len ? hf_hash (spec->failure_domain, 0) : 0;
  server->leaving &= ~(unsigned) HF_LEAVING_DOCUMENT;
  if (spec->drain)
    server->leaving |= HF_LEAVING_DOCUMENT;
}

/* --- public functions: init and close --- */

void
hf_pool_init (struct hf_pool *pool, uint64_t random)
{
  *pool = (struct hf_pool){ .policy = &hf_policies[HF_POLICY_GRANTS], .random = random };
  pool->servers = new_servers ();
  pool->records = g_hash_table_new_full (key_hash, key_equal, NULL, g_free);
  pool->queue = g_sequence_new (g_free);
  pool->queued = g_hash_table_new (key_hash, key_equal);
  pool->foreign = g_hash_table_new_full (key_hash, key_equal, NULL, g_free);
}

void
hf_pool_close (struct hf_pool *pool)
{
  g_hash_table_destroy (pool->queued);
  g_sequence_free (pool->queue);
  g_hash_table_destroy (pool->records);
  g_hash_table_destroy (pool->foreign);
  g_array_unref (pool->servers);
}

void
hf_pool_configure (struct hf_pool *pool, const struct hf_service *service)
{
  bool first = !pool->configured;
  pool->configured = true;
  GArray *servers = service->directory ? g_array_ref (pool->servers) : new_servers ();
  for (size_t i = 0; i < service->servers.n; i++)
    {
      const struct hf_server *spec = hf_service_server (service, i);
      struct hf_pool_server *known = hf_pool_server (pool, hf_server_id (service->name, spec->name));
      struct hf_pool_server server = known ? *known : make_server (service, spec, !first);
      if (known)
        known->name = known->address = (struct hf_str){ 0 };
      update_server (&server, spec);
      g_array_append_val (servers, server);
    }
  g_array_unref (pool->servers);
  pool->servers = servers;
  pool->policy = &hf_policies[service->policy];
  pool->queue_limit = (unsigned) service->queue_limit;
  double most = service->policy == HF_POLICY_GRANTS ? HF_RETRY_SHARED_MAX : HF_RETRY_TOKENS_MAX;
  if (first)
    hf_retry_init (&pool->budget, most, (double) service->retry_percent);
  pool->budget.max = most;
  pool->budget.earn = (double) service->retry_percent / 100.0;
}

void
hf_pool_put (struct hf_pool *pool, const struct hf_pool_listing *listing)
{
  struct hf_pool_server *known = hf_pool_server (pool, listing->id);
  if (!known)
    {
      struct hf_pool_server server = { .id = listing->id, .reported = -1, .ramp = (unsigned) listing->spec.slots };
      g_array_append_val (pool->servers, server);
      known = hf_pool_server (pool, listing->id);
    }
  else if (known->incarnation != listing->incarnation)
    {
      /* Started anew: nothing that was learned holds. */
      unsigned granted = known->granted;
      clear_server (known);
      *known = (struct hf_pool_server){ .id = listing->id, .reported = -1, .ramp = (unsigned) listing->spec.slots };
      known->granted = granted;
    }
  update_server (known, &listing->spec);
  known->incarnation = listing->incarnation;
  known->cold_until = listing->cold_until;
}

void
hf_pool_remove (struct hf_pool *pool, uint64_t id)
{
  for (guint i = 0; i < pool->servers->len; i++)
    if (server_at (pool, i)->id == id)
      {
        g_array_remove_index_fast (pool->servers, i);
        return;
      }
}

/* An attempt that is doubled there has met a slow time, as far as is known: the
 * server said so, or it runs for longer than work takes as a rule. */
static bool
has_met_slow_time (const struct hf_pool *pool, int64_t now, const struct hf_pool_want *hedge)
{
  const struct hf_pool_server *server = hf_pool_server (pool, hedge->exclude);
  bool known = server && server->slowdown_percent > 0;
  const struct key doubled = { hedge->entry, hedge->ticket - 1 };
  const struct record *record = g_hash_table_lookup (pool->records, &doubled);
  bool long_running = record && (double) (now - record->issued_at) > HF_HEDGE_LONG_RATIO * pool->typical_us;
  return !known || long_running || now - server->slow_at < HF_HEDGE_SLOW_MS * HF_MS;
}

static void
learn_typical (struct hf_pool *pool, enum hf_pool_result result, int64_t latency_us)
{
  if (result != HF_POOL_OK || latency_us <= 0)
    return;
  /* Large steps at first: the first answers may be far from the usual. */
  pool->typical_samples++;
  double step = MAX (HF_TYPICAL_STEP, HF_TYPICAL_STEP_FIRST / pool->typical_samples);
  if (pool->typical_us <= 0)
    pool->typical_us = (double) latency_us;
  else if ((double) latency_us > pool->typical_us)
    pool->typical_us = MIN ((double) latency_us, pool->typical_us * (1.0 + step));
  else
    pool->typical_us = MAX ((double) latency_us, pool->typical_us * (1.0 - step));
}

/* --- public functions: slots --- */

void
hf_pool_acquire (struct hf_pool *pool, int64_t now, struct hf_pool_want want, GArray *decisions)
{
  struct key key = { want.entry, want.ticket };
  struct record *record = g_hash_table_lookup (pool->records, &key);
  if (record)
    {
      decide (decisions, &want, HF_DECISION_GRANTED, record->server, HF_REFUSAL_NONE);
      return;
    }
  if (g_hash_table_contains (pool->queued, &key))
    {
      decide (decisions, &want, HF_DECISION_QUEUED, 0, HF_REFUSAL_NONE);
      return;
    }
  if (want.hedge && !has_met_slow_time (pool, now, &want))
    {
      refuse (pool, decisions, &want, HF_REFUSAL_NEEDLESS);
      return;
    }
  if (want.retry && !hf_retry_spend (&pool->budget))
    {
      refuse (pool, decisions, &want, HF_REFUSAL_BUDGET);
      return;
    }
  if (!want.retry)
    hf_retry_earn (&pool->budget);
  /* Whoever waits already goes first unless the newcomer is worth more. */
  want.asked_at = now;
  bool first = hf_pool_waiting (pool) == 0;
  struct hf_pool_server *server = first ? hf_placing_choose (pool, now, &want) : NULL;
  if (server)
    {
      grant (pool, now, &want, server, decisions);
      return;
    }
  wait_or_refuse (pool, now, &want, decisions);
  if (!first)
    hf_pool_pump (pool, now, decisions);
}

void
hf_pool_release (struct hf_pool *pool,
                 int64_t now,
                 uint64_t entry,
                 uint64_t ticket,
                 enum hf_pool_result result,
                 int64_t latency_us,
                 GArray *decisions)
{
  struct key key = { entry, ticket };
  struct waiting *waiting = g_hash_table_lookup (pool->queued, &key);
  struct record *record = g_hash_table_lookup (pool->records, &key);
  if (waiting)
    remove_waiting (pool, waiting);
  if (record)
    {
      struct hf_pool_server *server = hf_pool_server (pool, record->server);
      learn_typical (pool, result, latency_us);
      drop_record (pool, record);
      if (server)
        {
          learn_crowding (pool, record, result, latency_us);
          hf_health_learn (pool->servers, server, now, result, latency_us);
        }
      g_hash_table_remove (pool->records, &key);
    }
  hf_pool_pump (pool, now, decisions);
}

void
hf_pool_learn (struct hf_pool *pool, int64_t now, uint64_t server, enum hf_pool_result result, int64_t latency_us)
{
  struct hf_pool_server *known = hf_pool_server (pool, server);
  learn_typical (pool, result, latency_us);
  if (known)
    hf_health_learn (pool->servers, known, now, result, latency_us);
}

void
hf_pool_pump (struct hf_pool *pool, int64_t now, GArray *decisions)
{
  if (hf_pool_waiting (pool) == 0)
    return;
  pump_some (pool, now, false, decisions);
  if (hf_placing_has_room (pool, now))
    pump_some (pool, now, true, decisions);
}

void
hf_pool_expire (struct hf_pool *pool, int64_t now, GArray *decisions)
{
  GHashTableIter iter;
  struct record *record;
  g_hash_table_iter_init (&iter, pool->records);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &record))
    if (record->expires_at <= now)
      {
        drop_record (pool, record);
        g_hash_table_iter_remove (&iter);
      }
  double latency;
  unsigned slots = hf_placing_slots (pool, now, &latency);
  unsigned ahead = 0;
  GSequenceIter *place = g_sequence_get_begin_iter (pool->queue);
  while (!g_sequence_iter_is_end (place))
    {
      struct waiting *waiting = g_sequence_get (place);
      place = g_sequence_iter_next (place);
      ahead++;
      if (waiting->want.deadline > now && !hf_prospect_is_hopeless (pool, now, &waiting->want, ahead, slots))
        continue;
      refuse (pool, decisions, &waiting->want, HF_REFUSAL_DEADLINE);
      remove_waiting (pool, waiting);
    }
  hf_pool_pump (pool, now, decisions);
}

/* --- public functions: other entries --- */

void
hf_pool_forget (struct hf_pool *pool, uint64_t entry)
{
  GHashTableIter iter;
  struct foreign *foreign;
  hf_pool_reconcile (pool, INT64_MAX, entry, NULL, 0);
  g_hash_table_iter_init (&iter, pool->foreign);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &foreign))
    if (foreign->key.entry == entry)
      g_hash_table_iter_remove (&iter);
  for (size_t i = 0; i < pool->servers->len; i++)
    recount_foreign (pool, server_at (pool, i)->id);
  GSequenceIter *place = g_sequence_get_begin_iter (pool->queue);
  while (!g_sequence_iter_is_end (place))
    {
      struct waiting *waiting = g_sequence_get (place);
      place = g_sequence_iter_next (place);
      if (waiting->key.entry == entry)
        remove_waiting (pool, waiting);
    }
}

void
hf_pool_reconcile (struct hf_pool *pool, int64_t now, uint64_t entry, const uint64_t *tickets, size_t n)
{
  GHashTableIter iter;
  struct record *record;
  g_hash_table_iter_init (&iter, pool->records);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &record))
    {
      bool held = false;
      if (record->key.entry != entry || now - record->issued_at < HF_GRANT_SETTLE_MS * HF_MS)
        continue;
      for (size_t i = 0; i < n && !held; i++)
        held = tickets[i] == record->key.ticket;
      if (held)
        {
          record->expires_at = MAX (record->expires_at, now + HF_PEER_TIMEOUT_MS * HF_MS);
          continue;
        }
      drop_record (pool, record);
      g_hash_table_iter_remove (&iter);
    }
}

void
hf_pool_set_foreign (struct hf_pool *pool, uint64_t entry, uint64_t server, unsigned count)
{
  struct key key = { entry, server };
  struct foreign *foreign = g_hash_table_lookup (pool->foreign, &key);
  unsigned own = count_records (pool, entry, server);
  unsigned beside = count > own ? count - own : 0;
  if (!foreign && beside == 0)
    return;
  if (!foreign)
    {
      foreign = g_new0 (struct foreign, 1);
      foreign->key = key;
      g_hash_table_insert (pool->foreign, foreign, foreign);
    }
  foreign->count = beside;
  if (beside == 0)
    g_hash_table_remove (pool->foreign, &key);
  recount_foreign (pool, server);
}

/* --- public functions: backend servers --- */

struct hf_pool_server *
hf_pool_server (const struct hf_pool *pool, uint64_t id)
{
  for (size_t i = 0; i < pool->servers->len; i++)
    if (server_at (pool, i)->id == id)
      return server_at (pool, i);
  return NULL;
}

bool
hf_pool_set_leaving (struct hf_pool *pool, uint64_t id, enum hf_leaving source, bool on, int64_t until)
{
  struct hf_pool_server *server = hf_pool_server (pool, id);
  if (!server)
    return false;
  bool news = on && !(server->leaving & source);
  server->leaving = on ? server->leaving | source : server->leaving & ~(unsigned) source;
  if (on && until > server->leaving_until)
    server->leaving_until = until;
  return news;
}

bool
hf_pool_may_have_crashed (const struct hf_pool *pool, uint64_t id, int64_t started_at)
{
  const struct hf_pool_server *server = hf_pool_server (pool, id);
  return server && (server->broken_at == 0 || started_at <= server->broken_at);
}

void
hf_pool_report (struct hf_pool *pool, uint64_t id, int load, int64_t now)
{
  struct hf_pool_server *server = hf_pool_server (pool, id);
  if (!server)
    return;
  server->reported = load;
  server->reported_at = now;
}

void
hf_pool_heard (struct hf_pool *pool, uint64_t id, int64_t now, int percent)
{
  struct hf_pool_server *server = hf_pool_server (pool, id);
  if (server)
    hf_health_note_slowdown (server, now, percent);
}

void
hf_pool_measured (struct hf_pool *pool, uint64_t id, int64_t now, bool answered, int percent)
{
  struct hf_pool_server *server = hf_pool_server (pool, id);
  if (!server)
    return;
  hf_health_note_slowdown (server, now, percent);
  server->silent_measures = answered ? 0 : server->silent_measures + 1;
}

unsigned
hf_pool_waiting (const struct hf_pool *pool)
{
  return (unsigned) g_sequence_get_length (pool->queue);
}

const struct hf_pool_want *
hf_pool_waits (const struct hf_pool *pool, unsigned i)
{
  const struct waiting *waiting = g_sequence_get (g_sequence_get_iter_at_pos (pool->queue, (gint) i));
  return &waiting->want;
}
