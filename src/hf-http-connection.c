/* Connection of a caller: its requests in order, what is received on it, and the responses of the owner. */
#include "hf-http-connection.h"

#include <string.h>

#include "hf-log.h"

#include "config.h"

/* --- constants --- */

/* Lingering close: bytes that still arrive after the response are read for this time. Unread bytes would make the
 * kernel reset the connection, and the caller could lose the response. */
#define LINGER_US (2 * HF_SEC)

#define REJECTED_FIELDS "Content-Type: text/plain\r\n"

/* --- internal functions: requests in order --- */

static int64_t
now_us (void)
{
  return g_get_monotonic_time ();
}

static struct hf_http_request *
oldest_request (const struct hf_http_connection *connection)
{
  return g_queue_peek_head ((GQueue *) &connection->requests);
}

static struct hf_http_request *
newest_request (const struct hf_http_connection *connection)
{
  return g_queue_peek_tail ((GQueue *) &connection->requests);
}

/* The request whose body is arriving; NULL: none. */
static struct hf_http_request *
arriving_request (const struct hf_http_connection *connection)
{
  struct hf_http_request *newest = newest_request (connection);
  return newest && !newest->body_complete ? newest : NULL;
}

static bool
is_oldest (const struct hf_http_request *request)
{
  return oldest_request (request->connection) == request;
}

static struct hf_http_request *
add_request (struct hf_http_connection *connection)
{
  struct hf_http_request *request = g_new0 (struct hf_http_request, 1);
  request->connection = connection;
  g_queue_push_tail (&connection->requests, request);
  return request;
}

static void
drop_held (struct hf_http_request *request)
{
  g_clear_pointer (&request->held_head, hf_http_head_free);
  g_clear_pointer (&request->held_body, g_byte_array_unref);
}

/* Bytes of the request's body that are in memory at most: the rest of a long body is passed on as it arrives. */
static int64_t
buffered_bytes (const struct hf_http_request *request)
{
  return MIN (request->body_bytes, HF_BODY_BUFFER_BYTES);
}

static void
end_request (struct hf_http_connection *connection, struct hf_http_request *request, bool answered)
{
  g_queue_remove (&connection->requests, request);
  connection->server->body_bytes -= buffered_bytes (request);
  if (connection->server->body_bytes <= HF_BODIES_BYTES_MAX / 2)
    connection->server->refuses_bodies = false;
  if (request->reported)
    connection->server->callbacks->on_ended (connection->server->context, request, answered);
  drop_held (request);
  g_clear_pointer (&request->output, g_byte_array_unref);
  g_free (request);
}

static void
end_all_requests (struct hf_http_connection *connection)
{
  while (newest_request (connection))
    end_request (connection, newest_request (connection), false);
}

static size_t
count_waiting_output (const struct hf_http_connection *connection)
{
  size_t bytes = 0;
  for (const GList *item = connection->requests.head; item; item = item->next)
    {
      const struct hf_http_request *request = item->data;
      bytes += request->output ? request->output->len : 0;
    }
  return bytes;
}

/* --- internal functions: lifetime --- */

static void
clear_connection (void *data)
{
  struct hf_http_connection *connection = data;
  hf_http_parser_close (connection->parser);
  g_byte_array_unref (connection->pending);
}

/* Callbacks to the owner can close the connection. Functions that use it afterwards are enclosed in these two. */
static void
begin_use (struct hf_http_connection *connection)
{
  g_rc_box_acquire (connection);
}

static void
end_use (struct hf_http_connection *connection)
{
  g_rc_box_release_full (connection, clear_connection);
}

static bool
is_open (const struct hf_http_connection *connection)
{
  return connection->stream && !connection->linger_until;
}

/* --- internal functions: rejected requests --- */

/* The rest of a body that is longer than the buffer is forwarded while it arrives: a server may work at it. */
static bool
may_be_forwarded (const struct hf_http_request *request)
{
  return request->body_bytes > HF_BODY_BUFFER_BYTES;
}

static void
respond_rejected (struct hf_http_request *request, unsigned status, const char *reason)
{
  char *text = g_strdup_printf ("%s\n", reason);
  bool not_run = status == 503 || !may_be_forwarded (request); /* 503 is sent before anything is forwarded */
  char *fields = g_strdup_printf (REJECTED_FIELDS "Hickory-Outcome: %s\r\n%s", not_run ? "not-run" : "unknown",
                                  status == 503 ? "Retry-After: 1\r\n" : "");
  drop_held (request);
  request->keep_alive = false;
  hf_http_respond (request, status, hf_str (fields), hf_str (text));
  g_free (fields);
  g_free (text);
}

