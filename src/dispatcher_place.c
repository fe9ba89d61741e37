#define LOG_MODULE "dispatcher"
#include "counters.h"
#include "dispatcher_parts.h"
#include "events.h"
#include "histograms.h"
#include "leaving.h"

#include <string.h>

/* An agent refuses an order that is older than this when it arrives. */
#define ORDER_VALID_MS 250
/* No orders are sent to a server while frames to it are delayed this much: they would
 * queue behind the earlier ones, be refused as too old and be sent again. */
#define ORDER_DELAY_MAX_MS 60
/* Waiting for another server is not worth a gain of less than this. */
#define SLOW_SLACK_MS 20
/* How long a server that refused an order for lack of free capacity is taken to be full:
 * the least time between two states of its agent. */
#define FULL_MS 15
/* How long a task avoids the server where it failed or hung. Bounded, since there may be
 * no other server. */
#define AVOID_MS 100
/* More than any other cost: a leaving server is used only while no other has room. */
#define LEAVING_COST 1e9
/* If frames to more than this share of the servers are delayed, the entry's own link is
 * congested. Tasks of a job that start together then go to one server, with one order and
 * one payload, unless another server is less slow or fails less. */
#define CONGESTED_SHARE 0.1
#define COLOCATION_GAIN 0.02
/* Above this share of distrusted servers the fault is taken to be in the tasks, and trust
 * levels are ignored. */
#define DISTRUSTED_SHARE 0.34

gboolean
server_has_label (const LeasedServer *server, const char *label)
{
  return label[0] == '\0'
         || (server->status.labels != NULL
             && g_strv_contains ((const char *const *)server->status.labels, label));
}

