/* JSON objects of the platform's object API, read and written with json-glib. */
#include "hf-objects.h"

#include <string.h>

#include "hf-json.h"

/* --- internal functions --- */

static JsonObject *
get_object_member (JsonObject *object, const char *name)
{
  JsonNode *node = object ? json_object_get_member (object, name) : NULL;
  return node && JSON_NODE_HOLDS_OBJECT (node) ? json_node_get_object (node) : NULL;
}

static struct hf_str
get_str_member (JsonObject *object, const char *name)
{
  JsonNode *node = object ? json_object_get_member (object, name) : NULL;
  if (!node || !JSON_NODE_HOLDS_VALUE (node) || json_node_get_value_type (node) != G_TYPE_STRING)
    return (struct hf_str){ .data = "" };
  return hf_str (json_node_get_string (node));
}

static JsonObject *
parse_json_object (struct hf_str text, struct hf_object *object, struct hf_error *error)
{
  unsigned replaced;
  *object = (struct hf_object){ .parser = json_parser_new () };
  return hf_json_load (object->parser, text, &replaced, error);
}

static void
read_object_members (JsonObject *json, struct hf_object *object)
{
  JsonObject *metadata = get_object_member (json, "metadata");
  object->name = get_str_member (metadata, "name");
  object->version = g_ascii_strtoull (get_str_member (metadata, "resourceVersion").data, NULL, 10);
  object->data = get_object_member (json, "data");
}

/* --- public functions: any object --- */

bool
hf_object_load (struct hf_str text, struct hf_object *object, struct hf_error *error)
{
  JsonObject *root = parse_json_object (text, object, error);
  if (root)
    {
      read_object_members (root, object);
      return true;
    }
  hf_object_unload (object);
  return false;
}

bool
hf_object_load_watch (struct hf_str line, struct hf_object *object, struct hf_error *error)
{
  JsonObject *root = parse_json_object (line, object, error);
  JsonObject *inner = get_object_member (root, "object");
  if (!inner)
    {
      if (root)
        hf_error_set (error, HF_ERROR_INVALID, "expected a member \"object\" in a line of a watch");
      hf_object_unload (object);
      return false;
    }
  struct hf_str type = get_str_member (root, "type");
  read_object_members (inner, object);
  if (hf_str_equal (type, hf_str ("DELETED")))
    object->event_type = HF_WATCH_DELETED;
  else if (hf_str_equal (type, hf_str ("BOOKMARK")))
    object->event_type = HF_WATCH_BOOKMARK;
  return true;
}

void
hf_object_unload (struct hf_object *object)
{
  g_clear_object (&object->parser);
  object->data = NULL;
}

struct hf_str
hf_object_get_str (const struct hf_object *object, const char *member)
{
  return get_str_member (object->data, member);
}

uint64_t
hf_object_get_hex (const struct hf_object *object, const char *member)
{
  return g_ascii_strtoull (get_str_member (object->data, member).data, NULL, 16);
}

uint64_t
hf_object_get_uint (const struct hf_object *object, const char *member)
{
  JsonNode *node = object->data ? json_object_get_member (object->data, member) : NULL;
  bool is_number = node && JSON_NODE_HOLDS_VALUE (node) && json_node_get_value_type (node) == G_TYPE_INT64;
  return is_number ? (uint64_t) MAX (json_node_get_int (node), 0) : 0;
}

char *
hf_object_to_json (const char *name, uint64_t version, JsonNode *data)
{
  JsonBuilder *builder = json_builder_new ();
  char text[32];
  g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, (guint64) version);
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "metadata");
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "name");
  json_builder_add_string_value (builder, name);
  if (version > 0)
    {
      json_builder_set_member_name (builder, "resourceVersion");
      json_builder_add_string_value (builder, text);
    }
  json_builder_end_object (builder);
  json_builder_set_member_name (builder, "data");
  json_builder_add_value (builder, data);
  json_builder_end_object (builder);
  JsonNode *root = json_builder_get_root (builder);
  char *json = json_to_string (root, FALSE);
  json_node_unref (root);
  g_object_unref (builder);
  return json;
}

/* --- public functions: typed objects --- */

bool
hf_manifest_read (const struct hf_object *object, struct hf_manifest *manifest, struct hf_error *error)
{
  manifest->generation = hf_object_get_uint (object, "generation");
  manifest->digest = hf_object_get_hex (object, "digest");
  manifest->document = hf_object_get_str (object, "document");
  if (manifest->generation == 0 || manifest->document.len == 0)
    return hf_error_set (error, HF_ERROR_INVALID, "the stored manifest has no generation or no document");
  if (hf_hash (manifest->document, 0) != manifest->digest)
    return hf_error_set (error, HF_ERROR_INVALID, "the stored document does not match its digest");
  return true;
}

char *
hf_manifest_to_json (uint64_t version, const struct hf_manifest *manifest)
{
  JsonObject *data = json_object_new ();
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  char digest[32];
  g_snprintf (digest, sizeof digest, "%016" G_GINT64_MODIFIER "x", (guint64) manifest->digest);
  char *document = g_strndup (manifest->document.data, manifest->document.len);
  json_object_set_int_member (data, "generation", (gint64) manifest->generation);
  json_object_set_string_member (data, "digest", digest);
  json_object_set_string_member (data, "document", document);
  json_node_take_object (node, data);
  g_free (document);
  return hf_object_to_json ("config", version, node);
}

bool
hf_vm_read (const struct hf_object *object, struct hf_vm *vm, struct hf_error *error)
{
  vm->role = hf_object_get_str (object, "role");
  vm->address = hf_object_get_str (object, "address");
  vm->failure_domain = hf_object_get_str (object, "failure_domain");
  vm->draining = hf_str_equal (hf_object_get_str (object, "phase"), hf_str ("Leaving"));
  if (object->name.len == 0 || vm->address.len == 0)
    return hf_error_set (error, HF_ERROR_INVALID, "a VM in the platform's list has no name or no address");
  return true;
}
