/* Document of desired state: table of its keys, and checks across keys. */
#include "hf-document.h"

#include <glib.h>

#include "hf-fields-xdr.h"
#include "hf-organisations.h"

#include "config.h"

/* --- constants --- */

#define NAME_BYTES_MAX  64
#define DURATION_MS_MAX (7 * 86400000)  /* one week, which every timer can count */
#define WEIGHT_MAX      1000000000000LL /* the sum over all parts of a route stays a whole number */

static const char *const policy_names[] = { "grants", "two-choices-shared", "two-choices", "round-robin", NULL };

static const struct hf_yaml_field server_fields[] = {
  { .name = "name",
    .type = HF_YAML_STR,
    .offset = offsetof (struct hf_server, name),
    .required = true,
    .min = 1,
    .max = NAME_BYTES_MAX,
    .help = "Name of the backend server, unique within its service." },
  { .name = "address",
    .type = HF_YAML_ADDRESS,
    .offset = offsetof (struct hf_server, address),
    .required = true,
    .help = "Address that it listens on, IP:PORT." },
  { .name = "failure_domain",
    .type = HF_YAML_STR,
    .offset = offsetof (struct hf_server, failure_domain),
    .max = NAME_BYTES_MAX,
    .default_str = "",
    .help = "Failure domain that it runs in." },
  { .name = "slots",
    .type = HF_YAML_INT,
    .offset = offsetof (struct hf_server, slots),
    .min = 1,
    .max = 10000,
    .default_value = 3,
    .unit = "requests",
    .help = "Requests that it runs concurrently." },
  { .name = "connections",
    .type = HF_YAML_INT,
    .offset = offsetof (struct hf_server, connections_max),
    .min = 1,
    .max = 100000,
    .default_value = 220,
    .unit = "connections",
    .help = "Connections that it accepts from all entries together." },
  { .name = "drain",
    .type = HF_YAML_BOOL,
    .offset = offsetof (struct hf_server, draining),
    .help = "True while it is draining: it gets no new requests." },
  { 0 },
};

static const struct hf_yaml_field class_fields[] = {
  { .name = "name",
    .type = HF_YAML_STR,
    .offset = offsetof (struct hf_request_class, name),
    .required = true,
    .min = 1,
    .help = "Name of the request class, unique within its service." },
  { .name = "methods",
    .type = HF_YAML_STR_LIST,
    .offset = offsetof (struct hf_request_class, methods),
    .max = 16,
    .help = "HTTP methods that it matches; none: all." },
  { .name = "path_prefix",
    .type = HF_YAML_STR,
    .offset = offsetof (struct hf_request_class, path_prefix),
    .max = 256,
    .default_str = "",
    .help = "Prefix of the path; empty: any path of the service." },
  { .name = "header",
    .type = HF_YAML_STR,
    .offset = offsetof (struct hf_request_class, header),
    .max = 256,
    .default_str = "",
    .help = "Header field that must be present, written \"Name: value\"." },
  { .name = "worth",
    .type = HF_YAML_INT,
    .offset = offsetof (struct hf_request_class, worth),
    .min = 1,
    .max = 1000,
    .default_value = 1,
    .help = "Value of one timely response; requests of the least worth are shed first." },
  { .name = "deadline_ms",
    .type = HF_YAML_INT,
    .offset = offsetof (struct hf_request_class, deadline_ms),
    .min = 1,
    .max = DURATION_MS_MAX,
    .default_value = 2000,
    .unit = "ms",
    .help = "Time from the arrival of a request to the end of the response head." },
  { .name = "timeout_ms",
    .type = HF_YAML_INT,
    .offset = offsetof (struct hf_request_class, timeout_ms),
    .min = 0,
    .max = DURATION_MS_MAX,
    .unit = "ms",
    .help = "Longest time that a request is kept waiting; 0: only its deadline." },
  { .name = "aim_ms",
    .type = HF_YAML_INT,
    .offset = offsetof (struct hf_request_class, aim_ms),
    .min = 0,
    .max = DURATION_MS_MAX,
    .unit = "ms",
    .help = "Target latency, from the start of the request at the caller; 0: the deadline." },
  { .name = "priority",
    .type = HF_YAML_INT,
    .offset = offsetof (struct hf_request_class, priority),
    .min = 0,
    .max = 100,
    .help = "Rank in the queue for slots, 0 first." },
  { .name = "attempts",
    .type = HF_YAML_INT,
    .offset = offsetof (struct hf_request_class, attempts_max),
    .min = 1,
    .max = 3,
    .default_value = 3,
    .help = "Most backend servers that one request is sent to." },
  { .name = "resend_refused",
    .type = HF_YAML_BOOL,
    .offset = offsetof (struct hf_request_class, resend_refused),
    .help = "True: a request that a backend server refused as not run goes to another one, repeatable or not." },
  { .name = "repeatable",
    .type = HF_YAML_BOOL,
    .offset = offsetof (struct hf_request_class, repeatable),
    .help = "True if a request is idempotent and may run more than once." },
  { .name = "hedge",
    .type = HF_YAML_BOOL,
    .offset = offsetof (struct hf_request_class, hedge),
    .help
    = "True: a second attempt may start while a slow one still runs, within the retry budget; only with repeatable." },
  { .name = "public",
    .type = HF_YAML_BOOL,
    .offset = offsetof (struct hf_request_class, is_public),
    .help = "True: its requests need no key of an organisation." },
  { 0 },
};

