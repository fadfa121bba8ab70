/* hickoryd: the daemon of an entry VM. */
#include <gio/gio.h>
#include <glib-unix.h>
#include <malloc.h>
#include <stdio.h>

#include "hf-dump.h"
#include "hf-http.h"
#include "hf-log.h"
#include "hf-loop.h"
#include "hf-peers.h"
#include "hf-proxy.h"

#include "config.h"

/* --- constants --- */

#define EXIT_USAGE    2
#define EXIT_SETTINGS 3
#define EXIT_IO       4

/* --- types --- */

struct daemon
{
  struct hf_loop loop;
  SoupServer *admin;
  char admin_text[64];
};

/* --- internal functions --- */

static void
answer (SoupServerMessage *message, unsigned status, const char *type, char *text)
{
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, type, SOUP_MEMORY_TAKE, text, strlen (text));
}

static void
admin_request (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query, gpointer data)
{
  struct daemon *daemon = data;
  const struct hf_state *state = daemon->loop.state;
  (void) server;
  (void) query;
  if (strcmp (path, "/healthz") == 0)
    answer (message, hf_state_is_ready (state) ? 200 : 503, "text/plain",
            g_strdup (hf_state_is_ready (state) ? "ok\n" : "not ready\n"));
  else if (strcmp (path, "/metrics") == 0)
    answer (message, 200, "text/plain; version=0.0.4", hf_dump_metrics (state, hf_loop_now ()));
  else if (strcmp (path, "/dump") == 0)
    answer (message, 200, "text/plain", hf_dump_text (state, hf_loop_now ()));
  else if (strcmp (path, "/status") == 0)
    answer (message, 200, "application/json", hf_dump_json (state, hf_loop_now ()));
  else
    answer (message, 404, "text/plain", g_strdup ("known paths: /healthz /metrics /dump /status\n"));
}

static gboolean
terminate (gpointer data)
{
  struct daemon *daemon = data;
  hf_loop_raise (&daemon->loop, (struct hf_event){ .kind = HF_EVENT_SHUTDOWN });
  return G_SOURCE_CONTINUE;
}

static gboolean
dump (gpointer data)
{
  struct daemon *daemon = data;
  char *text = hf_dump_text (daemon->loop.state, hf_loop_now ());
  hf_log_write (HF_LOG_STATE_DUMP, "state follows");
  fputs (text, stderr);
  g_free (text);
  return G_SOURCE_CONTINUE;
}

static bool
load_settings (const char *file, struct hf_settings *settings)
{
  char *text = NULL;
  gsize size = 0;
  GError *problem = NULL;
  struct hf_error error = { 0 };
  if (!g_file_get_contents (file, &text, &size, &problem))
    {
      hf_log_write (HF_LOG_SETTINGS_INVALID, "%s", problem->message);
      g_clear_error (&problem);
      return false;
    }
  bool ok = hf_settings_load ((struct hf_str){ .data = text, .len = size }, settings, &error);
  if (!ok)
    hf_log_write (HF_LOG_SETTINGS_INVALID, "%s:%u:%u: %s: %s", file, error.line, error.column, error.path,
                  error.message);
  g_free (text);
  return ok;
}

static bool
open_admin (struct daemon *daemon, struct hf_str address, struct hf_error *error)
{
  daemon->admin = soup_server_new (NULL, NULL);
  soup_server_add_handler (daemon->admin, NULL, admin_request, daemon, NULL);
  return hf_http_listen (daemon->admin, address, daemon->admin_text, sizeof daemon->admin_text, error);
}

static int
run (const struct hf_settings *settings)
{
  struct daemon daemon = { 0 };
  struct hf_error error = { 0 };
  if (!hf_loop_open (&daemon.loop, settings, &error))
    {
      hf_log_write (HF_LOG_SETTINGS_INVALID, "%s", error.message);
      return EXIT_IO;
    }
  if (!open_admin (&daemon, settings->admin, &error))
    {
      hf_log_write (HF_LOG_SETTINGS_INVALID, "%s", error.message);
      g_object_unref (daemon.admin);
      hf_loop_close (&daemon.loop);
      return EXIT_IO;
    }
  g_unix_signal_add (SIGTERM, terminate, &daemon);
  g_unix_signal_add (SIGINT, terminate, &daemon);
  g_unix_signal_add (SIGUSR1, dump, &daemon);
  hf_log_write (HF_LOG_LISTENING, "callers=%s admin=%s peers=%s", hf_proxy_address (daemon.loop.proxy).data,
                daemon.admin_text, hf_peers_address (daemon.loop.peers).data);
  g_main_loop_run (daemon.loop.main);
  hf_log_write (HF_LOG_EXIT, "nothing in flight");
  soup_server_disconnect (daemon.admin);
  g_object_unref (daemon.admin);
  hf_loop_close (&daemon.loop);
  return 0;
}

int
main (int argc, char **argv)
{
  gboolean version = FALSE;
  gboolean check = FALSE;
  GError *problem = NULL;
  struct hf_settings settings = { 0 };
  const GOptionEntry options[] = {
    { "version", 0, 0, G_OPTION_ARG_NONE, &version, "Print the version and leave", NULL },
    { "check", 0, 0, G_OPTION_ARG_NONE, &check, "Check the settings and leave", NULL },
    { 0 },
  };
  GOptionContext *context = g_option_context_new ("SETTINGS");
  g_option_context_set_summary (context, "Balances requests between callers and backend servers.");
  g_option_context_set_description (context, "Exit codes: 0 left as asked, 2 wrong use, 3 wrong settings, 4 "
                                             "an address cannot be used.\n"
                                             "Signals: SIGTERM leaves without cutting a request, SIGUSR1 "
                                             "dumps the state.");
  g_option_context_add_main_entries (context, options, NULL);
  hf_log_open ("hickoryd", HF_LEVEL_INFO);
  /* Given back and taken again for every answer, pages cost more than they
   * hold. */
  mallopt (M_TRIM_THRESHOLD, HF_MALLOC_TRIM_BYTES);
  bool parsed = g_option_context_parse (context, &argc, &argv, &problem);
  g_option_context_free (context);
  if (version)
    {
      printf ("hickoryd %s\n", HF_VERSION);
      return 0;
    }
  if (!parsed || argc != 2)
    {
      fprintf (stderr, "hickoryd: %s; see --help\n", problem ? problem->message : "expected one settings file");
      g_clear_error (&problem);
      return EXIT_USAGE;
    }
  if (!load_settings (argv[1], &settings))
    return EXIT_SETTINGS;
  hf_log_open ("hickoryd", (enum hf_log_level) settings.log_level);
  hf_log_write (HF_LOG_STARTED, "version %s, entry " HF_STR_FMT " in " HF_STR_FMT, HF_VERSION,
                HF_STR_ARG (settings.name), HF_STR_ARG (settings.failure_domain));
  int code = check ? 0 : run (&settings);
  hf_settings_unload (&settings);
  return code;
}
