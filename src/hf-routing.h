/**
 * DOC: hf-routing - selects the service and the request class of a request
 *
 * Pure functions of the document; a route with several weighted services also
 * needs a random number.
 */
#ifndef HF_ROUTING_H
#define HF_ROUTING_H

#include "hf-document.h"
#include "hf-event.h"

/* --- types --- */

/** struct hf_request_head - the parts of a request head that routing matches */
struct hf_request_head
{
  struct hf_str method;
  struct hf_str host;
  struct hf_str path;
  const struct hf_header *headers;
  size_t n_headers;
};

/** struct hf_route_target - service and request class of a request */
struct hf_route_target
{
  const struct hf_service *service;     /* NULL: no service matches */
  const struct hf_request_class *class; /* NULL: no class of the service matches */
};

/* --- public functions --- */

/* Routes come before the services' own paths, and the longest path prefix wins. Returns false if no class matches. */
bool hf_routing_find_target (const struct hf_document *document,
                             const struct hf_request_head *head,
                             uint64_t random,
                             struct hf_route_target *target);

#endif
