/*
 * Tests of what backend servers say of themselves: header fields, and a
 * simulated fleet whose requests are checked at the backend servers, per entry
 * and instance, against a list of what each entry was told.
 */
#include <string.h>

#include "fleet.h"
#include "hf-adapter.h"
#include "hf-base.h"
#include "hf-dump.h"
#include "hf-http-parser.h"
#include "hf-placement.h"
#include "hf-members.h"

/* --- constants --- */

#define ENTRIES             6
#define SERVICE_MS          30 /* of each request */
#define SERVERS_IN_USE      6
#define REQUEST_INTERVAL_MS 40 /* between two requests of an entry */

/* --- types --- */

/* A request at a backend server. */
struct run
{
  struct fleet_entry *entry;
  uint64_t call;
  unsigned attempt;
  unsigned server;
  uint64_t incarnation;
  int64_t ends_at;
};

/* What a backend server says in its responses. */
struct server_says
{
  bool leaves;
  int64_t retry_after_ms; /* it turns requests away with this Retry-After; 0: it runs them */
};

/* What one instance has told one entry. */
struct told
{
  const struct fleet_entry *entry;
  unsigned server;
  uint64_t incarnation;
  bool leaves;
  int64_t until; /* it wants no requests before then */
};

struct simulation
{
  struct fleet *fleet;
  struct server_says says[SERVERS_IN_USE];
  GArray *runs;                      /* struct run */
  GArray *told;                      /* struct told */
  GArray *sent_at;                   /* int64_t, of each call */
  unsigned sent[SERVERS_IN_USE];     /* requests */
  unsigned sent_unwanted;            /* requests that the entry had been told not to send */
  int64_t returned_at[ENTRIES];      /* first request of an entry to server 0 after it was told not to send any */
  unsigned measured[SERVERS_IN_USE]; /* measurements */
  unsigned errors;                   /* error responses of the entries */
  unsigned errors_unknown;           /* those that do not say that the request was not run */
  int64_t retry_after_min_ms;        /* of those with status 503 */
  int64_t error_delay_max;           /* from a request to its error response */
  bool silent_to[ENTRIES];           /* servers say nothing to this entry */
};

/* --- internal functions --- */

static unsigned
server_index (const struct hf_effect *effect)
{
  return (unsigned) g_ascii_strtoull (effect->name.data + 1, NULL, 10);
}

static struct told *
find_told (const struct simulation *simulation, const struct fleet_entry *entry, unsigned server, uint64_t incarnation)
{
  for (guint i = 0; i < simulation->told->len; i++)
    {
      struct told *told = &g_array_index (simulation->told, struct told, i);
      if (told->entry == entry && told->server == server && told->incarnation == incarnation)
        return told;
    }
  return NULL;
}

static bool
is_unwanted (const struct simulation *simulation, const struct fleet_entry *entry, const struct hf_effect *effect)
{
  const struct told *told = find_told (simulation, entry, server_index (effect), effect->incarnation);
  return told && (told->leaves || simulation->fleet->now < told->until);
}

static void
record_error (struct simulation *simulation, const struct hf_effect *effect)
{
  int64_t sent_at = g_array_index (simulation->sent_at, int64_t, effect->call - 1);
  simulation->errors++;
  simulation->errors_unknown += effect->status != 503 || effect->outcome != HF_OUTCOME_NOT_RUN;
  simulation->error_delay_max = MAX (simulation->error_delay_max, simulation->fleet->now - sent_at);
  simulation->retry_after_min_ms = MIN (simulation->retry_after_min_ms, effect->retry_after_ms);
}

