/*
 * hf-bench: compares the policies on loopback under normal load, overload,
 * faults and retries. Appends one CSV line per run and prints a summary of it.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"

/* --- types --- */

/** struct run_config - parameters of one run */
struct run_config
{
  const char *experiment;
  const char *policy;
  int entries;
  double load;       /* share of the capacity of all slots */
  const char *fault; /* name, or NULL */
  int seed;
  struct process *faulty_process; /* entry that is killed or paused */
};

/** struct options - command line options */
struct options
{
  char *experiment;
  char *user;
  char *csv;
  char *fault_filter; /* run only faults with this in their name, or NULL */
  int seeds;
  int first_seed;
  double seconds;
  double mean_ms;
  double spread;
  int entries;
};

/** struct usage - resources that the entries used, sum of all entries */
struct usage
{
  double cpu_s;
  double messages; /* sent to other entries */
  double bytes;    /* of these messages */
  double probes;
  double platform_calls;
  double retries;
  double hedges;
};

/* --- internal functions: usage --- */

static double
read_metric (const struct entry *entry, const char *name)
{
  char *text = harness_http_get (entry->admin_address, "/metrics", NULL);
  char *label = g_strdup_printf ("\nhickoryfield_%s ", name);
  const char *at = text ? strstr (text, label) : NULL;
  double value = at ? g_ascii_strtod (at + strlen (label), NULL) : 0;
  g_free (label);
  g_free (text);
  return value;
}

static double
read_cpu_s (const struct entry *entry)
{
  char *path = g_strdup_printf ("/proc/%s/stat", g_subprocess_get_identifier (entry->process->subprocess));
  char *text = NULL;
  double ticks = 0;
  if (g_file_get_contents (path, &text, NULL, NULL))
    {
      char **fields = g_strsplit (strrchr (text, ')') + 2, " ", -1);
      ticks = g_ascii_strtod (fields[11], NULL) + g_ascii_strtod (fields[12], NULL);
      g_strfreev (fields);
    }
  g_free (text);
  g_free (path);
  return ticks / 100;
}

static struct usage
read_usage (const struct harness *harness)
{
  struct usage usage = { 0 };
  for (guint i = 0; i < harness->entries->len; i++)
    {
      const struct entry *entry = g_ptr_array_index (harness->entries, i);
      if (entry->process->ended || !g_subprocess_get_identifier (entry->process->subprocess))
        continue;
      usage.cpu_s += read_cpu_s (entry);
      usage.messages += read_metric (entry, "peer_messages_sent_total");
      usage.bytes += read_metric (entry, "peer_bytes_sent_total");
      usage.probes += read_metric (entry, "probes_total");
      usage.platform_calls += read_metric (entry, "platform_calls_total");
      usage.retries += read_metric (entry, "retries_total");
      usage.hedges += read_metric (entry, "hedges_total");
    }
  return usage;
}

/* Sum or maximum of one number over all fake backend servers. */
static guint
read_backend_stat (const struct harness *harness, const char *label, gboolean use_maximum)
{
  guint found = 0;
  for (guint b = 0; b < harness->backends->len; b++)
    {
      const struct backend *backend = g_ptr_array_index (harness->backends, b);
      char *text = harness_http_get (backend->control_address, "/stats", NULL);
      for (const char *at = text; at && (at = strstr (at, label)); at += strlen (label))
        {
          guint value = (guint) atoi (at + strlen (label));
          found = use_maximum ? MAX (found, value) : found + value;
        }
      g_free (text);
    }
  return found;
}

/* --- internal functions: faults --- */

/* Seconds from the start of the run. */
#define FAULT_START_S 4
#define FAULT_END_S   8

#define UNAVAILABLE_DURATION_S 90 /* of the fault "unavailable" */

static int
fault_end_s (const struct run_config *run_config)
{
  return strcmp (run_config->fault, "unavailable") == 0 ? FAULT_START_S + UNAVAILABLE_DURATION_S : FAULT_END_S;
}