static const struct hf_yaml_field organisation_fields[] = {
  { .name = "name",
    .type = HF_YAML_STR,
    .offset = offsetof (struct hf_organisation, name),
    .required = true,
    .min = 1,
    .help = "Name of the organisation, unique; backend servers get it with each request." },
  { .name = "keys",
    .type = HF_YAML_STR_LIST,
    .offset = offsetof (struct hf_organisation, keys),
    .secret = true,
    .help = "Keys of its callers; no other organisation has them." },
  { .name = "priority",
    .type = HF_YAML_INT,
    .offset = offsetof (struct hf_organisation, priority),
    .min = -1,
    .max = 100,
    .default_value = -1,
    .help = "Rank of its requests in the queue for slots, 0 first; -1: that of the route." },
  { .name = "rate_per_s",
    .type = HF_YAML_REAL,
    .offset = offsetof (struct hf_organisation, rate_per_s),
    .min = 0,
    .max = 10000000,
    .unit = "requests/s",
    .help = "Requests a second that it may send, over all entries; 0: no limit." },
  { .name = "burst",
    .type = HF_YAML_REAL,
    .offset = offsetof (struct hf_organisation, burst),
    .min = 0,
    .max = 10000000,
    .unit = "requests",
    .help = "Requests that it may send at once beyond rate_per_s." },
  { 0 },
};

