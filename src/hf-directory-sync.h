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

void hf_directory_sync_init (struct hf_directory_sync *sync);                        /* nothing known */
void hf_directory_sync_close (struct hf_directory_sync *sync);                       /* frees all */
void hf_directory_sync_record_change (struct hf_state *state, struct hf_str server); /* the directory changed there */
void hf_directory_sync_advance (struct hf_state *state,
                                uint64_t revision,
                                bool full);               /* known up to there; by a whole list */
void hf_directory_sync_announce (struct hf_state *state); /* says what is known, if it watches */
void hf_directory_sync_note_revision (struct hf_state *state,
                                      const struct hf_member *member,
                                      uint64_t changed_revision); /* another entry knows of a change at that revision */
void hf_directory_sync_tick (struct hf_state *state);             /* who follows the platform now */
void hf_directory_sync_handle_message (struct hf_state *state,
                                       const struct hf_event *event); /* a message of another entry */

#endif
