#define LOG_MODULE "holder"
/* Outcomes, retries and the end of jobs. */
#include "clock.h"
#include "counters.h"
#include "held_memory.h"
#include "holder_parts.h"
#include "messages.h"
#include "rendezvous.h"
#include "timeline.h"

#include <string.h>

#define REGRANT_DELAY_MS 50
/* Answers of ended jobs; the oldest jobs are dropped first. */
#define RETAIN_BYTES_MAX (24u << 20)
#define RETRIES_MAX 2 /* of a direct request */

static void
retain_job (Holder *holder, HeldJob *job)
{
  TAILQ_INSERT_TAIL (&holder->ended, job, ended_entry);
  holder->ended_bytes += job->answer_bytes;
  while (holder->ended_bytes > MIN (RETAIN_BYTES_MAX, held_memory_limit (HELD_JOBS) / 2)
         && TAILQ_FIRST (&holder->ended) != job)
    holder_drop_ended (holder, TAILQ_FIRST (&holder->ended));
}

/* The homes may forget the job. */
static void
ack_homes (Holder *holder, HeldJob *job)
{
  HeldPart *part;

  LIST_FOREACH (part, &job->parts, link_entry)
    {
      if (part->home != 0)
        holder->ops->ack (part->home, message_ack (&job->key, NULL, 0), part->open > 0,
                          holder->ctx);
    }
}

static void
count_end (const HeldJob *job)
{
  if (job->state == JOB_COMPLETE)
    counter_add (COUNTER_JOBS_COMPLETE, 1);
  else if (job->state == JOB_CANCELLED)
    counter_add (COUNTER_JOBS_CANCELLED, 1);
  else if (job->started)
    counter_add (COUNTER_JOBS_FAILED_MAY_HAVE_RUN, 1);
  else
    counter_add (COUNTER_JOBS_FAILED_NOT_RUN, 1);
}

static void
measure_results (HeldJob *job)
{
  for (guint i = 0; i < job->tasks->len; i++)
    {
      const HeldTask *task = holder_task_at (job, i);

      job->answer_bytes += sizeof *task + sizeof (TaskSpec);
      if (task->outcome != NULL)
        job->answer_bytes += task->outcome->body.len;
    }
}

static void
drop_payloads (HeldJob *job)
{
  for (guint i = 0; i < job->specs->len; i++)
    {
      TaskSpec *spec = g_ptr_array_index (job->specs, i);

      g_clear_pointer (&spec->payload, g_bytes_unref);
    }
}

static void
job_end (Holder *holder, HeldJob *job, JobState state)
{
  GPtrArray *waiters = job->waiters;

  job->state = state;
  job->ended_ms = clock_now_ms ();
  LIST_REMOVE (job, link_entry);
  holder->open_jobs--;
  count_end (job);
  timeline_add (state == JOB_COMPLETE ? "job-complete" : "job-failed", &job->key, -1,
                state == JOB_COMPLETE ? NULL : job_reason_text (job->reason));
  ack_homes (holder, job);
  drop_payloads (job);
  measure_results (job);
  holder_hold (job, (gssize)job->answer_bytes - (gssize)job->held_bytes);
  retain_job (holder, job);
  if (job->client_key != NULL && state != JOB_COMPLETE && !job->started)
    holder->ops->release (job, holder->ctx);

  job->waiters = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < waiters->len; i++)
    {
      const JobWaiter *waiter = g_ptr_array_index (waiters, i);

      waiter->done (job, waiter->ctx);
    }
  g_ptr_array_unref (waiters);
}

static void
detach_task (HeldTask *task)
{
  if (task->part == NULL)
    return;
  task->part->open--;
  task->part = NULL;
}

static JobState
end_state (const HeldJob *job)
{
  return job->reason == GW__OUTCOME__REASON__CANCELLED ? JOB_CANCELLED : JOB_FAILED;
}

/* If a task may have started, the job ends at once as "may have run". Otherwise its homes
 * are asked first, which takes a round trip: "not run" is answered only with proof. */
void
holder_job_abort (Holder *holder,
                  HeldJob *job,
                  Gw__Outcome__Reason reason,
                  int index,
                  guint retry_after_s)
{
  HeldPart *part;

  if (job->state != JOB_RUNNING)
    return;
  job->reason = reason;
  job->failed_index = index;
  job->retry_after_s = retry_after_s;
  if (job->started || job->open == 0)
    {
      job_end (holder, job, end_state (job));
      return;
    }
  job->state = JOB_ENDING;
  job->ending_ms = clock_now_ms ();
  LIST_FOREACH (part, &job->parts, link_entry)
    {
      Gw__Cancel *cancel;

      if (part->open == 0 || part->home == 0)
        continue;
      cancel = g_new (Gw__Cancel, 1);
      gw__cancel__init (cancel);
      cancel->job = message_job_id (&job->key);
      cancel->up_to_attempt = ATTEMPT_LAST (job->grants);
      holder->ops->cancel (part->home, cancel, holder->ctx);
    }
}

void
holder_check_ending (Holder *holder, HeldJob *job)
{
  guint unresolved = 0;

  if (job->state != JOB_ENDING)
    return;
  for (guint i = 0; i < job->tasks->len; i++)
    {
      const HeldTask *task = holder_task_at (job, i);

      /* A part without a home was handed back, which proves that it did not start. */
      if (!task->ended && task->part != NULL && task->part->home != 0)
        unresolved++;
    }
  if (job->started || unresolved == 0)
    job_end (holder, job, end_state (job));
}

