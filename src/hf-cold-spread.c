/* Cold backend servers in heartbeats. */
#include "hf-cold-spread.h"

#include <string.h>

/* --- internal functions --- */

static unsigned
append_cold (const struct hf_state *state, const struct hf_pool *pool, struct hf_rpc_cold_server *list, unsigned n)
{
  for (guint i = 0; i < pool->servers->len && n < HF_RPC_COLD_MAX; i++)
    {
      const struct hf_pool_server *server = &g_array_index (pool->servers, struct hf_pool_server, i);
      if (!hf_cold_is_known_here_only (&server->cold, state->now))
        continue;
      int64_t remaining_ms = (server->cold.until - state->now) / HF_MS;
      list[n++] = (struct hf_rpc_cold_server){ .server = server->id, .remaining_ms = (unsigned) remaining_ms };
    }
  return n;
}

/* --- public functions --- */

void
hf_cold_spread_write (struct hf_state *state, struct hf_rpc_heartbeat *heartbeat)
{
  struct hf_rpc_cold_server list[HF_RPC_COLD_MAX];
  GHashTableIter iter;
  const struct hf_service_state *service;
  unsigned n = 0;
  g_hash_table_iter_init (&iter, state->services);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &service))
    if (service->pool.cold.enabled)
      n = append_cold (state, &service->pool, list, n);
  heartbeat->cold.cold_len = n;
  if (n == 0)
    return;
  heartbeat->cold.cold_val = hf_effects_alloc (state->effects, n * sizeof list[0]);
  memcpy (heartbeat->cold.cold_val, list, n * sizeof list[0]);
}

void
hf_cold_spread_handle_heartbeat (struct hf_state *state, const struct hf_rpc_heartbeat *heartbeat)
{
  for (u_int i = 0; i < heartbeat->cold.cold_len; i++)
    {
      const struct hf_rpc_cold_server *cold = &heartbeat->cold.cold_val[i];
      struct hf_service_state *service = g_hash_table_lookup (state->service_by_server, &cold->server);
      struct hf_pool_server *server = service ? hf_pool_find_server (&service->pool, cold->server) : NULL;
      if (server && service->pool.cold.enabled)
        hf_cold_assume (&server->cold, state->now, MIN (cold->remaining_ms, HF_COLD_MAX_MS) * HF_MS);
    }
}

void
hf_cold_spread_note (struct hf_state *state, const struct hf_pool_server *server)
{
  state->cold_announcement_pending
      = state->cold_announcement_pending || hf_cold_is_known_here_only (&server->cold, state->now);
}

bool
hf_cold_spread_is_announcement_due (struct hf_state *state)
{
  bool too_early = state->cold_announced_at > 0 && state->now - state->cold_announced_at < HF_COLD_ANNOUNCE_MS * HF_MS;
  if (!state->cold_announcement_pending || too_early)
    return false;
  state->cold_announcement_pending = false;
  state->cold_announced_at = state->now;
  return true;
}
