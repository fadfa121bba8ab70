/*
 * Fake platform for tests and benchmarks: objects and VMs as JSON over HTTP,
 * with versions, conditional updates and watches, and switches for its
 * failures.
 *
 * Prints "listening IP:PORT". Switches, by GET /fake/set?NAME=VALUE:
 *   down=1        closes every connection without a response
 *   slow_ms=N     delays every response but watches by N ms
 *   lose=N        applies the next N writes and drops their responses
 *   frozen=1      keeps watches open and sends nothing on them
 *   rollback=NAME restores the data before the last write of object NAME
 * GET /fake/stats returns "reads N writes N watches N".
 */
#include <glib-unix.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "hf-soup.h"

/* --- constants --- */

#define API_PREFIX  "/apis/hickoryfield/v1/"
#define BOOKMARK_MS 1000

/* --- types --- */

/* A stored object or VM. */
struct item
{
  char *collection;
  char *name;
  guint64 version;
  char *data;     /* JSON of the member "data" */
  char *previous; /* data before the last write, or NULL */
};

/* An open watch. */
struct watcher
{
  SoupServerMessage *message;
  char *collection;
  char *name; /* NULL: every object of the collection */
};

struct platform
{
  SoupServer *server;
  GHashTable *items; /* struct item by "collection/name" */
  GPtrArray *watchers;
  guint64 version;
  gboolean unreachable;
  gboolean watches_frozen;
  int response_delay_ms;
  int responses_to_drop; /* to the next writes */
  guint read_count;
  guint write_count;
  guint watch_count;
};

/* --- internal functions: objects --- */

static void
free_item (gpointer data)
{
  struct item *item = data;
  g_free (item->collection);
  g_free (item->name);
  g_free (item->data);
  g_free (item->previous);
  g_free (item);
}

static char *
item_json (const struct item *item)
{
  return g_strdup_printf ("{\"metadata\":{\"name\":\"%s\",\"resourceVersion\":\"%" G_GUINT64_FORMAT "\"},\"data\":%s}",
                          item->name, item->version, item->data);
}

static char *
metadata_json (const struct item *item)
{
  return g_strdup_printf ("{\"metadata\":{\"name\":\"%s\",\"resourceVersion\":\"%" G_GUINT64_FORMAT "\"}}", item->name,
                          item->version);
}

static void
drop_connection (SoupServerMessage *message)
{
  GSocket *socket = soup_server_message_get_socket (message);
  if (socket)
    shutdown (g_socket_get_fd (socket), SHUT_RDWR);
}

static void
send_watch_event (struct watcher *watcher, const char *type, const char *json)
{
  char *line = g_strdup_printf ("{\"type\":\"%s\",\"object\":%s}\n", type, json);
  soup_message_body_append (soup_server_message_get_response_body (watcher->message), SOUP_MEMORY_TAKE, line,
                            strlen (line));
  soup_server_message_unpause (watcher->message);
}

static gboolean
watcher_matches (const struct watcher *watcher, const struct item *item)
{
  if (strcmp (watcher->collection, item->collection) != 0)
    return FALSE;
  return !watcher->name || strcmp (watcher->name, item->name) == 0;
}

static void
notify_watchers (struct platform *platform, const char *type, const struct item *item)
{
  char *json = item_json (item);
  for (guint i = 0; i < platform->watchers->len && !platform->watches_frozen; i++)
    if (watcher_matches (g_ptr_array_index (platform->watchers, i), item))
      send_watch_event (g_ptr_array_index (platform->watchers, i), type, json);
  g_free (json);
}

static struct item *
store_item (struct platform *platform, const char *collection, const char *name, char *data)
{
  char *key = g_strdup_printf ("%s/%s", collection, name);
  struct item *item = g_hash_table_lookup (platform->items, key);
  if (!item)
    {
      item = g_new0 (struct item, 1);
      item->collection = g_strdup (collection);
      item->name = g_strdup (name);
      g_hash_table_insert (platform->items, g_strdup (key), item);
    }
  g_free (key);
  g_free (item->previous);
  item->previous = item->data;
  item->data = data;
  item->version = ++platform->version;
  notify_watchers (platform, "MODIFIED", item);
  return item;
}

