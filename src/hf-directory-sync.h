/**
 * DOC: hf-directory-sync - the directory, passed on from entry to entry
 *
 * Two entries of a failure domain follow the platform and tell the others what
 * changed, and up to which revision they know it. An entry that missed changes
 * asks for them; one that no watcher tells anything current asks the platform
 * itself. A fleet then costs the platform a few calls in place of some a second
 * from every entry.
 */
#ifndef HF_DIRECTORY_SYNC_H
#define HF_DIRECTORY_SYNC_H

#include "hf-state.h"

/* --- public functions --- */

void hf_relay_init (struct hf_relay *relay);                                  /* nothing known */
void hf_relay_close (struct hf_relay *relay);                                 /* frees all */
void hf_relay_changed (struct hf_state *state, struct hf_str server);         /* the directory changed there */
void hf_relay_advance (struct hf_state *state, uint64_t revision, bool list); /* known up to there; by a whole list */
void hf_relay_tell (struct hf_state *state);                                  /* says what is known, if it watches */
void hf_relay_heard (struct hf_state *state,
                     const struct hf_member *member,
                     uint64_t changed);      /* another entry knows of a change at that revision */
void hf_relay_tick (struct hf_state *state); /* who follows the platform now */
void hf_relay_message (struct hf_state *state, const struct hf_event *event); /* a message of another entry */

#endif
