#include "frame_delay.h"

/* Clocks drift, and a process has another offset after a freeze than before: the least
 * offset is forgotten after one to two windows. */
#define WINDOW_MS 2000

static void
begin_window (FrameDelay *delay, gint64 offset_ms, gint64 now_ms)
{
  gboolean first = delay->window_ms == 0;

  delay->least_ms[1] = first ? offset_ms : delay->least_ms[0];
  delay->least_ms[0] = offset_ms;
  delay->window_ms = now_ms;
}

void
frame_delay_observe (FrameDelay *delay, gint64 peer_ms, gint64 now_ms)
{
  gint64 offset_ms = now_ms - peer_ms;

  if (delay->window_ms == 0 || now_ms - delay->window_ms >= WINDOW_MS)
    begin_window (delay, offset_ms, now_ms);
  delay->least_ms[0] = MIN (delay->least_ms[0], offset_ms);
  delay->delay_ms = (guint)(offset_ms - MIN (delay->least_ms[0], delay->least_ms[1]));
}
