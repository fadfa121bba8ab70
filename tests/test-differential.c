/*
 * Random runs, each with a printed seed, that compare code with naive versions:
 * the pool with a linear search through a list, and claims with entries that
 * only remember the keys that they have seen themselves. The seeds are fixed, so
 * that every run of the tests has the same result. HF_SEED=random draws new
 * seeds, HF_SEED=NUMBER repeats one.
 */
#include <gsl/gsl_rng.h>
#include <stdlib.h>
#include <string.h>

#include "hf-calls.h"
#include "hf-reduce.h"
#include "hf-state.h"
#include "hf-wire.h"

/* --- constants --- */

#define RUNS 30

/* Seeds that once revealed a fault; every test begins with them. */
static const unsigned long found_seeds[] = {
  429545791, /* a claim that was requested twice was reported as committed before its write was */
};

/* --- internal functions: random numbers --- */

static gsl_rng *
open_rng (int run)
{
  gsl_rng *random = gsl_rng_alloc (gsl_rng_mt19937);
  const char *seed = g_getenv ("HF_SEED");
  bool found = run < (int) G_N_ELEMENTS (found_seeds);
  unsigned long seed_value = found ? found_seeds[run] : (unsigned long) run + 1;
  if (seed)
    seed_value
        = strcmp (seed, "random") == 0 ? (unsigned long) g_test_rand_int_range (1, 1 << 30) : strtoul (seed, NULL, 10);
  g_test_message ("run %d seed %lu", run, seed_value);
  gsl_rng_set (random, seed_value);
  return random;
}

static gboolean
random_chance (gsl_rng *random, double share)
{
  return gsl_rng_uniform (random) < share;
}

static int64_t
random_between (gsl_rng *random, int64_t low, int64_t high)
{
  return low + (int64_t) gsl_rng_uniform_int (random, (unsigned long) (high - low + 1));
}

/* --- the pool and a naive list --- */

#define POOL_STEPS       2000
#define SERVERS          4
#define SLOTS_PER_SERVER 3

struct naive_request
{
  uint64_t ticket;
  unsigned worth;
  int64_t deadline;
  uint64_t sequence;
};

/* A pool that searches its queue for the request to grant next: highest worth, then earliest deadline, then first. */
struct naive_pool
{
  GArray *queued;      /* struct naive_request */
  GHashTable *granted; /* set of tickets */
  GString *log;
  uint64_t next_sequence;
};

static void
naive_grant_queued (struct naive_pool *pool, int64_t now)
{
  while (pool->queued->len > 0)
    {
      guint best = 0;
      for (guint i = 1; i < pool->queued->len; i++)
        {
          const struct naive_request *candidate = &g_array_index (pool->queued, struct naive_request, i);
          const struct naive_request *current = &g_array_index (pool->queued, struct naive_request, best);
          gboolean earlier = candidate->deadline < current->deadline
                             || (candidate->deadline == current->deadline && candidate->sequence < current->sequence);
          if (candidate->worth > current->worth || (candidate->worth == current->worth && earlier))
            best = i;
        }
      struct naive_request request = g_array_index (pool->queued, struct naive_request, best);
      gboolean expired = request.deadline <= now;
      if (!expired && g_hash_table_size (pool->granted) >= SERVERS * SLOTS_PER_SERVER)
        return;
      g_array_remove_index (pool->queued, best);
      g_string_append_printf (pool->log, "%s%d ", expired ? "refused" : "granted", (int) request.ticket);
      if (!expired)
        g_hash_table_add (pool->granted, GINT_TO_POINTER ((int) request.ticket));
    }
}

static void
naive_release_slot (struct naive_pool *pool, int64_t now, uint64_t ticket)
{
  for (guint i = 0; i < pool->queued->len; i++)
    if (g_array_index (pool->queued, struct naive_request, i).ticket == ticket)
      {
        g_array_remove_index (pool->queued, i);
        break;
      }
  g_hash_table_remove (pool->granted, GINT_TO_POINTER ((int) ticket));
  naive_grant_queued (pool, now);
}

static void
log_decisions (GString *log, GArray *decisions)
{
  for (guint i = 0; i < decisions->len; i++)
    {
      const struct hf_decision *decision = &g_array_index (decisions, struct hf_decision, i);
      if (decision->kind != HF_DECISION_QUEUED)
        g_string_append_printf (log, "%s%d ", decision->kind == HF_DECISION_GRANTED ? "granted" : "refused",
                                (int) decision->ticket);
    }
  g_array_set_size (decisions, 0);
}

