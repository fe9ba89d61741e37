#include "arrivals.h"

#include <math.h>

/* Time constant of the decay: long enough to see some tens of jobs at an entry, short
 * enough to follow a burst of a few seconds. */
#define DECAY_MS 1000.0
/* Arrivals right after a restart are not counted: they gathered while nobody answered and
 * are no lasting rate. */
#define INRUSH_MS 250
/* With less than this share of the decay window seen, a rate is too uncertain to be
 * scaled up in full. */
#define SEEN_LEAST 0.3
#define BUCKETS_PER_DOUBLING 4
#define LOWEST_RANK (1.0 / 256)

static guint
bucket_of (double rank)
{
  double doublings = log2 (MAX (rank / LOWEST_RANK, 1));

  return (guint)MIN (doublings * BUCKETS_PER_DOUBLING, ARRIVALS_BUCKETS - 1);
}

static double
decay_factor (const Arrivals *arrivals, gint64 now_ms)
{
  return exp (-(double)(now_ms - arrivals->decayed_ms) / DECAY_MS);
}

void
arrivals_observe (Arrivals *arrivals, double rank, double work, gint64 now_ms)
{
  double factor = decay_factor (arrivals, now_ms);

  if (arrivals->first_ms == 0)
    arrivals->first_ms = now_ms;
  if (now_ms - arrivals->first_ms < INRUSH_MS)
    return;
  for (guint i = 0; i < ARRIVALS_BUCKETS; i++)
    arrivals->work[i] *= factor;
  arrivals->decayed_ms = now_ms;
  arrivals->work[bucket_of (rank)] += work;
}

/* The rate that corresponds to decayed @work. */
static double
rate_of (const Arrivals *arrivals, double work, gint64 now_ms)
{
  gint64 counted_ms = now_ms - arrivals->first_ms - INRUSH_MS;
  double seen = 1 - exp (-(double)MAX (counted_ms, 0) / DECAY_MS);

  return work * decay_factor (arrivals, now_ms) / DECAY_MS / MAX (seen, SEEN_LEAST);
}

double
arrivals_rate_below (const Arrivals *arrivals, double rank, gint64 now_ms)
{
  guint bucket = bucket_of (rank);
  double work = arrivals->work[bucket] / 2; /* half of its own bucket */

  for (guint i = 0; i < bucket; i++)
    work += arrivals->work[i];
  return rate_of (arrivals, work, now_ms);
}

double
arrivals_rate_in (const Arrivals *arrivals, guint bucket, gint64 now_ms)
{
  return rate_of (arrivals, arrivals->work[bucket], now_ms);
}

double
arrivals_bucket_rank (guint bucket)
{
  return LOWEST_RANK * exp2 ((bucket + 0.5) / BUCKETS_PER_DOUBLING);
}
