/* Open-loop load generator. */
#include "load.h"

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <gsl/gsl_statistics_double.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "hf-soup.h"

/* --- constants --- */

#define HEALTH_CHECK_INTERVAL_MS 200
#define SESSIONS_PER_ENTRY       16
#define CONNECTIONS_PER_SESSION  256
#define NON_REPEATABLE_MARK      "-once" /* in the test key of a call that is not repeatable */
#define RESPONSE_TIMEOUT_S       40      /* then the call counts as LOAD_BROKEN */

/* --- types --- */

/* One entry that receives calls. */
struct target
{
  const struct entry *entry;
  /* Several, as libsoup scans all idle connections of a session for each call. */
  SoupSession *sessions[SESSIONS_PER_ENTRY];
  guint next_session;
  gboolean healthy;
  gboolean check_pending;
};

struct run
{
  struct load *load;
  GMainLoop *loop;
  gsl_rng *rng;
  GPtrArray *targets; /* struct target */
  SoupSession *health_session;
  gint64 started_at;
  double next_arrival_s; /* seconds from the start of the run */
  guint open_calls;      /* calls without a response so far */
  guint last_call_number;
  int next_second;
  double *cumulative_shares; /* share of all calls, summed up to each class */
  char *body_digests[16];    /* SHA-256 of the request body of each class */
};

struct call
{
  struct run *run;
  int class;
  double due_s;
  char key[48];
  SoupMessage *message;
  GCancellable *cancellable;
};

/* --- internal functions: targets --- */

static struct target *
find_target (struct run *run, const struct entry *entry)
{
  for (guint i = 0; i < run->targets->len; i++)
    if (((struct target *) g_ptr_array_index (run->targets, i))->entry == entry)
      return g_ptr_array_index (run->targets, i);
  struct target *target = g_new0 (struct target, 1);
  target->entry = entry;
  for (int i = 0; i < SESSIONS_PER_ENTRY; i++)
    target->sessions[i] = hf_soup_session_new (CONNECTIONS_PER_SESSION, RESPONSE_TIMEOUT_S);
  g_ptr_array_add (run->targets, target);
  return target;
}

static void
on_health_response (GObject *source, GAsyncResult *result, gpointer data)
{
  struct target *target = data;
  SoupMessage *message = soup_session_get_async_result_message (SOUP_SESSION (source), result);
  GBytes *body = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);
  target->check_pending = FALSE;
  target->healthy = body && soup_message_get_status (message) == 200;
  if (body)
    g_bytes_unref (body);
}

static gboolean
check_health (gpointer data)
{
  struct run *run = data;
  for (guint i = 0; i < run->load->harness->entries->len; i++)
    {
      struct target *target = find_target (run, g_ptr_array_index (run->load->harness->entries, i));
      if (target->check_pending)
        continue;
      target->check_pending = TRUE;
      SoupMessage *message = hf_soup_message_new ("GET", hf_str (target->entry->admin_address), "/healthz", NULL);
      soup_session_send_and_read_async (run->health_session, message, G_PRIORITY_DEFAULT, NULL, on_health_response,
                                        target);
      g_object_unref (message);
    }
  return G_SOURCE_CONTINUE;
}

static struct target *
pick_target (struct run *run)
{
  struct target *healthy[64];
  gulong n = 0;
  for (guint i = 0; i < run->targets->len && n < G_N_ELEMENTS (healthy); i++)
    {
      struct target *target = g_ptr_array_index (run->targets, i);
      if (target->healthy)
        healthy[n++] = target;
    }
  return n ? healthy[gsl_rng_uniform_int (run->rng, n)] : NULL;
}

/* --- internal functions: calls --- */

static double
elapsed_s (const struct run *run)
{
  return (double) (g_get_monotonic_time () - run->started_at) / G_USEC_PER_SEC;
}

static enum load_outcome
classify_response (const struct call *call, GBytes *body)
{
  SoupMessageHeaders *headers = soup_message_get_response_headers (call->message);
  guint status = soup_message_get_status (call->message);
  const char *outcome = soup_message_headers_get_one (headers, "Hickory-Outcome");
  const char *key = soup_message_headers_get_one (headers, "X-Test-Key");
  if (!body)
    return LOAD_BROKEN;
  if (outcome)
    return strcmp (outcome, "not-run") == 0 ? LOAD_NOT_RUN : LOAD_UNKNOWN;
  if (status != 200)
    return LOAD_FAILED;
  /* The response must belong to this call, and the server must have received the complete body. */
  const char *digest = soup_message_headers_get_one (headers, "X-Body-Digest");
  bool key_matches = key && strcmp (key, call->key) == 0;
  bool body_matches = digest && strcmp (digest, call->run->body_digests[call->class]) == 0;
  return key_matches && body_matches ? LOAD_SUCCEEDED : LOAD_BROKEN;
}

