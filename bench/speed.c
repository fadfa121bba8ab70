/*
 * hf-speed: cost of one entry. Measures the latency that it adds to a call on
 * one connection and at half the load of one core, calls per second of a core,
 * the cost of claims, and memory. Direct calls and calls through the entry
 * alternate; each round subtracts the latency of its own direct calls.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <gsl/gsl_statistics_double.h>

#include "load.h"

/* --- constants --- */

#define CALLS_PER_ROUND     2000
#define ROUNDS              3
#define RESPONSE_BODY_BYTES 256  /* of a fake backend server */
#define OPEN_CONNECTIONS    1000 /* of callers, for the memory figure */
#define RUN_DURATION_S      5.0  /* of each run at a given rate */

/* --- scenarios --- */

static const struct scenario_service services[] = { { "a", "/a", 1 }, { 0 } };
static const struct load_class mixed_classes[] = { { "read", "a", "GET", "/a/1", 0.5, 1, 2000, TRUE, FALSE, 0 },
                                                   { "write", "a", "POST", "/a/1", 0.5, 1, 5000, FALSE, FALSE, 400 },
                                                   { 0 } };
static const struct load_class read_classes[] = { { "read", "a", "GET", "/a/1", 1.0, 1, 2000, TRUE, FALSE, 0 }, { 0 } };
static const struct load_class write_classes[]
    = { { "write", "a", "POST", "/a/1", 1.0, 1, 5000, FALSE, FALSE, 400 }, { 0 } };
static const struct scenario mixed_scenario = { .name = "all",
                                                .services = services,
                                                .classes = mixed_classes,
                                                .slots_per_server = 1000,
                                                .connections_per_server = 1000 };
static const struct scenario read_scenario = { .name = "reads",
                                               .services = services,
                                               .classes = read_classes,
                                               .slots_per_server = 1000,
                                               .connections_per_server = 1000 };
static const struct scenario write_scenario = { .name = "writes",
                                                .services = services,
                                                .classes = write_classes,
                                                .slots_per_server = 1000,
                                                .connections_per_server = 1000 };

/* --- internal functions --- */

static GSocketConnection *
open_connection (const char *address)
{
  GSocketClient *client = g_socket_client_new ();
  GSocketConnection *connection = g_socket_client_connect_to_host (client, address, 80, NULL, NULL);
  g_object_unref (client);
  return connection;
}

static void
send_call (GSocketConnection *connection)
{
  static const char request[] = "GET /a/1 HTTP/1.1\r\nHost: x\r\n\r\n";
  char response[4096];
  gsize received = 0;
  const char *body = NULL;
  g_output_stream_write_all (g_io_stream_get_output_stream (G_IO_STREAM (connection)), request, strlen (request), NULL,
                             NULL, NULL);
  while (!body || received < (gsize) (body - response) + RESPONSE_BODY_BYTES)
    {
      gssize n = g_input_stream_read (g_io_stream_get_input_stream (G_IO_STREAM (connection)), response + received,
                                      sizeof response - 1 - received, NULL, NULL);
      if (n <= 0)
        g_error ("the connection was closed before the response was complete, aborting");
      received += (gsize) n;
      response[received] = 0;
      body = strstr (response, "\r\n\r\n") ? strstr (response, "\r\n\r\n") + 4 : NULL;
    }
}

static void
measure_one_connection (const char *address, double *p50, double *p99)
{
  static double us[CALLS_PER_ROUND];
  GSocketConnection *connection = open_connection (address);
  for (int i = 0; i < CALLS_PER_ROUND; i++)
    {
      gint64 begin = g_get_monotonic_time ();
      send_call (connection);
      us[i] = (double) (g_get_monotonic_time () - begin);
    }
  qsort (us, CALLS_PER_ROUND, sizeof us[0], load_compare_doubles);
  *p50 = gsl_stats_quantile_from_sorted_data (us, 1, CALLS_PER_ROUND, 0.5);
  *p99 = gsl_stats_quantile_from_sorted_data (us, 1, CALLS_PER_ROUND, 0.99);
  g_object_unref (connection);
}

static double
read_proc (const struct entry *entry, const char *file, const char *label)
{
  char *path = g_strdup_printf ("/proc/%s/%s", g_subprocess_get_identifier (entry->process->subprocess), file);
  char *text = NULL;
  double value = 0;
  if (g_file_get_contents (path, &text, NULL, NULL) && label)
    value = g_ascii_strtod (strstr (text, label) + strlen (label), NULL);
  else if (text)
    {
      char **fields = g_strsplit (strrchr (text, ')') + 2, " ", -1);
      value = (g_ascii_strtod (fields[11], NULL) + g_ascii_strtod (fields[12], NULL)) / 100;
      g_strfreev (fields);
    }
  g_free (text);
  g_free (path);
  return value;
}

static double
read_resident_mb (const struct entry *entry)
{
  return read_proc (entry, "status", "VmRSS:") / 1024;
}

