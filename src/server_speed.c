#include "server_speed.h"

#include <math.h>

/* Time constant of the average, in runs. With run times that vary by half of their mean
 * its error is then 4%. */
#define AVERAGE_RUNS 100
/* Weight of a run in the recent average; the same as in server_health.c. */
#define RECENT_RATE 0.15
/* From this deviation on the average is held, until the deviation is below the second
 * value. Sound servers exceed the first by chance, for a few runs. */
#define HOLD_RATIO 1.6
#define RELEASE_RATIO 1.3
/* A slower server is faulty for this long, then it counts as changed. A server with 5
 * runs a second needs another second until the average is held; a change is to be adopted
 * within 5 s. */
#define HOLD_MS 3500
/* A faster one is at no fault: only chance must be excluded. */
#define HOLD_FASTER_MS 1000
#define HOLD_RUNS 8
/* A hold counts anew after a pause this long: a server that is avoided while it is slow
 * may have recovered unseen. */
#define PAUSE_MS 2000
#define REPORT_RATIO 1.25
#define PERCENT_STEP 5

/* Sequential test (CUSUM) whether the server runs SLOWER_FACTOR times slower. The
 * logarithms of run times have a standard deviation of about SPREAD. The evidence of one
 * run is bounded, since 3% of the tasks take 7 times as long on any server. With this
 * limit a sound server reaches it by chance less than once an hour. */
#define SLOWER_FACTOR 3.0
#define SPREAD 0.5
#define RUN_EVIDENCE_MOST 2.4
#define SLOWER_LIMIT 14.0
/* Bounded, so that a server that has recovered is believed after a few runs. */
#define SLOWER_MOST 20.0
/* Within one run the spread of run times plays no part. */
#define SLOWDOWN_WEIGHT 2

static const guint run_steps[] = { SPEED_RUNS_MOST, 100, 50, 25, 12 };

void
server_speed_init (ServerSpeed *speed, guint needed)
{
  ServerSpeed fresh = { .needed = needed };

  *speed = fresh;
}

gboolean
server_speed_is_known (const ServerSpeed *speed)
{
  return speed->needed > 0 && speed->runs >= speed->needed;
}

static double
own_speed (const ServerSpeed *speed)
{
  return server_speed_is_known (speed) ? speed->own : 0;
}

double
server_speed_ratio (const ServerSpeed *speed)
{
  return exp (own_speed (speed));
}

double
server_speed_deviation (const ServerSpeed *speed)
{
  return exp (speed->recent - own_speed (speed));
}

gboolean
server_speed_is_slower (const ServerSpeed *speed)
{
  return speed->slower >= SLOWER_LIMIT;
}

static double
evidence_of (double deviation)
{
  double step = log (SLOWER_FACTOR);
  double evidence = (deviation - step / 2) * step / (SPREAD * SPREAD);

  return CLAMP (evidence, -RUN_EVIDENCE_MOST, RUN_EVIDENCE_MOST);
}

static void
test_slower (ServerSpeed *speed, double sample)
{
  double evidence = evidence_of (sample - own_speed (speed));

  speed->slower = CLAMP (speed->slower + evidence, 0, SLOWER_MOST);
}

void
server_speed_observe_slowdown (ServerSpeed *speed, double ratio)
{
  double evidence = SLOWDOWN_WEIGHT * MAX (evidence_of (log (ratio)), 0);

  speed->slower = MIN (speed->slower + evidence, SLOWER_MOST);
}

/* The first runs weigh as in a plain mean. */
static void
update_averages (ServerSpeed *speed, double sample)
{
  guint n = speed->averaged + 1;

  speed->recent += MAX (RECENT_RATE, 1.0 / n) * (sample - speed->recent);
  if (speed->held_ms != 0)
    return;
  speed->average += MAX (1.0 / AVERAGE_RUNS, 1.0 / n) * (sample - speed->average);
  speed->averaged = MIN (n, AVERAGE_RUNS);
  /* Where the evidence of the sequential test is 0, no later run belongs to a change; a
   * change is thereby measured against the speed before it. */
  if (speed->slower <= 0 || !server_speed_is_known (speed))
    speed->own = speed->average;
}

