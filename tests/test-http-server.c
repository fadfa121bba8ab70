/*
 * Tests of the HTTP server with several requests in progress on one connection.
 * The owner's events are recorded as lines of a transcript, which each test
 * compares with the expected text. Paths that begin with /s may overlap.
 */
#include <glib.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "hf-http-connection.h"
#include "raw.h"

#include "config.h"

/* --- constants --- */

#define SETTLE_MS               30 /* loopback traffic has arrived after this time */
#define NO_DESCRIPTOR_PAUSES    5
#define NO_DESCRIPTOR_TURNS_MAX 20 /* of the main loop from the end of a pause until nothing is ready */
#define MANY_REQUESTS           1000
#define READ_BYTES_MAX          (64 * 1024)        /* read from a socket at once */
#define LONG_RESPONSE_BYTES     (64 * 1024 * 1024) /* more than both sockets buffer */

/* --- types --- */

struct run
{
  struct hf_net *net;
  struct hf_http_server *server;
  struct raw_client *client;
  GString *transcript;
  GHashTable *requests; /* struct hf_http_request in progress by path */
  unsigned most_in_progress;
  bool reports_complete; /* the transcript has the ends of bodies */
};

/* --- internal functions: the owner --- */

static bool
may_overlap (void *context, const struct hf_http_head *head)
{
  (void) context;
  return hf_str_has_prefix (head->target, hf_str ("/s"));
}

static void
on_head (void *context, struct hf_http_request *request, const struct hf_http_head *head)
{
  struct run *run = context;
  char *path = g_strndup (head->target.data, head->target.len);
  g_string_append_printf (run->transcript, "head %s\n", path);
  g_hash_table_insert (run->requests, path, request);
  hf_http_request_set_data (request, path);
  run->most_in_progress = MAX (run->most_in_progress, g_hash_table_size (run->requests));
}

static void
on_body (void *context, struct hf_http_request *request, struct hf_str bytes)
{
  struct run *run = context;
  g_string_append_printf (run->transcript, "body %s " HF_STR_FMT "\n", (char *) hf_http_request_data (request),
                          HF_STR_ARG (bytes));
}

static void
on_complete (void *context, struct hf_http_request *request)
{
  struct run *run = context;
  if (run->reports_complete)
    g_string_append_printf (run->transcript, "complete %s\n", (char *) hf_http_request_data (request));
}

static void
on_drained (void *context, struct hf_http_request *request)
{
  struct run *run = context;
  g_string_append_printf (run->transcript, "drained %s\n", (char *) hf_http_request_data (request));
}

static void
on_ended (void *context, struct hf_http_request *request, bool answered)
{
  struct run *run = context;
  char *path = hf_http_request_data (request);
  g_string_append_printf (run->transcript, "%s %s\n", answered ? "answered" : "dropped", path);
  g_hash_table_remove (run->requests, path);
}

static const struct hf_http_server_callbacks callbacks = { .may_overlap = may_overlap,
                                                           .on_head = on_head,
                                                           .on_body = on_body,
                                                           .on_complete = on_complete,
                                                           .on_drained = on_drained,
                                                           .on_ended = on_ended };

/* --- internal functions: descriptors --- */

static int
lowest_free_descriptor (void)
{
  int fd = dup (STDIN_FILENO);
  g_assert_cmpint (fd, >=, 0);
  close (fd);
  return fd;
}

/* --- internal functions: callers --- */

/* Connects and sends without a turn of the main loop. */
static int
connect_blocking (const char *address, const char *text)
{
  struct sockaddr_in socket_address = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socket_address.sin_port = htons ((in_port_t) atoi (strchr (address, ':') + 1));
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  g_assert_cmpint (connect (fd, (struct sockaddr *) &socket_address, sizeof socket_address), ==, 0);
  g_assert_cmpint (send (fd, text, strlen (text), 0), ==, strlen (text));
  return fd;
}

/* --- internal functions: runs --- */

