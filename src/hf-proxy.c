/* HTTP proxy between callers and backend servers. */
#include "hf-proxy.h"

#include <string.h>

#include "hf-exchange.h"
#include "hf-http-server.h"
#include "hf-state.h"
#include "hf-status.h"

/* --- types --- */

/* A part of a text. */
struct span
{
  size_t begin;
  size_t len;
};

/* A caller's request, until its response is sent. */
struct call
{
  struct hf_proxy *proxy;
  uint64_t id;
  struct hf_http_request *request;
  struct hf_str method;
  struct hf_str host;
  struct hf_str target;
  struct hf_str request_id;
  GString *fields;             /* header lines that are forwarded */
  GArray *organisation_fields; /* struct span, lines of @fields with the key or name of an organisation */
  GArray *header_copies;       /* struct hf_header, all fields, for routing */
  struct hf_event event;       /* REQUEST event, with the values read from the head */
  bool has_body;
  int64_t content_length; /* declared bytes of the body; -1: chunked, or no body */
  GByteArray *body;       /* kept bytes */
  bool reported;          /* the REQUEST event was raised */
  bool streams_body;      /* the body is too long to buffer and is forwarded as it arrives */
  bool drops_body;        /* bytes are no longer kept: an attempt has written all that it was given */
  bool body_complete;     /* the complete body has arrived */
  bool answered;          /* a response was started, or the caller has disconnected */
  struct hf_exchange *attempts[HF_ATTEMPTS_MAX];
  struct hf_exchange *response_exchange; /* attempt whose response is sent to the caller */
  struct hf_exchange *upload_exchange;   /* attempt that receives the streamed body */
};

/* Health probe in progress. */
struct probe
{
  struct hf_proxy *proxy;
  uint64_t server;
  uint64_t incarnation;
  struct hf_str server_name;
  struct hf_http_client_request *request;
  struct hf_response_hints hints;
  bool got_head;
  int64_t sent_at;
};

struct hf_proxy
{
  struct hf_loop *loop;
  const struct hf_header_codec *codec;
  struct hf_net *net;
  struct hf_http_server *http_server;
  struct hf_http_client *http_client;
  GHashTable *calls;  /* struct call by id */
  GHashTable *probes; /* struct probe, as a set */
  uint64_t next_id;
  guint timeout_timer;
};

/* --- internal functions: calls --- */

static void
free_call (void *data)
{
  struct call *call = data;
  for (unsigned i = 0; i < HF_ATTEMPTS_MAX; i++)
    g_clear_pointer (&call->attempts[i], hf_exchange_close);
  for (guint i = 0; i < call->header_copies->len; i++)
    {
      struct hf_header *header = &g_array_index (call->header_copies, struct hf_header, i);
      hf_str_free (&header->name);
      hf_str_free (&header->value);
    }
  g_array_unref (call->header_copies);
  g_string_free (call->fields, TRUE);
  g_array_unref (call->organisation_fields);
  g_byte_array_unref (call->body);
  hf_str_free (&call->method);
  hf_str_free (&call->host);
  hf_str_free (&call->target);
  hf_str_free (&call->request_id);
  hf_str_free (&call->event.request.idempotency_key);
  hf_str_free (&call->event.request.organisation_key);
  g_free (call);
}

static const char *
outcome_text (enum hf_outcome outcome)
{
  return outcome == HF_OUTCOME_NOT_RUN ? "not-run" : "unknown";
}

/* Whole seconds, as in the HTTP standard, or seconds with three decimals where there is a fraction. */
static void
append_retry_after (GString *fields, int64_t retry_after_ms)
{
  if (retry_after_ms <= 0)
    return;
  if (retry_after_ms % 1000 == 0)
    g_string_append_printf (fields, "Retry-After: %" G_GINT64_FORMAT "\r\n", retry_after_ms / 1000);
  else
    g_string_append_printf (fields, "Retry-After: %" G_GINT64_FORMAT ".%03" G_GINT64_FORMAT "\r\n",
                            retry_after_ms / 1000, retry_after_ms % 1000);
}

