/* Credits of limited organisations between entries. */
#include "hf-quota-leases.h"

#include <string.h>

#include "hf-members.h"
#include "hf-organisations.h"
#include "hf-roles.h"

/* --- constants --- */

#define PERMILLE     1000
#define SILENT_MAX   3 /* entries of an organisation that do not respond: owner, former owner and second granter */
#define IDLE_WINDOWS 2 /* an account without requests for so many windows is dropped */

/* --- types --- */

/* An entry that did not respond is not asked again for a time. */
struct silent_entry
{
  uint64_t boot_id;
  int64_t until;
};

/* Credits of one organisation at this entry, and the calls that wait for them. */
struct account
{
  uint64_t key; /* of the account, see account_key */
  uint64_t id;  /* of the organisation */
  bool late;    /* for requests that cannot be answered within their target latency any more */
  struct hf_quota_account credits;
  GQueue waiting; /* ids of calls, as pointers to the members of the calls */
  GSequenceIter *timer;
  unsigned sends; /* of the request that has no answer yet */
  int64_t ask_at; /* waits for a bucket that is filling until then */
  struct silent_entry silent[SILENT_MAX];
  uint64_t moved_to; /* boot id of an owner that is not yet the first granter here */
  int64_t moved_until;
  unsigned reserve_used;
  int64_t reserve_used_at;
  int64_t logged_at;
  int64_t used_at;
};

struct hf_quota_leases
{
  struct hf_quota_rule rule;
  struct hf_quota_callbacks callbacks;
  struct hf_quota_book *book;
  GHashTable *accounts; /* struct account by its key */
  uint64_t last_sequence;
  struct hf_document *document; /* that @limits was made from; NULL: none */
  GHashTable *limits;           /* struct hf_organisation by id, those of @document that are limited */
};

/* --- internal functions: memory --- */

static void
free_account (void *data)
{
  struct account *account = data;
  hf_timers_cancel (&account->timer);
  g_queue_clear (&account->waiting);
  g_free (account);
}

/* Late requests have an account of their own, so that others never wait behind them. */
static uint64_t
account_key (uint64_t organisation, bool late)
{
  return late ? hf_hash_pair (organisation, 1) : organisation;
}

static struct account *
find_account (const struct hf_quota_leases *leases, uint64_t key)
{
  return g_hash_table_lookup (leases->accounts, &key);
}

static struct account *
get_account (struct hf_quota_leases *leases, uint64_t id, bool late)
{
  uint64_t key = account_key (id, late);
  struct account *account = find_account (leases, key);
  if (account)
    return account;
  account = g_new0 (struct account, 1);
  account->key = key;
  account->id = id;
  account->late = late;
  g_queue_init (&account->waiting);
  g_hash_table_insert (leases->accounts, &account->key, account);
  return account;
}

static const struct hf_organisation *
find_limited (struct hf_state *state, uint64_t id)
{
  struct hf_quota_leases *leases = state->quota;
  if (leases->document != state->document)
    {
      hf_document_unref (leases->document);
      leases->document = hf_document_ref (state->document);
      g_hash_table_remove_all (leases->limits);
      for (size_t i = 0; i < state->document->organisations.n; i++)
        {
          struct hf_organisation *organisation = hf_document_get_organisation (state->document, i);
          uint64_t key = hf_organisation_id (organisation);
          if (organisation->rate_per_s > 0)
            g_hash_table_insert (leases->limits, g_memdup2 (&key, sizeof key), organisation);
        }
    }
  return g_hash_table_lookup (leases->limits, &id);
}

/* --- internal functions: owner --- */

/* The last time for which this entry was the owner, as hf_roles_last_granted. During a pause another entry may have
 * been it. */
static bool
last_owned (const struct hf_state *state, uint64_t organisation, int64_t *since, int64_t *until)
{
  if (!hf_roles_last_granted (state, organisation, since, until))
    return false;
  if (*until == 0)
    *since = MAX (*since, state->roles.resumed_at);
  return true;
}

/* When the bucket of an owner that is new began to fill. A former owner that was lost may have given credits until it
 * noticed that it reaches too few entries. */
