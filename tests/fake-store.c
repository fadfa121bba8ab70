/* A fake of the platform's object store. */
#include "fake-store.h"

#include <json-glib/json-glib.h>
#include <stdlib.h>
#include <string.h>

/* --- constants --- */

#define PAGE_ITEMS 2 /* small, so that every list has several pages */

/* --- types --- */

/* A stored object. A deleted one is kept until fake_store_compact, as watches must report its deletion. */
struct object
{
  char *kind;
  char *name;
  char *spec;
  guint64 revision;
  gboolean deleted;
  gboolean deleting; /* it is still there, until its finalizers are gone */
};

/* One HTTP request of an entry. */
struct call
{
  struct hf_http_request *request;
  char *method;
  char *kind;
  char *name;
  GHashTable *query;
  GString *body;
  guint64 watch; /* revision after which changes are awaited; 0: not a watch */
  struct fake_store *store;
  guint wait_timer; /* end of a watch that waits; 0: none */
};

struct fake_store
{
  gboolean bodiless;
  guint reads; /* while bodiless */
  struct hf_http_server *http_server;
  GPtrArray *objects;         /* struct object, sorted by name */
  GPtrArray *pending_watches; /* struct call: watches that wait for a change */
  guint64 revision;
  guint64 compacted_revision; /* watches from an older revision get 410 */
  guint64 cut_revision;       /* watches from an older revision are cut */
  guint error_status;         /* of every response, 0: none */
  const char *refused_kind;   /* NULL: none */
  gboolean silent;
  GPtrArray *unanswered_reads; /* struct call: reads that got no response because the store is silent */
  guint overlapping_reads;
  guint responses_to_drop; /* to the next writes */
  guint64 list_lag;        /* newest changes that the later pages of a stale list lack */
  guint64 era;             /* how often an older copy was restored, and one */
  GPtrArray *copy;         /* struct object of fake_store_save, NULL: none */
  guint64 copy_revision;   /* revision of that copy */
  guint stale_lists;       /* next lists with allow_stale that come from a replica of the era before */
};

/* --- internal functions: objects --- */

static struct object *
find_object (const struct fake_store *store, const char *kind, const char *name)
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

static GPtrArray *
copy_objects (const GPtrArray *objects)
{
  GPtrArray *copy = g_ptr_array_new_with_free_func (free_object);
  for (guint i = 0; i < objects->len; i++)
    {
      struct object *object = g_memdup2 (g_ptr_array_index (objects, i), sizeof *object);
      object->kind = g_strdup (object->kind);
      object->name = g_strdup (object->name);
      object->spec = g_strdup (object->spec);
      g_ptr_array_add (copy, object);
    }
  return copy;
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp ((*(struct object *const *) a)->name, (*(struct object *const *) b)->name);
}

static char *
object_json (const struct object *object)
{
  return g_strdup_printf ("{\"metadata\":{\"name\":\"%s\",\"revision\":%" G_GUINT64_FORMAT
                          ",\"created_rev\":1,\"finalizers\":[],\"deleting\":%s},\"spec\":%s,\"status\":null}",
                          object->name, object->revision, object->deleting ? "true" : "false", object->spec);
}

/* --- internal functions: responses --- */

static void
respond_in_era (guint64 era, struct call *call, guint status, const char *body)
{
  char *fields = era ? g_strdup_printf ("Content-Type: application/json\r\nStore-Era: %" G_GUINT64_FORMAT "\r\n", era)
                     : g_strdup ("Content-Type: application/json\r\n");
  hf_http_respond (call->request, status, hf_str (fields), hf_str (body));
  g_free (fields);
}

static void
respond (const struct fake_store *store, struct call *call, guint status, const char *body)
{
  respond_in_era (store->era, call, status, body);
}

static void
respond_with_object (const struct fake_store *store, struct call *call)
{
  const struct object *object = find_object (store, call->kind, call->name);
  char *json = object && !object->deleted ? object_json (object) : NULL;
  respond (store, call, json ? 200 : 404, json ? json : "{}");
  g_free (json);
}

/* A replica that has not noticed the restore yet: it lists nothing that was written since. */
static gboolean
respond_from_stale_replica (struct fake_store *store, struct call *call)
{
  if (store->stale_lists == 0 || !g_hash_table_contains (call->query, "allow_stale"))
    return FALSE;
  store->stale_lists--;
  char *body = g_strdup_printf ("{\"items\":[],\"more\":false,\"as_of\":%" G_GUINT64_FORMAT "}", store->revision);
  respond_in_era (store->era - 1, call, 200, body);
  g_free (body);
  return TRUE;
}

