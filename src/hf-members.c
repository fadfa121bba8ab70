/* Membership among entries. */
#include "hf-members.h"

#include <string.h>

#include "hf-directory-sync.h"
#include "hf-roles.h"
#include "hf-slots.h"
#include "hf-config-sync.h"

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
forget_boot (struct hf_state *state, uint64_t boot)
{
  GHashTableIter iter;
  struct hf_service_state *service;
  g_hash_table_iter_init (&iter, state->services);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &service))
    hf_pool_forget (&service->pool, boot);
}

static void
lose_member (struct hf_state *state, struct hf_member *member)
{
  if (!member->alive)
    return;
  member->alive = false;
  state->roles.changed = true;
  hf_state_log (state, HF_LOG_MEMBER_LOST, "entry " HF_STR_FMT " is silent", HF_STR_ARG (member->name));
  forget_boot (state, member->boot);
  hf_members_beat (state, true);
}

/* A backend VM is leaving or back: marks its servers in every service. */
static void
mark_backend (struct hf_state *state, struct hf_str address, bool leaving)
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
        if (leaving)
          hf_state_note_leaving (state, service, server->id, HF_LEAVING_VM_LIST, 0, "the VM list");
        else
          hf_pool_set_leaving (&service->pool, server->id, HF_LEAVING_VM_LIST, false, 0);
      }
}

static void
backend_vm (struct hf_state *state, const struct hf_object *object, const struct hf_vm *vm)
{
  char *address = g_strndup (vm->address.data, vm->address.len);
  bool leaving = vm->leaving && object->type != HF_WATCH_DELETED;
  if (leaving)
    g_hash_table_add (state->vm_leaving, g_strdup (address));
  else
    g_hash_table_remove (state->vm_leaving, address);
  mark_backend (state, vm->address, leaving);
  g_free (address);
}

/* Lists this entry's requests in each backend server. */
static unsigned
list_loads (struct hf_state *state, struct hf_rpc_load *loads)
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
        struct hf_rpc_load *load = g_hash_table_lookup (counts, &attempt->server);
        if (!load && n < HF_RPC_LOADS_MAX)
          {
            load = &loads[n++];
            *load = (struct hf_rpc_load){ .server = attempt->server };
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
    for (unsigned i = 0; i < call->n_attempts && n < HF_RPC_IDS_MAX; i++)
      if (call->attempts[i].phase == HF_PHASE_RUNNING && call->attempts[i].granter == granter)
        tickets[n++] = hf_slots_ticket (call->id, i);
  return n;
}

/* Loads are the same for every member; they are listed once a beat. */
static void
beat_member (struct hf_state *state, const struct hf_member *member, bool sync, struct hf_rpc_load *loads, unsigned n)
{
  struct hf_rpc_message message = { .boot = state->boot, .body = { .kind = HF_RPC_HEARTBEAT } };
  struct hf_rpc_heartbeat *beat = &message.body.hf_rpc_body_u.heartbeat;
  beat->seq = state->seq;
  beat->failure_domain = hf_hash (state->failure_domain, 0);
  beat->cpu_percent = (unsigned) (state->cpu_share * PERCENT);
  beat->blind = state->directory.blind_until > state->now;
  beat->directory = state->relay.changed;
  beat->generation = state->document ? state->document->generation : 0;
  beat->digest = state->document ? state->document->digest : 0;
  beat->leaving = state->leaving;
  beat->sync = sync;
  beat->loads.loads_val = loads;
  beat->loads.loads_len = n;
  beat->grants.grants_val = hf_effects_alloc (state->out, HF_RPC_IDS_MAX * sizeof (uint64_t));
  if (member->boot)
    beat->grants.grants_len = list_grants (state, member->boot, beat->grants.grants_val);
  hf_state_send_to (state, member->address, message);
}

static void
beat_one (struct hf_state *state, const struct hf_member *member, bool sync)
{
  struct hf_rpc_load *loads = hf_effects_alloc (state->out, HF_RPC_LOADS_MAX * sizeof *loads);
  beat_member (state, member, sync, loads, list_loads (state, loads));
}

static unsigned
load_at (const struct hf_rpc_heartbeat *beat, uint64_t server)
{
  for (u_int i = 0; i < beat->loads.loads_len; i++)
    if (beat->loads.loads_val[i].server == server)
      return beat->loads.loads_val[i].count;
  return 0;
}

