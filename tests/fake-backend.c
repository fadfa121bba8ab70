/*
 * Fake backend servers for tests and benchmarks: many in one process, each
 * with its own port, slots, service time and queue. Counts the requests that
 * were executed, so that tests can compare them with what callers received.
 *
 * Prints "control IP:PORT", then "server IP:PORT" for each server, then "ready".
 *
 * The request header X-Fake selects a failure or a special response:
 *   close        runs the request, then closes the connection without a response
 *   crash        closes all connections of the server, which is unreachable for
 *                CRASH_DOWNTIME_MS
 *   silent       runs the request and never responds
 *   short        sends half of the declared body, then closes the connection
 *   big=BYTES    sends a body of that size
 *   refuse       responds 503 with Backend-Outcome: not-run
 *   status=CODE  responds with that status
 *   work=MS      takes that service time, before the server's factors
 *   seen         returns the received method, target and header fields in X-Seen
 *
 * Requests to the control address:
 *   /set?server=I&NAME=VALUE  sets a switch of server I, or of all with "all":
 *     drain        refuses requests, responses and health checks report draining
 *     health_drain only the health check reports draining
 *     fail_fast    responds 500 without any service time
 *     status       status of every response, 0: 200
 *     silent       runs requests and never responds
 *     speed, slow  factors of the service time
 *     away_ms      closes every connection for that time
 *     cold_ms      service times are five times as long for that time
 *     queue        refuses requests beyond this many waiting, 0: no limit
 *     lie          load to report, -1: the true load
 *     crash        as X-Fake: crash
 *   /runs   "KEY COUNT" for every X-Test-Key that was run
 *   /stats  "ADDRESS runs N peak N probes N" for each server; resets the peaks
 */
#include <glib-unix.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <libsoup/soup.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "hf-soup.h"

/* --- constants --- */

#define CRASH_DOWNTIME_MS  500
#define CANCEL_POLL_MS     10
#define DEFAULT_BODY_BYTES 256

/* --- types --- */

struct job;

struct server
{
  struct backend *backend;
  SoupServer *http;
  char address[64];
  guint slots;
  guint busy;
  double time_factor; /* of the service time: switch speed */
  GQueue waiting;     /* struct job, waiting for a slot */
  GList *jobs;        /* every job, running or waiting */
  guint queue_limit;
  gboolean draining;
  gboolean health_draining;
  gboolean fail_fast;
  guint status; /* of every response, 0: 200 */
  gboolean silent;
  double slowdown_factor; /* of the service time: switch slow */
  gint64 unreachable_until;
  gint64 warmup_until;
  int reported_load; /* -1: the true load */
  guint runs;
  guint peak_load;
  guint probes;
};

/* A request that waits for a slot or runs. */
struct job
{
  struct server *server;
  SoupServerMessage *message;
  gboolean running;
  gboolean ended;
  guint timer;
};

/* The process with all its servers. */
struct backend
{
  GPtrArray *servers;
  GHashTable *runs; /* executions by X-Test-Key */
  gsl_rng *random;
  double mean_ms;
  gboolean constant;
};

/* --- internal functions: jobs --- */

static void start_next (struct server *server);

static void
drop_connection (SoupServerMessage *message)
{
  GSocket *socket = soup_server_message_get_socket (message);
  if (socket)
    shutdown (g_socket_get_fd (socket), SHUT_RDWR);
}

static void
end_job (struct job *job)
{
  struct server *server = job->server;
  if (job->ended)
    return;
  job->ended = TRUE;
  server->jobs = g_list_remove (server->jobs, job);
  g_queue_remove (&server->waiting, job);
  if (job->timer)
    g_source_remove (job->timer);
  if (job->running)
    server->busy--;
  g_signal_handlers_disconnect_by_data (job->message, job);
  soup_server_message_unpause (job->message);
  g_object_unref (job->message);
  g_free (job);
  start_next (server);
}

static const char *
requested_fault (SoupServerMessage *message)
{
  const char *fault = soup_message_headers_get_one (soup_server_message_get_request_headers (message), "X-Fake");
  return fault ? fault : "";
}

static void
add_hints (struct server *server, SoupServerMessage *message)
{
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (message);
  char load[16];
  g_snprintf (load, sizeof load, "%d",
              server->reported_load >= 0 ? server->reported_load
                                         : (int) (server->busy + g_queue_get_length (&server->waiting)));
  soup_message_headers_replace (headers, "Backend-Load", load);
  if (server->draining)
    soup_message_headers_replace (headers, "Backend-State", "draining");
}

static void
refuse (struct server *server, SoupServerMessage *message)
{
  add_hints (server, message);
  soup_message_headers_replace (soup_server_message_get_response_headers (message), "Backend-Outcome", "not-run");
  soup_server_message_set_status (message, 503, NULL);
}

