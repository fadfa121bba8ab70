/* HTTP/1.1 client with a pool of keep-alive connections. */
#include "hf-http-client.h"

#include <string.h>

#include "hf-keep-alive.h"
#include "hf-reuse.h"

#include "config.h"

/* --- constants --- */

/* What may precede the response to a request; after more of it the connection fails. */
#define SKIPPED_RESPONSES_MAX       4             /* responses to earlier requests */
#define INFORMATIONAL_RESPONSES_MAX 16            /* responses with a status of 1xx */
#define SKIPPED_BYTES_MAX           (1024 * 1024) /* of all of these */

/* --- types --- */

struct hf_http_client
{
  struct hf_net *net;
  GHashTable *idle_pools; /* struct idle_pool by address */
  GPtrArray *connections; /* struct connection, all that are open */
  GPtrArray *closed;      /* struct connection, to be freed outside of callbacks */
  uint64_t opened;        /* connections so far */
};

/* Idle connections to one address. */
struct idle_pool
{
  GPtrArray *connections; /* struct connection, the most recently used last */
};

/* Connection to a server. */
struct connection
{
  struct hf_http_client *client;
  struct hf_stream *stream;
  struct hf_http_parser *parser;
  struct hf_http_client_request *request; /* using the connection; NULL: idle */
  char *address;
  uint64_t number;   /* in the order of opening, from 1 */
  uint64_t requests; /* carried so far, with the current one */
  struct hf_carried carried;
  int64_t opened_at;
  int64_t used_at;         /* end of the last request */
  int64_t idle_timeout_us; /* closed after this idle time, before the server closes it */
  bool connected;
  bool close_after_response;
  bool response_complete; /* the request ends once the parser has returned */
  bool skipping_response; /* the response being received is informational (1xx) or belongs to an earlier request */
  unsigned skipped_responses;
  unsigned informational_responses;
  size_t skipped_bytes;
  bool closed;
};

struct hf_http_client_request
{
  struct connection *connection; /* NULL: no connection could be opened */
  const struct hf_http_client_callbacks *callbacks;
  void *context;
  bool has_more_body; /* the rest of the body follows by hf_http_client_send_body */
  bool response_has_no_body;
  bool got_head;    /* the response head was received */
  bool in_callback; /* hf_http_client_send or a callback of the owner is running */
  bool cancelled;
  uint64_t *sent_bytes;     /* counter; NULL: not counted */
  uint64_t *received_bytes; /* the same */
  guint failure_source;     /* idle source that reports the missing connection; 0: none */
};

/* --- internal functions: connections --- */

static struct idle_pool *
find_idle_pool (struct hf_http_client *client, const char *address)
{
  struct idle_pool *idle_pool = g_hash_table_lookup (client->idle_pools, address);
  if (idle_pool)
    return idle_pool;
  idle_pool = g_new0 (struct idle_pool, 1);
  idle_pool->connections = g_ptr_array_new ();
  g_hash_table_insert (client->idle_pools, g_strdup (address), idle_pool);
  return idle_pool;
}

static void
free_idle_pool (void *data)
{
  struct idle_pool *idle_pool = data;
  g_ptr_array_unref (idle_pool->connections);
  g_free (idle_pool);
}

static void
free_connection (void *data)
{
  struct connection *connection = data;
  hf_http_parser_close (connection->parser);
  hf_carried_clear (&connection->carried);
  g_free (connection->address);
  g_free (connection);
}

static void
close_connection (struct connection *connection)
{
  if (connection->closed)
    return;
  connection->closed = true;
  hf_stream_close (connection->stream);
  g_ptr_array_remove_fast (connection->client->connections, connection);
  g_ptr_array_remove (find_idle_pool (connection->client, connection->address)->connections, connection);
  g_ptr_array_add (connection->client->closed, connection);
}

