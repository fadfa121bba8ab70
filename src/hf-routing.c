/* Selects the service and the request class of a request. */
#include "hf-routing.h"

#include <string.h>

/* --- internal functions --- */

static struct hf_str
without_port (struct hf_str host)
{
  const char *colon = host.len ? memchr (host.data, ':', host.len) : NULL;
  if (colon && host.data[0] != '[')
    host.len = (size_t) (colon - host.data);
  return host;
}

static bool
host_matches (struct hf_str declared, struct hf_str host)
{
  if (hf_str_equal (declared, hf_str ("*")))
    return true;
  return hf_str_equal_nocase (declared, without_port (host)) || hf_str_equal_nocase (declared, host);
}

static bool
method_matches (const struct hf_request_class *class, struct hf_str method)
{
  const struct hf_str *methods = class->methods.items;
  for (size_t i = 0; i < class->methods.n; i++)
    if (hf_str_equal (methods[i], method))
      return true;
  return class->methods.n == 0;
}

static struct hf_str
trim_leading_spaces (struct hf_str text)
{
  while (text.len && text.data[0] == ' ')
    text = (struct hf_str){ .data = text.data + 1, .len = text.len - 1 };
  return text;
}

static bool
header_matches (const struct hf_request_class *class, const struct hf_request_head *head)
{
  if (class->header.len == 0)
    return true;
  const char *colon = memchr (class->header.data, ':', class->header.len);
  struct hf_str name = { .data = class->header.data, .len = (size_t) (colon - class->header.data) };
  struct hf_str value
      = trim_leading_spaces ((struct hf_str){ .data = colon + 1, .len = class->header.len - name.len - 1 });
  for (size_t i = 0; i < head->n_headers; i++)
    if (hf_str_equal_nocase (head->headers[i].name, name) && hf_str_equal (head->headers[i].value, value))
      return true;
  return false;
}

/* --- internal functions: hosts and paths of services --- */

static const struct hf_service *
find_service (const struct hf_document *document, const struct hf_request_head *head)
{
  const struct hf_service *best = NULL;
  for (size_t i = 0; i < document->services.n; i++)
    {
      const struct hf_service *service = hf_document_get_service (document, i);
      if (!host_matches (service->host, head->host) || !hf_str_has_prefix (head->path, service->path_prefix))
        continue;
      if (!best || service->path_prefix.len > best->path_prefix.len)
        best = service;
    }
  return best;
}

static const struct hf_request_class *
find_class (const struct hf_service *service, const struct hf_request_head *head)
{
  for (size_t i = 0; i < service->classes.n; i++)
    {
      const struct hf_request_class *class = hf_service_get_class (service, i);
      if (method_matches (class, head->method) && hf_str_has_prefix (head->path, class->path_prefix)
          && header_matches (class, head))
        return class;
    }
  return NULL;
}

/* --- internal functions: routes --- */

static const struct hf_route *
find_route (const struct hf_document *document, const struct hf_request_head *head)
{
  const struct hf_route *best = NULL;
  for (size_t i = 0; i < document->routes.n; i++)
    {
      const struct hf_route *route = hf_document_get_route (document, i);
      if (!hf_str_has_prefix (head->path, route->path_prefix) || !host_matches (route->host, head->host))
        continue;
      if (!best || route->path_prefix.len > best->path_prefix.len)
        best = route;
    }
  return best;
}

/* Chooses one of the route's services with a probability in proportion to its weight. */
static const struct hf_service *
choose_weighted_service (const struct hf_document *document, const struct hf_route *route, uint64_t random)
{
  uint64_t weight_sum = 0;
  for (size_t i = 0; i < route->weighted_services.n; i++)
    weight_sum += (uint64_t) hf_route_get_service (route, i)->weight;
  uint64_t drawn = weight_sum ? random % weight_sum : 0;
  for (size_t i = 0; i < route->weighted_services.n; i++)
    {
      const struct hf_weighted_service *weighted = hf_route_get_service (route, i);
      if (drawn < (uint64_t) weighted->weight || weight_sum == 0)
        return hf_document_find_service (document, weighted->service);
      drawn -= (uint64_t) weighted->weight;
    }
  return NULL;
}

/* --- public functions --- */

bool
hf_routing_find_target (const struct hf_document *document,
                        const struct hf_request_head *head,
                        uint64_t random,
                        struct hf_route_target *target)
{
  const struct hf_route *route = find_route (document, head);
  if (route)
    {
      *target = (struct hf_route_target){ .service = choose_weighted_service (document, route, random),
                                          .class = &route->class };
      return true;
    }
  target->service = find_service (document, head);
  target->class = target->service ? find_class (target->service, head) : NULL;
  return target->class != NULL;
}
