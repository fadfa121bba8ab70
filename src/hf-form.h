/**
 * DOC: hf-form - editable document as values by path
 *
 * Holds what the console's forms edit: each value is text under a path such as
 * services[0].name, valid or not. The values can be written as a YAML document.
 */
#ifndef HF_FORM_H
#define HF_FORM_H

#include <glib.h>

#include "hf-document.h"

/* --- types --- */

/** struct hf_form - values and list lengths by path */
struct hf_form
{
  GHashTable *values;       /* path -> text of a value */
  GHashTable *list_lengths; /* path of a list -> number of its elements */
};

/* --- public functions: load and write --- */

void hf_form_init (struct hf_form *form);                                             /* without values */
void hf_form_close (struct hf_form *form);                                            /* frees all values */
bool hf_form_load (struct hf_form *form, struct hf_str text, struct hf_error *error); /* false: not valid, form kept */
char *hf_form_to_yaml (const struct hf_form *form);                                   /* YAML text, to be freed */
char *hf_form_to_shown_yaml (const struct hf_form *form); /* the same with digests in place of keys */

/* --- public functions: values --- */

const char *hf_form_get (const struct hf_form *form, const char *path);       /* borrowed; "" if absent */
void hf_form_set (struct hf_form *form, const char *path, const char *value); /* NULL sets "" */

/* --- public functions: lists --- */

guint hf_form_list_length (const struct hf_form *form, const char *list);      /* 0 if absent */
void hf_form_add_element (struct hf_form *form, const char *list);             /* appends one with default values */
void hf_form_remove_element (struct hf_form *form, const char *list, guint i); /* later elements move up by one */

#endif
