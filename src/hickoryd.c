/* hickoryd: daemon of an entry VM. */
#include <fcntl.h>
#include <gio/gio.h>
#include <glib-unix.h>
#include <malloc.h>
#include <stdio.h>
#include <unistd.h>

#include "hf-dump.h"
#include "hf-log.h"
#include "hf-loop.h"
#include "hf-peer-socket.h"
#include "hf-proxy.h"
#include "hf-status.h"
#include "hf-http-server.h"

#include "config.h"

/* --- constants --- */

#define EXIT_USAGE    2
#define EXIT_SETTINGS 3
#define EXIT_IO       4

/* --- types --- */

struct daemon
{
  const char *settings_file;
  struct hf_loop loop;
  struct hf_http_server *admin;
  struct hf_http_server *metrics; /* NULL: on the admin address only */
  bool running;                   /* the loop is open: signals have something to act on */
  bool terminated;                /* SIGTERM or SIGINT was received */
};

/* --- internal functions --- */

static void
send_response (struct hf_http_request *request, unsigned status, const char *type, char *text)
{
  char *fields = g_strdup_printf ("Content-Type: %s\r\n", type);
  hf_http_respond (request, status, hf_str (fields), hf_str (text));
  g_free (fields);
  g_free (text);
}

static struct hf_str
metrics_address (const struct daemon *daemon)
{
  return daemon->metrics ? hf_http_server_address (daemon->metrics) : hf_str ("");
}

static void
admin_on_head (void *context, struct hf_http_request *request, const struct hf_http_head *head)
{
  (void) context;
  hf_http_request_set_data (request, g_strndup (head->target.data, head->target.len));
}

static void
admin_on_body (void *context, struct hf_http_request *request, struct hf_str bytes)
{
  (void) context;
  (void) request;
  (void) bytes;
}

static void
admin_on_complete (void *context, struct hf_http_request *request)
{
  struct daemon *daemon = context;
  const struct hf_state *state = daemon->loop.state;
  const char *path = hf_http_request_data (request);
  bool ready = hf_state_is_ready (state);
  if (strcmp (path, "/healthz") == 0)
    send_response (request, ready ? 200 : 503, "text/plain", g_strdup (ready ? "ok\n" : "not ready\n"));
  else if (strcmp (path, "/metrics") == 0)
    send_response (request, 200, "text/plain; version=0.0.4", hf_dump_metrics (state, hf_loop_now ()));
  else if (strcmp (path, "/dump") == 0)
    send_response (request, 200, "text/plain", hf_dump_text (state, hf_loop_now ()));
  else if (strcmp (path, "/status") == 0)
    send_response (request, 200, "application/json", hf_dump_json (state, hf_loop_now ()));
  else
    send_response (request, 404, "text/plain", g_strdup ("known paths: /healthz /metrics /dump /status\n"));
}

/* The metrics address may be reachable by others than operators: it serves the metrics alone. */
static void
metrics_on_complete (void *context, struct hf_http_request *request)
{
  const struct daemon *daemon = context;
  if (strcmp (hf_http_request_data (request), "/metrics") == 0)
    send_response (request, 200, "text/plain; version=0.0.4", hf_dump_metrics (daemon->loop.state, hf_loop_now ()));
  else
    send_response (request, 404, "text/plain", g_strdup ("known path: /metrics\n"));
}

static void
admin_on_drained (void *context, struct hf_http_request *request)
{
  (void) context;
  (void) request;
}

static void
admin_on_ended (void *context, struct hf_http_request *request, bool answered)
{
  (void) context;
  (void) answered;
  g_free (hf_http_request_data (request));
}

static const struct hf_http_server_callbacks admin_callbacks = { .on_head = admin_on_head,
                                                                 .on_body = admin_on_body,
                                                                 .on_complete = admin_on_complete,
                                                                 .on_drained = admin_on_drained,
                                                                 .on_ended = admin_on_ended };

static const struct hf_http_server_callbacks metrics_callbacks = { .on_head = admin_on_head,
                                                                   .on_body = admin_on_body,
                                                                   .on_complete = metrics_on_complete,
                                                                   .on_drained = admin_on_drained,
                                                                   .on_ended = admin_on_ended };

static gboolean
on_terminate_signal (gpointer data)
{
  struct daemon *daemon = data;
  if (daemon->running)
    hf_loop_raise_event (&daemon->loop, (struct hf_event){ .kind = HF_EVENT_SHUTDOWN });
  daemon->terminated = true;
  return G_SOURCE_CONTINUE;
}

static gboolean
on_dump_signal (gpointer data)
{
  struct daemon *daemon = data;
  if (!daemon->running)
    return G_SOURCE_CONTINUE;
  char *text = hf_dump_text (daemon->loop.state, hf_loop_now ());
  hf_log_write (HF_LOG_STATE_DUMP, "state dump follows on standard error");
  fputs (text, stderr);
  g_free (text);
  return G_SOURCE_CONTINUE;
}

