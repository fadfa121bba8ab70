/**
 * DOC: hf-http-client - HTTP/1.1 towards servers
 *
 * Sends one request on a kept or a new connection and reports the answer.
 * It never sends anything twice, and says for sure whether a byte was handed
 * over. A connection is kept only if nothing but the one answer came on it.
 */
#ifndef HF_HTTP_CLIENT_H
#define HF_HTTP_CLIENT_H

#include "hf-http-parser.h"
#include "hf-net.h"

struct hf_http_client;
struct hf_http_client_request;

/* --- types --- */

/** enum hf_http_client_result - how a request ended */
enum hf_http_client_result
{
  HF_HTTP_CLIENT_COMPLETE,       /* the whole answer came */
  HF_HTTP_CLIENT_CONNECT_FAILED, /* no connection stood: nothing was sent */
  HF_HTTP_CLIENT_BROKEN,         /* the connection broke, or what came is no answer */
  HF_HTTP_CLIENT_TRUNCATED,      /* the answer broke off after its head */
};

/**
 * struct hf_http_client_callbacks - what the owner of a request is told
 * @accepts_response: false: this is the answer to an earlier request and is skipped; NULL: each is taken
 * @on_head: the head of the answer
 * @on_body: a piece of its body
 * @on_drained: every byte queued was handed to the system
 * @on_ended: last call; handed: at least one byte was handed to the connection
 */
struct hf_http_client_callbacks
{
  bool (*accepts_response) (void *context, const struct hf_http_head *head);
  void (*on_head) (void *context, const struct hf_http_head *head);
  void (*on_body) (void *context, struct hf_str bytes);
  void (*on_drained) (void *context);
  void (*on_ended) (void *context, enum hf_http_client_result end, bool handed);
};

/**
 * struct hf_http_client_params - a request to be sent
 * @address: IP:PORT
 * @head: request line and fields, with the empty line at the end
 * @body: bytes of the body that are known now
 * @has_more_body: more of the body follows by hf_http_client_send_body
 * @response_has_no_body: the answer to it has no body (HEAD)
 * @idle_max_us: a kept connection is used if it was idle for no longer; 0: only a new one
 */
struct hf_http_client_params
{
  struct hf_str address;
  struct hf_str head;
  struct hf_str body;
  bool has_more_body;
  bool response_has_no_body;
  int64_t idle_max_us;
};

/* --- public functions: init and close --- */

struct hf_http_client *hf_http_client_open (struct hf_net *net); /* no connection yet */
void hf_http_client_close (struct hf_http_client *client);       /* cancels all, frees all */
void hf_http_client_check_timeouts (struct hf_http_client *client,
                                    int64_t now); /* ends what has waited too long; from the loop only */
void hf_http_client_close_idle (struct hf_http_client *client,
                                struct hf_str address); /* closes the kept connections there */

/* --- public functions: requests --- */

struct hf_http_client_request *
hf_http_client_send (struct hf_http_client *client,
                     const struct hf_http_client_params *params,
                     const struct hf_http_client_callbacks *callbacks,
                     void *context); /* the end is told later, never inside of this call */
void hf_http_client_send_body (struct hf_http_client_request *request,
                               struct hf_str bytes,
                               bool last);                                         /* more of an open body */
size_t hf_http_client_unsent_bytes (const struct hf_http_client_request *request); /* bytes that wait */
void hf_http_client_pause (struct hf_http_client_request *request,
                           bool paused);                             /* stops or resumes reading the answer */
void hf_http_client_cancel (struct hf_http_client_request *request); /* closes the connection; no further call */

#endif
