/**
 * DOC: raw - a server and a caller that write any bytes
 *
 * For tests of what a well-behaved library would never send: extra answers,
 * answers without a length, resets, heads that two hops read differently.
 */
#ifndef RAW_H
#define RAW_H

#include "hf-net.h"

struct raw_server;
struct raw_connection;

/* --- types --- */

/** struct raw_client - a caller's connection and what came on it */
struct raw_client
{
  struct hf_stream *stream;
  GString *received;
  GString *unsent; /* until the connection stands */
  gboolean ended;
  gboolean reset;
};

/* --- public functions: server --- */

struct raw_server *
raw_server_open (struct hf_net *net,
                 void (*on_request) (void *context, struct raw_connection *connection, const char *text),
                 void *context);                                           /* calls back with each whole request */
void raw_server_close (struct raw_server *server);                         /* ends its connections */
const char *raw_server_address (const struct raw_server *server);          /* IP:PORT */
gboolean raw_connection_is_open (const struct raw_connection *connection); /* ended by neither side */
void raw_server_set_head_only (struct raw_server *server,
                               gboolean head_only); /* calls back at the head, without the body */
void raw_connection_send (struct raw_connection *connection, const char *format, ...)
    G_GNUC_PRINTF (2, 3);                                                      /* any bytes */
void raw_connection_close (struct raw_connection *connection, gboolean reset); /* closes the connection */

/* --- public functions: caller --- */

struct raw_client *
raw_client_connect (struct hf_net *net, const char *address, const char *request); /* connects and sends */
void raw_client_send (struct raw_client *client, const char *bytes);               /* sends more */
void raw_client_close (struct raw_client *client);                                 /* closes, frees */
guint raw_client_status (const struct raw_client *client);          /* of the first answer, 0: none yet */
gboolean raw_client_has_response (const struct raw_client *client); /* the first answer has its declared length */

#endif
