/**
 * DOC: hf-yaml - reads YAML into structs by a table of fields
 *
 * A table describes the keys of a struct: types, ranges, defaults and help
 * texts. It is used to read a file, to report the position of each error, to
 * build the console's forms, and to check docs/CONFIGURATION.md.
 */
#ifndef HF_YAML_H
#define HF_YAML_H

#include "hf-base.h"

#define HF_YAML_REAL_SCALE 100 /* default_value of HF_YAML_REAL is in 1/100 */

/* --- types --- */

/** enum hf_yaml_field_type - type of a value, and of the struct field that stores it */
enum hf_yaml_field_type
{
  HF_YAML_STR,      /* struct hf_str */
  HF_YAML_INT,      /* int64_t, with min and max */
  HF_YAML_REAL,     /* double, with min and max; default in 1/HF_YAML_REAL_SCALE */
  HF_YAML_DURATION, /* int64_t in milliseconds, written with its unit: 500ms, 1.5s */
  HF_YAML_BOOL,     /* bool */
  HF_YAML_CHOICE,   /* int64_t, index into choices */
  HF_YAML_ADDRESS,  /* struct hf_str, IP:PORT */
  HF_YAML_STR_LIST, /* struct hf_list of struct hf_str */
  HF_YAML_MAP,      /* embedded struct */
  HF_YAML_LIST,     /* struct hf_list of structs */
};

/**
 * struct hf_list - array read from a YAML sequence
 * @items: elements, stored contiguously
 * @n: number of elements
 */
struct hf_list
{
  void *items;
  size_t n;
};

/**
 * struct hf_yaml_field - key of a YAML mapping
 * @name: key; NULL ends a table, which has at most 64 keys
 * @type: type of the value
 * @offset: offset of the field in the struct, in bytes
 * @required: true: a missing key is an error
 * @min: least number, length of a string in bytes, or number of list elements
 * @max: greatest of these; 0: no limit for strings and lists
 * @default_value: default of a number, choice or boolean
 * @default_str: default of a string
 * @unit: unit shown in the console and the documentation, or NULL
 * @help: description in one line, the same in docs/CONFIGURATION.md
 * @secret: true: its values are shown as prefixes of digests only
 * @choices: names of the choices, NULL-terminated
 * @fields: table of the nested struct, for HF_YAML_MAP and HF_YAML_LIST
 * @struct_size: size of the nested struct in bytes
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
  bool secret;
  const char *const *choices;
  const struct hf_yaml_field *fields;
  size_t struct_size;
};

/* --- public functions --- */

/* Fills the struct at @out, which must be zeroed; absent keys get defaults. False: *error is set. Either way the caller
 * releases the values with hf_yaml_free(). */
bool hf_yaml_load (struct hf_str text, const struct hf_yaml_field *fields, void *out, struct hf_error *error);
void hf_yaml_set_defaults (const struct hf_yaml_field *fields, void *out); /* fills a zeroed struct */
void hf_yaml_clamp (const struct hf_yaml_field *fields, void *values);     /* numbers out of range: the nearest in it */
void hf_yaml_locate_error (struct hf_str text, struct hf_error *error);    /* sets line and column from error->path */
void hf_yaml_free (const struct hf_yaml_field *fields, void *out);         /* frees strings and lists of *out */
bool hf_duration_read (struct hf_str text, double *out_ms);                /* the same without a limit */
bool hf_duration_parse (struct hf_str text, int64_t *out_ms); /* 500ms, 1.5s; false: none, or over ten days */
bool hf_address_is_valid (struct hf_str address);             /* true for IP:PORT, IPv4 */

#endif
