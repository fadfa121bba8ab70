/* Decides whether to use the last free slot of a backend server. */
#include "hf-saturation.h"

#include "config.h"

/* --- internal functions --- */

static void
update_mean (struct hf_latency_ratio *ratio, double sample)
{
  double weight = 1.0 / (ratio->samples + 1);
  if (weight < HF_SATURATION_EWMA_WEIGHT)
    weight = HF_SATURATION_EWMA_WEIGHT;
  ratio->mean += weight * (sample - ratio->mean);
  ratio->samples++;
}

static bool
has_enough_samples (const struct hf_saturation *saturation)
{
  return saturation->last_slot.samples >= HF_SATURATION_MIN_SAMPLES
         && saturation->other_slots.samples >= HF_SATURATION_MIN_SAMPLES;
}

/* --- public functions --- */

void
hf_saturation_record (struct hf_saturation *saturation, bool last_slot, double latency_ratio)
{
  /* Limits the sample: a slow phase that began during the request is not caused by the last slot. */
  double sample = latency_ratio < HF_SATURATION_SAMPLE_MAX ? latency_ratio : HF_SATURATION_SAMPLE_MAX;
  update_mean (last_slot ? &saturation->last_slot : &saturation->other_slots, sample);
}

bool
hf_saturation_avoids_last_slot (const struct hf_saturation *saturation)
{
  if (!has_enough_samples (saturation))
    return true;
  return saturation->last_slot.mean > HF_SATURATION_LATENCY_RATIO * saturation->other_slots.mean;
}

bool
hf_saturation_tries_last_slot (const struct hf_saturation *saturation)
{
  unsigned trial_interval
      = has_enough_samples (saturation) ? HF_SATURATION_KNOWN_TRIAL_INTERVAL : HF_SATURATION_TRIAL_INTERVAL;
  return saturation->grants % trial_interval == 0;
}

void
hf_saturation_count_grant (struct hf_saturation *saturation)
{
  saturation->grants++;
}
