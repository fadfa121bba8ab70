/* HTTP towards callers and backend servers. */
#include "hf-proxy.h"

#include <string.h>

#include "hf-exchange.h"
#include "hf-http-server.h"
#include "hf-state.h"

/* --- types --- */

/* One request of a caller, until its answer is out. */
struct caller
{
  struct hf_proxy *proxy;
  uint64_t id;
  struct hf_request *request;
  struct hf_str method;
  struct hf_str host;
  struct hf_str target;
  struct hf_str request_id;
  GString *fields;       /* header fields that are passed on */
  GArray *routed;        /* struct hf_header: copies for routing */
  struct hf_event event; /* what the reducer is told at the start */
  bool has_body;
  int64_t length; /* declared, -1: chunks */
  GByteArray *body;
  uint64_t digest;
  bool raised;   /* the reducer has the request */
  bool streamed; /* the body is passed on as it comes */
  bool received; /* the whole body is here */
  bool answered;
  struct hf_exchange *attempts[HF_ATTEMPTS_MAX];
  struct hf_exchange *relayed;
  struct hf_exchange *sending; /* takes the body as it comes */
};

/* A probe that is out. */
struct probe
{
  struct hf_proxy *proxy;
  uint64_t server;
  struct hf_link *link;
  struct hf_answer_hints hints;
  bool answered;
  int64_t sent_at;
};

struct hf_proxy
{
  struct hf_loop *loop;
  const struct hf_dialect *dialect;
  struct hf_net *net;
  struct hf_front *front;
  struct hf_links *links;
  GHashTable *callers; /* struct caller by id */
  GHashTable *probes;  /* struct probe, as a set */
  uint64_t next_id;
  guint sweep;
};

/* --- internal functions: callers --- */

static void
free_caller (void *data)
{
  struct caller *caller = data;
  for (unsigned i = 0; i < HF_ATTEMPTS_MAX; i++)
    g_clear_pointer (&caller->attempts[i], hf_exchange_drop);
  for (guint i = 0; i < caller->routed->len; i++)
    {
      struct hf_header *header = &g_array_index (caller->routed, struct hf_header, i);
      hf_str_free (&header->name);
      hf_str_free (&header->value);
    }
  g_array_unref (caller->routed);
  g_string_free (caller->fields, TRUE);
  g_byte_array_unref (caller->body);
  hf_str_free (&caller->method);
  hf_str_free (&caller->host);
  hf_str_free (&caller->target);
  hf_str_free (&caller->request_id);
  hf_str_free (&caller->event.request.key);
  g_free (caller);
}

static const char *
outcome_text (enum hf_outcome outcome)
{
  return outcome == HF_OUTCOME_NOT_RUN ? "not-run" : "unknown";
}

/* Whole seconds where they are, fractions where they matter. */
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

/* Answers with a failure of this system's own. */
static void
answer_failure (struct caller *caller, const struct hf_effect *effect)
{
  if (caller->answered)
    return;
  GString *fields = g_string_new ("Content-Type: text/plain\r\n");
  char *body = g_strdup_printf ("%s: " HF_STR_FMT "\n", outcome_text (effect->outcome), HF_STR_ARG (effect->text));
  hf_head_add (fields, "Hickory-Outcome", hf_str (outcome_text (effect->outcome)));
  if (caller->request_id.len > 0)
    hf_head_add (fields, caller->proxy->dialect->request_id, caller->request_id);
  append_retry_after (fields, effect->retry_after_ms);
  caller->answered = true;
  hf_request_answer (caller->request, effect->status, (struct hf_str){ fields->str, fields->len }, hf_str (body));
  g_string_free (fields, TRUE);
  g_free (body);
}

/* --- internal functions: answers --- */

static void
pass_on (void *context, struct hf_str bytes)
{
  struct caller *caller = context;
  hf_request_send (caller->request, bytes);
  bool full = hf_request_unsent (caller->request) > HF_BODY_BUFFER_BYTES;
  if (full && caller->relayed && caller->relayed->link)
    hf_link_pause (caller->relayed->link, true);
}