static void
keep_connection (struct connection *connection, int64_t now)
{
  connection->request = NULL;
  connection->skipped_responses = 0;
  connection->informational_responses = 0;
  connection->skipped_bytes = 0;
  connection->used_at = now;
  hf_stream_pause (connection->stream, false);
  g_ptr_array_add (find_idle_pool (connection->client, connection->address)->connections, connection);
}

/* --- internal functions: requests --- */

static void
count_bytes (uint64_t *counter, size_t bytes)
{
  if (counter)
    *counter += bytes;
}

/* Reports the end and frees the request. */
static void
end_request (struct hf_http_client_request *request, const struct hf_http_client_end *end)
{
  if (!request->cancelled)
    {
      request->in_callback = true;
      request->callbacks->on_ended (request->context, end);
    }
  g_free (request);
}

/* Closes a connection that was lost or carried invalid data, and ends its request. */
static void
fail_connection (struct connection *connection, enum hf_stream_end connection_end, enum hf_http_parse_error fault)
{
  struct hf_http_client_request *request = connection->request;
  connection->request = NULL;
  bool sent = hf_stream_has_sent (connection->stream);
  bool connected = connection->connected;
  close_connection (connection);
  if (!request)
    return;
  request->connection = NULL;
  const struct hf_http_client_end end = { .result = request->got_head   ? HF_HTTP_CLIENT_TRUNCATED
                                                    : sent || connected ? HF_HTTP_CLIENT_BROKEN
                                                                        : HF_HTTP_CLIENT_CONNECT_FAILED,
                                          .connection = connection_end,
                                          .sent = sent,
                                          .fault = fault };
  end_request (request, &end);
}

static bool
is_written (const struct connection *connection, const struct hf_http_client_request *request)
{
  return !request->has_more_body && hf_stream_unsent_bytes (connection->stream) == 0;
}

/* A copy of a response to HEAD declares a body that does not follow, so what is behind it would be read as that body.
 */
static bool
may_keep (const struct connection *connection, const struct hf_http_client_request *request)
{
  return !connection->close_after_response && is_written (connection, request) && !request->response_has_no_body
         && !hf_carried_is_full (&connection->carried);
}

/* The owner may send its next request at once, so the connection is kept only if nothing follows the response. */
static void
finish_response (struct connection *connection, enum hf_stream_end connection_end, bool has_more_bytes)
{
  struct hf_http_client_request *request = connection->request;
  bool keep = connection_end == HF_STREAM_OPEN && may_keep (connection, request) && !has_more_bytes;
  const struct hf_http_client_end end
      = { .result = HF_HTTP_CLIENT_COMPLETE,
          .connection = keep || connection_end != HF_STREAM_OPEN ? connection_end : HF_STREAM_CLOSED_LOCALLY,
          .sent = hf_stream_has_sent (connection->stream) };
  request->connection = NULL;
  connection->request = NULL;
  connection->response_complete = false;
  if (keep)
    keep_connection (connection, g_get_monotonic_time ());
  else
    close_connection (connection);
  end_request (request, &end);
}

/* --- internal functions: callbacks of the parser --- */

static void
read_keep_alive (struct connection *connection, const struct hf_http_head *head)
{
  connection->idle_timeout_us = hf_keep_alive_idle_us (hf_http_head_field (head, "Keep-Alive"));
}

static bool
on_head (void *context, const struct hf_http_head *head)
{
  struct connection *connection = context;
  struct hf_http_client_request *request = connection->request;
  bool is_informational = head->status / 100 == 1;
  connection->skipping_response = !request || is_informational;
  connection->informational_responses += is_informational;
  if (connection->skipping_response)
    return !is_informational;
  if (request->callbacks->accepts_response && !request->callbacks->accepts_response (request->context, head))
    {
      connection->skipping_response = true;
      connection->close_after_response = true;
      connection->skipped_responses++;
      return !hf_http_status_has_no_body (head->status);
    }
  if (!head->keep_alive)
    connection->close_after_response = true;
  read_keep_alive (connection, head);
  request->got_head = true;
  request->in_callback = true;
  request->callbacks->on_head (request->context, head);
  request->in_callback = false;
  return !request->response_has_no_body && !hf_http_status_has_no_body (head->status);
}

