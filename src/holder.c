#define LOG_MODULE "holder"
#include "clock.h"
#include "counters.h"
#include "held_memory.h"
#include "holder_parts.h"
#include "messages.h"
#include "timeline.h"

#include <string.h>

/* A job whose homes have not reported what ran by then is answered "may have run". */
#define ENDING_TIMEOUT_MS 300
/* Callers can fetch the answer of an ended job at most this long. */
#define ROOM_MAX_S 60
#define RETAIN_MS 120000
#define ABANDONED_TTL_MS 3600000

const char *
job_state_name (JobState state)
{
  static const char *const names[]
      = { "running", "running", "complete", "failed", "cancelled" };

  return names[state];
}

const char *
job_reason_text (Gw__Outcome__Reason reason)
{
  static const char *const texts[] = { "a task failed on its backend server",
                                       "no slot was free",
                                       "the backend server is leaving",
                                       "the task was fenced",
                                       "the job was cancelled",
                                       "the deadline passed",
                                       "the expected wait exceeds the deadline",
                                       "the backend server cannot be reached",
                                       "the job was handed back",
                                       "the process that ran the task is gone",
                                       "the connection to the backend server broke",
                                       "no worker can hold a task of this size",
                                       "no backend server offers the service now",
                                       "memory for answers is used up",
                                       "the call to the backend server took too long" };

  return texts[reason];
}

Holder *
holder_new (guint64 incarnation, const HolderOps *ops, gpointer ctx)
{
  Holder *holder = g_new0 (Holder, 1);

  holder->incarnation = incarnation;
  holder->ops = ops;
  holder->ctx = ctx;
  holder->jobs = g_hash_table_new (job_key_hash, job_key_equal);
  holder->groups = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  holder->abandoned = g_hash_table_new_full (job_key_hash, job_key_equal, g_free, g_free);
  LIST_INIT (&holder->running);
  TAILQ_INIT (&holder->ended);
  return holder;
}

static void
spec_free (gpointer data)
{
  TaskSpec *spec = data;

  g_free (spec->service);
  g_clear_pointer (&spec->payload, g_bytes_unref);
  g_free (spec);
}

GPtrArray *
task_specs_new (void)
{
  return g_ptr_array_new_with_free_func (spec_free);
}

static void
task_free (gpointer data)
{
  HeldTask *task = data;

  if (task->outcome != NULL)
    gw__outcome__free_unpacked (task->outcome, NULL);
  g_free (task);
}

static void
part_free (HeldPart *part)
{
  LIST_REMOVE (part, link_entry);
  g_free (part->service);
  g_free (part->group);
  g_free (part);
}

/* A payload is copied for its home, which may be another process. */
static gsize
bytes_of_specs (const GPtrArray *specs)
{
  gsize bytes = sizeof (HeldJob);

  for (guint i = 0; i < specs->len; i++)
    {
      const TaskSpec *spec = g_ptr_array_index (specs, i);

      bytes += sizeof *spec + sizeof (HeldTask) + 2 * g_bytes_get_size (spec->payload);
    }
  return bytes;
}

void
holder_hold (HeldJob *job, gssize bytes)
{
  job->held_bytes += (gsize)bytes;
  held_memory_add (HELD_JOBS, bytes);
}

static void
job_free (Holder *holder, HeldJob *job)
{
  HeldPart *part;

  holder_hold (job, -(gssize)job->held_bytes);
  while ((part = LIST_FIRST (&job->parts)) != NULL)
    part_free (part);
  g_hash_table_remove (holder->jobs, &job->key);
  g_ptr_array_unref (job->tasks);
  g_ptr_array_unref (job->specs);
  g_ptr_array_unref (job->waiters);
  g_free (job->team);
  g_free (job->client_key);
  g_free (job);
}

void
holder_free (Holder *holder)
{
  HeldJob *job;

  if (holder == NULL)
    return;
  while ((job = LIST_FIRST (&holder->running)) != NULL)
    {
      LIST_REMOVE (job, link_entry);
      job_free (holder, job);
    }
  while ((job = TAILQ_FIRST (&holder->ended)) != NULL)
    {
      TAILQ_REMOVE (&holder->ended, job, ended_entry);
      job_free (holder, job);
    }
  g_hash_table_unref (holder->jobs);
  g_hash_table_unref (holder->groups);
  g_hash_table_unref (holder->abandoned);
  g_free (holder);
}

JobKey
holder_reserve (Holder *holder)
{
  JobKey key = { holder->incarnation, ++holder->last_job_number };

  return key;
}

/* The table may still apply the write that claims the key for this id, long after the
 * call timed out. A resubmission then finds the id in the row, asks here, and may run. */
