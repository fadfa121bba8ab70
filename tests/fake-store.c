/* A stand-in for the store of the users' platform. */
#include "fake-store.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* --- constants --- */

#define PAGE 2 /* items of one page: small, so that every list has several */

/* --- types --- */

struct object
{
  char *kind;
  char *name;
  char *spec;
  guint64 revision;
  gboolean gone;
};

struct call
{
  struct hf_http_request *request;
  char *method;
  char *kind;
  char *name;
  GHashTable *query;
  GString *body;
  guint64 watch; /* waits for changes after this; 0: no */
};

struct fake_store
{
  struct hf_http_server *front;
  GPtrArray *objects; /* struct object, by name */
  GPtrArray *watches; /* struct call */
  guint64 revision;
  guint64 forgotten; /* changes up to here are not in the history */
  guint refuse;
  gboolean silent;
  guint lose;
  guint64 lag; /* changes that later pages from copies lack */
  guint calls;
};

/* --- internal functions: objects --- */

static struct object *
find (const struct fake_store *store, const char *kind, const char *name)
{
  for (guint i = 0; i < store->objects->len; i++)
    {
      struct object *object = g_ptr_array_index (store->objects, i);
      if (strcmp (object->kind, kind) == 0 && strcmp (object->name, name) == 0)
        return object;
    }
  return NULL;
}

static void
free_object (gpointer data)
{
  struct object *object = data;
  g_free (object->kind);
  g_free (object->name);
  g_free (object->spec);
  g_free (object);
}

static gint
by_name (gconstpointer a, gconstpointer b)
{
  return strcmp ((*(struct object *const *) a)->name, (*(struct object *const *) b)->name);
}

static char *
object_json (const struct object *object)
{
  return g_strdup_printf ("{\"metadata\":{\"name\":\"%s\",\"revision\":%" G_GUINT64_FORMAT
                          ",\"created_rev\":1,\"finalizers\":[],\"deleting\":false},\"spec\":%s,\"status\":null}",
                          object->name, object->revision, object->spec);
}

/* --- internal functions: answers --- */

static void
answer (struct call *call, guint status, const char *body)
{
  hf_http_respond (call->request, status, hf_str ("Content-Type: application/json\r\n"), hf_str (body));
}

static void
answer_list (struct fake_store *store, struct call *call)
{
  const char *after = g_hash_table_lookup (call->query, "after");
  gboolean from_copy = g_hash_table_contains (call->query, "allow_stale") && after && *after;
  guint64 as_of = store->revision - (from_copy ? store->lag : 0);
  GString *items = g_string_new (NULL);
  guint n = 0;
  gboolean more = FALSE;
  for (guint i = 0; i < store->objects->len && !more; i++)
    {
      const struct object *object = g_ptr_array_index (store->objects, i);
      if (object->gone || strcmp (object->kind, call->kind) != 0 || (after && strcmp (object->name, after) <= 0))
        continue;
      if (object->revision > as_of)
        continue;
      more = n == PAGE;
      if (more)
        break;
      char *json = object_json (object);
      g_string_append_printf (items, "%s%s", n++ ? "," : "", json);
      g_free (json);
    }
  char *body = g_strdup_printf ("{\"items\":[%s],\"more\":%s,\"as_of\":%" G_GUINT64_FORMAT "}", items->str,
                                more ? "true" : "false", as_of);
  answer (call, 200, body);
  g_free (body);
  g_string_free (items, TRUE);
}

static gboolean
answer_events (struct fake_store *store, struct call *call)
{
  GString *events = g_string_new (NULL);
  for (guint i = 0; i < store->objects->len; i++)
    {
      const struct object *object = g_ptr_array_index (store->objects, i);
      if (object->revision <= call->watch || strcmp (object->kind, call->kind) != 0)
        continue;
      char *json = object_json (object);
      g_string_append_printf (events, "%s{\"deleted\":%s,\"object\":%s}", events->len ? "," : "",
                              object->gone ? "true" : "false", json);
      g_free (json);
    }
  gboolean some = events->len > 0;
  if (some)
    {
      char *body = g_strdup_printf ("{\"events\":[%s],\"as_of\":%" G_GUINT64_FORMAT "}", events->str, store->revision);
      answer (call, 200, body);
      g_free (body);
    }
  g_string_free (events, TRUE);
  return some;
}

