/* The reducer: hands each event to the module it concerns. */
#include "hf-reduce.h"

#include "hf-calls.h"
#include "hf-claims.h"
#include "hf-directory.h"
#include "hf-measure.h"
#include "hf-members.h"
#include "hf-probes.h"
#include "hf-quarantine.h"
#include "hf-directory-sync.h"
#include "hf-roles.h"
#include "hf-claim-shards.h"
#include "hf-slots.h"
#include "hf-config-sync.h"

/* --- constants --- */

#define POOLS_TICK_MS 100

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
start (struct hf_state *state)
{
  hf_state_timer (state, 0, HF_TIMER_HEARTBEAT, 0, 0);
  hf_state_timer (state, POOLS_TICK_MS * HF_MS, HF_TIMER_POOLS, 0, 0);
  state->heartbeat_due = state->now;
  if (!state->external)
    hf_sync_start (state);
}

static void
heartbeat_due (struct hf_state *state)
{
  if (state->now - state->heartbeat_due > HF_PAUSE_MS * HF_MS)
    {
      hf_state_log (state, HF_LOG_PAUSED, "paused for %d ms; what was known of others is stale",
                    (int) ((state->now - state->heartbeat_due) / HF_MS));
      hf_members_resume (state);
    }
  else
    {
      hf_members_expire (state);
      hf_members_beat (state, false);
    }
  state->heartbeat_due = state->now + HF_HEARTBEAT_MS * HF_MS;
  hf_state_timer (state, HF_HEARTBEAT_MS * HF_MS, HF_TIMER_HEARTBEAT, 0, 0);
  if (!state->external)
    {
      hf_sync_check_watches (state);
      hf_sync_check_stored (state);
    }
  hf_probes_tick (state);
  hf_quarantine_expire (state);
  hf_claims_expire (state);
}

static void
pools_due (struct hf_state *state)
{
  hf_relay_tick (state);
  hf_state_timer (state, POOLS_TICK_MS * HF_MS, HF_TIMER_POOLS, 0, 0);
  hf_slots_pump (state);
}

static void
timer_due (struct hf_state *state, const struct hf_timer *timer)
{
  switch ((enum hf_timer_kind) timer->kind)
    {
    case HF_TIMER_HEARTBEAT:
      heartbeat_due (state);
      break;
    case HF_TIMER_POOLS:
      pools_due (state);
      break;
    case HF_TIMER_CALL_DEADLINE:
    case HF_TIMER_CALL_ASK:
    case HF_TIMER_CALL_LATE:
    case HF_TIMER_CALL_RETRY:
      hf_calls_timer (state, timer);
      break;
    case HF_TIMER_CLAIM_ASK:
    case HF_TIMER_CLAIM_INQUIRE:
    case HF_TIMER_CLAIM_WRITE:
      hf_claims_timer (state, timer);
      break;
    case HF_TIMER_WATCH:
      hf_sync_watch_timer (state, (enum hf_purpose) timer->id);
      break;
    case HF_TIMER_PULL:
      hf_sync_pull_timer (state);
      break;
    case HF_TIMER_RESTORE:
      hf_sync_restore (state);
      break;
    case HF_TIMER_MEASURE:
      hf_measure_tick (state);
      break;
    case HF_TIMER_DIRECTORY:
      hf_directory_expire (state);
      break;
    case HF_TIMER_DRAINED:
      hf_effects_add (state->out, (struct hf_effect){ .kind = HF_EFFECT_EXIT });
      break;
    }
}

static void
run_timers (struct hf_state *state)
{
  struct hf_timer timer;
  while (hf_timers_take_due (&state->timers, state->now, &timer))
    timer_due (state, &timer);
}

static void
peer (struct hf_state *state, const struct hf_event *event)
{
  hf_state_count (state, HF_COUNT_MESSAGES_RECEIVED);
  if (event->peer.message->boot == state->boot)
    return;
  if (event->peer.message->body.kind != HF_RPC_HEARTBEAT)
    hf_members_note_sender (state, event);
  switch (event->peer.message->body.kind)
    {
    case HF_RPC_HEARTBEAT:
      hf_members_heartbeat (state, event);
      break;
    case HF_RPC_ACQUIRE:
    case HF_RPC_DECISION:
    case HF_RPC_RELEASE:
      hf_slots_peer (state, event);
      break;
    case HF_RPC_CLAIM:
    case HF_RPC_CLAIM_REPLY:
    case HF_RPC_INQUIRY:
    case HF_RPC_INQUIRY_REPLY:
      hf_claims_message (state, event);
      break;
    case HF_RPC_NOTICE:
      hf_quarantine_message (state, event);
      break;
    case HF_RPC_PULL:
    case HF_RPC_CHUNK:
      hf_sync_message (state, event);
      break;
    case HF_RPC_DIRECTORY:
    case HF_RPC_DIRECTORY_PULL:
      hf_relay_message (state, event);
      break;
    }
}

static void
platform (struct hf_state *state, const struct hf_event *event)
{
  if (event->platform.status == 0)
    hf_state_count (state, HF_COUNT_PLATFORM_LOST);
  if (event->platform.purpose == HF_PURPOSE_CLAIMS)
    hf_shards_platform (state, event);
  else if (event->platform.purpose == HF_PURPOSE_PROBES)
    hf_probes_platform (state, event);
  else
    hf_sync_platform (state, event);
}

