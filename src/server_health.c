#include "server_health.h"

#include <math.h>

/* Two failures in a row among successes are beyond what tasks fail by themselves (a few
 * in a thousand). */
#define FAILING_RATE 0.25
#define FAILING_LIMIT 0.4
#define FAILING_GOOD 0.25
/* Single starts go astray on the way to sound servers; five in a row do not. */
#define LOST_START_RATE 0.1
/* Run times differ by about half of their mean by nature: single ones say little. */
#define SLOWNESS_RATE 0.15
#define SLOWNESS_MOST 20.0
/* A slow server gets little to do, so that its recovery would not be seen: what was
 * learned loses half of its weight in this time. */
#define SLOWNESS_HALF_MS 1500
#define DISTRUST_MS 400
#define DISTRUST_DOUBLINGS 3

void
server_health_init (ServerHealth *quality)
{
  ServerHealth fresh = { .trust = TRUST_FULL, .slowness = 1 };

  *quality = fresh;
}

static void
distrust (ServerHealth *quality, gint64 now_ms)
{
  if (quality->trust == TRUST_NONE)
    return;
  quality->trust = TRUST_NONE;
  quality->until_ms
      = now_ms + ((gint64)DISTRUST_MS << MIN (quality->periods, DISTRUST_DOUBLINGS));
  quality->periods++;
}

static void
trust_again (ServerHealth *quality)
{
  quality->trust = TRUST_FULL;
  quality->periods = 0;
  quality->failing = MIN (quality->failing, FAILING_GOOD);
}

static void
forget_slowness (ServerHealth *quality, gint64 now_ms)
{
  gint64 passed = now_ms - quality->decayed_ms;

  if (quality->decayed_ms != 0 && passed > 0 && quality->slowness > 1)
    quality->slowness
        = pow (quality->slowness, exp2 (-(double)passed / SLOWNESS_HALF_MS));
  quality->decayed_ms = now_ms;
}

void
server_health_run_slow (ServerHealth *quality, double ratio)
{
  double bounded = CLAMP (ratio, 1 / SLOWNESS_MOST, SLOWNESS_MOST);

  /* The mean of the logarithms: one run of ten times the length is no slow server. */
  quality->slowness = exp (log (quality->slowness)
                           + SLOWNESS_RATE * (log (bounded) - log (quality->slowness)));
}

void
server_health_run_ended (ServerHealth *quality, gboolean failed, gint64 now_ms)
{
  quality->failing += FAILING_RATE * ((failed ? 1.0 : 0.0) - quality->failing);
  if (failed && (quality->failing > FAILING_LIMIT || quality->trust == TRUST_PROBE))
    distrust (quality, now_ms);
  else if (!failed && quality->trust == TRUST_PROBE)
    trust_again (quality);
}

void
server_health_start_lost (ServerHealth *quality, gint64 now_ms)
{
  quality->failing += LOST_START_RATE * (1 - quality->failing);
  if (quality->failing > FAILING_LIMIT || quality->trust == TRUST_PROBE)
    distrust (quality, now_ms);
}

void
server_health_progress (ServerHealth *quality, guint stalled, guint moving, gint64 now_ms)
{
  quality->stalls = stalled;
  if (stalled > 0 && moving == 0)
    distrust (quality, now_ms);
  else if (moving > 0 && stalled == 0 && quality->trust == TRUST_PROBE
           && quality->failing < FAILING_LIMIT)
    trust_again (quality);
}

void
server_health_tick (ServerHealth *quality, gint64 now_ms)
{
  forget_slowness (quality, now_ms);
  if (quality->trust == TRUST_NONE && now_ms >= quality->until_ms && quality->stalls == 0)
    quality->trust = TRUST_PROBE;
}
