/**
 * DOC: hf-exchange - one attempt at a backend server over HTTP
 *
 * Sends a request, keeps the answer while it is short, and hands a long one
 * on chunk by chunk. Tells the reducer how it went.
 */
#ifndef HF_EXCHANGE_H
#define HF_EXCHANGE_H

#include <libsoup/soup.h>

#include "hf-loop.h"

/* --- types --- */

/**
 * struct hf_exchange - one attempt
 * @loop: where its events are raised
 * @call: the call it belongs to
 * @attempt: number of the attempt
 * @message: request and head of the answer
 * @answer: bytes of the answer that have not been handed on
 * @hints: what the head said
 * @ended: the attempt is over for the reducer
 * @counted: the length of the answer was declared
 * @reading: a send or read is out
 * @sink: takes a chunk, or no bytes at the end; NULL: the answer is kept
 */
struct hf_exchange
{
  struct hf_loop *loop;
  uint64_t call;
  unsigned attempt;
  SoupMessage *message;
  GByteArray *answer;
  struct hf_answer_hints hints;
  bool ended;
  bool counted;
  bool reading;
  void (*sink) (void *context, const uint8_t *data, size_t size);
  void *context;

  /* Of the module itself. */
  SoupSession *session;
  GCancellable *cancellable;
  GInputStream *stream;
  goffset received;
  guint filled; /* bytes of the answer before the read that is out */
  bool handed;  /* bytes may have been handed to a connection */
  bool long_answer;
};

/* --- public functions --- */

struct hf_exchange *hf_exchange_start (struct hf_loop *loop,
                                       uint64_t call,
                                       unsigned attempt,
                                       SoupSession *session,
                                       SoupMessage *message); /* takes the message */
void hf_exchange_drop (struct hf_exchange *exchange);         /* gives it up and frees it */
void hf_exchange_hand_on (struct hf_exchange *exchange,
                          void (*sink) (void *context, const uint8_t *data, size_t size),
                          void *context);             /* from now on chunk by chunk */
void hf_exchange_read (struct hf_exchange *exchange); /* the last chunk is out: the next, if there is one */
bool hf_exchange_has_no_body (const struct hf_exchange *exchange); /* HEAD, 204 or 304 */

#endif