/* Rejects the request that is arriving, or one whose head was not understood, with an error response. If on_head was
 * not called for it, the owner is never informed of it. */
static void
reject (struct hf_http_connection *connection, unsigned status, const char *reason)
{
  struct hf_http_request *request = arriving_request (connection);
  respond_rejected (request ? request : add_request (connection), status, reason);
}

/* --- internal functions: callbacks of the parser --- */

static void
report_head (struct hf_http_request *request, const struct hf_http_head *head)
{
  struct hf_http_connection *connection = request->connection;
  struct hf_http_server *server = connection->server;
  request->reported = true;
  if (hf_http_head_expects_continue (head))
    {
      hf_stream_queue (connection->stream, hf_str ("HTTP/1.1 100 Continue\r\n\r\n"));
      hf_stream_flush (connection->stream);
    }
  server->callbacks->on_head (server->context, request, head);
}

/* Whether a request may be passed on although others before it are not answered yet. */
static bool
may_overlap (const struct hf_http_connection *connection, const struct hf_http_head *head)
{
  const struct hf_http_server *server = connection->server;
  bool has_body = head->chunked || head->content_length > 0;
  return !has_body && !hf_http_head_expects_continue (head) && server->callbacks->may_overlap
         && server->callbacks->may_overlap (server->context, head);
}

static bool
on_head (void *context, const struct hf_http_head *head)
{
  struct hf_http_connection *connection = context;
  connection->head_started_at = 0;
  if (!hf_http_head_has_clear_length (head) || head->target.len == 0)
    {
      reject (connection, 400, "the length of the body is not clear");
      return true;
    }
  if (head->content_length > connection->server->limits.body_bytes_max)
    {
      reject (connection, 413, "the body is too large");
      return true;
    }
  struct hf_http_request *request = add_request (connection);
  request->keep_alive = head->keep_alive;
  request->is_head_method = hf_str_equal (head->method, hf_str ("HEAD"));
  if (is_oldest (request) || may_overlap (connection, head))
    report_head (request, head);
  else
    {
      request->held_head = hf_http_head_copy (head);
      request->held_body = g_byte_array_new ();
    }
  return true;
}

/* Whether the caller of a body that was not read for a time has closed: the rest of it may have been sent before, and
 * its last bytes would complete a request that nobody waits for. */
static bool
has_left (const struct hf_http_request *request)
{
  return request->body_was_paused && !request->response_started && hf_stream_has_hung_up (request->connection->stream);
}

static void
count_body (struct hf_http_request *request, size_t len)
{
  int64_t before = buffered_bytes (request);
  request->body_bytes += (int64_t) len;
  request->connection->server->body_bytes += buffered_bytes (request) - before;
}

/* Whether a body that is not passed on yet would take more memory than there is for all. */
static bool
lacks_memory (const struct hf_http_request *request, size_t len)
{
  bool is_short = request->body_bytes <= HF_BODY_SHORT_BYTES;
  bool is_passed_on = request->body_bytes - (int64_t) len > HF_BODY_BUFFER_BYTES;
  return !is_short && !is_passed_on && request->connection->server->body_bytes > HF_BODIES_BYTES_MAX;
}

static void
log_refusal (struct hf_http_server *server)
{
  if (!server->refuses_bodies)
    hf_log_write (HF_LOG_BODIES_REFUSED, "request bodies take %d KB; requests with longer ones than %d KB are refused",
                  (int) (server->body_bytes / 1024), HF_BODY_SHORT_BYTES / 1024);
  server->refuses_bodies = true;
}

static void
on_body (void *context, struct hf_str bytes)
{
  struct hf_http_connection *connection = context;
  struct hf_http_server *server = connection->server;
  struct hf_http_request *request = arriving_request (connection);
  bool wanted = request && (request->reported || request->held_head);
  if (!wanted || request->response_finished || connection->linger_until)
    return;
  if (has_left (request))
    {
      hf_http_connection_close (connection, false);
      return;
    }
  count_body (request, bytes.len);
  if (request->body_bytes > server->limits.body_bytes_max && !request->response_started)
    {
      reject (connection, 413, "the body is too large");
      return;
    }
  if (lacks_memory (request, bytes.len) && !request->response_started)
    {
      log_refusal (server);
      reject (connection, 503, "too many bodies are arriving");
      return;
    }
  if (request->held_body)
    g_byte_array_append (request->held_body, (const guint8 *) bytes.data, (guint) bytes.len);
  else
    server->callbacks->on_body (server->context, request, bytes);
}

