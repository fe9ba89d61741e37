#include "runtimes.h"

#define DEFAULT_RUN_MS 300.0
#define MIN_SAMPLES 8
/* Least weight of an observation; the first ones weigh more. */
#define LEARNING_RATE 0.02

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

void
runtimes_observe (Runtimes *runtimes, guint declared_ms, guint run_ms)
{
  guint class = class_of (declared_ms);

  learn (&runtimes->mean_ms[class], &runtimes->samples[class], run_ms);
  learn (&runtimes->all_mean_ms, &runtimes->all_samples, run_ms);
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

double
runtimes_observe_work (Runtimes *runtimes, double work)
{
  learn (&runtimes->mean_work, &runtimes->work_samples, work);
  return runtimes->mean_work;
}
