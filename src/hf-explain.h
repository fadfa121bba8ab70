/**
 * DOC: hf-explain - the life of one request from logs
 *
 * Reads log lines of any number of entries, keeps those of one request, and
 * writes them in order, as text or as JSON.
 */
#ifndef HF_EXPLAIN_H
#define HF_EXPLAIN_H

#include <glib.h>

#include "hf-base.h"

struct hf_explain;

/* --- public functions --- */

struct hf_explain *hf_explain_open (const char *request_id); /* collects lines of this id */
void hf_explain_close (struct hf_explain *explain);          /* frees all */
bool
hf_explain_read_file (struct hf_explain *explain, const char *path, struct hf_error *error); /* "-": standard input */
void hf_explain_read_line (struct hf_explain *explain, const char *line); /* lines that cannot be read are counted */
guint hf_explain_count_matches (const struct hf_explain *explain);        /* lines of the request */
guint hf_explain_count_unreadable (const struct hf_explain *explain);     /* lines that could not be read */
char *hf_explain_format_text (struct hf_explain *explain);                /* one line an event, in order of time */
char *hf_explain_format_json (struct hf_explain *explain);                /* an array of the lines, in order of time */

#endif
