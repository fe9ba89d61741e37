#include "pace.h"

#define MOST_MS 240
/* More than a turn of either loop and the way between two zones. */
#define LATE_MS 25
/* What was changed shows in what is heard after about this. */
#define CHANGE_MS 120

Pace
pace_new (guint least_ms)
{
  Pace pace = { .least_ms = least_ms, .interval_ms = least_ms };

  return pace;
}

guint
pace_interval_ms (const Pace *pace)
{
  return pace->interval_ms;
}

gboolean
pace_is_slowed (const Pace *pace)
{
  return pace->interval_ms > pace->least_ms;
}

void
pace_hear (Pace *pace, guint late_ms, gint64 now_ms)
{
  if (now_ms - pace->changed_ms < CHANGE_MS)
    return;
  pace->changed_ms = now_ms;
  if (late_ms > LATE_MS)
    pace->interval_ms = MIN (2 * pace->interval_ms, MOST_MS);
  else
    pace->interval_ms = MAX (pace->interval_ms - pace->interval_ms / 4, pace->least_ms);
}
