#include "histograms.h"

/* Upper bounds in milliseconds, from a hop between processes to a whole request. */
static const guint bounds[] = { 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000 };

typedef struct
{
  guint64 buckets[G_N_ELEMENTS (bounds) + 1];
  guint64 count;
  guint64 sum_ms;
} HistogramData;

static HistogramData histograms[HISTOGRAM_LAST];

static const char *const names[] = {
#define X(id, name, text) name,
  HISTOGRAM_LIST (X)
#undef X
};

static const char *const texts[] = {
#define X(id, name, text) text,
  HISTOGRAM_LIST (X)
#undef X
};

void
histogram_observe (Histogram histogram, gint64 ms)
{
  HistogramData *data = &histograms[histogram];
  guint64 value = (guint64)MAX (ms, 0);
  gsize i = 0;

  while (i < G_N_ELEMENTS (bounds) && value > bounds[i])
    i++;
  data->buckets[i]++;
  data->count++;
  data->sum_ms += value;
}

static void
append_histogram (GString *page, Histogram histogram)
{
  const HistogramData *data = &histograms[histogram];
  const char *name = names[histogram];
  guint64 cumulative = 0;

  g_string_append_printf (page, "# HELP %s %s\n# TYPE %s histogram\n", name,
                          texts[histogram], name);
  for (gsize i = 0; i < G_N_ELEMENTS (bounds); i++)
    {
      cumulative += data->buckets[i];
      g_string_append_printf (page, "%s_bucket{le=\"%u\"} %" G_GUINT64_FORMAT "\n", name,
                              bounds[i], cumulative);
    }
  g_string_append_printf (page,
                          "%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT
                          "\n%s_sum %" G_GUINT64_FORMAT "\n%s_count %" G_GUINT64_FORMAT
                          "\n",
                          name, data->count, name, data->sum_ms, name, data->count);
}

char *
histograms_page (void)
{
  GString *page = g_string_new (NULL);

  for (int i = 0; i < HISTOGRAM_LAST; i++)
    append_histogram (page, i);
  return g_string_free (page, FALSE);
}