static const struct hf_yaml_field service_fields[] = {
  { .name = "name",
    .type = HF_YAML_STR,
    .offset = offsetof (struct hf_service, name),
    .required = true,
    .min = 1,
    .help = "Name of the service, unique." },
  { .name = "host",
    .type = HF_YAML_STR,
    .offset = offsetof (struct hf_service, host),
    .default_str = "*",
    .help = "Value of the Host header field; * matches any." },
  { .name = "path_prefix",
    .type = HF_YAML_STR,
    .offset = offsetof (struct hf_service, path_prefix),
    .min = 1,
    .default_str = "/",
    .help = "Prefix of the path; the longest match wins." },
  { .name = "policy",
    .type = HF_YAML_CHOICE,
    .offset = offsetof (struct hf_service, policy),
    .choices = policy_names,
    .help = "How a backend server is chosen." },
  { .name = "queue_limit",
    .type = HF_YAML_INT,
    .offset = offsetof (struct hf_service, queue_limit),
    .min = 0,
    .max = 100000,
    .default_value = 100,
    .unit = "requests",
    .help = "Most requests that wait for a slot; beyond, those of the least worth are refused." },
  { .name = "probe_budget",
    .type = HF_YAML_INT,
    .offset = offsetof (struct hf_service, probe_budget),
    .min = 0,
    .max = 10000,
    .default_value = 10,
    .unit = "probes per 10 s",
    .help = "Health probes that all entries together may send to this service." },
  { .name = "retry_percent",
    .type = HF_YAML_INT,
    .offset = offsetof (struct hf_service, retry_percent),
    .min = 0,
    .max = 100,
    .default_value = 10,
    .unit = "% of first attempts",
    .help = "Most retries and hedges, relative to the first attempts." },
  { .name = "health_path",
    .type = HF_YAML_STR,
    .offset = offsetof (struct hf_service, health_path),
    .default_str = "/health",
    .help = "Path of the backend servers' health endpoint." },
  { .name = "measure_ms",
    .type = HF_YAML_INT,
    .offset = offsetof (struct hf_service, measure_interval_ms),
    .min = 0,
    .max = 60000,
    .unit = "ms",
    .help = "Interval in which the load of free backend servers is measured while the service is used; 0: never." },
  { .name = "directory",
    .type = HF_YAML_BOOL,
    .offset = offsetof (struct hf_service, uses_directory),
    .help = "True: its backend servers are listed by the platform's directory." },
  { .name = "cold_requests_per_s",
    .type = HF_YAML_REAL,
    .offset = offsetof (struct hf_service, cold_requests_per_s),
    .min = 0,
    .max = 10000000,
    .unit = "requests/s",
    .help = "Requests a second that a cold backend server tolerates; 0: no limit." },
  { .name = "cold_ms",
    .type = HF_YAML_INT,
    .offset = offsetof (struct hf_service, cold_ms),
    .min = 0,
    .max = DURATION_MS_MAX,
    .unit = "ms",
    .help = "How long a backend server is cold after its start; 0: not at all." },
  { .name = "servers",
    .type = HF_YAML_LIST,
    .offset = offsetof (struct hf_service, servers),
    .min = 0,
    .max = 5000,
    .help = "Backend servers of the service.",
    .fields = server_fields,
    .struct_size = sizeof (struct hf_server) },
  { .name = "classes",
    .type = HF_YAML_LIST,
    .offset = offsetof (struct hf_service, classes),
    .min = 0,
    .max = 100,
    .help = "Request classes, first match wins.",
    .fields = class_fields,
    .struct_size = sizeof (struct hf_request_class) },
  { 0 },
};

static const struct hf_yaml_field weighted_service_fields[] = {
  { .name = "service",
    .type = HF_YAML_STR,
    .offset = offsetof (struct hf_weighted_service, service),
    .required = true,
    .min = 1,
    .help = "Name of a service of this document." },
  { .name = "weight",
    .type = HF_YAML_INT,
    .offset = offsetof (struct hf_weighted_service, weight),
    .min = 0,
    .max = WEIGHT_MAX,
    .default_value = 1,
    .help = "Its share of the requests, relative to the sum of all weights." },
  { 0 },
};

static const struct hf_yaml_field route_fields[] = {
  { .name = "name",
    .type = HF_YAML_STR,
    .offset = offsetof (struct hf_route, name),
    .required = true,
    .min = 1,
    .help = "Name of the route, unique." },
  { .name = "host",
    .type = HF_YAML_STR,
    .offset = offsetof (struct hf_route, host),
    .default_str = "*",
    .help = "Value of the Host header field; * matches any." },
  { .name = "path_prefix",
    .type = HF_YAML_STR,
    .offset = offsetof (struct hf_route, path_prefix),
    .min = 1,
    .default_str = "/",
    .help = "Prefix of the path; the longest match wins." },
  { .name = "class",
    .type = HF_YAML_MAP,
    .offset = offsetof (struct hf_route, class),
    .required = true,
    .help = "Request class of all its requests.",
    .fields = class_fields,
    .struct_size = sizeof (struct hf_request_class) },
  { .name = "parts",
    .type = HF_YAML_LIST,
    .offset = offsetof (struct hf_route, weighted_services),
    .required = true,
    .min = 1,
    .help = "Services that share its requests.",
    .fields = weighted_service_fields,
    .struct_size = sizeof (struct hf_weighted_service) },
  { 0 },
};

