/**
 * DOC: hf-objects - objects of the platform
 *
 * Reads and writes the JSON of the objects that the system keeps in the
 * platform's object API, and the lines of a watch.
 */
#ifndef HF_OBJECTS_H
#define HF_OBJECTS_H

#include <glib.h>
#include <json-glib/json-glib.h>

#include "hf-base.h"

/* --- types --- */

/** enum hf_watch_event_type - type of a line of a watch */
enum hf_watch_event_type
{
  HF_WATCH_CHANGED,
  HF_WATCH_DELETED,
  HF_WATCH_BOOKMARK,
};

/**
 * struct hf_object - one object, or one line of a watch
 * @parser: owns the JSON
 * @event_type: type of the watch line
 * @name: name in the collection
 * @version: its resourceVersion
 * @data: its data member, or NULL
 */
struct hf_object
{
  JsonParser *parser;
  enum hf_watch_event_type event_type;
  struct hf_str name;
  uint64_t version;
  JsonObject *data;
};

/** struct hf_manifest - the document of desired state as kept in the platform
 */
struct hf_manifest
{
  uint64_t generation;
  uint64_t digest;
  struct hf_str document;
};

/** struct hf_vm - one VM of the platform's list */
struct hf_vm
{
  struct hf_str role; /* entry or backend */
  struct hf_str address;
  struct hf_str failure_domain;
  bool draining;
};

/* --- public functions: any object --- */

bool hf_object_load (struct hf_str text, struct hf_object *object, struct hf_error *error); /* one object */
bool
hf_object_load_watch (struct hf_str line, struct hf_object *object, struct hf_error *error); /* one line of a watch */
void hf_object_unload (struct hf_object *object);                                            /* frees the JSON */
struct hf_str hf_object_get_str (const struct hf_object *object, const char *member); /* borrowed; empty if absent */
uint64_t hf_object_get_hex (const struct hf_object *object, const char *member);      /* 64-bit number written in hex */
uint64_t hf_object_get_uint (const struct hf_object *object, const char *member);     /* 0 if absent */
char *hf_object_to_json (const char *name, uint64_t version, JsonNode *data);         /* JSON text; takes data */

/* --- public functions: typed objects --- */

bool hf_manifest_read (const struct hf_object *object,
                       struct hf_manifest *manifest,
                       struct hf_error *error);                                             /* checks the digest */
char *hf_manifest_to_json (uint64_t version, const struct hf_manifest *manifest);           /* JSON text */
bool hf_vm_read (const struct hf_object *object, struct hf_vm *vm, struct hf_error *error); /* one VM */

#endif
