/*
 * Entries that watch the store for the others are killed, with the real
 * hickoryd: what was acknowledged shortly before is in force at the entry that
 * is left within the users' bounds.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform-setup.h"

#include "config.h"

/* --- constants --- */

#define WATCHERS       HF_WATCHERS_PER_DOMAIN
#define ROUNDS         4
#define SETTLE_MS      4500 /* until the larger entries have the roles */
#define PHASE_MS       130  /* from round to round, as the entries do much each 500 ms */
#define BEHIND_MS      20   /* from one change to the next, which the watchers ask for later */
#define KILL_AFTER_MS  730
#define BOUND_MS       2000 /* users' bound of a leaving server and of a configuration, the shortest */
#define REQUESTS_MS    1500 /* how long requests are sent after the bound */
#define REQUEST_GAP_MS 20
#define ADDRESS_BYTES  32

/* --- types --- */

struct fleet_of_three
{
  struct setup *setup;
  char addresses[WATCHERS + 1][ADDRESS_BYTES];
  GSubprocess *watchers[WATCHERS];
};

/* --- internal functions --- */

/* An address whose port is free. */
static void
find_address (char address[ADDRESS_BYTES])
{
  struct sockaddr_in any = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof any;
  int fd = socket (AF_INET, SOCK_DGRAM, 0);
  g_assert_cmpint (bind (fd, (struct sockaddr *) &any, len), ==, 0);
  g_assert_cmpint (getsockname (fd, (struct sockaddr *) &any, &len), ==, 0);
  g_snprintf (address, ADDRESS_BYTES, "127.0.0.1:%u", ntohs (any.sin_port));
  close (fd);
}

static void
start_watchers (struct fleet_of_three *fleet)
{
  static const char *const names[WATCHERS] = { "e2", "e3" };
  for (guint i = 0; i < WATCHERS; i++)
    fleet->watchers[i] = start_larger_entry (fleet->setup, names[i], fleet->addresses[i + 1]);
  harness_pause (SETTLE_MS);
}

static void
kill_watchers (struct fleet_of_three *fleet)
{
  for (guint i = 0; i < WATCHERS; i++)
    g_subprocess_force_exit (fleet->watchers[i]);
  for (guint i = 0; i < WATCHERS; i++)
    {
      g_subprocess_wait (fleet->watchers[i], NULL, NULL);
      g_object_unref (fleet->watchers[i]);
    }
}

static void
open_fleet_of_three (struct fleet_of_three *fleet)
{
  struct setup *setup = open_without_entry (DRAIN_WAIT_MS, GRACE_MS);
  fleet->setup = setup;
  for (guint i = 0; i <= WATCHERS; i++)
    find_address (fleet->addresses[i]);
  setup->peers = fleet->addresses[0];
  put_config (setup, 7, "\"service\":\"alpha\"", "/r/");
  for (guint i = 0; i < SERVERS; i++)
    put_server (setup, i, "alpha", "ready");
  start_entry (setup);
  g_assert_true (harness_wait_until (is_ready, setup, CHANGE_TIMEOUT_S));
  start_watchers (fleet);
}

/* A change_ function makes one change that is acknowledged just behind another one; a uses_ function tells whether the
 * entry that is left acts on the state before it. */
static void
change_server (struct setup *setup, guint round)
{
  put_server (setup, 1, "alpha", "draining");
  put_server (setup, 1, "alpha", "ready");
  harness_pause (BEHIND_MS);
  put_server (setup, 0, "alpha", "draining");
  (void) round;
}

static gboolean
uses_old_server (struct setup *setup)
{
  guint before = setup->servers[0].requests;
  g_assert_cmpuint (request_status (setup, "POST", "/w/x", "b"), ==, 200);
  return setup->servers[0].requests > before;
}

static void
change_config (struct setup *setup, guint round)
{
  put_config (setup, 8 + 3 * round, "\"service\":\"alpha\"", "/other/");
  harness_pause (BEHIND_MS);
  put_config (setup, 9 + 3 * round, "\"service\":\"alpha\"", "/new/");
}

static gboolean
uses_old_config (struct setup *setup)
{
  return request_status (setup, "GET", "/new/x", "") == 404;
}

struct change_case
{
  const char *path;
  void (*change) (struct setup *setup, guint round);
  gboolean (*is_late) (struct setup *setup);
};

static const struct change_case cases[] = { { "/watchers-killed/server", change_server, uses_old_server },
                                            { "/watchers-killed/config", change_config, uses_old_config } };

/* Guards against changes that the watchers have not asked for yet when they are killed. */
static void
test_change (gconstpointer data)
{
  const struct change_case *change_case = data;
  struct fleet_of_three fleet = { 0 };
  open_fleet_of_three (&fleet);
  guint late = 0;
  for (guint round = 0; round < ROUNDS; round++)
    {
      harness_pause (round * PHASE_MS);
      change_case->change (fleet.setup, round);
      harness_pause (KILL_AFTER_MS);
      kill_watchers (&fleet);
      harness_pause (BOUND_MS - KILL_AFTER_MS);
      for (guint ms = 0; ms < REQUESTS_MS; ms += REQUEST_GAP_MS)
        {
          late += change_case->is_late (fleet.setup);
          harness_pause (REQUEST_GAP_MS);
        }
      put_server (fleet.setup, 0, "alpha", "ready");
      put_config (fleet.setup, 10 + 3 * round, "\"service\":\"alpha\"", "/r/");
      start_watchers (&fleet);
    }
  g_test_message ("%u late requests", late);
  g_assert_cmpuint (late, ==, 0);
  kill_watchers (&fleet);
  close_setup (fleet.setup);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_set_prgname (argv[0]);
  g_test_set_nonfatal_assertions ();
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    g_test_add_data_func (cases[i].path, &cases[i], test_change);
  return g_test_run ();
}
