/**
 * DOC: hf-organisation-counts - requests by organisation and outcome
 *
 * Counts for the metrics. A bounded number of organisations is counted each by
 * its own; only those with most requests get series of their own, the others
 * are added up under the name "other".
 */
#ifndef HF_ORGANISATION_COUNTS_H
#define HF_ORGANISATION_COUNTS_H

#include <glib.h>

#include "hf-base.h"

/* --- types --- */

/** enum hf_organisation_outcome - how a request of an organisation ended */
enum hf_organisation_outcome
{
  HF_ORGANISATION_ANSWERED, /* with a response of a backend server */
  HF_ORGANISATION_NOT_RUN,  /* with an error, and no backend server ran it */
  HF_ORGANISATION_UNKNOWN,  /* with an error, and a backend server may have run it */
  HF_ORGANISATION_GONE,     /* its caller disconnected before */
  HF_ORGANISATION_OUTCOMES,
};

/** struct hf_organisation_counts - counts of one process */
struct hf_organisation_counts
{
  GHashTable *records;                       /* private, by name of the organisation */
  uint64_t others[HF_ORGANISATION_OUTCOMES]; /* of organisations without a record */
};

/* --- public functions --- */

void hf_organisation_counts_init (struct hf_organisation_counts *counts);
void hf_organisation_counts_close (struct hf_organisation_counts *counts);

/* Counts one request. Beyond HF_ORGANISATIONS_COUNTED_MAX, the organisation with the fewest requests loses its record.
 */
void hf_organisation_counts_add (struct hf_organisation_counts *counts,
                                 struct hf_str organisation,
                                 enum hf_organisation_outcome outcome);

/* Prometheus text format: HF_ORGANISATION_SERIES_MAX organisations and the rest. Nothing if there were no requests. */
void hf_organisation_counts_write (const struct hf_organisation_counts *counts, GString *text);

#endif
