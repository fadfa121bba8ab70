/**
 * DOC: hf-reuse - which kept connection may carry which request
 *
 * A server may send a copy of a response later, where the response to another
 * request is due. The request id in it tells whose it is, unless that request
 * is under way again on the same connection. So a connection carries each
 * request id once.
 */
#ifndef HF_REUSE_H
#define HF_REUSE_H

#include <glib.h>

#include "hf-base.h"

/* --- types --- */

/** struct hf_carried - the requests that a connection has carried */
struct hf_carried
{
  GArray *ids; /* uint64_t, hashes of their ids; NULL: none */
};

/** enum hf_reuse - whether a request may use a kept connection */
enum hf_reuse
{
  HF_REUSE_YES,
  HF_REUSE_NOT_BY_THIS, /* another request may */
  HF_REUSE_IDLE_LONG,   /* this request needs one that was used more recently */
  HF_REUSE_NEVER,       /* the connection is to be closed */
};

/**
 * struct hf_kept_connection - what is known of a kept connection
 * @usable: open, and nothing has arrived on it since the last response
 * @idle_us: since the last response
 * @idle_timeout_us: the server closes it after this idle time
 * @carried: the requests that it has carried
 */
struct hf_kept_connection
{
  bool usable;
  int64_t idle_us;
  int64_t idle_timeout_us;
  const struct hf_carried *carried;
};

/* --- public functions --- */

void hf_carried_add (struct hf_carried *carried, struct hf_str id); /* empty id: nothing is added */
bool hf_carried_has (const struct hf_carried *carried, struct hf_str id);
bool hf_carried_is_full (const struct hf_carried *carried); /* HF_CONNECTION_IDS_MAX: to be used no more */
void hf_carried_clear (struct hf_carried *carried);         /* frees its memory */
/* Whether a request may use the connection; id: of the request, empty: it may use any; idle_max_us: longest
 * idle time that suits it. */
enum hf_reuse hf_reuse_decide (const struct hf_kept_connection *kept, struct hf_str id, int64_t idle_max_us);

#endif