static void
on_body (void *context, struct hf_str bytes)
{
  struct connection *connection = context;
  struct hf_http_client_request *request = connection->request;
  if (connection->skipping_response || !request || request->cancelled)
    return;
  request->in_callback = true;
  request->callbacks->on_body (request->context, bytes);
  request->in_callback = false;
}

static void
on_complete (void *context)
{
  struct connection *connection = context;
  if (connection->skipping_response || !connection->request || connection->request->cancelled)
    return;
  connection->response_complete = true;
}

static void
on_error (void *context, enum hf_http_parse_error error)
{
  struct connection *connection = context;
  if (!connection->closed && !(connection->request && connection->request->cancelled))
    fail_connection (connection, HF_STREAM_CLOSED_LOCALLY, error);
}

static const struct hf_http_parser_callbacks parser_callbacks
    = { .on_head = on_head, .on_body = on_body, .on_complete = on_complete, .on_error = on_error };

/* Frees a request that was cancelled inside a callback, and closes its connection. */
static bool
free_cancelled_request (struct connection *connection)
{
  struct hf_http_client_request *request = connection->request;
  if (!request || !request->cancelled)
    return false;
  connection->request = NULL;
  g_free (request);
  close_connection (connection);
  return true;
}

/* --- internal functions: callbacks of the stream --- */

static bool
has_skipped_too_much (const struct connection *connection)
{
  return connection->skipped_responses > SKIPPED_RESPONSES_MAX
         || connection->informational_responses > INFORMATIONAL_RESPONSES_MAX
         || connection->skipped_bytes > SKIPPED_BYTES_MAX;
}

static void
on_stream_connected (void *context)
{
  struct connection *connection = context;
  connection->connected = true;
  hf_stream_flush (connection->stream);
}

static void
on_stream_data (void *context, struct hf_str bytes)
{
  struct connection *connection = context;
  if (connection->request)
    count_bytes (connection->request->received_bytes, bytes.len);
  while (bytes.len > 0 && !connection->closed)
    {
      /* Bytes without a request are no response to anything: the connection is unusable. */
      if (!connection->request || has_skipped_too_much (connection))
        {
          fail_connection (connection, HF_STREAM_CLOSED_LOCALLY, HF_HTTP_PARSE_UNEXPECTED);
          break;
        }
      size_t used = hf_http_parser_feed (connection->parser, bytes);
      connection->skipped_bytes += connection->skipping_response ? used : 0;
      bytes.data += used;
      bytes.len -= used;
      if (!connection->closed && free_cancelled_request (connection))
        break;
      if (!connection->closed && connection->response_complete)
        finish_response (connection, HF_STREAM_OPEN, bytes.len > 0);
    }
}

static void
on_stream_drained (void *context)
{
  struct connection *connection = context;
  struct hf_http_client_request *request = connection->request;
  if (!request || request->in_callback || !request->callbacks->on_drained)
    return;
  request->in_callback = true;
  request->callbacks->on_drained (request->context);
  request->in_callback = false;
  free_cancelled_request (connection);
}

/* Whether the end of the connection completes a response without a length. */
static bool
completes_response (const struct connection *connection, enum hf_stream_end end)
{
  const struct hf_http_client_request *request = connection->request;
  bool takes_body = request && request->got_head && !connection->skipping_response;
  return takes_body && hf_stream_end_completes_body (end, is_written (connection, request))
         && hf_http_parser_finish (connection->parser);
}

static void
on_stream_ended (void *context, enum hf_stream_end end)
{
  struct connection *connection = context;
  bool is_complete = completes_response (connection, end);
  if (connection->closed || free_cancelled_request (connection))
    return;
  if (is_complete)
    finish_response (connection, end, false);
  else
    fail_connection (connection, end, HF_HTTP_PARSE_OK);
}

