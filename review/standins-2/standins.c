/* Stand-ins for the review. */
#define _GNU_SOURCE
#include "standins.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define IP              "127.0.0.1"
#define OBJECTS_MAX     1024
#define HISTORY_MAX     8192
#define WATCHES_MAX     256
#define PIDS_MAX        512
#define STORE_ANSWER_MS 4
#define FIRST_PORT      15000
#define PORTS           16000

/* --- clock and record --- */

static int64_t
monotonic_ms (void)
{
  struct timespec at;
  clock_gettime (CLOCK_MONOTONIC, &at);
  return (int64_t) at.tv_sec * 1000 + at.tv_nsec / 1000000;
}

int64_t
now_ms (void)
{
  static int64_t start;
  int64_t now = monotonic_ms ();
  if (!start)
    start = now;
  return now - start;
}

void
sleep_ms (int64_t ms)
{
  struct timespec time = { ms / 1000, (ms % 1000) * 1000000 };
  if (ms > 0)
    while (nanosleep (&time, &time) != 0 && errno == EINTR)
      ;
}

void
sleep_until (int64_t at_ms)
{
  sleep_ms (at_ms - now_ms ());
}

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

void
record_open (const char *path)
{
  record_file = fopen (path, "w");
  now_ms ();
}

void
record (const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  pthread_mutex_lock (&record_lock);
  if (record_file)
    {
      fprintf (record_file, "%8.3f ", (double) now_ms () / 1000);
      vfprintf (record_file, format, arguments);
      fputc ('\n', record_file);
      fflush (record_file);
    }
  pthread_mutex_unlock (&record_lock);
  va_end (arguments);
}

/* --- HTTP messages --- */

int
listen_on (const char *ip, int *port)
{
  int on = 1;
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t) *port) };
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  inet_pton (AF_INET, ip, &address.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *) &address, size) != 0 || listen (fd, 512) != 0)
    {
      close (fd);
      return -1;
    }
  getsockname (fd, (struct sockaddr *) &address, &size);
  *port = ntohs (address.sin_port);
  return fd;
}

int
connect_to (const char *ip, int port, int timeout_ms)
{
  int on = 1;
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t) port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  inet_pton (AF_INET, ip, &address.sin_addr);
  if (connect (fd, (struct sockaddr *) &address, sizeof address) != 0)
    {
      struct pollfd item = { .fd = fd, .events = POLLOUT };
      int error = 0;
      socklen_t size = sizeof error;
      if (errno != EINPROGRESS || poll (&item, 1, timeout_ms) != 1
          || getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
        {
          close (fd);
          return -1;
        }
    }
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) & ~O_NONBLOCK);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

bool
send_all (int fd, const void *bytes, size_t len)
{
  const char *at = bytes;
  while (len > 0)
    {
      ssize_t sent = send (fd, at, len, MSG_NOSIGNAL);
      if (sent < 0 && errno == EINTR)
        continue;
      if (sent <= 0)
        return false;
      at += sent;
      len -= (size_t) sent;
    }
  return true;
}

static ssize_t
read_some (int fd, char *buffer, size_t size, int64_t until_ms)
{
  struct pollfd item = { .fd = fd, .events = POLLIN };
  int64_t left = until_ms - now_ms ();
  if (left <= 0 || poll (&item, 1, (int) left) != 1)
    return -1;
  return recv (fd, buffer, size, 0);
}

bool
head_field (const char *head, const char *name, char *value, size_t size)
{
  size_t name_len = strlen (name);
  for (const char *line = strstr (head, "\r\n"); line; line = strstr (line, "\r\n"))
    {
      line += 2;
      if (strncasecmp (line, name, name_len) != 0 || line[name_len] != ':')
        continue;
      const char *begin = line + name_len + 1;
      begin += strspn (begin, " \t");
      size_t len = strcspn (begin, "\r");
      snprintf (value, size, "%.*s", (int) len, begin);
      return true;
    }
  return false;
}

int
head_status (const char *head)
{
  return strncmp (head, "HTTP/1.1 ", 9) == 0 ? atoi (head + 9) : 0;
}

