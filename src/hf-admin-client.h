/**
 * DOC: hf-admin-client - the operators' access to platform and entries
 *
 * Blocking calls for the command-line tool: reads the document in force,
 * writes a new one conditionally, and asks entries for their state.
 */
#ifndef HF_ADMIN_CLIENT_H
#define HF_ADMIN_CLIENT_H

#include <glib.h>

#include "hf-base.h"

/* --- types --- */

/**
 * struct hf_stored_document - the document as it stands in the platform
 * @version: version of the object, 0: there is none yet
 * @generation: its generation, 0: none
 * @text: its YAML text
 */
struct hf_stored_document
{
  uint64_t version;
  uint64_t generation;
  struct hf_str text;
};

/* --- public functions --- */

bool hf_admin_client_read_document (const char *platform_address,
                                    struct hf_stored_document *stored,
                                    struct hf_error *error);            /* document in the platform */
void hf_admin_client_free_document (struct hf_stored_document *stored); /* frees it */
bool hf_admin_client_write_document (const char *platform_address,
                                     const struct hf_stored_document *base,
                                     struct hf_str text,
                                     uint64_t *generation,
                                     struct hf_error *error); /* conditional; HF_ERROR_CONFLICT if it changed */
bool hf_admin_client_list_addresses (const char *platform_address,
                                     GPtrArray *addresses,
                                     struct hf_error *error); /* admin addresses of the live entries */
char *hf_admin_client_get_text (const char *address,
                                const char *path,
                                unsigned *status,
                                struct hf_error *error);       /* text of http://address/path */
uint64_t hf_admin_client_base_generation (struct hf_str text); /* generation named in its first line, or 0 */

#endif