void
holder_abandon (Holder *holder, const JobKey *key)
{
  gint64 *since_ms = g_new (gint64, 1);

  *since_ms = clock_now_ms ();
  g_hash_table_insert (holder->abandoned, g_memdup2 (key, sizeof *key), since_ms);
}

gboolean
holder_abandoned (Holder *holder, const JobKey *key)
{
  return g_hash_table_contains (holder->abandoned, key);
}

static void
expire_abandoned (Holder *holder, gint64 now_ms)
{
  GHashTableIter iter;
  const gint64 *since_ms;

  g_hash_table_iter_init (&iter, holder->abandoned);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&since_ms))
    if (now_ms - *since_ms > ABANDONED_TTL_MS)
      g_hash_table_iter_remove (&iter);
}

HeldJob *
holder_lookup (Holder *holder, const JobKey *key)
{
  return g_hash_table_lookup (holder->jobs, key);
}

HeldTask *
holder_task_at (const HeldJob *job, guint32 index)
{
  return index < job->tasks->len ? g_ptr_array_index (job->tasks, index) : NULL;
}

HeldPart *
holder_part_by_grant (HeldJob *job, guint32 grant)
{
  HeldPart *part;

  LIST_FOREACH (part, &job->parts, link_entry)
    if (part->grant == grant)
      return part;
  return NULL;
}

void
holder_drop_ended (Holder *holder, HeldJob *job)
{
  TAILQ_REMOVE (&holder->ended, job, ended_entry);
  holder->ended_bytes -= job->answer_bytes;
  job_free (holder, job);
}

Gw__Grant *
holder_grant_message (HeldPart *part, gint64 now)
{
  HeldJob *job = part->job;
  Gw__Grant *grant = g_new (Gw__Grant, 1);

  gw__grant__init (grant);
  grant->job = message_job_id (&job->key);
  grant->service = g_strdup (part->service);
  grant->team = g_strdup (job->team);
  grant->group = g_strdup (part->group);
  grant->grant = part->grant;
  grant->deadline_ms = (guint32)MAX (job->deadline_ms - now, 0);
  grant->waited_ms = (guint32)MAX (now - job->arrived_ms, 0);
  grant->job_tasks_left = job->open;
  grant->tasks = g_new (Gw__Task *, MAX (part->open, 1));
  for (guint i = 0; i < job->tasks->len; i++)
    {
      HeldTask *task = holder_task_at (job, i);
      Gw__Task *item;
      gsize size;
      const void *payload;

      if (task->part != part)
        continue;
      item = g_new (Gw__Task, 1);
      payload = g_bytes_get_data (task->spec->payload, &size);
      gw__task__init (item);
      item->index = task->index;
      item->payload.data = g_memdup2 (payload, size);
      item->payload.len = size;
      grant->tasks[grant->n_tasks++] = item;
      grant->declared_ms = MAX (grant->declared_ms, task->spec->declared_ms);
      grant->memory_mb = MAX (grant->memory_mb, task->spec->memory_mb);
    }
  return grant;
}

void
holder_part_grant (Holder *holder, HeldPart *part)
{
  part->home = holder->ops->home_of (part->group, holder->ctx);
  part->reconciling = FALSE;
  timeline_add ("job-granted", &part->job->key, -1, part->group);
  holder->ops->grant (part->home, holder_grant_message (part, clock_now_ms ()),
                      holder->ctx);
}

HeldPart *
holder_part_new (Holder *holder, HeldJob *job, const char *service, const char *group)
{
  HeldPart *part = g_new0 (HeldPart, 1);

  part->job = job;
  part->service = g_strdup (service);
  part->grant = ++job->grants;
  if (group != NULL)
    part->group = g_strdup (group);
  else
    holder_choose_group (holder, service, &part->group);
  LIST_INSERT_HEAD (&job->parts, part, link_entry);
  return part;
}

HeldTask *
holder_task_new (HeldJob *job, const TaskSpec *spec)
{
  HeldTask *task = g_new0 (HeldTask, 1);

  task->index = job->tasks->len;
  task->spec = spec;
  g_ptr_array_add (job->tasks, task);
  job->open++;
  return task;
}

static HeldPart *
part_for_service (Holder *holder, HeldJob *job, const char *service)
{
  HeldPart *part;

  LIST_FOREACH (part, &job->parts, link_entry)
    if (strcmp (part->service, service) == 0)
      return part;
  return holder_part_new (holder, job, service, NULL);
}

void
holder_task_attach (HeldTask *task, HeldPart *part)
{
  task->part = part;
  part->open++;
}

static guint
next_end_s (const Holder *holder)
{
  gint64 now_ms = clock_now_ms ();
  gint64 next_ms = G_MAXINT;
  const HeldJob *job;

  LIST_FOREACH (job, &holder->running, link_entry)
    next_ms = MIN (next_ms, job->deadline_ms - now_ms);
  return (guint)CLAMP (next_ms / 1000, 1, ROOM_MAX_S);
}

