/* Web console for editing the document. */
#include "hf-console.h"

#include <glib-unix.h>
#include <stdio.h>
#include <string.h>

#include "hf-admin-client.h"
#include "hf-form.h"
#include "hf-soup.h"

/* --- constants --- */

#define DIFF_LINES_MAX 6000
#define EMPTY_DOCUMENT                                                                                                 \
  "version: 1\nservices:\n  - name: service\n    servers: []\n    classes: "                                           \
  "[{name: all}]\n"

static const char page_head[] = "<!DOCTYPE html><html lang=\"en\"><head><meta "
                                "charset=\"utf-8\"><title>hickoryfield</title><style>"
                                "body{font:15px "
                                "sans-serif;margin:1.5em;max-width:75em}table{border-collapse:collapse}"
                                "td,th{padding:.2em .5em;text-align:left;vertical-align:top}"
                                "tr:nth-child(even){background:#f4f4f4}input,select{font:inherit;width:"
                                "11em}input[type=checkbox]{width:auto}"
                                ".error{color:#a00;font-weight:bold}.help{color:#555;font-size:85%}pre{"
                                "background:#f4f4f4;padding:.5em;overflow:auto}"
                                ".add{background:#dfd}.del{background:#fdd}</style></"
                                "head><body><h1>hickoryfield</h1>";

/* --- types --- */

struct console
{
  GMainLoop *main_loop;
  SoupServer *server;
  char address[64];
  char token[40]; /* in every form, against cross-site request forgery */
  const char *platform_address;
  struct hf_form form;
  struct hf_stored_document stored; /* document in the platform when the editing began */
  struct hf_error draft_error;      /* code HF_ERROR_NONE: the draft is valid */
  char *message;                    /* result of the last action, or NULL */
};

/* --- internal functions: HTML --- */

static void
add_escaped (GString *page, const char *text)
{
  char *escaped = g_markup_escape_text (text, -1);
  g_string_append (page, escaped);
  g_free (escaped);
}

static void
add_button (GString *page, const char *action, const char *value, const char *label)
{
  g_string_append_printf (page, "<button name=\"%s\" value=\"", action);
  add_escaped (page, value);
  g_string_append_printf (page, "\">%s</button> ", label);
}

static void
add_error (const struct console *console, GString *page, const char *path)
{
  if (console->draft_error.code == HF_ERROR_NONE || strcmp (console->draft_error.path, path) != 0)
    return;
  g_string_append (page, "<br><span class=\"error\" role=\"alert\">");
  add_escaped (page, console->draft_error.message);
  g_string_append (page, "</span>");
}

static void
add_options (GString *page, const struct hf_yaml_field *field, const char *value)
{
  for (int i = 0; field->choices[i]; i++)
    g_string_append_printf (page, "<option%s>%s</option>", strcmp (field->choices[i], value) == 0 ? " selected" : "",
                            field->choices[i]);
  g_string_append (page, "</select>");
}

static void
add_input (const struct console *console, GString *page, const struct hf_yaml_field *field, const char *path)
{
  const char *value = hf_form_get (&console->form, path);
  char *name = g_markup_escape_text (path, -1);
  if (field->type == HF_YAML_BOOL)
    g_string_append_printf (page,
                            "<input type=\"hidden\" name=\"%s\" value=\"false\"><input "
                            "type=\"checkbox\" name=\"%s\" aria-label=\"%s\" value=\"true\"%s>",
                            name, name, field->name, strcmp (value, "true") == 0 ? " checked" : "");
  else if (field->type == HF_YAML_CHOICE)
    {
      g_string_append_printf (page, "<select name=\"%s\" aria-label=\"%s\">", name, field->name);
      add_options (page, field, value);
    }
  else
    {
      g_string_append_printf (page, "<input name=\"%s\" aria-label=\"%s\" value=\"", name, field->name);
      add_escaped (page, value);
      g_string_append (page, "\">");
    }
  add_error (console, page, path);
  g_free (name);
}

