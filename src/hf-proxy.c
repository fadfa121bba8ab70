/* HTTP towards callers and backend servers. */
#include "hf-proxy.h"

#include <string.h>
#include <sys/socket.h>

#include "hf-http.h"
#include "hf-state.h"
#include "hf-upload.h"

/* --- types --- */

struct exchange;

/* One request of a caller, until its answer is out. */
struct caller
{
  struct hf_proxy *proxy;
  uint64_t id;
  SoupServerMessage *message;
  GByteArray *body; /* while it is buffered */
  GBytes *whole;    /* the buffered body */
  HfUpload *upload; /* when it is streamed */
  uint64_t digest;
  bool raised;       /* the reducer has the request */
  bool answered;     /* an answer has been set */
  bool received;     /* the whole body is here */
  bool paused;       /* reading is held back */
  int64_t active_at; /* last sign of life of its connection */
  struct exchange *attempts[HF_ATTEMPTS_MAX];
  struct exchange *relayed;
};

/* One attempt at a backend server. */
struct exchange
{
  struct caller *caller; /* NULL when the caller's part is over */
  struct hf_proxy *proxy;
  uint64_t call;
  unsigned attempt;
  SoupMessage *message;
  SoupSession *session;
  GCancellable *cancellable;
  GInputStream *stream;
  GByteArray *answer; /* the part of the answer that is kept */
  struct hf_answer_hints hints;
  goffset received;
  guint filled; /* bytes of the answer before the read that is out */
  bool handed;  /* bytes may have been handed to a connection */
  bool ended;   /* the attempt is over for the reducer */
  bool raised;  /* the reducer knows the head of the long answer */
  bool reading; /* a read is out */
  bool long_answer;
  bool counted; /* the length was declared */
};

struct hf_proxy
{
  struct hf_loop *loop;
  SoupServer *server;
  GHashTable *callers;  /* struct caller by id */
  GHashTable *sessions; /* SoupSession by server id */
  uint64_t next_id;
  guint poll;
  char text[64];
};

/* --- internal functions: exchanges --- */

static void read_answer (struct exchange *exchange);

static void
free_exchange (struct exchange *exchange)
{
  if (exchange->caller
      && exchange->caller->attempts[exchange->attempt] == exchange)
    exchange->caller->attempts[exchange->attempt] = NULL;
  g_clear_object (&exchange->message);
  g_clear_object (&exchange->session);
  g_clear_object (&exchange->cancellable);
  g_clear_object (&exchange->stream);
  if (exchange->answer)
    g_byte_array_unref (exchange->answer);
  g_free (exchange);
}

/* Frees an exchange now, or when its read or send comes back. */
static void
drop_exchange (struct exchange *exchange)
{
  if (exchange->caller)
    exchange->caller->attempts[exchange->attempt] = NULL;
  exchange->caller = NULL;
  exchange->ended = true;
  g_cancellable_cancel (exchange->cancellable);
  if (!exchange->reading)
    free_exchange (exchange);
}

static void
raise_end (struct exchange *exchange, enum hf_attempt_result result)
{
  if (exchange->ended)
    return;
  exchange->ended = true;
  hf_loop_raise (exchange->proxy->loop,
                 (struct hf_event){ .kind = HF_EVENT_ATTEMPT_END,
                                    .call = exchange->call,
                                    .attempt = exchange->attempt,
                                    .result = result,
                                    .hints = exchange->hints,
                                    .handed = exchange->handed });
}

static void
starting (SoupMessage *message, gpointer data)
{
  (void)message;
  ((struct exchange *)data)->handed = true;
}

static bool
is_whole (const struct exchange *exchange)
{
  if (!exchange->counted)
    return true;
  return exchange->received
         == soup_message_headers_get_content_length (
             soup_message_get_response_headers (exchange->message));
}

static bool
has_no_body (const struct exchange *exchange)
{
  return strcmp (soup_message_get_method (exchange->message), "HEAD") == 0
         || exchange->hints.status == 204 || exchange->hints.status == 304;
}

