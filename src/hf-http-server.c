/* HTTP/1.1 server for callers. */
#include "hf-http-server.h"

#include <string.h>

#include "config.h"

/* --- constants --- */

/* Lingering close: bytes that still arrive after the response are read for this time. Unread bytes would make the
 * kernel reset the connection, and the caller could lose the response. */
#define LINGER_US           (2 * HF_SEC)
#define PIPELINED_BYTES_MAX (64 * 1024) /* of further requests that are buffered while one is served */

/* --- types --- */

struct hf_http_server
{
  struct hf_net *net;
  struct hf_listener *listener;
  const struct hf_http_server_callbacks *callbacks;
  void *context;
  struct hf_http_server_limits limits;
  GHashTable *connections; /* struct connection, as a set */
  bool keep_alive_disabled;
  bool stopped;
};

/* Connection of a caller. */
struct connection
{
  struct hf_http_server *server;
  struct hf_stream *stream;
  struct hf_http_parser *parser;
  struct hf_http_request *request; /* being served; NULL: none */
  GByteArray *pending;             /* received bytes that are not parsed yet */
  int64_t active_at;               /* last time that bytes arrived, all queued bytes were sent, or a request ended */
  int64_t head_started_at;         /* first byte of the head being received; 0: none */
  int64_t linger_until;            /* end of the lingering close; 0: not closing */
  bool processing;                 /* inside process_pending, which frees a connection closed meanwhile */
  bool body_paused;                /* the owner has paused the request body */
};

struct hf_http_request
{
  struct connection *connection;
  void *data;
  int64_t body_bytes;
  bool keep_alive;
  bool is_head_method; /* HEAD request: the response has no body */
  bool body_complete;
  bool response_started;
  bool response_finished;
  bool chunked;
  bool reported; /* on_head was called: the owner is to receive on_ended */
};

/* --- internal functions: connections --- */

static int64_t
now_us (void)
{
  return g_get_monotonic_time ();
}

static void
free_connection (struct connection *connection)
{
  hf_http_parser_close (connection->parser);
  g_byte_array_unref (connection->pending);
  g_free (connection);
}

static void
end_request (struct connection *connection, bool answered)
{
  struct hf_http_request *request = connection->request;
  connection->request = NULL;
  connection->body_paused = false;
  if (request && request->reported)
    connection->server->callbacks->on_ended (connection->server->context, request, answered);
  g_free (request);
}

static void
close_connection (struct connection *connection, bool reset)
{
  struct hf_http_server *server = connection->server;
  if (!g_hash_table_remove (server->connections, connection))
    return;
  if (reset)
    hf_stream_reset (connection->stream);
  else
    hf_stream_close (connection->stream);
  end_request (connection, false);
  connection->stream = NULL;
  if (!connection->processing)
    free_connection (connection);
}

/* Closes the connection after the response; bytes that still arrive are read and discarded. */
static void
start_lingering_close (struct connection *connection)
{
  hf_stream_shutdown_write (connection->stream);
  hf_stream_pause (connection->stream, false);
  connection->linger_until = now_us () + LINGER_US;
  g_byte_array_set_size (connection->pending, 0);
}

static const char *
reason_phrase (unsigned status)
{
  static const struct
  {
    unsigned status;
    const char *reason;
  } reasons[] = { { 200, "OK" },
                  { 204, "No Content" },
                  { 400, "Bad Request" },
                  { 404, "Not Found" },
                  { 405, "Method Not Allowed" },
                  { 408, "Request Timeout" },
                  { 409, "Conflict" },
                  { 413, "Content Too Large" },
                  { 422, "Unprocessable Content" },
                  { 431, "Request Header Fields Too Large" },
                  { 500, "Internal Server Error" },
                  { 502, "Bad Gateway" },
                  { 503, "Service Unavailable" },
                  { 504, "Gateway Timeout" } };
  for (size_t i = 0; i < G_N_ELEMENTS (reasons); i++)
    if (reasons[i].status == status)
      return reasons[i].reason;
  return "Answer";
}

/* --- internal functions: callbacks of the parser --- */

/* Rejects a request with an error response. If on_head was not called for it, the owner is never informed of it. */
static void
reject (struct connection *connection, unsigned status, const char *reason)
{
  char *text = g_strdup_printf ("%s\n", reason);
  if (!connection->request)
    {
      connection->request = g_new0 (struct hf_http_request, 1);
      connection->request->connection = connection;
    }
  connection->request->keep_alive = false;
  hf_http_respond (connection->request, status, hf_str ("Content-Type: text/plain\r\nHickory-Outcome: not-run\r\n"),
                   hf_str (text));
  g_free (text);
}

