/* State of an entry as text, JSON and metrics. */
#include "hf-dump.h"

#include <json-glib/json-glib.h>

#include "hf-affinity-sync.h"
#include "hf-members.h"
#include "hf-restrictions.h"
#include "hf-roles.h"

/* --- constants --- */

static const char *const ejection_names[] = {
  [HF_EJECTED_FAILURES] = "out (failures)",
  [HF_EJECTED_LATENCY] = "out (slow)",
  [HF_EJECTED_CONNECTION_LOST] = "out (connection broke)",
};

/* --- internal functions: names --- */

static const char *
draining_text (const struct hf_pool_server *server, gint64 now)
{
  if (!hf_health_is_draining (server, now))
    return "";
  if (server->drain_sources & HF_DRAIN_DOCUMENT)
    return "leaving (document)";
  if (server->drain_sources & HF_DRAIN_VM_LIST)
    return "leaving (VM list)";
  if (server->drain_sources & HF_DRAIN_REFUSAL)
    return "leaving (refusal)";
  if (server->drain_sources & HF_DRAIN_EVACUATED)
    return "evacuated";
  if (server->drain_sources & HF_DRAIN_LEAVING)
    return "leaving (its response)";
  return server->drain_sources & HF_DRAIN_HEALTH ? "leaving (health)" : "leaving (another entry)";
}

/* "in use", or why no or fewer requests are sent to the server. */
static const char *
server_state (const struct hf_pool *pool, const struct hf_pool_server *server, gint64 now)
{
  if (hf_health_is_draining (server, now))
    return draining_text (server, now);
  if (server->measurable_at > now)
    return "wants no requests";
  if (server->ejected_until > now)
    return ejection_names[server->ejection_reason];
  if (hf_cold_is_limited (&pool->cold, &server->cold, now))
    return "cold";
  return server->slow_start_slots < server->slots ? "ramping up" : "in use";
}

static int
compare_service (gconstpointer a, gconstpointer b)
{
  const struct hf_service_state *left = *(struct hf_service_state *const *) a;
  const struct hf_service_state *right = *(struct hf_service_state *const *) b;
  return g_strcmp0 (left->name.data, right->name.data);
}

static GPtrArray *
sort_services_by_name (const struct hf_state *state)
{
  GPtrArray *services = g_ptr_array_new ();
  GHashTableIter iter;
  void *service;
  g_hash_table_iter_init (&iter, state->services);
  while (g_hash_table_iter_next (&iter, NULL, &service))
    g_ptr_array_add (services, service);
  g_ptr_array_sort (services, compare_service);
  return services;
}

static const struct hf_pool_server *
get_server (const struct hf_service_state *service, size_t i)
{
  return &g_array_index (service->pool.servers, struct hf_pool_server, i);
}

static guint64
document_generation (const struct hf_state *state)
{
  return state->document ? state->document->generation : 0;
}

static const char *
granter_name (const struct hf_state *state, const struct hf_service_state *service)
{
  uint64_t owner = hf_roles_slice_granter (state, service);
  const struct hf_member *member = hf_state_find_member (state, owner);
  return member ? member->name.data : state->name.data;
}

/* --- internal functions: text --- */

static const char *const watch_mode_names[] = {
  [HF_WATCH_MODE_OFF] = "told by others",
  [HF_WATCH_MODE_PROBE] = "asking whether the platform answers",
  [HF_WATCH_MODE_ON] = "following the platform",
  [HF_WATCH_MODE_AWAIT] = "asking often whether the platform answers",
};

static void
append_roles (GString *text, const struct hf_state *state, gint64 now)
{
  const struct hf_directory *directory = &state->directory;
  g_string_append_printf (text, "duties:%s%s; %u entries grant slots\n",
                          state->roles.is_coordinator ? " coordinates" : "", state->roles.is_watcher ? " watches" : "",
                          state->roles.granters->len);
  if (state->external_store)
    g_string_append_printf (text,
                            "directory: %u servers in era %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT
                            " at revision %" G_GUINT64_FORMAT ", current %" G_GINT64_FORMAT " ms ago, %s\n",
                            g_hash_table_size (directory->servers), (guint64) directory->position.era,
                            (guint64) directory->era, (guint64) directory->position.revision,
                            (now - directory->confirmed_at) / 1000, watch_mode_names[state->directory_sync.watch_mode]);
}

