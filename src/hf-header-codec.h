/**
 * DOC: hf-header-codec - header fields between callers, entries and backend servers
 *
 * Reads and writes the header fields of requests and responses that control
 * load balancing. A codec is a table of functions: one for the default fields
 * of this project, one for those of the platform it runs on.
 */
#ifndef HF_HEADER_CODEC_H
#define HF_HEADER_CODEC_H

#include "hf-http-parser.h"

/* --- types --- */

/** struct hf_forward_info - values that an entry adds to a forwarded request */
struct hf_forward_info
{
  struct hf_str server;       /* name of the backend server that is to run it */
  int64_t remaining_ms;       /* time left until the deadline */
  struct hf_str organisation; /* name of the caller's organisation; empty: none */
};

/**
 * struct hf_header_codec - one set of header fields
 * @request_id_field: name of the field that identifies a request
 * @echoes_request_id: backend servers repeat the request id in every response
 * @generates_request_id: a request without an id is given one
 * @key_field: name of the field with the key of the caller's organisation
 * @key_scheme: scheme before the key in that field
 * @organisation_field: name of the field that names the organisation to a backend server
 * @read_request: sets idempotency key and deadline of a REQUEST event, if the codec has fields for them
 * @is_replaced: true for a field of the caller that is not forwarded
 * @write_forward_fields: appends the fields added to a forwarded request
 * @read_response: reads status and response hints from a response head
 * @instance_field: name of the field in which a backend server names itself; NULL: there is none
 */
struct hf_header_codec
{
  const char *request_id_field;
  bool echoes_request_id;
  bool generates_request_id;
  const char *key_field;
  const char *key_scheme;
  const char *organisation_field;
  void (*read_request) (const struct hf_http_head *head, struct hf_event *event);
  bool (*is_replaced) (struct hf_str name);
  void (*write_forward_fields) (GString *text, const struct hf_forward_info *info);
  struct hf_response_hints (*read_response) (const struct hf_http_head *head);
  const char *instance_field;
};

/* --- public functions and data --- */

/* Request id that a request or a response names; empty: none. */
struct hf_str hf_header_codec_request_id (const struct hf_header_codec *codec, const struct hf_http_head *head);
/* Whether a response is the one to a request with this id (empty: none); true if the codec cannot tell. */
bool hf_header_codec_is_response_to (const struct hf_header_codec *codec,
                                     const struct hf_http_head *head,
                                     struct hf_str request_id);
extern const struct hf_header_codec hf_header_codec_default; /* header fields of this project */
/* Sets credential and organisation key of a REQUEST event; the key points into the head. */
void
hf_header_codec_read_key (const struct hf_header_codec *codec, const struct hf_http_head *head, struct hf_event *event);
/* True for a field that is forwarded only if the configuration has no organisations. */
bool hf_header_codec_is_organisation_field (const struct hf_header_codec *codec, struct hf_str name);
/* True if the response tells which requests its server does not want: a SERVER_HINTS event. name: the server that the
 * request was sent to; a response of another one tells nothing about it. */
bool hf_header_codec_has_restriction (const struct hf_header_codec *codec,
                                      const struct hf_http_head *head,
                                      const struct hf_response_hints *hints,
                                      struct hf_str name);
int64_t hf_header_codec_parse_number (struct hf_str text, int64_t max); /* decimal number from 0 to max, else -1 */
/* Sets the hints of Retry-After: seconds with or without a fraction, or a date; of several valid fields the longest
 * time, at most HF_RETRY_AFTER_MAX_SEC. wall_time: microseconds since 1970. */
void
hf_header_codec_read_retry_after (const struct hf_http_head *head, int64_t wall_time, struct hf_response_hints *hints);

#endif