static void
append_body (struct message *message, const char *bytes, size_t len)
{
  message->body = realloc (message->body, message->body_len + len + 1);
  memcpy (message->body + message->body_len, bytes, len);
  message->body_len += len;
  message->body[message->body_len] = 0;
}

/* Reads byte by byte where framing needs it: the stand-ins have little load. */
static bool
read_line (int fd, char *line, size_t size, int64_t until_ms)
{
  size_t len = 0;
  while (len + 1 < size)
    {
      if (read_some (fd, line + len, 1, until_ms) != 1)
        return false;
      if (line[len++] == '\n')
        break;
    }
  line[len] = 0;
  return true;
}

static bool
read_exactly (int fd, struct message *message, size_t len, int64_t until_ms)
{
  char buffer[65536];
  while (len > 0)
    {
      ssize_t got = read_some (fd, buffer, len < sizeof buffer ? len : sizeof buffer, until_ms);
      if (got <= 0)
        return false;
      append_body (message, buffer, (size_t) got);
      len -= (size_t) got;
    }
  return true;
}

bool
read_message (int fd, struct message *message, bool is_response, int64_t until_ms)
{
  char value[128];
  size_t len = 0;
  *message = (struct message){ .body_complete = false };
  while (len + 1 < sizeof message->head)
    {
      char line[8192];
      if (!read_line (fd, line, sizeof line, until_ms))
        return false;
      size_t line_len = strlen (line);
      if (len + line_len + 1 >= sizeof message->head)
        return false;
      memcpy (message->head + len, line, line_len + 1);
      len += line_len;
      if (strcmp (line, "\r\n") == 0 && len > 2)
        break;
    }
  int status = is_response ? head_status (message->head) : 0;
  if (head_field (message->head, "Transfer-Encoding", value, sizeof value))
    {
      for (;;)
        {
          char line[256];
          if (!read_line (fd, line, sizeof line, until_ms))
            return false;
          size_t size = strtoul (line, NULL, 16);
          if (size > 0 && !read_exactly (fd, message, size, until_ms))
            return false;
          if (!read_line (fd, line, sizeof line, until_ms))
            return false;
          if (size == 0)
            break;
        }
    }
  else if (head_field (message->head, "Content-Length", value, sizeof value))
    {
      if (!read_exactly (fd, message, strtoul (value, NULL, 10), until_ms))
        return false;
    }
  else if (is_response && status != 204 && status != 304 && status / 100 != 1)
    {
      char buffer[65536];
      for (;;)
        {
          ssize_t got = read_some (fd, buffer, sizeof buffer, until_ms);
          if (got < 0)
            return false;
          if (got == 0)
            break;
          append_body (message, buffer, (size_t) got);
        }
    }
  message->body_complete = true;
  return true;
}

void
message_free (struct message *message)
{
  free (message->body);
  message->body = NULL;
}

void
start_thread (void *(*function) (void *), void *context)
{
  pthread_t thread;
  pthread_attr_t attributes;
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, 512 * 1024);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attributes, function, context) != 0)
    abort ();
  pthread_attr_destroy (&attributes);
}

/* --- the platform's store --- */

struct object
{
  char kind[32];
  char name[192];
  char *spec;
  uint64_t revision;
  uint64_t created;
};

struct change
{
  char kind[32];
  uint64_t revision;
  bool deleted;
  char *text; /* the object */
};

struct watch
{
  int entry;
  char kind[32];
  bool in_use;
};

static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed;
static struct object objects[OBJECTS_MAX];
static int n_objects;
static struct change history[HISTORY_MAX];
static int n_history;
static uint64_t revision = 10;
static struct watch watches[WATCHES_MAX];
static int store_ports[64];
volatile bool store_is_down[64];

static char *
object_text (const struct object *object)
{
  char *text;
  if (asprintf (&text,
                "{\"metadata\":{\"name\":\"%s\",\"revision\":%llu,\"created_rev\":%llu,\"finalizers\":[],\"deleting\":"
                "false},\"spec\":%s,\"status\":null}",
                object->name, (unsigned long long) object->revision, (unsigned long long) object->created, object->spec)
      < 0)
    abort ();
  return text;
}