static struct hf_document *
pool_document (void)
{
  GString *text = g_string_new ("version: 1\nservices:\n  - name: a\n    queue_limit: "
                                "100000\n    probe_budget: 0\n    servers:\n");
  for (int i = 0; i < SERVERS; i++)
    g_string_append_printf (text, "      - {name: s%d, address: \"10.0.0.1:%d\", slots: %d}\n", i, i + 1,
                            SLOTS_PER_SERVER);
  g_string_append (text, "    classes: [{name: c}]\n");
  struct hf_document *document = hf_document_load ((struct hf_str){ text->str, text->len }, NULL);
  g_string_free (text, TRUE);
  return document;
}

static void
check_slot_limits (const struct hf_pool *pool)
{
  for (guint i = 0; i < pool->servers->len; i++)
    g_assert_cmpuint (g_array_index (pool->servers, struct hf_pool_server, i).granted, <=, SLOTS_PER_SERVER);
}

/* The pool grants and refuses in the same order as the naive one, and never gives more slots than a server has. */
static void
test_pool (void)
{
  struct hf_document *document = pool_document ();
  for (int run = 0; run < RUNS; run++)
    {
      gsl_rng *random = open_rng (run);
      struct hf_pool pool;
      struct naive_pool naive = { g_array_new (FALSE, FALSE, sizeof (struct naive_request)),
                                  g_hash_table_new (NULL, NULL), g_string_new (NULL), 0 };
      GString *log = g_string_new (NULL);
      GArray *decisions = g_array_new (FALSE, FALSE, sizeof (struct hf_decision));
      int64_t now = 1000;
      hf_pool_init (&pool, 1);
      hf_pool_configure (&pool, hf_document_get_service (document, 0));
      for (uint64_t step = 1; step < POOL_STEPS; step++)
        {
          now += random_between (random, 0, 500);
          if (random_chance (random, 0.55))
            {
              struct naive_request request = { step, (unsigned) random_between (random, 1, 5),
                                               now + random_between (random, 1, 20000), naive.next_sequence++ };
              hf_pool_acquire_slot (
                  &pool, now,
                  (struct hf_slot_request){
                      .entry = 1, .ticket = step, .worth = request.worth, .deadline = request.deadline },
                  decisions);
              g_array_append_val (naive.queued, request);
              naive_grant_queued (&naive, now);
            }
          else
            {
              uint64_t ticket = (uint64_t) random_between (random, MAX (1, (int64_t) step - 40), (int64_t) step);
              hf_pool_release_slot (&pool, now, 1, ticket, HF_SLOT_UNUSED, 0, decisions);
              naive_release_slot (&naive, now, ticket);
            }
          log_decisions (log, decisions);
          check_slot_limits (&pool);
        }
      g_assert_cmpstr (log->str, ==, naive.log->str);
      hf_pool_close (&pool);
      g_array_unref (naive.queued);
      g_hash_table_destroy (naive.granted);
      g_string_free (naive.log, TRUE);
      g_string_free (log, TRUE);
      g_array_unref (decisions);
      gsl_rng_free (random);
    }
  hf_document_unref (document);
}

/* --- claims with lost and delayed messages, pauses and restarted entries --- */

#define ENTRIES             3
#define KEYS                25
#define SIMULATED_MS        20000
#define PLATFORM_TIMEOUT_MS 300
#define DOCUMENT                                                                                                       \
  "version: 1\nservices:\n  - name: a\n    probe_budget: 0\n    servers: "                                             \
  "[{name: s, address: \"10.1.0.1:1\", slots: 50}]\n    classes: [{name: w, "                                          \
  "deadline_ms: 2000}]\n"

struct scheduled_event
{
  int64_t due_at;
  int entry;
  uint64_t boot_id; /* run of the entry that the event is for: lost if the entry was restarted since; 0: any run */
  struct hf_event event;
  char *text;    /* JSON data of the event, owned */
  char *payload; /* encoded peer message, or the object's name in a platform call */
  size_t size;   /* bytes of a peer message, 0 for a name */
};