static int64_t
owned_since (const struct hf_state *state, uint64_t organisation)
{
  const struct hf_roles *roles = &state->roles;
  int64_t settle_ms = HF_HEARTBEAT_MS * (hf_roles_heartbeat_rounds (state) + 1);
  int64_t since = state->now;
  int64_t until = 0;
  if (!last_owned (state, organisation, &since, &until) || until > 0)
    return state->now;
  if (roles->restarted_at > 0)
    return roles->restarted_at;
  if (hf_roles_lost_granter_at (state, since))
    since += settle_ms * HF_MS;
  return MAX (since, roles->majority_since);
}

static double
level_since (const struct hf_state *state, const struct hf_organisation *organisation, int64_t since)
{
  return organisation->rate_per_s * (double) (state->now - since) / HF_SEC;
}

/* Level of a bucket that this entry had as owner without any request for it; 0: it was not the owner just now. */
static double
unused_level (const struct hf_state *state, const struct hf_organisation *organisation)
{
  const struct hf_roles *roles = &state->roles;
  int64_t since = 0;
  int64_t until = 0;
  bool was_owner = last_owned (state, hf_organisation_id (organisation), &since, &until);
  if (!was_owner || (until > 0 && state->now - until >= HF_QUOTA_MOVED_MS * HF_MS) || roles->majority_since == 0)
    return 0;
  if (until == 0)
    return level_since (state, organisation, owned_since (state, hf_organisation_id (organisation)));
  return level_since (state, organisation,
                      roles->restarted_at > 0 ? roles->restarted_at : MAX (since, roles->majority_since));
}

static bool
may_be_owner (const void *context, uint64_t organisation)
{
  const struct hf_state *state = context;
  return state->roles.resumed_at != state->now && state->roles.majority_since > 0
         && hf_members_is_owner (state, organisation);
}

/* 0: owner, 1: second, 2: neither. An owner that leaves remains it until another one asks for the bucket. */
static size_t
own_rank (const struct hf_state *state, uint64_t organisation, const uint64_t ranked[2])
{
  int64_t since = 0;
  int64_t until = 0;
  if (state->leaving && last_owned (state, organisation, &since, &until)
      && state->now - until < HF_QUOTA_MOVED_MS * HF_MS)
    return 0;
  return ranked[0] == state->boot_id ? 0 : ranked[1] == state->boot_id ? 1 : 2;
}

static void
send_handover (struct hf_state *state, uint64_t to, uint64_t organisation, bool has_level, double level)
{
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_QUOTA_HANDOVER } };
  message.body.hf_rpc_body_u.quota_handover = (struct hf_rpc_quota_handover){
    .organisation = organisation,
    .has_level = has_level,
    .level_permille = (unsigned) CLAMP (level * PERMILLE, 0, G_MAXUINT32),
  };
  hf_state_send_to_member (state, to, message);
}

/* The entry that has the bucket of an owner that is new since a time: the former owner, which may be leaving. An owner
 * that has just joined does not know it: it is the second granter now. 0: the former owner has ended or is silent. */
static uint64_t
find_former_owner (const struct hf_state *state, uint64_t organisation, const uint64_t ranked[2], int64_t since)
{
  uint64_t former = hf_roles_granter_before (state, organisation, since);
  const struct hf_member *member = hf_state_find_member (state, former);
  if (former == 0 || former == state->boot_id)
    return ranked[1];
  return member && member->alive ? former : 0;
}

/* Whether this entry has been the owner so shortly that another one may not know it. */
static bool
is_owner_lately (const struct hf_state *state, uint64_t organisation, int64_t *since)
{
  int64_t until = 0;
  int64_t silent_ms = HF_PEER_TIMEOUT_MS * hf_roles_heartbeat_rounds (state) + HF_HEARTBEAT_MS;
  return last_owned (state, organisation, since, &until)
         && state->now - *since < MAX (HF_QUOTA_MOVED_MS, silent_ms) * HF_MS;
}

/* Level of a bucket that nobody handed over. A former owner that has ended may have given credits until then, unless
 * the whole fleet was started since: requests that have waited for the owner then need not wait for the bucket, too. */
