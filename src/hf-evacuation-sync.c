/* Evacuations among the entries and in the pools. */
#include "hf-evacuation-sync.h"

#include <string.h>

#include "hf-wire.h"

/* --- constants --- */

#define NAMES_MAX      256 /* of failure domains that are remembered; backend servers report them */
#define NAME_BYTES_MAX 64  /* of a name in a log line */

/* --- internal functions: log --- */

/* Entries exchange only the hash of a name, which is written where the name is not known. */
static void
write_name (const struct hf_state *state, uint64_t domain, char text[NAME_BYTES_MAX])
{
  const char *name = g_hash_table_lookup (state->domain_names, &domain);
  if (name)
    g_strlcpy (text, name, NAME_BYTES_MAX);
  else
    g_snprintf (text, NAME_BYTES_MAX, "%016" G_GINT64_MODIFIER "x", (guint64) domain);
}

static void
log_change (struct hf_state *state, uint64_t domain, bool begins)
{
  char name[NAME_BYTES_MAX];
  write_name (state, domain, name);
  if (begins)
    hf_state_log (state, HF_LOG_EVACUATION_BEGUN,
                  "failure domain %s is evacuated; its backend servers get no new requests", name);
  else
    hf_state_log (state, HF_LOG_EVACUATION_ENDED,
                  "the evacuation of failure domain %s has ended; its backend servers are used again", name);
}

static void
log_changes (struct hf_state *state, const struct hf_evacuation_set *before)
{
  const struct hf_evacuation_set *now = &state->evacuations.in_force;
  for (size_t i = 0; i < before->n; i++)
    if (!hf_evacuation_set_contains (now, before->domains[i]))
      log_change (state, before->domains[i], false);
  for (size_t i = 0; i < now->n; i++)
    if (!hf_evacuation_set_contains (before, now->domains[i]))
      log_change (state, now->domains[i], true);
}

/* --- internal functions: pools --- */

static void
apply_to_server (const struct hf_state *state, struct hf_pool *pool, struct hf_pool_server *server)
{
  bool evacuated = hf_evacuations_contain (&state->evacuations, server->failure_domain);
  bool drains = (server->drain_sources & HF_DRAIN_EVACUATED) != 0;
  if (evacuated == drains)
    return;
  hf_pool_set_draining (pool, server->id, HF_DRAIN_EVACUATED, evacuated, 0);
  /* What it kept warm by requests has not been used since. */
  if (!evacuated)
    hf_cold_assume (&server->cold, state->now, pool->cold.cold_us);
}

static void
apply_to_pools (struct hf_state *state)
{
  GHashTableIter iter;
  struct hf_service_state *service;
  g_hash_table_iter_init (&iter, state->services);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &service))
    hf_evacuation_sync_apply_all (state, service);
}

/* @before: the set that was in force. */
static void
apply_change (struct hf_state *state, const struct hf_evacuation_set *before)
{
  log_changes (state, before);
  apply_to_pools (state);
}

/* --- public functions --- */

void
hf_evacuation_sync_note_name (struct hf_state *state, struct hf_str name)
{
  uint64_t domain = hf_hash (name, 0);
  bool is_known = name.len == 0 || g_hash_table_contains (state->domain_names, &domain);
  if (!is_known && g_hash_table_size (state->domain_names) < NAMES_MAX)
    g_hash_table_insert (state->domain_names, g_memdup2 (&domain, sizeof domain), g_strndup (name.data, name.len));
}

void
hf_evacuation_sync_handle_report (struct hf_state *state, const struct hf_event *event)
{
  struct hf_str name = event->evacuation.domain;
  hf_evacuation_sync_note_name (state, name);
  if (name.len == 0 || hf_evacuations_report (&state->evacuations, hf_hash (name, 0), event->evacuation.in_force))
    return;
  hf_state_log (state, HF_LOG_EVACUATION_IGNORED,
                "more than %d failure domains are to be evacuated; ignoring the order for " HF_STR_FMT,
                HF_EVACUATIONS_MAX, HF_STR_ARG (name));
}

bool
hf_evacuation_sync_handle_step (struct hf_state *state, const struct hf_event *event)
{
  const struct hf_evacuation_set before = state->evacuations.in_force;
  if (event->list_step == HF_LIST_BEGIN)
    hf_evacuations_begin_list (&state->evacuations);
  bool is_complete = event->list_step == HF_LIST_END || event->list_step == HF_LIST_PROGRESS;
  if (!is_complete || !hf_evacuations_end_step (&state->evacuations, event->position))
    return false;
  apply_change (state, &before);
  return true;
}

bool
hf_evacuation_sync_handle_heartbeat (struct hf_state *state, const struct hf_rpc_heartbeat *heartbeat)
{
  const struct hf_evacuation_set before = state->evacuations.in_force;
  struct hf_evacuation_set set = { .n = MIN (heartbeat->evacuated.evacuated_len, HF_EVACUATIONS_MAX) };
  for (size_t i = 0; i < set.n; i++)
    set.domains[i] = heartbeat->evacuated.evacuated_val[i];
  struct hf_store_position position = hf_wire_read_position (heartbeat->evacuations_position);
  bool takes_sets = state->follows_evacuations && state->external_store;
  if (!takes_sets || !hf_evacuations_merge (&state->evacuations, &set, position))
    return false;
  apply_change (state, &before);
  return true;
}

void
hf_evacuation_sync_write (struct hf_state *state, struct hf_rpc_heartbeat *heartbeat)
{
  const struct hf_evacuation_set *set = &state->evacuations.in_force;
  heartbeat->evacuations_position = hf_wire_write_position (state->evacuations.position);
  heartbeat->evacuated.evacuated_len = (u_int) set->n;
  if (set->n == 0)
    return;
  heartbeat->evacuated.evacuated_val = hf_effects_alloc (state->effects, set->n * sizeof set->domains[0]);
  memcpy (heartbeat->evacuated.evacuated_val, set->domains, set->n * sizeof set->domains[0]);
}

void
hf_evacuation_sync_apply (const struct hf_state *state, struct hf_service_state *service, uint64_t server)
{
  struct hf_pool_server *known = hf_pool_find_server (&service->pool, server);
  if (known)
    apply_to_server (state, &service->pool, known);
}

void
hf_evacuation_sync_apply_all (const struct hf_state *state, struct hf_service_state *service)
{
  for (guint i = 0; i < service->pool.servers->len; i++)
    apply_to_server (state, &service->pool, &g_array_index (service->pool.servers, struct hf_pool_server, i));
}
