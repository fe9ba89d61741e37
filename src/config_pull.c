#include "config_pull.h"
#include "rendezvous.h"

/* The store notifies all entries of a change at once, so a small configuration arrives
 * some 10 ms after the first entry has it; pulling sooner would fetch most of them twice.
 */
#define PULL_DELAY_MS 250
/* How long to wait for a response of the store that is arriving. Thousands of routes take
 * about half of it on a 25 Mbit/s link that other traffic half fills. */
#define STORE_TIMEOUT_MS 1500
/* Timeout before the next entry is asked, doubled each time: the previous response is not
 * cancelled, and one more copy only adds load to a link that is full. */
#define TIMEOUT_MIN_MS 1000
#define TIMEOUT_MAX_MS 8000
/* The entry that was asked is taken for lost when no frame at all has come from it for
 * this long; heartbeats of a live one arrive even while its response is delayed. */
#define UNRESPONSIVE_MS 600

/* How long to wait for a short text from a neighbour that sends it to a dozen. */
#define QUICK_MS 400

static void
begin (ConfigPull *pull, gboolean quick, gint64 now_ms)
{
  pull->behind_ms = now_ms;
  pull->quick = quick;
  pull->asked_ms = 0;
}

gboolean
config_pull_is_stuck (const ConfigPull *pull, gint64 now_ms)
{
  return pull->behind_ms > 0 && (!pull->quick || now_ms - pull->behind_ms >= QUICK_MS);
}

gboolean
config_pull_due (ConfigPull *pull, const ConfigPullView *view, gint64 now_ms)
{
  gint64 waited_ms;

  if (view->newest_version <= view->own_version)
    {
      pull->behind_ms = 0;
      pull->asked_ms = 0;
      return FALSE;
    }
  if (pull->behind_ms == 0)
    begin (pull, view->idle, now_ms);
  if (pull->quick && view->idle)
    return pull->asked_ms == 0;
  if (pull->quick)
    begin (pull, FALSE, now_ms);
  waited_ms = now_ms - pull->behind_ms;
  if (pull->asked_ms > 0
      && now_ms - MAX (pull->asked_ms, view->asked_received_ms) >= UNRESPONSIVE_MS)
    config_pull_lost (pull);
  if (pull->asked_ms > 0)
    return now_ms - pull->asked_ms >= pull->timeout_ms;
  if (view->arriving && waited_ms < STORE_TIMEOUT_MS)
    return FALSE;
  /* Callers wait while an entry has no configuration at all. */
  return view->own_version == 0 || waited_ms >= PULL_DELAY_MS;
}

static gboolean
is_better (const ConfigPullPeer *peer, const ConfigPullPeer *best, const char *own_name)
{
  if (peer->version != best->version)
    return peer->version > best->version;
  if (peer->asked_ms != best->asked_ms)
    return peer->asked_ms < best->asked_ms;
  return rendezvous_score (own_name, peer->name)
         > rendezvous_score (own_name, best->name);
}

int
config_pull_choose (const ConfigPullPeer *peers,
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
config_pull_asked (ConfigPull *pull, gint64 now_ms)
{
  pull->timeout_ms
      = pull->asked_ms > 0 ? MIN (2 * pull->timeout_ms, TIMEOUT_MAX_MS) : TIMEOUT_MIN_MS;
  pull->asked_ms = now_ms;
}

void
config_pull_lost (ConfigPull *pull)
{
  pull->asked_ms = 0;
}
