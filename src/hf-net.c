/* Sockets on the one loop. */
#define _GNU_SOURCE
#include "hf-net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "config.h"

/* --- constants --- */

#define EVENTS_MAX   64
#define LISTEN_QUEUE 1024
#define READ_BYTES   (32 * 1024)
#define READS_MAX    8           /* reads of one stream before others get a turn */
#define SHRINK_BYTES (16 * 1024) /* a larger write buffer is given back once empty */

/* --- types --- */

/* What an epoll event points to; first member of listeners and streams. */
struct watched
{
  struct hf_net *net;
  int fd; /* -1: closed, to be freed */
  void (*ready) (struct watched *watched, uint32_t events);
};

struct hf_net
{
  int epoll;
  guint source;
  guint again; /* source that serves streams with bytes left */
  GPtrArray *closed;
  GPtrArray *unread; /* streams that used up their turn */
  char buffer[READ_BYTES];
};

struct hf_listener
{
  struct watched watched;
  void (*accepted) (void *context, struct hf_stream *stream);
  void *context;
  char text[64];
};

struct hf_stream
{
  struct watched watched;
  const struct hf_stream_calls *calls;
  void *context;
  GByteArray *out;
  size_t sent; /* bytes of out that were written */
  bool handed;
  bool connecting;
  bool writable;
  bool readable;
  bool paused;
  bool ended;
  bool waiting; /* in the list of unread streams */
};

/* --- internal functions: addresses --- */

static bool
parse_address (struct hf_str address, struct sockaddr_in *where)
{
  char text[64];
  if (address.len >= sizeof text)
    return false;
  memcpy (text, address.data, address.len);
  text[address.len] = 0;
  char *colon = strrchr (text, ':');
  guint64 port;
  if (!colon || !g_ascii_string_to_unsigned (colon + 1, 10, 0, G_MAXUINT16, &port, NULL))
    return false;
  *colon = 0;
  *where = (struct sockaddr_in){ .sin_family = AF_INET, .sin_port = htons ((uint16_t) port) };
  return inet_pton (AF_INET, text, &where->sin_addr) == 1;
}

static void
set_options (int fd)
{
  int on = 1;
  int silent_ms = HF_SOCKET_SILENT_MS;
  int idle = HF_KEEP_ALIVE_SEC;
  int probes = HF_KEEP_ALIVE_PROBES;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silent_ms, sizeof silent_ms);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &idle, sizeof idle);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

/* --- internal functions: streams --- */

static void
end_stream (struct hf_stream *stream, enum hf_stream_end end)
{
  if (stream->ended)
    return;
  stream->ended = true;
  if (stream->calls)
    stream->calls->ended (stream->context, end);
}

static void
drop_sent (struct hf_stream *stream)
{
  stream->sent = 0;
  if (stream->out->len > SHRINK_BYTES)
    {
      g_byte_array_unref (stream->out);
      stream->out = g_byte_array_new ();
    }
  else
    g_byte_array_set_size (stream->out, 0);
}

static void
leave_for_later (struct hf_stream *stream)
{
  if (stream->waiting)
    return;
  stream->waiting = true;
  g_ptr_array_add (stream->watched.net->unread, stream);
}

static void
read_stream (struct hf_stream *stream)
{
  struct hf_net *net = stream->watched.net;
  for (int i = 0; i < READS_MAX; i++)
    {
      if (stream->watched.fd < 0 || stream->paused || stream->ended || !stream->readable || !stream->calls)
        return;
      ssize_t got = recv (stream->watched.fd, net->buffer, sizeof net->buffer, 0);
      if (got > 0)
        stream->calls->data (stream->context, (struct hf_str){ .data = net->buffer, .len = (size_t) got });
      else if (got == 0)
        end_stream (stream, HF_STREAM_CLOSED);
      else if (errno == EAGAIN || errno == EWOULDBLOCK)
        stream->readable = false;
      else if (errno != EINTR)
        end_stream (stream, HF_STREAM_BROKEN);
    }
  if (stream->watched.fd >= 0 && stream->readable && !stream->ended)
    leave_for_later (stream);
}

static bool
finish_connect (struct hf_stream *stream)
{
  int problem = 0;
  socklen_t size = sizeof problem;
  getsockopt (stream->watched.fd, SOL_SOCKET, SO_ERROR, &problem, &size);
  if (problem != 0)
    {
      end_stream (stream, HF_STREAM_NO_PATH);
      return false;
    }
  stream->connecting = false;
  stream->calls->connected (stream->context);
  return stream->watched.fd >= 0;
}