struct entry
{
  struct hf_state *state;
  uint64_t boot_id;
  int64_t pause_end;
};

struct stored_object
{
  char *data; /* JSON */
  uint64_t version;
};

/* Simulated entries, the messages between them and the platform's store. */
struct simulation
{
  gsl_rng *random;
  GSequence *event_queue;
  struct entry entries[ENTRIES];
  GHashTable *objects; /* struct stored_object by name */
  uint64_t last_version;
  uint64_t last_boot_id;
  uint64_t last_call;
  int64_t now;
  int key_by_call[4096];
  int run_count[KEYS];      /* how often the backend server ran the request */
  int answered_count[KEYS]; /* successful responses of the backend server */
  gboolean naive;           /* no claims: each entry only remembers the keys that it has seen */
  gboolean seen[ENTRIES][KEYS];
};

static int
compare_due_times (gconstpointer a, gconstpointer b, gpointer context)
{
  int64_t left = ((const struct scheduled_event *) a)->due_at;
  int64_t right = ((const struct scheduled_event *) b)->due_at;
  (void) context;
  return left < right ? -1 : left > right;
}

static void
free_scheduled_event (gpointer data)
{
  struct scheduled_event *scheduled = data;
  g_free (scheduled->text);
  g_free (scheduled->payload);
  g_free (scheduled);
}

static struct scheduled_event *
schedule_event (struct simulation *simulation, int64_t delay, int entry, struct hf_event event)
{
  struct scheduled_event *scheduled = g_new0 (struct scheduled_event, 1);
  scheduled->due_at = simulation->now + delay;
  scheduled->entry = entry;
  scheduled->boot_id = simulation->entries[entry].boot_id;
  scheduled->event = event;
  g_sequence_insert_sorted (simulation->event_queue, scheduled, compare_due_times, NULL);
  return scheduled;
}

/* Loses some messages, duplicates others and delivers them with a random delay. */
static void
send_message (struct simulation *simulation, const struct hf_effect *effect)
{
  int entry = effect->address.data[1] - '0';
  int copies = random_chance (simulation->random, 0.1) ? 0 : random_chance (simulation->random, 0.05) ? 2 : 1;
  char buffer[HF_WIRE_BYTES_MAX];
  size_t size = hf_wire_encode (&effect->message, buffer, sizeof buffer);
  for (int i = 0; i < copies; i++)
    {
      struct scheduled_event *scheduled
          = schedule_event (simulation, random_between (simulation->random, 100, 30 * HF_MS), entry,
                            (struct hf_event){ .kind = HF_EVENT_PEER_MESSAGE });
      scheduled->payload = g_memdup2 (buffer, size);
      scheduled->size = size;
    }
}

/* Applies a call to the store and returns its HTTP status. */
static unsigned
apply_platform_call (struct simulation *simulation, const struct scheduled_event *scheduled, char **json)
{
  const char *name = scheduled->payload;
  struct stored_object *stored_object = g_hash_table_lookup (simulation->objects, name);
  if (scheduled->event.platform.op == HF_PLATFORM_PUT)
    {
      if ((stored_object ? stored_object->version : 0) != scheduled->event.platform.arg >> 32)
        return 409;
      if (!stored_object)
        {
          stored_object = g_new0 (struct stored_object, 1);
          g_hash_table_insert (simulation->objects, g_strdup (name), stored_object);
        }
      g_free (stored_object->data);
      const char *data = strstr (scheduled->text, "\"data\":");
      stored_object->data = g_strndup (data + 7, strlen (data) - 8);
      stored_object->version = ++simulation->last_version;
    }
  if (!stored_object)
    return 404;
  *json = g_strdup_printf ("{\"metadata\":{\"name\":\"%s\",\"resourceVersion\":\"%d\"},\"data\":%s}", name,
                           (int) stored_object->version, stored_object->data);
  return 200;
}

/* Schedules the arrival of a platform call. The event carries the expected version in the upper half of arg, and the
 * boot id of the sender in call. */
