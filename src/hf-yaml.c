/* Reads YAML into structs by a table of fields, with libyaml. */
#include "hf-yaml.h"

#include <arpa/inet.h>
#include <gio/gio.h>
#include <string.h>
#include <yaml.h>

#include "config.h"

/* --- constants --- */

#define DURATION_BYTES_MAX 64
#define DURATION_MAX_MS    864000000.0 /* ten days; more is an error of its writer */

/* --- types --- */

struct reader
{
  yaml_document_t *yaml;
  struct hf_error *error;
  char path[128]; /* of the value being read, such as services[0].name */
};

/* --- internal functions --- */

static bool read_map (struct reader *reader, yaml_node_t *node, const struct hf_yaml_field *fields, void *out);

static bool
set_error (struct reader *reader, const yaml_node_t *node, const char *format, ...)
{
  va_list args;
  char text[200];
  va_start (args, format);
  g_vsnprintf (text, sizeof text, format, args);
  va_end (args);
  hf_error_set (reader->error, HF_ERROR_INVALID, "%s", text);
  if (reader->error)
    {
      reader->error->line = (unsigned) node->start_mark.line + 1;
      reader->error->column = (unsigned) node->start_mark.column + 1;
      g_strlcpy (reader->error->path, reader->path, sizeof reader->error->path);
    }
  return false;
}

static struct hf_str
scalar_text (const yaml_node_t *node)
{
  return (struct hf_str){ .data = (const char *) node->data.scalar.value, .len = node->data.scalar.length };
}

static bool
read_int (struct reader *reader, yaml_node_t *node, const struct hf_yaml_field *field, int64_t *out)
{
  GError *parse_error = NULL;
  gint64 value = 0;
  if (!g_ascii_string_to_signed ((const char *) node->data.scalar.value, 10, field->min, field->max, &value,
                                 &parse_error))
    {
      g_clear_error (&parse_error);
      return set_error (reader, node,
                        "expected a whole number from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT ", found \"%.40s\"",
                        field->min, field->max, node->data.scalar.value);
    }
  *out = value;
  return true;
}

static bool
read_real (struct reader *reader, yaml_node_t *node, const struct hf_yaml_field *field, double *out)
{
  const char *text = (const char *) node->data.scalar.value;
  char *end = NULL;
  double value = g_ascii_strtod (text, &end);
  bool is_number = end != text && *end == 0;
  if (!is_number || !(value >= (double) field->min && value <= (double) field->max))
    return set_error (reader, node,
                      "expected a number from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT ", found \"%.40s\"",
                      field->min, field->max, text);
  *out = value;
  return true;
}

static bool
read_bool (struct reader *reader, yaml_node_t *node, bool *out)
{
  struct hf_str text = scalar_text (node);
  *out = hf_str_equal (text, hf_str ("true"));
  if (*out || hf_str_equal (text, hf_str ("false")))
    return true;
  return set_error (reader, node, "expected true or false, found \"%.40s\"", text.data);
}

static bool
read_choice (struct reader *reader, yaml_node_t *node, const struct hf_yaml_field *field, int64_t *out)
{
  for (int64_t i = 0; field->choices[i]; i++)
    if (hf_str_equal (scalar_text (node), hf_str (field->choices[i])))
      {
        *out = i;
        return true;
      }
  char *names = g_strjoinv (", ", (char **) field->choices);
  set_error (reader, node, "expected one of %s, found \"%.40s\"", names, node->data.scalar.value);
  g_free (names);
  return false;
}

static bool
read_str (struct reader *reader, yaml_node_t *node, const struct hf_yaml_field *field, struct hf_str *out)
{
  struct hf_str text = scalar_text (node);
  if (memchr (text.data, 0, text.len) || !g_utf8_validate (text.data, (gssize) text.len, NULL))
    return set_error (reader, node, "expected UTF-8 text without NUL bytes");
  if (field->type == HF_YAML_ADDRESS && !hf_address_is_valid (text))
    return set_error (reader, node, "expected an address IP:PORT, found \"%.40s\"", text.data);
  if (field->max && (int64_t) text.len > field->max)
    return set_error (reader, node, "expected at most %" G_GINT64_FORMAT " bytes", field->max);
  if ((int64_t) text.len < field->min)
    return set_error (reader, node, "expected at least %" G_GINT64_FORMAT " bytes", field->min);
  hf_str_free (out);
  *out = hf_str_dup (text);
  return true;
}

