/* Heads and bodies of HTTP/1.1 messages. */
#include "hf-http-parser.h"

#include <http_parser.h>
#include <string.h>

#include "config.h"

/* --- constants --- */

#define LIBRARY_HEAD_BYTES (1024 * 1024) /* above every limit of ours: the reader checks first */

/* --- types --- */

struct hf_reader
{
  const struct hf_reader_calls *calls;
  void *context;
  http_parser parser;
  size_t head_bytes_max;
  GString *raw;  /* bytes of a head that is not complete */
  GString *text; /* target, names and values of the head */
  GString *method;
  GArray *spans;
  struct hf_head head;
  size_t target_len;
  bool requests;
  bool in_body; /* the head was read, the message is not complete */
  bool value_last;
  bool complete;
  bool failed;
  bool busy;   /* inside of hf_reader_feed */
  bool closed; /* to be freed when it returns */
};

/* Place of a field in the text. */
struct span
{
  size_t name;
  size_t name_len;
  size_t value;
  size_t value_len;
};

/* --- internal functions: callbacks of the parser --- */

static int
on_url (http_parser *parser, const char *at, size_t size)
{
  struct hf_reader *reader = parser->data;
  g_string_append_len (reader->text, at, (gssize) size);
  reader->target_len += size;
  return 0;
}

static int
on_field (http_parser *parser, const char *at, size_t size)
{
  struct hf_reader *reader = parser->data;
  if (reader->spans->len == 0 || reader->value_last)
    {
      struct span span = { .name = reader->text->len };
      g_array_append_val (reader->spans, span);
    }
  reader->value_last = false;
  g_string_append_len (reader->text, at, (gssize) size);
  g_array_index (reader->spans, struct span, reader->spans->len - 1).name_len += size;
  return 0;
}

static int
on_value (http_parser *parser, const char *at, size_t size)
{
  struct hf_reader *reader = parser->data;
  struct span *span = &g_array_index (reader->spans, struct span, reader->spans->len - 1);
  if (!reader->value_last)
    span->value = reader->text->len;
  reader->value_last = true;
  g_string_append_len (reader->text, at, (gssize) size);
  span->value_len += size;
  return 0;
}

static void
make_fields (struct hf_reader *reader)
{
  const char *text = reader->text->str;
  g_array_set_size (reader->head.fields, 0);
  for (guint i = 0; i < reader->spans->len; i++)
    {
      const struct span *span = &g_array_index (reader->spans, struct span, i);
      struct hf_header field = { .name = { .data = text + span->name, .len = span->name_len },
                                 .value = { .data = text + span->value, .len = span->value_len } };
      while (field.value.len > 0 && strchr (" \t", field.value.data[field.value.len - 1]))
        field.value.len--;
      g_array_append_val (reader->head.fields, field);
    }
}

static int
on_head (http_parser *parser)
{
  struct hf_reader *reader = parser->data;
  struct hf_head *head = &reader->head;
  make_fields (reader);
  parser->upgrade = 0;
  head->method = (struct hf_str){ .data = reader->method->str, .len = reader->method->len };
  head->target = (struct hf_str){ .data = reader->text->str, .len = reader->target_len };
  head->status = parser->status_code;
  head->keep_alive = http_should_keep_alive (parser);
  head->chunked = (parser->flags & F_CHUNKED) != 0;
  bool declared = !head->chunked && parser->content_length != ULLONG_MAX;
  head->length = declared ? (int64_t) MIN (parser->content_length, G_MAXINT64) : -1;
  reader->in_body = true;
  return reader->calls->head (reader->context, head) ? 0 : 1;
}

static int
on_body (http_parser *parser, const char *at, size_t size)
{
  struct hf_reader *reader = parser->data;
  if (!reader->closed)
    reader->calls->body (reader->context, (struct hf_str){ .data = at, .len = size });
  return reader->closed;
}

