/* Fixture and HTTP calls shared by the tests of real processes. */
#include "support.h"

#include <stdlib.h>
#include <string.h>

#include "hf-soup.h"

/* --- constants --- */

#define CALL_TIMEOUT_S 30

/* --- internal functions --- */

static SoupMessage *
make_message (const char *address,
              const char *method,
              const char *path,
              const char *test_key,
              const char *idempotency_key,
              const char *fault,
              const char *body)
{
  SoupMessage *message = hf_soup_message_new (method, hf_str (address), path, NULL);
  SoupMessageHeaders *headers = soup_message_get_request_headers (message);
  soup_message_headers_replace (headers, "X-Test-Key", test_key);
  if (idempotency_key)
    soup_message_headers_replace (headers, "Idempotency-Key", idempotency_key);
  if (fault)
    soup_message_headers_replace (headers, "X-Fake", fault);
  if (body)
    {
      GBytes *bytes = g_bytes_new (body, strlen (body));
      soup_message_set_request_body_from_bytes (message, "text/plain", bytes);
      g_bytes_unref (bytes);
    }
  return message;
}

static void
read_response (struct response *response, SoupMessage *message, GBytes *body)
{
  SoupMessageHeaders *headers = soup_message_get_response_headers (message);
  if (!body)
    return;
  response->status = soup_message_get_status (message);
  response->outcome = g_strdup (soup_message_headers_get_one (headers, "Hickory-Outcome"));
  response->digest = g_strdup (soup_message_headers_get_one (headers, "X-Body-Digest"));
  response->retry_after = g_strdup (soup_message_headers_get_one (headers, "Retry-After"));
  response->size = g_bytes_get_size (body);
  g_bytes_unref (body);
}

static void
on_call_done (GObject *source, GAsyncResult *result, gpointer data)
{
  struct response *response = data;
  read_response (response, response->message, soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL));
  g_clear_object (&response->message);
  response->done = TRUE;
}

static gboolean
is_done (void *context)
{
  return ((struct response *) context)->done;
}

static guint64
number_after (const char *text, const char *name)
{
  const char *at = text ? strstr (text, name) : NULL;
  return at ? g_ascii_strtoull (at + strlen (name), NULL, 10) : 0;
}

struct expected_members
{
  struct setup *setup;
  guint alive;
};

static gboolean
all_entries_see (void *context)
{
  const struct expected_members *expected_members = context;
  for (guint i = 0; i < expected_members->setup->harness->entries->len; i++)
    {
      const struct entry *entry = g_ptr_array_index (expected_members->setup->harness->entries, i);
      if (!entry->process->ended && entry_metric (entry, "members_alive") != expected_members->alive)
        return FALSE;
    }
  return TRUE;
}

/* --- public functions --- */

char *
setup_document (struct setup *setup, const char *service_keys, const char *server_keys)
{
  GString *text = g_string_new ("version: 1\nentries_max: 5\nservices:\n  - "
                                "name: a\n    path_prefix: /a\n");
  g_string_append (text, service_keys ? service_keys : "    probe_budget: 0\n");
  g_string_append (text, "    servers:\n");
  for (guint i = 0; i < setup->backend->server_addresses->len; i++)
    g_string_append_printf (text, "      - {name: s%u, address: \"%s\", slots: 3%s}\n", i,
                            (char *) g_ptr_array_index (setup->backend->server_addresses, i),
                            i == 0 && server_keys ? server_keys : "");
  g_string_append (text, "    classes:\n"
                         "      - {name: read, methods: [GET], worth: 1, "
                         "deadline_ms: 2000, repeatable: true}\n"
                         "      - {name: upload, path_prefix: /a/upload, "
                         "worth: 3, deadline_ms: 60000}\n"
                         "      - {name: write, methods: [POST, PUT], worth: "
                         "5, deadline_ms: 3000}\n");
  return g_string_free (text, FALSE);
}

