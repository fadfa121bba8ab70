/**
 * DOC: hf-config-sync - the configuration in force
 *
 * Follows the document in the platform by watch and in the other entries by
 * heartbeat, never to a lower generation, and restores the platform's copy
 * where it fell back.
 */
#ifndef HF_CONFIG_SYNC_H
#define HF_CONFIG_SYNC_H

#include "hf-state.h"

/* --- public functions --- */

void hf_config_sync_start (struct hf_state *state); /* starts the watches */
void hf_config_sync_handle_document (struct hf_state *state,
                                     const struct hf_event *event); /* DOCUMENT: adopted if newer */
void hf_config_sync_handle_watch (struct hf_state *state,
                                  const struct hf_event *event); /* a line of a watch, or its end */
void hf_config_sync_reopen_watch (struct hf_state *state, enum hf_platform_purpose purpose); /* starts a watch anew */
void hf_config_sync_check_watches (struct hf_state *state); /* replaces silent watches */
void hf_config_sync_check_stored (struct hf_state *state);  /* compares the stored version with the last seen */
void hf_config_sync_handle_platform (struct hf_state *state, const struct hf_event *event); /* outcome of a write */
void hf_config_sync_note_generation (struct hf_state *state,
                                     const struct hf_member *member); /* a member told its generation */
void hf_config_sync_handle_message (struct hf_state *state, const struct hf_event *event); /* PULL or CHUNK came */
void hf_config_sync_handle_pull_timer (struct hf_state *state);                            /* a chunk is late */
void hf_config_sync_restore (struct hf_state *state); /* writes a lost generation back */

#endif