static void
respond_with_list (struct fake_store *store, struct call *call)
{
  const char *after = g_hash_table_lookup (call->query, "after");
  gboolean stale_allowed = g_hash_table_contains (call->query, "allow_stale") && after && *after;
  guint64 as_of = store->revision - (stale_allowed ? store->list_lag : 0);
  GString *items = g_string_new (NULL);
  guint n = 0;
  gboolean more = FALSE;
  for (guint i = 0; i < store->objects->len && !more; i++)
    {
      const struct object *object = g_ptr_array_index (store->objects, i);
      if (object->deleted || strcmp (object->kind, call->kind) != 0 || (after && strcmp (object->name, after) <= 0))
        continue;
      if (object->revision > as_of)
        continue;
      more = n == PAGE_ITEMS;
      if (more)
        break;
      char *json = object_json (object);
      g_string_append_printf (items, "%s%s", n++ ? "," : "", json);
      g_free (json);
    }
  char *body = g_strdup_printf ("{\"items\":[%s],\"more\":%s,\"as_of\":%" G_GUINT64_FORMAT "}", items->str,
                                more ? "true" : "false", as_of);
  respond (store, call, 200, body);
  g_free (body);
  g_string_free (items, TRUE);
}

static gboolean
respond_with_events (struct fake_store *store, struct call *call)
{
  GString *events = g_string_new (NULL);
  for (guint i = 0; i < store->objects->len; i++)
    {
      const struct object *object = g_ptr_array_index (store->objects, i);
      if (object->revision <= call->watch || strcmp (object->kind, call->kind) != 0)
        continue;
      char *json = object_json (object);
      g_string_append_printf (events, "%s{\"deleted\":%s,\"object\":%s}", events->len ? "," : "",
                              object->deleted ? "true" : "false", json);
      g_free (json);
    }
  gboolean has_events = events->len > 0;
  if (has_events)
    {
      char *body = g_strdup_printf ("{\"events\":[%s],\"as_of\":%" G_GUINT64_FORMAT "}", events->str, store->revision);
      respond (store, call, 200, body);
      g_free (body);
    }
  g_string_free (events, TRUE);
  return has_events;
}

static gboolean
on_watch_waited (gpointer data)
{
  struct call *call = data;
  char *body = g_strdup_printf ("{\"events\":[],\"as_of\":%" G_GUINT64_FORMAT "}", call->store->revision);
  call->wait_timer = 0;
  if (g_ptr_array_find (call->store->pending_watches, call, NULL))
    respond (call->store, call, 200, body);
  g_free (body);
  return G_SOURCE_REMOVE;
}

static void
keep_watch (struct fake_store *store, struct call *call)
{
  const char *wait_ms = g_hash_table_lookup (call->query, "wait_ms");
  g_ptr_array_add (store->pending_watches, call);
  call->store = store;
  call->wait_timer = g_timeout_add (wait_ms ? (guint) atoi (wait_ms) : 0, on_watch_waited, call);
}

static void
notify_watches (struct fake_store *store)
{
  GPtrArray *waiting = g_ptr_array_copy (store->pending_watches, NULL, NULL);
  for (guint i = 0; i < waiting->len; i++)
    respond_with_events (store, g_ptr_array_index (waiting, i));
  g_ptr_array_unref (waiting);
}

static void
change_object (struct fake_store *store, const char *kind, const char *name, const char *spec, gboolean deleted)
{
  struct object *object = find_object (store, kind, name);
  if (!object)
    {
      object = g_new0 (struct object, 1);
      object->kind = g_strdup (kind);
      object->name = g_strdup (name);
      g_ptr_array_add (store->objects, object);
      g_ptr_array_sort (store->objects, compare_names);
    }
  if (spec)
    {
      g_free (object->spec);
      object->spec = g_strdup (spec);
    }
  object->deleted = deleted;
  object->deleting = FALSE;
  object->revision = ++store->revision;
  notify_watches (store);
}

static char *
parse_spec (const struct call *call, char **name)
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
respond_to_write (struct fake_store *store, struct call *call, const char *json)
{
  if (store->responses_to_drop == 0)
    {
      respond (store, call, 200, json);
      return;
    }
  store->responses_to_drop--;
  hf_http_response_abort (call->request);
}

