/* What a slot owner keeps after the start: fences, who is to have an outcome, what is
 * acknowledged and what may be forgotten. */
#include "owner_parts.h"

/* Links drop every frame older than their timeout (seconds), so a hand-over can be
 * repeated only within it; the rest is margin. */
#define TOMBSTONE_LIFETIME_MS 120000
/* An outcome nobody fetches: its receiver and everyone who could settle with us is gone.
 */
#define OUTCOME_LIFETIME_MS 600000

/* The home that asked for the start is told its outcome in any case. Its question must
 * not take the outcome away from a holder that has settled the task meanwhile. Nor must
 * that of an earlier home, which learns from the attempt in the reply that it is late. */
static void
claim_task (OwnerTask *task, guint32 up_to_attempt, guint64 receiver)
{
  if (receiver != task->asker && task->attempt <= up_to_attempt)
    task->receiver = receiver;
}

/* Somebody else has the outcome already, and its body is dropped. Who asks for it now is
 * a home that was out of touch: it must learn that the slot is free, or it would count it
 * as taken for good. */
static void
tell_dropped (Owner *owner, const OwnerTask *task, guint64 receiver)
{
  OwnerTask reply = *task;

  reply.receiver = receiver;
  reply.asker = receiver;
  reply.kind = GW__OUTCOME__KIND__MAY_HAVE_RUN;
  reply.reason = GW__OUTCOME__REASON__OWNER_LOST;
  owner->ops->tell (&reply, owner->ctx);
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

  /* It holds for a running task as well: should its call turn out never to have left, a
   * late start of the fenced home would otherwise be taken for a fresh attempt. */
  task->fence_attempt = MAX (task->fence_attempt, up_to_attempt);
  if (task->state == OWNER_REFUSED)
    {
      task->changed_ms = now_ms;
      return;
    }
  claim_task (task, up_to_attempt, receiver);
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
      claim_task (&record->task, up_to_attempt, receiver);
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
        tell_dropped (owner, task, receiver);
      else if (task->state == OWNER_DONE)
        owner->ops->tell (task, owner->ctx);
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
      owner->ops->tell (&record->task, owner->ctx);
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
