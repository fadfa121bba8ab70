/* hickoryctl: command-line tool for operators. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include <json-glib/json-glib.h>

#include "hf-admin-client.h"
#include "hf-console.h"
#include "hf-document.h"
#include "hf-explain.h"
#include "hf-settings.h"

#include "config.h"

/* --- constants --- */

#define EXIT_USAGE        2
#define EXIT_INVALID      3
#define EXIT_CONFLICT     4
#define EXIT_UNAVAILABLE  5
#define EXIT_WAIT_TIMEOUT 6
#define POLL_INTERVAL_US  100000 /* between two checks of the entries by --wait */
#define CONSOLE_ADDRESS   "127.0.0.1:8090"

/* --- types --- */

struct options
{
  char *platform;
  char *listen;
  char **entries;
  gboolean json;
  gboolean wait;
  gboolean settings;
  gboolean version;
  gboolean undo;
  int wait_ms;
};

struct command
{
  const char *name;
  int n_arguments; /* required number; negative: at least that many */
  int (*run) (const struct options *options, char **arguments);
};

/* --- internal functions: errors --- */

static int
exit_code (const struct hf_error *error)
{
  if (error->code == HF_ERROR_CONFLICT)
    return EXIT_CONFLICT;
  return error->code == HF_ERROR_UNAVAILABLE || error->code == HF_ERROR_IO ? EXIT_UNAVAILABLE : EXIT_INVALID;
}

static int
report_error (const char *file, const struct hf_error *error)
{
  if (file && error->line)
    fprintf (stderr, "%s:%u:%u: %s%s%s\n", file, error->line, error->column, error->path, *error->path ? ": " : "",
             error->message);
  else if (file)
    fprintf (stderr, "%s: %s%s%s\n", file, error->path, *error->path ? ": " : "", error->message);
  else
    fprintf (stderr, "hickoryctl: %s\n", error->message);
  return exit_code (error);
}

static bool
require_platform (const struct options *options)
{
  if (!options->platform)
    fprintf (stderr, "hickoryctl: this command needs --platform IP:PORT\n");
  return options->platform != NULL;
}

/* --- internal functions: files --- */

static bool
read_file (const char *file, struct hf_str *text, struct hf_error *error)
{
  GError *gerror = NULL;
  char *data = NULL;
  gsize size = 0;
  if (!g_file_get_contents (file, &data, &size, &gerror))
    {
      hf_error_set (error, HF_ERROR_IO, "%s", gerror->message);
      g_clear_error (&gerror);
      return false;
    }
  *text = (struct hf_str){ .data = data, .len = size };
  return true;
}

static bool
check_text (struct hf_str text, bool is_settings, struct hf_error *error)
{
  if (is_settings)
    {
      struct hf_settings loaded;
      bool ok = hf_settings_load (text, &loaded, error);
      if (ok)
        hf_settings_unload (&loaded);
      return ok;
    }
  if (text.len > HF_MANIFEST_BYTES_MAX)
    return hf_error_set (error, HF_ERROR_INVALID, "the document has %zu bytes; the limit is %d bytes", text.len,
                         HF_MANIFEST_BYTES_MAX);
  struct hf_document *document = hf_document_load (text, error);
  bool ok = document != NULL;
  hf_document_unref (document);
  return ok;
}

/* --- internal functions: entries --- */

static GPtrArray *
list_entries (const struct options *options, struct hf_error *error)
{
  GPtrArray *addresses = g_ptr_array_new_with_free_func (g_free);
  for (int i = 0; options->entries && options->entries[i]; i++)
    g_ptr_array_add (addresses, g_strdup (options->entries[i]));
  if (addresses->len > 0 || !options->platform || hf_admin_client_list_addresses (options->platform, addresses, error))
    return addresses;
  g_ptr_array_unref (addresses);
  return NULL;
}

/* Returns the status of one entry as parsed JSON; NULL if it cannot be read. */
static JsonParser *
get_entry_status (const char *address)
{
  unsigned status = 0;
  struct hf_error error = { 0 };
  char *text = hf_admin_client_get_text (address, "/status", &status, &error);
  JsonParser *parser = json_parser_new ();
  bool ok = text && status == 200 && json_parser_load_from_data (parser, text, -1, NULL);
  g_free (text);
  if (!ok)
    g_clear_object (&parser);
  return parser;
}

static uint64_t
get_entry_generation (const char *address)
{
  JsonParser *parser = get_entry_status (address);
  uint64_t generation = 0;
  if (!parser)
    return 0;
  generation
      = (uint64_t) json_object_get_int_member (json_node_get_object (json_parser_get_root (parser)), "generation");
  g_object_unref (parser);
  return generation;
}

