/**
 * DOC: hf-slices - slices of a large service
 *
 * One entry cannot grant the slots of a service with hundreds of backend
 * servers. Such a service is divided into slices, each with its own servers, pool
 * and granter. A request is assigned to a random slice, weighted by usable slots.
 * A small service is one slice, with the id of the service.
 */
#ifndef HF_SLICES_H
#define HF_SLICES_H

#include "hf-state.h"

/* --- public functions --- */

unsigned hf_slices_target_count (size_t servers, unsigned current); /* slices for that many servers */

/* Finds a slice or creates it, not configured yet. */
struct hf_service_state *hf_slices_find_or_add (struct hf_state *state, const struct hf_service *spec, unsigned slice);
void hf_slices_configure (struct hf_state *state, const struct hf_service *spec); /* all slices of the service */

/* Finds the slice that a backend server belongs to; NULL: unknown service. */
struct hf_service_state *hf_slices_find_by_server (const struct hf_state *state, uint64_t service, uint64_t server);

/* Adapts the number of slices; returns true if servers have to move to other slices. */
bool hf_slices_resize (struct hf_state *state, uint64_t service, size_t servers);
uint64_t hf_slices_choose (struct hf_state *state, uint64_t service); /* id of the slice of a new request */

/* Finds a slice by its index; NULL: there is none. */
struct hf_service_state *hf_slices_find (const struct hf_state *state, uint64_t service, unsigned slice);

void hf_slices_handle_affinity (struct hf_state *state); /* after domain affinity was turned on or off */

#endif
