#include "runtimes.h"

#include <math.h>

#define DEFAULT_RUN_MS 300.0
#define MIN_SAMPLES 8
/* Least weight of an observation; the first ones weigh more. */
#define LEARNING_RATE 0.02
/* The same in a histogram: its tail needs more runs than a mean. A tail of 3% of the runs
 * is known within about a fifth; a change of run times is forgotten after 1,500 runs. */
#define SHAPE_RATE 0.003
/* Buckets below a class's mean: a factor of 8. */
#define BUCKETS_BELOW (3 * RUNTIMES_PER_OCTAVE)
/* The buckets follow the mean only once it is this many away from its place, so that they
 * do not move with each run. */
#define SHIFT_FROM 2
/* Standard deviation of the logarithm of run times while none were observed. Run times
 * vary by about half of their mean. */
#define DEFAULT_LOG_SPREAD 0.5
/* Steps by which a bucket is divided in the expectation of the slowest of many. */
#define BUCKET_STEPS 8

static guint
class_of (guint declared_ms)
{
  guint class = 0;

  for (guint rest = declared_ms; rest > 0; rest >>= 1)
    class ++;
  return MIN (class, RUNTIMES_CLASSES - 1);
}

static void
learn (double *mean, guint *samples, double run_ms)
{
  double rate;

  (*samples)++;
  rate = MAX (1.0 / *samples, LEARNING_RATE);
  *mean += rate * (run_ms - *mean);
}

/* Buckets are numbered from 0 at 1 ms. */
static int
bucket_number (double run_ms)
{
  return (int)floor (RUNTIMES_PER_OCTAVE * log2 (MAX (run_ms, 1)));
}

static double
bucket_ms (double number)
{
  return exp2 (number / RUNTIMES_PER_OCTAVE);
}

static void
shift_buckets (RuntimesHistogram *histogram, int first)
{
  RuntimesHistogram moved = { .first = first };

  for (int i = 0; i < RUNTIMES_BUCKETS; i++)
    moved.share[CLAMP (i + histogram->first - first, 0, RUNTIMES_BUCKETS - 1)]
        += histogram->share[i];
  *histogram = moved;
}

/* The buckets hold times, not ratios: a mean that moves does not falsify what was
 * observed before. */
static void
histogram_observe_run (RuntimesHistogram *histogram,
                       guint samples,
                       double mean_ms,
                       double run_ms)
{
  int first = bucket_number (mean_ms) - BUCKETS_BELOW;
  float rate = (float)MAX (1.0 / samples, SHAPE_RATE);
  int place;

  if (samples == 1 || ABS (first - histogram->first) >= SHIFT_FROM)
    shift_buckets (histogram, first);
  place = CLAMP (bucket_number (run_ms) - histogram->first, 0, RUNTIMES_BUCKETS - 1);
  for (guint i = 0; i < RUNTIMES_BUCKETS; i++)
    histogram->share[i] *= 1 - rate;
  histogram->share[place] += rate;
}

void
runtimes_observe_on (Runtimes *runtimes, guint declared_ms, guint run_ms, double relative)
{
  guint class = class_of (declared_ms);
  double own_ms = isfinite (relative) && relative > 0 ? run_ms / relative : run_ms;

  learn (&runtimes->mean_ms[class], &runtimes->samples[class], own_ms);
  learn (&runtimes->all_mean_ms, &runtimes->all_samples, own_ms);
  histogram_observe_run (&runtimes->histograms[class], runtimes->samples[class],
                         runtimes->mean_ms[class], own_ms);
}

void
runtimes_observe (Runtimes *runtimes, guint declared_ms, guint run_ms)
{
  runtimes_observe_on (runtimes, declared_ms, run_ms, 1);
}

double
runtimes_estimate (const Runtimes *runtimes, guint declared_ms)
{
  guint class = class_of (declared_ms);

  if (runtimes->samples[class] >= MIN_SAMPLES)
    return runtimes->mean_ms[class];
  if (runtimes->all_samples >= MIN_SAMPLES)
    return runtimes->all_mean_ms;
  return declared_ms > 0 ? declared_ms : DEFAULT_RUN_MS;
}

