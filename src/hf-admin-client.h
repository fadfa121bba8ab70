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
 * struct hf_stored - the document as it stands in the platform
 * @version: version of the object, 0: there is none yet
 * @generation: its generation, 0: none
 * @text: its YAML text
 */
struct hf_stored
{
  uint64_t version;
  uint64_t generation;
  struct hf_str text;
};

/* --- public functions --- */

bool
hf_client_read (const char *platform, struct hf_stored *stored, struct hf_error *error); /* document in the platform */
void hf_client_unload (struct hf_stored *stored);                                        /* frees it */
bool hf_client_write (const char *platform,
                      const struct hf_stored *base,
                      struct hf_str text,
                      uint64_t *generation,
                      struct hf_error *error); /* conditional; HF_ERROR_CONFLICT if it changed */
bool hf_client_admins (const char *platform,
                       GPtrArray *addresses,
                       struct hf_error *error); /* admin addresses of the live entries */
char *hf_client_get (const char *address,
                     const char *path,
                     unsigned *status,
                     struct hf_error *error); /* text of http://address/path */
uint64_t hf_client_base (struct hf_str text); /* generation named in its first line, or 0 */

#endif
