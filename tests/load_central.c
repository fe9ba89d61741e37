#include "load_central.h"

#include <string.h>

/* Value of a late result, and the fraction of a job's benefit that does not depend on its
 * size, for the scheduling rank as in dispatcher_order.c (which has 0.3 for the second).
 */
#define LATE_FRACTION 0.2
#define FLAT_FRACTION 0.15

typedef struct
{
  LoadJob *job;
  guint waiting; /* tasks not yet placed */
  guint placed;  /* running tasks */
  guint longest_ms;
  double rank;
} QueuedJob;

typedef struct
{
  QueuedJob *queued;
  guint server;
  gint64 ends_ms;
} PlacedTask;

typedef struct
{
  const LoadInit *init;
  gint64 now;
  guint *free;    /* per server */
  double *times;  /* run time factor, per server */
  double fastest; /* least of them */
  GPtrArray *queue;
  GArray *placed;
} Central;

static gboolean
can_end_by (const Central *central, const QueuedJob *queued, double factor)
{
  const LoadJob *job = queued->job;

  return central->now + queued->longest_ms * central->fastest
         <= job->arrived_ms + factor * job->objective_ms;
}

static double
rank_of (const Central *central, const QueuedJob *queued)
{
  const LoadJob *job = queued->job;
  const LoadQueue *queue = job->queue;
  double typical_work = (double)queue->tasks * queue->run_ms * queue->cpu_milli;
  double benefit = (FLAT_FRACTION * typical_work + (1 - FLAT_FRACTION) * job->work)
                   / (1 << queue->priority);
  double work = job->work * queued->waiting / job->tasks;

  return work / benefit / (can_end_by (central, queued, 1) ? 1 : LATE_FRACTION);
}

static int
compare_rank (gconstpointer a, gconstpointer b)
{
  const QueuedJob *left = *(QueuedJob *const *)a;
  const QueuedJob *right = *(QueuedJob *const *)b;

  return (left->rank > right->rank) - (left->rank < right->rank);
}

static gboolean
ends_in_time (const Central *central, const LoadJob *job, guint run_ms, double time)
{
  return central->now + run_ms * time <= job->arrived_ms + job->objective_ms;
}

/* Whether @server is better than @best: the slowest on which the task ends in time, or
 * the fastest if it ends late on all. Of equal ones that with the least free capacity. */
static gboolean
is_better (const Central *central, guint server, guint best, gboolean in_time)
{
  if (central->times[server] != central->times[best])
    return (central->times[server] > central->times[best]) == in_time;
  return central->free[server] < central->free[best];
}

/* Return: the server for a task; -1 if none has room, or if it ends late on all that
 * have, but in time on a faster one that it can wait for. */
static int
best_server (const Central *central, const LoadJob *job, guint run_ms)
{
  gboolean in_time = ends_in_time (central, job, run_ms, central->fastest);
  int best = -1;

  for (guint i = 0; i < central->init->servers; i++)
    {
      if (central->free[i] < job->cpu_milli
          || (in_time && !ends_in_time (central, job, run_ms, central->times[i])))
        continue;
      if (best < 0 || is_better (central, i, (guint)best, in_time))
        best = (int)i;
    }
  return best;
}

static void
place (Central *central, QueuedJob *queued)
{
  LoadJob *job = queued->job;

  while (queued->waiting > 0)
    {
      guint run_ms = job->run_ms[job->tasks - queued->waiting];
      int server = best_server (central, job, run_ms);
      PlacedTask placed = { queued, (guint)server, 0 };

      if (server < 0)
        return;
      placed.ends_ms = central->now + (gint64)(run_ms * central->times[server]);
      central->free[server] -= job->cpu_milli;
      queued->waiting--;
      queued->placed++;
      job->started = TRUE;
      g_array_append_val (central->placed, placed);
    }
}

static void
finish_job (QueuedJob *queued, LeasedEnd how, gint64 now)
{
  queued->job->end = how;
  queued->job->ended_ms = MAX (now, 1);
}

static void
finish_tasks (Central *central)
{
  for (guint i = central->placed->len; i > 0; i--)
    {
      PlacedTask placed = g_array_index (central->placed, PlacedTask, i - 1);
      QueuedJob *queued = placed.queued;
      LoadJob *job = queued->job;

      if (placed.ends_ms > central->now)
        continue;
      g_array_remove_index_fast (central->placed, i - 1);
      central->free[placed.server] += job->cpu_milli;
      queued->placed--;
      if (queued->waiting == 0 && queued->placed == 0)
        {
          job->run_work = job->work;
          finish_job (queued, LEASED_COMPLETED, central->now);
        }
    }
}

static void
place_all (Central *central)
{
  for (guint i = central->queue->len; i > 0; i--)
    {
      QueuedJob *queued = g_ptr_array_index (central->queue, i - 1);

      queued->rank = rank_of (central, queued);
      if (queued->waiting > 0 && can_end_by (central, queued, LOAD_LATE_FACTOR))
        continue;
      if (!queued->job->started)
        finish_job (queued, LEASED_REFUSED, central->now);
      if (queued->waiting == 0 || !queued->job->started)
        g_ptr_array_remove_index_fast (central->queue, i - 1);
    }
  g_ptr_array_sort (central->queue, compare_rank);
  for (guint i = 0; i < central->queue->len; i++)
    place (central, g_ptr_array_index (central->queue, i));
}

static void
update_times (Central *central)
{
  central->fastest = G_MAXDOUBLE;
  for (guint i = 0; i < central->init->servers; i++)
    {
      central->times[i] = load_server_time (central->init, i, central->now);
      central->fastest = MIN (central->fastest, central->times[i]);
    }
}

static QueuedJob *
queued_new (LoadJob *job)
{
  QueuedJob *queued = g_new0 (QueuedJob, 1);

  queued->job = job;
  queued->waiting = job->tasks;
  for (guint i = 0; i < job->tasks; i++)
    queued->longest_ms = MAX (queued->longest_ms, job->run_ms[i]);
  return queued;
}

void
load_central (const LoadInit *init, LoadResult *result)
{
  Central central = { .init = init };
  GPtrArray *jobs = load_plan (init);
  GPtrArray *all = g_ptr_array_new_with_free_func (g_free);
  gint64 end_ms = load_end_ms (init, jobs);
  guint next = 0;

  memset (result, 0, sizeof *result);
  central.queue = g_ptr_array_new ();
  central.placed = g_array_new (FALSE, FALSE, sizeof (PlacedTask));
  central.free = g_new (guint, init->servers);
  central.times = g_new (double, init->servers);
  for (guint i = 0; i < init->servers; i++)
    central.free[i] = load_server_cpu_milli (init, i);
  for (; central.now < end_ms; central.now++)
    {
      update_times (&central);
      finish_tasks (&central);
      for (; next < jobs->len; next++)
        {
          LoadJob *job = g_ptr_array_index (jobs, next);

          if (job->arrived_ms > central.now)
            break;
          g_ptr_array_add (all, queued_new (job));
          g_ptr_array_add (central.queue, g_ptr_array_index (all, all->len - 1));
        }
      place_all (&central);
    }
  load_account (init, jobs, result);
  g_ptr_array_unref (central.queue);
  g_array_unref (central.placed);
  g_ptr_array_unref (all);
  g_ptr_array_unref (jobs);
  g_free (central.free);
  g_free (central.times);
}
