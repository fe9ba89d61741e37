#define LOG_MODULE "runner"
#include "counters.h"
#include "events.h"
#include "histograms.h"
#include "runner_parts.h"

/* A run is stalled after STALL_MS without progress, or after 1/STALL_FRACTION of its
 * expected time if that is more: of a long task, one percent may take longer. */
#define STALL_MS 200
#define STALL_FRACTION 10
#define REPORT_REPEAT_MS 200
/* Reported as the remaining time of a stalled run. */
#define STALLED_REMAINING_MS 60000
/* With less progress the estimate of a run's length is too rough. */
#define MIN_ESTIMATE_PERCENT 15
/* A server is slow if its mean ratio of actual to expected run time is this high; a
 * single task may be further off by itself. */
#define SLOW_SERVER_RATIO 1.8
/* The same over the server's own speed, where the sequential test of server_speed.c
 * excludes chance. */
#define SLOW_AGAINST_OWN_RATIO 1.6
/* A run that progresses this much more slowly than before shows that its server has
 * changed; less may be uneven progress of the task. */
#define SLOWED_RATIO 2.0
#define WINDOW_PERCENT 10
/* Deviations are means of few runs: two standard errors. */
#define DEVIATION_ERROR 1.3

/* The slowness of before counts against the new speed from now on. */
static void
rebase_slowness (Runner *runner, double ratio_before, double slowness)
{
  double *warm = &runner->server_health.slowness;
  double *cold = &runner->other_slowness;

  if (runner->cold)
    {
      warm = &runner->other_slowness;
      cold = &runner->server_health.slowness;
    }
  *warm = slowness;
  *cold *= ratio_before / server_speed_ratio (&runner->server_speed);
}

static void
note_speed (const Runner *runner, const char *why)
{
  event_note ("server-speed", "-", "server=%s percent=%.0f runs=%u why=%s",
              runner->instance, 100 * server_speed_ratio (&runner->server_speed),
              runner->server_speed.runs, why);
}

static void
handle_speed_change (Runner *runner, SpeedChange change, double ratio_before)
{
  switch (change)
    {
    case SPEED_UNCHANGED:
      return;
    case SPEED_KNOWN:
      rebase_slowness (runner, ratio_before,
                       server_speed_deviation (&runner->server_speed));
      note_speed (runner, "known");
      return;
    case SPEED_MOVED:
      note_speed (runner, "moved");
      return;
    case SPEED_REPLACED:
      counter_add (COUNTER_SPEEDS_REPLACED, 1);
      rebase_slowness (runner, ratio_before, 1);
      note_speed (runner, "replaced");
      return;
    }
}

gboolean
runner_speed_seen (Runner *runner, const char *instance, guint percent, guint runs)
{
  double before = server_speed_ratio (&runner->server_speed);

  if (g_strcmp0 (runner->instance, instance) != 0
      || !server_speed_adopt (&runner->server_speed, percent, runs))
    {
      counter_add (COUNTER_SPEEDS_REJECTED, 1);
      return FALSE;
    }
  counter_add (COUNTER_SPEEDS_ADOPTED, 1);
  rebase_slowness (runner, before, 1);
  note_speed (runner, "adopted");
  return TRUE;
}

/* Runs that were slowed by the server's start say nothing on its lasting speed. */
static void
observe_run_time (Runner *runner, const Run *run, double ratio)
{
  double before = server_speed_ratio (&runner->server_speed);

  server_health_run_slow (&runner->server_health, ratio / before);
  if (runner->init.speed_runs == 0 || runner->cold
      || run->started_ms < runner->cold_changed_ms)
    return;
  handle_speed_change (
      runner, server_speed_observe (&runner->server_speed, ratio, runner->now_ms),
      before);
}

void
run_update_health (Runner *runner, Run *run, gboolean failed)
{
  double elapsed = MAX (runner->now_ms - run->started_ms, 1);
  Trust before = runner->server_health.trust;

  if (!failed)
    histogram_observe (HISTOGRAM_RUN, (gint64)elapsed);
  if (!failed && !run->counted)
    observe_run_time (runner, run, elapsed / run->expected_ms);
  run->counted = TRUE;
  server_health_run_ended (&runner->server_health, failed, runner->now_ms);
  if (runner->server_health.trust != before)
    event_note ("server-trust", "-", "server=%s trust=%d before=%d failing=%.2f",
                runner->instance, runner->server_health.trust, before,
                runner->server_health.failing);
}

static gboolean
is_stalled (const Runner *runner, const Run *run)
{
  gint64 still_ms = runner->now_ms - run->progress_ms;
  double ratio = MAX (server_speed_ratio (&runner->server_speed), 1);

  return still_ms > MAX (STALL_MS, (gint64)(run->expected_ms * ratio) / STALL_FRACTION);
}

/* Return: length of the whole run, extrapolated from its progress; 0: not known yet. */
static double
whole_run_ms (const Run *run)
{
  if (run->percent < MIN_ESTIMATE_PERCENT)
    return 0;
  return (double)(run->progress_ms - run->started_ms) * 100 / run->percent;
}

/* Whether the server is slow, and by more than the spread of run times explains. Runs on
 * a cold server are not in the sequential test. */
static gboolean
is_slow (const Runner *runner)
{
  const ServerSpeed *speed = &runner->server_speed;
  double slowness = runner->server_health.slowness;

  if (runner->init.speed_runs == 0)
    return slowness >= SLOW_SERVER_RATIO;
  if (!runner->cold && !server_speed_is_slower (speed))
    return FALSE;
  return slowness
         >= (server_speed_is_known (speed) ? SLOW_AGAINST_OWN_RATIO : SLOW_SERVER_RATIO);
}

