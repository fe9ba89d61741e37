#define LOG_MODULE "home"
/* Ends of tasks: outcomes are sent to the holder and acknowledged to the slot owner;
 * tasks whose start was refused are queued again. */
#include "clock.h"
#include "counters.h"
#include "home_parts.h"
#include "messages.h"

/* Outcomes are sent once all tasks of a job here have ended, or this much is pending. */
#define OUTCOMES_FULL_BYTES (256u << 10)
#define BUSY_BACKOFF_MS 10
#define UNREACHABLE_BACKOFF_MS 200
#define UNREACHABLE_TRIES 3

static void
ack_owner (HomeTask *task)
{
  Backend *backend = task->backend;
  TaskKey key = { task->job->key.job, task->index };
  Gw__TaskRef ref = GW__TASK_REF__INIT;

  if (backend == NULL)
    return;
  task->backend = NULL;
  LIST_REMOVE (task, placed_entry);
  if (backend->executor != NULL)
    {
      owner_ack (executor_owner (backend->executor), &key, task->attempt);
      return;
    }
  if (backend->link == NULL)
    return;
  ref.index = task->index;
  ref.attempt = task->attempt;
  link_append_lazily (backend->link, LINK_ACKS, &message_ack (&key.job, &ref, 1)->base);
}

/* The holder has the outcome, or no longer needs it: the slot owner may drop it too. */
static void
task_resolved (HomeTask *task)
{
  ack_owner (task);
  if (task->outcome != NULL)
    gw__outcome__free_unpacked (task->outcome, NULL);
  task->outcome = NULL;
  task->reported = TRUE;
}

void
home_report_task (HomeTask *task)
{
  Home *home = task->job->home;

  task->reported = TRUE;
  home->ops->outcome (task->job->key.job.holder, task->outcome, home->ctx);
}

void
home_report_all (HomeJob *job)
{
  GHashTableIter iter;
  HomeTask *task;

  job->unreported_bytes = 0;
  if (job->orphan)
    return;
  g_hash_table_iter_init (&iter, job->tasks);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&task))
    if (task->outcome != NULL && !task->reported)
      home_report_task (task);
}

static gboolean
outcome_is_failure (const Gw__Outcome *outcome)
{
  return outcome->kind != GW__OUTCOME__KIND__ANSWERED || outcome->status >= 400;
}

/* The holder can answer its caller only when it has all outcomes of a job, so an outcome
 * waits for the others and shares a frame with them. A failure ends the job and is sent
 * at once. */
static void
task_ended (HomeTask *task, Gw__Outcome *outcome)
{
  HomeJob *job = task->job;

  task->state = TASK_ENDED;
  task->outcome = outcome;
  task->started = outcome->kind != GW__OUTCOME__KIND__NOT_RUN;
  job->home->open_tasks--;
  if (task->backend != NULL)
    LIST_INSERT_HEAD (&home_placed_list (job->home, task->backend)->unacked, task,
                      placed_entry);
  g_clear_pointer (&task->payload, g_bytes_unref);
  if (job->orphan)
    {
      task_resolved (task);
      return;
    }
  job->unreported_bytes += outcome->body.len;
  if (job->waiting + job->placed == 0)
    {
      home_job_leave_queue (job);
      job->reported_ms = clock_now_ms ();
      home_report_all (job);
    }
  else if (outcome_is_failure (outcome) || job->unreported_bytes > OUTCOMES_FULL_BYTES)
    home_report_all (job);
}

void
home_unplace (HomeTask *task)
{
  LIST_REMOVE (task, placed_entry);
  task->backend->placed--;
  task->job->placed--;
  task->fence_query = 0;
}

void
home_requeue (HomeTask *task)
{
  HomeJob *job = task->job;

  task->state = TASK_WAITING;
  task->backend = NULL;
  job->waiting++;
  TAILQ_INSERT_HEAD (&job->waiting_tasks, task, waiting_entry);
  queue_release (job->group->queue, job->queue_job, TRUE);
  /* The job is out of the queue: its tasks, this one too, are pushed again together. */
  if (job->suspended || job->set_aside)
    queue_withdraw (job->group->queue, job->queue_job, 1);
}

