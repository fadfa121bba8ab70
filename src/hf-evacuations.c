/* Failure domains whose backend servers get no requests. */
#include "hf-evacuations.h"

/* --- internal functions --- */

static size_t
find (const struct hf_evacuation_set *set, uint64_t domain)
{
  size_t i = 0;
  while (i < set->n && set->domains[i] != domain)
    i++;
  return i;
}

static bool
is_equal (const struct hf_evacuation_set *a, const struct hf_evacuation_set *b)
{
  if (a->n != b->n)
    return false;
  for (size_t i = 0; i < a->n; i++)
    if (!hf_evacuation_set_contains (b, a->domains[i]))
      return false;
  return true;
}

/* --- public functions --- */

void
hf_evacuations_begin_list (struct hf_evacuations *evacuations)
{
  evacuations->reported.n = 0;
}

bool
hf_evacuations_report (struct hf_evacuations *evacuations, uint64_t domain, bool evacuated)
{
  struct hf_evacuation_set *set = &evacuations->reported;
  size_t i = find (set, domain);
  if (!evacuated)
    {
      if (i < set->n)
        set->domains[i] = set->domains[--set->n];
      return true;
    }
  if (i < set->n)
    return true;
  if (set->n == HF_EVACUATIONS_MAX)
    return false;
  set->domains[set->n++] = domain;
  return true;
}

bool
hf_evacuations_end_step (struct hf_evacuations *evacuations, struct hf_store_position position)
{
  const struct hf_evacuation_set reported = evacuations->reported;
  return hf_evacuations_merge (evacuations, &reported, position);
}

bool
hf_evacuations_merge (struct hf_evacuations *evacuations,
                      const struct hf_evacuation_set *set,
                      struct hf_store_position position)
{
  if (hf_store_position_compare (position, evacuations->position) <= 0)
    return false;
  bool differs = !is_equal (&evacuations->in_force, set);
  evacuations->position = position;
  evacuations->in_force = *set;
  return differs;
}

bool
hf_evacuations_contain (const struct hf_evacuations *evacuations, uint64_t domain)
{
  return domain != 0 && hf_evacuation_set_contains (&evacuations->in_force, domain);
}

bool
hf_evacuation_set_contains (const struct hf_evacuation_set *set, uint64_t domain)
{
  return find (set, domain) < set->n;
}
