/* Editable document as values by path, written as YAML with libyaml's emitter. */
#include "hf-form.h"

#include <string.h>
#include <yaml.h>

#include "hf-organisations.h"

/* --- types --- */

/* A YAML text that is being written. */
struct writer
{
  yaml_emitter_t emitter;
  bool hides_secrets; /* digests are written in place of secret values */
};

/* --- internal functions: paths --- */

static char *
join_path (const char *prefix, const char *name)
{
  return *prefix ? g_strdup_printf ("%s.%s", prefix, name) : g_strdup (name);
}

/* Returns the field table of a list's elements, found by @key, the last key of the list's path, or NULL. */
static const struct hf_yaml_field *
find_element_fields (const struct hf_yaml_field *fields, const char *key)
{
  for (const struct hf_yaml_field *field = fields; field->name; field++)
    {
      if (field->type != HF_YAML_LIST)
        continue;
      const struct hf_yaml_field *found
          = strcmp (field->name, key) == 0 ? field->fields : find_element_fields (field->fields, key);
      if (found)
        return found;
    }
  return NULL;
}

/* --- internal functions: lists of strings as one text, separated by commas --- */

/* A comma or backslash that belongs to an item follows a backslash. */
static char *
format_str_list (const struct hf_list *list)
{
  GString *text = g_string_new (NULL);
  const struct hf_str *items = list->items;
  for (size_t i = 0; i < list->n; i++)
    {
      g_string_append (text, i ? ", " : "");
      for (size_t k = 0; k < items[i].len; k++)
        {
          if (strchr (",\\", items[i].data[k]))
            g_string_append_c (text, '\\');
          g_string_append_c (text, items[i].data[k]);
        }
    }
  return g_string_free (text, FALSE);
}

static GPtrArray *
parse_str_list (const char *text)
{
  GPtrArray *items = g_ptr_array_new_with_free_func (g_free);
  GString *item = g_string_new (NULL);
  for (const char *at = text;; at++)
    {
      if (*at != 0 && *at != ',')
        {
          if (*at == '\\' && at[1])
            at++;
          g_string_append_c (item, *at);
          continue;
        }
      g_strstrip (item->str);
      if (item->str[0])
        g_ptr_array_add (items, g_strdup (item->str));
      g_string_truncate (item, 0);
      if (*at == 0)
        break;
    }
  g_string_free (item, TRUE);
  return items;
}

/* --- internal functions: values of a loaded document --- */

static char *
format_field (const struct hf_yaml_field *field, const void *place)
{
  switch (field->type)
    {
    case HF_YAML_STR:
    case HF_YAML_ADDRESS:
      return g_strdup (((const struct hf_str *) place)->data);
    case HF_YAML_INT:
      return g_strdup_printf ("%" G_GINT64_FORMAT, *(const int64_t *) place);
    case HF_YAML_DURATION:
      return g_strdup_printf ("%" G_GINT64_FORMAT "ms", *(const int64_t *) place);
    case HF_YAML_REAL:
      return g_strdup_printf ("%g", *(const double *) place);
    case HF_YAML_BOOL:
      return g_strdup (*(const bool *) place ? "true" : "false");
    case HF_YAML_CHOICE:
      return g_strdup (field->choices[*(const int64_t *) place]);
    case HF_YAML_STR_LIST:
      return format_str_list (place);
    case HF_YAML_MAP:
    case HF_YAML_LIST:
      break;
    }
  return NULL;
}

static void
set_struct_values (struct hf_form *form, const struct hf_yaml_field *fields, const char *prefix, const void *data);

static void
set_list_values (struct hf_form *form, const struct hf_yaml_field *field, const char *path, const struct hf_list *list)
{
  for (size_t i = 0; i < list->n; i++)
    {
      char *item = g_strdup_printf ("%s[%zu]", path, i);
      set_struct_values (form, field->fields, item, (const char *) list->items + i * field->struct_size);
      g_free (item);
    }
  g_hash_table_insert (form->list_lengths, g_strdup (path), GUINT_TO_POINTER ((guint) list->n));
}

static void
set_field_value (struct hf_form *form, const struct hf_yaml_field *field, const char *path, const void *place)
{
  char *text = format_field (field, place);
  hf_form_set (form, path, text);
  g_free (text);
}

static void
set_struct_values (struct hf_form *form, const struct hf_yaml_field *fields, const char *prefix, const void *data)
{
  for (const struct hf_yaml_field *field = fields; field->name; field++)
    {
      const void *place = (const char *) data + field->offset;
      char *path = join_path (prefix, field->name);
      if (field->type == HF_YAML_LIST)
        set_list_values (form, field, path, place);
      else if (field->type == HF_YAML_MAP)
        set_struct_values (form, field->fields, path, place);
      else
        set_field_value (form, field, path, place);
      g_free (path);
    }
}

