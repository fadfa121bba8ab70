/**
 * DOC: hf-members - membership among entries
 *
 * Who else is alive, from the platform's VM list and heartbeats, and which
 * entry is responsible for a subject (rendezvous hashing over the live ones).
 */
#ifndef HF_MEMBERS_H
#define HF_MEMBERS_H

#include "hf-state.h"

/* --- public functions: look up --- */

struct hf_member *hf_members_find (const struct hf_state *state, uint64_t boot_id); /* NULL if unknown */
uint64_t hf_members_owner (const struct hf_state *state, uint64_t subject); /* boot id of the responsible entry */
bool hf_members_is_owner (const struct hf_state *state, uint64_t subject);  /* this entry is responsible */
int64_t
hf_members_heartbeat_rounds (const struct hf_state *state);   /* turns in which all members are told: more with many */
size_t hf_members_count_alive (const struct hf_state *state); /* live entries, this one included */

/* --- public functions: events --- */

void hf_members_send_heartbeats (struct hf_state *state, bool wants_reply); /* sends a heartbeat to every member */
void hf_members_notify_coordinators (struct hf_state *state);               /* a heartbeat to those that pass news on */
void hf_members_record_sender (struct hf_state *state,
                               const struct hf_event *event); /* who sent a message of any kind */
void hf_members_contact_new (struct hf_state *state);         /* a heartbeat to those that were not heard yet */
void hf_members_handle_heartbeat (struct hf_state *state, const struct hf_event *event); /* a heartbeat came */
void hf_members_update_entry (struct hf_state *state,
                              const struct hf_listed_entry *entry); /* an entry is listed, or no longer */
void hf_members_update_vm (struct hf_state *state, const struct hf_object *object); /* a VM of the list changed */
void hf_members_begin_list (struct hf_state *state);                                /* the watch starts anew */
void hf_members_end_list (struct hf_state *state);                                  /* all VMs have been listed */
void hf_members_expire_silent (struct hf_state *state);                             /* drops silent members */
void hf_members_resume (struct hf_state *state);                                    /* this entry was paused */

#endif
