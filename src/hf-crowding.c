/* Whether the last slot of a backend server is worth using. */
#include "hf-crowding.h"

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
  if (crowding->last.samples < HF_CROWDING_SAMPLES || crowding->other.samples < HF_CROWDING_SAMPLES)
    return false;
  return crowding->last.value > HF_CROWDING_RATIO * crowding->other.value;
}
