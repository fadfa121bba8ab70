/*
 * Decisions of the pool in simulated time, without a network: which slot request
 * waits, which is granted first, which is refused immediately, and which backend
 * server is chosen.
 */
#include <glib.h>

#include "config.h"
#include "hf-admission.h"
#include "hf-saturation.h"
#include "hf-document.h"
#include "hf-placement.h"
#include "hf-pool.h"

/* --- constants --- */

#define SERVERS             4
#define SLOTS_PER_SERVER    3
#define LATENCY_MS          100 /* of a request on a server that is not slowed down */
#define TRAINING_RESPONSES  60  /* responses until the pool has learned the median latency */
#define SIMULATED_SEC       30
#define REQUEST_INTERVAL_MS 4 /* between requests under overload: about twice the rate that the servers can sustain */

/* Simulated slowdowns: each server is slowed down in a random share of its time windows. */
#define SLOWDOWN_WINDOW_MS 150
#define SLOWDOWN_SHARE     0.3
#define SLOWDOWN_FACTOR    5 /* latency of a request that starts in such a window, in LATENCY_MS */
#define MEASUREMENT_RTT_MS 2 /* from sending a measurement to its response */

#define FAILING_SERVERS 24 /* in the tests of ejections */

/* --- types --- */

struct fixture
{
  struct hf_document *document;
  struct hf_pool pool;
  GArray *decisions;
  int64_t now;
  uint64_t last_ticket;
};

/* --- internal functions --- */

static struct fixture *
open_fixture (void)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);
  GString *text = g_string_new ("version: 1\nservices:\n  - name: a\n    queue_limit: 10000\n    servers:\n");
  for (int i = 0; i < SERVERS; i++)
    g_string_append_printf (text, "      - {name: s%d, address: \"10.0.0.1:%d\", slots: %d, failure_domain: d%d}\n", i,
                            i + 1, SLOTS_PER_SERVER, i % 2);
  g_string_append (text, "    classes: [{name: c}]\n");
  fixture->document = hf_document_load ((struct hf_str){ text->str, text->len }, NULL);
  g_assert_nonnull (fixture->document);
  fixture->decisions = g_array_new (FALSE, FALSE, sizeof (struct hf_decision));
  fixture->now = HF_SEC;
  hf_pool_init (&fixture->pool, 1);
  hf_pool_configure (&fixture->pool, hf_document_get_service (fixture->document, 0));
  g_string_free (text, TRUE);
  return fixture;
}

static void
close_fixture (struct fixture *fixture)
{
  hf_pool_close (&fixture->pool);
  g_array_unref (fixture->decisions);
  hf_document_unref (fixture->document);
  g_free (fixture);
}

static uint64_t
server_id (int i)
{
  char name[8];
  g_snprintf (name, sizeof name, "s%d", i);
  return hf_server_id (hf_str ("a"), hf_str (name));
}

static struct hf_slot_request
make_request (struct fixture *fixture, int64_t target_latency_ms, int64_t deadline_ms)
{
  return (struct hf_slot_request){ .entry = 1,
                                   .ticket = ++fixture->last_ticket,
                                   .worth = 1,
                                   .soft_deadline = fixture->now + target_latency_ms * HF_MS,
                                   .deadline = fixture->now + deadline_ms * HF_MS };
}

/* Returns the last decision on a ticket, or NULL. */
static const struct hf_decision *
decision_on (const struct fixture *fixture, uint64_t ticket)
{
  for (guint i = fixture->decisions->len; i-- > 0;)
    if (g_array_index (fixture->decisions, struct hf_decision, i).ticket == ticket)
      return &g_array_index (fixture->decisions, struct hf_decision, i);
  return NULL;
}

static const struct hf_decision *
request_slot (struct fixture *fixture, struct hf_slot_request request)
{
  hf_pool_acquire_slot (&fixture->pool, fixture->now, request, fixture->decisions);
  return decision_on (fixture, request.ticket);
}

static void
release_slot (struct fixture *fixture, uint64_t ticket, int64_t latency_ms)
{
  hf_pool_release_slot (&fixture->pool, fixture->now, 1, ticket, HF_SLOT_OK, latency_ms * HF_MS, fixture->decisions);
}

static void
report_slowdown (struct fixture *fixture, int server, int percent)
{
  hf_pool_record_measurement (&fixture->pool, server_id (server), fixture->now, true, percent);
}