/* A long answer is complete. */
static void
passed_on (void *context)
{
  struct caller *caller = context;
  if (caller->request)
    hf_request_finish (caller->request);
}

static void
relay (struct caller *caller, struct hf_exchange *exchange, enum hf_outcome outcome)
{
  if (!exchange || caller->answered)
    return;
  caller->answered = true;
  caller->relayed = exchange;
  if (outcome != HF_OUTCOME_ANSWERED)
    hf_head_add (exchange->fields, "Hickory-Outcome", hf_str (outcome_text (outcome)));
  struct hf_str fields = { exchange->fields->str, exchange->fields->len };
  if (exchange->link)
    {
      hf_request_start (caller->request, exchange->hints.status, fields, exchange->length);
      hf_exchange_hand_on (exchange, pass_on, passed_on, caller);
      return;
    }
  hf_request_start (caller->request, exchange->hints.status, fields, (int64_t) exchange->answer->len);
  hf_request_send (caller->request, (struct hf_str){ (const char *) exchange->answer->data, exchange->answer->len });
  hf_request_finish (caller->request);
}

/* --- internal functions: requests --- */

static void
raise_request (struct caller *caller)
{
  struct hf_event event = caller->event;
  char *question = memchr (caller->target.data, '?', caller->target.len);
  event.kind = HF_EVENT_REQUEST;
  event.call = caller->id;
  event.request.method = caller->method;
  event.request.host = caller->host;
  event.request.path = caller->target;
  if (question)
    event.request.path.len = (size_t) (question - caller->target.data);
  event.request.headers = (const struct hf_header *) caller->routed->data;
  event.request.n_headers = caller->routed->len;
  event.request.digest = caller->digest;
  event.request.body_bytes = caller->body->len;
  event.request.streamed = caller->streamed;
  event.request.id = caller->request_id;
  caller->raised = true;
  hf_loop_raise (caller->proxy->loop, event);
}

static void
copy_field (struct caller *caller, const struct hf_head *head, const struct hf_header *field)
{
  struct hf_header copy = { .name = hf_str_dup (field->name), .value = hf_str_dup (field->value) };
  g_array_append_val (caller->routed, copy);
  if (hf_head_is_hop_field (head, field->name) || caller->proxy->dialect->is_replaced (field->name))
    return;
  g_string_append_len (caller->fields, field->name.data, (gssize) field->name.len);
  g_string_append (caller->fields, ": ");
  g_string_append_len (caller->fields, field->value.data, (gssize) field->value.len);
  g_string_append (caller->fields, "\r\n");
}

static void
set_request_id (struct caller *caller, const struct hf_head *head)
{
  const struct hf_dialect *dialect = caller->proxy->dialect;
  struct hf_str id = hf_head_field (head, dialect->request_id);
  if (id.len > 0 || !dialect->adds_id)
    {
      caller->request_id = hf_str_dup (id);
      return;
    }
  char *made = g_uuid_string_random ();
  caller->request_id = hf_str_dup (hf_str (made));
  hf_head_add (caller->fields, dialect->request_id, caller->request_id);
  g_free (made);
}

static void
server_head (void *context, struct hf_request *request, const struct hf_head *head)
{
  struct hf_proxy *proxy = context;
  struct caller *caller = g_new0 (struct caller, 1);
  caller->proxy = proxy;
  caller->id = ++proxy->next_id;
  caller->request = request;
  caller->method = hf_str_dup (head->method);
  caller->target = hf_str_dup (head->target);
  caller->host = hf_str_dup (hf_head_field (head, "Host"));
  caller->has_body = head->chunked || head->length >= 0;
  caller->length = head->length;
  caller->body = g_byte_array_new ();
  caller->fields = g_string_new (NULL);
  caller->routed = g_array_new (FALSE, FALSE, sizeof (struct hf_header));
  for (guint i = 0; i < head->fields->len; i++)
    copy_field (caller, head, &g_array_index (head->fields, struct hf_header, i));
  set_request_id (caller, head);
  proxy->dialect->read_request (head, &caller->event);
  caller->event.request.key = hf_str_dup (caller->event.request.key);
  caller->event.request.arrived_at = hf_loop_now ();
  hf_request_own (request, caller);
  g_hash_table_insert (proxy->callers, &caller->id, caller);
}

