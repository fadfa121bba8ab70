/* Reads one whole response with the parser, as the HTTP client does. */
#include "response-reader.h"

#include "hf-http-parser.h"

#include "config.h"

/* --- types --- */

struct reader
{
  struct naive_response response;
  gboolean got_head; /* of a response that is not informational */
  gboolean failed;
};

/* --- internal functions --- */

static bool
on_head (void *context, const struct hf_http_head *head)
{
  struct reader *reader = context;
  reader->got_head = head->status >= 200;
  reader->response.status = head->status;
  return !hf_http_status_has_no_body (head->status);
}

static void
on_body (void *context, struct hf_str bytes)
{
  struct reader *reader = context;
  g_string_append_len (reader->response.body, bytes.data, (gssize) bytes.len);
}

static void
on_complete (void *context)
{
  struct reader *reader = context;
  reader->response.complete = reader->got_head;
}

static void
on_error (void *context, enum hf_http_parse_error error)
{
  struct reader *reader = context;
  (void) error;
  reader->failed = TRUE;
}

/* --- public functions --- */

struct naive_response
response_reader_read (struct hf_str bytes, guint piece)
{
  static const struct hf_http_parser_callbacks callbacks
      = { .on_head = on_head, .on_body = on_body, .on_complete = on_complete, .on_error = on_error };
  struct reader reader = { .response.body = g_string_new (NULL) };
  struct hf_http_parser *parser = hf_http_parser_open (false, &callbacks, &reader);
  hf_http_parser_set_head_limit (parser, HF_RESPONSE_HEAD_BYTES_MAX);
  while (bytes.len > 0 && !reader.failed && !reader.response.complete)
    {
      size_t used = hf_http_parser_feed (parser, (struct hf_str){ bytes.data, MIN (piece, bytes.len) });
      bytes = (struct hf_str){ bytes.data + used, bytes.len - used };
    }
  if (!reader.failed && !reader.response.complete && reader.got_head)
    reader.response.complete = hf_http_parser_finish (parser);
  hf_http_parser_close (parser);
  return reader.response;
}
