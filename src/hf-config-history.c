/* Compressed documents of the last generations. */
#include "hf-config-history.h"

/* --- internal functions --- */

static void
clear_copy (void *data)
{
  struct hf_config_copy *copy = data;
  g_bytes_unref (copy->packed);
}

static const struct hf_config_copy *
copy_at (const GArray *history, guint i)
{
  return &g_array_index (history, struct hf_config_copy, i);
}

static size_t
count_bytes (const GArray *history)
{
  size_t bytes = 0;
  for (guint i = 0; i < history->len; i++)
    bytes += g_bytes_get_size (copy_at (history, i)->packed);
  return bytes;
}

/* --- public functions --- */

GArray *
hf_config_history_new (void)
{
  GArray *history = g_array_new (FALSE, FALSE, sizeof (struct hf_config_copy));
  g_array_set_clear_func (history, clear_copy);
  return history;
}

void
hf_config_history_add (GArray *history, struct hf_config_copy copy)
{
  g_array_append_val (history, copy);
  while (history->len > HF_CONFIG_HISTORY_MAX
         || (history->len > 1 && count_bytes (history) > HF_CONFIG_HISTORY_BYTES_MAX))
    g_array_remove_index (history, 0);
}

const struct hf_config_copy *
hf_config_history_find (const GArray *history, uint64_t generation)
{
  for (guint i = 0; i < history->len; i++)
    if (copy_at (history, i)->generation == generation)
      return copy_at (history, i);
  return NULL;
}