static int
find_granter (struct harness *harness, const char *service)
{
  const struct entry *first = g_ptr_array_index (harness->entries, 0);
  char *text = harness_http_get (first->admin_address, "/dump", NULL);
  char *label = g_strdup_printf ("service %s: ", service);
  const char *at = text ? strstr (text, label) : NULL;
  at = at ? strstr (at, "granter ") : NULL;
  int found = 0;
  for (guint i = 0; at && i < harness->entries->len; i++)
    {
      const struct entry *entry = g_ptr_array_index (harness->entries, i);
      gsize length = strlen (entry->name);
      if (strncmp (at + 8, entry->name, length) == 0 && at[8 + length] == ',')
        found = (int) i;
    }
  g_free (label);
  g_free (text);
  return found;
}

static struct process *
pick_process (struct harness *harness, const char *fault)
{
  int i = strstr (fault, "granter") ? find_granter (harness, "clearance") : 1;
  const struct entry *entry = g_ptr_array_index (harness->entries, (guint) i);
  return entry->process;
}

static void
set_clearance_status (const struct load *load, int status)
{
  const struct backend *backend = g_ptr_array_index (load->harness->backends, 0);
  int all = scenario_server_count (load->scenario);
  for (int i = all - 6; i < all; i++)
    harness_send_control (backend->control_address, "/set?server=%d&status=%d", i, status);
}

static void
start_fault (struct load *load, struct run_config *run_config)
{
  const char *fault = run_config->fault;
  struct harness *harness = load->harness;
  const struct backend *backend = g_ptr_array_index (harness->backends, 0);
  int last = scenario_server_count (load->scenario) - 1;
  run_config->faulty_process = pick_process (harness, fault);
  if (strstr (fault, "kill"))
    process_send_signal (run_config->faulty_process, SIGKILL);
  else if (strstr (fault, "pause"))
    process_send_signal (run_config->faulty_process, SIGSTOP);
  else if (strcmp (fault, "straggler") == 0)
    harness_send_control (backend->control_address, "/set?server=%d&slow=10", last);
  else if (strcmp (fault, "drain") == 0)
    harness_send_control (backend->control_address, "/set?server=%d&drain=1", last);
  else if (strcmp (fault, "fail-fast") == 0)
    harness_send_control (backend->control_address, "/set?server=%d&fail_fast=1", last);
  else if (strcmp (fault, "lie") == 0)
    harness_send_control (backend->control_address, "/set?server=%d&lie=0", last);
  else if (strcmp (fault, "platform") == 0)
    harness_send_control (harness->platform_address, "/fake/set?down=1");
  else if (strcmp (fault, "unavailable") == 0)
    set_clearance_status (load, 503);
}

static void
end_fault (struct load *load, const struct run_config *run_config)
{
  const char *fault = run_config->fault;
  struct harness *harness = load->harness;
  const struct backend *backend = g_ptr_array_index (harness->backends, 0);
  if (strstr (fault, "pause"))
    process_send_signal (run_config->faulty_process, SIGCONT);
  else if (strcmp (fault, "platform") == 0)
    harness_send_control (harness->platform_address, "/fake/set?down=0");
  else if (strcmp (fault, "unavailable") == 0)
    set_clearance_status (load, 0);
  else if (!strstr (fault, "kill"))
    harness_send_control (backend->control_address, "/set?server=all&slow=1&drain=0&fail_fast=0&lie=-1");
}

static void
on_second (struct load *load, int second, void *context)
{
  struct run_config *run_config = context;
  if (!run_config->fault)
    return;
  if (second == FAULT_START_S)
    start_fault (load, run_config);
  if (second == fault_end_s (run_config))
    end_fault (load, run_config);
}

/* 99th percentile of the latency of the successful calls that were due between two times, weighted by worth. */
static double
weighted_p99_between (const struct load *load, double from_s, double to_s)
{
  GArray *values = g_array_new (FALSE, FALSE, sizeof (double));
  double found = 0;
  for (guint i = 0; i < load->samples->len; i++)
    {
      const struct load_sample *sample = &g_array_index (load->samples, struct load_sample, i);
      for (int w = 0; w < sample->worth && sample->due_s >= from_s && sample->due_s < to_s; w++)
        g_array_append_val (values, sample->latency_ms);
    }
  g_array_sort (values, load_compare_doubles);
  if (values->len > 0)
    found = g_array_index (values, double, (guint) (0.99 * (values->len - 1)));
  g_array_unref (values);
  return found;
}

