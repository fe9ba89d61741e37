#pragma once
/* How often something that may wait is told over a link: less often while what is sent
 * comes late, as often as it is useful otherwise. */
#include <glib.h>

typedef struct
{
  guint least_ms; /* between two tellings while nothing is late */
  guint interval_ms;
  gint64 changed_ms;
} Pace;

/** pace_new - Return: one that starts as fast as it may be. */
Pace pace_new (guint least_ms);

/** pace_hear - the receiver says how late the frames come. */
void pace_hear (Pace *pace, guint late_ms, gint64 now_ms);

/** pace_is_slowed - what was sent came late not long ago. */
gboolean pace_is_slowed (const Pace *pace);

/** pace_interval_ms - the least time between two tellings. */
guint pace_interval_ms (const Pace *pace);
