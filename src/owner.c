#include "counters.h"
#include "owner_parts.h"

void
owner_drop_body (Owner *owner, OwnerTask *task)
{
  if (task->body == NULL)
    return;
  owner->held_bytes -= g_bytes_get_size (task->body);
  g_clear_pointer (&task->body, g_bytes_unref);
}

static void
record_free (gpointer data)
{
  OwnerRecord *record = data;

  LIST_REMOVE (record, link);
  g_clear_pointer (&record->task.body, g_bytes_unref);
  g_free (record);
}

Owner *
owner_new (const OwnerLimits *limits, const OwnerOps *ops, gpointer ctx)
{
  Owner *owner = g_new0 (Owner, 1);

  owner->limits = *limits;
  owner->ops = ops;
  owner->ctx = ctx;
  owner->tasks = g_hash_table_new_full (task_key_hash, task_key_equal, NULL, record_free);
  owner->jobs = g_hash_table_new_full (job_key_hash, job_key_equal, NULL, g_free);
  return owner;
}

void
owner_free (Owner *owner)
{
  if (owner == NULL)
    return;
  g_hash_table_unref (owner->tasks);
  g_hash_table_unref (owner->jobs);
  g_free (owner);
}

void
owner_set_slots (Owner *owner, guint slots)
{
  owner->limits.slots = slots;
}

void
owner_set_leaving (Owner *owner, gboolean leaving)
{
  owner->leaving = leaving;
}

guint
owner_slots (const Owner *owner)
{
  return owner->limits.slots;
}

guint
owner_busy (const Owner *owner)
{
  return owner->busy;
}

guint
owner_busy_for_others (const Owner *owner, guint64 requester)
{
  GHashTableIter iter;
  OwnerRecord *record;
  guint others = 0;

  if (owner->busy == 0)
    return 0;
  g_hash_table_iter_init (&iter, owner->tasks);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&record))
    if (record->task.state == OWNER_RUNNING && record->task.requester != requester)
      others++;
  return others;
}

gboolean
owner_leaving (const Owner *owner)
{
  return owner->leaving;
}

guint
owner_unacked (const Owner *owner)
{
  return owner->unacked;
}

guint
owner_record_count (const Owner *owner)
{
  return g_hash_table_size (owner->tasks) + g_hash_table_size (owner->jobs);
}

OwnerTask *
owner_task_lookup (Owner *owner, const TaskKey *key)
{
  OwnerRecord *record = g_hash_table_lookup (owner->tasks, key);

  return record != NULL ? &record->task : NULL;
}

OwnerJob *
owner_job_ensure (Owner *owner, const JobKey *key)
{
  OwnerJob *job = g_hash_table_lookup (owner->jobs, key);

  if (job != NULL)
    return job;
  job = g_new0 (OwnerJob, 1);
  job->key = *key;
  LIST_INIT (&job->tasks);
  g_hash_table_insert (owner->jobs, &job->key, job);
  return job;
}

OwnerTask *
owner_task_ensure (Owner *owner, const TaskKey *key)
{
  OwnerRecord *record = g_hash_table_lookup (owner->tasks, key);

  if (record != NULL)
    return &record->task;
  record = g_new0 (OwnerRecord, 1);
  record->task.key = *key;
  record->task.state = OWNER_REFUSED;
  record->job = owner_job_ensure (owner, &key->job);
  LIST_INSERT_HEAD (&record->job->tasks, record, link);
  g_hash_table_insert (owner->tasks, &record->task.key, record);
  return &record->task;
}

static gboolean
is_fenced (Owner *owner, const TaskKey *key, guint32 attempt)
{
  const OwnerJob *job = g_hash_table_lookup (owner->jobs, &key->job);
  const OwnerTask *task = owner_task_lookup (owner, key);

  if (job != NULL && attempt <= job->fence_attempt)
    return TRUE;
  if (task == NULL)
    return FALSE;
  return attempt <= task->fence_attempt
         || (task->state == OWNER_REFUSED && attempt <= task->attempt);
}