static gboolean
on_settled (gpointer data)
{
  *(gboolean *) data = TRUE;
  return G_SOURCE_REMOVE;
}

static void
settle (void)
{
  gboolean settled = FALSE;
  g_timeout_add (SETTLE_MS, on_settled, &settled);
  while (!settled)
    g_main_context_iteration (NULL, TRUE);
}

/* Opens a server and one client that sends @text. */
static struct run *
open_run (const char *text)
{
  struct run *run = g_new0 (struct run, 1);
  struct hf_error error = { 0 };
  run->net = hf_net_open ();
  run->transcript = g_string_new (NULL);
  run->requests = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  run->server = hf_http_server_open (run->net, hf_str ("127.0.0.1:0"), &callbacks, run, &error);
  g_assert_nonnull (run->server);
  char *address = g_strndup (hf_http_server_address (run->server).data, hf_http_server_address (run->server).len);
  run->client = raw_client_connect (run->net, address, text);
  g_free (address);
  settle ();
  return run;
}

static void
close_run (struct run *run)
{
  if (run->client)
    raw_client_close (run->client);
  hf_http_server_close (run->server);
  hf_net_close (run->net);
  g_hash_table_destroy (run->requests);
  g_string_free (run->transcript, TRUE);
  g_free (run);
}

static struct hf_http_request *
find_request (struct run *run, const char *path)
{
  struct hf_http_request *request = g_hash_table_lookup (run->requests, path);
  g_assert_nonnull (request);
  return request;
}

/* Answers a request with its path as the body. */
static void
respond (struct run *run, const char *path)
{
  char *body = g_strconcat ("<", path, ">", NULL);
  hf_http_respond (find_request (run, path), 200, hf_str (""), hf_str (body));
  g_free (body);
  settle ();
}

/* Compares the owner's events since the last check. */
static void
check_events (struct run *run, const char *expected)
{
  g_assert_cmpstr (run->transcript->str, ==, expected);
  g_string_truncate (run->transcript, 0);
}

/* Compares what the client has received, status codes and bodies in order. */
static void
check_received (struct run *run, const char *expected)
{
  GString *seen = g_string_new (NULL);
  for (const char *at = run->client->received->str; *at; at++)
    {
      if (strncmp (at, "HTTP/1.1 ", 9) == 0)
        g_string_append_printf (seen, "%.3s ", at + 9);
      else if (*at == '<')
        g_string_append_printf (seen, "%.*s ", (int) (strcspn (at, ">") + 1), at);
      else if (strncmp (at, "Connection: close", 17) == 0)
        g_string_append (seen, "close ");
    }
  if (run->client->ended)
    g_string_append (seen, run->client->reset ? "reset" : "end");
  g_assert_cmpstr (g_strchomp (seen->str), ==, expected);
  g_string_free (seen, TRUE);
}

#define GET(path)  "GET " path " HTTP/1.1\r\nHost: h\r\n\r\n"
#define POST(path) "POST " path " HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"

/* --- tests: order --- */

/* Requests that may overlap start at once; responses that are ready in another order wait for their turn. */
static void
test_order (void)
{
  struct run *run = open_run (GET ("/s1") GET ("/s2") GET ("/s3"));
  check_events (run, "head /s1\nhead /s2\nhead /s3\n");
  respond (run, "/s3");
  respond (run, "/s2");
  check_received (run, "");
  respond (run, "/s1");
  check_received (run, "200 </s1> 200 </s2> 200 </s3>");
  check_events (run, "answered /s1\nanswered /s2\nanswered /s3\n");
  raw_client_send (run->client, GET ("/s4"));
  settle ();
  respond (run, "/s4");
  check_received (run, "200 </s1> 200 </s2> 200 </s3> 200 </s4>");
  close_run (run);
}

