/**
 * DOC: load - open-loop load through the entries
 *
 * Calls start by a schedule of random arrivals and are timed from the
 * scheduled moment. Stands for the platform's balancer in front: it asks the
 * entries' health checks and picks a healthy one for each call.
 */
#ifndef LOAD_H
#define LOAD_H

#include "scenario.h"

/* --- types --- */

/** enum load_outcome - how a call ended */
enum load_outcome
{
  LOAD_ANSWERED, /* whole answer, status 200 */
  LOAD_NOT_RUN,  /* told: not run */
  LOAD_UNKNOWN,  /* told: may have run */
  LOAD_FAILED,   /* a failure status of the backend server */
  LOAD_CUT,      /* connection broke, or a short or foreign answer */
  LOAD_OUTCOMES,
};

/** struct load_result - what was seen of one class */
struct load_result
{
  GArray *latency_ms; /* double, of answered calls */
  guint outcomes[LOAD_OUTCOMES];
  guint in_time; /* answered within the deadline */
  guint sent;
};

/** struct load - one run */
struct load
{
  struct harness *harness;
  const struct scenario *scenario;
  double rate;    /* calls a second */
  double seconds; /* of arrivals */
  int seed;
  gboolean keys;                  /* calls that may not be repeated carry an Idempotency-Key */
  const char *prefix;             /* of the test keys, unique per run */
  struct load_result results[16]; /* by class */
  GHashTable *told;               /* outcome + 1 by test key */
  void (*each_second) (struct load *load, int second, void *context); /* for faults, or NULL */
  void *context;
  GArray *timeline; /* struct load_sample of answered calls */
};

/** struct load_sample - when a call was due and how long it took */
struct load_sample
{
  double at_s;
  double latency_ms;
  int worth;
};

/** struct load_check - what the fakes really ran against what was told */
struct load_check
{
  guint answered;
  guint lost;    /* told answered but never run, or no word at all */
  guint doubled; /* ran twice though it may not, or ran although told "not run" */
  guint cut;
};

/* --- public functions --- */

void load_init (struct load *load);                                      /* empty results */
void load_close (struct load *load);                                     /* frees the results */
void load_run (struct load *load);                                       /* all arrivals, then waits for all answers */
double load_percentile (const struct load_result *result, double share); /* milliseconds, share 0 to 1 */
double load_weighted (const struct load *load, double share); /* the same over all classes, weighted by worth */
double load_in_time (const struct load *load);                /* worth answered in time, share of all worth */
guint load_count (const struct load *load, enum load_outcome outcome); /* over all classes */
struct load_check load_verify (struct load *load);                     /* compares with the fakes' runs */
void load_print (const struct load *load);                             /* a table by class */
int load_compare (gconstpointer a, gconstpointer b);                   /* orders double values */

#endif
