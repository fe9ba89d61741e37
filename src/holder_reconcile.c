#define LOG_MODULE "holder"
/* Links to homes up or lost, and the open tasks of a lost home after reconciliation. */
#include "clock.h"
#include "counters.h"
#include "holder_parts.h"
#include "messages.h"
#include "timeline.h"

#include <string.h>

void
holder_home_up (Holder *holder, guint64 home)
{
  HeldJob *job;
  HeldPart *part;

  LIST_FOREACH (job, &holder->running, link_entry)
    LIST_FOREACH (part, &job->parts, link_entry)
      if (part->home == home && part->open > 0 && !part->reconciling)
        holder->ops->grant (home, holder_grant_message (part, clock_now_ms ()),
                            holder->ctx);
}

static GPtrArray *
groups_of_home (Holder *holder, guint64 home)
{
  GPtrArray *groups = g_ptr_array_new_with_free_func (g_free);
  HeldJob *job;
  HeldPart *part;

  LIST_FOREACH (job, &holder->running, link_entry)
    LIST_FOREACH (part, &job->parts, link_entry)
      {
        if (part->home != home || part->open == 0)
          continue;
        part->reconciling = TRUE;
        if (!g_ptr_array_find_with_equal_func (groups, part->group, g_str_equal, NULL))
          g_ptr_array_add (groups, g_strdup (part->group));
      }
  return groups;
}

void
holder_home_lost (Holder *holder, guint64 home)
{
  GPtrArray *groups = groups_of_home (holder, home);

  for (guint i = 0; i < groups->len; i++)
    holder->ops->reconcile (home, g_ptr_array_index (groups, i), holder->ctx);
  g_ptr_array_unref (groups);
}

void
holder_each_part (Holder *holder,
                  guint64 home,
                  const char *group,
                  HeldPartFunc func,
                  gpointer ctx)
{
  HeldJob *job;
  HeldPart *part;
  GArray *indexes = g_array_new (FALSE, FALSE, sizeof (guint32));

  LIST_FOREACH (job, &holder->running, link_entry)
    LIST_FOREACH (part, &job->parts, link_entry)
      {
        if (part->home != home || part->open == 0 || strcmp (part->group, group) != 0)
          continue;
        g_array_set_size (indexes, 0);
        for (guint i = 0; i < job->tasks->len; i++)
          if (holder_task_at (job, i)->part == part)
            g_array_append_val (indexes, i);
        func (&job->key, part->grant, (const guint32 *)(gpointer)indexes->data,
              indexes->len, ctx);
      }
  g_array_unref (indexes);
}

static HeldTask *
open_task (Holder *holder, const JobKey *key, guint32 grant, guint32 index, HeldJob **job)
{
  HeldTask *task;

  *job = holder_lookup (holder, key);
  task = *job != NULL && (*job)->ended_ms == 0 ? holder_task_at (*job, index) : NULL;
  if (task == NULL || task->part == NULL || task->part->grant != grant)
    return NULL;
  return task;
}

void
holder_task_started (Holder *holder, const JobKey *key, guint32 grant, guint32 index)
{
  HeldJob *job;
  HeldTask *task = open_task (holder, key, grant, index, &job);

  if (task == NULL)
    return;
  task->confirmed_started = TRUE;
  job->started = TRUE;
}

gboolean
holder_task_open (Holder *holder, const JobKey *key, guint32 grant, guint32 index)
{
  HeldJob *job;

  return open_task (holder, key, grant, index, &job) != NULL;
}

static void
task_lost (Holder *holder, HeldJob *job, HeldTask *task)
{
  Gw__Outcome *outcome
      = message_not_run (&job->key, task->index, ATTEMPT_MAKE (task->part->grant, 0),
                         GW__OUTCOME__REASON__OWNER_LOST, 0);

  outcome->kind = GW__OUTCOME__KIND__MAY_HAVE_RUN;
  counter_add (COUNTER_TASKS_LOST, 1);
  holder_task_end (job, task, outcome);
  holder_after_end (holder, job, task, outcome);
  gw__outcome__free_unpacked (outcome, NULL);
}

void
holder_task_lost (Holder *holder, const JobKey *key, guint32 grant, guint32 index)
{
  HeldJob *job;
  HeldTask *task = open_task (holder, key, grant, index, &job);

  if (task != NULL)
    task_lost (holder, job, task);
}

/* Tasks confirmed as started stay under the old grant: their slot owners report the
 * outcomes. */
static void
regrant_unstarted (Holder *holder, HeldJob *job, HeldPart *part)
{
  for (guint i = 0; i < job->tasks->len; i++)
    {
      HeldTask *task = holder_task_at (job, i);

      if (task->part == part && !task->confirmed_started)
        holder_task_regrant (holder, job, task);
    }
}

static void
lose_unconfirmed (Holder *holder, HeldJob *job, const HeldPart *part)
{
  for (guint i = 0; i < job->tasks->len && job->ended_ms == 0; i++)
    {
      HeldTask *task = holder_task_at (job, i);

      if (task->part == part && !task->confirmed_started)
        task_lost (holder, job, task);
    }
}

void
holder_reconciled (Holder *holder, const JobKey *key, guint32 grant, gboolean proved)
{
  HeldJob *job = holder_lookup (holder, key);
  HeldPart *part;

  if (job == NULL || job->ended_ms > 0)
    return;
  part = holder_part_by_grant (job, grant);
  if (part == NULL)
    return;
  counter_add (COUNTER_JOBS_RECONCILED, 1);
  timeline_add ("job-settled", key, -1, proved ? "proved" : "unproved");
  if (proved)
    regrant_unstarted (holder, job, part);
  else
    lose_unconfirmed (holder, job, part);
}