static bool
load_settings (const char *file, struct hf_settings *settings, struct hf_error *error)
{
  char *text = NULL;
  gsize size = 0;
  GError *cause = NULL;
  *error = (struct hf_error){ 0 };
  if (!g_file_get_contents (file, &text, &size, &cause))
    {
      hf_error_set (error, HF_ERROR_IO, "%s", cause->message);
      g_clear_error (&cause);
      return false;
    }
  bool ok = hf_settings_load ((struct hf_str){ .data = text, .len = size }, settings, error);
  g_free (text);
  return ok;
}

static void
log_settings_error (const char *file, const struct hf_error *error)
{
  if (error->code == HF_ERROR_IO)
    hf_log_write (HF_LOG_SETTINGS_INVALID, "%s", error->message);
  else
    hf_log_write (HF_LOG_SETTINGS_INVALID, "%s:%u:%u: %s: %s", file, error->line, error->column, error->path,
                  error->message);
}

/* Applies the settings that can change at run time: the log level, and the entry's name in log lines. An invalid file
 * changes nothing. */
static gboolean
on_reload_signal (gpointer data)
{
  struct daemon *daemon = data;
  struct hf_settings settings = { 0 };
  struct hf_error error;
  if (!load_settings (daemon->settings_file, &settings, &error))
    {
      log_settings_error (daemon->settings_file, &error);
      return G_SOURCE_CONTINUE;
    }
  hf_log_open ("hickoryd", settings.name, (enum hf_log_level) settings.log_level);
  hf_log_write (HF_LOG_RELOADED, "%s: log level applied; changes of addresses take effect at the next start",
                daemon->settings_file);
  hf_settings_unload (&settings);
  return G_SOURCE_CONTINUE;
}

/* Opens standard streams that are closed, so that no file or socket of the process gets their numbers: the log would be
 * written to it. */
static void
open_standard_streams (void)
{
  for (int fd = STDIN_FILENO; fd <= STDERR_FILENO; fd++)
    if (fcntl (fd, F_GETFD) < 0 && open ("/dev/null", O_RDWR) < 0)
      return;
}

/* From now on signals wait for the loop, so that one that comes during the start does not end the process, nor does the
 * end of the log's reader. */
static void
catch_signals (struct daemon *daemon)
{
  signal (SIGPIPE, SIG_IGN);
  g_unix_signal_add (SIGTERM, on_terminate_signal, daemon);
  g_unix_signal_add (SIGINT, on_terminate_signal, daemon);
  g_unix_signal_add (SIGUSR1, on_dump_signal, daemon);
  g_unix_signal_add (SIGHUP, on_reload_signal, daemon);
}

static gboolean
on_pause_over (gpointer data)
{
  *(bool *) data = true;
  return G_SOURCE_REMOVE;
}

/* Waits and handles signals meanwhile; SIGTERM ends it early. */
static void
pause_start (const struct daemon *daemon, unsigned ms)
{
  bool over = false;
  guint timer = g_timeout_add (ms, on_pause_over, &over);
  while (!over && !daemon->terminated)
    g_main_context_iteration (NULL, TRUE);
  if (!over)
    g_source_remove (timer);
}

/* The settings may be written just now. */
static bool
load_settings_when_complete (const struct daemon *daemon, struct hf_settings *settings)
{
  struct hf_error error;
  int64_t until = hf_loop_now () + HF_SETTINGS_WAIT_MS * HF_MS;
  bool logged = false;
  while (!load_settings (daemon->settings_file, settings, &error))
    {
      bool is_last = hf_loop_now () >= until;
      if (is_last || !logged)
        log_settings_error (daemon->settings_file, &error);
      if (is_last)
        return false;
      logged = true;
      pause_start (daemon, HF_START_RETRY_MS);
      if (daemon->terminated)
        return false;
    }
  return true;
}

static bool
open_sockets (struct daemon *daemon, const struct hf_settings *settings, struct hf_error *error)
{
  if (!hf_loop_open (&daemon->loop, settings, error))
    return false;
  daemon->admin = hf_http_server_open (daemon->loop.net, settings->admin_address, &admin_callbacks, daemon, error);
  if (!daemon->admin)
    hf_loop_close (&daemon->loop);
  return daemon->admin != NULL;
}