static gboolean
gain_is_certain (const Runner *runner, double left_ms, double elsewhere_ms)
{
  return runner->init.speed_runs == 0 || left_ms > elsewhere_ms * DEVIATION_ERROR;
}

/* A task that is longer than declared takes as long anywhere; a new start elsewhere saves
 * only the delay that its server adds. */
static void
report_straggler (Runner *runner, Run *run)
{
  gboolean stalled = is_stalled (runner, run);
  double whole_ms = whole_run_ms (run);
  double slowness = runner->server_health.slowness;
  double left_ms = STALLED_REMAINING_MS;
  double expected_ms = run->expected_ms * server_speed_ratio (&runner->server_speed);
  double elsewhere_ms = whole_ms > 0 ? whole_ms : expected_ms;

  if (!stalled && (!is_slow (runner) || whole_ms == 0))
    return;
  if (runner->now_ms - run->reported_ms < REPORT_REPEAT_MS)
    return;
  if (!stalled)
    {
      left_ms = whole_ms * (100 - run->percent) / 100;
      elsewhere_ms = whole_ms / slowness;
      if (!gain_is_certain (runner, left_ms, elsewhere_ms))
        return;
    }
  run->reported_ms = runner->now_ms;
  event_note ("task-straggles", run->key.job,
              "task=%u run=%u percent=%u elapsed_ms=%" G_GINT64_FORMAT
              " expected_ms=%u remaining_ms=%.0f elsewhere_ms=%.0f slowness=%.2f",
              run->key.index, run->key.run, run->percent,
              runner->now_ms - run->started_ms, run->expected_ms, left_ms, elsewhere_ms,
              slowness);
  runner->ops->straggles (run->entry, &run->key, (guint)left_ms, (guint)elsewhere_ms,
                          runner->ctx);
}

/* A run that its leaving server cuts off never ends there: it is reported as one that
 * makes no progress, for which entries of any build start anew if another server is free.
 */
static void
report_cut_off (Runner *runner, Run *run)
{
  double whole_ms = whole_run_ms (run);
  double left_ms = whole_ms - (double)(runner->now_ms - run->started_ms);

  if (whole_ms == 0 || !leaving_cuts_off (&runner->leaving, left_ms, runner->now_ms)
      || runner->now_ms - run->reported_ms < REPORT_REPEAT_MS)
    return;
  run->reported_ms = runner->now_ms;
  counter_add (COUNTER_RUNS_CUT_OFF, 1);
  event_note ("task-cut-off", run->key.job,
              "task=%u run=%u percent=%u elapsed_ms=%" G_GINT64_FORMAT
              " left_ms=%.0f server_left_ms=%" G_GINT64_FORMAT,
              run->key.index, run->key.run, run->percent,
              runner->now_ms - run->started_ms, left_ms,
              MAX (runner->leaving.ends_ms - runner->now_ms, 0));
  runner->ops->straggles (run->entry, &run->key, STALLED_REMAINING_MS, (guint)whole_ms,
                          runner->ctx);
}

/* Each run is counted once, as soon as its length can be estimated: counted at its end,
 * slow runs would count too late. */
static void
count_by_progress (Runner *runner, Run *run)
{
  double whole_ms = whole_run_ms (run);

  if (run->counted || whole_ms == 0)
    return;
  run->counted = TRUE;
  run->counted_ms = whole_ms;
  run->window_percent = run->percent;
  run->window_ms = run->progress_ms;
  observe_run_time (runner, run, whole_ms / run->expected_ms);
}

/* The runs that are under way when a server turns slower show it before any new one can
 * be counted. */
static void
compare_progress (Runner *runner, Run *run)
{
  guint percent = run->percent - run->window_percent;
  double whole_ms;

  if (run->counted_ms <= 0 || run->slowed || runner->cold
      || run->percent < run->window_percent + WINDOW_PERCENT)
    return;
  whole_ms = (double)(run->progress_ms - run->window_ms) * 100 / percent;
  run->window_percent = run->percent;
  run->window_ms = run->progress_ms;
  if (whole_ms < run->counted_ms * SLOWED_RATIO)
    return;
  run->slowed = TRUE;
  server_speed_observe_slowdown (&runner->server_speed, whole_ms / run->counted_ms);
}

static void
note_progress (Runner *runner, Run *run, guint percent)
{
  if (percent == run->percent)
    return;
  run->percent = percent;
  run->progress_ms = runner->now_ms;
}

void
runner_take_progress (Runner *runner, const CallReply *reply)
{
  Trust before = runner->server_health.trust;
  guint stalled = 0;
  guint moving = 0;
  Run *run;

  for (gsize i = 0; i < reply->n_running; i++)
    {
      run = runner_find (runner, &reply->running[i].key);
      if (run == NULL || run->state != RUN_RUNNING || run->stop_reason != NULL)
        continue;
      note_progress (runner, run, reply->running[i].percent);
      compare_progress (runner, run);
      count_by_progress (runner, run);
      if (is_stalled (runner, run))
        stalled++;
      else if (run->percent > 0)
        moving++;
      report_straggler (runner, run);
      report_cut_off (runner, run);
    }
  server_health_progress (&runner->server_health, stalled, moving, runner->now_ms);
  if (runner->server_health.trust == before)
    return;
  event_note ("server-trust", "-", "server=%s trust=%d before=%d stalled=%u moving=%u",
              runner->instance, runner->server_health.trust, before, stalled, moving);
  runner->ops->changed (runner->ctx);
}