static void
begin_hold (ServerSpeed *speed, gint64 now_ms)
{
  speed->held_ms = now_ms;
  speed->held_runs = 0;
  speed->held_mean = 0;
  speed->average = speed->own;
}

static void
update_hold (ServerSpeed *speed, double sample, gint64 now_ms)
{
  double off = fabs (speed->recent - own_speed (speed));
  gboolean paused = now_ms - speed->run_ms > PAUSE_MS;

  speed->run_ms = now_ms;
  if (!server_speed_is_known (speed) || off < log (RELEASE_RATIO) || paused)
    speed->held_ms = 0;
  if (server_speed_is_known (speed) && speed->held_ms == 0 && off > log (HOLD_RATIO))
    begin_hold (speed, now_ms);
  if (speed->held_ms == 0)
    return;
  speed->held_runs++;
  speed->held_mean += (sample - speed->held_mean) / speed->held_runs;
}

static void
set_own (ServerSpeed *speed, double own, guint averaged)
{
  speed->own = own;
  speed->average = own;
  speed->recent = own;
  speed->averaged = MIN (averaged, AVERAGE_RUNS);
  speed->slower = 0;
  speed->held_ms = 0;
  speed->reported = own;
}

static gboolean
has_changed_for_good (const ServerSpeed *speed, gint64 now_ms)
{
  gint64 most_ms = speed->recent > speed->own ? HOLD_MS : HOLD_FASTER_MS;

  return speed->held_ms != 0 && speed->held_runs >= HOLD_RUNS
         && now_ms - speed->held_ms >= most_ms;
}

SpeedChange
server_speed_observe (ServerSpeed *speed, double ratio, gint64 now_ms)
{
  double bounded = CLAMP (ratio, SPEED_PERCENT_LEAST / 100.0, SPEED_PERCENT_MOST / 100.0);
  double sample = log (bounded);
  gboolean was_known = server_speed_is_known (speed);

  test_slower (speed, sample);
  update_averages (speed, sample);
  speed->runs = MIN (speed->runs + 1, SPEED_RUNS_MOST);
  update_hold (speed, sample, now_ms);
  /* The runs stay: a count that fell would make the entries send the old speed back. */
  if (has_changed_for_good (speed, now_ms))
    {
      set_own (speed, speed->held_mean, speed->held_runs);
      return SPEED_REPLACED;
    }
  if (!server_speed_is_known (speed))
    return SPEED_UNCHANGED;
  if (was_known && fabs (speed->own - speed->reported) <= log (REPORT_RATIO))
    return SPEED_UNCHANGED;
  speed->reported = speed->own;
  if (was_known)
    return SPEED_MOVED;
  speed->slower = 0;
  return SPEED_KNOWN;
}

guint
server_speed_percent (const ServerSpeed *speed)
{
  double percent = 100 * exp (speed->own);

  if (server_speed_runs (speed) == 0)
    return 0;
  return (guint)MAX (percent / PERCENT_STEP + 0.5, 1) * PERCENT_STEP;
}

guint
server_speed_runs (const ServerSpeed *speed)
{
  if (speed->needed == 0)
    return 0;
  for (gsize i = 0; i < G_N_ELEMENTS (run_steps); i++)
    if (speed->runs >= run_steps[i])
      return run_steps[i];
  return 0;
}

gboolean
server_speed_is_valid (guint percent, guint runs)
{
  return percent >= SPEED_PERCENT_LEAST && percent <= SPEED_PERCENT_MOST && runs > 0
         && runs <= SPEED_RUNS_MOST;
}

gboolean
server_speed_adopt (ServerSpeed *speed, guint percent, guint runs)
{
  if (speed->needed == 0 || !server_speed_is_valid (percent, runs) || runs <= speed->runs)
    return FALSE;
  speed->runs = runs;
  set_own (speed, log (percent / 100.0), runs);
  return TRUE;
}
