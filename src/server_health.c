#include "server_health.h"

#include <math.h>

/* Weight of a run in the average. Two failures in a row exceed FAILING_LIMIT: tasks fail
 * by their own fault only a few times in a thousand. */
#define FAILING_RATE 0.25
#define FAILING_LIMIT 0.4
#define FAILING_GOOD 0.25
/* Single starts are lost on the way to healthy servers; five in a row are not. */
#define LOST_START_RATE 0.1
/* Run times vary by about half of their mean, so a single one says little. */
#define SLOWNESS_RATE 0.15
#define SLOWNESS_MOST 20.0
/* Half-life of the slowness: a slow server gets little work, so that its recovery would
 * not be observed. */
#define SLOWNESS_HALF_MS 1500
#define EJECTION_MS 400
#define EJECTION_DOUBLINGS 3

void
server_health_init (ServerHealth *health)
{
  ServerHealth fresh = { .trust = TRUST_FULL, .slowness = 1 };

  *health = fresh;
}

static void
eject (ServerHealth *health, gint64 now_ms)
{
  if (health->trust == TRUST_NONE)
    return;
  health->trust = TRUST_NONE;
  health->until_ms
      = now_ms + ((gint64)EJECTION_MS << MIN (health->ejections, EJECTION_DOUBLINGS));
  health->ejections++;
}

static void
restore_trust (ServerHealth *health)
{
  health->trust = TRUST_FULL;
  health->ejections = 0;
  health->failing = MIN (health->failing, FAILING_GOOD);
}

static void
decay_slowness (ServerHealth *health, gint64 now_ms)
{
  gint64 passed = now_ms - health->decayed_ms;

  if (health->decayed_ms != 0 && passed > 0 && health->slowness > 1)
    health->slowness = pow (health->slowness, exp2 (-(double)passed / SLOWNESS_HALF_MS));
  health->decayed_ms = now_ms;
}

void
server_health_run_slow (ServerHealth *health, double ratio)
{
  double bounded = CLAMP (ratio, 1 / SLOWNESS_MOST, SLOWNESS_MOST);

  /* Mean of the logarithms: one run of ten times the length does not make a server
   * slow. */
  health->slowness = exp (log (health->slowness)
                          + SLOWNESS_RATE * (log (bounded) - log (health->slowness)));
}

void
server_health_run_ended (ServerHealth *health, gboolean failed, gint64 now_ms)
{
  health->failing += FAILING_RATE * ((failed ? 1.0 : 0.0) - health->failing);
  if (failed && (health->failing > FAILING_LIMIT || health->trust == TRUST_PROBE))
    eject (health, now_ms);
  else if (!failed && health->trust == TRUST_PROBE)
    restore_trust (health);
}

void
server_health_start_lost (ServerHealth *health, gint64 now_ms)
{
  health->failing += LOST_START_RATE * (1 - health->failing);
  if (health->failing > FAILING_LIMIT || health->trust == TRUST_PROBE)
    eject (health, now_ms);
}

void
server_health_progress (ServerHealth *health, guint stalled, guint moving, gint64 now_ms)
{
  health->stalls = stalled;
  if (stalled > 0 && moving == 0)
    eject (health, now_ms);
  else if (moving > 0 && stalled == 0 && health->trust == TRUST_PROBE
           && health->failing < FAILING_LIMIT)
    restore_trust (health);
}

void
server_health_tick (ServerHealth *health, gint64 now_ms)
{
  decay_slowness (health, now_ms);
  if (health->trust == TRUST_NONE && now_ms >= health->until_ms && health->stalls == 0)
    health->trust = TRUST_PROBE;
}
