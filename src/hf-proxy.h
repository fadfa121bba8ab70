/**
 * DOC: hf-proxy - HTTP proxy between callers and backend servers
 *
 * Receives requests, buffers or streams their bodies, sends attempts and
 * probes to backend servers, and forwards responses. It makes no decisions:
 * those are effects of the reducer.
 */
#ifndef HF_PROXY_H
#define HF_PROXY_H

#include "hf-header-codec.h"
#include "hf-loop.h"
#include "hf-net.h"
#include "hf-http-server.h"

/* --- public functions --- */

/* Listens on address (IP:PORT); returns NULL and sets *error on failure. */
struct hf_proxy *hf_proxy_open (struct hf_loop *loop,
                                struct hf_net *net,
                                const struct hf_header_codec *codec,
                                struct hf_str address,
                                struct hf_error *error);
void hf_proxy_close (struct hf_proxy *proxy);                  /* closes all connections, frees the proxy */
struct hf_str hf_proxy_address (const struct hf_proxy *proxy); /* listening address, IP:PORT */
bool hf_proxy_is_idle (const struct hf_proxy *proxy);          /* no caller is connected */
void hf_proxy_set_limits (struct hf_proxy *proxy, struct hf_http_server_limits limits); /* limits on requests */
void hf_proxy_end_keep_alive (struct hf_proxy *proxy);    /* further responses close their connection */
void hf_proxy_reject_incomplete (struct hf_proxy *proxy); /* error response to each request that is still arriving */
void hf_proxy_stop (struct hf_proxy *proxy);              /* accepts no new connection or request */
/* Applies SEND_ERROR, DISPATCH, CANCEL_ATTEMPT, RELAY_RESPONSE, ABORT_RESPONSE, SEND_PROBE and RECONNECT. */
void hf_proxy_apply_effect (struct hf_proxy *proxy, const struct hf_effect *effect);

#endif
