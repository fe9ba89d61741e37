#define LOG_MODULE "home"
/* Slot owners that reconnect, which are asked which placed tasks they started, and slot
 * owners that are lost, whose tasks end. Backend is the home's record of a slot owner. */
#include "counters.h"
#include "home_parts.h"
#include "messages.h"

static void
send_fence (PlacedList *list, Backend *backend, const JobKey *key, guint64 query)
{
  Gw__Fence *fence = g_new (Gw__Fence, 1);
  HomeTask *task;

  gw__fence__init (fence);
  fence->job = message_job_id (key);
  fence->query = query;
  fence->indexes = g_new (guint32, backend->placed);
  LIST_FOREACH (task, &list->tasks, placed_entry)
    {
      if (!job_key_equal (&task->job->key.job, key))
        continue;
      task->fence_query = query;
      fence->indexes[fence->n_indexes++] = task->index;
      fence->up_to_attempt = MAX (fence->up_to_attempt, task->attempt);
    }
  link_append (backend->link, LINK_FENCES, &fence->base);
}

/* The agent is linked again under the same incarnation; starts and outcomes may have been
 * lost with the old link. A fence covers both: the agent reports the tasks that it has
 * started and will never start the others. */
void
home_backend_reached (Home *home, Backend *backend)
{
  PlacedList *list = home_placed_list (home, backend);
  guint64 query = ++home->last_query;
  HomeTask *task;

  LIST_FOREACH (task, &list->tasks, placed_entry)
    if (task->fence_query != query) /* send_fence () covers all tasks of a job */
      send_fence (list, backend, &task->job->key.job, query);
}

/* Return: the attempt under which the slot owner started the task, 0 if it did not. */
static guint32
started_attempt (const Gw__FenceReply *reply, guint32 index)
{
  for (gsize i = 0; i < reply->n_started; i++)
    if (reply->started[i]->index == index)
      return reply->started[i]->attempt;
  return 0;
}

static void
not_started (HomeTask *task)
{
  HomeJob *job = task->job;

  home_unplace (task);
  if (!job->orphan)
    {
      home_requeue (task);
      return;
    }
  task->backend = NULL;
  home_end_placed (task, message_not_run (&job->key.job, task->index, task->attempt,
                                          GW__OUTCOME__REASON__FENCED, 0));
}

/* The holder declared this home dead and granted the task to another home, whose start
 * arrived first. This home's start never runs, so no outcome under its attempt will
 * follow; waiting for one would count the slot as taken forever. */
static void
started_by_another (HomeTask *task)
{
  Gw__Outcome *outcome = message_not_run (&task->job->key.job, task->index, task->attempt,
                                          GW__OUTCOME__REASON__FENCED, 0);

  outcome->kind = GW__OUTCOME__KIND__MAY_HAVE_RUN;
  home_unplace (task);
  task->backend = NULL;
  home_end_placed (task, outcome);
}

static void
apply_fence_reply (HomeTask *task, guint32 started)
{
  task->fence_query = 0;
  if (started == 0)
    not_started (task);
  else if (started != task->attempt)
    started_by_another (task);
}

gboolean
home_fence_reply (Home *home, Backend *backend, const Gw__FenceReply *reply)
{
  PlacedList *list = home_placed_list (home, backend);
  JobKey key = message_job_key (reply->job);
  HomeTask *task;
  HomeTask *next;
  gboolean mine = FALSE;

  for (task = LIST_FIRST (&list->tasks); task != NULL; task = next)
    {
      next = LIST_NEXT (task, placed_entry);
      if (task->fence_query != reply->query || !job_key_equal (&task->job->key.job, &key))
        continue;
      mine = TRUE;
      apply_fence_reply (task, started_attempt (reply, task->index));
    }
  home_slots_freed (home, backend->group);
  return mine;
}

/* Called when a slot owner leaves the roster. Reports at once the outcomes that are held
 * back until the other tasks of their job end: a holder that loses this home asks only
 * the slot owners in the roster; none of them would know the task, and it would run a
 * second time. */
static void
report_pending (const PlacedList *list)
{
  HomeTask *task;

  LIST_FOREACH (task, &list->unacked, placed_entry)
    if (task->outcome != NULL && !task->reported && !task->job->orphan)
      home_report_task (task);
}

void
home_backend_moved (Home *home, Backend *backend)
{
  report_pending (home_placed_list (home, backend));
}

void
home_backend_lost (Home *home, Backend *backend)
{
  PlacedList *list = home_placed_list (home, backend);
  HomeTask *task;

  report_pending (list);
  while ((task = LIST_FIRST (&list->tasks)) != NULL)
    {
      Gw__Outcome *outcome
          = message_not_run (&task->job->key.job, task->index, task->attempt,
                             GW__OUTCOME__REASON__OWNER_LOST, 0);

      outcome->kind = GW__OUTCOME__KIND__MAY_HAVE_RUN;
      home_unplace (task);
      task->backend = NULL;
      counter_add (COUNTER_TASKS_LOST, 1);
      home_end_placed (task, outcome);
    }
  while ((task = LIST_FIRST (&list->unacked)) != NULL)
    {
      LIST_REMOVE (task, placed_entry);
      task->backend = NULL;
    }
  g_hash_table_remove (home->placed, backend);
}
