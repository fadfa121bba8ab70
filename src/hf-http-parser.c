/* Parser for HTTP/1.1 heads and bodies. */
#include "hf-http-parser.h"

#include <http_parser.h>
#include <string.h>

#include "hf-http-chunks.h"

#include "config.h"

/* --- constants --- */

#define HEAD_IS_INVALID        (-1)          /* return value of a callback: the library stops with an error */
#define LIBRARY_HEAD_BYTES_MAX (1024 * 1024) /* exceeds any head_bytes_max, which is checked first */

/* --- types --- */

struct hf_http_parser
{
  const struct hf_http_parser_callbacks *callbacks;
  void *context;
  http_parser library; /* state of the http_parser library */
  size_t head_bytes_max;
  GString *raw;  /* bytes of an incomplete head */
  GString *text; /* target, field names and field values of the head */
  GString *method;
  GArray *spans; /* struct span, one for each field */
  struct hf_http_head head;
  struct hf_http_chunks chunks; /* progress within a chunked body */
  size_t target_len;
  bool parses_requests;
  bool in_body;        /* the head is complete, the message is not */
  bool last_was_value; /* the library last reported a field value, not a name */
  bool complete;
  bool failed;
  bool feeding; /* inside hf_http_parser_feed */
  bool closed;  /* freed when hf_http_parser_feed returns */
};

/* Offsets and lengths of a field in hf_http_parser.text. */
struct span
{
  size_t name;
  size_t name_len;
  size_t value;
  size_t value_len;
};

/* --- internal functions: callbacks of the library --- */

static void
report_error (struct hf_http_parser *parser, enum hf_http_parse_error error)
{
  if (parser->failed || parser->closed)
    return;
  parser->failed = true;
  parser->callbacks->on_error (parser->context, error);
}

static int
on_url (http_parser *library, const char *at, size_t size)
{
  struct hf_http_parser *parser = library->data;
  g_string_append_len (parser->text, at, (gssize) size);
  parser->target_len += size;
  return 0;
}

static int
on_field (http_parser *library, const char *at, size_t size)
{
  struct hf_http_parser *parser = library->data;
  if (parser->in_body)
    return 0; /* trailers are not used */
  if (parser->spans->len == 0 || parser->last_was_value)
    {
      struct span span = { .name = parser->text->len };
      g_array_append_val (parser->spans, span);
    }
  parser->last_was_value = false;
  g_string_append_len (parser->text, at, (gssize) size);
  g_array_index (parser->spans, struct span, parser->spans->len - 1).name_len += size;
  return 0;
}

static int
on_value (http_parser *library, const char *at, size_t size)
{
  struct hf_http_parser *parser = library->data;
  if (parser->in_body)
    return 0;
  struct span *span = &g_array_index (parser->spans, struct span, parser->spans->len - 1);
  if (!parser->last_was_value)
    span->value = parser->text->len;
  parser->last_was_value = true;
  g_string_append_len (parser->text, at, (gssize) size);
  span->value_len += size;
  return 0;
}

static void
build_fields (struct hf_http_parser *parser)
{
  const char *text = parser->text->str;
  g_array_set_size (parser->head.fields, 0);
  for (guint i = 0; i < parser->spans->len; i++)
    {
      const struct span *span = &g_array_index (parser->spans, struct span, i);
      struct hf_header field = { .name = { .data = text + span->name, .len = span->name_len },
                                 .value = { .data = text + span->value, .len = span->value_len } };
      while (field.value.len > 0 && strchr (" \t", field.value.data[field.value.len - 1]))
        field.value.len--;
      g_array_append_val (parser->head.fields, field);
    }
}

