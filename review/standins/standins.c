/* Stand-ins for the platform's store, backend servers and callers. */
#define _GNU_SOURCE
#include "standins.h"

#include <arpa/inet.h>
#include <errno.h>
#include <json-glib/json-glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

/* --- constants --- */

#define SETTINGS_TEMPLATE "deploy/settings.yaml.in"
#ifndef PROGRAM
#define PROGRAM "target/hickoryd" /* first word of run in deploy/system.toml; the second is the settings file */
#endif
#define HEARTBEAT_MS   1500
#define LIST_ITEMS_MAX 500

/* --- record --- */

static FILE *record_file;
static GMutex record_mutex;
static int64_t record_start;
static GPtrArray *entries; /* struct entry, started */

int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

void
sleep_ms (unsigned ms)
{
  g_usleep (ms * 1000UL);
}

void
record_open (const char *path)
{
  signal (SIGPIPE, SIG_IGN);
  record_file = fopen (path, "w");
  record_start = now_ms ();
  entries = g_ptr_array_new ();
  if (!record_file)
    exit (2);
}

static void
record_line (const char *format, va_list args)
{
  g_mutex_lock (&record_mutex);
  fprintf (record_file, "%8.3f ", (double) (now_ms () - record_start) / 1000);
  vfprintf (record_file, format, args);
  fputc ('\n', record_file);
  fflush (record_file);
  g_mutex_unlock (&record_mutex);
}

void
record (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  record_line (format, args);
  va_end (args);
}

bool
trouble_wanted (void)
{
  return g_strcmp0 (g_getenv ("TROUBLE"), "0") != 0;
}

static void
remove_folder (const struct entry *entry)
{
  static const char *const files[] = { "local.yaml", "log" };
  for (size_t i = 0; i < G_N_ELEMENTS (files); i++)
    {
      char *file = g_build_filename (entry->folder, files[i], NULL);
      unlink (file);
      g_free (file);
    }
  rmdir (entry->folder);
}

static void
end_processes (void)
{
  for (guint i = 0; i < entries->len; i++)
    {
      struct entry *entry = g_ptr_array_index (entries, i);
      if (entry->pid <= 0)
        continue;
      kill (entry->pid, SIGCONT);
      kill (entry->pid, SIGKILL);
      waitpid (entry->pid, NULL, 0);
    }
  for (guint i = 0; i < entries->len && !g_getenv ("KEEP_LOGS"); i++)
    remove_folder (g_ptr_array_index (entries, i));
}

void
finish (bool broken)
{
  record ("result: the rule %s", broken ? "was broken" : "held");
  end_processes ();
  printf ("%s\n", broken ? "broken" : "held");
  fflush (stdout);
  _exit (broken ? 1 : 0);
}

void
give_up (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  record_line (format, args);
  va_end (args);
  end_processes ();
  printf ("could not run\n");
  fflush (stdout);
  _exit (2);
}

/* --- network --- */

int
listen_on_free_port (char address[32])
{
  struct sockaddr_in socket_address = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof socket_address;
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (address[0])
    {
      char *colon = strchr (address, ':');
      socket_address.sin_port = htons ((uint16_t) atoi (colon + 1));
    }
  if (fd < 0 || bind (fd, (struct sockaddr *) &socket_address, size) != 0 || listen (fd, 512) != 0)
    give_up ("cannot listen: %s", g_strerror (errno));
  getsockname (fd, (struct sockaddr *) &socket_address, &size);
  g_snprintf (address, 32, "127.0.0.1:%u", (unsigned) ntohs (socket_address.sin_port));
  return fd;
}

static void
find_free_port (char address[32])
{
  address[0] = 0;
  close (listen_on_free_port (address));
}

int
connect_to (const char *address)
{
  const char *colon = strchr (address, ':');
  struct sockaddr_in socket_address = { .sin_family = AF_INET,
                                        .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
                                        .sin_port = htons ((uint16_t) atoi (colon + 1)) };
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (fd, (struct sockaddr *) &socket_address, sizeof socket_address) == 0)
    return fd;
  close (fd);
  return -1;
}

