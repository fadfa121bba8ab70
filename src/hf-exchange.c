/* One attempt at a backend server over HTTP. */
#include "hf-exchange.h"

#include <string.h>

#include "hf-http.h"

#include "config.h"

/* --- internal functions --- */

static void read_answer (struct hf_exchange *exchange);

static void
free_exchange (struct hf_exchange *exchange)
{
  g_clear_object (&exchange->message);
  g_clear_object (&exchange->session);
  g_clear_object (&exchange->cancellable);
  g_clear_object (&exchange->stream);
  if (exchange->answer)
    g_byte_array_unref (exchange->answer);
  g_free (exchange);
}

static void
raise_end (struct hf_exchange *exchange, enum hf_attempt_result result)
{
  if (exchange->ended)
    return;
  exchange->ended = true;
  hf_loop_raise (exchange->loop, (struct hf_event){ .kind = HF_EVENT_ATTEMPT_END,
                                                    .call = exchange->call,
                                                    .attempt = exchange->attempt,
                                                    .result = result,
                                                    .hints = exchange->hints,
                                                    .handed = exchange->handed });
}

static void
starting (SoupMessage *message, gpointer data)
{
  (void) message;
  ((struct hf_exchange *) data)->handed = true;
}

static bool
is_whole (const struct hf_exchange *exchange)
{
  if (!exchange->counted)
    return true;
  return exchange->received
         == soup_message_headers_get_content_length (soup_message_get_response_headers (exchange->message));
}

/* The last byte of the answer is here. */
static void
answer_complete (struct hf_exchange *exchange)
{
  bool whole = hf_exchange_has_no_body (exchange) || is_whole (exchange);
  if (whole && exchange->sink)
    exchange->sink (exchange->context, NULL, 0);
  raise_end (exchange, whole ? HF_ATTEMPT_ANSWERED : HF_ATTEMPT_SHORT);
}

/* The next read follows when the chunk is out. */
static void
hand_on (struct hf_exchange *exchange)
{
  exchange->sink (exchange->context, exchange->answer->data, exchange->answer->len);
  g_byte_array_set_size (exchange->answer, 0);
}

static void
answer_grew (struct hf_exchange *exchange)
{
  if (exchange->sink)
    {
      hand_on (exchange);
      return;
    }
  if (exchange->answer->len <= HF_BODY_BUFFER_BYTES && !exchange->long_answer)
    {
      read_answer (exchange);
      return;
    }
  /* Too long to keep: the reducer decides now whether it is passed on. */
  hf_loop_raise (exchange->loop, (struct hf_event){ .kind = HF_EVENT_ATTEMPT_HEAD,
                                                    .call = exchange->call,
                                                    .attempt = exchange->attempt,
                                                    .hints = exchange->hints });
}

/* Takes the outcome of a read; negative: it failed. */
static void
take_answer (struct hf_exchange *exchange, gssize size, const GError *problem)
{
  bool partial = g_error_matches (problem, G_IO_ERROR, G_IO_ERROR_PARTIAL_INPUT);
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
  struct hf_exchange *exchange = data;
  GError *problem = NULL;
  gssize size = g_input_stream_read_finish (G_INPUT_STREAM (source), result, &problem);
  exchange->reading = false;
  if (exchange->ended)
    free_exchange (exchange);
  else
    {
      g_byte_array_set_size (exchange->answer, exchange->filled + (guint) MAX (size, 0));
      take_answer (exchange, size, problem);
    }
  g_clear_error (&problem);
}

/* Bytes that are here already are read without a turn of the loop. */
static void
read_answer (struct hf_exchange *exchange)
{
  GPollableInputStream *pollable = G_POLLABLE_INPUT_STREAM (exchange->stream);
  GError *problem = NULL;
  exchange->filled = exchange->answer->len;
  g_byte_array_set_size (exchange->answer, exchange->filled + HF_RELAY_CHUNK_BYTES);
  guint8 *free_space = exchange->answer->data + exchange->filled;
  gssize size = g_pollable_input_stream_read_nonblocking (pollable, free_space, HF_RELAY_CHUNK_BYTES,
                                                          exchange->cancellable, &problem);
  if (g_error_matches (problem, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    {
      g_clear_error (&problem);
      exchange->reading = true;
      g_input_stream_read_async (exchange->stream, free_space, HF_RELAY_CHUNK_BYTES, G_PRIORITY_DEFAULT,
                                 exchange->cancellable, answer_read, exchange);
      return;
    }
  g_byte_array_set_size (exchange->answer, exchange->filled + (guint) MAX (size, 0));
  take_answer (exchange, size, problem);
  g_clear_error (&problem);
}

static void
head_read (GObject *source, GAsyncResult *result, gpointer data)
{
  struct hf_exchange *exchange = data;
  GError *problem = NULL;
  GInputStream *stream = soup_session_send_finish (SOUP_SESSION (source), result, &problem);
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
      raise_end (exchange, exchange->handed ? HF_ATTEMPT_BROKEN : HF_ATTEMPT_CONNECT_FAILED);
      return;
    }
  SoupMessageHeaders *headers = soup_message_get_response_headers (exchange->message);
  exchange->stream = stream;
  exchange->hints = hf_http_hints (soup_message_get_status (exchange->message), headers);
  exchange->counted = soup_message_headers_get_encoding (headers) == SOUP_ENCODING_CONTENT_LENGTH
                      && !hf_exchange_has_no_body (exchange);
  exchange->long_answer = exchange->counted && soup_message_headers_get_content_length (headers) > HF_BODY_BUFFER_BYTES;
  exchange->answer = g_byte_array_new ();
  read_answer (exchange);
}

/* --- public functions --- */

struct hf_exchange *
hf_exchange_start (struct hf_loop *loop, uint64_t call, unsigned attempt, SoupSession *session, SoupMessage *message)
{
  struct hf_exchange *exchange = g_new0 (struct hf_exchange, 1);
  exchange->loop = loop;
  exchange->call = call;
  exchange->attempt = attempt;
  exchange->hints = (struct hf_answer_hints){ .load = -1, .retry_after_ms = -1 };
  exchange->cancellable = g_cancellable_new ();
  exchange->session = g_object_ref (session);
  exchange->message = message;
  exchange->reading = true;
  g_signal_connect (message, "starting", G_CALLBACK (starting), exchange);
  soup_session_send_async (session, message, G_PRIORITY_DEFAULT, exchange->cancellable, head_read, exchange);
  return exchange;
}

void
hf_exchange_drop (struct hf_exchange *exchange)
{
  exchange->ended = true;
  exchange->sink = NULL;
  g_cancellable_cancel (exchange->cancellable);
  /* What is out comes back once more and frees it then. */
  if (!exchange->reading)
    free_exchange (exchange);
}

void
hf_exchange_hand_on (struct hf_exchange *exchange,
                     void (*sink) (void *context, const uint8_t *data, size_t size),
                     void *context)
{
  exchange->sink = sink;
  exchange->context = context;
  hand_on (exchange);
}

void
hf_exchange_read (struct hf_exchange *exchange)
{
  if (!exchange->reading && !exchange->ended && exchange->stream)
    read_answer (exchange);
}

bool
hf_exchange_has_no_body (const struct hf_exchange *exchange)
{
  return strcmp (soup_message_get_method (exchange->message), "HEAD") == 0 || exchange->hints.status == 204
         || exchange->hints.status == 304;
}
