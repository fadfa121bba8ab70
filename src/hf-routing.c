/* Finds service and request class of a request. */
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
host_matches (const struct hf_service *service, struct hf_str host)
{
  if (hf_str_equal (service->host, hf_str ("*")))
    return true;
  return hf_str_equal_nocase (service->host, without_port (host)) || hf_str_equal_nocase (service->host, host);
}

static bool
method_matches (const struct hf_class *class, struct hf_str method)
{
  const struct hf_str *methods = class->methods.items;
  for (size_t i = 0; i < class->methods.n; i++)
    if (hf_str_equal (methods[i], method))
      return true;
  return class->methods.n == 0;
}

static struct hf_str
trim (struct hf_str text)
{
  while (text.len && text.data[0] == ' ')
    text = (struct hf_str){ .data = text.data + 1, .len = text.len - 1 };
  return text;
}

static bool
header_matches (const struct hf_class *class, const struct hf_request_head *head)
{
  if (class->header.len == 0)
    return true;
  const char *colon = memchr (class->header.data, ':', class->header.len);
  struct hf_str name = { .data = class->header.data, .len = (size_t) (colon - class->header.data) };
  struct hf_str value = trim ((struct hf_str){ .data = colon + 1, .len = class->header.len - name.len - 1 });
  for (size_t i = 0; i < head->n_headers; i++)
    if (hf_str_equal_nocase (head->headers[i].name, name) && hf_str_equal (head->headers[i].value, value))
      return true;
  return false;
}

/* --- public functions --- */

const struct hf_service *
hf_route_service (const struct hf_document *document, const struct hf_request_head *head)
{
  const struct hf_service *best = NULL;
  for (size_t i = 0; i < document->services.n; i++)
    {
      const struct hf_service *service = hf_document_service (document, i);
      if (!host_matches (service, head->host) || !hf_str_starts (head->path, service->path_prefix))
        continue;
      if (!best || service->path_prefix.len > best->path_prefix.len)
        best = service;
    }
  return best;
}

const struct hf_class *
hf_route_class (const struct hf_service *service, const struct hf_request_head *head)
{
  for (size_t i = 0; i < service->classes.n; i++)
    {
      const struct hf_class *class = hf_service_class (service, i);
      if (method_matches (class, head->method) && hf_str_starts (head->path, class->path_prefix)
          && header_matches (class, head))
        return class;
    }
  return NULL;
}