static void
tell_watches (struct fake_store *store)
{
  GPtrArray *waiting = g_ptr_array_copy (store->watches, NULL, NULL);
  for (guint i = 0; i < waiting->len; i++)
    answer_events (store, g_ptr_array_index (waiting, i));
  g_ptr_array_unref (waiting);
}

static void
change (struct fake_store *store, const char *kind, const char *name, const char *spec, gboolean gone)
{
  struct object *object = find (store, kind, name);
  if (!object)
    {
      object = g_new0 (struct object, 1);
      object->kind = g_strdup (kind);
      object->name = g_strdup (name);
      g_ptr_array_add (store->objects, object);
      g_ptr_array_sort (store->objects, by_name);
    }
  if (spec)
    {
      g_free (object->spec);
      object->spec = g_strdup (spec);
    }
  object->gone = gone;
  object->revision = ++store->revision;
  tell_watches (store);
}

static char *
spec_of (const struct call *call, char **name)
{
  JsonNode *node = json_from_string (call->body->str, NULL);
  JsonObject *object = node && JSON_NODE_HOLDS_OBJECT (node) ? json_node_get_object (node) : NULL;
  char *spec = NULL;
  if (object && json_object_has_member (object, "spec") && json_object_has_member (object, "metadata"))
    {
      spec = json_to_string (json_object_get_member (object, "spec"), FALSE);
      *name = g_strdup (json_object_get_string_member (json_object_get_object_member (object, "metadata"), "name"));
    }
  g_clear_pointer (&node, json_node_unref);
  return spec;
}

static void
write_object (struct fake_store *store, struct call *call)
{
  char *name = NULL;
  char *spec = spec_of (call, &name);
  const struct object *known = spec ? find (store, call->kind, name) : NULL;
  gboolean exists = known && !known->gone;
  gboolean creates = strcmp (call->method, "POST") == 0;
  if (!spec)
    answer (call, 400, "{}");
  else if (creates == exists)
    answer (call, creates ? 409 : 404, "{}");
  else
    {
      change (store, call->kind, name, spec, FALSE);
      char *json = object_json (find (store, call->kind, name));
      if (store->lose > 0)
        {
          store->lose--;
          hf_http_response_abort (call->request);
        }
      else
        answer (call, 200, json);
      g_free (json);
    }
  g_free (name);
  g_free (spec);
}

/* --- internal functions: calls --- */

static void
call_head (void *context, struct hf_http_request *request, const struct hf_http_head *head)
{
  struct call *call = g_new0 (struct call, 1);
  char *target = g_strndup (head->target.data, head->target.len);
  char *question = strchr (target, '?');
  (void) context;
  call->request = request;
  call->method = g_strndup (head->method.data, head->method.len);
  call->body = g_string_new (NULL);
  call->query = question ? g_uri_parse_params (question + 1, -1, "&", G_URI_PARAMS_NONE, NULL)
                         : g_hash_table_new (g_str_hash, g_str_equal);
  if (question)
    *question = 0;
  char **parts = g_strsplit (target, "/", -1);
  guint n = g_strv_length (parts);
  call->kind = g_strdup (n > 3 ? parts[3] : "");
  call->name = g_strdup (n > 4 ? parts[4] : NULL);
  hf_http_request_set_data (request, call);
  g_strfreev (parts);
  g_free (target);
}

static void
call_body (void *context, struct hf_http_request *request, struct hf_str bytes)
{
  struct call *call = hf_http_request_data (request);
  (void) context;
  g_string_append_len (call->body, bytes.data, (gssize) bytes.len);
}

