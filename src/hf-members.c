/* Membership among entries: heartbeats, the VM list, and loads reported by other entries. */
#include "hf-members.h"

#include <string.h>

#include "hf-affinity-sync.h"
#include "hf-cold-spread.h"
#include "hf-evacuation-sync.h"
#include "hf-roles.h"
#include "hf-wire.h"

/* --- constants --- */

#define PERCENT 100

/* --- internal functions --- */

static struct hf_member *
member_at (const struct hf_state *state, size_t i)
{
  return g_ptr_array_index (state->members, i);
}

static struct hf_member *
find_by_address (const struct hf_state *state, struct hf_str address)
{
  for (size_t i = 0; i < state->members->len; i++)
    if (hf_str_equal (member_at (state, i)->address, address))
      return member_at (state, i);
  return NULL;
}

static struct hf_member *
find_by_name (const struct hf_state *state, struct hf_str name)
{
  for (size_t i = 0; i < state->members->len; i++)
    if (hf_str_equal (member_at (state, i)->name, name))
      return member_at (state, i);
  return NULL;
}

static struct hf_member *
add_member (struct hf_state *state, struct hf_str name, struct hf_str address)
{
  struct hf_member *member = g_new0 (struct hf_member, 1);
  member->name = hf_str_dup (name);
  member->address = hf_str_dup (address);
  g_ptr_array_add (state->members, member);
  return member;
}

static void
remove_entry_from_pools (struct hf_state *state, uint64_t boot_id)
{
  GHashTableIter iter;
  struct hf_service_state *service;
  g_hash_table_iter_init (&iter, state->services);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &service))
    hf_pool_remove_entry (&service->pool, boot_id);
}

static void
mark_lost (struct hf_state *state, struct hf_member *member)
{
  if (!member->alive)
    return;
  member->alive = false;
  state->roles.update_pending = true;
  hf_state_log (state, HF_LOG_MEMBER_LOST, "entry " HF_STR_FMT " sent no heartbeat in time; removing it from all pools",
                HF_STR_ARG (member->name));
  remove_entry_from_pools (state, member->boot_id);
  hf_members_send_heartbeats (state, true);
}

/* Marks the servers of a backend VM in every service as draining or as no longer draining. */
static void
mark_backend_servers (struct hf_state *state, struct hf_str address, bool draining)
{
  GHashTableIter iter;
  struct hf_service_state *service;
  g_hash_table_iter_init (&iter, state->services);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &service))
    for (size_t i = 0; i < service->pool.servers->len; i++)
      {
        struct hf_pool_server *server = &g_array_index (service->pool.servers, struct hf_pool_server, i);
        if (!hf_str_equal (server->address, address))
          continue;
        if (draining)
          hf_state_mark_draining (state, service, server->id, HF_DRAIN_VM_LIST, 0, "the VM list");
        else
          hf_pool_set_draining (&service->pool, server->id, HF_DRAIN_VM_LIST, false, 0);
      }
}

static void
update_backend_vm (struct hf_state *state, const struct hf_object *object, const struct hf_vm *vm)
{
  char *address = g_strndup (vm->address.data, vm->address.len);
  bool draining = vm->draining && object->event_type != HF_WATCH_DELETED;
  if (draining)
    g_hash_table_add (state->draining_vms, g_strdup (address));
  else
    g_hash_table_remove (state->draining_vms, address);
  mark_backend_servers (state, vm->address, draining);
  g_free (address);
}

/* Counts this entry's running attempts at each backend server. Returns the number of servers listed. */
static unsigned
list_loads (struct hf_state *state, struct hf_rpc_server_load *loads)
{
  GHashTable *counts = g_hash_table_new (g_int64_hash, g_int64_equal);
  GHashTableIter iter;
  struct hf_call *call;
  unsigned n = 0;
  g_hash_table_iter_init (&iter, state->calls);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &call))
    for (unsigned i = 0; i < call->n_attempts; i++)
      {
        const struct hf_attempt *attempt = &call->attempts[i];
        if (attempt->phase != HF_PHASE_RUNNING)
          continue;
        struct hf_rpc_server_load *load = g_hash_table_lookup (counts, &attempt->server);
        if (!load && n < HF_RPC_LOADS_MAX)
          {
            load = &loads[n++];
            *load = (struct hf_rpc_server_load){ .server = attempt->server };
            g_hash_table_insert (counts, &load->server, load);
          }
        if (load)
          load->count++;
      }
  g_hash_table_destroy (counts);
  return n;
}

