/**
 * DOC: hf-header-codec - header fields between callers, entries and backend servers
 *
 * What the header fields of requests and answers mean, as a table of
 * functions: the product's own fields, or those of the platform it runs on.
 */
#ifndef HF_HEADER_CODEC_H
#define HF_HEADER_CODEC_H

#include "hf-http-parser.h"

/* --- types --- */

/** struct hf_forward_info - what an entry tells a backend server beside the request */
struct hf_forward_info
{
  struct hf_str server; /* name of the backend server that is meant */
  int64_t remaining_ms; /* time left */
};

/**
 * struct hf_header_codec - header fields by meaning
 * @request_id_field: field that names a request; answers may repeat it
 * @echoes_request_id: backend servers repeat it in every answer
 * @generates_request_id: a request without one gets one
 * @read_request: sets key and deadline of a REQUEST event
 * @is_replaced: a field of the caller that is not passed on
 * @write_forward_fields: appends the fields that go to the backend server
 * @read_response: what the head of an answer says beside its status
 */
struct hf_header_codec
{
  const char *request_id_field;
  bool echoes_request_id;
  bool generates_request_id;
  void (*read_request) (const struct hf_http_head *head, struct hf_event *event);
  bool (*is_replaced) (struct hf_str name);
  void (*write_forward_fields) (GString *text, const struct hf_forward_info *passed);
  struct hf_response_hints (*read_response) (const struct hf_http_head *head);
};

/* --- public functions --- */

extern const struct hf_header_codec hf_header_codec_default;            /* the product's own fields */
int64_t hf_header_codec_parse_number (struct hf_str text, int64_t max); /* decimal number up to max, -1: none */

#endif