/* --- internal functions: responses --- */

static void
respond (struct platform *platform, SoupServerMessage *message, guint status, char *json)
{
  (void) platform;
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, "application/json", SOUP_MEMORY_TAKE, json, strlen (json));
}

static void
respond_with_error (struct platform *platform, SoupServerMessage *message, guint status, const char *reason)
{
  respond (platform, message, status,
           g_strdup_printf ("{\"kind\":\"Status\",\"code\":%u,\"reason\":\"%s\"}", status, reason));
}

static char *
member_json (JsonObject *object, const char *member)
{
  JsonNode *node = object ? json_object_get_member (object, member) : NULL;
  return node ? json_to_string (node, FALSE) : NULL;
}

static gboolean
parse_write (SoupServerMessage *message, char **name, guint64 *version, char **data)
{
  JsonParser *parser = json_parser_new ();
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  gboolean ok = json_parser_load_from_data (parser, body->data, body->length, NULL)
                && JSON_NODE_HOLDS_OBJECT (json_parser_get_root (parser));
  JsonObject *root = ok ? json_node_get_object (json_parser_get_root (parser)) : NULL;
  JsonObject *metadata = root ? json_object_get_object_member (root, "metadata") : NULL;
  *name = metadata ? g_strdup (json_object_get_string_member (metadata, "name")) : NULL;
  const char *text = metadata ? json_object_get_string_member_with_default (metadata, "resourceVersion", "0") : "0";
  *version = g_ascii_strtoull (text, NULL, 10);
  *data = member_json (root, "data");
  g_object_unref (parser);
  return *name && *data;
}

static void
handle_write (struct platform *platform, SoupServerMessage *message, const char *collection, const char *path_name)
{
  gboolean create = soup_server_message_get_method (message) == SOUP_METHOD_POST;
  char *name;
  char *data;
  guint64 version;
  platform->write_count++;
  if (!parse_write (message, &name, &version, &data))
    {
      g_free (name);
      g_free (data);
      respond_with_error (platform, message, 400, "BadRequest");
      return;
    }
  char *key = g_strdup_printf ("%s/%s", collection, create ? name : path_name);
  struct item *item = g_hash_table_lookup (platform->items, key);
  g_free (key);
  gboolean conflict = create ? item != NULL : (item && version && version != item->version);
  if (conflict || (!create && !item && strcmp (collection, "vms") != 0))
    {
      respond_with_error (platform, message, conflict ? 409 : 404, conflict ? "Conflict" : "NotFound");
      g_free (data);
    }
  else
    {
      item = store_item (platform, collection, create ? name : path_name, data);
      respond (platform, message, create ? 201 : 200, item_json (item));
      if (platform->responses_to_drop > 0)
        {
          platform->responses_to_drop--;
          drop_connection (message);
        }
    }
  g_free (name);
}

static void
on_watcher_finished (SoupServerMessage *message, gpointer data)
{
  struct platform *platform = data;
  g_object_set_data (G_OBJECT (message), "over", platform);
  for (guint i = 0; i < platform->watchers->len; i++)
    {
      struct watcher *watcher = g_ptr_array_index (platform->watchers, i);
      if (watcher->message == message)
        {
          g_ptr_array_remove_index (platform->watchers, i);
          return;
        }
    }
}

static void
free_watcher (gpointer data)
{
  struct watcher *watcher = data;
  g_object_unref (watcher->message);
  g_free (watcher->collection);
  g_free (watcher->name);
  g_free (watcher);
}

static gboolean
end_watch (gpointer data)
{
  SoupServerMessage *message = data;
  if (g_object_get_data (G_OBJECT (message), "over"))
    {
      g_object_unref (message);
      return G_SOURCE_REMOVE;
    }
  soup_message_body_complete (soup_server_message_get_response_body (message));
  soup_server_message_unpause (message);
  g_object_unref (message);
  return G_SOURCE_REMOVE;
}

static const char *bookmark = "{\"metadata\":{\"resourceVersion\":\"0\"}}";

