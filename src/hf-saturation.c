/* Whether the last slot of a backend server is worth using. */
#include "hf-saturation.h"

#include "config.h"

/* --- internal functions --- */

static void
learn (struct hf_crowding_mean *mean, double sample)
{
  double weight = 1.0 / (mean->samples + 1);
  if (weight < HF_CROWDING_WEIGHT)
    weight = HF_CROWDING_WEIGHT;
  mean->value += weight * (sample - mean->value);
  mean->samples++;
}

static bool
is_known (const struct hf_crowding *crowding)
{
  return crowding->last.samples >= HF_CROWDING_SAMPLES && crowding->other.samples >= HF_CROWDING_SAMPLES;
}

/* --- public functions --- */

void
hf_crowding_learn (struct hf_crowding *crowding, bool last_slot, double relative)
{
  /* A slow time that began meanwhile says nothing of slots. */
  double sample = relative < HF_CROWDING_RELATIVE_MAX ? relative : HF_CROWDING_RELATIVE_MAX;
  learn (last_slot ? &crowding->last : &crowding->other, sample);
}

bool
hf_crowding_avoids_last (const struct hf_crowding *crowding)
{
  if (!is_known (crowding))
    return true;
  return crowding->last.value > HF_CROWDING_RATIO * crowding->other.value;
}

bool
hf_crowding_tries_last (const struct hf_crowding *crowding)
{
  unsigned every = is_known (crowding) ? HF_CROWDING_TRY_KNOWN : HF_CROWDING_TRY;
  return crowding->turn % every == 0;
}

void
hf_crowding_count (struct hf_crowding *crowding)
{
  crowding->turn++;
}
