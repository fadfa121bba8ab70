/* History of one request from log files. */
#include "hf-explain.h"

#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

/* --- types --- */

struct hf_explain
{
  char *request_id;
  GPtrArray *matches; /* JsonNode, log lines of the request */
  guint unreadable_lines;
};

/* --- internal functions --- */

static double
time_of (JsonNode *node)
{
  return json_object_get_double_member_with_default (json_node_get_object (node), "time", 0);
}

static int
compare_times (gconstpointer a, gconstpointer b)
{
  double left = time_of (*(JsonNode *const *) a);
  double right = time_of (*(JsonNode *const *) b);
  return left < right ? -1 : left > right;
}

static bool
is_common_member (const char *member)
{
  static const char *const names[] = { "time", "level", "event", "name", "entry", "request" };
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (strcmp (names[i], member) == 0)
      return true;
  return false;
}

static void
append_event_members (GString *text, JsonObject *object)
{
  GList *members = json_object_get_members (object);
  for (GList *member = members; member; member = member->next)
    {
      if (is_common_member (member->data))
        continue;
      char *value = json_to_string (json_object_get_member (object, member->data), FALSE);
      g_string_append_printf (text, " %s=%s", (const char *) member->data, value);
      g_free (value);
    }
  g_list_free (members);
}

static void
append_event_line (GString *text, JsonNode *node, double start_time)
{
  JsonObject *object = json_node_get_object (node);
  g_string_append_printf (text, "%+9.1f ms  %-18s HF%d %-17s", (time_of (node) - start_time) * 1000,
                          json_object_get_string_member_with_default (object, "entry", "?"),
                          (int) json_object_get_int_member_with_default (object, "event", 0),
                          json_object_get_string_member_with_default (object, "name", "?"));
  append_event_members (text, object);
  g_string_append_c (text, '\n');
}

/* --- public functions --- */

struct hf_explain *
hf_explain_open (const char *request_id)
{
  struct hf_explain *explain = g_new0 (struct hf_explain, 1);
  explain->request_id = g_strdup (request_id);
  explain->matches = g_ptr_array_new_with_free_func ((GDestroyNotify) json_node_unref);
  return explain;
}

void
hf_explain_close (struct hf_explain *explain)
{
  g_ptr_array_unref (explain->matches);
  g_free (explain->request_id);
  g_free (explain);
}

bool
hf_explain_read_file (struct hf_explain *explain, const char *path, struct hf_error *error)
{
  FILE *file = strcmp (path, "-") == 0 ? stdin : fopen (path, "r");
  char *line = NULL;
  size_t size = 0;
  if (!file)
    return hf_error_set (error, HF_ERROR_IO, "cannot open %s", path);
  while (getline (&line, &size, file) >= 0)
    hf_explain_read_line (explain, g_strchomp (line));
  free (line);
  if (file != stdin)
    fclose (file);
  return true;
}

void
hf_explain_read_line (struct hf_explain *explain, const char *line)
{
  if (line[0] == 0)
    return;
  JsonNode *node = json_from_string (line, NULL);
  if (!node || !JSON_NODE_HOLDS_OBJECT (node))
    {
      explain->unreadable_lines++;
      g_clear_pointer (&node, json_node_unref);
      return;
    }
  JsonNode *id = json_object_get_member (json_node_get_object (node), "request");
  bool is_text = id && JSON_NODE_HOLDS_VALUE (id) && json_node_get_value_type (id) == G_TYPE_STRING;
  if (is_text && strcmp (json_node_get_string (id), explain->request_id) == 0)
    g_ptr_array_add (explain->matches, node);
  else
    json_node_unref (node);
}

guint
hf_explain_count_matches (const struct hf_explain *explain)
{
  return explain->matches->len;
}

guint
hf_explain_count_unreadable (const struct hf_explain *explain)
{
  return explain->unreadable_lines;
}

char *
hf_explain_format_text (struct hf_explain *explain)
{
  GString *text = g_string_new (NULL);
  g_ptr_array_sort (explain->matches, compare_times);
  for (guint i = 0; i < explain->matches->len; i++)
    append_event_line (text, g_ptr_array_index (explain->matches, i),
                       time_of (g_ptr_array_index (explain->matches, 0)));
  return g_string_free (text, FALSE);
}

char *
hf_explain_format_json (struct hf_explain *explain)
{
  JsonArray *array = json_array_new ();
  g_ptr_array_sort (explain->matches, compare_times);
  for (guint i = 0; i < explain->matches->len; i++)
    json_array_add_element (array, json_node_copy (g_ptr_array_index (explain->matches, i)));
  JsonNode *root = json_node_new (JSON_NODE_ARRAY);
  json_node_take_array (root, array);
  char *text = json_to_string (root, TRUE);
  json_node_unref (root);
  return text;
}
