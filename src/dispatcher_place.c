#define LOG_MODULE "dispatcher"
#include "dispatcher_parts.h"
#include "events.h"
#include "histograms.h"

#include <string.h>

/* An order that is older than this when the agent reads it is refused there. */
#define ORDER_VALID_MS 250
/* While orders come this late, no more are sent there: they would wait behind those that
 * do, be refused as too old, and be sent again. */
#define ORDER_LATE_MS 60
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
/* What is sent to more than this share of the servers came late: it is the own link that
 * is full. Tasks of a job that start together then go to one server, with one order and
 * one payload, unless another is less slow or fails less. */
#define LATE_SHARE 0.1
#define TOGETHER_GAIN 0.02
/* Beyond this share of distrusted servers the fault is taken to be in the tasks. */
#define DISTRUSTED_SHARE 0.34

gboolean
server_has_label (const LeasedServer *server, const char *label)
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
gboolean
server_is_trusted (const LeasedServer *server)
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

gboolean
server_is_open (const LeasedServer *server)
{
  return server->owner != NULL && server->inventoried && server->status.ready
         && !server->status.draining && !server->closed && server->late_ms < ORDER_LATE_MS
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
runs_alone (const LeasedTask *task)
{
  return task->servers_ended >= SERVERS_ENDED_ALONE;
}

/* What the task takes there: a task that runs alone takes all. */
static Demand
demand_on (const LeasedTask *task, const LeasedServer *server)
{
  return runs_alone (task) ? server->status.capacity : task->job->spec.demand;
}

static gboolean
fits (const LeasedServer *server, const LeasedTask *task)
{
  Demand need = demand_on (task, server);

  return has_room (server, &need)
         && demand_fits (&need, &(Demand){ 0 }, &task->job->spec.demand);
}

static gboolean
is_suitable (const LeasedServer *server, const LeasedJob *job, const LeasedTask *task)
{
  gint64 waited_ms = server->dispatcher->now_ms - task->waits_ms;
  double lost_ms = (slowness_of (server) - 1) * job->task_ms;

  if (!fits (server, task) || !server_is_trusted (server)
      || server_is_offered_for_better (server, job->rank)
      || (server == task->avoid && waited_ms < AVOID_MS)
      || strcmp (server->status.service, job->spec.service) != 0
      || !server_has_label (server, job->spec.label))
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
  double away = server_has_label (server, job->spec.rack) ? 0 : 0.5;

  return slowness_of (server) + away + filled * 0.01
         + server->status.failing_percent * 0.01;
}

static guint
free_cpu (const LeasedServer *server)
{
  guint used = server->placed.cpu_milli + server->status.used_by_others.cpu_milli;

  return used < server->status.capacity.cpu_milli
             ? server->status.capacity.cpu_milli - used
             : 0;
}

/* Under load nearly all servers are full: they are passed over once, not for each task
 * that waits. Placing only takes room away. */
static void
gather_roomy (Dispatcher *dispatcher, guint least_cpu)
{
  LeasedServer *server;

  g_ptr_array_set_size (dispatcher->roomy, 0);
  TAILQ_FOREACH (server, &dispatcher->servers, link)
    if (server_is_open (server) && free_cpu (server) >= least_cpu)
      g_ptr_array_add (dispatcher->roomy, server);
}

static guint
least_cpu_of (GPtrArray *jobs)
{
  guint least = G_MAXUINT;

  for (guint i = 0; i < jobs->len; i++)
    {
      const LeasedJob *job = g_ptr_array_index (jobs, i);

      least = MIN (least, job->spec.demand.cpu_milli);
    }
  return least;
}

/* Of those that gather_roomy () has found. @chosen: servers that get tasks of the job in
 * this turn; NULL: none. */
static LeasedServer *
choose_server (Dispatcher *dispatcher,
               const LeasedJob *job,
               const LeasedTask *task,
               GPtrArray *chosen)
{
  LeasedServer *best = NULL;
  double best_cost = 0;

  for (guint i = 0; i < dispatcher->roomy->len; i++)
    {
      LeasedServer *server = g_ptr_array_index (dispatcher->roomy, i);
      double cost;

      if (!is_suitable (server, job, task))
        continue;
      cost = cost_of (server, job);
      if (dispatcher->saves_bytes && chosen != NULL
          && g_ptr_array_find (chosen, server, NULL))
        cost -= TOGETHER_GAIN;
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
  task->taken = demand_on (task, server);
  demand_add (&server->placed, &task->taken);
  job->placed++;
  job->waiting--;
  dispatcher->n_waiting--;
}

/* Return: how many tasks of the job that go to this server and are not ordered yet take
 * @taken each. */
static gsize
note_ordered (LeasedJob *job, LeasedServer *server, const Demand *taken, RunKey *runs)
{
  gsize n = 0;

  for (guint i = 0; i < job->spec.count; i++)
    {
      LeasedTask *task = &job->tasks[i];

      if (task->server != server || task->ordered
          || memcmp (&task->taken, taken, sizeof *taken) != 0)
        continue;
      task->ordered = TRUE;
      g_strlcpy (runs[n].job, job->spec.id, sizeof runs[n].job);
      runs[n].index = i;
      runs[n].run = task->run;
      n++;
    }
  return n;
}

/* One message for all tasks of the job that go to this server and take as much. */
static void
send_order (LeasedJob *job, LeasedServer *server, const Demand *taken)
{
  Dispatcher *dispatcher = job->dispatcher;
  RunKey *runs = g_new (RunKey, job->spec.count);
  gsize n = note_ordered (job, server, taken, runs);
  LeasedSpec spec = job->spec;
  ResourceRequest wish = dispatcher_wish (dispatcher);

  if (n == 0)
    goto out;
  spec.demand = *taken;
  histogram_observe (HISTOGRAM_PLACING, dispatcher->now_ms - job->spec.arrived_ms);
  event_emit ("job-placed", job->spec.id,
              "agent=%s tasks=%" G_GSIZE_FORMAT " waited_ms=%" G_GINT64_FORMAT
              " server_used_cpu=%u slowness=%.2f waiting=%u",
              server->name, n, dispatcher->now_ms - job->spec.arrived_ms,
              server->placed.cpu_milli, server->status.slowness_percent / 100.0,
              dispatcher->n_waiting);
  dispatcher->ops->order (server, &spec, runs, n, (guint)MAX (job->task_ms, 1), &wish,
                          peer_clock_least (&server->clock, dispatcher->now_ms, 0)
                              + ORDER_VALID_MS,
                          dispatcher->ctx);
  server_note_wish (server, &wish);

out:
  g_free (runs);
}

static void
send_orders (LeasedJob *job, LeasedServer *server)
{
  Demand alone = server->status.capacity;

  send_order (job, server, &job->spec.demand);
  if (memcmp (&alone, &job->spec.demand, sizeof alone) != 0)
    send_order (job, server, &alone);
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
      server = choose_server (dispatcher, job, &job->tasks[i], chosen);
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
    send_orders (job, g_ptr_array_index (chosen, i));
  g_ptr_array_unref (chosen);
  return all;
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
  guint slowed = 0;
  guint closed = 0;

  TAILQ_FOREACH (server, &dispatcher->servers, link)
    {
      double slowness = MAX (server->status.slowness_percent, 1) / 100.0;

      if (server->owner != NULL && server->closed)
        closed++;
      if (!server_is_open (server))
        continue;
      g_array_append_val (all, slowness);
      if (throttle_is_active (&server->wish_pace))
        slowed++;
      if (server->status.trust != TRUST_FULL)
        distrusted++;
    }
  g_array_sort (all, compare_slowness);
  dispatcher->usual
      = all->len > 0 ? MAX (g_array_index (all, double, (all->len - 1) / 2), 1) : 1;
  dispatcher->trust_all = distrusted > MAX (1, all->len * DISTRUSTED_SHARE);
  dispatcher->n_open = all->len;
  dispatcher->n_closed = closed;
  dispatcher->saves_bytes = slowed > all->len * LATE_SHARE;
  g_array_unref (all);
}

void
dispatcher_pump (Dispatcher *dispatcher, gint64 now_ms)
{
  GPtrArray *jobs;

  dispatcher->now_ms = now_ms;
  if (dispatcher->n_waiting == 0)
    {
      dispatcher_decline_offers (dispatcher);
      return;
    }
  note_usual (dispatcher);
  dispatcher_refuse_closed_out (dispatcher);
  dispatcher->wait_ms = dispatcher_wait_ms (dispatcher);
  jobs = dispatcher_order (dispatcher);
  dispatcher->ordered = jobs;
  gather_roomy (dispatcher, least_cpu_of (jobs));
  for (guint i = 0; i < jobs->len; i++)
    place_job (dispatcher, g_ptr_array_index (jobs, i));
  if (dispatcher->n_waiting > 0)
    dispatcher_send_wishes (dispatcher, jobs);
  dispatcher->ordered = NULL;
  g_ptr_array_unref (jobs);
  if (dispatcher->arrived)
    dispatcher_refuse_crowded_out (dispatcher);
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
  gather_roomy (dispatcher, job->spec.demand.cpu_milli);
  if (choose_server (dispatcher, job, task, NULL) == NULL)
    {
      task->avoid = before;
      return;
    }
  event_note ("straggler-restarted", job->spec.id,
              "task=%u run=%u agent=%s remaining_ms=%u elsewhere_ms=%u", task->index,
              task->run, task->server->name, report->remaining_ms, report->elsewhere_ms);
  task_stop (task);
}
