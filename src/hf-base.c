/* Strings, errors and identifiers. */
#include "hf-base.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/* --- public functions: strings --- */

struct hf_str
hf_str (const char *text)
{
  return (struct hf_str){ .data = text, .len = text ? strlen (text) : 0 };
}

struct hf_str
hf_str_dup (struct hf_str text)
{
  char *copy = g_malloc (text.len + 1);
  if (text.len > 0)
    memcpy (copy, text.data, text.len);
  copy[text.len] = 0;
  return (struct hf_str){ .data = copy, .len = text.len };
}

void
hf_str_free (struct hf_str *text)
{
  g_free ((char *) text->data);
  *text = (struct hf_str){ 0 };
}

bool
hf_str_equal (struct hf_str a, struct hf_str b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.data, b.data, a.len) == 0);
}

bool
hf_str_equal_nocase (struct hf_str a, struct hf_str b)
{
  return a.len == b.len && (a.len == 0 || g_ascii_strncasecmp (a.data, b.data, a.len) == 0);
}

bool
hf_str_has_prefix (struct hf_str text, struct hf_str prefix)
{
  return text.len >= prefix.len && (prefix.len == 0 || memcmp (text.data, prefix.data, prefix.len) == 0);
}

/* --- public functions: errors --- */

bool
hf_error_set (struct hf_error *error, enum hf_error_code code, const char *format, ...)
{
  va_list args;
  if (!error)
    return false;
  error->code = code;
  va_start (args, format);
  g_vsnprintf (error->message, sizeof error->message, format, args);
  va_end (args);
  return false;
}

/* --- public functions: identifiers --- */

uint64_t
hf_hash (struct hf_str text, uint64_t seed)
{
  return XXH64 (text.data, text.len, seed);
}

uint64_t
hf_hash_pair (uint64_t a, uint64_t b)
{
  uint64_t pair[2] = { a, b };
  return XXH64 (pair, sizeof pair, 0);
}

uint64_t
hf_server_id (struct hf_str service, struct hf_str server)
{
  return hf_hash (server, hf_hash (service, 0));
}

uint64_t
hf_random_next (uint64_t *state)
{
  *state += 1;
  return XXH64 (state, sizeof *state, 1);
}
