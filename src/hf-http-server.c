/* HTTP/1.1 towards those who call. */
#include "hf-http-server.h"

#include <string.h>

#include "config.h"

/* --- constants --- */

#define LINGER_US       (2 * HF_SEC) /* a closed caller's late bytes are read that long, or they would reset the answer */
#define PIPELINED_BYTES (64 * 1024) /* bytes of further requests kept while one is served */

/* --- types --- */

struct hf_front
{
  struct hf_net *net;
  struct hf_listener *listener;
  const struct hf_front_calls *calls;
  void *context;
  struct hf_front_limits limits;
  GHashTable *connections; /* struct connection, as a set */
  bool leaving;
  bool stopped;
};

/* One connection of a caller. */
struct connection
{
  struct hf_front *front;
  struct hf_stream *stream;
  struct hf_reader *reader;
  struct hf_request *request; /* the one that is being served */
  GByteArray *pending;        /* bytes of the next requests */
  int64_t active_at;          /* a byte came or went, or the last request ended */
  int64_t began_at;           /* first byte of the head that is coming in; 0: none */
  int64_t linger_until;       /* answered and closing; 0: no */
  bool processing;
  bool held; /* the owner takes no more of the body for now */
};

struct hf_request
{
  struct connection *connection;
  void *data;
  int64_t body_bytes;
  bool keep_alive;
  bool head_only; /* HEAD: the answer has no body */
  bool whole;
  bool started;
  bool finished;
  bool chunked;
  bool told; /* the owner knows of it */
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
  hf_reader_close (connection->reader);
  g_byte_array_unref (connection->pending);
  g_free (connection);
}

static void
end_request (struct connection *connection, bool answered)
{
  struct hf_request *request = connection->request;
  connection->request = NULL;
  connection->held = false;
  if (request && request->told)
    connection->front->calls->ended (connection->front->context, request, answered);
  g_free (request);
}