bool
send_bytes (int fd, const void *bytes, size_t size)
{
  const char *at = bytes;
  while (size > 0)
    {
      ssize_t sent = send (fd, at, size, MSG_NOSIGNAL);
      if (sent < 0 && errno == EINTR)
        continue;
      if (sent <= 0)
        return false;
      at += sent;
      size -= (size_t) sent;
    }
  return true;
}

static bool
receive (struct connection *connection)
{
  guint8 buffer[65536];
  ssize_t size;
  do
    size = recv (connection->fd, buffer, sizeof buffer, 0);
  while (size < 0 && errno == EINTR);
  if (size <= 0)
    return false;
  g_byte_array_append (connection->received, buffer, (guint) size);
  return true;
}

bool
read_head (struct connection *connection, struct message *message)
{
  *message = (struct message){ 0 };
  if (!connection->received)
    connection->received = g_byte_array_new ();
  for (;;)
    {
      GByteArray *bytes = connection->received;
      char *end = bytes->len ? memmem (bytes->data, bytes->len, "\r\n\r\n", 4) : NULL;
      if (end)
        {
          size_t size = (size_t) (end - (char *) bytes->data);
          char *text = g_strndup ((char *) bytes->data, size);
          char *line_end = strstr (text, "\r\n");
          message->head = g_strdup (line_end ? line_end + 2 : "");
          if (line_end)
            *line_end = 0;
          message->first_line = text;
          message->body = g_byte_array_new ();
          g_byte_array_remove_range (bytes, 0, (guint) size + 4);
          return true;
        }
      if (!receive (connection))
        return false;
    }
}

const char *
header (const struct message *message, const char *name, char value[256])
{
  char **lines = g_strsplit (message->head, "\r\n", -1);
  size_t length = strlen (name);
  value[0] = 0;
  for (char **line = lines; *line; line++)
    if (g_ascii_strncasecmp (*line, name, length) == 0 && (*line)[length] == ':')
      g_strlcpy (value, g_strstrip (*line + length + 1), 256);
  g_strfreev (lines);
  return value;
}

static bool
take (struct connection *connection, GByteArray *to, size_t size)
{
  while (connection->received->len < size)
    if (!receive (connection))
      return false;
  if (to)
    g_byte_array_append (to, connection->received->data, (guint) size);
  g_byte_array_remove_range (connection->received, 0, (guint) size);
  return true;
}

static bool
read_chunk (struct connection *connection, GByteArray *body, bool *last)
{
  char *end;
  while (
      !(connection->received->len && (end = memmem (connection->received->data, connection->received->len, "\r\n", 2))))
    if (!receive (connection))
      return false;
  size_t line = (size_t) (end - (char *) connection->received->data);
  size_t size = strtoul ((char *) connection->received->data, NULL, 16);
  *last = size == 0;
  return take (connection, NULL, line + 2) && take (connection, body, size) && take (connection, NULL, 2);
}

void
read_body (struct connection *connection, struct message *message, bool until_close)
{
  char value[256];
  if (header (message, "Transfer-Encoding", value)[0])
    {
      bool last = false;
      while (!last)
        if (!read_chunk (connection, message->body, &last))
          return;
      message->complete = true;
    }
  else if (header (message, "Content-Length", value)[0])
    message->complete = take (connection, message->body, strtoul (value, NULL, 10));
  else if (until_close)
    {
      while (receive (connection))
        ;
      message->complete = true;
    }
  else
    message->complete = true;
}

void
message_clear (struct message *message)
{
  g_free (message->first_line);
  g_free (message->head);
  if (message->body)
    g_byte_array_unref (message->body);
  *message = (struct message){ 0 };
}

void
connection_clear (struct connection *connection, bool reset)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };
  if (connection->fd >= 0 && reset)
    setsockopt (connection->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  if (connection->fd >= 0)
    close (connection->fd);
  if (connection->received)
    g_byte_array_unref (connection->received);
  *connection = (struct connection){ .fd = -1 };
}

/* --- store --- */

