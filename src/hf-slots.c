/* Requests and grants slots across entries. */
#include "hf-slots.h"

#include "hf-calls.h"
#include "hf-measure.h"
#include "hf-organisations.h"
#include "hf-referrals.h"
#include "hf-restrictions.h"
#include "hf-roles.h"
#include "hf-slices.h"
#include "hf-trace.h"

/* --- internal functions: decisions of the own pool --- */

static GArray *
new_decisions (void)
{
  return g_array_new (FALSE, FALSE, sizeof (struct hf_decision));
}

static void
send_decision (struct hf_state *state, const struct hf_service_state *service, const struct hf_decision *decision)
{
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_DECISION } };
  message.body.hf_rpc_body_u.decision = (struct hf_rpc_decision){
    .service = service->id,
    .ticket = decision->ticket,
    .kind = decision->kind,
    .server = decision->server,
    .reason = decision->reason,
  };
  hf_state_send_to_member (state, decision->entry, message);
}

static bool
apply_decision (struct hf_state *state, const struct hf_decision *decision)
{
  uint64_t call_id = decision->ticket / HF_ATTEMPTS_MAX;
  unsigned attempt_index = (unsigned) (decision->ticket % HF_ATTEMPTS_MAX);
  return hf_calls_handle_decision (state, call_id, attempt_index, decision);
}

/* Applies the decisions and frees the list. Slot requests and releases that a decision causes in
 * hf_calls_handle_decision use lists of their own. */
static void
apply_decisions (struct hf_state *state, struct hf_service_state *service, GArray *decisions)
{
  for (guint i = 0; i < decisions->len; i++)
    {
      const struct hf_decision *decision = &g_array_index (decisions, struct hf_decision, i);
      if (decision->entry != state->boot_id)
        send_decision (state, service, decision);
      else if (!apply_decision (state, decision) && decision->kind == HF_DECISION_GRANTED)
        /* An earlier decision in the list ended this call: releases the slot. */
        hf_pool_release_slot (&service->pool, state->now, state->boot_id, decision->ticket, HF_SLOT_UNUSED, 0,
                              decisions);
    }
  g_array_unref (decisions);
  hf_measure_for_queue (state, service);
}

/* --- internal functions: requests and releases --- */

/* Returns the boot id of the granter; 0: this entry's own pool decides. */
static uint64_t
find_granter (const struct hf_state *state, const struct hf_service_state *service)
{
  if (service->pool.policy != &hf_policies[HF_POLICY_GRANTS] || service->granter_bypassed_until > state->now)
    return 0;
  uint64_t owner = hf_roles_slice_granter (state, service);
  return owner == state->boot_id ? 0 : owner;
}

/* All servers of a slice that belongs to a failure domain are equally far. */
static uint64_t
domain_for_placement (const struct hf_service_state *service, uint64_t failure_domain)
{
  return service->has_domain ? 0 : failure_domain;
}

/* Requests a slot of this entry's own pool, or refers the request to another slice. A hedge stays, as the attempt that
 * it hedges has its slot here. */
static void
acquire_slot (struct hf_state *state,
              struct hf_service_state *service,
              const struct hf_slot_request *request,
              bool may_refer)
{
  GArray *decisions = new_decisions ();
  service->last_slot_request_at = state->now;
  bool is_held = !may_refer || request->hedge || hf_pool_has_grant (&service->pool, request->entry, request->ticket);
  uint64_t other = is_held ? 0 : hf_referrals_choose (state, service, request);
  if (other)
    {
      const struct hf_decision referral
          = { .kind = HF_DECISION_REFERRED, .entry = request->entry, .ticket = request->ticket, .server = other };
      hf_pool_release_slot (&service->pool, state->now, request->entry, request->ticket, HF_SLOT_UNUSED, 0, decisions);
      g_array_append_val (decisions, referral);
    }
  else
    hf_pool_acquire_slot (&service->pool, state->now, *request, decisions);
  apply_decisions (state, service, decisions);
}