gboolean
server_may_run (const LeasedServer *server, const LeasedJob *job)
{
  return g_strcmp0 (server->status.service, job->spec.service) == 0
         && server->status.order_version >= job->spec.order_version
         && server_has_label (server, job->spec.label);
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

/* Trust levels are a circuit breaker: TRUST_PROBE allows one run, on a server that is
 * otherwise idle, TRUST_NONE allows none. */
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

static gboolean
takes_orders (const LeasedServer *server)
{
  return server->user_data != NULL && server->inventoried && server->status.ready
         && !server->closed && server->delay_ms < ORDER_DELAY_MAX_MS
         && server->dispatcher->now_ms >= server->backoff_until_ms;
}

gboolean
server_is_open (const LeasedServer *server)
{
  return takes_orders (server) && !server->status.draining;
}

/* It leaves, and takes orders for runs that end before. */
static gboolean
accepts_short_runs (const LeasedServer *server)
{
  return takes_orders (server) && server->leaving_until_ms > server->dispatcher->now_ms;
}

static gboolean
ends_before_server (const LeasedServer *server, const LeasedJob *job)
{
  return !server->status.draining
         || leaving_fits (job->task_ms * server->relative_time,
                          server->leaving_until_ms - server->dispatcher->now_ms);
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
  return task_suspicion (task) >= SERVERS_ENDED_ISOLATE;
}

/* If each of these servers crashed, the task has caused it. */
static gboolean
awaits_evidence (const LeasedTask *task)
{
  return task_suspicion (task) >= SERVERS_ENDED_MAX;
}

/* A task that must run alone reserves the whole server. */
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
is_suitable (const LeasedServer *server, LeasedJob *job, const LeasedTask *task)
{
  gint64 waited_ms = server->dispatcher->now_ms - task->waiting_since_ms;

  if (!fits (server, task) || !server_is_trusted (server)
      || !ends_before_server (server, job)
      || server_is_offered_for_better (server, job->rank)
      || (server == task->avoid && waited_ms < AVOID_MS) || !server_may_run (server, job))
    return FALSE;
  /* If only a slow server is free, waiting for another one may end the task sooner. Once
   * the task has waited as long as the slow server would cost it, it is placed there. */
  if (server_lost_ms (server, job)
      > server->dispatcher->wait_ms + waited_ms + SLOW_SLACK_MS)
    return FALSE;
  return job->spec.most_per_server == 0
         || tasks_of_job (server, job) < job->spec.most_per_server;
}

/* Entries prefer the same fast servers: many orders for one freed slot, of which all but
 * one are refused and repeated at once, while others stay free. */
void
server_note_no_room (LeasedServer *server)
{
  const Dispatcher *dispatcher = server->dispatcher;

  if (dispatcher->speeds.uneven)
    server->full_until_ms = dispatcher->now_ms + FULL_MS;
}

static gboolean
is_known_full (const LeasedServer *server)
{
  return !server->status.offered && server->dispatcher->now_ms < server->full_until_ms;
}

static guint
free_cpu (const LeasedServer *server)
{
  guint used = server->placed.cpu_milli + server->status.used_by_others.cpu_milli;

  return used < server->status.capacity.cpu_milli
             ? server->status.capacity.cpu_milli - used
             : 0;
}

/* Skips full servers once for all waiting tasks, as under load nearly all are full.
 * Placement only reduces free capacity, so none of them can become a candidate. */
static void
gather_candidate_servers (Dispatcher *dispatcher, guint min_cpu)
{
  LeasedServer *server;

  g_hash_table_remove_all (dispatcher->fast_factors);
  g_ptr_array_set_size (dispatcher->candidate_servers, 0);
  TAILQ_FOREACH (server, &dispatcher->servers, link)
    if ((server_is_open (server) || accepts_short_runs (server))
        && !is_known_full (server) && free_cpu (server) >= min_cpu)
      g_ptr_array_add (dispatcher->candidate_servers, server);
}

static guint
min_cpu_of (GPtrArray *jobs)
{
  guint least = G_MAXUINT;

  for (guint i = 0; i < jobs->len; i++)
    {
      const LeasedJob *job = g_ptr_array_index (jobs, i);

      least = MIN (least, job->spec.demand.cpu_milli);
    }
  return least;
}

/* Chooses among the candidate servers. @chosen: servers that got tasks of the job in this
 * placement; may be NULL. */
static LeasedServer *
choose_server (Dispatcher *dispatcher,
               LeasedJob *job,
               const LeasedTask *task,
               GPtrArray *chosen)
{
  LeasedServer *best = NULL;
  double best_cost = 0;

  for (guint i = 0; i < dispatcher->candidate_servers->len; i++)
    {
      LeasedServer *server = g_ptr_array_index (dispatcher->candidate_servers, i);
      double cost;

      if (!is_suitable (server, job, task))
        continue;
      cost = server_cost (server, job) + (server->status.draining ? LEAVING_COST : 0);
      if (dispatcher->link_congested && chosen != NULL
          && g_ptr_array_find (chosen, server, NULL))
        cost -= COLOCATION_GAIN;
      if (best != NULL && cost >= best_cost)
        continue;
      best = server;
      best_cost = cost;
    }
  return best;
}

LeasedServer *
dispatcher_server_elsewhere (LeasedTask *task)
{
  Dispatcher *dispatcher = task->job->dispatcher;

  LeasedServer *server;

  gather_candidate_servers (dispatcher, task->job->spec.demand.cpu_milli);
  task->job->fast_factor = 0;
  server = choose_server (dispatcher, task->job, task, NULL);
  g_hash_table_remove_all (dispatcher->fast_factors);
  return server;
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
  if (job->begun_ms == 0)
    job->begun_ms = dispatcher->now_ms;
  task->started_ms = 0;
  task->ordered = FALSE;
  TAILQ_INSERT_TAIL (&server->tasks, task, on_server);
  server->n_placed++;
  task->reserved = demand_on (task, server);
  counter_add (COUNTER_TASKS_ALONE, runs_alone (task));
  demand_add (&server->placed, &task->reserved);
  job->placed++;
  job->waiting--;
  dispatcher->n_waiting--;
}

/* Marks the job's tasks placed on @server that reserve @reserved each as ordered.
 * Return: the number of @runs filled in. */
static gsize
mark_ordered (LeasedJob *job, LeasedServer *server, const Demand *reserved, RunKey *runs)
{
  gsize n = 0;

  for (guint i = 0; i < job->spec.count; i++)
    {
      LeasedTask *task = &job->tasks[i];

      if (task->server != server || task->ordered
          || memcmp (&task->reserved, reserved, sizeof *reserved) != 0)
        continue;
      task->ordered = TRUE;
      g_strlcpy (runs[n].job, job->spec.id, sizeof runs[n].job);
      runs[n].index = i;
      runs[n].run = task->run;
      n++;
    }
  return n;
}

/* Sends one order for the job's tasks placed on @server that reserve @reserved each. */
static void
send_order (LeasedJob *job, LeasedServer *server, const Demand *reserved)
{
  Dispatcher *dispatcher = job->dispatcher;
  RunKey *runs = g_new (RunKey, job->spec.count);
  gsize n = mark_ordered (job, server, reserved, runs);
  LeasedSpec spec = job->spec;
  ResourceRequest request = dispatcher_resource_request (dispatcher);

  if (n == 0)
    goto out;
  spec.demand = *reserved;
  histogram_observe (HISTOGRAM_PLACING, dispatcher->now_ms - job->spec.arrived_ms);
  event_emit ("job-placed", job->spec.id,
              "agent=%s tasks=%" G_GSIZE_FORMAT " waited_ms=%" G_GINT64_FORMAT
              " server_used_cpu=%u slowness=%.2f waiting=%u relative_time=%.2f",
              server->name, n, dispatcher->now_ms - job->spec.arrived_ms,
              server->placed.cpu_milli, server->status.slowness_percent / 100.0,
              dispatcher->n_waiting, server->relative_time);
  dispatcher->ops->order (server, &spec, runs, n, (guint)MAX (job->task_ms, 1), &request,
                          peer_clock_least (&server->clock, dispatcher->now_ms, 0)
                              + ORDER_VALID_MS,
                          dispatcher->ctx);
  server_note_resource_request (server, &request);

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

static void
count_placing (const LeasedServer *server, const LeasedJob *job)
{
  const Dispatcher *dispatcher = server->dispatcher;

  if (dispatcher_saves_fast_servers (dispatcher)
      && server->relative_time > dispatcher->speeds.fast
      && server_ends_in_time (server, job))
    counter_add (COUNTER_TASKS_LEFT_FAST_FREE, 1);
}

/* Return: FALSE if a task found no server. */
static gboolean
place_job (Dispatcher *dispatcher, LeasedJob *job)
{
  GPtrArray *chosen = g_ptr_array_new ();
  gboolean all = TRUE;

  job->fast_factor = 0;
  for (guint i = 0; i < job->spec.count && all; i++)
    {
      LeasedServer *server;

      if (job->tasks[i].state != TASK_WAITING || awaits_evidence (&job->tasks[i]))
        continue;
      server = choose_server (dispatcher, job, &job->tasks[i], chosen);
      if (server == NULL)
        {
          all = FALSE;
          break;
        }
      task_place (&job->tasks[i], server);
      count_placing (server, job);
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

/* Updates what is derived from all servers: their median slowness, whether trust levels
 * apply, whether the own link is congested, and counts. */
void
dispatcher_update_server_stats (Dispatcher *dispatcher)
{
  GArray *all = g_array_new (FALSE, FALSE, sizeof (double));
  const LeasedServer *server;
  guint distrusted = 0;
  guint slowed = 0;
  guint closed = 0;
  double room = 0;
  double capacity = 0;

  TAILQ_FOREACH (server, &dispatcher->servers, link)
    {
      double slowness = MAX (server->status.slowness_percent, 1) / 100.0;

      if (server->user_data != NULL && server->closed)
        closed++;
      if (!server_is_open (server))
        continue;
      g_array_append_val (all, slowness);
      room += free_cpu (server) / server->relative_time;
      capacity += server->status.capacity.cpu_milli / server->relative_time;
      if (throttle_is_active (&server->request_throttle))
        slowed++;
      if (server->status.trust != TRUST_FULL)
        distrusted++;
    }
  g_array_sort (all, compare_slowness);
  dispatcher->median_slowness
      = all->len > 0 ? MAX (g_array_index (all, double, (all->len - 1) / 2), 1) : 1;
  dispatcher->free_part = capacity > 0 ? room / capacity : 0;
  dispatcher->trust_all = distrusted > MAX (1, all->len * DISTRUSTED_SHARE);
  dispatcher->n_open = all->len;
  dispatcher->n_closed = closed;
  dispatcher->link_congested = slowed > all->len * CONGESTED_SHARE;
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
  dispatcher_update_server_stats (dispatcher);
  dispatcher_refuse_zone_closed (dispatcher);
  if (dispatcher->end_ms > 0)
    dispatcher_refuse_infeasible (dispatcher);
  dispatcher->wait_ms = dispatcher_wait_ms (dispatcher);
  jobs = dispatcher_order (dispatcher);
  dispatcher->ordered = jobs;
  gather_candidate_servers (dispatcher, min_cpu_of (jobs));
  for (guint i = 0; i < jobs->len; i++)
    place_job (dispatcher, g_ptr_array_index (jobs, i));
  g_hash_table_remove_all (dispatcher->fast_factors);
  if (dispatcher->n_waiting > 0)
    dispatcher_send_resource_requests (dispatcher, jobs);
  dispatcher->ordered = NULL;
  g_ptr_array_unref (jobs);
  if (dispatcher->arrived)
    dispatcher_shed_load (dispatcher);
}
