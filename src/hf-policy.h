/**
 * DOC: hf-policy - ways to choose a backend server
 *
 * Each policy is a callback over the servers that may be chosen.
 */
#ifndef HF_POLICY_H
#define HF_POLICY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* --- types --- */

/**
 * struct hf_candidate - a backend server that may be chosen
 * @server_index: place in the pool
 * @load: requests in it as far as is known
 * @slots: requests it may run at once now
 * @latency_us: smoothed latency
 * @latency_factor: times of that which it will take now
 * @distance_cost_us: cost of the way there, as latency
 * @failure_rate: smoothed share of failures, 0 to 1
 */
struct hf_candidate
{
  size_t server_index;
  unsigned load;
  unsigned slots;
  double latency_us;
  double latency_factor;
  double distance_cost_us;
  double failure_rate;
};

/**
 * struct hf_policy - a way to choose a backend server
 * @name: as in the document
 * @skips_full_servers: true: a server with a full load is not offered
 * @use_remote_load: true: load of other entries counts
 * @use_load_reports: true: load reports of the server count
 * @choose: index into candidates; context is a struct hf_choice_context
 */
struct hf_policy
{
  const char *name;
  bool skips_full_servers;
  bool use_remote_load;
  bool use_load_reports;
  size_t (*choose) (void *context, const struct hf_candidate *candidates, size_t n, uint64_t random);
};

/** struct hf_choice_context - what a policy's choose may look at */
struct hf_choice_context
{
  uint64_t choices; /* choices made so far */
};

/* --- public data --- */

extern const struct hf_policy hf_policies[]; /* by enum hf_policy_kind */

#endif
