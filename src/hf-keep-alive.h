/**
 * DOC: hf-keep-alive - how long an idle connection to a server is kept
 *
 * Reads the parameter timeout of the header field Keep-Alive, which states when
 * the server closes the connection. The connection closes a margin earlier, and
 * after HF_CONNECTION_IDLE_MS at the latest: no request uses it after that.
 */
#ifndef HF_KEEP_ALIVE_H
#define HF_KEEP_ALIVE_H

#include "hf-base.h"

/* --- public functions --- */

int64_t hf_keep_alive_idle_us (struct hf_str field); /* field: value of the header field; empty: not sent */

#endif
