#include "peer_clock.h"

void
peer_clock_observe (PeerClock *clock, gint64 peer_ms, gint64 now_ms)
{
  if (clock->received_ms != 0 && peer_ms < clock->peer_ms)
    return;
  clock->peer_ms = peer_ms;
  clock->received_ms = now_ms;
}

gboolean
peer_clock_known (const PeerClock *clock)
{
  return clock->received_ms != 0;
}

gint64
peer_clock_least (const PeerClock *clock, gint64 now_ms, guint slow_percent)
{
  gint64 passed = now_ms - clock->received_ms;

  return clock->peer_ms + passed - passed * slow_percent / 100;
}
