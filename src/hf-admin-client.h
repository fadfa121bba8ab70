/**
 * DOC: hf-admin-client - operators' client of the platform and of entries
 *
 * Blocking calls for hickoryctl: reads the current document from the platform,
 * writes a new one conditionally, and reads the admin ports of entries.
 */
#ifndef HF_ADMIN_CLIENT_H
#define HF_ADMIN_CLIENT_H

#include <glib.h>

#include "hf-base.h"

/* --- types --- */

/**
 * struct hf_stored_document - the document as stored in the platform
 * @version: version of the object, 0: none is stored
 * @generation: generation of the document, 0: none is stored
 * @text: YAML text, owned
 */
struct hf_stored_document
{
  uint64_t version;
  uint64_t generation;
  struct hf_str text;
};

/* --- public functions: document in the platform (address: its IP:PORT); false and *error on failure --- */

/* Reads the current document, to be freed; succeeds with version 0 if none is stored. */
bool hf_admin_client_read_document (const char *address, struct hf_stored_document *stored, struct hf_error *error);
/* Replaces the version read as @base; HF_ERROR_CONFLICT if it has changed since. Sets the new generation. */
bool hf_admin_client_write_document (const char *address,
                                     const struct hf_stored_document *base,
                                     struct hf_str text,
                                     uint64_t *generation,
                                     struct hf_error *error);
void hf_admin_client_free_document (struct hf_stored_document *stored); /* frees the text */
uint64_t hf_admin_client_base_generation (struct hf_str text);          /* from a comment in its first line, or 0 */

/* --- public functions: evacuations --- */

/* Orders the evacuation of a failure domain, or withdraws the order; neither fails if that was done before. */
bool hf_admin_client_set_evacuation (const char *address,
                                     const char *failure_domain,
                                     bool evacuated,
                                     struct hf_error *error);

/* --- public functions: entries --- */

/* Appends the admin address (IP:PORT) of each live entry in the VM list of the platform at @address. */
bool hf_admin_client_list_addresses (const char *address, GPtrArray *addresses, struct hf_error *error);
/* Body of http://address/path, to be freed; NULL and *error if no complete response arrived. */
char *hf_admin_client_get_text (const char *address, const char *path, unsigned *status, struct hf_error *error);

#endif
