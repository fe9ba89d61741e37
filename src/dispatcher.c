#define LOG_MODULE "dispatcher"
#include "counters.h"
#include "dispatcher_parts.h"
#include "events.h"
#include "held_memory.h"

#include <string.h>

/* A caller that lost its connection submits its job again within this time. */
#define RECENT_JOB_MS 5000
/* The shortest time after which a job that was refused for memory is asked for again. */
#define MIN_ROOM_MS 1000

static const char *const end_names[] = { "completed", "failed", "refused", "given-up" };

Dispatcher *
dispatcher_new (const DispatcherInit *init, const DispatcherOps *ops, gpointer ctx)
{
  Dispatcher *dispatcher = g_new0 (Dispatcher, 1);

  dispatcher->init = *init;
  dispatcher->ops = ops;
  dispatcher->ctx = ctx;
  dispatcher->median_slowness = 1;
  dispatcher->speeds.fast = 1;
  dispatcher->candidate_servers = g_ptr_array_new ();
  dispatcher->fast_factors = fast_factors_new ();
  TAILQ_INIT (&dispatcher->jobs);
  TAILQ_INIT (&dispatcher->servers);
  TAILQ_INIT (&dispatcher->recent);
  dispatcher->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  dispatcher->closing = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  dispatcher->recent_ids = g_hash_table_new (g_str_hash, g_str_equal);
  dispatcher->runtimes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return dispatcher;
}

static void
spec_copy (LeasedSpec *spec, const LeasedSpec *from)
{
  *spec = *from;
  spec->id = g_strdup (from->id);
  spec->queue = g_strdup (from->queue);
  spec->service = g_strdup (from->service);
  spec->payload = g_strdup (from->payload);
  spec->label = g_strdup (from->label);
  spec->rack = g_strdup (from->rack);
}

static void
spec_clear (LeasedSpec *spec)
{
  g_free ((char *)spec->id);
  g_free ((char *)spec->queue);
  g_free ((char *)spec->service);
  g_free ((char *)spec->payload);
  g_free ((char *)spec->label);
  g_free ((char *)spec->rack);
}

static gsize
job_bytes (const LeasedSpec *spec)
{
  return sizeof (LeasedJob) + spec->count * sizeof (LeasedTask) + strlen (spec->payload)
         + strlen (spec->label) + strlen (spec->rack);
}

static void
job_free (LeasedJob *job)
{
  held_memory_add (HELD_JOBS, -(gssize)job_bytes (&job->spec));
  TAILQ_REMOVE (&job->dispatcher->jobs, job, link);
  job->dispatcher->n_jobs--;
  spec_clear (&job->spec);
  g_free (job->tasks);
  g_free (job);
}

static void
recent_free (Dispatcher *dispatcher, RecentJob *recent)
{
  TAILQ_REMOVE (&dispatcher->recent, recent, link);
  g_hash_table_remove (dispatcher->recent_ids, recent->id);
  g_free (recent->id);
  g_free (recent);
}

static void
server_free (LeasedServer *server)
{
  TAILQ_REMOVE (&server->dispatcher->servers, server, link);
  server_status_free (&server->status);
  g_free (server->name);
  g_free (server);
}

void
dispatcher_free (Dispatcher *dispatcher)
{
  LeasedJob *job;
  LeasedServer *server;
  RecentJob *recent;

  if (dispatcher == NULL)
    return;
  while ((job = TAILQ_FIRST (&dispatcher->jobs)) != NULL)
    job_free (job);
  while ((server = TAILQ_FIRST (&dispatcher->servers)) != NULL)
    server_free (server);
  while ((recent = TAILQ_FIRST (&dispatcher->recent)) != NULL)
    recent_free (dispatcher, recent);
  g_ptr_array_unref (dispatcher->candidate_servers);
  g_hash_table_unref (dispatcher->fast_factors);
  g_hash_table_unref (dispatcher->by_id);
  g_hash_table_unref (dispatcher->closing);
  g_hash_table_unref (dispatcher->recent_ids);
  g_hash_table_unref (dispatcher->runtimes);
  g_free (dispatcher);
}

Runtimes *
dispatcher_runtimes (Dispatcher *dispatcher, const char *queue)
{
  Runtimes *runtimes = g_hash_table_lookup (dispatcher->runtimes, queue);

  if (runtimes == NULL)
    {
      runtimes = g_new0 (Runtimes, 1);
      g_hash_table_insert (dispatcher->runtimes, g_strdup (queue), runtimes);
    }
  return runtimes;
}

