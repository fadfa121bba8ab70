/* Entries that a backend server wants no requests from for a time. */
#include "hf-pushback.h"

#include "config.h"

/* --- internal functions --- */

static struct hf_pushback *
find (const GArray *pushbacks, uint64_t entry)
{
  for (guint i = 0; pushbacks && i < pushbacks->len; i++)
    if (g_array_index (pushbacks, struct hf_pushback, i).entry == entry)
      return &g_array_index (pushbacks, struct hf_pushback, i);
  return NULL;
}

/* --- public functions --- */

void
hf_pushback_set (GArray **pushbacks, uint64_t entry, int64_t until)
{
  struct hf_pushback *known = find (*pushbacks, entry);
  if (!*pushbacks)
    *pushbacks = g_array_new (FALSE, FALSE, sizeof (struct hf_pushback));
  if (!known)
    {
      g_array_append_val (*pushbacks, ((struct hf_pushback){ .entry = entry }));
      known = find (*pushbacks, entry);
    }
  known->until = MAX (known->until, until);
  known->slots = 1;
  known->successes = 0;
}

int64_t
hf_pushback_until (const GArray *pushbacks, uint64_t entry)
{
  const struct hf_pushback *pushback = find (pushbacks, entry);
  return pushback ? pushback->until : 0;
}

bool
hf_pushback_allows (const GArray *pushbacks, uint64_t entry, int64_t now)
{
  const struct hf_pushback *pushback = find (pushbacks, entry);
  return !pushback || (pushback->until <= now && pushback->granted < pushback->slots);
}

void
hf_pushback_count_grant (GArray *pushbacks, uint64_t entry)
{
  struct hf_pushback *pushback = find (pushbacks, entry);
  if (pushback)
    pushback->granted++;
}

/* Slots granted before the entry was in the list are not counted. */
void
hf_pushback_count_release (GArray *pushbacks, uint64_t entry)
{
  struct hf_pushback *pushback = find (pushbacks, entry);
  if (pushback && pushback->granted > 0)
    pushback->granted--;
}

void
hf_pushback_count_success (GArray *pushbacks, uint64_t entry, unsigned slots)
{
  struct hf_pushback *pushback = find (pushbacks, entry);
  if (!pushback || ++pushback->successes < HF_SLOW_START_SUCCESSES)
    return;
  pushback->successes = 0;
  pushback->slots++;
  if (pushback->slots > slots)
    hf_pushback_remove_entry (pushbacks, entry);
}

void
hf_pushback_remove_entry (GArray *pushbacks, uint64_t entry)
{
  for (guint i = 0; pushbacks && i < pushbacks->len; i++)
    if (g_array_index (pushbacks, struct hf_pushback, i).entry == entry)
      g_array_remove_index_fast (pushbacks, i--);
}
