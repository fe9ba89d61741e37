#define LOG_MODULE "dispatcher"
#include "dispatcher_parts.h"
#include "events.h"

#include <string.h>

/* An order that is older than this when the agent reads it is refused there. */
#define ORDER_VALID_MS 250
/* Below this a server's run times are within what tasks differ among themselves. */
#define SLOWNESS_NORMAL 1.6

/* How the waiting jobs are ordered: first those that can still make their objective, then
 * those that are of some use, then the rest; among equals the least remaining work. */
typedef enum
{
  CHANCE_IN_TIME,
  CHANCE_LATE,
  CHANCE_NONE,
} Chance;

static Chance
chance_of (const LeasedJob *job, gint64 now_ms)
{
  double ends_ms = now_ms + job->task_ms;

  if (ends_ms <= job->objective_ms)
    return CHANCE_IN_TIME;
  if (ends_ms <= job->late_ms)
    return CHANCE_LATE;
  return CHANCE_NONE;
}

static double
remaining_work (const LeasedJob *job)
{
  return (job->waiting + job->placed * 0.5) * job->task_ms
         * MAX (job->spec.demand.cpu_milli, 1);
}

static int
compare_jobs (gconstpointer a, gconstpointer b)
{
  const LeasedJob *left = *(LeasedJob *const *)a;
  const LeasedJob *right = *(LeasedJob *const *)b;

  return (left->rank > right->rank) - (left->rank < right->rank);
}

static GPtrArray *
ordered_jobs (Dispatcher *dispatcher)
{
  GPtrArray *jobs = g_ptr_array_new ();
  LeasedJob *job;

  TAILQ_FOREACH (job, &dispatcher->jobs, link)
    {
      if (job->closed || job->waiting == 0
          || g_hash_table_contains (dispatcher->closing, job->spec.id))
        continue;
      job->rank = chance_of (job, dispatcher->now_ms) * 1e15 + remaining_work (job);
      g_ptr_array_add (jobs, job);
    }
  g_ptr_array_sort (jobs, compare_jobs);
  return jobs;
}

static gboolean
has_label (const LeasedServer *server, const char *label)
{
  return label[0] == '\0'
         || (server->status.labels != NULL
             && g_strv_contains ((const char *const *)server->status.labels, label));
}

static guint
tasks_of_job (const LeasedServer *server, const LeasedJob *job)
{
  const LeasedTask *task;
  guint n = 0;

  TAILQ_FOREACH (task, &server->tasks, on_server)
    if (task->job == job)
      n++;
  return n;
}

static gboolean
is_suitable (LeasedServer *server, const LeasedJob *job)
{
  const Dispatcher *dispatcher = server->dispatcher;
  Demand used = server->placed;

  if (server->owner == NULL || !server->inventoried || !server->status.ready
      || server->status.draining || dispatcher->now_ms < server->hold_until_ms
      || strcmp (server->status.service, job->spec.service) != 0
      || !has_label (server, job->spec.label))
    return FALSE;
  if (server->n_placed >= health_capacity (&server->health, G_MAXINT, dispatcher->now_ms))
    return FALSE;
  demand_add (&used, &server->status.used_by_others);
  if (!demand_fits (&server->status.capacity, &used, &job->spec.demand))
    return FALSE;
  return job->spec.most_per_server == 0
         || tasks_of_job (server, job) < job->spec.most_per_server;
}

static double
cost_of (const LeasedServer *server, const LeasedJob *job)
{
  double slowness = server->slowness > SLOWNESS_NORMAL ? server->slowness : 1;
  guint used = server->placed.cpu_milli + server->status.used_by_others.cpu_milli;
  double filled = (double)used / MAX (server->status.capacity.cpu_milli, 1);
  double away = has_label (server, job->spec.rack) ? 0 : 0.5;

  return slowness + away + filled * 0.01;
}

static LeasedServer *
choose_server (Dispatcher *dispatcher, const LeasedJob *job)
{
  LeasedServer *best = NULL;
  LeasedServer *server;
  double best_cost = 0;

  TAILQ_FOREACH (server, &dispatcher->servers, link)
    {
      double cost;

      if (!is_suitable (server, job))
        continue;
      cost = cost_of (server, job);
      if (best != NULL && cost >= best_cost)
        continue;
      best = server;
      best_cost = cost;
    }
  return best;
}

