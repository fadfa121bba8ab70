/**
 * DOC: hf-http-connection - connection of a caller, private to hf-http-server
 *
 * A connection holds the requests that were received and not answered yet, the
 * oldest first. Responses are sent in this order: what the owner sends for
 * another request than the oldest one is kept until its turn comes.
 *
 * A request may arrive while others are in progress. If the owner allows it to
 * overlap with them, it is reported at once; otherwise it is held back until
 * all before it have been answered and the connection stays open. A request
 * that is held back when the connection closes counts as not read.
 */
#ifndef HF_HTTP_CONNECTION_H
#define HF_HTTP_CONNECTION_H

#include "hf-http-server.h"

/* --- types --- */

struct hf_http_server
{
  struct hf_net *net;
  struct hf_listener *listener;
  const struct hf_http_server_callbacks *callbacks;
  void *context;
  struct hf_http_server_limits limits;
  GHashTable *connections; /* struct hf_http_connection, as a set */
  int64_t body_bytes;      /* of all requests that have not ended, as far as bodies are buffered */
  bool keep_alive_disabled;
  bool stopped;
  bool refuses_bodies; /* logged; until body_bytes are half of what they may be */
};

/** struct hf_http_connection - connection of a caller, reference-counted by g_rc_box */
struct hf_http_connection
{
  struct hf_http_server *server;
  struct hf_stream *stream; /* NULL: closed */
  struct hf_http_parser *parser;
  GQueue requests;         /* struct hf_http_request; only the newest may still be arriving */
  GByteArray *pending;     /* received bytes that are not parsed yet */
  int64_t active_at;       /* last time that bytes arrived, queued bytes were sent, or a request ended */
  size_t unsent_bytes;     /* queued at the last check for timeouts */
  int64_t head_started_at; /* first byte of the head being received; 0: none */
  int64_t linger_until;    /* end of the lingering close; 0: not closing */
  bool parsing;            /* received bytes are being passed to the parser */
};

/** struct hf_http_request - request of a caller, until its response is sent */
struct hf_http_request
{
  struct hf_http_connection *connection;
  void *data; /* the owner's */
  int64_t body_bytes;
  bool keep_alive;
  bool is_head_method; /* HEAD request: the response has no body */
  bool body_complete;
  bool body_paused;     /* the owner has paused the request body */
  bool body_was_paused; /* it has been paused before */
  bool response_started;
  bool response_finished;
  bool response_aborted; /* its turn came, or will come, with a response that cannot be completed */
  bool chunked;
  bool reported;                  /* on_head was called: the owner is to receive on_ended */
  struct hf_http_head *held_head; /* held back until all before it are answered; NULL: not held back */
  GByteArray *held_body;          /* bytes of its body that arrived together with the head */
  GByteArray *output;             /* response bytes that wait for their turn; NULL: none */
};

/* --- public functions: open and close --- */

struct hf_http_connection *hf_http_connection_open (struct hf_http_server *server, struct hf_stream *stream);
void hf_http_connection_close (struct hf_http_connection *connection, bool reset); /* ends all of its requests */
void hf_http_connection_start_linger (struct hf_http_connection *connection);      /* closes after what was queued */
void hf_http_connection_check_timeouts (struct hf_http_connection *connection, int64_t now);

#endif