/* What the member had elsewhere in a service may have ended since the last beat. */
static void
refresh_service (struct hf_state *state,
                 struct hf_service_state *service,
                 const struct hf_member *member,
                 const struct hf_rpc_heartbeat *beat)
{
  struct hf_pool *pool = &service->pool;
  if (g_hash_table_size (pool->records) > 0)
    hf_pool_reconcile (pool, state->now, member->boot, beat->grants.grants_val, beat->grants.grants_len);
  for (size_t i = 0; g_hash_table_size (pool->foreign) > 0 && i < pool->servers->len; i++)
    {
      uint64_t id = g_array_index (pool->servers, struct hf_pool_server, i).id;
      hf_pool_set_foreign (pool, member->boot, id, load_at (beat, id));
    }
}

/* Only services that the beat names or that know of others' requests are looked at. */
static void
apply_loads (struct hf_state *state, const struct hf_member *member, const struct hf_rpc_heartbeat *beat)
{
  GHashTableIter iter;
  struct hf_service_state *service;
  g_hash_table_iter_init (&iter, state->services);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &service))
    refresh_service (state, service, member, beat);
  for (u_int i = 0; i < beat->loads.loads_len; i++)
    {
      const struct hf_rpc_load *load = &beat->loads.loads_val[i];
      service = g_hash_table_lookup (state->homes, &load->server);
      if (service)
        hf_pool_set_foreign (&service->pool, member->boot, load->server, load->count);
    }
}

/* --- public functions: look up --- */

struct hf_member *
hf_members_find (const struct hf_state *state, uint64_t boot)
{
  for (size_t i = 0; boot && i < state->members->len; i++)
    if (member_at (state, i)->boot == boot)
      return member_at (state, i);
  return NULL;
}

uint64_t
hf_members_owner (const struct hf_state *state, uint64_t subject)
{
  return hf_roles_granter (state, subject);
}

bool
hf_members_own (const struct hf_state *state, uint64_t subject)
{
  return hf_members_owner (state, subject) == state->boot;
}

size_t
hf_members_alive (const struct hf_state *state)
{
  size_t n = 1;
  for (size_t i = 0; i < state->members->len; i++)
    n += member_at (state, i)->alive;
  return n;
}

int64_t
hf_members_stretch (const struct hf_state *state)
{
  int64_t n = 1;
  for (size_t i = 0; i < state->members->len; i++)
    n += !member_at (state, i)->silent;
  return CLAMP (n / HF_HEARTBEAT_MEMBERS, 1, HF_HEARTBEAT_STRETCH_MAX);
}

/* --- public functions: events --- */

void
hf_members_beat (struct hf_state *state, bool sync)
{
  struct hf_rpc_load *loads = hf_effects_alloc (state->out, HF_RPC_LOADS_MAX * sizeof *loads);
  unsigned n = list_loads (state, loads);
  state->seq++;
  /* A large fleet is told in turns: all at once would fill a small link. */
  uint64_t turns = (uint64_t) hf_members_stretch (state);
  for (size_t i = 0; i < state->members->len; i++)
    if (hf_roles_beats_with (state, member_at (state, i)) && (sync || i % turns == state->seq % turns))
      beat_member (state, member_at (state, i), sync || !member_at (state, i)->alive, loads, n);
}

void
hf_members_tell (struct hf_state *state)
{
  struct hf_rpc_load *loads = hf_effects_alloc (state->out, HF_RPC_LOADS_MAX * sizeof *loads);
  unsigned n = list_loads (state, loads);
  for (size_t i = 0; i < state->members->len; i++)
    if (member_at (state, i)->coordinates || member_at (state, i)->watches)
      beat_member (state, member_at (state, i), false, loads, n);
}

void
hf_members_note_sender (struct hf_state *state, const struct hf_event *event)
{
  uint64_t boot = event->peer.message->boot;
  struct hf_member *member = hf_members_find (state, boot) ? NULL : find_by_address (state, event->peer.address);
  if (!member)
    return;
  if (member->boot)
    forget_boot (state, member->boot);
  member->boot = boot;
}

void
hf_members_greet (struct hf_state *state)
{
  struct hf_rpc_load *loads = hf_effects_alloc (state->out, HF_RPC_LOADS_MAX * sizeof *loads);
  unsigned n = list_loads (state, loads);
  for (size_t i = 0; i < state->members->len; i++)
    if (hf_roles_beats_with (state, member_at (state, i)) && !member_at (state, i)->alive)
      beat_member (state, member_at (state, i), true, loads, n);
}