static double
first_level (const struct hf_state *state, const struct hf_organisation *organisation)
{
  int64_t since = 0;
  double level = unused_level (state, organisation);
  bool may_have_given
      = state->roles.restarted_at == 0 && is_owner_lately (state, hf_organisation_id (organisation), &since);
  return may_have_given ? MIN (level, 0) : level;
}

/* Whether an owner that came lately waits for the bucket of the former one, which may give credits as long as it does
 * not know better. One that does not answer is waited for until it is known to be silent. */
static bool
awaits_handover (struct hf_state *state,
                 uint64_t id,
                 const uint64_t ranked[2],
                 const struct hf_quota_limit *limit,
                 struct hf_rpc_quota_lease *lease)
{
  int64_t since = 0;
  if (limit->partial || !is_owner_lately (state, id, &since))
    return false;
  uint64_t former = find_former_owner (state, id, ranked, since);
  int64_t waited_us = former ? hf_quota_book_await_handover (state->quota->book, id, *limit, state->now) : -1;
  if (waited_us < 0)
    return false;
  send_handover (state, former, id, false, 0);
  lease->filling = true;
  lease->retry_after_ms = (unsigned) CLAMP (waited_us / HF_MS, HF_QUOTA_RESEND_MS, HF_QUOTA_WAIT_MAX_MS);
  return true;
}

static uint64_t
moved_to (const struct hf_state *state, uint64_t organisation)
{
  int64_t since = 0;
  int64_t until = 0;
  last_owned (state, organisation, &since, &until);
  return hf_quota_book_moved_to (state->quota->book, organisation, since, state->now);
}

/* An entry that has just started may not have heard yet which others have started, too. */
static bool
has_just_started (const struct hf_state *state)
{
  return state->now - state->started_at < HF_QUOTA_START_MS * HF_MS;
}

static void
count_answer (struct hf_state *state, const struct hf_quota_request *request, const struct hf_quota_answer *answer)
{
  hf_state_increment (state, HF_COUNT_QUOTA_LEASES);
  state->counters[HF_COUNT_QUOTA_CREDITS_GIVEN] += answer->credits;
  state->counters[HF_COUNT_QUOTA_CREDITS_RETURNED] += request->returned;
  if (answer->credits < request->needed)
    state->counters[HF_COUNT_QUOTA_CREDITS_REFUSED] += request->needed - answer->credits;
}

/* The document here may be older or newer than that of the holder: an organisation without a limit gets what it needs;
 * requests of one that is not known yet wait for the document. */
static void
answer_without_limit (const struct hf_state *state,
                      const struct hf_quota_request *request,
                      struct hf_rpc_quota_lease *lease)
{
  lease->filling = true;
  lease->retry_after_ms = HF_QUOTA_WAIT_MAX_MS;
  for (size_t i = 0; state->document && i < state->document->organisations.n; i++)
    if (hf_organisation_id (hf_document_get_organisation (state->document, i)) == request->organisation)
      lease->credits = request->needed;
}

/* Answers a request as owner, or as the second granter. False: there is nothing to say, the holder asks again. */
static bool
answer_request (struct hf_state *state, const struct hf_quota_request *request, struct hf_rpc_quota_lease *lease)
{
  struct hf_quota_leases *leases = state->quota;
  struct hf_quota_limit limit;
  struct hf_quota_answer answer;
  uint64_t ranked[2];
  const struct hf_organisation *organisation = state->document ? find_limited (state, request->organisation) : NULL;
  *lease = (struct hf_rpc_quota_lease){
    .organisation = request->organisation,
    .sequence = request->sequence,
    .late = request->late,
    .valid_ms = (unsigned) (hf_quota_lease_us (&leases->rule) / HF_MS),
  };
  if (state->starting)
    return false;
  if (!organisation)
    {
      answer_without_limit (state, request, lease);
      return true;
    }
  hf_roles_rank_granters (state, request->organisation, ranked);
  size_t rank = own_rank (state, request->organisation, ranked);
  lease->moved_to = rank == 1 ? 0 : moved_to (state, request->organisation);
  if (lease->moved_to)
    return true;
  if (!hf_quota_limit_by_rank (&leases->rule, organisation->rate_per_s, organisation->burst, rank, state->roles.reached,
                               state->roles.entries, &limit))
    {
      lease->moved_to = ranked[0];
      return ranked[0] != 0;
    }
  if (awaits_handover (state, request->organisation, ranked, &limit, lease))
    return true;
  lease->filling = rank == 0 && state->roles.majority_since == 0 && has_just_started (state);
  if (lease->filling)
    return true;
  double level = first_level (state, organisation);
  if (!hf_quota_book_answer (leases->book, request, limit, level, state->roles.entries, state->now, &answer))
    return false;
  if (!answer.is_repeated)
    count_answer (state, request, &answer);
  lease->credits = answer.credits;
  lease->retry_after_ms = (unsigned) (answer.retry_after_us / HF_MS);
  lease->filling = answer.is_filling;
  /* The holder may not know the owner yet. */
  if (rank == 1 && answer.credits < request->needed)
    lease->moved_to = ranked[0];
  return true;
}

