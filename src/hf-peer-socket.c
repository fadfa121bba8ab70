/* The UDP socket between entries. */
#include "hf-peer-socket.h"

#include <gio/gio.h>
#include <string.h>

#include "hf-state.h"
#include "hf-wire.h"

/* --- constants --- */

#define BATCH_MAX 64 /* datagrams taken before other sources get a turn */

/* --- types --- */

struct hf_peers
{
  struct hf_loop *loop;
  GSocket *socket;
  GSource *source;
  GHashTable *addresses; /* GSocketAddress by text */
  char text[64];
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
find_address (struct hf_peers *peers, struct hf_str address)
{
  GSocketAddress *known = g_hash_table_lookup (peers->addresses, address.data);
  if (known)
    return known;
  known = parse_address (address);
  if (known)
    g_hash_table_insert (peers->addresses, g_strndup (address.data, address.len), known);
  return known;
}

static void
take_datagram (struct hf_peers *peers, struct hf_str datagram, GSocketAddress *from)
{
  struct hf_rpc_message message;
  struct hf_error error = { 0 };
  uint64_t *counters = hf_state_counters (peers->loop->state);
  counters[HF_COUNT_BYTES_RECEIVED] += datagram.len;
  if (!hf_wire_decode (datagram, &message, &error))
    {
      counters[HF_COUNT_DATAGRAMS_INVALID]++;
      return;
    }
  char *address = g_socket_connectable_to_string (G_SOCKET_CONNECTABLE (from));
  hf_loop_raise (peers->loop, (struct hf_event){ .kind = HF_EVENT_PEER,
                                                 .peer = { .message = &message, .address = hf_str (address) } });
  g_free (address);
  hf_wire_free (&message);
}

static gboolean
readable (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct hf_peers *peers = data;
  char buffer[HF_WIRE_BYTES_MAX];
  (void) condition;
  for (int i = 0; i < BATCH_MAX; i++)
    {
      GSocketAddress *from = NULL;
      gssize got = g_socket_receive_from (socket, &from, buffer, sizeof buffer, NULL, NULL);
      if (got < 0)
        {
          g_clear_object (&from);
          break;
        }
      if (from)
        take_datagram (peers, (struct hf_str){ .data = buffer, .len = (size_t) got }, from);
      g_clear_object (&from);
    }
  return G_SOURCE_CONTINUE;
}

/* --- public functions --- */

struct hf_peers *
hf_peers_open (struct hf_loop *loop, struct hf_str address, struct hf_error *error)
{
  GError *problem = NULL;
  GSocketAddress *where = parse_address (address);
  GSocket *socket = where ? g_socket_new (g_socket_address_get_family (where), G_SOCKET_TYPE_DATAGRAM,
                                          G_SOCKET_PROTOCOL_UDP, &problem)
                          : NULL;
  if (!socket || !g_socket_bind (socket, where, FALSE, &problem))
    {
      hf_error_set (error, HF_ERROR_IO, "cannot bind " HF_STR_FMT ": %s", HF_STR_ARG (address),
                    problem ? problem->message : "bad address");
      g_clear_error (&problem);
      g_clear_object (&socket);
      g_clear_object (&where);
      return NULL;
    }
  g_object_unref (where);
  struct hf_peers *peers = g_new0 (struct hf_peers, 1);
  peers->loop = loop;
  peers->socket = socket;
  peers->addresses = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_object_unref);
  g_socket_set_blocking (socket, FALSE);
  GSocketAddress *local = g_socket_get_local_address (socket, NULL);
  char *text = g_socket_connectable_to_string (G_SOCKET_CONNECTABLE (local));
  g_strlcpy (peers->text, text, sizeof peers->text);
  g_free (text);
  g_object_unref (local);
  peers->source = g_socket_create_source (socket, G_IO_IN, NULL);
  g_source_set_callback (peers->source, G_SOURCE_FUNC (readable), peers, NULL);
  g_source_attach (peers->source, NULL);
  return peers;
}

void
hf_peers_close (struct hf_peers *peers)
{
  if (!peers)
    return;
  g_source_destroy (peers->source);
  g_source_unref (peers->source);
  g_object_unref (peers->socket);
  g_hash_table_destroy (peers->addresses);
  g_free (peers);
}

struct hf_str
hf_peers_address (const struct hf_peers *peers)
{
  return hf_str (peers->text);
}

void
hf_peers_send (struct hf_peers *peers, const struct hf_effect *effect)
{
  char buffer[HF_WIRE_BYTES_MAX];
  GSocketAddress *to = find_address (peers, effect->address);
  size_t size = hf_wire_encode (&effect->message, buffer, sizeof buffer);
  if (!to || size == 0)
    return;
  /* A full socket buffer loses the datagram, as the network may. */
  gssize sent = g_socket_send_to (peers->socket, to, buffer, size, NULL, NULL);
  if (sent > 0)
    hf_state_counters (peers->loop->state)[HF_COUNT_BYTES_SENT] += (uint64_t) sent;
}
