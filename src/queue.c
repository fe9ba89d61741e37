#include "queue_parts.h"

#include <math.h>

/* The sum of the listed weights drifts by rounding: a share of 4.0000001 slots is 4. */
#define SHARE_ROUNDING 1e-6

static void
team_free (gpointer data)
{
  QueueTeam *team = data;

  g_sequence_free (team->jobs);
  g_free (team->name);
  g_free (team);
}

Queue *
queue_new (const QueueOps *ops, gpointer ctx, double aging)
{
  Queue *queue = g_new0 (Queue, 1);

  queue->ops = ops;
  queue->ctx = ctx;
  queue->aging = aging;
  queue->teams = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, team_free);
  queue->deadlines = g_sequence_new (NULL);
  TAILQ_INIT (&queue->active);
  LIST_INIT (&queue->all);
  return queue;
}

void
queue_free (Queue *queue)
{
  QueueJob *job;

  if (queue == NULL)
    return;
  while ((job = LIST_FIRST (&queue->all)) != NULL)
    {
      LIST_REMOVE (job, link);
      g_free (job);
    }
  g_sequence_free (queue->deadlines);
  g_hash_table_unref (queue->teams);
  g_free (queue);
}

static QueueTeam *
team_ensure (Queue *queue, const char *name)
{
  QueueTeam *team = g_hash_table_lookup (queue->teams, name);

  if (team != NULL)
    return team;
  team = g_new0 (QueueTeam, 1);
  team->name = g_strdup (name);
  team->jobs = g_sequence_new (NULL);
  team->share = queue->ops->team_share (name, queue->ctx);
  g_hash_table_insert (queue->teams, team->name, team);
  return team;
}

static int
compare_order (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const QueueJob *left = a;
  const QueueJob *right = b;

  if (left->order != right->order)
    return left->order < right->order ? -1 : 1;
  if (left->init.key.number != right->init.key.number)
    return left->init.key.number < right->init.key.number ? -1 : 1;
  return 0;
}

static int
compare_deadline (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const QueueJob *left = a;
  const QueueJob *right = b;

  if (left->init.deadline_ms == right->init.deadline_ms)
    return 0;
  return left->init.deadline_ms < right->init.deadline_ms ? -1 : 1;
}

static void
team_list (Queue *queue, QueueTeam *team)
{
  gboolean list = team->waiting > 0;

  if (list == team->listed)
    return;
  team->listed = list;
  if (list)
    {
      team->share = queue->ops->team_share (team->name, queue->ctx);
      queue->active_weight += team->share.weight;
      TAILQ_INSERT_TAIL (&queue->active, team, link);
      return;
    }
  queue->active_weight -= team->share.weight;
  TAILQ_REMOVE (&queue->active, team, link);
}

void
queue_reconfigure (Queue *queue, double aging)
{
  QueueTeam *team;

  /* A waiting job keeps its order until its tasks change. */
  queue->aging = aging;
  queue->active_weight = 0;
  TAILQ_FOREACH (team, &queue->active, link)
    {
      team->share = queue->ops->team_share (team->name, queue->ctx);
      queue->active_weight += team->share.weight;
    }
}

/* Cached, because a pick visits every listed team, and finding the first element of a
 * balanced tree takes a walk down it. */
static void
team_find_first (QueueTeam *team)
{
  GSequenceIter *begin = g_sequence_get_begin_iter (team->jobs);

  team->first = g_sequence_iter_is_end (begin) ? NULL : g_sequence_get (begin);
}

/* Waiting offsets remaining work at the same rate for all jobs, so two waiting jobs keep
 * their order, and the arrival time serves as the key instead of the current time. */
static void
job_place (Queue *queue, QueueJob *job)
{
  job->order = queue_remaining_ms (job) + queue->aging * (double)job->init.arrived_ms;
  queue_count_work (job);
  if (job->waiting == 0)
    {
      g_clear_pointer (&job->place, g_sequence_remove);
      g_clear_pointer (&job->due, g_sequence_remove);
      team_find_first (job->team);
      return;
    }
  if (job->place == NULL)
    job->place = g_sequence_insert_sorted (job->team->jobs, job, compare_order, NULL);
  else
    g_sequence_sort_changed (job->place, compare_order, NULL);
  team_find_first (job->team);
  if (job->due == NULL)
    job->due = g_sequence_insert_sorted (queue->deadlines, job, compare_deadline, NULL);
}

