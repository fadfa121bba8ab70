/*
 * Tests of the form console of hickoryctl with the fake platform: rejected
 * posts, errors beside their fields, applied documents and conflicts.
 */
#include "support.h"

#include <string.h>

#include "hf-form.h"
#include "hf-soup.h"

/* --- types --- */

struct console
{
  struct setup *setup;
  GSubprocess *process;
  char address[64];
  char token[64];
};

/* --- internal functions --- */

static char *
text_between (const char *text, const char *before, const char *after)
{
  const char *at = text ? strstr (text, before) : NULL;
  const char *end = at ? strstr (at + strlen (before), after) : NULL;
  return end ? g_strndup (at + strlen (before), (gsize) (end - at) - strlen (before)) : g_strdup ("");
}

/* Starts hickoryctl console and reads its address and the token of its form. */
static void
open_console (struct console *console)
{
  char *program = g_build_filename (console->setup->harness->build_dir, "hickoryctl", NULL);
  console->process = g_subprocess_new (G_SUBPROCESS_FLAGS_STDOUT_PIPE, NULL, program, "console", "--listen",
                                       "127.0.0.1:0", "-p", console->setup->harness->platform_address, NULL);
  GDataInputStream *lines = g_data_input_stream_new (g_subprocess_get_stdout_pipe (console->process));
  char *line = g_data_input_stream_read_line (lines, NULL, NULL, NULL);
  char *address = text_between (line, "http://", "/");
  g_strlcpy (console->address, address, sizeof console->address);
  char *html = harness_http_get (console->address, "/", NULL);
  char *token = text_between (html, "name=\"token\" value=\"", "\"");
  g_strlcpy (console->token, token, sizeof console->token);
  g_free (token);
  g_free (html);
  g_free (address);
  g_free (line);
  g_object_unref (lines);
  g_free (program);
}

static void
close_console (struct console *console)
{
  g_subprocess_force_exit (console->process);
  g_subprocess_wait (console->process, NULL, NULL);
  g_object_unref (console->process);
}

/* Posts the token and one value as a form; returns the page of the response, or NULL, and sets *status. */
static char *
post_form (struct console *console,
           const char *path,
           const char *origin,
           guint *status,
           const char *token,
           const char *name,
           const char *value)
{
  SoupSession *session = hf_soup_session_new (1, 10);
  char **parts = g_strsplit (path, "?", 2);
  SoupMessage *message = hf_soup_message_new ("POST", hf_str (console->address), parts[0], parts[1]);
  char *form = soup_form_encode ("token", token, name, value, NULL);
  GBytes *bytes = g_bytes_new_take (form, strlen (form));
  soup_message_set_request_body_from_bytes (message, "application/x-www-form-urlencoded", bytes);
  if (origin)
    soup_message_headers_replace (soup_message_get_request_headers (message), "Origin", origin);
  GBytes *response = soup_session_send_and_read (session, message, NULL, NULL);
  char *text = response ? g_strndup (g_bytes_get_data (response, NULL), g_bytes_get_size (response)) : NULL;
  *status = soup_message_get_status (message);
  g_clear_pointer (&response, g_bytes_unref);
  g_bytes_unref (bytes);
  g_object_unref (message);
  g_object_unref (session);
  g_strfreev (parts);
  return text;
}

/* The console must not let another site change the configuration, show markup from a value, apply an invalid document,
 * or overwrite a change of another operator. */