static void
request_from_own_pool (struct hf_state *state,
                       struct hf_service_state *service,
                       struct hf_call *call,
                       unsigned attempt_index)
{
  const struct hf_attempt *attempt = &call->attempts[attempt_index];
  struct hf_slot_request request = {
    .entry = state->boot_id,
    .ticket = hf_state_ticket (call->id, attempt_index),
    .priority = call->priority,
    .organisation = hf_organisation_id (call->organisation),
    .worth = (unsigned) call->class->worth,
    .soft_deadline = call->soft_deadline,
    .deadline = call->deadline,
    .failure_domain = domain_for_placement (service, hf_hash (state->failure_domain, 0)),
    .body_bytes = call->body_bytes,
    .retry = attempt->retry,
    .hedge = attempt->hedge && call->class->aim_ms > 0,
    .excluded_server = attempt->excluded_server,
  };
  acquire_slot (state, service, &request, !call->referred);
}

static void
request_from_granter (struct hf_state *state, struct hf_call *call, unsigned attempt_index)
{
  struct hf_attempt *attempt = &call->attempts[attempt_index];
  int64_t remaining_ms = (call->deadline - state->now) / HF_MS;
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_ACQUIRE } };
  message.body.hf_rpc_body_u.acquire = (struct hf_rpc_acquire){
    .service = call->slice_id,
    .ticket = hf_state_ticket (call->id, attempt_index),
    .priority = call->priority,
    .organisation = hf_organisation_id (call->organisation),
    .worth = (unsigned) call->class->worth,
    .soft_deadline_ms = (int) ((call->soft_deadline - state->now) / HF_MS),
    .remaining_ms = (unsigned) MAX (remaining_ms, 0),
    .failure_domain = hf_hash (state->failure_domain, 0),
    .body_bytes = (unsigned) MIN (call->body_bytes, G_MAXUINT32),
    .retry = attempt->retry,
    .hedge = attempt->hedge && call->class->aim_ms > 0,
    .referred = call->referred,
    .excluded_server = attempt->excluded_server,
  };
  hf_state_send_to_member (state, attempt->granter, message);
  int64_t delay_us = HF_GRANT_RESEND_MS * HF_MS << MIN (attempt->unanswered_requests, HF_GRANT_RESEND_DOUBLINGS);
  /* The round trip to the other failure domain may take longer than the first delay. */
  if (call->home_slice_id)
    delay_us += hf_affinity_rtt_us (&state->affinity, state->now);
  attempt->unanswered_requests++;
  attempt->slot_resend_timer = hf_state_start_timer (state, delay_us, HF_TIMER_SLOT_RESEND, call->id, attempt_index);
}

static void
send_release (struct hf_state *state,
              uint64_t granter,
              uint64_t service,
              uint64_t ticket,
              uint64_t server,
              enum hf_slot_result result,
              int64_t latency_us,
              int slowdown_percent)
{
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_RELEASE } };
  message.body.hf_rpc_body_u.release = (struct hf_rpc_release){
    .service = service,
    .ticket = ticket,
    .server = server,
    .result = result,
    .latency_us = (unsigned) CLAMP (latency_us, 0, G_MAXUINT32),
    .slowdown_percent = (unsigned) MAX (slowdown_percent, 0),
  };
  hf_state_send_to_member (state, granter, message);
}

/* The duration of an attempt is no evidence about the server if the process was paused meanwhile. */
static enum hf_slot_result
discount_pause (const struct hf_state *state, const struct hf_attempt *attempt, enum hf_slot_result result)
{
  bool paused_meanwhile = attempt->started_at <= state->resumed_at;
  bool has_duration = result == HF_SLOT_OK || result == HF_SLOT_TIMED_OUT || result == HF_SLOT_SUPERSEDED;
  return paused_meanwhile && has_duration ? HF_SLOT_UNUSED : result;
}

static void
log_ejection (struct hf_state *state, const struct hf_service_state *service, uint64_t id, bool was_ejected)
{
  const struct hf_pool_server *server = hf_pool_find_server (&service->pool, id);
  if (server && !was_ejected && server->ejected_until > state->now)
    hf_state_log (state, HF_LOG_SERVER_OUT,
                  "backend server " HF_STR_FMT " of " HF_STR_FMT " is ejected and gets no requests for %d ms",
                  HF_STR_ARG (server->name), HF_STR_ARG (service->name),
                  (int) ((server->ejected_until - state->now) / HF_MS));
}

