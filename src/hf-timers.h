/**
 * DOC: hf-timers - timers of the reducer
 *
 * An ordered set of points in time. It reads no clock: the caller asks what
 * is due at a given time.
 */
#ifndef HF_TIMERS_H
#define HF_TIMERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* --- types --- */

/**
 * struct hf_timer - one timer
 * @due_at: when it is due, microseconds
 * @kind: meaning, chosen by the owner
 * @id: first argument for the owner
 * @arg: second argument for the owner
 */
struct hf_timer
{
  int64_t due_at;
  int kind;
  uint64_t id;
  uint64_t arg;
};

/** struct hf_timers - timers in order of their time */
struct hf_timers
{
  GSequence *sequence;
};

/* --- public functions --- */

void hf_timers_init (struct hf_timers *timers);                                 /* empty set */
void hf_timers_close (struct hf_timers *timers);                                /* frees all */
GSequenceIter *hf_timers_add (struct hf_timers *timers, struct hf_timer timer); /* handle to cancel with */
void hf_timers_cancel (GSequenceIter **handle);                                 /* removes it, clears the handle */
bool
hf_timers_take_due (struct hf_timers *timers, int64_t now, struct hf_timer *timer); /* removes the first that is due */
int64_t hf_timers_next_due (const struct hf_timers *timers);                        /* time of the first, or -1 */

#endif