/* Lets the pool learn the median latency; every server reports that it is not slowed down. */
static void
train_pool (struct fixture *fixture)
{
  for (int i = 0; i < TRAINING_RESPONSES; i++)
    {
      struct hf_slot_request request = make_request (fixture, 500, 1000);
      request_slot (fixture, request);
      release_slot (fixture, request.ticket, LATENCY_MS);
    }
  for (int i = 0; i < SERVERS; i++)
    report_slowdown (fixture, i, 100);
}

/* Takes slots until a request is queued; returns the ticket of the last grant. */
static uint64_t
take_all_slots (struct fixture *fixture)
{
  for (;;)
    {
      struct hf_slot_request request = make_request (fixture, 500, 1000);
      if (request_slot (fixture, request)->kind == HF_DECISION_GRANTED)
        continue;
      hf_pool_release_slot (&fixture->pool, fixture->now, 1, request.ticket, HF_SLOT_UNUSED, 0, fixture->decisions);
      return request.ticket - 1;
    }
}

/* --- tests --- */

/* A request with time to spare waits for a server that is not slowed down, because a start during a slowdown costs more
 * than a short wait. */
static void
test_wait_for_fast_server (void)
{
  struct fixture *fixture = open_fixture ();
  train_pool (fixture);
  for (int i = 0; i < SERVERS; i++)
    report_slowdown (fixture, i, 500);
  struct hf_slot_request with_slack = make_request (fixture, 500, 1000);
  g_assert_cmpint (request_slot (fixture, with_slack)->kind, ==, HF_DECISION_QUEUED);
  /* A request without time to spare is granted immediately. */
  struct hf_slot_request without_slack = make_request (fixture, 90, 1000);
  g_assert_cmpint (request_slot (fixture, without_slack)->kind, ==, HF_DECISION_GRANTED);
  fixture->now += 20 * HF_MS;
  report_slowdown (fixture, 2, 100);
  hf_pool_grant_queued (&fixture->pool, fixture->now, fixture->decisions);
  g_assert_cmpint (decision_on (fixture, with_slack.ticket)->kind, ==, HF_DECISION_GRANTED);
  g_assert_true (decision_on (fixture, with_slack.ticket)->server == server_id (2));
  close_fixture (fixture);
}

/* The wait for a server that is not slowed down ends after HF_PLACEMENT_WAIT_MAX_MS. */
static void
test_wait_limit (void)
{
  struct fixture *fixture = open_fixture ();
  train_pool (fixture);
  for (int i = 0; i < SERVERS; i++)
    report_slowdown (fixture, i, 500);
  struct hf_slot_request request = make_request (fixture, 500, 1000);
  g_assert_cmpint (request_slot (fixture, request)->kind, ==, HF_DECISION_QUEUED);
  fixture->now += (HF_PLACEMENT_WAIT_MAX_MS + 1) * HF_MS;
  hf_pool_grant_queued (&fixture->pool, fixture->now, fixture->decisions);
  g_assert_cmpint (decision_on (fixture, request.ticket)->kind, ==, HF_DECISION_GRANTED);
  close_fixture (fixture);
}

/* Requests that can meet their soft deadline go before those that cannot; among them the more urgent priority goes
 * first. */
static void
test_order (void)
{
  struct fixture *fixture = open_fixture ();
  train_pool (fixture);
  uint64_t last_granted = take_all_slots (fixture);
  struct hf_slot_request late = make_request (fixture, 10, 5000);
  struct hf_slot_request normal = make_request (fixture, 2000, 5000);
  struct hf_slot_request urgent = make_request (fixture, 2000, 5000);
  late.priority = 1;
  normal.priority = 2;
  urgent.priority = 1;
  request_slot (fixture, late);
  request_slot (fixture, normal);
  request_slot (fixture, urgent);
  release_slot (fixture, last_granted, LATENCY_MS);
  g_assert_cmpint (decision_on (fixture, urgent.ticket)->kind, ==, HF_DECISION_GRANTED);
  release_slot (fixture, last_granted - 1, LATENCY_MS);
  g_assert_cmpint (decision_on (fixture, normal.ticket)->kind, ==, HF_DECISION_GRANTED);
  release_slot (fixture, last_granted - 2, LATENCY_MS);
  g_assert_cmpint (decision_on (fixture, late.ticket)->kind, ==, HF_DECISION_GRANTED);
  close_fixture (fixture);
}

