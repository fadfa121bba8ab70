/* TCP proxy on loopback that injects faults. */
#include "proxy.h"

/* --- constants --- */

#define DELAY_MS 150

/* --- types --- */

struct proxy
{
  struct hf_net *net;
  struct hf_listener *listener;
  char *target;
  enum proxy_fault fault;
  GPtrArray *connections; /* struct connection */
};

/* One side of a connection; bytes received on it are sent to the other side. */
struct side
{
  struct connection *connection;
  struct hf_stream *stream;
  gboolean is_target;
};

/* Two joined TCP connections. After bytes were dropped in a direction, nothing more is forwarded in it, also when the
 * fault is over: the receiver would get a stream with a gap. */
struct connection
{
  struct proxy *proxy;
  struct side caller;
  struct side target;
  gboolean lost_to_target;
  gboolean lost_from_target;
  guint delayed_chunks; /* waiting for their delay */
  gboolean ended;
};

struct delayed_chunk
{
  struct connection *connection;
  struct side *destination;
  GBytes *bytes;
};

/* --- internal functions --- */

static void
free_if_done (struct connection *connection)
{
  if (!connection->ended || connection->delayed_chunks > 0)
    return;
  g_ptr_array_remove_fast (connection->proxy->connections, connection);
  g_free (connection);
}

static void
close_side (struct side *side, gboolean reset)
{
  if (side->stream && reset)
    hf_stream_reset (side->stream);
  else if (side->stream)
    hf_stream_close (side->stream);
  side->stream = NULL;
}

static void
end_connection (struct connection *connection, gboolean reset)
{
  close_side (&connection->caller, reset);
  close_side (&connection->target, reset);
  connection->ended = TRUE;
  free_if_done (connection);
}

static void
forward (struct side *destination, struct hf_str bytes)
{
  if (!destination->stream)
    return;
  hf_stream_queue (destination->stream, bytes);
  hf_stream_flush (destination->stream);
}

static gboolean
send_delayed (gpointer data)
{
  struct delayed_chunk *delayed_chunk = data;
  gsize size;
  const char *bytes = g_bytes_get_data (delayed_chunk->bytes, &size);
  forward (delayed_chunk->destination, (struct hf_str){ bytes, size });
  delayed_chunk->connection->delayed_chunks--;
  free_if_done (delayed_chunk->connection);
  g_bytes_unref (delayed_chunk->bytes);
  g_free (delayed_chunk);
  return G_SOURCE_REMOVE;
}

static void
forward_later (struct side *destination, struct hf_str bytes)
{
  struct delayed_chunk *delayed_chunk = g_new (struct delayed_chunk, 1);
  *delayed_chunk = (struct delayed_chunk){ .connection = destination->connection,
                                           .destination = destination,
                                           .bytes = g_bytes_new (bytes.data, bytes.len) };
  destination->connection->delayed_chunks++;
  g_timeout_add (DELAY_MS, send_delayed, delayed_chunk);
}

static void
on_side_data (void *context, struct hf_str bytes)
{
  struct side *side = context;
  struct connection *connection = side->connection;
  enum proxy_fault fault = connection->proxy->fault;
  struct side *destination = side->is_target ? &connection->caller : &connection->target;
  gboolean *lost = side->is_target ? &connection->lost_from_target : &connection->lost_to_target;
  gboolean drop
      = fault == PROXY_DROP_BOTH || fault == (side->is_target ? PROXY_DROP_FROM_TARGET : PROXY_DROP_TO_TARGET);
  *lost = *lost || drop;
  if (*lost)
    return;
  if (fault == PROXY_DELAY || connection->delayed_chunks > 0)
    forward_later (destination, bytes);
  else
    forward (destination, bytes);
}

/* The end of a side is forwarded like its bytes: while a fault drops them, the other side stays open. */
static void
on_side_ended (void *context, enum hf_stream_end end)
{
  struct side *side = context;
  struct connection *connection = side->connection;
  gboolean lost = side->is_target ? connection->lost_from_target : connection->lost_to_target;
  if (!lost || connection->proxy->fault == PROXY_NO_FAULT)
    end_connection (connection, end != HF_STREAM_CLOSED || lost || connection->delayed_chunks > 0);
  else
    close_side (side, FALSE);
}

/* Sends what was queued before the connection was established. */
static void
on_side_connected (void *context)
{
  struct side *side = context;
  hf_stream_flush (side->stream);
}

static const struct hf_stream_callbacks side_callbacks
    = { .on_connected = on_side_connected, .on_data = on_side_data, .on_ended = on_side_ended };

static void
on_accepted (void *context, struct hf_stream *stream)
{
  struct proxy *proxy = context;
  struct connection *connection = g_new0 (struct connection, 1);
  *connection = (struct connection){ .proxy = proxy,
                                     .caller = { .connection = connection, .stream = stream },
                                     .target = { .connection = connection, .is_target = TRUE } };
  g_ptr_array_add (proxy->connections, connection);
  hf_stream_set_callbacks (stream, &side_callbacks, &connection->caller);
  connection->target.stream = hf_stream_connect (proxy->net, hf_str (proxy->target));
  if (!connection->target.stream)
    end_connection (connection, TRUE);
  else
    hf_stream_set_callbacks (connection->target.stream, &side_callbacks, &connection->target);
}

static void
end_all_connections (struct proxy *proxy, gboolean reset)
{
  GPtrArray *connections = g_ptr_array_copy (proxy->connections, NULL, NULL);
  for (guint i = 0; i < connections->len; i++)
    end_connection (g_ptr_array_index (connections, i), reset);
  g_ptr_array_unref (connections);
}

/* --- public functions --- */

struct proxy *
proxy_open (struct hf_net *net, const char *target)
{
  struct proxy *proxy = g_new0 (struct proxy, 1);
  proxy->net = net;
  proxy->target = g_strdup (target);
  proxy->connections = g_ptr_array_new ();
  proxy->listener = hf_listener_open (net, hf_str ("127.0.0.1:0"), on_accepted, proxy, NULL);
  g_assert_nonnull (proxy->listener);
  return proxy;
}

void
proxy_close (struct proxy *proxy)
{
  hf_listener_close (proxy->listener);
  end_all_connections (proxy, FALSE);
  /* Delayed chunks still refer to the proxy. */
  while (proxy->connections->len > 0)
    g_main_context_iteration (NULL, TRUE);
  g_ptr_array_unref (proxy->connections);
  g_free (proxy->target);
  g_free (proxy);
}

const char *
proxy_address (const struct proxy *proxy)
{
  return hf_listener_address (proxy->listener).data;
}

void
proxy_set_fault (struct proxy *proxy, enum proxy_fault fault)
{
  proxy->fault = fault;
}

void
proxy_reset_lossy_connections (struct proxy *proxy)
{
  GPtrArray *connections = g_ptr_array_copy (proxy->connections, NULL, NULL);
  for (guint i = 0; i < connections->len; i++)
    {
      struct connection *connection = g_ptr_array_index (connections, i);
      if (connection->lost_to_target || connection->lost_from_target)
        end_connection (connection, TRUE);
    }
  g_ptr_array_unref (connections);
}

void
proxy_reset_connections (struct proxy *proxy)
{
  end_all_connections (proxy, TRUE);
}
