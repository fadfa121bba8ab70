/**
 * DOC: hf-objects - JSON objects of the platform's object API
 *
 * Reads and writes the objects that are stored through the object API, and
 * reads the lines of a watch.
 */
#ifndef HF_OBJECTS_H
#define HF_OBJECTS_H

#include <glib.h>
#include <json-glib/json-glib.h>

#include "hf-base.h"

/* --- types --- */

/** enum hf_watch_event_type - type of one line of a watch */
enum hf_watch_event_type
{
  HF_WATCH_CHANGED,  /* added or modified */
  HF_WATCH_DELETED,  /* removed */
  HF_WATCH_BOOKMARK, /* new version, no change */
};

/**
 * struct hf_object - one object, or the object in one line of a watch
 * @parser: owns the JSON
 * @event_type: type of the watch line
 * @name: name in the collection, borrowed from @parser
 * @version: resourceVersion
 * @data: member "data", or NULL
 */
struct hf_object
{
  JsonParser *parser;
  enum hf_watch_event_type event_type;
  struct hf_str name;
  uint64_t version;
  JsonObject *data;
};

/** struct hf_manifest - the document of desired state as the platform stores it */
struct hf_manifest
{
  uint64_t generation;    /* from 1 on */
  uint64_t digest;        /* hf_hash of the document */
  struct hf_str document; /* YAML text */
};

/** struct hf_vm - one VM of the platform's VM list */
struct hf_vm
{
  struct hf_str role;           /* entry or backend */
  struct hf_str address;        /* IP:PORT */
  struct hf_str failure_domain; /* empty if absent */
  bool draining;                /* phase Leaving */
};

/* --- public functions: any object --- */

/* These load an object that is to be unloaded, or return false and *error. */
bool hf_object_load (struct hf_str text, struct hf_object *object, struct hf_error *error);       /* one object */
bool hf_object_load_watch (struct hf_str line, struct hf_object *object, struct hf_error *error); /* a watch line */
void hf_object_unload (struct hf_object *object);                                                 /* frees the JSON */

/* These read a member of the object's data. */
struct hf_str hf_object_get_str (const struct hf_object *object, const char *member); /* borrowed; empty if absent */
uint64_t hf_object_get_hex (const struct hf_object *object, const char *member);      /* hex string; 0 if absent */
uint64_t hf_object_get_uint (const struct hf_object *object, const char *member);     /* number; 0 if absent */

/* Returns JSON text, to be freed; takes ownership of @data. Version 0: the object is to be created. */
char *hf_object_to_json (const char *name, uint64_t version, JsonNode *data);

/* --- public functions: typed objects; strings are borrowed from the object --- */

/* Returns false and *error if generation or document is missing, or if the digest does not match the document. */
bool hf_manifest_read (const struct hf_object *object, struct hf_manifest *manifest, struct hf_error *error);
char *hf_manifest_to_json (uint64_t version, const struct hf_manifest *manifest); /* JSON text, to be freed */
/* Returns false and *error if the name or the address is missing. */
bool hf_vm_read (const struct hf_object *object, struct hf_vm *vm, struct hf_error *error);

#endif
