/*
 * Tests of how the end of a connection ends a response. A body without a length
 * is complete only after an orderly close by the server, once the request has
 * been written and no write has failed. No test depends on timing: the end of
 * the connection has arrived, or a write has failed of it, before the client
 * reads.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "hf-admin-client.h"
#include "hf-http-client.h"
#include "hf-store.h"
#include "raw.h"

#include "config.h"

/* --- constants --- */

#define UNSET_STATUS  1                 /* before a response */
#define TURNS_MAX     100000            /* of the main loop */
#define UPLOAD_BYTES  (8 * 1024 * 1024) /* more than the sockets of a connection hold */
#define WRITES_MAX    1000000           /* into a connection that was reset */
#define NO_LENGTH     "HTTP/1.1 200 OK\r\nX-Id: own\r\n\r\n"
#define WITH_LENGTH   "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
#define INFORMATIONAL "HTTP/1.1 100 Continue\r\n\r\n"

/* --- types --- */

enum server_end
{
  SHUTS_DOWN, /* ends its side in order; the connection stays open in the other direction */
  CLOSES,     /* in order */
  RESETS,
};

enum upload
{
  NO_UPLOAD,
  UNFINISHED_UPLOAD, /* written as far as it is there; the rest is yet to come */
  QUEUED_UPLOAD,     /* longer than the sockets hold: bytes of it are queued */
  WRITES_INTO_END,   /* written until a write has failed, before the client reads */
};

struct end_case
{
  const char *response; /* sent before the connection ends */
  enum server_end end;
  enum upload upload;
  gboolean paused; /* the client does not read until the connection has ended */
  enum hf_http_client_result expected;
  const char *body; /* what the client has received of it */
};

struct run
{
  const struct end_case *end_case;
  struct hf_net *net;
  struct raw_server *server;
  struct hf_http_client *client;
  struct hf_http_client_request *request;
  gboolean ended;
  enum hf_http_client_result result;
  GString *body;
};

/* A server for clients that block. */
struct blocking_server
{
  int fd;
  gboolean resets;
};

/* --- internal functions --- */

static void
on_head (void *context, const struct hf_http_head *head)
{
  (void) context;
  (void) head;
}

static void
on_body (void *context, struct hf_str bytes)
{
  struct run *run = context;
  g_string_append_len (run->body, bytes.data, (gssize) bytes.len);
}

static void
on_ended (void *context, const struct hf_http_client_end *end)
{
  struct run *run = context;
  run->ended = TRUE;
  run->result = end->result;
}

static const struct hf_http_client_callbacks callbacks
    = { .on_head = on_head, .on_body = on_body, .on_ended = on_ended };

/* Nothing reads on the client's side meanwhile. A reset may take a moment to arrive; writes before it succeed. */
static void
write_until_failure (struct run *run)
{
  for (guint i = 0; i < WRITES_MAX && hf_http_client_unsent_bytes (run->request) == 0; i++)
    {
      hf_http_client_send_body (run->request, hf_str ("x"), false);
      g_thread_yield ();
    }
  g_assert_cmpuint (hf_http_client_unsent_bytes (run->request), >, 0);
}

static void
on_request (void *context, struct raw_connection *connection, const char *text)
{
  struct run *run = context;
  (void) text;
  raw_connection_send (connection, "%s", run->end_case->response);
  if (run->end_case->end == SHUTS_DOWN)
    raw_connection_shut_down (connection);
  else
    raw_connection_close (connection, run->end_case->end == RESETS);
  if (run->end_case->upload == WRITES_INTO_END)
    write_until_failure (run);
}

static void
send_request (struct run *run)
{
  enum upload upload = run->end_case->upload;
  GString *body = g_string_new (NULL);
  if (upload == QUEUED_UPLOAD)
    g_string_set_size (body, UPLOAD_BYTES);
  const char *head = upload == NO_UPLOAD ? "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
                                         : "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8388608\r\n\r\n";
  struct hf_http_client_params params = { .address = hf_str (raw_server_address (run->server)),
                                          .head = hf_str (head),
                                          .body = { body->str, upload == QUEUED_UPLOAD ? UPLOAD_BYTES : 0 },
                                          .has_more_body = upload == UNFINISHED_UPLOAD || upload == WRITES_INTO_END };
  run->request = hf_http_client_send (run->client, &params, &callbacks, run);
  hf_http_client_pause (run->request, run->end_case->paused);
  g_string_free (body, TRUE);
}

