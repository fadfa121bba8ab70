/**
 * DOC: hf-members - membership among entries
 *
 * Tracks the other entries, known from the platform's VM list or from their
 * heartbeats; an entry is alive while its heartbeats arrive. Determines which
 * entry owns a subject, such as a claim shard (rendezvous hashing over the live
 * entries that grant slots).
 */
#ifndef HF_MEMBERS_H
#define HF_MEMBERS_H

#include "hf-state.h"

/* --- public functions: look up --- */

uint64_t hf_members_owner (const struct hf_state *state, uint64_t subject); /* boot id of the entry */
bool hf_members_is_owner (const struct hf_state *state, uint64_t subject);  /* this entry owns it */
size_t hf_members_count_alive (const struct hf_state *state);               /* this entry included */

/* --- public functions: sending heartbeats --- */

/* Sends heartbeats to this round's members, or with wants_reply to all of them, which then reply immediately. */
void hf_members_send_heartbeats (struct hf_state *state, bool wants_reply);
void
hf_members_announce (struct hf_state *state); /* one to all of them, whatever the round, as its content has changed */

/* --- public functions: events --- */

void hf_members_record_sender (struct hf_state *state, const struct hf_event *event); /* stores its boot id */
void hf_members_contact_new (struct hf_state *state); /* heartbeat to members not known to be alive */
void hf_members_handle_heartbeat (struct hf_state *state, const struct hf_event *event);
void hf_members_update_entry (struct hf_state *state, const struct hf_listed_entry *entry); /* listed or removed */
void hf_members_update_vm (struct hf_state *state, const struct hf_object *object);         /* from the VM list */
void hf_members_begin_list (struct hf_state *state);    /* the watch of the VM list was opened */
void hf_members_end_list (struct hf_state *state);      /* members that were not reported are unlisted */
void hf_members_expire_silent (struct hf_state *state); /* marks as lost, or removes, members with overdue heartbeats */
/* After a pause of this process: drops the members' loads, grants and queued requests, requests new heartbeats. */
void hf_members_resume (struct hf_state *state);

#endif
