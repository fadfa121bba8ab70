/*
 * Tests of the evacuation of a failure domain, and of cold backend servers, with
 * the real hickoryd, a fake store, and a backend server in each of two failure
 * domains.
 */
#include "platform-setup.h"

/* --- constants --- */

#define EVACUATED     "z2"
#define EVACUATED_I   1    /* index of the server there */
#define SPREAD_MS     500  /* until the order is in force at the entry that watches the store; the bound is 5 s */
#define RELISTED_MS   1000 /* the same, from a list after a failure of the store */
#define GROUP         6    /* requests at a time */
#define REQUESTS      24
#define USED_ATTEMPTS 60
#define COLD_GROUPS   12
#define COLD_LIMIT    17 /* of the rule: requests in a second */

/* --- internal functions --- */

static struct setup *
open_two_domains (const char *settings)
{
  struct setup *setup = open_without_entry (DRAIN_WAIT_MS, GRACE_MS);
  setup->extra_settings = settings;
  setup->servers[EVACUATED_I].failure_domain = EVACUATED;
  put_config (setup, 7, "\"service\":\"alpha\"", "/r/");
  for (guint i = 0; i < SERVERS; i++)
    put_server (setup, i, "alpha", "ready");
  start_entry (setup);
  g_assert_true (harness_wait_until (is_ready, setup, CHANGE_TIMEOUT_S));
  return setup;
}

/* Sends requests in groups, more at a time than the other server has slots. Returns how many reached the server of
 * the evacuated domain. */
static guint
count_sent_there (struct setup *setup, guint requests)
{
  guint before = setup->servers[EVACUATED_I].requests;
  for (guint n = 0; n < requests; n += GROUP)
    {
      struct raw_client *clients[GROUP];
      for (guint i = 0; i < GROUP; i++)
        {
          char *text = format_request (setup, "GET", "/r/x", "");
          clients[i] = raw_client_connect (setup->net, setup->caller_address, text);
          g_free (text);
        }
      for (guint i = 0; i < GROUP; i++)
        {
          g_assert_true (harness_wait_until (has_response, clients[i], CHANGE_TIMEOUT_S));
          g_assert_cmpuint (raw_client_status (clients[i]), ==, 200);
          raw_client_close (clients[i]);
        }
    }
  return setup->servers[EVACUATED_I].requests - before;
}

static void
check_used (struct setup *setup)
{
  guint sent = 0;
  for (guint n = 0; n < USED_ATTEMPTS && sent == 0; n++)
    sent = count_sent_there (setup, REQUESTS);
  g_assert_cmpuint (sent, >, 0);
}

static void
check_evacuated (struct setup *setup)
{
  g_assert_cmpuint (count_sent_there (setup, REQUESTS), ==, 0);
}

/* --- tests --- */

/* A failure domain gets no requests while the order stands, and is used again after it was removed. */
static void
test_order (void)
{
  struct setup *setup = open_two_domains ("evacuate: 5s\n");
  check_used (setup);
  fake_store_put (setup->store, "evacuations", EVACUATED, "{}");
  harness_pause (SPREAD_MS);
  check_evacuated (setup);
  fake_store_delete (setup->store, "evacuations", EVACUATED);
  harness_pause (SPREAD_MS);
  check_used (setup);
  close_setup (setup);
}

/* An order that is being deleted may stay listed for as long as something holds a finalizer of it: it must not keep the
 * domain out of use. */
static void
test_deleting (void)
{
  struct setup *setup = open_two_domains ("evacuate: 5s\n");
  fake_store_put (setup->store, "evacuations", EVACUATED, "{}");
  harness_pause (SPREAD_MS);
  check_evacuated (setup);
  fake_store_mark_deleting (setup->store, "evacuations", EVACUATED);
  harness_pause (SPREAD_MS);
  check_used (setup);
  close_setup (setup);
}

/* A server that is listed, or starts again, during the evacuation must get none either: its drain sources begin anew.
 */
static void
test_listed_later (void)
{
  struct setup *setup = open_two_domains ("evacuate: 5s\n");
  fake_store_put (setup->store, "evacuations", EVACUATED, "{}");
  harness_pause (SPREAD_MS);
  setup->servers[EVACUATED_I].started_at = 1000;
  put_server (setup, EVACUATED_I, "alpha", "ready");
  harness_pause (DIRECTORY_UPDATE_MS);
  check_evacuated (setup);
  close_setup (setup);
}

/* An entry that starts during the evacuation must know the order before it serves the first request. */
static void
test_start (void)
{
  struct setup *setup = open_two_domains ("evacuate: 5s\n");
  fake_store_put (setup->store, "evacuations", EVACUATED, "{}");
  kill_entry (setup);
  start_entry (setup);
  g_assert_true (harness_wait_until (is_ready, setup, CHANGE_TIMEOUT_S));
  check_evacuated (setup);
  close_setup (setup);
}

/* While the store responds to nothing the last known order stays in force, and its end is noticed afterwards. */
static void
test_store_down (void)
{
  struct setup *setup = open_two_domains ("evacuate: 5s\n");
  fake_store_put (setup->store, "evacuations", EVACUATED, "{}");
  harness_pause (SPREAD_MS);
  fake_store_set_error (setup->store, 503);
  harness_pause (SPREAD_MS);
  check_evacuated (setup);
  fake_store_delete (setup->store, "evacuations", EVACUATED);
  fake_store_compact (setup->store);
  fake_store_set_error (setup->store, 0);
  harness_pause (2 * RELISTED_MS);
  check_used (setup);
  close_setup (setup);
}