static bool
read_duration (struct reader *reader, yaml_node_t *node, const struct hf_yaml_field *field, int64_t *out)
{
  if (!hf_duration_parse (scalar_text (node), out))
    return set_error (reader, node, "expected a duration such as 500ms or 1.5s, found \"%.40s\"",
                      node->data.scalar.value);
  if (*out < field->min || *out > field->max)
    return set_error (reader, node, "expected %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT " ms", field->min, field->max);
  return true;
}

static bool
read_list (struct reader *reader, yaml_node_t *node, const struct hf_yaml_field *field, struct hf_list *out)
{
  if (node->type != YAML_SEQUENCE_NODE)
    return set_error (reader, node, "expected a list");
  size_t n = (size_t) (node->data.sequence.items.top - node->data.sequence.items.start);
  if ((int64_t) n < field->min || (field->max && (int64_t) n > field->max))
    return set_error (reader, node, "expected %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT " list elements, found %zu",
                      field->min, field->max, n);
  size_t size = field->type == HF_YAML_LIST ? field->struct_size : sizeof (struct hf_str);
  size_t path_len = strlen (reader->path);
  out->items = g_malloc0_n (n + 1, size);
  out->n = n;
  for (size_t i = 0; i < n; i++)
    {
      yaml_node_t *item = yaml_document_get_node (reader->yaml, node->data.sequence.items.start[i]);
      void *place = (char *) out->items + i * size;
      const struct hf_yaml_field text = { .type = HF_YAML_STR };
      g_snprintf (reader->path + path_len, sizeof reader->path - path_len, "[%zu]", i);
      if (field->type == HF_YAML_STR_LIST && item->type != YAML_SCALAR_NODE)
        return set_error (reader, item, "expected text as list element");
      if (field->type == HF_YAML_STR_LIST ? !read_str (reader, item, &text, place)
                                          : !read_map (reader, item, field->fields, place))
        return false;
    }
  reader->path[path_len] = 0;
  return true;
}

static bool
read_field (struct reader *reader, yaml_node_t *node, const struct hf_yaml_field *field, void *place)
{
  bool is_scalar = field->type <= HF_YAML_ADDRESS;
  if (is_scalar && node->type != YAML_SCALAR_NODE)
    return set_error (reader, node, "expected a single value, found a list or mapping");
  switch (field->type)
    {
    case HF_YAML_INT:
      return read_int (reader, node, field, place);
    case HF_YAML_REAL:
      return read_real (reader, node, field, place);
    case HF_YAML_DURATION:
      return read_duration (reader, node, field, place);
    case HF_YAML_BOOL:
      return read_bool (reader, node, place);
    case HF_YAML_CHOICE:
      return read_choice (reader, node, field, place);
    case HF_YAML_STR:
    case HF_YAML_ADDRESS:
      return read_str (reader, node, field, place);
    case HF_YAML_MAP:
      hf_yaml_free (field->fields, place); /* read_map() sets the defaults again */
      return read_map (reader, node, field->fields, place);
    case HF_YAML_STR_LIST:
    case HF_YAML_LIST:
      return read_list (reader, node, field, place);
    }
  return false;
}

static const struct hf_yaml_field *
find_field (const struct hf_yaml_field *fields, struct hf_str name)
{
  for (; fields->name; fields++)
    if (hf_str_equal (hf_str (fields->name), name))
      return fields;
  return NULL;
}

static bool
read_map (struct reader *reader, yaml_node_t *node, const struct hf_yaml_field *fields, void *out)
{
  uint64_t seen = 0; /* bit i: the key of fields[i] was read */
  size_t path_len = strlen (reader->path);
  hf_yaml_set_defaults (fields, out);
  if (node->type != YAML_MAPPING_NODE)
    return set_error (reader, node, "expected a mapping");
  for (yaml_node_pair_t *pair = node->data.mapping.pairs.start; pair < node->data.mapping.pairs.top; pair++)
    {
      yaml_node_t *key = yaml_document_get_node (reader->yaml, pair->key);
      yaml_node_t *value = yaml_document_get_node (reader->yaml, pair->value);
      if (key->type != YAML_SCALAR_NODE)
        return set_error (reader, key, "expected a plain key");
      g_snprintf (reader->path + path_len, sizeof reader->path - path_len, "%s%.60s", path_len ? "." : "",
                  key->data.scalar.value);
      const struct hf_yaml_field *field = find_field (fields, scalar_text (key));
      if (!field)
        return set_error (reader, key, "unknown key \"%.60s\"", key->data.scalar.value);
      if (seen & (1ULL << (field - fields)))
        return set_error (reader, key, "key \"%s\" appears twice", field->name);
      seen |= 1ULL << (field - fields);
      if (!read_field (reader, value, field, (char *) out + field->offset))
        return false;
      reader->path[path_len] = 0;
    }
  for (const struct hf_yaml_field *field = fields; field->name; field++)
    if (field->required && !(seen & (1ULL << (field - fields))))
      return set_error (reader, node, "key \"%s\" is missing", field->name);
  return true;
}

static yaml_node_t *
find_key (yaml_document_t *yaml, const yaml_node_t *map, struct hf_str name)
{
  if (map->type != YAML_MAPPING_NODE)
    return NULL;
  for (yaml_node_pair_t *pair = map->data.mapping.pairs.start; pair < map->data.mapping.pairs.top; pair++)
    if (hf_str_equal (scalar_text (yaml_document_get_node (yaml, pair->key)), name))
      return yaml_document_get_node (yaml, pair->value);
  return NULL;
}

static yaml_node_t *
find_item (yaml_document_t *yaml, const yaml_node_t *list, guint64 i)
{
  if (list->type != YAML_SEQUENCE_NODE || list->data.sequence.items.start + i >= list->data.sequence.items.top)
    return NULL;
  return yaml_document_get_node (yaml, list->data.sequence.items.start[i]);
}

/* Finds the node of a path such as services[0].name, or else its deepest existing parent. */
static const yaml_node_t *
find_node (yaml_document_t *yaml, const char *path)
{
  const yaml_node_t *node = yaml_document_get_root_node (yaml);
  while (node && *path)
    {
      const yaml_node_t *next;
      size_t length = strcspn (path, ".[");
      if (*path == '[')
        {
          char *end = NULL;
          next = find_item (yaml, node, g_ascii_strtoull (path + 1, &end, 10));
          path = *end == ']' ? end + 1 : end;
        }
      else
        {
          next = find_key (yaml, node, (struct hf_str){ .data = path, .len = length });
          path += length;
        }
      if (!next)
        return node;
      node = next;
      path += *path == '.';
    }
  return node;
}

/* libyaml's time rises with the square of the depth. */
static bool
is_nested_too_deeply (struct hf_str text)
{
  yaml_parser_t parser;
  yaml_event_t event = { 0 };
  unsigned depth = 0;
  bool ended = false;
  yaml_parser_initialize (&parser);
  yaml_parser_set_input_string (&parser, (const unsigned char *) text.data, text.len);
  while (!ended && depth <= HF_YAML_DEPTH_MAX && yaml_parser_parse (&parser, &event))
    {
      bool opens = event.type == YAML_SEQUENCE_START_EVENT || event.type == YAML_MAPPING_START_EVENT;
      bool closes = event.type == YAML_SEQUENCE_END_EVENT || event.type == YAML_MAPPING_END_EVENT;
      depth += opens;
      depth -= closes;
      ended = event.type == YAML_STREAM_END_EVENT;
      yaml_event_delete (&event);
    }
  yaml_parser_delete (&parser);
  return depth > HF_YAML_DEPTH_MAX;
}

/* --- public functions --- */

bool
hf_duration_read (struct hf_str text, double *out_ms)
{
  char copy[DURATION_BYTES_MAX + 1];
  char *unit;
  if (text.len == 0 || text.len > DURATION_BYTES_MAX || !g_ascii_isdigit (text.data[0]))
    return false;
  memcpy (copy, text.data, text.len);
  copy[text.len] = 0;
  double number = g_ascii_strtod (copy, &unit);
  double scale = strcmp (unit, "ms") == 0 ? 1.0 : strcmp (unit, "s") == 0 ? 1000.0 : 0.0;
  *out_ms = number * scale;
  return scale != 0.0;
}

bool
hf_duration_parse (struct hf_str text, int64_t *out_ms)
{
  double duration_ms;
  if (!hf_duration_read (text, &duration_ms) || !(duration_ms <= DURATION_MAX_MS))
    return false;
  *out_ms = (int64_t) duration_ms;
  return true;
}

bool
hf_address_is_valid (struct hf_str address)
{
  if (address.len == 0)
    return false;
  char *text = g_strndup (address.data, address.len);
  char *colon = strrchr (text, ':');
  guint64 port = 0;
  struct in_addr host;
  bool valid = false;
  if (colon)
    {
      *colon = 0;
      valid = g_ascii_string_to_unsigned (colon + 1, 10, 0, G_MAXUINT16, &port, NULL)
              && inet_pton (AF_INET, text, &host) == 1;
    }
  g_free (text);
  return valid;
}

bool
hf_yaml_load (struct hf_str text, const struct hf_yaml_field *fields, void *out, struct hf_error *error)
{
  yaml_parser_t parser;
  yaml_document_t yaml;
  if (is_nested_too_deeply (text))
    return hf_error_set (error, HF_ERROR_SYNTAX, "nested more than %d levels deep", HF_YAML_DEPTH_MAX);
  yaml_parser_initialize (&parser);
  yaml_parser_set_input_string (&parser, (const unsigned char *) text.data, text.len);
  if (!yaml_parser_load (&parser, &yaml))
    {
      hf_error_set (error, HF_ERROR_SYNTAX, "not well-formed YAML: %s", parser.problem ? parser.problem : "unknown");
      if (error)
        {
          error->line = (unsigned) parser.problem_mark.line + 1;
          error->column = (unsigned) parser.problem_mark.column + 1;
        }
      yaml_parser_delete (&parser);
      return false;
    }
  struct reader reader = { .yaml = &yaml, .error = error };
  yaml_node_t *root = yaml_document_get_root_node (&yaml);
  bool ok
      = root ? read_map (&reader, root, fields, out) : hf_error_set (error, HF_ERROR_SYNTAX, "the document is empty");
  if (!root && error)
    error->line = error->column = 1;
  yaml_document_delete (&yaml);
  yaml_parser_delete (&parser);
  return ok;
}

void
hf_yaml_set_defaults (const struct hf_yaml_field *fields, void *out)
{
  for (const struct hf_yaml_field *field = fields; field->name; field++)
    {
      void *place = (char *) out + field->offset;
      if (field->type == HF_YAML_INT || field->type == HF_YAML_DURATION || field->type == HF_YAML_CHOICE)
        *(int64_t *) place = field->default_value;
      else if (field->type == HF_YAML_REAL)
        *(double *) place = (double) field->default_value / HF_YAML_REAL_SCALE;
      else if (field->type == HF_YAML_BOOL)
        *(bool *) place = field->default_value != 0;
      else if (field->type == HF_YAML_STR || field->type == HF_YAML_ADDRESS)
        *(struct hf_str *) place = hf_str_dup (hf_str (field->default_str ? field->default_str : ""));
      else if (field->type == HF_YAML_MAP)
        hf_yaml_set_defaults (field->fields, place);
    }
}

void
hf_yaml_clamp (const struct hf_yaml_field *fields, void *values)
{
  for (const struct hf_yaml_field *field = fields; field->name; field++)
    {
      void *place = (char *) values + field->offset;
      int64_t *number = place;
      double *real = place;
      const struct hf_list *list = place;
      bool is_int = field->type == HF_YAML_INT || field->type == HF_YAML_DURATION;
      if (is_int && (field->required || *number != field->default_value))
        *number = CLAMP (*number, field->min, field->max);
      else if (field->type == HF_YAML_REAL)
        *real = CLAMP (*real, (double) field->min, (double) field->max);
      else if (field->type == HF_YAML_MAP)
        hf_yaml_clamp (field->fields, place);
      for (size_t i = 0; field->type == HF_YAML_LIST && i < list->n; i++)
        hf_yaml_clamp (field->fields, (char *) list->items + i * field->struct_size);
    }
}

void
hf_yaml_locate_error (struct hf_str text, struct hf_error *error)
{
  yaml_parser_t parser;
  yaml_document_t yaml;
  yaml_parser_initialize (&parser);
  yaml_parser_set_input_string (&parser, (const unsigned char *) text.data, text.len);
  if (yaml_parser_load (&parser, &yaml))
    {
      const yaml_node_t *node = find_node (&yaml, error->path);
      if (node)
        {
          error->line = (unsigned) node->start_mark.line + 1;
          error->column = (unsigned) node->start_mark.column + 1;
        }
      yaml_document_delete (&yaml);
    }
  yaml_parser_delete (&parser);
}

void
hf_yaml_free (const struct hf_yaml_field *fields, void *out)
{
  for (const struct hf_yaml_field *field = fields; field->name; field++)
    {
      void *place = (char *) out + field->offset;
      struct hf_list *list = place;
      if (field->type == HF_YAML_STR || field->type == HF_YAML_ADDRESS)
        hf_str_free (place);
      else if (field->type == HF_YAML_MAP)
        hf_yaml_free (field->fields, place);
      else if (field->type == HF_YAML_LIST || field->type == HF_YAML_STR_LIST)
        {
          for (size_t i = 0; i < list->n; i++)
            if (field->type == HF_YAML_LIST)
              hf_yaml_free (field->fields, (char *) list->items + i * field->struct_size);
            else
              hf_str_free ((struct hf_str *) list->items + i);
          g_clear_pointer (&list->items, g_free);
          list->n = 0;
        }
    }
}