static void
run_loop (struct run *run, gboolean wait)
{
  for (guint i = 0; !run->ended && i < TURNS_MAX && (wait || g_main_context_pending (NULL)); i++)
    g_main_context_iteration (NULL, wait);
}

static void
open_run (struct run *run)
{
  run->body = g_string_new (NULL);
  run->net = hf_net_open ();
  run->server = raw_server_open (run->net, on_request, run);
  raw_server_set_head_only (run->server, TRUE);
  run->client = hf_http_client_open (run->net);
}

static void
close_run (struct run *run)
{
  hf_http_client_close (run->client);
  raw_server_close (run->server);
  hf_net_close (run->net);
  g_string_free (run->body, TRUE);
}

static void
check_end (gconstpointer data)
{
  struct run run = { .end_case = data };
  open_run (&run);
  send_request (&run);
  if (run.end_case->paused)
    {
      for (guint i = 0; i < TURNS_MAX && !hf_http_client_unsent_bytes (run.request); i++)
        g_main_context_iteration (NULL, FALSE);
      hf_http_client_pause (run.request, false);
    }
  run_loop (&run, TRUE);
  g_assert_true (run.ended);
  g_assert_cmpint (run.result, ==, run.end_case->expected);
  g_assert_cmpstr (run.body->str, ==, run.end_case->body);
  close_run (&run);
}

/* --- tests --- */

/* Guards against a partial response that counts as complete: a failed write takes the error of the socket, and the next
 * read reports an end of stream in place of the reset. */
static const struct end_case reset_before_read
    = { NO_LENGTH "part", RESETS, WRITES_INTO_END, FALSE, HF_HTTP_CLIENT_TRUNCATED, "part" };

/* The same for an orderly close that the rest of an upload runs into: the server has not read the request. */
static const struct end_case close_before_read
    = { NO_LENGTH "part", CLOSES, WRITES_INTO_END, FALSE, HF_HTTP_CLIENT_TRUNCATED, "part" };

/* Guards against a response without a length that counts as complete although the request was not written. */
static const struct end_case unfinished_upload
    = { NO_LENGTH "part", SHUTS_DOWN, UNFINISHED_UPLOAD, FALSE, HF_HTTP_CLIENT_TRUNCATED, "part" };
static const struct end_case queued_upload
    = { NO_LENGTH "part", SHUTS_DOWN, QUEUED_UPLOAD, FALSE, HF_HTTP_CLIENT_TRUNCATED, "part" };

/* Guards against a complete response that is taken for a partial one. */
static const struct end_case orderly_end
    = { NO_LENGTH "whole", SHUTS_DOWN, NO_UPLOAD, FALSE, HF_HTTP_CLIENT_COMPLETE, "whole" };
static const struct end_case length_then_reset
    = { WITH_LENGTH "full", RESETS, NO_UPLOAD, FALSE, HF_HTTP_CLIENT_COMPLETE, "full" };
static const struct end_case length_then_failed_write
    = { WITH_LENGTH "full", RESETS, WRITES_INTO_END, FALSE, HF_HTTP_CLIENT_COMPLETE, "full" };

/* Guards against an informational response that counts as the response due. */
static const struct end_case informational_then_reset
    = { INFORMATIONAL, RESETS, NO_UPLOAD, FALSE, HF_HTTP_CLIENT_BROKEN, "" };
static const struct end_case informational_then_failed_write
    = { INFORMATIONAL, RESETS, WRITES_INTO_END, FALSE, HF_HTTP_CLIENT_BROKEN, "" };

/* Guards against a reset that is lost while the connection is not read. */
static const struct end_case paused_then_failed_write
    = { NO_LENGTH "part", RESETS, WRITES_INTO_END, TRUE, HF_HTTP_CLIENT_TRUNCATED, "part" };

/* --- tests: other readers of responses --- */

