/* Fences, receivers and acknowledgements of outcomes, and expiry. */
#include "owner_parts.h"

/* Links drop frames older than their timeout (seconds), so a start can be repeated only
 * within that time; the rest is margin. */
#define TOMBSTONE_LIFETIME_MS 120000
/* An outcome that nobody acknowledges: its receiver and every entry that could reconcile
 * with this slot owner are lost. */
#define OUTCOME_LIFETIME_MS 600000

/* The home that requested the start gets the outcome anyway. Its fence must not redirect
 * the outcome away from a holder that has reconciled the task meanwhile. Nor must the
 * fence of an earlier home, which sees in the reply that a later attempt has started. */
static void
update_receiver (OwnerTask *task, guint32 up_to_attempt, guint64 receiver)
{
  if (receiver != task->requester && task->attempt <= up_to_attempt)
    task->receiver = receiver;
}

/* The outcome was acknowledged by another process, and its body is dropped. @receiver is
 * a home that was cut off: without a report it would count the slot as busy forever. */
static void
report_dropped (Owner *owner, const OwnerTask *task, guint64 receiver)
{
  OwnerTask reply = *task;

  reply.receiver = receiver;
  reply.requester = receiver;
  reply.kind = GW__OUTCOME__KIND__MAY_HAVE_RUN;
  reply.reason = GW__OUTCOME__REASON__OWNER_LOST;
  owner->ops->report (&reply, owner->ctx);
}

static void
fence_task (Owner *owner,
            const TaskKey *key,
            guint32 up_to_attempt,
            guint64 receiver,
            GPtrArray *started,
            gint64 now_ms)
{
  OwnerTask *task = owner_task_ensure (owner, key);

  /* Also for a running task: if its call turns out never to have been sent, a delayed
   * start from the fenced home would otherwise pass as a new attempt. */
  task->fence_attempt = MAX (task->fence_attempt, up_to_attempt);
  if (task->state == OWNER_REFUSED)
    {
      task->changed_ms = now_ms;
      return;
    }
  update_receiver (task, up_to_attempt, receiver);
  g_ptr_array_add (started, task);
}

static void
fence_job (Owner *owner,
           const JobKey *key,
           guint32 up_to_attempt,
           guint64 receiver,
           GPtrArray *started,
           gint64 now_ms)
{
  OwnerJob *job = owner_job_ensure (owner, key);
  OwnerRecord *record;

  job->fence_attempt = MAX (job->fence_attempt, up_to_attempt);
  job->fenced_ms = now_ms;
  LIST_FOREACH (record, &job->tasks, link)
    {
      if (record->task.state == OWNER_REFUSED)
        continue;
      update_receiver (&record->task, up_to_attempt, receiver);
      g_ptr_array_add (started, &record->task);
    }
}

GPtrArray *
owner_fence (Owner *owner,
             const JobKey *job,
             guint32 up_to_attempt,
             const guint32 *indexes,
             gsize n_indexes,
             guint64 receiver,
             gint64 now_ms)
{
  GPtrArray *started = g_ptr_array_new ();

  if (n_indexes == 0)
    fence_job (owner, job, up_to_attempt, receiver, started, now_ms);
  for (gsize i = 0; i < n_indexes; i++)
    {
      TaskKey key = { *job, indexes[i] };

      fence_task (owner, &key, up_to_attempt, receiver, started, now_ms);
    }
  for (guint i = 0; i < started->len; i++)
    {
      const OwnerTask *task = g_ptr_array_index (started, i);

      if (task->state == OWNER_DONE && task->acked)
        report_dropped (owner, task, receiver);
      else if (task->state == OWNER_DONE)
        owner->ops->report (task, owner->ctx);
    }
  return started;
}

static void
ack_task (Owner *owner, OwnerTask *task)
{
  if (task->acked || task->state == OWNER_REFUSED)
    return;
  task->acked = TRUE;
  if (task->state == OWNER_DONE)
    owner->unacked--;
  owner_drop_body (owner, task);
}

void
owner_ack (Owner *owner, const TaskKey *key, guint32 attempt)
{
  OwnerTask *task = owner_task_lookup (owner, key);

  if (task != NULL && task->attempt == attempt)
    ack_task (owner, task);
}

void
owner_ack_job (Owner *owner, const JobKey *key)
{
  OwnerJob *job = g_hash_table_lookup (owner->jobs, key);
  OwnerRecord *record;

  if (job == NULL)
    return;
  LIST_FOREACH (record, &job->tasks, link)
    ack_task (owner, &record->task);
}

void
owner_resend (Owner *owner, guint64 receiver)
{
  GHashTableIter iter;
  OwnerRecord *record;

  g_hash_table_iter_init (&iter, owner->tasks);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&record))
    if (record->task.state == OWNER_DONE && !record->task.acked
        && record->task.receiver == receiver)
      owner->ops->report (&record->task, owner->ctx);
}

static gboolean
task_expired (Owner *owner, OwnerTask *task, gint64 now_ms)
{
  gint64 age = now_ms - task->changed_ms;

  if (task->state == OWNER_RUNNING)
    return FALSE;
  if (task->state == OWNER_DONE && !task->acked)
    {
      if (age <= OUTCOME_LIFETIME_MS)
        return FALSE;
      ack_task (owner, task);
      return TRUE;
    }
  return age > TOMBSTONE_LIFETIME_MS;
}

void
owner_expire (Owner *owner, gint64 now_ms)
{
  GHashTableIter iter;
  OwnerRecord *record;
  OwnerJob *job;

  g_hash_table_iter_init (&iter, owner->tasks);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&record))
    if (task_expired (owner, &record->task, now_ms))
      g_hash_table_iter_remove (&iter);

  g_hash_table_iter_init (&iter, owner->jobs);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&job))
    if (LIST_EMPTY (&job->tasks) && now_ms - job->fenced_ms > TOMBSTONE_LIFETIME_MS)
      g_hash_table_iter_remove (&iter);
}
