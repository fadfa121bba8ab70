/* UDP socket for messages between entries. */
#include "hf-peer-socket.h"

#include <gio/gio.h>
#include <string.h>

#include "hf-state.h"
#include "hf-status.h"
#include "hf-wire.h"

/* --- constants --- */

#define DATAGRAMS_PER_TURN_MAX 64 /* read before other event sources run */

/* --- types --- */

struct hf_peer_socket
{
  struct hf_loop *loop;
  GSocket *socket;
  GSource *source;
  GHashTable *addresses; /* GSocketAddress by IP:PORT */
  char bound_address[64];
};

/* --- internal functions --- */

static GSocketAddress *
parse_address (struct hf_str address)
{
  char *text = g_strndup (address.data, address.len);
  char *colon = strrchr (text, ':');
  GSocketAddress *parsed = NULL;
  if (colon)
    {
      *colon = 0;
      parsed = g_inet_socket_address_new_from_string (text, (guint) g_ascii_strtoull (colon + 1, NULL, 10));
    }
  g_free (text);
  return parsed;
}

static GSocketAddress *
find_address (struct hf_peer_socket *peer_socket, struct hf_str address)
{
  GSocketAddress *cached = g_hash_table_lookup (peer_socket->addresses, address.data);
  if (cached)
    return cached;
  cached = parse_address (address);
  if (cached)
    g_hash_table_insert (peer_socket->addresses, g_strndup (address.data, address.len), cached);
  return cached;
}

static void
handle_datagram (struct hf_peer_socket *peer_socket, struct hf_str datagram, GSocketAddress *from)
{
  struct hf_rpc_message message;
  struct hf_error error = { 0 };
  uint64_t *counters = hf_state_counters (peer_socket->loop->state);
  counters[HF_COUNT_PEER_BYTES_RECEIVED] += datagram.len;
  if (!hf_wire_decode (datagram, &message, &error))
    {
      counters[HF_COUNT_DATAGRAMS_INVALID]++;
      return;
    }
  char *address = g_socket_connectable_to_string (G_SOCKET_CONNECTABLE (from));
  hf_loop_raise_event (
      peer_socket->loop,
      (struct hf_event){ .kind = HF_EVENT_PEER_MESSAGE, .peer = { .message = &message, .address = hf_str (address) } });
  g_free (address);
  hf_wire_free (&message);
}

static gboolean
on_readable (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct hf_peer_socket *peer_socket = data;
  char buffer[HF_WIRE_BYTES_MAX];
  (void) condition;
  for (int i = 0; i < DATAGRAMS_PER_TURN_MAX; i++)
    {
      GSocketAddress *from = NULL;
      gssize received = g_socket_receive_from (socket, &from, buffer, sizeof buffer, NULL, NULL);
      if (received < 0)
        {
          g_clear_object (&from);
          break;
        }
      if (from)
        handle_datagram (peer_socket, (struct hf_str){ .data = buffer, .len = (size_t) received }, from);
      g_clear_object (&from);
    }
  return G_SOURCE_CONTINUE;
}

/* --- public functions --- */

struct hf_peer_socket *
hf_peer_socket_open (struct hf_loop *loop, struct hf_str address, struct hf_error *error)
{
  GError *cause = NULL;
  GSocketAddress *socket_address = parse_address (address);
  GSocket *socket = socket_address ? g_socket_new (g_socket_address_get_family (socket_address), G_SOCKET_TYPE_DATAGRAM,
                                                   G_SOCKET_PROTOCOL_UDP, &cause)
                                   : NULL;
  if (!socket || !g_socket_bind (socket, socket_address, FALSE, &cause))
    {
      bool in_use = g_error_matches (cause, G_IO_ERROR, G_IO_ERROR_ADDRESS_IN_USE);
      hf_error_set (error, in_use ? HF_ERROR_IN_USE : HF_ERROR_IO, "cannot bind the peer socket to " HF_STR_FMT ": %s",
                    HF_STR_ARG (address), cause ? cause->message : "not an IP:PORT address");
      g_clear_error (&cause);
      g_clear_object (&socket);
      g_clear_object (&socket_address);
      return NULL;
    }
  g_object_unref (socket_address);
  struct hf_peer_socket *peer_socket = g_new0 (struct hf_peer_socket, 1);
  peer_socket->loop = loop;
  peer_socket->socket = socket;
  peer_socket->addresses = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_object_unref);
  g_socket_set_blocking (socket, FALSE);
  GSocketAddress *local = g_socket_get_local_address (socket, NULL);
  char *text = g_socket_connectable_to_string (G_SOCKET_CONNECTABLE (local));
  g_strlcpy (peer_socket->bound_address, text, sizeof peer_socket->bound_address);
  g_free (text);
  g_object_unref (local);
  peer_socket->source = g_socket_create_source (socket, G_IO_IN, NULL);
  g_source_set_callback (peer_socket->source, G_SOURCE_FUNC (on_readable), peer_socket, NULL);
  g_source_attach (peer_socket->source, NULL);
  return peer_socket;
}

void
hf_peer_socket_close (struct hf_peer_socket *peer_socket)
{
  if (!peer_socket)
    return;
  g_source_destroy (peer_socket->source);
  g_source_unref (peer_socket->source);
  g_object_unref (peer_socket->socket);
  g_hash_table_destroy (peer_socket->addresses);
  g_free (peer_socket);
}

struct hf_str
hf_peer_socket_address (const struct hf_peer_socket *peer_socket)
{
  return hf_str (peer_socket->bound_address);
}

void
hf_peer_socket_send (struct hf_peer_socket *peer_socket, const struct hf_effect *effect)
{
  char buffer[HF_WIRE_BYTES_MAX];
  GSocketAddress *to = find_address (peer_socket, effect->address);
  size_t size = hf_wire_encode (&effect->message, buffer, sizeof buffer);
  if (!to || size == 0)
    return;
  /* If the socket buffer is full, the datagram is lost, as datagrams may be in the network. */
  gssize sent = g_socket_send_to (peer_socket->socket, to, buffer, size, NULL, NULL);
  if (sent <= 0)
    return;
  enum hf_traffic_kind kind = hf_traffic_kind_of_message (effect->message.body.kind);
  hf_state_counters (peer_socket->loop->state)[HF_COUNT_PEER_BYTES_SENT] += (uint64_t) sent;
  hf_state_traffic (peer_socket->loop->state)->bytes[kind][effect->crosses_domain] += (uint64_t) sent;
}
