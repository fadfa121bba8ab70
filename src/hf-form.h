/**
 * DOC: hf-form - a document as values by path
 *
 * What the console's forms edit: every value is text under a path such as
 * services[0].name, valid or not, and can be written as one YAML document.
 */
#ifndef HF_FORM_H
#define HF_FORM_H

#include <glib.h>

#include "hf-document.h"

/* --- types --- */

/** struct hf_form - values and list lengths by path */
struct hf_form
{
  GHashTable *values;       /* text by path */
  GHashTable *list_lengths; /* length by path of a list */
};

/* --- public functions --- */

void hf_form_init (struct hf_form *form);                                             /* empty */
void hf_form_close (struct hf_form *form);                                            /* frees all */
bool hf_form_load (struct hf_form *form, struct hf_str text, struct hf_error *error); /* values of a valid document */
char *hf_form_to_yaml (const struct hf_form *form);                                   /* YAML text */
const char *hf_form_get (const struct hf_form *form, const char *path);               /* "" if there is none */
void hf_form_set (struct hf_form *form, const char *path, const char *value);         /* replaces a value */
guint hf_form_list_length (const struct hf_form *form, const char *list);             /* length of a list */
void hf_form_add_element (struct hf_form *form, const char *list);             /* appends an element with defaults */
void hf_form_remove_element (struct hf_form *form, const char *list, guint i); /* removes an element */

#endif
