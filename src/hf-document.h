/**
 * DOC: hf-document - document of desired state
 *
 * The one document in which operators declare services, their backend servers,
 * request classes and routes. Loading validates all of it; a loaded document is
 * immutable and reference-counted.
 */
#ifndef HF_DOCUMENT_H
#define HF_DOCUMENT_H

#include "hf-yaml.h"

struct hf_organisations;

/* --- types --- */

/** enum hf_policy_kind - how a backend server of a service is chosen */
enum hf_policy_kind
{
  HF_POLICY_GRANTS,             /* one entry (the granter) tracks and grants all slots */
  HF_POLICY_TWO_CHOICES_SHARED, /* power of two choices by the loads of all entries, sent in heartbeats */
  HF_POLICY_TWO_CHOICES,        /* power of two choices by the loads of this entry */
  HF_POLICY_ROUND_ROBIN,        /* baseline for comparison, requests never wait for a slot */
};

/**
 * struct hf_server - declared backend server
 * @name: unique within its service
 * @address: IP:PORT
 * @failure_domain: failure domain that it runs in, or empty
 * @slots: requests that it runs concurrently
 * @connections_max: connections that it accepts from all entries together
 * @draining: true: it gets no new requests
 */
struct hf_server
{
  struct hf_str name;
  struct hf_str address;
  struct hf_str failure_domain;
  int64_t slots;
  int64_t connections_max;
  bool draining;
};

/**
 * struct hf_request_class - requests of a service with common deadlines and retry rules
 * @name: unique within its service
 * @methods: HTTP methods that it matches (struct hf_str); empty: all
 * @path_prefix: prefix of the path
 * @header: header field "Name: value" that must be present, or empty
 * @worth: value of one timely response; requests of the least worth are shed first
 * @deadline_ms: milliseconds from arrival to the end of the response head
 * @timeout_ms: upper limit of the time that a request is kept waiting, 0: the deadline only
 * @aim_ms: target latency, counted from the caller's first try; responses within it are worth most; 0: the deadline
 * @priority: rank in the queue for slots, 0 first
 * @attempts_max: most backend servers that one request is sent to
 * @resend_refused: true: a request that a backend server refused as not run goes to another one, repeatable or not
 * @repeatable: true: idempotent, it may run more than once
 * @hedge: true: a second attempt may start while the first still runs
 * @is_public: true: its requests need no key of an organisation
 */
struct hf_request_class
{
  struct hf_str name;
  struct hf_list methods;
  struct hf_str path_prefix;
  struct hf_str header;
  int64_t worth;
  int64_t deadline_ms;
  int64_t timeout_ms;
  int64_t aim_ms;
  int64_t priority;
  int64_t attempts_max;
  bool resend_refused;
  bool repeatable;
  bool hedge;
  bool is_public;
};

/**
 * struct hf_organisation - organisation whose callers identify themselves with a key
 * @name: unique; backend servers get it with each request
 * @keys: struct hf_str, the keys of its callers
 * @priority: rank of its requests in the queue for slots, before that of the route; -1: that of the route
 * @rate_per_s: requests a second that it may send, over all entries; 0: no limit
 * @burst: requests that it may send beyond that at once
 */
struct hf_organisation
{
  struct hf_str name;
  struct hf_list keys;
  int64_t priority;
  double rate_per_s;
  double burst;
};

/**
 * struct hf_service - service with its backend servers and request classes
 * @name: unique
 * @host: value of the Host header field, or "*" for any
 * @path_prefix: prefix of the path; the longest match wins
 * @policy: enum hf_policy_kind
 * @queue_limit: most requests that wait for a slot: over all entries with policy grants, else at each entry
 * @probe_budget: most health probes per 10 s, by all entries together
 * @retry_percent: most retries and hedges per 100 first attempts
 * @health_path: path of the backend servers' health endpoint
 * @measure_interval_ms: interval in which the granter measures the load of free backend servers, 0: never
 * @uses_directory: true: the backend servers are listed by the platform's directory
 * @cold_requests_per_s: requests a second that a cold backend server tolerates, 0: no limit
 * @cold_ms: how long a backend server is cold after its start, in milliseconds, 0: not at all
 * @servers: struct hf_server
 * @classes: struct hf_request_class
 */