/* A request that can no longer get its response before the deadline is refused instead of started. */
static void
test_refuse_unanswerable (void)
{
  struct fixture *fixture = open_fixture ();
  train_pool (fixture);
  uint64_t last_granted = take_all_slots (fixture);
  struct hf_slot_request request = make_request (fixture, 200, 300);
  g_assert_cmpint (request_slot (fixture, request)->kind, ==, HF_DECISION_QUEUED);
  fixture->now += 250 * HF_MS;
  release_slot (fixture, last_granted, LATENCY_MS);
  g_assert_cmpint (decision_on (fixture, request.ticket)->kind, ==, HF_DECISION_REFUSED);
  close_fixture (fixture);
}

/* The way to another failure domain costs more for a larger body: a request with a large body stays in its own. */
static void
test_failure_domain (void)
{
  struct fixture *fixture = open_fixture ();
  train_pool (fixture);
  for (int i = 0; i < 2 * (SLOTS_PER_SERVER - 1); i++)
    {
      struct hf_slot_request request = make_request (fixture, 500, 1000);
      request.failure_domain = hf_hash (hf_str ("d1"), 0);
      request.body_bytes = 100000;
      const struct hf_decision *decision = request_slot (fixture, request);
      g_assert_true (decision->server == server_id (1) || decision->server == server_id (3));
    }
  close_fixture (fixture);
}

/* A hedge is granted only if the server of the first attempt reports a slowdown, and goes to another server. */
static void
test_hedges (void)
{
  struct fixture *fixture = open_fixture ();
  train_pool (fixture);
  struct hf_slot_request hedge = make_request (fixture, 200, 1000);
  hedge.retry = true;
  hedge.hedge = true;
  hedge.excluded_server = server_id (0);
  g_assert_cmpint (request_slot (fixture, hedge)->reason, ==, HF_REFUSAL_HEDGE_NOT_NEEDED);
  report_slowdown (fixture, 0, 500);
  hedge.ticket = ++fixture->last_ticket;
  const struct hf_decision *decision = request_slot (fixture, hedge);
  g_assert_cmpint (decision->kind, ==, HF_DECISION_GRANTED);
  g_assert_true (decision->server != server_id (0));
  close_fixture (fixture);
}

/* A server that does not respond to measurements gets no requests until it responds. */
static void
test_silent_server (void)
{
  struct fixture *fixture = open_fixture ();
  train_pool (fixture);
  for (int i = 1; i < SERVERS; i++)
    for (int j = 0; j < HF_MEASURES_UNANSWERED_LIMIT; j++)
      hf_pool_record_measurement (&fixture->pool, server_id (i), fixture->now, false, 0);
  for (int i = 0; i < SLOTS_PER_SERVER - 1; i++)
    g_assert_true (request_slot (fixture, make_request (fixture, 500, 1000))->server == server_id (0));
  report_slowdown (fixture, 1, 100);
  bool used = false;
  for (int i = 0; i < SLOTS_PER_SERVER; i++)
    used = used || request_slot (fixture, make_request (fixture, 500, 1000))->server == server_id (1);
  g_assert_true (used);
  close_fixture (fixture);
}

/* The last slots of servers are left free if their use slows down all work there, or if that is not known yet. */
static void
test_saturation (void)
{
  struct hf_saturation costly = { 0 };
  struct hf_saturation harmless = { 0 };
  g_assert_true (hf_saturation_avoids_last_slot (&costly));
  for (int i = 0; i < HF_SATURATION_MIN_SAMPLES; i++)
    {
      hf_saturation_record (&costly, true, 1.7);
      hf_saturation_record (&costly, false, 1.0);
      hf_saturation_record (&harmless, true, 1.05);
      hf_saturation_record (&harmless, false, 1.0);
    }
  g_assert_true (hf_saturation_avoids_last_slot (&costly));
  g_assert_false (hf_saturation_avoids_last_slot (&harmless));
}

/*
 * Overload: 250 requests/s for 30 s on servers that can run 120 requests/s. The
 * rate of responses before the soft deadline is at least 0.95 of what the servers
 * can run, and no granted request ends after its deadline.
 */