/* The last byte of the answer is here. */
static void
answer_complete (struct exchange *exchange)
{
  struct caller *caller = exchange->caller;
  bool whole = has_no_body (exchange) || is_whole (exchange);
  if (whole && caller && caller->relayed == exchange && !exchange->ended)
    {
      soup_message_body_complete (
          soup_server_message_get_response_body (caller->message));
      soup_server_message_unpause (caller->message);
    }
  raise_end (exchange, whole ? HF_ATTEMPT_ANSWERED : HF_ATTEMPT_SHORT);
}

static void
pass_chunk (struct exchange *exchange, const guint8 *data, gsize size)
{
  struct caller *caller = exchange->caller;
  soup_message_body_append (
      soup_server_message_get_response_body (caller->message), SOUP_MEMORY_COPY,
      data, size);
  soup_server_message_unpause (caller->message);
}

static void
answer_grew (struct exchange *exchange)
{
  if (exchange->caller && exchange->caller->relayed == exchange)
    {
      /* The next read follows when this chunk is written. */
      pass_chunk (exchange, exchange->answer->data, exchange->answer->len);
      g_byte_array_set_size (exchange->answer, 0);
      return;
    }
  if (exchange->answer->len <= HF_BODY_BUFFER_BYTES && !exchange->long_answer)
    {
      read_answer (exchange);
      return;
    }
  /* Too long to keep: the reducer decides now whether it is passed on. */
  exchange->raised = true;
  hf_loop_raise (exchange->proxy->loop,
                 (struct hf_event){ .kind = HF_EVENT_ATTEMPT_HEAD,
                                    .call = exchange->call,
                                    .attempt = exchange->attempt,
                                    .hints = exchange->hints });
}

/* Takes the outcome of a read; negative: it failed. */
static void
take_answer (struct exchange *exchange, gssize size, const GError *problem)
{
  bool partial
      = g_error_matches (problem, G_IO_ERROR, G_IO_ERROR_PARTIAL_INPUT);
  if (size < 0)
    raise_end (exchange, partial ? HF_ATTEMPT_SHORT : HF_ATTEMPT_BROKEN);
  else if (size == 0)
    answer_complete (exchange);
  else
    {
      exchange->received += size;
      answer_grew (exchange);
    }
}

static void
answer_read (GObject *source, GAsyncResult *result, gpointer data)
{
  struct exchange *exchange = data;
  GError *problem = NULL;
  gssize size
      = g_input_stream_read_finish (G_INPUT_STREAM (source), result, &problem);
  exchange->reading = false;
  if (exchange->ended)
    free_exchange (exchange);
  else
    {
      g_byte_array_set_size (exchange->answer,
                             exchange->filled + (guint)MAX (size, 0));
      take_answer (exchange, size, problem);
    }
  g_clear_error (&problem);
}