/* --- internal functions: holder --- */

static void schedule (struct hf_state *state, struct account *account);

/* Rank of this entry among all, which is nearly the same at each of them. */
static size_t
reserve_rank (const struct hf_state *state, uint64_t organisation)
{
  uint64_t own_weight = hf_hash_pair (organisation, hf_hash (state->address, 0));
  size_t rank = 0;
  for (guint i = 0; i < state->members->len; i++)
    {
      const struct hf_member *member = g_ptr_array_index (state->members, i);
      rank += hf_hash_pair (organisation, hf_hash (member->address, 0)) < own_weight;
    }
  return rank;
}

/* A former process of this entry may have used its reserve in the first window. */
static bool
take_from_reserve (struct hf_state *state, struct account *account, struct hf_quota_credit *credit)
{
  const struct hf_quota_rule *rule = &state->quota->rule;
  if (state->now - state->started_at < rule->window_us)
    return false;
  if (state->now - account->reserve_used_at >= rule->window_us + hf_quota_lease_us (rule))
    account->reserve_used = 0;
  if (account->reserve_used >= hf_quota_reserve (rule, reserve_rank (state, account->id), state->members->len + 1))
    return false;
  account->reserve_used++;
  account->reserve_used_at = state->now;
  *credit = (struct hf_quota_credit){ .owner = state->boot_id, .expires_at = state->now + hf_quota_lease_us (rule) };
  hf_state_increment (state, HF_COUNT_QUOTA_RESERVE_USED);
  return true;
}

static struct hf_call *
pop_waiting (struct hf_state *state, struct account *account)
{
  uint64_t *id = g_queue_pop_head (&account->waiting);
  return id ? g_hash_table_lookup (state->calls, id) : NULL;
}

static void
give_credit (struct hf_state *state, struct hf_call *call, struct hf_quota_credit credit)
{
  call->quota.phase = HF_QUOTA_HELD;
  call->quota.credit = credit;
  state->quota->callbacks.begin (state, call->id);
}

static void
serve_waiting (struct hf_state *state, struct account *account)
{
  struct hf_quota_credit credit;
  while (!g_queue_is_empty (&account->waiting) && hf_quota_account_take (&account->credits, state->now, &credit))
    give_credit (state, pop_waiting (state, account), credit);
}

static void
log_exceeded (struct hf_state *state, struct account *account, const struct hf_organisation *organisation)
{
  if (account->logged_at > 0 && state->now - account->logged_at < HF_QUOTA_LOG_INTERVAL_MS * HF_MS)
    return;
  account->logged_at = state->now;
  hf_state_log (state, HF_LOG_QUOTA_EXCEEDED,
                "requests of organisation " HF_STR_FMT " are refused: its limit is %.1f requests/s and a burst of %.0f",
                HF_STR_ARG (organisation->name), organisation->rate_per_s, organisation->burst);
}

/* Refuses the calls that have waited longest: the request for credits named them. Each one gets a later place.
 * @by: boot id of the entry that has no credit; 0: nobody responds. */
