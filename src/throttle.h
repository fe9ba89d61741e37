#pragma once
/* How often something that may wait is told over a link: less often while what is sent
 * comes late, as often as it is useful otherwise. */
#include <glib.h>

typedef struct
{
  guint least_ms; /* between two tellings while nothing is late */
  guint interval_ms;
  gint64 changed_ms;
} Throttle;

/** throttle_new - Return: one that starts as fast as it may be. */
Throttle throttle_new (guint least_ms);

/** throttle_on_delay - the receiver says how late the frames come. */
void throttle_on_delay (Throttle *pace, guint late_ms, gint64 now_ms);

/** throttle_is_active - what was sent came late not long ago. */
gboolean throttle_is_active (const Throttle *pace);

/** throttle_interval_ms - the least time between two tellings. */
guint throttle_interval_ms (const Throttle *pace);
