/*
 * Tests of the process hickoryd itself: how it starts and ends, and what it does
 * when its surroundings are not as they should be.
 */
#include <gio/gio.h>
#include <signal.h>
#include <string.h>

#include "platform-setup.h"

#include "config.h"

/* --- constants --- */

#define SHORT_GRACE_MS     700
#define EXIT_CODE_ADDRESS  4
#define WAIT_TIMEOUT_S     10
#define KILLED_CONNECTIONS 20
#define HELD_MS            300 /* until the process that finds its address in use has begun to wait */

/* --- internal functions: processes --- */

static char *
settings_file (const struct setup *setup)
{
  return g_build_filename (setup->folder, "settings.yaml", NULL);
}

static void
write_settings (const struct setup *setup, const char *settings)
{
  char *file = settings_file (setup);
  g_assert_true (g_file_set_contents (file, settings, -1, NULL));
  g_free (file);
}

/* Starts another process with the settings in the file, and does not wait until it listens. */
static GSubprocess *
spawn (const struct setup *setup, GSpawnChildSetupFunc child_setup)
{
  char *build = g_path_get_dirname (g_get_prgname ());
  char *program = g_build_filename (build, "hickoryd", NULL);
  char *file = settings_file (setup);
  GSubprocessLauncher *launcher = g_subprocess_launcher_new (G_SUBPROCESS_FLAGS_STDOUT_PIPE);
  g_subprocess_launcher_set_child_setup (launcher, child_setup, NULL, NULL);
  GSubprocess *process = g_subprocess_launcher_spawn (launcher, NULL, program, file, NULL);
  g_assert_nonnull (process);
  g_object_unref (launcher);
  g_free (file);
  g_free (program);
  g_free (build);
  return process;
}

/* Value of a member of the entry's log line with this name; the caller frees it. */
static char *
logged_value (const struct setup *setup, const char *name, const char *member)
{
  char *line_text = g_strdup_printf ("\"%s\"", name);
  char *member_text = g_strdup_printf ("\"%s\":\"", member);
  char *value = NULL;
  for (guint i = 0; i < setup->log->len && !value; i++)
    {
      const char *line = g_ptr_array_index (setup->log, i);
      const char *at = strstr (line, line_text) ? strstr (line, member_text) : NULL;
      if (at)
        value = g_strndup (at + strlen (member_text), strcspn (at + strlen (member_text), "\""));
    }
  g_free (member_text);
  g_free (line_text);
  return value;
}

/* Settings with the addresses at which the entry listens now. */
static char *
make_same_settings (const struct setup *setup)
{
  char *peers = logged_value (setup, "listening", "peers");
  char *text = g_strdup_printf ("name: e1\nfailure_domain: z1\nlisten: %s\nadmin: %s\npeers: %s\nmetrics: %s\n"
                                "store: %s\ndrain_wait_ms: %d\ngrace_ms: %d\n",
                                setup->caller_address, setup->admin_address, peers, setup->metrics_address,
                                fake_store_address (setup->store), setup->drain_wait_ms, setup->grace_ms);
  g_free (peers);
  return text;
}

static void
on_exit_noticed (GObject *source, GAsyncResult *result, gpointer data)
{
  g_subprocess_wait_finish (G_SUBPROCESS (source), result, NULL);
  *(gboolean *) data = TRUE;
}

static gboolean
is_true (void *context)
{
  return *(gboolean *) context;
}

/* Waits for the end of a process, while the test's own servers go on; -1: ended by a signal, or still runs. */
static int
exit_code (GSubprocess *process)
{
  gboolean ended = FALSE;
  GCancellable *cancellable = g_cancellable_new ();
  g_subprocess_wait_async (process, cancellable, on_exit_noticed, &ended);
  gboolean in_time = harness_wait_until (is_true, &ended, WAIT_TIMEOUT_S);
  g_cancellable_cancel (cancellable);
  if (!in_time)
    harness_wait_until (is_true, &ended, WAIT_TIMEOUT_S);
  g_object_unref (cancellable);
  return in_time && g_subprocess_get_if_exited (process) ? g_subprocess_get_exit_status (process) : -1;
}

/* Makes the process that follows the entry the setup's own. */
static void
replace_entry (struct setup *setup, GSubprocess *process)
{
  g_object_unref (setup->entry);
  g_ptr_array_unref (setup->log);
  setup->entry = process;
  await_listening (setup);
}

/* --- tests: addresses --- */

/* Guards against a process that does not start because the former one, which shuts down with a request in flight, still
 * holds its addresses. */