/* Sends an error response of the entry itself, not of a backend server. */
static void
send_error_response (struct call *call, const struct hf_effect *effect)
{
  if (call->answered)
    return;
  GString *fields = g_string_new ("Content-Type: text/plain\r\n");
  char *body = g_strdup_printf ("%s: " HF_STR_FMT "\n", outcome_text (effect->outcome), HF_STR_ARG (effect->text));
  hf_http_append_field (fields, "Hickory-Outcome", hf_str (outcome_text (effect->outcome)));
  if (call->request_id.len > 0)
    hf_http_append_field (fields, call->proxy->codec->request_id_field, call->request_id);
  append_retry_after (fields, effect->retry_after_ms);
  if (effect->status == 401)
    hf_http_append_field (fields, "WWW-Authenticate", hf_str (call->proxy->codec->key_scheme));
  call->answered = true;
  hf_http_respond (call->request, effect->status, (struct hf_str){ fields->str, fields->len }, hf_str (body));
  g_string_free (fields, TRUE);
  g_free (body);
}

/* --- internal functions: responses --- */

static void
forward_response_body (void *context, struct hf_str bytes)
{
  struct call *call = context;
  hf_http_response_send (call->request, bytes);
  bool is_full = hf_http_response_unsent_bytes (call->request) > HF_BODY_BUFFER_BYTES;
  if (is_full && call->response_exchange && call->response_exchange->request)
    hf_http_client_pause (call->response_exchange->request, true);
}

/* Called when a streamed response is complete. */
static void
finish_response (void *context)
{
  struct call *call = context;
  if (call->request)
    hf_http_response_finish (call->request);
}

static void
relay_response (struct call *call, struct hf_exchange *exchange, enum hf_outcome outcome)
{
  if (!exchange || call->answered)
    return;
  call->answered = true;
  call->response_exchange = exchange;
  if (outcome != HF_OUTCOME_ANSWERED)
    hf_http_append_field (exchange->response_fields, "Hickory-Outcome", hf_str (outcome_text (outcome)));
  struct hf_str fields = { exchange->response_fields->str, exchange->response_fields->len };
  if (exchange->request)
    {
      hf_http_response_start (call->request, exchange->hints.status, fields, exchange->content_length);
      hf_exchange_stream_response (exchange, forward_response_body, finish_response, call);
      return;
    }
  hf_http_response_start (call->request, exchange->hints.status, fields, (int64_t) exchange->response_body->len);
  hf_http_response_send (call->request,
                         (struct hf_str){ (const char *) exchange->response_body->data, exchange->response_body->len });
  hf_http_response_finish (call->request);
}

/* --- internal functions: requests --- */

static struct hf_str
path_of (struct hf_str target)
{
  const char *query = memchr (target.data, '?', target.len);
  if (query)
    target.len = (size_t) (query - target.data);
  return target;
}

static struct hf_str
query_of (struct hf_str target)
{
  size_t path_len = path_of (target).len;
  size_t skipped = MIN (path_len + 1, target.len);
  return (struct hf_str){ target.data + skipped, target.len - skipped };
}

/* Of a streamed body: its declared length and the bytes that are kept in any case, however they arrive. */
static uint64_t
body_digest (const struct call *call)
{
  size_t len = MIN (call->body->len, HF_BODY_BUFFER_BYTES);
  uint64_t seed = call->streams_body ? (uint64_t) call->content_length : 0;
  return hf_hash ((struct hf_str){ (const char *) call->body->data, len }, seed);
}

static void
report_request (struct call *call)
{
  struct hf_event event = call->event;
  event.kind = HF_EVENT_REQUEST;
  event.call = call->id;
  event.request.method = call->method;
  event.request.host = call->host;
  event.request.path = path_of (call->target);
  event.request.headers = (const struct hf_header *) call->header_copies->data;
  event.request.n_headers = call->header_copies->len;
  event.request.query = query_of (call->target);
  event.request.body_digest = body_digest (call);
  event.request.body_bytes = call->body->len;
  event.request.body_streamed = call->streams_body;
  event.request.id = call->request_id;
  call->reported = true;
  hf_loop_raise_event (call->proxy->loop, event);
}