/* Seconds from the end of the fault until the weighted p99 is at most 1.2 times that before it; -1: not in the run. */
static double
recovery_s (const struct load *load, double before)
{
  for (double at = FAULT_END_S; at + 1 <= load->duration_s; at += 0.5)
    if (weighted_p99_between (load, at, at + 1) <= 1.2 * before)
      return at - FAULT_END_S;
  return -1;
}

/* --- internal functions: one run --- */

static const struct scenario *
pick_scenario (const struct options *options)
{
  return strcmp (options->user, "non-profit") == 0 ? &scenario_nonprofit : &scenario_association;
}

static struct harness *
start_processes (const struct options *options, const struct run_config *run_config, const struct scenario *scenario)
{
  struct harness *harness = harness_open (g_get_prgname ());
  struct backend *backend = harness_add_backend (harness, scenario_server_count (scenario), scenario->slots_per_server,
                                                 options->mean_ms, 0, run_config->seed);
  for (int i = 0; i < run_config->entries; i++)
    harness_add_entry (harness, i % 3 == 0 ? "d1" : i % 3 == 1 ? "d2" : "d3");
  /* Every service gets slow and fast servers, evenly spread. */
  guint next = 0;
  for (const struct scenario_service *service = scenario->services; service->name; service++)
    for (int i = 0; i < service->server_count; i++)
      harness_send_control (backend->control_address, "/set?server=%u&speed=%f", next++,
                            1.0 + options->spread * (2.0 * i / (service->server_count - 1) - 1.0));
  char *document
      = scenario_make_document (scenario, backend->server_addresses, run_config->policy, "    probe_budget: 20\n");
  if (!harness_apply_document (harness, document))
    exit (1);
  g_free (document);
  return harness;
}

static void
print_header (FILE *csv)
{
  fprintf (csv, "user,experiment,policy,entries,load,fault,seed,rate,calls,p50_ms,p99_ms,"
                "p999_ms,weighted_p99_ms,in_time_share,not_run,unknown,failed,cut,top_"
                "p99_ms,goodput,probes_s,"
                "messages_per_call,control_bytes_s_node,cpu_us_per_call,peak_in_server,"
                "retries,hedges,extra_runs,before_p99_ms,during_p99_ms,recovery_s\n");
}

static double
highest_worth_p99 (const struct load *load)
{
  int highest = 0;
  for (int c = 0; load->scenario->classes[c].name; c++)
    if (load->scenario->classes[c].worth > load->scenario->classes[highest].worth)
      highest = c;
  return load_percentile (&load->results[highest], 0.99);
}

static struct load_result
merge_results (const struct load *load)
{
  struct load_result all = { .latency_ms = g_array_new (FALSE, FALSE, sizeof (double)) };
  for (int c = 0; load->scenario->classes[c].name; c++)
    {
      g_array_append_vals (all.latency_ms, load->results[c].latency_ms->data, load->results[c].latency_ms->len);
      all.sent += load->results[c].sent;
      all.in_time += load->results[c].in_time;
    }
  g_array_sort (all.latency_ms, load_compare_doubles);
  return all;
}