static void
close_connection (struct connection *connection, bool reset)
{
  struct hf_front *front = connection->front;
  if (!g_hash_table_remove (front->connections, connection))
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

/* Closes after the answer; bytes still on their way are read and dropped. */
static void
linger (struct connection *connection)
{
  hf_stream_finish (connection->stream);
  hf_stream_pause (connection->stream, false);
  connection->linger_until = now_us () + LINGER_US;
  g_byte_array_set_size (connection->pending, 0);
}

static const char *
reason_of (unsigned status)
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

/* --- internal functions: requests --- */

/* Refuses a message that never became a request of the owner. */
static void
refuse (struct connection *connection, unsigned status, const char *reason)
{
  char *text = g_strdup_printf ("%s\n", reason);
  if (!connection->request)
    {
      connection->request = g_new0 (struct hf_request, 1);
      connection->request->connection = connection;
    }
  connection->request->keep_alive = false;
  hf_request_answer (connection->request, status, hf_str ("Content-Type: text/plain\r\nHickory-Outcome: not-run\r\n"),
                     hf_str (text));
  g_free (text);
}

/* One length only, and none that could be read in two ways. */
static bool
framing_is_clear (const struct hf_head *head)
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
expects_continue (const struct hf_head *head)
{
  return hf_str_equal_nocase (hf_head_field (head, "Expect"), hf_str ("100-continue"));
}

static bool
on_head (void *context, const struct hf_head *head)
{
  struct connection *connection = context;
  struct hf_front *front = connection->front;
  connection->began_at = 0;
  if (!framing_is_clear (head) || head->target.len == 0)
    {
      refuse (connection, 400, "the length of the body is not clear");
      return true;
    }
  if (head->length > front->limits.body_bytes)
    {
      refuse (connection, 413, "the body is too large");
      return true;
    }
  struct hf_request *request = g_new0 (struct hf_request, 1);
  request->connection = connection;
  request->keep_alive = head->keep_alive;
  request->head_only = hf_str_equal (head->method, hf_str ("HEAD"));
  request->told = true;
  connection->request = request;
  if (expects_continue (head))
    {
      hf_stream_queue (connection->stream, hf_str ("HTTP/1.1 100 Continue\r\n\r\n"));
      hf_stream_flush (connection->stream);
    }
  front->calls->head (front->context, request, head);
  return true;
}

static void
on_body (void *context, struct hf_str bytes)
{
  struct connection *connection = context;
  struct hf_front *front = connection->front;
  struct hf_request *request = connection->request;
  if (!request || !request->told || request->finished || connection->linger_until)
    return;
  request->body_bytes += (int64_t) bytes.len;
  if (request->body_bytes > front->limits.body_bytes && !request->started)
    {
      refuse (connection, 413, "the body is too large");
      return;
    }
  front->calls->body (front->context, request, bytes);
}

static void
on_whole (void *context)
{
  struct connection *connection = context;
  struct hf_request *request = connection->request;
  if (!request || connection->linger_until)
    return;
  request->whole = true;
  if (request->told && !request->finished)
    connection->front->calls->whole (connection->front->context, request);
}

static void
on_failed (void *context, enum hf_read_error error)
{
  struct connection *connection = context;
  struct hf_request *request = connection->request;
  if (request && request->started)
    {
      close_connection (connection, true);
      return;
    }
  if (error == HF_READ_HEAD_TOO_LARGE)
    refuse (connection, 431, "the header fields are too large");
  else
    refuse (connection, 400, "the request is malformed");
}

static const struct hf_reader_calls reader_calls
    = { .head = on_head, .body = on_body, .whole = on_whole, .failed = on_failed };

/* --- internal functions: bytes --- */

static bool
wants_bytes (const struct connection *connection)
{
  return connection->stream && !connection->linger_until && (!connection->request || !connection->request->whole);
}

/* Feeds what waits to the reader, up to the end of a request that is to be
 * served first. */
static void
process (struct connection *connection)
{
  if (connection->processing)
    return;
  connection->processing = true;
  while (connection->stream && connection->pending->len > 0 && wants_bytes (connection))
    {
      GByteArray *bytes = connection->pending;
      connection->pending = g_byte_array_new ();
      bool fresh = !connection->request && hf_reader_is_idle (connection->reader);
      if (fresh)
        {
          connection->began_at = now_us ();
          hf_reader_limit (connection->reader, connection->front->limits.head_bytes);
        }
      size_t used = hf_reader_feed (connection->reader, (struct hf_str){ (const char *) bytes->data, bytes->len });
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
  hf_stream_pause (connection->stream, connection->held || connection->pending->len > PIPELINED_BYTES);
}

static void
stream_data (void *context, struct hf_str bytes)
{
  struct connection *connection = context;
  connection->active_at = now_us ();
  if (connection->linger_until)
    return;
  g_byte_array_append (connection->pending, (const guint8 *) bytes.data, (guint) bytes.len);
  process (connection);
}

static void
answer_is_out (struct connection *connection)
{
  bool keep = connection->request->keep_alive;
  end_request (connection, true);
  connection->active_at = now_us ();
  if (keep && !connection->front->stopped)
    process (connection);
  else
    linger (connection);
}

static void
stream_drained (void *context)
{
  struct connection *connection = context;
  struct hf_request *request = connection->request;
  connection->active_at = now_us ();
  if (!request)
    return;
  if (request->finished)
    answer_is_out (connection);
  else if (request->told && request->started)
    connection->front->calls->drained (connection->front->context, request);
}

static void
stream_ended (void *context, enum hf_stream_end end)
{
  (void) end;
  close_connection (context, false);
}

static const struct hf_stream_calls stream_calls
    = { .data = stream_data, .drained = stream_drained, .ended = stream_ended };

static void
accepted (void *context, struct hf_stream *stream)
{
  struct hf_front *front = context;
  struct connection *connection = g_new0 (struct connection, 1);
  connection->front = front;
  connection->stream = stream;
  connection->pending = g_byte_array_new ();
  connection->active_at = now_us ();
  connection->reader = hf_reader_open (true, &reader_calls, connection);
  g_hash_table_add (front->connections, connection);
  hf_stream_own (stream, &stream_calls, connection);
}

/* --- internal functions: time --- */

static void
sweep_connection (struct connection *connection, int64_t now)
{
  const struct hf_front_limits *limits = &connection->front->limits;
  const struct hf_request *request = connection->request;
  bool silent = now - connection->active_at > HF_CALLER_SILENT_SEC * HF_SEC;
  if (connection->linger_until)
    {
      if (now >= connection->linger_until)
        close_connection (connection, false);
    }
  else if (request)
    {
      bool callers_turn = request->started || !request->whole;
      if (callers_turn && silent)
        close_connection (connection, true);
    }
  else if (connection->began_at && now - connection->began_at > limits->head_us)
    refuse (connection, 408, "the head of the request did not come in time");
  else if (!connection->began_at && now - connection->active_at > limits->idle_us)
    close_connection (connection, false);
}

/* --- public functions: init and close --- */

struct hf_front *
hf_front_open (struct hf_net *net,
               struct hf_str address,
               const struct hf_front_calls *calls,
               void *context,
               struct hf_error *error)
{
  struct hf_front *front = g_new0 (struct hf_front, 1);
  front->net = net;
  front->calls = calls;
  front->context = context;
  front->limits = (struct hf_front_limits){ .head_bytes = HF_HEADER_BYTES_MAX,
                                            .body_bytes = HF_BODY_BYTES_MAX,
                                            .head_us = HF_CALLER_SILENT_SEC * HF_SEC,
                                            .idle_us = HF_CALLER_SILENT_SEC * HF_SEC };
  front->connections = g_hash_table_new (NULL, NULL);
  front->listener = hf_listener_open (net, address, accepted, front, error);
  if (front->listener)
    return front;
  hf_front_close (front);
  return NULL;
}

void
hf_front_close (struct hf_front *front)
{
  if (!front)
    return;
  hf_listener_close (front->listener);
  GList *connections = g_hash_table_get_keys (front->connections);
  for (GList *item = connections; item; item = item->next)
    close_connection (item->data, false);
  g_list_free (connections);
  g_hash_table_destroy (front->connections);
  g_free (front);
}

struct hf_str
hf_front_address (const struct hf_front *front)
{
  return hf_listener_address (front->listener);
}

void
hf_front_limit (struct hf_front *front, struct hf_front_limits limits)
{
  front->limits = limits;
}

void
hf_front_leave (struct hf_front *front)
{
  front->leaving = true;
}

void
hf_front_stop (struct hf_front *front)
{
  front->leaving = true;
  front->stopped = true;
  hf_listener_close (front->listener);
  front->listener = NULL;
  GList *connections = g_hash_table_get_keys (front->connections);
  for (GList *item = connections; item; item = item->next)
    {
      struct connection *connection = item->data;
      if (!connection->request && !connection->began_at && !connection->linger_until)
        linger (connection);
    }
  g_list_free (connections);
}

void
hf_front_sweep (struct hf_front *front, int64_t now)
{
  GList *connections = g_hash_table_get_keys (front->connections);
  for (GList *item = connections; item; item = item->next)
    sweep_connection (item->data, now);
  g_list_free (connections);
}

/* --- public functions: requests --- */

void
hf_request_own (struct hf_request *request, void *data)
{
  request->data = data;
}

void *
hf_request_data (const struct hf_request *request)
{
  return request->data;
}

void
hf_request_pause (struct hf_request *request, bool paused)
{
  request->connection->held = paused;
  hf_stream_pause (request->connection->stream, paused);
}

void
hf_request_start (struct hf_request *request, unsigned status, struct hf_str fields, int64_t length)
{
  struct connection *connection = request->connection;
  GString *text = g_string_sized_new (fields.len + 128);
  bool bodiless = status == 204 || status == 304;
  /* A body that is not in yet would be read as the next request. */
  request->keep_alive = request->keep_alive && request->whole && !connection->front->leaving;
  request->started = true;
  request->chunked = length < 0 && !bodiless && !request->head_only;
  g_string_append_printf (text, "HTTP/1.1 %u %s\r\n", status, reason_of (status));
  g_string_append_len (text, fields.data, (gssize) fields.len);
  if (request->chunked)
    g_string_append (text, "Transfer-Encoding: chunked\r\n");
  else if (length >= 0 && !bodiless)
    g_string_append_printf (text, "Content-Length: %" G_GINT64_FORMAT "\r\n", length);
  if (!request->keep_alive)
    g_string_append (text, "Connection: close\r\n");
  g_string_append (text, "\r\n");
  hf_stream_queue (connection->stream, (struct hf_str){ text->str, text->len });
  g_string_free (text, TRUE);
}

void
hf_request_send (struct hf_request *request, struct hf_str bytes)
{
  struct hf_stream *stream = request->connection->stream;
  char size[24];
  if (bytes.len == 0 || request->head_only)
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
hf_request_finish (struct hf_request *request)
{
  struct hf_stream *stream = request->connection->stream;
  if (request->chunked)
    hf_stream_queue (stream, hf_str ("0\r\n\r\n"));
  request->finished = true;
  if (hf_stream_unsent (stream) > 0)
    hf_stream_flush (stream);
  else
    answer_is_out (request->connection);
}

void
hf_request_cut (struct hf_request *request)
{
  close_connection (request->connection, true);
}

size_t
hf_request_unsent (const struct hf_request *request)
{
  return hf_stream_unsent (request->connection->stream);
}

void
hf_request_answer (struct hf_request *request, unsigned status, struct hf_str fields, struct hf_str body)
{
  hf_request_start (request, status, fields, (int64_t) body.len);
  if (!request->head_only)
    hf_stream_queue (request->connection->stream, body);
  hf_request_finish (request);
}