/* Whether at most one field declares the body length, and none can be interpreted in two ways. */
static bool
has_unambiguous_framing (const struct hf_http_head *head)
{
  unsigned lengths = 0;
  unsigned codings = 0;
  for (guint i = 0; i < head->fields->len; i++)
    {
      const struct hf_header *field = &g_array_index (head->fields, struct hf_header, i);
      if (hf_str_equal_nocase (field->name, hf_str ("Content-Length")))
        lengths++;
      if (!hf_str_equal_nocase (field->name, hf_str ("Transfer-Encoding")))
        continue;
      codings++;
      if (!hf_str_equal_nocase (field->value, hf_str ("chunked")))
        return false;
    }
  return lengths + codings <= 1;
}

static bool
expects_continue (const struct hf_http_head *head)
{
  return hf_str_equal_nocase (hf_http_head_field (head, "Expect"), hf_str ("100-continue"));
}

static bool
on_head (void *context, const struct hf_http_head *head)
{
  struct connection *connection = context;
  struct hf_http_server *server = connection->server;
  connection->head_started_at = 0;
  if (!has_unambiguous_framing (head) || head->target.len == 0)
    {
      reject (connection, 400, "the length of the body is not clear");
      return true;
    }
  if (head->content_length > server->limits.body_bytes_max)
    {
      reject (connection, 413, "the body is too large");
      return true;
    }
  struct hf_http_request *request = g_new0 (struct hf_http_request, 1);
  request->connection = connection;
  request->keep_alive = head->keep_alive;
  request->is_head_method = hf_str_equal (head->method, hf_str ("HEAD"));
  request->reported = true;
  connection->request = request;
  if (expects_continue (head))
    {
      hf_stream_queue (connection->stream, hf_str ("HTTP/1.1 100 Continue\r\n\r\n"));
      hf_stream_flush (connection->stream);
    }
  server->callbacks->on_head (server->context, request, head);
  return true;
}

static void
on_body (void *context, struct hf_str bytes)
{
  struct connection *connection = context;
  struct hf_http_server *server = connection->server;
  struct hf_http_request *request = connection->request;
  if (!request || !request->reported || request->response_finished || connection->linger_until)
    return;
  request->body_bytes += (int64_t) bytes.len;
  if (request->body_bytes > server->limits.body_bytes_max && !request->response_started)
    {
      reject (connection, 413, "the body is too large");
      return;
    }
  server->callbacks->on_body (server->context, request, bytes);
}

static void
on_complete (void *context)
{
  struct connection *connection = context;
  struct hf_http_request *request = connection->request;
  if (!request || connection->linger_until)
    return;
  request->body_complete = true;
  if (request->reported && !request->response_finished)
    connection->server->callbacks->on_complete (connection->server->context, request);
}

static void
on_error (void *context, enum hf_http_parse_error error)
{
  struct connection *connection = context;
  struct hf_http_request *request = connection->request;
  if (request && request->response_started)
    {
      close_connection (connection, true);
      return;
    }
  if (error == HF_HTTP_PARSE_HEAD_TOO_LARGE)
    reject (connection, 431, "the header fields are too large");
  else
    reject (connection, 400, "the request is malformed");
}

static const struct hf_http_parser_callbacks parser_callbacks
    = { .on_head = on_head, .on_body = on_body, .on_complete = on_complete, .on_error = on_error };

/* --- internal functions: streams --- */

static bool
accepts_bytes (const struct connection *connection)
{
  return connection->stream && !connection->linger_until
         && (!connection->request || !connection->request->body_complete);
}

/* Passes pending bytes to the parser, up to the end of one request. Bytes of
 * further requests stay pending until its response is sent. */
static void
process_pending (struct connection *connection)
{
  if (connection->processing)
    return;
  connection->processing = true;
  while (connection->stream && connection->pending->len > 0 && accepts_bytes (connection))
    {
      GByteArray *bytes = connection->pending;
      connection->pending = g_byte_array_new ();
      bool starts_request = !connection->request && hf_http_parser_is_idle (connection->parser);
      if (starts_request)
        {
          connection->head_started_at = now_us ();
          hf_http_parser_set_head_limit (connection->parser, connection->server->limits.head_bytes_max);
        }
      size_t used = hf_http_parser_feed (connection->parser, (struct hf_str){ (const char *) bytes->data, bytes->len });
      if (connection->stream && !connection->linger_until)
        g_byte_array_append (connection->pending, bytes->data + used, (guint) (bytes->len - used));
      g_byte_array_unref (bytes);
      if (used == 0)
        break;
    }
  connection->processing = false;
  if (!connection->stream)
    {
      free_connection (connection);
      return;
    }
  if (connection->linger_until)
    return;
  hf_stream_pause (connection->stream, connection->body_paused || connection->pending->len > PIPELINED_BYTES_MAX);
}

