/**
 * DOC: hf-document - the one document of desired state
 *
 * Services, their backend servers and request classes, as an operator
 * declared them. A loaded document is checked whole and never changes.
 */
#ifndef HF_DOCUMENT_H
#define HF_DOCUMENT_H

#include "hf-yaml.h"

/* --- types --- */

/** enum hf_policy_kind - how a service's backend servers are chosen */
enum hf_policy_kind
{
  HF_POLICY_GRANTS,             /* one entry grants the exact free slots */
  HF_POLICY_TWO_CHOICES_SHARED, /* two choices on counts shared by heartbeats */
  HF_POLICY_TWO_CHOICES,        /* two choices on own counts */
  HF_POLICY_ROUND_ROBIN,        /* naive baseline, no waiting at the entry */
};

/**
 * struct hf_server - a backend server as declared
 * @name: unique within its service
 * @address: IP:PORT
 * @failure_domain: where it runs
 * @slots: requests it runs at once
 * @connections_max: connections it takes from the whole fleet
 * @draining: true: it is leaving and gets no new work
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
 * struct hf_request_class - a request class
 * @name: unique within its service
 * @methods: HTTP methods it matches; empty: all
 * @path_prefix: start of the path
 * @header: "Name: value" that must be present, or empty
 * @worth: weight of one answer in time
 * @deadline_ms: milliseconds from arrival to answer
 * @timeout_ms: longest time that an operator wants it kept waiting, 0: the deadline only
 * @aim_ms: time from the caller's start within which an answer is worth most, 0: the deadline
 * @priority: rank among what waits, 0 first
 * @attempts_max: backend servers that one request may be sent to
 * @resend_refused: true: sent on when a backend server refused it by protocol, even if not repeatable
 * @repeatable: true: it may run more than once
 * @hedge: true: a second attempt may start before the first failed
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
};

/**
 * struct hf_service - a service with its backend servers and classes
 * @name: unique
 * @host: Host it answers to, or "*"
 * @path_prefix: start of the path; the longest match wins
 * @policy: enum hf_policy_kind
 * @queue_limit: requests that may wait in the whole fleet
 * @probe_budget: probes per 10 s by the whole fleet
 * @retry_percent: retries and hedges per 100 first attempts
 * @health_path: path of the health endpoint
 * @measure_interval_ms: the granter asks free backend servers for their load that often, 0: never
 * @uses_directory: true: the backend servers come from the platform's directory
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
  struct hf_list servers;
  struct hf_list classes;
};

/** struct hf_weighted_service - a service's part of the requests of a route */
struct hf_weighted_service
{
  struct hf_str service; /* its name */
  int64_t weight;        /* its share is this of the sum of all weights */
};

/**
 * struct hf_route - requests of one host and path that go to one or more services
 * @name: unique
 * @host: Host it answers to, or "*"
 * @path_prefix: start of the path; the longest match wins
 * @class: what its requests are like
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

/** struct hf_caller_limits - what a caller may send, and how long it may take */
struct hf_caller_limits
{
  int64_t head_bytes_max;
  int64_t body_bytes_max;
  int64_t head_timeout_ms; /* from the first byte of a head to its last */
  int64_t idle_timeout_ms; /* without a request */
};

/**
 * struct hf_document - the desired state in full
 * @ref_count: holders of this copy
 * @generation: grows with each accepted change
 * @digest: hash of @text
 * @text: the YAML text it was read from
 * @version: version of the format, 1
 * @entries_max: most entry VMs that may run at once
 * @limits: of callers
 * @services: struct hf_service
 * @routes: struct hf_route; before the services' own hosts and paths
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
  struct hf_list routes;
};

/* --- public functions: load and unload --- */

extern const struct hf_yaml_field hf_document_fields[];                            /* table of every key */
struct hf_document *hf_document_load (struct hf_str text, struct hf_error *error); /* NULL and *error if wrong */
struct hf_document *hf_document_ref (struct hf_document *document);                /* one more holder */
void hf_document_unref (struct hf_document *document);                             /* one holder fewer */

/* --- public functions: look up --- */

struct hf_service *hf_document_get_service (const struct hf_document *document, size_t i); /* i-th service */
const struct hf_service *hf_document_find_service (const struct hf_document *document,
                                                   struct hf_str name);                     /* NULL: none */
struct hf_route *hf_document_get_route (const struct hf_document *document, size_t i);      /* i-th route */
struct hf_weighted_service *hf_route_get_service (const struct hf_route *route, size_t i);  /* i-th part */
struct hf_server *hf_service_get_server (const struct hf_service *service, size_t i);       /* i-th backend server */
struct hf_request_class *hf_service_get_class (const struct hf_service *service, size_t i); /* i-th request class */
uint64_t hf_service_id (const struct hf_service *service);                                  /* stable identifier */

#endif
