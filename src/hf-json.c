/* JSON text of other writers, read with json-glib. */
#include "hf-json.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "config.h"

/* --- constants --- */

#define ESCAPE_BYTES 6 /* of \uXXXX */

/* --- types --- */

/* A pass over the text, which is valid UTF-8. */
struct pass
{
  const char *at;
  const char *end;
  GString *out;
  unsigned depth; /* containers that are open */
  unsigned replaced;
};

/* --- internal functions: strings --- */

/* Code unit of an escape \uXXXX; -1: there is none. */
static int
read_escape (const char *at, const char *end)
{
  int unit = 0;
  if (end - at < ESCAPE_BYTES || at[0] != '\\' || at[1] != 'u')
    return -1;
  for (int i = 2; i < ESCAPE_BYTES; i++)
    {
      int digit = g_ascii_xdigit_value (at[i]);
      if (digit < 0)
        return -1;
      unit = unit * 16 + digit;
    }
  return unit;
}

static bool
is_high_surrogate (int unit)
{
  return unit >= 0xd800 && unit < 0xdc00;
}

static bool
is_low_surrogate (int unit)
{
  return unit >= 0xdc00 && unit < 0xe000;
}

static void
replace_character (struct pass *pass, size_t bytes)
{
  g_string_append (pass->out, "\\ufffd");
  pass->replaced++;
  pass->at += bytes;
}

static void
copy (struct pass *pass, size_t bytes)
{
  g_string_append_len (pass->out, pass->at, (gssize) bytes);
  pass->at += bytes;
}

static void
copy_unicode_escape (struct pass *pass)
{
  int unit = read_escape (pass->at, pass->end);
  bool is_pair = is_high_surrogate (unit) && is_low_surrogate (read_escape (pass->at + ESCAPE_BYTES, pass->end));
  if (is_pair)
    copy (pass, 2 * (size_t) ESCAPE_BYTES);
  else if (unit > 0 && !is_high_surrogate (unit) && !is_low_surrogate (unit))
    copy (pass, ESCAPE_BYTES);
  else
    replace_character (pass, unit < 0 ? 2 : ESCAPE_BYTES);
}

static void
copy_escape (struct pass *pass)
{
  if (pass->end - pass->at < 2)
    copy (pass, 1);
  else if (pass->at[1] == 'u')
    copy_unicode_escape (pass);
  else if (strchr ("\"\\/bfnrt", pass->at[1]))
    copy (pass, 2);
  else
    replace_character (pass, 1);
}

/* Bytes up to the next one that ends the string or needs a closer look. */
static size_t
count_plain (const struct pass *pass)
{
  const char *at = pass->at;
  while (at < pass->end && *at != '"' && *at != '\\' && (unsigned char) *at >= ' ')
    at++;
  return (size_t) (at - pass->at);
}

static void
copy_string (struct pass *pass)
{
  copy (pass, 1);
  while (pass->at < pass->end)
    {
      copy (pass, count_plain (pass));
      if (pass->at >= pass->end)
        return;
      if (*pass->at == '"')
        {
          copy (pass, 1);
          return;
        }
      if (*pass->at == '\\')
        copy_escape (pass);
      else
        replace_character (pass, 1);
    }
}

/* --- internal functions: other values --- */

static void
replace_value (struct pass *pass, const char *end)
{
  g_string_append (pass->out, "null");
  pass->replaced++;
  pass->at = end;
}

/* End of the string that begins here, behind its closing quote. */
static const char *
skip_string (const char *at, const char *end)
{
  for (at++; at < end && *at != '"'; at++)
    if (*at == '\\' && at + 1 < end)
      at++;
  return MIN (at + 1, end);
}

/* End of the container that begins here, behind its closing bracket. */
static const char *
skip_container (const char *at, const char *end)
{
  size_t depth = 0;
  while (at < end)
    {
      if (*at == '"')
        {
          at = skip_string (at, end);
          continue;
        }
      bool closes = *at == ']' || *at == '}';
      depth += *at == '[' || *at == '{';
      at++;
      if (closes && --depth == 0)
        break;
    }
  return at;
}

static void
open_container (struct pass *pass)
{
  if (pass->depth >= HF_JSON_DEPTH_MAX)
    {
      replace_value (pass, skip_container (pass->at, pass->end));
      return;
    }
  pass->depth++;
  copy (pass, 1);
}

