/* Estimates when a new job would finish: the work of its team that goes before it, over
 * the slots that the other teams leave. */
#include "queue_parts.h"

#include <math.h>
#include <string.h>

#define NO_SLOTS_FINISH_MS 1e9
#define ARRIVAL_DECAY_MS 10000.0
/* Arriving smaller jobs leave a job at least this part of its slots. */
#define MIN_SHARE_LEFT 0.05

static guint
work_class (double work_ms)
{
  return work_ms < 1 ? 0 : MIN ((guint)log2 (work_ms) + 1, WORK_CLASSES - 1);
}

double
queue_remaining_ms (const QueueJob *job)
{
  return job->init.task_ms * job->init.job_tasks;
}

static void
work_uncount (QueueJob *job)
{
  job->team->work.waiting_ms[job->work_class] -= job->work_ms;
  job->work_ms = 0;
}

void
queue_count_work (QueueJob *job)
{
  work_uncount (job);
  job->work_class = work_class (queue_remaining_ms (job));
  job->work_ms = job->waiting * job->init.task_ms;
  job->team->work.waiting_ms[job->work_class] += job->work_ms;
}

static void
decay (TeamWork *work, gint64 now_ms)
{
  double kept = exp (-(double)MAX (now_ms - work->decayed_ms, 0) / ARRIVAL_DECAY_MS);

  for (guint i = 0; i < WORK_CLASSES; i++)
    work->rate[i] *= kept;
  work->decayed_ms = MAX (work->decayed_ms, now_ms);
}

void
queue_note_arrival (QueueTeam *team, const QueueJobInit *init)
{
  double work_ms = init->task_ms * init->job_tasks;

  decay (&team->work, init->arrived_ms);
  team->work.rate[work_class (work_ms)] += work_ms / ARRIVAL_DECAY_MS;
}

/* Slots that the team can use: its arriving work, and its waiting work spread over
 * ARRIVAL_DECAY_MS. */
static double
team_demand (QueueTeam *team, gint64 now_ms)
{
  double demand = 0;

  decay (&team->work, now_ms);
  for (guint i = 0; i < WORK_CLASSES; i++)
    demand += team->work.rate[i] + MAX (team->work.waiting_ms[i], 0) / ARRIVAL_DECAY_MS;
  return demand;
}

/* One round of weighted max-min fairness: teams whose demand is within their share get
 * it. Return: whether there was one, which raises the others' shares. */
static gboolean
satisfy_small_demands (Queue *queue, const char *name, double *slots, double *weights)
{
  GHashTableIter iter;
  QueueTeam *team;
  gboolean found = FALSE;

  g_hash_table_iter_init (&iter, queue->teams);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&team))
    {
      if (team->satisfied || strcmp (team->name, name) == 0
          || team->demand > *slots * team->share.weight / *weights)
        continue;
      team->satisfied = TRUE;
      *slots -= team->demand;
      *weights -= team->share.weight;
      found = TRUE;
    }
  return found;
}

/* Slots that the team would get with unlimited demand: its share, by weight, of what the
 * teams with a demand below their own shares leave. */
static double
team_slots (Queue *queue, const char *name, double slots, gint64 now_ms)
{
  TeamShare share = queue->ops->team_share (name, queue->ctx);
  double weights = share.weight;
  GHashTableIter iter;
  QueueTeam *team;

  g_hash_table_iter_init (&iter, queue->teams);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&team))
    {
      team->satisfied = FALSE;
      team->demand = team_demand (team, now_ms);
      if (strcmp (team->name, name) != 0)
        weights += team->share.weight;
    }
  while (satisfy_small_demands (queue, name, &slots, &weights))
    ;
  slots *= share.weight / weights;
  return share.max_running > 0 ? MIN (slots, share.max_running) : slots;
}

/* Smaller waiting jobs of its team go before the new job. So do smaller ones that arrive
 * meanwhile; they slow it down by the part of the slots that they take. Half of the
 * waiting work of its own class is taken to go before it. Other teams count only up to
 * their shares: a job of a team within its share must not be refused because of what
 * others have queued. */
double
queue_expected_finish (Queue *queue,
                       const char *team_name,
                       double work_ms,
                       double task_ms,
                       guint slots,
                       gint64 now_ms)
{
  static const TeamWork no_work;
  const QueueTeam *team = g_hash_table_lookup (queue->teams, team_name);
  const TeamWork *work = team != NULL ? &team->work : &no_work;
  guint class = work_class (work_ms);
  double before = work->waiting_ms[class] / 2;
  double arriving = 0;
  double own_slots;
  double left;

  if (slots == 0)
    return NO_SLOTS_FINISH_MS;
  own_slots = team_slots (queue, team_name, slots, now_ms);
  for (guint i = 0; i < class; i++)
    {
      before += work->waiting_ms[i];
      arriving += work->rate[i];
    }
  left = MAX (1 - arriving / own_slots, MIN_SHARE_LEFT);
  return MAX (task_ms, (MAX (before, 0) + work_ms) / own_slots / left);
}
