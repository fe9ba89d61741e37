#define LOG_MODULE "dispatcher"
#include "dispatcher_parts.h"
#include "events.h"
#include "histograms.h"

#include <string.h>

/* An order that is older than this when the agent reads it is refused there. */
#define ORDER_VALID_MS 250
/* Below this a server's run times are within what tasks differ among themselves. */
#define SLOWNESS_NORMAL 1.6
/* A slot elsewhere that frees this much sooner is not worth waiting for. */
#define SLOW_SLACK_MS 20
/* A task keeps away from the server where it failed or hung for this long; if there is no
 * other, its job would wait there for nothing. */
#define AVOID_MS 100
/* An agent says more than this of a run that makes no progress. */
#define STALLED_MS 30000
/* A straggler is started anew only if that is expected to gain this much. */
#define STRAGGLER_GAIN_MS 40
/* Beyond this share of distrusted servers the fault is taken to be in the tasks. */
#define DISTRUSTED_SHARE 0.34

/* Priorities beyond this count alike. */
#define PRIORITY_STEPS 8
/* Any chance goes before any amount of work. */
#define CHANCE_STEP 1e15

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

/* Less urgent queues wait longer, but not for ever: each step of priority counts like
 * twice the work. */
static double
weighted_work (const LeasedJob *job)
{
  return remaining_work (job) * (1 << MIN (job->spec.priority, PRIORITY_STEPS));
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
      if (job->closed || job->waiting == 0 || job->answered_before
          || g_hash_table_contains (dispatcher->closing, job->spec.id))
        continue;
      job->rank = chance_of (job, dispatcher->now_ms) * CHANCE_STEP + weighted_work (job);
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

/* Against its peers: if all take longer than expected, the estimates are wrong. */
static double
slowness_of (const LeasedServer *server)
{
  double slowness = server->status.slowness_percent / 100.0 / server->dispatcher->usual;

  return slowness > SLOWNESS_NORMAL ? slowness : 1;
}

/* One run at a time on a server that has just failed or stood still. */
static gboolean
is_trusted (const LeasedServer *server)
{
  switch (server->status.trust)
    {
    case TRUST_FULL:
      return TRUE;
    case TRUST_PROBE:
      return (server->n_placed == 0 && server->status.used_by_others.cpu_milli == 0)
             || server->dispatcher->trust_all;
    case TRUST_NONE:
      return server->dispatcher->trust_all;
    }
  g_assert_not_reached ();
}

static gboolean
is_open (const LeasedServer *server)
{
  return server->owner != NULL && server->inventoried && server->status.ready
         && !server->status.draining
         && server->dispatcher->now_ms >= server->hold_until_ms;
}

static gboolean
has_room (const LeasedServer *server, const Demand *need)
{
  Demand used = server->placed;

  demand_add (&used, &server->status.used_by_others);
  return demand_fits (&server->status.capacity, &used, need);
}

static gboolean
is_suitable (const LeasedServer *server, const LeasedJob *job, const LeasedTask *task)
{
  gint64 waited_ms = server->dispatcher->now_ms - task->waits_ms;
  double lost_ms = (slowness_of (server) - 1) * job->task_ms;

  if (!is_open (server) || !is_trusted (server)
      || (server == task->avoid && waited_ms < AVOID_MS)
      || strcmp (server->status.service, job->spec.service) != 0
      || !has_label (server, job->spec.label) || !has_room (server, &job->spec.demand))
    return FALSE;
  /* With a slow server free and all others busy, waiting a little ends sooner; after as
   * much waiting as it would cost, nothing better is to be expected. */
  if (lost_ms > server->dispatcher->wait_ms + waited_ms + SLOW_SLACK_MS)
    return FALSE;
  return job->spec.most_per_server == 0
         || tasks_of_job (server, job) < job->spec.most_per_server;
}

static double
cost_of (const LeasedServer *server, const LeasedJob *job)
{
  guint used = server->placed.cpu_milli + server->status.used_by_others.cpu_milli;
  double filled = (double)used / MAX (server->status.capacity.cpu_milli, 1);
  double away = has_label (server, job->spec.rack) ? 0 : 0.5;

  return slowness_of (server) + away + filled * 0.01
         + server->status.failing_percent * 0.01;
}

static LeasedServer *
choose_server (Dispatcher *dispatcher, const LeasedJob *job, const LeasedTask *task)
{
  LeasedServer *best = NULL;
  LeasedServer *server;
  double best_cost = 0;

  TAILQ_FOREACH (server, &dispatcher->servers, link)
    {
      double cost;

      if (!is_suitable (server, job, task))
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
  RunKey *runs = g_new (RunKey, job->spec.count);
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
  histogram_observe (HISTOGRAM_PLACING, dispatcher->now_ms - job->spec.arrived_ms);
  event_emit ("job-placed", job->spec.id,
              "agent=%s tasks=%" G_GSIZE_FORMAT " waited_ms=%" G_GINT64_FORMAT
              " server_used_cpu=%u slowness=%.2f waiting=%u",
              server->name, n, dispatcher->now_ms - job->spec.arrived_ms,
              server->placed.cpu_milli, server->status.slowness_percent / 100.0,
              dispatcher->n_waiting);
  dispatcher->ops->order (server, &job->spec, runs, n, (guint)MAX (job->task_ms, 1),
                          dispatcher->n_waiting + (guint)n,
                          peer_clock_least (&server->clock, dispatcher->now_ms, 0)
                              + ORDER_VALID_MS,
                          dispatcher->ctx);
  g_free (runs);
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
      server = choose_server (dispatcher, job, &job->tasks[i]);
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

static int
compare_slowness (gconstpointer a, gconstpointer b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}

/* What is usual among the servers now: the middle slowness, and whether trust is. */
static void
note_usual (Dispatcher *dispatcher)
{
  GArray *all = g_array_new (FALSE, FALSE, sizeof (double));
  const LeasedServer *server;
  guint distrusted = 0;

  TAILQ_FOREACH (server, &dispatcher->servers, link)
    {
      double slowness = MAX (server->status.slowness_percent, 1) / 100.0;

      if (!is_open (server))
        continue;
      g_array_append_val (all, slowness);
      if (server->status.trust != TRUST_FULL)
        distrusted++;
    }
  g_array_sort (all, compare_slowness);
  dispatcher->usual
      = all->len > 0 ? MAX (g_array_index (all, double, (all->len - 1) / 2), 1) : 1;
  dispatcher->trust_all = distrusted > MAX (1, all->len * DISTRUSTED_SHARE);
  g_array_unref (all);
}

void
dispatcher_pump (Dispatcher *dispatcher, gint64 now_ms)
{
  GPtrArray *jobs;

  dispatcher->now_ms = now_ms;
  if (dispatcher->n_waiting == 0)
    return;
  note_usual (dispatcher);
  dispatcher->wait_ms = expected_wait_ms (dispatcher);
  jobs = ordered_jobs (dispatcher);
  for (guint i = 0; i < jobs->len; i++)
    place_job (dispatcher, g_ptr_array_index (jobs, i));
  g_ptr_array_unref (jobs);
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

/* A run that hangs or crawls on a bad server: its job waits for it alone. Starting it
 * anew costs what it has done, so it must end clearly sooner elsewhere, and in time. */
void
dispatcher_straggler (LeasedTask *task, const TaskReport *report)
{
  LeasedJob *job = task->job;
  Dispatcher *dispatcher = job->dispatcher;
  LeasedServer *before = task->avoid;

  note_usual (dispatcher);
  if (report->remaining_ms < STALLED_MS && slowness_of (task->server) <= SLOWNESS_NORMAL)
    return;
  if (task->stopping || job->closed || task->state != TASK_PLACED
      || report->remaining_ms < report->elsewhere_ms + STRAGGLER_GAIN_MS
      || dispatcher->now_ms + report->elsewhere_ms > job->spec.deadline_ms)
    return;
  task->avoid = task->server;
  task->waits_ms = dispatcher->now_ms;
  if (choose_server (dispatcher, job, task) == NULL)
    {
      task->avoid = before;
      return;
    }
  event_note ("straggler-restarted", job->spec.id,
              "task=%u run=%u agent=%s remaining_ms=%u elsewhere_ms=%u", task->index,
              task->run, task->server->name, report->remaining_ms, report->elsewhere_ms);
  task_stop (task);
}
