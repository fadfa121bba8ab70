/**
 * DOC: hf-latency - latency histograms by request class and stage
 *
 * Counts times in log-linear buckets and writes them in the Prometheus text
 * format.
 */
#ifndef HF_LATENCY_H
#define HF_LATENCY_H

#include <glib.h>

#include "hf-base.h"

/* --- types --- */

/** enum hf_latency_stage - part of a request's time */
enum hf_latency_stage
{
  HF_STAGE_SLOT,    /* from asking for a slot to sending */
  HF_STAGE_ATTEMPT, /* from sending to the end of the attempt */
  HF_STAGE_WHOLE,   /* from the caller's head to the answer */
  HF_STAGES,
};

/** struct hf_latency - histograms of one process */
struct hf_latency
{
  GHashTable *classes; /* by class name, of the module itself */
};

/* --- public functions --- */

void hf_latency_init (struct hf_latency *latency);  /* empty */
void hf_latency_close (struct hf_latency *latency); /* frees all */
void hf_latency_record (struct hf_latency *latency,
                        struct hf_str class,
                        enum hf_latency_stage stage,
                        int64_t us); /* one time; classes above the limit share one */
void hf_latency_write (const struct hf_latency *latency, GString *text); /* Prometheus text format, seconds */

#endif
