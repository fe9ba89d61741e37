#include "arrivals.h"

#include <math.h>

/* Seen over about this time: long enough to have seen some tens of jobs at an entry,
 * short enough to follow a burst of some seconds. */
#define FADE_MS 1000.0
/* What comes in the first moment after a restart has gathered while nobody answered, and
 * is no lasting rate: it is not counted. */
#define INRUSH_MS 250
/* Before this part of the weight of all time has passed, a rate is not known well. */
#define SEEN_LEAST 0.3
#define STEPS_A_DOUBLING 4
#define LOWEST_RANK (1.0 / 256)

static guint
step_of (double rank)
{
  double doublings = log2 (MAX (rank / LOWEST_RANK, 1));

  return (guint)MIN (doublings * STEPS_A_DOUBLING, ARRIVALS_BUCKETS - 1);
}

static double
left_of (const Arrivals *arrivals, gint64 now_ms)
{
  return exp (-(double)(now_ms - arrivals->decayed_ms) / FADE_MS);
}

void
arrivals_observe (Arrivals *arrivals, double rank, double work, gint64 now_ms)
{
  double left = left_of (arrivals, now_ms);

  if (arrivals->first_ms == 0)
    arrivals->first_ms = now_ms;
  if (now_ms - arrivals->first_ms < INRUSH_MS)
    return;
  for (guint i = 0; i < ARRIVALS_BUCKETS; i++)
    arrivals->work[i] *= left;
  arrivals->decayed_ms = now_ms;
  arrivals->work[step_of (rank)] += work;
}

double
arrivals_before (const Arrivals *arrivals, double rank, gint64 now_ms)
{
  guint step = step_of (rank);
  gint64 counted_ms = now_ms - arrivals->first_ms - INRUSH_MS;
  double seen = 1 - exp (-(double)MAX (counted_ms, 0) / FADE_MS);
  double work = arrivals->work[step] / 2; /* half of its own step */

  for (guint i = 0; i < step; i++)
    work += arrivals->work[i];
  return work * left_of (arrivals, now_ms) / FADE_MS / MAX (seen, SEEN_LEAST);
}
