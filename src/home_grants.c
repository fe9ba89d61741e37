#define LOG_MODULE "home"
/* Grants from holders: admits or refuses them, keeps them as jobs, and resends outcomes
 * when a holder repeats a grant or its link is up again. */
#include "clock.h"
#include "counters.h"
#include "home_parts.h"
#include "messages.h"
#include "rendezvous.h"

#include <math.h>
#include <string.h>

/* A group that has had no backend server for this long refuses grants. */
#define EMPTY_REFUSE_MS 5000
#define RETRY_AFTER_MAX_S 60

static void
refuse_grant (Home *home,
              const Gw__Grant *grant,
              Gw__Outcome__Reason reason,
              guint retry_after_s)
{
  JobKey key = message_job_key (grant->job);

  counter_add (COUNTER_GRANTS_REFUSED, grant->n_tasks);
  for (gsize i = 0; i < grant->n_tasks; i++)
    {
      Gw__Outcome *outcome
          = message_not_run (&key, grant->tasks[i]->index, ATTEMPT_MAKE (grant->grant, 0),
                             reason, retry_after_s);

      home->ops->outcome (key.holder, outcome, home->ctx);
      gw__outcome__free_unpacked (outcome, NULL);
    }
}

/* The holder was declared dead here, so the job's outcomes were dropped; only whether a
 * task may have run is still known. */
static void
resend_dropped (HomeTask *task)
{
  HomeJob *job = task->job;
  Gw__Outcome *outcome
      = message_not_run (&job->key.job, task->index, ATTEMPT_MAKE (job->key.grant, 0),
                         GW__OUTCOME__REASON__HANDED_BACK, 1);

  if (task->started)
    {
      outcome->kind = GW__OUTCOME__KIND__MAY_HAVE_RUN;
      outcome->reason = GW__OUTCOME__REASON__OWNER_LOST;
    }
  job->home->ops->outcome (job->key.job.holder, outcome, job->home->ctx);
  gw__outcome__free_unpacked (outcome, NULL);
}

static void
resend_task (HomeTask *task, gboolean dropped)
{
  if (task->outcome != NULL)
    home_report_task (task);
  else if (dropped && task->state == TASK_ENDED)
    resend_dropped (task);
}

/* The holder repeats a known grant after its link was lost. */
static void
regrant_known (HomeJob *job, const Gw__Grant *grant)
{
  gboolean was_orphan = job->orphan;

  job->orphan = FALSE;
  for (gsize i = 0; i < grant->n_tasks; i++)
    {
      HomeTask *task
          = g_hash_table_lookup (job->tasks, GUINT_TO_POINTER (grant->tasks[i]->index));

      if (task != NULL)
        resend_task (task, was_orphan);
    }
}

/* FALSE once the configuration has lowered the service's number of groups. */
gboolean
home_group_exists (const HomeGroup *group)
{
  const Home *home = group->home;
  const Fleet *fleet = home->ops->fleet (home->ctx);

  return rendezvous_group_exists (
      group->backends->name, fleet_service (fleet, group->backends->service)->groups);
}

static double
expected_finish_ms (HomeGroup *group, const Gw__Grant *grant, guint slots)
{
  double task_ms = runtimes_estimate (&group->runtimes, grant->declared_ms);
  double work_ms = task_ms * MAX (grant->job_tasks_left, 1);

  return queue_expected_finish (group->queue, grant->team, work_ms, task_ms, slots,
                                clock_now_ms ());
}

/* Return: the reason to refuse a grant, NONE to admit it. */
static Gw__Outcome__Reason
admission (HomeGroup *group, const Gw__Grant *grant, guint *retry_after_s)
{
  Home *home = group->home;
  guint slots = backends_group_slots (group->backends);
  gint64 empty_ms = group->backends->empty_since_ms;
  double finish_ms;

  *retry_after_s = 1;
  if (home->leaving || !home_group_exists (group))
    return GW__OUTCOME__REASON__HANDED_BACK;
  if (empty_ms > 0 && clock_now_ms () - empty_ms > EMPTY_REFUSE_MS)
    return GW__OUTCOME__REASON__NO_BACKEND;
  if (slots == 0)
    return GW__OUTCOME__REASON__NONE;
  finish_ms = expected_finish_ms (group, grant, slots);
  if (finish_ms <= grant->deadline_ms)
    return GW__OUTCOME__REASON__NONE;
  *retry_after_s = (guint)CLAMP (ceil ((finish_ms - grant->deadline_ms) / 1000), 1,
                                 RETRY_AFTER_MAX_S);
  return GW__OUTCOME__REASON__OVERLOADED;
}