static void
add_row (const struct console *console,
         GString *page,
         const struct hf_yaml_field *field,
         const char *label,
         const char *path)
{
  g_string_append_printf (page, "<tr><th>%s</th><td>", label);
  add_input (console, page, field, path);
  g_string_append (page, "</td><td class=\"help\">");
  add_escaped (page, field->help);
  if (field->unit)
    g_string_append_printf (page, " Unit: %s.", field->unit);
  if (field->type == HF_YAML_INT)
    g_string_append_printf (page, " %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT ".", field->min, field->max);
  g_string_append (page, "</td></tr>");
}

/* Adds a row for each value, those of a map included; the lists have tables of their own. */
static void
add_rows (const struct console *console,
          GString *page,
          const struct hf_yaml_field *fields,
          const char *map,
          const char *prefix)
{
  for (const struct hf_yaml_field *field = fields; field->name; field++)
    {
      char *label = *map ? g_strdup_printf ("%s.%s", map, field->name) : g_strdup (field->name);
      char *path = *prefix ? g_strdup_printf ("%s.%s", prefix, field->name) : g_strdup (field->name);
      if (field->type == HF_YAML_MAP)
        add_rows (console, page, field->fields, label, path);
      else if (field->type != HF_YAML_LIST)
        add_row (console, page, field, label, path);
      g_free (path);
      g_free (label);
    }
}

/* Adds a table with a row for each element of a list and a column for each field. */
static void
add_table (const struct console *console, GString *page, const struct hf_yaml_field *list, const char *path)
{
  g_string_append_printf (page, "<h3>%s</h3><p class=\"help\">%s</p><table><tr>", list->name, list->help);
  for (const struct hf_yaml_field *field = list->fields; field->name; field++)
    g_string_append_printf (page, "<th title=\"%s\">%s</th>",
                            field->type == HF_YAML_STR_LIST ? "Separated by commas." : "", field->name);
  g_string_append (page, "</tr>");
  for (guint i = 0; i < hf_form_list_length (&console->form, path); i++)
    {
      g_string_append (page, "<tr>");
      for (const struct hf_yaml_field *field = list->fields; field->name; field++)
        {
          char *cell = g_strdup_printf ("%s[%u].%s", path, i, field->name);
          g_string_append (page, "<td>");
          add_input (console, page, field, cell);
          g_string_append (page, "</td>");
          g_free (cell);
        }
      char *item = g_strdup_printf ("%s[%u]", path, i);
      g_string_append (page, "<td>");
      add_button (page, "remove", item, "remove");
      g_string_append (page, "</td></tr>");
      g_free (item);
    }
  g_string_append (page, "</table>");
  add_button (page, "add", path, "add a row");
  add_error (console, page, path);
}

static void
begin_form (const struct console *console, GString *page, const char *action)
{
  g_string_append_printf (page,
                          "<form method=\"post\" action=\"%s\"><input "
                          "type=\"hidden\" name=\"token\" value=\"%s\">",
                          action, console->token);
}

/* --- internal functions: difference --- */

static void
add_diff_line (GString *page, char mark, const char *line)
{
  const char *class = mark == '+' ? "add" : mark == '-' ? "del" : "";
  g_string_append_printf (page, "<span class=\"%s\">%c ", class, mark);
  add_escaped (page, line);
  g_string_append (page, "</span>\n");
}

/* Adds a line diff: skips the lines that are equal at both ends, and finds the longest common subsequence of the lines
 * between them. */
static void
add_diff (GString *page, const char *old_text, const char *new_text)
{
  char **old_lines = g_strsplit (old_text, "\n", -1);
  char **new_lines = g_strsplit (new_text, "\n", -1);
  guint old_end = g_strv_length (old_lines);
  guint new_end = g_strv_length (new_lines);
  guint common_head = 0;
  while (common_head < old_end && common_head < new_end && strcmp (old_lines[common_head], new_lines[common_head]) == 0)
    common_head++;
  while (old_end > common_head && new_end > common_head && strcmp (old_lines[old_end - 1], new_lines[new_end - 1]) == 0)
    {
      old_end--;
      new_end--;
    }
  guint rows = old_end - common_head;
  guint columns = new_end - common_head;
  if (rows > DIFF_LINES_MAX || columns > DIFF_LINES_MAX)
    g_string_append (page, "too many lines differ to show them\n");
  else
    {
      guint16 *length = g_new0 (guint16, (gsize) (rows + 1) * (columns + 1));
#define LENGTH(i, j) length[(gsize) (i) * (columns + 1) + (j)]
      for (guint i = rows; i-- > 0;)
        for (guint j = columns; j-- > 0;)
          LENGTH (i, j) = strcmp (old_lines[common_head + i], new_lines[common_head + j]) == 0
                              ? LENGTH (i + 1, j + 1) + 1
                              : MAX (LENGTH (i + 1, j), LENGTH (i, j + 1));
      for (guint i = 0, j = 0; i < rows || j < columns;)
        if (i < rows && j < columns && strcmp (old_lines[common_head + i], new_lines[common_head + j]) == 0)
          {
            add_diff_line (page, ' ', old_lines[common_head + i++]);
            j++;
          }
        else if (j < columns && (i == rows || LENGTH (i, j + 1) >= LENGTH (i + 1, j)))
          add_diff_line (page, '+', new_lines[common_head + j++]);
        else
          add_diff_line (page, '-', old_lines[common_head + i++]);
#undef LENGTH
      g_free (length);
    }
  g_strfreev (old_lines);
  g_strfreev (new_lines);
}

/* Rewrites a stored document in the format of the draft, so that a diff shows only changed values. */
static char *
normalise_document (struct hf_str text)
{
  struct hf_form form;
  hf_form_init (&form);
  char *normalised = text.len && hf_form_load (&form, text, NULL) ? hf_form_to_shown_yaml (&form) : g_strdup ("");
  hf_form_close (&form);
  return normalised;
}

/* --- internal functions: pages --- */

static void
validate_draft (struct console *console)
{
  char *text = hf_form_to_yaml (&console->form);
  console->draft_error = (struct hf_error){ 0 };
  hf_document_unref (hf_document_load (hf_str (text), &console->draft_error));
  g_free (text);
}

static void
add_status (const struct console *console, GString *page)
{
  if (console->message)
    {
      g_string_append (page, "<p role=\"status\"><strong>");
      add_escaped (page, console->message);
      g_string_append (page, "</strong></p>");
    }
  if (console->draft_error.code == HF_ERROR_NONE)
    return;
  g_string_append (page, "<p class=\"error\">not valid yet: ");
  add_escaped (page, console->draft_error.path);
  g_string_append (page, ": ");
  add_escaped (page, console->draft_error.message);
  g_string_append (page, "</p>");
}

static void
add_services (const struct console *console, GString *page)
{
  g_string_append (page, "<h2>Services</h2><table><tr><th>name</th><th>path</"
                         "th><th>backend servers</th><th>classes</th><th></th></tr>");
  for (guint i = 0; i < hf_form_list_length (&console->form, "services"); i++)
    {
      char *path = g_strdup_printf ("services[%u]", i);
      char *name = g_strdup_printf ("%s.name", path);
      char *prefix = g_strdup_printf ("%s.path_prefix", path);
      char *servers = g_strdup_printf ("%s.servers", path);
      char *classes = g_strdup_printf ("%s.classes", path);
      g_string_append_printf (page, "<tr><td><a href=\"/service?i=%u\">", i);
      add_escaped (page, *hf_form_get (&console->form, name) ? hf_form_get (&console->form, name) : "(no name)");
      g_string_append (page, "</a></td><td>");
      add_escaped (page, hf_form_get (&console->form, prefix));
      g_string_append_printf (page, "</td><td>%u</td><td>%u</td><td>", hf_form_list_length (&console->form, servers),
                              hf_form_list_length (&console->form, classes));
      add_button (page, "remove", path, "remove");
      g_string_append (page, "</td></tr>");
      g_free (classes);
      g_free (servers);
      g_free (prefix);
      g_free (name);
      g_free (path);
    }
  g_string_append (page, "</table>");
  add_button (page, "add", "services", "add a service");
}

static char *
build_overview_page (const struct console *console)
{
  GString *page = g_string_new (page_head);
  char *draft = hf_form_to_shown_yaml (&console->form);
  char *stored_yaml = normalise_document (console->stored.text);
  add_status (console, page);
  begin_form (console, page, "/");
  /* Browsers submit a form with its first button when the Enter key is pressed. */
  g_string_append (page, "<p><button>check</button></p><h2>Fleet</h2><table>");
  add_rows (console, page, hf_document_fields, "", "");
  g_string_append (page, "</table>");
  add_services (console, page);
  g_string_append_printf (page,
                          "<p><button>check</button></p></form><h2>Difference "
                          "from generation %" G_GUINT64_FORMAT "</h2><pre>",
                          (guint64) console->stored.generation);
  add_diff (page, stored_yaml, draft);
  g_string_append (page, "</pre>");
  begin_form (console, page, "/apply");
  g_string_append_printf (page,
                          "<button%s>apply</button> <a href=\"/document.yaml\">save the "
                          "document</a></form>",
                          console->platform_address && console->draft_error.code == HF_ERROR_NONE ? "" : " disabled");
  begin_form (console, page, "/reload");
  g_string_append (page, "<button>drop the draft and load what is in "
                         "force</button></form><h2>Document</h2><pre>");
  add_escaped (page, draft);
  g_string_append (page, "</pre></body></html>");
  g_free (stored_yaml);
  g_free (draft);
  return g_string_free (page, FALSE);
}

static char *
build_service_page (const struct console *console, guint i)
{
  GString *page = g_string_new (page_head);
  char *prefix = g_strdup_printf ("services[%u]", i);
  char *action = g_strdup_printf ("/service?i=%u", i);
  const struct hf_yaml_field *services = hf_document_fields;
  while (strcmp (services->name, "services") != 0)
    services++;
  g_string_append (page, "<p><a href=\"/\">all services</a></p>");
  add_status (console, page);
  begin_form (console, page, action);
  g_string_append (page, "<p><button>check</button></p><table>");
  add_rows (console, page, services->fields, "", prefix);
  g_string_append (page, "</table>");
  for (const struct hf_yaml_field *field = services->fields; field->name; field++)
    {
      char *path = g_strdup_printf ("%s.%s", prefix, field->name);
      if (field->type == HF_YAML_LIST)
        add_table (console, page, field, path);
      g_free (path);
    }
  g_string_append (page, "<p><button>check</button></p></form></body></html>");
  g_free (action);
  g_free (prefix);
  return g_string_free (page, FALSE);
}

/* --- internal functions: changes --- */

static void
set_message (struct console *console, char *message)
{
  g_free (console->message);
  console->message = message;
}

static bool
load_current_document (struct console *console, struct hf_error *error)
{
  struct hf_stored_document stored = { 0 };
  if (console->platform_address && !hf_admin_client_read_document (console->platform_address, &stored, error))
    return false;
  hf_admin_client_free_document (&console->stored);
  console->stored = stored;
  struct hf_str text = stored.text.len ? stored.text : hf_str (EMPTY_DOCUMENT);
  return hf_form_load (&console->form, text, error);
}

static void
remove_element (struct console *console, const char *item)
{
  const char *bracket = strrchr (item, '[');
  if (!bracket)
    return;
  char *list = g_strndup (item, (gsize) (bracket - item));
  hf_form_remove_element (&console->form, list, (guint) g_ascii_strtoull (bracket + 1, NULL, 10));
  g_free (list);
}

/* Sets only values that exist in the draft, so that a request cannot add paths. */
static void
set_form_values (struct console *console, GHashTable *values)
{
  GHashTableIter iter;
  const char *path;
  const char *value;
  g_hash_table_iter_init (&iter, values);
  while (g_hash_table_iter_next (&iter, (gpointer *) &path, (gpointer *) &value))
    if (g_hash_table_contains (console->form.values, path))
      hf_form_set (&console->form, path, value);
  const char *added_list = g_hash_table_lookup (values, "add");
  const char *removed_element = g_hash_table_lookup (values, "remove");
  if (added_list
      && (strcmp (added_list, "services") == 0 || g_hash_table_contains (console->form.list_lengths, added_list)))
    hf_form_add_element (&console->form, added_list);
  if (removed_element)
    remove_element (console, removed_element);
}

static void
apply_draft (struct console *console)
{
  struct hf_error error = { 0 };
  uint64_t generation = 0;
  char *text = hf_form_to_yaml (&console->form);
  validate_draft (console);
  if (console->draft_error.code != HF_ERROR_NONE)
    set_message (console, g_strdup ("nothing was applied: the document is not valid"));
  else if (!hf_admin_client_write_document (console->platform_address, &console->stored, hf_str (text), &generation,
                                            &error))
    set_message (console, g_strdup_printf ("nothing was applied: %s", error.message));
  else
    {
      set_message (console, g_strdup_printf ("accepted as generation %" G_GUINT64_FORMAT, (guint64) generation));
      load_current_document (console, &error);
    }
  g_free (text);
}

/* --- internal functions: requests --- */

static void
send_response (SoupServerMessage *message, unsigned status, const char *type, char *text)
{
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (message);
  soup_message_headers_replace (headers, "Content-Security-Policy",
                                "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; "
                                "frame-ancestors 'none'");
  soup_message_headers_replace (headers, "X-Content-Type-Options", "nosniff");
  soup_message_headers_replace (headers, "Cache-Control", "no-store");
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, type, SOUP_MEMORY_TAKE, text, strlen (text));
}

