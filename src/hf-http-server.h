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

struct hf_http_server;
struct hf_http_request;

/* --- types --- */

/**
 * struct hf_http_server_limits - what a caller may send, and how long it may take
 * @head_bytes_max: largest head, above: 431
 * @body_bytes_max: largest body, above: 413
 * @head_timeout_us: longest time from the first to the last byte of a head, then 408
 * @idle_timeout_us: longest time without a request, then the connection is closed
 */
struct hf_http_server_limits
{
  size_t head_bytes_max;
  int64_t body_bytes_max;
  int64_t head_timeout_us;
  int64_t idle_timeout_us;
};

/**
 * struct hf_http_server_callbacks - what the owner of a server is told
 * @on_head: the head of a request is complete
 * @on_body: a piece of its body
 * @on_complete: the request is complete
 * @on_drained: every byte of the answer so far was handed to the system
 * @on_ended: last call for a request: its answer is out, or the caller has left
 */
struct hf_http_server_callbacks
{
  void (*on_head) (void *context, struct hf_http_request *request, const struct hf_http_head *head);
  void (*on_body) (void *context, struct hf_http_request *request, struct hf_str bytes);
  void (*on_complete) (void *context, struct hf_http_request *request);
  void (*on_drained) (void *context, struct hf_http_request *request);
  void (*on_ended) (void *context, struct hf_http_request *request, bool answered);
};

/* --- public functions: init and close --- */

struct hf_http_server *hf_http_server_open (struct hf_net *net,
                                            struct hf_str address,
                                            const struct hf_http_server_callbacks *callbacks,
                                            void *context,
                                            struct hf_error *error);        /* listens; NULL and *error */
void hf_http_server_close (struct hf_http_server *server);                  /* closes every connection, frees all */
struct hf_str hf_http_server_address (const struct hf_http_server *server); /* where it listens */
void hf_http_server_set_limits (struct hf_http_server *server,
                                struct hf_http_server_limits limits); /* for what comes from now on */
void hf_http_server_end_keep_alive (struct hf_http_server *server);   /* answers from now on close their connection */
void hf_http_server_stop (struct hf_http_server *server);             /* takes no connection, closes the idle ones */
void hf_http_server_check_timeouts (struct hf_http_server *server, int64_t now); /* ends what has taken too long */

/* --- public functions: requests --- */

void hf_http_request_set_data (struct hf_http_request *request, void *data);    /* attaches the owner's data */
void *hf_http_request_data (const struct hf_http_request *request);             /* the owner's data */
void hf_http_request_pause_body (struct hf_http_request *request, bool paused); /* stops or resumes taking its body */
void hf_http_response_start (struct hf_http_request *request,
                             unsigned status,
                             struct hf_str fields,
                             int64_t length);                                      /* -1: chunks */
void hf_http_response_send (struct hf_http_request *request, struct hf_str bytes); /* a piece of the answer's body */
void hf_http_response_finish (struct hf_http_request *request);                    /* the answer is complete */
void hf_http_response_abort (struct hf_http_request *request);                     /* breaks it off visibly */
size_t hf_http_response_unsent_bytes (const struct hf_http_request *request);      /* bytes of the answer that wait */
void hf_http_respond (struct hf_http_request *request,
                      unsigned status,
                      struct hf_str fields,
                      struct hf_str body); /* whole */

#endif
