/* Round trips and the decision on affinity, in heartbeats. */
#include "hf-affinity-sync.h"

#include "hf-roles.h"
#include "hf-slices.h"

/* --- constants --- */

#define ECHO_NONE G_MAXUINT32 /* value of echo_held_us */

/* --- internal functions --- */

/* Times on the wire are the low bits: differences below an hour are exact. */
static unsigned
wire_time (int64_t time)
{
  return (unsigned) (uint64_t) time;
}

static void
record_rtt (struct hf_state *state, const struct hf_member *member, const struct hf_rpc_heartbeat *heartbeat)
{
  if (heartbeat->echo_held_us == ECHO_NONE || !hf_state_crosses_domain (state, member->failure_domain))
    return;
  unsigned rtt_us = wire_time (state->now) - heartbeat->echo_sent_at - heartbeat->echo_held_us;
  hf_affinity_record_rtt (&state->affinity, state->now, rtt_us);
}

static void
handle_change (struct hf_state *state)
{
  bool is_on = hf_affinity_is_on (&state->affinity);
  hf_state_log (state, HF_LOG_AFFINITY,
                "domain affinity is %s (decision %u); the smallest round trip between failure domains is %d us",
                is_on ? "on" : "off", state->affinity.epoch, (int) hf_affinity_sync_rtt_us (state));
  hf_slices_handle_affinity (state);
  state->roles.update_pending = true;
}

/* --- public functions --- */

void
hf_affinity_sync_fill (const struct hf_state *state, const struct hf_member *member, struct hf_rpc_heartbeat *heartbeat)
{
  int64_t held_us = state->now - member->echo_received_at;
  bool has_echo = member->echo_received_at > 0 && held_us <= HF_AFFINITY_ECHO_MAX_MS * HF_MS;
  heartbeat->sent_at = wire_time (state->now);
  heartbeat->echo_sent_at = member->echo_sent_at;
  heartbeat->echo_held_us = has_echo ? (unsigned) held_us : ECHO_NONE;
  heartbeat->rtt_us = (unsigned) hf_affinity_rtt_us (&state->affinity, state->now);
  heartbeat->affinity_epoch = state->affinity.epoch;
}

void
hf_affinity_sync_handle (struct hf_state *state, struct hf_member *member, const struct hf_rpc_heartbeat *heartbeat)
{
  record_rtt (state, member, heartbeat);
  member->echo_sent_at = heartbeat->sent_at;
  member->echo_received_at = state->now;
  member->rtt_us = heartbeat->rtt_us;
  if (hf_affinity_adopt (&state->affinity, state->now, heartbeat->affinity_epoch))
    handle_change (state);
}

void
hf_affinity_sync_tick (struct hf_state *state)
{
  bool decides = hf_roles_granter (state, hf_hash (hf_str ("affinity"), 0)) == state->boot_id;
  if (!decides || !hf_affinity_has_settled (&state->affinity, state->now))
    return;
  if (hf_affinity_decide (&state->affinity, state->now, hf_affinity_sync_rtt_us (state)))
    handle_change (state);
}

int64_t
hf_affinity_sync_rtt_us (const struct hf_state *state)
{
  int64_t smallest = hf_affinity_rtt_us (&state->affinity, state->now);
  for (guint i = 0; i < state->members->len; i++)
    {
      const struct hf_member *member = g_ptr_array_index (state->members, i);
      if (member->alive && member->rtt_us > 0 && (smallest == 0 || member->rtt_us < smallest))
        smallest = member->rtt_us;
    }
  return smallest;
}