static void
test_overload (void)
{
  struct fixture *fixture = open_fixture ();
  GQueue running = G_QUEUE_INIT; /* tickets of granted requests, in order of their grants and so of their ends */
  GHashTable *ends = g_hash_table_new (NULL, NULL);
  GHashTable *soft_deadlines = g_hash_table_new (NULL, NULL);
  guint in_time = 0;
  guint after_deadline = 0;
  train_pool (fixture);
  g_array_set_size (fixture->decisions, 0);
  int64_t begin = fixture->now;
  for (int ms = 0; ms < SIMULATED_SEC * 1000; ms++)
    {
      fixture->now = begin + ms * HF_MS;
      for (int i = 0; i < SERVERS; i++)
        report_slowdown (fixture, i, 100);
      while (!g_queue_is_empty (&running))
        {
          uint64_t ticket = GPOINTER_TO_SIZE (g_queue_peek_head (&running));
          int64_t end = (int64_t) GPOINTER_TO_SIZE (g_hash_table_lookup (ends, GSIZE_TO_POINTER (ticket)));
          if (end > ms)
            break;
          g_queue_pop_head (&running);
          int64_t soft_deadline
              = (int64_t) GPOINTER_TO_SIZE (g_hash_table_lookup (soft_deadlines, GSIZE_TO_POINTER (ticket)));
          in_time += ms <= soft_deadline;
          after_deadline += ms > soft_deadline + 700;
          release_slot (fixture, ticket, LATENCY_MS);
        }
      if (ms % REQUEST_INTERVAL_MS == 0)
        {
          struct hf_slot_request request = make_request (fixture, 300, 1000);
          g_hash_table_insert (soft_deadlines, GSIZE_TO_POINTER (request.ticket), GSIZE_TO_POINTER ((gsize) ms + 300));
          request_slot (fixture, request);
        }
      if (ms % 100 == 0)
        hf_pool_expire (&fixture->pool, fixture->now, fixture->decisions);
      for (guint i = 0; i < fixture->decisions->len; i++)
        {
          const struct hf_decision *decision = &g_array_index (fixture->decisions, struct hf_decision, i);
          if (decision->kind != HF_DECISION_GRANTED)
            continue;
          g_queue_push_tail (&running, GSIZE_TO_POINTER (decision->ticket));
          g_hash_table_insert (ends, GSIZE_TO_POINTER (decision->ticket), GSIZE_TO_POINTER ((gsize) ms + LATENCY_MS));
        }
      g_array_set_size (fixture->decisions, 0);
    }
  guint possible = SERVERS * SLOTS_PER_SERVER * SIMULATED_SEC * 1000 / LATENCY_MS;
  g_test_message ("%u of %u possible responses in time, %u after the deadline", in_time, possible, after_deadline);
  g_assert_cmpuint (in_time, >=, possible * 95 / 100);
  g_assert_cmpuint (after_deadline, ==, 0);
  g_queue_clear (&running);
  g_hash_table_destroy (ends);
  g_hash_table_destroy (soft_deadlines);
  close_fixture (fixture);
}

/* --- tests: ejections where many servers fail --- */

/* Lets each of 24 servers end @rounds requests, one after the other; that at index i fails with a probability of
 * shares[i] percent. Returns the mean share of the servers that were usable, in percent. */
static double
run_failures (const int *shares, int rounds, unsigned *ejected)
{
  GArray *servers = g_array_new (FALSE, TRUE, sizeof (struct hf_pool_server));
  uint64_t random_state = 1;
  int64_t now = HF_SEC;
  uint64_t usable = 0;
  g_array_set_size (servers, FAILING_SERVERS);
  for (int i = 0; i < FAILING_SERVERS; i++)
    g_array_index (servers, struct hf_pool_server, i).slots = SLOTS_PER_SERVER;
  for (int n = 0; n < rounds * FAILING_SERVERS; n++)
    {
      struct hf_pool_server *server = &g_array_index (servers, struct hf_pool_server, n % FAILING_SERVERS);
      bool fails = (int) (hf_random_next (&random_state) % 100) < shares[n % FAILING_SERVERS];
      now += HF_MS;
      hf_health_record_slowdown (server, now, 100);
      if (server->ejected_until <= now)
        hf_health_record_result (servers, server, now, fails ? HF_SLOT_REFUSED : HF_SLOT_OK, LATENCY_MS * HF_MS);
      usable += hf_health_is_usable (server, now);
      ejected[n % FAILING_SERVERS] += server->ejected_until > now;
    }
  g_array_unref (servers);
  return 100.0 * (double) usable / (rounds * FAILING_SERVERS);
}