static void
write_result (FILE *csv,
              const struct options *options,
              const struct run_config *run_config,
              const struct load *load,
              const struct usage *usage,
              guint server_runs,
              guint peak)
{
  struct load_result all = merge_results (load);
  double before = run_config->fault ? weighted_p99_between (load, 1, FAULT_START_S) : 0;
  double during = run_config->fault ? weighted_p99_between (load, FAULT_START_S, FAULT_END_S) : 0;
  double calls = MAX (all.sent, 1);
  fprintf (csv,
           "%s,%s,%s,%d,%.2f,%s,%d,%.0f,%u,%.2f,%.2f,%.2f,%.2f,%.5f,%u,%u,%u,%u,%."
           "2f,%.1f,%.2f,%.2f,%.0f,%.0f,%u,%.0f,%.0f,%.4f,%.2f,%.2f,%.1f\n",
           options->user, run_config->experiment, run_config->policy, run_config->entries, run_config->load,
           run_config->fault ? run_config->fault : "none", run_config->seed, load->calls_per_s, all.sent,
           load_percentile (&all, 0.5), load_percentile (&all, 0.99), load_percentile (&all, 0.999),
           load_weighted_percentile (load, 0.99), load_in_time_share (load), load_count_outcome (load, LOAD_NOT_RUN),
           load_count_outcome (load, LOAD_UNKNOWN), load_count_outcome (load, LOAD_FAILED),
           load_count_outcome (load, LOAD_BROKEN), highest_worth_p99 (load), all.in_time / load->duration_s,
           usage->probes / load->duration_s, usage->messages / calls,
           usage->bytes / load->duration_s / run_config->entries, 1e6 * usage->cpu_s / calls, peak, usage->retries,
           usage->hedges, (double) server_runs / calls - 1, before, during,
           run_config->fault ? recovery_s (load, before) : 0);
  fflush (csv);
  printf ("%-10s %-18s %2d entries load %.2f %-14s seed %d: p50 %.1f p99 %.1f "
          "weighted p99 %.1f in time %.2f%% not-run %u unknown %u cut %u top "
          "p99 %.1f peak %u",
          run_config->experiment, run_config->policy, run_config->entries, run_config->load,
          run_config->fault ? run_config->fault : "", run_config->seed, load_percentile (&all, 0.5),
          load_percentile (&all, 0.99), load_weighted_percentile (load, 0.99), 100 * load_in_time_share (load),
          load_count_outcome (load, LOAD_NOT_RUN), load_count_outcome (load, LOAD_UNKNOWN),
          load_count_outcome (load, LOAD_BROKEN), highest_worth_p99 (load), peak);
  if (run_config->fault)
    printf (" before %.1f during %.1f recovery %.1f s", before, during, recovery_s (load, before));
  printf ("\n");
  g_array_unref (all.latency_ms);
}

static void
measure_run (FILE *csv, const struct options *options, struct run_config run_config)
{
  const struct scenario *scenario = pick_scenario (options);
  struct harness *harness = start_processes (options, &run_config, scenario);
  struct load warmup = { .harness = harness,
                         .scenario = scenario,
                         .calls_per_s = scenario_capacity (scenario, options->mean_ms) * 0.4,
                         .duration_s = 1.5,
                         .seed = run_config.seed + 1000,
                         .test_key_prefix = "warm" };
  load_init (&warmup);
  load_run (&warmup);
  load_close (&warmup);
  struct usage before = read_usage (harness);
  guint server_runs = read_backend_stat (harness, " runs ", FALSE);
  struct load load = { .harness = harness,
                       .scenario = scenario,
                       .calls_per_s = scenario_capacity (scenario, options->mean_ms) * run_config.load,
                       .duration_s = run_config.fault ? fault_end_s (&run_config) + 6 : options->seconds,
                       .seed = run_config.seed,
                       .test_key_prefix = "b",
                       .on_second = on_second,
                       .context = &run_config };
  load_init (&load);
  load_run (&load);
  struct usage usage = read_usage (harness);
  guint peak = read_backend_stat (harness, " peak ", TRUE);
  server_runs = read_backend_stat (harness, " runs ", FALSE) - server_runs;
  usage.cpu_s -= before.cpu_s;
  usage.messages -= before.messages;
  usage.bytes -= before.bytes;
  usage.probes -= before.probes;
  usage.retries -= before.retries;
  usage.hedges -= before.hedges;
  write_result (csv, options, &run_config, &load, &usage, server_runs, peak);
  load_close (&load);
  harness_close (harness);
}

/* --- internal functions: experiments --- */

static void
run_policies (FILE *csv, const struct options *options)
{
  static const char *const policies[] = { "round-robin", "two-choices", "two-choices-shared", "grants" };
  static const double loads[] = { 0.5, 0.7, 0.85 };
  for (int seed = options->first_seed; seed < options->first_seed + options->seeds; seed++)
    for (gsize l = 0; l < G_N_ELEMENTS (loads); l++)
      {
        measure_run (csv, options, (struct run_config){ "policies", "grants", 1, loads[l], NULL, seed });
        for (gsize p = 0; p < G_N_ELEMENTS (policies); p++)
          measure_run (csv, options,
                       (struct run_config){ "policies", policies[p], options->entries, loads[l], NULL, seed });
      }
}

