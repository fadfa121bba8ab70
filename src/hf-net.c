/* TCP streams and listeners on the event loop. */
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

#include "hf-log.h"

#include "config.h"

/* --- constants --- */

#define EPOLL_EVENTS_MAX        64
#define ACCEPT_PAUSE_MS         100 /* after accepting has failed for want of descriptors or memory */
#define LISTEN_BACKLOG          1024
#define READ_BUFFER_BYTES       (32 * 1024)
#define READS_PER_TURN_MAX      8           /* of one stream before other streams are served */
#define WRITE_BUFFER_KEPT_BYTES (16 * 1024) /* a larger write buffer is freed once empty */

/* --- types --- */

/* Target of an epoll event. First member of listeners and streams, which are cast from it. */
struct handle
{
  struct hf_net *net;
  int fd; /* -1: closed, freed later */
  void (*on_events) (struct handle *handle, uint32_t events);
};

struct hf_net
{
  int epoll; /* epoll descriptor */
  guint epoll_source;
  guint unread_source; /* idle source that continues reading; 0: none */
  GPtrArray *closed;   /* struct handle, to be freed */
  GPtrArray *unread;   /* streams that may have more bytes to read */
  char buffer[READ_BUFFER_BYTES];
};

struct hf_listener
{
  struct handle handle;
  void (*on_accepted) (void *context, struct hf_stream *stream);
  void *context;
  char address[64];
  guint resume_timer; /* accepting is paused until then; 0: it is not */
};

struct hf_stream
{
  struct handle handle;
  const struct hf_stream_callbacks *callbacks;
  void *context;
  GByteArray *write_buffer;
  size_t written; /* bytes of write_buffer already written */
  bool has_sent;  /* wrote a byte since hf_stream_clear_sent */
  bool connecting;
  bool writable;
  bool readable;
  bool paused;
  bool hung_up; /* the peer has closed; bytes may be left to read */
  bool ended;
  bool in_unread;             /* listed in hf_net.unread */
  enum hf_stream_end failure; /* the first error that the socket reported; HF_STREAM_OPEN: none */
};

/* --- internal functions: addresses --- */

static bool
parse_address (struct hf_str address, struct sockaddr_in *socket_address)
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
  *socket_address = (struct sockaddr_in){ .sin_family = AF_INET, .sin_port = htons ((uint16_t) port) };
  return inet_pton (AF_INET, text, &socket_address->sin_addr) == 1;
}

static void
set_socket_options (int fd)
{
  int on = 1;
  int user_timeout_ms = HF_TCP_USER_TIMEOUT_MS;
  int keep_alive_sec = HF_TCP_KEEP_ALIVE_SEC;
  int probes = HF_TCP_KEEP_ALIVE_PROBES;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof user_timeout_ms);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &keep_alive_sec, sizeof keep_alive_sec);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &keep_alive_sec, sizeof keep_alive_sec);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

/* --- internal functions: streams --- */

static gboolean process_unread (gpointer data);

static void
end_stream (struct hf_stream *stream, enum hf_stream_end end)
{
  if (stream->ended)
    return;
  stream->ended = true;
  if (stream->callbacks)
    stream->callbacks->on_ended (stream->context, end);
}

static void
clear_write_buffer (struct hf_stream *stream)
{
  stream->written = 0;
  if (stream->write_buffer->len > WRITE_BUFFER_KEPT_BYTES)
    {
      g_byte_array_unref (stream->write_buffer);
      stream->write_buffer = g_byte_array_new ();
    }
  else
    g_byte_array_set_size (stream->write_buffer, 0);
}

static void
add_to_unread (struct hf_stream *stream)
{
  if (stream->in_unread)
    return;
  stream->in_unread = true;
  g_ptr_array_add (stream->handle.net->unread, stream);
}

/* Reads the stream in the next turn of the main loop. */
static void
schedule_read (struct hf_stream *stream)
{
  struct hf_net *net = stream->handle.net;
  add_to_unread (stream);
  if (!net->unread_source)
    net->unread_source = g_idle_add (process_unread, net);
}

/* A socket reports an error once, to whichever call comes first; afterwards reads report a close in order. */
static void
record_failure (struct hf_stream *stream, int error, bool by_write)
{
  if (stream->failure == HF_STREAM_OPEN)
    stream->failure = hf_stream_end_of_error (error, by_write);
  stream->hung_up = true;
}