/* Guards against a third of the servers being ejected while all of them refuse a part of their requests: the others
 * then lack their slots, and none of them refuses less. */
static void
test_all_refuse (void)
{
  int shares[FAILING_SERVERS];
  unsigned ejected[FAILING_SERVERS] = { 0 };
  for (int i = 0; i < FAILING_SERVERS; i++)
    shares[i] = 55;
  g_assert_cmpfloat (run_failures (shares, 300, ejected), >=, 95);
}

/* Servers that fail far more than the others are ejected, also where these are half of the service. */
static void
test_some_refuse (void)
{
  int shares[FAILING_SERVERS];
  unsigned ejected[FAILING_SERVERS] = { 0 };
  for (int i = 0; i < FAILING_SERVERS; i++)
    shares[i] = i % 2 ? 90 : 2;
  run_failures (shares, 300, ejected);
  for (int i = 0; i < FAILING_SERVERS; i++)
    g_assert_true ((ejected[i] > 0) == (i % 2 == 1));
}

/* --- tests: servers that are measured before they get requests --- */

static struct fixture *
open_measured_fixture (void)
{
  struct fixture *fixture = open_fixture ();
  train_pool (fixture);
  fixture->pool.requires_measurements = true;
  return fixture;
}

static void
advance (struct fixture *fixture, int64_t ms)
{
  fixture->now += ms * HF_MS;
  hf_pool_grant_queued (&fixture->pool, fixture->now, fixture->decisions);
}

/* A server whose last report is stale is measured first, and gets the request if it is not slowed down. */
static void
test_measure_before_grant (void)
{
  struct fixture *fixture = open_measured_fixture ();
  advance (fixture, HF_SPEED_FRESH_MS + 1);
  struct hf_slot_request request = make_request (fixture, 500, 1000);
  g_assert_cmpint (request_slot (fixture, request)->kind, ==, HF_DECISION_QUEUED);
  struct hf_pool_server *server = hf_placement_server_to_measure (&fixture->pool, fixture->now, &request);
  g_assert_nonnull (server);
  hf_health_measurement_sent (server, fixture->now);
  g_assert_true (hf_placement_server_to_measure (&fixture->pool, fixture->now, &request) != server);
  fixture->now += MEASUREMENT_RTT_MS * HF_MS;
  hf_pool_record_measurement (&fixture->pool, server->id, fixture->now, true, 100);
  advance (fixture, 0);
  g_assert_cmpint (decision_on (fixture, request.ticket)->kind, ==, HF_DECISION_GRANTED);
  g_assert_true (decision_on (fixture, request.ticket)->server == server->id);
  close_fixture (fixture);
}

/* No request starts during a slowdown until the slowdown counts as persistent (HF_SLOW_PERSISTENT_MS). */
static void
test_no_grant_while_slow (void)
{
  struct fixture *fixture = open_measured_fixture ();
  struct hf_slot_request request = make_request (fixture, 300, 1000);
  for (int ms = 0; ms + HF_SPEED_FRESH_MS < HF_SLOW_PERSISTENT_MS; ms += HF_SPEED_FRESH_MS)
    {
      for (int i = 0; i < SERVERS; i++)
        report_slowdown (fixture, i, 500);
      if (ms == 0)
        request_slot (fixture, request);
      advance (fixture, HF_SPEED_FRESH_MS);
      g_assert_cmpint (decision_on (fixture, request.ticket)->kind, ==, HF_DECISION_QUEUED);
    }
  report_slowdown (fixture, 3, 100);
  advance (fixture, 0);
  g_assert_true (decision_on (fixture, request.ticket)->server == server_id (3));
  close_fixture (fixture);
}

/* Servers that stay slow are used after HF_SLOW_PERSISTENT_MS and HF_SLOW_SERVER_WAIT_MS. */
static void
test_persistent_slowness (void)
{
  struct fixture *fixture = open_measured_fixture ();
  struct hf_slot_request request = make_request (fixture, 300, 3000);
  for (int ms = 0; ms <= HF_SLOW_PERSISTENT_MS + HF_SLOW_SERVER_WAIT_MS; ms += HF_SPEED_FRESH_MS)
    {
      for (int i = 0; i < SERVERS; i++)
        report_slowdown (fixture, i, 500);
      if (ms == 0)
        request_slot (fixture, request);
      advance (fixture, HF_SPEED_FRESH_MS);
    }
  g_assert_cmpint (decision_on (fixture, request.ticket)->kind, ==, HF_DECISION_GRANTED);
  close_fixture (fixture);
}

