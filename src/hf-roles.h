/**
 * DOC: hf-roles - entries with a role for the others
 *
 * In each failure domain the entries are ranked, those with more processor time
 * first. The first ones are coordinators: they exchange heartbeats with all
 * entries (with domain affinity: with all coordinators and with the entries of their
 * failure domain), and those with enough processor time grant slots. The first two that
 * reach the platform are watchers: they watch its directory for the others. Two
 * watchers of the fleet renew their watches often, to notice when all are lost.
 * In a small fleet every entry is a coordinator.
 */
#ifndef HF_ROLES_H
#define HF_ROLES_H

#include "hf-state.h"

/* --- public functions --- */

void hf_roles_init (struct hf_roles *roles);                                /* no roles assigned */
void hf_roles_close (struct hf_roles *roles);                               /* frees all */
void hf_roles_update (struct hf_state *state);                              /* after a change of the members */
uint64_t hf_roles_granter (const struct hf_state *state, uint64_t subject); /* boot id, by rendezvous hashing */
/* Boot ids of the first and the second granter for a subject; 0: there is none. */
void hf_roles_rank_granters (const struct hf_state *state, uint64_t subject, uint64_t ranked[2]);
/* The last time for which this entry was the first granter for a subject: from @since, until another one became it, or
 * 0: it still is. Returns false if it was not, as far as is known. */
bool hf_roles_last_granted (const struct hf_state *state, uint64_t subject, int64_t *since, int64_t *until);
/* Whether a granter was lost at the time of a change that may still grant, as it was only silent. */
bool hf_roles_lost_granter_at (const struct hf_state *state, int64_t time);
/* Who was the first granter for a subject before a time; 0: not known. */
uint64_t hf_roles_granter_before (const struct hf_state *state, uint64_t subject, int64_t time);
/* The entry that grants the slots of a slice: one of the slice's failure domain, if there is any. */
uint64_t hf_roles_slice_granter (const struct hf_state *state, const struct hf_service_state *slice);
/* Whether all entries that are reached were started at about the same time, and there is another one. */
bool hf_roles_is_restarted_fleet (const struct hf_state *state);
/* Whether this entry sends heartbeats to a member: it or this entry is a coordinator. With domain affinity, both are,
 * if their failure domains differ. */
bool hf_roles_is_heartbeat_peer (const struct hf_state *state, const struct hf_member *member);
int64_t hf_roles_heartbeat_rounds (const struct hf_state *state); /* until each member got a heartbeat */
/* Whether heartbeats of a member are due here. With domain affinity, those of coordinators of other failure domains are
 * reported by coordinators of this one. */
bool hf_roles_expects_heartbeats (const struct hf_state *state, const struct hf_member *member);
/* Whether this entry reports the coordinators of other failure domains to a member. */
bool hf_roles_reports_coordinators (const struct hf_state *state, const struct hf_member *member);

#endif