static void
test_console (void)
{
  struct console console = { .setup = setup_open (1, 1, 1, NULL) };
  guint status = 0;
  open_console (&console);
  /* A post of another site has no valid token, or the Origin of that site. */
  g_free (post_form (&console, "/", NULL, &status, "guess", "version", "1"));
  g_assert_cmpuint (status, ==, 403);
  g_free (post_form (&console, "/", "http://evil.example", &status, console.token, "version", "1"));
  g_assert_cmpuint (status, ==, 403);
  /* An invalid value stays in its field, beside an error; markup in it is escaped. */
  char *html = post_form (&console, "/service?i=0", NULL, &status, console.token, "services[0].queue_limit", "<b>lots");
  g_assert_nonnull (strstr (html, "&lt;b&gt;lots"));
  g_assert_null (strstr (html, "<b>lots"));
  g_assert_nonnull (strstr (html, "role=\"alert\">expected a whole number"));
  g_free (html);
  html = post_form (&console, "/apply", NULL, &status, console.token, "x", "y");
  g_assert_nonnull (strstr (html, "nothing was applied: the document is not valid"));
  g_free (html);
  /* A corrected value is shown as a difference and then applied. */
  html = post_form (&console, "/", NULL, &status, console.token, "services[0].queue_limit", "55");
  g_assert_nonnull (strstr (html, "<span class=\"add\">+   queue_limit: 55"));
  g_free (html);
  html = post_form (&console, "/apply", NULL, &status, console.token, "x", "y");
  g_assert_nonnull (strstr (html, "accepted as generation"));
  g_free (html);
  /* If another operator has applied a document since, it is not overwritten, and the page reports it. */
  g_assert_true (harness_apply_document (console.setup->harness, console.setup->document));
  html = post_form (&console, "/apply", NULL, &status, console.token, "x", "y");
  g_assert_nonnull (strstr (html, "nothing was applied: another operator"));
  g_free (html);
  close_console (&console);
  setup_close (console.setup);
}

/* Loading a document and writing it again must not change it, also after a list element was added and removed. */
static void
test_round_trip (void)
{
  static const char *const names[] = { "association.yaml", "non-profit.yaml" };
  for (gsize i = 0; i < G_N_ELEMENTS (names); i++)
    {
      char *path = g_build_filename (HF_SOURCE, "examples", names[i], NULL);
      char *text = NULL;
      struct hf_form form;
      hf_form_init (&form);
      g_assert_true (g_file_get_contents (path, &text, NULL, NULL));
      g_assert_true (hf_form_load (&form, hf_str (text), NULL));
      char *first = hf_form_to_yaml (&form);
      guint servers = hf_form_list_length (&form, "services[1].servers");
      hf_form_add_element (&form, "services[1].servers");
      hf_form_remove_element (&form, "services[1].servers", servers);
      char *same = hf_form_to_yaml (&form);
      g_assert_cmpstr (first, ==, same);
      g_assert_true (hf_form_load (&form, hf_str (first), NULL));
      char *second = hf_form_to_yaml (&form);
      g_assert_cmpstr (first, ==, second);
      hf_form_close (&form);
      g_free (second);
      g_free (same);
      g_free (first);
      g_free (text);
      g_free (path);
    }
}

/* A form keeps the values of maps: the limits, and the class of a route. */
static void
test_maps_kept (void)
{
  static const char document[] = "version: 1\nlimits: {head_bytes: 4096, idle_ms: 1500}\nservices:\n"
                                 "  - name: a\n    path_prefix: /a\n    servers:\n"
                                 "      - {name: s0, address: \"127.0.0.1:9\", slots: 3}\n"
                                 "    classes:\n      - {name: read, worth: 1, deadline_ms: 2000}\n"
                                 "routes:\n  - name: r0\n    host: h.example\n    path_prefix: /p/\n"
                                 "    class: {name: fast, worth: 7, deadline_ms: 1234}\n    parts: [{service: a}]\n";
  struct hf_form form;
  hf_form_init (&form);
  g_assert_true (hf_form_load (&form, hf_str (document), NULL));
  g_assert_cmpstr (hf_form_get (&form, "limits.head_bytes"), ==, "4096");
  char *text = hf_form_to_yaml (&form);
  struct hf_document *loaded = hf_document_load (hf_str (text), NULL);
  g_assert_nonnull (loaded);
  if (loaded)
    {
      const struct hf_route *route = loaded->routes.items;
      g_assert_cmpint (loaded->limits.head_bytes_max, ==, 4096);
      g_assert_cmpint (loaded->limits.idle_timeout_ms, ==, 1500);
      g_assert_cmpint (route->class.deadline_ms, ==, 1234);
      g_assert_cmpint (route->class.worth, ==, 7);
      hf_document_unref (loaded);
    }
  g_free (text);
  hf_form_close (&form);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  g_test_add_func ("/console/forms", test_console);
  g_test_add_func ("/console/round-trip", test_round_trip);
  g_test_add_func ("/console/maps-kept", test_maps_kept);
  return g_test_run ();
}
