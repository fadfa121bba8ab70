/* Load balancing policies. */
#include "hf-policy.h"

#include "hf-document.h"

#include "config.h"

/* --- internal functions --- */

static size_t
choose_round_robin (void *context, const struct hf_candidate *candidates, size_t n, uint64_t random)
{
  const struct hf_choice_context *choice = context;
  (void) candidates;
  (void) random;
  return choice->choices % n;
}

static size_t
choose_less_loaded_of_two (void *context, const struct hf_candidate *candidates, size_t n, uint64_t random)
{
  size_t a = random % n;
  size_t b = (random >> 32) % n;
  (void) context;
  if (a == b)
    b = (a + 1) % n;
  /* Compares load per slot by cross-multiplication, without division by a small slot count. */
  return candidates[a].load * candidates[b].slots <= candidates[b].load * candidates[a].slots ? a : b;
}

static double
expected_cost_us (const struct hf_candidate *candidate)
{
  double load_share = (double) candidate->load / candidate->slots;
  double factor = candidate->latency_factor * (1.0 + HF_PLACEMENT_LOAD_WEIGHT * load_share);
  if (candidate->slots > 1 && candidate->load + 1 >= candidate->slots)
    factor *= HF_PLACEMENT_LAST_SLOT_FACTOR;
  return candidate->latency_us * factor * (1.0 + 3.0 * candidate->failure_rate) + candidate->distance_cost_us;
}

static size_t
choose_lowest_cost (void *context, const struct hf_candidate *candidates, size_t n, uint64_t random)
{
  size_t best = random % n;
  (void) context;
  for (size_t i = 0; i < n; i++)
    if (expected_cost_us (&candidates[i]) < expected_cost_us (&candidates[best]))
      best = i;
  return best;
}

/* --- public data --- */

const struct hf_policy hf_policies[] = {
  [HF_POLICY_GRANTS]
  = { .name = "grants", .skips_full_servers = true, .uses_remote_load = true, .choose = choose_lowest_cost },
  [HF_POLICY_TWO_CHOICES_SHARED] = { .name = "two-choices-shared",
                                     .skips_full_servers = true,
                                     .uses_remote_load = true,
                                     .uses_load_reports = true,
                                     .choose = choose_less_loaded_of_two },
  [HF_POLICY_TWO_CHOICES] = { .name = "two-choices", .skips_full_servers = true, .choose = choose_less_loaded_of_two },
  [HF_POLICY_ROUND_ROBIN] = { .name = "round-robin", .choose = choose_round_robin },
};