HomeTask *
home_take_waiting (HomeJob *job)
{
  HomeTask *task = TAILQ_FIRST (&job->waiting_tasks);

  TAILQ_REMOVE (&job->waiting_tasks, task, waiting_entry);
  job->waiting--;
  return task;
}

/* Ends all waiting tasks of a job as not run: none of them has started. */
void
home_drop_waiting (HomeJob *job, Gw__Outcome__Reason reason, guint retry_after_s)
{
  guint n = job->waiting;

  if (n == 0)
    return;
  if (!job->suspended && !job->set_aside)
    queue_drop (job->group->queue, job->queue_job, n);
  job->suspended = FALSE;
  job->set_aside = FALSE;
  while (job->waiting > 0)
    {
      HomeTask *task = home_take_waiting (job);

      task_ended (task, message_not_run (&job->key.job, task->index,
                                         ATTEMPT_MAKE (job->key.grant, 0), reason,
                                         retry_after_s));
    }
}

static void
job_free_if_done (HomeJob *job)
{
  if (job->placed == 0 && job->waiting == 0)
    home_job_free (job);
}

void
home_job_orphan (HomeJob *job)
{
  job->orphan = TRUE;
  job->orphan_ms = clock_now_ms ();
}

void
home_resolve_ended (HomeJob *job)
{
  GHashTableIter iter;
  HomeTask *task;

  g_hash_table_iter_init (&iter, job->tasks);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&task))
    if (task->state == TASK_ENDED)
      task_resolved (task);
}

/* Placed tasks may be running. This is reported without waiting for the slot owner,
 * because the caller of a cancelled job is answered at once. */
static void
report_placed (HomeJob *job)
{
  GHashTableIter iter;
  HomeTask *task;

  g_hash_table_iter_init (&iter, job->tasks);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&task))
    {
      Gw__Outcome *outcome;

      if (task->state != TASK_PLACED)
        continue;
      outcome = message_not_run (&job->key.job, task->index, task->attempt,
                                 GW__OUTCOME__REASON__CANCELLED, 0);
      outcome->kind = GW__OUTCOME__KIND__MAY_HAVE_RUN;
      job->home->ops->outcome (job->key.job.holder, outcome, job->home->ctx);
      gw__outcome__free_unpacked (outcome, NULL);
    }
}

void
home_cancel (Home *home, const Gw__Cancel *cancel)
{
  JobKey key = message_job_key (cancel->job);

  /* The holder answers its caller from these reports. Waiting tasks end as not run;
   * placed ones run on, and their outcomes are not used. */
  for (guint32 grant = 1; grant <= ATTEMPT_GRANT (cancel->up_to_attempt); grant++)
    {
      HomeJob *job = home_job_lookup (home, &key, grant);

      if (job == NULL)
        continue;
      home_drop_waiting (job, GW__OUTCOME__REASON__CANCELLED, 0);
      home_report_all (job);
      report_placed (job);
    }
}

static void
ack_whole_job (Home *home, const JobKey *key)
{
  /* Grants that went to other homes are missing here; a job usually has few. */
  for (guint32 grant = 1, missing = 0; missing < 4; grant++)
    {
      HomeJob *job = home_job_lookup (home, key, grant);

      if (job == NULL)
        {
          missing++;
          continue;
        }
      home_job_orphan (job);
      job->finished = TRUE;
      home_drop_waiting (job, GW__OUTCOME__REASON__CANCELLED, 0);
      home_resolve_ended (job);
      job_free_if_done (job);
    }
}

void
home_ack (Home *home, const Gw__Ack *ack)
{
  JobKey key = message_job_key (ack->job);

  if (ack->whole_job)
    {
      ack_whole_job (home, &key);
      return;
    }
  for (gsize i = 0; i < ack->n_tasks; i++)
    {
      HomeJob *job = home_job_lookup (home, &key, ATTEMPT_GRANT (ack->tasks[i]->attempt));
      HomeTask *task = job != NULL ? g_hash_table_lookup (
                           job->tasks, GUINT_TO_POINTER (ack->tasks[i]->index))
                                   : NULL;

      if (task != NULL && task->state == TASK_ENDED)
        task_resolved (task);
    }
}

