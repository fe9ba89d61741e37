#include "relative_speed.h"

/* If the 90th percentile is less than this many times the 10th, the differences are
 * within the error of measured speeds. The lower limit holds once they were above the
 * first: servers join and leave the comparison all the time. */
#define SPREAD_MIN 1.25
#define SPREAD_STAYS_MIN 1.15
/* Among equal servers, one this much slower than the median is slow for a reason of its
 * own. Between tasks of sound servers run times vary up to this factor. */
#define OUTLIER_MIN 1.6
/* Limits of a relative run time, so that one wrong speed cannot draw all work to its
 * server or make it count as many. */
#define TIME_MIN 0.25
#define TIME_MAX 4.0

static gboolean
is_known (const RelativeSpeed *speed, guint min_runs)
{
  return min_runs > 0 && speed->runs >= min_runs
         && speed->percent >= RELATIVE_SPEED_PERCENT_MIN
         && speed->percent <= RELATIVE_SPEED_PERCENT_MAX;
}

static int
compare_double (gconstpointer a, gconstpointer b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}

/* @sorted must not be empty. */
static double
quantile (const GArray *sorted, double q)
{
  return g_array_index (sorted, double, (guint)((sorted->len - 1) * q + 0.5));
}

static GArray *
known_percents (const RelativeSpeed *speeds, gsize n, guint min_runs)
{
  GArray *percents = g_array_new (FALSE, FALSE, sizeof (double));

  for (gsize i = 0; i < n; i++)
    {
      double percent = speeds[i].percent;

      if (is_known (&speeds[i], min_runs))
        g_array_append_val (percents, percent);
    }
  g_array_sort (percents, compare_double);
  return percents;
}

static double
relative_time (const RelativeSpeed *speed, double median, gboolean spread)
{
  double time = CLAMP (speed->percent / median, TIME_MIN, TIME_MAX);

  return spread || time > OUTLIER_MIN ? time : 1;
}

static double
fast_time (const RelativeSpeed *speeds, gsize n)
{
  GArray *times = g_array_new (FALSE, FALSE, sizeof (double));
  double fast;

  for (gsize i = 0; i < n; i++)
    g_array_append_val (times, speeds[i].time);
  g_array_sort (times, compare_double);
  fast = quantile (times, 0.1);
  g_array_unref (times);
  return fast;
}

RelativeSpread
relative_speed_compute (RelativeSpeed *speeds, gsize n, guint min_runs, gboolean differed)
{
  RelativeSpread spread = { .fast = 1 };
  GArray *percents = known_percents (speeds, n, min_runs);
  double least = differed ? SPREAD_STAYS_MIN : SPREAD_MIN;
  double median;

  for (gsize i = 0; i < n; i++)
    speeds[i].time = 1;
  spread.known = percents->len;
  if (percents->len == 0)
    goto out;
  median = quantile (percents, 0.5);
  spread.differ = quantile (percents, 0.9) >= least * quantile (percents, 0.1);
  for (gsize i = 0; i < n; i++)
    {
      if (!is_known (&speeds[i], min_runs))
        continue;
      speeds[i].time = relative_time (&speeds[i], median, spread.differ);
      spread.uneven |= speeds[i].time != 1;
    }
  if (spread.uneven)
    spread.fast = fast_time (speeds, n);

out:
  g_array_unref (percents);
  return spread;
}
