/* Deadlines of calls, and Retry-After. */
#include "hf-deadlines.h"

/* --- internal functions --- */

/* The earliest of the class's deadline, the operator's timeout and the caller's
 * own deadline. */
static int64_t
compute_deadline (const struct hf_event *event, const struct hf_request_class *class, int64_t arrived_at)
{
  int64_t total_us = class->deadline_ms * HF_MS;
  if (class->timeout_ms > 0)
    total_us = MIN (total_us, class->timeout_ms * HF_MS);
  /* The caller's deadline began before its request arrived here. */
  if (event->request.deadline_ms > 0)
    total_us = MIN (total_us, MAX (event->request.deadline_ms - HF_CALLER_NETWORK_MS, 1) * HF_MS);
  return arrived_at + total_us;
}

/* When a response that is longer than what is buffered ends at the latest. The class's deadline only bounds the time to
 * its head. */
static int64_t
compute_relay_deadline (const struct hf_event *event, const struct hf_request_class *class, int64_t arrived_at)
{
  int64_t deadline = INT64_MAX;
  if (class->timeout_ms > 0)
    deadline = arrived_at + class->timeout_ms * HF_MS;
  if (event->request.deadline_ms > 0)
    deadline = MIN (deadline, arrived_at + MAX (event->request.deadline_ms - HF_CALLER_NETWORK_MS, 1) * HF_MS);
  return deadline;
}

/* Majority vote (Boyer-Moore) over the deadlines that callers of a class send. */
static void
count_deadline_vote (struct hf_usual_deadline *usual, int64_t deadline_ms)
{
  if (usual->votes == 0)
    usual->deadline_ms = deadline_ms;
  if (usual->deadline_ms == deadline_ms)
    usual->votes = MIN (usual->votes + 1, HF_DEADLINE_VOTES_MAX);
  else
    usual->votes--;
}

/* Time that the caller has already spent on earlier tries. Callers of a class
 * begin with the same deadline and send the remaining time when they retry. */
static int64_t
waited_before_ms (struct hf_state *state, const struct hf_event *event, const struct hf_request_class *class)
{
  uint64_t id = hf_hash (class->name, 0);
  struct hf_usual_deadline *usual = g_hash_table_lookup (state->class_deadlines, &id);
  if (event->request.deadline_ms <= 0)
    return 0;
  if (!usual)
    {
      usual = g_new0 (struct hf_usual_deadline, 1);
      g_hash_table_insert (state->class_deadlines, g_memdup2 (&id, sizeof id), usual);
    }
  count_deadline_vote (usual, event->request.deadline_ms);
  return MAX (usual->deadline_ms - event->request.deadline_ms, 0);
}

/* --- public functions --- */

void
hf_deadlines_set (struct hf_state *state, struct hf_call *call, const struct hf_event *event)
{
  const struct hf_request_class *class = call->class;
  call->arrived_at = event->request.arrived_at ? event->request.arrived_at : state->now;
  call->deadline = compute_deadline (event, class, call->arrived_at);
  call->relay_deadline = compute_relay_deadline (event, class, call->arrived_at);
  call->caller_deadline = call->deadline;
  if (event->request.deadline_ms > 0)
    call->caller_deadline = call->arrived_at + event->request.deadline_ms * HF_MS;
  call->soft_deadline = call->deadline;
  if (class->aim_ms == 0)
    return;
  int64_t target_ms = class->aim_ms - HF_CALLER_NETWORK_MS - waited_before_ms (state, event, class);
  call->soft_deadline = MIN (call->deadline, call->arrived_at + target_ms * HF_MS);
}

/* Spreads the retries of refused callers over part of their remaining time;
 * callers of more urgent classes retry earlier. */
int64_t
hf_deadlines_retry_after_ms (struct hf_state *state, const struct hf_call *call)
{
  int64_t left_ms = MAX (call->caller_deadline - state->now, 0) / HF_MS;
  if (call->class->aim_ms == 0)
    return HF_RETRY_AFTER_DEFAULT_MS;
  int64_t spread_ms = MAX (left_ms / HF_RETRY_AFTER_DIVISOR, 1);
  int64_t rank = call->priority == 0 ? 1 : MIN ((int64_t) call->priority, HF_RETRY_AFTER_RANKS);
  int64_t window_ms = spread_ms * rank / HF_RETRY_AFTER_RANKS;
  return MAX (spread_ms / HF_RETRY_AFTER_RANKS / 2, 1)
         + (int64_t) (hf_random_next (&state->random_state) % (uint64_t) MAX (window_ms, 1));
}