/* A former process of this entry may hold its addresses until its grace_ms are over. */
static bool
open_sockets_when_free (struct daemon *daemon, const struct hf_settings *settings, struct hf_error *error)
{
  int64_t wait_ms = settings->shutdown_timeout_ms + HF_ADDRESS_WAIT_MS;
  int64_t until = hf_loop_now () + wait_ms * HF_MS;
  bool logged = false;
  while (!open_sockets (daemon, settings, error))
    {
      if (error->code != HF_ERROR_IN_USE || hf_loop_now () >= until)
        return false;
      if (!logged)
        hf_log_write (HF_LOG_ADDRESS_IN_USE, "%s; waiting up to %d ms", error->message, (int) wait_ms);
      logged = true;
      pause_start (daemon, HF_START_RETRY_MS);
      if (daemon->terminated)
        return false;
    }
  return true;
}

static int
run (struct daemon *daemon, const struct hf_settings *settings)
{
  struct hf_error error = { 0 };
  if (!open_sockets_when_free (daemon, settings, &error))
    {
      if (daemon->terminated)
        return 0;
      hf_log_write (HF_LOG_SETTINGS_INVALID, "%s", error.message);
      return EXIT_IO;
    }
  if (settings->metrics_address.len)
    daemon->metrics
        = hf_http_server_open (daemon->loop.net, settings->metrics_address, &metrics_callbacks, daemon, &error);
  if (settings->metrics_address.len && !daemon->metrics)
    hf_log_write (HF_LOG_SETTINGS_INVALID, "%s", error.message);
  struct hf_log_field addresses[] = { HF_LOG_TEXT ("callers", hf_proxy_address (daemon->loop.proxy)),
                                      HF_LOG_TEXT ("admin", hf_http_server_address (daemon->admin)),
                                      HF_LOG_TEXT ("peers", hf_peer_socket_address (daemon->loop.peer_socket)),
                                      HF_LOG_TEXT ("metrics", metrics_address (daemon)) };
  hf_log_write_fields (HF_LOG_LISTENING, (struct hf_str){ 0 }, addresses, G_N_ELEMENTS (addresses));
  daemon->running = true;
  g_main_loop_run (daemon->loop.main_loop);
  daemon->running = false;
  hf_log_write (HF_LOG_EXIT, "shutdown finished; the process exits");
  hf_http_server_close (daemon->admin);
  hf_http_server_close (daemon->metrics);
  hf_loop_close (&daemon->loop);
  return 0;
}

int
main (int argc, char **argv)
{
  gboolean version = FALSE;
  gboolean check = FALSE;
  GError *gerror = NULL;
  struct hf_settings settings = { 0 };
  const GOptionEntry options[] = {
    { "version", 0, 0, G_OPTION_ARG_NONE, &version, "Print the version and exit", NULL },
    { "check", 0, 0, G_OPTION_ARG_NONE, &check, "Validate the settings and exit", NULL },
    { 0 },
  };
  GOptionContext *context = g_option_context_new ("SETTINGS");
  g_option_context_set_summary (context, "Balances requests between callers and backend servers.");
  g_option_context_set_description (context,
                                    "Exit codes: 0 success, 2 wrong usage, 3 invalid settings, 4 "
                                    "an address cannot be used.\n"
                                    "Signals: SIGTERM and SIGINT shut down after the requests in flight, SIGUSR1 "
                                    "dumps the state, SIGHUP reloads the settings.");
  g_option_context_add_main_entries (context, options, NULL);
  open_standard_streams ();
  hf_log_open ("hickoryd", (struct hf_str){ 0 }, HF_LOG_LEVEL_INFO);
  /* Returning freed memory to the kernel and requesting it again for each response would cost more time than the kept
   * memory is worth. */
  mallopt (M_TRIM_THRESHOLD, HF_MALLOC_TRIM_BYTES);
  bool parsed = g_option_context_parse (context, &argc, &argv, &gerror);
  g_option_context_free (context);
  if (version)
    {
      printf ("hickoryd %s\n", HF_VERSION);
      return 0;
    }
  if (!parsed || argc != 2)
    {
      fprintf (stderr, "hickoryd: %s; see --help\n", gerror ? gerror->message : "expected one settings file");
      g_clear_error (&gerror);
      return EXIT_USAGE;
    }
  struct daemon daemon = { .settings_file = argv[1] };
  catch_signals (&daemon);
  struct hf_error error;
  bool loaded = check ? load_settings (argv[1], &settings, &error) : load_settings_when_complete (&daemon, &settings);
  if (check && !loaded)
    log_settings_error (argv[1], &error);
  if (!loaded)
    {
      hf_log_close ();
      return daemon.terminated ? 0 : EXIT_SETTINGS;
    }
  hf_log_open ("hickoryd", settings.name, (enum hf_log_level) settings.log_level);
  hf_log_write (HF_LOG_STARTED, "version %s, entry " HF_STR_FMT " in " HF_STR_FMT, HF_VERSION,
                HF_STR_ARG (settings.name), HF_STR_ARG (settings.failure_domain));
  int code = check ? 0 : run (&daemon, &settings);
  hf_settings_unload (&settings);
  hf_log_close ();
  return code;
}
