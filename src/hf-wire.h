/**
 * DOC: hf-wire - peer messages as datagrams
 *
 * Encodes and decodes one-way ONC RPC calls with the XDR routines of
 * libtirpc; the socket belongs to the event loop.
 */
#ifndef HF_WIRE_H
#define HF_WIRE_H

#include "hf-base.h"
#include "hf-rpc.h"

/* --- constants --- */

#define HF_WIRE_BYTES_MAX 16384 /* largest datagram */

/* --- public functions --- */

size_t hf_wire_encode (const struct hf_rpc_message *message, char *buffer, size_t size); /* bytes used, 0: too large */
bool
hf_wire_decode (struct hf_str datagram, struct hf_rpc_message *message, struct hf_error *error); /* fills *message */
void hf_wire_free (struct hf_rpc_message *message); /* frees a decoded message */

#endif
