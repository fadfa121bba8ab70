/**
 * DOC: hf-http-server - HTTP/1.1 server for callers
 *
 * Accepts connections and reads one request after the other from each. Requests
 * may arrive before the first one is answered; the owner decides which of them
 * may overlap, and responses are sent in the order of the requests. It
 * enforces the limits on request heads, request bodies and idle connections,
 * rejects malformed requests, and reports to its owner when a caller has
 * disconnected. The owner decides which response is sent.
 */
#ifndef HF_HTTP_SERVER_H
#define HF_HTTP_SERVER_H

#include "hf-http-parser.h"
#include "hf-net.h"

struct hf_http_server;
struct hf_http_request;

/* --- types --- */

/**
 * struct hf_http_server_limits - limits on the size and duration of requests
 * @head_bytes_max: largest request head; a larger one is rejected with 431
 * @body_bytes_max: largest request body; a larger one is rejected with 413
 * @head_timeout_us: time from the first to the last byte of a head; rejected with 408 after it
 * @idle_timeout_us: time without a request after which the connection is closed
 */
struct hf_http_server_limits
{
  size_t head_bytes_max;
  int64_t body_bytes_max;
  int64_t head_timeout_us;
  int64_t idle_timeout_us;
};

/**
 * struct hf_http_server_callbacks - events that a server reports to its owner
 * @may_overlap: whether a request may be passed on although others on its connection are not answered yet: only if
 *               it may be sent again should the connection close before its response; NULL: none may
 * @on_head: the head of a request is complete
 * @on_body: a piece of the request body arrived
 * @on_complete: the complete request has arrived
 * @on_drained: every queued byte of the response was written to the socket
 * @on_ended: last callback of a request; answered: its response was sent, else the connection was closed before
 */
struct hf_http_server_callbacks
{
  bool (*may_overlap) (void *context, const struct hf_http_head *head);
  void (*on_head) (void *context, struct hf_http_request *request, const struct hf_http_head *head);
  void (*on_body) (void *context, struct hf_http_request *request, struct hf_str bytes);
  void (*on_complete) (void *context, struct hf_http_request *request);
  void (*on_drained) (void *context, struct hf_http_request *request);
  void (*on_ended) (void *context, struct hf_http_request *request, bool answered);
};

/* --- public functions: init and close --- */

/* Listens on address (IP:PORT); returns NULL and sets *error on failure. */
struct hf_http_server *hf_http_server_open (struct hf_net *net,
                                            struct hf_str address,
                                            const struct hf_http_server_callbacks *callbacks,
                                            void *context,
                                            struct hf_error *error);
void hf_http_server_close (struct hf_http_server *server); /* closes all connections, frees the server */
struct hf_str hf_http_server_address (const struct hf_http_server *server); /* listening address, IP:PORT */
/* Sets the limits for requests that arrive from now on. */
void hf_http_server_set_limits (struct hf_http_server *server, struct hf_http_server_limits limits);
void hf_http_server_end_keep_alive (struct hf_http_server *server); /* further responses close their connection */
/* Stops listening. Connections close when they have been idle for HF_STOP_IDLE_MS, so that no request is left unread.
 */
void hf_http_server_stop (struct hf_http_server *server);
unsigned hf_http_server_connection_count (const struct hf_http_server *server); /* open connections */
/* Closes connections that have exceeded a timeout; called every HF_TIMEOUT_CHECK_MS. now: monotonic, microseconds. */
void hf_http_server_check_timeouts (struct hf_http_server *server, int64_t now);

/* --- public functions: requests --- */

void hf_http_request_set_data (struct hf_http_request *request, void *data);    /* attaches the owner's data */
void *hf_http_request_data (const struct hf_http_request *request);             /* the owner's data */
void hf_http_request_pause_body (struct hf_http_request *request, bool paused); /* stops or resumes reading the body */

/* --- public functions: responses --- */

/* Queues the response head. fields: header lines, each with CR LF; length: bytes of the body, -1: chunked. */
void hf_http_response_start (struct hf_http_request *request, unsigned status, struct hf_str fields, int64_t length);
void hf_http_response_send (struct hf_http_request *request, struct hf_str bytes); /* sends a piece of the body */
void hf_http_response_finish (struct hf_http_request *request);                    /* marks the response as complete */
/* Resets the connection, so that the caller notices the incomplete response. */
void hf_http_response_abort (struct hf_http_request *request);
size_t hf_http_response_unsent_bytes (const struct hf_http_request *request); /* queued, not yet written */
/* Sends a complete response: start, body and finish. */
void hf_http_respond (struct hf_http_request *request, unsigned status, struct hf_str fields, struct hf_str body);

#endif
