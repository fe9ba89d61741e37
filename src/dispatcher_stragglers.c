#define LOG_MODULE "dispatcher"
/* Whether a run that its agent reports as slow or stalled is restarted elsewhere. */
#include "counters.h"
#include "dispatcher_parts.h"
#include "events.h"

#include <math.h>

/* An agent reports at least this as remaining time of a run that makes no progress. */
#define STALLED_MS 30000
/* Expected gain required to restart a straggler. */
#define STRAGGLER_GAIN_MS 40
/* The agent's slowness is a moving average of the logarithms of run times, with a weight
 * of 0.15: its standard deviation is 0.285 of theirs. Up to five of these it may be high
 * by chance. */
#define SLOWNESS_DEVIATIONS (5 * 0.285)

/* The agent's estimate is for another server of the same speed. */
static double
elsewhere_ms_on (const LeasedServer *other,
                 const LeasedTask *task,
                 const TaskReport *report)
{
  return report->elsewhere_ms * other->relative_time / task->server->relative_time;
}

/* Whether runs of the task's queue are often as long as this one, on servers that are not
 * at fault. A stalled run is reported with a remaining time beyond all that is usual. */
static gboolean
is_usual_run (const LeasedTask *task, const TaskReport *report)
{
  const Runtimes *shape = job_shape (task->job);
  guint declared_ms = task->job->spec.declared_ms;
  double whole_ms = report->remaining_ms;
  double by_chance;

  if (shape == NULL)
    return FALSE;
  if (task->started_ms > 0)
    whole_ms += (double)(task->job->dispatcher->now_ms - task->started_ms);
  whole_ms /= task->server->relative_time;
  by_chance = exp (SLOWNESS_DEVIATIONS * runtimes_log_spread (shape, declared_ms));
  return whole_ms <= runtimes_quantile (shape, declared_ms, USUAL_QUANTILE)
         && server_slowness (task->server) <= MAX (by_chance, SLOWNESS_NORMAL);
}

/* A run that hangs or is slow on a bad server can hold up its whole job. A restart loses
 * the work done, so it must end clearly sooner elsewhere, and before the deadline. */
void
dispatcher_handle_straggler (LeasedTask *task, const TaskReport *report)
{
  LeasedJob *job = task->job;
  Dispatcher *dispatcher = job->dispatcher;
  LeasedServer *before = task->avoid;
  LeasedServer *other;
  double elsewhere_ms;

  dispatcher_update_server_stats (dispatcher);
  if (report->remaining_ms < STALLED_MS
      && server_slowness (task->server) <= SLOWNESS_NORMAL)
    return;
  if (task->stopping || job->closed || task->state != TASK_PLACED)
    return;
  if (is_usual_run (task, report))
    {
      counter_add (COUNTER_STRAGGLERS_KEPT, 1);
      event_emit ("straggler-kept", job->spec.id,
                  "task=%u run=%u agent=%s remaining_ms=%u elsewhere_ms=%u", task->index,
                  task->run, task->server->name, report->remaining_ms,
                  report->elsewhere_ms);
      return;
    }
  task->avoid = task->server;
  task->waiting_since_ms = dispatcher->now_ms;
  other = dispatcher_server_elsewhere (task);
  elsewhere_ms = other != NULL ? elsewhere_ms_on (other, task, report) : 0;
  if (other == NULL || other->status.draining
      || report->remaining_ms < elsewhere_ms + STRAGGLER_GAIN_MS
      || dispatcher->now_ms + elsewhere_ms > job->spec.deadline_ms)
    {
      task->avoid = before;
      return;
    }
  event_note ("straggler-restarted", job->spec.id,
              "task=%u run=%u agent=%s remaining_ms=%u elsewhere_ms=%.0f", task->index,
              task->run, task->server->name, report->remaining_ms, elsewhere_ms);
  task_stop (task);
}
