/* HTTP server and client that send arbitrary bytes. */
#define _GNU_SOURCE
#include "raw.h"

#include <stdlib.h>
#include <string.h>

/* --- types --- */

struct raw_server
{
  struct hf_listener *listener;
  void (*on_request) (void *context, struct raw_connection *connection, const char *text);
  void *context;
  GPtrArray *connections;
  char *address;
  gboolean head_only;
};

struct raw_connection
{
  struct raw_server *server;
  struct hf_stream *stream; /* NULL: closed */
  GString *received;
};

/* --- internal functions --- */

static gsize
body_length (const char *text)
{
  const char *field = strcasestr (text, "\r\ncontent-length:");
  return field ? (gsize) g_ascii_strtoull (field + strlen ("\r\ncontent-length:"), NULL, 10) : 0;
}

/* Length of a body in chunks that contain no NUL and no empty line, 0 while it is incomplete. */
static gsize
chunked_length (const char *body)
{
  static const char end[] = "0\r\n\r\n";
  if (g_str_has_prefix (body, end))
    return strlen (end);
  const char *at = strstr (body, "\r\n0\r\n\r\n");
  return at ? (gsize) (at - body) + strlen ("\r\n") + strlen (end) : 0;
}

/* Length of the first message in bytes, 0 while it is incomplete. */
static gsize
message_length (const GString *text, gboolean head_only)
{
  const char *end = strstr (text->str, "\r\n\r\n");
  if (!end)
    return 0;
  gsize head_size = (gsize) (end - text->str) + 4;
  const char *chunked = strcasestr (text->str, "\r\ntransfer-encoding: chunked\r\n");
  if (!head_only && chunked && chunked < end)
    {
      gsize size = chunked_length (text->str + head_size);
      return size > 0 ? head_size + size : 0;
    }
  gsize size = head_size + (head_only ? 0 : body_length (text->str));
  return text->len >= size ? size : 0;
}

static void
on_connection_data (void *context, struct hf_str bytes)
{
  struct raw_connection *connection = context;
  g_string_append_len (connection->received, bytes.data, (gssize) bytes.len);
  gsize size = message_length (connection->received, connection->server->head_only);
  while (size > 0 && connection->stream)
    {
      char *text = g_strndup (connection->received->str, size);
      g_string_erase (connection->received, 0, (gssize) size);
      connection->server->on_request (connection->server->context, connection, text);
      g_free (text);
      size = message_length (connection->received, connection->server->head_only);
    }
}

static void
on_connection_ended (void *context, enum hf_stream_end end)
{
  (void) end;
  raw_connection_close (context, FALSE);
}

static const struct hf_stream_callbacks connection_callbacks
    = { .on_data = on_connection_data, .on_ended = on_connection_ended };

static void
on_accepted (void *context, struct hf_stream *stream)
{
  struct raw_server *server = context;
  struct raw_connection *connection = g_new0 (struct raw_connection, 1);
  connection->server = server;
  connection->stream = stream;
  connection->received = g_string_new (NULL);
  g_ptr_array_add (server->connections, connection);
  hf_stream_set_callbacks (stream, &connection_callbacks, connection);
}

/* --- public functions: server --- */

struct raw_server *
raw_server_open (struct hf_net *net,
                 void (*on_request) (void *context, struct raw_connection *connection, const char *text),
                 void *context)
{
  struct raw_server *server = g_new0 (struct raw_server, 1);
  server->on_request = on_request;
  server->context = context;
  server->connections = g_ptr_array_new ();
  server->listener = hf_listener_open (net, hf_str ("127.0.0.1:0"), on_accepted, server, NULL);
  g_assert_nonnull (server->listener);
  server->address = g_strdup (hf_listener_address (server->listener).data);
  return server;
}

void
raw_server_close (struct raw_server *server)
{
  hf_listener_close (server->listener);
  for (guint i = 0; i < server->connections->len; i++)
    {
      struct raw_connection *connection = g_ptr_array_index (server->connections, i);
      raw_connection_close (connection, FALSE);
      g_string_free (connection->received, TRUE);
      g_free (connection);
    }
  g_ptr_array_unref (server->connections);
  g_free (server->address);
  g_free (server);
}