gboolean
runtimes_has_shape (const Runtimes *runtimes, guint declared_ms)
{
  return runtimes->samples[class_of (declared_ms)] >= RUNTIMES_SHAPE_SAMPLES;
}

/* Share of a log-normal distribution of mean 1 below @ratio. */
static double
default_share_below (double ratio)
{
  double z = log (ratio) / DEFAULT_LOG_SPREAD + DEFAULT_LOG_SPREAD / 2;

  return erfc (-z / G_SQRT2) / 2;
}

static RuntimesHistogram
default_shape (double mean_ms)
{
  RuntimesHistogram histogram = { .first = bucket_number (mean_ms) - BUCKETS_BELOW };
  double before = 0;

  for (int i = 0; i < RUNTIMES_BUCKETS; i++)
    {
      double below = default_share_below (bucket_ms (histogram.first + i + 1) / mean_ms);

      histogram.share[i] = (float)(below - before);
      before = below;
    }
  return histogram;
}

static RuntimesHistogram
shape_of (const Runtimes *runtimes, guint declared_ms)
{
  if (runtimes_has_shape (runtimes, declared_ms))
    return runtimes->histograms[class_of (declared_ms)];
  return default_shape (runtimes_estimate (runtimes, declared_ms));
}

static double
total_share (const RuntimesHistogram *histogram)
{
  double total = 0;

  for (guint i = 0; i < RUNTIMES_BUCKETS; i++)
    total += histogram->share[i];
  return total;
}

double
runtimes_quantile (const Runtimes *runtimes, guint declared_ms, double q)
{
  RuntimesHistogram histogram = shape_of (runtimes, declared_ms);
  double left = CLAMP (q, 0, 1) * total_share (&histogram);

  for (int i = 0; i < RUNTIMES_BUCKETS; i++)
    {
      if (histogram.share[i] > 0 && left <= histogram.share[i])
        return bucket_ms (histogram.first + i + left / histogram.share[i]);
      left -= histogram.share[i];
    }
  return bucket_ms (histogram.first + RUNTIMES_BUCKETS);
}

double
runtimes_slowest (const Runtimes *runtimes, guint declared_ms, guint n)
{
  RuntimesHistogram histogram = shape_of (runtimes, declared_ms);
  double total = total_share (&histogram);
  double below = 0;
  double before = 0;
  double slowest_ms = 0;

  for (int i = 0; i < RUNTIMES_BUCKETS * BUCKET_STEPS; i++)
    {
      double number = (i + 0.5) / BUCKET_STEPS;
      double all_below;

      below += histogram.share[i / BUCKET_STEPS] / total / BUCKET_STEPS;
      all_below = pow (MIN (below, 1), MAX (n, 1));
      slowest_ms += (all_below - before) * bucket_ms (histogram.first + number);
      before = all_below;
    }
  return slowest_ms;
}

double
runtimes_share_above (const Runtimes *runtimes, guint declared_ms, double run_ms)
{
  RuntimesHistogram histogram = shape_of (runtimes, declared_ms);
  double number = RUNTIMES_PER_OCTAVE * log2 (MAX (run_ms, 1)) - histogram.first;
  double above = 0;

  for (int i = 0; i < RUNTIMES_BUCKETS; i++)
    above += histogram.share[i] * CLAMP (i + 1 - number, 0, 1);
  return above / total_share (&histogram);
}

double
runtimes_log_spread (const Runtimes *runtimes, guint declared_ms)
{
  RuntimesHistogram histogram = shape_of (runtimes, declared_ms);
  double total = total_share (&histogram);
  double mean = 0;
  double square = 0;

  for (guint i = 0; i < RUNTIMES_BUCKETS; i++)
    {
      double value = (i + 0.5) * G_LN2 / RUNTIMES_PER_OCTAVE;

      mean += histogram.share[i] / total * value;
      square += histogram.share[i] / total * value * value;
    }
  return sqrt (MAX (square - mean * mean, 0));
}

double
runtimes_observe_work (Runtimes *runtimes, double work)
{
  learn (&runtimes->mean_work, &runtimes->work_samples, work);
  return runtimes->mean_work;
}
