/**
 * DOC: hf-exchange - one attempt of a call at a backend server
 *
 * Sends the request and buffers the response up to HF_BODY_BUFFER_BYTES. A
 * longer response is reported to the reducer by its head and streamed to the
 * caller on request. The end of the attempt is reported to the reducer.
 */
#ifndef HF_EXCHANGE_H
#define HF_EXCHANGE_H

#include "hf-header-codec.h"
#include "hf-http-client.h"
#include "hf-loop.h"

/* --- types --- */

/**
 * struct hf_exchange - one attempt
 * @loop: loop in which its events are raised
 * @codec: header fields in use, by their meaning
 * @call: id of the call
 * @attempt: number of the attempt within the call
 * @request_id: id of the request; empty: none
 * @server: id of the backend server
 * @incarnation: run of the server that is meant
 * @server_name: name of the server
 * @request: the request on its connection; NULL: it has ended
 * @connection: which connection it used
 * @response_fields: header fields of the response to be forwarded
 * @content_length: declared bytes of the response body; -1: not declared
 * @response_body: buffered bytes of the response
 * @hints: values read from the response head
 * @on_response_body: receives the bytes of a streamed response; NULL: they are buffered
 * @on_response_complete: all bytes were passed to @on_response_body
 * @on_request_drained: every queued byte of the request was written to the socket
 * @context: argument of the callbacks
 * @reported_head: the reducer has received the head of a long response
 * @closed: hf_exchange_close was called
 * @ref_count: holders of this struct; it may be closed inside a callback
 */
struct hf_exchange
{
  struct hf_loop *loop;
  const struct hf_header_codec *codec;
  uint64_t call;
  unsigned attempt;
  struct hf_str request_id;
  uint64_t server;
  uint64_t incarnation;
  struct hf_str server_name;
  struct hf_http_client_request *request;
  struct hf_connection_use connection;
  GString *response_fields;
  int64_t content_length;
  GByteArray *response_body;
  struct hf_response_hints hints;
  void (*on_response_body) (void *context, struct hf_str bytes);
  void (*on_response_complete) (void *context);
  void (*on_request_drained) (void *context);
  void *context;

  /* Private to the module. */
  bool reported_head;
  bool closed;
  unsigned ref_count;
};

/**
 * struct hf_exchange_params - parameters of an attempt; other fields as in struct hf_exchange
 * @http_client: client that sends the request
 * @request: address, id, head and body of the request
 */
struct hf_exchange_params
{
  struct hf_loop *loop;
  struct hf_http_client *http_client;
  const struct hf_header_codec *codec;
  uint64_t call;
  unsigned attempt;
  uint64_t server;
  uint64_t incarnation;
  struct hf_str server_name;
  struct hf_http_client_params request;
  void (*on_request_drained) (void *context);
  void *context;
};

/* --- public functions --- */

struct hf_exchange *hf_exchange_open (const struct hf_exchange_params *params); /* sends the request */
void hf_exchange_close (struct hf_exchange *exchange); /* cancels a pending attempt, frees it */
/* Passes the buffered bytes to on_response_body, then each further piece as it arrives. */
void hf_exchange_stream_response (struct hf_exchange *exchange,
                                  void (*on_response_body) (void *context, struct hf_str bytes),
                                  void (*on_response_complete) (void *context),
                                  void *context);

#endif
