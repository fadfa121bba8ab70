/* Slots of backend servers for this entry's attempts. */
#include "hf-slots.h"

#include "hf-calls.h"
#include "hf-measure.h"
#include "hf-members.h"

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
  hf_state_send (state, decision->entry, message);
}

static bool
apply_decision (struct hf_state *state, const struct hf_decision *decision)
{
  uint64_t call_id = decision->ticket / HF_ATTEMPTS_MAX;
  unsigned attempt = (unsigned) (decision->ticket % HF_ATTEMPTS_MAX);
  return hf_calls_decided (state, call_id, attempt, decision);
}

/* Applies and frees the decisions; what they cause goes into lists of its own.
 */
static void
apply_decisions (struct hf_state *state, struct hf_service_state *service, GArray *decisions)
{
  for (guint i = 0; i < decisions->len; i++)
    {
      const struct hf_decision *decision = &g_array_index (decisions, struct hf_decision, i);
      if (decision->entry != state->boot)
        send_decision (state, service, decision);
      else if (!apply_decision (state, decision) && decision->kind == HF_DECISION_GRANTED)
        /* An earlier decision of the list ended its call. */
        hf_pool_release (&service->pool, state->now, state->boot, decision->ticket, HF_POOL_UNUSED, 0, decisions);
    }
  g_array_unref (decisions);
  hf_measure_demand (state, service);
}

/* --- internal functions: asking --- */

static uint64_t
find_granter (const struct hf_state *state, const struct hf_service_state *service)
{
  if (service->pool.policy != &hf_policies[HF_POLICY_GRANTS] || service->suspect_until > state->now)
    return 0;
  uint64_t owner = hf_members_owner (state, service->id);
  return owner == state->boot ? 0 : owner;
}

static void
ask_own_pool (struct hf_state *state, struct hf_service_state *service, struct hf_call *call, unsigned i)
{
  const struct hf_attempt *attempt = &call->attempts[i];
  struct hf_pool_want want = {
    .entry = state->boot,
    .ticket = hf_slots_ticket (call->id, i),
    .priority = (unsigned) call->class->priority,
    .worth = (unsigned) call->class->worth,
    .aim_at = call->aim_at,
    .deadline = call->deadline,
    .failure_domain = hf_hash (state->failure_domain, 0),
    .body_bytes = call->body_bytes,
    .retry = attempt->retry,
    .hedge = attempt->hedge && call->class->aim_ms > 0,
    .exclude = attempt->exclude,
  };
  service->wanted_at = state->now;
  GArray *decisions = new_decisions ();
  hf_pool_acquire (&service->pool, state->now, want, decisions);
  apply_decisions (state, service, decisions);
}

static void
ask_granter (struct hf_state *state, struct hf_call *call, unsigned i)
{
  struct hf_attempt *attempt = &call->attempts[i];
  int64_t remaining = (call->deadline - state->now) / HF_MS;
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_ACQUIRE } };
  message.body.hf_rpc_body_u.acquire = (struct hf_rpc_acquire){
    .service = call->service_id,
    .ticket = hf_slots_ticket (call->id, i),
    .priority = (unsigned) call->class->priority,
    .worth = (unsigned) call->class->worth,
    .aim_ms = (int) ((call->aim_at - state->now) / HF_MS),
    .remaining_ms = (unsigned) MAX (remaining, 0),
    .failure_domain = hf_hash (state->failure_domain, 0),
    .body_bytes = (unsigned) MIN (call->body_bytes, G_MAXUINT32),
    .retry = attempt->retry,
    .hedge = attempt->hedge && call->class->aim_ms > 0,
    .exclude = attempt->exclude,
  };
  hf_state_send (state, attempt->granter, message);
  int64_t delay = HF_GRANT_ASK_MS << MIN (attempt->asks, HF_GRANT_ASK_DOUBLINGS);
  attempt->asks++;
  attempt->ask_timer = hf_state_timer (state, delay * HF_MS, HF_TIMER_CALL_ASK, call->id, i);
}

static void
send_release (struct hf_state *state,
              uint64_t granter,
              uint64_t service,
              uint64_t ticket,
              uint64_t server,
              enum hf_pool_result result,
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
  hf_state_send (state, granter, message);
}

