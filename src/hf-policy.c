/* Ways to choose a backend server. */
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
  return choice->turn % n;
}

static size_t
choose_of_two (void *context, const struct hf_candidate *candidates, size_t n, uint64_t random)
{
  size_t a = random % n;
  size_t b = (random >> 32) % n;
  (void) context;
  if (a == b)
    b = (a + 1) % n;
  /* Cross-multiplied load per slot: no division by a small slot count. */
  return candidates[a].load * candidates[b].slots <= candidates[b].load * candidates[a].slots ? a : b;
}

static double
cost_of (const struct hf_candidate *candidate)
{
  double use = (double) candidate->load / candidate->slots;
  double factor = candidate->factor * (1.0 + HF_PLACE_BUSY * use);
  if (candidate->slots > 1 && candidate->load + 1 >= candidate->slots)
    factor *= HF_PLACE_LAST_SLOT;
  return candidate->latency_us * factor * (1.0 + 3.0 * candidate->failure) + candidate->distance_us;
}

static size_t
choose_fastest_free (void *context, const struct hf_candidate *candidates, size_t n, uint64_t random)
{
  size_t best = random % n;
  (void) context;
  for (size_t i = 0; i < n; i++)
    if (cost_of (&candidates[i]) < cost_of (&candidates[best]))
      best = i;
  return best;
}

/* --- public data --- */

const struct hf_policy hf_policies[] = {
  [HF_POLICY_GRANTS] = { .name = "grants", .bounded = true, .use_foreign = true, .choose = choose_fastest_free },
  [HF_POLICY_TWO_SHARED] = { .name = "two-choices-shared",
                             .bounded = true,
                             .use_foreign = true,
                             .use_reports = true,
                             .choose = choose_of_two },
  [HF_POLICY_TWO_CHOICES] = { .name = "two-choices", .bounded = true, .choose = choose_of_two },
  [HF_POLICY_ROUND_ROBIN] = { .name = "round-robin", .choose = choose_round_robin },
};
