/**
 * DOC: hf-yaml - reads YAML into structs by a table of fields
 *
 * One table describes a struct: its keys, types, ranges, defaults and help.
 * The same table reads a file, names the place of each error, and describes
 * the fields to the console and to the documentation check.
 */
#ifndef HF_YAML_H
#define HF_YAML_H

#include "hf-base.h"

#define HF_YAML_REAL_SCALE 100 /* units of the default of a real number in one */

/* --- types --- */

/** enum hf_yaml_field_type - the shape of a field */
enum hf_yaml_field_type
{
  HF_YAML_STR,      /* struct hf_str */
  HF_YAML_INT,      /* int64_t, with min and max */
  HF_YAML_REAL,     /* double, with min and max; the default in hundredths */
  HF_YAML_BOOL,     /* bool */
  HF_YAML_CHOICE,   /* int64_t, an index into choices */
  HF_YAML_ADDRESS,  /* struct hf_str, IP:PORT */
  HF_YAML_STR_LIST, /* struct hf_list of struct hf_str */
  HF_YAML_MAP,      /* an embedded struct */
  HF_YAML_LIST,     /* struct hf_list of structs */
};

/**
 * struct hf_list - an array that was read from a sequence
 * @items: the elements, back to back
 * @n: how many
 */
struct hf_list
{
  void *items;
  size_t n;
};

/**
 * struct hf_yaml_field - one key of a mapping
 * @name: the key; NULL ends a table
 * @type: its shape
 * @offset: place in the struct
 * @required: an error if the key is missing
 * @min: least value, or least count of a list
 * @max: greatest value, or greatest count of a list
 * @default_value: default of a number, choice or truth value
 * @default_str: default of a string
 * @unit: unit in the documentation, or NULL
 * @help: one line for the console and the documentation
 * @choices: names of a choice, ended by NULL
 * @fields: table of a nested struct
 * @struct_size: bytes of a nested struct
 */
struct hf_yaml_field
{
  const char *name;
  enum hf_yaml_field_type type;
  size_t offset;
  bool required;
  int64_t min;
  int64_t max;
  int64_t default_value;
  const char *default_str;
  const char *unit;
  const char *help;
  const char *const *choices;
  const struct hf_yaml_field *fields;
  size_t struct_size;
};

/* --- public functions --- */

bool hf_yaml_load (struct hf_str text,
                   const struct hf_yaml_field *fields,
                   void *out,
                   struct hf_error *error);                             /* fills *out */
void hf_yaml_locate_error (struct hf_str text, struct hf_error *error); /* sets line and column of error->path */
void hf_yaml_free (const struct hf_yaml_field *fields, void *out);      /* frees what load made */
bool hf_address_is_valid (struct hf_str address);                       /* IP:PORT test */

#endif