static void
on_effect (void *context, struct fleet_entry *entry, const struct hf_effect *effect)
{
  struct simulation *simulation = context;
  if (effect->kind == HF_EFFECT_SEND_ERROR)
    record_error (simulation, effect);
  if (effect->kind != HF_EFFECT_DISPATCH && effect->kind != HF_EFFECT_SEND_PROBE)
    return;
  unsigned server = server_index (effect);
  g_assert_cmpuint (server, <, SERVERS_IN_USE);
  simulation->sent_unwanted += is_unwanted (simulation, entry, effect);
  if (effect->kind == HF_EFFECT_SEND_PROBE)
    {
      simulation->measured[server]++;
      return;
    }
  simulation->sent[server]++;
  unsigned sender = (unsigned) (entry - simulation->fleet->entries);
  const struct told *told = find_told (simulation, entry, server, effect->incarnation);
  if (told && told->until > 0 && simulation->returned_at[sender] == 0)
    simulation->returned_at[sender] = simulation->fleet->now;
  struct run run = { .entry = entry,
                     .call = effect->call,
                     .attempt = effect->attempt,
                     .server = server,
                     .incarnation = effect->incarnation,
                     .ends_at = simulation->fleet->now + SERVICE_MS * HF_MS };
  g_array_append_val (simulation->runs, run);
}

static struct told *
find_or_add_told (struct simulation *simulation, const struct run *run)
{
  struct told *told = find_told (simulation, run->entry, run->server, run->incarnation);
  if (told)
    return told;
  struct told new_told = { .entry = run->entry, .server = run->server, .incarnation = run->incarnation };
  g_array_append_val (simulation->told, new_told);
  return &g_array_index (simulation->told, struct told, simulation->told->len - 1);
}

/* The head of a response, with what its server says to this entry. */
static struct hf_response_hints
make_hints (const struct simulation *simulation, const struct run *run)
{
  struct hf_response_hints hints = { .status = 200, .load = -1, .retry_after_ms = -1 };
  const struct server_says *says = &simulation->says[run->server];
  if (simulation->silent_to[run->entry - simulation->fleet->entries])
    return hints;
  hints.leaving = says->leaves;
  if (says->retry_after_ms == 0)
    return hints;
  hints.status = 503;
  hints.not_run = true;
  hints.retry_after_ms = says->retry_after_ms;
  return hints;
}

static void
tell (struct simulation *simulation, const struct run *run, const struct hf_response_hints *hints)
{
  struct told *told = find_or_add_told (simulation, run);
  char name[16];
  g_snprintf (name, sizeof name, "s%u", run->server);
  told->leaves = told->leaves || hints->leaving;
  if (hints->status == 503)
    told->until = MAX (told->until, simulation->fleet->now + hints->retry_after_ms * HF_MS);
  fleet_raise_event (run->entry, (struct hf_event){ .kind = HF_EVENT_SERVER_HINTS,
                                                    .server = hf_server_id (hf_str ("a"), hf_str (name)),
                                                    .incarnation = run->incarnation,
                                                    .hints = *hints });
}

static void
end_run (struct simulation *simulation, const struct run *run)
{
  struct hf_response_hints hints = make_hints (simulation, run);
  if (hints.leaving || hints.status == 503)
    tell (simulation, run, &hints);
  fleet_raise_event (run->entry, (struct hf_event){ .kind = HF_EVENT_ATTEMPT_END,
                                                    .call = run->call,
                                                    .attempt = run->attempt,
                                                    .result = HF_ATTEMPT_ANSWERED,
                                                    .bytes_sent = true,
                                                    .hints = hints });
}

static void
end_due_runs (struct simulation *simulation)
{
  for (guint i = simulation->runs->len; i-- > 0;)
    {
      struct run run = g_array_index (simulation->runs, struct run, i);
      if (run.ends_at > simulation->fleet->now || run.entry->is_paused)
        continue;
      g_array_remove_index (simulation->runs, i);
      end_run (simulation, &run);
    }
}

static void
send_requests (struct simulation *simulation)
{
  for (unsigned i = 0; i < simulation->fleet->entry_count; i++)
    {
      g_array_append_val (simulation->sent_at, simulation->fleet->now);
      fleet_raise_event (&simulation->fleet->entries[i], (struct hf_event){ .kind = HF_EVENT_REQUEST,
                                                                            .call = simulation->sent_at->len,
                                                                            .request = { .method = hf_str ("GET"),
                                                                                         .host = hf_str ("h.example"),
                                                                                         .path = hf_str ("/p0/x") } });
    }
}

