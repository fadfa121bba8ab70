/* HTTP towards callers and backend servers. */
#include "hf-proxy.h"

#include <string.h>
#include <sys/socket.h>

#include "hf-exchange.h"
#include "hf-http.h"
#include "hf-state.h"
#include "hf-upload.h"

/* --- types --- */

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
  struct hf_exchange *attempts[HF_ATTEMPTS_MAX];
  struct hf_exchange *relayed;
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
  hf_loop_raise (caller->proxy->loop, (struct hf_event){ .kind = HF_EVENT_CALLER_GONE, .call = caller->id });
}

static void
free_caller (void *data)
{
  struct caller *caller = data;
  for (unsigned i = 0; i < HF_ATTEMPTS_MAX; i++)
    g_clear_pointer (&caller->attempts[i], hf_exchange_drop);
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
  (void) message;
  if (caller->raised)
    raise_gone (caller);
  g_hash_table_remove (proxy->callers, &caller->id);
  hf_loop_check_exit (proxy->loop);
}

static void
wrote_chunk (SoupServerMessage *message, gpointer data)
{
  struct caller *caller = data;
  struct hf_exchange *exchange = caller->relayed;
  (void) message;
  caller->active_at = hf_loop_now ();
  if (exchange)
    hf_exchange_read (exchange);
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
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (caller->message);
  char *body = g_strdup_printf ("%s: " HF_STR_FMT "\n", outcome_text (outcome), HF_STR_ARG (reason));
  if (caller->answered)
    {
      g_free (body);
      return;
    }
  caller->answered = true;
  caller->active_at = hf_loop_now ();
  soup_server_message_set_status (caller->message, status, NULL);
  soup_message_headers_replace (headers, "Hickory-Outcome", outcome_text (outcome));
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
  soup_server_message_set_response (caller->message, "text/plain", SOUP_MEMORY_TAKE, body, strlen (body));
  soup_server_message_unpause (caller->message);
}

static void
relay_headers (struct caller *caller, const struct hf_exchange *exchange, enum hf_outcome outcome)
{
  SoupMessageHeaders *from = soup_message_get_response_headers (exchange->message);
  SoupMessageHeaders *to = soup_server_message_get_response_headers (caller->message);
  soup_server_message_set_status (caller->message, exchange->hints.status,
                                  soup_message_get_reason_phrase (exchange->message));
  soup_message_headers_remove (to, "Date");
  hf_http_copy_headers (from, to);
  if (outcome != HF_OUTCOME_ANSWERED)
    soup_message_headers_replace (to, "Hickory-Outcome", outcome_text (outcome));
  set_common_headers (caller, to);
}

/* A chunk of a long answer, or its end. */
static void
pass_on (void *context, const uint8_t *data, size_t size)
{
  struct caller *caller = context;
  SoupMessageBody *body = soup_server_message_get_response_body (caller->message);
  if (size > 0)
    soup_message_body_append (body, SOUP_MEMORY_COPY, data, size);
  else
    soup_message_body_complete (body);
  soup_server_message_unpause (caller->message);
}

static void
relay (struct caller *caller, struct hf_exchange *exchange, enum hf_outcome outcome)
{
  SoupMessageHeaders *to = soup_server_message_get_response_headers (caller->message);
  SoupMessageBody *body = soup_server_message_get_response_body (caller->message);
  if (!exchange || caller->answered)
    return;
  caller->answered = true;
  caller->active_at = hf_loop_now ();
  relay_headers (caller, exchange, outcome);
  if (exchange->ended)
    {
      if (!hf_exchange_has_no_body (exchange))
        soup_message_headers_set_content_length (to, exchange->answer->len);
      soup_message_body_append (body, SOUP_MEMORY_COPY, exchange->answer->data, exchange->answer->len);
      soup_message_body_complete (body);
      soup_server_message_unpause (caller->message);
      return;
    }
  if (!exchange->counted)
    soup_message_headers_set_encoding (to, SOUP_ENCODING_CHUNKED);
  soup_message_body_set_accumulate (body, FALSE);
  caller->relayed = exchange;
  g_signal_connect (caller->message, "wrote-chunk", G_CALLBACK (wrote_chunk), caller);
  hf_exchange_hand_on (exchange, pass_on, caller);
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
    list[n++] = (struct hf_header){ .name = hf_str (name), .value = hf_str (value) };
  return n;
}