static unsigned
list_grants (struct hf_state *state, uint64_t granter, uint64_t *tickets)
{
  GHashTableIter iter;
  struct hf_call *call;
  unsigned n = 0;
  g_hash_table_iter_init (&iter, state->calls);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &call))
    for (unsigned i = 0; i < call->n_attempts && n < HF_RPC_GRANTS_MAX; i++)
      if (call->attempts[i].phase == HF_PHASE_RUNNING && call->attempts[i].granter == granter)
        tickets[n++] = hf_state_ticket (call->id, i);
  return n;
}

/* --- internal functions: coordinators of other failure domains --- */

/* Lists the coordinators of other failure domains that this entry knows to be alive. Returns how many. */
static unsigned
list_coordinators (const struct hf_state *state, hf_rpc_coordinator *list)
{
  unsigned n = 0;
  for (guint i = 0; i < state->members->len && n < HF_RPC_COORDINATORS_MAX; i++)
    {
      const struct hf_member *member = member_at (state, i);
      bool is_reported = member->is_coordinator && member->alive && !hf_state_is_in_own_domain (state, member);
      if (!is_reported || member->address.len > HF_RPC_NAME_MAX)
        continue;
      struct hf_str address = hf_effects_copy (state->effects, member->address);
      list[n++] = (hf_rpc_coordinator){ .boot_id = member->boot_id,
                                        .failure_domain = member->failure_domain,
                                        .address = { (u_int) address.len, (char *) address.data },
                                        .cpu_percent = (unsigned) (member->cpu_share * PERCENT),
                                        .silent_ms = (unsigned) ((state->now - member->last_heartbeat_at) / HF_MS),
                                        .platform_unreachable = member->platform_unreachable,
                                        .leaving = member->leaving,
                                        .starting = member->starting };
    }
  return n;
}

static void
fill_coordinators (const struct hf_state *state, const struct hf_member *member, struct hf_rpc_heartbeat *heartbeat)
{
  if (!hf_roles_reports_coordinators (state, member))
    return;
  hf_rpc_coordinator *list = hf_effects_alloc (state->effects, HF_RPC_COORDINATORS_MAX * sizeof *list);
  heartbeat->coordinators.coordinators_val = list;
  heartbeat->coordinators.coordinators_len = list_coordinators (state, list);
}

/* The report counts as a heartbeat that arrived when the sender of the report got it. */
static void
apply_coordinator (struct hf_state *state, const hf_rpc_coordinator *report)
{
  struct hf_str address = { report->address.address_val, report->address.address_len };
  int64_t heard_at = state->now - report->silent_ms * HF_MS;
  struct hf_member *member = find_by_address (state, address);
  if (!member)
    member = add_member (state, address, address);
  if (heard_at <= member->last_heartbeat_at)
    return;
  bool is_new = member->boot_id != report->boot_id;
  bool rank_changed = member->failure_domain != report->failure_domain || member->leaving != report->leaving
                      || member->platform_unreachable != report->platform_unreachable
                      || member->starting != report->starting;
  state->roles.update_pending = state->roles.update_pending || is_new || !member->alive || rank_changed;
  if (is_new && member->boot_id)
    remove_entry_from_pools (state, member->boot_id);
  member->boot_id = report->boot_id;
  member->last_heartbeat_at = heard_at;
  member->failure_domain = report->failure_domain;
  member->cpu_share = (double) report->cpu_percent / PERCENT;
  member->platform_unreachable = report->platform_unreachable;
  member->leaving = report->leaving;
  member->starting = report->starting;
  member->alive = true;
  member->timed_out = false;
}

/* Coordinators hear the others themselves. An outdated report of one that has timed out here does not bring it back. */
static void
apply_coordinators (struct hf_state *state, const struct hf_rpc_heartbeat *heartbeat)
{
  int64_t limit_ms = HF_PEER_TIMEOUT_MS * hf_roles_heartbeat_rounds (state);
  if (state->roles.is_coordinator)
    return;
  for (u_int i = 0; i < heartbeat->coordinators.coordinators_len; i++)
    if (heartbeat->coordinators.coordinators_val[i].silent_ms < limit_ms)
      apply_coordinator (state, &heartbeat->coordinators.coordinators_val[i]);
}

/* --- internal functions: heartbeats --- */

