/**
 * DOC: hf-proxy - HTTP towards callers and backend servers
 *
 * Takes requests, keeps or streams their bodies, sends attempts and passes
 * answers on. It decides nothing: decisions are effects of the reducer.
 */
#ifndef HF_PROXY_H
#define HF_PROXY_H

#include "hf-header-codec.h"
#include "hf-loop.h"
#include "hf-net.h"
#include "hf-http-server.h"

/* --- public functions --- */

struct hf_proxy *hf_proxy_open (struct hf_loop *loop,
                                struct hf_net *net,
                                const struct hf_header_codec *codec,
                                struct hf_str address,
                                struct hf_error *error);                                /* listens */
void hf_proxy_close (struct hf_proxy *proxy);                                           /* frees all */
struct hf_str hf_proxy_address (const struct hf_proxy *proxy);                          /* where it listens */
unsigned hf_proxy_in_flight (const struct hf_proxy *proxy);                             /* requests not finished */
void hf_proxy_set_limits (struct hf_proxy *proxy, struct hf_http_server_limits limits); /* what callers may send */
void hf_proxy_end_keep_alive (struct hf_proxy *proxy); /* answers close their connection */
void hf_proxy_stop (struct hf_proxy *proxy);           /* no new connection or request */
void hf_proxy_apply_effect (struct hf_proxy *proxy, const struct hf_effect *effect); /* ANSWER to CUT, PROBE, RENEW */

#endif
