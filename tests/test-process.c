/*
 * Tests of the process hickoryd itself: how it starts and ends, and what it does
 * when its surroundings are not as they should be.
 */
#include <fcntl.h>
#include <gio/gio.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include "input.h"
#include "platform-setup.h"

#include "config.h"

/* --- constants --- */

#define EXIT_CODE_SETTINGS    3
#define EXIT_CODE_ADDRESS     4
#define SHORT_GRACE_MS        700
#define WAIT_TIMEOUT_S        10
#define HELD_MS               300 /* until the process has begun to wait */
#define SETTLE_MS             50
#define CLOCK_STEP_MS         350 /* longer than the time between two steps */
#define CLOCK_ROUNDS          10
#define MACHINE_MEMORY_KB     (260 * 1000) /* of the users' machines */
#define UNFINISHED_CALLERS    1500
#define UNFINISHED_BODY_BYTES 250000 /* less than the entry buffers */
#define UNFINISHED_BYTES      10
#define KILLED_CONNECTIONS    20
#define LOGGED_REQUESTS       5
#define DESCRIPTORS           48
#define USED_UP_MS            2500 /* longer than a watch */

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

/* Starts a program of the build with the settings in the file, and does not wait until it listens. */
static GSubprocess *
spawn_program (const struct setup *setup, const char *name, GSpawnChildSetupFunc child_setup)
{
  char *build = g_path_get_dirname (g_get_prgname ());
  char *relative = g_build_filename (build, name, NULL);
  char *program = g_canonicalize_filename (relative, NULL);
  char *file = settings_file (setup);
  GSubprocessLauncher *launcher = g_subprocess_launcher_new (G_SUBPROCESS_FLAGS_STDOUT_PIPE);
  g_subprocess_launcher_set_child_setup (launcher, child_setup, NULL, NULL);
  GSubprocess *process = g_subprocess_launcher_spawn (launcher, NULL, program, file, NULL);
  g_assert_nonnull (process);
  g_object_unref (launcher);
  g_free (file);
  g_free (program);
  g_free (relative);
  g_free (build);
  return process;
}