static struct object *
find_object (const char *kind, const char *name)
{
  for (int i = 0; i < n_objects; i++)
    if (strcmp (objects[i].kind, kind) == 0 && strcmp (objects[i].name, name) == 0)
      return &objects[i];
  return NULL;
}

static void
add_change (const struct object *object, bool deleted)
{
  if (n_history == HISTORY_MAX)
    abort ();
  struct change *change = &history[n_history++];
  snprintf (change->kind, sizeof change->kind, "%s", object->kind);
  change->revision = revision;
  change->deleted = deleted;
  change->text = object_text (object);
  pthread_cond_broadcast (&store_changed);
}

/* With the lock held. */
static struct object *
put_object (const char *kind, const char *name, const char *spec)
{
  struct object *object = find_object (kind, name);
  if (object && strcmp (object->spec, spec) == 0)
    return object;
  revision++;
  if (!object)
    {
      if (n_objects == OBJECTS_MAX)
        abort ();
      object = &objects[n_objects++];
      *object = (struct object){ .created = revision };
      snprintf (object->kind, sizeof object->kind, "%s", kind);
      snprintf (object->name, sizeof object->name, "%s", name);
    }
  free (object->spec);
  object->spec = strdup (spec);
  object->revision = revision;
  add_change (object, false);
  return object;
}

int64_t
store_put (const char *kind, const char *name, const char *spec)
{
  pthread_mutex_lock (&store_lock);
  put_object (kind, name, spec);
  int64_t at = now_ms ();
  pthread_mutex_unlock (&store_lock);
  return at;
}

int64_t
store_delete (const char *kind, const char *name)
{
  pthread_mutex_lock (&store_lock);
  struct object *object = find_object (kind, name);
  if (object)
    {
      revision++;
      object->revision = revision;
      add_change (object, true);
      free (object->spec);
      *object = objects[--n_objects];
    }
  int64_t at = now_ms ();
  pthread_mutex_unlock (&store_lock);
  return at;
}

bool
store_is_watched_by (int entry, const char *kind)
{
  bool found = false;
  pthread_mutex_lock (&store_lock);
  for (int i = 0; i < WATCHES_MAX; i++)
    found = found || (watches[i].in_use && watches[i].entry == entry && strcmp (watches[i].kind, kind) == 0);
  pthread_mutex_unlock (&store_lock);
  return found;
}

static bool
query_value (const char *query, const char *name, char *value, size_t size)
{
  size_t name_len = strlen (name);
  for (const char *at = query; at && *at; at = strchr (at, '&') ? strchr (at, '&') + 1 : NULL)
    if (strncmp (at, name, name_len) == 0 && at[name_len] == '=')
      {
        snprintf (value, size, "%.*s", (int) strcspn (at + name_len + 1, "&"), at + name_len + 1);
        return true;
      }
  return false;
}

static bool
respond (int fd, int status, const char *body)
{
  char head[256];
  snprintf (head, sizeof head, "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n", status,
            strlen (body));
  return send_all (fd, head, strlen (head)) && send_all (fd, body, strlen (body));
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp ((*(struct object *const *) a)->name, (*(struct object *const *) b)->name);
}

static bool
respond_list (int fd, const char *kind, const char *after)
{
  struct object *found[OBJECTS_MAX];
  size_t n = 0;
  char *body;
  size_t size;
  FILE *out = open_memstream (&body, &size);
  pthread_mutex_lock (&store_lock);
  for (int i = 0; i < n_objects; i++)
    if (strcmp (objects[i].kind, kind) == 0 && strcmp (objects[i].name, after) > 0)
      found[n++] = &objects[i];
  qsort (found, n, sizeof *found, compare_names);
  fputs ("{\"items\":[", out);
  for (size_t i = 0; i < n; i++)
    {
      char *text = object_text (found[i]);
      fprintf (out, "%s%s", i ? "," : "", text);
      free (text);
    }
  fprintf (out, "],\"more\":false,\"as_of\":%llu}", (unsigned long long) revision);
  pthread_mutex_unlock (&store_lock);
  fclose (out);
  bool ok = respond (fd, 200, body);
  free (body);
  return ok;
}

