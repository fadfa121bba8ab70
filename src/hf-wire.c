/* Peer messages as datagrams: ONC RPC call header and XDR body. */
#include "hf-wire.h"

#include <rpc/rpc.h>
#include <rpc/rpc_msg.h>
#include <string.h>

/* --- internal functions --- */

static void
set_header (struct rpc_msg *header, char *credentials, char *verifier, uint32_t kind)
{
  *header = (struct rpc_msg){ .rm_direction = CALL };
  header->rm_call.cb_rpcvers = RPC_MSG_VERSION;
  header->rm_call.cb_prog = HF_RPC_PROGRAM;
  header->rm_call.cb_vers = HF_RPC_VERSION;
  header->rm_call.cb_proc = kind;
  header->rm_call.cb_cred.oa_base = credentials;
  header->rm_call.cb_verf.oa_base = verifier;
}

/* --- public functions --- */

size_t
hf_wire_encode (const struct hf_rpc_message *message, char *buffer, size_t size)
{
  struct rpc_msg header;
  XDR xdr;
  size_t used = 0;
  set_header (&header, NULL, NULL, message->body.kind);
  xdrmem_create (&xdr, buffer, (u_int) size, XDR_ENCODE);
  if (xdr_callmsg (&xdr, &header) && xdr_hf_rpc_message (&xdr, (hf_rpc_message *) message))
    used = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  return used;
}

bool
hf_wire_decode (struct hf_str datagram, struct hf_rpc_message *message, struct hf_error *error)
{
  char credentials[MAX_AUTH_BYTES];
  char verifier[MAX_AUTH_BYTES];
  struct rpc_msg header;
  XDR xdr;
  memset (message, 0, sizeof *message);
  set_header (&header, credentials, verifier, 0);
  xdrmem_create (&xdr, (char *) datagram.data, (u_int) datagram.len, XDR_DECODE);
  bool ok = xdr_callmsg (&xdr, &header) && header.rm_call.cb_prog == HF_RPC_PROGRAM
            && header.rm_call.cb_vers == HF_RPC_VERSION && xdr_hf_rpc_message (&xdr, message)
            && header.rm_call.cb_proc == (rpcproc_t) message->body.kind && xdr_getpos (&xdr) == datagram.len;
  xdr_destroy (&xdr);
  if (ok)
    return true;
  hf_wire_free (message);
  return hf_error_set (error, HF_ERROR_SYNTAX, "datagram of %zu bytes is not a valid peer message", datagram.len);
}

hf_rpc_store_position
hf_wire_write_position (struct hf_store_position position)
{
  return (hf_rpc_store_position){ .era = position.era, .revision = position.revision };
}

struct hf_store_position
hf_wire_read_position (hf_rpc_store_position position)
{
  return (struct hf_store_position){ .era = position.era, .revision = position.revision };
}

void
hf_wire_free (struct hf_rpc_message *message)
{
  xdr_free ((xdrproc_t) xdr_hf_rpc_message, message);
  memset (message, 0, sizeof *message);
}