struct object
{
  char *kind;
  char *name;
  char *spec;
  uint64_t revision;
  bool deleted;
};

struct store
{
  int listener;
  char address[32];
  GMutex mutex;
  GCond changed;
  GPtrArray *objects; /* struct object, sorted by name */
  uint64_t revision;
  gint silent;        /* calls get no answer, and their connections stay silent */
  gint watch_answers; /* events sent to watches of the configuration */
};

struct store_connection
{
  struct store *store;
  int fd;
};

static struct object *
find_object (struct store *store, const char *kind, const char *name)
{
  for (guint i = 0; i < store->objects->len; i++)
    {
      struct object *object = g_ptr_array_index (store->objects, i);
      if (strcmp (object->kind, kind) == 0 && strcmp (object->name, name) == 0)
        return object;
    }
  return NULL;
}

static gint
compare_objects (gconstpointer a, gconstpointer b)
{
  return strcmp ((*(struct object *const *) a)->name, (*(struct object *const *) b)->name);
}

static void
append_object (GString *text, const struct object *object)
{
  g_string_append_printf (text,
                          "{\"metadata\":{\"name\":\"%s\",\"revision\":%" G_GUINT64_FORMAT
                          ",\"created_rev\":1,\"finalizers\":[],\"deleting\":false},\"spec\":%s,\"status\":null}",
                          object->name, (guint64) object->revision, object->spec);
}

static void
change (struct store *store, const char *kind, const char *name, const char *spec, bool deleted)
{
  struct object *object = find_object (store, kind, name);
  if (!object)
    {
      object = g_new0 (struct object, 1);
      object->kind = g_strdup (kind);
      object->name = g_strdup (name);
      g_ptr_array_add (store->objects, object);
      g_ptr_array_sort (store->objects, compare_objects);
    }
  if (spec)
    {
      g_free (object->spec);
      object->spec = g_strdup (spec);
    }
  object->deleted = deleted;
  object->revision = ++store->revision;
  g_cond_broadcast (&store->changed);
}

void
store_put (struct store *store, const char *kind, const char *name, const char *spec)
{
  g_mutex_lock (&store->mutex);
  change (store, kind, name, spec, false);
  g_mutex_unlock (&store->mutex);
  record ("store: %s/%s written%s%s", kind, name, strcmp (kind, "servers") ? "" : ": ",
          strcmp (kind, "servers") ? "" : spec);
}

void
store_touch (struct store *store, const char *kind, const char *name, const char *spec)
{
  g_mutex_lock (&store->mutex);
  struct object *object = find_object (store, kind, name);
  if (object && !object->deleted)
    {
      g_free (object->spec);
      object->spec = g_strdup (spec);
    }
  g_mutex_unlock (&store->mutex);
}

void
store_delete (struct store *store, const char *kind, const char *name)
{
  g_mutex_lock (&store->mutex);
  if (find_object (store, kind, name))
    change (store, kind, name, NULL, true);
  g_mutex_unlock (&store->mutex);
  record ("store: %s/%s removed", kind, name);
}

void
store_set_silent (struct store *store, bool silent)
{
  g_atomic_int_set (&store->silent, silent);
  record ("store: %s", silent ? "silent" : "answers again");
}

unsigned
store_watch_answers (struct store *store)
{
  return (unsigned) g_atomic_int_get (&store->watch_answers);
}

static void
list_objects (struct store *store, const char *kind, const char *after, GString *body)
{
  unsigned n = 0;
  bool more = false;
  g_string_append (body, "{\"items\":[");
  for (guint i = 0; i < store->objects->len && !more; i++)
    {
      const struct object *object = g_ptr_array_index (store->objects, i);
      if (object->deleted || strcmp (object->kind, kind) != 0 || strcmp (object->name, after) <= 0)
        continue;
      if (n == LIST_ITEMS_MAX)
        more = true;
      else
        {
          g_string_append (body, n++ ? "," : "");
          append_object (body, object);
        }
    }
  g_string_append_printf (body, "],\"more\":%s,\"as_of\":%" G_GUINT64_FORMAT "}", more ? "true" : "false",
                          (guint64) store->revision);
}

