/**
 * DOC: hf-directory - backend servers that the platform lists
 *
 * Keeps what the directory said of each backend server and passes it on to
 * the pools of the services. It changes without touching the configuration,
 * and a change of the configuration leaves it as it is.
 */
#ifndef HF_DIRECTORY_H
#define HF_DIRECTORY_H

#include "hf-state.h"

/* --- public functions --- */

void hf_directory_init (struct hf_directory *directory);  /* empty */
void hf_directory_close (struct hf_directory *directory); /* frees all */
void hf_directory_update_server (struct hf_state *state,
                                 const struct hf_server_report *report); /* one backend server */
void hf_directory_update_pools (struct hf_state *state);                 /* reports have ended for now */
void hf_directory_begin_list (struct hf_state *state); /* what is not reported before the end is gone */
void hf_directory_end_list (struct hf_state *state);   /* all was reported */
void hf_directory_handle_list (struct hf_state *state, const struct hf_event *event); /* progress at the platform */
struct hf_server_report hf_directory_lookup (const struct hf_state *state, struct hf_str name); /* gone if not listed */
void hf_directory_foreach (const struct hf_state *state,
                           void (*visit) (void *context, const struct hf_server_report *report),
                           void *context);                 /* every backend server that is listed */
void hf_directory_remove_expired (struct hf_state *state); /* removals put off are due */
void hf_directory_fill_pool (struct hf_state *state,
                             struct hf_service_state *service); /* its servers into a new pool */

#endif