static const struct hf_stream_callbacks stream_callbacks = { .on_connected = on_stream_connected,
                                                             .on_data = on_stream_data,
                                                             .on_drained = on_stream_drained,
                                                             .on_ended = on_stream_ended };

static struct connection *
open_connection (struct hf_http_client *client, struct hf_str address)
{
  struct hf_stream *stream = hf_stream_connect (client->net, address);
  if (!stream)
    return NULL;
  struct connection *connection = g_new0 (struct connection, 1);
  connection->client = client;
  connection->stream = stream;
  connection->address = g_strndup (address.data, address.len);
  connection->number = ++client->opened;
  connection->opened_at = g_get_monotonic_time ();
  connection->parser = hf_http_parser_open (false, &parser_callbacks, connection);
  hf_http_parser_set_head_limit (connection->parser, HF_RESPONSE_HEAD_BYTES_MAX);
  hf_stream_set_callbacks (stream, &stream_callbacks, connection);
  g_ptr_array_add (client->connections, connection);
  return connection;
}

static enum hf_reuse
decide_reuse (const struct connection *connection, const struct hf_http_client_params *params)
{
  const struct hf_kept_connection kept = {
    .usable = hf_stream_is_open (connection->stream) && hf_stream_is_quiet (connection->stream),
    .idle_us = g_get_monotonic_time () - connection->used_at,
    .idle_timeout_us = connection->idle_timeout_us,
    .carried = &connection->carried,
  };
  return hf_reuse_decide (&kept, params->request_id, params->idle_max_us);
}

/* Takes the most recently used idle connection that may carry the request, and closes unusable ones; NULL: none may.
 * Then one that has carried its id goes for the new one, so that repeating an id does not make the pool grow. */
static struct connection *
take_idle_connection (struct hf_http_client *client, const struct hf_http_client_params *params)
{
  char *text = g_strndup (params->address.data, params->address.len);
  GPtrArray *idle = find_idle_pool (client, text)->connections;
  struct connection *oldest_with_id = NULL;
  g_free (text);
  if (params->idle_max_us == 0)
    return NULL;
  for (guint i = idle->len; i-- > 0;)
    {
      struct connection *connection = g_ptr_array_index (idle, i);
      enum hf_reuse reuse = decide_reuse (connection, params);
      if (reuse == HF_REUSE_YES)
        return g_ptr_array_steal_index (idle, i);
      if (reuse == HF_REUSE_IDLE_LONG)
        break; /* the others were used even longer ago */
      if (reuse == HF_REUSE_NEVER)
        close_connection (connection);
      else
        oldest_with_id = connection;
    }
  if (oldest_with_id)
    close_connection (oldest_with_id);
  return NULL;
}

static gboolean
report_connect_failure (gpointer data)
{
  struct hf_http_client_request *request = data;
  request->failure_source = 0;
  const struct hf_http_client_end end
      = { .result = HF_HTTP_CLIENT_CONNECT_FAILED, .connection = HF_STREAM_CONNECT_FAILED };
  end_request (request, &end);
  return G_SOURCE_REMOVE;
}

/* --- public functions: init and close --- */

struct hf_http_client *
hf_http_client_open (struct hf_net *net)
{
  struct hf_http_client *client = g_new0 (struct hf_http_client, 1);
  client->net = net;
  client->idle_pools = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_idle_pool);
  client->connections = g_ptr_array_new ();
  client->closed = g_ptr_array_new_with_free_func (free_connection);
  return client;
}

void
hf_http_client_close (struct hf_http_client *client)
{
  if (!client)
    return;
  while (client->connections->len > 0)
    {
      struct connection *connection = g_ptr_array_index (client->connections, 0);
      g_clear_pointer (&connection->request, g_free);
      close_connection (connection);
    }
  g_ptr_array_unref (client->connections);
  g_ptr_array_unref (client->closed);
  g_hash_table_destroy (client->idle_pools);
  g_free (client);
}

