/**
 * DOC: hf-directory-sync - directory changes exchanged between entries
 *
 * Two watchers in each failure domain watch the platform's directory and send
 * its changes to the other entries there, together with the position up to which
 * they are complete. An entry that missed changes requests them. An entry that no
 * watcher keeps current watches the platform itself. A fleet thus makes a few
 * platform calls instead of several a second from every entry.
 */
#ifndef HF_DIRECTORY_SYNC_H
#define HF_DIRECTORY_SYNC_H

#include "hf-state.h"

/* --- public functions: init and close --- */

void hf_directory_sync_init (struct hf_directory_sync *sync);  /* no changes */
void hf_directory_sync_close (struct hf_directory_sync *sync); /* frees all */

/* --- public functions: changes at this entry --- */

void hf_directory_sync_record_change (struct hf_state *state, struct hf_str server); /* part of the next advance */

/* The directory is complete up to a position; full: by a list of all servers. If servers changed, a watcher sends the
 * changes, or after its first list of an era only its position, and entries that are behind request the changes. */
void hf_directory_sync_advance (struct hf_state *state, struct hf_store_position position, bool full);
void hf_directory_sync_announce (struct hf_state *state); /* a watcher sends its position to the followers */
void
hf_directory_sync_handle_era (struct hf_state *state); /* the platform's store has a new era: drops partial lists */

/* --- public functions: events --- */

/* HEARTBEAT: it names the position of the last change that the sender has applied. */
void hf_directory_sync_note_position (struct hf_state *state, const struct hf_event *event);
void hf_directory_sync_tick (struct hf_state *state); /* sets the watch mode, sends a due announcement */

/* DIRECTORY_UPDATE, DIRECTORY_PULL. */
void hf_directory_sync_handle_message (struct hf_state *state, const struct hf_event *event);

#endif