static int
wait_for_entries (const struct options *options, uint64_t generation)
{
  gint64 deadline = g_get_monotonic_time () + options->wait_ms * HF_MS;
  guint n_behind = 0;
  guint n_entries = 0;
  do
    {
      struct hf_error error = { 0 };
      GPtrArray *entries = list_entries (options, &error);
      if (!entries)
        return report_error (NULL, &error);
      n_behind = 0;
      for (guint i = 0; i < entries->len; i++)
        n_behind += get_entry_generation (g_ptr_array_index (entries, i)) < generation;
      n_entries = entries->len;
      g_ptr_array_unref (entries);
      if (n_entries > 0 && n_behind == 0)
        {
          printf ("in force at %u entries\n", n_entries);
          return 0;
        }
      g_usleep (POLL_INTERVAL_US);
    }
  while (g_get_monotonic_time () < deadline);
  if (n_entries == 0)
    fprintf (stderr, "hickoryctl: the document is accepted, but the platform lists no entry after %d ms\n",
             options->wait_ms);
  else
    fprintf (stderr, "hickoryctl: the document is accepted, but not in force at %u entries after %d ms\n", n_behind,
             options->wait_ms);
  return EXIT_WAIT_TIMEOUT;
}

/* --- internal functions: commands --- */

static int
run_check (const struct options *options, char **arguments)
{
  struct hf_error error = { 0 };
  struct hf_str text = { 0 };
  if (!read_file (arguments[0], &text, &error))
    return report_error (arguments[0], &error);
  bool ok = check_text (text, options->settings, &error);
  hf_str_free (&text);
  if (!ok)
    return report_error (arguments[0], &error);
  printf ("%s: ok\n", arguments[0]);
  return 0;
}

static int
apply_text (const struct options *options, const char *file, struct hf_str text)
{
  struct hf_error error = { 0 };
  struct hf_stored_document stored;
  uint64_t generation = 0;
  if (!check_text (text, false, &error))
    return report_error (file, &error);
  if (!hf_admin_client_read_document (options->platform, &stored, &error))
    return report_error (NULL, &error);
  uint64_t base = hf_admin_client_base_generation (text);
  bool ok = false;
  if (base && base != stored.generation)
    hf_error_set (&error, HF_ERROR_CONFLICT,
                  "the file is based on generation %" G_GUINT64_FORMAT ", the stored one is %" G_GUINT64_FORMAT
                  "; nothing has been changed",
                  (guint64) base, (guint64) stored.generation);
  else
    ok = hf_admin_client_write_document (options->platform, &stored, text, &generation, &error);
  hf_admin_client_free_document (&stored);
  if (!ok)
    return report_error (NULL, &error);
  printf ("accepted as generation %" G_GUINT64_FORMAT "\n", (guint64) generation);
  return options->wait ? wait_for_entries (options, generation) : 0;
}

static int
run_apply (const struct options *options, char **arguments)
{
  struct hf_error error = { 0 };
  struct hf_str text = { 0 };
  if (!require_platform (options))
    return EXIT_USAGE;
  if (!read_file (arguments[0], &text, &error))
    return report_error (arguments[0], &error);
  int code = apply_text (options, arguments[0], text);
  hf_str_free (&text);
  return code;
}

static int
run_show (const struct options *options, char **arguments)
{
  struct hf_error error = { 0 };
  struct hf_stored_document stored;
  (void) arguments;
  if (!require_platform (options))
    return EXIT_USAGE;
  if (!hf_admin_client_read_document (options->platform, &stored, &error))
    return report_error (NULL, &error);
  if (stored.version == 0)
    fprintf (stderr, "hickoryctl: there is no document yet\n");
  else
    {
      /* Replaces the generation comment that an earlier "show" put into the document. */
      const char *text = stored.text.data;
      if (hf_admin_client_base_generation (stored.text) && strchr (text, '\n'))
        text = strchr (text, '\n') + 1;
      printf ("# generation: %" G_GUINT64_FORMAT "\n%s", (guint64) stored.generation, text);
    }
  int code = stored.version ? 0 : EXIT_UNAVAILABLE;
  hf_admin_client_free_document (&stored);
  return code;
}

static int
run_evacuate (const struct options *options, char **arguments)
{
  struct hf_error error = { 0 };
  if (!require_platform (options))
    return EXIT_USAGE;
  if (!*arguments[0])
    {
      fprintf (stderr, "hickoryctl: expected the name of a failure domain\n");
      return EXIT_USAGE;
    }
  if (!hf_admin_client_set_evacuation (options->platform, arguments[0], !options->undo, &error))
    return report_error (NULL, &error);
  printf (options->undo ? "the evacuation of failure domain %s is withdrawn\n"
                        : "the evacuation of failure domain %s is ordered\n",
          arguments[0]);
  return 0;
}

