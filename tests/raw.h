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

/** struct raw_call - a caller's connection and what came on it */
struct raw_call
{
  struct hf_stream *stream;
  GString *got;
  GString *unsent; /* until the connection stands */
  gboolean ended;
  gboolean reset;
};

/* --- public functions: server --- */

struct raw_server *raw_open (struct hf_net *net,
                             void (*request) (void *context, struct raw_connection *connection, const char *text),
                             void *context);                       /* calls back with each whole request */
void raw_close (struct raw_server *server);                        /* ends its connections */
const char *raw_address (const struct raw_server *server);         /* IP:PORT */
gboolean raw_is_open (const struct raw_connection *connection);    /* ended by neither side */
void raw_answer_early (struct raw_server *server, gboolean early); /* calls back at the head, without the body */
void raw_send (struct raw_connection *connection, const char *format, ...) G_GNUC_PRINTF (2, 3); /* any bytes */
void raw_end (struct raw_connection *connection, gboolean reset); /* closes the connection */

/* --- public functions: caller --- */

struct raw_call *raw_call (struct hf_net *net, const char *address, const char *text); /* connects and sends */
void raw_more (struct raw_call *call, const char *text);                               /* sends more */
void raw_leave (struct raw_call *call);                                                /* closes, frees */
guint raw_status (const struct raw_call *call);   /* of the first answer, 0: none yet */
gboolean raw_whole (const struct raw_call *call); /* the first answer has its declared length */

#endif
