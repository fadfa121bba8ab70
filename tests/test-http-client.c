/*
 * Tests of the HTTP client against a server that sends bytes which are no
 * response, without end. Each request must end within a bounded number of bytes
 * and of memory, and its connection must not be used again. And against one
 * that sends a response twice.
 */
#include <glib.h>
#include <malloc.h>
#include <string.h>

#include "hf-http-client.h"
#include "hf-store.h"
#include "raw.h"

#include "config.h"

/* --- constants --- */

#define FLOOD_BYTES       (16 * 1024 * 1024) /* stands for bytes without end */
#define TURNS_MAX         100000             /* of the main loop */
#define SLOW_TIMEOUT_MS   100                /* of a call whose response arrives in pieces */
#define REPEATS           20
#define UNREAD_TIMEOUT_MS 10000             /* ends a test that would wait without end */
#define MEMORY_BYTES_MAX  (4 * 1024 * 1024) /* that one request may take for bytes that are no response */

/* --- types --- */

struct run
{
  struct hf_net *net;
  struct raw_server *server;
  struct raw_connection *connection; /* of the last request */
  struct hf_http_client *client;
  const char *start;   /* what the server sends first */
  const char *pattern; /* what it repeats */
  guint requests;
  gboolean ended;
  enum hf_http_client_result result;
  size_t memory_before;
  size_t memory_most;
};

/* --- internal functions --- */

static size_t
memory_in_use (void)
{
  return mallinfo2 ().uordblks;
}

static void
on_request (void *context, struct raw_connection *connection, const char *text)
{
  struct run *run = context;
  size_t length = strlen (run->pattern);
  char *flood = g_malloc (FLOOD_BYTES + 1);
  (void) text;
  run->requests++;
  run->connection = connection;
  for (size_t i = 0; i < FLOOD_BYTES; i++)
    flood[i] = run->pattern[i % length];
  flood[FLOOD_BYTES] = 0;
  raw_connection_send (connection, "%s%s", run->start, flood);
  g_free (flood);
  run->memory_before = memory_in_use ();
}

static bool
accepts_response (void *context, const struct hf_http_head *head)
{
  (void) context;
  return hf_str_equal (hf_http_head_field (head, "X-Id"), hf_str ("own"));
}

static void
on_head (void *context, const struct hf_http_head *head)
{
  (void) context;
  (void) head;
}

static void
on_body (void *context, struct hf_str bytes)
{
  (void) context;
  (void) bytes;
}

static void
on_ended (void *context, const struct hf_http_client_end *end)
{
  struct run *run = context;
  run->ended = TRUE;
  run->result = end->result;
}

static const struct hf_http_client_callbacks callbacks
    = { .accepts_response = accepts_response, .on_head = on_head, .on_body = on_body, .on_ended = on_ended };

