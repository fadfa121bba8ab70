/**
 * DOC: scenario - the two users at today's size
 *
 * Services, backend servers and request classes of the association and the
 * non-profit, as documents and as load.
 */
#ifndef SCENARIO_H
#define SCENARIO_H

#include "harness.h"

/* --- types --- */

/** struct load_class - one kind of call of the load */
struct load_class
{
  const char *name;
  const char *service;
  const char *method;
  const char *path;
  double share; /* of the calls to its service */
  int worth;
  int deadline_ms;
  gboolean repeatable;
  gboolean hedge;
  gsize body_bytes;
};

/** struct scenario_service - one service of a user */
struct scenario_service
{
  const char *name;
  const char *path;
  int server_count;
};

/** struct scenario - one user */
struct scenario
{
  const char *name;
  const struct scenario_service *services; /* ended by NULL */
  const struct load_class *classes;        /* ended by NULL */
  int slots_per_server;
  int connections_per_server;
};

/* --- public functions --- */

extern const struct scenario scenario_association;
extern const struct scenario scenario_nonprofit;
int scenario_server_count (const struct scenario *scenario); /* how many in all */
char *scenario_make_document (const struct scenario *scenario,
                              GPtrArray *addresses,
                              const char *policy,
                              const char *service_keys);                    /* YAML; more: keys for each service */
double scenario_capacity (const struct scenario *scenario, double mean_ms); /* calls a second of all slots */

#endif