static void
refuse_waiting (struct hf_state *state, struct account *account, uint64_t by, unsigned n, int64_t retry_after_ms)
{
  for (unsigned i = 0; i < n && !g_queue_is_empty (&account->waiting); i++)
    {
      struct hf_call *call = pop_waiting (state, account);
      double interval_ms = PERMILLE / call->organisation->rate_per_s;
      double spread_ms = (double) (hf_random_next (&state->random_state) % PERMILLE) / PERMILLE;
      log_exceeded (state, account, call->organisation);
      call->quota = (struct hf_call_quota){ .late = account->late, .credit.owner = by };
      state->quota->callbacks.refuse (state, call, retry_after_ms + (int64_t) ((i + spread_ms) * interval_ms));
    }
}

static bool
is_silent (const struct hf_state *state, const struct account *account, uint64_t boot_id)
{
  for (unsigned i = 0; i < SILENT_MAX; i++)
    if (account->silent[i].boot_id == boot_id && account->silent[i].until > state->now)
      return true;
  return false;
}

static void
mark_silent (const struct hf_state *state, struct account *account, uint64_t boot_id)
{
  struct silent_entry *oldest = &account->silent[0];
  for (unsigned i = 1; i < SILENT_MAX; i++)
    if (account->silent[i].until < oldest->until)
      oldest = &account->silent[i];
  *oldest = (struct silent_entry){ boot_id, state->now + HF_GRANTER_BYPASS_MS * HF_MS };
}

/* Who is asked for credits; 0: nobody responds. */
static uint64_t
choose_owner (const struct hf_state *state, const struct account *account)
{
  uint64_t ranked[2];
  bool is_current = account->moved_until - HF_QUOTA_MOVED_MS * HF_MS > state->roles.granters_changed_at;
  if (is_current && account->moved_until > state->now && !is_silent (state, account, account->moved_to))
    return account->moved_to;
  hf_roles_rank_granters (state, account->id, ranked);
  for (unsigned rank = 0; rank < G_N_ELEMENTS (ranked); rank++)
    if (ranked[rank] && !is_silent (state, account, ranked[rank]))
      return ranked[rank];
  return 0;
}

/* A bucket that began empty a moment ago is asked again soon, so that callers below the limit are not refused. */
static void
wait_for_bucket (struct hf_state *state, struct account *account, int64_t wait_ms)
{
  account->ask_at = state->now + CLAMP (wait_ms, HF_QUOTA_RESEND_MS, HF_QUOTA_WAIT_MAX_MS) * HF_MS;
}

/* Time until a silent owner leaves the granters and another entry takes over. */
static int64_t
takeover_wait_ms (const struct hf_state *state, const struct account *account)
{
  uint64_t ranked[2];
  hf_roles_rank_granters (state, account->id, ranked);
  const struct hf_member *owner = hf_state_find_member (state, ranked[0]);
  if (!owner)
    return HF_GRANTER_BYPASS_MS;
  int64_t timeout_ms = (HF_PEER_TIMEOUT_MS + HF_HEARTBEAT_MS) * hf_roles_heartbeat_rounds (state);
  int64_t due_at = owner->last_heartbeat_at + timeout_ms * HF_MS;
  return MAX ((due_at - state->now) / HF_MS, HF_GRANTER_BYPASS_MS);
}

static void
fall_back (struct hf_state *state, struct account *account)
{
  struct hf_quota_credit credit;
  if (has_just_started (state))
    {
      memset (account->silent, 0, sizeof account->silent);
      wait_for_bucket (state, account, HF_QUOTA_WAIT_MAX_MS);
      return;
    }
  while (!g_queue_is_empty (&account->waiting) && take_from_reserve (state, account, &credit))
    give_credit (state, pop_waiting (state, account), credit);
  refuse_waiting (state, account, 0, g_queue_get_length (&account->waiting), takeover_wait_ms (state, account));
}

static void receive_lease (struct hf_state *state, uint64_t from, const struct hf_rpc_quota_lease *lease);

static void
send_request (struct hf_state *state, struct account *account)
{
  const struct hf_quota_request *request = &account->credits.request;
  account->sends++;
  if (account->credits.owner == state->boot_id)
    {
      struct hf_rpc_quota_lease lease;
      if (answer_request (state, request, &lease))
        receive_lease (state, state->boot_id, &lease);
      return;
    }
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_QUOTA_REQUEST } };
  message.body.hf_rpc_body_u.quota_request = (struct hf_rpc_quota_request){
    .organisation = request->organisation,
    .sequence = request->sequence,
    .late = request->late,
    .needed = request->needed,
    .expected = request->expected,
    .returned = request->returned,
    .returned_sequence = request->returned_sequence,
  };
  hf_state_send_to_member (state, account->credits.owner, message);
}

