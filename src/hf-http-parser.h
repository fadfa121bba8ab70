/**
 * DOC: hf-http-parser - parser for HTTP/1.1 heads and bodies
 *
 * A parser takes the bytes of a connection as they arrive and reports the
 * head, the pieces of the body and the end of one message after the other.
 * Messages are parsed by the http_parser library. Syntax that the library
 * tolerates is checked first, so that two hops cannot interpret the same
 * bytes differently (request smuggling).
 */
#ifndef HF_HTTP_PARSER_H
#define HF_HTTP_PARSER_H

#include "hf-http-head.h"
#include "hf-http-syntax.h"

struct hf_http_parser;

/* --- types --- */

/**
 * struct hf_http_parser_callbacks - events that a parser reports to its owner
 * @on_head: the head is complete; returns false for a response without a body, whatever its head declares
 * @on_body: a piece of the body arrived
 * @on_complete: the message is complete
 * @on_error: the message is invalid, the parser accepts no further bytes
 */
struct hf_http_parser_callbacks
{
  bool (*on_head) (void *context, const struct hf_http_head *head);
  void (*on_body) (void *context, struct hf_str bytes);
  void (*on_complete) (void *context);
  void (*on_error) (void *context, enum hf_http_parse_error error);
};

/* --- public functions: parsing --- */

/* New parser for requests, or for responses if parses_requests is false. */
struct hf_http_parser *
hf_http_parser_open (bool parses_requests, const struct hf_http_parser_callbacks *callbacks, void *context);
void hf_http_parser_close (struct hf_http_parser *parser); /* frees the parser, also from inside a callback */
void hf_http_parser_set_head_limit (struct hf_http_parser *parser, size_t head_bytes_max); /* largest head */
/* Parses up to the end of one message; returns the bytes consumed. */
size_t hf_http_parser_feed (struct hf_http_parser *parser, struct hf_str bytes);
/* End of input; returns true if it completes the message, without a call of on_complete. */
bool hf_http_parser_finish (struct hf_http_parser *parser);
bool hf_http_parser_is_idle (const struct hf_http_parser *parser); /* between two messages: none has begun */

#endif