static void
on_complete (void *context)
{
  struct hf_http_connection *connection = context;
  struct hf_http_request *request = arriving_request (connection);
  if (!request || connection->linger_until)
    return;
  if (has_left (request))
    {
      hf_http_connection_close (connection, false);
      return;
    }
  request->body_complete = true;
  if (request->reported && !request->response_finished)
    connection->server->callbacks->on_complete (connection->server->context, request);
}

static void
on_error (void *context, enum hf_http_parse_error error)
{
  struct hf_http_connection *connection = context;
  struct hf_http_request *request = arriving_request (connection);
  if (request && request->response_started)
    hf_http_response_abort (request);
  else if (error == HF_HTTP_PARSE_HEAD_TOO_LARGE)
    reject (connection, 431, "the header fields are too large");
  else
    reject (connection, 400, "the request is malformed");
}

static const struct hf_http_parser_callbacks parser_callbacks
    = { .on_head = on_head, .on_body = on_body, .on_complete = on_complete, .on_error = on_error };

/* --- internal functions: receiving --- */

static void
update_reading (struct hf_http_connection *connection)
{
  const struct hf_http_request *arriving = arriving_request (connection);
  bool paused = arriving && arriving->body_paused;
  hf_stream_pause (connection->stream, paused || connection->pending->len > HF_PIPELINE_BYTES_MAX);
}

/* Whether another head may be parsed behind requests that are not answered yet. */
static bool
accepts_request_behind (const struct hf_http_connection *connection, const struct hf_http_request *newest)
{
  const struct hf_http_server *server = connection->server;
  return newest->keep_alive && !newest->held_head && server->callbacks->may_overlap && !server->keep_alive_disabled
         && connection->requests.length < HF_PIPELINE_REQUESTS_MAX
         && count_waiting_output (connection) < HF_BODY_BUFFER_BYTES;
}

static bool
accepts_bytes (const struct hf_http_connection *connection)
{
  const struct hf_http_request *newest = newest_request (connection);
  if (!is_open (connection))
    return false;
  if (!newest)
    return true;
  if (!newest->body_complete)
    return !newest->held_head;
  return accepts_request_behind (connection, newest);
}

/* Passes pending bytes to the parser, up to the end of one request. */
static void
parse_pending (struct hf_http_connection *connection)
{
  GByteArray *bytes = connection->pending;
  connection->pending = g_byte_array_new ();
  if (!arriving_request (connection) && hf_http_parser_is_idle (connection->parser))
    {
      connection->head_started_at = now_us ();
      hf_http_parser_set_head_limit (connection->parser, connection->server->limits.head_bytes_max);
    }
  size_t used = hf_http_parser_feed (connection->parser, (struct hf_str){ (const char *) bytes->data, bytes->len });
  if (is_open (connection))
    g_byte_array_append (connection->pending, bytes->data + used, (guint) (bytes->len - used));
  g_byte_array_unref (bytes);
}

/* Parses what is pending, as far as further requests are accepted. Other bytes stay pending. */
static void
process_pending (struct hf_http_connection *connection)
{
  if (connection->parsing)
    return;
  begin_use (connection);
  connection->parsing = true;
  for (guint before = 0; connection->pending->len > 0 && connection->pending->len != before;)
    {
      before = connection->pending->len;
      if (!accepts_bytes (connection))
        break;
      parse_pending (connection);
    }
  connection->parsing = false;
  if (is_open (connection))
    update_reading (connection);
  end_use (connection);
}

static void
on_stream_data (void *context, struct hf_str bytes)
{
  struct hf_http_connection *connection = context;
  connection->active_at = now_us ();
  if (connection->linger_until)
    return;
  g_byte_array_append (connection->pending, (const guint8 *) bytes.data, (guint) bytes.len);
  process_pending (connection);
}

/* --- internal functions: sending --- */

