#include "health.h"

/* Weight of one outcome in the failure rate (moving average). */
#define RECENT_WEIGHT 0.2
#define MIN_OUTCOMES 5
#define MAX_FAILURE_RATE 0.6
/* Ejected only if its peers fail less: if all fail alike, the fault is in the tasks. */
#define PEERS_FACTOR 2.0
#define MAX_EJECTED_SHARE 0.34
#define EJECT_MS 2000
#define EJECT_MAX_MS 60000
#define PROBES_NEEDED 3

static gboolean
may_eject (const Health *health, const HealthPeers *peers)
{
  if (health->failure_rate < MAX_FAILURE_RATE
      || health->failure_rate < PEERS_FACTOR * peers->failure_rate)
    return FALSE;
  return peers->ejected + 1 <= MAX (1.0, peers->backends * MAX_EJECTED_SHARE)
         && peers->backends > 1;
}

static void
eject (Health *health, gint64 now_ms)
{
  gint64 length = (gint64)EJECT_MS << MIN (health->ejections, 6);

  health->state = HEALTH_EJECTED;
  health->until_ms = now_ms + MIN (length, EJECT_MAX_MS);
  health->ejections++;
  health->outcomes = 0;
  health->good_probes = 0;
}

static gboolean
observe_probe (Health *health, gboolean failed, gint64 now_ms)
{
  if (failed)
    {
      eject (health, now_ms);
      return TRUE;
    }
  if (++health->good_probes < PROBES_NEEDED)
    return FALSE;
  health->state = HEALTH_GOOD;
  health->failure_rate = 0;
  health->ejections = 0;
  health->outcomes = 0;
  return FALSE;
}

gboolean
health_observe (Health *health, gboolean failed, const HealthPeers *peers, gint64 now_ms)
{
  health->outcomes++;
  health->failure_rate += RECENT_WEIGHT * ((failed ? 1.0 : 0.0) - health->failure_rate);
  switch (health->state)
    {
    case HEALTH_EJECTED: /* a task from before the ejection */
      return FALSE;
    case HEALTH_PROBING:
      return observe_probe (health, failed, now_ms);
    case HEALTH_GOOD:
      break;
    }
  if (!failed || health->outcomes < MIN_OUTCOMES || !may_eject (health, peers))
    return FALSE;
  eject (health, now_ms);
  return TRUE;
}

guint
health_capacity (Health *health, guint slots, gint64 now_ms)
{
  if (health->state == HEALTH_EJECTED && now_ms >= health->until_ms)
    health->state = HEALTH_PROBING;
  switch (health->state)
    {
    case HEALTH_GOOD:
      return slots;
    case HEALTH_PROBING:
      return MIN (slots, 1);
    case HEALTH_EJECTED:
      return 0;
    }
  g_assert_not_reached ();
}