/* Requests credits for the calls that wait, if no request is in progress, and returns unused ones. */
static void
begin_request (struct hf_state *state, struct account *account)
{
  struct hf_quota_leases *leases = state->quota;
  unsigned needed = g_queue_get_length (&account->waiting);
  uint64_t owner
      = needed > 0 ? choose_owner (state, account) : hf_quota_account_return_to (&account->credits, state->now);
  if (account->credits.request.sequence || (needed > 0 && account->ask_at > state->now))
    return;
  if (needed > 0 && owner == 0)
    fall_back (state, account);
  if (owner == 0)
    return;
  hf_quota_account_request (&account->credits, state->now, &leases->rule, owner, ++leases->last_sequence, needed);
  account->credits.request.organisation = account->id;
  account->credits.request.holder = account_key (state->boot_id, account->late);
  account->credits.request.late = account->late;
  if (account->late)
    account->credits.request.expected = 0;
  account->sends = 0;
  hf_state_increment (state, HF_COUNT_QUOTA_REQUESTS);
  send_request (state, account);
}

static void
give_up_request (struct hf_state *state, struct account *account)
{
  uint64_t owner = account->credits.owner;
  account->credits.request.sequence = 0;
  mark_silent (state, account, owner);
  if (account->credits.request.needed == 0)
    return;
  hf_state_increment (state, HF_COUNT_QUOTA_FALLBACKS);
  const struct hf_member *member = hf_state_find_member (state, owner);
  hf_state_log (state, HF_LOG_QUOTA_OWNER_SILENT, "entry " HF_STR_FMT " does not answer requests for credits",
                HF_STR_ARG (member ? member->name : hf_str ("-")));
}

/* The owner that was asked has handed the bucket over to another one. */
static void
follow_owner (struct hf_state *state, struct account *account, uint64_t from, uint64_t owner)
{
  bool is_known = owner == state->boot_id || hf_state_find_member (state, owner);
  if (!is_known || is_silent (state, account, owner))
    {
      mark_silent (state, account, from);
      return;
    }
  /* Entries that do not agree on the owner may name one another until the next heartbeats. */
  if (account->moved_until > state->now)
    wait_for_bucket (state, account, HF_QUOTA_WAIT_MAX_MS);
  account->moved_to = owner;
  account->moved_until = state->now + HF_QUOTA_MOVED_MS * HF_MS;
}

static void
receive_lease (struct hf_state *state, uint64_t from, const struct hf_rpc_quota_lease *lease)
{
  struct account *account = find_account (state->quota, account_key (lease->organisation, lease->late));
  if (!account)
    return;
  unsigned needed = account->credits.request.needed;
  if (!hf_quota_account_receive (&account->credits, from, lease->sequence, lease->credits,
                                 MIN (lease->valid_ms * HF_MS, hf_quota_lease_us (&state->quota->rule))))
    return;
  serve_waiting (state, account);
  if (lease->moved_to)
    follow_owner (state, account, from, lease->moved_to);
  else if (lease->credits < needed && lease->filling)
    wait_for_bucket (state, account, lease->retry_after_ms);
  else if (lease->credits < needed)
    refuse_waiting (state, account, from, needed - lease->credits, lease->retry_after_ms);
  begin_request (state, account);
  schedule (state, account);
}

/* --- internal functions: timer --- */

static int64_t
next_due (const struct hf_state *state, struct account *account)
{
  int64_t resend_ms = 0;
  if (account->credits.request.sequence)
    {
      for (unsigned i = 0; i < account->sends; i++)
        resend_ms += HF_QUOTA_RESEND_MS << MIN (i, HF_QUOTA_RESEND_DOUBLINGS);
      return account->credits.sent_at + MIN (resend_ms, HF_GRANT_TIMEOUT_MS) * HF_MS;
    }
  if (!g_queue_is_empty (&account->waiting))
    return MAX (account->ask_at, state->now);
  return hf_quota_account_next_expiry (&account->credits);
}

