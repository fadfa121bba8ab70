/**
 * DOC: hf-wire - peer messages as datagrams
 *
 * Encodes and decodes one-way ONC RPC calls with the XDR routines of
 * libtirpc. The socket belongs to hf-peer-socket.
 */
#ifndef HF_WIRE_H
#define HF_WIRE_H

#include "hf-base.h"
#include "hf-rpc.h"
#include "hf-store-position.h"

/* --- constants --- */

#define HF_WIRE_BYTES_MAX 16384 /* largest datagram */

/* --- public functions --- */

size_t hf_wire_encode (const struct hf_rpc_message *message, char *buffer, size_t size); /* bytes used, 0: too large */

/* Decodes a complete datagram; the message is freed by hf_wire_free if this succeeds. */
bool hf_wire_decode (struct hf_str datagram, struct hf_rpc_message *message, struct hf_error *error);
void hf_wire_free (struct hf_rpc_message *message); /* a decoded message */

hf_rpc_store_position hf_wire_write_position (struct hf_store_position position); /* for a message */
struct hf_store_position hf_wire_read_position (hf_rpc_store_position position);  /* from a message */

#endif
