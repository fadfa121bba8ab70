/* XDR form of structs, by their tables of fields, with libtirpc. */
#include "hf-fields-xdr.h"

#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>

/* --- constants --- */

#define ENCODE_BYTES_MIN 4096 /* first size of the buffer; doubled until the values fit */
#define ENCODE_BYTES_MAX (64 * 1024 * 1024)
#define ENCODED_MARK     0x00684601 /* its first byte, 0, begins no YAML text */

/* --- internal functions: values --- */

static bool convert_fields (XDR *xdr, const struct hf_yaml_field *fields, void *values);

/* Each of these encodes a value or decodes it, as x_op of the stream says. */
static bool
convert_str (XDR *xdr, struct hf_str *text)
{
  u_int len = (u_int) text->len;
  if (!xdr_u_int (xdr, &len))
    return false;
  if (xdr->x_op == XDR_ENCODE)
    return xdr_opaque (xdr, (char *) text->data, len);
  if (len > xdr->x_handy)
    return false;
  char *data = g_malloc (len + 1);
  data[len] = 0;
  *text = (struct hf_str){ .data = data, .len = len };
  return xdr_opaque (xdr, data, len);
}

static bool
convert_bool (XDR *xdr, bool *value)
{
  bool_t number = *value;
  bool ok = xdr_bool (xdr, &number);
  *value = number != 0;
  return ok;
}

static bool
convert_list (XDR *xdr, const struct hf_yaml_field *field, struct hf_list *list)
{
  u_int n = (u_int) list->n;
  size_t size = field->type == HF_YAML_LIST ? field->struct_size : sizeof (struct hf_str);
  bool ok = xdr_u_int (xdr, &n);
  if (ok && xdr->x_op == XDR_DECODE)
    {
      /* An element takes at least one unit of XDR. */
      if (n > xdr->x_handy / BYTES_PER_XDR_UNIT || (field->max && n > field->max))
        return false;
      list->items = g_malloc0_n (n + 1, size);
      list->n = n;
    }
  for (u_int i = 0; ok && i < n; i++)
    {
      void *item = (char *) list->items + i * size;
      ok = field->type == HF_YAML_LIST ? convert_fields (xdr, field->fields, item) : convert_str (xdr, item);
    }
  return ok;
}

static bool
convert_value (XDR *xdr, const struct hf_yaml_field *field, void *value)
{
  switch (field->type)
    {
    case HF_YAML_INT:
    case HF_YAML_DURATION:
    case HF_YAML_CHOICE:
      return xdr_int64_t (xdr, value);
    case HF_YAML_REAL:
      return xdr_double (xdr, value);
    case HF_YAML_BOOL:
      return convert_bool (xdr, value);
    case HF_YAML_STR:
    case HF_YAML_ADDRESS:
      return convert_str (xdr, value);
    case HF_YAML_MAP:
      return convert_fields (xdr, field->fields, value);
    case HF_YAML_STR_LIST:
    case HF_YAML_LIST:
      return convert_list (xdr, field, value);
    }
  return false;
}

static bool
convert_fields (XDR *xdr, const struct hf_yaml_field *fields, void *values)
{
  for (const struct hf_yaml_field *field = fields; field->name; field++)
    if (!convert_value (xdr, field, (char *) values + field->offset))
      return false;
  return true;
}

/* Hash of all names and types of a table. */
static uint64_t
table_digest (const struct hf_yaml_field *fields)
{
  uint64_t digest = 0;
  for (const struct hf_yaml_field *field = fields; field->name; field++)
    {
      digest = hf_hash_pair (hf_hash (hf_str (field->name), digest), field->type);
      if (field->fields)
        digest = hf_hash_pair (digest, table_digest (field->fields));
    }
  return digest;
}

/* The mark and the table of fields that the values were encoded with; false: they differ from this program's. */
static bool
convert_header (XDR *xdr, const struct hf_yaml_field *fields)
{
  u_int mark = ENCODED_MARK;
  uint64_t own_digest = table_digest (fields);
  uint64_t digest = own_digest;
  return xdr_u_int (xdr, &mark) && xdr_uint64_t (xdr, &digest) && mark == ENCODED_MARK && digest == own_digest;
}

/* --- internal functions: ranges --- */