/* Other requests start only when all before them have been answered; those that may overlap do so with them. */
static void
test_held_back (void)
{
  struct run *run = open_run (GET ("/s1") GET ("/s2") POST ("/u3") GET ("/s4") POST ("/u5"));
  check_events (run, "head /s1\nhead /s2\n");
  respond (run, "/s2");
  check_events (run, "");
  respond (run, "/s1");
  check_events (run, "answered /s1\nanswered /s2\nhead /u3\nbody /u3 hello\nhead /s4\n");
  respond (run, "/s4");
  respond (run, "/u3");
  check_events (run, "answered /u3\nanswered /s4\nhead /u5\nbody /u5 hello\n");
  respond (run, "/u5");
  check_received (run, "200 </s1> 200 </s2> 200 </u3> 200 </s4> 200 </u5>");
  close_run (run);
}

/* The body of a request that is held back arrives in pieces, some of them after its turn has come. */
static void
test_held_body_in_pieces (void)
{
  struct run *run = open_run (GET ("/s1") "POST /u2 HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nab");
  raw_client_send (run->client, "cd");
  settle ();
  check_events (run, "head /s1\n");
  respond (run, "/s1");
  check_events (run, "answered /s1\nhead /u2\nbody /u2 ab\nbody /u2 cd\n");
  raw_client_send (run->client, "ef" GET ("/s3"));
  settle ();
  check_events (run, "body /u2 ef\nhead /s3\n");
  respond (run, "/u2");
  respond (run, "/s3");
  check_received (run, "200 </s1> 200 </u2> 200 </s3>");
  close_run (run);
}

/* --- tests: closes in the middle --- */

/* Nothing behind a request that asks for a close is read. */
static void
test_caller_asks_for_close (void)
{
  struct run *run = open_run (GET ("/s1") "GET /s2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" GET ("/s3"));
  check_events (run, "head /s1\nhead /s2\n");
  respond (run, "/s1");
  respond (run, "/s2");
  check_events (run, "answered /s1\nanswered /s2\n");
  check_received (run, "200 </s1> 200 close </s2> end");
  close_run (run);
}

/* Bytes that are no request get 400 after the responses to all before them. */
static void
test_garbage_behind (void)
{
  struct run *run = open_run (GET ("/s1") GET ("/s2") "garbage\r\n\r\n" GET ("/s3"));
  check_events (run, "head /s1\nhead /s2\n");
  check_received (run, "");
  respond (run, "/s2");
  respond (run, "/s1");
  check_events (run, "answered /s1\nanswered /s2\n");
  check_received (run, "200 </s1> 200 </s2> 400 close end");
  close_run (run);
}

/* The same for a request with a malformed body that is held back: its owner is never informed of it. */
static void
test_garbage_in_held_body (void)
{
  struct run *run
      = open_run (GET ("/s1") "POST /u2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nnot hexadecimal\r\n");
  check_events (run, "head /s1\n");
  respond (run, "/s1");
  check_events (run, "answered /s1\n");
  check_received (run, "200 </s1> 400 close end");
  close_run (run);
}

/* An early response, before the request body is complete, closes the connection: what is behind is not read. */
static void
test_early_response (void)
{
  struct run *run = open_run (GET ("/s1") "POST /u2 HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nab");
  respond (run, "/s1");
  respond (run, "/u2");
  raw_client_send (run->client, "cdef" GET ("/s3"));
  settle ();
  check_events (run, "head /s1\nanswered /s1\nhead /u2\nbody /u2 ab\nanswered /u2\n");
  check_received (run, "200 </s1> 200 close </u2> end");
  close_run (run);
}

/* At shutdown all that was reported is answered, the last response closes the connection, and what was held back is
 * not read. */
static void
test_shutdown (void)
{
  struct run *run = open_run (GET ("/s1") GET ("/s2") POST ("/u3"));
  hf_http_server_end_keep_alive (run->server);
  raw_client_send (run->client, GET ("/s4"));
  settle ();
  check_events (run, "head /s1\nhead /s2\n");
  respond (run, "/s1");
  hf_http_server_stop (run->server);
  settle ();
  check_received (run, "200 </s1>");
  respond (run, "/s2");
  check_events (run, "answered /s1\nanswered /s2\n");
  check_received (run, "200 </s1> 200 close </s2> end");
  close_run (run);
}