static void
record_outcome (struct call *call, enum load_outcome outcome)
{
  struct load *load = call->run->load;
  struct load_result *result = &load->results[call->class];
  const struct load_class *class = &load->scenario->classes[call->class];
  double latency = (elapsed_s (call->run) - call->due_s) * 1000;
  result->outcomes[outcome]++;
  g_hash_table_insert (load->outcome_by_key, g_strdup (call->key), GINT_TO_POINTER ((int) outcome + 1));
  if (outcome != LOAD_SUCCEEDED)
    return;
  g_array_append_val (result->latency_ms, latency);
  result->in_time += latency <= class->deadline_ms;
  struct load_sample sample = { call->due_s, latency, class->worth };
  g_array_append_val (load->samples, sample);
}

static void
quit_if_done (struct run *run)
{
  if (run->open_calls == 0 && run->next_arrival_s > run->load->duration_s)
    g_main_loop_quit (run->loop);
}

static void
on_response (GObject *source, GAsyncResult *result, gpointer data)
{
  struct call *call = data;
  struct run *run = call->run;
  GBytes *body = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);
  record_outcome (call, classify_response (call, body));
  if (body)
    g_bytes_unref (body);
  g_object_unref (call->message);
  g_free (call);
  run->open_calls--;
  quit_if_done (run);
}

static int
pick_class (struct run *run)
{
  double at = gsl_rng_uniform (run->rng);
  int i = 0;
  while (run->load->scenario->classes[i + 1].name && at > run->cumulative_shares[i])
    i++;
  return i;
}

static SoupMessage *
make_message (struct call *call, const struct target *target)
{
  const struct load_class *class = &call->run->load->scenario->classes[call->class];
  SoupMessage *message = hf_soup_message_new (class->method, hf_str (target->entry->listen_address), class->path, NULL);
  SoupMessageHeaders *headers = soup_message_get_request_headers (message);
  soup_message_headers_replace (headers, "X-Test-Key", call->key);
  if (call->run->load->use_idempotency_keys && !class->repeatable)
    soup_message_headers_replace (headers, "Idempotency-Key", call->key);
  /* libsoup opens a new connection for each of these; kept alive, they would accumulate. */
  if (!class->repeatable)
    soup_message_headers_replace (headers, "Connection", "close");
  if (class->body_bytes)
    {
      char *data = g_malloc0 (class->body_bytes);
      GBytes *body = g_bytes_new_take (data, class->body_bytes);
      soup_message_set_request_body_from_bytes (message, "application/octet-stream", body);
      g_bytes_unref (body);
    }
  return message;
}

static void
start_call (struct run *run, double due_s)
{
  struct target *target = pick_target (run);
  struct call *call = g_new0 (struct call, 1);
  call->run = run;
  call->class = pick_class (run);
  call->due_s = due_s;
  const char *mark = run->load->scenario->classes[call->class].repeatable ? "" : NON_REPEATABLE_MARK;
  g_snprintf (call->key, sizeof call->key, "%s%s-%u", run->load->test_key_prefix, mark, ++run->last_call_number);
  run->load->results[call->class].sent++;
  if (!target)
    {
      record_outcome (call, LOAD_NOT_RUN);
      g_free (call);
      return;
    }
  call->message = make_message (call, target);
  run->open_calls++;
  soup_session_send_and_read_async (
      target->sessions[target->next_session++ % MAX (1, SESSIONS_PER_ENTRY / run->targets->len)], call->message,
      G_PRIORITY_DEFAULT, NULL, on_response, call);
}

static void
run_second_callbacks (struct run *run)
{
  struct load *load = run->load;
  while (load->on_second && run->next_second <= elapsed_s (run) && run->next_second <= load->duration_s)
    load->on_second (load, run->next_second++, load->context);
}

