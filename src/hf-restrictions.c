/* Requests that backend servers do not want from this entry. */
#include "hf-restrictions.h"

#include "hf-roles.h"
#include "hf-placement.h"
#include "hf-quarantine.h"

/* --- constants --- */

#define SOURCE_BYTES_MAX 160 /* of a text that names a request */

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
  int64_t listed_at;      /* when the instance was last known to be listed, or was heard */
  int64_t leaving_since;  /* 0: it did not say that it leaves */
  int64_t pushed_back_at; /* when it last said so */
  bool logged_invalid;    /* an invalid Retry-After was logged */
  int64_t resume_at;      /* it wants no requests from this entry before then; 0: it never said so */
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
send_notice (struct hf_state *state,
             uint64_t granter,
             enum hf_notice_kind kind,
             const struct instance *instance,
             int64_t hold_us)
{
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_NOTICE } };
  message.body.hf_rpc_body_u.notice = (struct hf_rpc_notice){
    .kind = kind, .subject = instance->server, .id = instance->incarnation, .hold_ms = (unsigned) (hold_us / HF_MS)
  };
  hf_state_send_to_member (state, granter, message);
}

/* The entry that grants the slots of the server's service; 0: this entry does, or every entry by itself. */
static uint64_t
find_granter (const struct hf_state *state, uint64_t server)
{
  const struct hf_service_state *service = find_service (state, server);
  if (!service || service->pool.policy != &hf_policies[HF_POLICY_GRANTS])
    return 0;
  uint64_t owner = hf_roles_slice_granter (state, service);
  return owner == state->boot_id ? 0 : owner;
}

/* --- internal functions: leaving --- */

/* Names the response that told something; without a request id it was that of a measurement. */
static void
name_source (const struct hf_event *event, char source[SOURCE_BYTES_MAX])
{
  const struct hf_str *id = &event->request.id;
  if (id->len > 0)
    g_snprintf (source, SOURCE_BYTES_MAX, "its own response to request " HF_STR_FMT, HF_STR_ARG (*id));
  else
    g_strlcpy (source, "its own response", SOURCE_BYTES_MAX);
}

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

static void
handle_leaving (struct hf_state *state, const struct instance *instance, const struct hf_event *event)
{
  char source[SOURCE_BYTES_MAX];
  name_source (event, source);
  if (!set_leaving (state, instance, source))
    return;
  hf_state_increment (state, HF_COUNT_SERVERS_LEAVING);
  send_notice (state, find_granter (state, instance->server), HF_NOTICE_LEAVING, instance, 0);
}

/* --- internal functions: pushback --- */

static void
apply_pushback (struct hf_pool_server *server, uint64_t entry, int64_t until)
{
  hf_pushback_set (&server->pushbacks, entry, until);
  server->measurable_at = MAX (server->measurable_at, until);
}

/* The entries that a server pushes back at the same time return at different times. */
static int64_t
pushback_us (struct hf_state *state, int64_t retry_after_ms)
{
  int64_t ms = MIN (retry_after_ms, HF_RETRY_AFTER_MAX_SEC * 1000);
  int64_t spread_ms = MIN (ms, HF_PUSHBACK_SPREAD_MS);
  return ms * HF_MS + (int64_t) (hf_random_next (&state->random_state) % (uint64_t) (spread_ms * HF_MS + 1));
}

static void
log_pushback (struct hf_state *state,
              const struct hf_pool_server *server,
              const struct hf_event *event,
              int64_t resume_at)
{
  char source[SOURCE_BYTES_MAX];
  name_source (event, source);
  hf_state_log (state, HF_LOG_SERVER_PUSHBACK,
                "backend server " HF_STR_FMT " of " HF_STR_FMT " wants no requests of this entry for %d ms, said in %s",
                HF_STR_ARG (server->name), HF_STR_ARG (find_service (state, server->id)->name),
                (int) ((resume_at - state->now) / HF_MS), source);
}

static void
set_pushback (struct hf_state *state, const struct instance *instance, const struct hf_event *event)
{
  struct restriction *restriction = find_or_add (state, instance->server, instance->incarnation);
  struct hf_pool_server *server = find_listed (state, instance);
  bool in_force = restriction->resume_at > state->now;
  restriction->pushed_back_at = state->now;
  hf_state_increment (state, HF_COUNT_PUSHBACKS);
  restriction->resume_at = MAX (restriction->resume_at, state->now + pushback_us (state, event->hints.retry_after_ms));
  if (!server)
    return;
  apply_pushback (server, state->boot_id, restriction->resume_at);
  send_notice (state, find_granter (state, server->id), HF_NOTICE_PUSHBACK, instance,
               restriction->resume_at - state->now);
  if (!in_force)
    log_pushback (state, server, event, restriction->resume_at);
}

