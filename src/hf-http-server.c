/* HTTP/1.1 server for callers: listener, limits and timeouts. */
#include "hf-http-server.h"

#include "hf-http-connection.h"

#include "config.h"

/* --- internal functions --- */

static void
on_accepted (void *context, struct hf_stream *stream)
{
  struct hf_http_server *server = context;
  g_hash_table_add (server->connections, hf_http_connection_open (server, stream));
}

/* Calls @act for each connection that is still open by then: what it does for one may close others. */
static void
for_each_connection (struct hf_http_server *server,
                     void (*act) (struct hf_http_connection *connection, int64_t now),
                     int64_t now)
{
  GList *connections = g_hash_table_get_keys (server->connections);
  for (GList *item = connections; item; item = item->next)
    if (g_hash_table_contains (server->connections, item->data))
      act (item->data, now);
  g_list_free (connections);
}

static void
close_connection (struct hf_http_connection *connection, int64_t now)
{
  (void) now;
  hf_http_connection_close (connection, false);
}

/* --- public functions: init and close --- */

struct hf_http_server *
hf_http_server_open (struct hf_net *net,
                     struct hf_str address,
                     const struct hf_http_server_callbacks *callbacks,
                     void *context,
                     struct hf_error *error)
{
  struct hf_http_server *server = g_new0 (struct hf_http_server, 1);
  server->net = net;
  server->callbacks = callbacks;
  server->context = context;
  server->limits = (struct hf_http_server_limits){ .head_bytes_max = HF_REQUEST_HEAD_BYTES_MAX,
                                                   .body_bytes_max = HF_REQUEST_BODY_BYTES_MAX,
                                                   .head_timeout_us = HF_CALLER_STALL_TIMEOUT_SEC * HF_SEC,
                                                   .idle_timeout_us = HF_CALLER_STALL_TIMEOUT_SEC * HF_SEC };
  server->connections = g_hash_table_new (NULL, NULL);
  server->listener = hf_listener_open (net, address, on_accepted, server, error);
  if (server->listener)
    return server;
  hf_http_server_close (server);
  return NULL;
}

void
hf_http_server_close (struct hf_http_server *server)
{
  if (!server)
    return;
  hf_listener_close (server->listener);
  for_each_connection (server, close_connection, 0);
  g_hash_table_destroy (server->connections);
  g_free (server);
}

struct hf_str
hf_http_server_address (const struct hf_http_server *server)
{
  return hf_listener_address (server->listener);
}

void
hf_http_server_set_limits (struct hf_http_server *server, struct hf_http_server_limits limits)
{
  server->limits = limits;
}

void
hf_http_server_end_keep_alive (struct hf_http_server *server)
{
  server->keep_alive_disabled = true;
}

void
hf_http_server_stop (struct hf_http_server *server)
{
  server->keep_alive_disabled = true;
  server->stopped = true;
  hf_listener_accept_waiting (server->listener);
  hf_listener_close (server->listener);
  server->listener = NULL;
}

unsigned
hf_http_server_connection_count (const struct hf_http_server *server)
{
  return g_hash_table_size (server->connections);
}

void
hf_http_server_check_timeouts (struct hf_http_server *server, int64_t now)
{
  for_each_connection (server, hf_http_connection_check_timeouts, now);
}
