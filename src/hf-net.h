/**
 * DOC: hf-net - sockets on the one loop
 *
 * One epoll descriptor, attached to GLib's main context as a single source,
 * serves every TCP socket: GLib would wake its context for each descriptor
 * added or removed. A stream reports bytes, the end and a drained queue to
 * its owner through callbacks.
 */
#ifndef HF_NET_H
#define HF_NET_H

#include <glib.h>

#include "hf-base.h"

struct hf_net;
struct hf_stream;
struct hf_listener;

/* --- types --- */

/** enum hf_stream_end - how a stream ended */
enum hf_stream_end
{
  HF_STREAM_CLOSED,         /* the other side closed in order */
  HF_STREAM_BROKEN,         /* reset, or an error of the socket */
  HF_STREAM_CONNECT_FAILED, /* the connection was never established */
};

/**
 * struct hf_stream_callbacks - what the owner of a stream is told
 * @on_connected: an outgoing connection stands
 * @on_data: bytes arrived
 * @on_drained: everything queued was handed to the system
 * @on_ended: no more bytes; the owner closes the stream
 */
struct hf_stream_callbacks
{
  void (*on_connected) (void *context);
  void (*on_data) (void *context, struct hf_str bytes);
  void (*on_drained) (void *context);
  void (*on_ended) (void *context, enum hf_stream_end end);
};

/* --- public functions: init and close --- */

struct hf_net *hf_net_open (void);      /* attached to the default main context */
void hf_net_close (struct hf_net *net); /* frees what was closed; streams and listeners must be closed before */

/* --- public functions: listeners --- */

struct hf_listener *hf_listener_open (struct hf_net *net,
                                      struct hf_str address,
                                      void (*on_accepted) (void *context, struct hf_stream *stream),
                                      void *context,
                                      struct hf_error *error);          /* IP:PORT; NULL and *error */
void hf_listener_close (struct hf_listener *listener);                  /* takes no more connections */
struct hf_str hf_listener_address (const struct hf_listener *listener); /* where it listens */

/* --- public functions: streams --- */

struct hf_stream *hf_stream_connect (struct hf_net *net, struct hf_str address); /* NULL: bad address or no socket */
void hf_stream_set_callbacks (struct hf_stream *stream,
                              const struct hf_stream_callbacks *callbacks,
                              void *context);                         /* sets the owner */
void hf_stream_queue (struct hf_stream *stream, struct hf_str bytes); /* queues, does not write yet */
void hf_stream_flush (struct hf_stream *stream);                      /* writes what the socket takes */
void hf_stream_pause (struct hf_stream *stream, bool paused);         /* stops or resumes reading */
size_t hf_stream_unsent_bytes (const struct hf_stream *stream);       /* bytes queued */
bool hf_stream_has_sent (const struct hf_stream *stream);             /* a byte went out since the last mark */
void hf_stream_clear_sent (struct hf_stream *stream);                 /* starts hf_stream_has_sent anew */
bool hf_stream_is_open (const struct hf_stream *stream);              /* established and not ended */
void hf_stream_shutdown_write (struct hf_stream *stream); /* no more bytes will be queued; reading goes on */
void hf_stream_close (struct hf_stream *stream);          /* closes in order; unsent bytes are dropped */
void hf_stream_reset (struct hf_stream *stream);          /* closes with a reset */

#endif
