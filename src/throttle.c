#include "throttle.h"

#define MOST_MS 240
/* More than a turn of either loop and the way between two zones. */
#define LATE_MS 25
/* What was changed shows in what is heard after about this. */
#define CHANGE_MS 120

Throttle
throttle_new (guint least_ms)
{
  Throttle pace = { .least_ms = least_ms, .interval_ms = least_ms };

  return pace;
}

guint
throttle_interval_ms (const Throttle *pace)
{
  return pace->interval_ms;
}

gboolean
throttle_is_active (const Throttle *pace)
{
  return pace->interval_ms > pace->least_ms;
}

void
throttle_on_delay (Throttle *pace, guint late_ms, gint64 now_ms)
{
  if (now_ms - pace->changed_ms < CHANGE_MS)
    return;
  pace->changed_ms = now_ms;
  if (late_ms > LATE_MS)
    pace->interval_ms = MIN (2 * pace->interval_ms, MOST_MS);
  else
    pace->interval_ms = MAX (pace->interval_ms - pace->interval_ms / 4, pace->least_ms);
}