void
holder_cancel (Holder *holder, HeldJob *job)
{
  holder_job_abort (holder, job, GW__OUTCOME__REASON__CANCELLED, -1, 0);
  holder_check_ending (holder, job);
}

static gboolean
group_exists (Holder *holder, const HeldPart *part)
{
  const Fleet *fleet = holder->ops->fleet (holder->ctx);

  return rendezvous_group_exists (part->group,
                                  fleet_service (fleet, part->service)->groups);
}

/* Tasks of one service that are granted again share a new grant. */
static HeldPart *
regrant_part (Holder *holder, HeldJob *job, const HeldPart *from)
{
  HeldPart *part;

  LIST_FOREACH (part, &job->parts, link_entry)
    if (part->home == 0 && strcmp (part->service, from->service) == 0)
      return part;
  /* If the configuration no longer has the group, another is chosen. */
  part = holder_part_new (holder, job, from->service,
                          group_exists (holder, from) ? from->group : NULL);
  part->regrant_ms = clock_now_ms () + REGRANT_DELAY_MS;
  return part;
}

void
holder_task_regrant (Holder *holder, HeldJob *job, HeldTask *task)
{
  HeldPart *from = task->part;

  detach_task (task);
  holder_task_attach (task, regrant_part (holder, job, from));
  counter_add (COUNTER_TASKS_REGRANTED, 1);
}

static gboolean
may_retry (Holder *holder, HeldJob *job)
{
  if (!job->direct || !job->idempotent || job->retries >= RETRIES_MAX
      || job->state != JOB_RUNNING)
    return FALSE;
  if (!budget_withdraw (&holder->budget))
    {
      counter_add (COUNTER_DIRECT_RETRIES_DENIED, 1);
      return FALSE;
    }
  return TRUE;
}

/* An idempotent request is retried as a new task, so that each task still starts at most
 * once. */
static void
retry_direct (Holder *holder, HeldJob *job, HeldTask *failed)
{
  HeldPart *part = holder_part_new (holder, job, failed->spec->service, NULL);

  job->retries++;
  counter_add (COUNTER_DIRECT_RETRIES, 1);
  timeline_add ("direct-retried", &job->key, (int)failed->index, NULL);
  holder_task_attach (holder_task_new (job, failed->spec), part);
  holder_part_grant (holder, part);
}

void
holder_task_end (HeldJob *job, HeldTask *task, const Gw__Outcome *outcome)
{
  detach_task (task);
  task->ended = TRUE;
  task->outcome = message_outcome_copy (outcome);
  holder_hold (job, (gssize)outcome->body.len);
  job->open--;
  if (outcome->kind != GW__OUTCOME__KIND__NOT_RUN)
    job->started = TRUE;
}

static gboolean
is_success (const Gw__Outcome *outcome)
{
  return outcome->kind == GW__OUTCOME__KIND__ANSWERED && outcome->status < 400;
}

static gboolean
is_transient_failure (const Gw__Outcome *outcome)
{
  return outcome->kind == GW__OUTCOME__KIND__MAY_HAVE_RUN
         || (outcome->kind == GW__OUTCOME__KIND__ANSWERED
             && (outcome->status == 502 || outcome->status == 503
                 || outcome->status == 504));
}

static gboolean
is_handed_back (const Gw__Outcome *outcome)
{
  return outcome->kind == GW__OUTCOME__KIND__NOT_RUN
         && outcome->reason == GW__OUTCOME__REASON__HANDED_BACK;
}

void
holder_after_end (Holder *holder,
                  HeldJob *job,
                  HeldTask *task,
                  const Gw__Outcome *outcome)
{
  if (job->state == JOB_ENDING)
    {
      holder_check_ending (holder, job);
      return;
    }
  if (is_success (outcome))
    {
      if (job->open == 0)
        job_end (holder, job, JOB_COMPLETE);
      return;
    }
  if (is_transient_failure (outcome) && may_retry (holder, job))
    {
      retry_direct (holder, job, task);
      return;
    }
  /* A backend server's error response to a direct request is passed on as its answer. */
  if (job->direct && outcome->kind == GW__OUTCOME__KIND__ANSWERED)
    {
      job_end (holder, job, JOB_COMPLETE);
      return;
    }
  holder_job_abort (holder, job, outcome->reason, (int)task->index,
                    outcome->retry_after_s);
  holder_check_ending (holder, job);
}

gboolean
holder_outcome (Holder *holder, const Gw__Outcome *outcome)
{
  JobKey key = message_job_key (outcome->job);
  HeldJob *job = holder_lookup (holder, &key);
  HeldTask *task = job != NULL ? holder_task_at (job, outcome->index) : NULL;

  if (task == NULL || task->ended || task->part == NULL || job->ended_ms > 0
      || task->part->grant != ATTEMPT_GRANT (outcome->attempt))
    {
      if (job == NULL || job->ended_ms > 0)
        counter_add (COUNTER_STALE_OUTCOMES, 1);
      return FALSE;
    }
  if (is_handed_back (outcome) && job->state == JOB_RUNNING)
    {
      holder_task_regrant (holder, job, task);
      return TRUE;
    }
  holder_task_end (job, task, outcome);
  holder_after_end (holder, job, task, outcome);
  return TRUE;
}