static void
handle_watch (struct platform *platform, SoupServerMessage *message, const char *collection, GHashTable *query)
{
  const char *selector = g_hash_table_lookup (query, "fieldSelector");
  const char *timeout = g_hash_table_lookup (query, "timeoutSeconds");
  struct watcher *watcher = g_new0 (struct watcher, 1);
  GHashTableIter iter;
  struct item *item;
  platform->watch_count++;
  watcher->message = g_object_ref (message);
  watcher->collection = g_strdup (collection);
  if (selector && g_str_has_prefix (selector, "metadata.name="))
    watcher->name = g_strdup (selector + strlen ("metadata.name="));
  g_ptr_array_add (platform->watchers, watcher);
  g_signal_connect (message, "finished", G_CALLBACK (on_watcher_finished), platform);
  soup_server_message_set_status (message, 200, NULL);
  soup_message_headers_set_encoding (soup_server_message_get_response_headers (message), SOUP_ENCODING_CHUNKED);
  soup_message_body_set_accumulate (soup_server_message_get_response_body (message), FALSE);
  g_hash_table_iter_init (&iter, platform->items);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &item) && !platform->watches_frozen)
    if (watcher_matches (watcher, item))
      {
        char *json = item_json (item);
        send_watch_event (watcher, "ADDED", json);
        g_free (json);
      }
  if (!platform->watches_frozen)
    send_watch_event (watcher, "BOOKMARK", bookmark);
  g_timeout_add_seconds (timeout ? (guint) atoi (timeout) : 30, end_watch, g_object_ref (message));
}

static void
handle_read (struct platform *platform, SoupServerMessage *message, const char *collection, const char *name)
{
  char *key = g_strdup_printf ("%s/%s", collection, name);
  struct item *item = g_hash_table_lookup (platform->items, key);
  const char *accept = soup_message_headers_get_one (soup_server_message_get_request_headers (message), "Accept");
  platform->read_count++;
  if (item && accept && strstr (accept, "PartialObjectMetadata"))
    respond (platform, message, 200, metadata_json (item));
  else if (item)
    respond (platform, message, 200, item_json (item));
  else
    respond_with_error (platform, message, 404, "NotFound");
  g_free (key);
}

static void
handle_list (struct platform *platform, SoupServerMessage *message, const char *collection)
{
  GString *json = g_string_new ("{\"items\":[");
  GHashTableIter iter;
  struct item *item;
  platform->read_count++;
  g_hash_table_iter_init (&iter, platform->items);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &item))
    if (strcmp (item->collection, collection) == 0)
      {
        char *entry = item_json (item);
        g_string_append_printf (json, "%s%s", json->str[json->len - 1] == '[' ? "" : ",", entry);
        g_free (entry);
      }
  g_string_append (json, "]}");
  respond (platform, message, 200, g_string_free (json, FALSE));
}

static void
handle_delete (struct platform *platform, SoupServerMessage *message, const char *collection, const char *name)
{
  char *key = g_strdup_printf ("%s/%s", collection, name);
  struct item *item = g_hash_table_lookup (platform->items, key);
  platform->write_count++;
  if (item)
    notify_watchers (platform, "DELETED", item);
  g_hash_table_remove (platform->items, key);
  g_free (key);
  respond (platform, message, 200, g_strdup ("{}"));
}

/* --- internal functions: switches --- */

static void
roll_back (struct platform *platform, const char *name)
{
  char *key = g_strdup_printf ("objects/%s", name);
  struct item *item = g_hash_table_lookup (platform->items, key);
  g_free (key);
  if (!item || !item->previous)
    return;
  g_free (item->data);
  item->data = item->previous;
  item->previous = NULL;
  item->version = ++platform->version;
  notify_watchers (platform, "MODIFIED", item);
}

