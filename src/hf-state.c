/* Names of the counters, and helpers that add effects. */
#include "hf-state.h"

/* --- constants --- */

const char *const hf_counter_names[HF_COUNTERS] = {
  [HF_COUNT_REQUESTS] = "requests_total",
  [HF_COUNT_ANSWERED] = "answered_total",
  [HF_COUNT_NOT_RUN] = "not_run_total",
  [HF_COUNT_UNKNOWN] = "unknown_total",
  [HF_COUNT_CUT] = "cut_total",
  [HF_COUNT_CALLERS_GONE] = "callers_gone_total",
  [HF_COUNT_DISPATCHED] = "dispatched_total",
  [HF_COUNT_RETRIES] = "retries_total",
  [HF_COUNT_HEDGES] = "hedges_total",
  [HF_COUNT_HEDGES_WON] = "hedges_won_total",
  [HF_COUNT_REFUSED_QUEUE_FULL] = "refused_queue_full_total",
  [HF_COUNT_REFUSED_DEADLINE] = "refused_deadline_total",
  [HF_COUNT_REFUSED_NO_SERVER] = "refused_no_server_total",
  [HF_COUNT_REFUSED_RETRY_BUDGET] = "refused_retry_budget_total",
  [HF_COUNT_REFUSED_PUSHBACK] = "refused_pushback_total",
  [HF_COUNT_SERVERS_LEAVING] = "servers_leaving_total",
  [HF_COUNT_PUSHBACKS] = "pushbacks_total",
  [HF_COUNT_RETRY_AFTER_INVALID] = "retry_after_invalid_total",
  [HF_COUNT_SLOTS_RETURNED] = "slots_returned_total",
  [HF_COUNT_REFERRED] = "referred_total",
  [HF_COUNT_GRANTER_FALLBACKS] = "granter_fallbacks_total",
  [HF_COUNT_PEER_MESSAGES_SENT] = "peer_messages_sent_total",
  [HF_COUNT_PEER_MESSAGES_RECEIVED] = "peer_messages_received_total",
  [HF_COUNT_PLATFORM_CALLS] = "platform_calls_total",
  [HF_COUNT_PLATFORM_LOST] = "platform_lost_total",
  [HF_COUNT_PLATFORM_RESTORED] = "platform_restored_total",
  [HF_COUNT_CLAIM_WRITES] = "claim_writes_total",
  [HF_COUNT_CLAIMS_COMMITTED] = "claims_committed_total",
  [HF_COUNT_CLAIMS_TAKEN] = "claims_taken_total",
  [HF_COUNT_PROBES] = "probes_total",
  [HF_COUNT_QUARANTINED] = "quarantined_total",
  [HF_COUNT_UNAUTHORISED] = "unauthorised_total",
  [HF_COUNT_UNCONFIRMED] = "refused_unconfirmed_total",
  [HF_COUNT_DATAGRAMS_INVALID] = "datagrams_invalid_total",
  [HF_COUNT_PEER_BYTES_SENT] = "peer_bytes_sent_total",
  [HF_COUNT_PEER_BYTES_RECEIVED] = "peer_bytes_received_total",
  [HF_COUNT_QUOTA_REFUSED] = "quota_refused_total",
  [HF_COUNT_QUOTA_REQUESTS] = "quota_requests_total",
  [HF_COUNT_QUOTA_LEASES] = "quota_leases_total",
  [HF_COUNT_QUOTA_CREDITS_GIVEN] = "quota_credits_given_total",
  [HF_COUNT_QUOTA_CREDITS_REFUSED] = "quota_credits_refused_total",
  [HF_COUNT_QUOTA_CREDITS_RETURNED] = "quota_credits_returned_total",
  [HF_COUNT_QUOTA_RESERVE_USED] = "quota_reserve_used_total",
  [HF_COUNT_QUOTA_FALLBACKS] = "quota_fallbacks_total",
};

/* --- internal functions --- */

static const struct hf_member *
find_member_by_address (const struct hf_state *state, struct hf_str address)
{
  for (guint i = 0; i < state->members->len; i++)
    {
      const struct hf_member *member = g_ptr_array_index (state->members, i);
      if (hf_str_equal (member->address, address))
        return member;
    }
  return NULL;
}