static void
advance (struct simulation *simulation, int64_t ms)
{
  for (int64_t t = 0; t < ms; t += FLEET_STEP_MS)
    {
      if (t % REQUEST_INTERVAL_MS == 0)
        send_requests (simulation);
      fleet_advance (simulation->fleet, FLEET_STEP_MS);
      end_due_runs (simulation);
    }
}

static struct simulation *
open_simulation (void)
{
  struct simulation *simulation = g_new0 (struct simulation, 1);
  struct fleet *fleet = fleet_open (ENTRIES, 3, 0);
  simulation->fleet = fleet;
  simulation->runs = g_array_new (FALSE, FALSE, sizeof (struct run));
  simulation->sent_at = g_array_new (FALSE, FALSE, sizeof (int64_t));
  simulation->retry_after_min_ms = INT64_MAX;
  simulation->told = g_array_new (FALSE, FALSE, sizeof (struct told));
  for (unsigned i = SERVERS_IN_USE; i < 30; i++)
    fleet_change_server (fleet, i, (struct fleet_server){ 0 });
  fleet_write_document (fleet, 1);
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS);
  fleet->on_effect = on_effect;
  fleet->context = simulation;
  advance (simulation, 1000);
  for (unsigned i = 0; i < SERVERS_IN_USE; i++)
    g_assert_cmpuint (simulation->sent[i], >, 0);
  return simulation;
}

static void
close_simulation (struct simulation *simulation)
{
  fleet_close (simulation->fleet);
  g_array_unref (simulation->runs);
  g_array_unref (simulation->told);
  g_array_unref (simulation->sent_at);
  g_free (simulation);
}

static unsigned
granter_index (const struct simulation *simulation)
{
  uint64_t owner = hf_members_owner (simulation->fleet->entries[0].state, hf_hash (hf_str ("a"), 0));
  for (unsigned i = 0; i < ENTRIES; i++)
    if (simulation->fleet->entries[i].state->boot_id == owner)
      return i;
  g_error ("no entry grants the slots; the test stops");
  return 0;
}

/* Lists server i again, as a new instance or as an older list does. */
static void
list_again (struct simulation *simulation, unsigned i, uint64_t incarnation)
{
  fleet_change_server (simulation->fleet, i, (struct fleet_server){ 0 });
  advance (simulation, 500);
  fleet_change_server (simulation->fleet, i, (struct fleet_server){ .listed = true, .incarnation = incarnation });
  advance (simulation, 500);
}

/* --- tests: leaving --- */

/* A server says to all entries that it leaves, and the directory lists it on. */
static void
test_leaving_all (void)
{
  struct simulation *simulation = open_simulation ();
  simulation->says[0].leaves = true;
  advance (simulation, 200);
  unsigned sent = simulation->sent[0];
  advance (simulation, 2000);
  list_again (simulation, 0, 1);
  g_assert_cmpuint (simulation->sent[0], ==, sent);
  g_assert_cmpuint (simulation->sent_unwanted, ==, 0);
  g_assert_cmpuint (simulation->errors, ==, 0);
  simulation->says[0].leaves = false;
  list_again (simulation, 0, 2);
  g_assert_cmpuint (simulation->sent[0], >, sent);
  close_simulation (simulation);
}

/* Only one entry is told, which does not grant the slots: the granter gives it other servers. */
static void
test_leaving_one_entry (void)
{
  struct simulation *simulation = open_simulation ();
  unsigned hearer = (granter_index (simulation) + 1) % ENTRIES;
  for (unsigned i = 0; i < ENTRIES; i++)
    simulation->silent_to[i] = i != hearer;
  simulation->says[0].leaves = true;
  advance (simulation, 3000);
  g_assert_cmpuint (simulation->told->len, ==, 1);
  g_assert_cmpuint (simulation->sent_unwanted, ==, 0);
  g_assert_cmpuint (simulation->errors, ==, 0);
  close_simulation (simulation);
}