static void
append_evacuations (GString *text, const struct hf_state *state)
{
  const struct hf_evacuations *evacuations = &state->evacuations;
  if (!state->follows_evacuations)
    return;
  g_string_append_printf (text, "evacuations: %zu in era %" G_GUINT64_FORMAT " at revision %" G_GUINT64_FORMAT "\n",
                          evacuations->in_force.n, (guint64) evacuations->position.era,
                          (guint64) evacuations->position.revision);
  for (size_t i = 0; i < evacuations->in_force.n; i++)
    {
      const char *name = g_hash_table_lookup (state->domain_names, &evacuations->in_force.domains[i]);
      g_string_append_printf (text, "  failure domain %s\n", name ? name : "of unknown name");
    }
}

static void
append_members (GString *text, const struct hf_state *state, gint64 now)
{
  g_string_append_printf (text, "members: %zu alive\n", hf_members_count_alive (state));
  for (guint i = 0; i < state->members->len; i++)
    {
      const struct hf_member *member = g_ptr_array_index (state->members, i);
      g_string_append_printf (text, "  %s %s %s%s generation %" G_GUINT64_FORMAT " heard %" G_GINT64_FORMAT " ms ago\n",
                              member->name.data, member->address.data,
                              member->timed_out ? "silent"
                              : member->alive   ? "alive"
                                                : "not heard",
                              member->leaving ? " leaving" : "", (guint64) member->generation,
                              member->boot_id ? (now - member->last_heartbeat_at) / 1000 : -1);
    }
}

static void
append_service (GString *text, const struct hf_state *state, const struct hf_service_state *service, gint64 now)
{
  const struct hf_pool *pool = &service->pool;
  g_string_append_printf (text,
                          "service %s: policy %s, granter %s, %u waiting, "
                          "retry tokens %.1f, probe tokens %u\n",
                          service->name.data, pool->policy->name, granter_name (state, service),
                          hf_pool_queue_length (pool), pool->retry_budget.tokens, service->probe_tokens);
  for (guint i = 0; i < pool->servers->len; i++)
    {
      const struct hf_pool_server *server = get_server (service, i);
      g_string_append_printf (text,
                              "  %s %s slots %u/%u used %u elsewhere %u "
                              "latency %.1f ms failures %.0f%% %s\n",
                              server->name.data, server->address.data, server->slow_start_slots, server->slots,
                              server->granted, server->remote_load, server->latency_us / 1000,
                              server->failure_rate * 100, server_state (pool, server, now));
    }
}

/* --- internal functions: JSON --- */

static void
json_add_str (JsonBuilder *builder, const char *name, const char *value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, value);
}

static void
json_add_int (JsonBuilder *builder, const char *name, gint64 value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_int_value (builder, value);
}

static void
json_add_double (JsonBuilder *builder, const char *name, double value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_double_value (builder, value);
}

