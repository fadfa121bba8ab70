/* Assigns the roles of coordinator, watcher and granter to entries. */
#include "hf-roles.h"

#include <string.h>

/* --- types --- */

/* An entry that may get a role. */
struct candidate
{
  struct hf_member *member; /* NULL: this entry */
  uint64_t boot_id;         /* 0: not known to be alive */
  uint64_t failure_domain;
  uint64_t tie_breaker; /* hash of the address; orders entries with the same processor time */
  double cpu_share;
  bool platform_unreachable;
  bool starting; /* knows no backend servers yet */
  bool is_coordinator;
  bool is_watcher;
  guint watcher_rank; /* among the watchers of its failure domain */
  bool has_short_watches;
  bool ranks_as_watcher; /* would watch if the platform responded to all */
};

/* --- internal functions: candidates --- */

static int
compare_candidates (gconstpointer a, gconstpointer b)
{
  const struct candidate *left = a;
  const struct candidate *right = b;
  if (left->failure_domain != right->failure_domain)
    return left->failure_domain < right->failure_domain ? -1 : 1;
  if (left->cpu_share != right->cpu_share)
    return left->cpu_share > right->cpu_share ? -1 : 1;
  return left->tie_breaker < right->tie_breaker ? -1 : left->tie_breaker > right->tie_breaker;
}

static GArray *
list_candidates (const struct hf_state *state)
{
  GArray *candidates = g_array_new (FALSE, TRUE, sizeof (struct candidate));
  struct candidate own = { .boot_id = state->boot_id,
                           .failure_domain = hf_hash (state->failure_domain, 0),
                           .tie_breaker = hf_hash (state->address, 0),
                           .cpu_share = state->cpu_share,
                           .platform_unreachable = state->directory.platform_unreachable_until > state->now,
                           .starting = state->starting };
  if (!state->leaving)
    g_array_append_val (candidates, own);
  for (guint i = 0; i < state->members->len; i++)
    {
      struct hf_member *member = g_ptr_array_index (state->members, i);
      struct candidate other = { .member = member,
                                 .boot_id = member->alive ? member->boot_id : 0,
                                 .failure_domain = member->failure_domain,
                                 .tie_breaker = hf_hash (member->address, 0),
                                 .cpu_share = member->cpu_share,
                                 .platform_unreachable = member->platform_unreachable,
                                 .starting = member->starting };
      if (!member->timed_out && !member->leaving)
        g_array_append_val (candidates, other);
    }
  g_array_sort (candidates, compare_candidates);
  return candidates;
}

static struct candidate *
candidate_at (GArray *candidates, guint i)
{
  return &g_array_index (candidates, struct candidate, i);
}

/* --- internal functions: roles --- */

/* Candidates from @begin to @end - 1 are those of one failure domain, the highest ranked first. */
static void
assign_in_domain (GArray *candidates, guint begin, guint end)
{
  guint entries = end - begin;
  guint coordinators
      = MAX (HF_COORDINATORS_MIN, (entries + HF_ENTRIES_PER_COORDINATOR - 1) / HF_ENTRIES_PER_COORDINATOR);
  guint watchers = 0;
  if (candidates->len <= HF_SMALL_FLEET_ENTRIES_MAX)
    coordinators = entries;
  for (guint i = begin; i < end; i++)
    {
      struct candidate *candidate = candidate_at (candidates, i);
      candidate->is_coordinator = i - begin < coordinators;
      candidate->is_watcher = !candidate->platform_unreachable && watchers < HF_WATCHERS_PER_DOMAIN;
      candidate->watcher_rank = watchers;
      candidate->ranks_as_watcher = i - begin < HF_WATCHERS_PER_DOMAIN;
      watchers += candidate->is_watcher;
    }
}

static void
assign_roles (GArray *candidates)
{
  for (guint begin = 0, end; begin < candidates->len; begin = end)
    {
      uint64_t domain = candidate_at (candidates, begin)->failure_domain;
      for (end = begin; end < candidates->len && candidate_at (candidates, end)->failure_domain == domain;)
        end++;
      assign_in_domain (candidates, begin, end);
    }
}