/* The same while one datagram in three is lost, and the granter is cut off and another one takes over. */
static void
test_leaving_hand_over (void)
{
  struct simulation *simulation = open_simulation ();
  unsigned granter = granter_index (simulation);
  for (unsigned i = 0; i < ENTRIES; i++)
    simulation->silent_to[i] = i != (granter + 1) % ENTRIES;
  simulation->fleet->loss_interval = 3;
  simulation->says[0].leaves = true;
  advance (simulation, 1000);
  simulation->fleet->entries[granter].is_disconnected = true;
  advance (simulation, 4000);
  simulation->fleet->entries[granter].is_disconnected = false;
  advance (simulation, 4000);
  g_assert_cmpuint (simulation->told->len, ==, 1);
  g_assert_cmpuint (simulation->sent_unwanted, ==, 0);
  close_simulation (simulation);
}

/* The platform does not respond, and an entry without news lists the server from its older copy. */
static void
test_leaving_platform_down (void)
{
  struct simulation *simulation = open_simulation ();
  for (unsigned i = 0; i < ENTRIES; i++)
    simulation->fleet->entries[i].platform_unreachable = true;
  simulation->says[0].leaves = true;
  advance (simulation, 500);
  unsigned sent = simulation->sent[0];
  for (unsigned i = 0; i < ENTRIES; i++)
    fleet_report_full_list (&simulation->fleet->entries[i]);
  advance (simulation, 3000);
  g_assert_cmpuint (simulation->sent[0], ==, sent);
  g_assert_cmpuint (simulation->sent_unwanted, ==, 0);
  close_simulation (simulation);
}

/* --- tests: pushback --- */

/* A server turns the requests of all entries away for a time: none is sent to it within that time, others answer, and
 * it is used again afterwards, not by all entries at the same time. */
static void
test_pushback_all (void)
{
  struct simulation *simulation = open_simulation ();
  int64_t first = INT64_MAX;
  int64_t last = 0;
  simulation->says[0].retry_after_ms = 2000;
  advance (simulation, 300);
  simulation->says[0].retry_after_ms = 0;
  unsigned sent = simulation->sent[0];
  advance (simulation, 1500);
  g_assert_cmpuint (simulation->sent[0], ==, sent);
  advance (simulation, 5000);
  g_assert_cmpuint (simulation->sent[0], >, sent);
  g_assert_cmpuint (simulation->sent_unwanted, ==, 0);
  g_assert_cmpuint (simulation->errors, ==, 0);
  for (unsigned i = 0; i < ENTRIES; i++)
    if (simulation->returned_at[i] > 0)
      {
        first = MIN (first, simulation->returned_at[i]);
        last = MAX (last, simulation->returned_at[i]);
      }
  g_assert_cmpint (last - first, >, 100 * HF_MS);
  close_simulation (simulation);
}

/* Only one entry is told: the others go on using the server. */
static void
test_pushback_one_entry (void)
{
  struct simulation *simulation = open_simulation ();
  unsigned hearer = (granter_index (simulation) + 1) % ENTRIES;
  for (unsigned i = 0; i < ENTRIES; i++)
    simulation->silent_to[i] = i != hearer;
  simulation->says[0].retry_after_ms = 5000;
  advance (simulation, 500);
  unsigned sent = simulation->sent[0];
  advance (simulation, 2000);
  g_assert_cmpuint (simulation->told->len, ==, 1);
  g_assert_cmpuint (simulation->sent[0], >, sent);
  g_assert_cmpuint (simulation->sent_unwanted, ==, 0);
  g_assert_cmpuint (simulation->errors, ==, 0);
  close_simulation (simulation);
}

