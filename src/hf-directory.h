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

void hf_directory_init (struct hf_directory *directory);                                  /* empty */
void hf_directory_close (struct hf_directory *directory);                                 /* frees all */
void hf_directory_report (struct hf_state *state, const struct hf_server_report *report); /* one backend server */
void hf_directory_list (struct hf_state *state, enum hf_list_step step);                  /* progress of a whole list */
void hf_directory_expire (struct hf_state *state);                                        /* removals put off are due */
void hf_directory_fill (struct hf_state *state, struct hf_service_state *service); /* its servers into a new pool */

#endif