static gboolean
start_due_calls (gpointer data)
{
  struct run *run = data;
  run_second_callbacks (run);
  while (run->next_arrival_s <= elapsed_s (run) && run->next_arrival_s <= run->load->duration_s)
    {
      start_call (run, run->next_arrival_s);
      run->next_arrival_s += gsl_ran_exponential (run->rng, 1.0 / run->load->calls_per_s);
    }
  quit_if_done (run);
  return G_SOURCE_CONTINUE;
}

/* --- internal functions: preparation --- */

/* Each service receives calls in proportion to its number of backend servers. */
static double *
make_cumulative_shares (const struct scenario *scenario)
{
  double *shares = g_new0 (double, 16);
  double sum = 0;
  for (int i = 0; scenario->classes[i].name; i++)
    for (const struct scenario_service *service = scenario->services; service->name; service++)
      if (g_str_equal (service->name, scenario->classes[i].service))
        {
          sum += scenario->classes[i].share * service->server_count / scenario_server_count (scenario);
          shares[i] = sum;
        }
  return shares;
}

static void
make_body_digests (struct run *run)
{
  const struct load_class *classes = run->load->scenario->classes;
  for (int i = 0; classes[i].name; i++)
    {
      guchar *body = g_malloc0 (classes[i].body_bytes + 1);
      run->body_digests[i] = g_compute_checksum_for_data (G_CHECKSUM_SHA256, body, classes[i].body_bytes);
      g_free (body);
    }
}

static void
free_target (gpointer data)
{
  struct target *target = data;
  for (int i = 0; i < SESSIONS_PER_ENTRY; i++)
    {
      soup_session_abort (target->sessions[i]);
      g_object_unref (target->sessions[i]);
    }
  g_free (target);
}

static gboolean
all_healthy (void *context)
{
  struct run *run = context;
  for (guint i = 0; i < run->targets->len; i++)
    if (!((struct target *) g_ptr_array_index (run->targets, i))->healthy)
      return FALSE;
  return run->targets->len > 0;
}

/* --- public functions --- */

void
load_init (struct load *load)
{
  for (gsize i = 0; i < G_N_ELEMENTS (load->results); i++)
    load->results[i].latency_ms = g_array_new (FALSE, FALSE, sizeof (double));
  load->outcome_by_key = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  load->samples = g_array_new (FALSE, FALSE, sizeof (struct load_sample));
}

void
load_close (struct load *load)
{
  for (gsize i = 0; i < G_N_ELEMENTS (load->results); i++)
    g_array_unref (load->results[i].latency_ms);
  g_hash_table_destroy (load->outcome_by_key);
  g_array_unref (load->samples);
}

int
load_compare_doubles (gconstpointer a, gconstpointer b)
{
  double left = *(const double *) a;
  double right = *(const double *) b;
  return left < right ? -1 : left > right;
}

void
load_run (struct load *load)
{
  struct run run = { .load = load, .loop = g_main_loop_new (NULL, FALSE) };
  run.rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (run.rng, (unsigned long) load->seed);
  run.targets = g_ptr_array_new_with_free_func (free_target);
  run.health_session = hf_soup_session_new (64, 2);
  run.cumulative_shares = make_cumulative_shares (load->scenario);
  make_body_digests (&run);
  check_health (&run);
  harness_wait_until (all_healthy, &run, 5);
  run.started_at = g_get_monotonic_time ();
  guint health_timer = g_timeout_add (HEALTH_CHECK_INTERVAL_MS, check_health, &run);
  guint arrival_timer = g_timeout_add (1, start_due_calls, &run);
  g_main_loop_run (run.loop);
  g_source_remove (arrival_timer);
  g_source_remove (health_timer);
  soup_session_abort (run.health_session);
  while (g_main_context_iteration (NULL, FALSE))
    ;
  g_object_unref (run.health_session);
  g_ptr_array_unref (run.targets);
  gsl_rng_free (run.rng);
  for (gsize i = 0; i < G_N_ELEMENTS (run.body_digests); i++)
    g_free (run.body_digests[i]);
  g_free (run.cumulative_shares);
  g_main_loop_unref (run.loop);
  for (gsize i = 0; i < G_N_ELEMENTS (load->results); i++)
    g_array_sort (load->results[i].latency_ms, load_compare_doubles);
}

double
load_percentile (const struct load_result *result, double quantile)
{
  if (result->latency_ms->len == 0)
    return 0;
  return gsl_stats_quantile_from_sorted_data ((const double *) result->latency_ms->data, 1, result->latency_ms->len,
                                              quantile);
}