/* Of two requests that wait in the kernel when the server stops, one is on a connection that is not accepted yet. */
static void
test_stop_unread (void)
{
  struct run *run = open_run ("");
  struct hf_str address = hf_http_server_address (run->server);
  char *text = g_strndup (address.data, address.len);
  struct raw_client *idle = raw_client_connect (run->net, text, "");
  settle ();
  int waiting = connect_blocking (text, GET ("/s2"));
  raw_client_send (run->client, GET ("/s1"));
  hf_http_server_stop (run->server);
  settle ();
  g_assert_nonnull (g_hash_table_lookup (run->requests, "/s1"));
  g_assert_nonnull (g_hash_table_lookup (run->requests, "/s2"));
  respond (run, "/s1");
  respond (run, "/s2");
  check_received (run, "200 close </s1> end");
  char received[256] = { 0 };
  g_assert_cmpint (recv (waiting, received, sizeof received - 1, 0), >, 0);
  g_assert_true (g_str_has_prefix (received, "HTTP/1.1 200 "));
  hf_http_server_check_timeouts (run->server, g_get_monotonic_time () + HF_SEC);
  settle ();
  g_assert_true (idle->ended);
  close (waiting);
  raw_client_close (idle);
  g_free (text);
  close_run (run);
}

/* A caller that disconnects ends every request. */
static void
test_caller_gone (void)
{
  struct run *run = open_run (GET ("/s1") GET ("/s2") POST ("/u3"));
  respond (run, "/s2");
  check_events (run, "head /s1\nhead /s2\n");
  raw_client_close (g_steal_pointer (&run->client));
  settle ();
  check_events (run, "dropped /s2\ndropped /s1\n");
  g_assert_cmpuint (g_hash_table_size (run->requests), ==, 0);
  close_run (run);
}

/* Guards against a part of a body that counts as whole after a reset: its owner gets no end of the body. */
static void
test_upload_reset (void)
{
  static const char *const framings[]
      = { "Content-Length: 9\r\n\r\npart", "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n" };
  for (gsize i = 0; i < G_N_ELEMENTS (framings); i++)
    {
      char *text = g_strconcat ("POST /u1 HTTP/1.1\r\nHost: h\r\n", framings[i], NULL);
      struct run *run = open_run (text);
      run->reports_complete = true;
      check_events (run, "head /u1\nbody /u1 part\n");
      raw_client_reset (g_steal_pointer (&run->client));
      settle ();
      check_events (run, "dropped /u1\n");
      close_run (run);
      g_free (text);
    }
}

/* A response that cannot be completed resets the connection, after the responses before it. */
static void
test_aborted (void)
{
  struct run *run = open_run (GET ("/s1") GET ("/s2") GET ("/s3"));
  hf_http_response_start (find_request (run, "/s2"), 200, hf_str (""), 100);
  hf_http_response_send (find_request (run, "/s2"), hf_str ("<part>"));
  hf_http_response_abort (find_request (run, "/s2"));
  settle ();
  g_assert_false (run->client->ended);
  respond (run, "/s1");
  check_events (run, "head /s1\nhead /s2\nhead /s3\nanswered /s1\ndropped /s3\ndropped /s2\n");
  check_received (run, "200 </s1> reset");
  close_run (run);
}

/* --- tests: bounds --- */

