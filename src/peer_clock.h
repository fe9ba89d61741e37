#pragma once
/* Leases between two processes without a common clock. Each tells the other its own time;
 * the other may then be sure that at least that much has passed there. A lease is granted
 * in the clock of the one who holds it, so a delayed message never makes it longer. */
#include <glib.h>

/* A lower bound of another process's clock. */
typedef struct
{
  gint64 told_ms;  /* what it said */
  gint64 heard_ms; /* own clock when that arrived; 0: never */
} PeerClock;

/** peer_clock_observe - it said that its clock shows @told_ms. Older words are ignored.
 */
void peer_clock_observe (PeerClock *clock, gint64 told_ms, gint64 now_ms);

/** peer_clock_known - whether it ever told its time. */
gboolean peer_clock_known (const PeerClock *clock);

/**
 * peer_clock_least - the peer's clock shows at least this now.
 * @slow_percent: how much slower than ours it may run.
 */
gint64 peer_clock_least (const PeerClock *clock, gint64 now_ms, guint slow_percent);
