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
 * @dialect: header fields in use
 * @call: the call it belongs to
 * @attempt: number of the attempt
 * @request_id: id of the request, empty: none
 * @link: the request on its connection; NULL: over
 * @fields: header fields of the answer that are passed on
 * @length: declared bytes of the answer, -1: not declared
 * @answer: bytes of the answer that were not handed on
 * @hints: what the head said
 * @sink: takes the bytes from now on; NULL: they are kept
 * @finished: the whole answer was given to the sink
 * @drained: the request's bytes so far were handed to the system
 */
struct hf_exchange
{
  struct hf_loop *loop;
  const struct hf_dialect *dialect;
  uint64_t call;
  unsigned attempt;
  struct hf_str request_id;
  struct hf_link *link;
  GString *fields;
  int64_t length;
  GByteArray *answer;
  struct hf_answer_hints hints;
  void (*sink) (void *context, struct hf_str bytes);
  void (*finished) (void *context);
  void (*drained) (void *context);
  void *context;

  /* Of the module itself. */
  bool long_answer;
  bool dropped;
  unsigned holders;
};

/** struct hf_exchange_start - what an attempt begins with */
struct hf_exchange_start
{
  struct hf_loop *loop;
  struct hf_links *links;
  const struct hf_dialect *dialect;
  uint64_t call;
  unsigned attempt;
  struct hf_str request_id;
  struct hf_link_request request;
  void (*drained) (void *context);
  void *context;
};

/* --- public functions --- */

struct hf_exchange *hf_exchange_open (const struct hf_exchange_start *start); /* sends the request */
void hf_exchange_drop (struct hf_exchange *exchange);                         /* gives it up and frees it */
void hf_exchange_hand_on (struct hf_exchange *exchange,
                          void (*sink) (void *context, struct hf_str bytes),
                          void (*finished) (void *context),
                          void *context); /* bytes kept so far, then each as it comes */

#endif