static void
schedule (struct hf_state *state, struct account *account)
{
  int64_t due = next_due (state, account);
  hf_timers_cancel (&account->timer);
  if (due >= 0)
    account->timer = hf_state_start_timer (state, MAX (due - state->now, 0), HF_TIMER_QUOTA, account->key, 0);
}

/* --- public functions: init and close --- */

struct hf_quota_leases *
hf_quota_leases_open (const struct hf_settings *settings, struct hf_quota_callbacks callbacks)
{
  if (settings->quota_window_ms <= 0)
    return NULL;
  struct hf_quota_leases *leases = g_new0 (struct hf_quota_leases, 1);
  leases->rule = (struct hf_quota_rule){ .window_us = settings->quota_window_ms * HF_MS,
                                         .overshoot = settings->quota_overshoot,
                                         .slack = settings->quota_slack };
  leases->callbacks = callbacks;
  leases->book = hf_quota_book_open ();
  leases->accounts = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_account);
  leases->limits = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  return leases;
}

void
hf_quota_leases_close (struct hf_quota_leases *leases)
{
  if (!leases)
    return;
  hf_quota_book_close (leases->book);
  g_hash_table_destroy (leases->accounts);
  g_hash_table_destroy (leases->limits);
  hf_document_unref (leases->document);
  g_free (leases);
}

/* --- public functions: calls --- */

static bool
is_late (const struct hf_state *state, const struct hf_call *call)
{
  const struct hf_service_state *slice = hf_state_find_service (state, call->slice_id);
  double latency_us = slice ? slice->pool.median_latency_us : 0;
  return (double) state->now + latency_us > (double) call->soft_deadline;
}

bool
hf_quota_leases_admit (struct hf_state *state, struct hf_call *call)
{
  if (!state->quota || !call->organisation || call->organisation->rate_per_s <= 0)
    return true;
  call->quota.late = is_late (state, call);
  struct account *account = get_account (state->quota, hf_organisation_id (call->organisation), call->quota.late);
  account->used_at = state->now;
  hf_quota_account_count_use (&account->credits, state->now);
  call->quota.phase = HF_QUOTA_HELD;
  if (g_queue_is_empty (&account->waiting)
      && hf_quota_account_take (&account->credits, state->now, &call->quota.credit))
    return true;
  call->quota.phase = HF_QUOTA_WAITING;
  g_queue_push_tail (&account->waiting, &call->id);
  begin_request (state, account);
  schedule (state, account);
  return false;
}

bool
hf_quota_leases_confirm (struct hf_state *state, struct hf_call *call, unsigned attempt, uint64_t server)
{
  if (call->quota.phase != HF_QUOTA_HELD)
    return call->quota.phase != HF_QUOTA_RENEWING;
  if (call->quota.credit.expires_at > state->now)
    {
      call->quota.phase = HF_QUOTA_SPENT;
      return true;
    }
  struct account *account = get_account (state->quota, hf_organisation_id (call->organisation), call->quota.late);
  hf_quota_account_put_back (&account->credits, call->quota.credit);
  call->attempts[attempt].server = server;
  call->quota.phase = HF_QUOTA_RENEWING;
  call->quota.attempt = attempt;
  call->quota.server = server;
  g_queue_push_head (&account->waiting, &call->id);
  begin_request (state, account);
  schedule (state, account);
  return false;
}

void
hf_quota_leases_keep_unsent (struct hf_call *call)
{
  if (call->quota.phase == HF_QUOTA_SPENT)
    call->quota.phase = HF_QUOTA_HELD;
}

void
hf_quota_leases_release (struct hf_state *state, struct hf_call *call)
{
  struct account *account = NULL;
  if (call->quota.phase != HF_QUOTA_UNLIMITED && call->quota.phase != HF_QUOTA_SPENT)
    account = find_account (state->quota, account_key (hf_organisation_id (call->organisation), call->quota.late));
  if (!account)
    return;
  if (call->quota.phase == HF_QUOTA_HELD)
    hf_quota_account_put_back (&account->credits, call->quota.credit);
  else
    g_queue_remove (&account->waiting, &call->id);
  call->quota.phase = HF_QUOTA_UNLIMITED;
  schedule (state, account);
}