static void
schedule_platform_call (struct simulation *simulation, int entry, const struct hf_effect *effect)
{
  if (effect->purpose != HF_PURPOSE_CLAIMS)
    return;
  struct hf_event event
      = { .kind = HF_EVENT_PLATFORM_RESULT,
          .platform = { .purpose = effect->purpose, .op = effect->op, .arg = effect->arg | effect->version << 32 } };
  struct scheduled_event *scheduled
      = schedule_event (simulation, random_between (simulation->random, 500, 20 * HF_MS), entry, event);
  scheduled->boot_id = 0; /* the call arrives even if its sender was restarted */
  scheduled->event.call = simulation->entries[entry].boot_id;
  scheduled->payload = g_strndup (effect->name.data, effect->name.len);
  scheduled->text = g_strndup (effect->data.data ? effect->data.data : "", effect->data.len);
}

/* Runs a platform call on its arrival. The call or its response may be lost; the sender then gets a timeout. */
static void
run_platform_call (struct simulation *simulation, const struct scheduled_event *scheduled)
{
  char *json = NULL;
  gboolean request_lost = random_chance (simulation->random, 0.05);
  unsigned status = request_lost ? 0 : apply_platform_call (simulation, scheduled, &json);
  gboolean response_lost = request_lost || random_chance (simulation->random, 0.1);
  struct hf_event event = { .kind = HF_EVENT_PLATFORM_RESULT, .platform = scheduled->event.platform };
  event.platform.arg &= 0xffffffff;
  event.platform.status = response_lost ? 0 : status;
  struct scheduled_event *response = schedule_event (
      simulation, response_lost ? PLATFORM_TIMEOUT_MS * HF_MS : random_between (simulation->random, 500, 10 * HF_MS),
      scheduled->entry, event);
  response->boot_id = scheduled->event.call;
  response->text = json ? json : g_strdup ("{}");
}

/* The backend server runs the request, refuses it as not run, or runs it and loses the connection. */
static void
run_attempt (struct simulation *simulation, int entry, const struct hf_effect *effect)
{
  int key = simulation->key_by_call[effect->call];
  struct hf_event event = { .kind = HF_EVENT_ATTEMPT_END,
                            .call = effect->call,
                            .attempt = effect->attempt,
                            .bytes_sent = true,
                            .hints = { .status = 200, .load = -1, .retry_after_ms = -1 } };
  double outcome = gsl_rng_uniform (simulation->random);
  if (outcome < 0.25)
    {
      event.hints.status = 503;
      event.hints.not_run = true;
    }
  else
    simulation->run_count[key]++;
  if (outcome > 0.9)
    event.result = HF_ATTEMPT_BROKEN;
  simulation->answered_count[key] += outcome >= 0.25 && outcome <= 0.9;
  schedule_event (simulation, random_between (simulation->random, 100, 100 * HF_MS), entry, event);
}

static void
apply_effects (struct simulation *simulation, int entry, const struct hf_effects *effects)
{
  for (guint i = 0; i < effects->items->len; i++)
    {
      const struct hf_effect *effect = &g_array_index (effects->items, struct hf_effect, i);
      if (effect->kind == HF_EFFECT_SEND_MESSAGE)
        send_message (simulation, effect);
      else if (effect->kind == HF_EFFECT_CALL_PLATFORM)
        schedule_platform_call (simulation, entry, effect);
      else if (effect->kind == HF_EFFECT_DISPATCH)
        run_attempt (simulation, entry, effect);
      else if (effect->kind == HF_EFFECT_SET_WAKEUP)
        schedule_event (simulation, MAX (0, effect->wakeup_at - simulation->now), entry,
                        (struct hf_event){ .kind = HF_EVENT_TICK });
    }
}

static void
raise_event (struct simulation *simulation, int entry, struct hf_event event)
{
  struct hf_effects effects;
  hf_effects_init (&effects);
  event.now = simulation->now;
  event.wall_time = 1000000 * HF_SEC + simulation->now;
  hf_reduce (simulation->entries[entry].state, &event, &effects);
  apply_effects (simulation, entry, &effects);
  hf_effects_close (&effects);
}

