/* One attempt at a backend server. */
#include "hf-exchange.h"

#include "config.h"

/* --- internal functions: memory --- */

static void
release (struct hf_exchange *exchange)
{
  if (--exchange->holders > 0)
    return;
  g_string_free (exchange->fields, TRUE);
  g_byte_array_unref (exchange->answer);
  hf_str_free (&exchange->request_id);
  g_free (exchange);
}

/* --- internal functions: the link's calls --- */

static bool
is_mine (void *context, const struct hf_head *head)
{
  const struct hf_exchange *exchange = context;
  struct hf_str echo = hf_head_field (head, exchange->dialect->request_id);
  if (!exchange->dialect->echoed || exchange->request_id.len == 0)
    return true;
  return hf_str_equal (echo, exchange->request_id);
}

static void
take_head (void *context, const struct hf_head *head)
{
  struct hf_exchange *exchange = context;
  exchange->hints = exchange->dialect->read_answer (head);
  exchange->length = head->length;
  for (guint i = 0; i < head->fields->len; i++)
    {
      const struct hf_header *field = &g_array_index (head->fields, struct hf_header, i);
      if (hf_head_is_hop_field (head, field->name))
        continue;
      g_string_append_len (exchange->fields, field->name.data, (gssize) field->name.len);
      g_string_append (exchange->fields, ": ");
      g_string_append_len (exchange->fields, field->value.data, (gssize) field->value.len);
      g_string_append (exchange->fields, "\r\n");
    }
}

static void
announce_long_answer (struct hf_exchange *exchange)
{
  exchange->long_answer = true;
  hf_loop_raise (exchange->loop, (struct hf_event){ .kind = HF_EVENT_ATTEMPT_HEAD,
                                                    .call = exchange->call,
                                                    .attempt = exchange->attempt,
                                                    .hints = exchange->hints });
}

static void
take_body (void *context, struct hf_str bytes)
{
  struct hf_exchange *exchange = context;
  if (exchange->sink)
    {
      exchange->sink (exchange->context, bytes);
      return;
    }
  g_byte_array_append (exchange->answer, (const guint8 *) bytes.data, (guint) bytes.len);
  if (exchange->long_answer || exchange->answer->len <= HF_BODY_BUFFER_BYTES)
    return;
  exchange->holders++;
  announce_long_answer (exchange);
  /* Not wanted yet: the rest waits at the backend server. */
  if (!exchange->dropped && !exchange->sink && exchange->link)
    hf_link_pause (exchange->link, true);
  release (exchange);
}

static void
request_drained (void *context)
{
  struct hf_exchange *exchange = context;
  if (exchange->drained)
    exchange->drained (exchange->context);
}

static enum hf_attempt_result
result_of (enum hf_link_end end)
{
  switch (end)
    {
    case HF_LINK_WHOLE:
      return HF_ATTEMPT_ANSWERED;
    case HF_LINK_NO_CONNECTION:
      return HF_ATTEMPT_CONNECT_FAILED;
    case HF_LINK_SHORT:
      return HF_ATTEMPT_SHORT;
    case HF_LINK_BROKEN:
      break;
    }
  return HF_ATTEMPT_BROKEN;
}

static void
take_end (void *context, enum hf_link_end end, bool handed)
{
  struct hf_exchange *exchange = context;
  exchange->link = NULL;
  exchange->holders++;
  hf_loop_raise (exchange->loop, (struct hf_event){ .kind = HF_EVENT_ATTEMPT_END,
                                                    .call = exchange->call,
                                                    .attempt = exchange->attempt,
                                                    .result = result_of (end),
                                                    .hints = exchange->hints,
                                                    .handed = handed });
  if (!exchange->dropped && exchange->finished && end == HF_LINK_WHOLE)
    exchange->finished (exchange->context);
  release (exchange);
}

static const struct hf_link_calls link_calls
    = { .mine = is_mine, .head = take_head, .body = take_body, .drained = request_drained, .ended = take_end };

/* --- public functions --- */

struct hf_exchange *
hf_exchange_open (const struct hf_exchange_start *start)
{
  struct hf_exchange *exchange = g_new0 (struct hf_exchange, 1);
  exchange->holders = 1;
  exchange->loop = start->loop;
  exchange->dialect = start->dialect;
  exchange->call = start->call;
  exchange->attempt = start->attempt;
  exchange->request_id = hf_str_dup (start->request_id);
  exchange->drained = start->drained;
  exchange->context = start->context;
  exchange->length = -1;
  exchange->hints = (struct hf_answer_hints){ .load = -1, .retry_after_ms = -1 };
  exchange->fields = g_string_new (NULL);
  exchange->answer = g_byte_array_new ();
  exchange->link = hf_link_start (start->links, &start->request, &link_calls, exchange);
  return exchange;
}

void
hf_exchange_drop (struct hf_exchange *exchange)
{
  if (exchange->link)
    hf_link_cancel (exchange->link);
  exchange->link = NULL;
  exchange->dropped = true;
  exchange->drained = NULL;
  release (exchange);
}

void
hf_exchange_hand_on (struct hf_exchange *exchange,
                     void (*sink) (void *context, struct hf_str bytes),
                     void (*finished) (void *context),
                     void *context)
{
  exchange->sink = sink;
  exchange->finished = finished;
  exchange->context = context;
  if (exchange->answer->len > 0)
    sink (context, (struct hf_str){ (const char *) exchange->answer->data, exchange->answer->len });
  g_byte_array_set_size (exchange->answer, 0);
  if (exchange->link)
    hf_link_pause (exchange->link, false);
}