static GSubprocess *
spawn (const struct setup *setup, GSpawnChildSetupFunc child_setup)
{
  return spawn_program (setup, "hickoryd", child_setup);
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

static guint
count_logged (const struct setup *setup, const char *name)
{
  char *text = g_strdup_printf ("\"%s\"", name);
  guint n = 0;
  for (guint i = 0; i < setup->log->len; i++)
    n += strstr (g_ptr_array_index (setup->log, i), text) != NULL;
  g_free (text);
  return n;
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

/* --- tests: descriptors --- */

static void
close_standard_streams (gpointer data)
{
  (void) data;
  close (STDIN_FILENO);
  close (STDOUT_FILENO);
  close (STDERR_FILENO);
}

/* Guards against log lines in files and sockets of the process, which would get the numbers of standard streams that
 * are closed when it starts. */
static void
test_streams_closed (void)
{
  struct setup *setup = open_setup ();
  char *settings = make_same_settings (setup);
  write_settings (setup, settings);
  g_subprocess_force_exit (setup->entry);
  g_assert_cmpint (exit_code (setup->entry), ==, -1);
  g_object_unref (setup->entry);
  setup->entry = spawn (setup, close_standard_streams);
  harness_pause (DIRECTORY_UPDATE_MS);
  g_assert_true (harness_wait_until (is_ready, setup, CHANGE_TIMEOUT_S));
  for (guint i = 0; i < LOGGED_REQUESTS; i++)
    {
      struct raw_client *client = send_request (setup, "POST", "/w/x", "b");
      harness_pause (SETTLE_MS);
      g_assert_cmpuint (raw_client_status (client), ==, 200);
      g_assert_true (g_str_has_suffix (client->received->str, "hello"));
      raw_client_close (client);
    }
  for (int fd = STDIN_FILENO; fd <= STDERR_FILENO; fd++)
    {
      char *link = g_strdup_printf ("/proc/%s/fd/%d", g_subprocess_get_identifier (setup->entry), fd);
      char *target = g_file_read_link (link, NULL);
      g_assert_cmpstr (target, ==, "/dev/null");
      g_free (target);
      g_free (link);
    }
  g_free (settings);
  close_setup (setup);
}

static void
close_reader (gpointer data)
{
  int ends[2];
  (void) data;
  if (pipe (ends) != 0 || dup2 (ends[1], STDOUT_FILENO) < 0)
    _exit (1);
  close (ends[0]);
  close (ends[1]);
}

/* Guards against a process that ends by SIGPIPE in its start: nobody reads its log, and it has something to say before
 * it has a socket. */
static void
test_start_without_log_reader (void)
{
  struct setup *setup = open_setup ();
  char *settings = make_same_settings (setup);
  write_settings (setup, settings);
  GSubprocess *next = spawn (setup, close_reader);
  g_assert_cmpint (exit_code (next), ==, EXIT_CODE_ADDRESS);
  g_object_unref (next);
  write_settings (setup, "name: e1\n");
  next = spawn (setup, close_reader);
  g_assert_cmpint (exit_code (next), ==, EXIT_CODE_SETTINGS);
  g_object_unref (next);
  write_settings (setup, settings);
  g_subprocess_force_exit (setup->entry);
  g_assert_cmpint (exit_code (setup->entry), ==, -1);
  g_object_unref (setup->entry);
  setup->entry = spawn (setup, close_reader);
  harness_pause (DIRECTORY_UPDATE_MS);
  g_assert_true (harness_wait_until (is_ready, setup, CHANGE_TIMEOUT_S));
  harness_pause (DIRECTORY_UPDATE_MS);
  for (guint i = 0; i < LOGGED_REQUESTS; i++)
    g_assert_cmpuint (request_status (setup, "POST", "/w/x", "b"), ==, 200);
  g_free (settings);
  close_setup (setup);
}

static void
limit_descriptors (gpointer data)
{
  struct rlimit limit = { .rlim_cur = DESCRIPTORS, .rlim_max = DESCRIPTORS };
  (void) data;
  if (setrlimit (RLIMIT_NOFILE, &limit) != 0)
    _exit (1);
}

static gboolean
has_new_route (void *context)
{
  return request_status (context, "GET", "/new/x", "") == 200;
}

/* Guards against a process that ends, or serves or follows the store no more, because its descriptors were used up.
 * Meanwhile its watches and connections end, and its settings are reloaded. */
static void
test_descriptors_used_up (void)
{
  struct setup *setup = open_setup ();
  char *settings = make_same_settings (setup);
  struct raw_client *clients[2 * DESCRIPTORS];
  write_settings (setup, settings);
  g_subprocess_force_exit (setup->entry);
  g_assert_cmpint (exit_code (setup->entry), ==, -1);
  replace_entry (setup, spawn (setup, limit_descriptors));
  g_assert_true (harness_wait_until (is_ready, setup, CHANGE_TIMEOUT_S));
  for (guint i = 0; i < G_N_ELEMENTS (clients); i++)
    {
      char *request = format_request (setup, "GET", "/r/x", "");
      clients[i] = raw_client_connect (setup->net, setup->caller_address, request);
      g_free (request);
    }
  harness_pause (DIRECTORY_UPDATE_MS);
  char *not_accepted = logged_value (setup, "not-accepted", "text");
  g_assert_nonnull (not_accepted);
  fake_store_set_error (setup->store, 503);
  g_subprocess_send_signal (setup->entry, SIGHUP);
  harness_pause (USED_UP_MS);
  fake_store_set_error (setup->store, 0);
  harness_pause (USED_UP_MS);
  g_assert_nonnull (g_subprocess_get_identifier (setup->entry)); /* it still runs */
  for (guint i = 0; i < G_N_ELEMENTS (clients); i++)
    raw_client_close (clients[i]);
  harness_pause (DIRECTORY_UPDATE_MS);
  put_config (setup, 9, "\"service\":\"alpha\"", "/new/");
  g_assert_true (harness_wait_until (has_new_route, setup, WAIT_TIMEOUT_S));
  for (guint i = 0; i < LOGGED_REQUESTS; i++)
    g_assert_cmpuint (request_status (setup, "POST", "/w/x", "b"), ==, 200);
  g_free (not_accepted);
  g_free (settings);
  close_setup (setup);
}

/* --- tests: memory --- */

static void
put_long_body_config (struct setup *setup, guint timeout_ms)
{
  char *spec = g_strdup_printf (
      "{\"version\":\"r99\",\"routes\":["
      "{\"name\":\"write\",\"host\":\"h.example\",\"path_prefix\":\"/w/"
      "\",\"route_kind\":\"unsafe\",\"timeout\":\"%ums\","
      "\"target_latency\":\"300ms\",\"priority\":1,\"service\":\"alpha\",\"max_attempts\":2}],"
      "\"services\":[{\"name\":\"alpha\",\"health_path\":\"/health\",\"max_conns\":10}],"
      "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":1000000,\"header_timeout\":\"5000ms\","
      "\"idle_timeout\":\"15000ms\"}}",
      timeout_ms);
  fake_store_put (setup->store, "config", "main", spec);
  harness_pause (DIRECTORY_UPDATE_MS);
  g_free (spec);
}

/* Peak memory of the entry's process in KB. */
static guint64
peak_memory_kb (const struct setup *setup)
{
  char *file = g_strdup_printf ("/proc/%s/status", g_subprocess_get_identifier (setup->entry));
  char *text = NULL;
  g_assert_true (g_file_get_contents (file, &text, NULL, NULL));
  const char *at = strstr (text, "VmHWM:");
  guint64 kb = at ? g_ascii_strtoull (at + strlen ("VmHWM:"), NULL, 10) : 0;
  g_free (text);
  g_free (file);
  return kb;
}

/* Connects a caller that sends all of a request but its last bytes. */
static struct raw_client *
connect_unfinished (struct setup *setup, const char *body)
{
  char *request = format_request (setup, "POST", "/w/x", body);
  request[strlen (request) - UNFINISHED_BYTES] = 0;
  struct raw_client *client = raw_client_connect (setup->net, setup->caller_address, request);
  g_free (request);
  return client;
}

/* Guards against a process that runs out of memory because of many bodies that arrive slowly. Those that are refused
 * have not run, short ones of others are served meanwhile, and long ones afterwards. */
static void
test_unfinished_bodies (void)
{
  struct setup *setup = open_setup ();
  struct raw_client *clients[UNFINISHED_CALLERS];
  char *body = g_strnfill (UNFINISHED_BODY_BYTES, 'x');
  guint refused = 0;
  put_long_body_config (setup, 8000);
  for (guint i = 0; i < G_N_ELEMENTS (clients); i++)
    clients[i] = connect_unfinished (setup, body);
  harness_pause (USED_UP_MS);
  for (guint i = 0; i < LOGGED_REQUESTS; i++)
    g_assert_cmpuint (request_status (setup, "POST", "/w/x", "b"), ==, 200);
  g_assert_cmpuint (count_requests (setup), ==, LOGGED_REQUESTS);
  g_assert_cmpuint (count_logged (setup, "bodies-refused"), ==, 1);
  g_test_message ("peak memory: %" G_GUINT64_FORMAT " KB", peak_memory_kb (setup));
  g_assert_cmpuint (peak_memory_kb (setup), <, MACHINE_MEMORY_KB);
  for (guint i = 0; i < G_N_ELEMENTS (clients); i++)
    {
      guint status = raw_client_status (clients[i]);
      g_assert_true (status == 0 || status == 503);
      g_assert_true (status == 0 || strstr (clients[i]->received->str, "Retry-After: "));
      refused += status == 503;
      raw_client_close (clients[i]);
    }
  g_assert_cmpuint (refused, >, 0);
  harness_pause (DIRECTORY_UPDATE_MS);
  for (guint i = 0; i < LOGGED_REQUESTS; i++)
    g_assert_cmpuint (request_status (setup, "POST", "/w/x", body), ==, 200);
  g_free (body);
  close_setup (setup);
}

/* --- tests: settings --- */

static void
reload (struct setup *setup)
{
  g_subprocess_send_signal (setup->entry, SIGHUP);
  harness_pause (SETTLE_MS);
  g_assert_nonnull (g_subprocess_get_identifier (setup->entry)); /* it still runs */
  g_assert_cmpuint (request_status (setup, "POST", "/w/x", "b"), ==, 200);
}

/* Guards against a process that ends, or changes, by a SIGHUP while its settings are missing, a directory, empty,
 * half-written or no text. */
static void
test_reload_unreadable (void)
{
  static const char *const texts[] = { "", "\n", "name: e", "name: [", "{", "\xff\xfe\x01", "store: 1\nstore: 2\n" };
  struct setup *setup = open_setup ();
  char *settings = make_same_settings (setup);
  char *file = settings_file (setup);
  for (gsize i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      write_settings (setup, texts[i]);
      reload (setup);
    }
  write_settings (setup, settings);
  for (gsize len = strlen (settings) / 2; len > 0; len /= 2)
    {
      g_assert_cmpint (truncate (file, (off_t) len), ==, 0);
      reload (setup);
    }
  g_remove (file);
  reload (setup);
  g_assert_cmpint (g_mkdir (file, 0700), ==, 0);
  reload (setup);
  g_rmdir (file);
  g_assert_cmpuint (count_logged (setup, "reloaded"), ==, 0);
  write_settings (setup, settings);
  reload (setup);
  g_assert_cmpuint (count_logged (setup, "reloaded"), ==, 1);
  g_free (file);
  g_free (settings);
  close_setup (setup);
}

/* Settings that change without a signal change nothing until the next start, which uses them. */
static void
test_settings_changed (void)
{
  struct setup *setup = open_setup ();
  char *settings = make_same_settings (setup);
  char *changed = g_strdup_printf ("%slog_level: notice\n", strstr (settings, "failure_domain"));
  char *text = g_strconcat ("name: e2\n", changed, NULL);
  write_settings (setup, text);
  g_assert_cmpuint (request_status (setup, "POST", "/w/x", "b"), ==, 200);
  g_subprocess_send_signal (setup->entry, SIGTERM);
  g_assert_cmpint (exit_code (setup->entry), ==, 0);
  replace_entry (setup, spawn (setup, NULL));
  char *name = logged_value (setup, "listening", "entry");
  g_assert_cmpstr (name, ==, "e2");
  g_assert_true (harness_wait_until (is_ready, setup, CHANGE_TIMEOUT_S));
  harness_pause (DIRECTORY_UPDATE_MS);
  g_assert_cmpuint (request_status (setup, "POST", "/w/x", "b"), ==, 200);
  g_free (name);
  g_free (text);
  g_free (changed);
  g_free (settings);
  close_setup (setup);
}

/* Guards against a process that does not start because its settings are being written: missing, empty, then half. */
static void
test_start_half_written (void)
{
  struct setup *setup = open_without_entry (SHORT_GRACE_MS / 2, SHORT_GRACE_MS);
  char *settings = make_settings (setup);
  char *half = g_strndup (settings, strlen (settings) / 2);
  setup->entry = spawn (setup, NULL);
  harness_pause (HELD_MS);
  write_settings (setup, "");
  harness_pause (HELD_MS);
  write_settings (setup, half);
  harness_pause (HELD_MS);
  write_settings (setup, settings);
  await_listening (setup);
  g_assert_cmpuint (health_status (setup), ==, 503);
  g_free (half);
  g_free (settings);
  close_setup (setup);
}

/* A process whose settings stay invalid or missing ends with the code for it, and SIGTERM ends its wait. */
static void
test_start_invalid (void)
{
  struct setup *setup = open_setup ();
  char *file = settings_file (setup);
  GSubprocess *next;
  write_settings (setup, "name: e1\n");
  next = spawn (setup, NULL);
  g_assert_cmpint (exit_code (next), ==, EXIT_CODE_SETTINGS);
  g_object_unref (next);
  g_remove (file);
  next = spawn (setup, NULL);
  g_assert_cmpint (exit_code (next), ==, EXIT_CODE_SETTINGS);
  g_object_unref (next);
  next = spawn (setup, NULL);
  harness_pause (HELD_MS);
  g_subprocess_send_signal (next, SIGTERM);
  g_assert_cmpint (exit_code (next), ==, 0);
  g_object_unref (next);
  g_free (file);
  close_setup (setup);
}

/* --- tests: signals and surroundings --- */

/* An upload of which the last part is sent later. */
struct slow_upload
{
  struct raw_client *client;
  char *id;
  char *last_part;
  gint64 last_part_ms; /* after SIGTERM */
};

static struct slow_upload
begin_upload (struct setup *setup, gsize size, gboolean chunked, gint64 last_part_ms)
{
  char *content = make_content (size);
  char *id = g_strdup_printf ("upload%u", ++setup->next_id);
  GString *request = g_string_new (NULL);
  g_string_printf (request, "POST /w/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 6000\r\n", id);
  if (chunked)
    g_string_append (request, "Transfer-Encoding: chunked\r\n\r\n");
  else
    g_string_append_printf (request, "Content-Length: %zu\r\n\r\n", size);
  if (chunked)
    append_chunks (request, content);
  else
    g_string_append (request, content);
  char *last_part = g_strdup (request->str + request->len / 2);
  g_string_truncate (request, request->len / 2);
  struct raw_client *client = raw_client_connect (setup->net, setup->caller_address, request->str);
  g_string_free (request, TRUE);
  g_free (content);
  return (struct slow_upload){ .client = client, .id = id, .last_part = last_part, .last_part_ms = last_part_ms };
}

/* Checks that the upload was answered, has run if the answer says so, and has not if the answer promises that. */
static void
end_upload (struct setup *setup, struct slow_upload *upload)
{
  guint status = raw_client_status (upload->client);
  gboolean ran = g_hash_table_contains (setup->ids, upload->id);
  g_test_message ("%s, last part after %d ms: status %u, %s", upload->id, (int) upload->last_part_ms, status,
                  ran ? "ran" : "not run");
  g_assert_true (raw_client_has_response (upload->client));
  g_assert_true (status == 504 || status == (ran ? 200 : 503)); /* 504 at the route's timeout promises nothing */
  raw_client_close (upload->client);
  g_free (upload->last_part);
  g_free (upload->id);
}

/* Guards against uploads that end without an answer, or run although they were refused, because the process was told to
 * end, or to reload its settings, while they arrived. */
static void
test_uploads_at_shutdown (void)
{
  static const gsize sizes[] = { 1000, 100000, 400000, 900000 };
  static const gint64 last_part_ms[] = { 50, 250, 600, 1500, 2400 };
  struct slow_upload uploads[G_N_ELEMENTS (sizes) * G_N_ELEMENTS (last_part_ms) * 2];
  struct setup *setup = open_setup ();
  gsize n = 0;
  put_long_body_config (setup, 2000);
  for (gsize size = 0; size < G_N_ELEMENTS (sizes); size++)
    for (gsize moment = 0; moment < G_N_ELEMENTS (last_part_ms); moment++)
      for (guint chunked = 0; chunked < 2; chunked++)
        uploads[n++] = begin_upload (setup, sizes[size], chunked, last_part_ms[moment]);
  harness_pause (HELD_MS);
  g_subprocess_send_signal (setup->entry, SIGHUP);
  g_subprocess_send_signal (setup->entry, SIGTERM);
  gint64 start = g_get_monotonic_time ();
  for (gsize moment = 0; moment < G_N_ELEMENTS (last_part_ms); moment++)
    {
      harness_pause ((guint) MAX (last_part_ms[moment] - (g_get_monotonic_time () - start) / HF_MS, 1));
      for (gsize i = 0; i < n; i++)
        if (uploads[i].last_part_ms == last_part_ms[moment] && !uploads[i].client->ended)
          raw_client_send (uploads[i].client, uploads[i].last_part);
    }
  g_assert_cmpint (exit_code (setup->entry), ==, 0);
  for (gsize i = 0; i < n; i++)
    end_upload (setup, &uploads[i]);
  close_setup (setup);
}

/* Guards against a second signal that ends a process before it has answered what it accepted. */
static void
test_terminated_twice (void)
{
  struct setup *setup = open_setup ();
  set_behaviour (setup, SENDS_LATE);
  struct raw_client *clients[SERVERS];
  for (guint i = 0; i < G_N_ELEMENTS (clients); i++)
    {
      char *request = format_request (setup, "GET", "/r/x", "");
      clients[i] = raw_client_connect (setup->net, setup->caller_address, request);
      g_free (request);
    }
  harness_pause (SETTLE_MS);
  g_subprocess_send_signal (setup->entry, SIGTERM);
  harness_pause (SETTLE_MS);
  g_subprocess_send_signal (setup->entry, SIGTERM);
  g_subprocess_send_signal (setup->entry, SIGINT);
  g_subprocess_send_signal (setup->entry, SIGHUP);
  for (guint i = 0; i < G_N_ELEMENTS (clients); i++)
    {
      g_assert_true (harness_wait_until (has_response, clients[i], CHANGE_TIMEOUT_S));
      g_assert_cmpuint (raw_client_status (clients[i]), !=, 0);
      raw_client_close (clients[i]);
    }
  g_assert_cmpint (exit_code (setup->entry), ==, 0);
  close_setup (setup);
}

/* SIGTERM, once and twice, while the settings are read from a pipe: the process starts and shuts down in order. */
static void
test_terminated_in_start (void)
{
  for (guint signals = 1; signals <= 2; signals++)
    {
      struct setup *setup = open_without_entry (SHORT_GRACE_MS / 2, SHORT_GRACE_MS);
      char *settings = make_settings (setup);
      char *file = settings_file (setup);
      g_assert_cmpint (mkfifo (file, 0600), ==, 0);
      setup->entry = spawn (setup, NULL);
      int pipe_end = open (file, O_WRONLY); /* returns once the process has opened its end */
      for (guint i = 0; i < signals; i++)
        {
          g_subprocess_send_signal (setup->entry, SIGTERM);
          harness_pause (SETTLE_MS);
        }
      g_assert_cmpint (write (pipe_end, settings, strlen (settings)), ==, strlen (settings));
      close (pipe_end);
      await_listening (setup);
      g_assert_cmpint (exit_code (setup->entry), ==, 0);
      g_free (file);
      g_free (settings);
      close_setup (setup);
    }
}

static void
clear_surroundings (gpointer data)
{
  char folder[] = "/tmp/gone-XXXXXX";
  (void) data;
  if (!g_mkdtemp (folder) || chdir (folder) != 0 || rmdir (folder) != 0)
    _exit (1);
  clearenv ();
}

/* Guards against a process that needs a working directory, a home or any other variable of its surroundings. */
static void
test_no_surroundings (void)
{
  struct setup *setup = open_setup ();
  char *settings = make_same_settings (setup);
  write_settings (setup, settings);
  g_subprocess_force_exit (setup->entry);
  g_assert_cmpint (exit_code (setup->entry), ==, -1);
  replace_entry (setup, spawn (setup, clear_surroundings));
  g_assert_true (harness_wait_until (is_ready, setup, CHANGE_TIMEOUT_S));
  harness_pause (DIRECTORY_UPDATE_MS);
  g_assert_cmpuint (request_status (setup, "POST", "/w/x", "b"), ==, 200);
  g_free (settings);
  close_setup (setup);
}

/* Time of day in the last line of the entry's log, in seconds. */
static double
last_logged_time (const struct setup *setup)
{
  const char *line = g_ptr_array_index (setup->log, setup->log->len - 1);
  const char *at = strstr (line, "\"time\":");
  return at ? g_ascii_strtod (at + strlen ("\"time\":"), NULL) : 0;
}

/* Guards against a process that ends, hangs, or serves or follows the store no more, because its time of day steps, by
 * seconds, days and years, forwards and backwards. */
static void
test_clock_steps (void)
{
  struct setup *setup = open_setup ();
  char *settings = make_same_settings (setup);
  guint steps_back = 0;
  write_settings (setup, settings);
  g_subprocess_force_exit (setup->entry);
  g_assert_cmpint (exit_code (setup->entry), ==, -1);
  replace_entry (setup, spawn_program (setup, "hickoryd-stepping-clock", NULL));
  g_assert_true (harness_wait_until (is_ready, setup, CHANGE_TIMEOUT_S));
  harness_pause (DIRECTORY_UPDATE_MS);
  for (guint i = 0; i < CLOCK_ROUNDS; i++)
    {
      double before = last_logged_time (setup);
      char *prefix = g_strdup_printf ("/r%u/", i);
      char *path = g_strdup_printf ("/r%u/x", i);
      put_config (setup, 10 + i, "\"service\":\"alpha\"", prefix);
      harness_pause (CLOCK_STEP_MS);
      g_assert_cmpuint (request_status (setup, "GET", path, ""), ==, 200);
      g_assert_cmpuint (request_status (setup, "POST", "/w/x", "b"), ==, 200);
      harness_pause (SETTLE_MS);
      steps_back += last_logged_time (setup) < before;
      g_free (path);
      g_free (prefix);
    }
  g_assert_cmpuint (steps_back, >, 0);
  g_subprocess_send_signal (setup->entry, SIGTERM);
  g_assert_cmpint (exit_code (setup->entry), ==, 0);
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
  g_test_add_func ("/process/streams-closed", test_streams_closed);
  g_test_add_func ("/process/start-without-log-reader", test_start_without_log_reader);
  g_test_add_func ("/process/descriptors-used-up", test_descriptors_used_up);
  g_test_add_func ("/process/unfinished-bodies", test_unfinished_bodies);
  g_test_add_func ("/process/reload-unreadable", test_reload_unreadable);
  g_test_add_func ("/process/settings-changed", test_settings_changed);
  g_test_add_func ("/process/start-half-written", test_start_half_written);
  g_test_add_func ("/process/start-invalid", test_start_invalid);
  g_test_add_func ("/process/uploads-at-shutdown", test_uploads_at_shutdown);
  g_test_add_func ("/process/terminated-twice", test_terminated_twice);
  g_test_add_func ("/process/terminated-in-start", test_terminated_in_start);
  g_test_add_func ("/process/no-surroundings", test_no_surroundings);
  g_test_add_func ("/process/clock-steps", test_clock_steps);
  return g_test_run ();
}
