/**
 * DOC: hf-explain - history of one request from log files
 *
 * Reads log lines of any number of entries, collects those with the id of one
 * request, and formats them in order of time as text or JSON.
 */
#ifndef HF_EXPLAIN_H
#define HF_EXPLAIN_H

#include <glib.h>

#include "hf-base.h"

struct hf_explain;

/* --- public functions --- */

struct hf_explain *hf_explain_open (const char *request_id); /* collects lines of this id */
void hf_explain_close (struct hf_explain *explain);          /* frees all */
bool hf_explain_read_file (struct hf_explain *explain, const char *path, struct hf_error *error); /* "-": stdin */
void hf_explain_read_line (struct hf_explain *explain, const char *line); /* adds a line if it is of this request */
guint hf_explain_count_matches (const struct hf_explain *explain);        /* collected lines */
guint hf_explain_count_unreadable (const struct hf_explain *explain);     /* lines that were not JSON objects */
char *hf_explain_format_text (struct hf_explain *explain);                /* one line per event; caller frees */
char *hf_explain_format_json (struct hf_explain *explain);                /* JSON array; caller frees */

#endif
