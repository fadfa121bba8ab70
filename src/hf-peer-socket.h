/**
 * DOC: hf-peer-socket - the UDP socket between entries
 */
#ifndef HF_PEER_SOCKET_H
#define HF_PEER_SOCKET_H

#include "hf-loop.h"

/* --- public functions --- */

struct hf_peers *
hf_peers_open (struct hf_loop *loop, struct hf_str address, struct hf_error *error); /* binds the socket */
void hf_peers_close (struct hf_peers *peers);                                        /* closes it */
struct hf_str hf_peers_address (const struct hf_peers *peers);                       /* where it is bound */
void hf_peers_send (struct hf_peers *peers, const struct hf_effect *effect);         /* effect SEND */

#endif