void
dispatcher_keep_queues (Dispatcher *dispatcher,
                        DispatcherHasQueue has_queue,
                        gpointer ctx)
{
  GHashTableIter iter;
  gpointer queue;

  g_hash_table_iter_init (&iter, dispatcher->runtimes);
  while (g_hash_table_iter_next (&iter, &queue, NULL))
    {
      if (has_queue (queue, ctx))
        continue;
      event_note ("runtimes-dropped", "-", "queue=%s", (const char *)queue);
      g_hash_table_iter_remove (&iter);
    }
}

static void
remember_completed (Dispatcher *dispatcher, const char *id)
{
  RecentJob *recent;

  if (g_hash_table_contains (dispatcher->recent_ids, id))
    return;
  recent = g_new0 (RecentJob, 1);
  recent->id = g_strdup (id);
  recent->ended_ms = dispatcher->now_ms;
  TAILQ_INSERT_TAIL (&dispatcher->recent, recent, link);
  g_hash_table_insert (dispatcher->recent_ids, recent->id, recent);
}

static void
forget_completed (Dispatcher *dispatcher)
{
  RecentJob *recent;

  while ((recent = TAILQ_FIRST (&dispatcher->recent)) != NULL
         && dispatcher->now_ms - recent->ended_ms > RECENT_JOB_MS)
    recent_free (dispatcher, recent);
}

/* Runs of a closed job go on until they are reported as stopped. Until then no run of a
 * new job with the same id may begin. */
static void
job_close (LeasedJob *job)
{
  Dispatcher *dispatcher = job->dispatcher;

  if (job->closed)
    return;
  job->closed = TRUE;
  dispatcher->n_waiting -= job->waiting;
  g_hash_table_remove (dispatcher->by_id, job->spec.id);
  if (job->placed > 0)
    g_hash_table_replace (dispatcher->closing, g_strdup (job->spec.id),
                          GUINT_TO_POINTER (job->placed));
  for (guint i = 0; i < job->spec.count; i++)
    task_stop (&job->tasks[i]);
}

static void
send_result (LeasedJob *job, LeasedEnd end, const char *reason, guint retry_after_ms)
{
  Dispatcher *dispatcher = job->dispatcher;
  LeasedResult result = { end, reason, retry_after_ms };

  event_emit ("job-ended", job->spec.id,
              "queue=%s end=%s reason=\"%s\" age_ms=%" G_GINT64_FORMAT
              " done=%u of=%u objective_left_ms=%" G_GINT64_FORMAT
              " time_left_ms=%" G_GINT64_FORMAT " retry_after_ms=%u"
              " begun_ms=%" G_GINT64_FORMAT " useful_left_ms=%" G_GINT64_FORMAT,
              job->spec.queue, end_names[end], reason,
              dispatcher->now_ms - job->spec.arrived_ms, job->ended, job->spec.count,
              job->objective_ms - dispatcher->now_ms,
              job->spec.deadline_ms - dispatcher->now_ms, retry_after_ms,
              job->begun_ms > 0 ? job->begun_ms - job->spec.arrived_ms : -1,
              job->late_ms - dispatcher->now_ms);
  if (end == LEASED_COMPLETED && dispatcher->now_ms > job->late_ms)
    counter_add (COUNTER_JOBS_USELESS, 1);
  job->done (&result, job->ctx);
}

void
job_answer (LeasedJob *job, LeasedEnd end, const char *reason, guint retry_after_ms)
{
  if (job->closed)
    return;
  if (end == LEASED_COMPLETED)
    remember_completed (job->dispatcher, job->spec.id);
  send_result (job, end, reason, retry_after_ms);
  job_close (job);
}

void
job_free_if_done (LeasedJob *job)
{
  if (!job->closed || job->placed > 0)
    return;
  job_free (job);
}

/* Callers count from the job's slowest task. How long that takes is not known before, but
 * it is at least what a task was seen to take. */
static void
set_objective (LeasedJob *job)
{
  double longest_ms = MAX (job->task_ms, job->seen_ms);
  gint64 objective = (gint64)(job->spec.stretch * longest_ms) + job->spec.target_ms;
  gint64 end_ms = job->dispatcher->end_ms;

  job->objective_ms = job->spec.arrived_ms + objective;
  if (end_ms > 0)
    job->objective_ms = MIN (job->objective_ms, end_ms);
  job->late_ms
      = MIN (job->spec.arrived_ms + LATE_FACTOR * objective, job->spec.deadline_ms);
}

static void
set_deadline (LeasedJob *job, gint64 deadline_ms)
{
  gint64 end_ms = job->dispatcher->end_ms;

  job->spec.deadline_ms = end_ms > 0 ? MIN (deadline_ms, end_ms) : deadline_ms;
}

