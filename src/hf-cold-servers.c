/* Cold backend servers in the pools. */
#include "hf-cold-servers.h"

#include "hf-cold-spread.h"
#include "hf-quarantine.h"
#include "hf-roles.h"

/* --- internal functions: limits --- */

/* Members heard of lately among those that send heartbeats here, and this entry. A granter that another one may have
 * replaced by now no longer hears the entries that have: they replace it only after HF_PEER_TIMEOUT_MS without a
 * heartbeat of it, and the last one that it sent them is up to a heartbeat older than the last one that it got. */
static unsigned
count_in_touch (const struct hf_state *state, unsigned *known)
{
  int64_t fresh_us = (HF_PEER_TIMEOUT_MS - HF_HEARTBEAT_MS) * HF_MS * hf_roles_heartbeat_rounds (state);
  unsigned in_touch = 1;
  *known = 1;
  for (guint i = 0; i < state->members->len; i++)
    {
      const struct hf_member *member = g_ptr_array_index (state->members, i);
      if (member->leaving || !hf_roles_is_heartbeat_peer (state, member))
        continue;
      ++*known;
      in_touch += member->boot_id && state->now - member->last_heartbeat_at < fresh_us;
    }
  return in_touch;
}

/* Whether it is so long ago that no former granter's last requests are still under way, and that all
 * entries in touch agree on the granter. */
static bool
has_settled (const struct hf_state *state, int64_t since)
{
  return state->now - since >= HF_COLD_TAKEOVER_MS * HF_MS;
}

/* At most one granter is in touch with more than half of the entries, and beside it one with a quarter of them, or four
 * of these without it. One that has just got so far counts as one of the latter, beside the former granter. */
static unsigned
share_of_granter (const struct hf_state *state, struct hf_service_state *service)
{
  const struct hf_cold_limits *limits = &service->pool.cold;
  unsigned known;
  unsigned in_touch = count_in_touch (state, &known);
  if (in_touch * 2 <= known)
    {
      service->majority_since = 0;
      return in_touch * 4 >= known && has_settled (state, service->granter_since) ? limits->other_starts : 0;
    }
  if (service->majority_since == 0)
    service->majority_since = state->now;
  return has_settled (state, service->majority_since) ? limits->starts : limits->other_starts;
}

static void
update_pool (struct hf_state *state, struct hf_service_state *service)
{
  bool grants = !state->starting && hf_roles_slice_granter (state, service) == state->boot_id;
  if (!grants)
    {
      service->granter_since = 0;
      service->majority_since = 0;
      service->pool.cold.allowed = 0;
      return;
    }
  if (service->granter_since == 0)
    service->granter_since = state->now;
  service->pool.cold.allowed = share_of_granter (state, service);
}

/* --- internal functions: reports --- */

static struct hf_pool_server *
find_instance (struct hf_state *state, uint64_t id, uint64_t incarnation, struct hf_service_state **service)
{
  *service = g_hash_table_lookup (state->service_by_server, &id);
  struct hf_pool_server *server = *service ? hf_pool_find_server (&(*service)->pool, id) : NULL;
  bool is_limited = server && (*service)->pool.cold.enabled && server->incarnation == incarnation;
  return is_limited ? server : NULL;
}

static void
note_cold (struct hf_state *state,
           const struct hf_service_state *service,
           const struct hf_pool_server *server,
           int64_t remaining_ms)
{
  hf_state_log (state, HF_LOG_SERVER_COLD,
                "backend server " HF_STR_FMT " of " HF_STR_FMT " is cold for %d ms, as it says in a response",
                HF_STR_ARG (server->name), HF_STR_ARG (service->name), (int) remaining_ms);
  hf_cold_spread_note (state, server);
}

/* The granter counts the starts, so it has to know; it may hear only from others that the server is cold again. */
static void
tell_granter (struct hf_state *state,
              const struct hf_service_state *service,
              const struct hf_pool_server *server,
              int64_t remaining_ms)
{
  uint64_t granter = hf_roles_slice_granter (state, service);
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_NOTICE } };
  message.body.hf_rpc_body_u.notice = (struct hf_rpc_notice){
    .kind = HF_NOTICE_COLD, .subject = server->id, .id = server->incarnation, .hold_ms = (unsigned) remaining_ms
  };
  if (granter != state->boot_id)
    hf_state_send_to_member (state, granter, message);
}

/* --- public functions --- */

void
hf_cold_servers_configure (const struct hf_state *state, struct hf_pool *pool, const struct hf_service *spec)
{
  unsigned allowed = pool->cold.allowed;
  pool->cold = hf_cold_make_limits (spec->cold_requests_per_s, state->cold_overshoot, state->cold_slack,
                                    spec->cold_ms * HF_MS);
  pool->cold.allowed = MIN (allowed, pool->cold.starts);
}

void
hf_cold_servers_update (struct hf_state *state)
{
  GHashTableIter iter;
  struct hf_service_state *service;
  g_hash_table_iter_init (&iter, state->services);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &service))
    if (service->pool.cold.enabled)
      update_pool (state, service);
}

void
hf_cold_servers_handle_hints (struct hf_state *state, const struct hf_event *event)
{
  struct hf_service_state *service;
  struct hf_pool_server *server = find_instance (state, event->server, event->incarnation, &service);
  if (!server || !event->hints.tells_cold)
    return;
  bool was_cold = server->cold.until > state->now;
  hf_cold_record_response (&server->cold, state->now, event->hints.cold_ms * HF_MS);
  if (!was_cold && event->hints.cold_ms > 0)
    note_cold (state, service, server, event->hints.cold_ms);
  if (was_cold != (event->hints.cold_ms > 0))
    tell_granter (state, service, server, event->hints.cold_ms);
}

void
hf_cold_servers_handle_notice (struct hf_state *state, const struct hf_event *event)
{
  const struct hf_rpc_notice *notice = &event->peer.message->body.hf_rpc_body_u.notice;
  struct hf_service_state *service;
  if (notice->kind != HF_NOTICE_COLD || !hf_state_find_member (state, event->peer.message->boot_id))
    return;
  struct hf_pool_server *server = find_instance (state, notice->subject, notice->id, &service);
  int64_t remaining_ms = MIN (notice->hold_ms, HF_COLD_MAX_MS);
  if (!server)
    return;
  bool was_cold = server->cold.until > state->now;
  hf_cold_record_response (&server->cold, state->now, remaining_ms * HF_MS);
  if (!was_cold)
    hf_cold_spread_note (state, server);
}