static void
watch_objects (struct store *store, const char *kind, uint64_t since, int64_t wait_ms, GString *body)
{
  int64_t end = g_get_monotonic_time () + wait_ms * 1000;
  unsigned n = 0;
  for (;;)
    {
      g_string_assign (body, "{\"events\":[");
      for (guint i = 0; i < store->objects->len; i++)
        {
          const struct object *object = g_ptr_array_index (store->objects, i);
          if (object->revision <= since || strcmp (object->kind, kind) != 0)
            continue;
          g_string_append_printf (body, "%s{\"deleted\":%s,\"object\":", n++ ? "," : "",
                                  object->deleted ? "true" : "false");
          append_object (body, object);
          g_string_append_c (body, '}');
        }
      if (n > 0 || !g_cond_wait_until (&store->changed, &store->mutex, end))
        break;
    }
  g_string_append_printf (body, "],\"as_of\":%" G_GUINT64_FORMAT "}", (guint64) store->revision);
}

static unsigned
write_object (struct store *store, const char *method, const char *kind, const struct message *request, GString *body)
{
  JsonParser *parser = json_parser_new ();
  unsigned status = 400;
  if (json_parser_load_from_data (parser, (const char *) request->body->data, request->body->len, NULL))
    {
      JsonObject *root = json_node_get_object (json_parser_get_root (parser));
      const char *name = json_object_get_string_member (json_object_get_object_member (root, "metadata"), "name");
      char *spec = json_to_string (json_object_get_member (root, "spec"), FALSE);
      const struct object *object = find_object (store, kind, name);
      bool exists = object && !object->deleted;
      bool creates = strcmp (method, "POST") == 0;
      status = creates == exists ? (creates ? 409 : 404) : 200;
      if (status == 200)
        change (store, kind, name, spec, false);
      object = find_object (store, kind, name);
      if (object)
        append_object (body, object);
      g_free (spec);
    }
  g_object_unref (parser);
  return status;
}

static unsigned
answer_store_call (struct store *store, const struct message *request, GString *body)
{
  char **words = g_strsplit (request->first_line, " ", 3);
  char *question = strchr (words[1], '?');
  GHashTable *query = question ? g_uri_parse_params (question + 1, -1, "&", G_URI_PARAMS_NONE, NULL)
                               : g_hash_table_new (g_str_hash, g_str_equal);
  if (question)
    *question = 0;
  char **parts = g_strsplit (words[1], "/", -1);
  guint n = g_strv_length (parts);
  const char *kind = n > 3 ? parts[3] : "";
  const char *name = n > 4 ? parts[4] : NULL;
  const char *watch = g_hash_table_lookup (query, "watch");
  const char *wait = g_hash_table_lookup (query, "wait_ms");
  const char *after = g_hash_table_lookup (query, "after");
  unsigned status = 200;
  g_mutex_lock (&store->mutex);
  if (strcmp (words[0], "GET") != 0)
    status = write_object (store, words[0], kind, request, body);
  else if (name)
    {
      const struct object *object = find_object (store, kind, name);
      if (object && !object->deleted)
        append_object (body, object);
      else
        status = 404;
    }
  else if (watch)
    watch_objects (store, kind, strtoull (watch, NULL, 10), wait ? atoi (wait) : 0, body);
  else
    list_objects (store, kind, after ? after : "", body);
  g_mutex_unlock (&store->mutex);
  if (body->len == 0)
    g_string_assign (body, "{}");
  g_hash_table_destroy (query);
  g_strfreev (parts);
  g_strfreev (words);
  return status;
}

/* Returns false if the connection is of no more use. */
static bool
serve_store_call (struct store *store, struct connection *connection, const struct message *request)
{
  bool is_watch = strstr (request->first_line, "/config?watch=") != NULL;
  bool lost = g_atomic_int_get (&store->silent);
  GString *body = g_string_new (NULL);
  unsigned status = lost ? 0 : answer_store_call (store, request, body);
  lost = lost || g_atomic_int_get (&store->silent);
  if (lost)
    {
      record ("store: never answers %s", request->first_line);
      while (receive (connection))
        ;
      g_string_free (body, TRUE);
      return false;
    }
  char *head = g_strdup_printf ("HTTP/1.1 %u X\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
                                status, body->len);
  bool sent = send_bytes (connection->fd, head, strlen (head)) && send_bytes (connection->fd, body->str, body->len);
  if (is_watch)
    g_atomic_int_inc (&store->watch_answers);
  g_free (head);
  g_string_free (body, TRUE);
  return sent;
}