/* The state dump and the metrics of an entry name both kinds of restriction, with their age. */
static void
test_dump (void)
{
  struct simulation *simulation = open_simulation ();
  struct fleet_entry *entry = &simulation->fleet->entries[granter_index (simulation)];
  simulation->says[0].leaves = true;
  simulation->says[1].retry_after_ms = 60000;
  advance (simulation, 500);
  char *text = hf_dump_text (entry->state, simulation->fleet->now);
  char *metrics = hf_dump_metrics (entry->state, simulation->fleet->now);
  g_assert_nonnull (strstr (text, "leaving (its response)"));
  g_assert_nonnull (strstr (text, ", leaves, known for "));
  g_assert_nonnull (strstr (text, "restriction: server s1, start 1, wants no requests, said "));
  g_assert_nonnull (strstr (metrics, "hickoryfield_pushbacks_total "));
  g_assert_null (strstr (metrics, "hickoryfield_pushbacks_total 0\n"));
  g_free (metrics);
  g_free (text);
  close_simulation (simulation);
}

/* All servers want no requests for longer than the callers wait: calls are refused at once, as not run, with the time
 * until the first server may be used; nothing is sent. */
static void
test_pushback_service_long (void)
{
  struct simulation *simulation = open_simulation ();
  for (unsigned i = 0; i < SERVERS_IN_USE; i++)
    simulation->says[i].retry_after_ms = 60000;
  advance (simulation, 1000);
  simulation->error_delay_max = 0;
  simulation->retry_after_min_ms = INT64_MAX;
  simulation->errors = 0;
  advance (simulation, 2000);
  g_assert_cmpuint (simulation->errors, ==, ENTRIES * 2000 / REQUEST_INTERVAL_MS);
  g_assert_cmpuint (simulation->errors_unknown, ==, 0);
  g_assert_cmpint (simulation->error_delay_max, <=, 5 * FLEET_STEP_MS * HF_MS);
  g_assert_cmpint (simulation->retry_after_min_ms, >=, 60000 - 3000);
  g_assert_cmpuint (simulation->sent_unwanted, ==, 0);
  close_simulation (simulation);
}

/* The same for a time that callers wait: calls are queued and served afterwards. */
static void
test_pushback_service_short (void)
{
  struct simulation *simulation = open_simulation ();
  for (unsigned i = 0; i < SERVERS_IN_USE; i++)
    simulation->says[i].retry_after_ms = 300;
  advance (simulation, 200);
  for (unsigned i = 0; i < SERVERS_IN_USE; i++)
    simulation->says[i].retry_after_ms = 0;
  unsigned errors = simulation->errors;
  advance (simulation, 5000);
  g_assert_cmpuint (simulation->errors, ==, errors);
  g_assert_cmpuint (simulation->sent_unwanted, ==, 0);
  close_simulation (simulation);
}

/* A retry that is refused because of pushback, or whose slot goes back, costs no token of the retry budget. */
static void
test_pushback_retry_budget (void)
{
  struct hf_pool pool;
  GArray *decisions = g_array_new (FALSE, FALSE, sizeof (struct hf_decision));
  struct hf_pool_listing listing = { .id = 7, .incarnation = 1, .spec = { .name = hf_str ("s"), .slots = 2 } };
  struct hf_slot_request request = { .entry = 1, .ticket = 1, .deadline = 2 * HF_SEC, .retry = true };
  hf_pool_init (&pool, 1);
  hf_pool_put_server (&pool, &listing);
  hf_retry_budget_init (&pool.retry_budget, 2, 10);
  hf_pushback_set (&hf_pool_find_server (&pool, 7)->pushbacks, 1, 10 * HF_SEC);
  hf_pool_acquire_slot (&pool, HF_SEC, request, decisions);
  g_assert_cmpint (g_array_index (decisions, struct hf_decision, 0).reason, ==, HF_REFUSAL_PUSHBACK);
  g_assert_cmpfloat (pool.retry_budget.tokens, ==, 2);
  request.entry = 2;
  hf_pool_acquire_slot (&pool, HF_SEC, request, decisions);
  g_assert_cmpint (g_array_index (decisions, struct hf_decision, 1).kind, ==, HF_DECISION_GRANTED);
  g_assert_cmpfloat (pool.retry_budget.tokens, ==, 1);
  hf_pool_release_slot (&pool, HF_SEC, 2, 1, HF_SLOT_RETURNED, 0, decisions);
  g_assert_cmpfloat (pool.retry_budget.tokens, ==, 2);
  hf_pool_close (&pool);
  g_array_unref (decisions);
}

