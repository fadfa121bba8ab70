/**
 * DOC: hf-quarantine - requests that crash backend servers, and notices
 *
 * Counts the distinct backend servers that broke under a request and holds
 * the request back after the second; entries tell one another by notices.
 */
#ifndef HF_QUARANTINE_H
#define HF_QUARANTINE_H

#include "hf-state.h"

/* --- types --- */

/** enum hf_notice_kind - what a notice tells */
enum hf_notice_kind
{
  HF_NOTICE_DRAINING,     /* subject: service, id: backend server */
  HF_NOTICE_CRASH,        /* subject: fingerprint, id: backend server */
  HF_NOTICE_CLEAR,        /* subject: fingerprint that was answered */
  HF_NOTICE_NOT_DRAINING, /* subject: service, id: backend server that is back */
};

/* --- public functions --- */

bool hf_quarantine_is_active (const struct hf_state *state, uint64_t fingerprint); /* it must not be dispatched */
void hf_quarantine_record_crash (struct hf_state *state,
                                 uint64_t fingerprint,
                                 uint64_t server,
                                 bool broadcast);                        /* a server broke under it */
void hf_quarantine_clear (struct hf_state *state, uint64_t fingerprint); /* it was answered */
void hf_quarantine_expire (struct hf_state *state);                      /* forgets old strikes */
void hf_quarantine_broadcast (struct hf_state *state,
                              enum hf_notice_kind kind,
                              uint64_t subject,
                              uint64_t id,
                              unsigned hold_ms);                                         /* notice to every member */
void hf_quarantine_handle_notice (struct hf_state *state, const struct hf_event *event); /* NOTICE came */

#endif