/* Bytes that are here already are read without a turn of the loop. */
static void
read_answer (struct exchange *exchange)
{
  GPollableInputStream *pollable = G_POLLABLE_INPUT_STREAM (exchange->stream);
  GError *problem = NULL;
  exchange->filled = exchange->answer->len;
  g_byte_array_set_size (exchange->answer,
                         exchange->filled + HF_RELAY_CHUNK_BYTES);
  guint8 *free_space = exchange->answer->data + exchange->filled;
  gssize size = g_pollable_input_stream_read_nonblocking (
      pollable, free_space, HF_RELAY_CHUNK_BYTES, exchange->cancellable,
      &problem);
  if (g_error_matches (problem, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    {
      g_clear_error (&problem);
      exchange->reading = true;
      g_input_stream_read_async (exchange->stream, free_space,
                                 HF_RELAY_CHUNK_BYTES, G_PRIORITY_DEFAULT,
                                 exchange->cancellable, answer_read, exchange);
      return;
    }
  g_byte_array_set_size (exchange->answer,
                         exchange->filled + (guint)MAX (size, 0));
  take_answer (exchange, size, problem);
  g_clear_error (&problem);
}

static void
head_read (GObject *source, GAsyncResult *result, gpointer data)
{
  struct exchange *exchange = data;
  GError *problem = NULL;
  GInputStream *stream
      = soup_session_send_finish (SOUP_SESSION (source), result, &problem);
  exchange->reading = false;
  if (exchange->ended)
    {
      g_clear_object (&stream);
      g_clear_error (&problem);
      free_exchange (exchange);
      return;
    }
  g_clear_error (&problem);
  if (!stream)
    {
      raise_end (exchange, exchange->handed ? HF_ATTEMPT_BROKEN
                                            : HF_ATTEMPT_CONNECT_FAILED);
      return;
    }
  SoupMessageHeaders *headers
      = soup_message_get_response_headers (exchange->message);
  exchange->stream = stream;
  exchange->hints
      = hf_http_hints (soup_message_get_status (exchange->message), headers);
  exchange->counted = soup_message_headers_get_encoding (headers)
                          == SOUP_ENCODING_CONTENT_LENGTH
                      && !has_no_body (exchange);
  exchange->long_answer = exchange->counted
                          && soup_message_headers_get_content_length (headers)
                                 > HF_BODY_BUFFER_BYTES;
  exchange->answer = g_byte_array_new ();
  read_answer (exchange);
}

/* --- internal functions: sessions --- */

static SoupSession *
find_session (struct hf_proxy *proxy, uint64_t server, unsigned connections)
{
  SoupSession *session = g_hash_table_lookup (proxy->sessions, &server);
  if (session)
    return session;
  uint64_t *key = g_new (uint64_t, 1);
  *key = server;
  session = hf_http_session (connections, 0);
  g_hash_table_insert (proxy->sessions, key, session);
  return session;
}

/* --- internal functions: callers --- */

static void
raise_gone (struct caller *caller)
{
  hf_loop_raise (
      caller->proxy->loop,
      (struct hf_event){ .kind = HF_EVENT_CALLER_GONE, .call = caller->id });
}

static void
free_caller (void *data)
{
  struct caller *caller = data;
  for (unsigned i = 0; i < HF_ATTEMPTS_MAX; i++)
    if (caller->attempts[i])
      drop_exchange (caller->attempts[i]);
  if (caller->upload)
    {
      hf_upload_detach (caller->upload);
      hf_upload_fail (caller->upload);
      g_object_unref (caller->upload);
    }
  g_signal_handlers_disconnect_by_data (caller->message, caller);
  g_object_unref (caller->message);
  if (caller->body)
    g_byte_array_unref (caller->body);
  if (caller->whole)
    g_bytes_unref (caller->whole);
  g_free (caller);
}

static void
finished (SoupServerMessage *message, gpointer data)
{
  struct caller *caller = data;
  struct hf_proxy *proxy = caller->proxy;
  (void)message;
  if (caller->raised)
    raise_gone (caller);
  g_hash_table_remove (proxy->callers, &caller->id);
  hf_loop_check_exit (proxy->loop);
}

static void
wrote_chunk (SoupServerMessage *message, gpointer data)
{
  struct caller *caller = data;
  struct exchange *exchange = caller->relayed;
  (void)message;
  caller->active_at = hf_loop_now ();
  if (exchange && !exchange->reading && !exchange->ended && exchange->stream)
    read_answer (exchange);
}

static void
set_common_headers (struct caller *caller, SoupMessageHeaders *headers)
{
  if (hf_state_is_leaving (caller->proxy->loop->state))
    soup_message_headers_replace (headers, "Connection", "close");
}

static const char *
outcome_text (enum hf_outcome outcome)
{
  return outcome == HF_OUTCOME_NOT_RUN ? "not-run" : "unknown";
}

/* Answers with a failure of this system's own. */
static void
answer_failure (struct caller *caller,
                unsigned status,
                enum hf_outcome outcome,
                unsigned retry_after_sec,
                struct hf_str reason)
{
  SoupMessageHeaders *headers
      = soup_server_message_get_response_headers (caller->message);
  char *body = g_strdup_printf ("%s: " HF_STR_FMT "\n", outcome_text (outcome),
                                HF_STR_ARG (reason));
  if (caller->answered)
    {
      g_free (body);
      return;
    }
  caller->answered = true;
  caller->active_at = hf_loop_now ();
  soup_server_message_set_status (caller->message, status, NULL);
  soup_message_headers_replace (headers, "Hickory-Outcome",
                                outcome_text (outcome));
  if (retry_after_sec)
    {
      char seconds[16];
      g_snprintf (seconds, sizeof seconds, "%u", retry_after_sec);
      soup_message_headers_replace (headers, "Retry-After", seconds);
    }
  set_common_headers (caller, headers);
  /* An unread rest of the body would be taken for the next request. */
  if (!caller->received)
    soup_message_headers_replace (headers, "Connection", "close");
  soup_server_message_set_response (caller->message, "text/plain",
                                    SOUP_MEMORY_TAKE, body, strlen (body));
  soup_server_message_unpause (caller->message);
}

static void
relay_headers (struct caller *caller,
               const struct exchange *exchange,
               enum hf_outcome outcome)
{
  SoupMessageHeaders *from
      = soup_message_get_response_headers (exchange->message);
  SoupMessageHeaders *to
      = soup_server_message_get_response_headers (caller->message);
  soup_server_message_set_status (
      caller->message, exchange->hints.status,
      soup_message_get_reason_phrase (exchange->message));
  soup_message_headers_remove (to, "Date");
  hf_http_copy_headers (from, to);
  if (outcome != HF_OUTCOME_ANSWERED)
    soup_message_headers_replace (to, "Hickory-Outcome",
                                  outcome_text (outcome));
  set_common_headers (caller, to);
}

static void
relay (struct caller *caller,
       struct exchange *exchange,
       enum hf_outcome outcome)
{
  SoupMessageHeaders *to
      = soup_server_message_get_response_headers (caller->message);
  SoupMessageBody *body
      = soup_server_message_get_response_body (caller->message);
  if (!exchange || caller->answered)
    return;
  caller->answered = true;
  caller->active_at = hf_loop_now ();
  relay_headers (caller, exchange, outcome);
  if (exchange->ended)
    {
      if (!has_no_body (exchange))
        soup_message_headers_set_content_length (to, exchange->answer->len);
      soup_message_body_append (body, SOUP_MEMORY_COPY, exchange->answer->data,
                                exchange->answer->len);
      soup_message_body_complete (body);
      soup_server_message_unpause (caller->message);
      return;
    }
  if (!exchange->counted)
    soup_message_headers_set_encoding (to, SOUP_ENCODING_CHUNKED);
  soup_message_body_set_accumulate (body, FALSE);
  caller->relayed = exchange;
  g_signal_connect (caller->message, "wrote-chunk", G_CALLBACK (wrote_chunk),
                    caller);
  pass_chunk (exchange, exchange->answer->data, exchange->answer->len);
  g_byte_array_set_size (exchange->answer, 0);
}

/* Breaks the connection, so that a short answer cannot look complete. */
static void
cut (struct caller *caller)
{
  GSocket *socket = soup_server_message_get_socket (caller->message);
  if (socket)
    shutdown (g_socket_get_fd (socket), SHUT_RDWR);
  soup_server_message_unpause (caller->message);
}

static void
upload_drained (void *context)
{
  struct caller *caller = context;
  if (!caller->paused)
    return;
  caller->paused = false;
  soup_server_message_unpause (caller->message);
}

static size_t
list_headers (SoupMessageHeaders *headers, struct hf_header *list, size_t max)
{
  SoupMessageHeadersIter iter;
  const char *name;
  const char *value;
  size_t n = 0;
  soup_message_headers_iter_init (&iter, headers);
  while (n < max && soup_message_headers_iter_next (&iter, &name, &value))
    list[n++]
        = (struct hf_header){ .name = hf_str (name), .value = hf_str (value) };
  return n;
}

static void
raise_request (struct caller *caller)
{
  SoupMessageHeaders *headers
      = soup_server_message_get_request_headers (caller->message);
  struct hf_header list[64];
  struct hf_event event = { .kind = HF_EVENT_REQUEST, .call = caller->id };
  event.request.method
      = hf_str (soup_server_message_get_method (caller->message));
  event.request.host = hf_str (soup_message_headers_get_one (headers, "Host"));
  event.request.path
      = hf_str (g_uri_get_path (soup_server_message_get_uri (caller->message)));
  event.request.key
      = hf_str (soup_message_headers_get_one (headers, "Idempotency-Key"));
  event.request.headers = list;
  event.request.n_headers = list_headers (headers, list, G_N_ELEMENTS (list));
  event.request.digest = caller->digest;
  event.request.streamed = caller->upload != NULL;
  caller->raised = true;
  hf_loop_raise (caller->proxy->loop, event);
}

static void
start_streaming (struct caller *caller)
{
  caller->upload = hf_upload_new (upload_drained, caller);
  GBytes *begin = g_byte_array_free_to_bytes (caller->body);
  caller->body = NULL;
  hf_upload_feed (caller->upload, begin);
  g_bytes_unref (begin);
  raise_request (caller);
}

static void
got_chunk (SoupServerMessage *message, GBytes *chunk, gpointer data)
{
  struct caller *caller = data;
  caller->active_at = hf_loop_now ();
  if (caller->answered)
    return;
  if (caller->upload)
    hf_upload_feed (caller->upload, chunk);
  else
    {
      gsize size;
      const guint8 *bytes = g_bytes_get_data (chunk, &size);
      g_byte_array_append (caller->body, bytes, (guint)size);
      if (caller->body->len > HF_BODY_BUFFER_BYTES)
        start_streaming (caller);
    }
  if (caller->upload && hf_upload_is_full (caller->upload) && !caller->answered)
    {
      caller->paused = true;
      soup_server_message_pause (message);
    }
}

static void
got_body (SoupServerMessage *message, gpointer data)
{
  struct caller *caller = data;
  (void)message;
  caller->received = true;
  if (caller->upload)
    {
      hf_upload_finish (caller->upload);
      return;
    }
  caller->whole = g_byte_array_free_to_bytes (caller->body);
  caller->body = NULL;
  gsize size;
  const char *bytes = g_bytes_get_data (caller->whole, &size);
  caller->digest = hf_hash ((struct hf_str){ .data = bytes, .len = size }, 0);
}

/* A length that two hops may read differently is refused, not guessed. */
static bool
has_clear_length (SoupMessageHeaders *headers)
{
  const char *length
      = soup_message_headers_get_list (headers, "Content-Length");
  if (!length)
    return true;
  bool digits = *length != 0 && length[strspn (length, "0123456789")] == 0;
  return digits
         && !soup_message_headers_get_list (headers, "Transfer-Encoding");
}

static bool
check_head (struct caller *caller)
{
  SoupMessageHeaders *headers
      = soup_server_message_get_request_headers (caller->message);
  struct hf_header list[256];
  size_t n = list_headers (headers, list, G_N_ELEMENTS (list));
  size_t bytes = 0;
  for (size_t i = 0; i < n; i++)
    bytes += list[i].name.len + list[i].value.len + 4;
  if (bytes > HF_HEADER_BYTES_MAX || n == G_N_ELEMENTS (list))
    {
      answer_failure (caller, 431, HF_OUTCOME_NOT_RUN, 0,
                      hf_str ("the header fields are too large"));
      return false;
    }
  if (!has_clear_length (headers))
    {
      answer_failure (caller, 400, HF_OUTCOME_NOT_RUN, 0,
                      hf_str ("the length of the body is not clear"));
      return false;
    }
  if (soup_message_headers_get_content_length (headers) > HF_BODY_BYTES_MAX)
    {
      answer_failure (caller, 413, HF_OUTCOME_NOT_RUN, 0,
                      hf_str ("the body is too large"));
      return false;
    }
  return true;
}

static void
add_request_id (struct caller *caller)
{
  SoupMessageHeaders *headers
      = soup_server_message_get_request_headers (caller->message);
  if (soup_message_headers_get_one (headers, "X-Request-Id"))
    return;
  char *id = g_uuid_string_random ();
  soup_message_headers_append (headers, "X-Request-Id", id);
  g_free (id);
}

/* The head of a request is here, its body is not. */
static void
early (SoupServer *server,
       SoupServerMessage *message,
       const char *path,
       GHashTable *query,
       gpointer data)
{
  struct hf_proxy *proxy = data;
  struct caller *caller = g_new0 (struct caller, 1);
  (void)server;
  (void)path;
  (void)query;
  caller->proxy = proxy;
  caller->id = ++proxy->next_id;
  caller->active_at = hf_loop_now ();
  caller->message = g_object_ref (message);
  caller->body = g_byte_array_new ();
  g_hash_table_insert (proxy->callers, &caller->id, caller);
  g_object_set_data (G_OBJECT (message), "caller", caller);
  soup_message_body_set_accumulate (
      soup_server_message_get_request_body (message), FALSE);
  g_signal_connect (message, "finished", G_CALLBACK (finished), caller);
  if (!check_head (caller))
    return;
  add_request_id (caller);
  g_signal_connect (message, "got-chunk", G_CALLBACK (got_chunk), caller);
  g_signal_connect (message, "got-body", G_CALLBACK (got_body), caller);
}

/* The whole request is here. */
static void
handle (SoupServer *server,
        SoupServerMessage *message,
        const char *path,
        GHashTable *query,
        gpointer data)
{
  struct caller *caller = g_object_get_data (G_OBJECT (message), "caller");
  (void)server;
  (void)path;
  (void)query;
  (void)data;
  if (!caller || caller->answered)
    return;
  soup_server_message_pause (message);
  if (!caller->raised)
    raise_request (caller);
}

static bool
has_left (struct caller *caller)
{
  GSocket *socket = soup_server_message_get_socket (caller->message);
  char byte;
  if (!socket)
    return true;
  ssize_t got
      = recv (g_socket_get_fd (socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0
         || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK
             && errno != EINTR);
}

/* Nothing came or went for long although it is the caller's turn. */
static bool
is_silent (const struct caller *caller)
{
  bool backend_is_late = caller->relayed && caller->relayed->reading;
  bool callers_turn = caller->answered ? !backend_is_late
                                       : !caller->received && !caller->paused;
  return callers_turn
         && hf_loop_now () - caller->active_at > HF_CALLER_SILENT_SEC * HF_SEC;
}

/* A paused message does not notice that its caller has left. */
static gboolean
poll_callers (gpointer data)
{
  struct hf_proxy *proxy = data;
  GHashTableIter iter;
  struct caller *caller;
  GPtrArray *gone = g_ptr_array_new ();
  GPtrArray *silent = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, proxy->callers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&caller))
    if (is_silent (caller))
      g_ptr_array_add (silent, caller);
    else if (caller->raised && caller->received && !caller->answered
             && has_left (caller))
      g_ptr_array_add (gone, caller);
  for (guint i = 0; i < gone->len; i++)
    {
      caller = g_ptr_array_index (gone, i);
      raise_gone (caller);
      caller->raised = false;
      caller->answered = true;
      soup_server_message_set_status (caller->message, 499, NULL);
      soup_server_message_unpause (caller->message);
    }
  for (guint i = 0; i < silent->len; i++)
    cut (g_ptr_array_index (silent, i));
  g_ptr_array_unref (silent);
  g_ptr_array_unref (gone);
  return G_SOURCE_CONTINUE;
}

/* --- internal functions: effects --- */

static struct caller *
find_caller (const struct hf_proxy *proxy, uint64_t id)
{
  return g_hash_table_lookup (proxy->callers, &id);
}

static void
set_body (struct caller *caller, SoupMessage *message)
{
  SoupMessageHeaders *from
      = soup_server_message_get_request_headers (caller->message);
  if (caller->upload)
    {
      bool known = soup_message_headers_get_encoding (from)
                   == SOUP_ENCODING_CONTENT_LENGTH;
      soup_message_set_request_body (
          message, NULL, G_INPUT_STREAM (caller->upload),
          known ? soup_message_headers_get_content_length (from) : -1);
      return;
    }
  if (caller->whole && g_bytes_get_size (caller->whole) > 0)
    soup_message_set_request_body_from_bytes (message, NULL, caller->whole);
}

static SoupMessage *
make_request (struct caller *caller, const struct hf_effect *effect)
{
  GUri *uri = soup_server_message_get_uri (caller->message);
  SoupMessageHeaders *from
      = soup_server_message_get_request_headers (caller->message);
  SoupMessage *message = hf_http_message (
      soup_server_message_get_method (caller->message), effect->address,
      g_uri_get_path (uri), g_uri_get_query (uri));
  SoupMessageHeaders *to = soup_message_get_request_headers (message);
  char remaining[24];
  set_body (caller, message);
  soup_message_headers_remove (to, "Content-Type");
  goffset length = soup_message_headers_get_content_length (to);
  SoupEncoding encoding = soup_message_headers_get_encoding (to);
  hf_http_copy_headers (from, to);
  soup_message_headers_remove (to, "Expect");
  soup_message_headers_remove (to, "Content-Length");
  if (encoding == SOUP_ENCODING_CONTENT_LENGTH)
    soup_message_headers_set_content_length (to, length);
  else if (encoding == SOUP_ENCODING_CHUNKED)
    soup_message_headers_set_encoding (to, SOUP_ENCODING_CHUNKED);
  g_snprintf (remaining, sizeof remaining, "%" G_GINT64_FORMAT,
              effect->remaining_ms);
  soup_message_headers_replace (to, "Request-Deadline-Ms", remaining);
  /* The library would send a body again, by then empty, on a reused connection
   * that closes. */
  bool has_body = caller->upload
                  || (caller->whole && g_bytes_get_size (caller->whole) > 0);
  if (effect->fresh || has_body)
    {
      /* Used once: kept open it would only be one more descriptor to poll. */
      soup_message_add_flags (message, SOUP_MESSAGE_NEW_CONNECTION);
      soup_message_headers_replace (to, "Connection", "close");
    }
  return message;
}

static void
dispatch (struct hf_proxy *proxy, const struct hf_effect *effect)
{
  struct caller *caller = find_caller (proxy, effect->call);
  if (!caller)
    return;
  struct exchange *exchange = g_new0 (struct exchange, 1);
  exchange->proxy = proxy;
  exchange->caller = caller;
  exchange->call = effect->call;
  exchange->attempt = effect->attempt;
  exchange->hints
      = (struct hf_answer_hints){ .load = -1, .retry_after_ms = -1 };
  exchange->cancellable = g_cancellable_new ();
  exchange->session = g_object_ref (
      find_session (proxy, effect->server, effect->connections));
  exchange->message = make_request (caller, effect);
  exchange->reading = true;
  caller->attempts[effect->attempt] = exchange;
  g_signal_connect (exchange->message, "starting", G_CALLBACK (starting),
                    exchange);
  soup_session_send_async (exchange->session, exchange->message,
                           G_PRIORITY_DEFAULT, exchange->cancellable, head_read,
                           exchange);
}

static void
probe_done (GObject *source, GAsyncResult *result, gpointer data)
{
  struct hf_loop *loop = g_object_get_data (source, "loop");
  SoupMessage *message
      = soup_session_get_async_result_message (SOUP_SESSION (source), result);
  GBytes *body
      = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);
  uint64_t *server = data;
  struct hf_event event = { .kind = HF_EVENT_PROBE,
                            .server = *server,
                            .hints = { .load = -1, .retry_after_ms = -1 } };
  if (body)
    event.hints = hf_http_hints (soup_message_get_status (message),
                                 soup_message_get_response_headers (message));
  hf_loop_raise (loop, event);
  if (body)
    g_bytes_unref (body);
  g_free (server);
}