/* Returns the received method, path, query and short header fields in the header X-Seen. */
static void
add_seen (SoupServerMessage *message)
{
  SoupMessageHeadersIter iter;
  const char *name;
  const char *value;
  GUri *uri = soup_server_message_get_uri (message);
  GString *seen = g_string_new (soup_server_message_get_method (message));
  g_string_append_printf (seen, " %s?%s", g_uri_get_path (uri), g_uri_get_query (uri) ? g_uri_get_query (uri) : "");
  soup_message_headers_iter_init (&iter, soup_server_message_get_request_headers (message));
  while (soup_message_headers_iter_next (&iter, &name, &value))
    if (strlen (value) < 64)
      g_string_append_printf (seen, " %s=%s", name, value);
  soup_message_headers_replace (soup_server_message_get_response_headers (message), "X-Seen", seen->str);
  g_string_free (seen, TRUE);
}

static void
write_response (struct job *job)
{
  SoupServerMessage *message = job->message;
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (message);
  SoupMessageBody *request = soup_server_message_get_request_body (message);
  const char *key = soup_message_headers_get_one (soup_server_message_get_request_headers (message), "X-Test-Key");
  const char *fault = requested_fault (message);
  gsize size = g_str_has_prefix (fault, "big=") ? (gsize) atol (fault + 4) : DEFAULT_BODY_BYTES;
  guint status = g_str_has_prefix (fault, "status=") ? (guint) atoi (fault + 7) : 200;
  char *body = g_malloc (size + 1);
  char *digest
      = g_compute_checksum_for_data (G_CHECKSUM_SHA256, (const guchar *) request->data, (gsize) request->length);
  memset (body, 'a', size);
  add_hints (job->server, message);
  soup_message_headers_replace (headers, "X-Body-Digest", digest);
  if (key)
    soup_message_headers_replace (headers, "X-Test-Key", key);
  if (strcmp (fault, "seen") == 0)
    add_seen (message);
  soup_server_message_set_status (message,
                                  job->server->fail_fast ? 500
                                  : job->server->status  ? job->server->status
                                                         : status,
                                  NULL);
  if (strcmp (fault, "short") == 0)
    {
      soup_message_headers_set_content_length (headers, (goffset) size);
      soup_message_body_append (soup_server_message_get_response_body (message), SOUP_MEMORY_COPY, body, size / 2);
    }
  else
    soup_server_message_set_response (message, "application/octet-stream", SOUP_MEMORY_COPY, body, size);
  g_free (body);
  g_free (digest);
}

static void
on_half_written (SoupServerMessage *message, gpointer data)
{
  (void) data;
  drop_connection (message);
}

static gboolean
finish_job (gpointer data)
{
  struct job *job = data;
  const char *fault = requested_fault (job->message);
  job->timer = 0;
  if (strcmp (fault, "close") == 0)
    drop_connection (job->message);
  else
    write_response (job);
  if (strcmp (fault, "short") == 0)
    g_signal_connect (job->message, "wrote-chunk", G_CALLBACK (on_half_written), NULL);
  end_job (job);
  return G_SOURCE_REMOVE;
}

static void
crash (struct server *server)
{
  server->unreachable_until = g_get_monotonic_time () + CRASH_DOWNTIME_MS * 1000;
  GList *jobs = g_list_copy (server->jobs);
  for (GList *each = jobs; each; each = each->next)
    drop_connection (((struct job *) each->data)->message);
  for (GList *each = jobs; each; each = each->next)
    if (g_list_find (server->jobs, each->data))
      end_job (each->data);
  g_list_free (jobs);
}

static void
count_run (struct server *server, SoupServerMessage *message)
{
  const char *key = soup_message_headers_get_one (soup_server_message_get_request_headers (message), "X-Test-Key");
  server->runs++;
  if (!key)
    return;
  guint n = GPOINTER_TO_UINT (g_hash_table_lookup (server->backend->runs, key));
  g_hash_table_insert (server->backend->runs, g_strdup (key), GUINT_TO_POINTER (n + 1));
}

static double
service_ms (struct server *server, const char *fault)
{
  struct backend *backend = server->backend;
  double mean_ms = g_str_has_prefix (fault, "work=") ? atof (fault + 5) : backend->mean_ms;
  double work_ms = backend->constant || g_str_has_prefix (fault, "work=")
                       ? mean_ms
                       : gsl_ran_exponential (backend->random, mean_ms);
  double warmup_factor = g_get_monotonic_time () < server->warmup_until ? 5.0 : 1.0;
  return work_ms * server->time_factor * server->slowdown_factor * warmup_factor;
}

