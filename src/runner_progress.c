#define LOG_MODULE "runner"
#include "events.h"
#include "histograms.h"
#include "runner_parts.h"

/* A run that shows no progress for this long stands still; of longer tasks one percent
 * takes longer than that. */
#define STALL_MS 200
#define STALL_SHARE 10
#define TELL_AGAIN_MS 200
/* What is said of a run that makes no progress at all. */
#define STALLED_REMAINING_MS 60000
/* Below this share of its work a run's progress tells too little about its length. */
#define PERCENT_TELLING 15
/* Tasks differ from their estimates by more than this themselves; a server whose mean is
 * this far off is slow. */
#define SLOW_SERVER 1.8

void
run_rate (Runner *runner, Run *run, gboolean failed)
{
  double elapsed = MAX (runner->now_ms - run->started_ms, 1);
  Trust before = runner->quality.trust;

  if (!failed)
    histogram_observe (HISTOGRAM_RUN, (gint64)elapsed);
  if (!failed && !run->rated)
    server_health_run_slow (&runner->quality, elapsed / run->expected_ms);
  run->rated = TRUE;
  server_health_run_ended (&runner->quality, failed, runner->now_ms);
  if (runner->quality.trust != before)
    event_note ("server-trust", "-", "server=%s trust=%d before=%d failing=%.2f",
                runner->instance, runner->quality.trust, before, runner->quality.failing);
}

static gboolean
is_stalled (const Runner *runner, const Run *run)
{
  gint64 still_ms = runner->now_ms - run->progress_ms;

  return still_ms > MAX (STALL_MS, run->expected_ms / STALL_SHARE);
}

/* Return: how long the whole run takes here, as its progress tells; 0 if it does not. */
static double
whole_run_ms (const Run *run)
{
  if (run->percent < PERCENT_TELLING)
    return 0;
  return (double)(run->progress_ms - run->started_ms) * 100 / run->percent;
}

/* A task that takes longer than declared does so anywhere; only what its server adds can
 * be saved by a new start elsewhere. */
static void
tell_straggler (Runner *runner, Run *run)
{
  gboolean stalled = is_stalled (runner, run);
  double whole_ms = whole_run_ms (run);
  double slowness = runner->quality.slowness;
  double left_ms = STALLED_REMAINING_MS;
  double elsewhere_ms = whole_ms > 0 ? whole_ms : run->expected_ms;

  if (!stalled && (slowness < SLOW_SERVER || whole_ms == 0))
    return;
  if (runner->now_ms - run->told_ms < TELL_AGAIN_MS)
    return;
  if (!stalled)
    {
      left_ms = whole_ms * (100 - run->percent) / 100;
      elsewhere_ms = whole_ms / slowness;
    }
  run->told_ms = runner->now_ms;
  event_note ("task-straggles", run->key.job,
              "task=%u run=%u percent=%u elapsed_ms=%" G_GINT64_FORMAT
              " expected_ms=%u remaining_ms=%.0f elsewhere_ms=%.0f slowness=%.2f",
              run->key.index, run->key.run, run->percent,
              runner->now_ms - run->started_ms, run->expected_ms, left_ms, elsewhere_ms,
              slowness);
  runner->ops->straggles (run->entry, &run->key, (guint)left_ms, (guint)elsewhere_ms,
                          runner->ctx);
}

/* Each run counts once, as soon as its progress tells: counted at its end, slow runs
 * would count late. */
static void
rate_by_progress (Runner *runner, Run *run)
{
  double whole_ms = whole_run_ms (run);

  if (run->rated || whole_ms == 0)
    return;
  run->rated = TRUE;
  server_health_run_slow (&runner->quality, whole_ms / run->expected_ms);
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
  Trust before = runner->quality.trust;
  guint stalled = 0;
  guint moving = 0;
  Run *run;

  for (gsize i = 0; i < reply->n_running; i++)
    {
      run = runner_find (runner, &reply->running[i].key);
      if (run == NULL || run->state != RUN_RUNNING || run->stop_reason != NULL)
        continue;
      note_progress (runner, run, reply->running[i].percent);
      rate_by_progress (runner, run);
      if (is_stalled (runner, run))
        stalled++;
      else if (run->percent > 0)
        moving++;
      tell_straggler (runner, run);
    }
  server_health_progress (&runner->quality, stalled, moving, runner->now_ms);
  if (runner->quality.trust == before)
    return;
  event_note ("server-trust", "-", "server=%s trust=%d before=%d stalled=%u moving=%u",
              runner->instance, runner->quality.trust, before, stalled, moving);
  runner->ops->changed (runner->ctx);
}