static bool
is_str_valid (const struct hf_yaml_field *field, struct hf_str text)
{
  bool may_be_empty = !field->required && (!field->default_str || !field->default_str[0]);
  if (memchr (text.data, 0, text.len) || !g_utf8_validate (text.data, (gssize) text.len, NULL))
    return false;
  if (field->type == HF_YAML_STR_LIST || (text.len == 0 && may_be_empty))
    return true;
  if (field->type == HF_YAML_ADDRESS)
    return hf_address_is_valid (text);
  return (int64_t) text.len >= field->min && (field->max == 0 || (int64_t) text.len <= field->max);
}

static bool
is_list_valid (const struct hf_yaml_field *field, const struct hf_list *list)
{
  if (list->n == 0 && !field->required)
    return true; /* the key was absent */
  if ((int64_t) list->n < field->min || (field->max && (int64_t) list->n > field->max))
    return false;
  for (size_t i = 0; field->type == HF_YAML_STR_LIST && i < list->n; i++)
    if (!is_str_valid (field, ((const struct hf_str *) list->items)[i]))
      return false;
  return true;
}

/* The ranges that hf-yaml checks. */
static bool
is_value_valid (const struct hf_yaml_field *field, const void *value)
{
  const int64_t *number = value;
  const double *real = value;
  switch (field->type)
    {
    case HF_YAML_INT:
    case HF_YAML_DURATION:
      return (!field->required && *number == field->default_value) || (*number >= field->min && *number <= field->max);
    case HF_YAML_REAL:
      return *real >= (double) field->min && *real <= (double) field->max;
    case HF_YAML_CHOICE:
      return *number >= 0 && *number < (int64_t) g_strv_length ((char **) field->choices);
    case HF_YAML_STR:
    case HF_YAML_ADDRESS:
      return is_str_valid (field, *(const struct hf_str *) value);
    case HF_YAML_STR_LIST:
    case HF_YAML_LIST:
      return is_list_valid (field, value);
    case HF_YAML_BOOL:
    case HF_YAML_MAP:
      return true;
    }
  return false;
}

static bool
check_fields (const struct hf_yaml_field *fields, const void *values, struct hf_error *error)
{
  for (const struct hf_yaml_field *field = fields; field->name; field++)
    {
      const void *value = (const char *) values + field->offset;
      const struct hf_list *list = value;
      if (!is_value_valid (field, value))
        return hf_error_set (error, HF_ERROR_INVALID, "key \"%s\" has a value out of its range", field->name);
      if (field->type == HF_YAML_MAP && !check_fields (field->fields, value, error))
        return false;
      for (size_t i = 0; field->type == HF_YAML_LIST && i < list->n; i++)
        if (!check_fields (field->fields, (const char *) list->items + i * field->struct_size, error))
          return false;
    }
  return true;
}

/* --- public functions --- */

struct hf_str
hf_fields_encode (const struct hf_yaml_field *fields, const void *values)
{
  for (u_int size = ENCODE_BYTES_MIN; size <= ENCODE_BYTES_MAX; size *= 2)
    {
      XDR xdr;
      char *bytes = g_malloc (size);
      xdrmem_create (&xdr, bytes, size, XDR_ENCODE);
      bool ok = convert_header (&xdr, fields) && convert_fields (&xdr, fields, (void *) values);
      size_t len = xdr_getpos (&xdr);
      xdr_destroy (&xdr);
      if (ok)
        return (struct hf_str){ .data = g_realloc (bytes, len + 1), .len = len };
      g_free (bytes);
    }
  g_assert_not_reached ();
}

bool
hf_fields_is_encoded (struct hf_str bytes)
{
  return bytes.len > 0 && bytes.data[0] == 0;
}

bool
hf_fields_decode (struct hf_str bytes, const struct hf_yaml_field *fields, void *out, struct hf_error *error)
{
  XDR xdr;
  xdrmem_create (&xdr, (char *) bytes.data, (u_int) bytes.len, XDR_DECODE);
  bool known = convert_header (&xdr, fields);
  bool whole = known && convert_fields (&xdr, fields, out) && xdr_getpos (&xdr) == bytes.len;
  xdr_destroy (&xdr);
  if (!known)
    return hf_error_set (error, HF_ERROR_SYNTAX, "the values were encoded with another table of fields");
  if (!whole)
    return hf_error_set (error, HF_ERROR_SYNTAX, "the encoded values are truncated or malformed");
  return check_fields (fields, out, error);
}