static const struct hf_yaml_field limits_fields[] = {
  { .name = "head_bytes",
    .type = HF_YAML_INT,
    .offset = offsetof (struct hf_caller_limits, head_bytes_max),
    .min = 1,
    .max = HF_HEAD_LIMIT_BYTES_MAX,
    .default_value = HF_REQUEST_HEAD_BYTES_MAX,
    .unit = "bytes",
    .help = "Largest request head; a larger one gets 431." },
  { .name = "body_bytes",
    .type = HF_YAML_INT,
    .offset = offsetof (struct hf_caller_limits, body_bytes_max),
    .min = 0,
    .max = HF_BODY_LIMIT_BYTES_MAX,
    .default_value = HF_REQUEST_BODY_BYTES_MAX,
    .unit = "bytes",
    .help = "Largest request body; a larger one gets 413." },
  { .name = "head_ms",
    .type = HF_YAML_INT,
    .offset = offsetof (struct hf_caller_limits, head_timeout_ms),
    .min = 1,
    .max = DURATION_MS_MAX,
    .default_value = HF_CALLER_STALL_TIMEOUT_SEC * 1000,
    .unit = "ms",
    .help = "Longest time to receive a request head; a slower one gets 408." },
  { .name = "idle_ms",
    .type = HF_YAML_INT,
    .offset = offsetof (struct hf_caller_limits, idle_timeout_ms),
    .min = 1,
    .max = DURATION_MS_MAX,
    .default_value = HF_CALLER_STALL_TIMEOUT_SEC * 1000,
    .unit = "ms",
    .help = "A connection without a request is closed after this." },
  { 0 },
};

const struct hf_yaml_field hf_document_fields[] = {
  { .name = "version",
    .type = HF_YAML_INT,
    .offset = offsetof (struct hf_document, version),
    .required = true,
    .min = 1,
    .max = 1,
    .help = "Version of this format." },
  { .name = "entries_max",
    .type = HF_YAML_INT,
    .offset = offsetof (struct hf_document, entries_max),
    .min = 1,
    .max = 2000,
    .default_value = 19,
    .unit = "VMs",
    .help = "Most entry VMs that run concurrently; connection limits are divided by it." },
  { .name = "limits",
    .type = HF_YAML_MAP,
    .offset = offsetof (struct hf_document, limits),
    .help = "Limits of request sizes and times.",
    .fields = limits_fields,
    .struct_size = sizeof (struct hf_caller_limits) },
  { .name = "services",
    .type = HF_YAML_LIST,
    .offset = offsetof (struct hf_document, services),
    .required = true,
    .help = "Services.",
    .fields = service_fields,
    .struct_size = sizeof (struct hf_service) },
  { .name = "organisations",
    .type = HF_YAML_LIST,
    .offset = offsetof (struct hf_document, organisations),
    .help = "Organisations whose callers identify themselves with a key; none: see require_keys.",
    .fields = organisation_fields,
    .struct_size = sizeof (struct hf_organisation) },
  { .name = "require_keys",
    .type = HF_YAML_BOOL,
    .offset = offsetof (struct hf_document, require_keys),
    .help = "True: requests need a key also while there are no organisations, so that none is accepted." },
  { .name = "routes",
    .type = HF_YAML_LIST,
    .offset = offsetof (struct hf_document, routes),
    .help = "Routes, matched before the services' own hosts and paths.",
    .fields = route_fields,
    .struct_size = sizeof (struct hf_route) },
  { 0 },
};

/* --- internal functions --- */

/* Sets *error with the path of the field, which @format gives. Returns false. */
static bool
set_error_at (struct hf_error *error, const char *message, const char *format, ...)
{
  va_list args;
  hf_error_set (error, HF_ERROR_INVALID, "%s", message);
  va_start (args, format);
  if (error)
    g_vsnprintf (error->path, sizeof error->path, format, args);
  va_end (args);
  return false;
}