/* Watchers of one rank that are known to be alive and to have a directory get short watches. Returns how many entries
 * have them then. */
static guint
assign_short_watches_of_rank (GArray *candidates, guint rank, guint assigned)
{
  for (guint i = 0; i < candidates->len && assigned < HF_SHORT_WATCHERS; i++)
    {
      struct candidate *candidate = candidate_at (candidates, i);
      bool usable = candidate->is_watcher && candidate->boot_id && !candidate->starting;
      if (!usable || candidate->watcher_rank != rank)
        continue;
      candidate->has_short_watches = true;
      assigned++;
    }
  return assigned;
}

/* Prefers watchers of different failure domains. If there are too few, all watchers have short watches. */
static void
assign_short_watches (GArray *candidates)
{
  guint assigned = 0;
  for (guint rank = 0; rank < HF_WATCHERS_PER_DOMAIN; rank++)
    assigned = assign_short_watches_of_rank (candidates, rank, assigned);
  for (guint i = 0; i < candidates->len && assigned < HF_SHORT_WATCHERS; i++)
    candidate_at (candidates, i)->has_short_watches = candidate_at (candidates, i)->is_watcher;
}

/* --- internal functions: granters --- */

/* A group of coordinators from which granters are taken: those of one failure domain, or all. */
struct granter_group
{
  uint64_t failure_domain;
  bool all;
};

static bool
is_in_group (const struct granter_group *group, const struct candidate *candidate)
{
  bool is_member = group->all || candidate->failure_domain == group->failure_domain;
  return is_member && candidate->is_coordinator && candidate->boot_id;
}

/* Entries that are starting grant slots only if there are no others. */
static bool
any_has_started (GArray *candidates, const struct granter_group *group)
{
  for (guint i = 0; i < candidates->len; i++)
    {
      const struct candidate *candidate = candidate_at (candidates, i);
      if (is_in_group (group, candidate) && !candidate->starting)
        return true;
    }
  return false;
}

static double
largest_cpu_share (GArray *candidates, const struct granter_group *group, bool starting_too)
{
  double share = 0;
  for (guint i = 0; i < candidates->len; i++)
    {
      const struct candidate *candidate = candidate_at (candidates, i);
      if (is_in_group (group, candidate) && (starting_too || !candidate->starting))
        share = MAX (share, candidate->cpu_share);
    }
  return share;
}

static bool
may_grant (GArray *candidates, const struct granter_group *group, const struct candidate *candidate)
{
  bool starting_too = !any_has_started (candidates, group);
  double cpu_share_min = largest_cpu_share (candidates, group, starting_too) * HF_GRANTER_CPU_SHARE_MIN;
  return is_in_group (group, candidate) && (starting_too || !candidate->starting)
         && candidate->cpu_share >= cpu_share_min;
}

/* With domain affinity each failure domain has granters, however little processor time they have. */
static void
store_granters (struct hf_state *state, GArray *candidates)
{
  const struct granter_group all = { .all = true };
  for (guint i = 0; i < candidates->len; i++)
    {
      const struct candidate *candidate = candidate_at (candidates, i);
      const struct granter_group domain = { .failure_domain = candidate->failure_domain };
      struct hf_granter granter = { .boot_id = candidate->boot_id, .failure_domain = candidate->failure_domain };
      if (!candidate->is_coordinator)
        continue;
      granter.serves_all = may_grant (candidates, &all, candidate);
      bool serves_domain = hf_affinity_is_on (&state->affinity) && may_grant (candidates, &domain, candidate);
      if (granter.serves_all || serves_domain)
        g_array_append_val (state->roles.granters, granter);
    }
}

/* --- internal functions: the state --- */

static void
clear_roles (struct hf_state *state)
{
  state->roles.is_coordinator = false;
  state->roles.is_watcher = false;
  state->roles.has_short_watches = false;
  state->roles.ranks_as_watcher = false;
  g_array_set_size (state->roles.granters, 0);
  for (guint i = 0; i < state->members->len; i++)
    {
      struct hf_member *member = g_ptr_array_index (state->members, i);
      member->is_coordinator = false;
      member->is_watcher = false;
    }
}