static void
write_object (struct fake_store *store, struct call *call)
{
  char *name = NULL;
  char *spec = parse_spec (call, &name);
  const struct object *existing = spec ? find_object (store, call->kind, name) : NULL;
  gboolean exists = existing && !existing->deleted;
  gboolean is_create = strcmp (call->method, "POST") == 0;
  if (!spec)
    respond (store, call, 400, "{}");
  else if (is_create == exists)
    {
      char *json = existing ? object_json (existing) : g_strdup ("{}");
      respond (store, call, is_create ? 409 : 404, json);
      g_free (json);
    }
  else
    {
      change_object (store, call->kind, name, spec, FALSE);
      char *json = object_json (find_object (store, call->kind, name));
      respond_to_write (store, call, json);
      g_free (json);
    }
  g_free (name);
  g_free (spec);
}

static void
delete_object (struct fake_store *store, struct call *call)
{
  const struct object *object = find_object (store, call->kind, call->name);
  const char *revision = g_hash_table_lookup (call->query, "revision");
  char *json = object && !object->deleted ? object_json (object) : NULL;
  if (!json)
    respond (store, call, 404, "{}");
  else if (revision && g_ascii_strtoull (revision, NULL, 10) != object->revision)
    respond (store, call, 409, json);
  else
    {
      change_object (store, call->kind, call->name, NULL, TRUE);
      respond_to_write (store, call, json);
    }
  g_free (json);
}

/* --- internal functions: calls --- */

static void
on_head (void *context, struct hf_http_request *request, const struct hf_http_head *head)
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
on_body (void *context, struct hf_http_request *request, struct hf_str bytes)
{
  struct call *call = hf_http_request_data (request);
  (void) context;
  g_string_append_len (call->body, bytes.data, (gssize) bytes.len);
}

/* A silent store keeps the call; it is counted if an equal one is still waiting. */
static void
keep_unanswered (struct fake_store *store, struct call *call)
{
  if (strcmp (call->method, "GET") != 0 || g_hash_table_contains (call->query, "watch"))
    return;
  for (guint i = 0; i < store->unanswered_reads->len; i++)
    {
      const struct call *earlier = g_ptr_array_index (store->unanswered_reads, i);
      if (g_strcmp0 (earlier->kind, call->kind) == 0 && g_strcmp0 (earlier->name, call->name) == 0)
        {
          store->overlapping_reads++;
          break;
        }
    }
  g_ptr_array_add (store->unanswered_reads, call);
}

static void
on_complete (void *context, struct hf_http_request *request)
{
  struct fake_store *store = context;
  struct call *call = hf_http_request_data (request);
  const char *watch = g_hash_table_lookup (call->query, "watch");
  if (store->silent)
    keep_unanswered (store, call);
  else if (g_strcmp0 (call->kind, store->refused_kind) == 0)
    respond (store, call, 404, "{}");
  else if (store->bodiless && strcmp (call->method, "GET") == 0)
    {
      store->reads++;
      respond (store, call, 200, "{}");
    }
  else if (store->error_status)
    respond_in_era (0, call, store->error_status, "{}");
  else if (strcmp (call->method, "DELETE") == 0)
    delete_object (store, call);
  else if (strcmp (call->method, "GET") != 0)
    write_object (store, call);
  else if (call->name)
    respond_with_object (store, call);
  else if (!watch)
    {
      if (!respond_from_stale_replica (store, call))
        respond_with_list (store, call);
    }
  else
    {
      call->watch = g_ascii_strtoull (watch, NULL, 10);
      if (call->watch < store->cut_revision)
        hf_http_response_abort (request);
      else if (call->watch < store->compacted_revision || call->watch > store->revision)
        respond (store, call, 410, "{}");
      else if (!respond_with_events (store, call))
        keep_watch (store, call);
    }
}

static void
on_drained (void *context, struct hf_http_request *request)
{
  (void) context;
  (void) request;
}

static void
on_ended (void *context, struct hf_http_request *request, bool answered)
{
  struct fake_store *store = context;
  struct call *call = hf_http_request_data (request);
  (void) answered;
  if (call->wait_timer)
    g_source_remove (call->wait_timer);
  g_ptr_array_remove_fast (store->pending_watches, call);
  g_ptr_array_remove_fast (store->unanswered_reads, call);
  g_hash_table_destroy (call->query);
  g_string_free (call->body, TRUE);
  g_free (call->method);
  g_free (call->kind);
  g_free (call->name);
  g_free (call);
}

static const struct hf_http_server_callbacks http_callbacks = { .on_head = on_head,
                                                                .on_body = on_body,
                                                                .on_complete = on_complete,
                                                                .on_drained = on_drained,
                                                                .on_ended = on_ended };

static void
end_watches (struct fake_store *store, guint status)
{
  GPtrArray *waiting = g_ptr_array_copy (store->pending_watches, NULL, NULL);
  for (guint i = 0; i < waiting->len; i++)
    respond_in_era (status == 410 ? store->era : 0, g_ptr_array_index (waiting, i), status, "{}");
  g_ptr_array_unref (waiting);
}