/* --- internal functions: bodies that are passed on as they come --- */

static void
send_piece (struct caller *caller, struct hf_str bytes, bool last)
{
  struct hf_link *link = caller->sending->link;
  char size[24];
  if (!link)
    return;
  bool chunks = caller->length < 0;
  if (chunks && bytes.len > 0)
    {
      g_snprintf (size, sizeof size, "%zx\r\n", bytes.len);
      hf_link_send (link, hf_str (size), false);
    }
  hf_link_send (link, bytes, !chunks && last);
  if (chunks && bytes.len > 0)
    hf_link_send (link, hf_str ("\r\n"), false);
  if (chunks && last)
    hf_link_send (link, hf_str ("0\r\n\r\n"), true);
}

/* The attempt has a connection: what was kept for another one is dropped. */
static void
body_drained (void *context)
{
  struct caller *caller = context;
  if (!caller->sending || caller->answered)
    return;
  g_byte_array_set_size (caller->body, 0);
  hf_request_pause (caller->request, false);
}

static void
take_streamed (struct caller *caller, struct hf_str bytes)
{
  if (caller->sending)
    {
      send_piece (caller, bytes, false);
      if (caller->sending->link && hf_link_unsent (caller->sending->link) > HF_BODY_BUFFER_BYTES)
        hf_request_pause (caller->request, true);
      return;
    }
  g_byte_array_append (caller->body, (const guint8 *) bytes.data, (guint) bytes.len);
  hf_request_pause (caller->request, true);
}

static void
server_body (void *context, struct hf_request *request, struct hf_str bytes)
{
  struct caller *caller = hf_request_data (request);
  (void) context;
  if (caller->answered)
    return;
  if (caller->streamed)
    {
      take_streamed (caller, bytes);
      return;
    }
  g_byte_array_append (caller->body, (const guint8 *) bytes.data, (guint) bytes.len);
  if (caller->body->len <= HF_BODY_BUFFER_BYTES)
    return;
  caller->streamed = true;
  hf_request_pause (request, true);
  raise_request (caller);
}

static void
server_whole (void *context, struct hf_request *request)
{
  struct caller *caller = hf_request_data (request);
  (void) context;
  caller->received = true;
  if (caller->answered)
    return;
  if (caller->streamed)
    {
      if (caller->sending)
        send_piece (caller, (struct hf_str){ 0 }, true);
      return;
    }
  caller->digest = hf_hash ((struct hf_str){ (const char *) caller->body->data, caller->body->len }, 0);
  raise_request (caller);
}

static void
server_drained (void *context, struct hf_request *request)
{
  struct caller *caller = hf_request_data (request);
  (void) context;
  if (caller->relayed && caller->relayed->link)
    hf_link_pause (caller->relayed->link, false);
}

static void
server_ended (void *context, struct hf_request *request, bool answered)
{
  struct hf_proxy *proxy = context;
  struct caller *caller = hf_request_data (request);
  (void) answered;
  caller->request = NULL;
  caller->answered = true;
  if (caller->raised)
    hf_loop_raise (proxy->loop, (struct hf_event){ .kind = HF_EVENT_CALLER_GONE, .call = caller->id });
  g_hash_table_remove (proxy->callers, &caller->id);
  hf_loop_check_exit (proxy->loop);
}

static const struct hf_front_calls server_calls = { .head = server_head,
                                                    .body = server_body,
                                                    .whole = server_whole,
                                                    .drained = server_drained,
                                                    .ended = server_ended };

/* --- internal functions: effects --- */

static struct caller *
find_caller (const struct hf_proxy *proxy, uint64_t id)
{
  return g_hash_table_lookup (proxy->callers, &id);
}

