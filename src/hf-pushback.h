/**
 * DOC: hf-pushback - entries that a backend server wants no requests from for a time
 *
 * A backend server that turns a request away may name a time for which it wants
 * none from the entry that sent it. Afterwards that entry returns by slow start:
 * one slot, and another one for every HF_SLOW_START_SUCCESSES successes.
 */
#ifndef HF_PUSHBACK_H
#define HF_PUSHBACK_H

#include <glib.h>

#include "hf-base.h"

/* --- types --- */

/** struct hf_pushback - one entry in the list of a backend server */
struct hf_pushback
{
  uint64_t entry;     /* boot id */
  int64_t until;      /* it gets no slot before then */
  unsigned slots;     /* that slow start allows afterwards */
  unsigned granted;   /* slots in use */
  unsigned successes; /* since the last slot was added */
};

/* --- public functions; pushbacks: GArray of struct hf_pushback, NULL: empty --- */

void hf_pushback_set (GArray **pushbacks, uint64_t entry, int64_t until);       /* prolongs, never shortens */
int64_t hf_pushback_until (const GArray *pushbacks, uint64_t entry);            /* 0: the entry is not in the list */
bool hf_pushback_allows (const GArray *pushbacks, uint64_t entry, int64_t now); /* the entry may get a slot */
void hf_pushback_count_grant (GArray *pushbacks, uint64_t entry);
void hf_pushback_count_release (GArray *pushbacks, uint64_t entry);
void hf_pushback_count_success (GArray *pushbacks, uint64_t entry, unsigned slots); /* slots: all of the server */
void hf_pushback_remove_entry (GArray *pushbacks, uint64_t entry);

#endif
