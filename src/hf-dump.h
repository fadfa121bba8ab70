/**
 * DOC: hf-dump - state of an entry as text, JSON and metrics
 *
 * The text is read by operators: SIGUSR1 writes it to standard error, and
 * "hickoryctl dump" prints it. The JSON is read by "hickoryctl status" and other
 * programs, the metrics by Prometheus.
 */
#ifndef HF_DUMP_H
#define HF_DUMP_H

#include <glib.h>

struct hf_state;

/* --- public functions (now: monotonic time in microseconds; the caller frees the result) --- */

char *hf_dump_text (const struct hf_state *state, gint64 now);    /* text for operators */
char *hf_dump_json (const struct hf_state *state, gint64 now);    /* JSON of /status */
char *hf_dump_metrics (const struct hf_state *state, gint64 now); /* metrics in the Prometheus text format */

#endif
