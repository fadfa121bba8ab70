/**
 * DOC: hf-removed-servers - memory of the backend servers that were removed lately
 *
 * An older copy of the directory may list a backend server that has left. Its
 * last report is kept for a time, so that an older one does not bring it back.
 */
#ifndef HF_REMOVED_SERVERS_H
#define HF_REMOVED_SERVERS_H

#include "hf-event.h"

struct hf_removed_servers;

/* --- public functions --- */

struct hf_removed_servers *hf_removed_servers_open (void);
void hf_removed_servers_close (struct hf_removed_servers *removed);

/* Keeps the age of a server's last report, and the position at which it was removed, of several the newest, for
 * HF_DIRECTORY_REMOVED_SEC. */
void hf_removed_servers_add (struct hf_removed_servers *removed,
                             const struct hf_server_report *report,
                             struct hf_store_position position,
                             int64_t now);
void hf_removed_servers_forget (struct hf_removed_servers *removed, struct hf_str name); /* it is listed again */

/* The report that was kept; of its members only incarnation and sequence are set. NULL: none, or too long ago. */
const struct hf_server_report *
hf_removed_servers_find (const struct hf_removed_servers *removed, struct hf_str name, int64_t now);
/* Position at which it was removed; the first position of all if it is not kept. */
struct hf_store_position hf_removed_servers_find_position (const struct hf_removed_servers *removed,
                                                           struct hf_str name);

#endif