/* Rejects requests that another site makes a browser send (DNS rebinding, cross-site requests), as their Host or Origin
 * differs; read_form_post also checks the token of the form. */
static bool
is_same_origin (const struct console *console, SoupServerMessage *message)
{
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (message);
  const char *host = soup_message_headers_get_one (headers, "Host");
  const char *origin = soup_message_headers_get_one (headers, "Origin");
  char *own_origin = g_strdup_printf ("http://%s", console->address);
  bool ok = host && strcmp (host, console->address) == 0 && (!origin || strcmp (origin, own_origin) == 0);
  g_free (own_origin);
  return ok;
}

static GHashTable *
read_form_post (const struct console *console, SoupServerMessage *message)
{
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  GBytes *bytes = soup_message_body_flatten (body);
  char *text = g_strndup (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes));
  GHashTable *values = soup_form_decode (text);
  const char *token = g_hash_table_lookup (values, "token");
  g_free (text);
  g_bytes_unref (bytes);
  if (token && strcmp (token, console->token) == 0)
    return values;
  g_hash_table_destroy (values);
  return NULL;
}

static bool
handle_post (struct console *console, SoupServerMessage *message, const char *path)
{
  GHashTable *values = read_form_post (console, message);
  struct hf_error error = { 0 };
  if (!values)
    return false;
  set_message (console, NULL);
  if (strcmp (path, "/apply") == 0 && console->platform_address)
    apply_draft (console);
  else if (strcmp (path, "/reload") == 0)
    set_message (console, load_current_document (console, &error) ? NULL : g_strdup (error.message));
  else
    set_form_values (console, values);
  validate_draft (console);
  g_hash_table_destroy (values);
  return true;
}

