/*
 * hf-demo: three entries in two failure domains, fake backend servers and a
 * mixed load. One backend server drains and one entry shuts down under load;
 * exits with 1 if a call was lost, run twice or cut off.
 */
#include <signal.h>
#include <stdio.h>

#include "load.h"

/* --- constants --- */

#define CALLS_PER_S          300.0
#define DURATION_S           8.0
#define DRAIN_AFTER_S        2
#define SHUTDOWN_AFTER_S     4
#define MEAN_SERVICE_TIME_MS 20.0

/* --- internal functions --- */

static void
on_second (struct load *load, int second, void *context)
{
  struct harness *harness = load->harness;
  (void) context;
  if (second == DRAIN_AFTER_S)
    {
      const struct backend *backend = g_ptr_array_index (harness->backends, 0);
      printf ("demo: backend server history-1 drains\n");
      harness_send_control (backend->control_address, "/set?server=0&drain=1");
    }
  if (second == SHUTDOWN_AFTER_S)
    {
      const struct entry *entry = g_ptr_array_index (harness->entries, 2);
      printf ("demo: entry %s gets SIGTERM\n", entry->name);
      process_send_signal (entry->process, SIGTERM);
    }
}

static GPtrArray *
collect_servers (const struct harness *harness)
{
  GPtrArray *addresses = g_ptr_array_new ();
  for (guint b = 0; b < harness->backends->len; b++)
    {
      const struct backend *backend = g_ptr_array_index (harness->backends, b);
      for (guint i = 0; i < backend->server_addresses->len; i++)
        g_ptr_array_add (addresses, g_ptr_array_index (backend->server_addresses, i));
    }
  return addresses;
}

int
main (int argc, char **argv)
{
  struct harness *harness = harness_open (argv[0]);
  (void) argc;
  setvbuf (stdout, NULL, _IOLBF, 0);
  harness_add_backend (harness, 18, 3, MEAN_SERVICE_TIME_MS, 0.3, 1);
  harness_add_backend (harness, 17, 3, MEAN_SERVICE_TIME_MS, 0.3, 2);
  for (int i = 0; i < 3; i++)
    harness_add_entry (harness, i == 2 ? "d2" : "d1");
  GPtrArray *addresses = collect_servers (harness);
  char *document = scenario_make_document (&scenario_association, addresses, "grants", NULL);
  if (!harness_apply_document (harness, document))
    return 1;
  printf ("demo: the document is in force at 3 entries; %.0f calls/s for %.0f s\n", CALLS_PER_S, DURATION_S);
  struct load load = { .harness = harness,
                       .scenario = &scenario_association,
                       .calls_per_s = CALLS_PER_S,
                       .duration_s = DURATION_S,
                       .seed = 1,
                       .use_idempotency_keys = TRUE,
                       .test_key_prefix = "demo",
                       .on_second = on_second };
  load_init (&load);
  load_run (&load);
  load_print (&load);
  struct load_check check = load_verify (&load);
  printf ("demo: %u answered, %u lost, %u doubled, %u cut off\n", check.succeeded, check.lost, check.duplicated,
          check.broken);
  load_close (&load);
  g_ptr_array_unref (addresses);
  g_free (document);
  harness_close (harness);
  return check.lost || check.duplicated || check.broken;
}
