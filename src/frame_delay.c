#include "frame_delay.h"

/* Clocks run apart, and a process that woke from a freeze has another offset than before:
 * the fastest frame is forgotten after one to two of these. */
#define WINDOW_MS 2000

static void
begin_window (FrameDelay *lateness, gint64 offset_ms, gint64 now_ms)
{
  gboolean first = lateness->window_ms == 0;

  lateness->least_ms[1] = first ? offset_ms : lateness->least_ms[0];
  lateness->least_ms[0] = offset_ms;
  lateness->window_ms = now_ms;
}

void
frame_delay_observe (FrameDelay *lateness, gint64 told_ms, gint64 now_ms)
{
  gint64 offset_ms = now_ms - told_ms;

  if (lateness->window_ms == 0 || now_ms - lateness->window_ms >= WINDOW_MS)
    begin_window (lateness, offset_ms, now_ms);
  lateness->least_ms[0] = MIN (lateness->least_ms[0], offset_ms);
  lateness->delay_ms
      = (guint)(offset_ms - MIN (lateness->least_ms[0], lateness->least_ms[1]));
}