static int
on_complete (http_parser *parser)
{
  struct hf_reader *reader = parser->data;
  reader->complete = true;
  http_parser_pause (parser, 1);
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
reset (struct hf_reader *reader)
{
  http_parser_init (&reader->parser, reader->requests ? HTTP_REQUEST : HTTP_RESPONSE);
  reader->parser.data = reader;
  g_string_truncate (reader->text, 0);
  g_array_set_size (reader->spans, 0);
  reader->target_len = 0;
  reader->in_body = false;
  reader->value_last = false;
  reader->complete = false;
}

/* Lines end with CR LF, none is folded, and no name is followed by a space. */
static bool
is_strict (const GString *raw)
{
  bool in_name = false;
  bool first_line = true;
  for (size_t i = 0; i < raw->len; i++)
    {
      char byte = raw->str[i];
      bool ends = byte == '\r' && raw->str[i + 1] == '\n';
      if (byte == 0 || (byte == '\r' && !ends) || (byte == '\n' && (i == 0 || raw->str[i - 1] != '\r')))
        return false;
      if (byte == '\n')
        {
          first_line = false;
          in_name = true;
          if (raw->str[i + 1] == ' ' || raw->str[i + 1] == '\t')
            return false;
        }
      else if (byte == ':')
        in_name = false;
      else if (!first_line && in_name && (byte == ' ' || byte == '\t'))
        return false;
    }
  return true;
}

static void
fail (struct hf_reader *reader, enum hf_read_error error)
{
  if (reader->failed || reader->closed)
    return;
  reader->failed = true;
  reader->calls->failed (reader->context, error);
}

static bool
starts_like_answer (const GString *raw)
{
  return strncmp (raw->str, "HTTP/1.", MIN (raw->len, 7)) == 0;
}

/* Takes bytes up to the end of the head; true if it is complete. */
static bool
collect_head (struct hf_reader *reader, struct hf_str bytes, size_t *used)
{
  GString *raw = reader->raw;
  for (*used = 0; *used < bytes.len;)
    {
      char byte = bytes.data[(*used)++];
      bool blank = raw->len == 0 && (byte == '\r' || byte == '\n') && reader->requests;
      if (blank)
        continue; /* empty lines before a request are allowed */
      g_string_append_c (raw, byte);
      if (byte == '\n' && raw->len >= 4 && memcmp (raw->str + raw->len - 4, "\r\n\r\n", 4) == 0)
        return true;
      if (byte == '\n' && raw->len >= 2 && raw->str[raw->len - 2] == '\n')
        break; /* not strict: ends like a head, but is none */
      if (raw->len > reader->head_bytes_max)
        {
          fail (reader, HF_READ_HEAD_TOO_LARGE);
          return false;
        }
    }
  bool wrong = (raw->len >= 2 && memcmp (raw->str + raw->len - 2, "\n\n", 2) == 0)
               || (!reader->requests && !starts_like_answer (raw));
  if (wrong)
    fail (reader, HF_READ_MALFORMED);
  return false;
}

static size_t
parse (struct hf_reader *reader, const char *bytes, size_t size)
{
  size_t used = http_parser_execute (&reader->parser, &settings, bytes, size);
  enum http_errno problem = HTTP_PARSER_ERRNO (&reader->parser);
  if (problem != HPE_OK && problem != HPE_PAUSED)
    fail (reader, HF_READ_MALFORMED);
  return used;
}

static bool
is_token (char byte)
{
  return g_ascii_isalnum (byte) || strchr ("!#$%&'*+-.^_`|~", byte);
}

/* The library knows a fixed list of methods, and framing does not depend on
 * them: it is shown the same one every time. */
static size_t
take_method (struct hf_reader *reader)
{
  size_t size = 0;
  while (size < reader->raw->len && reader->raw->str[size] && is_token (reader->raw->str[size]))
    size++;
  g_string_assign (reader->method, "");
  g_string_append_len (reader->method, reader->raw->str, (gssize) size);
  if (size > 0)
    parse (reader, "POST", strlen ("POST"));
  return size;
}

static void
read_head (struct hf_reader *reader)
{
  size_t begin = reader->requests ? take_method (reader) : 0;
  parse (reader, reader->raw->str + begin, reader->raw->len - begin);
}

static void
finish_message (struct hf_reader *reader)
{
  reset (reader);
  reader->calls->whole (reader->context);
}

/* --- public functions: reading --- */

struct hf_reader *
hf_reader_open (bool requests, const struct hf_reader_calls *calls, void *context)
{
  struct hf_reader *reader = g_new0 (struct hf_reader, 1);
  http_parser_set_max_header_size (LIBRARY_HEAD_BYTES);
  reader->calls = calls;
  reader->context = context;
  reader->requests = requests;
  reader->head_bytes_max = HF_HEADER_BYTES_MAX;
  reader->raw = g_string_new (NULL);
  reader->text = g_string_new (NULL);
  reader->method = g_string_new (NULL);
  reader->spans = g_array_new (FALSE, FALSE, sizeof (struct span));
  reader->head.fields = g_array_new (FALSE, FALSE, sizeof (struct hf_header));
  reset (reader);
  return reader;
}

void
hf_reader_close (struct hf_reader *reader)
{
  if (!reader)
    return;
  reader->closed = true;
  if (reader->busy)
    return;
  g_string_free (reader->raw, TRUE);
  g_string_free (reader->text, TRUE);
  g_string_free (reader->method, TRUE);
  g_array_unref (reader->spans);
  g_array_unref (reader->head.fields);
  g_free (reader);
}

void
hf_reader_limit (struct hf_reader *reader, size_t head_bytes)
{
  reader->head_bytes_max = head_bytes;
}

size_t
hf_reader_feed (struct hf_reader *reader, struct hf_str bytes)
{
  size_t used = 0;
  reader->busy = true;
  if (!reader->in_body && !reader->failed && collect_head (reader, bytes, &used))
    {
      if (is_strict (reader->raw))
        read_head (reader);
      else
        fail (reader, HF_READ_MALFORMED);
      g_string_truncate (reader->raw, 0);
    }
  if (reader->in_body && !reader->complete && !reader->failed && !reader->closed && used < bytes.len)
    used += parse (reader, bytes.data + used, bytes.len - used);
  if (reader->complete && !reader->failed && !reader->closed)
    finish_message (reader);
  reader->busy = false;
  if (reader->closed)
    hf_reader_close (reader);
  return used;
}

bool
hf_reader_end (struct hf_reader *reader)
{
  if (!reader->in_body || reader->failed)
    return false;
  http_parser_execute (&reader->parser, &settings, NULL, 0);
  return reader->complete;
}

bool
hf_reader_is_idle (const struct hf_reader *reader)
{
  return !reader->in_body && !reader->failed && reader->raw->len == 0;
}

/* --- public functions: heads --- */

struct hf_str
hf_head_field (const struct hf_head *head, const char *name)
{
  for (guint i = 0; i < head->fields->len; i++)
    {
      const struct hf_header *field = &g_array_index (head->fields, struct hf_header, i);
      if (hf_str_equal_nocase (field->name, hf_str (name)))
        return field->value;
    }
  return (struct hf_str){ 0 };
}

/* True if a list of tokens, separated by commas, names @name. */
static bool
lists (struct hf_str list, struct hf_str name)
{
  size_t begin = 0;
  for (size_t i = 0; i <= list.len; i++)
    {
      if (i < list.len && list.data[i] != ',')
        continue;
      struct hf_str token = { .data = list.data + begin, .len = i - begin };
      while (token.len > 0 && strchr (" \t", token.data[0]))
        token = (struct hf_str){ .data = token.data + 1, .len = token.len - 1 };
      while (token.len > 0 && strchr (" \t", token.data[token.len - 1]))
        token.len--;
      if (hf_str_equal_nocase (token, name))
        return true;
      begin = i + 1;
    }
  return false;
}

bool
hf_head_is_hop_field (const struct hf_head *head, struct hf_str name)
{
  static const char *const names[] = { "Connection",
                                       "Keep-Alive",
                                       "Proxy-Authenticate",
                                       "Proxy-Authorization",
                                       "Proxy-Connection",
                                       "TE",
                                       "Trailer",
                                       "Transfer-Encoding",
                                       "Upgrade",
                                       "Content-Length",
                                       "Expect" };
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (hf_str_equal_nocase (name, hf_str (names[i])))
      return true;
  for (guint i = 0; i < head->fields->len; i++)
    {
      const struct hf_header *field = &g_array_index (head->fields, struct hf_header, i);
      if (hf_str_equal_nocase (field->name, hf_str ("Connection")) && lists (field->value, name))
        return true;
    }
  return false;
}

void
hf_head_add (GString *text, const char *name, struct hf_str value)
{
  g_string_append (text, name);
  g_string_append (text, ": ");
  g_string_append_len (text, value.data, (gssize) value.len);
  g_string_append (text, "\r\n");
}