/* Many requests in one write: few are in progress at a time, and all are answered in order. */
static void
test_many (void)
{
  GString *text = g_string_new (NULL);
  for (int i = 0; i < MANY_REQUESTS; i++)
    g_string_append_printf (text, "GET /s%d HTTP/1.1\r\nHost: h\r\n\r\n", i);
  struct run *run = open_run (text->str);
  for (int i = 0; i < MANY_REQUESTS; i++)
    {
      char path[16];
      g_snprintf (path, sizeof path, "/s%d", i);
      while (!g_hash_table_contains (run->requests, path))
        g_main_context_iteration (NULL, TRUE);
      hf_http_respond (find_request (run, path), 200, hf_str (""), hf_str (path));
    }
  settle ();
  g_assert_cmpuint (run->most_in_progress, ==, HF_PIPELINE_REQUESTS_MAX);
  g_assert_true (g_str_has_suffix (run->client->received->str, "/s999"));
  g_string_free (text, TRUE);
  close_run (run);
}

/* While nothing is answered, only a bounded number of bytes is read. */
static void
test_unread (void)
{
  char *path = g_strnfill (8000, 'x');
  GString *text = g_string_new (NULL);
  for (int i = 0; i < MANY_REQUESTS; i++)
    g_string_append_printf (text, "GET /s%d%s HTTP/1.1\r\nHost: h\r\n\r\n", i, path);
  struct run *run = open_run (text->str);
  settle ();
  GHashTableIter iter;
  struct hf_http_connection *connection;
  g_hash_table_iter_init (&iter, run->server->connections);
  g_assert_true (g_hash_table_iter_next (&iter, (gpointer *) &connection, NULL));
  g_assert_cmpuint (connection->pending->len, <=, HF_PIPELINE_BYTES_MAX + READ_BYTES_MAX);
  g_assert_cmpuint (g_hash_table_size (run->requests), ==, HF_PIPELINE_REQUESTS_MAX);
  g_string_free (text, TRUE);
  g_free (path);
  close_run (run);
}

/* A long response waits for its turn: its owner sees that the bytes are not sent, and later that they are. */
static void
test_long_response_behind (void)
{
  char *bytes = g_strnfill (HF_BODY_BUFFER_BYTES + 1, 'x');
  struct run *run = open_run (GET ("/s1") GET ("/s2"));
  struct hf_http_request *request = find_request (run, "/s2");
  hf_http_response_start (request, 200, hf_str (""), 2 * (HF_BODY_BUFFER_BYTES + 1));
  hf_http_response_send (request, hf_str (bytes));
  g_assert_cmpuint (hf_http_response_unsent_bytes (request), >, HF_BODY_BUFFER_BYTES);
  raw_client_send (run->client, GET ("/s3"));
  settle ();
  check_events (run, "head /s1\nhead /s2\n");
  respond (run, "/s1");
  settle ();
  g_assert_cmpuint (hf_http_response_unsent_bytes (request), ==, 0);
  g_assert_nonnull (strstr (run->transcript->str, "answered /s1\n"));
  g_assert_nonnull (strstr (run->transcript->str, "drained /s2\n"));
  hf_http_response_send (request, hf_str (bytes));
  hf_http_response_finish (request);
  settle ();
  g_assert_nonnull (strstr (run->transcript->str, "answered /s2\n"));
  respond (run, "/s3");
  g_assert_true (g_str_has_suffix (run->client->received->str, "</s3>"));
  g_free (bytes);
  close_run (run);
}

/* --- tests: slow callers --- */

/* A caller that reads slowly but steadily keeps its connection, although queued bytes wait all the time; one that stops
 * reading loses it. */