static int
on_head (http_parser *library)
{
  struct hf_http_parser *parser = library->data;
  struct hf_http_head *head = &parser->head;
  build_fields (parser);
  library->upgrade = 0;
  head->method = (struct hf_str){ .data = parser->method->str, .len = parser->method->len };
  head->target = (struct hf_str){ .data = parser->text->str, .len = parser->target_len };
  head->status = library->status_code;
  head->keep_alive = http_should_keep_alive (library);
  head->chunked = (library->flags & F_CHUNKED) != 0;
  bool declared = !head->chunked && library->content_length != ULLONG_MAX;
  head->content_length = declared ? (int64_t) MIN (library->content_length, G_MAXINT64) : -1;
  /* The library takes "chunked" with a tab behind it for another coding, whose body ends with the connection. */
  bool coding_is_read = head->chunked || !hf_http_head_has_field (head, "Transfer-Encoding");
  if (!parser->parses_requests && (!coding_is_read || !hf_http_head_has_clear_length (head)))
    {
      report_error (parser, HF_HTTP_PARSE_LENGTH);
      return HEAD_IS_INVALID;
    }
  parser->in_body = true;
  return parser->callbacks->on_head (parser->context, head) ? 0 : 1;
}

static int
on_body (http_parser *library, const char *at, size_t size)
{
  struct hf_http_parser *parser = library->data;
  if (!parser->closed)
    parser->callbacks->on_body (parser->context, (struct hf_str){ .data = at, .len = size });
  return parser->closed;
}

static int
on_complete (http_parser *library)
{
  struct hf_http_parser *parser = library->data;
  parser->complete = true;
  http_parser_pause (library, 1);
  return 0;
}