static void
change_waiting (Queue *queue, QueueJob *job, int tasks)
{
  job->waiting += tasks;
  job->team->waiting += tasks;
  queue->waiting += tasks;
  job_place (queue, job);
  team_list (queue, job->team);
}

static void
change_running (Queue *queue, QueueJob *job, int tasks)
{
  job->running += tasks;
  job->team->running += tasks;
  queue->running += tasks;
}

QueueJob *
queue_add (Queue *queue, const QueueJobInit *init)
{
  QueueJob *job = g_new0 (QueueJob, 1);

  job->init = *init;
  job->team = team_ensure (queue, init->team);
  job->init.team = job->team->name;
  LIST_INSERT_HEAD (&queue->all, job, link);
  queue->jobs++;
  queue_note_arrival (job->team, init);
  return job;
}

void
queue_remove (Queue *queue, QueueJob *job)
{
  change_waiting (queue, job, -(int)job->waiting);
  change_running (queue, job, -(int)job->running);
  queue->jobs--;
  LIST_REMOVE (job, link);
  g_free (job);
}

void
queue_push (Queue *queue, QueueJob *job, guint tasks)
{
  change_waiting (queue, job, (int)tasks);
}

void
queue_drop (Queue *queue, QueueJob *job, guint tasks)
{
  g_assert (tasks <= job->waiting);
  job->init.job_tasks -= MIN (tasks, job->init.job_tasks);
  change_waiting (queue, job, -(int)tasks);
}

void
queue_withdraw (Queue *queue, QueueJob *job, guint tasks)
{
  g_assert (tasks <= job->waiting);
  change_waiting (queue, job, -(int)tasks);
}

/* Teams at their cap are skipped. The job with the least remaining work goes first among
 * the teams below their share; if there is none, among all: a team alone may use all
 * slots. */
QueueJob *
queue_pick (Queue *queue, guint slots)
{
  double slots_per_weight = slots / MAX (queue->active_weight, 1e-9);
  QueueJob *best = NULL;
  gboolean best_within = FALSE;
  QueueTeam *team;

  TAILQ_FOREACH (team, &queue->active, link)
    {
      gboolean within
          = team->running < ceil (slots_per_weight * team->share.weight - SHARE_ROUNDING);
      QueueJob *first;

      if (team->share.max_running > 0 && team->running >= team->share.max_running)
        continue;
      if (best != NULL && best_within && !within)
        continue;
      first = team->first;
      if (best == NULL || within != best_within || compare_order (first, best, NULL) < 0)
        {
          best = first;
          best_within = within;
        }
    }
  if (best == NULL)
    return NULL;
  change_running (queue, best, 1);
  change_waiting (queue, best, -1);
  return best;
}

void
queue_release (Queue *queue, QueueJob *job, gboolean requeue)
{
  g_assert (job->running > 0);
  change_running (queue, job, -1);
  if (requeue)
    {
      change_waiting (queue, job, 1);
      return;
    }
  if (job->init.job_tasks > 0)
    job->init.job_tasks--;
  job_place (queue, job);
}

QueueJob *
queue_expired (Queue *queue, gint64 now_ms)
{
  GSequenceIter *first = g_sequence_get_begin_iter (queue->deadlines);
  QueueJob *job;

  if (g_sequence_iter_is_end (first))
    return NULL;
  job = g_sequence_get (first);
  return job->init.deadline_ms <= now_ms ? job : NULL;
}

gpointer
queue_job_data (const QueueJob *job)
{
  return job->init.data;
}

guint
queue_job_waiting (const QueueJob *job)
{
  return job->waiting;
}

const JobKey *
queue_job_key (const QueueJob *job)
{
  return &job->init.key;
}

guint32
queue_job_grant (const QueueJob *job)
{
  return job->init.grant;
}

const char *
queue_job_team (const QueueJob *job)
{
  return job->init.team;
}

guint
queue_waiting (const Queue *queue)
{
  return queue->waiting;
}

guint
queue_running (const Queue *queue)
{
  return queue->running;
}

guint
queue_jobs (const Queue *queue)
{
  return queue->jobs;
}

guint
queue_team_running (const Queue *queue, const char *name)
{
  const QueueTeam *team = g_hash_table_lookup (queue->teams, name);

  return team != NULL ? team->running : 0;
}

void
queue_each_team (
    const Queue *queue,
    void (*each) (const char *team, guint waiting, guint running, gpointer ctx),
    gpointer ctx)
{
  GHashTableIter iter;
  QueueTeam *team;

  g_hash_table_iter_init (&iter, queue->teams);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&team))
    each (team->name, team->waiting, team->running, ctx);
}
