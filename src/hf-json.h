/**
 * DOC: hf-json - JSON text of other writers, read with json-glib
 *
 * json-glib's parser calls itself for each level of nesting and rejects a whole
 * text for one value that it cannot read. So values that it could not read, or
 * would read wrongly, are replaced by null before it gets the text: containers
 * that are nested too deeply, numbers out of range, unknown words. Text that
 * is no UTF-8, and escapes of no character, become U+FFFD.
 */
#ifndef HF_JSON_H
#define HF_JSON_H

#include <json-glib/json-glib.h>

#include "hf-base.h"

/* --- public functions --- */

/* Returns the object that the text holds, which lives as long as the parser. NULL: it holds none, and *error says why.
 * *replaced: values and characters that were replaced. */
JsonObject *hf_json_load (JsonParser *parser, struct hf_str text, unsigned *replaced, struct hf_error *error);

#endif