static bool
has_values (const struct hf_form *form, const struct hf_yaml_field *fields, const char *prefix)
{
  bool found = false;
  for (const struct hf_yaml_field *field = fields; field->name && !found; field++)
    {
      char *path = join_path (prefix, field->name);
      found = *hf_form_get (form, path) != 0;
      g_free (path);
    }
  return found;
}

/* --- internal functions: YAML --- */

static void
emit_scalar (struct writer *writer, const char *text, bool quoted)
{
  yaml_event_t event;
  yaml_scalar_style_t style = quoted ? YAML_DOUBLE_QUOTED_SCALAR_STYLE : YAML_PLAIN_SCALAR_STYLE;
  yaml_scalar_event_initialize (&event, NULL, NULL, (const yaml_char_t *) text, (int) strlen (text), 1, 1, style);
  yaml_emitter_emit (&writer->emitter, &event);
}

static void
emit_secret (struct writer *writer, const char *text)
{
  char digest[HF_KEY_DIGEST_CHARS + 1];
  hf_organisations_key_digest (hf_str (text), digest);
  char *shown = g_strdup_printf ("sha256:%s", digest);
  emit_scalar (writer, shown, true);
  g_free (shown);
}

static void
emit_str_list (struct writer *writer, const struct hf_yaml_field *field, const char *text)
{
  yaml_event_t event;
  GPtrArray *items = parse_str_list (text);
  yaml_sequence_start_event_initialize (&event, NULL, NULL, 1, YAML_FLOW_SEQUENCE_STYLE);
  yaml_emitter_emit (&writer->emitter, &event);
  for (guint i = 0; i < items->len; i++)
    if (field->secret && writer->hides_secrets)
      emit_secret (writer, g_ptr_array_index (items, i));
    else
      emit_scalar (writer, g_ptr_array_index (items, i), false);
  yaml_sequence_end_event_initialize (&event);
  yaml_emitter_emit (&writer->emitter, &event);
  g_ptr_array_unref (items);
}

static void
emit_map (struct writer *writer, const struct hf_form *form, const struct hf_yaml_field *fields, const char *prefix);

static void
emit_list (struct writer *writer, const struct hf_form *form, const struct hf_yaml_field *field, const char *path)
{
  yaml_event_t event;
  yaml_sequence_start_event_initialize (&event, NULL, NULL, 1, YAML_BLOCK_SEQUENCE_STYLE);
  yaml_emitter_emit (&writer->emitter, &event);
  for (guint i = 0; i < hf_form_list_length (form, path); i++)
    {
      char *item = g_strdup_printf ("%s[%u]", path, i);
      emit_map (writer, form, field->fields, item);
      g_free (item);
    }
  yaml_sequence_end_event_initialize (&event);
  yaml_emitter_emit (&writer->emitter, &event);
}

static void
emit_field (struct writer *writer, const struct hf_form *form, const struct hf_yaml_field *field, const char *path)
{
  const char *text = hf_form_get (form, path);
  bool is_text = field->type == HF_YAML_STR || field->type == HF_YAML_ADDRESS;
  bool is_empty = field->type == HF_YAML_MAP ? !has_values (form, field->fields, path) : *text == 0;
  /* An empty optional value is omitted, so that its default applies. */
  if (field->type != HF_YAML_LIST && is_empty && !field->required)
    return;
  emit_scalar (writer, field->name, false);
  if (field->type == HF_YAML_LIST)
    emit_list (writer, form, field, path);
  else if (field->type == HF_YAML_MAP)
    emit_map (writer, form, field->fields, path);
  else if (field->type == HF_YAML_STR_LIST)
    emit_str_list (writer, field, text);
  else
    emit_scalar (writer, text, is_text);
}

static void
emit_map (struct writer *writer, const struct hf_form *form, const struct hf_yaml_field *fields, const char *prefix)
{
  yaml_event_t event;
  yaml_mapping_start_event_initialize (&event, NULL, NULL, 1, YAML_BLOCK_MAPPING_STYLE);
  yaml_emitter_emit (&writer->emitter, &event);
  for (const struct hf_yaml_field *field = fields; field->name; field++)
    {
      char *path = join_path (prefix, field->name);
      emit_field (writer, form, field, path);
      g_free (path);
    }
  yaml_mapping_end_event_initialize (&event);
  yaml_emitter_emit (&writer->emitter, &event);
}

static int
append_bytes (void *data, unsigned char *bytes, size_t size)
{
  g_string_append_len (data, (const char *) bytes, (gssize) size);
  return 1;
}

static char *
write_yaml (const struct hf_form *form, bool hides_secrets)
{
  struct writer writer = { .hides_secrets = hides_secrets };
  yaml_emitter_t *emitter = &writer.emitter;
  yaml_event_t event;
  GString *text = g_string_new (NULL);
  yaml_emitter_initialize (emitter);
  yaml_emitter_set_output (emitter, append_bytes, text);
  yaml_emitter_set_unicode (emitter, 1);
  yaml_stream_start_event_initialize (&event, YAML_UTF8_ENCODING);
  yaml_emitter_emit (emitter, &event);
  yaml_document_start_event_initialize (&event, NULL, NULL, NULL, 1);
  yaml_emitter_emit (emitter, &event);
  emit_map (&writer, form, hf_document_fields, "");
  yaml_document_end_event_initialize (&event, 1);
  yaml_emitter_emit (emitter, &event);
  yaml_stream_end_event_initialize (&event);
  yaml_emitter_emit (emitter, &event);
  yaml_emitter_delete (emitter);
  return g_string_free (text, FALSE);
}