guint
holder_room_s (Holder *holder, const GPtrArray *specs)
{
  gsize bytes = bytes_of_specs (specs);

  while (!held_memory_takes (HELD_JOBS, bytes))
    {
      if (TAILQ_EMPTY (&holder->ended))
        return next_end_s (holder);
      holder_drop_ended (holder, TAILQ_FIRST (&holder->ended));
    }
  return 0;
}

HeldJob *
holder_submit (Holder *holder, const JobInit *init)
{
  HeldJob *job = g_new0 (HeldJob, 1);
  gint64 now = clock_now_ms ();
  HeldPart *part;

  job->key = init->key;
  job->team = g_strdup (init->team);
  job->client_key = g_strdup (init->client_key);
  job->direct = init->direct;
  job->idempotent = init->idempotent;
  job->specs = init->specs;
  job->tasks = g_ptr_array_new_with_free_func (task_free);
  job->waiters = g_ptr_array_new_with_free_func (g_free);
  job->arrived_ms = now;
  job->deadline_ms = now + init->deadline_ms;
  job->failed_index = -1;
  LIST_INIT (&job->parts);
  g_hash_table_insert (holder->jobs, &job->key, job);
  LIST_INSERT_HEAD (&holder->running, job, link_entry);
  holder->open_jobs++;
  holder_hold (job, (gssize)bytes_of_specs (job->specs));
  counter_add (COUNTER_JOBS_SUBMITTED, 1);
  budget_deposit (&holder->budget);
  timeline_add ("job-submitted", &job->key, -1, job->team);
  for (guint i = 0; i < job->specs->len; i++)
    {
      const TaskSpec *spec = g_ptr_array_index (job->specs, i);

      holder_task_attach (holder_task_new (job, spec),
                          part_for_service (holder, job, spec->service));
    }
  LIST_FOREACH (part, &job->parts, link_entry)
    holder_part_grant (holder, part);
  return job;
}

void
holder_wait (HeldJob *job, JobDone done, gpointer ctx)
{
  JobWaiter *waiter;

  if (job->state != JOB_RUNNING && job->state != JOB_ENDING)
    {
      done (job, ctx);
      return;
    }
  waiter = g_new0 (JobWaiter, 1);
  waiter->done = done;
  waiter->ctx = ctx;
  g_ptr_array_add (job->waiters, waiter);
}

void
holder_remove_waiter (HeldJob *job, gpointer ctx)
{
  for (guint i = 0; i < job->waiters->len; i++)
    {
      const JobWaiter *waiter = g_ptr_array_index (job->waiters, i);

      if (waiter->ctx == ctx)
        {
          g_ptr_array_remove_index (job->waiters, i);
          return;
        }
    }
}

static void
grant_due_parts (Holder *holder, HeldJob *job, gint64 now_ms)
{
  HeldPart *part;

  LIST_FOREACH (part, &job->parts, link_entry)
    if (part->home == 0 && part->open > 0 && now_ms >= part->regrant_ms)
      holder_part_grant (holder, part);
}

static void
tick_job (Holder *holder, HeldJob *job, gint64 now_ms)
{
  if (job->state == JOB_RUNNING)
    grant_due_parts (holder, job, now_ms);
  if (job->state == JOB_RUNNING && now_ms >= job->deadline_ms)
    {
      holder_job_abort (holder, job, GW__OUTCOME__REASON__EXPIRED, -1, 1);
      holder_check_ending (holder, job);
    }
  else if (job->state == JOB_ENDING && now_ms - job->ending_ms > ENDING_TIMEOUT_MS)
    {
      job->started = TRUE;
      holder_check_ending (holder, job);
    }
}

void
holder_tick (Holder *holder, gint64 now_ms)
{
  HeldJob *job;
  HeldJob *next;

  for (job = LIST_FIRST (&holder->running); job != NULL; job = next)
    {
      next = LIST_NEXT (job, link_entry);
      tick_job (holder, job, now_ms);
    }
  expire_abandoned (holder, now_ms);
  while ((job = TAILQ_FIRST (&holder->ended)) != NULL
         && now_ms - job->ended_ms > RETAIN_MS)
    holder_drop_ended (holder, job);
}

guint
holder_open_jobs (const Holder *holder)
{
  return holder->open_jobs;
}

void
holder_each_job (Holder *holder, HeldJobFunc func, gpointer ctx)
{
  HeldJob *job;

  LIST_FOREACH (job, &holder->running, link_entry)
    func (job, ctx);
  TAILQ_FOREACH (job, &holder->ended, ended_entry)
    func (job, ctx);
}