static bool
has_ended (int fd)
{
  char byte;
  ssize_t got = recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

static bool
respond_watch (int fd, int entry, const char *kind, uint64_t from, int64_t wait_ms)
{
  int64_t until = now_ms () + wait_ms;
  int slot = 0;
  bool some = false;
  pthread_mutex_lock (&store_lock);
  while (slot < WATCHES_MAX - 1 && watches[slot].in_use)
    slot++;
  watches[slot] = (struct watch){ .entry = entry, .in_use = true };
  snprintf (watches[slot].kind, sizeof watches[slot].kind, "%s", kind);
  for (;;)
    {
      for (int i = n_history; i-- > 0 && history[i].revision > from;)
        some = some || strcmp (history[i].kind, kind) == 0;
      int64_t left = until - now_ms ();
      if (some || left <= 0 || has_ended (fd))
        break;
      struct timespec at;
      clock_gettime (CLOCK_MONOTONIC, &at);
      int64_t step = left < 50 ? left : 50;
      at.tv_nsec += step * 1000000;
      at.tv_sec += at.tv_nsec / 1000000000;
      at.tv_nsec %= 1000000000;
      pthread_cond_timedwait (&store_changed, &store_lock, &at);
    }
  char *body;
  size_t size;
  bool first = true;
  FILE *out = open_memstream (&body, &size);
  fputs ("{\"events\":[", out);
  for (int i = 0; i < n_history; i++)
    if (history[i].revision > from && strcmp (history[i].kind, kind) == 0)
      {
        fprintf (out, "%s{\"deleted\":%s,\"object\":%s}", first ? "" : ",", history[i].deleted ? "true" : "false",
                 history[i].text);
        first = false;
      }
  fprintf (out, "],\"as_of\":%llu}", (unsigned long long) revision);
  fclose (out);
  watches[slot].in_use = false;
  pthread_mutex_unlock (&store_lock);
  sleep_ms (STORE_ANSWER_MS);
  bool ok = respond (fd, 200, body);
  free (body);
  return ok;
}

/* The value of "spec" in a body: up to the brace that closes it. */
static char *
spec_of (const char *body)
{
  const char *begin = body ? strstr (body, "\"spec\":") : NULL;
  if (!begin)
    return strdup ("{}");
  begin += 7;
  int depth = 0;
  const char *at = begin;
  for (; *at; at++)
    {
      depth += *at == '{';
      depth -= *at == '}';
      if (*at == '}' && depth == 0)
        break;
    }
  return strndup (begin, (size_t) (at - begin) + 1);
}

static bool
respond_write (int fd, const char *method, const char *kind, const char *name, const struct message *request)
{
  char new_name[64] = "";
  char *spec = spec_of (request->body);
  const char *at = request->body ? strstr (request->body, "\"name\":\"") : NULL;
  if (at)
    snprintf (new_name, sizeof new_name, "%.*s", (int) strcspn (at + 8, "\""), at + 8);
  pthread_mutex_lock (&store_lock);
  const char *target = *name ? name : new_name;
  struct object *object = find_object (kind, target);
  int status = 200;
  if (strcmp (method, "POST") == 0 && object)
    status = 409;
  else if (strcmp (method, "PUT") == 0 && !object)
    status = 404;
  else
    {
      object = put_object (kind, target, spec);
      status = strcmp (method, "POST") == 0 ? 201 : 200;
    }
  char *text = object ? object_text (object) : strdup ("{}");
  pthread_mutex_unlock (&store_lock);
  bool ok = respond (fd, status, text);
  free (text);
  free (spec);
  return ok;
}

static bool
respond_object (int fd, const char *kind, const char *name)
{
  pthread_mutex_lock (&store_lock);
  struct object *object = find_object (kind, name);
  char *text = object ? object_text (object) : strdup ("{}");
  pthread_mutex_unlock (&store_lock);
  bool ok = respond (fd, object ? 200 : 404, text);
  free (text);
  return ok;
}

static bool
respond_to_call (int fd, int entry, const struct message *request)
{
  char method[16] = "", target[1024] = "", kind[64] = "", name[64] = "", value[64];
  sscanf (request->head, "%15s %1023s", method, target);
  char *query = strchr (target, '?');
  if (query)
    *query++ = 0;
  sscanf (target, "/v1/objects/%63[^/]/%63[^/]", kind, name);
  if (strcmp (method, "GET") != 0)
    return respond_write (fd, method, kind, name, request);
  if (*name)
    return respond_object (fd, kind, name);
  if (query && query_value (query, "watch", value, sizeof value))
    {
      uint64_t from = strtoull (value, NULL, 10);
      int64_t wait_ms = query_value (query, "wait_ms", value, sizeof value) ? atoll (value) : 0;
      return respond_watch (fd, entry, kind, from, wait_ms);
    }
  char after[64] = "";
  if (query)
    query_value (query, "after", after, sizeof after);
  return respond_list (fd, kind, after);
}

struct peer
{
  int fd;
  int entry;
  struct backend *backend;
};

static void *
serve_store (void *context)
{
  struct peer peer = *(struct peer *) context;
  struct message request;
  free (context);
  while (read_message (peer.fd, &request, false, now_ms () + 120000))
    {
      sleep_ms (STORE_ANSWER_MS);
      bool ok = !store_is_down[peer.entry] && respond_to_call (peer.fd, peer.entry, &request);
      message_free (&request);
      if (!ok)
        break;
    }
  close (peer.fd);
  return NULL;
}

static void *
accept_for_store (void *context)
{
  struct peer listener = *(struct peer *) context;
  free (context);
  for (;;)
    {
      int fd = accept4 (listener.fd, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      struct peer *peer = malloc (sizeof *peer);
      *peer = (struct peer){ .fd = fd, .entry = listener.entry };
      start_thread (serve_store, peer);
    }
  return NULL;
}

void
store_start (int entries)
{
  pthread_condattr_t attributes;
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&store_changed, &attributes);
  for (int i = 0; i < entries; i++)
    {
      struct peer *peer = calloc (1, sizeof *peer);
      peer->fd = listen_on (IP, &store_ports[i]);
      peer->entry = i;
      start_thread (accept_for_store, peer);
    }
}

int
store_port (int entry)
{
  return store_ports[entry];
}

/* --- backend servers --- */

static void
body_for (const char *id, char *body, size_t size)
{
  snprintf (body, size, "answer to %s\n", id);
}

void
backend_answer (int fd, const char *id, const char *stamp, const char *body)
{
  char text[1024];
  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: %s\r\nContent-Length: %zu\r\n\r\n%s", id, stamp,
            strlen (body), body);
  send_all (fd, text, strlen (text));
}