struct hf_service
{
  struct hf_str name;
  struct hf_str host;
  struct hf_str path_prefix;
  int64_t policy;
  int64_t queue_limit;
  int64_t probe_budget;
  int64_t retry_percent;
  struct hf_str health_path;
  int64_t measure_interval_ms;
  bool uses_directory;
  double cold_requests_per_s;
  int64_t cold_ms;
  struct hf_list servers;
  struct hf_list classes;
};

/** struct hf_weighted_service - service that gets a share of a route's requests */
struct hf_weighted_service
{
  struct hf_str service; /* name of the service */
  int64_t weight;        /* share of the requests, relative to the sum of all weights */
};

/**
 * struct hf_route - split of the requests of one host and path between services
 * @name: unique
 * @host: value of the Host header field, or "*" for any
 * @path_prefix: prefix of the path; the longest match wins
 * @class: class of all its requests
 * @weighted_services: struct hf_weighted_service
 */
struct hf_route
{
  struct hf_str name;
  struct hf_str host;
  struct hf_str path_prefix;
  struct hf_request_class class;
  struct hf_list weighted_services;
};

/** struct hf_caller_limits - limits of request sizes and times */
struct hf_caller_limits
{
  int64_t head_bytes_max;  /* larger: 431 */
  int64_t body_bytes_max;  /* larger: 413 */
  int64_t head_timeout_ms; /* from the first to the last byte of a request head, longer: 408 */
  int64_t idle_timeout_ms; /* connection without a request, longer: closed */
};

/**
 * struct hf_document - complete desired state
 * @ref_count: number of references
 * @generation: increases with each accepted change
 * @digest: hash of @text
 * @text: what it was loaded from: YAML text, or the form of hf_document_encode
 * @version: version of the format, 1
 * @entries_max: most entry VMs that run concurrently; connection limits are divided by it
 * @limits: limits for requests of callers
 * @services: struct hf_service
 * @organisations: struct hf_organisation
 * @require_keys: true: requests need a key also while there are no organisations
 * @organisation_keys: table of their keys; NULL: there are no organisations
 * @routes: struct hf_route; matched before the hosts and paths of @services
 */
struct hf_document
{
  int ref_count;
  uint64_t generation;
  uint64_t digest;
  struct hf_str text;
  int64_t version;
  int64_t entries_max;
  struct hf_caller_limits limits;
  struct hf_list services;
  struct hf_list organisations;
  bool require_keys;
  struct hf_organisations *organisation_keys;
  struct hf_list routes;
};

/* --- public functions: build --- */

struct hf_document *hf_document_new (size_t services, size_t routes);                /* every value is the default */
void hf_document_set_organisation_count (struct hf_document *document, size_t n);    /* once: default values */
void hf_organisation_set_key_count (struct hf_organisation *organisation, size_t n); /* once: empty keys */
void hf_route_set_service_count (struct hf_route *route, size_t n);    /* once: services with default values */
void hf_document_clamp (struct hf_document *document);                 /* numbers out of range: the nearest in it */
struct hf_str hf_document_encode (const struct hf_document *document); /* for hf_document_load, to be freed */

/* --- public functions: load and release --- */

extern const struct hf_yaml_field hf_document_fields[];                            /* table of all keys */
struct hf_document *hf_document_load (struct hf_str text, struct hf_error *error); /* NULL: invalid, *error is set */
struct hf_document *hf_document_ref (struct hf_document *document);                /* adds a reference */
void hf_document_unref (struct hf_document *document);                             /* drops one; the last frees it */

/* --- public functions: look up --- */

struct hf_service *hf_document_get_service (const struct hf_document *document, size_t i);  /* i-th service */
struct hf_route *hf_document_get_route (const struct hf_document *document, size_t i);      /* i-th route */
struct hf_weighted_service *hf_route_get_service (const struct hf_route *route, size_t i);  /* i-th, with weight */
struct hf_server *hf_service_get_server (const struct hf_service *service, size_t i);       /* i-th backend server */
struct hf_request_class *hf_service_get_class (const struct hf_service *service, size_t i); /* i-th request class */
struct hf_organisation *hf_document_get_organisation (const struct hf_document *document, size_t i); /* i-th one */
bool hf_document_needs_keys (const struct hf_document *document); /* requests need a key of an organisation */
uint64_t hf_service_id (const struct hf_service *service);        /* stable id, hash of the name */

/* Finds a service by name; NULL: none. */
const struct hf_service *hf_document_find_service (const struct hf_document *document, struct hf_str name);

#endif