static void
task_free (gpointer data)
{
  HomeTask *task = data;

  g_clear_pointer (&task->payload, g_bytes_unref);
  if (task->outcome != NULL)
    gw__outcome__free_unpacked (task->outcome, NULL);
  g_free (task);
}

static void
add_task (HomeJob *job, const Gw__Task *item)
{
  HomeTask *task = g_new0 (HomeTask, 1);

  task->job = job;
  task->index = item->index;
  task->payload = g_bytes_new (item->payload.data, item->payload.len);
  g_hash_table_insert (job->tasks, GUINT_TO_POINTER (task->index), task);
  TAILQ_INSERT_TAIL (&job->waiting_tasks, task, waiting_entry);
  job->waiting++;
  job->home->open_tasks++;
}

static HomeJob *
add_job (HomeGroup *group, const Gw__Grant *grant)
{
  Home *home = group->home;
  HomeJob *job = g_new0 (HomeJob, 1);
  gint64 now = clock_now_ms ();
  QueueJobInit init
      = { .key = message_job_key (grant->job),
          .grant = grant->grant,
          .team = grant->team,
          .task_ms = runtimes_estimate (&group->runtimes, grant->declared_ms),
          .job_tasks = grant->job_tasks_left,
          .arrived_ms = now - grant->waited_ms,
          .deadline_ms = now + grant->deadline_ms,
          .data = job };

  job->key.job = init.key;
  job->key.grant = grant->grant;
  job->home = home;
  job->group = group;
  job->declared_ms = grant->declared_ms;
  job->memory_mb = grant->memory_mb;
  job->tasks = g_hash_table_new_full (NULL, NULL, NULL, task_free);
  TAILQ_INIT (&job->waiting_tasks);
  for (gsize i = 0; i < grant->n_tasks; i++)
    add_task (job, grant->tasks[i]);
  job->queue_job = queue_add (group->queue, &init);
  queue_push (group->queue, job->queue_job, job->waiting);
  g_hash_table_insert (home->jobs, &job->key, job);
  LIST_INSERT_HEAD (&home->job_list, job, link_entry);
  return job;
}

void
home_grant (Home *home, guint64 holder, const Gw__Grant *grant)
{
  JobKey key = message_job_key (grant->job);
  HomeJob *known = home_job_lookup (home, &key, grant->grant);
  HomeGroup *group;
  Gw__Outcome__Reason reason;
  guint retry_after_s;

  if (key.holder != holder || grant->n_tasks == 0 || strchr (grant->group, '/') == NULL)
    return;
  if (known != NULL)
    {
      regrant_known (known, grant);
      return;
    }
  group = home_group_ensure (home, grant->group);
  reason = admission (group, grant, &retry_after_s);
  if (reason != GW__OUTCOME__REASON__NONE)
    {
      refuse_grant (home, grant, reason, retry_after_s);
      return;
    }
  counter_add (COUNTER_GRANTS_ACCEPTED, grant->n_tasks);
  add_job (group, grant);
  home_dispatch (group);
}

/* Grants first: a holder that receives a job's last outcome just after it repeated the
 * grant over a new link sends the grant and the final ack in one frame. The ack, handled
 * first, would free the job, and the grant would run it again. A holder never grants a
 * job after its final ack. */
void
home_take_frame (Home *home, guint64 holder, const Gw__Frame *frame)
{
  for (gsize i = 0; i < frame->n_grants; i++)
    home_grant (home, holder, frame->grants[i]);
  for (gsize i = 0; i < frame->n_cancels; i++)
    home_cancel (home, frame->cancels[i]);
  for (gsize i = 0; i < frame->n_acks; i++)
    home_ack (home, frame->acks[i]);
}

void
home_holder_up (Home *home, guint64 holder)
{
  HomeJob *job;
  GHashTableIter iter;
  HomeTask *task;

  LIST_FOREACH (job, &home->job_list, link_entry)
    {
      if (job->key.job.holder != holder)
        continue;
      g_hash_table_iter_init (&iter, job->tasks);
      while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&task))
        resend_task (task, job->orphan);
    }
}