static gpointer
serve_store_connection (gpointer data)
{
  struct store_connection *job = data;
  struct connection connection = { .fd = job->fd };
  struct message request;
  bool open = true;
  while (open && read_head (&connection, &request))
    {
      read_body (&connection, &request, false);
      open = serve_store_call (job->store, &connection, &request);
      message_clear (&request);
    }
  connection_clear (&connection, false);
  g_free (job);
  return NULL;
}

static gpointer
accept_store_connections (gpointer data)
{
  struct store *store = data;
  for (;;)
    {
      int fd = accept4 (store->listener, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      int on = 1;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      struct store_connection *job = g_new0 (struct store_connection, 1);
      *job = (struct store_connection){ store, fd };
      g_thread_unref (g_thread_new ("store", serve_store_connection, job));
    }
  return NULL;
}

struct store *
store_start (void)
{
  struct store *store = g_new0 (struct store, 1);
  store->objects = g_ptr_array_new ();
  store->revision = 100;
  store->listener = listen_on_free_port (store->address);
  g_thread_unref (g_thread_new ("store", accept_store_connections, store));
  return store;
}

const char *
store_address (const struct store *store)
{
  return store->address;
}

/* --- backend servers --- */

struct backend_connection
{
  struct backend *backend;
  int fd;
};

static char *
load_field (struct backend *backend)
{
  return g_strdup_printf ("X-Backend-Load: %u,%u,%u,100\r\n", backend->running, backend->waiting, backend->slots);
}

void
backend_answer (struct backend *backend,
                struct connection *connection,
                const struct message *request,
                const char *status,
                const char *fields,
                const char *body)
{
  char id[256];
  if (backend->down)
    return; /* it has crashed meanwhile */
  header (request, "X-Attempt-Id", id);
  char *load = load_field (backend);
  char *text
      = g_strdup_printf ("HTTP/1.1 %s\r\n%s%s%s%s%sContent-Length: %zu\r\n\r\n%s", status,
                         id[0] ? "X-Attempt-Id: " : "", id, id[0] ? "\r\n" : "", load, fields, strlen (body), body);
  send_bytes (connection->fd, text, strlen (text));
  g_free (text);
  g_free (load);
}

/* False: the queue is full. */
static bool
take_slot (struct backend *backend)
{
  g_mutex_lock (&backend->mutex);
  bool fits = backend->running < backend->slots || backend->waiting < backend->queue;
  if (fits)
    {
      backend->waiting++;
      while (backend->running >= backend->slots)
        g_cond_wait (&backend->slot_freed, &backend->mutex);
      backend->waiting--;
      backend->running++;
    }
  g_mutex_unlock (&backend->mutex);
  return fits;
}

static void
free_slot (struct backend *backend)
{
  g_mutex_lock (&backend->mutex);
  backend->running--;
  g_cond_signal (&backend->slot_freed);
  g_mutex_unlock (&backend->mutex);
}

static void
run_request (struct backend *backend, struct connection *connection, const struct message *request)
{
  char id[256];
  char text[20];
  header (request, "X-Attempt-Id", id);
  if (!take_slot (backend))
    {
      record ("backend %s: not run id=%s: full", backend->id, id);
      backend_answer (backend, connection, request, "503 Service Unavailable", "X-Not-Executed: 1\r\n", "");
      return;
    }
  record ("backend %s: run id=%s line=\"%s\" bytes=%u digest=%s", backend->id, id, request->first_line,
          request->body->len, digest (request->body, text));
  sleep_ms (backend->work_ms);
  free_slot (backend);
  char *fields = g_strdup_printf ("X-Server-Stamp: %s.%s\r\n", backend->id, id);
  char *body = g_strdup_printf ("%s %u %s\n", id, request->body->len, text);
  backend_answer (backend, connection, request, "200 OK", fields, body);
  g_free (fields);
  g_free (body);
}

static bool
is_health_check (const struct message *request)
{
  return g_str_has_prefix (request->first_line, "GET /health ");
}

/* Returns false if the connection is to be closed. */
static bool
serve_request (struct backend *backend, struct connection *connection, struct message *request)
{
  char expected[256];
  char id[256];
  char *instance = g_strdup_printf ("X-Instance-Id: %s\r\n", backend->id);
  bool open = true;
  header (request, "X-Expect-Instance", expected);
  header (request, "X-Attempt-Id", id);
  if (is_health_check (request))
    backend_answer (backend, connection, request,
                    strcmp (backend->state, "ready") ? "503 Service Unavailable" : "200 OK", instance, "");
  else if (backend->before_body && !backend->before_body (backend, connection, request))
    open = false;
  else
    {
      read_body (connection, request, false);
      if (!request->complete)
        {
          record ("backend %s: incomplete id=%s bytes=%u", backend->id, id, request->body->len);
          open = false;
        }
      else if (expected[0] && strcmp (expected, backend->id) != 0)
        {
          record ("backend %s: not run id=%s: expects %s", backend->id, id, expected);
          backend_answer (backend, connection, request, "421 Misdirected Request", instance, "");
        }
      else if (!backend->before_run || backend->before_run (backend, connection, request))
        run_request (backend, connection, request);
    }
  g_free (instance);
  return open;
}

static gpointer
serve_backend_connection (gpointer data)
{
  struct backend_connection *job = data;
  struct backend *backend = job->backend;
  struct connection connection = { .fd = job->fd };
  struct message request;
  while (read_head (&connection, &request))
    {
      bool open = serve_request (backend, &connection, &request);
      message_clear (&request);
      if (!open)
        break;
    }
  g_mutex_lock (&backend->mutex);
  for (guint i = 0; i < backend->connections->len; i++)
    if (g_array_index (backend->connections, int, i) == job->fd)
      {
        g_array_remove_index_fast (backend->connections, i);
        break;
      }
  connection_clear (&connection, false);
  g_mutex_unlock (&backend->mutex);
  g_free (job);
  return NULL;
}

static gpointer
accept_backend_connections (gpointer data)
{
  struct backend *backend = data;
  int listener = backend->listener;
  for (;;)
    {
      int fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        return NULL;
      int on = 1;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      struct backend_connection *job = g_new0 (struct backend_connection, 1);
      *job = (struct backend_connection){ backend, fd };
      g_mutex_lock (&backend->mutex);
      g_array_append_val (backend->connections, fd);
      g_mutex_unlock (&backend->mutex);
      g_thread_unref (g_thread_new ("backend", serve_backend_connection, job));
    }
}

static char *
build_report (const struct backend *backend)
{
  return g_strdup_printf ("{\"address\":\"%s\",\"info\":{\"service\":\"%s\",\"version\":\"v1\",\"zone\":\"%s\","
                          "\"slots\":%u},\"status\":{\"state\":\"%s\",\"sequence\":%u,\"cold_left\":\"0ms\"},"
                          "\"born\":%" G_GINT64_FORMAT "}",
                          backend->address, backend->service, backend->zone, backend->slots, backend->state,
                          backend->sequence, (gint64) backend->born_ms);
}

void
backend_report (struct backend *backend)
{
  backend->sequence++;
  char *spec = build_report (backend);
  store_put (backend->store, "servers", backend->id, spec);
  g_free (spec);
}

static gpointer
send_heartbeats (gpointer data)
{
  struct backend *backend = data;
  for (;;)
    {
      sleep_ms (HEARTBEAT_MS);
      if (backend->down)
        continue;
      backend->sequence++;
      char *spec = build_report (backend);
      store_touch (backend->store, "servers", backend->id, spec);
      g_free (spec);
    }
  return NULL;
}

static void
begin_instance (struct backend *backend)
{
  backend->born_ms = g_get_real_time () / 1000;
  backend->sequence = 0;
  backend->state = "ready";
  backend->listener = listen_on_free_port (backend->address);
  backend->down = false;
  g_thread_unref (g_thread_new ("backend", accept_backend_connections, backend));
  backend_report (backend);
}

void
backend_start (struct backend *backend)
{
  g_mutex_init (&backend->mutex);
  g_cond_init (&backend->slot_freed);
  backend->connections = g_array_new (FALSE, FALSE, sizeof (int));
  begin_instance (backend);
  g_thread_unref (g_thread_new ("heartbeat", send_heartbeats, backend));
}

void
backend_crash (struct backend *backend)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };
  record ("backend %s: crashes", backend->id);
  backend->down = true;
  shutdown (backend->listener, SHUT_RDWR);
  close (backend->listener);
  g_mutex_lock (&backend->mutex);
  for (guint i = 0; i < backend->connections->len; i++)
    {
      int fd = g_array_index (backend->connections, int, i);
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
      shutdown (fd, SHUT_RD);
    }
  g_mutex_unlock (&backend->mutex);
}