static void
log_out (struct hf_state *state, const struct hf_service_state *service, uint64_t id, bool was_out)
{
  const struct hf_pool_server *server = hf_pool_server (&service->pool, id);
  if (server && !was_out && server->out_until > state->now)
    hf_state_log (state, HF_LOG_SERVER_OUT, "backend server " HF_STR_FMT " of " HF_STR_FMT " is out for %d ms",
                  HF_STR_ARG (server->name), HF_STR_ARG (service->name),
                  (int) ((server->out_until - state->now) / HF_MS));
}

static void
release_in_pool (struct hf_state *state,
                 struct hf_service_state *service,
                 uint64_t entry,
                 uint64_t ticket,
                 uint64_t server,
                 enum hf_pool_result result,
                 int64_t latency_us)
{
  const struct hf_pool_server *known = hf_pool_server (&service->pool, server);
  bool was_out = known && known->out_until > state->now;
  GArray *decisions = new_decisions ();
  hf_pool_release (&service->pool, state->now, entry, ticket, result, latency_us, decisions);
  log_out (state, service, server, was_out);
  apply_decisions (state, service, decisions);
}

/* --- internal functions: messages --- */

static void
peer_acquire (struct hf_state *state, uint64_t from, const struct hf_rpc_acquire *acquire)
{
  struct hf_service_state *service = hf_state_service (state, acquire->service);
  if (!service)
    return;
  struct hf_pool_want want = {
    .entry = from,
    .ticket = acquire->ticket,
    .priority = acquire->priority,
    .worth = acquire->worth,
    .aim_at = state->now + acquire->aim_ms * HF_MS,
    .failure_domain = acquire->failure_domain,
    .body_bytes = acquire->body_bytes,
    .deadline = state->now + acquire->remaining_ms * HF_MS,
    .retry = acquire->retry,
    .hedge = acquire->hedge,
    .exclude = acquire->exclude,
  };
  service->wanted_at = state->now;
  GArray *decisions = new_decisions ();
  hf_pool_acquire (&service->pool, state->now, want, decisions);
  apply_decisions (state, service, decisions);
}

static void
peer_decision (struct hf_state *state, uint64_t from, const struct hf_rpc_decision *message)
{
  struct hf_decision decision = { .kind = message->kind,
                                  .entry = state->boot,
                                  .ticket = message->ticket,
                                  .server = message->server,
                                  .reason = MIN (message->reason, HF_REFUSAL_NEEDLESS) };
  const struct hf_call *call = g_hash_table_lookup (state->calls, &(uint64_t){ message->ticket / HF_ATTEMPTS_MAX });
  unsigned i = (unsigned) (message->ticket % HF_ATTEMPTS_MAX);
  bool wanted
      = call && i < call->n_attempts && call->attempts[i].granter == from && call->attempts[i].phase == HF_PHASE_ASKING;
  bool running = call && i < call->n_attempts && call->attempts[i].granter == from
                 && call->attempts[i].phase == HF_PHASE_RUNNING;
  bool used = wanted && apply_decision (state, &decision);
  if (message->kind == HF_DECISION_GRANTED && !used && !running)
    send_release (state, from, message->service, message->ticket, message->server, HF_POOL_UNUSED, 0, 0);
}

static void
peer_release (struct hf_state *state, uint64_t from, const struct hf_rpc_release *release)
{
  struct hf_service_state *service = hf_state_service (state, release->service);
  if (service)
    hf_pool_heard (&service->pool, release->server, state->now, (int) release->slowdown_percent);
  if (service && release->result <= HF_POOL_UNUSED)
    release_in_pool (state, service, from, release->ticket, release->server, release->result, release->latency_us);
}

/* --- public functions --- */

uint64_t
hf_slots_ticket (uint64_t call, unsigned attempt)
{
  return call * HF_ATTEMPTS_MAX + attempt;
}

void
hf_slots_ask (struct hf_state *state, struct hf_call *call, unsigned i)
{
  struct hf_service_state *service = hf_state_service (state, call->service_id);
  struct hf_attempt *attempt = &call->attempts[i];
  attempt->phase = HF_PHASE_ASKING;
  attempt->asked_at = state->now;
  attempt->asks = 0;
  attempt->granter = find_granter (state, service);
  if (attempt->granter)
    ask_granter (state, call, i);
  else
    ask_own_pool (state, service, call, i);
}