void
dispatcher_set_end (Dispatcher *dispatcher, gint64 end_ms)
{
  LeasedJob *job;

  dispatcher->end_ms = end_ms;
  TAILQ_FOREACH (job, &dispatcher->jobs, link)
    {
      set_deadline (job, job->spec.deadline_ms);
      set_objective (job);
    }
}

const Runtimes *
job_shape (const LeasedJob *job)
{
  const Runtimes *runtimes;

  if (!job->dispatcher->init.run_shapes)
    return NULL;
  runtimes = g_hash_table_lookup (job->dispatcher->runtimes, job->spec.queue);
  return runtimes != NULL && runtimes_has_shape (runtimes, job->spec.declared_ms)
             ? runtimes
             : NULL;
}

void
job_observe_run (LeasedJob *job, double run_ms)
{
  gboolean first = job->seen_ms <= job->task_ms;

  if (run_ms <= job->seen_ms || job->closed || job_shape (job) == NULL)
    return;
  job->seen_ms = run_ms;
  if (run_ms <= job->task_ms)
    return;
  set_objective (job);
  if (!first || job->waiting == 0)
    return;
  counter_add (COUNTER_OBJECTIVES_RAISED, 1);
  event_emit ("objective-raised", job->spec.id,
              "queue=%s expected_ms=%.0f seen_ms=%.0f waiting=%u "
              "objective_left_ms=%" G_GINT64_FORMAT,
              job->spec.queue, job->task_ms, run_ms, job->waiting,
              job->objective_ms - job->dispatcher->now_ms);
}

static LeasedJob *
job_new (Dispatcher *dispatcher, const LeasedSpec *spec, LeasedDone done, gpointer ctx)
{
  LeasedJob *job = g_new0 (LeasedJob, 1);
  Runtimes *runtimes = dispatcher_runtimes (dispatcher, spec->queue);

  job->dispatcher = dispatcher;
  job->done = done;
  job->ctx = ctx;
  spec_copy (&job->spec, spec);
  set_deadline (job, spec->deadline_ms);
  job->tasks = g_new0 (LeasedTask, spec->count);
  for (guint i = 0; i < spec->count; i++)
    {
      job->tasks[i].job = job;
      job->tasks[i].index = i;
      job->tasks[i].waiting_since_ms = dispatcher->now_ms;
    }
  job->waiting = spec->count;
  job->task_ms = runtimes_estimate (runtimes, spec->declared_ms);
  job->typical_work = runtimes_observe_work (
      runtimes, spec->count * job->task_ms * MAX (spec->demand.cpu_milli, 1));
  set_objective (job);
  held_memory_add (HELD_JOBS, (gssize)job_bytes (&job->spec));
  TAILQ_INSERT_TAIL (&dispatcher->jobs, job, link);
  dispatcher->n_jobs++;
  dispatcher->n_waiting += spec->count;
  g_hash_table_insert (dispatcher->by_id, (gpointer)job->spec.id, job);
  return job;
}

/* Return: in ms, until the last open job is over at the latest. */
static guint
last_deadline_ms (const Dispatcher *dispatcher)
{
  gint64 last_ms = 0;
  const LeasedJob *job;

  TAILQ_FOREACH (job, &dispatcher->jobs, link)
    last_ms = MAX (last_ms, job->spec.deadline_ms);
  return (guint)MAX (last_ms - dispatcher->now_ms, 0);
}

guint
dispatcher_room_ms (Dispatcher *dispatcher, const LeasedSpec *spec, gint64 now_ms)
{
  gsize bytes = job_bytes (spec);
  guint room_ms;

  dispatcher->now_ms = now_ms;
  if (held_memory_takes (HELD_JOBS, bytes)
      || g_hash_table_contains (dispatcher->by_id, spec->id))
    return 0;
  room_ms = MAX (MIN (dispatcher_wait_ms (dispatcher), last_deadline_ms (dispatcher)),
                 MIN_ROOM_MS);
  counter_add (COUNTER_JOBS_OVER_MEMORY, 1);
  event_emit ("job-over-memory", spec->id,
              "bytes=%zu held_kb=%zu limit_kb=%zu jobs=%u retry_after_ms=%u", bytes,
              held_memory (HELD_JOBS) >> 10, held_memory_limit (HELD_JOBS) >> 10,
              dispatcher->n_jobs, room_ms);
  return room_ms;
}

/* The caller reconnected and submitted the job again. A second job would run the same
 * tasks twice, concurrently. */