static void
print_service (JsonObject *service)
{
  JsonArray *servers = json_object_get_array_member (service, "servers");
  gint64 slots = 0;
  gint64 used = 0;
  for (guint i = 0; i < json_array_get_length (servers); i++)
    {
      JsonObject *server = json_array_get_object_element (servers, i);
      slots += json_object_get_int_member (server, "slots");
      used += json_object_get_int_member (server, "used") + json_object_get_int_member (server, "used_elsewhere");
    }
  printf ("  service %s: slots %d used %d, waiting %d, refused (queue full %d, "
          "deadline %d, no server %d, retry budget %d), "
          "retry tokens %.1f, probe tokens %d, granter %s%s\n",
          json_object_get_string_member (service, "name"), (int) slots, (int) used,
          (int) json_object_get_int_member (service, "waiting"),
          (int) json_object_get_int_member (service, "refused_queue_full"),
          (int) json_object_get_int_member (service, "refused_deadline"),
          (int) json_object_get_int_member (service, "refused_no_server"),
          (int) json_object_get_int_member (service, "refused_retry_budget"),
          json_object_get_double_member (service, "retry_tokens"),
          (int) json_object_get_int_member (service, "probe_tokens"),
          json_object_get_string_member (service, "granter"),
          json_object_get_boolean_member (service, "granter_silent") ? " (silent)" : "");
  for (guint i = 0; i < json_array_get_length (servers); i++)
    {
      JsonObject *server = json_array_get_object_element (servers, i);
      const char *state = json_object_get_string_member (server, "state");
      if (strcmp (state, "in use") != 0)
        printf ("    %s: %s\n", json_object_get_string_member (server, "name"), state);
    }
}

static void
print_entry (const char *address, JsonObject *entry)
{
  printf ("entry %s (%s) in %s: %s, generation %" G_GINT64_FORMAT
          ", platform %s, last event of config %d ms ago, of the VM list %d ms ago, "
          "%d calls in flight\n",
          json_object_get_string_member (entry, "name"), address,
          json_object_get_string_member (entry, "failure_domain"), json_object_get_string_member (entry, "state"),
          json_object_get_int_member (entry, "generation"),
          json_object_get_boolean_member (entry, "platform_reachable") ? "reachable" : "NOT REACHABLE",
          (int) json_object_get_int_member (entry, "config_heard_ms_ago"),
          (int) json_object_get_int_member (entry, "vm_list_heard_ms_ago"),
          (int) json_object_get_int_member (entry, "calls_in_flight"));
  JsonArray *services = json_object_get_array_member (entry, "services");
  for (guint i = 0; i < json_array_get_length (services); i++)
    {
      JsonObject *service = json_array_get_object_element (services, i);
      /* Only the granter of a service tracks all of its slots; other entries count just those that they use. */
      if (strcmp (json_object_get_string_member (service, "granter"), json_object_get_string_member (entry, "name"))
          == 0)
        print_service (service);
    }
}

static int
run_status (const struct options *options, char **arguments)
{
  struct hf_error error = { 0 };
  GPtrArray *entries = list_entries (options, &error);
  guint n_unreachable = 0;
  (void) arguments;
  if (!entries)
    return report_error (NULL, &error);
  if (options->json)
    printf ("[");
  for (guint i = 0; i < entries->len; i++)
    {
      const char *address = g_ptr_array_index (entries, i);
      JsonParser *parser = get_entry_status (address);
      char *text = parser ? json_to_string (json_parser_get_root (parser), FALSE) : NULL;
      n_unreachable += parser == NULL;
      if (options->json)
        printf ("%s%s", i ? "," : "", text ? text : "null");
      else if (parser)
        print_entry (address, json_node_get_object (json_parser_get_root (parser)));
      else
        printf ("entry %s: no response\n", address);
      g_free (text);
      g_clear_object (&parser);
    }
  if (options->json)
    printf ("]\n");
  else
    printf ("%u entries, %u without a response\n", entries->len, n_unreachable);
  g_ptr_array_unref (entries);
  return n_unreachable ? EXIT_UNAVAILABLE : 0;
}

static int
run_dump (const struct options *options, char **arguments)
{
  struct hf_error error = { 0 };
  unsigned status = 0;
  (void) options;
  char *text = hf_admin_client_get_text (arguments[0], "/dump", &status, &error);
  if (!text)
    return report_error (NULL, &error);
  fputs (text, stdout);
  g_free (text);
  return status == 200 ? 0 : EXIT_UNAVAILABLE;
}

static int
run_console (const struct options *options, char **arguments)
{
  struct hf_error error = { 0 };
  (void) arguments;
  int code = hf_console_run (options->listen ? options->listen : CONSOLE_ADDRESS, options->platform, &error);
  return code == 0 ? 0 : report_error (NULL, &error);
}