static void
probe (struct hf_proxy *proxy, const struct hf_effect *effect)
{
  SoupSession *session = hf_http_session (1, HF_PROBE_TIMEOUT_SEC);
  SoupMessage *message
      = hf_http_message ("GET", effect->address, effect->path.data, NULL);
  uint64_t *server = g_new (uint64_t, 1);
  *server = effect->server;
  soup_message_add_flags (message, SOUP_MESSAGE_NEW_CONNECTION);
  g_object_set_data (G_OBJECT (session), "loop", proxy->loop);
  soup_session_send_and_read_async (session, message, G_PRIORITY_DEFAULT, NULL,
                                    probe_done, server);
  g_object_unref (message);
  g_object_unref (session);
}

/* --- public functions --- */

struct hf_proxy *
hf_proxy_open (struct hf_loop *loop,
               struct hf_str address,
               struct hf_error *error)
{
  struct hf_proxy *proxy = g_new0 (struct hf_proxy, 1);
  proxy->loop = loop;
  proxy->server = soup_server_new (NULL, NULL);
  proxy->callers
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_caller);
  proxy->sessions = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                           g_object_unref);
  soup_server_add_early_handler (proxy->server, NULL, early, proxy, NULL);
  soup_server_add_handler (proxy->server, NULL, handle, proxy, NULL);
  proxy->poll = g_timeout_add (HF_CALLER_POLL_MS, poll_callers, proxy);
  if (hf_http_listen (proxy->server, address, proxy->text, sizeof proxy->text,
                      error))
    return proxy;
  hf_proxy_close (proxy);
  return NULL;
}

