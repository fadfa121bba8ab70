/* Entries with duties for the others. */
#include "hf-roles.h"

/* --- types --- */

/* An entry that may get a duty. */
struct candidate
{
  struct hf_member *member; /* NULL: this entry */
  uint64_t boot;            /* 0: not heard of yet */
  uint64_t failure_domain;
  uint64_t rank; /* among those with the same processor time */
  double cpu_share;
  bool blind;
  bool coordinates;
  bool watches;
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
  return left->rank < right->rank ? -1 : left->rank > right->rank;
}

static GArray *
list_candidates (const struct hf_state *state)
{
  GArray *candidates = g_array_new (FALSE, TRUE, sizeof (struct candidate));
  struct candidate own = { .boot = state->boot,
                           .failure_domain = hf_hash (state->failure_domain, 0),
                           .rank = hf_hash (state->address, 0),
                           .cpu_share = state->cpu_share,
                           .blind = state->directory.blind_until > state->now };
  if (!state->leaving)
    g_array_append_val (candidates, own);
  for (guint i = 0; i < state->members->len; i++)
    {
      struct hf_member *member = g_ptr_array_index (state->members, i);
      struct candidate other = { .member = member,
                                 .boot = member->alive ? member->boot : 0,
                                 .failure_domain = member->failure_domain,
                                 .rank = hf_hash (member->address, 0),
                                 .cpu_share = member->cpu_share,
                                 .blind = member->blind };
      if (!member->silent && !member->leaving)
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

/* --- internal functions: duties --- */

/* Candidates from @begin to @end are those of one failure domain, in order. */
static void
choose_in_domain (GArray *candidates, guint begin, guint end)
{
  guint entries = end - begin;
  guint coordinators = MAX (HF_COORDINATORS_MIN, (entries + HF_COORDINATED_ENTRIES - 1) / HF_COORDINATED_ENTRIES);
  guint watchers = 0;
  if (candidates->len <= HF_SMALL_FLEET)
    coordinators = entries;
  for (guint i = begin; i < end; i++)
    {
      struct candidate *candidate = candidate_at (candidates, i);
      candidate->coordinates = i - begin < coordinators;
      candidate->watches = !candidate->blind && watchers < HF_DOMAIN_WATCHERS;
      watchers += candidate->watches;
    }
}

static void
choose (GArray *candidates)
{
  for (guint begin = 0, end; begin < candidates->len; begin = end)
    {
      uint64_t domain = candidate_at (candidates, begin)->failure_domain;
      for (end = begin; end < candidates->len && candidate_at (candidates, end)->failure_domain == domain;)
        end++;
      choose_in_domain (candidates, begin, end);
    }
}

static double
largest_share (GArray *candidates)
{
  double share = 0;
  for (guint i = 0; i < candidates->len; i++)
    {
      const struct candidate *candidate = candidate_at (candidates, i);
      if (candidate->coordinates && candidate->boot)
        share = MAX (share, candidate->cpu_share);
    }
  return share;
}

static void
forget_duties (struct hf_state *state)
{
  state->roles.coordinates = false;
  state->roles.watches = false;
  g_array_set_size (state->roles.granters, 0);
  for (guint i = 0; i < state->members->len; i++)
    {
      struct hf_member *member = g_ptr_array_index (state->members, i);
      member->coordinates = false;
      member->watches = false;
    }
}

static void
give_duties (struct hf_state *state, GArray *candidates)
{
  double least = largest_share (candidates) * HF_GRANTER_SHARE;
  for (guint i = 0; i < candidates->len; i++)
    {
      const struct candidate *candidate = candidate_at (candidates, i);
      bool *coordinates = candidate->member ? &candidate->member->coordinates : &state->roles.coordinates;
      bool *watches = candidate->member ? &candidate->member->watches : &state->roles.watches;
      *coordinates = candidate->coordinates;
      *watches = candidate->watches;
      if (candidate->coordinates && candidate->boot && candidate->cpu_share >= least)
        g_array_append_val (state->roles.granters, candidate->boot);
    }
}

/* --- public functions --- */

void
hf_roles_init (struct hf_roles *roles)
{
  *roles = (struct hf_roles){ .granters = g_array_new (FALSE, FALSE, sizeof (uint64_t)), .changed = true };
}

void
hf_roles_close (struct hf_roles *roles)
{
  g_array_unref (roles->granters);
}

void
hf_roles_update (struct hf_state *state)
{
  GArray *candidates = list_candidates (state);
  bool watched = state->roles.watches;
  forget_duties (state);
  choose (candidates);
  give_duties (state, candidates);
  if (state->roles.watches && !watched)
    state->roles.watches_since = state->now;
  state->roles.changed = false;
  g_array_unref (candidates);
}

uint64_t
hf_roles_granter (const struct hf_state *state, uint64_t subject)
{
  uint64_t granter = state->boot;
  uint64_t best = 0;
  for (guint i = 0; i < state->roles.granters->len; i++)
    {
      uint64_t boot = g_array_index (state->roles.granters, uint64_t, i);
      uint64_t weight = hf_hash_pair (subject, boot);
      if (weight < best)
        continue;
      best = weight;
      granter = boot;
    }
  return granter;
}

bool
hf_roles_beats_with (const struct hf_state *state, const struct hf_member *to)
{
  return state->roles.coordinates || to->coordinates;
}