static void
test_restart_in_place (void)
{
  struct setup *setup = open_setup_with_grace (SHORT_GRACE_MS / 2, SHORT_GRACE_MS);
  char *settings = make_same_settings (setup);
  write_settings (setup, settings);
  set_behaviour (setup, SENDS_NOTHING);
  char *request = format_request (setup, "GET", "/r/x", "");
  struct raw_client *client = raw_client_connect (setup->net, setup->caller_address, request);
  harness_pause (SHORT_GRACE_MS / 7);
  g_subprocess_send_signal (setup->entry, SIGTERM);
  GSubprocess *next = spawn (setup, NULL);
  g_assert_cmpint (exit_code (setup->entry), ==, 0);
  replace_entry (setup, next);
  raw_client_close (client);
  set_behaviour (setup, SENDS_RESPONSE);
  g_assert_true (harness_wait_until (is_ready, setup, CHANGE_TIMEOUT_S));
  harness_pause (DIRECTORY_UPDATE_MS);
  g_assert_cmpuint (request_status (setup, "POST", "/w/x", "b"), ==, 200);
  g_free (request);
  g_free (settings);
  close_setup (setup);
}

/* The same with a process that was killed, with connections that are open and others that have just been closed. */
static void
test_restart_killed (void)
{
  struct setup *setup = open_setup ();
  char *settings = make_same_settings (setup);
  struct raw_client *clients[KILLED_CONNECTIONS];
  write_settings (setup, settings);
  for (guint i = 0; i < KILLED_CONNECTIONS; i++)
    {
      clients[i] = send_request (setup, "GET", "/r/x", "");
      g_assert_cmpuint (raw_client_status (clients[i]), ==, 200);
      g_assert_cmpuint (health_status (setup), ==, 200);
    }
  g_subprocess_force_exit (setup->entry);
  g_assert_cmpint (exit_code (setup->entry), ==, -1);
  replace_entry (setup, spawn (setup, NULL));
  g_assert_true (harness_wait_until (is_ready, setup, CHANGE_TIMEOUT_S));
  harness_pause (DIRECTORY_UPDATE_MS);
  g_assert_cmpuint (request_status (setup, "POST", "/w/x", "b"), ==, 200);
  for (guint i = 0; i < KILLED_CONNECTIONS; i++)
    raw_client_close (clients[i]);
  g_free (settings);
  close_setup (setup);
}

/* A process whose address stays in use says so at once, and ends with the code for it. */
static void
test_address_in_use (void)
{
  struct setup *setup = open_setup_with_grace (SHORT_GRACE_MS / 2, SHORT_GRACE_MS);
  char *settings = make_same_settings (setup);
  write_settings (setup, settings);
  gint64 start = g_get_monotonic_time ();
  GSubprocess *next = spawn (setup, NULL);
  g_assert_cmpint (exit_code (next), ==, EXIT_CODE_ADDRESS);
  g_assert_cmpint (g_get_monotonic_time () - start, >, SHORT_GRACE_MS * HF_MS);
  char text[4096] = "";
  gsize len = 0;
  g_input_stream_read_all (g_subprocess_get_stdout_pipe (next), text, sizeof text - 1, &len, NULL, NULL);
  g_assert_nonnull (strstr (text, "\"address-in-use\""));
  g_assert_nonnull (strstr (text, "\"settings-invalid\""));
  g_assert_cmpuint (request_status (setup, "POST", "/w/x", "b"), ==, 200);
  g_object_unref (next);
  g_free (settings);
  close_setup (setup);
}

/* SIGTERM ends a process that waits for its addresses. */
static void
test_stopped_while_waiting (void)
{
  struct setup *setup = open_setup ();
  char *settings = make_same_settings (setup);
  write_settings (setup, settings);
  GSubprocess *next = spawn (setup, NULL);
  harness_pause (HELD_MS);
  gint64 start = g_get_monotonic_time ();
  g_subprocess_send_signal (next, SIGTERM);
  g_assert_cmpint (exit_code (next), ==, 0);
  g_assert_cmpint (g_get_monotonic_time () - start, <, HELD_MS * HF_MS);
  g_assert_cmpuint (request_status (setup, "POST", "/w/x", "b"), ==, 200);
  g_object_unref (next);
  g_free (settings);
  close_setup (setup);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_set_prgname (argv[0]);
  g_test_set_nonfatal_assertions ();
  g_test_add_func ("/process/restart-in-place", test_restart_in_place);
  g_test_add_func ("/process/restart-killed", test_restart_killed);
  g_test_add_func ("/process/address-in-use", test_address_in_use);
  g_test_add_func ("/process/stopped-while-waiting", test_stopped_while_waiting);
  return g_test_run ();
}