static void
shut_down (struct hf_state *state)
{
  if (state->leaving)
    return;
  state->leaving = true;
  state->roles.changed = true;
  hf_state_log (state, HF_LOG_SHUTDOWN, "health check fails now; serving on for %d ms", (int) state->drain_wait_ms);
  hf_members_beat (state, false);
  hf_state_timer (state, state->drain_wait_ms * HF_MS, HF_TIMER_DRAINED, 0, 0);
}

/* Whoever has read the list of entries introduces itself to those that it meets
 * and has not heard. */
static void
list_step (struct hf_state *state, const struct hf_event *event)
{
  hf_directory_list (state, event);
  if (event->list != HF_LIST_ENTRIES)
    return;
  hf_roles_update (state);
  hf_members_greet (state);
}

static void
handle (struct hf_state *state, const struct hf_event *event)
{
  switch (event->kind)
    {
    case HF_EVENT_START:
      start (state);
      break;
    case HF_EVENT_TICK:
      break;
    case HF_EVENT_REQUEST:
      hf_calls_request (state, event);
      break;
    case HF_EVENT_CALLER_GONE:
      hf_calls_caller_gone (state, event->call);
      break;
    case HF_EVENT_ATTEMPT_HEAD:
      hf_calls_attempt_head (state, event);
      break;
    case HF_EVENT_ATTEMPT_END:
      hf_calls_attempt_end (state, event);
      break;
    case HF_EVENT_PEER:
      peer (state, event);
      break;
    case HF_EVENT_PLATFORM:
      platform (state, event);
      break;
    case HF_EVENT_WATCH:
      hf_sync_watch (state, event);
      break;
    case HF_EVENT_PROBE:
      hf_probes_result (state, event);
      hf_measure_result (state, event);
      hf_slots_measured (state, event);
      break;
    case HF_EVENT_DOCUMENT:
      hf_sync_document (state, event);
      break;
    case HF_EVENT_SERVER:
      hf_directory_report (state, &event->report);
      break;
    case HF_EVENT_ENTRY:
      hf_members_list (state, &event->entry);
      break;
    case HF_EVENT_LIST:
      list_step (state, event);
      break;
    case HF_EVENT_SHUTDOWN:
      shut_down (state);
      break;
    }
}

static void
arm_wake (struct hf_state *state)
{
  int64_t next = hf_timers_next (&state->timers);
  /* An earlier wake that is no longer needed costs less than moving it. */
  if (next < 0 || (state->wake_at >= 0 && state->wake_at <= next))
    return;
  state->wake_at = next;
  hf_effects_add (state->out, (struct hf_effect){ .kind = HF_EFFECT_WAKE, .at = next });
}

/* --- public functions --- */

struct hf_state *
hf_state_new (const struct hf_settings *settings, uint64_t boot)
{
  struct hf_state *state = g_new0 (struct hf_state, 1);
  state->name = hf_str_dup (settings->name);
  state->failure_domain = hf_str_dup (settings->failure_domain);
  state->address = hf_str_dup (settings->peers);
  state->cpu_share = settings->cpu_share;
  state->drain_wait_ms = settings->drain_wait_ms;
  state->external = settings->store.len > 0;
  state->boot = boot;
  state->random = boot;
  state->wake_at = -1;
  state->services = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, hf_state_free_service);
  state->homes = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  state->deadlines = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  state->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, hf_calls_free);
  state->members = g_ptr_array_new_with_free_func (free_member);
  state->vm_leaving = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  state->suspects = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  hf_directory_init (&state->directory);
  hf_relay_init (&state->relay);
  hf_roles_init (&state->roles);
  hf_latency_init (&state->latency);
  hf_claims_init (state);
  hf_timers_init (&state->timers);
  return state;
}

void
hf_state_free (struct hf_state *state)
{
  g_hash_table_destroy (state->services);
  g_hash_table_destroy (state->homes);
  g_hash_table_destroy (state->calls);
  g_hash_table_destroy (state->deadlines);
  g_ptr_array_unref (state->members);
  g_hash_table_destroy (state->vm_leaving);
  g_hash_table_destroy (state->suspects);
  hf_directory_close (&state->directory);
  hf_relay_close (&state->relay);
  hf_roles_close (&state->roles);
  hf_latency_close (&state->latency);
  hf_claims_close (state);
  hf_timers_close (&state->timers);
  if (state->pull.text)
    g_string_free (state->pull.text, TRUE);
  hf_document_unload (state->document);
  hf_str_free (&state->name);
  hf_str_free (&state->failure_domain);
  hf_str_free (&state->address);
  g_free (state);
}

void
hf_reduce (struct hf_state *state, const struct hf_event *event, struct hf_effects *effects)
{
  state->now = event->now;
  state->wall = event->wall;
  state->out = effects;
  if (state->wake_at >= 0 && state->wake_at <= state->now)
    state->wake_at = -1;
  run_timers (state);
  handle (state, event);
  run_timers (state);
  if (state->roles.changed)
    hf_roles_update (state);
  arm_wake (state);
  state->out = NULL;
}

bool
hf_state_is_informed (const struct hf_state *state)
{
  bool listed = !state->external || (state->directory.complete && state->directory.entries_complete);
  return state->document && listed;
}

bool
hf_state_is_ready (const struct hf_state *state)
{
  return hf_state_is_informed (state) && !state->leaving;
}

bool
hf_state_is_leaving (const struct hf_state *state)
{
  return state->leaving;
}

uint64_t *
hf_state_counters (struct hf_state *state)
{
  return state->counters;
}