static void
release_in_pool (struct hf_state *state,
                 struct hf_service_state *service,
                 uint64_t entry,
                 uint64_t ticket,
                 uint64_t server,
                 enum hf_slot_result result,
                 int64_t latency_us)
{
  const struct hf_pool_server *known = hf_pool_find_server (&service->pool, server);
  bool was_ejected = known && known->ejected_until > state->now;
  GArray *decisions = new_decisions ();
  hf_pool_release_slot (&service->pool, state->now, entry, ticket, result, latency_us, decisions);
  log_ejection (state, service, server, was_ejected);
  apply_decisions (state, service, decisions);
}

/* --- internal functions: messages --- */

static void
handle_acquire (struct hf_state *state, uint64_t from, const struct hf_rpc_acquire *acquire)
{
  struct hf_service_state *service = hf_state_find_service (state, acquire->service);
  /* While starting, this entry knows no backend servers: no response lets the sender decide locally. The same for a
   * slice that is left, as the sender does not know yet that affinity was turned on or off. */
  if (!service || state->starting || hf_slices_is_outdated (state, service))
    return;
  struct hf_slot_request request = {
    .entry = from,
    .ticket = acquire->ticket,
    .priority = acquire->priority,
    .organisation = acquire->organisation,
    .worth = acquire->worth,
    .soft_deadline = state->now + acquire->soft_deadline_ms * HF_MS,
    .failure_domain = domain_for_placement (service, acquire->failure_domain),
    .body_bytes = acquire->body_bytes,
    .deadline = state->now + acquire->remaining_ms * HF_MS,
    .retry = acquire->retry,
    .hedge = acquire->hedge,
    .excluded_server = acquire->excluded_server,
  };
  acquire_slot (state, service, &request, !acquire->referred);
}

static void
handle_decision (struct hf_state *state, uint64_t from, const struct hf_rpc_decision *message)
{
  struct hf_decision decision = { .kind = message->kind,
                                  .entry = state->boot_id,
                                  .ticket = message->ticket,
                                  .server = message->server,
                                  .reason = MIN (message->reason, HF_REFUSAL_PUSHBACK) };
  const struct hf_call *call = g_hash_table_lookup (state->calls, &(uint64_t){ message->ticket / HF_ATTEMPTS_MAX });
  unsigned attempt_index = (unsigned) (message->ticket % HF_ATTEMPTS_MAX);
  bool expected = call && attempt_index < call->n_attempts && call->attempts[attempt_index].granter == from
                  && call->attempts[attempt_index].phase == HF_PHASE_WAITING;
  bool running = call && attempt_index < call->n_attempts && call->attempts[attempt_index].granter == from
                 && call->attempts[attempt_index].phase == HF_PHASE_RUNNING;
  bool used = expected && apply_decision (state, &decision);
  if (message->kind == HF_DECISION_GRANTED && !used && !running)
    send_release (state, from, message->service, message->ticket, message->server, HF_SLOT_UNUSED, 0, 0);
}

static void
handle_release (struct hf_state *state, uint64_t from, const struct hf_rpc_release *release)
{
  struct hf_service_state *service = hf_state_find_service (state, release->service);
  if (service)
    hf_pool_record_slowdown (&service->pool, release->server, state->now, (int) release->slowdown_percent);
  if (service && release->result <= HF_SLOT_RETURNED)
    release_in_pool (state, service, from, release->ticket, release->server, release->result, release->latency_us);
}

/* --- public functions --- */

void
hf_slots_request (struct hf_state *state, struct hf_call *call, unsigned attempt_index)
{
  struct hf_service_state *service = hf_state_find_service (state, call->slice_id);
  struct hf_attempt *attempt = &call->attempts[attempt_index];
  attempt->phase = HF_PHASE_WAITING;
  attempt->slot_requested_at = state->now;
  attempt->unanswered_requests = 0;
  attempt->granter = find_granter (state, service);
  if (attempt->granter)
    request_from_granter (state, call, attempt_index);
  else
    request_from_own_pool (state, service, call, attempt_index);
}

static bool
has_other_attempt (const struct hf_call *call, unsigned attempt_index)
{
  for (unsigned i = 0; i < call->n_attempts; i++)
    if (i != attempt_index
        && (call->attempts[i].phase == HF_PHASE_WAITING || call->attempts[i].phase == HF_PHASE_RUNNING))
      return true;
  return false;
}