static void
add_field (struct call *call, const struct hf_http_head *head, const struct hf_header *field)
{
  struct hf_header copy = { .name = hf_str_dup (field->name), .value = hf_str_dup (field->value) };
  g_array_append_val (call->header_copies, copy);
  if (hf_http_head_is_hop_by_hop (head, field->name) || call->proxy->codec->is_replaced (field->name))
    return;
  struct span span = { .begin = call->fields->len };
  g_string_append_len (call->fields, field->name.data, (gssize) field->name.len);
  g_string_append (call->fields, ": ");
  g_string_append_len (call->fields, field->value.data, (gssize) field->value.len);
  g_string_append (call->fields, "\r\n");
  span.len = call->fields->len - span.begin;
  if (hf_header_codec_is_organisation_field (call->proxy->codec, field->name))
    g_array_append_val (call->organisation_fields, span);
}

static void
set_request_id (struct call *call, const struct hf_http_head *head)
{
  const struct hf_header_codec *codec = call->proxy->codec;
  struct hf_str id = hf_header_codec_request_id (codec, head);
  if (id.len > 0 || !codec->generates_request_id)
    {
      call->request_id = hf_str_dup (id);
      return;
    }
  char *new_id = g_uuid_string_random ();
  call->request_id = hf_str_dup (hf_str (new_id));
  hf_http_append_field (call->fields, codec->request_id_field, call->request_id);
  g_free (new_id);
}

static bool
may_overlap (void *context, const struct hf_http_head *head)
{
  const struct hf_proxy *proxy = context;
  struct hf_request_head request_head = { .method = head->method,
                                          .host = hf_http_head_field (head, "Host"),
                                          .path = path_of (head->target),
                                          .headers = (const struct hf_header *) head->fields->data,
                                          .n_headers = head->fields->len };
  return hf_state_is_repeatable (proxy->loop->state, &request_head);
}

static void
on_request_head (void *context, struct hf_http_request *request, const struct hf_http_head *head)
{
  struct hf_proxy *proxy = context;
  struct call *call = g_new0 (struct call, 1);
  call->proxy = proxy;
  call->id = ++proxy->next_id;
  call->request = request;
  call->method = hf_str_dup (head->method);
  call->target = hf_str_dup (head->target);
  call->host = hf_str_dup (hf_http_head_field (head, "Host"));
  call->has_body = head->chunked || head->content_length >= 0;
  call->content_length = head->content_length;
  call->body = g_byte_array_new ();
  call->fields = g_string_new (NULL);
  call->organisation_fields = g_array_new (FALSE, FALSE, sizeof (struct span));
  call->header_copies = g_array_new (FALSE, FALSE, sizeof (struct hf_header));
  for (guint i = 0; i < head->fields->len; i++)
    add_field (call, head, &g_array_index (head->fields, struct hf_header, i));
  set_request_id (call, head);
  proxy->codec->read_request (head, &call->event);
  hf_header_codec_read_key (proxy->codec, head, &call->event);
  call->event.request.idempotency_key = hf_str_dup (call->event.request.idempotency_key);
  call->event.request.organisation_key = hf_str_dup (call->event.request.organisation_key);
  call->event.request.arrived_at = hf_loop_now ();
  hf_http_request_set_data (request, call);
  g_hash_table_insert (proxy->calls, &call->id, call);
}

/* --- internal functions: request bodies --- */