static void
on_stream_data (void *context, struct hf_str bytes)
{
  struct connection *connection = context;
  connection->active_at = now_us ();
  if (connection->linger_until)
    return;
  g_byte_array_append (connection->pending, (const guint8 *) bytes.data, (guint) bytes.len);
  process_pending (connection);
}

static void
complete_response (struct connection *connection)
{
  bool keep = connection->request->keep_alive;
  end_request (connection, true);
  connection->active_at = now_us ();
  if (keep && !connection->server->stopped)
    process_pending (connection);
  else
    start_lingering_close (connection);
}

static void
on_stream_drained (void *context)
{
  struct connection *connection = context;
  struct hf_http_request *request = connection->request;
  connection->active_at = now_us ();
  if (!request)
    return;
  if (request->response_finished)
    complete_response (connection);
  else if (request->reported && request->response_started)
    connection->server->callbacks->on_drained (connection->server->context, request);
}

static void
on_stream_ended (void *context, enum hf_stream_end end)
{
  (void) end;
  close_connection (context, false);
}

static const struct hf_stream_callbacks stream_callbacks
    = { .on_data = on_stream_data, .on_drained = on_stream_drained, .on_ended = on_stream_ended };

static void
on_accepted (void *context, struct hf_stream *stream)
{
  struct hf_http_server *server = context;
  struct connection *connection = g_new0 (struct connection, 1);
  connection->server = server;
  connection->stream = stream;
  connection->pending = g_byte_array_new ();
  connection->active_at = now_us ();
  connection->parser = hf_http_parser_open (true, &parser_callbacks, connection);
  g_hash_table_add (server->connections, connection);
  hf_stream_set_callbacks (stream, &stream_callbacks, connection);
}

/* --- internal functions: timeouts --- */

static void
check_connection_timeouts (struct connection *connection, int64_t now)
{
  const struct hf_http_server_limits *limits = &connection->server->limits;
  const struct hf_http_request *request = connection->request;
  bool stalled = now - connection->active_at > HF_CALLER_STALL_TIMEOUT_SEC * HF_SEC;
  if (connection->linger_until)
    {
      if (now >= connection->linger_until)
        close_connection (connection, false);
    }
  else if (request)
    {
      bool waits_for_caller = request->response_started || !request->body_complete;
      if (waits_for_caller && stalled)
        close_connection (connection, true);
    }
  else if (connection->head_started_at && now - connection->head_started_at > limits->head_timeout_us)
    reject (connection, 408, "the head of the request did not come in time");
  else if (!connection->head_started_at && now - connection->active_at > limits->idle_timeout_us)
    close_connection (connection, false);
}

/* --- public functions: init and close --- */

struct hf_http_server *
hf_http_server_open (struct hf_net *net,
                     struct hf_str address,
                     const struct hf_http_server_callbacks *callbacks,
                     void *context,
                     struct hf_error *error)
{
  struct hf_http_server *server = g_new0 (struct hf_http_server, 1);
  server->net = net;
  server->callbacks = callbacks;
  server->context = context;
  server->limits = (struct hf_http_server_limits){ .head_bytes_max = HF_REQUEST_HEAD_BYTES_MAX,
                                                   .body_bytes_max = HF_REQUEST_BODY_BYTES_MAX,
                                                   .head_timeout_us = HF_CALLER_STALL_TIMEOUT_SEC * HF_SEC,
                                                   .idle_timeout_us = HF_CALLER_STALL_TIMEOUT_SEC * HF_SEC };
  server->connections = g_hash_table_new (NULL, NULL);
  server->listener = hf_listener_open (net, address, on_accepted, server, error);
  if (server->listener)
    return server;
  hf_http_server_close (server);
  return NULL;
}

void
hf_http_server_close (struct hf_http_server *server)
{
  if (!server)
    return;
  hf_listener_close (server->listener);
  GList *connections = g_hash_table_get_keys (server->connections);
  for (GList *item = connections; item; item = item->next)
    close_connection (item->data, false);
  g_list_free (connections);
  g_hash_table_destroy (server->connections);
  g_free (server);
}