static void
answer_health (const struct backend *backend, int fd)
{
  char text[512];
  snprintf (text, sizeof text,
            "HTTP/1.1 %d X\r\nX-Instance-Id: %s\r\nX-Backend-Load: 0,0,%d,100\r\nContent-Length: 0\r\n\r\n",
            backend->draining ? 503 : 200, backend->id, backend->slots);
  send_all (fd, text, strlen (text));
}

static void *
serve_backend (void *context)
{
  struct peer peer = *(struct peer *) context;
  struct backend *backend = peer.backend;
  struct message request;
  free (context);
  while (read_message (peer.fd, &request, false, now_ms () + 10000))
    {
      char id[128] = "", expected[256] = "", body[256], stamp[512];
      bool handled = false;
      if (backend->stopped)
        {
          message_free (&request);
          break;
        }
      head_field (request.head, "X-Attempt-Id", id, sizeof id);
      head_field (request.head, "X-Expect-Instance", expected, sizeof expected);
      if (strncmp (request.head, "GET /health ", 12) == 0)
        {
          answer_health (backend, peer.fd);
          handled = true;
        }
      else if (strcmp (expected, backend->id) != 0)
        {
          char text[512];
          snprintf (text, sizeof text,
                    "HTTP/1.1 421 X\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id,
                    backend->id);
          send_all (peer.fd, text, strlen (text));
          handled = true;
        }
      else if (backend->answer)
        handled = backend->answer (backend, peer.fd, &request, id);
      if (!handled)
        {
          sleep_ms (backend->work_ms);
          body_for (id, body, sizeof body);
          snprintf (stamp, sizeof stamp, "%s.%s", backend->id, id);
          backend_answer (peer.fd, id, stamp, body);
        }
      message_free (&request);
    }
  close (peer.fd);
  return NULL;
}