/* A refusal by the slot owner proves that the task did not start: it may be placed again.
 * Return: FALSE if it must not be. */
static gboolean
requeue_refused (HomeTask *task, const Gw__Outcome *outcome, Backend *backend)
{
  gint64 now = clock_now_ms ();

  counter_add (COUNTER_STARTS_REFUSED, 1);
  switch (outcome->reason)
    {
    case GW__OUTCOME__REASON__DRAINING:
      backend->leaving = TRUE;
      break;
    case GW__OUTCOME__REASON__UNREACHABLE:
      backends_observe (backend, TRUE, 0, 0);
      backend->backoff_until_ms = now + UNREACHABLE_BACKOFF_MS;
      if (++task->unreachable >= UNREACHABLE_TRIES)
        return FALSE;
      break;
    case GW__OUTCOME__REASON__FENCED:
      return FALSE;
    default:
      backend->backoff_until_ms = now + BUSY_BACKOFF_MS;
      break;
    }
  home_requeue (task);
  return TRUE;
}

static void
record_run (HomeTask *task, const Gw__Outcome *outcome, Backend *backend)
{
  HomeGroup *group = task->job->group;
  double expected_ms = runtimes_estimate (&group->runtimes, task->job->declared_ms);
  gboolean failed
      = outcome->kind != GW__OUTCOME__KIND__ANSWERED || outcome->status >= 500;

  /* Such an outcome only frees the slot; how the run went is unknown. */
  if (outcome->reason == GW__OUTCOME__REASON__OWNER_LOST)
    return;
  backends_observe (backend, failed, expected_ms, outcome->run_ms);
  if (!failed)
    runtimes_observe (&group->runtimes, task->job->declared_ms, outcome->run_ms);
}

static HomeTask *
placed_task (Home *home, const Gw__Outcome *outcome)
{
  JobKey key = message_job_key (outcome->job);
  HomeJob *job = home_job_lookup (home, &key, ATTEMPT_GRANT (outcome->attempt));
  HomeTask *task;

  if (job == NULL)
    return NULL;
  task = g_hash_table_lookup (job->tasks, GUINT_TO_POINTER (outcome->index));
  if (task == NULL || task->state != TASK_PLACED || task->attempt != outcome->attempt)
    return NULL;
  return task;
}

void
home_end_placed (HomeTask *task, Gw__Outcome *outcome)
{
  HomeJob *job = task->job;

  queue_release (job->group->queue, job->queue_job, FALSE);
  task_ended (task, outcome);
  if (job->finished)
    job_free_if_done (job);
  else if (job->orphan && job->placed == 0)
    home_job_leave_queue (job);
}

gboolean
home_outcome (Home *home, Backend *backend, const Gw__Outcome *outcome)
{
  HomeTask *task = placed_task (home, outcome);
  HomeGroup *group;

  if (task == NULL)
    return FALSE;
  /* The reply to the fence tells whether the task was started under another attempt. */
  if (task->fence_query != 0 && outcome->kind == GW__OUTCOME__KIND__NOT_RUN
      && outcome->reason == GW__OUTCOME__REASON__FENCED)
    return TRUE;
  group = task->job->group;
  home_unplace (task);
  if (outcome->kind == GW__OUTCOME__KIND__NOT_RUN
      && (task->job->orphan || !requeue_refused (task, outcome, backend)))
    {
      task->backend = NULL;
      home_end_placed (task, message_outcome_copy (outcome));
    }
  else if (outcome->kind != GW__OUTCOME__KIND__NOT_RUN)
    {
      record_run (task, outcome, backend);
      home_end_placed (task, message_outcome_copy (outcome));
    }
  home_dispatch (group);
  return TRUE;
}