/* @loads is the same for every member, so the caller lists it once for all heartbeats of a round. */
static void
send_heartbeat (struct hf_state *state,
                const struct hf_member *member,
                bool wants_reply,
                struct hf_rpc_server_load *loads,
                unsigned n)
{
  struct hf_rpc_message message = { .boot_id = state->boot_id, .body = { .kind = HF_RPC_HEARTBEAT } };
  struct hf_rpc_heartbeat *heartbeat = &message.body.hf_rpc_body_u.heartbeat;
  heartbeat->seq = state->heartbeat_seq;
  heartbeat->failure_domain = hf_hash (state->failure_domain, 0);
  heartbeat->cpu_percent = (unsigned) (state->cpu_share * PERCENT);
  heartbeat->platform_unreachable = state->directory.platform_unreachable_until > state->now;
  heartbeat->directory_position = hf_wire_write_position (state->directory_sync.changed_position);
  heartbeat->generation = hf_state_generation (state);
  heartbeat->digest = state->document ? state->document->digest : 0;
  heartbeat->leaving = state->leaving;
  heartbeat->starting = state->starting;
  heartbeat->wants_reply = wants_reply;
  heartbeat->uptime_ms = (unsigned) MIN ((state->now - state->started_at) / HF_MS, G_MAXUINT32);
  hf_affinity_sync_fill (state, member, heartbeat);
  fill_coordinators (state, member, heartbeat);
  heartbeat->loads.loads_val = loads;
  heartbeat->loads.loads_len = n;
  heartbeat->grants.grants_val = hf_effects_alloc (state->effects, HF_RPC_GRANTS_MAX * sizeof (uint64_t));
  if (member->boot_id)
    heartbeat->grants.grants_len = list_grants (state, member->boot_id, heartbeat->grants.grants_val);
  hf_evacuation_sync_write (state, heartbeat);
  hf_cold_spread_write (state, heartbeat);
  hf_state_send_to_address (state, member->address, message);
}

static void
send_single_heartbeat (struct hf_state *state, const struct hf_member *member, bool wants_reply)
{
  struct hf_rpc_server_load *loads = hf_effects_alloc (state->effects, HF_RPC_LOADS_MAX * sizeof *loads);
  send_heartbeat (state, member, wants_reply, loads, list_loads (state, loads));
}

/* With domain affinity, an entry of another failure domain sends no heartbeats here. Its slot requests introduce it. */
static bool
introduces_sender (const struct hf_state *state, const struct hf_event *event)
{
  return hf_affinity_is_on (&state->affinity) && event->peer.message->body.kind == HF_RPC_ACQUIRE;
}

static struct hf_member *
add_sender (struct hf_state *state, const struct hf_event *event)
{
  struct hf_member *member = add_member (state, event->peer.address, event->peer.address);
  member->failure_domain = event->peer.message->body.hf_rpc_body_u.acquire.failure_domain;
  return member;
}

static unsigned
find_load (const struct hf_rpc_heartbeat *heartbeat, uint64_t server)
{
  for (u_int i = 0; i < heartbeat->loads.loads_len; i++)
    if (heartbeat->loads.loads_val[i].server == server)
      return heartbeat->loads.loads_val[i].count;
  return 0;
}

/* Reconciles a member's grants of one service and its loads there. A server that the heartbeat does not name has no
 * load of the member any more. */
static void
update_remote_load (struct hf_state *state,
                    struct hf_service_state *service,
                    const struct hf_member *member,
                    const struct hf_rpc_heartbeat *heartbeat)
{
  struct hf_pool *pool = &service->pool;
  if (g_hash_table_size (pool->grants) > 0)
    hf_pool_reconcile_grants (pool, state->now, member->boot_id, heartbeat->grants.grants_val,
                              heartbeat->grants.grants_len);
  for (size_t i = 0; g_hash_table_size (pool->remote_loads) > 0 && i < pool->servers->len; i++)
    {
      uint64_t id = g_array_index (pool->servers, struct hf_pool_server, i).id;
      hf_pool_set_remote_load (pool, member->boot_id, id, find_load (heartbeat, id));
    }
}

/* A pool without grants or loads of other entries needs no reconciliation; the servers that the heartbeat names are
 * updated in every case. */
static void
apply_loads (struct hf_state *state, const struct hf_member *member, const struct hf_rpc_heartbeat *heartbeat)
{
  GHashTableIter iter;
  struct hf_service_state *service;
  g_hash_table_iter_init (&iter, state->services);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &service))
    update_remote_load (state, service, member, heartbeat);
  for (u_int i = 0; i < heartbeat->loads.loads_len; i++)
    {
      const struct hf_rpc_server_load *load = &heartbeat->loads.loads_val[i];
      service = g_hash_table_lookup (state->service_by_server, &load->server);
      if (service)
        hf_pool_set_remote_load (&service->pool, member->boot_id, load->server, load->count);
    }
}

/* --- public functions: look up --- */