void
hf_members_heartbeat (struct hf_state *state, const struct hf_event *event)
{
  const struct hf_rpc_heartbeat *beat = &event->peer.message->body.hf_rpc_body_u.heartbeat;
  struct hf_member *member = find_by_address (state, event->peer.address);
  if (!member)
    member = add_member (state, event->peer.address, event->peer.address);
  bool is_new = member->boot != event->peer.message->boot;
  if (is_new && member->boot)
    forget_boot (state, member->boot);
  bool joined = is_new || !member->alive;
  bool left = beat->leaving && !member->leaving;
  member->boot = event->peer.message->boot;
  bool has_moved = member->failure_domain != beat->failure_domain || member->blind != beat->blind;
  state->roles.changed = state->roles.changed || joined || member->leaving != beat->leaving || has_moved;
  member->heard_at = state->now;
  member->alive = true;
  member->silent = false;
  member->blind = beat->blind;
  member->failure_domain = beat->failure_domain;
  member->cpu_share = (double) beat->cpu_percent / PERCENT;
  member->leaving = beat->leaving;
  member->generation = beat->generation;
  member->digest = beat->digest;
  if (joined)
    hf_state_log (state, HF_LOG_MEMBER_JOINED, "entry " HF_STR_FMT " at generation %" G_GUINT64_FORMAT,
                  HF_STR_ARG (member->name), (guint64) beat->generation);
  if (left)
    hf_state_log (state, HF_LOG_MEMBER_LEAVING, "entry " HF_STR_FMT " is leaving", HF_STR_ARG (member->name));
  apply_loads (state, member, beat);
  if (beat->sync || joined)
    beat_one (state, member, false);
  hf_sync_peer (state, member);
  hf_relay_heard (state, member, beat->directory);
}

void
hf_members_list (struct hf_state *state, const struct hf_listed_entry *entry)
{
  struct hf_str name = entry->name;
  struct hf_str address = entry->address;
  struct hf_member *member = find_by_name (state, name);
  if (hf_str_equal (name, state->name))
    return;
  if (entry->gone)
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
  state->roles.changed = true;
  if (member->boot)
    return;
  member->failure_domain = hf_hash (entry->failure_domain, 0);
  member->cpu_share = entry->cpu_share;
}

void
hf_members_vm (struct hf_state *state, const struct hf_object *object)
{
  struct hf_vm vm;
  struct hf_error error = { 0 };
  if (!hf_vm_read (object, &vm, &error))
    return;
  if (hf_str_equal (vm.role, hf_str ("entry")))
    hf_members_list (state, &(struct hf_listed_entry){ .name = object->name,
                                                       .address = vm.address,
                                                       .gone = object->type == HF_WATCH_DELETED });
  else
    backend_vm (state, object, &vm);
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

/* Heartbeats go between those that coordinate and all others only. */
static bool
is_overdue (const struct hf_state *state, struct hf_member *member)
{
  if (!hf_roles_beats_with (state, member))
    {
      member->due_since = 0;
      return false;
    }
  if (member->due_since == 0)
    member->due_since = state->now;
  int64_t since = MAX (member->heard_at, member->due_since);
  return state->now - since >= HF_PEER_TIMEOUT_MS * HF_MS * hf_members_stretch (state);
}

void
hf_members_expire (struct hf_state *state)
{
  for (size_t i = state->members->len; i-- > 0;)
    {
      struct hf_member *member = member_at (state, i);
      if (!is_overdue (state, member))
        continue;
      state->roles.changed = state->roles.changed || !member->silent;
      member->silent = true;
      lose_member (state, member);
      bool forgotten
          = state->external && state->now - MAX (member->heard_at, member->listed_at) > HF_PEER_FORGET_SEC * HF_SEC;
      if (!member->listed || forgotten)
        g_ptr_array_remove_index (state->members, (guint) i);
    }
}

void
hf_members_resume (struct hf_state *state)
{
  for (size_t i = 0; i < state->members->len; i++)
    {
      struct hf_member *member = member_at (state, i);
      member->heard_at = state->now;
      member->due_since = state->now;
      if (member->boot)
        forget_boot (state, member->boot);
    }
  hf_members_beat (state, true);
}