static void
stream_ready (struct watched *watched, uint32_t events)
{
  struct hf_stream *stream = (struct hf_stream *) watched;
  if (stream->connecting && (events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) && !finish_connect (stream))
    return;
  if (stream->connecting)
    return;
  if (events & EPOLLOUT)
    {
      stream->writable = true;
      hf_stream_flush (stream);
    }
  if (watched->fd >= 0 && (events & (EPOLLIN | EPOLLRDHUP | EPOLLERR | EPOLLHUP)))
    {
      stream->readable = true;
      read_stream (stream);
    }
}

static struct hf_stream *
add_stream (struct hf_net *net, int fd, bool connecting)
{
  struct hf_stream *stream = g_new0 (struct hf_stream, 1);
  stream->watched = (struct watched){ .net = net, .fd = fd, .ready = stream_ready };
  stream->out = g_byte_array_new ();
  stream->connecting = connecting;
  stream->writable = !connecting;
  set_options (fd);
  struct epoll_event event = { .events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET, .data.ptr = stream };
  epoll_ctl (net->epoll, EPOLL_CTL_ADD, fd, &event);
  return stream;
}

static void
close_watched (struct watched *watched)
{
  if (watched->fd < 0)
    return;
  close (watched->fd);
  watched->fd = -1;
  g_ptr_array_add (watched->net->closed, watched);
}

static void
free_watched (struct watched *watched)
{
  if (watched->ready == stream_ready)
    g_byte_array_unref (((struct hf_stream *) watched)->out);
  g_free (watched);
}

/* --- internal functions: listeners --- */

static void
listener_ready (struct watched *watched, uint32_t events)
{
  struct hf_listener *listener = (struct hf_listener *) watched;
  (void) events;
  while (watched->fd >= 0)
    {
      int fd = accept4 (watched->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0 && errno == EINTR)
        continue;
      if (fd < 0)
        return;
      listener->accepted (listener->context, add_stream (watched->net, fd, false));
    }
}

/* --- internal functions: the loop --- */

static void
free_closed (struct hf_net *net)
{
  for (guint i = 0; i < net->closed->len; i++)
    free_watched (g_ptr_array_index (net->closed, i));
  g_ptr_array_set_size (net->closed, 0);
}

static gboolean
serve (gint fd, GIOCondition condition, gpointer data)
{
  struct hf_net *net = data;
  struct epoll_event events[EVENTS_MAX];
  (void) condition;
  int n = epoll_wait (fd, events, EVENTS_MAX, 0);
  for (int i = 0; i < n; i++)
    {
      struct watched *watched = events[i].data.ptr;
      if (watched->fd >= 0)
        watched->ready (watched, events[i].events);
    }
  /* Streams whose turn was over; closed ones are still in memory. */
  GPtrArray *unread = net->unread;
  net->unread = g_ptr_array_new ();
  for (guint i = 0; i < unread->len; i++)
    {
      struct hf_stream *stream = g_ptr_array_index (unread, i);
      stream->waiting = false;
      read_stream (stream);
    }
  g_ptr_array_unref (unread);
  if (net->unread->len == 0)
    free_closed (net);
  return G_SOURCE_CONTINUE;
}

static gboolean
serve_again (gpointer data)
{
  struct hf_net *net = data;
  net->again = 0;
  serve (net->epoll, G_IO_IN, net);
  if (net->unread->len > 0)
    net->again = g_idle_add (serve_again, net);
  return G_SOURCE_REMOVE;
}

static gboolean
serve_ready (gint fd, GIOCondition condition, gpointer data)
{
  struct hf_net *net = data;
  serve (fd, condition, net);
  if (net->unread->len > 0 && !net->again)
    net->again = g_idle_add (serve_again, net);
  return G_SOURCE_CONTINUE;
}

/* --- public functions: init and close --- */

struct hf_net *
hf_net_open (void)
{
  struct hf_net *net = g_new0 (struct hf_net, 1);
  net->epoll = epoll_create1 (EPOLL_CLOEXEC);
  net->closed = g_ptr_array_new ();
  net->unread = g_ptr_array_new ();
  net->source = g_unix_fd_add (net->epoll, G_IO_IN, serve_ready, net);
  return net;
}

void
hf_net_close (struct hf_net *net)
{
  if (!net)
    return;
  if (net->again)
    g_source_remove (net->again);
  g_source_remove (net->source);
  free_closed (net);
  g_ptr_array_unref (net->closed);
  g_ptr_array_unref (net->unread);
  close (net->epoll);
  g_free (net);
}

/* --- public functions: listeners --- */