static void
send_message (struct hf_state *state,
              struct hf_str address,
              const struct hf_member *member,
              struct hf_rpc_message message)
{
  message.boot_id = state->boot_id;
  struct hf_effect effect = { .kind = HF_EFFECT_SEND_MESSAGE, .message = message };
  effect.address = hf_effects_copy (state->effects, address);
  effect.crosses_domain = member && hf_state_crosses_domain (state, member->failure_domain);
  hf_effects_add (state->effects, effect);
  hf_state_increment (state, HF_COUNT_PEER_MESSAGES_SENT);
}

/* --- public functions: helpers of the reducer's modules --- */

struct hf_service_state *
hf_state_find_service (const struct hf_state *state, uint64_t id)
{
  return g_hash_table_lookup (state->services, &id);
}

struct hf_member *
hf_state_find_member (const struct hf_state *state, uint64_t boot_id)
{
  for (size_t i = 0; boot_id && i < state->members->len; i++)
    if (((struct hf_member *) g_ptr_array_index (state->members, i))->boot_id == boot_id)
      return g_ptr_array_index (state->members, i);
  return NULL;
}

uint64_t
hf_state_generation (const struct hf_state *state)
{
  return state->document ? state->document->generation : 0;
}

bool
hf_state_is_in_own_domain (const struct hf_state *state, const struct hf_member *member)
{
  return member->failure_domain == hf_hash (state->failure_domain, 0);
}

bool
hf_state_crosses_domain (const struct hf_state *state, uint64_t failure_domain)
{
  return hf_traffic_crosses (hf_hash (state->failure_domain, 0), failure_domain);
}

uint64_t
hf_state_ticket (uint64_t call_id, unsigned attempt_index)
{
  return call_id * HF_ATTEMPTS_MAX + attempt_index;
}

void
hf_state_free_service (void *data)
{
  struct hf_service_state *service = data;
  hf_pool_close (&service->pool);
  g_clear_pointer (&service->domains, g_array_unref);
  hf_str_free (&service->name);
  g_free (service);
}

bool
hf_state_mark_draining (struct hf_state *state,
                        struct hf_service_state *service,
                        uint64_t server_id,
                        enum hf_drain_source source,
                        int64_t until,
                        const char *reported_by)
{
  if (!hf_pool_set_draining (&service->pool, server_id, source, true, until))
    return false;
  const struct hf_pool_server *server = hf_pool_find_server (&service->pool, server_id);
  hf_state_log (state, HF_LOG_SERVER_LEAVING,
                "backend server " HF_STR_FMT " of " HF_STR_FMT " is draining and gets no new requests, reported by %s",
                HF_STR_ARG (server->name), HF_STR_ARG (service->name), reported_by);
  return true;
}

void
hf_state_increment (struct hf_state *state, enum hf_counter counter)
{
  state->counters[counter]++;
}

void
hf_state_log (struct hf_state *state, enum hf_log_event_number number, const char *format, ...)
{
  char text[400];
  va_list args;
  va_start (args, format);
  g_vsnprintf (text, sizeof text, format, args);
  va_end (args);
  struct hf_effect effect = { .kind = HF_EFFECT_LOG, .log_number = number };
  effect.text = hf_effects_copy (state->effects, hf_str (text));
  hf_effects_add (state->effects, effect);
}

void
hf_state_send_to_member (struct hf_state *state, uint64_t boot_id, struct hf_rpc_message message)
{
  const struct hf_member *member = hf_state_find_member (state, boot_id);
  if (member)
    send_message (state, member->address, member, message);
}

void
hf_state_send_to_address (struct hf_state *state, struct hf_str address, struct hf_rpc_message message)
{
  send_message (state, address, find_member_by_address (state, address), message);
}

void
hf_state_call_platform (struct hf_state *state,
                        enum hf_platform_op op,
                        enum hf_platform_purpose purpose,
                        uint64_t arg,
                        struct hf_str name,
                        uint64_t version,
                        struct hf_str data)
{
  struct hf_effect effect
      = { .kind = HF_EFFECT_CALL_PLATFORM, .op = op, .purpose = purpose, .arg = arg, .version = version };
  effect.name = hf_effects_copy (state->effects, name);
  if (data.len)
    effect.data = hf_effects_copy (state->effects, data);
  hf_effects_add (state->effects, effect);
  hf_state_increment (state, HF_COUNT_PLATFORM_CALLS);
}

GSequenceIter *
hf_state_start_timer (struct hf_state *state, int64_t delay, enum hf_timer_kind kind, uint64_t id, uint64_t arg)
{
  return hf_timers_add (&state->timers,
                        (struct hf_timer){ .due_at = state->now + delay, .kind = kind, .id = id, .arg = arg });
}