static void
json_add_members (JsonBuilder *builder, const struct hf_state *state, gint64 now)
{
  json_builder_set_member_name (builder, "members");
  json_builder_begin_array (builder);
  for (guint i = 0; i < state->members->len; i++)
    {
      const struct hf_member *member = g_ptr_array_index (state->members, i);
      json_builder_begin_object (builder);
      json_add_str (builder, "name", member->name.data);
      json_add_str (builder, "address", member->address.data);
      json_add_str (builder, "state", !member->alive ? "silent" : member->leaving ? "leaving" : "alive");
      json_add_int (builder, "generation", (gint64) member->generation);
      json_add_int (builder, "heard_ms_ago", member->boot_id ? (now - member->last_heartbeat_at) / 1000 : -1);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
}

static void
json_add_servers (JsonBuilder *builder, const struct hf_service_state *service, gint64 now)
{
  json_builder_set_member_name (builder, "servers");
  json_builder_begin_array (builder);
  for (guint i = 0; i < service->pool.servers->len; i++)
    {
      const struct hf_pool_server *server = get_server (service, i);
      json_builder_begin_object (builder);
      json_add_str (builder, "name", server->name.data);
      json_add_str (builder, "state", server_state (&service->pool, server, now));
      json_add_int (builder, "slots", server->slots);
      json_add_int (builder, "used", server->granted);
      json_add_int (builder, "used_elsewhere", server->remote_load);
      json_add_double (builder, "latency_ms", server->latency_us / 1000);
      json_add_double (builder, "failure_share", server->failure_rate);
      json_add_int (builder, "answered_ms_ago",
                    server->last_response_at ? (now - server->last_response_at) / 1000 : -1);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
}

static void
json_add_service (JsonBuilder *builder,
                  const struct hf_state *state,
                  const struct hf_service_state *service,
                  gint64 now)
{
  const struct hf_pool *pool = &service->pool;
  json_builder_begin_object (builder);
  json_add_str (builder, "name", service->name.data);
  json_add_str (builder, "policy", pool->policy->name);
  json_add_str (builder, "granter", granter_name (state, service));
  json_builder_set_member_name (builder, "granter_silent");
  json_builder_add_boolean_value (builder, service->granter_bypassed_until > now);
  json_add_int (builder, "waiting", hf_pool_queue_length (pool));
  json_add_int (builder, "refused_queue_full", (gint64) pool->refused[HF_REFUSAL_QUEUE_FULL]);
  json_add_int (builder, "refused_deadline", (gint64) pool->refused[HF_REFUSAL_DEADLINE]);
  json_add_int (builder, "refused_no_server", (gint64) pool->refused[HF_REFUSAL_NO_SERVER]);
  json_add_int (builder, "refused_retry_budget", (gint64) pool->refused[HF_REFUSAL_RETRY_BUDGET]);
  json_add_int (builder, "refused_pushback", (gint64) pool->refused[HF_REFUSAL_PUSHBACK]);
  json_add_double (builder, "retry_tokens", pool->retry_budget.tokens);
  json_add_int (builder, "probe_tokens", service->probe_tokens);
  json_add_servers (builder, service, now);
  json_builder_end_object (builder);
}

/* --- public functions --- */

char *
hf_dump_text (const struct hf_state *state, gint64 now)
{
  GString *text = g_string_new (NULL);
  GPtrArray *services = sort_services_by_name (state);
  g_string_append_printf (text, "entry %s in %s: boot %016" G_GINT64_MODIFIER "x%s\n", state->name.data,
                          state->failure_domain.data, (guint64) state->boot_id, state->leaving ? ", leaving" : "");
  g_string_append_printf (text,
                          "configuration: generation %" G_GUINT64_FORMAT ", in the platform %" G_GUINT64_FORMAT "\n",
                          document_generation (state), (guint64) state->config_stored_generation);
  g_string_append_printf (
      text, "platform: %s, config heard %" G_GINT64_FORMAT " ms ago, VM list heard %" G_GINT64_FORMAT " ms ago\n",
      state->platform_reachable ? "reachable" : "not reachable",
      (now - state->watches[HF_PURPOSE_CONFIG].last_event_at) / 1000,
      (now - state->watches[HF_PURPOSE_VMS].last_event_at) / 1000);
  g_string_append_printf (text, "calls in flight: %u, claims known: %u, requests under suspicion: %u\n",
                          g_hash_table_size (state->calls), g_hash_table_size (state->claims),
                          g_hash_table_size (state->suspects));
  if (state->revoke_us > 0)
    g_string_append_printf (text,
                            "keys: configuration confirmed %" G_GINT64_FORMAT
                            " ms ago, keys accepted for %" G_GINT64_FORMAT " ms after that\n",
                            (now - state->config_confirmed_at) / 1000, state->revoke_us / 1000);
  append_roles (text, state, now);
  append_evacuations (text, state);
  append_members (text, state, now);
  hf_restrictions_write (state, now, text);
  for (guint i = 0; i < services->len; i++)
    append_service (text, state, g_ptr_array_index (services, i), now);
  for (int i = 0; i < HF_COUNTERS; i++)
    g_string_append_printf (text, "%s %" G_GUINT64_FORMAT "\n", hf_counter_names[i], (guint64) state->counters[i]);
  g_ptr_array_unref (services);
  hf_latency_write (&state->latency, text);
  return g_string_free (text, FALSE);
}

char *
hf_dump_json (const struct hf_state *state, gint64 now)
{
  JsonBuilder *builder = json_builder_new ();
  GPtrArray *services = sort_services_by_name (state);
  json_builder_begin_object (builder);
  json_add_str (builder, "name", state->name.data);
  json_add_str (builder, "failure_domain", state->failure_domain.data);
  json_add_str (builder, "state", state->leaving ? "leaving" : "alive");
  json_add_int (builder, "generation", (gint64) document_generation (state));
  json_add_int (builder, "generation_in_platform", (gint64) state->config_stored_generation);
  json_builder_set_member_name (builder, "platform_reachable");
  json_builder_add_boolean_value (builder, state->platform_reachable);
  json_add_int (builder, "config_heard_ms_ago", (now - state->watches[HF_PURPOSE_CONFIG].last_event_at) / 1000);
  json_add_int (builder, "vm_list_heard_ms_ago", (now - state->watches[HF_PURPOSE_VMS].last_event_at) / 1000);
  json_add_int (builder, "calls_in_flight", g_hash_table_size (state->calls));
  json_add_members (builder, state, now);
  json_builder_set_member_name (builder, "services");
  json_builder_begin_array (builder);
  for (guint i = 0; i < services->len; i++)
    json_add_service (builder, state, g_ptr_array_index (services, i), now);
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  JsonNode *root = json_builder_get_root (builder);
  char *json = json_to_string (root, FALSE);
  json_node_unref (root);
  g_object_unref (builder);
  g_ptr_array_unref (services);
  return json;
}

static void
append_traffic (GString *text, const struct hf_traffic *traffic)
{
  g_string_append (text, "# TYPE hickoryfield_bytes_total counter\n");
  for (int kind = 0; kind < HF_TRAFFIC_KINDS; kind++)
    for (int crossing = 0; crossing < 2; crossing++)
      g_string_append_printf (text, "hickoryfield_bytes_total{kind=\"%s\",crossing=\"%s\"} %" G_GUINT64_FORMAT "\n",
                              hf_traffic_names[kind], crossing ? "yes" : "no",
                              (guint64) traffic->bytes[kind][crossing]);
}

static void
append_affinity (GString *text, const struct hf_state *state)
{
  g_string_append_printf (text, "# TYPE hickoryfield_domain_affinity gauge\nhickoryfield_domain_affinity %d\n",
                          hf_affinity_is_on (&state->affinity));
  g_string_append_printf (text,
                          "# TYPE hickoryfield_domain_rtt_us gauge\nhickoryfield_domain_rtt_us %" G_GINT64_FORMAT "\n",
                          hf_affinity_sync_rtt_us (state));
}

char *
hf_dump_metrics (const struct hf_state *state, gint64 now)
{
  GString *text = g_string_new (NULL);
  for (int i = 0; i < HF_COUNTERS; i++)
    g_string_append_printf (text, "# TYPE hickoryfield_%s counter\nhickoryfield_%s %" G_GUINT64_FORMAT "\n",
                            hf_counter_names[i], hf_counter_names[i], (guint64) state->counters[i]);
  append_traffic (text, &state->traffic);
  append_affinity (text, state);
  g_string_append_printf (text,
                          "# TYPE hickoryfield_generation "
                          "gauge\nhickoryfield_generation %" G_GUINT64_FORMAT "\n",
                          document_generation (state));
  g_string_append_printf (text,
                          "# TYPE hickoryfield_members_alive "
                          "gauge\nhickoryfield_members_alive %zu\n",
                          hf_members_count_alive (state));
  g_string_append_printf (text,
                          "# TYPE hickoryfield_calls_in_flight "
                          "gauge\nhickoryfield_calls_in_flight %u\n",
                          g_hash_table_size (state->calls));
  g_string_append_printf (text,
                          "# TYPE hickoryfield_platform_reachable "
                          "gauge\nhickoryfield_platform_reachable %d\n",
                          state->platform_reachable);
  hf_organisation_counts_write (&state->organisation_counts, text);
  g_string_append_printf (text,
                          "# TYPE hickoryfield_evacuated_domains "
                          "gauge\nhickoryfield_evacuated_domains %zu\n",
                          state->evacuations.in_force.n);
  GPtrArray *services = sort_services_by_name (state);
  for (guint i = 0; i < services->len; i++)
    {
      const struct hf_service_state *service = g_ptr_array_index (services, i);
      unsigned ejected = 0;
      unsigned cold = 0;
      for (guint s = 0; s < service->pool.servers->len; s++)
        {
          ejected += get_server (service, s)->ejected_until > now;
          cold += hf_cold_is_limited (&service->pool.cold, &get_server (service, s)->cold, now);
        }
      g_string_append_printf (text, "hickoryfield_waiting{service=\"%s\"} %u\n", service->name.data,
                              hf_pool_queue_length (&service->pool));
      g_string_append_printf (text, "hickoryfield_servers_out{service=\"%s\"} %u\n", service->name.data, ejected);
      if (service->pool.cold.enabled)
        g_string_append_printf (text,
                                "hickoryfield_servers_cold{service=\"%s\"} %u\n"
                                "hickoryfield_cold_starts_allowed{service=\"%s\"} %u\n",
                                service->name.data, cold, service->name.data, service->pool.cold.allowed);
      g_string_append_printf (text, "hickoryfield_retry_tokens{service=\"%s\"} %.1f\n", service->name.data,
                              service->pool.retry_budget.tokens);
    }
  g_ptr_array_unref (services);
  return g_string_free (text, FALSE);
}