static void
test_slow_caller (void)
{
  char *bytes = g_strnfill (LONG_RESPONSE_BYTES, 'x');
  struct run *run = open_run (GET ("/s1"));
  struct hf_http_request *request = find_request (run, "/s1");
  int64_t now = g_get_monotonic_time ();
  hf_stream_pause (run->client->stream, true);
  hf_http_response_start (request, 200, hf_str (""), LONG_RESPONSE_BYTES);
  hf_http_response_send (request, hf_str (bytes));
  for (int i = 0; i < 3; i++)
    {
      size_t unsent = hf_http_response_unsent_bytes (request);
      hf_stream_pause (run->client->stream, false);
      while (hf_http_response_unsent_bytes (request) == unsent)
        g_main_context_iteration (NULL, TRUE);
      hf_stream_pause (run->client->stream, true);
      g_assert_cmpuint (hf_http_response_unsent_bytes (request), >, 0);
      now += (HF_CALLER_STALL_TIMEOUT_SEC - 1) * HF_SEC;
      hf_http_server_check_timeouts (run->server, now);
      g_assert_cmpuint (g_hash_table_size (run->requests), ==, 1);
    }
  hf_http_server_check_timeouts (run->server, now + (HF_CALLER_STALL_TIMEOUT_SEC + 1) * HF_SEC);
  g_assert_cmpuint (g_hash_table_size (run->requests), ==, 0);
  g_free (bytes);
  close_run (run);
}

/* --- tests: descriptors --- */

/* Returns the turns of the main loop until nothing is ready; a loop that spins is stopped at the limit. */
static guint
count_ready_turns (void)
{
  guint turns = 0;
  while (turns < NO_DESCRIPTOR_TURNS_MAX && g_main_context_iteration (NULL, FALSE))
    turns++;
  return turns;
}

/* Without a free descriptor no connection can be accepted: the process does not spin, and accepts the connection once
 * there is one again. */
static void
test_no_descriptor (void)
{
  struct run *run = open_run (GET ("/s1"));
  struct rlimit limit;
  g_assert_cmpint (getrlimit (RLIMIT_NOFILE, &limit), ==, 0);
  struct rlimit used_up = { .rlim_cur = (rlim_t) lowest_free_descriptor () + 1, .rlim_max = limit.rlim_max };
  g_assert_cmpint (setrlimit (RLIMIT_NOFILE, &used_up), ==, 0);
  char *address = g_strndup (hf_http_server_address (run->server).data, hf_http_server_address (run->server).len);
  struct raw_client *second = raw_client_connect (run->net, address, GET ("/s2"));
  for (guint i = 0; i < NO_DESCRIPTOR_PAUSES; i++)
    {
      g_assert_cmpuint (count_ready_turns (), <, NO_DESCRIPTOR_TURNS_MAX);
      g_main_context_iteration (NULL, TRUE);
    }
  g_assert_false (g_hash_table_contains (run->requests, "/s2"));
  g_assert_cmpint (setrlimit (RLIMIT_NOFILE, &limit), ==, 0);
  while (!g_hash_table_contains (run->requests, "/s2"))
    g_main_context_iteration (NULL, TRUE);
  raw_client_close (second);
  g_free (address);
  close_run (run);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/http-server/order", test_order);
  g_test_add_func ("/http-server/held-back", test_held_back);
  g_test_add_func ("/http-server/held-body-in-pieces", test_held_body_in_pieces);
  g_test_add_func ("/http-server/caller-asks-for-close", test_caller_asks_for_close);
  g_test_add_func ("/http-server/garbage-behind", test_garbage_behind);
  g_test_add_func ("/http-server/garbage-in-held-body", test_garbage_in_held_body);
  g_test_add_func ("/http-server/early-response", test_early_response);
  g_test_add_func ("/http-server/shutdown", test_shutdown);
  g_test_add_func ("/http-server/stop-unread", test_stop_unread);
  g_test_add_func ("/http-server/caller-gone", test_caller_gone);
  g_test_add_func ("/http-server/upload-reset", test_upload_reset);
  g_test_add_func ("/http-server/aborted", test_aborted);
  g_test_add_func ("/http-server/many", test_many);
  g_test_add_func ("/http-server/unread", test_unread);
  g_test_add_func ("/http-server/long-response-behind", test_long_response_behind);
  g_test_add_func ("/http-server/slow-caller", test_slow_caller);
  g_test_add_func ("/http-server/no-descriptor", test_no_descriptor);
  return g_test_run ();
}