static bool
check_service (const struct hf_document *document, size_t s, struct hf_error *error)
{
  const struct hf_service *service = hf_document_get_service (document, s);
  bool ok = true;
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);
  for (size_t i = 0; ok && i < service->servers.n; i++)
    if (!g_hash_table_add (names, (char *) hf_service_get_server (service, i)->name.data))
      ok = set_error_at (error, "expected a name that no other backend server of the service has",
                         "services[%zu].servers[%zu].name", s, i);
  g_hash_table_remove_all (names);
  for (size_t i = 0; ok && i < service->classes.n; i++)
    {
      const struct hf_request_class *class = hf_service_get_class (service, i);
      if (!g_hash_table_add (names, (char *) class->name.data))
        ok = set_error_at (error, "expected a name that no other class of the service has",
                           "services[%zu].classes[%zu].name", s, i);
      else if (class->hedge && !class->repeatable)
        ok = set_error_at (error, "hedge needs repeatable: true", "services[%zu].classes[%zu].hedge", s, i);
      else if (class->header.len && !memchr (class->header.data, ':', class->header.len))
        ok = set_error_at (error, "expected \"Name: value\"", "services[%zu].classes[%zu].header", s, i);
    }
  g_hash_table_destroy (names);
  return ok;
}

static bool
check_route (const struct hf_document *document, size_t r, struct hf_error *error)
{
  const struct hf_route *route = hf_document_get_route (document, r);
  if (route->path_prefix.data[0] != '/')
    return set_error_at (error, "expected a path that starts with /", "routes[%zu].path_prefix", r);
  if (route->class.hedge && !route->class.repeatable)
    return set_error_at (error, "hedge needs repeatable: true", "routes[%zu].class.hedge", r);
  for (size_t i = 0; i < route->weighted_services.n; i++)
    if (!hf_document_find_service (document, hf_route_get_service (route, i)->service))
      return set_error_at (error, "expected the name of a service of this document", "routes[%zu].parts[%zu].service",
                           r, i);
  return true;
}

static bool
check_routes (const struct hf_document *document, struct hf_error *error)
{
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);
  bool ok = true;
  for (size_t i = 0; ok && i < document->routes.n; i++)
    {
      if (!g_hash_table_add (names, (char *) hf_document_get_route (document, i)->name.data))
        ok = set_error_at (error, "expected a name that no other route has", "routes[%zu].name", i);
      else
        ok = check_route (document, i, error);
    }
  g_hash_table_destroy (names);
  return ok;
}

/* Builds the table of keys, which finds keys that two organisations have. */
static bool
check_organisations (struct hf_document *document, struct hf_error *error)
{
  if (document->organisations.n == 0)
    return true;
  uint64_t seed = (uint64_t) g_random_int () << 32 | g_random_int ();
  document->organisation_keys = hf_organisations_new (&document->organisations, seed, error);
  return document->organisation_keys != NULL;
}

static bool
check_document (struct hf_document *document, struct hf_error *error)
{
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);
  bool ok = true;
  for (size_t i = 0; ok && i < document->services.n; i++)
    {
      const struct hf_service *service = hf_document_get_service (document, i);
      if (!g_hash_table_add (names, (char *) service->name.data))
        ok = set_error_at (error, "expected a name that no other service has", "services[%zu].name", i);
      else if (service->path_prefix.data[0] != '/')
        ok = set_error_at (error, "expected a path that starts with /", "services[%zu].path_prefix", i);
      else
        ok = check_service (document, i, error);
    }
  g_hash_table_destroy (names);
  return ok && check_routes (document, error) && check_organisations (document, error);
}

static struct hf_list
new_list (size_t n, const struct hf_yaml_field *fields, size_t struct_size)
{
  struct hf_list list = { .items = g_malloc0_n (n + 1, struct_size), .n = n };
  for (size_t i = 0; i < n; i++)
    hf_yaml_set_defaults (fields, (char *) list.items + i * struct_size);
  return list;
}

/* --- public functions: build --- */