static void *
accept_for_backend (void *context)
{
  struct backend *backend = context;
  while (!backend->stopped)
    {
      struct pollfd item = { .fd = backend->listener, .events = POLLIN };
      if (poll (&item, 1, 50) != 1)
        continue;
      int fd = accept4 (backend->listener, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      int on = 1;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      struct peer *peer = malloc (sizeof *peer);
      *peer = (struct peer){ .fd = fd, .backend = backend };
      start_thread (serve_backend, peer);
    }
  close (backend->listener);
  return NULL;
}

void
backend_start (struct backend *backend)
{
  struct timespec at;
  clock_gettime (CLOCK_REALTIME, &at);
  if (!backend->born)
    backend->born = (int64_t) at.tv_sec * 1000 + at.tv_nsec / 1000000;
  backend->listener = listen_on (IP, &backend->port);
  start_thread (accept_for_backend, backend);
}

int64_t
backend_report (struct backend *backend)
{
  char spec[1024];
  snprintf (spec, sizeof spec,
            "{\"address\":\"" IP ":%d\",\"born\":%lld,\"info\":{\"service\":\"%s\",\"version\":\"v1\",\"zone\":\"%s\","
            "\"slots\":%d},\"status\":{\"state\":\"%s\",\"sequence\":%d,\"cold_left\":\"0ms\"}}",
            backend->port, (long long) backend->born, backend->service, backend->zone, backend->slots,
            backend->draining ? "draining" : "ready", ++backend->sequence);
  return store_put ("servers", backend->id, spec);
}

/* --- hickoryd --- */

static char folder[128];
static pid_t pids[PIDS_MAX];
static int n_pids;

void
folder_open (void)
{
  const char *base = getenv ("TMPDIR");
  snprintf (folder, sizeof folder, "%s/review-XXXXXX", base ? base : "/tmp");
  if (!mkdtemp (folder))
    abort ();
}

void
folder_remove (void)
{
  char command[256];
  snprintf (command, sizeof command, "rm -rf '%s'", folder);
  if (system (command) != 0)
    fprintf (stderr, "cannot remove %s\n", folder);
}

/* Below the ports that the kernel gives to outgoing connections, so that none of these takes one before it is used. */
static int
next_port (void)
{
  static int port;
  if (!port)
    port = FIRST_PORT + (int) (getpid () * 997L + monotonic_ms ()) % PORTS;
  port = port + 1 < FIRST_PORT + PORTS ? port + 1 : FIRST_PORT;
  return port;
}

static int
free_port (void)
{
  for (;;)
    {
      int port = next_port ();
      int fd = listen_on (IP, &port);
      if (fd < 0)
        continue;
      close (fd);
      return port;
    }
}

static int
free_udp_port (void)
{
  for (;;)
    {
      struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t) next_port ()) };
      int fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
      inet_pton (AF_INET, IP, &address.sin_addr);
      bool is_free = bind (fd, (struct sockaddr *) &address, sizeof address) == 0;
      close (fd);
      if (is_free)
        return ntohs (address.sin_port);
    }
}

void
entry_prepare (struct entry *entry)
{
  entry->front = free_port ();
  entry->ready = free_port ();
  entry->metrics = free_port ();
  entry->peers = free_udp_port ();
}

