/* Strict reader of one whole HTTP/1.1 response. */
#include "naive-response.h"

#include <string.h>

/* --- constants --- */

#define TEXT        "[\\t\\x20-\\x7e\\x80-\\xff]*"
#define STATUS_LINE "^HTTP/1\\.[0-9] ([1-5][0-9]{2})( " TEXT ")?$"
#define FIELD       "^([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \\t]*(" TEXT "?)[ \\t]*$"
#define CHUNK_LINE  "^([0-9A-Fa-f]{1,15})[ \\t]*(;" TEXT ")?$"
#define LENGTH      "^[^:]*:[ \\t]*([0-9]{1,18}) *$" /* HTTP allows tabs at the end; the library refuses them */

/* --- types --- */

struct head
{
  guint status;
  guint lengths; /* fields that declare the length or the coding of the body */
  gboolean chunked;
  gint64 length; /* -1: not declared */
};

/* --- internal functions --- */

/* Groups 1 and 2 of the pattern in the line; NULL: it does not match. */
static char **
match (const char *pattern, struct hf_str line)
{
  GRegex *regex = g_regex_new (pattern, G_REGEX_RAW | G_REGEX_DOLLAR_ENDONLY, 0, NULL);
  GMatchInfo *info = NULL;
  char **groups = NULL;
  if (!memchr (line.data, 0, line.len) && g_regex_match_full (regex, line.data, (gssize) line.len, 0, 0, &info, NULL))
    {
      char *first = g_match_info_fetch (info, 1);
      char *second = g_match_info_fetch (info, 2);
      groups = g_new0 (char *, 3);
      groups[0] = first ? first : g_strdup ("");
      groups[1] = second ? second : g_strdup ("");
    }
  g_match_info_free (info);
  g_regex_unref (regex);
  return groups;
}

/* A line ends with the first CR LF; a CR or LF in it is refused by the patterns. */
static gboolean
take_line (struct hf_str *bytes, struct hf_str *line)
{
  for (size_t i = 0; i + 1 < bytes->len; i++)
    if (bytes->data[i] == '\r' && bytes->data[i + 1] == '\n')
      {
        *line = (struct hf_str){ bytes->data, i };
        *bytes = (struct hf_str){ bytes->data + i + 2, bytes->len - i - 2 };
        return TRUE;
      }
  return FALSE;
}

static gboolean
read_field (struct head *head, struct hf_str line)
{
  char **field = match (FIELD, line);
  gboolean valid = field != NULL;
  if (valid && g_ascii_strcasecmp (field[0], "Content-Length") == 0)
    {
      char **number = match (LENGTH, line);
      valid = number != NULL;
      head->lengths++;
      head->length = valid ? g_ascii_strtoll (number[0], NULL, 10) : -1;
      g_strfreev (number);
    }
  else if (valid && g_ascii_strcasecmp (field[0], "Transfer-Encoding") == 0)
    {
      valid = g_ascii_strcasecmp (field[1], "chunked") == 0;
      head->lengths++;
      head->chunked = TRUE;
    }
  g_strfreev (field);
  return valid;
}

static gboolean
read_head (struct hf_str *bytes, struct head *head)
{
  struct hf_str line;
  *head = (struct head){ .length = -1 };
  if (!take_line (bytes, &line))
    return FALSE;
  char **status = match (STATUS_LINE, line);
  if (!status)
    return FALSE;
  head->status = (guint) g_ascii_strtoull (status[0], NULL, 10);
  g_strfreev (status);
  while (take_line (bytes, &line))
    if (line.len == 0)
      return head->lengths <= 1;
    else if (!read_field (head, line))
      return FALSE;
  return FALSE;
}

static gboolean
read_trailers (struct hf_str *bytes)
{
  struct hf_str line;
  while (take_line (bytes, &line))
    {
      char **field = line.len > 0 ? match (FIELD, line) : NULL;
      gboolean valid = line.len == 0 || field;
      g_strfreev (field);
      if (line.len == 0 || !valid)
        return valid;
    }
  return FALSE;
}

static gboolean
read_chunks (struct hf_str *bytes, GString *body)
{
  struct hf_str line;
  while (take_line (bytes, &line))
    {
      char **chunk = match (CHUNK_LINE, line);
      if (!chunk)
        return FALSE;
      size_t size = (size_t) g_ascii_strtoull (chunk[0], NULL, 16);
      g_strfreev (chunk);
      if (size == 0)
        return read_trailers (bytes);
      if (bytes->len < size + 2 || memcmp (bytes->data + size, "\r\n", 2) != 0)
        return FALSE;
      g_string_append_len (body, bytes->data, (gssize) size);
      *bytes = (struct hf_str){ bytes->data + size + 2, bytes->len - size - 2 };
    }
  return FALSE;
}

static gboolean
read_body (struct hf_str bytes, const struct head *head, GString *body)
{
  if (head->status == 204 || head->status == 304)
    return TRUE;
  if (head->chunked)
    return read_chunks (&bytes, body);
  if (head->length > (gint64) bytes.len)
    return FALSE;
  g_string_append_len (body, bytes.data, head->length >= 0 ? (gssize) head->length : (gssize) bytes.len);
  return TRUE;
}

/* --- public functions --- */

struct naive_response
naive_response_read (struct hf_str bytes)
{
  struct naive_response response = { .body = g_string_new (NULL) };
  struct head head;
  do
    {
      if (!read_head (&bytes, &head))
        return response;
    }
  while (head.status < 200);
  response.status = head.status;
  response.complete = read_body (bytes, &head, response.body);
  return response;
}
