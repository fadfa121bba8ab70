/**
 * DOC: hf-dump - the state as text
 *
 * For people: the dump that SIGUSR1 and "hickoryctl dump" give. For programs:
 * JSON for "hickoryctl status" and counters in the Prometheus text format.
 */
#ifndef HF_DUMP_H
#define HF_DUMP_H

#include <glib.h>

struct hf_state;

/* --- public functions --- */

char *hf_dump_text (const struct hf_state *state, gint64 now);    /* readable text */
char *hf_dump_json (const struct hf_state *state, gint64 now);    /* JSON for status */
char *hf_dump_metrics (const struct hf_state *state, gint64 now); /* Prometheus text format */

#endif
