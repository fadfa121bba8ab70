/**
 * DOC: hf-fields-xdr - XDR form of a struct that a table of fields describes
 *
 * The same tables read YAML (hf-yaml) and this form, which is decoded in a
 * fraction of the time. It has no names, so both sides need the same table; a
 * hash of it precedes the values.
 */
#ifndef HF_FIELDS_XDR_H
#define HF_FIELDS_XDR_H

#include "hf-yaml.h"

/* --- public functions --- */

bool hf_fields_is_encoded (struct hf_str bytes);                                         /* false: may be YAML */
struct hf_str hf_fields_encode (const struct hf_yaml_field *fields, const void *values); /* freed by the caller */

/* Fills the struct at @out, which must be zeroed, and checks every range. False: *error is set. Either way the caller
 * releases the values with hf_yaml_free(). */
bool hf_fields_decode (struct hf_str bytes, const struct hf_yaml_field *fields, void *out, struct hf_error *error);

#endif
