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

/** struct hf_passed - what an entry tells a backend server beside the request */
struct hf_passed
{
  struct hf_str server; /* name of the backend server that is meant */
  int64_t remaining_ms; /* time left */
};

/**
 * struct hf_dialect - header fields by meaning
 * @request_id: field that names a request; answers may repeat it
 * @echoed: backend servers repeat it in every answer
 * @adds_id: a request without one gets one
 * @read_request: sets key and deadline of a REQUEST event
 * @is_replaced: a field of the caller that is not passed on
 * @write_passed: appends the fields that go to the backend server
 * @read_answer: what the head of an answer says beside its status
 */
struct hf_dialect
{
  const char *request_id;
  bool echoed;
  bool adds_id;
  void (*read_request) (const struct hf_head *head, struct hf_event *event);
  bool (*is_replaced) (struct hf_str name);
  void (*write_passed) (GString *text, const struct hf_passed *passed);
  struct hf_answer_hints (*read_answer) (const struct hf_head *head);
};

/* --- public functions --- */

extern const struct hf_dialect hf_dialect_own;               /* the product's own fields */
int64_t hf_dialect_number (struct hf_str text, int64_t max); /* decimal number up to max, -1: none */

#endif