static void
store_roles (struct hf_state *state, GArray *candidates)
{
  for (guint i = 0; i < candidates->len; i++)
    {
      const struct candidate *candidate = candidate_at (candidates, i);
      bool *coordinates = candidate->member ? &candidate->member->is_coordinator : &state->roles.is_coordinator;
      bool *watches = candidate->member ? &candidate->member->is_watcher : &state->roles.is_watcher;
      *coordinates = candidate->is_coordinator;
      *watches = candidate->is_watcher;
      if (!candidate->member)
        {
          state->roles.has_short_watches = candidate->has_short_watches;
          state->roles.ranks_as_watcher = candidate->ranks_as_watcher;
        }
    }
  store_granters (state, candidates);
}

/* Chooses among the granters of a failure domain (NULL: among those of all) by rendezvous hashing; 0: there is none. */
static uint64_t
choose_granter (const struct hf_state *state, uint64_t subject, const uint64_t *failure_domain)
{
  uint64_t chosen = 0;
  uint64_t best = 0;
  for (guint i = 0; i < state->roles.granters->len; i++)
    {
      const struct hf_granter *granter = &g_array_index (state->roles.granters, struct hf_granter, i);
      uint64_t weight = hf_hash_pair (subject, granter->boot_id);
      bool serves = failure_domain ? granter->failure_domain == *failure_domain : granter->serves_all;
      if (!serves || weight < best)
        continue;
      best = weight;
      chosen = granter->boot_id;
    }
  return chosen;
}

/* --- internal functions: changes --- */

/* Boot ids of those that grant for all failure domains. */
static GArray *
list_boot_ids (const GArray *granters)
{
  GArray *boot_ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  for (guint i = 0; i < granters->len; i++)
    {
      const struct hf_granter *granter = &g_array_index (granters, struct hf_granter, i);
      if (granter->serves_all)
        g_array_append_val (boot_ids, granter->boot_id);
    }
  return boot_ids;
}

static bool
same_granters (const GArray *a, const GArray *b)
{
  return a->len == b->len && (a->len == 0 || memcmp (a->data, b->data, a->len * sizeof (uint64_t)) == 0);
}

static bool
contains_granter (const GArray *granters, uint64_t boot_id)
{
  for (guint i = 0; i < granters->len; i++)
    if (g_array_index (granters, uint64_t, i) == boot_id)
      return true;
  return false;
}

/* Whether a former granter may still grant, as it is only known to be silent. One that leaves does not, and one whose
 * address has another boot id now has ended. */
static bool
may_still_grant (const struct hf_state *state, uint64_t boot_id)
{
  const struct hf_member *member = hf_state_find_member (state, boot_id);
  return member && !member->leaving && !member->alive;
}

static void
drop_oldest_granters (struct hf_roles *roles)
{
  g_array_unref (g_array_index (roles->granters_history, struct hf_granters, 0).granters);
  g_array_remove_index (roles->granters_history, 0);
}

static void
note_granters (struct hf_state *state, const GArray *former)
{
  struct hf_roles *roles = &state->roles;
  GArray *granters = list_boot_ids (roles->granters);
  if (same_granters (former, granters))
    {
      g_array_unref (granters);
      return;
    }
  struct hf_granters current = { .since = state->now, .granters = granters };
  for (guint i = 0; i < former->len; i++)
    {
      uint64_t boot_id = g_array_index (former, uint64_t, i);
      bool is_granter = contains_granter (granters, boot_id);
      current.after_loss = current.after_loss || (!is_granter && may_still_grant (state, boot_id));
    }
  if (roles->granters_history->len == HF_GRANTERS_HISTORY_MAX)
    drop_oldest_granters (roles);
  g_array_append_val (roles->granters_history, current);
  roles->granters_changed_at = state->now;
}

/* Counts the entries that are listed or alive, and those with which there is contact. Entries that are starting do not
 * count as reached: each of them may believe that it is the only granter. */
