/**
 * DOC: hf-peer-socket - UDP socket for messages between entries
 *
 * Raises an event for each valid datagram received, and sends the messages
 * of the reducer. Delivery is not guaranteed.
 */
#ifndef HF_PEER_SOCKET_H
#define HF_PEER_SOCKET_H

#include "hf-loop.h"

/* --- public functions --- */

/* Binds the socket to address (IP:PORT); returns NULL and sets *error on failure. */
struct hf_peer_socket *hf_peer_socket_open (struct hf_loop *loop, struct hf_str address, struct hf_error *error);
void hf_peer_socket_close (struct hf_peer_socket *peer_socket);                                /* closes and frees it */
struct hf_str hf_peer_socket_address (const struct hf_peer_socket *peer_socket);               /* bound IP:PORT */
void hf_peer_socket_send (struct hf_peer_socket *peer_socket, const struct hf_effect *effect); /* SEND_MESSAGE */

#endif
