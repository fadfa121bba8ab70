/* How long callers wait. */
#include "hf-deadlines.h"

/* --- internal functions --- */

/* The caller's own deadline, the class's and the operator's time-out: the first counts. */
static int64_t
deadline_of (const struct hf_event *event, const struct hf_class *class, int64_t arrived_at)
{
  int64_t total = class->deadline_ms * HF_MS;
  if (class->timeout_ms > 0)
    total = MIN (total, class->timeout_ms * HF_MS);
  /* The caller has been waiting since before its request arrived. */
  if (event->request.deadline_ms > 0)
    total = MIN (total, MAX (event->request.deadline_ms - HF_CALLER_PATH_MS, 1) * HF_MS);
  return arrived_at + total;
}

/* Majority vote over the deadlines that callers of one class name. */
static void
vote (struct hf_usual_deadline *usual, int64_t deadline_ms)
{
  if (usual->votes == 0)
    usual->ms = deadline_ms;
  if (usual->ms == deadline_ms)
    usual->votes = MIN (usual->votes + 1, HF_DEADLINE_VOTES_MAX);
  else
    usual->votes--;
}

/* Callers of a class begin with the same deadline; one that comes again names
 * what is left of it. */
static int64_t
waited_ms (struct hf_state *state, const struct hf_event *event, const struct hf_class *class)
{
  uint64_t id = hf_hash (class->name, 0);
  struct hf_usual_deadline *usual = g_hash_table_lookup (state->deadlines, &id);
  if (event->request.deadline_ms <= 0)
    return 0;
  if (!usual)
    {
      usual = g_new0 (struct hf_usual_deadline, 1);
      g_hash_table_insert (state->deadlines, g_memdup2 (&id, sizeof id), usual);
    }
  vote (usual, event->request.deadline_ms);
  return MAX (usual->ms - event->request.deadline_ms, 0);
}

/* --- public functions --- */

void
hf_patience_read (struct hf_state *state, struct hf_call *call, const struct hf_event *event)
{
  const struct hf_class *class = call->class;
  call->arrived_at = event->request.arrived_at ? event->request.arrived_at : state->now;
  call->deadline = deadline_of (event, class, call->arrived_at);
  call->caller_until = call->deadline;
  if (event->request.deadline_ms > 0)
    call->caller_until = call->arrived_at + event->request.deadline_ms * HF_MS;
  call->aim_at = call->deadline;
  if (class->aim_ms == 0)
    return;
  int64_t aim_ms = class->aim_ms - HF_CALLER_PATH_MS - waited_ms (state, event, class);
  call->aim_at = MIN (call->deadline, call->arrived_at + aim_ms * HF_MS);
}

/* Spreads the returns over the time that the caller may wait for one, the more
 * urgent first. */
int64_t
hf_patience_return_ms (struct hf_state *state, const struct hf_call *call)
{
  int64_t left_ms = MAX (call->caller_until - state->now, 0) / HF_MS;
  if (call->class->aim_ms == 0)
    return HF_RETRY_AFTER_MS;
  int64_t spread = MAX (left_ms / HF_RETURN_SHARE, 1);
  int64_t urgent = call->class->priority == 0 ? 1 : MIN (call->class->priority, HF_RETURN_RANKS);
  int64_t window = spread * urgent / HF_RETURN_RANKS;
  return MAX (spread / HF_RETURN_RANKS / 2, 1)
         + (int64_t) (hf_random_next (&state->random) % (uint64_t) MAX (window, 1));
}
