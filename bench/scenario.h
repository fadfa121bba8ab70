/**
 * DOC: scenario - load and documents of the two organisations
 *
 * Services, backend servers and request classes of the association and the
 * non-profit at their present size.
 */
#ifndef SCENARIO_H
#define SCENARIO_H

#include "harness.h"

/* --- types --- */

/** struct load_class - one request class of the load */
struct load_class
{
  const char *name;
  const char *service;
  const char *method;
  const char *path;
  double share; /* of the calls to its service, 0 to 1 */
  int worth;
  int deadline_ms; /* also limit for load_result.in_time */
  gboolean repeatable;
  gboolean hedge;
  gsize body_bytes;
};

/** struct scenario_service - one service of a scenario */
struct scenario_service
{
  const char *name;
  const char *path;
  int server_count;
};

/** struct scenario - one organisation */
struct scenario
{
  const char *name;
  const struct scenario_service *services; /* the last one has name NULL */
  const struct load_class *classes;        /* the last one has name NULL */
  int slots_per_server;
  int connections_per_server;
};

/* --- scenarios --- */

extern const struct scenario scenario_association;
extern const struct scenario scenario_nonprofit;

/* --- public functions --- */

int scenario_server_count (const struct scenario *scenario);                /* backend servers of all services */
double scenario_capacity (const struct scenario *scenario, double mean_ms); /* calls a second when all slots are busy */
/* Returns YAML. addresses: char * by server; service_keys: NULL, or indented YAML lines added to each service. */
char *scenario_make_document (const struct scenario *scenario,
                              GPtrArray *addresses,
                              const char *policy,
                              const char *service_keys);

#endif