static void
run_overload (FILE *csv, const struct options *options)
{
  static const char *const policies[] = { "round-robin", "grants" };
  static const double loads[] = { 0.7, 1.0, 1.5 };
  for (int seed = options->first_seed; seed < options->first_seed + options->seeds; seed++)
    for (gsize p = 0; p < G_N_ELEMENTS (policies); p++)
      for (gsize l = 0; l < G_N_ELEMENTS (loads); l++)
        measure_run (csv, options,
                     (struct run_config){ "overload", policies[p], options->entries, loads[l], NULL, seed });
}

static void
run_faults (FILE *csv, const struct options *options)
{
  static const char *const faults[]
      = { "kill-entry", "kill-granter", "pause-granter", "straggler", "drain", "fail-fast", "lie", "platform" };
  static const char *const policies[] = { "round-robin", "grants" };
  for (int seed = options->first_seed; seed < options->first_seed + options->seeds; seed++)
    for (gsize f = 0; f < G_N_ELEMENTS (faults); f++)
      for (gsize p = 0;
           p < G_N_ELEMENTS (policies) && (!options->fault_filter || strstr (faults[f], options->fault_filter)); p++)
        measure_run (csv, options,
                     (struct run_config){ "faults", policies[p], options->entries, 0.7, faults[f], seed });
}

/* One service returns 503 for 90 s: compares a retry budget per entry (two-choices) with one token bucket for all
 * entries (grants). */
static void
run_retries (FILE *csv, const struct options *options)
{
  static const char *const policies[] = { "two-choices", "grants" };
  for (int seed = options->first_seed; seed < options->first_seed + options->seeds; seed++)
    for (gsize p = 0; p < G_N_ELEMENTS (policies); p++)
      measure_run (csv, options,
                   (struct run_config){ "retries", policies[p], options->entries, 0.5, "unavailable", seed });
}

int
main (int argc, char **argv)
{
  struct options options = { .experiment = "policies",
                             .user = "association",
                             .csv = "bench.csv",
                             .seeds = 1,
                             .first_seed = 1,
                             .seconds = 8,
                             .mean_ms = 120,
                             .spread = 0.4,
                             .entries = 17 };
  const GOptionEntry entries[] = {
    { "experiment", 0, 0, G_OPTION_ARG_STRING, &options.experiment, "policies, overload, retries or faults", "NAME" },
    { "user", 0, 0, G_OPTION_ARG_STRING, &options.user, "association or non-profit", "NAME" },
    { "only", 0, 0, G_OPTION_ARG_STRING, &options.fault_filter, "Run only the faults with this in their name", "PART" },
    { "csv", 0, 0, G_OPTION_ARG_FILENAME, &options.csv, "File to append the results to", "FILE" },
    { "seeds", 0, 0, G_OPTION_ARG_INT, &options.seeds, "Number of seeds", "N" },
    { "first-seed", 0, 0, G_OPTION_ARG_INT, &options.first_seed, "First seed", "N" },
    { "seconds", 0, 0, G_OPTION_ARG_DOUBLE, &options.seconds, "Duration of a run in seconds", "S" },
    { "mean-ms", 0, 0, G_OPTION_ARG_DOUBLE, &options.mean_ms, "Mean service time in milliseconds", "MS" },
    { "spread", 0, 0, G_OPTION_ARG_DOUBLE, &options.spread, "Service times of the servers differ by +- this share",
      "X" },
    { "entries", 0, 0, G_OPTION_ARG_INT, &options.entries, "Number of hickoryd processes", "N" },
    { 0 },
  };
  GOptionContext *context = g_option_context_new (NULL);
  g_option_context_add_main_entries (context, entries, NULL);
  g_set_prgname (argv[0]);
  if (!g_option_context_parse (context, &argc, &argv, NULL))
    return 2;
  g_option_context_free (context);
  gboolean is_new = !g_file_test (options.csv, G_FILE_TEST_EXISTS);
  FILE *csv = fopen (options.csv, "a");
  if (!csv)
    return 1;
  setvbuf (stdout, NULL, _IOLBF, 0);
  if (is_new)
    print_header (csv);
  if (strcmp (options.experiment, "policies") == 0)
    run_policies (csv, &options);
  else if (strcmp (options.experiment, "overload") == 0)
    run_overload (csv, &options);
  else if (strcmp (options.experiment, "retries") == 0)
    run_retries (csv, &options);
  else
    run_faults (csv, &options);
  fclose (csv);
  return 0;
}
