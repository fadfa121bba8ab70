/**
 * DOC: hf-slices - slices of a large service
 *
 * One entry cannot grant the slots of a service with hundreds of backend
 * servers. Such a service is cut into slices, each with its own servers, pool
 * and granter; a request belongs to one slice, drawn by the slices' slots.
 * A small service is one slice, with the service's own identifier.
 */
#ifndef HF_SLICES_H
#define HF_SLICES_H

#include "hf-state.h"

/* --- public functions --- */

unsigned hf_slices_target_count (size_t servers, unsigned current); /* slices for so many servers, having so many now */
struct hf_service_state *
hf_slices_find_or_add (struct hf_state *state,
                       const struct hf_service *spec,
                       unsigned slice); /* finds or makes the state of one slice, not configured yet */
void hf_slices_configure (struct hf_state *state,
                          const struct hf_service *spec); /* every slice of a declared service */
struct hf_service_state *
hf_slices_find_by_server (const struct hf_state *state,
                          uint64_t service,
                          uint64_t server); /* slice of a backend server; NULL: unknown service */
bool
hf_slices_resize (struct hf_state *state, uint64_t service, size_t servers); /* true: servers have other slices now */
uint64_t hf_slices_choose (struct hf_state *state, uint64_t service);        /* slice of a new request */
struct hf_service_state *
hf_slices_find (const struct hf_state *state, uint64_t service, unsigned slice); /* NULL: there is none */

#endif
