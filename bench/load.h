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
  LOAD_SUCCEEDED, /* whole answer, status 200 */
  LOAD_NOT_RUN,   /* told: not run */
  LOAD_UNKNOWN,   /* told: may have run */
  LOAD_FAILED,    /* a failure status of the backend server */
  LOAD_BROKEN,    /* connection broke, or a short or foreign answer */
  LOAD_OUTCOME_COUNT,
};

/** struct load_result - what was seen of one class */
struct load_result
{
  GArray *latency_ms; /* double, of answered calls */
  guint outcomes[LOAD_OUTCOME_COUNT];
  guint in_time; /* answered within the deadline */
  guint sent;
};

/** struct load - one run */
struct load
{
  struct harness *harness;
  const struct scenario *scenario;
  double calls_per_s; /* calls a second */
  double duration_s;  /* of arrivals */
  int seed;
  gboolean use_idempotency_keys;  /* calls that may not be repeated carry an Idempotency-Key */
  const char *test_key_prefix;    /* of the test keys, unique per run */
  struct load_result results[16]; /* by class */
  GHashTable *outcome_by_key;     /* outcome + 1 by test key */
  void (*on_second) (struct load *load, int second, void *context); /* for faults, or NULL */
  void *context;
  GArray *samples; /* struct load_sample of answered calls */
};

/** struct load_sample - when a call was due and how long it took */
struct load_sample
{
  double due_s;
  double latency_ms;
  int worth;
};

/** struct load_check - what the fakes really ran against what was told */
struct load_check
{
  guint succeeded;
  guint lost;       /* told answered but never run, or no word at all */
  guint duplicated; /* ran twice though it may not, or ran although told "not run" */
  guint broken;
};

/* --- public functions --- */

void load_init (struct load *load);  /* empty results */
void load_close (struct load *load); /* frees the results */
void load_run (struct load *load);   /* all arrivals, then waits for all answers */
double load_percentile (const struct load_result *result, double quantile); /* milliseconds, share 0 to 1 */
double load_weighted_percentile (const struct load *load,
                                 double quantile);   /* the same over all classes, weighted by worth */
double load_in_time_share (const struct load *load); /* worth answered in time, share of all worth */
guint load_count_outcome (const struct load *load, enum load_outcome outcome); /* over all classes */
struct load_check load_verify (struct load *load);                             /* compares with the fakes' runs */
void load_print (const struct load *load);                                     /* a table by class */
int load_compare_doubles (gconstpointer a, gconstpointer b);                   /* orders double values */

#endif
