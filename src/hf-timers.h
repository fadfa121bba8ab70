/**
 * DOC: hf-timers - timers of the reducer
 *
 * An ordered set of timers. It reads no clock: the caller passes the current
 * time.
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
 * @kind: purpose, chosen by the owner
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

/** struct hf_timers - timers, the earliest first */
struct hf_timers
{
  GSequence *sequence;
};

/* --- public functions --- */

void hf_timers_init (struct hf_timers *timers);                                 /* empty set */
void hf_timers_close (struct hf_timers *timers);                                /* frees all */
GSequenceIter *hf_timers_add (struct hf_timers *timers, struct hf_timer timer); /* handle for hf_timers_cancel */
void hf_timers_cancel (GSequenceIter **handle); /* removes it if set, clears the handle */

/* Removes the earliest timer that is due; false if there is none. */
bool hf_timers_take_due (struct hf_timers *timers, int64_t now, struct hf_timer *timer);
/* Moves the due timers for which @matches holds to the time @until, which is later than @now. */
void hf_timers_postpone_due (struct hf_timers *timers,
                             int64_t now,
                             int64_t until,
                             bool (*matches) (const struct hf_timer *timer));
int64_t hf_timers_next_due (const struct hf_timers *timers); /* time of the earliest, or -1 */

#endif