struct hf_listener *
hf_listener_open (struct hf_net *net,
                  struct hf_str address,
                  void (*accepted) (void *context, struct hf_stream *stream),
                  void *context,
                  struct hf_error *error)
{
  struct sockaddr_in where;
  socklen_t size = sizeof where;
  int on = 1;
  char text[INET_ADDRSTRLEN];
  if (!parse_address (address, &where))
    {
      hf_error_set (error, HF_ERROR_INVALID, "cannot listen on " HF_STR_FMT ": not IP:PORT", HF_STR_ARG (address));
      return NULL;
    }
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd < 0 || bind (fd, (struct sockaddr *) &where, size) != 0 || listen (fd, LISTEN_QUEUE) != 0)
    {
      hf_error_set (error, HF_ERROR_IO, "cannot listen on " HF_STR_FMT ": %s", HF_STR_ARG (address),
                    g_strerror (errno));
      if (fd >= 0)
        close (fd);
      return NULL;
    }
  getsockname (fd, (struct sockaddr *) &where, &size);
  struct hf_listener *listener = g_new0 (struct hf_listener, 1);
  listener->watched = (struct watched){ .net = net, .fd = fd, .ready = listener_ready };
  listener->accepted = accepted;
  listener->context = context;
  g_snprintf (listener->text, sizeof listener->text, "%s:%u", inet_ntop (AF_INET, &where.sin_addr, text, sizeof text),
              (unsigned) ntohs (where.sin_port));
  struct epoll_event event = { .events = EPOLLIN, .data.ptr = listener };
  epoll_ctl (net->epoll, EPOLL_CTL_ADD, fd, &event);
  return listener;
}

void
hf_listener_close (struct hf_listener *listener)
{
  if (listener)
    close_watched (&listener->watched);
}

struct hf_str
hf_listener_address (const struct hf_listener *listener)
{
  return hf_str (listener->text);
}

/* --- public functions: streams --- */

struct hf_stream *
hf_stream_connect (struct hf_net *net, struct hf_str address)
{
  struct sockaddr_in where;
  if (!parse_address (address, &where))
    return NULL;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return NULL;
  if (connect (fd, (struct sockaddr *) &where, sizeof where) != 0 && errno != EINPROGRESS)
    {
      close (fd);
      return NULL;
    }
  return add_stream (net, fd, true);
}

void
hf_stream_own (struct hf_stream *stream, const struct hf_stream_calls *calls, void *context)
{
  stream->calls = calls;
  stream->context = context;
}

void
hf_stream_queue (struct hf_stream *stream, struct hf_str bytes)
{
  if (stream->watched.fd >= 0 && bytes.len > 0)
    g_byte_array_append (stream->out, (const guint8 *) bytes.data, (guint) bytes.len);
}

void
hf_stream_flush (struct hf_stream *stream)
{
  if (stream->watched.fd < 0 || stream->connecting || !stream->writable || stream->out->len == 0)
    return;
  while (stream->sent < stream->out->len)
    {
      ssize_t put
          = send (stream->watched.fd, stream->out->data + stream->sent, stream->out->len - stream->sent, MSG_NOSIGNAL);
      if (put < 0 && errno == EINTR)
        continue;
      if (put < 0)
        {
          stream->writable = false;
          /* The reading side tells of a broken connection, after what still arrived on it. */
          return;
        }
      stream->handed = true;
      stream->sent += (size_t) put;
    }
  drop_sent (stream);
  if (stream->calls && stream->calls->drained)
    stream->calls->drained (stream->context);
}

void
hf_stream_pause (struct hf_stream *stream, bool paused)
{
  if (stream->paused == paused)
    return;
  stream->paused = paused;
  if (paused || !stream->readable || stream->watched.fd < 0)
    return;
  leave_for_later (stream);
  struct hf_net *net = stream->watched.net;
  if (!net->again)
    net->again = g_idle_add (serve_again, net);
}

size_t
hf_stream_unsent (const struct hf_stream *stream)
{
  return stream->out->len - stream->sent;
}

bool
hf_stream_handed (const struct hf_stream *stream)
{
  return stream->handed;
}

void
hf_stream_mark (struct hf_stream *stream)
{
  stream->handed = false;
}

bool
hf_stream_is_open (const struct hf_stream *stream)
{
  return stream->watched.fd >= 0 && !stream->connecting && !stream->ended;
}

void
hf_stream_finish (struct hf_stream *stream)
{
  if (stream->watched.fd >= 0)
    shutdown (stream->watched.fd, SHUT_WR);
}

void
hf_stream_close (struct hf_stream *stream)
{
  if (stream)
    close_watched (&stream->watched);
}

void
hf_stream_reset (struct hf_stream *stream)
{
  struct linger now = { .l_onoff = 1, .l_linger = 0 };
  if (stream->watched.fd >= 0)
    setsockopt (stream->watched.fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  hf_stream_close (stream);
}
