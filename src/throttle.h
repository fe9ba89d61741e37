#pragma once
/* Adaptive throttle of sends that can wait: the interval grows while the receiver reports
 * delay, and shrinks back to its minimum otherwise. */
#include <glib.h>

typedef struct
{
  guint min_ms; /* interval without delay */
  guint interval_ms;
  gint64 changed_ms;
} Throttle;

/** throttle_new - Return: a throttle at its minimum interval. */
Throttle throttle_new (guint min_ms);

/** throttle_on_delay - the receiver reports the delay of frames sent to it. */
void throttle_on_delay (Throttle *throttle, guint delay_ms, gint64 now_ms);

/** throttle_is_active - whether recent delay keeps the interval above its minimum. */
gboolean throttle_is_active (const Throttle *throttle);

/** throttle_interval_ms - the least time between two sends. */
guint throttle_interval_ms (const Throttle *throttle);