uint64_t
hf_members_owner (const struct hf_state *state, uint64_t subject)
{
  return hf_roles_granter (state, subject);
}

bool
hf_members_is_owner (const struct hf_state *state, uint64_t subject)
{
  return hf_members_owner (state, subject) == state->boot_id;
}

size_t
hf_members_count_alive (const struct hf_state *state)
{
  size_t n = 1;
  for (size_t i = 0; i < state->members->len; i++)
    n += member_at (state, i)->alive;
  return n;
}

/* --- public functions: events --- */

void
hf_members_send_heartbeats (struct hf_state *state, bool wants_reply)
{
  struct hf_rpc_server_load *loads = hf_effects_alloc (state->effects, HF_RPC_LOADS_MAX * sizeof *loads);
  unsigned n = list_loads (state, loads);
  state->heartbeat_seq++;
  /* A large fleet gets its heartbeats in several rounds: sent all together they would saturate a small link. */
  uint64_t rounds = (uint64_t) hf_roles_heartbeat_rounds (state);
  for (size_t i = 0; i < state->members->len; i++)
    if (hf_roles_is_heartbeat_peer (state, member_at (state, i))
        && (wants_reply || i % rounds == state->heartbeat_seq % rounds))
      send_heartbeat (state, member_at (state, i), wants_reply || !member_at (state, i)->alive, loads, n);
}

void
hf_members_announce (struct hf_state *state)
{
  struct hf_rpc_server_load *loads = hf_effects_alloc (state->effects, HF_RPC_LOADS_MAX * sizeof *loads);
  unsigned n = list_loads (state, loads);
  for (size_t i = 0; i < state->members->len; i++)
    if (hf_roles_is_heartbeat_peer (state, member_at (state, i)))
      send_heartbeat (state, member_at (state, i), false, loads, n);
}

void
hf_members_record_sender (struct hf_state *state, const struct hf_event *event)
{
  uint64_t boot_id = event->peer.message->boot_id;
  if (hf_state_find_member (state, boot_id))
    return;
  struct hf_member *member = find_by_address (state, event->peer.address);
  if (member && member->boot_id)
    remove_entry_from_pools (state, member->boot_id);
  if (!member && introduces_sender (state, event))
    member = add_sender (state, event);
  if (member)
    member->boot_id = boot_id;
}

void
hf_members_contact_new (struct hf_state *state)
{
  struct hf_rpc_server_load *loads = hf_effects_alloc (state->effects, HF_RPC_LOADS_MAX * sizeof *loads);
  unsigned n = list_loads (state, loads);
  for (size_t i = 0; i < state->members->len; i++)
    if (hf_roles_is_heartbeat_peer (state, member_at (state, i)) && !member_at (state, i)->alive)
      send_heartbeat (state, member_at (state, i), true, loads, n);
}

void
hf_members_handle_heartbeat (struct hf_state *state, const struct hf_event *event)
{
  const struct hf_rpc_heartbeat *heartbeat = &event->peer.message->body.hf_rpc_body_u.heartbeat;
  struct hf_member *member = find_by_address (state, event->peer.address);
  if (!member)
    member = add_member (state, event->peer.address, event->peer.address);
  bool is_new = member->boot_id != event->peer.message->boot_id;
  if (is_new && member->boot_id)
    remove_entry_from_pools (state, member->boot_id);
  bool joined = is_new || !member->alive;
  bool begins_leaving = heartbeat->leaving && !member->leaving;
  member->boot_id = event->peer.message->boot_id;
  bool rank_changed = member->failure_domain != heartbeat->failure_domain
                      || member->platform_unreachable != heartbeat->platform_unreachable
                      || member->starting != heartbeat->starting;
  state->roles.update_pending
      = state->roles.update_pending || joined || member->leaving != heartbeat->leaving || rank_changed;
  member->last_heartbeat_at = state->now;
  member->alive = true;
  member->timed_out = false;
  member->platform_unreachable = heartbeat->platform_unreachable;
  member->failure_domain = heartbeat->failure_domain;
  member->cpu_share = (double) heartbeat->cpu_percent / PERCENT;
  member->leaving = heartbeat->leaving;
  member->starting = heartbeat->starting;
  member->started_at = state->now - heartbeat->uptime_ms * HF_MS;
  member->generation = heartbeat->generation;
  member->digest = heartbeat->digest;
  if (joined)
    hf_state_log (state, HF_LOG_MEMBER_JOINED,
                  "entry " HF_STR_FMT " joined with configuration generation %" G_GUINT64_FORMAT,
                  HF_STR_ARG (member->name), (guint64) heartbeat->generation);
  if (begins_leaving)
    hf_state_log (state, HF_LOG_MEMBER_LEAVING, "entry " HF_STR_FMT " is leaving", HF_STR_ARG (member->name));
  hf_affinity_sync_handle (state, member, heartbeat);
  apply_coordinators (state, heartbeat);
  apply_loads (state, member, heartbeat);
  if (heartbeat->wants_reply || joined)
    send_single_heartbeat (state, member, false);
}

