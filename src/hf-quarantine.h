/**
 * DOC: hf-quarantine - requests that crash backend servers, and notices
 *
 * Counts the distinct backend servers that crashed while they ran a request,
 * identified by its fingerprint. After the second crash the request is refused
 * for HF_QUARANTINE_SEC. Entries share crashes and draining states in NOTICE
 * messages.
 */
#ifndef HF_QUARANTINE_H
#define HF_QUARANTINE_H

#include "hf-state.h"

/* --- types --- */

/** enum hf_notice_kind - content of a NOTICE message: subject and id */
enum hf_notice_kind
{
  HF_NOTICE_DRAINING,     /* subject: service, id: backend server that drains */
  HF_NOTICE_CRASH,        /* subject: fingerprint, id: backend server that crashed */
  HF_NOTICE_CLEAR,        /* subject: fingerprint of a request that was answered */
  HF_NOTICE_NOT_DRAINING, /* subject: service, id: backend server that accepts requests again */
  HF_NOTICE_LEAVING,      /* subject: backend server, id: its incarnation, which leaves; see hf-restrictions */
  HF_NOTICE_PUSHBACK,     /* the same; it wants no requests from the sender for hold_ms */
  HF_NOTICE_COLD,         /* the same; it is cold for hold_ms, 0: no longer; see hf-cold-servers */
};

/* --- public functions --- */

bool hf_quarantine_is_active (const struct hf_state *state, uint64_t fingerprint); /* true: do not dispatch it */
void hf_quarantine_record_crash (struct hf_state *state,
                                 uint64_t fingerprint,
                                 uint64_t server,
                                 bool broadcast); /* counts a crash; optionally sends it to all members */
void hf_quarantine_clear (struct hf_state *state, uint64_t fingerprint); /* forgets the crashes of a request */
void hf_quarantine_expire (struct hf_state *state); /* drops suspects after crash window and quarantine */
void hf_quarantine_broadcast (struct hf_state *state,
                              enum hf_notice_kind kind,
                              uint64_t subject,
                              uint64_t id,
                              unsigned hold_ms); /* sends a NOTICE to all members */
void hf_quarantine_handle_notice (struct hf_state *state, const struct hf_event *event); /* NOTICE received */

#endif
