/**
 * DOC: hf-http-client - HTTP/1.1 client with a pool of keep-alive connections
 *
 * Sends each request on a pooled or a new connection and reports the
 * response. It never retries, and reports reliably whether any byte of the
 * request was written to a connection. A connection is reused only if
 * nothing but the one response was received on it, and never for a request id
 * that it has carried before.
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
  HF_HTTP_CLIENT_COMPLETE,       /* the complete response was received */
  HF_HTTP_CLIENT_CONNECT_FAILED, /* no connection was established: nothing was sent */
  HF_HTTP_CLIENT_BROKEN,         /* connection lost or invalid data, before a response head */
  HF_HTTP_CLIENT_TRUNCATED,      /* the response broke off after its head */
};

/**
 * struct hf_http_client_end - end of a request
 * @result: how the request ended
 * @connection: how its connection ended; HF_STREAM_OPEN: it was kept
 * @sent: at least one byte of the request was written to the connection
 * @fault: what is invalid in the response; HF_HTTP_PARSE_OK: nothing
 */
struct hf_http_client_end
{
  enum hf_http_client_result result;
  enum hf_stream_end connection;
  bool sent;
  enum hf_http_parse_error fault;
};

/**
 * struct hf_http_client_callbacks - events of a request that are reported to its owner
 * @accepts_response: returns false if the response belongs to an earlier request and is skipped; NULL: accepts all
 * @on_head: the head of the response is complete
 * @on_body: a piece of the response body arrived
 * @on_drained: every queued byte of the request was written to the socket
 * @on_ended: last callback
 */
struct hf_http_client_callbacks
{
  bool (*accepts_response) (void *context, const struct hf_http_head *head);
  void (*on_head) (void *context, const struct hf_http_head *head);
  void (*on_body) (void *context, struct hf_str bytes);
  void (*on_drained) (void *context);
  void (*on_ended) (void *context, const struct hf_http_client_end *end);
};

/**
 * struct hf_http_client_params - parameters of a request
 * @address: IP:PORT to connect to
 * @head: request line and header fields, with the empty line at the end
 * @body: bytes of the body that are available now
 * @has_more_body: the rest of the body follows by hf_http_client_send_body
 * @request_id: by which responses are told apart; a connection carries it once; empty: not told apart
 * @response_has_no_body: the response has no body, whatever its head declares (HEAD)
 * @sent_bytes: counter of the bytes of the request, which outlives the client; NULL: not counted
 * @received_bytes: the same for the bytes received
 * @idle_max_us: a pooled connection is used if it was idle for at most this time; 0: always a new connection
 */
struct hf_http_client_params
{
  struct hf_str address;
  struct hf_str head;
  struct hf_str body;
  bool has_more_body;
  struct hf_str request_id;
  bool response_has_no_body;
  int64_t idle_max_us;
  uint64_t *sent_bytes;
  uint64_t *received_bytes;
};

/* --- public functions: init and close --- */

struct hf_http_client *hf_http_client_open (struct hf_net *net); /* new client without connections */
void hf_http_client_close (struct hf_http_client *client);       /* cancels all requests, frees the client */
/* Ends connection attempts and idle connections that have exceeded their timeout; now: monotonic, microseconds.
 * Called from the event loop only, never from a callback: it frees closed connections. */
void hf_http_client_check_timeouts (struct hf_http_client *client, int64_t now);
void hf_http_client_close_idle (struct hf_http_client *client, struct hf_str address); /* those to address */

/* --- public functions: requests --- */

/* Sends a request. Its end is always reported after this call has returned. */
struct hf_http_client_request *hf_http_client_send (struct hf_http_client *client,
                                                    const struct hf_http_client_params *params,
                                                    const struct hf_http_client_callbacks *callbacks,
                                                    void *context);
/* Sends more of a body that was started with has_more_body. */
void hf_http_client_send_body (struct hf_http_client_request *request, struct hf_str bytes, bool last);
struct hf_connection_use hf_http_client_connection_use (const struct hf_http_client_request *request); /* for logs */
size_t hf_http_client_unsent_bytes (const struct hf_http_client_request *request); /* queued, not yet written */
void hf_http_client_pause (struct hf_http_client_request *request, bool paused);   /* stops or resumes reading */
void hf_http_client_cancel (struct hf_http_client_request *request); /* closes the connection; no further callback */

#endif