static void
open_entry (struct simulation *simulation, int entry)
{
  char name[8];
  struct hf_manifest manifest
      = { .generation = 1, .digest = hf_hash (hf_str (DOCUMENT), 0), .document = hf_str (DOCUMENT) };
  char *json = hf_manifest_to_json (1, &manifest);
  char *line = g_strdup_printf ("{\"type\":\"ADDED\",\"object\":%s}", json);
  g_snprintf (name, sizeof name, "n%d", entry);
  struct hf_settings settings = { .name = hf_str (name), .failure_domain = hf_str ("d") };
  simulation->entries[entry] = (struct entry){ .state = hf_state_new (&settings, ++simulation->last_boot_id),
                                               .boot_id = simulation->last_boot_id };
  raise_event (simulation, entry, (struct hf_event){ .kind = HF_EVENT_START });
  raise_event (simulation, entry,
               (struct hf_event){ .kind = HF_EVENT_WATCH_LINE,
                                  .platform = { .purpose = HF_PURPOSE_CONFIG, .data = hf_str (line) } });
  for (int other = 0; other < ENTRIES; other++)
    {
      if (other == entry)
        continue;
      char *vm = g_strdup_printf ("{\"type\":\"ADDED\",\"object\":{\"metadata\":{\"name\":\"n%d\","
                                  "\"resourceVersion\":\"1\"},\"data\":{\"role\":\"entry\",\"address\":"
                                  "\"n%d\"}}}",
                                  other, other);
      raise_event (simulation, entry,
                   (struct hf_event){ .kind = HF_EVENT_WATCH_LINE,
                                      .platform = { .purpose = HF_PURPOSE_VMS, .data = hf_str (vm) } });
      g_free (vm);
    }
  g_free (line);
  g_free (json);
}

static void
schedule_requests (struct simulation *simulation)
{
  for (int key = 0; key < KEYS; key++)
    for (int64_t i = random_between (simulation->random, 2, 5); i > 0; i--)
      {
        int64_t at = random_between (simulation->random, 2000 * HF_MS, (SIMULATED_MS - 6000) * HF_MS);
        /* Most requests with the same key are sent close together, so that they are in progress at the same time. */
        if (random_chance (simulation->random, 0.7))
          at = (2000 + key * 400) * HF_MS + random_between (simulation->random, 0, 300 * HF_MS);
        struct scheduled_event *scheduled
            = schedule_event (simulation, at, (int) random_between (simulation->random, 0, ENTRIES - 1),
                              (struct hf_event){ .kind = HF_EVENT_REQUEST, .call = ++simulation->last_call });
        scheduled->boot_id = 0;
        simulation->key_by_call[simulation->last_call] = key;
      }
}

static void
handle_request (struct simulation *simulation, int entry, struct hf_event event)
{
  char key[16];
  int number = simulation->key_by_call[event.call];
  g_snprintf (key, sizeof key, "key-%d", number);
  event.request.method = hf_str ("POST");
  event.request.host = hf_str ("h");
  event.request.path = hf_str ("/x");
  event.request.body_digest = (uint64_t) number;
  if (!simulation->naive)
    event.request.idempotency_key = hf_str (key);
  else if (simulation->seen[entry][number])
    return;
  simulation->seen[entry][number] = TRUE;
  raise_event (simulation, entry, event);
}

static void
handle_message (struct simulation *simulation, int entry, const struct scheduled_event *scheduled)
{
  struct hf_rpc_message message;
  char from[8] = "";
  struct hf_event event = { .kind = HF_EVENT_PEER_MESSAGE };
  g_assert_true (hf_wire_decode ((struct hf_str){ scheduled->payload, scheduled->size }, &message, NULL));
  for (int i = 0; i < ENTRIES; i++)
    if (simulation->entries[i].boot_id == message.boot_id)
      g_snprintf (from, sizeof from, "n%d", i);
  event.peer.message = &message;
  event.peer.address = hf_str (from);
  if (*from)
    raise_event (simulation, entry, event);
  hf_wire_free (&message);
}

static void
handle_scheduled_event (struct simulation *simulation, struct scheduled_event *scheduled)
{
  struct entry *entry = &simulation->entries[scheduled->entry];
  if (scheduled->event.kind == HF_EVENT_PLATFORM_RESULT && scheduled->payload)
    run_platform_call (simulation, scheduled);
  else if (scheduled->boot_id && scheduled->boot_id != entry->boot_id)
    return;
  else if (scheduled->event.kind == HF_EVENT_REQUEST)
    handle_request (simulation, scheduled->entry, scheduled->event);
  else if (scheduled->event.kind == HF_EVENT_PEER_MESSAGE)
    handle_message (simulation, scheduled->entry, scheduled);
  else
    {
      scheduled->event.platform.data = hf_str (scheduled->text);
      raise_event (simulation, scheduled->entry, scheduled->event);
    }
}

