/* The reducer: passes each event and each due timer to the module that handles it. */
#include "hf-reduce.h"

#include "hf-affinity-sync.h"
#include "hf-call-end.h"
#include "hf-calls.h"
#include "hf-claim-shards.h"
#include "hf-claims.h"
#include "hf-cold-servers.h"
#include "hf-cold-spread.h"
#include "hf-config-spread.h"
#include "hf-config-sync.h"
#include "hf-directory-sync.h"
#include "hf-directory.h"
#include "hf-evacuation-sync.h"
#include "hf-measure.h"
#include "hf-members.h"
#include "hf-probes.h"
#include "hf-quarantine.h"
#include "hf-quota-leases.h"
#include "hf-referrals.h"
#include "hf-restrictions.h"
#include "hf-revocation.h"
#include "hf-roles.h"
#include "hf-routing.h"
#include "hf-shutdown.h"
#include "hf-slots.h"
#include "hf-status.h"

/* --- constants --- */

#define POOL_TICK_MS 100 /* between two updates of the pools */

/* --- internal functions: memory --- */

static void
free_member (void *data)
{
  struct hf_member *member = data;
  hf_str_free (&member->name);
  hf_str_free (&member->address);
  g_free (member);
}

/* --- internal functions: events --- */

static void
handle_start (struct hf_state *state)
{
  hf_state_start_timer (state, 0, HF_TIMER_HEARTBEAT, 0, 0);
  hf_state_start_timer (state, POOL_TICK_MS * HF_MS, HF_TIMER_POOL_TICK, 0, 0);
  state->heartbeat_due_at = state->now;
  state->started_at = state->now;
  if (!state->external_store)
    hf_config_sync_start (state);
}

static void
run_heartbeat (struct hf_state *state)
{
  if (state->now - state->heartbeat_due_at > HF_PAUSE_THRESHOLD_MS * HF_MS)
    {
      hf_state_log (state, HF_LOG_PAUSED,
                    "process was paused for %d ms; dropping the loads of other entries and requesting new heartbeats",
                    (int) ((state->now - state->heartbeat_due_at) / HF_MS));
      hf_members_resume (state);
      /* Before the event itself is handled: it may be a request for credits of this owner. */
      hf_quota_leases_update_owners (state);
    }
  else
    {
      hf_members_expire_silent (state);
      hf_members_send_heartbeats (state, false);
    }
  state->heartbeat_due_at = state->now + HF_HEARTBEAT_MS * HF_MS;
  hf_state_start_timer (state, HF_HEARTBEAT_MS * HF_MS, HF_TIMER_HEARTBEAT, 0, 0);
  if (!state->external_store)
    {
      hf_config_sync_check_watches (state);
      hf_config_sync_check_stored (state);
    }
  hf_affinity_sync_tick (state);
  hf_revocation_tick (state);
  hf_probes_tick (state);
  hf_quarantine_expire (state);
  hf_restrictions_expire (state);
  hf_claims_expire (state);
  hf_quota_leases_expire (state);
}

static void
run_pool_tick (struct hf_state *state)
{
  hf_directory_sync_tick (state);
  hf_state_start_timer (state, POOL_TICK_MS * HF_MS, HF_TIMER_POOL_TICK, 0, 0);
  hf_cold_servers_update (state);
  if (hf_cold_spread_is_announcement_due (state))
    hf_members_announce (state);
  hf_slots_update_pools (state);
  hf_referrals_tick (state);
}

static void
run_timer (struct hf_state *state, const struct hf_timer *timer)
{
  switch ((enum hf_timer_kind) timer->kind)
    {
    case HF_TIMER_HEARTBEAT:
      run_heartbeat (state);
      break;
    case HF_TIMER_POOL_TICK:
      run_pool_tick (state);
      break;
    case HF_TIMER_CALL_DEADLINE:
    case HF_TIMER_SLOT_RESEND:
    case HF_TIMER_CALL_RESPONSE:
    case HF_TIMER_CALL_RETRY:
      hf_calls_handle_timer (state, timer);
      break;
    case HF_TIMER_CLAIM_RESEND:
    case HF_TIMER_CLAIM_QUERY:
    case HF_TIMER_CLAIM_WRITE:
      hf_claims_handle_timer (state, timer);
      break;
    case HF_TIMER_WATCH:
      hf_config_sync_reopen_watch (state, (enum hf_platform_purpose) timer->id);
      break;
    case HF_TIMER_CONFIG_PULL:
      hf_config_spread_handle_timer (state);
      break;
    case HF_TIMER_CONFIG_RESTORE:
      hf_config_sync_restore (state);
      break;
    case HF_TIMER_MEASURE_TICK:
      hf_measure_tick (state);
      break;
    case HF_TIMER_QUOTA:
      hf_quota_leases_handle_timer (state, timer->id);
      break;
    case HF_TIMER_DIRECTORY_EXPIRE:
      hf_directory_remove_expired (state);
      break;
    case HF_TIMER_LAST_RESPONSES:
      hf_effects_add (state->effects, (struct hf_effect){ .kind = HF_EFFECT_REJECT_INCOMPLETE });
      break;
    case HF_TIMER_EXIT:
      hf_effects_add (state->effects, (struct hf_effect){ .kind = HF_EFFECT_EXIT });
      break;
    }
}