void
hf_members_update_entry (struct hf_state *state, const struct hf_listed_entry *entry)
{
  struct hf_str name = entry->name;
  struct hf_str address = entry->address;
  struct hf_member *member = find_by_name (state, name);
  if (hf_str_equal (name, state->name))
    return;
  if (entry->removed)
    {
      if (member)
        member->listed = false;
      return;
    }
  if (!member)
    member = find_by_address (state, address);
  if (!member)
    member = add_member (state, name, address);
  hf_str_free (&member->name);
  member->name = hf_str_dup (name);
  if (!hf_str_equal (member->address, address))
    {
      hf_str_free (&member->address);
      member->address = hf_str_dup (address);
    }
  member->listed = true;
  member->listed_at = state->now;
  member->stale = false;
  state->roles.update_pending = true;
  if (member->boot_id)
    return;
  member->failure_domain = hf_hash (entry->failure_domain, 0);
  member->cpu_share = entry->cpu_share;
}

void
hf_members_update_vm (struct hf_state *state, const struct hf_object *object)
{
  struct hf_vm vm;
  struct hf_error error = { 0 };
  if (!hf_vm_read (object, &vm, &error))
    return;
  if (hf_str_equal (vm.role, hf_str ("entry")))
    hf_members_update_entry (state, &(struct hf_listed_entry){ .name = object->name,
                                                               .address = vm.address,
                                                               .removed = object->event_type == HF_WATCH_DELETED });
  else
    update_backend_vm (state, object, &vm);
}

void
hf_members_begin_list (struct hf_state *state)
{
  for (size_t i = 0; i < state->members->len; i++)
    member_at (state, i)->stale = true;
}

void
hf_members_end_list (struct hf_state *state)
{
  for (size_t i = 0; i < state->members->len; i++)
    if (member_at (state, i)->stale)
      member_at (state, i)->listed = false;
}

/* Only heartbeats that are exchanged, or reported by coordinators, can be overdue. */
static bool
is_overdue (const struct hf_state *state, struct hf_member *member)
{
  if (!hf_roles_expects_heartbeats (state, member))
    {
      member->heartbeats_due_since = 0;
      return false;
    }
  if (member->heartbeats_due_since == 0)
    member->heartbeats_due_since = state->now;
  int64_t since = MAX (member->last_heartbeat_at, member->heartbeats_due_since);
  return state->now - since >= HF_PEER_TIMEOUT_MS * HF_MS * hf_roles_heartbeat_rounds (state);
}

/* A process that starts finds all objects of entries in the store, also those of machines that are gone. Where the
 * whole fleet was started at once, every machine that is left has been started with it and is heard soon. */
static bool
is_gone (const struct hf_state *state, const struct hf_member *member)
{
  if (!member->listed || !state->external_store)
    return !member->listed;
  bool was_heard = member->boot_id != 0;
  int64_t limit_us = !was_heard && hf_roles_is_restarted_fleet (state) ? HF_PEER_FORGET_UNHEARD_MS * HF_MS
                                                                       : HF_PEER_FORGET_SEC * HF_SEC;
  return state->now - MAX (member->last_heartbeat_at, member->listed_at) > limit_us;
}

void
hf_members_expire_silent (struct hf_state *state)
{
  for (size_t i = state->members->len; i-- > 0;)
    {
      struct hf_member *member = member_at (state, i);
      if (!is_overdue (state, member))
        continue;
      state->roles.update_pending = state->roles.update_pending || !member->timed_out;
      member->timed_out = true;
      mark_lost (state, member);
      if (!is_gone (state, member))
        continue;
      g_ptr_array_remove_index (state->members, (guint) i);
      state->roles.update_pending = true;
    }
}

void
hf_members_resume (struct hf_state *state)
{
  state->roles.resumed_at = state->now;
  for (size_t i = 0; i < state->members->len; i++)
    {
      struct hf_member *member = member_at (state, i);
      member->last_heartbeat_at = state->now;
      member->heartbeats_due_since = state->now;
      if (member->boot_id)
        remove_entry_from_pools (state, member->boot_id);
    }
  hf_members_send_heartbeats (state, true);
}