static void
send_body (struct call *call, struct hf_str bytes, bool last)
{
  struct hf_http_client_request *request = call->upload_exchange->request;
  char size[24];
  if (!request)
    return;
  bool chunked = call->content_length < 0;
  if (chunked && bytes.len > 0)
    {
      g_snprintf (size, sizeof size, "%zx\r\n", bytes.len);
      hf_http_client_send_body (request, hf_str (size), false);
    }
  hf_http_client_send_body (request, bytes, !chunked && last);
  if (chunked && bytes.len > 0)
    hf_http_client_send_body (request, hf_str ("\r\n"), false);
  if (chunked && last)
    hf_http_client_send_body (request, hf_str ("0\r\n\r\n"), true);
}

/* The attempt has written the kept bytes to its connection. From now on none are kept for another attempt. */
static void
on_upload_drained (void *context)
{
  struct call *call = context;
  if (!call->upload_exchange || call->answered)
    return;
  call->drops_body = true;
  g_byte_array_set_size (call->body, 0);
  hf_http_request_pause_body (call->request, false);
}

/* Until the attempt has written what it was given, its connection may be refused and the bytes be lost with it: they
 * are kept for the next attempt as well. */
static void
forward_request_body (struct call *call, struct hf_str bytes)
{
  struct hf_http_client_request *upload = call->upload_exchange ? call->upload_exchange->request : NULL;
  if (!call->drops_body)
    g_byte_array_append (call->body, (const guint8 *) bytes.data, (guint) bytes.len);
  if (upload)
    send_body (call, bytes, false);
  if (!upload || hf_http_client_unsent_bytes (upload) > HF_BODY_BUFFER_BYTES)
    hf_http_request_pause_body (call->request, true);
}

static void
on_request_body (void *context, struct hf_http_request *request, struct hf_str bytes)
{
  struct call *call = hf_http_request_data (request);
  (void) context;
  if (call->answered)
    return;
  if (call->streams_body)
    {
      forward_request_body (call, bytes);
      return;
    }
  g_byte_array_append (call->body, (const guint8 *) bytes.data, (guint) bytes.len);
  if (call->body->len <= HF_BODY_BUFFER_BYTES)
    return;
  call->streams_body = true;
  hf_http_request_pause_body (request, true);
  report_request (call);
}

static void
on_request_complete (void *context, struct hf_http_request *request)
{
  struct call *call = hf_http_request_data (request);
  (void) context;
  call->body_complete = true;
  if (call->answered)
    return;
  if (call->streams_body)
    {
      if (call->upload_exchange)
        send_body (call, (struct hf_str){ 0 }, true);
      return;
    }
  report_request (call);
}

static void
on_response_drained (void *context, struct hf_http_request *request)
{
  struct call *call = hf_http_request_data (request);
  (void) context;
  if (call->response_exchange && call->response_exchange->request)
    hf_http_client_pause (call->response_exchange->request, false);
}

static void
on_request_ended (void *context, struct hf_http_request *request, bool answered)
{
  struct hf_proxy *proxy = context;
  struct call *call = hf_http_request_data (request);
  (void) answered;
  call->request = NULL;
  call->answered = true;
  if (call->reported)
    hf_loop_raise_event (proxy->loop, (struct hf_event){ .kind = HF_EVENT_CALLER_GONE, .call = call->id });
  g_hash_table_remove (proxy->calls, &call->id);
  hf_loop_check_exit (proxy->loop);
}

static const struct hf_http_server_callbacks server_callbacks = { .may_overlap = may_overlap,
                                                                  .on_head = on_request_head,
                                                                  .on_body = on_request_body,
                                                                  .on_complete = on_request_complete,
                                                                  .on_drained = on_response_drained,
                                                                  .on_ended = on_request_ended };

/* --- internal functions: effects --- */

static struct call *
find_call (const struct hf_proxy *proxy, uint64_t id)
{
  return g_hash_table_lookup (proxy->calls, &id);
}

/* Appends the caller's fields, without those of its organisation if the configuration has organisations. */
static void
append_caller_fields (GString *head, const struct call *call, bool has_organisations)
{
  size_t begin = 0;
  for (guint i = 0; has_organisations && i < call->organisation_fields->len; i++)
    {
      const struct span *span = &g_array_index (call->organisation_fields, struct span, i);
      g_string_append_len (head, call->fields->str + begin, (gssize) (span->begin - begin));
      begin = span->begin + span->len;
    }
  g_string_append_len (head, call->fields->str + begin, (gssize) (call->fields->len - begin));
}