static void
run_due_timers (struct hf_state *state)
{
  struct hf_timer timer;
  while (hf_timers_take_due (&state->timers, state->now, &timer))
    run_timer (state, &timer);
}

/* Whether the timer ends a wait for a response, which may lie unread in a socket after a pause of the process. */
static bool
awaits_response (const struct hf_timer *timer)
{
  return timer->kind == HF_TIMER_CALL_DEADLINE || timer->kind == HF_TIMER_CALL_RESPONSE
         || timer->kind == HF_TIMER_SLOT_RESEND || timer->kind == HF_TIMER_QUOTA;
}

/* There is an event at least every POOL_TICK_MS, unless the process was paused. */
static void
update_time (struct hf_state *state, const struct hf_event *event)
{
  bool paused = state->now > 0 && event->now - state->now >= HF_PAUSE_MS * HF_MS;
  state->now = event->now;
  state->wall_time = event->wall_time;
  if (!paused)
    return;
  state->resumed_at = state->now;
  hf_timers_postpone_due (&state->timers, state->now, state->now + HF_PAUSE_READ_MS * HF_MS, awaits_response);
}

static void
handle_config_message (struct hf_state *state, const struct hf_event *event)
{
  struct hf_config_received received;
  if (!hf_config_spread_handle_message (state, event, &received))
    return;
  hf_config_sync_adopt_received (state, &received);
  hf_str_free (&received.text);
}

/* A changed set is passed on at once: by who has it from the platform to all, and by coordinators, whose heartbeats
 * reach the entries that hear of no others. */
static void
handle_evacuation_step (struct hf_state *state, const struct hf_event *event)
{
  if (!hf_evacuation_sync_handle_step (state, event))
    return;
  hf_members_announce (state);
  hf_slots_update_pools (state);
}

static void
handle_heartbeat (struct hf_state *state, const struct hf_event *event)
{
  const struct hf_rpc_message *message = event->peer.message;
  hf_members_handle_heartbeat (state, event);
  hf_directory_sync_note_position (state, event);
  hf_config_spread_note_member (state, message->boot_id);
  hf_cold_spread_handle_heartbeat (state, &message->body.hf_rpc_body_u.heartbeat);
  if (!hf_evacuation_sync_handle_heartbeat (state, &message->body.hf_rpc_body_u.heartbeat))
    return;
  if (state->roles.is_coordinator)
    hf_members_announce (state);
  hf_slots_update_pools (state);
}

static void
handle_peer_message (struct hf_state *state, const struct hf_event *event)
{
  hf_state_increment (state, HF_COUNT_PEER_MESSAGES_RECEIVED);
  if (event->peer.message->boot_id == state->boot_id)
    return;
  if (event->peer.message->body.kind != HF_RPC_HEARTBEAT)
    hf_members_record_sender (state, event);
  switch (event->peer.message->body.kind)
    {
    case HF_RPC_HEARTBEAT:
      handle_heartbeat (state, event);
      break;
    case HF_RPC_ACQUIRE:
    case HF_RPC_DECISION:
    case HF_RPC_RELEASE:
      hf_slots_handle_message (state, event);
      break;
    case HF_RPC_LOAD_REPORT:
      hf_referrals_handle_message (state, event);
      break;
    case HF_RPC_CLAIM:
    case HF_RPC_CLAIM_REPLY:
    case HF_RPC_CLAIM_QUERY:
    case HF_RPC_CLAIM_QUERY_REPLY:
      hf_claims_handle_message (state, event);
      break;
    case HF_RPC_NOTICE:
      hf_quarantine_handle_notice (state, event);
      hf_restrictions_handle_notice (state, event);
      hf_cold_servers_handle_notice (state, event);
      break;
    case HF_RPC_CONFIG_OFFER:
    case HF_RPC_CONFIG_PULL:
    case HF_RPC_CONFIG_CHUNK:
      handle_config_message (state, event);
      break;
    case HF_RPC_QUOTA_REQUEST:
    case HF_RPC_QUOTA_LEASE:
    case HF_RPC_QUOTA_HANDOVER:
      hf_quota_leases_handle_message (state, event);
      break;
    case HF_RPC_DIRECTORY_UPDATE:
    case HF_RPC_DIRECTORY_PULL:
      hf_directory_sync_handle_message (state, event);
      hf_config_spread_note_member (state, event->peer.message->boot_id);
      break;
    }
}