static void
task_place (LeasedTask *task, LeasedServer *server)
{
  LeasedJob *job = task->job;
  Dispatcher *dispatcher = job->dispatcher;

  task->state = TASK_PLACED;
  task->run++;
  task->server = server;
  task->placed_ms = dispatcher->now_ms;
  task->started_ms = 0;
  task->ordered = FALSE;
  TAILQ_INSERT_TAIL (&server->tasks, task, on_server);
  server->n_placed++;
  demand_add (&server->placed, &job->spec.demand);
  job->placed++;
  job->waiting--;
  dispatcher->n_waiting--;
}

/* One message for all tasks of the job that go to this server. */
static void
send_order (LeasedJob *job, LeasedServer *server)
{
  Dispatcher *dispatcher = job->dispatcher;
  RunKey *runs = g_newa (RunKey, job->spec.count);
  gsize n = 0;

  for (guint i = 0; i < job->spec.count; i++)
    {
      LeasedTask *task = &job->tasks[i];

      if (task->server != server || task->ordered)
        continue;
      task->ordered = TRUE;
      g_strlcpy (runs[n].job, job->spec.id, sizeof runs[n].job);
      runs[n].index = i;
      runs[n].run = task->run;
      n++;
    }
  event_emit ("job-placed", job->spec.id,
              "agent=%s tasks=%" G_GSIZE_FORMAT " waited_ms=%" G_GINT64_FORMAT
              " server_used_cpu=%u slowness=%.2f waiting=%u",
              server->name, n, dispatcher->now_ms - job->spec.arrived_ms,
              server->placed.cpu_milli, server->slowness, dispatcher->n_waiting);
  dispatcher->ops->order (server, &job->spec, runs, n,
                          peer_clock_least (&server->clock, dispatcher->now_ms, 0)
                              + ORDER_VALID_MS,
                          dispatcher->ctx);
}

/* Return: FALSE if a task found no server. */
static gboolean
place_job (Dispatcher *dispatcher, LeasedJob *job)
{
  GPtrArray *chosen = g_ptr_array_new ();
  gboolean all = TRUE;

  for (guint i = 0; i < job->spec.count && all; i++)
    {
      LeasedServer *server;

      if (job->tasks[i].state != TASK_WAITS)
        continue;
      server = choose_server (dispatcher, job);
      if (server == NULL)
        {
          all = FALSE;
          break;
        }
      task_place (&job->tasks[i], server);
      if (!g_ptr_array_find (chosen, server, NULL))
        g_ptr_array_add (chosen, server);
    }
  for (guint i = 0; i < chosen->len; i++)
    send_order (job, g_ptr_array_index (chosen, i));
  g_ptr_array_unref (chosen);
  return all;
}

void
dispatcher_pump (Dispatcher *dispatcher, gint64 now_ms)
{
  GPtrArray *jobs;

  dispatcher->now_ms = now_ms;
  if (dispatcher->n_waiting == 0)
    return;
  jobs = ordered_jobs (dispatcher);
  for (guint i = 0; i < jobs->len; i++)
    place_job (dispatcher, g_ptr_array_index (jobs, i));
  g_ptr_array_unref (jobs);
}

/* When there will be room again: the work that waits, spread over all servers. */
static guint
expected_wait_ms (const Dispatcher *dispatcher)
{
  const LeasedServer *server;
  const LeasedJob *job;
  double capacity = 0;
  double work = 0;

  TAILQ_FOREACH (server, &dispatcher->servers, link)
    if (server->owner != NULL && server->status.ready)
      capacity += server->status.capacity.cpu_milli;
  TAILQ_FOREACH (job, &dispatcher->jobs, link)
    if (!job->closed)
      work += remaining_work (job);
  return capacity > 0 ? (guint)MIN (work / capacity, 60000) : 1000;
}

/* What cannot end while it is of use is refused now rather than when its time is over:
 * its caller can go elsewhere, and its place is free for what can. */
void
dispatcher_refuse_hopeless (Dispatcher *dispatcher)
{
  LeasedJob *job;
  LeasedJob *next;

  for (job = TAILQ_FIRST (&dispatcher->jobs); job != NULL; job = next)
    {
      next = TAILQ_NEXT (job, link);
      if (job->closed || job->placed > 0
          || chance_of (job, dispatcher->now_ms) != CHANCE_NONE)
        continue;
      if (!job->started)
        job_answer (job, LEASED_REFUSED, "cannot end in time",
                    expected_wait_ms (dispatcher));
      else if (dispatcher->now_ms + job->task_ms > job->spec.deadline_ms)
        job_answer (job, LEASED_GIVEN_UP, "lost runs cannot be repeated in time", 0);
      job_release_if_over (job);
    }
}