/* A measurement without a response delays a request by HF_MEASURE_TIMEOUT_MS at most. */
static void
test_unanswered_measurement (void)
{
  struct fixture *fixture = open_measured_fixture ();
  advance (fixture, HF_SPEED_FRESH_MS + 1);
  struct hf_slot_request request = make_request (fixture, 500, 1000);
  g_assert_cmpint (request_slot (fixture, request)->kind, ==, HF_DECISION_QUEUED);
  hf_health_measurement_sent (hf_placement_server_to_measure (&fixture->pool, fixture->now, &request), fixture->now);
  advance (fixture, HF_MEASURE_TIMEOUT_MS);
  g_assert_cmpint (decision_on (fixture, request.ticket)->kind, ==, HF_DECISION_GRANTED);
  close_fixture (fixture);
}

/* An attempt that runs for longer than usual has met a slowdown and gets a hedge, whatever its server reports now. */
static void
test_long_running (void)
{
  struct fixture *fixture = open_fixture ();
  train_pool (fixture);
  struct hf_slot_request first = make_request (fixture, 500, 1000);
  uint64_t server = request_slot (fixture, first)->server;
  struct hf_slot_request hedge = make_request (fixture, 500, 1000);
  hedge.retry = true;
  hedge.hedge = true;
  hedge.excluded_server = server;
  g_assert_cmpint (request_slot (fixture, hedge)->reason, ==, HF_REFUSAL_HEDGE_NOT_NEEDED);
  fixture->now += 2 * LATENCY_MS * HF_MS;
  g_assert_cmpint (request_slot (fixture, hedge)->kind, ==, HF_DECISION_GRANTED);
  close_fixture (fixture);
}

/* Whether the server is slowed down in the time window around @ms; the windows of the servers are staggered. */
static bool
is_slowed_down (int server, int64_t ms)
{
  uint64_t window = (uint64_t) ((ms + server * 37) / SLOWDOWN_WINDOW_MS);
  return hf_hash_pair ((uint64_t) server + 1, window) % 1000 < (uint64_t) (SLOWDOWN_SHARE * 1000);
}

struct slowdown_run
{
  struct fixture *fixture;
  int64_t ms;
  int64_t measurement_sent_ms[SERVERS]; /* time of the measurement in flight; 0: none */
  GHashTable *ends;                     /* end of the request in ms, by ticket */
  GHashTable *soft_deadlines;           /* soft deadline in ms, by ticket */
  GHashTable *servers;                  /* index of the server, by ticket */
  guint request_count;
  guint in_time;
};

static void
deliver_measurements (struct slowdown_run *run)
{
  for (int i = 0; i < SERVERS; i++)
    if (run->measurement_sent_ms[i] > 0 && run->ms - run->measurement_sent_ms[i] >= MEASUREMENT_RTT_MS)
      {
        report_slowdown (run->fixture, i,
                         is_slowed_down (i, run->ms - MEASUREMENT_RTT_MS / 2) ? SLOWDOWN_FACTOR * 100 : 100);
        run->measurement_sent_ms[i] = 0;
      }
}

static void
measure_for_queued (struct slowdown_run *run)
{
  struct hf_pool *pool = &run->fixture->pool;
  for (unsigned i = 0; i < hf_pool_queue_length (pool); i++)
    {
      struct hf_pool_server *server
          = hf_placement_server_to_measure (pool, run->fixture->now, hf_pool_queued_request (pool, i));
      if (!server)
        return;
      hf_health_measurement_sent (server, run->fixture->now);
      for (int j = 0; j < SERVERS; j++)
        if (server->id == server_id (j))
          run->measurement_sent_ms[j] = run->ms;
    }
}

static void
start_granted_requests (struct slowdown_run *run)
{
  for (guint i = 0; i < run->fixture->decisions->len; i++)
    {
      const struct hf_decision *decision = &g_array_index (run->fixture->decisions, struct hf_decision, i);
      if (decision->kind != HF_DECISION_GRANTED)
        continue;
      int server = 0;
      while (server_id (server) != decision->server)
        server++;
      int64_t duration_ms = is_slowed_down (server, run->ms) ? SLOWDOWN_FACTOR * LATENCY_MS : LATENCY_MS;
      g_hash_table_insert (run->ends, GSIZE_TO_POINTER (decision->ticket), GSIZE_TO_POINTER (run->ms + duration_ms));
      g_hash_table_insert (run->servers, GSIZE_TO_POINTER (decision->ticket), GINT_TO_POINTER (server));
    }
  g_array_set_size (run->fixture->decisions, 0);
}