struct hf_document *
hf_document_new (size_t services, size_t routes)
{
  struct hf_document *document = g_new0 (struct hf_document, 1);
  document->ref_count = 1;
  hf_yaml_set_defaults (hf_document_fields, document);
  document->version = 1;
  document->services = new_list (services, service_fields, sizeof (struct hf_service));
  document->routes = new_list (routes, route_fields, sizeof (struct hf_route));
  return document;
}

void
hf_document_set_organisation_count (struct hf_document *document, size_t n)
{
  document->organisations = new_list (n, organisation_fields, sizeof (struct hf_organisation));
}

void
hf_organisation_set_key_count (struct hf_organisation *organisation, size_t n)
{
  organisation->keys = (struct hf_list){ .items = g_malloc0_n (n + 1, sizeof (struct hf_str)), .n = n };
}

void
hf_route_set_service_count (struct hf_route *route, size_t n)
{
  route->weighted_services = new_list (n, weighted_service_fields, sizeof (struct hf_weighted_service));
}

void
hf_document_clamp (struct hf_document *document)
{
  hf_yaml_clamp (hf_document_fields, document);
}

struct hf_str
hf_document_encode (const struct hf_document *document)
{
  return hf_fields_encode (hf_document_fields, document);
}

/* --- public functions: load and release --- */

struct hf_document *
hf_document_load (struct hf_str text, struct hf_error *error)
{
  bool encoded = hf_fields_is_encoded (text);
  bool (*read_fields) (struct hf_str, const struct hf_yaml_field *, void *, struct hf_error *)
      = encoded ? hf_fields_decode : hf_yaml_load;
  struct hf_document *document = g_new0 (struct hf_document, 1);
  document->ref_count = 1;
  document->text = hf_str_dup (text);
  document->digest = hf_hash (text, 0);
  if (text.len > 0 && read_fields (text, hf_document_fields, document, error) && check_document (document, error))
    return document;
  if (!encoded && error && error->path[0] && error->line == 0)
    hf_yaml_locate_error (text, error);
  if (text.len == 0)
    hf_error_set (error, HF_ERROR_SYNTAX, "the document is empty");
  hf_document_unref (document);
  return NULL;
}

struct hf_document *
hf_document_ref (struct hf_document *document)
{
  if (document)
    document->ref_count++;
  return document;
}

void
hf_document_unref (struct hf_document *document)
{
  if (!document || --document->ref_count > 0)
    return;
  hf_organisations_free (document->organisation_keys);
  hf_yaml_free (hf_document_fields, document);
  hf_str_free (&document->text);
  g_free (document);
}

/* --- public functions: look up --- */

struct hf_service *
hf_document_get_service (const struct hf_document *document, size_t i)
{
  return (struct hf_service *) document->services.items + i;
}

const struct hf_service *
hf_document_find_service (const struct hf_document *document, struct hf_str name)
{
  for (size_t i = 0; i < document->services.n; i++)
    if (hf_str_equal (hf_document_get_service (document, i)->name, name))
      return hf_document_get_service (document, i);
  return NULL;
}

struct hf_route *
hf_document_get_route (const struct hf_document *document, size_t i)
{
  return (struct hf_route *) document->routes.items + i;
}

struct hf_organisation *
hf_document_get_organisation (const struct hf_document *document, size_t i)
{
  return (struct hf_organisation *) document->organisations.items + i;
}

struct hf_weighted_service *
hf_route_get_service (const struct hf_route *route, size_t i)
{
  return (struct hf_weighted_service *) route->weighted_services.items + i;
}

struct hf_server *
hf_service_get_server (const struct hf_service *service, size_t i)
{
  return (struct hf_server *) service->servers.items + i;
}

struct hf_request_class *
hf_service_get_class (const struct hf_service *service, size_t i)
{
  return (struct hf_request_class *) service->classes.items + i;
}

bool
hf_document_needs_keys (const struct hf_document *document)
{
  return document->require_keys || document->organisations.n > 0;
}

uint64_t
hf_service_id (const struct hf_service *service)
{
  return hf_hash (service->name, 0);
}
