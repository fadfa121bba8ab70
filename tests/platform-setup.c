/* Fixture of tests with the platform's store. */
#include "platform-setup.h"

#include <gio/gio.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>

/* --- constants --- */

#define ENDLESS_LINE_BYTES  1000
#define ENDLESS_QUEUE_BYTES (1024 * 1024)
#define ENDLESS_INTERVAL_MS 5
#define START_TIMEOUT_S     10

/* --- backend servers --- */

char *
header_value (const char *text, const char *name)
{
  char *start = g_strdup_printf ("\r\n%s: ", name);
  const char *at = strstr (text, start);
  const char *value = at ? at + strlen (start) : "";
  char *copy = g_strndup (value, strcspn (value, "\r"));
  g_free (start);
  return copy;
}

const char *
extra_fields (const struct backend_server *server)
{
  return server->extra_fields ? server->extra_fields : "";
}

void
send_response (const struct backend_server *server, struct raw_connection *connection, const char *id, const char *body)
{
  raw_connection_send (
      connection,
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: stamp-%s\r\nX-Backend-Load: 1,0,3,100\r\n%s"
      "Content-Length: %zu\r\n\r\n%s",
      id, id, extra_fields (server), strlen (body), body);
}

static void
refuse (const struct backend_server *server, struct raw_connection *connection, const char *id)
{
  raw_connection_send (connection,
                       "HTTP/1.1 503 Full\r\nX-Attempt-Id: %s\r\n%sX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id,
                       extra_fields (server));
}

