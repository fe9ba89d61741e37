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

void
run_update_health (Runner *runner, Run *run, gboolean failed)
{
  double elapsed = MAX (runner->now_ms - run->started_ms, 1);
  Trust before = runner->server_health.trust;

  if (!failed)
    histogram_observe (HISTOGRAM_RUN, (gint64)elapsed);
  if (!failed && !run->counted)
    server_health_run_slow (&runner->server_health, elapsed / run->expected_ms);
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

  return still_ms > MAX (STALL_MS, run->expected_ms / STALL_FRACTION);
}

/* Return: length of the whole run, extrapolated from its progress; 0: not known yet. */
static double
whole_run_ms (const Run *run)
{
  if (run->percent < MIN_ESTIMATE_PERCENT)
    return 0;
  return (double)(run->progress_ms - run->started_ms) * 100 / run->percent;
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
  double elsewhere_ms = whole_ms > 0 ? whole_ms : run->expected_ms;

  if (!stalled && (slowness < SLOW_SERVER_RATIO || whole_ms == 0))
    return;
  if (runner->now_ms - run->reported_ms < REPORT_REPEAT_MS)
    return;
  if (!stalled)
    {
      left_ms = whole_ms * (100 - run->percent) / 100;
      elsewhere_ms = whole_ms / slowness;
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
  server_health_run_slow (&runner->server_health, whole_ms / run->expected_ms);
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
