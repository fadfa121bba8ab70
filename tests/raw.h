/**
 * DOC: raw - HTTP server and client that send arbitrary bytes
 *
 * For tests of input that a correct HTTP library never sends: extra responses,
 * responses without a length, resets, request heads that two hops parse
 * differently.
 */
#ifndef RAW_H
#define RAW_H

#include "hf-net.h"

struct raw_server;
struct raw_connection;

/* --- types --- */

/** struct raw_client - one client connection and the bytes received on it */
struct raw_client
{
  struct hf_stream *stream;
  GString *received;
  GString *unsent; /* bytes to send once the connection is established */
  gboolean ended;  /* closed by the server or broken */
  gboolean reset;  /* ended otherwise than by an orderly close */
};

/* --- public functions: server --- */

/* Listens on a free loopback port and calls on_request with each complete request; bodies hold no NUL byte. */
struct raw_server *
raw_server_open (struct hf_net *net,
                 void (*on_request) (void *context, struct raw_connection *connection, const char *text),
                 void *context);
void raw_server_close (struct raw_server *server);                /* closes its connections, frees everything */
const char *raw_server_address (const struct raw_server *server); /* IP:PORT, also while it refuses connections */
void raw_server_set_refusing (struct raw_server *server);         /* from now on its port refuses connections */
/* TRUE: calls on_request after each head, without waiting for the body. */
void raw_server_set_head_only (struct raw_server *server, gboolean head_only);
gboolean raw_connection_is_open (const struct raw_connection *connection); /* closed by neither side */
/* Sends formatted bytes as they are. */
void raw_connection_send (struct raw_connection *connection, const char *format, ...) G_GNUC_PRINTF (2, 3);
gsize raw_connection_unsent_bytes (const struct raw_connection *connection);   /* queued, not yet written */
void raw_connection_close (struct raw_connection *connection, gboolean reset); /* closes in order or by a reset */
void raw_connection_shut_down (struct raw_connection *connection); /* ends the sending side, reads no further bytes */

/* --- public functions: client --- */

/* Connects and sends the request. */
struct raw_client *raw_client_connect (struct hf_net *net, const char *address, const char *request);
void raw_client_send (struct raw_client *client, const char *bytes); /* sends more bytes */
void raw_client_close (struct raw_client *client);                   /* closes the connection, frees everything */
void raw_client_reset (struct raw_client *client);                   /* the same by a reset */
guint raw_client_status (const struct raw_client *client);           /* status of the first response, 0: none yet */
gboolean raw_client_has_response (const struct raw_client *client);  /* first response has its declared length */

#endif
