#include "spread.h"
#include "rendezvous.h"

/* The store tells every entry of a change at once: a small configuration is there some
 * ten ms after the first entry has it. Sooner would fetch most of them twice. */
#define ASK_AFTER_MS 250
/* An answer of the store that arrives is waited for this long: thousands of routes take
 * about half of it over 25 Mbit/s while others use as much of the link. */
#define ARRIVING_MOST_MS 1500
/* An entry that was asked has this long before another is, and twice as long each time:
 * its answer is not cut, so that a copy more only takes from a link that is full. */
#define PATIENCE_FIRST_MS 1000
#define PATIENCE_MOST_MS 8000
/* Of that patience: who lives has been heard by then, however late its answer is. */
#define SILENT_MS 600

gboolean
spread_due (Spread *spread, const SpreadView *view, gint64 now_ms)
{
  gint64 behind_for_ms;

  if (view->heard_version <= view->own_version)
    {
      spread->behind_ms = 0;
      spread->asked_ms = 0;
      return FALSE;
    }
  if (spread->behind_ms == 0)
    spread->behind_ms = now_ms;
  behind_for_ms = now_ms - spread->behind_ms;
  if (spread->asked_ms > 0
      && now_ms - MAX (spread->asked_ms, view->asked_heard_ms) >= SILENT_MS)
    spread_lost (spread);
  if (spread->asked_ms > 0)
    return now_ms - spread->asked_ms >= spread->patience_ms;
  if (view->arriving && behind_for_ms < ARRIVING_MOST_MS)
    return FALSE;
  /* Who knows none at all keeps callers waiting. */
  return view->own_version == 0 || behind_for_ms >= ASK_AFTER_MS;
}

static gboolean
is_better (const SpreadPeer *peer, const SpreadPeer *best, const char *own_name)
{
  if (peer->version != best->version)
    return peer->version > best->version;
  if (peer->asked_ms != best->asked_ms)
    return peer->asked_ms < best->asked_ms;
  return rendezvous_score (own_name, peer->name)
         > rendezvous_score (own_name, best->name);
}

int
spread_choose (const SpreadPeer *peers,
               guint n_peers,
               const char *own_name,
               guint64 own_version)
{
  int best = -1;

  for (guint i = 0; i < n_peers; i++)
    if (peers[i].version > own_version
        && (best < 0 || is_better (&peers[i], &peers[best], own_name)))
      best = (int)i;
  return best;
}

void
spread_asked (Spread *spread, gint64 now_ms)
{
  spread->patience_ms = spread->asked_ms > 0
                            ? MIN (2 * spread->patience_ms, PATIENCE_MOST_MS)
                            : PATIENCE_FIRST_MS;
  spread->asked_ms = now_ms;
}

void
spread_lost (Spread *spread)
{
  spread->asked_ms = 0;
}