static GString *
build_request_head (const struct call *call, const struct hf_effect *effect)
{
  GString *head = g_string_sized_new (call->fields->len + 256);
  struct hf_forward_info forward_info
      = { .server = effect->name, .remaining_ms = effect->remaining_ms, .organisation = effect->organisation };
  g_string_append_printf (head, HF_STR_FMT " " HF_STR_FMT " HTTP/1.1\r\n", HF_STR_ARG (call->method),
                          HF_STR_ARG (call->target));
  append_caller_fields (head, call, effect->has_organisations);
  call->proxy->codec->write_forward_fields (head, &forward_info);
  int64_t length = call->streams_body ? call->content_length : (int64_t) call->body->len;
  if (call->has_body && length >= 0)
    g_string_append_printf (head, "Content-Length: %" G_GINT64_FORMAT "\r\n", length);
  else if (call->has_body)
    g_string_append (head, "Transfer-Encoding: chunked\r\n");
  g_string_append (head, "\r\n");
  return head;
}

static void
start_attempt (struct hf_proxy *proxy, const struct hf_effect *effect)
{
  struct call *call = find_call (proxy, effect->call);
  if (!call || call->answered)
    return;
  GString *head = build_request_head (call, effect);
  /* Without an id a response of an earlier request cannot be told from the one due. */
  int64_t idle_max_ms = call->request_id.len > 0 ? effect->idle_max_ms : 0;
  struct hf_traffic *traffic = hf_state_traffic (proxy->loop->state);
  struct hf_str buffered_body = { (const char *) call->body->data, call->body->len };
  struct hf_exchange_params params = {
    .loop = proxy->loop,
    .http_client = proxy->http_client,
    .codec = proxy->codec,
    .call = effect->call,
    .attempt = effect->attempt,
    .server = effect->server,
    .incarnation = effect->incarnation,
    .server_name = effect->name,
    .request = { .address = effect->address,
                 .head = { head->str, head->len },
                 .body = call->streams_body ? (struct hf_str){ 0 } : buffered_body,
                 .has_more_body = call->streams_body,
                 .request_id = call->request_id,
                 .response_has_no_body = hf_str_equal (call->method, hf_str ("HEAD")),
                 .idle_max_us = idle_max_ms * HF_MS,
                 .sent_bytes = &traffic->bytes[HF_TRAFFIC_REQUEST][effect->crosses_domain],
                 .received_bytes = &traffic->bytes[HF_TRAFFIC_RESPONSE][effect->crosses_domain] },
    .on_request_drained = call->streams_body ? on_upload_drained : NULL,
    .context = call,
  };
  g_clear_pointer (&call->attempts[effect->attempt], hf_exchange_close);
  call->attempts[effect->attempt] = hf_exchange_open (&params);
  g_string_free (head, TRUE);
  if (!call->streams_body)
    return;
  call->upload_exchange = call->attempts[effect->attempt];
  send_body (call, buffered_body, call->body_complete);
}

static void
cancel_attempt (struct call *call, unsigned attempt)
{
  if (call->upload_exchange == call->attempts[attempt])
    call->upload_exchange = NULL;
  if (call->response_exchange == call->attempts[attempt])
    call->response_exchange = NULL;
  g_clear_pointer (&call->attempts[attempt], hf_exchange_close);
}

static void
abort_response (struct call *call)
{
  if (call->request)
    hf_http_response_abort (call->request);
}

/* --- internal functions: probes --- */

static bool
accepts_probe_response (void *context, const struct hf_http_head *head)
{
  const struct probe *probe = context;
  return hf_header_codec_is_response_to (probe->proxy->codec, head, (struct hf_str){ 0 });
}