/* All before a request that was held back have been answered. */
static void
report_held (struct hf_http_request *request)
{
  struct hf_http_connection *connection = request->connection;
  const struct hf_http_server *server = connection->server;
  struct hf_http_head *head = g_steal_pointer (&request->held_head);
  GByteArray *body = g_steal_pointer (&request->held_body);
  report_head (request, head);
  /* The owner may have rejected the request meanwhile, which can end it. */
  if (oldest_request (connection) == request && body->len > 0 && !request->response_finished)
    server->callbacks->on_body (server->context, request, (struct hf_str){ (const char *) body->data, body->len });
  if (oldest_request (connection) == request && request->body_complete && !request->response_finished)
    server->callbacks->on_complete (server->context, request);
  hf_http_head_free (head);
  g_byte_array_unref (body);
}

static void complete_response (struct hf_http_connection *connection);

/* The request has become the oldest: its response is sent from now on. */
static void
begin_turn (struct hf_http_request *request)
{
  struct hf_http_connection *connection = request->connection;
  if (request->response_aborted)
    {
      hf_http_connection_close (connection, true);
      return;
    }
  if (request->held_head)
    {
      report_held (request);
      return;
    }
  if (!request->output)
    return;
  GByteArray *output = g_steal_pointer (&request->output);
  hf_stream_queue (connection->stream, (struct hf_str){ (const char *) output->data, output->len });
  g_byte_array_unref (output);
  hf_stream_flush (connection->stream);
}

/* The oldest request's response was sent completely. */
static void
complete_response (struct hf_http_connection *connection)
{
  struct hf_http_request *request = oldest_request (connection);
  bool keep = request->keep_alive;
  begin_use (connection);
  connection->active_at = now_us ();
  end_request (connection, request, true);
  request = oldest_request (connection);
  if (connection->head_started_at && !request)
    connection->head_started_at = now_us ();
  if (is_open (connection) && !keep)
    hf_http_connection_start_linger (connection);
  else if (is_open (connection) && request)
    begin_turn (request);
  if (is_open (connection))
    process_pending (connection);
  end_use (connection);
}

static void
on_stream_drained (void *context)
{
  struct hf_http_connection *connection = context;
  struct hf_http_request *request = oldest_request (connection);
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
  hf_http_connection_close (context, false);
}

/* The caller has left, and nothing of its requests is worth reading any more. */
static void
on_stream_hung_up (void *context)
{
  hf_http_connection_close (context, false);
}

static const struct hf_stream_callbacks stream_callbacks = { .on_data = on_stream_data,
                                                             .on_drained = on_stream_drained,
                                                             .on_ended = on_stream_ended,
                                                             .on_hung_up = on_stream_hung_up };

/* A caller that reads slowly makes progress although the queue of bytes never gets empty. */
static void
note_progress (struct hf_http_connection *connection, int64_t now)
{
  size_t unsent = connection->stream ? hf_stream_unsent_bytes (connection->stream) : 0;
  if (unsent == connection->unsent_bytes)
    return;
  connection->unsent_bytes = unsent;
  connection->active_at = now;
}

/* --- public functions: open and close --- */

struct hf_http_connection *
hf_http_connection_open (struct hf_http_server *server, struct hf_stream *stream)
{
  struct hf_http_connection *connection = g_rc_box_new0 (struct hf_http_connection);
  connection->server = server;
  connection->stream = stream;
  g_queue_init (&connection->requests);
  connection->pending = g_byte_array_new ();
  connection->active_at = now_us ();
  connection->parser = hf_http_parser_open (true, &parser_callbacks, connection);
  hf_stream_set_callbacks (stream, &stream_callbacks, connection);
  return connection;
}

void
hf_http_connection_close (struct hf_http_connection *connection, bool reset)
{
  if (!g_hash_table_remove (connection->server->connections, connection))
    return;
  if (reset)
    hf_stream_reset (connection->stream);
  else
    hf_stream_close (connection->stream);
  connection->stream = NULL;
  end_all_requests (connection);
  end_use (connection); /* the reference that hf_http_connection_open returned */
}

void
hf_http_connection_start_linger (struct hf_http_connection *connection)
{
  hf_stream_shutdown_write (connection->stream);
  hf_stream_pause (connection->stream, false);
  connection->linger_until = now_us () + LINGER_US;
  g_byte_array_set_size (connection->pending, 0);
  end_all_requests (connection);
}

static void
check_idle (struct hf_http_connection *connection, int64_t now)
{
  const struct hf_http_server *server = connection->server;
  int64_t idle_us = now - connection->active_at;
  if (server->stopped && idle_us > HF_STOP_IDLE_MS * HF_MS && hf_stream_is_quiet (connection->stream))
    hf_http_connection_start_linger (connection);
  else if (idle_us > server->limits.idle_timeout_us)
    hf_http_connection_close (connection, false);
}