static GString *
make_head (const struct caller *caller, const struct hf_effect *effect)
{
  GString *head = g_string_sized_new (caller->fields->len + 256);
  struct hf_passed passed = { .server = effect->name, .remaining_ms = effect->remaining_ms };
  g_string_append_printf (head, HF_STR_FMT " " HF_STR_FMT " HTTP/1.1\r\n", HF_STR_ARG (caller->method),
                          HF_STR_ARG (caller->target));
  g_string_append_len (head, caller->fields->str, (gssize) caller->fields->len);
  caller->proxy->dialect->write_passed (head, &passed);
  int64_t length = caller->streamed ? caller->length : (int64_t) caller->body->len;
  if (caller->has_body && length >= 0)
    g_string_append_printf (head, "Content-Length: %" G_GINT64_FORMAT "\r\n", length);
  else if (caller->has_body)
    g_string_append (head, "Transfer-Encoding: chunked\r\n");
  g_string_append (head, "\r\n");
  return head;
}

static void
dispatch (struct hf_proxy *proxy, const struct hf_effect *effect)
{
  struct caller *caller = find_caller (proxy, effect->call);
  if (!caller || caller->answered)
    return;
  GString *head = make_head (caller, effect);
  struct hf_str kept = { (const char *) caller->body->data, caller->body->len };
  struct hf_exchange_start start = {
    .loop = proxy->loop,
    .links = proxy->links,
    .dialect = proxy->dialect,
    .call = effect->call,
    .attempt = effect->attempt,
    .request_id = caller->request_id,
    .request = { .address = effect->address,
                 .head = { head->str, head->len },
                 .body = caller->streamed ? (struct hf_str){ 0 } : kept,
                 .open = caller->streamed,
                 .bodiless = hf_str_equal (caller->method, hf_str ("HEAD")),
                 .idle_max_us = effect->idle_max_ms * HF_MS },
    .drained = caller->streamed ? body_drained : NULL,
    .context = caller,
  };
  g_clear_pointer (&caller->attempts[effect->attempt], hf_exchange_drop);
  caller->attempts[effect->attempt] = hf_exchange_open (&start);
  g_string_free (head, TRUE);
  if (!caller->streamed)
    return;
  caller->sending = caller->attempts[effect->attempt];
  send_piece (caller, kept, caller->received);
}

static void
cancel (struct caller *caller, unsigned attempt)
{
  if (caller->sending == caller->attempts[attempt])
    caller->sending = NULL;
  g_clear_pointer (&caller->attempts[attempt], hf_exchange_drop);
}

static void
cut (struct caller *caller)
{
  if (caller->request)
    hf_request_cut (caller->request);
}

/* --- internal functions: probes --- */

static void
probe_head (void *context, const struct hf_head *head)
{
  struct probe *probe = context;
  probe->answered = true;
  probe->hints = probe->proxy->dialect->read_answer (head);
}

static void
probe_body (void *context, struct hf_str bytes)
{
  (void) context;
  (void) bytes;
}

static void
probe_ended (void *context, enum hf_link_end end, bool handed)
{
  struct probe *probe = context;
  struct hf_proxy *proxy = probe->proxy;
  struct hf_event event
      = { .kind = HF_EVENT_PROBE, .server = probe->server, .hints = { .load = -1, .retry_after_ms = -1 } };
  (void) handed;
  if (end == HF_LINK_WHOLE && probe->answered)
    event.hints = probe->hints;
  g_hash_table_remove (proxy->probes, probe);
  g_free (probe);
  hf_loop_raise (proxy->loop, event);
}

static const struct hf_link_calls probe_calls = { .head = probe_head, .body = probe_body, .ended = probe_ended };

static void
probe_server (struct hf_proxy *proxy, const struct hf_effect *effect)
{
  struct probe *probe = g_new0 (struct probe, 1);
  GString *head = g_string_new (NULL);
  struct hf_passed passed = { .server = effect->name, .remaining_ms = HF_PROBE_TIMEOUT_SEC * 1000 };
  g_string_printf (head, "GET " HF_STR_FMT " HTTP/1.1\r\nHost: " HF_STR_FMT "\r\n", HF_STR_ARG (effect->path),
                   HF_STR_ARG (effect->address));
  proxy->dialect->write_passed (head, &passed);
  g_string_append (head, "\r\n");
  probe->proxy = proxy;
  probe->server = effect->server;
  probe->sent_at = hf_loop_now ();
  g_hash_table_add (proxy->probes, probe);
  struct hf_link_request request
      = { .address = effect->address, .head = { head->str, head->len }, .idle_max_us = HF_LINK_IDLE_MS * HF_MS };
  probe->link = hf_link_start (proxy->links, &request, &probe_calls, probe);
  g_string_free (head, TRUE);
}

