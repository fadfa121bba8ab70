/* Strict syntax of HTTP/1.1 heads. */
#include "hf-http-syntax.h"

#include <glib.h>
#include <string.h>

/* --- constants --- */

#define STATUS_DIGITS     3
#define DELETE_BYTE       0x7f
#define VERSION_PREFIX    "HTTP/1."
#define STATUS_CLASS_LAST '5' /* first digit of the largest status, 599 */

static const char *const texts[] = {
  [HF_HTTP_PARSE_OK] = "none",
  [HF_HTTP_PARSE_MALFORMED] = "malformed",
  [HF_HTTP_PARSE_HEAD_TOO_LARGE] = "head too large",
  [HF_HTTP_PARSE_STATUS_LINE] = "status line",
  [HF_HTTP_PARSE_FIELD_NAME] = "name of a field",
  [HF_HTTP_PARSE_FIELD_VALUE] = "value of a field",
  [HF_HTTP_PARSE_LENGTH] = "length of the body",
  [HF_HTTP_PARSE_CHUNK] = "framing of a chunk",
  [HF_HTTP_PARSE_UNEXPECTED] = "unexpected bytes",
};

/* --- internal functions --- */

static bool
is_text (struct hf_str text)
{
  for (size_t i = 0; i < text.len; i++)
    if (!hf_http_syntax_is_text_byte (text.data[i]))
      return false;
  return true;
}

/* Takes the first line off the text, without its CR LF; false: none ends there. */
static bool
take_line (struct hf_str *text, struct hf_str *line)
{
  const char *end = text->len > 0 ? memchr (text->data, '\n', text->len) : NULL;
  if (!end || end == text->data || end[-1] != '\r')
    return false;
  *line = (struct hf_str){ text->data, (size_t) (end - text->data) - 1 };
  *text = (struct hf_str){ end + 1, text->len - line->len - 2 };
  return true;
}

/* Some servers leave out the blank after the status if no reason follows. */
static bool
is_status_line (struct hf_str line)
{
  const size_t status_at = strlen (VERSION_PREFIX "1 ");
  const size_t status_end = status_at + STATUS_DIGITS;
  if (line.len < status_end || !hf_str_has_prefix (line, hf_str (VERSION_PREFIX)))
    return false;
  if (!g_ascii_isdigit (line.data[status_at - 2]) || line.data[status_at - 1] != ' ')
    return false;
  for (size_t i = status_at; i < status_end; i++)
    if (!g_ascii_isdigit (line.data[i]))
      return false;
  if (line.data[status_at] < '1' || line.data[status_at] > STATUS_CLASS_LAST)
    return false;
  return line.len == status_end || line.data[status_end] == ' ';
}

static enum hf_http_parse_error
check_field (struct hf_str line)
{
  size_t name_len = 0;
  while (name_len < line.len && hf_http_syntax_is_token_byte (line.data[name_len]))
    name_len++;
  if (name_len == 0 || name_len == line.len || line.data[name_len] != ':')
    return HF_HTTP_PARSE_FIELD_NAME;
  struct hf_str value = { line.data + name_len, line.len - name_len };
  return is_text (value) ? HF_HTTP_PARSE_OK : HF_HTTP_PARSE_FIELD_VALUE;
}

/* --- public functions --- */

enum hf_http_parse_error
hf_http_syntax_check_head (struct hf_str head, bool is_request)
{
  struct hf_str line;
  if (!take_line (&head, &line))
    return HF_HTTP_PARSE_MALFORMED;
  if (!is_request && !is_status_line (line))
    return HF_HTTP_PARSE_STATUS_LINE;
  if (!is_text (line))
    return is_request ? HF_HTTP_PARSE_MALFORMED : HF_HTTP_PARSE_STATUS_LINE;
  while (take_line (&head, &line))
    {
      if (line.len == 0)
        return head.len == 0 ? HF_HTTP_PARSE_OK : HF_HTTP_PARSE_MALFORMED;
      enum hf_http_parse_error error = check_field (line);
      if (error != HF_HTTP_PARSE_OK)
        return error;
    }
  return HF_HTTP_PARSE_MALFORMED;
}

bool
hf_http_syntax_is_token_byte (char byte)
{
  return g_ascii_isalnum (byte) || (byte != 0 && strchr ("!#$%&'*+-.^_`|~", byte));
}

bool
hf_http_syntax_is_text_byte (char byte)
{
  unsigned char value = (unsigned char) byte;
  return byte == '\t' || (value >= ' ' && value != DELETE_BYTE);
}

const char *
hf_http_parse_error_text (enum hf_http_parse_error error)
{
  return texts[error];
}
