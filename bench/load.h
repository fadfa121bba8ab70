/**
 * DOC: load - open-loop load generator
 *
 * Calls start at random times with exponential intervals, whether or not
 * earlier calls have ended, and latency counts from the scheduled start. Takes
 * the place of the platform's load balancer: polls /healthz of the entries and
 * sends each call to a random healthy entry.
 */
#ifndef LOAD_H
#define LOAD_H

#include "scenario.h"

/* --- types --- */

/** enum load_outcome - how a call ended */
enum load_outcome
{
  LOAD_SUCCEEDED, /* complete response of this call with status 200 */
  LOAD_NOT_RUN,   /* reported by the entry as not run, or no entry was healthy */
  LOAD_UNKNOWN,   /* reported by the entry as perhaps run */
  LOAD_FAILED,    /* other status of the backend server */
  LOAD_BROKEN,    /* connection lost, truncated response, or that of another call */
  LOAD_OUTCOME_COUNT,
};

/** struct load_result - results of one request class */
struct load_result
{
  GArray *latency_ms; /* double, of successful calls */
  guint outcomes[LOAD_OUTCOME_COUNT];
  guint in_time; /* succeeded within the deadline */
  guint sent;
};

/** struct load - one run: settings, set before load_run(), and its results */
struct load
{
  struct harness *harness;
  const struct scenario *scenario;
  double calls_per_s;
  double duration_s;              /* of the arrivals */
  int seed;                       /* of arrival times and the choice of class and entry */
  gboolean use_idempotency_keys;  /* for calls that are not repeatable */
  const char *test_key_prefix;    /* of X-Test-Key, unique per run */
  struct load_result results[16]; /* by index of the class in the scenario */
  GHashTable *outcome_by_key;     /* enum load_outcome + 1 by test key */
  void (*on_second) (struct load *load, int second, void *context); /* called once a second, or NULL */
  void *context;
  GArray *samples; /* struct load_sample of successful calls */
};

/** struct load_sample - one successful call */
struct load_sample
{
  double due_s; /* scheduled start, seconds from the start of the run */
  double latency_ms;
  int worth;
};

/** struct load_check - reported outcomes compared with the runs at the fake backend servers, numbers of calls */
struct load_check
{
  guint succeeded;
  guint lost;       /* succeeded but never run, or LOAD_UNKNOWN */
  guint duplicated; /* not repeatable but run twice, or LOAD_NOT_RUN but run */
  guint broken;
};

/* --- public functions: run --- */

void load_init (struct load *load);  /* empty results */
void load_close (struct load *load); /* frees the results */
void load_run (struct load *load);   /* sends all calls, returns when the last one has ended */

/* --- public functions: evaluation, after load_run() --- */

double load_percentile (const struct load_result *result, double quantile);    /* latency in ms; quantile 0 to 1 */
double load_weighted_percentile (const struct load *load, double quantile);    /* all classes, weighted by worth */
double load_in_time_share (const struct load *load);                           /* worth in time / worth sent */
guint load_count_outcome (const struct load *load, enum load_outcome outcome); /* all classes */
struct load_check load_verify (struct load *load);                             /* fetches the runs of the fakes */
void load_print (const struct load *load);                                     /* table by class to stdout */
int load_compare_doubles (gconstpointer a, gconstpointer b);                   /* for g_array_sort and qsort */

#endif