/* Looks whether a byte, the end or an error waits in the socket: as recv, 0 after a close, -1 and errno otherwise. */
static ssize_t
peek (struct hf_stream *stream)
{
  char byte;
  ssize_t received = recv (stream->handle.fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  int error = errno;
  if (received < 0 && error != EAGAIN && error != EWOULDBLOCK && error != EINTR)
    record_failure (stream, error, false);
  errno = error;
  return received;
}

static void
stop_writing (struct hf_stream *stream, int error)
{
  stream->writable = false;
  if (error == EAGAIN || error == EWOULDBLOCK)
    return;
  /* Reported by the next read, after the bytes that were still received. */
  record_failure (stream, error, true);
  stream->readable = true;
  schedule_read (stream);
}

/* A stream that is not read would not show that its peer has closed. */
static void
report_hang_up (struct hf_stream *stream)
{
  bool unnoticed = stream->paused && stream->hung_up && !stream->ended && stream->handle.fd >= 0;
  if (unnoticed && stream->callbacks && stream->callbacks->on_hung_up)
    stream->callbacks->on_hung_up (stream->context);
}

static void
read_stream (struct hf_stream *stream)
{
  struct hf_net *net = stream->handle.net;
  for (int i = 0; i < READS_PER_TURN_MAX; i++)
    {
      if (stream->handle.fd < 0 || stream->paused || stream->ended || !stream->readable || !stream->callbacks)
        return;
      ssize_t received = recv (stream->handle.fd, net->buffer, sizeof net->buffer, 0);
      if (received > 0)
        stream->callbacks->on_data (stream->context, (struct hf_str){ .data = net->buffer, .len = (size_t) received });
      else if (received == 0)
        end_stream (stream, stream->failure == HF_STREAM_OPEN ? HF_STREAM_CLOSED : stream->failure);
      else if (errno == EAGAIN || errno == EWOULDBLOCK)
        stream->readable = false;
      else if (errno != EINTR)
        {
          record_failure (stream, errno, false);
          end_stream (stream, stream->failure);
        }
    }
  if (stream->handle.fd >= 0 && stream->readable && !stream->ended)
    add_to_unread (stream);
}

static bool
finish_connect (struct hf_stream *stream)
{
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt (stream->handle.fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0)
    {
      end_stream (stream, HF_STREAM_CONNECT_FAILED);
      return false;
    }
  stream->connecting = false;
  stream->callbacks->on_connected (stream->context);
  return stream->handle.fd >= 0;
}

static void
on_stream_events (struct handle *handle, uint32_t events)
{
  struct hf_stream *stream = (struct hf_stream *) handle;
  if (stream->connecting && (events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) && !finish_connect (stream))
    return;
  if (stream->connecting)
    return;
  if (events & EPOLLOUT)
    {
      stream->writable = true;
      hf_stream_flush (stream);
    }
  if (handle->fd >= 0 && (events & (EPOLLIN | EPOLLRDHUP | EPOLLERR | EPOLLHUP)))
    {
      stream->readable = true;
      stream->hung_up = stream->hung_up || (events & (EPOLLRDHUP | EPOLLERR | EPOLLHUP)) != 0;
      read_stream (stream);
      report_hang_up (stream);
    }
}

static struct hf_stream *
add_stream (struct hf_net *net, int fd, bool connecting)
{
  struct hf_stream *stream = g_new0 (struct hf_stream, 1);
  stream->handle = (struct handle){ .net = net, .fd = fd, .on_events = on_stream_events };
  stream->write_buffer = g_byte_array_new ();
  stream->connecting = connecting;
  stream->writable = !connecting;
  set_socket_options (fd);
  struct epoll_event event = { .events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET, .data.ptr = stream };
  epoll_ctl (net->epoll, EPOLL_CTL_ADD, fd, &event);
  return stream;
}

static void
close_handle (struct handle *handle)
{
  if (handle->fd < 0)
    return;
  close (handle->fd);
  handle->fd = -1;
  g_ptr_array_add (handle->net->closed, handle);
}

static void
free_handle (struct handle *handle)
{
  if (handle->on_events == on_stream_events)
    g_byte_array_unref (((struct hf_stream *) handle)->write_buffer);
  g_free (handle);
}

/* --- internal functions: listeners --- */

static void
watch_listener (const struct hf_listener *listener, uint32_t events)
{
  struct epoll_event event = { .events = events, .data.ptr = (void *) listener };
  epoll_ctl (listener->handle.net->epoll, EPOLL_CTL_MOD, listener->handle.fd, &event);
}

static gboolean
resume_listener (gpointer data)
{
  struct hf_listener *listener = data;
  listener->resume_timer = 0;
  watch_listener (listener, EPOLLIN);
  return G_SOURCE_REMOVE;
}

/* The connection that could not be accepted stays in the kernel's queue and would wake the loop again at once. */
static void
pause_listener (struct hf_listener *listener, int cause)
{
  hf_log_write (HF_LOG_NOT_ACCEPTED, "%s: cannot accept a connection: %s; waiting %d ms", listener->address,
                g_strerror (cause), ACCEPT_PAUSE_MS);
  watch_listener (listener, 0);
  listener->resume_timer = g_timeout_add (ACCEPT_PAUSE_MS, resume_listener, listener);
}

static void
on_listener_events (struct handle *handle, uint32_t events)
{
  struct hf_listener *listener = (struct hf_listener *) handle;
  (void) events;
  while (handle->fd >= 0)
    {
      int fd = accept4 (handle->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0 && errno == EINTR)
        continue;
      if (fd < 0 && (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM))
        pause_listener (listener, errno);
      if (fd < 0)
        return;
      listener->on_accepted (listener->context, add_stream (handle->net, fd, false));
    }
}

/* --- internal functions: event loop --- */

static void
free_closed (struct hf_net *net)
{
  for (guint i = 0; i < net->closed->len; i++)
    free_handle (g_ptr_array_index (net->closed, i));
  g_ptr_array_set_size (net->closed, 0);
}

static gboolean
process_events (gint fd, GIOCondition condition, gpointer data)
{
  struct hf_net *net = data;
  struct epoll_event events[EPOLL_EVENTS_MAX];
  (void) condition;
  int n = epoll_wait (fd, events, EPOLL_EVENTS_MAX, 0);
  for (int i = 0; i < n; i++)
    {
      struct handle *handle = events[i].data.ptr;
      if (handle->fd >= 0)
        handle->on_events (handle, events[i].events);
    }
  /* Continues with the streams that have bytes left to read. Closed streams are freed only afterwards. */
  GPtrArray *unread = net->unread;
  net->unread = g_ptr_array_new ();
  for (guint i = 0; i < unread->len; i++)
    {
      struct hf_stream *stream = g_ptr_array_index (unread, i);
      stream->in_unread = false;
      read_stream (stream);
      report_hang_up (stream);
    }
  g_ptr_array_unref (unread);
  if (net->unread->len == 0)
    free_closed (net);
  return G_SOURCE_CONTINUE;
}

static gboolean
process_unread (gpointer data)
{
  struct hf_net *net = data;
  net->unread_source = 0;
  process_events (net->epoll, G_IO_IN, net);
  if (net->unread->len > 0)
    net->unread_source = g_idle_add (process_unread, net);
  return G_SOURCE_REMOVE;
}

static gboolean
on_epoll_ready (gint fd, GIOCondition condition, gpointer data)
{
  struct hf_net *net = data;
  process_events (fd, condition, net);
  if (net->unread->len > 0 && !net->unread_source)
    net->unread_source = g_idle_add (process_unread, net);
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
  net->epoll_source = g_unix_fd_add (net->epoll, G_IO_IN, on_epoll_ready, net);
  return net;
}

void
hf_net_close (struct hf_net *net)
{
  if (!net)
    return;
  if (net->unread_source)
    g_source_remove (net->unread_source);
  g_source_remove (net->epoll_source);
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
                  void (*on_accepted) (void *context, struct hf_stream *stream),
                  void *context,
                  struct hf_error *error)
{
  struct sockaddr_in socket_address;
  socklen_t size = sizeof socket_address;
  int on = 1;
  char text[INET_ADDRSTRLEN];
  if (!parse_address (address, &socket_address))
    {
      hf_error_set (error, HF_ERROR_INVALID, "cannot listen on " HF_STR_FMT ": not an IPv4 IP:PORT address",
                    HF_STR_ARG (address));
      return NULL;
    }
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd < 0 || bind (fd, (struct sockaddr *) &socket_address, size) != 0 || listen (fd, LISTEN_BACKLOG) != 0)
    {
      hf_error_set (error, errno == EADDRINUSE ? HF_ERROR_IN_USE : HF_ERROR_IO, "cannot listen on " HF_STR_FMT ": %s",
                    HF_STR_ARG (address), g_strerror (errno));
      if (fd >= 0)
        close (fd);
      return NULL;
    }
  getsockname (fd, (struct sockaddr *) &socket_address, &size);
  struct hf_listener *listener = g_new0 (struct hf_listener, 1);
  listener->handle = (struct handle){ .net = net, .fd = fd, .on_events = on_listener_events };
  listener->on_accepted = on_accepted;
  listener->context = context;
  g_snprintf (listener->address, sizeof listener->address, "%s:%u",
              inet_ntop (AF_INET, &socket_address.sin_addr, text, sizeof text),
              (unsigned) ntohs (socket_address.sin_port));
  struct epoll_event event = { .events = EPOLLIN, .data.ptr = listener };
  epoll_ctl (net->epoll, EPOLL_CTL_ADD, fd, &event);
  return listener;
}