void
backend_restart (struct backend *backend)
{
  record ("backend %s: starts again", backend->id);
  begin_instance (backend);
}

/* --- entries --- */

static char *
render_settings (const struct entry *entry, bool first_start)
{
  char *text = NULL;
  if (!g_file_get_contents (SETTINGS_TEMPLATE, &text, NULL, NULL))
    give_up ("no " SETTINGS_TEMPLATE);
  const char *const values[][2] = {
    { "{{node_name}}", entry->name },
    { "{{zone}}", entry->zone },
    { "{{listen.front}}", entry->front },
    { "{{listen.ready}}", entry->ready },
    { "{{ip}}:{{inner_port_range.0}}", entry->peers },
    { "{{ip}}:9464", entry->metrics },
    { "{{limits.cpu_share}}", "0.2" },
    { "{{#limits.link_mbps}}", "" },
    { "{{.}}", "1000.0" },
    { "{{/limits.link_mbps}}", "" },
    { "{{bootstrap}}", first_start ? "true" : "false" },
    { "{{platform.address}}", store_address (entry->store) },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (values); i++)
    {
      char **parts = g_strsplit (text, values[i][0], -1);
      g_free (text);
      text = g_strjoinv (values[i][1], parts);
      g_strfreev (parts);
    }
  if (strstr (text, "{{"))
    give_up ("unknown placeholder in " SETTINGS_TEMPLATE);
  return text;
}