struct setup *
setup_open (int entries, int servers, double mean_ms, const char *service_keys)
{
  struct setup *setup = g_new0 (struct setup, 1);
  setup->harness = harness_open (g_test_get_filename (G_TEST_BUILT, "x", NULL));
  setup->backend = harness_add_backend_constant (setup->harness, servers, 3, mean_ms);
  for (int i = 0; i < entries; i++)
    harness_add_entry (setup->harness, i % 2 ? "d2" : "d1");
  setup->document = setup_document (setup, service_keys, NULL);
  g_assert_true (harness_apply_document (setup->harness, setup->document));
  g_assert_true (wait_for_members (setup, (guint) entries));
  return setup;
}

void
setup_close (struct setup *setup)
{
  harness_close (setup->harness);
  g_free (setup->document);
  g_free (setup);
}

struct entry *
setup_entry (struct setup *setup, guint i)
{
  return g_ptr_array_index (setup->harness->entries, i);
}

struct response
send_call (const char *address,
           const char *method,
           const char *path,
           const char *test_key,
           const char *idempotency_key,
           const char *fault,
           const char *body)
{
  struct response response = { .done = TRUE };
  SoupSession *session = hf_soup_session_new (1, CALL_TIMEOUT_S);
  SoupMessage *message = make_message (address, method, path, test_key, idempotency_key, fault, body);
  /* libsoup may resend a request that it takes for repeatable; on a new connection it sends each request once. */
  soup_message_add_flags (message, SOUP_MESSAGE_NEW_CONNECTION);
  read_response (&response, message, soup_session_send_and_read (session, message, NULL, NULL));
  g_object_unref (message);
  g_object_unref (session);
  return response;
}

struct response *
start_call (const char *address,
            const char *method,
            const char *path,
            const char *test_key,
            const char *idempotency_key,
            const char *fault)
{
  struct response *response = g_new0 (struct response, 1);
  SoupSession *session = hf_soup_session_new (1, CALL_TIMEOUT_S);
  response->message = make_message (address, method, path, test_key, idempotency_key, fault, NULL);
  soup_message_add_flags (response->message, SOUP_MESSAGE_NEW_CONNECTION);
  soup_session_send_and_read_async (session, response->message, G_PRIORITY_DEFAULT, NULL, on_call_done, response);
  g_object_unref (session);
  return response;
}

gboolean
wait_for_response (struct response *response, int seconds)
{
  return harness_wait_until (is_done, response, seconds);
}

void
clear_response (struct response *response)
{
  g_free (response->outcome);
  g_free (response->digest);
  g_free (response->retry_after);
  *response = (struct response){ 0 };
}

guint
count_runs (struct setup *setup, const char *test_key)
{
  char *text = harness_http_get (setup->backend->control_address, "/runs", NULL);
  char *line = g_strdup_printf ("%s ", test_key);
  guint runs = (guint) number_after (text, line);
  g_free (line);
  g_free (text);
  return runs;
}

guint
server_stat (struct setup *setup, guint server, const char *name)
{
  char *text = harness_http_get (setup->backend->control_address, "/stats", NULL);
  const char *line = text ? strstr (text, g_ptr_array_index (setup->backend->server_addresses, server)) : NULL;
  char *label = g_strdup_printf (" %s ", name);
  guint value = (guint) number_after (line, label);
  g_free (label);
  g_free (text);
  return value;
}

guint64
entry_generation (const struct entry *entry)
{
  return entry_metric (entry, "generation");
}

guint64
entry_metric (const struct entry *entry, const char *name)
{
  char *text = harness_http_get (entry->admin_address, "/metrics", NULL);
  char *label = g_strdup_printf ("\nhickoryfield_%s ", name);
  guint64 value = number_after (text, label);
  g_free (label);
  g_free (text);
  return value;
}

gboolean
wait_for_members (struct setup *setup, guint alive)
{
  struct expected_members expected_members = { setup, alive };
  return harness_wait_until (all_entries_see, &expected_members, 15);
}