static void
on_probe_head (void *context, const struct hf_http_head *head)
{
  struct probe *probe = context;
  probe->got_head = true;
  probe->hints = probe->proxy->codec->read_response (head);
  if (hf_header_codec_has_restriction (probe->proxy->codec, head, &probe->hints, probe->server_name))
    hf_loop_raise_event (probe->proxy->loop, (struct hf_event){ .kind = HF_EVENT_SERVER_HINTS,
                                                                .server = probe->server,
                                                                .incarnation = probe->incarnation,
                                                                .hints = probe->hints });
}

static void
on_probe_body (void *context, struct hf_str bytes)
{
  (void) context;
  (void) bytes;
}

static void
free_probe (struct probe *probe)
{
  hf_str_free (&probe->server_name);
  g_free (probe);
}

static void
on_probe_ended (void *context, const struct hf_http_client_end *end)
{
  struct probe *probe = context;
  struct hf_proxy *proxy = probe->proxy;
  struct hf_event event
      = { .kind = HF_EVENT_PROBE_RESULT, .server = probe->server, .hints = { .load = -1, .retry_after_ms = -1 } };
  if (end->result == HF_HTTP_CLIENT_COMPLETE && probe->got_head)
    event.hints = probe->hints;
  g_hash_table_remove (proxy->probes, probe);
  free_probe (probe);
  hf_loop_raise_event (proxy->loop, event);
}

static const struct hf_http_client_callbacks probe_callbacks = { .accepts_response = accepts_probe_response,
                                                                 .on_head = on_probe_head,
                                                                 .on_body = on_probe_body,
                                                                 .on_ended = on_probe_ended };

static void
send_probe (struct hf_proxy *proxy, const struct hf_effect *effect)
{
  struct probe *probe = g_new0 (struct probe, 1);
  GString *head = g_string_new (NULL);
  struct hf_forward_info forward_info = { .server = effect->name, .remaining_ms = HF_PROBE_TIMEOUT_SEC * 1000 };
  g_string_printf (head, "GET " HF_STR_FMT " HTTP/1.1\r\nHost: " HF_STR_FMT "\r\n", HF_STR_ARG (effect->path),
                   HF_STR_ARG (effect->address));
  proxy->codec->write_forward_fields (head, &forward_info);
  g_string_append (head, "\r\n");
  probe->proxy = proxy;
  probe->server = effect->server;
  probe->incarnation = effect->incarnation;
  probe->server_name = hf_str_dup (effect->name);
  probe->sent_at = hf_loop_now ();
  g_hash_table_add (proxy->probes, probe);
  uint64_t *bytes = &hf_state_traffic (proxy->loop->state)->bytes[HF_TRAFFIC_MEASUREMENT][effect->crosses_domain];
  struct hf_http_client_params params = { .address = effect->address,
                                          .head = { head->str, head->len },
                                          .idle_max_us = HF_CONNECTION_IDLE_MS * HF_MS,
                                          .sent_bytes = bytes,
                                          .received_bytes = bytes };
  probe->request = hf_http_client_send (proxy->http_client, &params, &probe_callbacks, probe);
  g_string_free (head, TRUE);
}

static void
fail_expired_probes (struct hf_proxy *proxy, int64_t now)
{
  const struct hf_http_client_end timed_out
      = { .result = HF_HTTP_CLIENT_BROKEN, .connection = HF_STREAM_TIMED_OUT, .sent = true };
  GList *probes = g_hash_table_get_keys (proxy->probes);
  for (GList *item = probes; item; item = item->next)
    {
      struct probe *probe = item->data;
      if (now - probe->sent_at < HF_PROBE_TIMEOUT_SEC * HF_SEC)
        continue;
      hf_http_client_cancel (probe->request);
      on_probe_ended (probe, &timed_out);
    }
  g_list_free (probes);
}