struct hf_str
hf_http_server_address (const struct hf_http_server *server)
{
  return hf_listener_address (server->listener);
}

void
hf_http_server_set_limits (struct hf_http_server *server, struct hf_http_server_limits limits)
{
  server->limits = limits;
}

void
hf_http_server_end_keep_alive (struct hf_http_server *server)
{
  server->keep_alive_disabled = true;
}

void
hf_http_server_stop (struct hf_http_server *server)
{
  server->keep_alive_disabled = true;
  server->stopped = true;
  hf_listener_close (server->listener);
  server->listener = NULL;
  GList *connections = g_hash_table_get_keys (server->connections);
  for (GList *item = connections; item; item = item->next)
    {
      struct connection *connection = item->data;
      if (!connection->request && !connection->head_started_at && !connection->linger_until)
        start_lingering_close (connection);
    }
  g_list_free (connections);
}

void
hf_http_server_check_timeouts (struct hf_http_server *server, int64_t now)
{
  GList *connections = g_hash_table_get_keys (server->connections);
  for (GList *item = connections; item; item = item->next)
    check_connection_timeouts (item->data, now);
  g_list_free (connections);
}

/* --- public functions: requests --- */

void
hf_http_request_set_data (struct hf_http_request *request, void *data)
{
  request->data = data;
}

void *
hf_http_request_data (const struct hf_http_request *request)
{
  return request->data;
}

void
hf_http_request_pause_body (struct hf_http_request *request, bool paused)
{
  request->connection->body_paused = paused;
  hf_stream_pause (request->connection->stream, paused);
}

/* --- public functions: responses --- */

void
hf_http_response_start (struct hf_http_request *request, unsigned status, struct hf_str fields, int64_t length)
{
  struct connection *connection = request->connection;
  GString *text = g_string_sized_new (fields.len + 128);
  bool has_no_body = status == 204 || status == 304;
  /* The rest of an incomplete request body would be parsed as the next request. */
  request->keep_alive = request->keep_alive && request->body_complete && !connection->server->keep_alive_disabled;
  request->response_started = true;
  request->chunked = length < 0 && !has_no_body && !request->is_head_method;
  g_string_append_printf (text, "HTTP/1.1 %u %s\r\n", status, reason_phrase (status));
  g_string_append_len (text, fields.data, (gssize) fields.len);
  if (request->chunked)
    g_string_append (text, "Transfer-Encoding: chunked\r\n");
  else if (length >= 0 && !has_no_body)
    g_string_append_printf (text, "Content-Length: %" G_GINT64_FORMAT "\r\n", length);
  if (!request->keep_alive)
    g_string_append (text, "Connection: close\r\n");
  g_string_append (text, "\r\n");
  hf_stream_queue (connection->stream, (struct hf_str){ text->str, text->len });
  g_string_free (text, TRUE);
}

void
hf_http_response_send (struct hf_http_request *request, struct hf_str bytes)
{
  struct hf_stream *stream = request->connection->stream;
  char size[24];
  if (bytes.len == 0 || request->is_head_method)
    return;
  if (request->chunked)
    {
      g_snprintf (size, sizeof size, "%zx\r\n", bytes.len);
      hf_stream_queue (stream, hf_str (size));
    }
  hf_stream_queue (stream, bytes);
  if (request->chunked)
    hf_stream_queue (stream, hf_str ("\r\n"));
  hf_stream_flush (stream);
}

void
hf_http_response_finish (struct hf_http_request *request)
{
  struct hf_stream *stream = request->connection->stream;
  if (request->chunked)
    hf_stream_queue (stream, hf_str ("0\r\n\r\n"));
  request->response_finished = true;
  if (hf_stream_unsent_bytes (stream) > 0)
    hf_stream_flush (stream);
  else
    complete_response (request->connection);
}

void
hf_http_response_abort (struct hf_http_request *request)
{
  close_connection (request->connection, true);
}

size_t
hf_http_response_unsent_bytes (const struct hf_http_request *request)
{
  return hf_stream_unsent_bytes (request->connection->stream);
}

void
hf_http_respond (struct hf_http_request *request, unsigned status, struct hf_str fields, struct hf_str body)
{
  hf_http_response_start (request, status, fields, (int64_t) body.len);
  if (!request->is_head_method)
    hf_stream_queue (request->connection->stream, body);
  hf_http_response_finish (request);
}