static void
end_late_probes (struct hf_proxy *proxy, int64_t now)
{
  GList *probes = g_hash_table_get_keys (proxy->probes);
  for (GList *item = probes; item; item = item->next)
    {
      struct probe *probe = item->data;
      if (now - probe->sent_at < HF_PROBE_TIMEOUT_SEC * HF_SEC)
        continue;
      hf_link_cancel (probe->link);
      probe_ended (probe, HF_LINK_BROKEN, true);
    }
  g_list_free (probes);
}

static gboolean
sweep (gpointer data)
{
  struct hf_proxy *proxy = data;
  int64_t now = hf_loop_now ();
  hf_front_sweep (proxy->front, now);
  hf_links_sweep (proxy->links, now);
  end_late_probes (proxy, now);
  return G_SOURCE_CONTINUE;
}

/* --- public functions --- */

struct hf_proxy *
hf_proxy_open (struct hf_loop *loop,
               struct hf_net *net,
               const struct hf_dialect *dialect,
               struct hf_str address,
               struct hf_error *error)
{
  struct hf_proxy *proxy = g_new0 (struct hf_proxy, 1);
  proxy->loop = loop;
  proxy->net = net;
  proxy->dialect = dialect;
  proxy->callers = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_caller);
  proxy->probes = g_hash_table_new (NULL, NULL);
  proxy->links = hf_links_open (net);
  proxy->sweep = g_timeout_add (HF_SWEEP_MS, sweep, proxy);
  proxy->front = hf_front_open (net, address, &server_calls, proxy, error);
  if (proxy->front)
    return proxy;
  hf_proxy_close (proxy);
  return NULL;
}

void
hf_proxy_close (struct hf_proxy *proxy)
{
  if (!proxy)
    return;
  g_source_remove (proxy->sweep);
  hf_front_close (proxy->front);
  g_hash_table_destroy (proxy->callers);
  GList *probes = g_hash_table_get_keys (proxy->probes);
  for (GList *item = probes; item; item = item->next)
    {
      hf_link_cancel (((struct probe *) item->data)->link);
      g_free (item->data);
    }
  g_list_free (probes);
  g_hash_table_destroy (proxy->probes);
  hf_links_close (proxy->links);
  g_free (proxy);
}

struct hf_str
hf_proxy_address (const struct hf_proxy *proxy)
{
  return hf_front_address (proxy->front);
}

unsigned
hf_proxy_in_flight (const struct hf_proxy *proxy)
{
  return g_hash_table_size (proxy->callers);
}

void
hf_proxy_limit (struct hf_proxy *proxy, struct hf_front_limits limits)
{
  hf_front_limit (proxy->front, limits);
}

void
hf_proxy_leave (struct hf_proxy *proxy)
{
  hf_front_leave (proxy->front);
}

void
hf_proxy_stop (struct hf_proxy *proxy)
{
  hf_front_stop (proxy->front);
}

void
hf_proxy_carry_out (struct hf_proxy *proxy, const struct hf_effect *effect)
{
  struct caller *caller = find_caller (proxy, effect->call);
  if (effect->kind == HF_EFFECT_DISPATCH)
    dispatch (proxy, effect);
  else if (effect->kind == HF_EFFECT_PROBE)
    probe_server (proxy, effect);
  else if (effect->kind == HF_EFFECT_RENEW)
    hf_links_drop (proxy->links, effect->address);
  else if (!caller)
    return;
  else if (effect->kind == HF_EFFECT_ANSWER)
    answer_failure (caller, effect);
  else if (effect->kind == HF_EFFECT_RELAY)
    relay (caller, caller->attempts[effect->attempt], effect->outcome);
  else if (effect->kind == HF_EFFECT_CUT)
    cut (caller);
  else if (effect->kind == HF_EFFECT_CANCEL)
    cancel (caller, effect->attempt);
}
