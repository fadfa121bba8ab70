/**
 * DOC: hf-latency - latency histograms by request class and stage
 *
 * Counts durations in log-linear buckets and writes them in the Prometheus text
 * format.
 */
#ifndef HF_LATENCY_H
#define HF_LATENCY_H

#include <glib.h>

#include "hf-base.h"

/* --- types --- */

/** enum hf_latency_stage - measured part of a request */
enum hf_latency_stage
{
  HF_STAGE_SLOT,    /* from the request for a slot until the attempt is sent */
  HF_STAGE_ATTEMPT, /* from sending the attempt to its end */
  HF_STAGE_WHOLE,   /* from the caller's request head to the response */
  HF_STAGES,
};

/** struct hf_latency - histograms of one process */
struct hf_latency
{
  GHashTable *classes; /* private, by class name */
};

/* --- public functions --- */

void hf_latency_init (struct hf_latency *latency);
void hf_latency_close (struct hf_latency *latency);

/* Adds one duration in microseconds. Classes beyond HF_LATENCY_CLASSES_MAX share one histogram. */
void hf_latency_record (struct hf_latency *latency, struct hf_str class, enum hf_latency_stage stage, int64_t us);
/* A quantile from 0 to 1 in microseconds; -1: not known, with too few durations. */
int64_t hf_latency_quantile (const struct hf_latency *latency,
                             struct hf_str class,
                             enum hf_latency_stage stage,
                             double quantile);
void hf_latency_write (const struct hf_latency *latency, GString *text); /* Prometheus text format, seconds */

#endif