static void
run_job (struct job *job)
{
  struct server *server = job->server;
  const char *fault = requested_fault (job->message);
  job->running = TRUE;
  server->busy++;
  count_run (server, job->message);
  if (strcmp (fault, "crash") == 0)
    {
      crash (server);
      return;
    }
  if (strcmp (fault, "silent") == 0 || server->silent)
    return;
  double ms = server->fail_fast ? 0 : service_ms (server, fault);
  job->timer = g_timeout_add ((guint) lround (ms), finish_job, job);
}

static void
start_next (struct server *server)
{
  while (server->busy < server->slots && !g_queue_is_empty (&server->waiting))
    run_job (g_queue_pop_head (&server->waiting));
}

static void
on_message_finished (SoupServerMessage *message, gpointer data)
{
  (void) message;
  end_job (data);
}

/* --- internal functions: requests --- */

static void
queue_request (struct server *server, SoupServerMessage *message)
{
  struct job *job = g_new0 (struct job, 1);
  job->server = server;
  job->message = g_object_ref (message);
  server->jobs = g_list_prepend (server->jobs, job);
  g_signal_connect (message, "finished", G_CALLBACK (on_message_finished), job);
  soup_server_message_pause (message);
  g_queue_push_tail (&server->waiting, job);
  server->peak_load = MAX (server->peak_load, server->busy + g_queue_get_length (&server->waiting));
  start_next (server);
}

static void
handle_request (SoupServer *http, SoupServerMessage *message, const char *path, GHashTable *query, gpointer data)
{
  struct server *server = data;
  (void) http;
  (void) query;
  if (g_get_monotonic_time () < server->unreachable_until)
    {
      drop_connection (message);
      return;
    }
  if (strcmp (path, "/health") == 0)
    {
      server->probes++;
      add_hints (server, message);
      if (server->health_draining)
        soup_message_headers_replace (soup_server_message_get_response_headers (message), "Backend-State", "draining");
      soup_server_message_set_status (message, server->draining || server->health_draining ? 503 : 200, NULL);
      return;
    }
  gboolean full = server->queue_limit && g_queue_get_length (&server->waiting) >= server->queue_limit;
  if (server->draining || full || strcmp (requested_fault (message), "refuse") == 0)
    {
      refuse (server, message);
      return;
    }
  queue_request (server, message);
}

