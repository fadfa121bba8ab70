/**
 * DOC: hf-exchange - one attempt at a backend server
 *
 * Sends a request, keeps the answer while it is short, and hands a long one
 * on as it comes. Tells the reducer how it went.
 */
#ifndef HF_EXCHANGE_H
#define HF_EXCHANGE_H

#include "hf-header-codec.h"
#include "hf-http-client.h"
#include "hf-loop.h"

/* --- types --- */

/**
 * struct hf_exchange - one attempt
 * @loop: where its events are raised
 * @codec: header fields in use
 * @call: the call it belongs to
 * @attempt: number of the attempt
 * @request_id: id of the request, empty: none
 * @request: the request on its connection; NULL: over
 * @response_fields: header fields of the answer that are passed on
 * @content_length: declared bytes of the answer, -1: not declared
 * @response_body: bytes of the answer that were not handed on
 * @hints: what the head said
 * @on_response_body: takes the bytes from now on; NULL: they are kept
 * @on_response_complete: the whole answer was given to the sink
 * @on_request_drained: the request's bytes so far were handed to the system
 */
struct hf_exchange
{
  struct hf_loop *loop;
  const struct hf_header_codec *codec;
  uint64_t call;
  unsigned attempt;
  struct hf_str request_id;
  struct hf_http_client_request *request;
  GString *response_fields;
  int64_t content_length;
  GByteArray *response_body;
  struct hf_response_hints hints;
  void (*on_response_body) (void *context, struct hf_str bytes);
  void (*on_response_complete) (void *context);
  void (*on_request_drained) (void *context);
  void *context;

  /* Of the module itself. */
  bool reported_head;
  bool closed;
  unsigned ref_count;
};

/** struct hf_exchange_params - what an attempt begins with */
struct hf_exchange_params
{
  struct hf_loop *loop;
  struct hf_http_client *http_client;
  const struct hf_header_codec *codec;
  uint64_t call;
  unsigned attempt;
  struct hf_str request_id;
  struct hf_http_client_params request;
  void (*on_request_drained) (void *context);
  void *context;
};

/* --- public functions --- */

struct hf_exchange *hf_exchange_open (const struct hf_exchange_params *params); /* sends the request */
void hf_exchange_close (struct hf_exchange *exchange);                          /* gives it up and frees it */
void hf_exchange_stream_response (struct hf_exchange *exchange,
                                  void (*on_response_body) (void *context, struct hf_str bytes),
                                  void (*on_response_complete) (void *context),
                                  void *context); /* bytes kept so far, then each as it comes */

#endif