/* A pool with one server of one slot, which wants no requests from entry 1 until 10 s. */
static void
open_pushed_back_pool (struct hf_pool *pool)
{
  struct hf_pool_listing listing = { .id = 7, .incarnation = 1, .spec = { .name = hf_str ("s"), .slots = 1 } };
  hf_pool_init (pool, 1);
  pool->queue_limit = 10;
  hf_pool_put_server (pool, &listing);
  hf_pushback_set (&hf_pool_find_server (pool, 7)->pushbacks, 1, 10 * HF_SEC);
}

static const struct hf_decision *
last_decision (const GArray *decisions)
{
  return &g_array_index (decisions, struct hf_decision, decisions->len - 1);
}

/* A queued request of an entry that is pushed back does not hold up those of others behind it, and is served at the
 * end of that time. */
static void
test_pushback_queue_order (void)
{
  struct hf_pool pool;
  GArray *decisions = g_array_new (FALSE, FALSE, sizeof (struct hf_decision));
  open_pushed_back_pool (&pool);
  struct hf_slot_request request = { .entry = 1, .ticket = 1, .deadline = 20 * HF_SEC, .worth = 2 };
  hf_pool_acquire_slot (&pool, HF_SEC, request, decisions);
  g_assert_cmpint (last_decision (decisions)->kind, ==, HF_DECISION_QUEUED);
  request = (struct hf_slot_request){ .entry = 2, .ticket = 2, .deadline = 20 * HF_SEC, .worth = 1 };
  hf_pool_acquire_slot (&pool, HF_SEC, request, decisions);
  g_assert_cmpint (last_decision (decisions)->kind, ==, HF_DECISION_GRANTED);
  g_assert_cmpuint (last_decision (decisions)->ticket, ==, 2);
  hf_pool_release_slot (&pool, 2 * HF_SEC, 2, 2, HF_SLOT_OK, 1000, decisions);
  g_assert_cmpuint (last_decision (decisions)->ticket, ==, 2);
  hf_pool_expire (&pool, 10 * HF_SEC, decisions);
  g_assert_cmpint (last_decision (decisions)->kind, ==, HF_DECISION_GRANTED);
  g_assert_cmpuint (last_decision (decisions)->ticket, ==, 1);
  hf_pool_close (&pool);
  g_array_unref (decisions);
}

/* A granter that is pushed back must not measure the server; other entries get its slots without a fresh report. */
static void
test_pushback_granter (void)
{
  struct hf_pool pool;
  GArray *decisions = g_array_new (FALSE, FALSE, sizeof (struct hf_decision));
  open_pushed_back_pool (&pool);
  struct hf_pool_server *server = hf_pool_find_server (&pool, 7);
  struct hf_slot_request request = { .entry = 2, .ticket = 2, .deadline = 20 * HF_SEC };
  pool.requires_measurements = true;
  hf_health_record_slowdown (server, HF_SEC, 100);
  g_assert_nonnull (hf_placement_server_to_measure (&pool, 5 * HF_SEC, &request));
  server->measurable_at = 10 * HF_SEC;
  g_assert_null (hf_placement_server_to_measure (&pool, 5 * HF_SEC, &request));
  hf_pool_acquire_slot (&pool, 5 * HF_SEC, request, decisions);
  g_assert_cmpint (last_decision (decisions)->kind, ==, HF_DECISION_GRANTED);
  hf_pool_close (&pool);
  g_array_unref (decisions);
}