static void
refuse_other_instance (struct raw_connection *connection, const char *id)
{
  raw_connection_send (connection, "HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id);
}

/* With a length, in one chunk, or up to the end of the connection, in turn. */
static void
send_long_503 (const struct backend_server *server,
               struct raw_connection *connection,
               const char *id,
               const char *fields)
{
  char *body = g_strnfill (LONG_BODY_BYTES, 'x');
  guint framing = server->requests % 3;
  raw_connection_send (connection, "HTTP/1.1 503 Failed\r\nX-Attempt-Id: %s\r\n%s", id, fields);
  if (framing == 0)
    raw_connection_send (connection, "Content-Length: %d\r\n\r\n%s", LONG_BODY_BYTES, body);
  else if (framing == 1)
    raw_connection_send (connection, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", LONG_BODY_BYTES, body);
  else
    raw_connection_send (connection, "Connection: close\r\n\r\n%s", body);
  g_free (body);
}

struct refusal
{
  const struct raw_connection *connection;
  char *id;
  gboolean other_instance;
};

static void
free_refusal (gpointer data)
{
  struct refusal *refusal = data;
  g_free (refusal->id);
  g_free (refusal);
}

static void
send_refusal (const struct backend_server *server, struct raw_connection *connection, const struct refusal *refusal)
{
  if (refusal->other_instance)
    refuse_other_instance (connection, refusal->id);
  else
    refuse (server, connection, refusal->id);
}

static void
repeat_refusals (const struct backend_server *server, struct raw_connection *connection)
{
  for (guint i = 0; i < server->refusals->len; i++)
    {
      const struct refusal *refusal = g_ptr_array_index (server->refusals, i);
      if (refusal->connection == connection)
        send_refusal (server, connection, refusal);
    }
}

/* Sends copies of the refusals on this connection, then refuses the request or runs it. */
static void
respond_after_copies (struct backend_server *server, struct raw_connection *connection, const char *id)
{
  char *expected = header_value (server->last_request->str, "X-Expect-Instance");
  gboolean other_instance = server->instance && strcmp (expected, server->instance) != 0;
  repeat_refusals (server, connection);
  if (other_instance || server->refusals_left > 0)
    {
      struct refusal *refusal = g_new0 (struct refusal, 1);
      refusal->connection = connection;
      refusal->id = g_strdup (id);
      refusal->other_instance = other_instance;
      g_ptr_array_add (server->refusals, refusal);
      send_refusal (server, connection, refusal);
      server->refusals_left -= !other_instance;
    }
  else
    {
      g_hash_table_add (server->runs, g_strdup (id));
      send_response (server, connection, id, "hello");
    }
  g_free (expected);
}

/* Sends the first bytes of a response, and ends the connection. */
static void
end_early (const struct backend_server *server, struct raw_connection *connection, const char *id)
{
  char *response = g_strdup_printf ("HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Attempt-Id: %s\r\n"
                                    "Content-Length: 5\r\n\r\nhello",
                                    id);
  raw_connection_send (connection, "%.*s", (int) MIN (server->cut_bytes, strlen (response) - 1), response);
  raw_connection_close (connection, server->cuts_by_reset);
  g_free (response);
}

struct late_response
{
  const struct backend_server *server;
  struct raw_connection *connection;
  char *id;
};

static gboolean
send_late_response (gpointer data)
{
  struct late_response *late = data;
  send_response (late->server, late->connection, late->id, "hello");
  g_free (late->id);
  g_free (late);
  return G_SOURCE_REMOVE;
}

static void
schedule_response (const struct backend_server *server, struct raw_connection *connection, const char *id)
{
  struct late_response *late = g_new0 (struct late_response, 1);
  late->server = server;
  late->connection = connection;
  late->id = g_strdup (id);
  g_timeout_add ((guint) g_test_rand_int_range (0, LATE_MAX_MS), send_late_response, late);
}

/* Keeps each connection full, as long as the other side takes the bytes, or sends one piece on each. */
static gboolean
send_without_end (gpointer data)
{
  struct setup *setup = data;
  char *line = g_strnfill (ENDLESS_LINE_BYTES, 'x');
  char *piece = setup->endless_piece ? g_strdup (setup->endless_piece) : g_strdup_printf ("X-More: %s\r\n", line);
  guint pieces_max = setup->endless_slowly ? 1 : G_MAXUINT;
  for (guint i = 0; i < setup->endless->len; i++)
    {
      struct raw_connection *connection = g_ptr_array_index (setup->endless, i);
      for (guint n = 0; *piece && n < pieces_max && raw_connection_is_open (connection)
                        && raw_connection_unsent_bytes (connection) < ENDLESS_QUEUE_BYTES;
           n++)
        raw_connection_send (connection, "%s", piece);
    }
  g_free (piece);
  g_free (line);
  return G_SOURCE_CONTINUE;
}

static void
begin_without_end (struct setup *setup, struct raw_connection *connection, const char *begin, const char *id)
{
  raw_connection_send (connection, "%s", begin);
  if (*begin)
    raw_connection_send (connection, "X-Attempt-Id: %s\r\n", id);
  if (strstr (begin, "close"))
    raw_connection_send (connection, "\r\n");
  g_ptr_array_add (setup->endless, connection);
  if (!setup->endless_timer)
    setup->endless_timer = g_timeout_add (ENDLESS_INTERVAL_MS, send_without_end, setup);
}

static void
send_own_text (const struct backend_server *server, struct raw_connection *connection, const char *id)
{
  GString *text = g_string_new (server->text);
  g_string_replace (text, "{id}", id, 0);
  raw_connection_send (connection, "%s", text->str);
  if (server->cuts_by_reset)
    raw_connection_close (connection, TRUE);
  g_string_free (text, TRUE);
}

static void
respond_as_told (struct backend_server *server, struct raw_connection *connection, const char *id)
{
  const char *response_without_length = "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nConnection: close\r\n\r\nhello";
  switch (server->behaviour)
    {
    case SENDS_RESPONSE:
      send_response (server, connection, id, "hello");
      break;
    case SENDS_NOT_RUN:
      refuse (server, connection, id);
      break;
    case REPEATS_REFUSALS:
      respond_after_copies (server, connection, id);
      break;
    case SENDS_WRONG_INSTANCE:
      refuse_other_instance (connection, id);
      break;
    case SENDS_503:
      raw_connection_send (connection, "HTTP/1.1 503 Failed\r\nX-Attempt-Id: %s\r\n%sContent-Length: 0\r\n\r\n", id,
                           extra_fields (server));
      break;
    case SENDS_LONG_503:
      send_long_503 (server, connection, id, "");
      break;
    case SENDS_LONG_NOT_RUN:
      send_long_503 (server, connection, id, "X-Not-Executed: 1\r\n");
      break;
    case RESETS_CONNECTION:
      raw_connection_close (connection, TRUE);
      break;
    case SENDS_NOTHING:
      break;
    case SENDS_FOREIGN_RESPONSE_FIRST:
      send_response (server, connection, "another", "not yours");
      send_response (server, connection, id, "hello");
      break;
    case SENDS_EXTRA_BYTES:
      send_response (server, connection, id, "hello");
      send_response (server, connection, "another", "not yours");
      break;
    case ENDS_BY_CLOSE:
    case ENDS_BY_RESET:
      raw_connection_send (connection, response_without_length, id);
      raw_connection_close (connection, server->behaviour == ENDS_BY_RESET);
      break;
    case SENDS_LATE:
      schedule_response (server, connection, id);
      break;
    case ENDS_EARLY:
      end_early (server, connection, id);
      break;
    case SENDS_ENDLESS_HEAD:
      begin_without_end (server->setup, connection, "HTTP/1.1 200 OK\r\n", id);
      break;
    case SENDS_ENDLESS_BODY:
      begin_without_end (server->setup, connection, "HTTP/1.1 200 OK\r\nConnection: close\r\n", id);
      break;
    case SENDS_ENDLESS_NOISE:
      begin_without_end (server->setup, connection, "", id);
      break;
    case SENDS_TEXT_ENDLESS:
      send_own_text (server, connection, id);
      begin_without_end (server->setup, connection, "", id);
      break;
    case SENDS_TEXT:
      send_own_text (server, connection, id);
      break;
    case SENDS_SHORT_STATUS:
      raw_connection_send (connection, "HTTP/1.1 20 OK\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id);
      break;
    case SENDS_NON_HTTP:
      raw_connection_send (connection, "220 this is another protocol\r\n\r\n");
      break;
    }
}

static void
on_server_request (void *context, struct raw_connection *connection, const char *text)
{
  struct backend_server *server = context;
  if (g_str_has_prefix (text, "GET /health "))
    {
      if (server->copies_into_health)
        send_response (server, connection, "another", "not yours");
      server->health_requests++;
      raw_connection_send (
          connection, "HTTP/1.1 200 OK\r\n%sX-Instance-Id: %s\r\nX-Backend-Load: 0,0,3,%u\r\nContent-Length: 0\r\n\r\n",
          server->health_fields ? server->health_fields : "", server->name,
          server->slowdown_percent ? server->slowdown_percent : 100);
      return;
    }
  server->requests++;
  g_string_assign (server->last_request, text);
  server->last_connection = connection;
  char *id = header_value (text, "X-Attempt-Id");
  g_hash_table_add (server->setup->ids, g_strdup (id));
  respond_as_told (server, connection, id);
  g_free (id);
}

/* --- the store --- */

/* The next report of server i; the caller frees it. */
char *
make_report (struct setup *setup, guint i, const char *service, const char *state)
{
  const struct backend_server *server = &setup->servers[i];
  return g_strdup_printf ("{\"address\":\"%s\",\"born\":%" G_GUINT64_FORMAT
                          ",\"info\":{\"service\":\"%s\",\"version\":\"v1\",\"zone\":"
                          "\"%s\",\"slots\":%d},\"status\":{\"state\":\"%s\",\"sequence\":%u,%s}}",
                          raw_server_address (server->raw_server), server->started_at ? server->started_at : i + 1,
                          service, server->failure_domain ? server->failure_domain : "z1", SERVER_SLOTS, state,
                          ++setup->sequence, server->cold_left ? server->cold_left : "\"cold_left\":\"0ms\"");
}

/* Writes the object of server i to the store, or replaces it. */
void
put_server (struct setup *setup, guint i, const char *service, const char *state)
{
  char *spec = make_report (setup, i, service, state);
  fake_store_put (setup->store, "servers", setup->servers[i].name, spec);
  g_free (spec);
}

/* Writes the configuration to the store: a read route with this prefix and target, and a write route to alpha. */
void
put_config (struct setup *setup, guint version, const char *read_target, const char *read_prefix)
{
  char *spec = g_strdup_printf (
      "{\"version\":\"r%u\",\"routes\":["
      "{\"name\":\"read\",\"host\":\"h.example\",\"path_prefix\":\"%s\",\"route_kind\":\"safe\",\"timeout\":\"1000ms\","
      "\"target_latency\":\"300ms\",\"priority\":2,%s,\"max_attempts\":2},"
      "{\"name\":\"write\",\"host\":\"h.example\",\"path_prefix\":\"/w/"
      "\",\"route_kind\":\"unsafe\",\"timeout\":\"800ms\","
      "\"target_latency\":\"300ms\",\"priority\":1,\"service\":\"alpha\",\"max_attempts\":2}],"
      "\"services\":[{\"name\":\"alpha\",\"health_path\":\"/health\",\"max_conns\":10%s},"
      "{\"name\":\"beta\",\"health_path\":\"/health\",\"max_conns\":10}],"
      "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":10000,\"header_timeout\":\"500ms\","
      "\"idle_timeout\":\"15000ms\"}}",
      version, read_prefix, read_target, setup->cold_fields ? setup->cold_fields : "");
  fake_store_put (setup->store, "config", "main", spec);
  g_free (spec);
}

/* --- the entry --- */

/* Copies the string value of a member of a JSON line to out. */
static void
copy_member (const char *line, const char *member, char *out, gsize size)
{
  char *start = g_strdup_printf ("\"%s\":\"", member);
  const char *at = strstr (line, start);
  const char *value = at ? at + strlen (start) : "";
  g_strlcpy (out, value, MIN (size, strcspn (value, "\"") + 1));
  g_free (start);
}

struct log_reader
{
  GDataInputStream *lines;
  GString *listening;
  GPtrArray *log;
};

static void
on_line_read (GObject *source, GAsyncResult *result, gpointer data)
{
  struct log_reader *log_reader = data;
  char *line = g_data_input_stream_read_line_finish (G_DATA_INPUT_STREAM (source), result, NULL, NULL);
  if (!line)
    {
      g_object_unref (log_reader->lines);
      g_string_free (log_reader->listening, TRUE);
      g_ptr_array_unref (log_reader->log);
      g_free (log_reader);
      return;
    }
  if (strstr (line, "\"listening\""))
    g_string_assign (log_reader->listening, line);
  g_ptr_array_add (log_reader->log, line);
  g_data_input_stream_read_line_async (log_reader->lines, G_PRIORITY_DEFAULT, NULL, on_line_read, log_reader);
}

static gboolean
has_text (void *context)
{
  return ((GString *) context)->len > 0;
}

char *
make_settings (const struct setup *setup)
{
  return g_strdup_printf ("name: e1\nfailure_domain: z1\nlisten: 127.0.0.1:0\nadmin: 127.0.0.1:0\n"
                          "peers: %s\nmetrics: 127.0.0.1:0\nstore: %s\ndrain_wait_ms: %d\ngrace_ms: %d\n"
                          "domain_affinity: %s\n%s",
                          setup->peers ? setup->peers : "127.0.0.1:0", fake_store_address (setup->store),
                          setup->drain_wait_ms, setup->grace_ms, setup->affinity ? setup->affinity : "auto",
                          setup->extra_settings ? setup->extra_settings : "");
}

void
await_listening (struct setup *setup)
{
  struct log_reader *log_reader = g_new0 (struct log_reader, 1);
  log_reader->lines = g_data_input_stream_new (g_subprocess_get_stdout_pipe (setup->entry));
  log_reader->listening = g_string_new (NULL);
  setup->log = g_ptr_array_new_with_free_func (g_free);
  log_reader->log = g_ptr_array_ref (setup->log);
  g_data_input_stream_read_line_async (log_reader->lines, G_PRIORITY_DEFAULT, NULL, on_line_read, log_reader);
  g_assert_true (harness_wait_until (has_text, log_reader->listening, START_TIMEOUT_S));
  copy_member (log_reader->listening->str, "callers", setup->caller_address, sizeof setup->caller_address);
  copy_member (log_reader->listening->str, "admin", setup->admin_address, sizeof setup->admin_address);
  copy_member (log_reader->listening->str, "metrics", setup->metrics_address, sizeof setup->metrics_address);
}

void
start_entry (struct setup *setup)
{
  char *build = g_path_get_dirname (g_get_prgname ());
  char *program = g_build_filename (build, "hickoryd", NULL);
  char *file = g_build_filename (setup->folder, "settings.yaml", NULL);
  char *settings = make_settings (setup);
  g_assert_true (g_file_set_contents (file, settings, -1, NULL));
  setup->entry = g_subprocess_new (G_SUBPROCESS_FLAGS_STDOUT_PIPE, NULL, program, file, NULL);
  g_assert_nonnull (setup->entry);
  await_listening (setup);
  g_free (settings);
  g_free (file);
  g_free (program);
  g_free (build);
}

GSubprocess *
start_larger_entry (struct setup *setup, const char *name, const char *peers)
{
  char *build = g_path_get_dirname (g_get_prgname ());
  char *program = g_build_filename (build, "hickoryd", NULL);
  char *file = g_strdup_printf ("%s/%s.yaml", setup->folder, name);
  char *settings
      = g_strdup_printf ("name: %s\nfailure_domain: z1\nlisten: 127.0.0.1:0\nadmin: 127.0.0.1:0\n"
                         "peers: %s\nstore: %s\ncpu_share: 2\ndrain_wait_ms: %d\ngrace_ms: %d\n",
                         name, peers, fake_store_address (setup->store), setup->drain_wait_ms, setup->grace_ms);
  g_assert_true (g_file_set_contents (file, settings, -1, NULL));
  GSubprocess *entry = g_subprocess_new (G_SUBPROCESS_FLAGS_STDOUT_SILENCE, NULL, program, file, NULL);
  g_assert_nonnull (entry);
  g_free (settings);
  g_free (file);
  g_free (program);
  g_free (build);
  return entry;
}

/* --- callers --- */

gboolean
has_response (void *context)
{
  const struct raw_client *client = context;
  return client->ended || raw_client_has_response (client);
}

gboolean
has_ended (void *context)
{
  return ((struct raw_client *) context)->ended;
}

/* Sends text and waits for the response or for the end of the connection. */
struct raw_client *
send_text (struct setup *setup, const char *address, const char *text)
{
  struct raw_client *client = raw_client_connect (setup->net, address, text);
  g_assert_true (harness_wait_until (has_response, client, CHANGE_TIMEOUT_S));
  return client;
}

char *
format_request (struct setup *setup, const char *method, const char *path, const char *body)
{
  return g_strdup_printf ("%s %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id%u\r\nX-Deadline-Ms: 2000\r\n"
                          "Content-Length: %zu\r\n\r\n%s",
                          method, path, ++setup->next_id, strlen (body), body);
}

struct raw_client *
send_request (struct setup *setup, const char *method, const char *path, const char *body)
{
  char *text = format_request (setup, method, path, body);
  struct raw_client *client = send_text (setup, setup->caller_address, text);
  g_free (text);
  return client;
}

guint
request_status (struct setup *setup, const char *method, const char *path, const char *body)
{
  struct raw_client *client = send_request (setup, method, path, body);
  guint status = raw_client_status (client);
  raw_client_close (client);
  return status;
}

char *
page_text (struct setup *setup, const char *address, const char *path)
{
  char *request = g_strdup_printf ("GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path);
  struct raw_client *client = send_text (setup, address, request);
  char *text = g_strdup (client->received->str);
  raw_client_close (client);
  g_free (request);
  return text;
}

guint
page_status (struct setup *setup, const char *address, const char *path)
{
  char *text = page_text (setup, address, path);
  guint status = g_str_has_prefix (text, "HTTP/1.1 ") ? (guint) atoi (text + strlen ("HTTP/1.1 ")) : 0;
  g_free (text);
  return status;
}

guint
health_status (struct setup *setup)
{
  return page_status (setup, setup->admin_address, "/healthz");
}

gboolean
is_ready (void *context)
{
  return health_status (context) == 200;
}

guint
count_requests (const struct setup *setup)
{
  guint n = 0;
  for (guint i = 0; i < SERVERS; i++)
    n += setup->servers[i].requests;
  return n;
}

void
set_behaviour (struct setup *setup, enum server_behaviour behaviour)
{
  for (guint i = 0; i < SERVERS; i++)
    setup->servers[i].behaviour = behaviour;
}

/* --- setup --- */

struct setup *
open_without_entry (int drain_wait_ms, int grace_ms)
{
  struct setup *setup = g_new0 (struct setup, 1);
  setup->drain_wait_ms = drain_wait_ms;
  setup->grace_ms = grace_ms;
  setup->net = hf_net_open ();
  setup->endless = g_ptr_array_new ();
  setup->ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  setup->store = fake_store_open (setup->net);
  setup->folder = g_dir_make_tmp ("hf-platform-XXXXXX", NULL);
  for (guint i = 0; i < SERVERS; i++)
    {
      struct backend_server *server = &setup->servers[i];
      server->setup = setup;
      server->last_request = g_string_new (NULL);
      server->refusals = g_ptr_array_new_with_free_func (free_refusal);
      server->runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      server->raw_server = raw_server_open (setup->net, on_server_request, server);
      g_snprintf (server->name, sizeof server->name, "i-%u", i);
    }
  return setup;
}

static struct setup *
open_empty_with_grace (int drain_wait_ms, int grace_ms)
{
  struct setup *setup = open_without_entry (drain_wait_ms, grace_ms);
  start_entry (setup);
  return setup;
}

struct setup *
open_empty (void)
{
  return open_empty_with_grace (DRAIN_WAIT_MS, GRACE_MS);
}

struct setup *
open_setup_with_grace (int drain_wait_ms, int grace_ms)
{
  struct setup *setup = open_empty_with_grace (drain_wait_ms, grace_ms);
  put_config (setup, 7, "\"service\":\"alpha\"", "/r/");
  for (guint i = 0; i < SERVERS; i++)
    put_server (setup, i, "alpha", "ready");
  g_assert_true (harness_wait_until (is_ready, setup, CHANGE_TIMEOUT_S));
  harness_pause (DIRECTORY_UPDATE_MS);
  return setup;
}

struct setup *
open_setup (void)
{
  return open_setup_with_grace (DRAIN_WAIT_MS, GRACE_MS);
}

void
kill_entry (struct setup *setup)
{
  g_subprocess_force_exit (setup->entry);
  g_subprocess_wait (setup->entry, NULL, NULL);
  harness_pause (10);
  g_object_unref (setup->entry);
  g_ptr_array_unref (setup->log);
}

void
close_setup (struct setup *setup)
{
  kill_entry (setup);
  if (setup->endless_timer)
    g_source_remove (setup->endless_timer);
  g_ptr_array_unref (setup->endless);
  fake_store_close (setup->store);
  for (guint i = 0; i < SERVERS; i++)
    {
      raw_server_close (setup->servers[i].raw_server);
      g_ptr_array_unref (setup->servers[i].refusals);
      g_hash_table_unref (setup->servers[i].runs);
      g_string_free (setup->servers[i].last_request, TRUE);
    }
  hf_net_close (setup->net);
  g_hash_table_unref (setup->ids);
  char *file = g_build_filename (setup->folder, "settings.yaml", NULL);
  g_remove (file);
  g_rmdir (setup->folder);
  g_free (file);
  g_free (setup->folder);
  g_free (setup);
}