static Gw__Outcome__Reason
refusal_reason (Owner *owner,
                const TaskKey *key,
                guint32 attempt,
                gint64 lease_until_ms,
                gint64 now_ms)
{
  if (is_fenced (owner, key, attempt))
    {
      counter_add (COUNTER_FENCED_STARTS, 1);
      return GW__OUTCOME__REASON__FENCED;
    }
  if (now_ms > lease_until_ms)
    {
      counter_add (COUNTER_LATE_STARTS, 1);
      return GW__OUTCOME__REASON__EXPIRED;
    }
  if (owner->leaving)
    return GW__OUTCOME__REASON__DRAINING;
  if (owner->busy >= owner->limits.slots)
    return GW__OUTCOME__REASON__BUSY;
  if (owner->held_bytes > owner->limits.memory_limit_bytes)
    return GW__OUTCOME__REASON__MEMORY;
  return GW__OUTCOME__REASON__NONE;
}

/* A task that has been started is never started again, whatever the attempt number. */
static void
handle_duplicate (Owner *owner, const OwnerTask *task, guint32 attempt, guint64 receiver)
{
  OwnerTask reply = *task;

  counter_add (COUNTER_DUPLICATE_STARTS, 1);
  if (attempt == task->attempt)
    {
      if (task->state == OWNER_DONE && !task->acked)
        owner->ops->report (task, owner->ctx);
      return;
    }
  reply.attempt = attempt;
  reply.receiver = receiver;
  reply.requester = receiver;
  /* An earlier attempt comes from a home that was cut off while another home placed the
   * task. It will never run under that attempt; without a reply the home would count the
   * slot as busy forever. */
  reply.kind = attempt < task->attempt ? GW__OUTCOME__KIND__NOT_RUN
                                       : GW__OUTCOME__KIND__MAY_HAVE_RUN;
  reply.reason = GW__OUTCOME__REASON__FENCED;
  reply.body = NULL;
  owner->ops->report (&reply, owner->ctx);
}

static void
refuse (Owner *owner,
        const TaskKey *key,
        guint32 attempt,
        guint64 receiver,
        Gw__Outcome__Reason reason,
        gint64 now_ms)
{
  OwnerTask *task = owner_task_ensure (owner, key);
  OwnerTask reply;

  task->attempt = MAX (task->attempt, attempt);
  task->changed_ms = now_ms;
  reply = *task;
  reply.attempt = attempt;
  reply.receiver = receiver;
  reply.requester = receiver;
  reply.kind = GW__OUTCOME__KIND__NOT_RUN;
  reply.reason = reason;
  owner->ops->report (&reply, owner->ctx);
}

void
owner_start (Owner *owner,
             const TaskKey *key,
             guint32 attempt,
             guint64 receiver,
             const char *path,
             const void *payload,
             gsize size,
             gint64 lease_until_ms,
             gint64 now_ms)
{
  OwnerTask *task = owner_task_lookup (owner, key);
  Gw__Outcome__Reason reason;

  if (task != NULL && task->state != OWNER_REFUSED)
    {
      handle_duplicate (owner, task, attempt, receiver);
      return;
    }
  reason = refusal_reason (owner, key, attempt, lease_until_ms, now_ms);
  if (reason != GW__OUTCOME__REASON__NONE)
    {
      refuse (owner, key, attempt, receiver, reason, now_ms);
      return;
    }
  task = owner_task_ensure (owner, key);
  task->attempt = attempt;
  task->state = OWNER_RUNNING;
  task->requester = receiver;
  task->receiver = receiver;
  task->changed_ms = now_ms;
  owner->busy++;
  counter_add (COUNTER_TASKS_STARTED, 1);
  owner->ops->start (task, path, payload, size, owner->ctx);
}

void
owner_finish (Owner *owner,
              const TaskKey *key,
              Gw__Outcome__Kind kind,
              Gw__Outcome__Reason reason,
              guint status,
              GBytes *body,
              gint64 now_ms)
{
  OwnerTask *task = owner_task_lookup (owner, key);

  g_assert (task != NULL && task->state == OWNER_RUNNING);
  g_assert (owner->busy > 0);

  owner->busy--;
  task->run_ms = (guint)(now_ms - task->changed_ms);
  task->changed_ms = now_ms;
  task->kind = kind;
  task->reason = reason;
  task->status = status;
  if (kind == GW__OUTCOME__KIND__NOT_RUN)
    {
      /* The call was never sent, so another attempt may start. */
      task->state = OWNER_REFUSED;
      owner->ops->report (task, owner->ctx);
      return;
    }
  task->state = OWNER_DONE;
  task->body = body;
  if (body != NULL)
    owner->held_bytes += g_bytes_get_size (body);
  if (task->acked)
    {
      owner_drop_body (owner, task);
      return;
    }
  owner->unacked++;
  owner->ops->report (task, owner->ctx);
}
