/**
 * DOC: hf-evacuations - failure domains whose backend servers get no requests
 *
 * The operator orders and ends the evacuation of a failure domain in the
 * platform's store. The platform's client reports the orders one by one; a step
 * of it, a list or the changes up to a position, takes effect as a whole. Entries
 * send one another the set that is in force, and the later position wins. It has
 * no clock and no I/O.
 */
#ifndef HF_EVACUATIONS_H
#define HF_EVACUATIONS_H

#include <stdbool.h>
#include <stddef.h>

#include "hf-store-position.h"

#include "config.h"

/* --- types --- */

/** struct hf_evacuation_set - failure domains, by the hash of their names; the order says nothing */
struct hf_evacuation_set
{
  uint64_t domains[HF_EVACUATIONS_MAX];
  size_t n;
};

/**
 * struct hf_evacuations - the evacuated failure domains
 * @in_force: no requests are sent to backend servers there
 * @position: up to which @in_force has all changes of the store; revision 0: nothing is known
 * @reported: what the platform's client has reported so far; equals a set in force once its step is complete
 */
struct hf_evacuations
{
  struct hf_evacuation_set in_force;
  struct hf_store_position position;
  struct hf_evacuation_set reported;
};

/* --- public functions: reports of the platform's client --- */

void hf_evacuations_begin_list (struct hf_evacuations *evacuations); /* what it does not report is not evacuated */

/* One order; @evacuated: whether it stands. Returns false if there is no room for it. */
bool hf_evacuations_report (struct hf_evacuations *evacuations, uint64_t domain, bool evacuated);

/* All changes up to the position were reported. Returns true if the set in force differs from the one before. */
bool hf_evacuations_end_step (struct hf_evacuations *evacuations, struct hf_store_position position);

/* --- public functions: sets of other entries --- */

/* Takes over a set of a later position. Returns true if the set in force differs from the one before. */
bool hf_evacuations_merge (struct hf_evacuations *evacuations,
                           const struct hf_evacuation_set *set,
                           struct hf_store_position position);

/* --- public functions: look up --- */

bool hf_evacuations_contain (const struct hf_evacuations *evacuations, uint64_t domain); /* in force; 0: false */
bool hf_evacuation_set_contains (const struct hf_evacuation_set *set, uint64_t domain);

#endif
