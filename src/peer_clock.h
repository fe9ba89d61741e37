#pragma once
/* A lower bound of another process's clock, for leases between processes without a common
 * clock. Each process sends its own time; the receiver then knows that at least that much
 * has passed there. A lease is given in the clock of the process that holds it, so a
 * delayed message never makes it longer. */
#include <glib.h>

typedef struct
{
  gint64 peer_ms;     /* the latest timestamp that the peer sent */
  gint64 received_ms; /* own clock when it arrived; 0: none has */
} PeerClock;

/** peer_clock_observe - the peer sent timestamp @peer_ms. Earlier ones are ignored. */
void peer_clock_observe (PeerClock *clock, gint64 peer_ms, gint64 now_ms);

/** peer_clock_known - whether a timestamp of the peer was received. */
gboolean peer_clock_known (const PeerClock *clock);

/**
 * peer_clock_least - the least time that the peer's clock can show now, in ms.
 * @slow_percent: how much slower than the own clock it may run.
 */
gint64 peer_clock_least (const PeerClock *clock, gint64 now_ms, guint slow_percent);