void
hf_listener_accept_waiting (struct hf_listener *listener)
{
  on_listener_events (&listener->handle, EPOLLIN);
}

void
hf_listener_close (struct hf_listener *listener)
{
  if (!listener)
    return;
  if (listener->resume_timer)
    g_source_remove (listener->resume_timer);
  close_handle (&listener->handle);
}

struct hf_str
hf_listener_address (const struct hf_listener *listener)
{
  return hf_str (listener->address);
}

/* --- public functions: streams --- */

struct hf_stream *
hf_stream_connect (struct hf_net *net, struct hf_str address)
{
  struct sockaddr_in socket_address;
  if (!parse_address (address, &socket_address))
    return NULL;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return NULL;
  if (connect (fd, (struct sockaddr *) &socket_address, sizeof socket_address) != 0 && errno != EINPROGRESS)
    {
      close (fd);
      return NULL;
    }
  return add_stream (net, fd, true);
}

void
hf_stream_set_callbacks (struct hf_stream *stream, const struct hf_stream_callbacks *callbacks, void *context)
{
  stream->callbacks = callbacks;
  stream->context = context;
}

void
hf_stream_queue (struct hf_stream *stream, struct hf_str bytes)
{
  if (stream->handle.fd >= 0 && bytes.len > 0)
    g_byte_array_append (stream->write_buffer, (const guint8 *) bytes.data, (guint) bytes.len);
}

