/**
 * DOC: hf-http-parser - heads and bodies of HTTP/1.1 messages
 *
 * A parser takes bytes of a connection as they come and reports the head,
 * pieces of the body and the end of one message after the other. The parser
 * is a library's; what it lets pass is checked here first, so that two hops
 * cannot read the same bytes differently.
 */
#ifndef HF_HTTP_PARSER_H
#define HF_HTTP_PARSER_H

#include <glib.h>

#include "hf-event.h"

struct hf_http_parser;

/* --- types --- */

/**
 * struct hf_http_head - the head of a request or an answer
 * @method: method of a request
 * @target: request target as it was sent, query included
 * @status: status of an answer
 * @keep_alive: the connection may be used again afterwards
 * @content_length: declared bytes of the body; -1: not declared
 * @chunked: the body comes in chunks
 * @fields: struct hf_header, in their order
 */
struct hf_http_head
{
  struct hf_str method;
  struct hf_str target;
  unsigned status;
  bool keep_alive;
  int64_t content_length;
  bool chunked;
  GArray *fields;
};

/** enum hf_http_parse_error - why a message cannot be read */
enum hf_http_parse_error
{
  HF_HTTP_PARSE_MALFORMED,
  HF_HTTP_PARSE_HEAD_TOO_LARGE,
};

/**
 * struct hf_http_parser_callbacks - what the owner of a parser is told
 * @on_head: the head is complete; false: the answer has no body whatever it says
 * @on_body: a piece of the body
 * @on_complete: the message is complete
 * @on_error: no further message can be read
 */
struct hf_http_parser_callbacks
{
  bool (*on_head) (void *context, const struct hf_http_head *head);
  void (*on_body) (void *context, struct hf_str bytes);
  void (*on_complete) (void *context);
  void (*on_error) (void *context, enum hf_http_parse_error error);
};

/* --- public functions: reading --- */

struct hf_http_parser *hf_http_parser_open (bool parses_requests,
                                            const struct hf_http_parser_callbacks *callbacks,
                                            void *context); /* new parser */
void hf_http_parser_close (struct hf_http_parser *parser);  /* frees it, also inside of a callback */
void hf_http_parser_set_head_limit (struct hf_http_parser *parser, size_t head_bytes_max); /* largest head */
size_t hf_http_parser_feed (struct hf_http_parser *parser,
                            struct hf_str bytes);           /* bytes taken: up to the end of one message */
bool hf_http_parser_finish (struct hf_http_parser *parser); /* no more bytes: true if the message was whole by that */
bool hf_http_parser_is_idle (const struct hf_http_parser *parser); /* between two messages, nothing read of the next */

/* --- public functions: heads --- */

struct hf_str hf_http_head_field (const struct hf_http_head *head, const char *name); /* first value; empty: none */
bool hf_http_head_is_hop_by_hop (const struct hf_http_head *head,
                                 struct hf_str name);                             /* it concerns one connection only */
void hf_http_append_field (GString *text, const char *name, struct hf_str value); /* appends "name: value" */

#endif