static void
finish_requests (struct slowdown_run *run)
{
  GHashTableIter iter;
  gpointer ticket;
  gpointer end;
  GArray *done = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_hash_table_iter_init (&iter, run->ends);
  while (g_hash_table_iter_next (&iter, &ticket, &end))
    if ((int64_t) GPOINTER_TO_SIZE (end) <= run->ms)
      {
        uint64_t id = GPOINTER_TO_SIZE (ticket);
        int server = GPOINTER_TO_INT (g_hash_table_lookup (run->servers, ticket));
        int64_t soft_deadline = (int64_t) GPOINTER_TO_SIZE (g_hash_table_lookup (run->soft_deadlines, ticket));
        run->in_time += run->ms <= soft_deadline;
        report_slowdown (run->fixture, server, is_slowed_down (server, run->ms) ? SLOWDOWN_FACTOR * 100 : 100);
        g_array_append_val (done, id);
        g_hash_table_iter_remove (&iter);
      }
  for (guint i = 0; i < done->len; i++)
    release_slot (run->fixture, g_array_index (done, uint64_t, i), LATENCY_MS);
  g_array_unref (done);
}

/* Simulates one request every @interval_ms and returns how many end before their soft deadline. With @exact_knowledge
 * every server reports its slowdown in each millisecond. */
static guint
run_slowdowns (int interval_ms, bool exact_knowledge)
{
  struct slowdown_run run = { .fixture = open_measured_fixture (),
                              .ends = g_hash_table_new (NULL, NULL),
                              .soft_deadlines = g_hash_table_new (NULL, NULL),
                              .servers = g_hash_table_new (NULL, NULL) };
  int64_t begin = run.fixture->now;
  g_array_set_size (run.fixture->decisions, 0);
  for (run.ms = 1; run.ms < SIMULATED_SEC * 1000; run.ms++)
    {
      run.fixture->now = begin + run.ms * HF_MS;
      for (int i = 0; exact_knowledge && i < SERVERS; i++)
        report_slowdown (run.fixture, i, is_slowed_down (i, run.ms) ? SLOWDOWN_FACTOR * 100 : 100);
      deliver_measurements (&run);
      finish_requests (&run);
      if (run.ms % interval_ms == 0)
        {
          struct hf_slot_request request = make_request (run.fixture, 300, 1200);
          run.request_count++;
          g_hash_table_insert (run.soft_deadlines, GSIZE_TO_POINTER (request.ticket), GSIZE_TO_POINTER (run.ms + 300));
          request_slot (run.fixture, request);
        }
      hf_pool_grant_queued (&run.fixture->pool, run.fixture->now, run.fixture->decisions);
      start_granted_requests (&run);
      measure_for_queued (&run);
    }
  g_test_message ("one request every %d ms, %s: %u of %u responses in time", interval_ms,
                  exact_knowledge ? "exact knowledge" : "measured", run.in_time, run.request_count);
  g_hash_table_destroy (run.ends);
  g_hash_table_destroy (run.soft_deadlines);
  g_hash_table_destroy (run.servers);
  close_fixture (run.fixture);
  return run.in_time;
}

/*
 * Servers are slowed down in 30% of short time windows, and a request that starts
 * in such a window takes five times as long. With a measurement just before each
 * start, the number of requests in time is at most 10% below that with exact
 * knowledge of all slowdowns, at any load.
 */
static void
test_measured_slowdowns (void)
{
  const int intervals_ms[] = { 50, 25, 19, 12 };
  for (guint i = 0; i < G_N_ELEMENTS (intervals_ms); i++)
    g_assert_cmpuint (run_slowdowns (intervals_ms[i], false) * 10, >=, run_slowdowns (intervals_ms[i], true) * 9);
}

/* A request from d0, whose servers are slower by 40 ms. */
static const struct hf_decision *
request_from_d0 (struct fixture *fixture, int64_t target_latency_ms)
{
  struct hf_slot_request request = make_request (fixture, target_latency_ms, 1000);
  request.failure_domain = hf_hash (hf_str ("d0"), 0);
  return request_slot (fixture, request);
}

