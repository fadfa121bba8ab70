/**
 * DOC: hf-soup - helpers over libsoup
 *
 * Sessions that pass bytes on as they are, servers on an IP:PORT, and the
 * headers that a hop must not forward.
 */
#ifndef HF_SOUP_H
#define HF_SOUP_H

#include <libsoup/soup.h>

#include "hf-event.h"

/* --- public functions --- */

SoupSession *hf_soup_session_new (unsigned connections_max,
                                  unsigned timeout_sec); /* no proxy, no cookies, no decoding */
bool hf_soup_server_listen (SoupServer *server,
                            struct hf_str address,
                            char *bound_address,
                            size_t size,
                            struct hf_error *error); /* IP:PORT it really listens on */
SoupMessage *hf_soup_message_new (const char *method,
                                  struct hf_str address,
                                  const char *path,
                                  const char *query); /* request to IP:PORT */

#endif