static void
call_whole (void *context, struct hf_http_request *request)
{
  struct fake_store *store = context;
  struct call *call = hf_http_request_data (request);
  const char *watch = g_hash_table_lookup (call->query, "watch");
  store->calls++;
  if (store->silent)
    return;
  if (store->refuse)
    answer (call, store->refuse, "{}");
  else if (strcmp (call->method, "GET") != 0)
    write_object (store, call);
  else if (!watch)
    answer_list (store, call);
  else
    {
      call->watch = g_ascii_strtoull (watch, NULL, 10);
      if (call->watch < store->forgotten)
        answer (call, 410, "{}");
      else if (!answer_events (store, call))
        g_ptr_array_add (store->watches, call);
    }
}

static void
call_drained (void *context, struct hf_http_request *request)
{
  (void) context;
  (void) request;
}

static void
call_ended (void *context, struct hf_http_request *request, bool answered)
{
  struct fake_store *store = context;
  struct call *call = hf_http_request_data (request);
  (void) answered;
  g_ptr_array_remove_fast (store->watches, call);
  g_hash_table_destroy (call->query);
  g_string_free (call->body, TRUE);
  g_free (call->method);
  g_free (call->kind);
  g_free (call->name);
  g_free (call);
}

static const struct hf_http_server_callbacks front_calls = { .on_head = call_head,
                                                             .on_body = call_body,
                                                             .on_complete = call_whole,
                                                             .on_drained = call_drained,
                                                             .on_ended = call_ended };

static void
cut_watches (struct fake_store *store, guint status)
{
  GPtrArray *waiting = g_ptr_array_copy (store->watches, NULL, NULL);
  for (guint i = 0; i < waiting->len; i++)
    answer (g_ptr_array_index (waiting, i), status, "{}");
  g_ptr_array_unref (waiting);
}

/* --- public functions --- */

struct fake_store *
store_open (struct hf_net *net)
{
  struct fake_store *store = g_new0 (struct fake_store, 1);
  store->revision = 1;
  store->objects = g_ptr_array_new_with_free_func (free_object);
  store->watches = g_ptr_array_new ();
  store->front = hf_http_server_open (net, hf_str ("127.0.0.1:0"), &front_calls, store, NULL);
  g_assert_nonnull (store->front);
  return store;
}

void
store_close (struct fake_store *store)
{
  hf_http_server_close (store->front);
  g_ptr_array_unref (store->objects);
  g_ptr_array_unref (store->watches);
  g_free (store);
}

const char *
store_address (const struct fake_store *store)
{
  return hf_http_server_address (store->front).data;
}

void
store_put (struct fake_store *store, const char *kind, const char *name, const char *spec)
{
  change (store, kind, name, spec, FALSE);
}

void
store_delete (struct fake_store *store, const char *kind, const char *name)
{
  change (store, kind, name, NULL, TRUE);
}

char *
store_get (const struct fake_store *store, const char *kind, const char *name)
{
  const struct object *object = find (store, kind, name);
  return object && !object->gone ? g_strdup (object->spec) : NULL;
}

void
store_refuse (struct fake_store *store, guint status)
{
  store->refuse = status;
  if (status)
    cut_watches (store, status);
}

void
store_silence (struct fake_store *store, gboolean silent)
{
  store->silent = silent;
  if (silent)
    g_ptr_array_set_size (store->watches, 0);
}

void
store_lose (struct fake_store *store, guint writes)
{
  store->lose = writes;
}

void
store_lag (struct fake_store *store, guint64 changes)
{
  store->lag = changes;
}

void
store_forget (struct fake_store *store)
{
  for (guint i = store->objects->len; i-- > 0;)
    if (((struct object *) g_ptr_array_index (store->objects, i))->gone)
      g_ptr_array_remove_index (store->objects, i);
  store->forgotten = ++store->revision;
  cut_watches (store, 410);
}

guint
store_calls (const struct fake_store *store)
{
  return store->calls;
}