/* After the time an entry gets one slot, and another one after two successes. */
static void
test_pushback_slow_start (void)
{
  GArray *pushbacks = NULL;
  hf_pushback_set (&pushbacks, 1, 10);
  hf_pushback_set (&pushbacks, 1, 5);
  g_assert_false (hf_pushback_allows (pushbacks, 1, 9));
  g_assert_true (hf_pushback_allows (pushbacks, 2, 9));
  g_assert_true (hf_pushback_allows (pushbacks, 1, 10));
  hf_pushback_count_grant (pushbacks, 1);
  g_assert_false (hf_pushback_allows (pushbacks, 1, 10));
  hf_pushback_count_success (pushbacks, 1, 2);
  hf_pushback_count_success (pushbacks, 1, 2);
  g_assert_true (hf_pushback_allows (pushbacks, 1, 10));
  hf_pushback_count_grant (pushbacks, 1);
  g_assert_false (hf_pushback_allows (pushbacks, 1, 10));
  hf_pushback_count_release (pushbacks, 1);
  hf_pushback_count_success (pushbacks, 1, 2);
  hf_pushback_count_success (pushbacks, 1, 2);
  g_assert_cmpint (hf_pushback_until (pushbacks, 1), ==, 0);
  g_array_unref (pushbacks);
}

/* Servers say at random times that they leave or want no requests, datagrams are lost, granters are cut off, servers
 * are listed again: no entry sends what it was told not to send, by a list of instance and time. */
static void
test_against_list (gconstpointer data)
{
  struct simulation *simulation = open_simulation ();
  uint64_t random_state = GPOINTER_TO_UINT (data);
  uint64_t incarnations[SERVERS_IN_USE] = { 0 };
  simulation->fleet->loss_interval = 5;
  for (unsigned round = 0; round < 60; round++)
    {
      unsigned server = (unsigned) (hf_random_next (&random_state) % SERVERS_IN_USE);
      uint64_t choice = hf_random_next (&random_state) % 6;
      struct server_says *says = &simulation->says[server];
      if (choice < 2)
        says->retry_after_ms = (int64_t) (hf_random_next (&random_state) % 4) * 1000;
      else if (choice == 2)
        says->leaves = true;
      else if (choice == 3)
        list_again (simulation, server, incarnations[server]);
      else if (choice == 4)
        {
          *says = (struct server_says){ 0 };
          list_again (simulation, server, ++incarnations[server]);
        }
      else
        simulation->fleet->entries[granter_index (simulation)].is_disconnected = true;
      advance (simulation, 300);
      for (unsigned i = 0; i < ENTRIES; i++)
        simulation->fleet->entries[i].is_disconnected = false;
    }
  g_assert_cmpuint (simulation->told->len, >, 0);
  g_assert_cmpuint (simulation->sent_unwanted, ==, 0);
  close_simulation (simulation);
}

/* --- tests: header fields --- */

struct retry_after_case
{
  const char *fields;
  int64_t ms; /* -1: none */
  bool invalid;
};

/* Each form of Retry-After: the time that it gives, and whether it is invalid. The time is 1994-11-06 08:49:37. */
static const struct retry_after_case retry_after_cases[] = {
  { "", -1, false },
  { "Retry-After: 0\r\n", 0, false },
  { "Retry-After: 5\r\n", 5000, false },
  { "retry-after:   007  \r\n", 7000, false },
  { "Retry-After: 1.5\r\n", 1500, false },
  { "Retry-After: 0.0001\r\n", 1, false },
  { "Retry-After: 3600\r\n", 3600000, false },
  { "Retry-After: 3601\r\n", 3600000, false },
  { "Retry-After: 99999999999999999999999999999999999999999999\r\n", 3600000, false },
  { "Retry-After: -1\r\n", -1, true },
  { "Retry-After: +1\r\n", -1, true },
  { "Retry-After:\r\n", -1, true },
  { "Retry-After: 1.\r\n", -1, true },
  { "Retry-After: .5\r\n", -1, true },
  { "Retry-After: 1e3\r\n", -1, true },
  { "Retry-After: 1, 2\r\n", -1, true },
  { "Retry-After: soon\r\n", -1, true },
  { "Retry-After: 3\r\nRetry-After: 9\r\n", 9000, false },
  { "Retry-After: soon\r\nRetry-After: 4\r\n", 4000, true },
  { "Retry-After: Sun, 06 Nov 1994 08:49:47 GMT\r\n", 10000, false },
  { "Retry-After: Sun, 06 Nov 1994 08:49:27 GMT\r\n", 0, false },
  { "Retry-After: Sun, 06 Nov 2994 08:49:27 GMT\r\n", 3600000, false },
};

