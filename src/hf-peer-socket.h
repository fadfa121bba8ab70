/**
 * DOC: hf-peer-socket - the UDP socket between entries
 */
#ifndef HF_PEER_SOCKET_H
#define HF_PEER_SOCKET_H

#include "hf-loop.h"

/* --- public functions --- */

struct hf_peer_socket *
hf_peer_socket_open (struct hf_loop *loop, struct hf_str address, struct hf_error *error);     /* binds the socket */
void hf_peer_socket_close (struct hf_peer_socket *peer_socket);                                /* closes it */
struct hf_str hf_peer_socket_address (const struct hf_peer_socket *peer_socket);               /* where it is bound */
void hf_peer_socket_send (struct hf_peer_socket *peer_socket, const struct hf_effect *effect); /* effect SEND */

#endif
