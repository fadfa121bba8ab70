/**
 * DOC: hf-config-sync - the configuration in force
 *
 * Adopts new generations of the configuration document from the platform's
 * watch or from other entries (hf-config-spread). Never
 * goes back to a lower generation, and writes the document back to the platform
 * if the platform's copy is older.
 */
#ifndef HF_CONFIG_SYNC_H
#define HF_CONFIG_SYNC_H

#include "hf-config-spread.h"

/* --- public functions: start --- */

void hf_config_sync_start (struct hf_state *state); /* opens the watches */

/* --- public functions: events --- */

/* DOCUMENT: adopts it if its generation is newer. */
void hf_config_sync_handle_document (struct hf_state *state, const struct hf_event *event);

/* WATCH_LINE: one line of a watch, or its end. */
void hf_config_sync_handle_watch (struct hf_state *state, const struct hf_event *event);
void hf_config_sync_reopen_watch (struct hf_state *state, enum hf_platform_purpose purpose); /* its delay has passed */
void hf_config_sync_check_watches (struct hf_state *state); /* reopens watches that receive no lines */
void hf_config_sync_check_stored (struct hf_state *state);  /* requests the stored version if a check is due */

/* PLATFORM_RESULT: outcome of a check or of a write. */
void hf_config_sync_handle_platform (struct hf_state *state, const struct hf_event *event);

/* Another entry has sent a document. */
void hf_config_sync_adopt_received (struct hf_state *state, const struct hf_config_received *received);
void hf_config_sync_restore (struct hf_state *state); /* writes the document in force back to the platform */

#endif