/* latency comes first: load_compare_doubles() sorts by it. */
struct weighted_sample
{
  double latency;
  double worth;
};

double
load_weighted_percentile (const struct load *load, double quantile)
{
  GArray *all = g_array_new (FALSE, FALSE, sizeof (struct weighted_sample));
  double total = 0;
  double sum = 0;
  double latency = 0;
  for (int c = 0; load->scenario->classes[c].name; c++)
    for (guint i = 0; i < load->results[c].latency_ms->len; i++)
      {
        struct weighted_sample sample
            = { g_array_index (load->results[c].latency_ms, double, i), load->scenario->classes[c].worth };
        total += sample.worth;
        g_array_append_val (all, sample);
      }
  g_array_sort (all, load_compare_doubles);
  for (guint i = 0; i < all->len && sum < quantile * total; i++)
    {
      sum += g_array_index (all, struct weighted_sample, i).worth;
      latency = g_array_index (all, struct weighted_sample, i).latency;
    }
  g_array_unref (all);
  return latency;
}

double
load_in_time_share (const struct load *load)
{
  double in_time = 0;
  double all = 0;
  for (int c = 0; load->scenario->classes[c].name; c++)
    {
      in_time += load->scenario->classes[c].worth * load->results[c].in_time;
      all += load->scenario->classes[c].worth * load->results[c].sent;
    }
  return all > 0 ? in_time / all : 0;
}

guint
load_count_outcome (const struct load *load, enum load_outcome outcome)
{
  guint n = 0;
  for (int c = 0; load->scenario->classes[c].name; c++)
    n += load->results[c].outcomes[outcome];
  return n;
}

/* Number of runs by test key, as the fake backend servers report them. */
static GHashTable *
read_run_counts (struct harness *harness)
{
  GHashTable *runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < harness->backends->len; i++)
    {
      const struct backend *backend = g_ptr_array_index (harness->backends, i);
      char *text = harness_http_get (backend->control_address, "/runs", NULL);
      char **lines = g_strsplit (text ? text : "", "\n", -1);
      for (int l = 0; lines[l]; l++)
        {
          char *space = strchr (lines[l], ' ');
          if (!space)
            continue;
          *space = 0;
          int n = GPOINTER_TO_INT (g_hash_table_lookup (runs, lines[l])) + atoi (space + 1);
          g_hash_table_insert (runs, g_strdup (lines[l]), GINT_TO_POINTER (n));
        }
      g_strfreev (lines);
      g_free (text);
    }
  return runs;
}

struct load_check
load_verify (struct load *load)
{
  struct load_check check
      = { .succeeded = load_count_outcome (load, LOAD_SUCCEEDED), .broken = load_count_outcome (load, LOAD_BROKEN) };
  GHashTable *runs = read_run_counts (load->harness);
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iter, load->outcome_by_key);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      enum load_outcome outcome = (enum load_outcome) (GPOINTER_TO_INT (value) - 1);
      int run_count = GPOINTER_TO_INT (g_hash_table_lookup (runs, key));
      check.lost += (outcome == LOAD_SUCCEEDED && run_count == 0) || outcome == LOAD_UNKNOWN;
      check.duplicated += outcome == LOAD_NOT_RUN && run_count > 0;
      check.duplicated += run_count > 1 && strstr (key, NON_REPEATABLE_MARK) != NULL;
    }
  g_hash_table_destroy (runs);
  return check;
}

void
load_print (const struct load *load)
{
  printf ("%-20s %7s %9s %9s %9s %8s %8s %8s %6s %8s\n", "class", "count", "p50 ms", "p99 ms", "p99.9 ms", "not-run",
          "unknown", "failed", "cut", "in time");
  for (int c = 0; load->scenario->classes[c].name; c++)
    {
      const struct load_result *result = &load->results[c];
      printf ("%-20s %7u %9.2f %9.2f %9.2f %8u %8u %8u %6u %7.2f%%\n", load->scenario->classes[c].name, result->sent,
              load_percentile (result, 0.5), load_percentile (result, 0.99), load_percentile (result, 0.999),
              result->outcomes[LOAD_NOT_RUN], result->outcomes[LOAD_UNKNOWN], result->outcomes[LOAD_FAILED],
              result->outcomes[LOAD_BROKEN], result->sent ? 100.0 * result->in_time / result->sent : 0);
    }
}
