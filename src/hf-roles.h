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
/* The entry that grants the slots of a slice: one of the slice's failure domain, if there is any. */
uint64_t hf_roles_slice_granter (const struct hf_state *state, const struct hf_service_state *slice);
/* Whether this entry sends heartbeats to a member: it or this entry is a coordinator. With domain affinity, both are,
 * if their failure domains differ. */
bool hf_roles_is_heartbeat_peer (const struct hf_state *state, const struct hf_member *member);
/* Whether heartbeats of a member are due here. With domain affinity, those of coordinators of other failure domains are
 * reported by coordinators of this one. */
bool hf_roles_expects_heartbeats (const struct hf_state *state, const struct hf_member *member);
/* Whether this entry reports the coordinators of other failure domains to a member. */
bool hf_roles_reports_coordinators (const struct hf_state *state, const struct hf_member *member);

#endif