void
entry_start (struct entry *entry)
{
  snprintf (entry->settings, sizeof entry->settings, "%s/%s.yaml", folder, entry->name);
  snprintf (entry->log, sizeof entry->log, "%s/%s.log", folder, entry->name);
  FILE *file = fopen (entry->settings, "w");
  fprintf (file,
           "name: \"%s\"\nfailure_domain: \"%s\"\nlisten: \"" IP ":%d\"\nadmin: \"" IP ":%d\"\npeers: \"" IP
           ":%d\"\ncpu_share: 0.2\nlink_mbps: 1000.0\nfirst_start: %s\nstore: \"" IP
           ":%d\"\ndrain_wait_ms: 2600\ngrace_ms: 5600\nmetrics: \"" IP ":%d\"\n%s",
           entry->name, entry->zone, entry->front, entry->ready, entry->peers, entry->first_start ? "true" : "false",
           store_port (entry->index), entry->metrics, entry->more_settings ? entry->more_settings : "");
  fclose (file);
  pid_t pid = fork ();
  if (pid == 0)
    {
      static char *environment[] = { "PATH=/usr/bin:/bin", "LANG=C", NULL };
      char *arguments[] = { "target/hickoryd", entry->settings, NULL };
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      int log = open (entry->log, O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2 (log, 1);
      dup2 (log, 2);
      execve ("target/hickoryd", arguments, environment);
      _exit (127);
    }
  entry->pid = pid;
  pids[n_pids++] = pid;
}

bool
entry_is_ready (const struct entry *entry)
{
  struct message response;
  int fd = connect_to (IP, entry->ready, 300);
  if (fd < 0)
    return false;
  static const char *const text = "GET /healthz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
  bool ok = send_all (fd, text, strlen (text)) && read_message (fd, &response, true, now_ms () + 500)
            && head_status (response.head) == 200;
  close (fd);
  return ok;
}

static void
forget_pid (pid_t pid)
{
  for (int i = 0; i < n_pids; i++)
    if (pids[i] == pid)
      pids[i--] = pids[--n_pids];
}

void
entry_signal (struct entry *entry, int signal)
{
  if (entry->pid > 0)
    kill (entry->pid, signal);
}

int
entry_wait (struct entry *entry, int64_t timeout_ms)
{
  int64_t until = now_ms () + timeout_ms;
  int status = 0;
  do
    {
      if (waitpid (entry->pid, &status, WNOHANG) == entry->pid)
        {
          forget_pid (entry->pid);
          entry->pid = 0;
          return status;
        }
      sleep_ms (5);
    }
  while (now_ms () < until);
  return -1;
}

void
end_all (void)
{
  for (int i = 0; i < n_pids; i++)
    {
      kill (pids[i], SIGCONT);
      kill (pids[i], SIGKILL);
      waitpid (pids[i], NULL, 0);
    }
  n_pids = 0;
}

static void
on_end_signal (int signal)
{
  (void) signal;
  end_all ();
  folder_remove ();
  _exit (2);
}

void
end_on_signals (void)
{
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_end_signal);
  signal (SIGINT, on_end_signal);
}

/* --- callers --- */

struct outcome
call (int port,
      const char *method,
      const char *host,
      const char *path,
      const char *id,
      const char *more_fields,
      const char *body,
      size_t body_len,
      int deadline_ms)
{
  struct outcome outcome = { .sent_at = now_ms () };
  struct message response = { .body = NULL };
  char head[2048];
  int64_t until = outcome.sent_at + deadline_ms;
  int fd = connect_to (IP, port, 1000);
  outcome.connected = fd >= 0;
  if (fd < 0)
    {
      outcome.ended_at = now_ms ();
      return outcome;
    }
  int len = snprintf (head, sizeof head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n%s",
                      method, path, host, id, deadline_ms, more_fields ? more_fields : "");
  if (body)
    len += snprintf (head + len, sizeof head - (size_t) len, "Content-Length: %zu\r\n", body_len);
  len += snprintf (head + len, sizeof head - (size_t) len, "\r\n");
  if (send_all (fd, head, (size_t) len) && (!body || send_all (fd, body, body_len)))
    {
      bool complete = read_message (fd, &response, true, until);
      outcome.got_bytes = response.head[0] != 0;
      snprintf (outcome.head, sizeof outcome.head, "%s", response.head);
      outcome.status = complete ? head_status (response.head) : 0;
      outcome.body = response.body;
      outcome.body_len = response.body_len;
    }
  outcome.ended_at = now_ms ();
  close (fd);
  return outcome;
}