static void
raise_request (struct caller *caller)
{
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (caller->message);
  struct hf_header list[64];
  struct hf_event event = { .kind = HF_EVENT_REQUEST, .call = caller->id };
  event.request.method = hf_str (soup_server_message_get_method (caller->message));
  event.request.host = hf_str (soup_message_headers_get_one (headers, "Host"));
  event.request.path = hf_str (g_uri_get_path (soup_server_message_get_uri (caller->message)));
  event.request.key = hf_str (soup_message_headers_get_one (headers, "Idempotency-Key"));
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
      g_byte_array_append (caller->body, bytes, (guint) size);
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
take_body (struct caller *caller)
{
  if (caller->received)
    return;
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
  const char *length = soup_message_headers_get_list (headers, "Content-Length");
  if (!length)
    return true;
  bool digits = *length != 0 && length[strspn (length, "0123456789")] == 0;
  return digits && !soup_message_headers_get_list (headers, "Transfer-Encoding");
}

static bool
check_head (struct caller *caller)
{
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (caller->message);
  struct hf_header list[256];
  size_t n = list_headers (headers, list, G_N_ELEMENTS (list));
  size_t bytes = 0;
  for (size_t i = 0; i < n; i++)
    bytes += list[i].name.len + list[i].value.len + 4;
  if (bytes > HF_HEADER_BYTES_MAX || n == G_N_ELEMENTS (list))
    {
      answer_failure (caller, 431, HF_OUTCOME_NOT_RUN, 0, hf_str ("the header fields are too large"));
      return false;
    }
  if (!has_clear_length (headers))
    {
      answer_failure (caller, 400, HF_OUTCOME_NOT_RUN, 0, hf_str ("the length of the body is not clear"));
      return false;
    }
  if (soup_message_headers_get_content_length (headers) > HF_BODY_BYTES_MAX)
    {
      answer_failure (caller, 413, HF_OUTCOME_NOT_RUN, 0, hf_str ("the body is too large"));
      return false;
    }
  return true;
}

static void
add_request_id (struct caller *caller)
{
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (caller->message);
  if (soup_message_headers_get_one (headers, "X-Request-Id"))
    return;
  char *id = g_uuid_string_random ();
  soup_message_headers_append (headers, "X-Request-Id", id);
  g_free (id);
}

/* The head of a request is here, its body is not. */
static void
early (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query, gpointer data)
{
  struct hf_proxy *proxy = data;
  struct caller *caller = g_new0 (struct caller, 1);
  (void) server;
  (void) path;
  (void) query;
  caller->proxy = proxy;
  caller->id = ++proxy->next_id;
  caller->active_at = hf_loop_now ();
  caller->message = g_object_ref (message);
  caller->body = g_byte_array_new ();
  g_hash_table_insert (proxy->callers, &caller->id, caller);
  g_object_set_data (G_OBJECT (message), "caller", caller);
  soup_message_body_set_accumulate (soup_server_message_get_request_body (message), FALSE);
  g_signal_connect (message, "finished", G_CALLBACK (finished), caller);
  if (!check_head (caller))
    return;
  add_request_id (caller);
  g_signal_connect (message, "got-chunk", G_CALLBACK (got_chunk), caller);
}

/* The whole request is here. */
static void
handle (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query, gpointer data)
{
  struct caller *caller = g_object_get_data (G_OBJECT (message), "caller");
  (void) server;
  (void) path;
  (void) query;
  (void) data;
  if (!caller)
    return;
  take_body (caller);
  if (caller->answered)
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
  ssize_t got = recv (g_socket_get_fd (socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

/* Nothing came or went for long although it is the caller's turn. */
static bool
is_silent (const struct caller *caller)
{
  bool backend_is_late = caller->relayed && caller->relayed->reading;
  bool callers_turn = caller->answered ? !backend_is_late : !caller->received && !caller->paused;
  return callers_turn && hf_loop_now () - caller->active_at > HF_CALLER_SILENT_SEC * HF_SEC;
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
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &caller))
    if (is_silent (caller))
      g_ptr_array_add (silent, caller);
    else if (caller->raised && caller->received && !caller->answered && has_left (caller))
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
  SoupMessageHeaders *from = soup_server_message_get_request_headers (caller->message);
  if (caller->upload)
    {
      bool known = soup_message_headers_get_encoding (from) == SOUP_ENCODING_CONTENT_LENGTH;
      soup_message_set_request_body (message, NULL, G_INPUT_STREAM (caller->upload),
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
  SoupMessageHeaders *from = soup_server_message_get_request_headers (caller->message);
  SoupMessage *message = hf_http_message (soup_server_message_get_method (caller->message), effect->address,
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
  g_snprintf (remaining, sizeof remaining, "%" G_GINT64_FORMAT, effect->remaining_ms);
  soup_message_headers_replace (to, "Request-Deadline-Ms", remaining);
  /* The library would send a body again, by then empty, on a reused connection
   * that closes. */
  bool has_body = caller->upload || (caller->whole && g_bytes_get_size (caller->whole) > 0);
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
  SoupSession *session = find_session (proxy, effect->server, effect->connections);
  caller->attempts[effect->attempt]
      = hf_exchange_start (proxy->loop, effect->call, effect->attempt, session, make_request (caller, effect));
}

static void
probe_done (GObject *source, GAsyncResult *result, gpointer data)
{
  struct hf_loop *loop = g_object_get_data (source, "loop");
  SoupMessage *message = soup_session_get_async_result_message (SOUP_SESSION (source), result);
  GBytes *body = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);
  uint64_t *server = data;
  struct hf_event event = { .kind = HF_EVENT_PROBE, .server = *server, .hints = { .load = -1, .retry_after_ms = -1 } };
  if (body)
    event.hints = hf_http_hints (soup_message_get_status (message), soup_message_get_response_headers (message));
  hf_loop_raise (loop, event);
  if (body)
    g_bytes_unref (body);
  g_free (server);
}

static void
probe (struct hf_proxy *proxy, const struct hf_effect *effect)
{
  SoupSession *session = hf_http_session (1, HF_PROBE_TIMEOUT_SEC);
  SoupMessage *message = hf_http_message ("GET", effect->address, effect->path.data, NULL);
  uint64_t *server = g_new (uint64_t, 1);
  *server = effect->server;
  soup_message_add_flags (message, SOUP_MESSAGE_NEW_CONNECTION);
  g_object_set_data (G_OBJECT (session), "loop", proxy->loop);
  soup_session_send_and_read_async (session, message, G_PRIORITY_DEFAULT, NULL, probe_done, server);
  g_object_unref (message);
  g_object_unref (session);
}

/* --- public functions --- */

struct hf_proxy *
hf_proxy_open (struct hf_loop *loop, struct hf_str address, struct hf_error *error)
{
  struct hf_proxy *proxy = g_new0 (struct hf_proxy, 1);
  proxy->loop = loop;
  /* Raw paths: the library would decode them, and they would arrive changed. */
  proxy->server = soup_server_new ("raw-paths", TRUE, NULL);
  proxy->callers = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_caller);
  proxy->sessions = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_object_unref);
  soup_server_add_early_handler (proxy->server, NULL, early, proxy, NULL);
  soup_server_add_handler (proxy->server, NULL, handle, proxy, NULL);
  proxy->poll = g_timeout_add (HF_CALLER_POLL_MS, poll_callers, proxy);
  if (hf_http_listen (proxy->server, address, proxy->text, sizeof proxy->text, error))
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
    answer_failure (caller, effect->status, effect->outcome, effect->retry_after_sec, effect->text);
  else if (effect->kind == HF_EFFECT_RELAY)
    relay (caller, caller->attempts[effect->attempt], effect->outcome);
  else if (effect->kind == HF_EFFECT_CUT)
    cut (caller);
  else if (effect->kind == HF_EFFECT_CANCEL)
    g_clear_pointer (&caller->attempts[effect->attempt], hf_exchange_drop);
}