/* Arguments: id of the request, then log files. */
static int
run_explain (const struct options *options, char **arguments)
{
  struct hf_error error = { 0 };
  struct hf_explain *explain = hf_explain_open (arguments[0]);
  for (int i = 1; arguments[i]; i++)
    if (!hf_explain_read_file (explain, arguments[i], &error))
      {
        hf_explain_close (explain);
        return report_error (NULL, &error);
      }
  char *text = options->json ? hf_explain_format_json (explain) : hf_explain_format_text (explain);
  bool found = hf_explain_count_matches (explain) > 0;
  fputs (text, stdout);
  fprintf (stderr, "%u lines of request %s; %u lines are not JSON objects and were skipped\n",
           hf_explain_count_matches (explain), arguments[0], hf_explain_count_unreadable (explain));
  g_free (text);
  hf_explain_close (explain);
  return found ? 0 : EXIT_UNAVAILABLE;
}

static const struct command commands[] = {
  { "check", 1, run_check },      { "apply", 1, run_apply },       { "show", 0, run_show },
  { "status", 0, run_status },    { "dump", 1, run_dump },         { "console", 0, run_console },
  { "explain", -2, run_explain }, { "evacuate", 1, run_evacuate }, { 0 },
};

static bool
accepts_argument_count (const struct command *command, int given)
{
  return command->n_arguments < 0 ? given >= -command->n_arguments : given == command->n_arguments;
}

static int
run_command (const struct options *options, int argc, char **argv)
{
  for (const struct command *command = commands; argc > 1 && command->name; command++)
    if (strcmp (command->name, argv[1]) == 0 && accepts_argument_count (command, argc - 2))
      return command->run (options, argv + 2);
  fprintf (stderr, "hickoryctl: unknown command or wrong number of arguments; see --help\n");
  return EXIT_USAGE;
}

int
main (int argc, char **argv)
{
  struct options options = { .wait_ms = 10000 };
  GError *gerror = NULL;
  const GOptionEntry option_entries[] = {
    { "platform", 'p', 0, G_OPTION_ARG_STRING, &options.platform, "Address of the platform's object API", "IP:PORT" },
    { "entry", 'e', 0, G_OPTION_ARG_STRING_ARRAY, &options.entries,
      "Admin address of an entry, instead of the VM list; may be given several times", "IP:PORT" },
    { "listen", 0, 0, G_OPTION_ARG_STRING, &options.listen, "console: loopback address to listen on (127.0.0.1:8090)",
      "IP:PORT" },
    { "json", 0, 0, G_OPTION_ARG_NONE, &options.json, "status, explain: print JSON", NULL },
    { "wait", 0, 0, G_OPTION_ARG_NONE, &options.wait, "apply: wait until the document is in force at every live entry",
      NULL },
    { "wait-ms", 0, 0, G_OPTION_ARG_INT, &options.wait_ms, "apply: timeout of --wait in milliseconds (10000)", "MS" },
    { "settings", 0, 0, G_OPTION_ARG_NONE, &options.settings,
      "check: FILE holds settings of a hickoryd, not a document", NULL },
    { "undo", 0, 0, G_OPTION_ARG_NONE, &options.undo, "evacuate: withdraw the order", NULL },
    { "version", 0, 0, G_OPTION_ARG_NONE, &options.version, "Print the version and exit", NULL },
    { 0 },
  };
  GOptionContext *context = g_option_context_new ("COMMAND [ARGUMENT]");
  g_option_context_set_summary (context, "Commands:\n"
                                         "  check FILE    validates a document (or settings)\n"
                                         "  apply FILE    stores a document as the desired state\n"
                                         "  show          prints the stored document, ready to edit and apply\n"
                                         "  status        prints the state of entries, services and budgets\n"
                                         "  dump ADDRESS  prints the full state of one entry, given its admin address\n"
                                         "  console       serves a web page with forms to edit the document\n"
                                         "  explain ID FILE...  prints the history of one request from log files\n"
                                         "  evacuate DOMAIN     sends no new requests to the backend servers of a "
                                         "failure domain");
  g_option_context_set_description (context,
                                    "Exit codes: 0 success, 2 wrong usage, 3 invalid document or settings, 4 conflict "
                                    "with another change,\n"
                                    "5 platform, entry or file not available, 6 accepted, but --wait "
                                    "timed out.");
  g_option_context_add_main_entries (context, option_entries, NULL);
  bool parsed = g_option_context_parse (context, &argc, &argv, &gerror);
  g_option_context_free (context);
  if (!parsed)
    {
      fprintf (stderr, "hickoryctl: %s; see --help\n", gerror->message);
      g_clear_error (&gerror);
      return EXIT_USAGE;
    }
  if (options.version)
    {
      printf ("hickoryctl %s\n", HF_VERSION);
      return 0;
    }
  int code = run_command (&options, argc, argv);
  g_free (options.platform);
  g_free (options.listen);
  g_strfreev (options.entries);
  return code;
}