/* --- internal functions: lists --- */

/* Moves the paths in @map that belong to element @from of a list to element @to; removes them if @to is negative. */
static void
move_element (GHashTable *map, const char *list, guint from, int to)
{
  char *prefix = g_strdup_printf ("%s[%u]", list, from);
  GHashTableIter iter;
  char *path;
  gpointer value;
  GPtrArray *moved = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, map);
  while (g_hash_table_iter_next (&iter, (gpointer *) &path, &value))
    {
      if (!g_str_has_prefix (path, prefix))
        continue;
      if (to < 0)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      g_ptr_array_add (moved, g_strdup_printf ("%s[%d]%s", list, to, path + strlen (prefix)));
      g_ptr_array_add (moved, value);
      g_hash_table_iter_steal (&iter);
      g_free (path);
    }
  for (guint i = 0; i < moved->len; i += 2)
    g_hash_table_replace (map, g_ptr_array_index (moved, i), g_ptr_array_index (moved, i + 1));
  g_ptr_array_unref (moved);
  g_free (prefix);
}

static char *
format_default (const struct hf_yaml_field *field)
{
  switch (field->type)
    {
    case HF_YAML_INT:
      return g_strdup_printf ("%" G_GINT64_FORMAT, field->default_value);
    case HF_YAML_BOOL:
      return g_strdup ("false");
    case HF_YAML_CHOICE:
      return g_strdup (field->choices[field->default_value]);
    default:
      return g_strdup (field->default_str ? field->default_str : "");
    }
}

static void
set_default_values (struct hf_form *form, const struct hf_yaml_field *fields, const char *prefix)
{
  for (const struct hf_yaml_field *field = fields; field->name; field++)
    {
      char *path = join_path (prefix, field->name);
      char *text = format_default (field);
      if (field->type == HF_YAML_LIST)
        g_hash_table_insert (form->list_lengths, g_strdup (path), NULL);
      else if (field->type == HF_YAML_MAP)
        set_default_values (form, field->fields, path);
      else
        hf_form_set (form, path, text);
      g_free (text);
      g_free (path);
    }
}

/* --- public functions --- */

void
hf_form_init (struct hf_form *form)
{
  form->values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  form->list_lengths = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
hf_form_close (struct hf_form *form)
{
  g_hash_table_destroy (form->values);
  g_hash_table_destroy (form->list_lengths);
}

bool
hf_form_load (struct hf_form *form, struct hf_str text, struct hf_error *error)
{
  struct hf_document *document = hf_document_load (text, error);
  if (!document)
    return false;
  hf_form_close (form);
  hf_form_init (form);
  set_struct_values (form, hf_document_fields, "", document);
  hf_document_unref (document);
  return true;
}

char *
hf_form_to_yaml (const struct hf_form *form)
{
  return write_yaml (form, false);
}

char *
hf_form_to_shown_yaml (const struct hf_form *form)
{
  return write_yaml (form, true);
}

const char *
hf_form_get (const struct hf_form *form, const char *path)
{
  const char *value = g_hash_table_lookup (form->values, path);
  return value ? value : "";
}

void
hf_form_set (struct hf_form *form, const char *path, const char *value)
{
  g_hash_table_replace (form->values, g_strdup (path), g_strdup (value ? value : ""));
}

guint
hf_form_list_length (const struct hf_form *form, const char *list)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (form->list_lengths, list));
}

void
hf_form_add_element (struct hf_form *form, const char *list)
{
  const char *key = strrchr (list, '.') ? strrchr (list, '.') + 1 : list;
  const struct hf_yaml_field *fields = find_element_fields (hf_document_fields, key);
  guint n = hf_form_list_length (form, list);
  char *item = g_strdup_printf ("%s[%u]", list, n);
  if (fields)
    set_default_values (form, fields, item);
  g_free (item);
  if (fields)
    g_hash_table_insert (form->list_lengths, g_strdup (list), GUINT_TO_POINTER (n + 1));
}

void
hf_form_remove_element (struct hf_form *form, const char *list, guint i)
{
  guint n = hf_form_list_length (form, list);
  if (i >= n)
    return;
  move_element (form->values, list, i, -1);
  move_element (form->list_lengths, list, i, -1);
  for (guint next = i + 1; next < n; next++)
    {
      move_element (form->values, list, next, (int) next - 1);
      move_element (form->list_lengths, list, next, (int) next - 1);
    }
  g_hash_table_insert (form->list_lengths, g_strdup (list), GUINT_TO_POINTER (n - 1));
}
