#define LOG_MODULE "home"
/* Slot owners lost and found: questions about placed tasks, and the end of those whose
 * owner is gone. */
#include "counters.h"
#include "home_parts.h"
#include "messages.h"

static void
ask_about_job (PlacedList *list, Backend *backend, const JobKey *key, guint64 query)
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

/* The agent is back under the same incarnation: starts and outcomes may have been lost
 * with the old link. One question settles both: what it does not know will never start.
 */
void
home_backend_reached (Home *home, Backend *backend)
{
  PlacedList *list = home_placed_list (home, backend);
  guint64 query = ++home->queries;
  HomeTask *task;

  LIST_FOREACH (task, &list->tasks, placed_entry)
    if (task->fence_query != query)
      ask_about_job (list, backend, &task->job->key.job, query);
}

/* Return: the attempt under which the owner started the task, 0 if it did not. */
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

/* Its holder had given this home up and granted the task to another, whose start came
 * first. Ours never runs and no outcome under its attempt will follow: waiting for one
 * would count the slot as taken for good. */
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
take_fence_answer (HomeTask *task, guint32 started)
{
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
      take_fence_answer (task, started_attempt (reply, task->index));
    }
  home_slots_freed (home, backend->group);
  return mine;
}

/* Outcomes wait for the other tasks of their job, but not beyond the loss of their owner:
 * it leaves the roster now, and a holder that loses this home asks only those in it. It
 * would find nobody who has heard of the task, and have it run a second time. */
static void
tell_kept_back (const PlacedList *list)
{
  HomeTask *task;

  LIST_FOREACH (task, &list->unacked, placed_entry)
    if (task->outcome != NULL && !task->told && !task->job->orphan)
      home_tell_task (task);
}

void
home_backend_moved (Home *home, Backend *backend)
{
  tell_kept_back (home_placed_list (home, backend));
}

void
home_backend_lost (Home *home, Backend *backend)
{
  PlacedList *list = home_placed_list (home, backend);
  HomeTask *task;

  tell_kept_back (list);
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