void
entry_start (struct entry *entry, struct store *store, bool first_start)
{
  if (!entry->front[0])
    {
      find_free_port (entry->front);
      find_free_port (entry->ready);
      find_free_port (entry->peers);
      find_free_port (entry->metrics);
      if (!entry->folder[0])
        {
          char *folder = g_dir_make_tmp ("review-XXXXXX", NULL);
          if (!folder)
            give_up ("no temporary folder");
          g_strlcpy (entry->folder, folder, sizeof entry->folder);
          g_free (folder);
          g_ptr_array_add (entries, entry);
        }
    }
  entry->store = store;
  char *settings = render_settings (entry, first_start);
  char *file = g_build_filename (entry->folder, "local.yaml", NULL);
  char *log = g_build_filename (entry->folder, "log", NULL);
  g_file_set_contents (file, settings, -1, NULL);
  entry->pid = fork ();
  if (entry->pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (!freopen (log, "a", stdout) || !freopen (log, "a", stderr))
        _exit (127);
      execl (PROGRAM, PROGRAM, file, NULL);
      _exit (127);
    }
  record ("entry %s: started, process %d, front %s", entry->name, entry->pid, entry->front);
  g_free (settings);
  g_free (file);
  g_free (log);
}

bool
entry_is_ready (const struct entry *entry)
{
  struct connection connection = { .fd = connect_to (entry->ready) };
  if (connection.fd < 0)
    return false;
  struct answer answer = caller_send (&connection, "GET", "ready", "/healthz", "", 0, NULL, 0);
  connection_clear (&connection, false);
  return answer.status == 200;
}