/* The granter of the other failure domain does not respond: the link between may be lost. */
static void
return_home (struct hf_state *state, struct hf_call *call, unsigned attempt_index)
{
  struct hf_attempt *attempt = &call->attempts[attempt_index];
  uint64_t ticket = hf_state_ticket (call->id, attempt_index);
  send_release (state, attempt->granter, call->slice_id, ticket, 0, HF_SLOT_UNUSED, 0, 0);
  call->slice_id = call->home_slice_id;
  call->home_slice_id = 0;
  attempt->queued = false;
  hf_slots_request (state, call, attempt_index);
}

void
hf_slots_refer (struct hf_state *state, struct hf_call *call, unsigned attempt_index, uint64_t slice_id)
{
  struct hf_attempt *attempt = &call->attempts[attempt_index];
  const struct hf_service_state *slice = hf_state_find_service (state, slice_id);
  bool is_reachable
      = slice && slice->service_id == hf_service_id (call->service) && slice->granter_bypassed_until <= state->now;
  call->referred = true;
  if (is_reachable && !has_other_attempt (call, attempt_index))
    {
      hf_trace_request_referred (state, call, attempt_index);
      hf_state_increment (state, HF_COUNT_REFERRED);
      call->home_slice_id = call->slice_id;
      call->slice_id = slice_id;
    }
  attempt->queued = false;
  hf_slots_request (state, call, attempt_index);
}

static void
leave_if_outdated (struct hf_state *state, struct hf_call *call)
{
  const struct hf_service_state *service = hf_state_find_service (state, call->slice_id);
  unsigned i = call->n_attempts - 1;
  bool waits = call->n_attempts > 0 && call->attempts[i].phase == HF_PHASE_WAITING;
  if (!waits || !service || !hf_slices_is_outdated (state, service) || has_other_attempt (call, i))
    return;
  hf_timers_cancel (&call->attempts[i].slot_resend_timer);
  call->slice_id = hf_slices_choose (state, service->service_id);
  call->home_slice_id = 0;
  call->attempts[i].queued = false;
  hf_slots_request (state, call, i);
}

void
hf_slots_leave_outdated (struct hf_state *state)
{
  GList *ids = g_hash_table_get_keys (state->calls);
  GArray *copies = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  /* A request that is refused removes its call, and the key with it. */
  for (GList *item = ids; item; item = item->next)
    g_array_append_vals (copies, item->data, 1);
  for (guint i = 0; i < copies->len; i++)
    {
      struct hf_call *call = g_hash_table_lookup (state->calls, &g_array_index (copies, uint64_t, i));
      if (call)
        leave_if_outdated (state, call);
    }
  g_array_unref (copies);
  g_list_free (ids);
}

void
hf_slots_request_again (struct hf_state *state, struct hf_call *call, unsigned attempt_index)
{
  struct hf_service_state *service = hf_state_find_service (state, call->slice_id);
  struct hf_attempt *attempt = &call->attempts[attempt_index];
  uint64_t granter = find_granter (state, service);
  attempt->slot_resend_timer = NULL;
  if (!attempt->granter)
    {
      hf_slots_request (state, call, attempt_index);
      return;
    }
  bool timed_out = !attempt->queued && state->now - attempt->slot_requested_at >= HF_GRANT_TIMEOUT_MS * HF_MS;
  if (timed_out && granter == attempt->granter)
    {
      service->granter_bypassed_until = state->now + HF_GRANTER_BYPASS_MS * HF_MS;
      hf_state_increment (state, HF_COUNT_GRANTER_FALLBACKS);
      const struct hf_member *member = hf_state_find_member (state, granter);
      hf_state_log (state, HF_LOG_GRANTER_SILENT,
                    "granter " HF_STR_FMT " of " HF_STR_FMT " does not respond; granting slots locally",
                    HF_STR_ARG (member ? member->name : hf_str ("-")), HF_STR_ARG (service->name));
      granter = 0;
      if (call->home_slice_id)
        {
          return_home (state, call, attempt_index);
          return;
        }
    }
  if (granter != attempt->granter)
    {
      send_release (state, attempt->granter, service->id, hf_state_ticket (call->id, attempt_index), 0, HF_SLOT_UNUSED,
                    0, 0);
      attempt->queued = false;
      hf_slots_request (state, call, attempt_index);
      return;
    }
  /* The granter has to confirm a queued request again within one more period. */
  if (attempt->queued)
    {
      attempt->slot_requested_at = state->now;
      attempt->unanswered_requests = 0;
    }
  attempt->queued = false;
  request_from_granter (state, call, attempt_index);
}

