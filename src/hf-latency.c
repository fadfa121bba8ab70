/* Latency histograms by request class and stage. */
#include "hf-latency.h"

#include <gsl/gsl_histogram.h>

#include "config.h"

/* --- constants --- */

#define BUCKETS_PER_DOUBLING 4
#define DOUBLINGS            16 /* from 1 ms to 65 s */
#define FIRST_LIMIT_MS       1.0
#define OTHER_CLASS          "(other)"

static const char *const stage_names[HF_STAGES]
    = { [HF_STAGE_SLOT] = "slot", [HF_STAGE_ATTEMPT] = "attempt", [HF_STAGE_WHOLE] = "whole" };

/* --- types --- */

struct stage_histogram
{
  gsl_histogram *buckets;
  double sum_ms;
  guint64 count;
};

struct class_histograms
{
  struct stage_histogram by_stage[HF_STAGES];
};

/* --- internal functions --- */

/* Bucket limits: 0, then equal steps within each doubling. */
static gsl_histogram *
make_histogram (void)
{
  double ranges[BUCKETS_PER_DOUBLING * DOUBLINGS + 2] = { 0 };
  for (int i = 0; i <= BUCKETS_PER_DOUBLING * DOUBLINGS; i++)
    {
      double lower_ms = FIRST_LIMIT_MS * (double) (1ULL << (i / BUCKETS_PER_DOUBLING));
      ranges[i + 1] = lower_ms + lower_ms * (i % BUCKETS_PER_DOUBLING) / BUCKETS_PER_DOUBLING;
    }
  gsl_histogram *histogram = gsl_histogram_alloc (BUCKETS_PER_DOUBLING * DOUBLINGS + 1);
  gsl_histogram_set_ranges (histogram, ranges, G_N_ELEMENTS (ranges));
  return histogram;
}

static void
free_class (void *data)
{
  struct class_histograms *histograms = data;
  for (int i = 0; i < HF_STAGES; i++)
    gsl_histogram_free (histograms->by_stage[i].buckets);
  g_free (histograms);
}

static struct class_histograms *
find_or_add_class (struct hf_latency *latency, struct hf_str class)
{
  char *name = g_strndup (class.data, class.len);
  struct class_histograms *histograms = g_hash_table_lookup (latency->classes, name);
  if (!histograms && g_hash_table_size (latency->classes) >= HF_LATENCY_CLASSES_MAX)
    {
      g_free (name);
      name = g_strdup (OTHER_CLASS);
      histograms = g_hash_table_lookup (latency->classes, name);
    }
  if (histograms)
    {
      g_free (name);
      return histograms;
    }
  histograms = g_new0 (struct class_histograms, 1);
  for (int i = 0; i < HF_STAGES; i++)
    histograms->by_stage[i].buckets = make_histogram ();
  g_hash_table_insert (latency->classes, name, histograms);
  return histograms;
}

/* The upper limit of the bucket that holds the quantile. */
static int64_t
quantile_us (const struct stage_histogram *histogram, double quantile)
{
  double cumulative = 0;
  double upper = 0;
  for (size_t i = 0; i < gsl_histogram_bins (histogram->buckets); i++)
    {
      double lower;
      gsl_histogram_get_range (histogram->buckets, i, &lower, &upper);
      cumulative += gsl_histogram_get (histogram->buckets, i);
      if (cumulative >= quantile * (double) histogram->count)
        break;
    }
  return (int64_t) (upper * 1000.0);
}

static void
write_histogram (GString *text, const char *class, const char *stage, const struct stage_histogram *histogram)
{
  guint64 cumulative = 0;
  for (size_t i = 0; i < gsl_histogram_bins (histogram->buckets); i++)
    {
      double lower;
      double upper;
      double count = gsl_histogram_get (histogram->buckets, i);
      if (count <= 0)
        continue;
      gsl_histogram_get_range (histogram->buckets, i, &lower, &upper);
      cumulative += (guint64) count;
      g_string_append_printf (text,
                              "hickoryfield_latency_seconds_bucket{class=\"%s\",stage=\"%s\",le=\"%g\"} "
                              "%" G_GUINT64_FORMAT "\n",
                              class, stage, upper / 1000, cumulative);
    }
  g_string_append_printf (
      text, "hickoryfield_latency_seconds_bucket{class=\"%s\",stage=\"%s\",le=\"+Inf\"} %" G_GUINT64_FORMAT "\n", class,
      stage, histogram->count);
  g_string_append_printf (text, "hickoryfield_latency_seconds_sum{class=\"%s\",stage=\"%s\"} %g\n", class, stage,
                          histogram->sum_ms / 1000);
  g_string_append_printf (text, "hickoryfield_latency_seconds_count{class=\"%s\",stage=\"%s\"} %" G_GUINT64_FORMAT "\n",
                          class, stage, histogram->count);
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
hf_latency_record (struct hf_latency *latency, struct hf_str class, enum hf_latency_stage stage, int64_t us)
{
  struct stage_histogram *histogram = &find_or_add_class (latency, class)->by_stage[stage];
  double ms = MAX ((double) us / 1000.0, 0);
  gsl_histogram_increment (histogram->buckets, ms); /* above the last bucket: only in count and sum */
  histogram->sum_ms += ms;
  histogram->count++;
}

int64_t
hf_latency_quantile (const struct hf_latency *latency,
                     struct hf_str class,
                     enum hf_latency_stage stage,
                     double quantile)
{
  char *name = g_strndup (class.data, class.len);
  const struct class_histograms *histograms = g_hash_table_lookup (latency->classes, name);
  g_free (name);
  if (!histograms || histograms->by_stage[stage].count < HF_LATENCY_SAMPLES_MIN)
    return -1;
  return quantile_us (&histograms->by_stage[stage], quantile);
}

void
hf_latency_write (const struct hf_latency *latency, GString *text)
{
  g_string_append (text, "# TYPE hickoryfield_latency_seconds histogram\n");
  GList *names = g_list_sort (g_hash_table_get_keys (latency->classes), (GCompareFunc) g_strcmp0);
  for (GList *name = names; name; name = name->next)
    {
      const struct class_histograms *histograms = g_hash_table_lookup (latency->classes, name->data);
      for (int i = 0; i < HF_STAGES; i++)
        write_histogram (text, name->data, stage_names[i], &histograms->by_stage[i]);
    }
  g_list_free (names);
}