void
hf_http_client_check_timeouts (struct hf_http_client *client, int64_t now)
{
  g_ptr_array_set_size (client->closed, 0);
  for (guint i = client->connections->len; i-- > 0;)
    {
      if (i >= client->connections->len)
        continue; /* a callback closed several connections */
      struct connection *connection = g_ptr_array_index (client->connections, i);
      if (!connection->connected && now - connection->opened_at > HF_CONNECT_TIMEOUT_MS * HF_MS)
        fail_connection (connection, HF_STREAM_TIMED_OUT, HF_HTTP_PARSE_OK);
      else if (connection->connected && !connection->request
               && now - connection->used_at >= connection->idle_timeout_us)
        close_connection (connection);
    }
}

void
hf_http_client_close_idle (struct hf_http_client *client, struct hf_str address)
{
  char *text = g_strndup (address.data, address.len);
  struct idle_pool *idle_pool = find_idle_pool (client, text);
  g_free (text);
  while (idle_pool->connections->len > 0)
    close_connection (g_ptr_array_steal_index (idle_pool->connections, idle_pool->connections->len - 1));
}

/* --- public functions: requests --- */

struct hf_http_client_request *
hf_http_client_send (struct hf_http_client *client,
                     const struct hf_http_client_params *params,
                     const struct hf_http_client_callbacks *callbacks,
                     void *context)
{
  struct hf_http_client_request *request = g_new0 (struct hf_http_client_request, 1);
  request->callbacks = callbacks;
  request->context = context;
  request->has_more_body = params->has_more_body;
  request->response_has_no_body = params->response_has_no_body;
  request->sent_bytes = params->sent_bytes;
  request->received_bytes = params->received_bytes;
  struct connection *connection = take_idle_connection (client, params);
  if (!connection)
    connection = open_connection (client, params->address);
  request->connection = connection;
  if (!connection)
    {
      request->failure_source = g_idle_add (report_connect_failure, request);
      return request;
    }
  connection->request = request;
  connection->requests++;
  hf_carried_add (&connection->carried, params->request_id);
  hf_stream_clear_sent (connection->stream);
  hf_stream_queue (connection->stream, params->head);
  hf_stream_queue (connection->stream, params->body);
  count_bytes (request->sent_bytes, params->head.len + params->body.len);
  if (connection->connected)
    {
      request->in_callback = true;
      hf_stream_flush (connection->stream);
      request->in_callback = false;
    }
  return request;
}

void
hf_http_client_send_body (struct hf_http_client_request *request, struct hf_str bytes, bool last)
{
  if (last)
    request->has_more_body = false;
  if (!request->connection)
    return;
  hf_stream_queue (request->connection->stream, bytes);
  count_bytes (request->sent_bytes, bytes.len);
  if (request->connection->connected)
    hf_stream_flush (request->connection->stream);
}

struct hf_connection_use
hf_http_client_connection_use (const struct hf_http_client_request *request)
{
  const struct connection *connection = request->connection;
  if (!connection)
    return (struct hf_connection_use){ 0 };
  return (struct hf_connection_use){ .number = connection->number, .earlier_requests = connection->requests - 1 };
}

size_t
hf_http_client_unsent_bytes (const struct hf_http_client_request *request)
{
  return request->connection ? hf_stream_unsent_bytes (request->connection->stream) : 0;
}

void
hf_http_client_pause (struct hf_http_client_request *request, bool paused)
{
  if (request->connection)
    hf_stream_pause (request->connection->stream, paused);
}

void
hf_http_client_cancel (struct hf_http_client_request *request)
{
  request->cancelled = true;
  if (request->failure_source)
    {
      g_source_remove (request->failure_source);
      g_free (request);
      return;
    }
  /* During a callback, the function that invoked it frees the request. */
  if (request->in_callback || !request->connection)
    return;
  struct connection *connection = request->connection;
  connection->request = NULL;
  g_free (request);
  close_connection (connection);
}
