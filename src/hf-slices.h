/**
 * DOC: hf-slices - slices of a large service
 *
 * One entry cannot grant the slots of a service with hundreds of backend
 * servers. Such a service is divided into slices, each with its own servers, pool
 * and granter. A request is assigned to a random slice, weighted by usable slots.
 * A small service is one slice, with the id of the service.
 *
 * With domain affinity the slices of a service follow failure domains: each one has
 * one or more slices, with the servers there and a granter there, and a request is
 * assigned to one of its own domain. The first slice is then without servers.
 */
#ifndef HF_SLICES_H
#define HF_SLICES_H

#include "hf-state.h"

/* --- types --- */

/** struct hf_domain_servers - listed backend servers of a service in one failure domain */
struct hf_domain_servers
{
  uint64_t failure_domain; /* hash of its name; 0: none */
  size_t servers;
};

/* --- public functions --- */

unsigned hf_slices_target_count (size_t servers, unsigned current); /* slices for that many servers */

/* Finds the first slice of a service or creates it, not configured yet. */
struct hf_service_state *hf_slices_find_or_add_first (struct hf_state *state, const struct hf_service *spec);
void hf_slices_configure (struct hf_state *state, const struct hf_service *spec); /* all slices of the service */

/* Finds the slice that a backend server belongs to; NULL: unknown service, or no slice yet for its failure domain. */
struct hf_service_state *
hf_slices_find_by_server (const struct hf_state *state, uint64_t service, uint64_t server, uint64_t failure_domain);

/* Adapts the slices to the servers (struct hf_domain_servers); returns true if servers have to move to other slices. */
bool hf_slices_resize (struct hf_state *state, uint64_t service, const GArray *domains);
uint64_t hf_slices_choose (struct hf_state *state, uint64_t service); /* id of the slice of a new request */

unsigned hf_slices_total (const struct hf_service_state *first); /* slices of the service that have an index */
/* Whether the slices of the service have changed so that this one has no servers any more. */
bool hf_slices_is_outdated (const struct hf_state *state, const struct hf_service_state *slice);

/* Finds a slice by its index; NULL: there is none. */
struct hf_service_state *hf_slices_find (const struct hf_state *state, uint64_t service, unsigned slice);

void hf_slices_handle_affinity (struct hf_state *state); /* after domain affinity was turned on or off */

#endif