static void
set_switch (struct platform *platform, const char *name, const char *value)
{
  if (strcmp (name, "down") == 0)
    platform->unreachable = atoi (value) != 0;
  else if (strcmp (name, "slow_ms") == 0)
    platform->response_delay_ms = atoi (value);
  else if (strcmp (name, "lose") == 0)
    platform->responses_to_drop = atoi (value);
  else if (strcmp (name, "frozen") == 0)
    platform->watches_frozen = atoi (value) != 0;
  else if (strcmp (name, "rollback") == 0)
    roll_back (platform, value);
  for (guint i = 0; i < platform->watchers->len && platform->unreachable; i++)
    drop_connection (((struct watcher *) g_ptr_array_index (platform->watchers, i))->message);
}

static void
handle_control (struct platform *platform, SoupServerMessage *message, const char *path, GHashTable *query)
{
  GHashTableIter iter;
  const char *name;
  const char *value;
  if (query)
    {
      g_hash_table_iter_init (&iter, query);
      while (g_hash_table_iter_next (&iter, (gpointer *) &name, (gpointer *) &value))
        set_switch (platform, name, value);
    }
  if (strcmp (path, "/fake/stats") == 0)
    respond (platform, message, 200,
             g_strdup_printf ("reads %u writes %u watches %u\n", platform->read_count, platform->write_count,
                              platform->watch_count));
  else
    respond (platform, message, 200, g_strdup ("ok\n"));
}

/* --- internal functions: requests --- */

static gboolean
resume_response (gpointer data)
{
  soup_server_message_unpause (data);
  g_object_unref (data);
  return G_SOURCE_REMOVE;
}

static void
handle_request (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query, gpointer data)
{
  struct platform *platform = data;
  const char *method = soup_server_message_get_method (message);
  (void) server;
  if (g_str_has_prefix (path, "/fake/"))
    {
      handle_control (platform, message, path, query);
      return;
    }
  if (platform->unreachable || !g_str_has_prefix (path, API_PREFIX))
    {
      respond_with_error (platform, message, 503, "Unavailable");
      if (platform->unreachable)
        drop_connection (message);
      return;
    }
  char **parts = g_strsplit (path + strlen (API_PREFIX), "/", 2);
  gboolean watch = query && g_hash_table_contains (query, "watch");
  if (watch)
    handle_watch (platform, message, parts[0], query);
  else if (strcmp (method, "GET") == 0 && parts[1])
    handle_read (platform, message, parts[0], parts[1]);
  else if (strcmp (method, "GET") == 0)
    handle_list (platform, message, parts[0]);
  else if (strcmp (method, "DELETE") == 0 && parts[1])
    handle_delete (platform, message, parts[0], parts[1]);
  else
    handle_write (platform, message, parts[0], parts[1] ? parts[1] : "");
  g_strfreev (parts);
  if (platform->response_delay_ms > 0 && !watch)
    {
      soup_server_message_pause (message);
      g_timeout_add ((guint) platform->response_delay_ms, resume_response, g_object_ref (message));
    }
}

static gboolean
send_bookmarks (gpointer data)
{
  struct platform *platform = data;
  for (guint i = 0; i < platform->watchers->len && !platform->watches_frozen; i++)
    send_watch_event (g_ptr_array_index (platform->watchers, i), "BOOKMARK", bookmark);
  return G_SOURCE_CONTINUE;
}

int
main (void)
{
  struct platform platform = { 0 };
  struct hf_error error = { 0 };
  char address[64];
  GMainLoop *loop = g_main_loop_new (NULL, FALSE);
  platform.items = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_item);
  platform.watchers = g_ptr_array_new_with_free_func (free_watcher);
  platform.server = soup_server_new (NULL, NULL);
  soup_server_add_handler (platform.server, NULL, handle_request, &platform, NULL);
  if (!hf_soup_server_listen (platform.server, hf_str ("127.0.0.1:0"), address, sizeof address, &error))
    {
      fprintf (stderr, "fake-platform: %s\n", error.message);
      return 1;
    }
  printf ("listening %s\n", address);
  fflush (stdout);
  g_timeout_add (BOOKMARK_MS, send_bookmarks, &platform);
  g_unix_signal_add (SIGTERM, (GSourceFunc) (void (*) (void)) g_main_loop_quit, loop);
  g_main_loop_run (loop);
  return 0;
}
