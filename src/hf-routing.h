/**
 * DOC: hf-routing - finds service and request class of a request
 *
 * Pure functions of the document.
 */
#ifndef HF_ROUTING_H
#define HF_ROUTING_H

#include "hf-document.h"
#include "hf-event.h"

/* --- types --- */

/** struct hf_request_head - what routing looks at */
struct hf_request_head
{
  struct hf_str method;
  struct hf_str host;
  struct hf_str path;
  const struct hf_header *headers;
  size_t n_headers;
};

/* --- public functions --- */

const struct hf_service *hf_route_service (const struct hf_document *document,
                                           const struct hf_request_head *head); /* longest prefix; NULL: none */
const struct hf_class *hf_route_class (const struct hf_service *service,
                                       const struct hf_request_head *head); /* first match; NULL: none */

#endif