/* --- public functions: events --- */

static void
handle_request (struct hf_state *state, uint64_t from, const struct hf_rpc_quota_request *request)
{
  struct hf_rpc_message message = { .body = { .kind = HF_RPC_QUOTA_LEASE } };
  struct hf_quota_request asked = {
    .organisation = request->organisation,
    .holder = account_key (from, request->late),
    .sequence = request->sequence,
    .late = request->late,
    .needed = MIN (request->needed, HF_QUOTA_CREDITS_MAX),
    .expected = MIN (request->expected, HF_QUOTA_CREDITS_MAX),
    .returned = MIN (request->returned, HF_QUOTA_CREDITS_MAX),
    .returned_sequence = request->returned_sequence,
  };
  if (answer_request (state, &asked, &message.body.hf_rpc_body_u.quota_lease))
    hf_state_send_to_member (state, from, message);
}

static void
handle_handover (struct hf_state *state, uint64_t from, const struct hf_rpc_quota_handover *handover)
{
  struct hf_quota_leases *leases = state->quota;
  uint64_t id = handover->organisation;
  const struct hf_organisation *organisation = state->document ? find_limited (state, id) : NULL;
  if (handover->has_level)
    {
      hf_quota_book_receive_handover (leases->book, id, (double) handover->level_permille / PERMILLE, state->now);
      return;
    }
  if (!organisation)
    return;
  struct hf_quota_limit limit = hf_quota_limit_full (&leases->rule, organisation->rate_per_s, organisation->burst);
  double level
      = hf_quota_book_hand_over (leases->book, id, limit, unused_level (state, organisation), from, state->now);
  send_handover (state, from, id, true, level);
}

void
hf_quota_leases_handle_message (struct hf_state *state, const struct hf_event *event)
{
  const struct hf_rpc_message *message = event->peer.message;
  if (!state->quota || !hf_state_find_member (state, message->boot_id))
    return;
  if (message->body.kind == HF_RPC_QUOTA_REQUEST)
    handle_request (state, message->boot_id, &message->body.hf_rpc_body_u.quota_request);
  else if (message->body.kind == HF_RPC_QUOTA_LEASE)
    receive_lease (state, message->boot_id, &message->body.hf_rpc_body_u.quota_lease);
  else if (message->body.kind == HF_RPC_QUOTA_HANDOVER)
    handle_handover (state, message->boot_id, &message->body.hf_rpc_body_u.quota_handover);
}

void
hf_quota_leases_handle_timer (struct hf_state *state, uint64_t key)
{
  struct account *account = find_account (state->quota, key);
  if (!account)
    return;
  account->timer = NULL;
  if (account->credits.request.sequence == 0)
    begin_request (state, account);
  else if (state->now - account->credits.sent_at < HF_GRANT_TIMEOUT_MS * HF_MS)
    send_request (state, account);
  else
    {
      give_up_request (state, account);
      begin_request (state, account);
    }
  schedule (state, account);
}

void
hf_quota_leases_update_owners (struct hf_state *state)
{
  const struct hf_roles *roles = &state->roles;
  bool changed = roles->granters_changed_at == state->now || roles->majority_changed_at == state->now
                 || roles->resumed_at == state->now;
  if (state->quota && changed && !state->leaving)
    hf_quota_book_disown (state->quota->book, state->now, may_be_owner, state);
}

void
hf_quota_leases_expire (struct hf_state *state)
{
  struct hf_quota_leases *leases = state->quota;
  GHashTableIter iter;
  struct account *account;
  if (!leases)
    return;
  int64_t idle_since = state->now - IDLE_WINDOWS * leases->rule.window_us;
  hf_quota_book_expire (leases->book, state->now);
  g_hash_table_iter_init (&iter, leases->accounts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &account))
    if (account->used_at < idle_since && g_queue_is_empty (&account->waiting) && !account->credits.request.sequence
        && account->reserve_used_at < idle_since)
      g_hash_table_iter_remove (&iter);
}