static void
handle_platform_result (struct hf_state *state, const struct hf_event *event)
{
  if (event->platform.status == 0)
    hf_state_increment (state, HF_COUNT_PLATFORM_LOST);
  if (event->platform.purpose == HF_PURPOSE_CLAIMS)
    hf_claim_shards_handle_platform (state, event);
  else if (event->platform.purpose == HF_PURPOSE_PROBES)
    hf_probes_handle_platform (state, event);
  else
    hf_config_sync_handle_platform (state, event);
}

/* After the list of entries is complete, sends a heartbeat to each heartbeat peer that is not known to be alive. */
static void
handle_list (struct hf_state *state, const struct hf_event *event)
{
  hf_directory_handle_list (state, event);
  if (event->list_step != HF_LIST_ENTRIES_END)
    return;
  hf_roles_update (state);
  hf_members_contact_new (state);
}

static void
handle_event (struct hf_state *state, const struct hf_event *event)
{
  switch (event->kind)
    {
    case HF_EVENT_START:
      handle_start (state);
      break;
    case HF_EVENT_TICK:
      break;
    case HF_EVENT_REQUEST:
      hf_calls_handle_request (state, event);
      break;
    case HF_EVENT_CALLER_GONE:
      hf_calls_handle_caller_gone (state, event->call);
      break;
    case HF_EVENT_ATTEMPT_HEAD:
      hf_calls_handle_attempt_head (state, event);
      break;
    case HF_EVENT_ATTEMPT_END:
      hf_calls_handle_attempt_end (state, event);
      break;
    case HF_EVENT_PEER_MESSAGE:
      handle_peer_message (state, event);
      break;
    case HF_EVENT_PLATFORM_RESULT:
      handle_platform_result (state, event);
      break;
    case HF_EVENT_WATCH_LINE:
      hf_config_sync_handle_watch (state, event);
      break;
    case HF_EVENT_PROBE_RESULT:
      hf_probes_handle_result (state, event);
      hf_measure_handle_result (state, event);
      hf_slots_handle_measurement (state, event);
      break;
    case HF_EVENT_SERVER_HINTS:
      hf_restrictions_handle_hints (state, event);
      hf_cold_servers_handle_hints (state, event);
      break;
    case HF_EVENT_DOCUMENT:
      hf_config_sync_handle_document (state, event);
      break;
    case HF_EVENT_SERVER_REPORT:
      hf_directory_handle_report (state, event);
      break;
    case HF_EVENT_ENTRY_REPORT:
      hf_members_update_entry (state, &event->entry);
      break;
    case HF_EVENT_LIST_STEP:
      handle_list (state, event);
      break;
    case HF_EVENT_EVACUATION_REPORT:
      hf_evacuation_sync_handle_report (state, event);
      break;
    case HF_EVENT_EVACUATION_STEP:
      handle_evacuation_step (state, event);
      break;
    case HF_EVENT_SHUTDOWN:
      hf_shutdown_begin (state);
      break;
    }
}

/* Once this entry has a configuration and a directory it can grant slots. */
static void
note_initialised (struct hf_state *state)
{
  bool starting = !hf_state_is_initialised (state);
  bool has_started = state->starting && !starting;
  state->roles.update_pending = state->roles.update_pending || starting != state->starting;
  state->starting = starting;
  /* The owners of limits wait until they know more than half of the fleet; the next heartbeat may be seconds away. */
  if (has_started && state->quota)
    hf_members_announce (state);
}

static void
update_roles (struct hf_state *state)
{
  if (!state->roles.update_pending)
    return;
  hf_roles_update (state);
  hf_cold_servers_update (state);
}