/* The store comes back from a copy without the order, and gives out its revisions again: the entry must not keep the
 * order because it had a higher revision. */
static void
test_restored (void)
{
  struct setup *setup = open_two_domains ("evacuate: 5s\n");
  fake_store_save (setup->store);
  fake_store_put (setup->store, "config", "other", "{}");
  fake_store_put (setup->store, "evacuations", EVACUATED, "{}");
  harness_pause (SPREAD_MS);
  check_evacuated (setup);
  fake_store_restore (setup->store);
  harness_pause (2 * RELISTED_MS);
  check_used (setup);
  close_setup (setup);
}

/* A store that does not list the orders must not keep an entry out of use for ever. */
static void
test_refused_kind (void)
{
  struct setup *setup = open_without_entry (DRAIN_WAIT_MS, GRACE_MS);
  setup->extra_settings = "evacuate: 5s\n";
  fake_store_refuse_kind (setup->store, "evacuations");
  put_config (setup, 7, "\"service\":\"alpha\"", "/r/");
  put_server (setup, 0, "alpha", "ready");
  start_entry (setup);
  g_assert_true (harness_wait_until (is_ready, setup, 3 * CHANGE_TIMEOUT_S));
  g_assert_cmpuint (request_status (setup, "GET", "/r/x", ""), ==, 200);
  close_setup (setup);
}

/* Where the settings name no bound, orders have no effect and cost no call. */
static void
test_off (void)
{
  struct setup *setup = open_two_domains (NULL);
  fake_store_put (setup->store, "evacuations", EVACUATED, "{}");
  harness_pause (SPREAD_MS);
  check_used (setup);
  close_setup (setup);
}

/* --- tests: cold servers --- */

/* Sends groups of requests as fast as they are answered. Returns how many were answered with 200. */
static guint
send_groups (struct setup *setup, guint groups)
{
  guint answered = 0;
  for (guint n = 0; n < groups; n++)
    {
      struct raw_client *clients[GROUP];
      for (guint i = 0; i < GROUP; i++)
        {
          char *text = format_request (setup, "GET", "/r/x", "");
          clients[i] = raw_client_connect (setup->net, setup->caller_address, text);
          g_free (text);
        }
      for (guint i = 0; i < GROUP; i++)
        {
          g_assert_true (harness_wait_until (has_response, clients[i], CHANGE_TIMEOUT_S));
          answered += raw_client_status (clients[i]) == 200;
          raw_client_close (clients[i]);
        }
    }
  return answered;
}

static void
set_health_fields (struct setup *setup, const char *fields)
{
  for (guint i = 0; i < SERVERS; i++)
    setup->servers[i].health_fields = fields;
}

/* Servers say in their health responses that they are cold: each gets no more than its limit, for however long the
 * requests took, and some. Once they say that they are not, they get all. */
static void
test_cold (void)
{
  struct setup *setup = open_without_entry (DRAIN_WAIT_MS, GRACE_MS);
  setup->extra_settings = "cold_overshoot: 1.5\ncold_slack: 8\n";
  setup->cold_fields = ",\"cold_per_s\":6.4,\"cold_start\":\"60s\"";
  set_health_fields (setup, "X-Cold-Ms: 60000\r\n");
  put_config (setup, 7, "\"service\":\"alpha\"", "/r/");
  for (guint i = 0; i < SERVERS; i++)
    {
      setup->servers[i].cold_left = "\"cold_left\":\"60s\"";
      put_server (setup, i, "alpha", "ready");
    }
  start_entry (setup);
  g_assert_true (harness_wait_until (is_ready, setup, CHANGE_TIMEOUT_S));
  gint64 begin = g_get_monotonic_time ();
  guint answered = send_groups (setup, COLD_GROUPS);
  guint seconds = (guint) ((g_get_monotonic_time () - begin) / G_USEC_PER_SEC) + 1;
  g_assert_cmpuint (answered, >, 0);
  for (guint i = 0; i < SERVERS; i++)
    g_assert_cmpuint (setup->servers[i].requests, <=, seconds * COLD_LIMIT);
  set_health_fields (setup, "X-Cold-Ms: 0\r\n");
  harness_pause (SPREAD_MS);
  send_groups (setup, 1); /* those in the queue ask for measurements, which tell */
  g_assert_cmpuint (send_groups (setup, COLD_GROUPS), ==, COLD_GROUPS * GROUP);
  close_setup (setup);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  g_test_add_func ("/evacuation/order", test_order);
  g_test_add_func ("/evacuation/deleting", test_deleting);
  g_test_add_func ("/evacuation/listed-later", test_listed_later);
  g_test_add_func ("/evacuation/start", test_start);
  g_test_add_func ("/evacuation/store-down", test_store_down);
  g_test_add_func ("/evacuation/restored", test_restored);
  g_test_add_func ("/evacuation/refused-kind", test_refused_kind);
  g_test_add_func ("/evacuation/off", test_off);
  g_test_add_func ("/cold/health-response", test_cold);
  return g_test_run ();
}
