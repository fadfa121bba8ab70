/* Requests by organisation and outcome. */
#include "hf-organisation-counts.h"

#include "config.h"

/* --- constants --- */

#define REST_NAME "other"

static const char *const outcome_names[HF_ORGANISATION_OUTCOMES] = { [HF_ORGANISATION_ANSWERED] = "answered",
                                                                     [HF_ORGANISATION_NOT_RUN] = "not-run",
                                                                     [HF_ORGANISATION_UNKNOWN] = "unknown",
                                                                     [HF_ORGANISATION_GONE] = "gone" };

/* --- types --- */

struct record
{
  struct hf_str name;
  uint64_t requests; /* sum of @outcomes */
  uint64_t outcomes[HF_ORGANISATION_OUTCOMES];
};

/* --- internal functions --- */

static void
free_record (void *data)
{
  struct record *record = data;
  hf_str_free (&record->name);
  g_free (record);
}

static void
add_outcomes (uint64_t sum[HF_ORGANISATION_OUTCOMES], const uint64_t outcomes[HF_ORGANISATION_OUTCOMES])
{
  for (int i = 0; i < HF_ORGANISATION_OUTCOMES; i++)
    sum[i] += outcomes[i];
}

static struct record *
find_smallest (const struct hf_organisation_counts *counts)
{
  struct record *smallest = NULL;
  struct record *record;
  GHashTableIter iter;
  g_hash_table_iter_init (&iter, counts->records);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &record))
    if (!smallest || record->requests < smallest->requests)
      smallest = record;
  return smallest;
}

static struct record *
add_record (struct hf_organisation_counts *counts, struct hf_str name)
{
  struct record *smallest
      = g_hash_table_size (counts->records) >= HF_ORGANISATIONS_COUNTED_MAX ? find_smallest (counts) : NULL;
  if (smallest)
    {
      add_outcomes (counts->others, smallest->outcomes);
      g_hash_table_remove (counts->records, smallest->name.data);
    }
  struct record *record = g_new0 (struct record, 1);
  record->name = hf_str_dup (name);
  g_hash_table_insert (counts->records, (char *) record->name.data, record);
  return record;
}

/* The most requests first; by name where they are equal, so that the order is stable. */
static int
compare_records (const void *a, const void *b)
{
  const struct record *left = *(struct record *const *) a;
  const struct record *right = *(struct record *const *) b;
  if (left->requests != right->requests)
    return left->requests > right->requests ? -1 : 1;
  return g_strcmp0 (left->name.data, right->name.data);
}

static void
append_label_value (GString *text, struct hf_str value)
{
  for (size_t i = 0; i < value.len; i++)
    {
      if (value.data[i] == '"' || value.data[i] == '\\')
        g_string_append_c (text, '\\');
      g_string_append_c (text, value.data[i]);
    }
}

static void
write_series (GString *text, struct hf_str name, const uint64_t outcomes[HF_ORGANISATION_OUTCOMES])
{
  for (int i = 0; i < HF_ORGANISATION_OUTCOMES; i++)
    {
      g_string_append (text, "hickoryfield_organisation_requests_total{organisation=\"");
      append_label_value (text, name);
      g_string_append_printf (text, "\",outcome=\"%s\"} %" G_GUINT64_FORMAT "\n", outcome_names[i],
                              (guint64) outcomes[i]);
    }
}

static GPtrArray *
sort_records (const struct hf_organisation_counts *counts)
{
  GPtrArray *records = g_ptr_array_new ();
  gpointer record;
  GHashTableIter iter;
  g_hash_table_iter_init (&iter, counts->records);
  while (g_hash_table_iter_next (&iter, NULL, &record))
    g_ptr_array_add (records, record);
  g_ptr_array_sort (records, compare_records);
  return records;
}

/* --- public functions --- */

void
hf_organisation_counts_init (struct hf_organisation_counts *counts)
{
  *counts = (struct hf_organisation_counts){ 0 };
  counts->records = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_record);
}

void
hf_organisation_counts_close (struct hf_organisation_counts *counts)
{
  g_hash_table_destroy (counts->records);
}

void
hf_organisation_counts_add (struct hf_organisation_counts *counts,
                            struct hf_str organisation,
                            enum hf_organisation_outcome outcome)
{
  /* An organisation of this name would give the series of the rest twice. */
  if (hf_str_equal (organisation, hf_str (REST_NAME)))
    {
      counts->others[outcome]++;
      return;
    }
  struct record *record = g_hash_table_lookup (counts->records, organisation.data);
  if (!record)
    record = add_record (counts, organisation);
  record->requests++;
  record->outcomes[outcome]++;
}

void
hf_organisation_counts_write (const struct hf_organisation_counts *counts, GString *text)
{
  GPtrArray *records = sort_records (counts);
  uint64_t rest[HF_ORGANISATION_OUTCOMES] = { 0 };
  bool has_rest = records->len > HF_ORGANISATION_SERIES_MAX;
  for (int i = 0; i < HF_ORGANISATION_OUTCOMES; i++)
    has_rest = has_rest || counts->others[i] > 0;
  add_outcomes (rest, counts->others);
  if (records->len > 0 || has_rest)
    g_string_append (text, "# TYPE hickoryfield_organisation_requests_total counter\n");
  for (guint i = 0; i < records->len; i++)
    {
      const struct record *record = g_ptr_array_index (records, i);
      if (i < HF_ORGANISATION_SERIES_MAX)
        write_series (text, record->name, record->outcomes);
      else
        add_outcomes (rest, record->outcomes);
    }
  if (has_rest)
    write_series (text, hf_str (REST_NAME), rest);
  g_ptr_array_unref (records);
}