static void
join_job (LeasedJob *job, const LeasedSpec *spec, LeasedDone done, gpointer ctx)
{
  LeasedResult taken_over = { LEASED_GIVEN_UP, "its caller asked again", 0 };

  event_note ("job-joined", spec->id, "age_ms=%" G_GINT64_FORMAT " done=%u of=%u",
              job->dispatcher->now_ms - job->spec.arrived_ms, job->ended,
              job->spec.count);
  job->done (&taken_over, job->ctx);
  job->done = done;
  job->ctx = ctx;
  set_deadline (job, spec->deadline_ms);
}

LeasedJob *
dispatcher_submit (Dispatcher *dispatcher,
                   const LeasedSpec *spec,
                   LeasedDone done,
                   gpointer ctx,
                   gint64 now_ms)
{
  LeasedJob *job = g_hash_table_lookup (dispatcher->by_id, spec->id);

  dispatcher->now_ms = now_ms;
  dispatcher->ops->pump (dispatcher->ctx);
  if (job != NULL)
    {
      join_job (job, spec, done, ctx);
      return job;
    }
  job = job_new (dispatcher, spec, done, ctx);
  dispatcher_observe_arrival (job);
  job->answered_before = g_hash_table_contains (dispatcher->recent_ids, spec->id);
  event_emit ("job-queued", spec->id,
              "queue=%s tasks=%u cpu=%u declared_ms=%u expected_ms=%.0f waiting=%u "
              "objective_left_ms=%" G_GINT64_FORMAT " time_left_ms=%" G_GINT64_FORMAT,
              spec->queue, spec->count, spec->demand.cpu_milli, spec->declared_ms,
              job->task_ms, dispatcher->n_waiting, job->objective_ms - now_ms,
              spec->deadline_ms - now_ms);
  return job;
}

static void
note_cancelled (const LeasedJob *job, const char *reason)
{
  event_note ("job-cancelled", job->spec.id,
              "reason=\"%s\" age_ms=%" G_GINT64_FORMAT " placed=%u done=%u", reason,
              job->dispatcher->now_ms - job->spec.arrived_ms, job->placed, job->ended);
}

void
dispatcher_cancel (LeasedJob *job, gint64 now_ms)
{
  job->dispatcher->now_ms = now_ms;
  if (job->closed)
    return;
  note_cancelled (job, "caller has gone");
  job_close (job);
  job_free_if_done (job);
}

gboolean
dispatcher_cancel_id (Dispatcher *dispatcher,
                      const char *queue,
                      const char *id,
                      gint64 now_ms)
{
  LeasedJob *job = g_hash_table_lookup (dispatcher->by_id, id);

  if (job == NULL || strcmp (job->spec.queue, queue) != 0)
    return FALSE;
  dispatcher->now_ms = now_ms;
  note_cancelled (job, "by request");
  job_answer (job, LEASED_FAILED, "cancelled", 0);
  job_free_if_done (job);
  return TRUE;
}

static const char *
expiry_reason (const LeasedJob *job)
{
  return job->spec.deadline_ms == job->dispatcher->end_ms ? "this entry exits"
                                                          : "its caller's time is over";
}

/* Ends jobs past their deadline, and jobs that were answered before: a caller whose
 * connection broke while the answer was in transit gets the same answer again. */
static void
end_expired (Dispatcher *dispatcher)
{
  LeasedJob *job;
  LeasedJob *next;

  for (job = TAILQ_FIRST (&dispatcher->jobs); job != NULL; job = next)
    {
      next = TAILQ_NEXT (job, link);
      if (job->closed)
        continue;
      if (job->answered_before)
        job_answer (job, LEASED_COMPLETED, "answered before", 0);
      else if (dispatcher->now_ms > job->spec.deadline_ms)
        job_answer (job,
                    job->started || job->placed > 0 ? LEASED_GIVEN_UP : LEASED_REFUSED,
                    expiry_reason (job), 0);
      else
        continue;
      job_free_if_done (job);
    }
}

void
dispatcher_tick (Dispatcher *dispatcher, gint64 now_ms)
{
  dispatcher->now_ms = now_ms;
  end_expired (dispatcher);
  dispatcher_check_servers (dispatcher);
  if (dispatcher->init.run_shapes)
    dispatcher_follow_runs (dispatcher);
  dispatcher_update_share (dispatcher);
  forget_completed (dispatcher);
  if (dispatcher->n_waiting > 0)
    {
      dispatcher_pump (dispatcher, now_ms);
      dispatcher_shed_load (dispatcher);
    }
  /* Last: in a late tick both refusals are due, and dispatcher_shed_load () logs the
   * figures that it decided by. */
  dispatcher_refuse_infeasible (dispatcher);
}

guint
dispatcher_jobs (const Dispatcher *dispatcher)
{
  return dispatcher->n_jobs;
}

guint
dispatcher_waiting (const Dispatcher *dispatcher)
{
  return dispatcher->n_waiting;
}
