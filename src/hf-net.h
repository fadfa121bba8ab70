/**
 * DOC: hf-net - TCP streams and listeners on the event loop
 *
 * A single epoll descriptor, attached to GLib's main context as one source,
 * handles every TCP socket. With one GLib source per socket, GLib would wake
 * its main context for each descriptor that is added or removed. A stream
 * reports received bytes, an empty write buffer and its end to its owner
 * through callbacks.
 */
#ifndef HF_NET_H
#define HF_NET_H

#include <glib.h>

#include "hf-base.h"
#include "hf-stream-end.h"

struct hf_net;
struct hf_stream;
struct hf_listener;

/* --- types --- */

/**
 * struct hf_stream_callbacks - events that a stream reports to its owner
 * @on_connected: an outgoing connection is established
 * @on_data: bytes arrived
 * @on_drained: every queued byte was written to the socket
 * @on_ended: no more bytes will arrive; the owner has to close the stream
 * @on_hung_up: the peer has closed while reading is paused; what it sent before has not been read. NULL: shown by
 *              @on_ended only, once all is read
 */
struct hf_stream_callbacks
{
  void (*on_connected) (void *context);
  void (*on_data) (void *context, struct hf_str bytes);
  void (*on_drained) (void *context);
  void (*on_ended) (void *context, enum hf_stream_end end);
  void (*on_hung_up) (void *context);
};

/* --- public functions: init and close --- */

struct hf_net *hf_net_open (void);      /* attached to the default main context */
void hf_net_close (struct hf_net *net); /* frees closed streams and listeners; all must be closed before */

/* --- public functions: listeners --- */

/* Listens on address (IP:PORT); returns NULL and sets *error on failure. */
struct hf_listener *hf_listener_open (struct hf_net *net,
                                      struct hf_str address,
                                      void (*on_accepted) (void *context, struct hf_stream *stream),
                                      void *context,
                                      struct hf_error *error);
void hf_listener_accept_waiting (struct hf_listener *listener);         /* accepts what waits in the kernel's queue */
void hf_listener_close (struct hf_listener *listener);                  /* stops accepting connections */
struct hf_str hf_listener_address (const struct hf_listener *listener); /* listening address, IP:PORT */

/* --- public functions: streams --- */

/* Starts connecting to address (IP:PORT); NULL if the address is invalid or the attempt failed immediately. */
struct hf_stream *hf_stream_connect (struct hf_net *net, struct hf_str address);
/* Sets the owner's callbacks; no data is read from the socket before. */
void hf_stream_set_callbacks (struct hf_stream *stream, const struct hf_stream_callbacks *callbacks, void *context);
void hf_stream_queue (struct hf_stream *stream, struct hf_str bytes); /* appends to the write buffer */
void hf_stream_flush (struct hf_stream *stream);                      /* writes until the socket buffer is full */
void hf_stream_pause (struct hf_stream *stream, bool paused);         /* stops or resumes reading */
size_t hf_stream_unsent_bytes (const struct hf_stream *stream);       /* queued, not yet written */
bool hf_stream_has_sent (const struct hf_stream *stream);             /* wrote a byte since hf_stream_clear_sent */
void hf_stream_clear_sent (struct hf_stream *stream);                 /* resets hf_stream_has_sent */
bool hf_stream_is_open (const struct hf_stream *stream);              /* established, not ended, failed or closed */
bool hf_stream_is_quiet (struct hf_stream *stream);                   /* no byte or end waits in the socket */
bool hf_stream_has_hung_up (struct hf_stream *stream);                /* the peer has closed; bytes may be unread */
void hf_stream_shutdown_write (struct hf_stream *stream); /* sends the end of the stream; reading continues */
void hf_stream_close (struct hf_stream *stream);          /* closes in order; queued bytes are dropped */
void hf_stream_reset (struct hf_stream *stream);          /* closes with a TCP reset */

#endif
