#include "peer_clock.h"

void
peer_clock_observe (PeerClock *clock, gint64 told_ms, gint64 now_ms)
{
  if (clock->heard_ms != 0 && told_ms < clock->told_ms)
    return;
  clock->told_ms = told_ms;
  clock->heard_ms = now_ms;
}

gboolean
peer_clock_known (const PeerClock *clock)
{
  return clock->heard_ms != 0;
}

gint64
peer_clock_least (const PeerClock *clock, gint64 now_ms, guint slow_percent)
{
  gint64 passed = now_ms - clock->heard_ms;

  return clock->told_ms + passed - passed * slow_percent / 100;
}