static void
handle_request (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query, gpointer data)
{
  struct console *console = data;
  const char *method = soup_server_message_get_method (message);
  const char *i = query ? g_hash_table_lookup (query, "i") : NULL;
  (void) server;
  if (!is_same_origin (console, message))
    send_response (message, 403, "text/plain", g_strdup ("not the address of this console\n"));
  else if (strcmp (method, "POST") == 0 && !handle_post (console, message, path))
    send_response (message, 403, "text/plain", g_strdup ("this form is not from this console\n"));
  else if (strcmp (path, "/document.yaml") == 0)
    send_response (message, console->draft_error.code ? 409 : 200, "text/yaml",
                   console->draft_error.code
                       ? g_strdup_printf ("%s: %s\n", console->draft_error.path, console->draft_error.message)
                       : hf_form_to_yaml (&console->form));
  else if (strcmp (path, "/service") == 0 && i
           && g_ascii_strtoull (i, NULL, 10) < hf_form_list_length (&console->form, "services"))
    send_response (message, 200, "text/html; charset=utf-8",
                   build_service_page (console, (guint) g_ascii_strtoull (i, NULL, 10)));
  else if (strcmp (path, "/") == 0 || strcmp (path, "/apply") == 0 || strcmp (path, "/reload") == 0
           || strcmp (path, "/service") == 0)
    send_response (message, 200, "text/html; charset=utf-8", build_overview_page (console));
  else
    send_response (message, 404, "text/plain", g_strdup ("no such page\n"));
}