static bool
is_in_d0 (const struct hf_decision *decision)
{
  return decision->server == server_id (0) || decision->server == server_id (2);
}

/* With domain affinity a request stays in its failure domain although servers of another one are faster by less than
 * the distance cost; without, it does not. When there is no slot at home and no time to spare it crosses: guards
 * against requests that wait at home beyond their target latency. */
static void
test_affinity (void)
{
  struct fixture *fixture = open_fixture ();
  train_pool (fixture);
  for (int i = 0; i < SERVERS; i++)
    hf_pool_find_server (&fixture->pool, server_id (i))->latency_us = (i % 2 ? 100 : 140) * HF_MS;
  g_assert_false (is_in_d0 (request_from_d0 (fixture, 500)));
  fixture->pool.far_cost_us = HF_AFFINITY_FAR_US;
  const struct hf_decision *decision = request_from_d0 (fixture, 500);
  for (; decision->kind == HF_DECISION_GRANTED; decision = request_from_d0 (fixture, 500))
    g_assert_true (is_in_d0 (decision));
  decision = request_from_d0 (fixture, 90);
  g_assert_cmpint (decision->kind, ==, HF_DECISION_GRANTED);
  g_assert_false (is_in_d0 (decision));
  close_fixture (fixture);
}

/* What granters tell one another: no wait with free slots, one that grows with the queue without, and the delay of a
 * request that starts slowed down where all servers are slow. Guards against requests that stay in a failure domain
 * whose servers are all slow although they miss their target latency there. */
static void
test_forecast (void)
{
  struct fixture *fixture = open_fixture ();
  fixture->pool.requires_measurements = true;
  train_pool (fixture);
  struct hf_forecast forecast = hf_admission_forecast (&fixture->pool, fixture->now);
  g_assert_cmpint (forecast.wait_us, ==, 0);
  g_assert_cmpuint (forecast.free_slots, >, 0);
  take_all_slots (fixture);
  for (int i = 0; i < 20; i++)
    request_slot (fixture, make_request (fixture, 2000, 5000));
  forecast = hf_admission_forecast (&fixture->pool, fixture->now);
  g_assert_cmpuint (forecast.free_slots, ==, 0);
  g_assert_cmpint (forecast.wait_us, >, LATENCY_MS * HF_MS);
  g_assert_cmpint (forecast.wait_us, <, 4 * LATENCY_MS * HF_MS);
  for (int i = 0; i < SERVERS; i++)
    report_slowdown (fixture, i, 500);
  forecast = hf_admission_forecast (&fixture->pool, fixture->now);
  g_assert_cmpint (forecast.wait_us, >, LATENCY_MS * HF_MS);
  for (int i = 0; i < SERVERS; i++)
    hf_pool_set_draining (&fixture->pool, server_id (i), HF_DRAIN_DIRECTORY, true, 0);
  forecast = hf_admission_forecast (&fixture->pool, fixture->now);
  g_assert_cmpint (forecast.wait_us, ==, HF_AFFINITY_WAIT_MAX_MS * HF_MS);
  close_fixture (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  g_test_add_func ("/placing/waits-for-speed", test_wait_for_fast_server);
  g_test_add_func ("/placing/patience-ends", test_wait_limit);
  g_test_add_func ("/placing/order", test_order);
  g_test_add_func ("/placing/no-useless-start", test_refuse_unanswerable);
  g_test_add_func ("/placing/distance", test_failure_domain);
  g_test_add_func ("/placing/hedges", test_hedges);
  g_test_add_func ("/placing/silent", test_silent_server);
  g_test_add_func ("/placing/crowding", test_saturation);
  g_test_add_func ("/placing/overload", test_overload);
  g_test_add_func ("/placing/all-refuse", test_all_refuse);
  g_test_add_func ("/placing/some-refuse", test_some_refuse);
  g_test_add_func ("/placing/asks-first", test_measure_before_grant);
  g_test_add_func ("/placing/no-slow-start", test_no_grant_while_slow);
  g_test_add_func ("/placing/lasting-slow", test_persistent_slowness);
  g_test_add_func ("/placing/no-word", test_unanswered_measurement);
  g_test_add_func ("/placing/long-running", test_long_running);
  g_test_add_func ("/placing/noise", test_measured_slowdowns);
  g_test_add_func ("/placing/affinity", test_affinity);
  g_test_add_func ("/placing/forecast", test_forecast);
  return g_test_run ();
}