const char *
raw_server_address (const struct raw_server *server)
{
  return server->address;
}

void
raw_server_set_refusing (struct raw_server *server)
{
  hf_listener_close (server->listener);
  server->listener = NULL;
  for (guint i = 0; i < server->connections->len; i++)
    raw_connection_close (g_ptr_array_index (server->connections, i), FALSE);
}

gboolean
raw_connection_is_open (const struct raw_connection *connection)
{
  return connection->stream != NULL;
}

void
raw_server_set_head_only (struct raw_server *server, gboolean head_only)
{
  server->head_only = head_only;
}

void
raw_connection_send (struct raw_connection *connection, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *text = g_strdup_vprintf (format, args);
  va_end (args);
  if (connection->stream)
    {
      hf_stream_queue (connection->stream, hf_str (text));
      hf_stream_flush (connection->stream);
    }
  g_free (text);
}

gsize
raw_connection_unsent_bytes (const struct raw_connection *connection)
{
  return connection->stream ? hf_stream_unsent_bytes (connection->stream) : 0;
}

void
raw_connection_close (struct raw_connection *connection, gboolean reset)
{
  if (connection->stream && reset)
    hf_stream_reset (connection->stream);
  else if (connection->stream)
    hf_stream_close (connection->stream);
  connection->stream = NULL;
}

void
raw_connection_shut_down (struct raw_connection *connection)
{
  hf_stream_pause (connection->stream, true);
  hf_stream_shutdown_write (connection->stream);
}

/* --- public functions: client --- */

static void
on_client_connected (void *context)
{
  struct raw_client *client = context;
  hf_stream_queue (client->stream, (struct hf_str){ client->unsent->str, client->unsent->len });
  g_string_truncate (client->unsent, 0);
  hf_stream_flush (client->stream);
}

static void
on_client_data (void *context, struct hf_str bytes)
{
  struct raw_client *client = context;
  g_string_append_len (client->received, bytes.data, (gssize) bytes.len);
}

static void
on_client_ended (void *context, enum hf_stream_end end)
{
  struct raw_client *client = context;
  client->ended = TRUE;
  client->reset = end != HF_STREAM_CLOSED;
}

static const struct hf_stream_callbacks client_callbacks
    = { .on_connected = on_client_connected, .on_data = on_client_data, .on_ended = on_client_ended };

struct raw_client *
raw_client_connect (struct hf_net *net, const char *address, const char *request)
{
  struct raw_client *client = g_new0 (struct raw_client, 1);
  client->received = g_string_new (NULL);
  client->unsent = g_string_new (request);
  client->stream = hf_stream_connect (net, hf_str (address));
  g_assert_nonnull (client->stream);
  hf_stream_set_callbacks (client->stream, &client_callbacks, client);
  return client;
}

void
raw_client_send (struct raw_client *client, const char *bytes)
{
  if (!hf_stream_is_open (client->stream))
    {
      g_string_append (client->unsent, bytes);
      return;
    }
  hf_stream_queue (client->stream, hf_str (bytes));
  hf_stream_flush (client->stream);
}

void
raw_client_close (struct raw_client *client)
{
  hf_stream_close (client->stream);
  g_string_free (client->received, TRUE);
  g_string_free (client->unsent, TRUE);
  g_free (client);
}

void
raw_client_reset (struct raw_client *client)
{
  hf_stream_reset (g_steal_pointer (&client->stream));
  raw_client_close (client);
}

guint
raw_client_status (const struct raw_client *client)
{
  return g_str_has_prefix (client->received->str, "HTTP/1.1 ")
             ? (guint) atoi (client->received->str + strlen ("HTTP/1.1 "))
             : 0;
}

gboolean
raw_client_has_response (const struct raw_client *client)
{
  return message_length (client->received, FALSE) > 0;
}
