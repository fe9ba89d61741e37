#include "throttle.h"

#define MAX_INTERVAL_MS 240
/* More than an event-loop iteration at each end and the latency between two zones. */
#define DELAY_LIMIT_MS 25
/* A changed interval shows in the reported delay after about this time. */
#define ADJUST_MS 120

Throttle
throttle_new (guint min_ms)
{
  Throttle throttle = { .min_ms = min_ms, .interval_ms = min_ms };

  return throttle;
}

guint
throttle_interval_ms (const Throttle *throttle)
{
  return throttle->interval_ms;
}

gboolean
throttle_is_active (const Throttle *throttle)
{
  return throttle->interval_ms > throttle->min_ms;
}

void
throttle_on_delay (Throttle *throttle, guint delay_ms, gint64 now_ms)
{
  if (now_ms - throttle->changed_ms < ADJUST_MS)
    return;
  throttle->changed_ms = now_ms;
  if (delay_ms > DELAY_LIMIT_MS)
    throttle->interval_ms = MIN (2 * throttle->interval_ms, MAX_INTERVAL_MS);
  else
    throttle->interval_ms
        = MAX (throttle->interval_ms - throttle->interval_ms / 4, throttle->min_ms);
}
