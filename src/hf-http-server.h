/**
 * DOC: hf-http-server - HTTP/1.1 towards those who call
 *
 * Accepts connections and takes one request after the other from each. It
 * keeps the limits on heads, bodies and idle connections, refuses what is
 * malformed, and tells its owner when a caller has left. What is answered is
 * the owner's decision.
 */
#ifndef HF_HTTP_SERVER_H
#define HF_HTTP_SERVER_H

#include "hf-http-parser.h"
#include "hf-net.h"

struct hf_front;
struct hf_request;

/* --- types --- */

/**
 * struct hf_front_limits - what a caller may send, and how long it may take
 * @head_bytes: largest head, above: 431
 * @body_bytes: largest body, above: 413
 * @head_us: longest time from the first to the last byte of a head, then 408
 * @idle_us: longest time without a request, then the connection is closed
 */
struct hf_front_limits
{
  size_t head_bytes;
  int64_t body_bytes;
  int64_t head_us;
  int64_t idle_us;
};

/**
 * struct hf_front_calls - what the owner of a server is told
 * @head: the head of a request is complete
 * @body: a piece of its body
 * @whole: the request is complete
 * @drained: every byte of the answer so far was handed to the system
 * @ended: last call for a request: its answer is out, or the caller has left
 */
struct hf_front_calls
{
  void (*head) (void *context, struct hf_request *request, const struct hf_head *head);
  void (*body) (void *context, struct hf_request *request, struct hf_str bytes);
  void (*whole) (void *context, struct hf_request *request);
  void (*drained) (void *context, struct hf_request *request);
  void (*ended) (void *context, struct hf_request *request, bool answered);
};

/* --- public functions: init and close --- */

struct hf_front *hf_front_open (struct hf_net *net,
                                struct hf_str address,
                                const struct hf_front_calls *calls,
                                void *context,
                                struct hf_error *error);                     /* listens; NULL and *error */
void hf_front_close (struct hf_front *front);                                /* closes every connection, frees all */
struct hf_str hf_front_address (const struct hf_front *front);               /* where it listens */
void hf_front_limit (struct hf_front *front, struct hf_front_limits limits); /* for what comes from now on */
void hf_front_leave (struct hf_front *front);              /* answers from now on close their connection */
void hf_front_stop (struct hf_front *front);               /* takes no connection, closes the idle ones */
void hf_front_sweep (struct hf_front *front, int64_t now); /* ends what has taken too long */

/* --- public functions: requests --- */

void hf_request_own (struct hf_request *request, void *data);    /* attaches the owner's data */
void *hf_request_data (const struct hf_request *request);        /* the owner's data */
void hf_request_pause (struct hf_request *request, bool paused); /* stops or resumes taking its body */
void
hf_request_start (struct hf_request *request, unsigned status, struct hf_str fields, int64_t length); /* -1: chunks */
void hf_request_send (struct hf_request *request, struct hf_str bytes); /* a piece of the answer's body */
void hf_request_finish (struct hf_request *request);                    /* the answer is complete */
void hf_request_cut (struct hf_request *request);                       /* breaks it off visibly */
size_t hf_request_unsent (const struct hf_request *request);            /* bytes of the answer that wait */
void
hf_request_answer (struct hf_request *request, unsigned status, struct hf_str fields, struct hf_str body); /* whole */

#endif