void
hf_http_connection_check_timeouts (struct hf_http_connection *connection, int64_t now)
{
  const struct hf_http_server_limits *limits = &connection->server->limits;
  const struct hf_http_request *oldest = oldest_request (connection);
  note_progress (connection, now);
  bool stalled = now - connection->active_at > HF_CALLER_STALL_TIMEOUT_SEC * HF_SEC;
  if (connection->linger_until)
    {
      if (now >= connection->linger_until)
        hf_http_connection_close (connection, false);
    }
  else if (oldest)
    {
      bool waits_for_caller = oldest->response_started || !oldest->body_complete;
      if (waits_for_caller && stalled)
        hf_http_connection_close (connection, true);
    }
  else if (connection->head_started_at && now - connection->head_started_at > limits->head_timeout_us)
    reject (connection, 408, "the head of the request did not come in time");
  else if (!connection->head_started_at)
    check_idle (connection, now);
}

/* --- public functions: requests of the owner --- */

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
  request->body_was_paused = request->body_was_paused || paused;
  update_reading (request->connection);
}

/* --- internal functions: output --- */

/* Response bytes of the oldest request are sent, those of others kept until their turn comes. */
static void
queue_output (struct hf_http_request *request, struct hf_str bytes)
{
  if (is_oldest (request))
    {
      hf_stream_queue (request->connection->stream, bytes);
      return;
    }
  if (!request->output)
    request->output = g_byte_array_new ();
  g_byte_array_append (request->output, (const guint8 *) bytes.data, (guint) bytes.len);
}

static void
flush_output (struct hf_http_request *request)
{
  if (is_oldest (request))
    hf_stream_flush (request->connection->stream);
}

/* The response is complete. */
static void
finish_output (struct hf_http_request *request)
{
  request->response_finished = true;
  if (!is_oldest (request))
    return;
  if (hf_stream_unsent_bytes (request->connection->stream) > 0)
    hf_stream_flush (request->connection->stream);
  else
    complete_response (request->connection);
}

/* Whether the connection stays open after the response: what was reported behind it has to be answered on it. */
static bool
may_keep_alive (const struct hf_http_request *request)
{
  const struct hf_http_connection *connection = request->connection;
  const struct hf_http_request *newest = newest_request (connection);
  bool others_in_progress = newest != request && (newest->reported || connection->requests.length > 2);
  return request->keep_alive && request->body_complete
         && (others_in_progress || !connection->server->keep_alive_disabled);
}

/* --- public functions: responses of the owner --- */

void
hf_http_response_start (struct hf_http_request *request, unsigned status, struct hf_str fields, int64_t length)
{
  bool has_no_body = hf_http_status_has_no_body (status);
  /* The rest of an incomplete request body would be parsed as the next request. */
  request->keep_alive = may_keep_alive (request);
  request->response_started = true;
  request->chunked = length < 0 && !has_no_body && !request->is_head_method;
  struct hf_http_response_head head = { .status = status,
                                        .fields = fields,
                                        .content_length = has_no_body ? -1 : length,
                                        .chunked = request->chunked,
                                        .closes = !request->keep_alive };
  GString *text = hf_http_response_head_format (&head);
  queue_output (request, (struct hf_str){ text->str, text->len });
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
      queue_output (request, hf_str (size));
    }
  queue_output (request, bytes);
  if (request->chunked)
    queue_output (request, hf_str ("\r\n"));
  flush_output (request);
}

void
hf_http_response_finish (struct hf_http_request *request)
{
  if (request->chunked)
    queue_output (request, hf_str ("0\r\n\r\n"));
  finish_output (request);
}

void
hf_http_response_abort (struct hf_http_request *request)
{
  request->response_aborted = true;
  g_clear_pointer (&request->output, g_byte_array_unref);
  if (is_oldest (request))
    hf_http_connection_close (request->connection, true);
}

size_t
hf_http_response_unsent_bytes (const struct hf_http_request *request)
{
  if (is_oldest (request))
    return hf_stream_unsent_bytes (request->connection->stream);
  return request->output ? request->output->len : 0;
}

void
hf_http_respond (struct hf_http_request *request, unsigned status, struct hf_str fields, struct hf_str body)
{
  hf_http_response_start (request, status, fields, (int64_t) body.len);
  if (!request->is_head_method)
    queue_output (request, body);
  hf_http_response_finish (request);
}