void
hf_slots_ask_again (struct hf_state *state, struct hf_call *call, unsigned i)
{
  struct hf_service_state *service = hf_state_service (state, call->service_id);
  struct hf_attempt *attempt = &call->attempts[i];
  uint64_t granter = find_granter (state, service);
  attempt->ask_timer = NULL;
  if (!attempt->granter)
    {
      hf_slots_ask (state, call, i);
      return;
    }
  bool silent = !attempt->acknowledged && state->now - attempt->asked_at >= HF_GRANT_GIVE_UP_MS * HF_MS;
  if (silent && granter == attempt->granter)
    {
      service->suspect_until = state->now + HF_GRANT_SUSPECT_MS * HF_MS;
      hf_state_count (state, HF_COUNT_FALLBACKS);
      const struct hf_member *member = hf_members_find (state, granter);
      hf_state_log (state, HF_LOG_GRANTER_SILENT,
                    "granter " HF_STR_FMT " of " HF_STR_FMT " does not answer; deciding locally",
                    HF_STR_ARG (member ? member->name : hf_str ("-")), HF_STR_ARG (service->name));
      granter = 0;
    }
  if (granter != attempt->granter)
    {
      send_release (state, attempt->granter, service->id, hf_slots_ticket (call->id, i), 0, HF_POOL_UNUSED, 0, 0);
      attempt->acknowledged = false;
      hf_slots_ask (state, call, i);
      return;
    }
  /* A queued want must be confirmed again within one more period. */
  if (attempt->acknowledged)
    {
      attempt->asked_at = state->now;
      attempt->asks = 0;
    }
  attempt->acknowledged = false;
  ask_granter (state, call, i);
}

void
hf_slots_queued (struct hf_state *state, struct hf_call *call, unsigned i)
{
  struct hf_attempt *attempt = &call->attempts[i];
  attempt->acknowledged = true;
  hf_timers_cancel (&attempt->ask_timer);
  if (attempt->granter)
    attempt->ask_timer = hf_state_timer (state, HF_GRANT_REASK_MS * HF_MS, HF_TIMER_CALL_ASK, call->id, i);
}

void
hf_slots_return (struct hf_state *state, struct hf_call *call, unsigned i, enum hf_pool_result result)
{
  struct hf_service_state *service = hf_state_service (state, call->service_id);
  struct hf_attempt *attempt = &call->attempts[i];
  uint64_t ticket = hf_slots_ticket (call->id, i);
  int64_t latency = attempt->started_at ? state->now - attempt->started_at : 0;
  hf_timers_cancel (&attempt->ask_timer);
  if (!service)
    return;
  if (!attempt->granter)
    {
      release_in_pool (state, service, state->boot, ticket, attempt->server, result, latency);
      return;
    }
  /* The own pool learns too: it decides when the granter is silent. */
  hf_pool_learn (&service->pool, state->now, attempt->server, result, latency);
  send_release (state, attempt->granter, call->service_id, ticket, attempt->server, result, latency,
                attempt->slowdown_percent);
}

void
hf_slots_peer (struct hf_state *state, const struct hf_event *event)
{
  const struct hf_rpc_message *message = event->peer.message;
  if (!hf_members_find (state, message->boot))
    return;
  if (message->body.kind == HF_RPC_ACQUIRE)
    peer_acquire (state, message->boot, &message->body.hf_rpc_body_u.acquire);
  else if (message->body.kind == HF_RPC_DECISION)
    peer_decision (state, message->boot, &message->body.hf_rpc_body_u.decision);
  else if (message->body.kind == HF_RPC_RELEASE)
    peer_release (state, message->boot, &message->body.hf_rpc_body_u.release);
}

void
hf_slots_measured (struct hf_state *state, const struct hf_event *event)
{
  struct hf_service_state *service = g_hash_table_lookup (state->homes, &event->server);
  if (!service)
    return;
  GArray *decisions = new_decisions ();
  hf_pool_pump (&service->pool, state->now, decisions);
  apply_decisions (state, service, decisions);
}

void
hf_slots_pump (struct hf_state *state)
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