static bool
on_head (void *context, const struct hf_http_head *head)
{
  struct hf_response_hints *hints = context;
  *hints = (struct hf_response_hints){ .retry_after_ms = -1 };
  hf_header_codec_read_retry_after (head, 784111777 * HF_SEC, hints);
  return true;
}

static void
ignore_body (void *context, struct hf_str bytes)
{
  (void) context;
  (void) bytes;
}

static void
ignore_end (void *context)
{
  (void) context;
}

static void
ignore_error (void *context, enum hf_http_parse_error error)
{
  (void) context;
  (void) error;
}

static void
test_retry_after (void)
{
  static const struct hf_http_parser_callbacks callbacks
      = { .on_head = on_head, .on_body = ignore_body, .on_complete = ignore_end, .on_error = ignore_error };
  for (size_t i = 0; i < G_N_ELEMENTS (retry_after_cases); i++)
    {
      const struct retry_after_case *retry_after_case = &retry_after_cases[i];
      struct hf_response_hints hints = { 0 };
      char *text = g_strdup_printf ("HTTP/1.1 503 Full\r\n%sContent-Length: 0\r\n\r\n", retry_after_case->fields);
      struct hf_http_parser *parser = hf_http_parser_open (false, &callbacks, &hints);
      hf_http_parser_feed (parser, hf_str (text));
      g_test_message ("case %zu: %s", i, retry_after_case->fields);
      g_assert_cmpint (hints.retry_after_ms, ==, retry_after_case->ms);
      g_assert_cmpint (hints.retry_after_invalid, ==, retry_after_case->invalid);
      hf_http_parser_close (parser);
      g_free (text);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  g_test_add_func ("/restrictions/leaving-all", test_leaving_all);
  g_test_add_func ("/restrictions/leaving-one-entry", test_leaving_one_entry);
  g_test_add_func ("/restrictions/leaving-hand-over", test_leaving_hand_over);
  g_test_add_func ("/restrictions/leaving-platform-down", test_leaving_platform_down);
  g_test_add_func ("/restrictions/pushback-all", test_pushback_all);
  g_test_add_func ("/restrictions/pushback-one-entry", test_pushback_one_entry);
  g_test_add_func ("/restrictions/dump", test_dump);
  g_test_add_func ("/restrictions/pushback-service-long", test_pushback_service_long);
  g_test_add_func ("/restrictions/pushback-service-short", test_pushback_service_short);
  g_test_add_func ("/restrictions/pushback-retry-budget", test_pushback_retry_budget);
  g_test_add_func ("/restrictions/pushback-queue-order", test_pushback_queue_order);
  g_test_add_func ("/restrictions/pushback-granter", test_pushback_granter);
  g_test_add_func ("/restrictions/pushback-slow-start", test_pushback_slow_start);
  for (guint seed = 1; seed <= 10; seed++)
    {
      char *path = g_strdup_printf ("/restrictions/against-list/%u", seed);
      g_test_add_data_func (path, GUINT_TO_POINTER (seed), test_against_list);
      g_free (path);
    }
  g_test_add_func ("/restrictions/retry-after", test_retry_after);
  return g_test_run ();
}
