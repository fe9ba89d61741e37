#include "placement.h"

/* Run times vary anyway; a server counts as slow only above this ratio. */
#define SLOW_RATIO 1.6
/* Added to the score, which is 1 to 2 for a free server that is not slow. */
#define ZONE_BONUS 0.05
#define SLOW_WEIGHT 0.5

/* Slowness is relative to the fastest server: when all are slower than expected, the
 * expectation is wrong and none is slow. */
static double
least_slowness (const PlacementCandidate *candidates, gsize n)
{
  double least = 0;

  for (gsize i = 0; i < n; i++)
    if (candidates[i].slots > 0 && (least <= 0 || candidates[i].slowness < least))
      least = candidates[i].slowness;
  return least > 0 ? least : 1.0;
}

static double
excess_of (const PlacementCandidate *candidate, double least)
{
  double relative = candidate->slowness / least;

  return relative > SLOW_RATIO ? relative - 1.0 : 0.0;
}

static double
typical_wait_ms (const PlacementCandidate *candidates,
                 gsize n,
                 double least,
                 double task_ms,
                 guint waiting)
{
  guint slots = 0;

  for (gsize i = 0; i < n; i++)
    if (excess_of (&candidates[i], least) <= 0)
      slots += candidates[i].slots;
  return task_ms * (1 + waiting) / MAX (slots, 1);
}

static double
score (const PlacementCandidate *candidate, double excess, double task_ms, double wait_ms)
{
  double value;

  if (candidate->free == 0 || !candidate->suitable)
    return 0;
  if (excess > 0 && excess * task_ms > wait_ms)
    return 0;
  value = 1.0 + (double)candidate->free / MAX (candidate->slots, 1);
  if (candidate->same_zone)
    value += ZONE_BONUS;
  return value / (1.0 + SLOW_WEIGHT * excess);
}

int
placement_choose (const PlacementCandidate *candidates,
                  gsize n,
                  double task_ms,
                  guint waiting)
{
  double least = least_slowness (candidates, n);
  double wait_ms = typical_wait_ms (candidates, n, least, task_ms, waiting);
  double best_score = 0;
  int best = PLACEMENT_NONE;

  for (gsize i = 0; i < n; i++)
    {
      double value
          = score (&candidates[i], excess_of (&candidates[i], least), task_ms, wait_ms);

      if (value > best_score)
        {
          best = (int)i;
          best_score = value;
        }
    }
  return best;
}
