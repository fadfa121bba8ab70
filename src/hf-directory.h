/**
 * DOC: hf-directory - backend servers that the platform lists
 *
 * Stores the directory's report of each backend server and applies it to the
 * pools of the services. Directory and configuration change independently of
 * each other.
 */
#ifndef HF_DIRECTORY_H
#define HF_DIRECTORY_H

#include "hf-state.h"

/* --- public functions: init and close --- */

void hf_directory_init (struct hf_directory *directory);  /* empty */
void hf_directory_close (struct hf_directory *directory); /* frees all */

/* --- public functions: changes --- */

/* Adds, changes or removes a server. @from_list: the report is part of a list, not a change. */
void hf_directory_update_server (struct hf_state *state, const struct hf_server_report *report, bool from_list);
void hf_directory_update_slices (struct hf_state *state); /* after domain affinity was turned on or off */
void hf_directory_update_pools (struct hf_state *state);  /* resizes slices and grants slots after a batch of updates */
void hf_directory_begin_list (struct hf_state *state);    /* begins a full list */
void hf_directory_end_list (struct hf_state *state);      /* removes the servers that the list did not report */
void hf_directory_handle_list (struct hf_state *state, const struct hf_event *event);   /* LIST_STEP */
void hf_directory_handle_report (struct hf_state *state, const struct hf_event *event); /* SERVER_REPORT */

/* The platform's store is known to be in this era. If it is a new one, all of the directory has to be listed again. */
void hf_directory_note_era (struct hf_state *state, uint64_t era);

/* --- public functions: look up --- */

/* Report of one backend server, as sent to other entries; marked as removed if it is not listed. */
struct hf_server_report hf_directory_lookup (const struct hf_state *state, struct hf_str name);

/* Calls a function for every server in the directory, those with a delayed removal included. */
void hf_directory_foreach (const struct hf_state *state,
                           void (*visit) (void *context, const struct hf_server_report *report),
                           void *context);

/* --- public functions: timers and pools --- */

void hf_directory_remove_expired (struct hf_state *state); /* delayed removals that are due */
void hf_directory_fill_pool (struct hf_state *state, struct hf_service_state *service); /* adds its servers */

#endif
