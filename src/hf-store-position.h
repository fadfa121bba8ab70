/**
 * DOC: hf-store-position - position in the changes of the platform's store
 *
 * The store counts its changes in revisions. When it comes back from an older
 * copy of itself, its history continues from there and the revisions that were
 * lost are given out again, so a revision says nothing without the number of
 * its history, the era.
 */
#ifndef HF_STORE_POSITION_H
#define HF_STORE_POSITION_H

#include <stdbool.h>
#include <stdint.h>

/* --- types --- */

/** struct hf_store_position - a revision of the store, in one of its histories */
struct hf_store_position
{
  uint64_t era;      /* number of the history, higher for a later one; 0: the store sends none */
  uint64_t revision; /* number of the change; 0: none yet */
};

/* --- public functions --- */

/* Below 0, 0 or above 0 if @a is before, at or after @b. Every position of a later history is the later one. */
int hf_store_position_compare (struct hf_store_position a, struct hf_store_position b);
struct hf_store_position hf_store_position_max (struct hf_store_position a, struct hf_store_position b);

#endif