static void
handle_invalid_retry_after (struct hf_state *state, const struct instance *instance)
{
  const struct hf_pool_server *server = find_listed (state, instance);
  struct restriction *restriction = find_or_add (state, instance->server, instance->incarnation);
  hf_state_increment (state, HF_COUNT_RETRY_AFTER_INVALID);
  if (!restriction->logged_invalid && server)
    hf_state_log (state, HF_LOG_RETRY_AFTER_INVALID,
                  "backend server " HF_STR_FMT " sends a Retry-After that is neither seconds nor a date; ignoring it",
                  HF_STR_ARG (server->name));
  restriction->logged_invalid = true;
}

/* The sender of the notice must get no slots there for that time. */
static void
handle_pushback_notice (struct hf_state *state, uint64_t sender, const struct hf_rpc_notice *notice)
{
  struct hf_pool_server *server = find_listed (state, &(struct instance){ notice->subject, notice->id });
  int64_t max_us = HF_RETRY_AFTER_MAX_SEC * HF_SEC + HF_PUSHBACK_SPREAD_MS * HF_MS;
  if (server)
    hf_pushback_set (&server->pushbacks, sender, state->now + MIN (notice->hold_ms * HF_MS, max_us));
}

/* --- public functions --- */

bool
hf_restrictions_pushes_back (const struct hf_response_hints *hints)
{
  return hints->status == 503 && hints->retry_after_ms > 0;
}

int64_t
hf_restrictions_wait_ms (const struct hf_state *state, uint64_t slice_id)
{
  const struct hf_service_state *service = hf_state_find_service (state, slice_id);
  int64_t return_at = service ? hf_placement_first_return (&service->pool, state->now, state->boot_id) : 0;
  return MAX (return_at - state->now, 0) / HF_MS;
}

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
  if (event->hints.leaving)
    handle_leaving (state, &instance, event);
  if (hf_restrictions_pushes_back (&event->hints))
    set_pushback (state, &instance, event);
  if (event->hints.retry_after_invalid)
    handle_invalid_retry_after (state, &instance);
}

void
hf_restrictions_handle_notice (struct hf_state *state, const struct hf_event *event)
{
  const struct hf_rpc_notice *notice = &event->peer.message->body.hf_rpc_body_u.notice;
  const struct instance instance = { notice->subject, notice->id };
  if (!hf_state_find_member (state, event->peer.message->boot_id))
    return;
  if (notice->kind == HF_NOTICE_LEAVING)
    set_leaving (state, &instance, "an entry that had its response");
  else if (notice->kind == HF_NOTICE_PUSHBACK)
    handle_pushback_notice (state, event->peer.message->boot_id, notice);
}

void
hf_restrictions_apply (struct hf_state *state, struct hf_service_state *service, uint64_t server)
{
  struct hf_pool_server *listed = hf_pool_find_server (&service->pool, server);
  struct instance instance = { server, listed ? listed->incarnation : 0 };
  struct restriction *restriction = g_hash_table_lookup (state->restrictions, &instance);
  if (!listed || !restriction)
    return;
  restriction->listed_at = state->now;
  if (restriction->leaving_since > 0)
    hf_pool_set_draining (&service->pool, server, HF_DRAIN_LEAVING, true, 0);
  if (restriction->resume_at > state->now)
    apply_pushback (listed, state->boot_id, restriction->resume_at);
}

void
hf_restrictions_tell (struct hf_state *state, uint64_t granter, const struct hf_pool_server *server)
{
  const struct instance instance = { server->id, server->incarnation };
  if (server->drain_sources & HF_DRAIN_LEAVING)
    send_notice (state, granter, HF_NOTICE_LEAVING, &instance, 0);
  int64_t until = hf_pushback_until (server->pushbacks, state->boot_id);
  if (until > state->now)
    send_notice (state, granter, HF_NOTICE_PUSHBACK, &instance, until - state->now);
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

void
hf_restrictions_write (const struct hf_state *state, int64_t now, GString *text)
{
  GHashTableIter iter;
  const struct restriction *restriction;
  g_hash_table_iter_init (&iter, state->restrictions);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &restriction))
    {
      const struct hf_pool_server *server = find_listed (state, &restriction->instance);
      g_string_append_printf (text, "restriction: server %s, start %" G_GUINT64_FORMAT,
                              server ? server->name.data : "no longer listed",
                              (guint64) restriction->instance.incarnation);
      if (restriction->leaving_since > 0)
        g_string_append_printf (text, ", leaves, known for %d ms", (int) ((now - restriction->leaving_since) / HF_MS));
      if (restriction->resume_at > 0)
        g_string_append_printf (text, ", wants no requests, said %d ms ago, for another %d ms",
                                (int) ((now - restriction->pushed_back_at) / HF_MS),
                                (int) (MAX (restriction->resume_at - now, 0) / HF_MS));
      g_string_append_c (text, '\n');
    }
}