/* --- public functions --- */

struct fake_store *
fake_store_open (struct hf_net *net)
{
  struct fake_store *store = g_new0 (struct fake_store, 1);
  store->revision = 1;
  store->era = 1;
  store->objects = g_ptr_array_new_with_free_func (free_object);
  store->pending_watches = g_ptr_array_new ();
  store->unanswered_reads = g_ptr_array_new ();
  store->http_server = hf_http_server_open (net, hf_str ("127.0.0.1:0"), &http_callbacks, store, NULL);
  g_assert_nonnull (store->http_server);
  return store;
}

void
fake_store_close (struct fake_store *store)
{
  hf_http_server_close (store->http_server);
  g_ptr_array_unref (store->objects);
  g_clear_pointer (&store->copy, g_ptr_array_unref);
  g_ptr_array_unref (store->pending_watches);
  g_ptr_array_unref (store->unanswered_reads);
  g_free (store);
}

const char *
fake_store_address (const struct fake_store *store)
{
  return hf_http_server_address (store->http_server).data;
}

void
fake_store_put (struct fake_store *store, const char *kind, const char *name, const char *spec)
{
  change_object (store, kind, name, spec, FALSE);
}

void
fake_store_touch (struct fake_store *store, const char *kind, const char *name, const char *spec)
{
  struct object *object = find_object (store, kind, name);
  g_assert_nonnull (object);
  g_free (object->spec);
  object->spec = g_strdup (spec);
}

void
fake_store_delete (struct fake_store *store, const char *kind, const char *name)
{
  change_object (store, kind, name, NULL, TRUE);
}

void
fake_store_mark_deleting (struct fake_store *store, const char *kind, const char *name)
{
  struct object *object = find_object (store, kind, name);
  g_assert_nonnull (object);
  object->deleting = TRUE;
  object->revision = ++store->revision;
  notify_watches (store);
}

char *
fake_store_get (const struct fake_store *store, const char *kind, const char *name)
{
  const struct object *object = find_object (store, kind, name);
  return object && !object->deleted ? g_strdup (object->spec) : NULL;
}

void
fake_store_set_error (struct fake_store *store, guint status)
{
  store->error_status = status;
  if (status)
    end_watches (store, status);
}

void
fake_store_set_silent (struct fake_store *store, gboolean silent)
{
  store->silent = silent;
  if (silent)
    g_ptr_array_set_size (store->pending_watches, 0);
}

void
fake_store_refuse_kind (struct fake_store *store, const char *kind)
{
  store->refused_kind = kind;
}

void
fake_store_drop_responses (struct fake_store *store, guint writes)
{
  store->responses_to_drop = writes;
}

void
fake_store_set_bodiless (struct fake_store *store, gboolean bodiless)
{
  store->bodiless = bodiless;
  if (bodiless)
    end_watches (store, 503);
}

guint
fake_store_reads (const struct fake_store *store)
{
  return store->reads;
}

void
fake_store_set_list_lag (struct fake_store *store, guint64 changes)
{
  store->list_lag = changes;
}

void
fake_store_compact (struct fake_store *store)
{
  for (guint i = store->objects->len; i-- > 0;)
    if (((struct object *) g_ptr_array_index (store->objects, i))->deleted)
      g_ptr_array_remove_index (store->objects, i);
  store->compacted_revision = ++store->revision;
  end_watches (store, 410);
}

void
fake_store_cut_old_watches (struct fake_store *store)
{
  store->cut_revision = store->revision;
}

void
fake_store_save (struct fake_store *store)
{
  g_clear_pointer (&store->copy, g_ptr_array_unref);
  store->copy = copy_objects (store->objects);
  store->copy_revision = store->revision;
}

void
fake_store_restore (struct fake_store *store)
{
  GPtrArray *waiting = g_ptr_array_copy (store->pending_watches, NULL, NULL);
  g_ptr_array_unref (store->objects);
  store->objects = copy_objects (store->copy);
  store->revision = store->copy_revision;
  store->era++;
  for (guint i = 0; i < waiting->len; i++)
    hf_http_response_abort (((struct call *) g_ptr_array_index (waiting, i))->request);
  g_ptr_array_unref (waiting);
}

void
fake_store_set_stale_lists (struct fake_store *store, guint lists)
{
  store->stale_lists = lists;
}

guint
fake_store_overlapping_reads (const struct fake_store *store)
{
  return store->overlapping_reads;
}
