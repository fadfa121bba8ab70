/*
 * Tests of the real hickoryd with backend servers that send copies of their
 * refusals, where the response to a later request under the same id is due.
 */
#include <string.h>

#include "platform-setup.h"

/* --- constants --- */

#define WRITE_ATTEMPTS_MAX 2  /* of a write, as in the configuration of the setup */
#define ARRIVALS_MAX       5  /* under one id; an arrival may be refused by the entry itself */
#define CALLS              40 /* in some of them attempts meet the connections of earlier ones */
#define STARTS             6  /* of a server under a new name */
#define CALLS_OF_START     10 /* some go to the former name; an entry that may not retry refuses them */

/* --- internal functions --- */

/* Only server 0 is left. */
static struct setup *
open_with_one_server (void)
{
  struct setup *setup = open_setup ();
  put_server (setup, 1, "alpha", "draining");
  harness_pause (DIRECTORY_UPDATE_MS);
  set_behaviour (setup, REPEATS_REFUSALS);
  return setup;
}

/* A status that promises "not run" must not come for what the server has run, and a success only for that. */
static guint
send_write (struct setup *setup, const char *request, const char *id)
{
  const struct backend_server *server = &setup->servers[0];
  struct raw_client *client = send_text (setup, setup->caller_address, request);
  guint status = raw_client_status (client);
  gboolean run = g_hash_table_contains (server->runs, id);
  g_test_message ("%s: %u, %s", id, status, run ? "run" : "not run");
  g_assert_true (status == 200 || status == 503);
  g_assert_cmpint (run, ==, status == 200);
  raw_client_close (client);
  return status;
}

/* Sends a write under a new id, and once more under that id after each 503; the last status. */
static guint
send_until_run (struct setup *setup, guint arrivals_max)
{
  char *request = format_request (setup, "POST", "/w/x", "b");
  char *id = header_value (request, "X-Attempt-Id");
  guint status = 503;
  for (guint i = 0; i < arrivals_max && status == 503; i++)
    status = send_write (setup, request, id);
  g_free (id);
  g_free (request);
  return status;
}

/* --- tests --- */

/* Guards against a copy of a refusal that is taken for the response to the same caller's next arrival under its id. */
static void
test_caller_returns (void)
{
  struct setup *setup = open_with_one_server ();
  for (guint i = 0; i < CALLS; i++)
    {
      setup->servers[0].refusals_left = WRITE_ATTEMPTS_MAX;
      g_assert_cmpuint (send_until_run (setup, ARRIVALS_MAX), ==, 200);
    }
  g_assert_cmpuint (setup->servers[0].refusals->len, >=, CALLS);
  close_setup (setup);
}

/* Server 0 has started again at its address as i-new, and the directory still lists its former name. */
static void
check_two_names (guint *refusals, guint *runs)
{
  struct setup *setup = open_with_one_server ();
  char *report = make_report (setup, 0, "alpha", "ready");
  fake_store_put (setup->store, "servers", "i-new", report);
  setup->servers[0].instance = "i-new";
  harness_pause (DIRECTORY_UPDATE_MS);
  for (guint i = 0; i < CALLS_OF_START; i++)
    send_until_run (setup, 1);
  *refusals += setup->servers[0].refusals->len;
  *runs += g_hash_table_size (setup->servers[0].runs);
  g_free (report);
  close_setup (setup);
}

/* Guards against a copy of a 421 that is taken for the response of the server's new name. */
static void
test_two_names (void)
{
  guint refusals = 0;
  guint runs = 0;
  for (guint i = 0; i < STARTS; i++)
    check_two_names (&refusals, &runs);
  g_test_message ("%u refusals, %u runs", refusals, runs);
  g_assert_cmpuint (refusals, >=, STARTS);
  g_assert_cmpuint (runs, >=, STARTS * CALLS_OF_START / 2);
}

/* Guards against a copy of a refusal where requests have no id, so that no response tells whose it is. */
static void
test_no_id (void)
{
  struct setup *setup = open_with_one_server ();
  const char *request = "POST /w/x HTTP/1.1\r\nHost: h.example\r\nX-Deadline-Ms: 2000\r\nContent-Length: 1\r\n\r\nb";
  for (guint i = 0; i < CALLS; i++)
    {
      setup->servers[0].refusals_left = i % 3 == 0 ? WRITE_ATTEMPTS_MAX : 0;
      g_hash_table_remove_all (setup->servers[0].runs);
      send_write (setup, request, "");
    }
  g_assert_cmpuint (setup->servers[0].refusals->len, >, 0);
  close_setup (setup);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/copies/caller-returns", test_caller_returns);
  g_test_add_func ("/copies/two-names", test_two_names);
  g_test_add_func ("/copies/no-id", test_no_id);
  return g_test_run ();
}
