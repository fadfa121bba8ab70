/* Latency histograms by request class and stage. */
#include "hf-latency.h"

#include <gsl/gsl_histogram.h>

#include "config.h"

/* --- constants --- */

#define STEPS       4  /* buckets for each doubling */
#define DOUBLINGS   16 /* from 1 ms to 65 s */
#define FIRST_MS    1.0
#define OTHER_CLASS "(other)"

static const char *const stage_names[HF_STAGES]
    = { [HF_STAGE_SLOT] = "slot", [HF_STAGE_ATTEMPT] = "attempt", [HF_STAGE_WHOLE] = "whole" };

/* --- types --- */

struct times
{
  gsl_histogram *histogram;
  double sum_ms;
  guint64 count;
};

struct class_times
{
  struct times stages[HF_STAGES];
};

/* --- internal functions --- */

/* 0, then each doubling in equal steps. */
static gsl_histogram *
make_histogram (void)
{
  double ranges[STEPS * DOUBLINGS + 2] = { 0 };
  for (int i = 0; i <= STEPS * DOUBLINGS; i++)
    {
      double octave = FIRST_MS * (double) (1ULL << (i / STEPS));
      ranges[i + 1] = octave + octave * (i % STEPS) / STEPS;
    }
  gsl_histogram *histogram = gsl_histogram_alloc (STEPS * DOUBLINGS + 1);
  gsl_histogram_set_ranges (histogram, ranges, G_N_ELEMENTS (ranges));
  return histogram;
}

static void
free_class (void *data)
{
  struct class_times *times = data;
  for (int i = 0; i < HF_STAGES; i++)
    gsl_histogram_free (times->stages[i].histogram);
  g_free (times);
}

static struct class_times *
find_class (struct hf_latency *latency, struct hf_str class)
{
  char *name = g_strndup (class.data, class.len);
  struct class_times *times = g_hash_table_lookup (latency->classes, name);
  if (!times && g_hash_table_size (latency->classes) >= HF_LATENCY_CLASSES_MAX)
    {
      g_free (name);
      name = g_strdup (OTHER_CLASS);
      times = g_hash_table_lookup (latency->classes, name);
    }
  if (times)
    {
      g_free (name);
      return times;
    }
  times = g_new0 (struct class_times, 1);
  for (int i = 0; i < HF_STAGES; i++)
    times->stages[i].histogram = make_histogram ();
  g_hash_table_insert (latency->classes, name, times);
  return times;
}

static void
write_times (GString *text, const char *class, const char *stage, const struct times *times)
{
  guint64 below = 0;
  for (size_t i = 0; i < gsl_histogram_bins (times->histogram); i++)
    {
      double lower;
      double upper;
      double count = gsl_histogram_get (times->histogram, i);
      if (count <= 0)
        continue;
      gsl_histogram_get_range (times->histogram, i, &lower, &upper);
      below += (guint64) count;
      g_string_append_printf (text,
                              "hickoryfield_latency_seconds_bucket{class=\"%s\",stage=\"%s\",le=\"%g\"} "
                              "%" G_GUINT64_FORMAT "\n",
                              class, stage, upper / 1000, below);
    }
  g_string_append_printf (
      text, "hickoryfield_latency_seconds_bucket{class=\"%s\",stage=\"%s\",le=\"+Inf\"} %" G_GUINT64_FORMAT "\n", class,
      stage, times->count);
  g_string_append_printf (text, "hickoryfield_latency_seconds_sum{class=\"%s\",stage=\"%s\"} %g\n", class, stage,
                          times->sum_ms / 1000);
  g_string_append_printf (text, "hickoryfield_latency_seconds_count{class=\"%s\",stage=\"%s\"} %" G_GUINT64_FORMAT "\n",
                          class, stage, times->count);
}

/* --- public functions --- */

void
hf_latency_init (struct hf_latency *latency)
{
  latency->classes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_class);
}

void
hf_latency_close (struct hf_latency *latency)
{
  g_hash_table_destroy (latency->classes);
}

void
hf_latency_add (struct hf_latency *latency, struct hf_str class, enum hf_stage stage, int64_t us)
{
  struct times *times = &find_class (latency, class)->stages[stage];
  double ms = MAX ((double) us / 1000.0, 0);
  gsl_histogram_increment (times->histogram, ms); /* longer than the last bucket: only in count and sum */
  times->sum_ms += ms;
  times->count++;
}

void
hf_latency_write (const struct hf_latency *latency, GString *text)
{
  g_string_append (text, "# TYPE hickoryfield_latency_seconds histogram\n");
  GList *names = g_list_sort (g_hash_table_get_keys (latency->classes), (GCompareFunc) g_strcmp0);
  for (GList *name = names; name; name = name->next)
    {
      const struct class_times *times = g_hash_table_lookup (latency->classes, name->data);
      for (int i = 0; i < HF_STAGES; i++)
        write_times (text, name->data, stage_names[i], &times->stages[i]);
    }
  g_list_free (names);
}
