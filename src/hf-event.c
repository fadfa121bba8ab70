/* Lists of effects. */
#include "hf-event.h"

/* --- internal functions --- */

static int
compare_numbers (uint64_t a, uint64_t b)
{
  return (a > b) - (a < b);
}

/* --- public functions: reports --- */

int
hf_server_report_compare_age (const struct hf_server_report *a, const struct hf_server_report *b)
{
  int order = compare_numbers (a->incarnation, b->incarnation);
  return order ? order : compare_numbers (a->sequence, b->sequence);
}

/* --- public functions: effects --- */

void
hf_effects_init (struct hf_effects *effects)
{
  effects->items = g_array_new (FALSE, FALSE, sizeof (struct hf_effect));
  effects->strings = g_string_chunk_new (1024);
  effects->allocations = g_ptr_array_new_with_free_func (g_free);
}

void
hf_effects_close (struct hf_effects *effects)
{
  g_array_unref (effects->items);
  g_string_chunk_free (effects->strings);
  g_ptr_array_unref (effects->allocations);
}

void
hf_effects_add (struct hf_effects *effects, struct hf_effect effect)
{
  g_array_append_val (effects->items, effect);
}

struct hf_str
hf_effects_copy (struct hf_effects *effects, struct hf_str text)
{
  return (struct hf_str){ .data
                          = g_string_chunk_insert_len (effects->strings, text.data ? text.data : "", (gssize) text.len),
                          .len = text.len };
}

void *
hf_effects_alloc (struct hf_effects *effects, size_t size)
{
  void *memory = g_malloc0 (size);
  g_ptr_array_add (effects->allocations, memory);
  return memory;
}
