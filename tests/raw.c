/* A server and a caller that write any bytes. */
#define _GNU_SOURCE
#include "raw.h"

#include <stdlib.h>
#include <string.h>

/* --- types --- */

struct raw_server
{
  struct hf_listener *listener;
  void (*request) (void *context, struct raw_connection *connection, const char *text);
  void *context;
  GPtrArray *connections;
  gboolean early;
};

struct raw_connection
{
  struct raw_server *server;
  struct hf_stream *stream; /* NULL: ended */
  GString *got;
};

/* --- internal functions --- */

static gsize
body_length (const char *text)
{
  const char *field = strcasestr (text, "\r\ncontent-length:");
  return field ? (gsize) g_ascii_strtoull (field + strlen ("\r\ncontent-length:"), NULL, 10) : 0;
}

/* Bytes of the first message, 0 while it is not whole. */
static gsize
message_length (const GString *text, gboolean head_only)
{
  const char *end = strstr (text->str, "\r\n\r\n");
  if (!end)
    return 0;
  gsize size = (gsize) (end - text->str) + 4 + (head_only ? 0 : body_length (text->str));
  return text->len >= size ? size : 0;
}

static void
connection_data (void *context, struct hf_str bytes)
{
  struct raw_connection *connection = context;
  g_string_append_len (connection->got, bytes.data, (gssize) bytes.len);
  gsize size = message_length (connection->got, connection->server->early);
  while (size > 0 && connection->stream)
    {
      char *text = g_strndup (connection->got->str, size);
      g_string_erase (connection->got, 0, (gssize) size);
      connection->server->request (connection->server->context, connection, text);
      g_free (text);
      size = message_length (connection->got, connection->server->early);
    }
}

static void
connection_ended (void *context, enum hf_stream_end end)
{
  (void) end;
  raw_end (context, FALSE);
}

static const struct hf_stream_callbacks connection_calls = { .on_data = connection_data, .on_ended = connection_ended };

static void
accepted (void *context, struct hf_stream *stream)
{
  struct raw_server *server = context;
  struct raw_connection *connection = g_new0 (struct raw_connection, 1);
  connection->server = server;
  connection->stream = stream;
  connection->got = g_string_new (NULL);
  g_ptr_array_add (server->connections, connection);
  hf_stream_set_callbacks (stream, &connection_calls, connection);
}

/* --- public functions: server --- */

struct raw_server *
raw_open (struct hf_net *net,
          void (*request) (void *context, struct raw_connection *connection, const char *text),
          void *context)
{
  struct raw_server *server = g_new0 (struct raw_server, 1);
  server->request = request;
  server->context = context;
  server->connections = g_ptr_array_new ();
  server->listener = hf_listener_open (net, hf_str ("127.0.0.1:0"), accepted, server, NULL);
  g_assert_nonnull (server->listener);
  return server;
}

void
raw_close (struct raw_server *server)
{
  hf_listener_close (server->listener);
  for (guint i = 0; i < server->connections->len; i++)
    {
      struct raw_connection *connection = g_ptr_array_index (server->connections, i);
      raw_end (connection, FALSE);
      g_string_free (connection->got, TRUE);
      g_free (connection);
    }
  g_ptr_array_unref (server->connections);
  g_free (server);
}

const char *
raw_address (const struct raw_server *server)
{
  return hf_listener_address (server->listener).data;
}

gboolean
raw_is_open (const struct raw_connection *connection)
{
  return connection->stream != NULL;
}

void
raw_answer_early (struct raw_server *server, gboolean early)
{
  server->early = early;
}

void
raw_send (struct raw_connection *connection, const char *format, ...)
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

void
raw_end (struct raw_connection *connection, gboolean reset)
{
  if (connection->stream && reset)
    hf_stream_reset (connection->stream);
  else if (connection->stream)
    hf_stream_close (connection->stream);
  connection->stream = NULL;
}

/* --- public functions: caller --- */

static void
call_connected (void *context)
{
  struct raw_call *call = context;
  hf_stream_queue (call->stream, (struct hf_str){ call->unsent->str, call->unsent->len });
  g_string_truncate (call->unsent, 0);
  hf_stream_flush (call->stream);
}

static void
call_data (void *context, struct hf_str bytes)
{
  struct raw_call *call = context;
  g_string_append_len (call->got, bytes.data, (gssize) bytes.len);
}

static void
call_ended (void *context, enum hf_stream_end end)
{
  struct raw_call *call = context;
  call->ended = TRUE;
  call->reset = end != HF_STREAM_CLOSED;
}

static const struct hf_stream_callbacks call_calls
    = { .on_connected = call_connected, .on_data = call_data, .on_ended = call_ended };

struct raw_call *
raw_call (struct hf_net *net, const char *address, const char *text)
{
  struct raw_call *call = g_new0 (struct raw_call, 1);
  call->got = g_string_new (NULL);
  call->unsent = g_string_new (text);
  call->stream = hf_stream_connect (net, hf_str (address));
  g_assert_nonnull (call->stream);
  hf_stream_set_callbacks (call->stream, &call_calls, call);
  return call;
}

void
raw_more (struct raw_call *call, const char *text)
{
  if (!hf_stream_is_open (call->stream))
    {
      g_string_append (call->unsent, text);
      return;
    }
  hf_stream_queue (call->stream, hf_str (text));
  hf_stream_flush (call->stream);
}

void
raw_leave (struct raw_call *call)
{
  hf_stream_close (call->stream);
  g_string_free (call->got, TRUE);
  g_string_free (call->unsent, TRUE);
  g_free (call);
}

guint
raw_status (const struct raw_call *call)
{
  return g_str_has_prefix (call->got->str, "HTTP/1.1 ") ? (guint) atoi (call->got->str + strlen ("HTTP/1.1 ")) : 0;
}

gboolean
raw_whole (const struct raw_call *call)
{
  return message_length (call->got, FALSE) > 0;
}