void
hf_stream_flush (struct hf_stream *stream)
{
  bool may_write = stream->writable && stream->failure == HF_STREAM_OPEN;
  if (stream->handle.fd < 0 || stream->connecting || !may_write || stream->write_buffer->len == 0)
    return;
  while (stream->written < stream->write_buffer->len)
    {
      ssize_t sent = send (stream->handle.fd, stream->write_buffer->data + stream->written,
                           stream->write_buffer->len - stream->written, MSG_NOSIGNAL);
      if (sent < 0 && errno == EINTR)
        continue;
      if (sent < 0)
        {
          stop_writing (stream, errno);
          return;
        }
      stream->has_sent = true;
      stream->written += (size_t) sent;
    }
  clear_write_buffer (stream);
  if (stream->callbacks && stream->callbacks->on_drained)
    stream->callbacks->on_drained (stream->context);
}

void
hf_stream_pause (struct hf_stream *stream, bool paused)
{
  if (stream->paused == paused)
    return;
  stream->paused = paused;
  bool has_work = paused ? stream->hung_up : stream->readable;
  if (!has_work || stream->handle.fd < 0)
    return;
  schedule_read (stream);
}

size_t
hf_stream_unsent_bytes (const struct hf_stream *stream)
{
  return stream->write_buffer->len - stream->written;
}

bool
hf_stream_has_sent (const struct hf_stream *stream)
{
  return stream->has_sent;
}

void
hf_stream_clear_sent (struct hf_stream *stream)
{
  stream->has_sent = false;
}

bool
hf_stream_is_open (const struct hf_stream *stream)
{
  bool has_ended = stream->ended || stream->failure != HF_STREAM_OPEN;
  return stream->handle.fd >= 0 && !stream->connecting && !has_ended;
}

bool
hf_stream_is_quiet (struct hf_stream *stream)
{
  return peek (stream) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool
hf_stream_has_hung_up (struct hf_stream *stream)
{
  return stream->hung_up || peek (stream) == 0 || stream->failure != HF_STREAM_OPEN;
}

void
hf_stream_shutdown_write (struct hf_stream *stream)
{
  if (stream->handle.fd >= 0)
    shutdown (stream->handle.fd, SHUT_WR);
}

void
hf_stream_close (struct hf_stream *stream)
{
  if (stream)
    close_handle (&stream->handle);
}

void
hf_stream_reset (struct hf_stream *stream)
{
  struct linger no_linger = { .l_onoff = 1, .l_linger = 0 };
  if (stream->handle.fd >= 0)
    setsockopt (stream->handle.fd, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
  hf_stream_close (stream);
}
