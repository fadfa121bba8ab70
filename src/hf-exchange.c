/* One attempt of a call at a backend server. */
#include "hf-exchange.h"

#include "hf-log.h"

#include "config.h"

/* --- constants --- */

#define LOGGED_ID_BYTES_MAX 64 /* of an id that the backend server made up */

/* --- internal functions: memory --- */

static void
unref_exchange (struct hf_exchange *exchange)
{
  if (--exchange->ref_count > 0)
    return;
  g_string_free (exchange->response_fields, TRUE);
  g_byte_array_unref (exchange->response_body);
  hf_str_free (&exchange->request_id);
  hf_str_free (&exchange->server_name);
  g_free (exchange);
}

/* --- internal functions: callbacks of the HTTP client --- */

static void
log_skipped_response (const struct hf_exchange *exchange, const struct hf_http_head *head)
{
  struct hf_str response_to = hf_header_codec_request_id (exchange->codec, head);
  response_to.len = MIN (response_to.len, LOGGED_ID_BYTES_MAX);
  const struct hf_log_field fields[] = { HF_LOG_TEXT ("request", exchange->request_id),
                                         HF_LOG_INT ("attempt", exchange->attempt),
                                         HF_LOG_TEXT ("server", exchange->server_name),
                                         HF_LOG_INT ("status", head->status),
                                         HF_LOG_TEXT ("response_to", response_to),
                                         HF_LOG_INT ("connection", exchange->connection.number),
                                         HF_LOG_INT ("earlier_requests", exchange->connection.earlier_requests) };
  hf_log_write_fields (HF_LOG_RESPONSE_SKIPPED, exchange->request_id, fields, G_N_ELEMENTS (fields));
}

static bool
accepts_response (void *context, const struct hf_http_head *head)
{
  const struct hf_exchange *exchange = context;
  bool accepted = hf_header_codec_is_response_to (exchange->codec, head, exchange->request_id);
  if (!accepted)
    log_skipped_response (exchange, head);
  return accepted;
}

/* Raised with the head, not with the end of the response: what its server does not want counts from now on. */
static void
report_restriction (struct hf_exchange *exchange)
{
  struct hf_event event = { .kind = HF_EVENT_SERVER_HINTS,
                            .server = exchange->server,
                            .incarnation = exchange->incarnation,
                            .hints = exchange->hints };
  event.request.id = exchange->request_id;
  exchange->ref_count++;
  hf_loop_raise_event (exchange->loop, event);
  unref_exchange (exchange);
}

static void
on_head (void *context, const struct hf_http_head *head)
{
  struct hf_exchange *exchange = context;
  exchange->hints = exchange->codec->read_response (head);
  exchange->content_length = head->content_length;
  for (guint i = 0; i < head->fields->len; i++)
    {
      const struct hf_header *field = &g_array_index (head->fields, struct hf_header, i);
      if (hf_http_head_is_hop_by_hop (head, field->name))
        continue;
      g_string_append_len (exchange->response_fields, field->name.data, (gssize) field->name.len);
      g_string_append (exchange->response_fields, ": ");
      g_string_append_len (exchange->response_fields, field->value.data, (gssize) field->value.len);
      g_string_append (exchange->response_fields, "\r\n");
    }
  if (hf_header_codec_has_restriction (exchange->codec, head, &exchange->hints, exchange->server_name))
    report_restriction (exchange);
}

static void
report_head (struct hf_exchange *exchange)
{
  exchange->reported_head = true;
  hf_loop_raise_event (exchange->loop, (struct hf_event){ .kind = HF_EVENT_ATTEMPT_HEAD,
                                                          .call = exchange->call,
                                                          .attempt = exchange->attempt,
                                                          .connection = exchange->connection,
                                                          .hints = exchange->hints });
}

static void
on_body (void *context, struct hf_str bytes)
{
  struct hf_exchange *exchange = context;
  if (exchange->on_response_body)
    {
      exchange->on_response_body (exchange->context, bytes);
      return;
    }
  g_byte_array_append (exchange->response_body, (const guint8 *) bytes.data, (guint) bytes.len);
  if (exchange->reported_head || exchange->response_body->len <= HF_BODY_BUFFER_BYTES)
    return;
  exchange->ref_count++;
  report_head (exchange);
  /* Not streamed yet: stops reading, so that TCP flow control holds the rest at the backend server. */
  if (!exchange->closed && !exchange->on_response_body && exchange->request)
    hf_http_client_pause (exchange->request, true);
  unref_exchange (exchange);
}

static void
on_drained (void *context)
{
  struct hf_exchange *exchange = context;
  if (exchange->on_request_drained)
    exchange->on_request_drained (exchange->context);
}