static gboolean
on_quit_signal (gpointer data)
{
  g_main_loop_quit (data);
  return G_SOURCE_CONTINUE;
}

static void
make_token (char *token, size_t size)
{
  char *id = g_uuid_string_random ();
  g_strlcpy (token, id, size);
  g_free (id);
}

static bool
is_loopback (const char *listen)
{
  return g_str_has_prefix (listen, "127.") || g_str_has_prefix (listen, "[::1]");
}

/* --- public functions --- */

int
hf_console_run (const char *listen, const char *platform_address, struct hf_error *error)
{
  struct console console = { .platform_address = platform_address };
  if (!is_loopback (listen) || !hf_address_is_valid (hf_str (listen)))
    {
      hf_error_set (error, HF_ERROR_INVALID, "expected a loopback address of the form IP:PORT, found \"%s\"", listen);
      return -1;
    }
  hf_form_init (&console.form);
  make_token (console.token, sizeof console.token);
  console.server = soup_server_new (NULL, NULL);
  soup_server_add_handler (console.server, NULL, handle_request, &console, NULL);
  bool ok = load_current_document (&console, error)
            && hf_soup_server_listen (console.server, hf_str (listen), console.address, sizeof console.address, error);
  if (ok)
    {
      console.main_loop = g_main_loop_new (NULL, FALSE);
      guint interrupt = g_unix_signal_add (SIGINT, on_quit_signal, console.main_loop);
      guint terminate = g_unix_signal_add (SIGTERM, on_quit_signal, console.main_loop);
      printf ("console: http://%s/\n", console.address);
      fflush (stdout);
      g_main_loop_run (console.main_loop);
      g_source_remove (interrupt);
      g_source_remove (terminate);
      g_main_loop_unref (console.main_loop);
    }
  soup_server_disconnect (console.server);
  g_object_unref (console.server);
  hf_form_close (&console.form);
  hf_admin_client_free_document (&console.stored);
  g_free (console.message);
  return ok ? 0 : -1;
}