void
hf_slots_handle_queued (struct hf_state *state, struct hf_call *call, unsigned attempt_index)
{
  struct hf_attempt *attempt = &call->attempts[attempt_index];
  attempt->queued = true;
  hf_timers_cancel (&attempt->slot_resend_timer);
  if (attempt->granter)
    attempt->slot_resend_timer
        = hf_state_start_timer (state, HF_GRANT_CONFIRM_MS * HF_MS, HF_TIMER_SLOT_RESEND, call->id, attempt_index);
}

void
hf_slots_release (struct hf_state *state, struct hf_call *call, unsigned attempt_index, enum hf_slot_result result)
{
  struct hf_service_state *service = hf_state_find_service (state, call->slice_id);
  struct hf_attempt *attempt = &call->attempts[attempt_index];
  uint64_t ticket = hf_state_ticket (call->id, attempt_index);
  int64_t latency_us = attempt->started_at ? state->now - attempt->started_at : 0;
  hf_timers_cancel (&attempt->slot_resend_timer);
  result = discount_pause (state, attempt, result);
  if (!service)
    return;
  if (!attempt->granter)
    {
      release_in_pool (state, service, state->boot_id, ticket, attempt->server, result, latency_us);
      return;
    }
  /* The own pool gets the result, too: it decides while the granter does not respond. */
  hf_pool_record_result (&service->pool, state->now, state->boot_id, attempt->server, result, latency_us);
  send_release (state, attempt->granter, call->slice_id, ticket, attempt->server, result, latency_us,
                attempt->slowdown_percent);
}

void
hf_slots_release_unused (struct hf_state *state, struct hf_call *call, unsigned attempt_index, uint64_t server)
{
  bool ignored_refusals = call->ignore_refusals;
  call->attempts[attempt_index].server = server;
  call->ignore_refusals = true;
  hf_slots_release (state, call, attempt_index, HF_SLOT_UNUSED);
  call->ignore_refusals = ignored_refusals;
}

void
hf_slots_return (struct hf_state *state,
                 struct hf_call *call,
                 unsigned attempt_index,
                 const struct hf_pool_server *server)
{
  struct hf_attempt *attempt = &call->attempts[attempt_index];
  if (attempt->granter)
    hf_restrictions_tell (state, attempt->granter, server);
  hf_state_increment (state, HF_COUNT_SLOTS_RETURNED);
  if (attempt->excluded_server != server->id)
    hf_trace_slot_returned (state, call, attempt_index, server);
  attempt->excluded_server = server->id;
  attempt->server = server->id;
  hf_slots_release (state, call, attempt_index, HF_SLOT_RETURNED);
  attempt->slot_resend_timer
      = hf_state_start_timer (state, HF_GRANT_RESEND_MS * HF_MS, HF_TIMER_SLOT_RESEND, call->id, attempt_index);
  attempt->queued = false;
  attempt->slot_requested_at = state->now;
}

void
hf_slots_handle_message (struct hf_state *state, const struct hf_event *event)
{
  const struct hf_rpc_message *message = event->peer.message;
  if (!hf_state_find_member (state, message->boot_id))
    return;
  if (message->body.kind == HF_RPC_ACQUIRE)
    handle_acquire (state, message->boot_id, &message->body.hf_rpc_body_u.acquire);
  else if (message->body.kind == HF_RPC_DECISION)
    handle_decision (state, message->boot_id, &message->body.hf_rpc_body_u.decision);
  else if (message->body.kind == HF_RPC_RELEASE)
    handle_release (state, message->boot_id, &message->body.hf_rpc_body_u.release);
}

void
hf_slots_handle_measurement (struct hf_state *state, const struct hf_event *event)
{
  struct hf_service_state *service = g_hash_table_lookup (state->service_by_server, &event->server);
  if (!service)
    return;
  GArray *decisions = new_decisions ();
  hf_pool_grant_queued (&service->pool, state->now, decisions);
  apply_decisions (state, service, decisions);
}

void
hf_slots_update_pools (struct hf_state *state)
{
  GHashTableIter iter;
  struct hf_service_state *service;
  g_hash_table_iter_init (&iter, state->services);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &service))
    {
      GArray *decisions = new_decisions ();
      hf_pool_expire (&service->pool, state->now, decisions);
      apply_decisions (state, service, decisions);
    }
}