static enum hf_attempt_result
attempt_result (enum hf_http_client_result result)
{
  switch (result)
    {
    case HF_HTTP_CLIENT_COMPLETE:
      return HF_ATTEMPT_ANSWERED;
    case HF_HTTP_CLIENT_CONNECT_FAILED:
      return HF_ATTEMPT_CONNECT_FAILED;
    case HF_HTTP_CLIENT_TRUNCATED:
      return HF_ATTEMPT_TRUNCATED;
    case HF_HTTP_CLIENT_BROKEN:
      break;
    }
  return HF_ATTEMPT_BROKEN;
}

static void
log_malformed_response (const struct hf_exchange *exchange, enum hf_http_parse_error fault)
{
  const struct hf_log_field fields[] = { HF_LOG_TEXT ("request", exchange->request_id),
                                         HF_LOG_INT ("attempt", exchange->attempt),
                                         HF_LOG_TEXT ("server", exchange->server_name),
                                         HF_LOG_TEXT ("fault", hf_str (hf_http_parse_error_text (fault))),
                                         HF_LOG_INT ("connection", exchange->connection.number),
                                         HF_LOG_INT ("earlier_requests", exchange->connection.earlier_requests) };
  hf_log_write_fields (HF_LOG_RESPONSE_MALFORMED, exchange->request_id, fields, G_N_ELEMENTS (fields));
}

static void
on_ended (void *context, const struct hf_http_client_end *end)
{
  struct hf_exchange *exchange = context;
  exchange->request = NULL;
  exchange->ref_count++;
  if (end->fault != HF_HTTP_PARSE_OK)
    log_malformed_response (exchange, end->fault);
  hf_loop_raise_event (exchange->loop, (struct hf_event){ .kind = HF_EVENT_ATTEMPT_END,
                                                          .call = exchange->call,
                                                          .attempt = exchange->attempt,
                                                          .result = attempt_result (end->result),
                                                          .connection_end = end->connection,
                                                          .connection = exchange->connection,
                                                          .hints = exchange->hints,
                                                          .bytes_sent = end->sent });
  if (!exchange->closed && exchange->on_response_complete && end->result == HF_HTTP_CLIENT_COMPLETE)
    exchange->on_response_complete (exchange->context);
  unref_exchange (exchange);
}

static const struct hf_http_client_callbacks client_callbacks = { .accepts_response = accepts_response,
                                                                  .on_head = on_head,
                                                                  .on_body = on_body,
                                                                  .on_drained = on_drained,
                                                                  .on_ended = on_ended };

/* --- public functions --- */

struct hf_exchange *
hf_exchange_open (const struct hf_exchange_params *params)
{
  struct hf_exchange *exchange = g_new0 (struct hf_exchange, 1);
  exchange->ref_count = 1;
  exchange->loop = params->loop;
  exchange->codec = params->codec;
  exchange->call = params->call;
  exchange->attempt = params->attempt;
  exchange->request_id = hf_str_dup (params->request.request_id);
  exchange->server = params->server;
  exchange->incarnation = params->incarnation;
  exchange->server_name = hf_str_dup (params->server_name);
  exchange->on_request_drained = params->on_request_drained;
  exchange->context = params->context;
  exchange->content_length = -1;
  exchange->hints = (struct hf_response_hints){ .load = -1, .retry_after_ms = -1 };
  exchange->response_fields = g_string_new (NULL);
  exchange->response_body = g_byte_array_new ();
  exchange->request = hf_http_client_send (params->http_client, &params->request, &client_callbacks, exchange);
  exchange->connection = hf_http_client_connection_use (exchange->request);
  return exchange;
}

void
hf_exchange_close (struct hf_exchange *exchange)
{
  if (exchange->request)
    hf_http_client_cancel (exchange->request);
  exchange->request = NULL;
  exchange->closed = true;
  exchange->on_request_drained = NULL;
  unref_exchange (exchange);
}

void
hf_exchange_stream_response (struct hf_exchange *exchange,
                             void (*on_response_body) (void *context, struct hf_str bytes),
                             void (*on_response_complete) (void *context),
                             void *context)
{
  exchange->on_response_body = on_response_body;
  exchange->on_response_complete = on_response_complete;
  exchange->context = context;
  if (exchange->response_body->len > 0)
    on_response_body (context,
                      (struct hf_str){ (const char *) exchange->response_body->data, exchange->response_body->len });
  g_byte_array_set_size (exchange->response_body, 0);
  if (exchange->request)
    hf_http_client_pause (exchange->request, false);
}