/* Sometimes pauses an entry, or restarts it, which loses all that it had in memory. */
static void
inject_fault (struct simulation *simulation)
{
  int entry = (int) random_between (simulation->random, 0, ENTRIES - 1);
  if (random_chance (simulation->random, 0.001))
    simulation->entries[entry].pause_end = simulation->now + random_between (simulation->random, 100, 4000) * HF_MS;
  if (random_chance (simulation->random, 0.0004))
    {
      hf_state_free (simulation->entries[entry].state);
      open_entry (simulation, entry);
      memset (simulation->seen[entry], 0, sizeof simulation->seen[entry]);
    }
}

/* Handles events in order of time. Events for a paused entry wait until its pause ends; platform calls that it has
 * already sent still reach the store. */
static void
run_simulation (struct simulation *simulation)
{
  while (!g_sequence_is_empty (simulation->event_queue) && simulation->now < SIMULATED_MS * HF_MS)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (simulation->event_queue);
      struct scheduled_event *scheduled = g_sequence_get (first);
      int64_t pause_end = simulation->entries[scheduled->entry].pause_end;
      gboolean is_platform_call = scheduled->event.kind == HF_EVENT_PLATFORM_RESULT && scheduled->payload;
      simulation->now = MAX (simulation->now, scheduled->due_at);
      if (!is_platform_call && pause_end > simulation->now)
        {
          scheduled->due_at = pause_end;
          g_sequence_sort_changed (first, compare_due_times, NULL);
          continue;
        }
      struct scheduled_event copy = *scheduled;
      copy.text = g_strdup (scheduled->text);
      copy.payload
          = scheduled->payload
                ? g_memdup2 (scheduled->payload, scheduled->size ? scheduled->size : strlen (scheduled->payload) + 1)
                : NULL;
      g_sequence_remove (first);
      handle_scheduled_event (simulation, &copy);
      g_free (copy.text);
      g_free (copy.payload);
      inject_fault (simulation);
    }
}

static void
free_stored_object (gpointer data)
{
  struct stored_object *stored_object = data;
  g_free (stored_object->data);
  g_free (stored_object);
}

/* Runs one simulation and returns the number of keys whose request ran more than once; @answered grows by the number
 * of keys that got a successful response. */
static int
count_duplicate_runs (int run, gboolean naive, int *answered)
{
  struct simulation *simulation = g_new0 (struct simulation, 1);
  int duplicates = 0;
  simulation->random = open_rng (run);
  simulation->naive = naive;
  simulation->event_queue = g_sequence_new (free_scheduled_event);
  simulation->objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_stored_object);
  for (int i = 0; i < ENTRIES; i++)
    open_entry (simulation, i);
  schedule_requests (simulation);
  run_simulation (simulation);
  for (int key = 0; key < KEYS; key++)
    {
      duplicates += simulation->run_count[key] > 1;
      *answered += simulation->answered_count[key] > 0;
    }
  for (int i = 0; i < ENTRIES; i++)
    hf_state_free (simulation->entries[i].state);
  g_sequence_free (simulation->event_queue);
  g_hash_table_destroy (simulation->objects);
  gsl_rng_free (simulation->random);
  g_free (simulation);
  return duplicates;
}

/* No request with an idempotency key runs twice, although messages, platform calls and their responses are lost and
 * entries pause and restart. More than half of the keys get a response. */
static void
test_claims (void)
{
  int answered = 0;
  for (int run = 0; run < RUNS; run++)
    g_assert_cmpint (count_duplicate_runs (run, FALSE, &answered), ==, 0);
  g_test_message ("%d of %d keys got a successful response", answered, RUNS * KEYS);
  g_assert_cmpint (answered, >, RUNS * KEYS / 2);
}

/* Without claims some keys do run twice: shows that the simulation detects duplicate runs. */
static void
test_claims_naive (void)
{
  int answered = 0;
  int duplicates = 0;
  for (int run = 0; run < 3; run++)
    duplicates += count_duplicate_runs (run, TRUE, &answered);
  g_assert_cmpint (duplicates, >, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  g_test_add_func ("/differential/pool", test_pool);
  g_test_add_func ("/differential/claims", test_claims);
  g_test_add_func ("/differential/claims-naive", test_claims_naive);
  return g_test_run ();
}
