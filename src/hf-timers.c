/* Timers of the reducer, kept in a GSequence (a balanced tree). */
#include "hf-timers.h"

/* --- internal functions --- */

static int
compare (gconstpointer a, gconstpointer b, gpointer context)
{
  const struct hf_timer *left = a;
  const struct hf_timer *right = b;
  (void) context;
  return left->due_at < right->due_at ? -1 : left->due_at > right->due_at;
}

/* --- public functions --- */

void
hf_timers_init (struct hf_timers *timers)
{
  timers->sequence = g_sequence_new (g_free);
}

void
hf_timers_close (struct hf_timers *timers)
{
  g_clear_pointer (&timers->sequence, g_sequence_free);
}

GSequenceIter *
hf_timers_add (struct hf_timers *timers, struct hf_timer timer)
{
  struct hf_timer *copy = g_new (struct hf_timer, 1);
  *copy = timer;
  return g_sequence_insert_sorted (timers->sequence, copy, compare, NULL);
}

void
hf_timers_cancel (GSequenceIter **handle)
{
  if (*handle)
    g_sequence_remove (*handle);
  *handle = NULL;
}

bool
hf_timers_take_due (struct hf_timers *timers, int64_t now, struct hf_timer *timer)
{
  GSequenceIter *first = g_sequence_get_begin_iter (timers->sequence);
  if (g_sequence_iter_is_end (first))
    return false;
  *timer = *(struct hf_timer *) g_sequence_get (first);
  if (timer->due_at > now)
    return false;
  g_sequence_remove (first);
  return true;
}

void
hf_timers_postpone_due (struct hf_timers *timers,
                        int64_t now,
                        int64_t until,
                        bool (*matches) (const struct hf_timer *timer))
{
  struct hf_timer postponed = { .due_at = until };
  GSequenceIter *iter = g_sequence_get_begin_iter (timers->sequence);
  while (!g_sequence_iter_is_end (iter))
    {
      GSequenceIter *next = g_sequence_iter_next (iter);
      struct hf_timer *timer = g_sequence_get (iter);
      if (timer->due_at > now)
        return;
      if (matches (timer))
        {
          /* Behind those that were postponed before it: their order stays. */
          g_sequence_move (iter, g_sequence_search (timers->sequence, &postponed, compare, NULL));
          timer->due_at = until;
        }
      iter = next;
    }
}

int64_t
hf_timers_next_due (const struct hf_timers *timers)
{
  GSequenceIter *first = g_sequence_get_begin_iter (timers->sequence);
  if (g_sequence_iter_is_end (first))
    return -1;
  return ((const struct hf_timer *) g_sequence_get (first))->due_at;
}