static void
measure_at_rate (struct harness *harness,
                 const struct scenario *scenario,
                 gboolean keys,
                 double rate,
                 double *p50,
                 double *p99)
{
  struct load load = { .harness = harness,
                       .scenario = scenario,
                       .calls_per_s = rate,
                       .duration_s = RUN_DURATION_S,
                       .seed = 1,
                       .use_idempotency_keys = keys,
                       .test_key_prefix = keys ? "key" : "s" };
  load_init (&load);
  load_run (&load);
  *p50 = load_percentile (&load.results[0], 0.5) * 1000;
  *p99 = load_percentile (&load.results[0], 0.99) * 1000;
  load_close (&load);
}

/* Sends the load to one target: an entry, or a backend server that is called directly in its place. */
static void
set_load_target (struct harness *harness, struct entry *entry)
{
  g_ptr_array_set_size (harness->entries, 0);
  g_ptr_array_add (harness->entries, entry);
}

/* Latency with and without an Idempotency-Key, and the platform writes that the claims cost. */
static void
measure_claims (struct harness *harness, double rate)
{
  double plain_p50, plain_p99, key_p50, key_p99;
  measure_at_rate (harness, &write_scenario, FALSE, rate, &plain_p50, &plain_p99);
  char *stats_before = harness_http_get (harness->platform_address, "/fake/stats", NULL);
  measure_at_rate (harness, &write_scenario, TRUE, rate, &key_p50, &key_p99);
  char *stats_after = harness_http_get (harness->platform_address, "/fake/stats", NULL);
  double platform_writes = g_ascii_strtod (strstr (stats_after, "writes ") + 7, NULL)
                           - g_ascii_strtod (strstr (stats_before, "writes ") + 7, NULL);
  printf (
      "claims at %.0f/s: without a key p50 %.1f p99 %.1f ms, with a key p50 %.1f p99 %.1f ms, %.0f platform writes/s\n",
      rate, plain_p50 / 1000, plain_p99 / 1000, key_p50 / 1000, key_p99 / 1000, platform_writes / RUN_DURATION_S);
  g_free (stats_after);
  g_free (stats_before);
}

int
main (int argc, char **argv)
{
  harness_parse_options (&argc, &argv,
                         "Measures what an entry costs: latency, calls per second of a core, platform writes, memory.");
  struct harness *harness = harness_open (argv[0]);
  setvbuf (stdout, NULL, _IOLBF, 0);
  struct backend *backend = harness_add_backend_constant (harness, 1, 1000, 0);
  struct entry *entry = harness_add_entry (harness, "d1");
  struct entry direct = { 0 };
  g_strlcpy (direct.listen_address, g_ptr_array_index (backend->server_addresses, 0), sizeof direct.listen_address);
  g_strlcpy (direct.admin_address, direct.listen_address, sizeof direct.admin_address);
  char *document
      = scenario_make_document (&mixed_scenario, backend->server_addresses, "grants", "    probe_budget: 0\n");
  if (!harness_apply_document (harness, document))
    return 1;
  double idle_mb = read_resident_mb (entry);
  double cpu_s_per_call = 0;
  for (int round = 0; round < ROUNDS; round++)
    {
      double direct_p50, direct_p99, entry_p50, entry_p99;
      measure_one_connection (direct.listen_address, &direct_p50, &direct_p99);
      double cpu_before_s = read_proc (entry, "stat", NULL);
      measure_one_connection (entry->listen_address, &entry_p50, &entry_p99);
      cpu_s_per_call = (read_proc (entry, "stat", NULL) - cpu_before_s) / CALLS_PER_ROUND;
      printf ("one connection: direct p50 %.0f p99 %.0f us, through an entry "
              "p50 %.0f p99 %.0f us, added p50 %.0f p99 %.0f us, processor "
              "%.0f us a call\n",
              direct_p50, direct_p99, entry_p50, entry_p99, entry_p50 - direct_p50, entry_p99 - direct_p99,
              cpu_s_per_call * 1e6);
    }
  double rate = 0.5 / cpu_s_per_call;
  printf ("calls a second of one core: %.0f\n", 1 / cpu_s_per_call);
  for (int round = 0; round < ROUNDS; round++)
    {
      double direct_p50, direct_p99, entry_p50, entry_p99;
      set_load_target (harness, &direct);
      measure_at_rate (harness, &read_scenario, FALSE, rate, &direct_p50, &direct_p99);
      set_load_target (harness, entry);
      measure_at_rate (harness, &read_scenario, FALSE, rate, &entry_p50, &entry_p99);
      printf ("half a core (%.0f calls/s): direct p50 %.0f p99 %.0f us, through an "
              "entry p50 %.0f p99 %.0f us, added p50 %.0f p99 %.0f us\n",
              rate, direct_p50, direct_p99, entry_p50, entry_p99, entry_p50 - direct_p50, entry_p99 - direct_p99);
    }
  measure_claims (harness, 20);
  measure_claims (harness, 100);
  measure_claims (harness, 400);
  GPtrArray *connections = g_ptr_array_new_with_free_func (g_object_unref);
  for (int i = 0; i < OPEN_CONNECTIONS; i++)
    {
      g_ptr_array_add (connections, open_connection (entry->listen_address));
      send_call (g_ptr_array_index (connections, connections->len - 1));
    }
  printf ("memory: %.1f MB idle, %.1f MB with %d open caller connections\n", idle_mb, read_resident_mb (entry),
          OPEN_CONNECTIONS);
  g_ptr_array_unref (connections);
  g_free (document);
  harness_close (harness);
  return 0;
}