static void
count_reached (struct hf_state *state)
{
  struct hf_roles *roles = &state->roles;
  roles->reached = 1;
  roles->entries = 1;
  for (guint i = 0; i < state->members->len; i++)
    {
      const struct hf_member *member = g_ptr_array_index (state->members, i);
      if (member->leaving)
        continue;
      roles->reached += member->alive && !member->starting;
      roles->entries += member->alive || member->listed;
    }
  bool has_majority = 2 * roles->reached > roles->entries;
  if (has_majority == (roles->majority_since > 0))
    return;
  roles->majority_since = has_majority ? state->now : 0;
  roles->majority_changed_at = state->now;
}

/* When the first and the last of the entries that are reached were started, this one included. */
static void
find_starts (const struct hf_state *state, int64_t *first, int64_t *last)
{
  *first = state->started_at;
  *last = state->started_at;
  for (guint i = 0; i < state->members->len; i++)
    {
      const struct hf_member *member = g_ptr_array_index (state->members, i);
      if (member->leaving || !member->alive || member->starting)
        continue;
      *first = MIN (*first, member->started_at);
      *last = MAX (*last, member->started_at);
    }
}

/* Where every entry that is reached, and with them more than half of the fleet, was started at about the same time,
 * none of them knows anything of before, and no other entry can have had a role since then. */
static void
note_fleet_restart (struct hf_state *state)
{
  struct hf_roles *roles = &state->roles;
  int64_t first;
  int64_t last;
  find_starts (state, &first, &last);
  bool is_lately = state->now - first < HF_FLEET_RESTART_MS * HF_MS;
  bool at_once = last - first < HF_FLEET_RESTART_SPREAD_MS * HF_MS;
  roles->restarted_at = roles->majority_since > 0 && is_lately && at_once ? last : 0;
}

/* --- internal functions: rendezvous hashing --- */

/* The entry with the greatest weight; 0: there are none. */
static uint64_t
first_by_weight (const GArray *granters, uint64_t subject)
{
  uint64_t granter = 0;
  uint64_t best = 0;
  for (guint i = 0; i < granters->len; i++)
    {
      uint64_t boot_id = g_array_index (granters, uint64_t, i);
      uint64_t weight = hf_hash_pair (subject, boot_id);
      if (weight < best)
        continue;
      best = weight;
      granter = boot_id;
    }
  return granter;
}

/* --- public functions --- */

void
hf_roles_init (struct hf_roles *roles)
{
  *roles = (struct hf_roles){ .granters = g_array_new (FALSE, FALSE, sizeof (struct hf_granter)),
                              .granters_history = g_array_new (FALSE, FALSE, sizeof (struct hf_granters)),
                              .update_pending = true };
}

void
hf_roles_close (struct hf_roles *roles)
{
  g_array_unref (roles->granters);
  while (roles->granters_history->len > 0)
    drop_oldest_granters (roles);
  g_array_unref (roles->granters_history);
}

void
hf_roles_update (struct hf_state *state)
{
  GArray *candidates = list_candidates (state);
  GArray *former_granters = list_boot_ids (state->roles.granters);
  bool was_watcher = state->roles.is_watcher;
  clear_roles (state);
  assign_roles (candidates);
  assign_short_watches (candidates);
  store_roles (state, candidates);
  if (state->roles.is_watcher && !was_watcher)
    state->roles.watcher_since = state->now;
  if (!state->roles.is_watcher && was_watcher)
    state->roles.watcher_until = state->now;
  state->roles.update_pending = false;
  note_granters (state, former_granters);
  count_reached (state);
  note_fleet_restart (state);
  g_array_unref (former_granters);
  g_array_unref (candidates);
}

uint64_t
hf_roles_granter (const struct hf_state *state, uint64_t subject)
{
  uint64_t granter = choose_granter (state, subject, NULL);
  return granter ? granter : state->boot_id;
}

bool
hf_roles_last_granted (const struct hf_state *state, uint64_t subject, int64_t *since, int64_t *until)
{
  const GArray *history = state->roles.granters_history;
  bool found = false;
  *until = 0;
  for (guint i = history->len; i-- > 0;)
    {
      const struct hf_granters *granters = &g_array_index (history, struct hf_granters, i);
      bool is_own = first_by_weight (granters->granters, subject) == state->boot_id;
      if (found && !is_own)
        return true;
      if (is_own)
        *since = granters->since;
      else
        *until = granters->since;
      found = found || is_own;
    }
  return found;
}