static void
schedule_wakeup (struct hf_state *state)
{
  int64_t next = hf_timers_next_due (&state->timers);
  /* An earlier wakeup that is no longer needed is left in place, as it costs less than moving it. */
  if (next < 0 || (state->wakeup_at >= 0 && state->wakeup_at <= next))
    return;
  state->wakeup_at = next;
  hf_effects_add (state->effects, (struct hf_effect){ .kind = HF_EFFECT_SET_WAKEUP, .wakeup_at = next });
}

/* --- public functions --- */

struct hf_state *
hf_state_new (const struct hf_settings *settings, uint64_t boot_id)
{
  struct hf_state *state = g_new0 (struct hf_state, 1);
  state->name = hf_str_dup (settings->name);
  state->failure_domain = hf_str_dup (settings->failure_domain);
  state->address = hf_str_dup (settings->peer_address);
  state->cpu_share = settings->cpu_share;
  state->drain_wait_ms = settings->drain_wait_ms;
  state->shutdown_timeout_ms = settings->shutdown_timeout_ms;
  state->cold_overshoot = settings->cold_overshoot;
  state->cold_slack = settings->cold_slack;
  state->silent_hold_us = settings->silent_hold_ms * HF_MS;
  state->external_store = settings->store_address.len > 0;
  state->revoke_us = settings->strict_revoke ? settings->revoke_ms * HF_MS : 0;
  state->follows_evacuations = settings->evacuate_ms > 0;
  state->domain_names = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  state->affinity.mode = (enum hf_affinity_mode) settings->domain_affinity;
  state->boot_id = boot_id;
  state->random_state = boot_id;
  state->wakeup_at = -1;
  state->starting = true;
  state->services = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, hf_state_free_service);
  state->service_by_server = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  state->class_deadlines = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  state->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, hf_calls_free);
  state->members = g_ptr_array_new_with_free_func (free_member);
  state->draining_vms = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  state->suspects = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  hf_restrictions_init (state);
  hf_directory_init (&state->directory);
  hf_directory_sync_init (&state->directory_sync);
  hf_config_spread_init (&state->config_spread, settings->link_mbps);
  hf_roles_init (&state->roles);
  hf_latency_init (&state->latency);
  state->quota = hf_quota_leases_open (
      settings, (struct hf_quota_callbacks){ .begin = hf_calls_handle_credit, .refuse = hf_call_refuse_by_quota });
  hf_organisation_counts_init (&state->organisation_counts);
  hf_claims_init (state);
  hf_timers_init (&state->timers);
  return state;
}

void
hf_state_free (struct hf_state *state)
{
  g_hash_table_destroy (state->services);
  g_hash_table_destroy (state->service_by_server);
  g_hash_table_destroy (state->calls);
  g_hash_table_destroy (state->class_deadlines);
  g_ptr_array_unref (state->members);
  g_hash_table_destroy (state->draining_vms);
  g_hash_table_destroy (state->suspects);
  g_hash_table_destroy (state->domain_names);
  hf_restrictions_close (state);
  hf_directory_close (&state->directory);
  hf_directory_sync_close (&state->directory_sync);
  hf_roles_close (&state->roles);
  hf_latency_close (&state->latency);
  hf_quota_leases_close (state->quota);
  hf_organisation_counts_close (&state->organisation_counts);
  hf_claims_close (state);
  hf_timers_close (&state->timers);
  hf_config_spread_close (&state->config_spread);
  hf_document_unref (state->document);
  hf_str_free (&state->name);
  hf_str_free (&state->failure_domain);
  hf_str_free (&state->address);
  g_free (state);
}

void
hf_reduce (struct hf_state *state, const struct hf_event *event, struct hf_effects *effects)
{
  update_time (state, event);
  state->effects = effects;
  if (state->wakeup_at >= 0 && state->wakeup_at <= state->now)
    state->wakeup_at = -1;
  run_due_timers (state);
  handle_event (state, event);
  run_due_timers (state);
  note_initialised (state);
  update_roles (state);
  if (state->directory.slices_outdated)
    {
      hf_directory_update_slices (state);
      hf_slots_leave_outdated (state);
    }
  hf_quota_leases_update_owners (state);
  schedule_wakeup (state);
  state->effects = NULL;
}

bool
hf_state_is_repeatable (const struct hf_state *state, const struct hf_request_head *head)
{
  struct hf_route_target target;
  return state->document && hf_routing_find_target (state->document, head, 0, &target) && target.class->repeatable;
}