static void
send_request (struct run *run)
{
  struct hf_http_client_params params = { .address = hf_str (raw_server_address (run->server)),
                                          .head = hf_str ("GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
                                          .idle_max_us = HF_CONNECTION_IDLE_MS * HF_MS };
  run->ended = FALSE;
  hf_http_client_send (run->client, &params, &callbacks, run);
}

/* Sends one request and runs the main loop until it has ended or no more happens. */
static void
run_request (struct run *run)
{
  send_request (run);
  for (guint i = 0; !run->ended && i < TURNS_MAX && (!run->requests || g_main_context_pending (NULL)); i++)
    {
      g_main_context_iteration (NULL, !run->requests);
      if (run->requests)
        run->memory_most = MAX (run->memory_most, memory_in_use ());
    }
}

static void
check_flood (const char *start, const char *pattern, enum hf_http_client_result expected)
{
  struct run run = { .start = start, .pattern = pattern };
  run.net = hf_net_open ();
  run.server = raw_server_open (run.net, on_request, &run);
  run.client = hf_http_client_open (run.net);
  run_request (&run);
  g_assert_true (run.ended);
  g_assert_cmpint (run.result, ==, expected);
  g_assert_cmpuint (run.memory_most, <, run.memory_before + MEMORY_BYTES_MAX);
  hf_http_client_close (run.client);
  raw_server_close (run.server);
  hf_net_close (run.net);
}

/* --- tests --- */

static void
test_head (void)
{
  check_flood ("HTTP/1.1 200 OK\r\nX-Id: own\r\n", "X-More: x\r\n", HF_HTTP_CLIENT_BROKEN);
  check_flood ("HTTP/1.1 200 OK\r\nX-Id: ", "x", HF_HTTP_CLIENT_BROKEN);
}

static void
test_status_line (void)
{
  check_flood ("HTTP/1.1 200 ", "x", HF_HTTP_CLIENT_BROKEN);
  check_flood ("", "x", HF_HTTP_CLIENT_BROKEN);
  check_flood ("", "\r\n", HF_HTTP_CLIENT_BROKEN);
}

/* Informational responses, one after the other. */
static void
test_informational (void)
{
  check_flood ("", "HTTP/1.1 100 Continue\r\n\r\n", HF_HTTP_CLIENT_BROKEN);
}

/* A response to another request whose body never ends. */
static void
test_foreign_body (void)
{
  check_flood ("HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", "x", HF_HTTP_CLIENT_BROKEN);
  check_flood ("HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n",
               HF_HTTP_CLIENT_BROKEN);
  check_flood ("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 9000000000\r\n\r\n", "x", HF_HTTP_CLIENT_BROKEN);
}

/* Parts of the chunked coding that carry no byte of the body. */
static void
test_chunk_framing (void)
{
  const char *head = "HTTP/1.1 200 OK\r\nX-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n5";
  char *in_trailers = g_strconcat (head, "\r\nhello\r\n0\r\n", NULL);
  check_flood (head, ";extension", HF_HTTP_CLIENT_TRUNCATED);
  check_flood (in_trailers, "a:\r\n", HF_HTTP_CLIENT_TRUNCATED);
  check_flood (in_trailers, "X-Trailer: x\r\n", HF_HTTP_CLIENT_TRUNCATED);
  g_free (in_trailers);
}

/* Bytes after a complete response: it counts, but its connection is not used for another request. */
static void
test_bytes_after_response (void)
{
  struct run run = { .start = "HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 2\r\n\r\nok", .pattern = "x" };
  run.net = hf_net_open ();
  run.server = raw_server_open (run.net, on_request, &run);
  run.client = hf_http_client_open (run.net);
  run_request (&run);
  g_assert_true (run.ended);
  g_assert_cmpint (run.result, ==, HF_HTTP_CLIENT_COMPLETE);
  const struct raw_connection *first = run.connection;
  for (guint i = 0; raw_connection_is_open (first) && i < TURNS_MAX; i++)
    g_main_context_iteration (NULL, TRUE);
  g_assert_false (raw_connection_is_open (first));
  run_request (&run);
  g_assert_cmpint (run.result, ==, HF_HTTP_CLIENT_COMPLETE);
  g_assert_true (run.connection != first);
  hf_http_client_close (run.client);
  raw_server_close (run.server);
  hf_net_close (run.net);
}

/* --- tests: responses that take long --- */

static void
on_slow_request (void *context, struct raw_connection *connection, const char *text)
{
  struct run *run = context;
  (void) text;
  run->connection = connection;
  raw_connection_send (connection, "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n");
}

static void
on_slow_response (void *context, const struct hf_store_response *response)
{
  struct run *run = context;
  run->ended = TRUE;
  run->requests = response->status;
}

static gboolean
on_pause_over (gpointer over)
{
  *(gboolean *) over = TRUE;
  return G_SOURCE_REMOVE;
}

static void
run_for (guint ms)
{
  gboolean over = FALSE;
  g_timeout_add (ms, on_pause_over, &over);
  while (!over)
    g_main_context_iteration (NULL, TRUE);
}

/* Guards against a large response of the store that is given up, again and again, while it keeps arriving. */
static void
test_slow_store_response (void)
{
  struct run run = { .net = hf_net_open () };
  run.server = raw_server_open (run.net, on_slow_request, &run);
  struct hf_store *store = hf_store_open (run.net, hf_str (raw_server_address (run.server)));
  struct hf_store_request request = { .method = "GET", .path = "/x", .timeout_ms = SLOW_TIMEOUT_MS };
  int64_t timeout_at = g_get_monotonic_time () + SLOW_TIMEOUT_MS * HF_MS;
  hf_store_start_call (store, &request, on_slow_response, &run);
  while (!run.connection)
    g_main_context_iteration (NULL, TRUE);
  run_for (SLOW_TIMEOUT_MS);
  raw_connection_send (run.connection, "{\"items\":");
  run_for (SLOW_TIMEOUT_MS);
  hf_store_check_timeouts (store, timeout_at + SLOW_TIMEOUT_MS * HF_MS);
  g_assert_false (run.ended);
  raw_connection_send (run.connection, "0}");
  while (!run.ended)
    g_main_context_iteration (NULL, TRUE);
  g_assert_cmpuint (run.requests, ==, 200);
  run.ended = FALSE;
  hf_store_start_call (store, &request, on_slow_response, &run);
  run_for (SLOW_TIMEOUT_MS);
  hf_store_check_timeouts (store, g_get_monotonic_time () + SLOW_TIMEOUT_MS * HF_MS);
  g_assert_true (run.ended);
  hf_store_close (store);
  raw_server_close (run.server);
  hf_net_close (run.net);
}

/* --- tests: second copies of a response --- */

#define FIRST_RESPONSE  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
#define SECOND_RESPONSE "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond"

struct copies_run
{
  struct run run;
  guint first_copies;     /* sent in one write */
  gboolean sends_at_once; /* the second request, when the first has ended */
  guint ended;            /* requests */
  GString *bodies;
};

static void
on_copies_request (void *context, struct raw_connection *connection, const char *text)
{
  struct copies_run *copies = context;
  (void) text;
  if (++copies->run.requests > 1)
    raw_connection_send (connection, SECOND_RESPONSE);
  else
    raw_connection_send (connection, "%s%s", FIRST_RESPONSE, copies->first_copies > 1 ? FIRST_RESPONSE : "");
  copies->run.connection = connection;
}

static void send_for_copies (struct copies_run *copies);

static void
on_copies_body (void *context, struct hf_str bytes)
{
  struct copies_run *copies = context;
  g_string_append_len (copies->bodies, bytes.data, (gssize) bytes.len);
}

static void
on_copies_ended (void *context, const struct hf_http_client_end *end)
{
  struct copies_run *copies = context;
  g_assert_true (end->sent);
  g_string_append_printf (copies->bodies, " %d\n", end->result);
  if (++copies->ended == 1 && copies->sends_at_once)
    send_for_copies (copies);
}

static const struct hf_http_client_callbacks copies_callbacks
    = { .on_head = on_head, .on_body = on_copies_body, .on_ended = on_copies_ended };

static void
send_for_copies (struct copies_run *copies)
{
  struct hf_http_client_params params = { .address = hf_str (raw_server_address (copies->run.server)),
                                          .head = hf_str ("GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
                                          .idle_max_us = HF_CONNECTION_IDLE_MS * HF_MS };
  hf_http_client_send (copies->run.client, &params, &copies_callbacks, copies);
}

static void
run_until_ended (struct copies_run *copies, guint n)
{
  for (guint i = 0; copies->ended < n && i < TURNS_MAX; i++)
    g_main_context_iteration (NULL, TRUE);
}

/* Responses carry no id: the second request must not get a second copy of the first response. */
static void
check_copies (struct copies_run copies)
{
  copies.bodies = g_string_new (NULL);
  copies.run.net = hf_net_open ();
  copies.run.server = raw_server_open (copies.run.net, on_copies_request, &copies);
  copies.run.client = hf_http_client_open (copies.run.net);
  send_for_copies (&copies);
  run_until_ended (&copies, 1);
  if (!copies.sends_at_once)
    {
      raw_connection_send (copies.run.connection, FIRST_RESPONSE);
      send_for_copies (&copies);
    }
  run_until_ended (&copies, 2);
  g_assert_cmpstr (copies.bodies->str, ==, "first 0\nsecond 0\n");
  hf_http_client_close (copies.run.client);
  raw_server_close (copies.run.server);
  hf_net_close (copies.run.net);
  g_string_free (copies.bodies, TRUE);
}

static void
test_copy_in_one_read (void)
{
  check_copies ((struct copies_run){ .first_copies = 2, .sends_at_once = TRUE });
}

static void
test_copy_while_idle (void)
{
  check_copies ((struct copies_run){ .first_copies = 1 });
}

/* --- tests: one id on one connection --- */

struct ids_run
{
  struct run run;
  GPtrArray *connections; /* struct raw_connection, in the order of their first request */
  GString *used;          /* "ID:CONNECTION " of each request, as the server sees it */
};

static void
on_ids_request (void *context, struct raw_connection *connection, const char *text)
{
  struct ids_run *ids = context;
  guint i;
  if (!g_ptr_array_find (ids->connections, connection, &i))
    {
      i = ids->connections->len;
      g_ptr_array_add (ids->connections, connection);
    }
  g_string_append_printf (ids->used, "%c:%u ", text[strlen ("GET /")], i);
  raw_connection_send (connection, "HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 0\r\n\r\n");
}

static void
run_with_id (struct ids_run *ids, char id)
{
  char *head = g_strdup_printf ("GET /%c HTTP/1.1\r\nHost: h\r\n\r\n", id);
  struct hf_http_client_params params = { .address = hf_str (raw_server_address (ids->run.server)),
                                          .head = hf_str (head),
                                          .request_id = { &id, id == '-' ? 0 : 1 },
                                          .idle_max_us = HF_CONNECTION_IDLE_MS * HF_MS };
  ids->run.ended = FALSE;
  hf_http_client_send (ids->run.client, &params, &callbacks, &ids->run);
  while (!ids->run.ended)
    g_main_context_iteration (NULL, TRUE);
  g_free (head);
}

/* Guards against a copy of an earlier response under the same id: a connection carries each id once, also with other
 * requests in between; a request without an id may use any. */
static void
test_one_id (void)
{
  struct ids_run ids = { .connections = g_ptr_array_new (), .used = g_string_new (NULL) };
  ids.run.net = hf_net_open ();
  ids.run.server = raw_server_open (ids.run.net, on_ids_request, &ids);
  ids.run.client = hf_http_client_open (ids.run.net);
  for (const char *id = "abacab-b-"; *id; id++)
    run_with_id (&ids, *id);
  g_assert_cmpstr (ids.used->str, ==, "a:0 b:0 a:1 c:1 a:2 b:2 -:2 b:3 -:3 ");
  hf_http_client_close (ids.run.client);
  raw_server_close (ids.run.server);
  hf_net_close (ids.run.net);
  g_string_free (ids.used, TRUE);
  g_ptr_array_unref (ids.connections);
}

/* Guards against a pool that grows with each request of a caller that repeats one id. */
static void
test_one_id_repeated (void)
{
  struct ids_run ids = { .connections = g_ptr_array_new (), .used = g_string_new (NULL) };
  guint open = 0;
  ids.run.net = hf_net_open ();
  ids.run.server = raw_server_open (ids.run.net, on_ids_request, &ids);
  ids.run.client = hf_http_client_open (ids.run.net);
  for (guint i = 0; i < REPEATS; i++)
    run_with_id (&ids, 'a');
  while (g_main_context_iteration (NULL, FALSE))
    ;
  for (guint i = 0; i < ids.connections->len; i++)
    open += raw_connection_is_open (g_ptr_array_index (ids.connections, i));
  g_assert_cmpuint (ids.connections->len, ==, REPEATS);
  g_assert_cmpuint (open, ==, 1);
  hf_http_client_close (ids.run.client);
  raw_server_close (ids.run.server);
  hf_net_close (ids.run.net);
  g_string_free (ids.used, TRUE);
  g_ptr_array_unref (ids.connections);
}

/* --- tests: what a response leaves behind --- */

static void
on_head_request (void *context, struct raw_connection *connection, const char *text)
{
  struct ids_run *ids = context;
  const char *body = g_str_has_prefix (text, "HEAD") ? "" : "own";
  if (!g_ptr_array_find (ids->connections, connection, NULL))
    g_ptr_array_add (ids->connections, connection);
  raw_connection_send (connection, "HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 3\r\n\r\n%s", body);
}

/* Guards against a copy of a response to HEAD, whose declared body would be taken from the response due: the connection
 * is not kept. */
static void
test_kept_after_head (void)
{
  struct ids_run ids = { .connections = g_ptr_array_new () };
  ids.run.net = hf_net_open ();
  ids.run.server = raw_server_open (ids.run.net, on_head_request, &ids);
  ids.run.client = hf_http_client_open (ids.run.net);
  for (guint i = 0; i < 2; i++)
    {
      struct hf_http_client_params params
          = { .address = hf_str (raw_server_address (ids.run.server)),
              .head = hf_str (i == 0 ? "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n" : "GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
              .response_has_no_body = i == 0,
              .idle_max_us = HF_CONNECTION_IDLE_MS * HF_MS };
      ids.run.ended = FALSE;
      hf_http_client_send (ids.run.client, &params, &callbacks, &ids.run);
      while (!ids.run.ended)
        g_main_context_iteration (NULL, TRUE);
      g_assert_cmpint (ids.run.result, ==, HF_HTTP_CLIENT_COMPLETE);
    }
  g_assert_cmpuint (ids.connections->len, ==, 2);
  hf_http_client_close (ids.run.client);
  raw_server_close (ids.run.server);
  hf_net_close (ids.run.net);
  g_ptr_array_unref (ids.connections);
}

struct pause_run
{
  struct run run;
  struct hf_http_client_request *request;
};

static void
on_pause_request (void *context, struct raw_connection *connection, const char *text)
{
  (void) context;
  (void) text;
  raw_connection_send (connection, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
}

static void
on_pause_body (void *context, struct hf_str bytes)
{
  struct pause_run *pause = context;
  (void) bytes;
  hf_http_client_pause (pause->request, true);
}

static const struct hf_http_client_callbacks pause_callbacks
    = { .on_head = on_head, .on_body = on_pause_body, .on_ended = on_ended };

/* Guards against a kept connection that is not read, as the owner of the last response paused it with its last bytes.
 */
static void
test_kept_paused (void)
{
  struct pause_run pause = { 0 };
  pause.run.net = hf_net_open ();
  pause.run.server = raw_server_open (pause.run.net, on_pause_request, &pause);
  pause.run.client = hf_http_client_open (pause.run.net);
  struct hf_http_client_params params = { .address = hf_str (raw_server_address (pause.run.server)),
                                          .head = hf_str ("GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
                                          .idle_max_us = HF_CONNECTION_IDLE_MS * HF_MS };
  for (guint i = 0; i < 2; i++)
    {
      pause.run.ended = FALSE;
      pause.request = hf_http_client_send (pause.run.client, &params, &pause_callbacks, &pause);
      gint64 until = g_get_monotonic_time () + UNREAD_TIMEOUT_MS * HF_MS;
      while (!pause.run.ended && g_get_monotonic_time () < until)
        g_main_context_iteration (NULL, FALSE);
      g_assert_true (pause.run.ended);
    }
  hf_http_client_close (pause.run.client);
  raw_server_close (pause.run.server);
  hf_net_close (pause.run.net);
}

/* --- tests: responses that end early --- */

/* A response, and what a reader that looks at nothing but these parts makes of its first bytes. */
struct sample
{
  const char *head; /* with informational responses before it */
  const char *wire; /* the body with its coding */
  const char *body;
  gboolean ends_by_close; /* the body has no length */
  gboolean answers_head;  /* response to HEAD */
};

struct cut_run
{
  struct run run;
  const struct sample *sample;
  size_t bytes; /* of the response that the server sends */
  GString *body;
};

static void
on_cut_request (void *context, struct raw_connection *connection, const char *text)
{
  struct cut_run *cut = context;
  char *response = g_strconcat (cut->sample->head, cut->sample->wire, NULL);
  (void) text;
  cut->run.connection = connection;
  raw_connection_send (connection, "%.*s", (int) cut->bytes, response);
  g_free (response);
}

static void
on_cut_body (void *context, struct hf_str bytes)
{
  struct cut_run *cut = context;
  g_string_append_len (cut->body, bytes.data, (gssize) bytes.len);
}

static const struct hf_http_client_callbacks cut_callbacks
    = { .on_head = on_head, .on_body = on_cut_body, .on_ended = on_ended };

static enum hf_http_client_result
expected_result (const struct sample *sample, size_t bytes, gboolean reset)
{
  size_t head_bytes = strlen (sample->head);
  if (bytes < head_bytes)
    return HF_HTTP_CLIENT_BROKEN;
  if (sample->ends_by_close)
    return reset ? HF_HTTP_CLIENT_TRUNCATED : HF_HTTP_CLIENT_COMPLETE;
  return bytes == head_bytes + strlen (sample->wire) ? HF_HTTP_CLIENT_COMPLETE : HF_HTTP_CLIENT_TRUNCATED;
}

/* The server sends the first bytes of a response, which the client reads, and ends the connection. */
static void
check_cut (struct cut_run *cut, gboolean reset)
{
  const struct sample *sample = cut->sample;
  struct hf_http_client_params params = { .address = hf_str (raw_server_address (cut->run.server)),
                                          .head = hf_str ("GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
                                          .response_has_no_body = sample->answers_head };
  cut->run.ended = FALSE;
  cut->run.connection = NULL;
  g_string_truncate (cut->body, 0);
  hf_http_client_send (cut->run.client, &params, &cut_callbacks, cut);
  for (guint i = 0; i < TURNS_MAX && (!cut->run.connection || g_main_context_pending (NULL)); i++)
    g_main_context_iteration (NULL, !cut->run.connection);
  raw_connection_close (cut->run.connection, reset);
  for (guint i = 0; i < TURNS_MAX && !cut->run.ended; i++)
    g_main_context_iteration (NULL, TRUE);
  g_assert_true (cut->run.ended);
  g_assert_cmpint (cut->run.result, ==, expected_result (sample, cut->bytes, reset));
  if (cut->run.result == HF_HTTP_CLIENT_COMPLETE && !sample->ends_by_close)
    g_assert_cmpstr (cut->body->str, ==, sample->body);
  else if (cut->run.result == HF_HTTP_CLIENT_COMPLETE)
    g_assert_cmpuint (cut->body->len, ==, cut->bytes - strlen (sample->head));
  g_assert_true (g_str_has_prefix (sample->body, cut->body->str));
}

static void
test_cut_anywhere (void)
{
  static const struct sample samples[] = {
    { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Id: own\r\n\r\n", "hello", "hello", FALSE, FALSE },
    { "HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 0\r\n\r\n", "", "", FALSE, FALSE },
    { "HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 15\r\n\r\n", "hello\r\n\r\nhello\n", "hello\r\n\r\nhello\n",
      FALSE, FALSE },
    { "HTTP/1.0 200 OK\r\nContent-Length: 5\r\nConnection: keep-alive\r\n\r\n", "hello", "hello", FALSE, FALSE },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n1;a=b\r\n!\r\n0\r\nX: y\r\n\r\n",
      "hello!", FALSE, FALSE },
    { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: "
      "2\r\n\r\n",
      "ok", "ok", FALSE, FALSE },
    { "HTTP/1.1 200 OK\r\nX-Id: own\r\nConnection: close\r\n\r\n", "hello", "hello", TRUE, FALSE },
    { "HTTP/1.0 200 OK\r\nX-Id: own\r\n\r\n", "hello", "hello", TRUE, FALSE },
    { "HTTP/1.1 204 No Content\r\nX-Id: own\r\n\r\n", "", "", FALSE, FALSE },
    { "HTTP/1.1 304 Not Modified\r\nX-Id: own\r\n\r\n", "", "", FALSE, FALSE },
    { "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", "", "", FALSE, FALSE },
    { "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n", "", "", FALSE, FALSE },
    { "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n", "", "", FALSE, FALSE },
    { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "", "", FALSE, TRUE },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "", "", FALSE, TRUE },
    { "HTTP/1.1 503 Full\r\nX-Id: own\r\nContent-Length: 4\r\n\r\n", "full", "full", FALSE, FALSE },
  };
  struct cut_run cut = { .body = g_string_new (NULL) };
  cut.run.net = hf_net_open ();
  cut.run.server = raw_server_open (cut.run.net, on_cut_request, &cut);
  cut.run.client = hf_http_client_open (cut.run.net);
  for (guint i = 0; i < G_N_ELEMENTS (samples); i++)
    {
      cut.sample = &samples[i];
      for (cut.bytes = 0; cut.bytes <= strlen (samples[i].head) + strlen (samples[i].wire); cut.bytes++)
        {
          check_cut (&cut, FALSE);
          check_cut (&cut, TRUE);
        }
    }
  hf_http_client_close (cut.run.client);
  raw_server_close (cut.run.server);
  hf_net_close (cut.run.net);
  g_string_free (cut.body, TRUE);
}

/* --- tests: the store --- */

static void
on_store_response (void *context, const struct hf_store_response *response)
{
  struct run *run = context;
  g_assert_cmpuint (response->status, ==, 0);
  g_assert_null (response->body);
  run->ended = TRUE;
}

/* A response of the store that is longer than any valid one counts as no response; no part of it is used. */
static void
test_store_response (void)
{
  struct run run = { .start = "HTTP/1.1 200 OK\r\nContent-Length: 16777218\r\n\r\n{}", .pattern = " " };
  struct hf_store_request request = { .method = "GET", .path = "/", .timeout_ms = 60000 };
  run.net = hf_net_open ();
  run.server = raw_server_open (run.net, on_request, &run);
  struct hf_store *store = hf_store_open (run.net, hf_str (raw_server_address (run.server)));
  hf_store_start_call (store, &request, on_store_response, &run);
  for (guint i = 0; !run.ended && i < TURNS_MAX; i++)
    g_main_context_iteration (NULL, TRUE);
  g_assert_true (run.ended);
  hf_store_close (store);
  raw_server_close (run.server);
  hf_net_close (run.net);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/endless/head", test_head);
  g_test_add_func ("/endless/status-line", test_status_line);
  g_test_add_func ("/endless/informational", test_informational);
  g_test_add_func ("/endless/foreign-body", test_foreign_body);
  g_test_add_func ("/endless/chunk-framing", test_chunk_framing);
  g_test_add_func ("/endless/bytes-after-response", test_bytes_after_response);
  g_test_add_func ("/cut/anywhere", test_cut_anywhere);
  g_test_add_func ("/copies/one-read", test_copy_in_one_read);
  g_test_add_func ("/copies/while-idle", test_copy_while_idle);
  g_test_add_func ("/copies/one-id", test_one_id);
  g_test_add_func ("/copies/one-id-repeated", test_one_id_repeated);
  g_test_add_func ("/kept/after-head", test_kept_after_head);
  g_test_add_func ("/kept/paused", test_kept_paused);
  g_test_add_func ("/endless/store-response", test_store_response);
  g_test_add_func ("/slow/store-response", test_slow_store_response);
  return g_test_run ();
}