static const http_parser_settings settings = {
  .on_url = on_url,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_headers_complete = on_head,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

/* --- internal functions: heads --- */

static void
reset (struct hf_http_parser *parser)
{
  http_parser_init (&parser->library, parser->parses_requests ? HTTP_REQUEST : HTTP_RESPONSE);
  parser->library.data = parser;
  g_string_truncate (parser->text, 0);
  g_array_set_size (parser->spans, 0);
  parser->target_len = 0;
  parser->chunks = (struct hf_http_chunks){ 0 };
  parser->in_body = false;
  parser->last_was_value = false;
  parser->complete = false;
}

static bool
starts_like_response (const GString *raw)
{
  return strncmp (raw->str, "HTTP/1.", MIN (raw->len, 7)) == 0;
}

/* Collects bytes up to the end of the head; returns whether it is complete. */
static bool
collect_head (struct hf_http_parser *parser, struct hf_str bytes, size_t *used)
{
  GString *raw = parser->raw;
  for (*used = 0; *used < bytes.len;)
    {
      char byte = bytes.data[(*used)++];
      bool blank = raw->len == 0 && (byte == '\r' || byte == '\n') && parser->parses_requests;
      if (blank)
        continue; /* empty lines before a request are ignored */
      g_string_append_c (raw, byte);
      if (byte == '\n' && raw->len >= 4 && memcmp (raw->str + raw->len - 4, "\r\n\r\n", 4) == 0)
        return true;
      if (byte == '\n' && raw->len >= 2 && raw->str[raw->len - 2] == '\n')
        break; /* end of a head with bare LF: malformed */
      if (raw->len > parser->head_bytes_max)
        {
          report_error (parser, HF_HTTP_PARSE_HEAD_TOO_LARGE);
          return false;
        }
    }
  bool malformed = (raw->len >= 2 && memcmp (raw->str + raw->len - 2, "\n\n", 2) == 0)
                   || (!parser->parses_requests && !starts_like_response (raw));
  if (malformed)
    report_error (parser, HF_HTTP_PARSE_MALFORMED);
  return false;
}

static size_t
parse (struct hf_http_parser *parser, const char *bytes, size_t size)
{
  size_t used = http_parser_execute (&parser->library, &settings, bytes, size);
  enum http_errno error = HTTP_PARSER_ERRNO (&parser->library);
  if (error != HPE_OK && error != HPE_PAUSED)
    report_error (parser, HF_HTTP_PARSE_MALFORMED);
  return used;
}

/* Stores the method and passes POST to the library in its place. The library
 * accepts only a fixed list of methods, and framing does not depend on them. */
static size_t
parse_method (struct hf_http_parser *parser)
{
  size_t size = 0;
  while (size < parser->raw->len && hf_http_syntax_is_token_byte (parser->raw->str[size]))
    size++;
  g_string_assign (parser->method, "");
  g_string_append_len (parser->method, parser->raw->str, (gssize) size);
  if (size > 0)
    parse (parser, "POST", strlen ("POST"));
  return size;
}

static void
parse_head (struct hf_http_parser *parser)
{
  size_t begin = parser->parses_requests ? parse_method (parser) : 0;
  parse (parser, parser->raw->str + begin, parser->raw->len - begin);
}

/* Of a chunked body, the library gets only bytes whose framing is valid. */
static size_t
parse_body (struct hf_http_parser *parser, struct hf_str bytes)
{
  if (!parser->head.chunked)
    return parse (parser, bytes.data, bytes.len);
  size_t valid = hf_http_chunks_take (&parser->chunks, bytes);
  size_t used = parse (parser, bytes.data, valid);
  if (parser->chunks.part == HF_CHUNKS_INVALID)
    report_error (parser, HF_HTTP_PARSE_CHUNK);
  return used;
}

static void
finish_message (struct hf_http_parser *parser)
{
  reset (parser);
  parser->callbacks->on_complete (parser->context);
}

/* --- public functions: parsing --- */

struct hf_http_parser *
hf_http_parser_open (bool parses_requests, const struct hf_http_parser_callbacks *callbacks, void *context)
{
  struct hf_http_parser *parser = g_new0 (struct hf_http_parser, 1);
  http_parser_set_max_header_size (LIBRARY_HEAD_BYTES_MAX);
  parser->callbacks = callbacks;
  parser->context = context;
  parser->parses_requests = parses_requests;
  parser->head_bytes_max = HF_REQUEST_HEAD_BYTES_MAX;
  parser->raw = g_string_new (NULL);
  parser->text = g_string_new (NULL);
  parser->method = g_string_new (NULL);
  parser->spans = g_array_new (FALSE, FALSE, sizeof (struct span));
  parser->head.fields = g_array_new (FALSE, FALSE, sizeof (struct hf_header));
  reset (parser);
  return parser;
}

void
hf_http_parser_close (struct hf_http_parser *parser)
{
  if (!parser)
    return;
  parser->closed = true;
  if (parser->feeding)
    return;
  g_string_free (parser->raw, TRUE);
  g_string_free (parser->text, TRUE);
  g_string_free (parser->method, TRUE);
  g_array_unref (parser->spans);
  g_array_unref (parser->head.fields);
  g_free (parser);
}

void
hf_http_parser_set_head_limit (struct hf_http_parser *parser, size_t head_bytes_max)
{
  parser->head_bytes_max = head_bytes_max;
}

size_t
hf_http_parser_feed (struct hf_http_parser *parser, struct hf_str bytes)
{
  size_t used = 0;
  parser->feeding = true;
  if (!parser->in_body && !parser->failed && collect_head (parser, bytes, &used))
    {
      struct hf_str head = { parser->raw->str, parser->raw->len };
      enum hf_http_parse_error error = hf_http_syntax_check_head (head, parser->parses_requests);
      if (error == HF_HTTP_PARSE_OK)
        parse_head (parser);
      else
        report_error (parser, error);
      g_string_truncate (parser->raw, 0);
    }
  if (parser->in_body && !parser->complete && !parser->failed && !parser->closed && used < bytes.len)
    used += parse_body (parser, (struct hf_str){ bytes.data + used, bytes.len - used });
  if (parser->complete && !parser->failed && !parser->closed)
    finish_message (parser);
  parser->feeding = false;
  if (parser->closed)
    hf_http_parser_close (parser);
  return used;
}

bool
hf_http_parser_finish (struct hf_http_parser *parser)
{
  if (!parser->in_body || parser->failed)
    return false;
  http_parser_execute (&parser->library, &settings, NULL, 0);
  return parser->complete;
}

bool
hf_http_parser_is_idle (const struct hf_http_parser *parser)
{
  return !parser->in_body && !parser->failed && parser->raw->len == 0;
}