/* Cancels the jobs whose peer has closed the connection. */
static gboolean
cancel_abandoned_jobs (gpointer data)
{
  struct backend *backend = data;
  for (guint i = 0; i < backend->servers->len; i++)
    {
      struct server *server = g_ptr_array_index (backend->servers, i);
      GList *jobs = g_list_copy (server->jobs);
      for (GList *each = jobs; each; each = each->next)
        {
          struct job *job = each->data;
          char byte;
          if (!g_list_find (server->jobs, job))
            continue;
          GSocket *socket = soup_server_message_get_socket (job->message);
          if (!socket || recv (g_socket_get_fd (socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0)
            end_job (job);
        }
      g_list_free (jobs);
    }
  return G_SOURCE_CONTINUE;
}

/* --- internal functions: control requests --- */

static void
set_switch (struct server *server, const char *name, const char *value)
{
  gint64 until = g_get_monotonic_time () + atoll (value) * 1000;
  if (strcmp (name, "drain") == 0)
    server->draining = atoi (value);
  else if (strcmp (name, "health_drain") == 0)
    server->health_draining = atoi (value);
  else if (strcmp (name, "fail_fast") == 0)
    server->fail_fast = atoi (value);
  else if (strcmp (name, "status") == 0)
    server->status = (guint) atoi (value);
  else if (strcmp (name, "silent") == 0)
    server->silent = atoi (value);
  else if (strcmp (name, "speed") == 0)
    server->time_factor = atof (value);
  else if (strcmp (name, "slow") == 0)
    server->slowdown_factor = atof (value);
  else if (strcmp (name, "away_ms") == 0)
    server->unreachable_until = until;
  else if (strcmp (name, "cold_ms") == 0)
    server->warmup_until = until;
  else if (strcmp (name, "queue") == 0)
    server->queue_limit = (guint) atoi (value);
  else if (strcmp (name, "lie") == 0)
    server->reported_load = atoi (value);
  else if (strcmp (name, "crash") == 0)
    crash (server);
}

static void
list_runs (struct backend *backend, GString *text)
{
  GHashTableIter iter;
  gpointer key;
  gpointer count;
  g_hash_table_iter_init (&iter, backend->runs);
  while (g_hash_table_iter_next (&iter, &key, &count))
    g_string_append_printf (text, "%s %u\n", (char *) key, GPOINTER_TO_UINT (count));
}

static void
list_stats (struct backend *backend, GString *text)
{
  for (guint i = 0; i < backend->servers->len; i++)
    {
      struct server *server = g_ptr_array_index (backend->servers, i);
      g_string_append_printf (text, "%s runs %u peak %u probes %u\n", server->address, server->runs, server->peak_load,
                              server->probes);
      server->peak_load = 0;
    }
}

static void
handle_control (SoupServer *http, SoupServerMessage *message, const char *path, GHashTable *query, gpointer data)
{
  struct backend *backend = data;
  GString *text = g_string_new (NULL);
  const char *which = query ? g_hash_table_lookup (query, "server") : NULL;
  (void) http;
  if (strcmp (path, "/runs") == 0)
    list_runs (backend, text);
  else if (strcmp (path, "/stats") == 0)
    list_stats (backend, text);
  else if (query && which)
    for (guint i = 0; i < backend->servers->len; i++)
      {
        GHashTableIter iter;
        gpointer name;
        gpointer value;
        if (strcmp (which, "all") != 0 && (guint) atoi (which) != i)
          continue;
        g_hash_table_iter_init (&iter, query);
        while (g_hash_table_iter_next (&iter, &name, &value))
          set_switch (g_ptr_array_index (backend->servers, i), name, value);
      }
  soup_server_message_set_status (message, 200, NULL);
  gsize size = text->len;
  soup_server_message_set_response (message, "text/plain", SOUP_MEMORY_TAKE, g_string_free (text, FALSE), size);
}

static gboolean
add_server (struct backend *backend, int slots, double speed)
{
  struct server *server = g_new0 (struct server, 1);
  struct hf_error error = { 0 };
  server->backend = backend;
  server->slots = (guint) slots;
  server->time_factor = speed;
  server->slowdown_factor = 1.0;
  server->reported_load = -1;
  g_queue_init (&server->waiting);
  server->http = soup_server_new ("raw-paths", TRUE, NULL);
  soup_server_add_handler (server->http, NULL, handle_request, server, NULL);
  g_ptr_array_add (backend->servers, server);
  if (hf_soup_server_listen (server->http, hf_str ("127.0.0.1:0"), server->address, sizeof server->address, &error))
    return TRUE;
  fprintf (stderr, "fake-backend: %s\n", error.message);
  return FALSE;
}

int
main (int argc, char **argv)
{
  int servers = 1;
  int slots = 3;
  int seed = 1;
  double mean_ms = 20;
  double spread = 0;
  gboolean constant = FALSE;
  const GOptionEntry options[] = {
    { "servers", 0, 0, G_OPTION_ARG_INT, &servers, "How many servers", "N" },
    { "slots", 0, 0, G_OPTION_ARG_INT, &slots, "Slots of each", "N" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed of the service times", "N" },
    { "mean-ms", 0, 0, G_OPTION_ARG_DOUBLE, &mean_ms, "Mean service time", "MS" },
    { "spread", 0, 0, G_OPTION_ARG_DOUBLE, &spread, "Speeds differ by this share up and down", "X" },
    { "constant", 0, 0, G_OPTION_ARG_NONE, &constant, "Constant service times", NULL },
    { 0 },
  };
  GOptionContext *context = g_option_context_new (NULL);
  struct backend backend = { .servers = g_ptr_array_new () };
  struct hf_error error = { 0 };
  char address[64];
  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, NULL))
    return 2;
  backend.runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  backend.random = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (backend.random, (unsigned long) seed);
  backend.mean_ms = mean_ms;
  backend.constant = constant;
  SoupServer *http = soup_server_new (NULL, NULL);
  soup_server_add_handler (http, NULL, handle_control, &backend, NULL);
  if (!hf_soup_server_listen (http, hf_str ("127.0.0.1:0"), address, sizeof address, &error))
    return 1;
  printf ("control %s\n", address);
  for (int i = 0; i < servers; i++)
    {
      /* Evenly spaced factors around 1, so that the mean service time stays the same. */
      double speed = servers > 1 ? 1.0 + spread * (2.0 * i / (servers - 1) - 1.0) : 1.0;
      if (!add_server (&backend, slots, speed))
        return 1;
      printf ("server %s\n", ((struct server *) g_ptr_array_index (backend.servers, i))->address);
    }
  printf ("ready\n");
  fflush (stdout);
  g_timeout_add (CANCEL_POLL_MS, cancel_abandoned_jobs, &backend);
  GMainLoop *loop = g_main_loop_new (NULL, FALSE);
  g_unix_signal_add (SIGTERM, (GSourceFunc) (void (*) (void)) g_main_loop_quit, loop);
  g_main_loop_run (loop);
  return 0;
}