void
hf_proxy_close (struct hf_proxy *proxy)
{
  if (!proxy)
    return;
  g_source_remove (proxy->poll);
  g_hash_table_destroy (proxy->callers);
  soup_server_disconnect (proxy->server);
  g_object_unref (proxy->server);
  g_hash_table_destroy (proxy->sessions);
  g_free (proxy);
}

struct hf_str
hf_proxy_address (const struct hf_proxy *proxy)
{
  return hf_str (proxy->text);
}

unsigned
hf_proxy_in_flight (const struct hf_proxy *proxy)
{
  return g_hash_table_size (proxy->callers);
}

void
hf_proxy_carry_out (struct hf_proxy *proxy, const struct hf_effect *effect)
{
  struct caller *caller = find_caller (proxy, effect->call);
  if (effect->kind == HF_EFFECT_DISPATCH)
    dispatch (proxy, effect);
  else if (effect->kind == HF_EFFECT_PROBE)
    probe (proxy, effect);
  else if (effect->kind == HF_EFFECT_RENEW)
    g_hash_table_remove (proxy->sessions, &effect->server);
  else if (!caller)
    return;
  else if (effect->kind == HF_EFFECT_ANSWER)
    answer_failure (caller, effect->status, effect->outcome,
                    effect->retry_after_sec, effect->text);
  else if (effect->kind == HF_EFFECT_RELAY)
    relay (caller, caller->attempts[effect->attempt], effect->outcome);
  else if (effect->kind == HF_EFFECT_CUT)
    cut (caller);
  else if (effect->kind == HF_EFFECT_CANCEL
           && caller->attempts[effect->attempt])
    drop_exchange (caller->attempts[effect->attempt]);
}
