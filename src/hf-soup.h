/**
 * DOC: hf-soup - helpers for libsoup
 *
 * Creates sessions that return response bytes unchanged, servers that listen
 * on an IP:PORT, and request messages.
 */
#ifndef HF_SOUP_H
#define HF_SOUP_H

#include <libsoup/soup.h>

#include "hf-event.h"

/* --- public functions --- */

/* New session without proxy, cookies, authentication and content decoding. */
SoupSession *hf_soup_session_new (unsigned connections_max, unsigned timeout_sec);
/* Listens on address (IP:PORT), writes the bound one to bound_address (size bytes); false and *error on failure. */
bool hf_soup_server_listen (SoupServer *server,
                            struct hf_str address,
                            char *bound_address,
                            size_t size,
                            struct hf_error *error);
/* New request to address (IP:PORT), redirects are not followed; NULL if address has no port. */
SoupMessage *hf_soup_message_new (const char *method, struct hf_str address, const char *path, const char *query);

#endif