bool
entry_wait_ready (const struct entry *entry, unsigned timeout_ms)
{
  for (unsigned waited = 0; waited < timeout_ms; waited += 50)
    {
      if (entry_is_ready (entry))
        return true;
      if (!entry_is_running (entry))
        return false;
      sleep_ms (50);
    }
  return false;
}

void
entry_signal (const struct entry *entry, int number)
{
  record ("entry %s: signal %d", entry->name, number);
  kill (entry->pid, number);
}

bool
entry_is_running (const struct entry *entry)
{
  siginfo_t info = { 0 };
  if (waitid (P_PID, (id_t) entry->pid, &info, WEXITED | WNOHANG | WNOWAIT) == 0 && info.si_pid == 0)
    return true;
  int status = info.si_status;
  record ("entry %s: the process has ended, status 0x%x", entry->name, (unsigned) status);
  return false;
}

/* --- callers --- */

GByteArray *
make_body (size_t size, const char *seed)
{
  GByteArray *body = g_byte_array_sized_new ((guint) size + 32);
  for (unsigned i = 0; body->len < size; i++)
    {
      char line[64];
      g_snprintf (line, sizeof line, "%s:%08u\n", seed, i);
      g_byte_array_append (body, (const guint8 *) line, (guint) strlen (line));
    }
  g_byte_array_set_size (body, (guint) size);
  return body;
}

const char *
digest (const GByteArray *bytes, char text[20])
{
  char *full = g_compute_checksum_for_data (G_CHECKSUM_SHA256, bytes->data, bytes->len);
  g_strlcpy (text, full, 17);
  g_free (full);
  return text;
}

static bool
send_chunked (int fd, const GByteArray *body, size_t chunk_bytes)
{
  for (size_t at = 0; at < body->len; at += chunk_bytes)
    {
      size_t size = MIN (chunk_bytes, body->len - at);
      char line[24];
      g_snprintf (line, sizeof line, "%zx\r\n", size);
      if (!send_bytes (fd, line, strlen (line)) || !send_bytes (fd, body->data + at, size)
          || !send_bytes (fd, "\r\n", 2))
        return false;
    }
  return send_bytes (fd, "0\r\n\r\n", 5);
}

struct answer
read_answer (struct connection *connection)
{
  struct answer answer = { 0 };
  struct message response;
  char value[256];
  do
    {
      if (!read_head (connection, &response))
        return answer;
      answer.status = (unsigned) atoi (response.first_line + strlen ("HTTP/1.1 "));
    }
  while (answer.status / 100 == 1);
  read_body (connection, &response, true);
  answer.complete = response.complete;
  g_strlcpy (answer.stamp, header (&response, "X-Server-Stamp", value), sizeof answer.stamp);
  size_t size = MIN (response.body->len, sizeof answer.body - 1);
  if (size > 0)
    memcpy (answer.body, response.body->data, size);
  g_strchomp (answer.body);
  message_clear (&response);
  return answer;
}

struct answer
caller_send (struct connection *connection,
             const char *method,
             const char *host,
             const char *path,
             const char *id,
             unsigned deadline_ms,
             const GByteArray *body,
             size_t chunk_bytes)
{
  GString *head = g_string_new (NULL);
  g_string_printf (head, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, host);
  if (id[0])
    g_string_append_printf (head, "X-Attempt-Id: %s\r\nX-Deadline-Ms: %u\r\n", id, deadline_ms);
  if (body && chunk_bytes)
    g_string_append (head, "Transfer-Encoding: chunked\r\n");
  else if (body)
    g_string_append_printf (head, "Content-Length: %u\r\n", body->len);
  g_string_append (head, "\r\n");
  send_bytes (connection->fd, head->str, head->len);
  g_string_free (head, TRUE);
  if (body && chunk_bytes)
    send_chunked (connection->fd, body, chunk_bytes);
  else if (body)
    send_bytes (connection->fd, body->data, body->len);
  return read_answer (connection);
}
