/**
 * DOC: hf-policy - load balancing policies
 *
 * Each policy is a callback that chooses one of several candidate servers.
 */
#ifndef HF_POLICY_H
#define HF_POLICY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* --- types --- */

/**
 * struct hf_candidate - a backend server that may be chosen
 * @server_index: index in the servers of the pool
 * @load: requests known to run there
 * @slots: concurrent requests that it may run now
 * @latency_us: smoothed latency
 * @latency_factor: expected latency now, as a multiple of @latency_us
 * @distance_cost_us: cost of another failure domain, as added latency
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
 * struct hf_policy - a load balancing policy
 * @name: value of the key policy in the document
 * @skips_full_servers: true: servers without a free slot are no candidates
 * @uses_remote_load: true: the load includes requests of other entries
 * @uses_load_reports: true: the load is at least what the server reports
 * @choose: returns an index into candidates; context is a struct hf_choice_context
 */
struct hf_policy
{
  const char *name;
  bool skips_full_servers;
  bool uses_remote_load;
  bool uses_load_reports;
  size_t (*choose) (void *context, const struct hf_candidate *candidates, size_t n, uint64_t random);
};

/** struct hf_choice_context - state of the pool that a policy may use */
struct hf_choice_context
{
  uint64_t choices; /* choices made so far */
};

/* --- public data --- */

extern const struct hf_policy hf_policies[]; /* by enum hf_policy_kind */

#endif