static void
close_container (struct pass *pass)
{
  if (pass->depth > 0)
    pass->depth--;
  copy (pass, 1);
}

/* Bytes of a number or of a word. */
static size_t
count_word (const struct pass *pass)
{
  const char *at = pass->at;
  while (at < pass->end && (g_ascii_isalnum (*at) || *at == '+' || *at == '-' || *at == '.'))
    at++;
  return (size_t) (at - pass->at);
}

/* Whole numbers must fit into 64 bits with a sign; others must be finite. */
static bool
is_number (const char *text)
{
  bool is_whole = strpbrk (text, ".eE") == NULL;
  const char *digits = text + (*text == '-');
  char *end;
  if (!g_ascii_isdigit (*digits) || (digits[0] == '0' && g_ascii_isalnum (digits[1])))
    return false;
  if (is_whole)
    return g_ascii_string_to_signed (text, 10, G_MININT64, G_MAXINT64, NULL, NULL);
  double value = g_ascii_strtod (text, &end);
  return *end == 0 && isfinite (value);
}

static void
copy_word (struct pass *pass)
{
  size_t bytes = count_word (pass);
  char *word = g_strndup (pass->at, bytes);
  bool is_name = strcmp (word, "true") == 0 || strcmp (word, "false") == 0 || strcmp (word, "null") == 0;
  if (is_name || is_number (word))
    copy (pass, bytes);
  else
    replace_value (pass, pass->at + bytes);
  g_free (word);
}

/* Other bytes than these have no place in JSON: json-glib's own extensions, comments and single quotes, would hide what
 * stands between them from this pass. */
static void
copy_other (struct pass *pass)
{
  if (strchr (",: \t\r\n", *pass->at))
    {
      copy (pass, 1);
      return;
    }
  g_string_append_c (pass->out, ' ');
  pass->replaced++;
  pass->at++;
}

static void
copy_token (struct pass *pass)
{
  char byte = *pass->at;
  if (byte == '"')
    copy_string (pass);
  else if (byte == '[' || byte == '{')
    open_container (pass);
  else if (byte == ']' || byte == '}')
    close_container (pass);
  else if (count_word (pass) > 0)
    copy_word (pass);
  else
    copy_other (pass);
}

static GString *
replace_unreadable (struct hf_str text, unsigned *replaced)
{
  bool is_utf8 = g_utf8_validate (text.data, (gssize) text.len, NULL);
  char *valid = is_utf8 ? NULL : g_utf8_make_valid (text.data, (gssize) text.len);
  const char *begin = valid ? valid : text.data;
  struct pass pass = { .at = begin,
                       .end = begin + (valid ? strlen (valid) : text.len),
                       .out = g_string_sized_new (text.len + 1),
                       .replaced = valid ? 1 : 0 };
  while (pass.at < pass.end)
    copy_token (&pass);
  g_free (valid);
  *replaced = pass.replaced;
  return pass.out;
}

/* Only the place of the library's message ("<data>:LINE:COLUMN: ..."): the rest quotes strings of the text, which may
 * be keys of organisations, and error texts are logged. */
static void
set_syntax_error (struct hf_error *error, const char *message)
{
  unsigned line = 0;
  unsigned column = 0;
  if (sscanf (message, "%*[^:]:%u:%u:", &line, &column) == 2)
    hf_error_set (error, HF_ERROR_SYNTAX, "not valid JSON at line %u, column %u", line, column);
  else
    hf_error_set (error, HF_ERROR_SYNTAX, "not valid JSON");
}

/* --- public functions --- */

JsonObject *
hf_json_load (JsonParser *parser, struct hf_str text, unsigned *replaced, struct hf_error *error)
{
  GError *json_error = NULL;
  GString *readable = replace_unreadable (text, replaced);
  bool ok = json_parser_load_from_data (parser, readable->str, (gssize) readable->len, &json_error);
  g_string_free (readable, TRUE);
  if (!ok)
    {
      set_syntax_error (error, json_error->message);
      g_clear_error (&json_error);
      return NULL;
    }
  JsonNode *root = json_parser_get_root (parser);
  if (root && JSON_NODE_HOLDS_OBJECT (root))
    return json_node_get_object (root);
  hf_error_set (error, HF_ERROR_INVALID, "expected a JSON object");
  return NULL;
}