static gboolean
check_timeouts (gpointer data)
{
  struct hf_proxy *proxy = data;
  int64_t now = hf_loop_now ();
  hf_http_server_check_timeouts (proxy->http_server, now);
  hf_http_client_check_timeouts (proxy->http_client, now);
  fail_expired_probes (proxy, now);
  return G_SOURCE_CONTINUE;
}

/* --- public functions --- */

struct hf_proxy *
hf_proxy_open (struct hf_loop *loop,
               struct hf_net *net,
               const struct hf_header_codec *codec,
               struct hf_str address,
               struct hf_error *error)
{
  struct hf_proxy *proxy = g_new0 (struct hf_proxy, 1);
  proxy->loop = loop;
  proxy->net = net;
  proxy->codec = codec;
  proxy->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_call);
  proxy->probes = g_hash_table_new (NULL, NULL);
  proxy->http_client = hf_http_client_open (net);
  proxy->timeout_timer = g_timeout_add (HF_TIMEOUT_CHECK_MS, check_timeouts, proxy);
  proxy->http_server = hf_http_server_open (net, address, &server_callbacks, proxy, error);
  if (proxy->http_server)
    return proxy;
  hf_proxy_close (proxy);
  return NULL;
}

void
hf_proxy_close (struct hf_proxy *proxy)
{
  if (!proxy)
    return;
  g_source_remove (proxy->timeout_timer);
  hf_http_server_close (proxy->http_server);
  g_hash_table_destroy (proxy->calls);
  GList *probes = g_hash_table_get_keys (proxy->probes);
  for (GList *item = probes; item; item = item->next)
    {
      hf_http_client_cancel (((struct probe *) item->data)->request);
      free_probe (item->data);
    }
  g_list_free (probes);
  g_hash_table_destroy (proxy->probes);
  hf_http_client_close (proxy->http_client);
  g_free (proxy);
}

struct hf_str
hf_proxy_address (const struct hf_proxy *proxy)
{
  return hf_http_server_address (proxy->http_server);
}

bool
hf_proxy_is_idle (const struct hf_proxy *proxy)
{
  return hf_http_server_connection_count (proxy->http_server) == 0;
}

void
hf_proxy_set_limits (struct hf_proxy *proxy, struct hf_http_server_limits limits)
{
  hf_http_server_set_limits (proxy->http_server, limits);
}

void
hf_proxy_end_keep_alive (struct hf_proxy *proxy)
{
  hf_http_server_end_keep_alive (proxy->http_server);
}

void
hf_proxy_reject_incomplete (struct hf_proxy *proxy)
{
  const struct hf_effect error = { .status = 503, .outcome = HF_OUTCOME_NOT_RUN, .text = hf_str ("shutting down") };
  GList *calls = g_hash_table_get_values (proxy->calls);
  for (GList *item = calls; item; item = item->next)
    {
      struct call *call = item->data;
      if (!call->reported)
        send_error_response (call, &error);
    }
  g_list_free (calls);
}

void
hf_proxy_stop (struct hf_proxy *proxy)
{
  hf_http_server_stop (proxy->http_server);
}

void
hf_proxy_apply_effect (struct hf_proxy *proxy, const struct hf_effect *effect)
{
  struct call *call = find_call (proxy, effect->call);
  if (effect->kind == HF_EFFECT_DISPATCH)
    start_attempt (proxy, effect);
  else if (effect->kind == HF_EFFECT_SEND_PROBE)
    send_probe (proxy, effect);
  else if (effect->kind == HF_EFFECT_RECONNECT)
    hf_http_client_close_idle (proxy->http_client, effect->address);
  else if (!call)
    return;
  else if (effect->kind == HF_EFFECT_SEND_ERROR)
    send_error_response (call, effect);
  else if (effect->kind == HF_EFFECT_RELAY_RESPONSE)
    relay_response (call, call->attempts[effect->attempt], effect->outcome);
  else if (effect->kind == HF_EFFECT_ABORT_RESPONSE)
    abort_response (call);
  else if (effect->kind == HF_EFFECT_CANCEL_ATTEMPT)
    cancel_attempt (call, effect->attempt);
}
