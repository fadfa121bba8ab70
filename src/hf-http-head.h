/**
 * DOC: hf-http-head - heads of HTTP/1.1 messages
 *
 * Fields of received heads, what they declare, and the text of response heads.
 */
#ifndef HF_HTTP_HEAD_H
#define HF_HTTP_HEAD_H

#include <glib.h>

#include "hf-event.h"

/* --- types --- */

/**
 * struct hf_http_head - head of a request or response
 * @method: request method
 * @target: request target as sent, with the query
 * @status: response status
 * @keep_alive: the connection may be reused after the message
 * @content_length: declared bytes of the body; -1: not declared
 * @chunked: the body has chunked transfer coding
 * @fields: struct hf_header, in the order received
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

/**
 * struct hf_http_response_head - head of a response to be sent
 * @status: response status
 * @fields: header lines, each with CR LF
 * @content_length: bytes of the body; -1: not declared
 * @chunked: the body has chunked transfer coding
 * @closes: the connection closes after the response
 */
struct hf_http_response_head
{
  unsigned status;
  struct hf_str fields;
  int64_t content_length;
  bool chunked;
  bool closes;
};

/* --- public functions: received heads --- */

struct hf_str hf_http_head_field (const struct hf_http_head *head, const char *name); /* first value; empty: none */
bool hf_http_head_has_field (const struct hf_http_head *head, const char *name);      /* also an empty one */
struct hf_http_head *hf_http_head_copy (const struct hf_http_head *head);             /* with all its strings */
void hf_http_head_free (struct hf_http_head *head);                                   /* frees a copy */
/* Whether a field applies to one connection only and must not be forwarded. */
bool hf_http_head_is_hop_by_hop (const struct hf_http_head *head, struct hf_str name);
void hf_http_append_field (GString *text, const char *name, struct hf_str value); /* appends "name: value" CR LF */
bool hf_http_head_has_clear_length (const struct hf_http_head *head); /* its body length cannot be read in two ways */
bool hf_http_head_expects_continue (const struct hf_http_head *head); /* the body follows after 100 Continue */
bool hf_http_status_has_no_body (unsigned status);                    /* whatever the head declares */

/* --- public functions: heads to be sent --- */

GString *hf_http_response_head_format (const struct hf_http_response_head *head); /* the caller frees it */

#endif
