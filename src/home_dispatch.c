#define LOG_MODULE "home"
/* Takes tasks from the queue and places them on free slots. */
#include "counters.h"
#include "home_parts.h"
#include "messages.h"
#include "timeline.h"

static Gw__Start *
start_message (HomeTask *task, const FleetService *service, guint lease_ms)
{
  Gw__Start *start = g_new (Gw__Start, 1);
  Gw__Task *item = g_new (Gw__Task, 1);
  gsize size;
  const void *payload = g_bytes_get_data (task->payload, &size);

  gw__start__init (start);
  gw__task__init (item);
  start->job = message_job_id (&task->job->key.job);
  start->path = g_strdup (service->path);
  start->lease_ms = lease_ms;
  start->timeout_ms = service->task_timeout_ms;
  start->n_tasks = 1;
  start->tasks = g_new (Gw__Task *, 1);
  start->tasks[0] = item;
  item->index = task->index;
  item->attempt = task->attempt;
  item->payload.data = g_memdup2 (payload, size);
  item->payload.len = size;
  return start;
}

static void
place (HomeTask *task, Backend *backend)
{
  HomeJob *job = task->job;
  Home *home = job->home;
  const FleetService *service
      = fleet_service (home->ops->fleet (home->ctx), job->group->backends->service);
  Gw__Start *start;

  task->state = TASK_PLACED;
  task->backend = backend;
  task->attempt = ATTEMPT_MAKE (job->key.grant, ++job->placements);
  job->placed++;
  backend->placed++;
  LIST_INSERT_HEAD (&home_placed_list (home, backend)->tasks, task, placed_entry);
  counter_add (COUNTER_STARTS_SENT, 1);
  timeline_add ("task-placed", &job->key.job, (int)task->index, backend->info->name);
  start = start_message (task, service, home->init.lease_ms);
  if (backend->link != NULL)
    {
      link_append (backend->link, LINK_STARTS, &start->base);
      return;
    }
  /* Without an agent this entry owns the slots itself. */
  executor_start (backend->executor, start, home->init.incarnation);
  gw__start__free_unpacked (start, NULL);
}

/* An unresponsive holder may already be reconciling its tasks with the slot owners and
 * granting them elsewhere: none of them is started until a frame of it arrives again. */
static void
suspend_job (HomeJob *job)
{
  queue_withdraw (job->group->queue, job->queue_job, job->waiting);
  job->suspended = TRUE;
}

static void
resume_jobs_of (Home *home, guint64 holder)
{
  HomeJob *job;

  LIST_FOREACH (job, &home->job_list, link_entry)
    {
      if (!job->suspended || job->key.job.holder != holder)
        continue;
      job->suspended = FALSE;
      queue_push (job->group->queue, job->queue_job, job->waiting);
    }
}

/* Takes a job out of the queue for this round: no free slot meets its constraints, and it
 * must not block the jobs behind it. */
static void
set_aside (HomeJob *job)
{
  queue_withdraw (job->group->queue, job->queue_job, job->waiting);
  job->set_aside = TRUE;
}

static void
requeue_set_aside (HomeGroup *group)
{
  HomeJob *job;

  LIST_FOREACH (job, &group->home->job_list, link_entry)
    {
      if (!job->set_aside || job->group != group)
        continue;
      job->set_aside = FALSE;
      queue_push (group->queue, job->queue_job, job->waiting);
    }
}

/* Whether some free slots may be barred to the job: by its memory, or since a task goes
 * only to slot owners in a roster that its holder has acknowledged. */
static gboolean
has_constraints (const HomeJob *job, guint64 acked_version)
{
  return job->memory_mb > 0 || acked_version < job->group->backends->roster_version;
}

/* Attempt numbers must rise with every start of a task; the low 16 bits count the job's
 * placements under one grant. A job that has used them up goes back to its holder for a
 * new grant. */
static void
hand_back_exhausted (HomeJob *job)
{
  counter_add (COUNTER_TASKS_HANDED_BACK, job->waiting);
  home_drop_waiting (job, GW__OUTCOME__REASON__HANDED_BACK, 1);
  home_report_all (job);
}

/* Return: FALSE if nothing more can be placed now. */
static gboolean
dispatch_one (HomeGroup *group, guint slots)
{
  Home *home = group->home;
  QueueJob *queue_job = queue_pick (group->queue, slots);
  HomeJob *job;
  HomeTask *task;
  Backend *backend;
  double task_ms;
  guint64 acked;

  if (queue_job == NULL)
    return FALSE;
  job = queue_job_data (queue_job);
  if (!home->ops->holder_alive (job->key.job.holder, home->ctx))
    {
      queue_release (group->queue, queue_job, TRUE);
      suspend_job (job);
      return TRUE;
    }
  if (job->placements == G_MAXUINT16)
    {
      queue_release (group->queue, queue_job, TRUE);
      hand_back_exhausted (job);
      return TRUE;
    }
  task_ms = runtimes_estimate (&group->runtimes, job->declared_ms);
  acked = home->ops->roster_acked (job->key.job.holder, group->backends->name, home->ctx);
  backend = backends_choose (group->backends, acked, job->memory_mb, task_ms,
                             queue_waiting (group->queue));
  if (backend == NULL)
    {
      queue_release (group->queue, queue_job, TRUE);
      if (!has_constraints (job, acked))
        return FALSE;
      set_aside (job);
      group->any_set_aside = TRUE;
      return TRUE;
    }
  task = home_take_waiting (job);
  place (task, backend);
  return TRUE;
}

void
home_dispatch (HomeGroup *group)
{
  guint slots = backends_group_slots (group->backends);

  /* An executor that refuses a start at once calls back into this function. */
  if (group->dispatching || queue_waiting (group->queue) == 0 || slots == 0
      || !group->home->ops->may_place (group->home->ctx))
    return;
  group->dispatching = TRUE;
  while (dispatch_one (group, slots))
    ;
  if (group->any_set_aside)
    requeue_set_aside (group);
  group->any_set_aside = FALSE;
  group->dispatching = FALSE;
}

void
home_slots_freed (Home *home, BackendGroup *backends)
{
  HomeGroup *group = g_hash_table_lookup (home->groups, backends->name);

  if (group != NULL)
    home_dispatch (group);
}

void
home_resume_jobs (Home *home)
{
  HomeJob *job;

  LIST_FOREACH (job, &home->job_list, link_entry)
    if (job->suspended && home->ops->holder_alive (job->key.job.holder, home->ctx))
      resume_jobs_of (home, job->key.job.holder);
}