static void
on_store_request (void *context, struct raw_connection *connection, const char *text)
{
  const gboolean *reset = context;
  (void) text;
  raw_connection_send (connection, "HTTP/1.1 200 OK\r\n\r\n{\"items\":[]}");
  raw_connection_close (connection, *reset);
}

static void
on_store_response (void *context, const struct hf_store_response *response)
{
  guint *status = context;
  *status = response->status;
}

/* Guards against a list of the store that is taken for whole although the connection was reset. */
static void
test_store (void)
{
  struct hf_net *net = hf_net_open ();
  for (gboolean reset = FALSE; reset <= TRUE; reset++)
    {
      struct raw_server *server = raw_server_open (net, on_store_request, &reset);
      struct hf_store *store = hf_store_open (net, hf_str (raw_server_address (server)));
      struct hf_store_request request = { .method = "GET", .path = "/x", .timeout_ms = 60000 };
      guint status = UNSET_STATUS;
      hf_store_start_call (store, &request, on_store_response, &status);
      for (guint i = 0; status == UNSET_STATUS && i < TURNS_MAX; i++)
        g_main_context_iteration (NULL, TRUE);
      g_assert_cmpuint (status, ==, reset ? 0 : 200);
      hf_store_close (store);
      raw_server_close (server);
    }
  hf_net_close (net);
}

/* Serves one connection: a response without a length whose connection is reset or closed in order. */
static gpointer
serve_once (gpointer data)
{
  struct blocking_server *server = data;
  static const char response[] = "HTTP/1.1 200 OK\r\n\r\npart";
  const struct linger no_linger = { .l_onoff = 1, .l_linger = 0 };
  char request[4096];
  int fd = accept (server->fd, NULL, NULL);
  g_assert_cmpint (recv (fd, request, sizeof request, 0), >, 0);
  g_assert_cmpint (send (fd, response, sizeof response - 1, MSG_NOSIGNAL), ==, sizeof response - 1);
  if (server->resets)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
  close (fd);
  return NULL;
}

/* Guards against a page of an entry or a document of the platform of which hickoryctl takes a part for all. */
static void
test_admin_client (void)
{
  for (gboolean reset = FALSE; reset <= TRUE; reset++)
    {
      struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
      socklen_t size = sizeof address;
      struct blocking_server server = { .fd = socket (AF_INET, SOCK_STREAM, 0), .resets = reset };
      g_assert_cmpint (bind (server.fd, (struct sockaddr *) &address, size), ==, 0);
      g_assert_cmpint (listen (server.fd, 1), ==, 0);
      getsockname (server.fd, (struct sockaddr *) &address, &size);
      char *name = g_strdup_printf ("127.0.0.1:%u", (guint) ntohs (address.sin_port));
      GThread *thread = g_thread_new ("server", serve_once, &server);
      struct hf_error error = { 0 };
      unsigned status = 0;
      char *text = hf_admin_client_get_text (name, "/dump", &status, &error);
      g_assert_cmpstr (text, ==, reset ? NULL : "part");
      g_thread_join (thread);
      close (server.fd);
      g_free (text);
      g_free (name);
    }
}

int
main (int argc, char **argv)
{
  static const struct
  {
    const char *path;
    const struct end_case *end_case;
  } cases[] = { { "/response-ends/reset-before-read", &reset_before_read },
                { "/response-ends/close-before-read", &close_before_read },
                { "/response-ends/unfinished-upload", &unfinished_upload },
                { "/response-ends/queued-upload", &queued_upload },
                { "/response-ends/orderly", &orderly_end },
                { "/response-ends/length-then-reset", &length_then_reset },
                { "/response-ends/length-then-failed-write", &length_then_failed_write },
                { "/response-ends/informational-then-reset", &informational_then_reset },
                { "/response-ends/informational-then-failed-write", &informational_then_failed_write },
                { "/response-ends/paused-then-failed-write", &paused_then_failed_write } };
  g_test_init (&argc, &argv, NULL);
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    g_test_add_data_func (cases[i].path, cases[i].end_case, check_end);
  g_test_add_func ("/response-ends/store", test_store);
  g_test_add_func ("/response-ends/admin-client", test_admin_client);
  return g_test_run ();
}