bool
hf_roles_lost_granter_at (const struct hf_state *state, int64_t time)
{
  const GArray *history = state->roles.granters_history;
  for (guint i = 0; i < history->len; i++)
    {
      const struct hf_granters *granters = &g_array_index (history, struct hf_granters, i);
      if (granters->since == time && granters->after_loss)
        return true;
    }
  return false;
}

uint64_t
hf_roles_granter_before (const struct hf_state *state, uint64_t subject, int64_t time)
{
  const GArray *history = state->roles.granters_history;
  for (guint i = history->len; i-- > 0;)
    {
      const struct hf_granters *granters = &g_array_index (history, struct hf_granters, i);
      if (granters->since < time)
        return first_by_weight (granters->granters, subject);
    }
  return 0;
}

void
hf_roles_rank_granters (const struct hf_state *state, uint64_t subject, uint64_t ranked[2])
{
  uint64_t weights[2] = { 0, 0 };
  ranked[0] = 0;
  ranked[1] = 0;
  for (guint i = 0; i < state->roles.granters->len; i++)
    {
      const struct hf_granter *granter = &g_array_index (state->roles.granters, struct hf_granter, i);
      uint64_t weight = hf_hash_pair (subject, granter->boot_id);
      unsigned rank = weight >= weights[0] ? 0 : 1;
      if (!granter->serves_all || weight < weights[1])
        continue;
      if (rank == 0)
        {
          weights[1] = weights[0];
          ranked[1] = ranked[0];
        }
      weights[rank] = weight;
      ranked[rank] = granter->boot_id;
    }
}

/* Without any entry of the slice's failure domain, one of the others is ranked next. */
uint64_t
hf_roles_slice_granter (const struct hf_state *state, const struct hf_service_state *slice)
{
  uint64_t granter = 0;
  if (slice->has_domain && slice->failure_domain)
    granter = choose_granter (state, slice->id, &slice->failure_domain);
  return granter ? granter : hf_roles_granter (state, slice->id);
}

bool
hf_roles_is_restarted_fleet (const struct hf_state *state)
{
  int64_t first;
  int64_t last;
  find_starts (state, &first, &last);
  return state->roles.reached > 1 && last - first < HF_FLEET_RESTART_SPREAD_MS * HF_MS;
}

/* One that has timed out may be a coordinator: the failure domains find each other again after they were cut off. */
bool
hf_roles_is_heartbeat_peer (const struct hf_state *state, const struct hf_member *member)
{
  bool skips_distant = hf_affinity_is_on (&state->affinity) && hf_affinity_has_spread (&state->affinity, state->now);
  if (skips_distant && !hf_state_is_in_own_domain (state, member))
    return state->roles.is_coordinator && (member->is_coordinator || member->timed_out);
  return state->roles.is_coordinator || member->is_coordinator;
}

/* After a change of the decision, the member may know it earlier or later than this entry. */
bool
hf_roles_expects_heartbeats (const struct hf_state *state, const struct hf_member *member)
{
  bool may_be_skipped = hf_affinity_is_on (&state->affinity) || !hf_affinity_has_spread (&state->affinity, state->now);
  if (may_be_skipped && !hf_state_is_in_own_domain (state, member))
    return member->is_coordinator || member->timed_out;
  return state->roles.is_coordinator || member->is_coordinator;
}

bool
hf_roles_reports_coordinators (const struct hf_state *state, const struct hf_member *member)
{
  return hf_affinity_is_on (&state->affinity) && state->roles.is_coordinator && !member->is_coordinator
         && hf_state_is_in_own_domain (state, member);
}

int64_t
hf_roles_heartbeat_rounds (const struct hf_state *state)
{
  int64_t n = 1;
  for (size_t i = 0; i < state->members->len; i++)
    n += !((const struct hf_member *) g_ptr_array_index (state->members, i))->timed_out;
  return CLAMP (n / HF_HEARTBEAT_MEMBERS_PER_ROUND, 1, HF_HEARTBEAT_ROUNDS_MAX);
}
