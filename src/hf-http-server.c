/* HTTP/1.1 server for callers: listener, limits, and the responses of its owner. */
#include "hf-http-server.h"

#include "hf-http-connection.h"

#include "config.h"

/* --- internal functions --- */

static void
on_accepted (void *context, struct hf_stream *stream)
{
  struct hf_http_server *server = context;
  g_hash_table_add (server->connections, hf_http_connection_open (server, stream));
}

/* Calls @act for each connection that is still open by then: what it does for one may close others. */
static void
for_each_connection (struct hf_http_server *server,
                     void (*act) (struct hf_http_connection *connection, int64_t now),
                     int64_t now)
{
  GList *connections = g_hash_table_get_keys (server->connections);
  for (GList *item = connections; item; item = item->next)
    if (g_hash_table_contains (server->connections, item->data))
      act (item->data, now);
  g_list_free (connections);
}

static void
close_connection (struct hf_http_connection *connection, int64_t now)
{
  (void) now;
  hf_http_connection_close (connection, false);
}

static void
close_if_idle (struct hf_http_connection *connection, int64_t now)
{
  (void) now;
  if (hf_http_connection_is_idle (connection))
    hf_http_connection_start_linger (connection);
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
  for_each_connection (server, close_connection, 0);
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
  for_each_connection (server, close_if_idle, 0);
}

void
hf_http_server_check_timeouts (struct hf_http_server *server, int64_t now)
{
  for_each_connection (server, hf_http_connection_check_timeouts, now);
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
  request->body_paused = paused;
  hf_http_connection_update_reading (request->connection);
}

/* --- public functions: responses --- */

void
hf_http_response_start (struct hf_http_request *request, unsigned status, struct hf_str fields, int64_t length)
{
  GString *text = g_string_sized_new (fields.len + 128);
  bool has_no_body = status == 204 || status == 304;
  /* The rest of an incomplete request body would be parsed as the next request. */
  request->keep_alive = hf_http_connection_may_keep_alive (request);
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
  hf_http_connection_queue_output (request, (struct hf_str){ text->str, text->len });
  g_string_free (text, TRUE);
}

void
hf_http_response_send (struct hf_http_request *request, struct hf_str bytes)
{
  char size[24];
  if (bytes.len == 0 || request->is_head_method)
    return;
  if (request->chunked)
    {
      g_snprintf (size, sizeof size, "%zx\r\n", bytes.len);
      hf_http_connection_queue_output (request, hf_str (size));
    }
  hf_http_connection_queue_output (request, bytes);
  if (request->chunked)
    hf_http_connection_queue_output (request, hf_str ("\r\n"));
  hf_http_connection_flush_output (request);
}

void
hf_http_response_finish (struct hf_http_request *request)
{
  if (request->chunked)
    hf_http_connection_queue_output (request, hf_str ("0\r\n\r\n"));
  hf_http_connection_finish_output (request);
}

void
hf_http_response_abort (struct hf_http_request *request)
{
  request->response_aborted = true;
  g_clear_pointer (&request->output, g_byte_array_unref);
  if (hf_http_request_is_oldest (request))
    hf_http_connection_close (request->connection, true);
}

size_t
hf_http_response_unsent_bytes (const struct hf_http_request *request)
{
  if (hf_http_request_is_oldest (request))
    return hf_stream_unsent_bytes (request->connection->stream);
  return request->output ? request->output->len : 0;
}

void
hf_http_respond (struct hf_http_request *request, unsigned status, struct hf_str fields, struct hf_str body)
{
  hf_http_response_start (request, status, fields, (int64_t) body.len);
  if (!request->is_head_method)
    hf_http_connection_queue_output (request, body);
  hf_http_response_finish (request);
}
