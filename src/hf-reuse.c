/* Which kept connection may carry which request. */
#include "hf-reuse.h"

#include "config.h"

/* --- public functions --- */

void
hf_carried_add (struct hf_carried *carried, struct hf_str id)
{
  if (id.len == 0)
    return;
  if (!carried->ids)
    carried->ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  uint64_t hash = hf_hash (id, 0);
  g_array_append_val (carried->ids, hash);
}

bool
hf_carried_has (const struct hf_carried *carried, struct hf_str id)
{
  if (!carried->ids || id.len == 0)
    return false;
  uint64_t hash = hf_hash (id, 0);
  for (guint i = 0; i < carried->ids->len; i++)
    if (g_array_index (carried->ids, uint64_t, i) == hash)
      return true;
  return false;
}

bool
hf_carried_is_full (const struct hf_carried *carried)
{
  return carried->ids && carried->ids->len >= HF_CONNECTION_IDS_MAX;
}

void
hf_carried_clear (struct hf_carried *carried)
{
  g_clear_pointer (&carried->ids, g_array_unref);
}

enum hf_reuse
hf_reuse_decide (const struct hf_kept_connection *kept, struct hf_str id, int64_t idle_max_us)
{
  if (!kept->usable || kept->idle_us >= kept->idle_timeout_us || hf_carried_is_full (kept->carried))
    return HF_REUSE_NEVER;
  if (kept->idle_us > idle_max_us)
    return HF_REUSE_IDLE_LONG;
  if (hf_carried_has (kept->carried, id))
    return HF_REUSE_NOT_BY_THIS;
  return HF_REUSE_YES;
}
