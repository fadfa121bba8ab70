/* Requests that backend servers do not want from this entry. */
#include "hf-restrictions.h"

#include "hf-members.h"
#include "hf-quarantine.h"

/* --- types --- */

/* One run of a backend server; hash key. */
struct instance
{
  uint64_t server;
  uint64_t incarnation;
};

/* What one instance wants; its first member is its own key. */
struct restriction
{
  struct instance instance;
  int64_t listed_at;     /* when the instance was last known to be listed, or was heard */
  int64_t leaving_since; /* 0: it did not say that it leaves */
};

/* --- internal functions: table --- */

static guint
instance_hash (gconstpointer data)
{
  const struct instance *instance = data;
  return (guint) hf_hash_pair (instance->server, instance->incarnation);
}

static gboolean
instance_equal (gconstpointer a, gconstpointer b)
{
  const struct instance *left = a;
  const struct instance *right = b;
  return left->server == right->server && left->incarnation == right->incarnation;
}

static struct restriction *
find_or_add (struct hf_state *state, uint64_t server, uint64_t incarnation)
{
  struct instance instance = { server, incarnation };
  struct restriction *restriction = g_hash_table_lookup (state->restrictions, &instance);
  if (restriction)
    return restriction;
  restriction = g_new0 (struct restriction, 1);
  restriction->instance = instance;
  restriction->listed_at = state->now;
  g_hash_table_insert (state->restrictions, &restriction->instance, restriction);
  return restriction;
}

static struct hf_service_state *
find_service (const struct hf_state *state, uint64_t server)
{
  return g_hash_table_lookup (state->service_by_server, &server);
}

/* The listed server, if it is this instance; NULL: it is not listed, or another instance is. */
static struct hf_pool_server *
find_listed (const struct hf_state *state, const struct instance *instance)
{
  const struct hf_service_state *service = find_service (state, instance->server);
  struct hf_pool_server *server = service ? hf_pool_find_server (&service->pool, instance->server) : NULL;
  return server && server->incarnation == instance->incarnation ? server : NULL;
}

/* --- internal functions: notices --- */

static void
send_notice (struct hf_state *state, uint64_t granter, enum hf_notice_kind kind, const struct instance *instance)
{
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_NOTICE } };
  message.body.hf_rpc_body_u.notice
      = (struct hf_rpc_notice){ .kind = kind, .subject = instance->server, .id = instance->incarnation };
  hf_state_send_to_member (state, granter, message);
}

/* The entry that grants the slots of the server's service; 0: this entry does, or every entry by itself. */
static uint64_t
find_granter (const struct hf_state *state, uint64_t server)
{
  const struct hf_service_state *service = find_service (state, server);
  if (!service || service->pool.policy != &hf_policies[HF_POLICY_GRANTS])
    return 0;
  uint64_t owner = hf_members_owner (state, service->id);
  return owner == state->boot_id ? 0 : owner;
}

/* --- internal functions: leaving --- */

/* Returns true if it was not known. */
static bool
set_leaving (struct hf_state *state, const struct instance *instance, const char *reported_by)
{
  struct restriction *restriction = find_or_add (state, instance->server, instance->incarnation);
  if (restriction->leaving_since > 0)
    return false;
  restriction->leaving_since = state->now;
  if (find_listed (state, instance))
    hf_state_mark_draining (state, find_service (state, instance->server), instance->server, HF_DRAIN_LEAVING, 0,
                            reported_by);
  return true;
}

/* --- public functions --- */

void
hf_restrictions_init (struct hf_state *state)
{
  state->restrictions = g_hash_table_new_full (instance_hash, instance_equal, NULL, g_free);
}

void
hf_restrictions_close (struct hf_state *state)
{
  g_hash_table_destroy (state->restrictions);
}

void
hf_restrictions_handle_hints (struct hf_state *state, const struct hf_event *event)
{
  const struct instance instance = { event->server, event->incarnation };
  if (event->hints.leaving && set_leaving (state, &instance, "its own response"))
    send_notice (state, find_granter (state, event->server), HF_NOTICE_LEAVING, &instance);
}

void
hf_restrictions_handle_notice (struct hf_state *state, const struct hf_event *event)
{
  const struct hf_rpc_notice *notice = &event->peer.message->body.hf_rpc_body_u.notice;
  const struct instance instance = { notice->subject, notice->id };
  if (notice->kind == HF_NOTICE_LEAVING)
    set_leaving (state, &instance, "an entry that had its response");
}

void
hf_restrictions_apply (struct hf_state *state, struct hf_service_state *service, uint64_t server)
{
  const struct hf_pool_server *listed = hf_pool_find_server (&service->pool, server);
  struct instance instance = { server, listed ? listed->incarnation : 0 };
  struct restriction *restriction = g_hash_table_lookup (state->restrictions, &instance);
  if (!listed || !restriction)
    return;
  restriction->listed_at = state->now;
  if (restriction->leaving_since > 0)
    hf_pool_set_draining (&service->pool, server, HF_DRAIN_LEAVING, true, 0);
}

void
hf_restrictions_tell (struct hf_state *state, uint64_t granter, const struct hf_pool_server *server)
{
  const struct instance instance = { server->id, server->incarnation };
  if (server->drain_sources & HF_DRAIN_LEAVING)
    send_notice (state, granter, HF_NOTICE_LEAVING, &instance);
}

void
hf_restrictions_expire (struct hf_state *state)
{
  GHashTableIter iter;
  struct restriction *restriction;
  g_hash_table_iter_init (&iter, state->restrictions);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &restriction))
    if (find_listed (state, &restriction->instance))
      restriction->listed_at = state->now;
    else if (state->now - restriction->listed_at > HF_RESTRICTION_KEEP_SEC * HF_SEC)
      g_hash_table_iter_remove (&iter);
}
