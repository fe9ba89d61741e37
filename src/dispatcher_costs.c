/* What a server costs a job: expected run time on it, and the wait that a faster one is
 * worth. */
#include "dispatcher_parts.h"

#include <string.h>

/* Run time away from a job's data over that near it, unless it is set. */
#define FAR_FACTOR 1.5
/* With a smaller part of the capacity free, faster servers are left to tasks that need
 * them; above it all tasks get the fastest one. */
#define FREE_PART_MIN 0.1
/* Weights of a relative run time when faster servers are to be left free: less than any
 * cost of distance or of slowness, more than that of load; and of a missed objective:
 * more than any. */
#define SAVING 0.1
#define MISSED_COST 1000

/* Relative to the median server: if all are slow, the estimates are wrong. */
double
server_slowness (const LeasedServer *server)
{
  double slowness
      = server->status.slowness_percent / 100.0 / server->dispatcher->median_slowness;

  return slowness > SLOWNESS_NORMAL ? slowness : 1;
}

static double
far_factor (const Dispatcher *dispatcher)
{
  return dispatcher->init.far_factor > 0 ? dispatcher->init.far_factor : FAR_FACTOR;
}

/* Expected run time of a task on @server, relative to a sound server of median speed near
 * the job's data. Among servers of one speed the factors are added: a distant server that
 * is slow is then chosen as it was before speeds were known. */
static double
time_factor (const LeasedServer *server, const LeasedJob *job)
{
  const Dispatcher *dispatcher = server->dispatcher;
  double far = server_has_label (server, job->spec.rack) ? 1 : far_factor (dispatcher);

  if (!dispatcher->speeds.uneven)
    return server_slowness (server) + (far - 1);
  return server_slowness (server) * server->relative_time * far;
}

gboolean
server_ends_in_time (const LeasedServer *server, const LeasedJob *job)
{
  double run_ms = job->task_ms * time_factor (server, job);

  return server->dispatcher->now_ms + run_ms <= job->objective_ms;
}

/* Jobs that could wait for the same servers, near the same data. */
static guint
hash_options (gconstpointer key)
{
  const LeasedSpec *spec = &((const LeasedJob *)key)->spec;

  return g_str_hash (spec->service) ^ g_str_hash (spec->label) * 31
         ^ g_str_hash (spec->rack) * 961 ^ spec->demand.cpu_milli;
}

static gboolean
has_same_options (gconstpointer a, gconstpointer b)
{
  const LeasedSpec *left = &((const LeasedJob *)a)->spec;
  const LeasedSpec *right = &((const LeasedJob *)b)->spec;

  return strcmp (left->service, right->service) == 0
         && strcmp (left->label, right->label) == 0
         && strcmp (left->rack, right->rack) == 0
         && memcmp (&left->demand, &right->demand, sizeof left->demand) == 0;
}

GHashTable *
fast_factors_new (void)
{
  return g_hash_table_new (hash_options, has_same_options);
}

/* Factor of the fastest server that the job may wait for; one server that is far faster
 * than the others does not count, since it is seldom free. */
static double
compute_fast_factor (const LeasedJob *job)
{
  const Dispatcher *dispatcher = job->dispatcher;
  const LeasedServer *server;
  double least = G_MAXDOUBLE;

  TAILQ_FOREACH (server, &dispatcher->servers, link)
    if (server_is_open (server) && server_is_trusted (server)
        && server_may_run (server, job)
        && demand_fits (&server->status.capacity, &(Demand){ 0 }, &job->spec.demand))
      least = MIN (least, time_factor (server, job));
  return MAX (least, dispatcher->speeds.fast);
}

/* Kept for one placement and for all jobs with the same options: computed for each of 142
 * waiting jobs over 240 servers, it took 3 ms of each placement. */
static double
fast_factor_for (LeasedJob *job)
{
  GHashTable *kept = job->dispatcher->fast_factors;
  const LeasedJob *same;

  if (job->fast_factor > 0)
    return job->fast_factor;
  same = g_hash_table_lookup (kept, job);
  job->fast_factor = same != NULL ? same->fast_factor : compute_fast_factor (job);
  if (same == NULL)
    g_hash_table_add (kept, job);
  return job->fast_factor;
}

/* Run time that a task loses on @server against one that it could wait for. */
double
server_lost_ms (const LeasedServer *server, LeasedJob *job)
{
  double lost_ms = (server_slowness (server) - 1) * job->task_ms;

  if (!server->dispatcher->speeds.uneven)
    return lost_ms;
  lost_ms *= server->relative_time;
  if (server_ends_in_time (server, job))
    return lost_ms;
  return MAX (lost_ms,
              (time_factor (server, job) - fast_factor_for (job)) * job->task_ms);
}

/* Whether tasks that can end in time on slower servers leave the faster ones free. */
gboolean
dispatcher_saves_fast_servers (const Dispatcher *dispatcher)
{
  return dispatcher->speeds.uneven && dispatcher->free_part < FREE_PART_MIN;
}

/* The earliest completion costs least, as long as there is free capacity. After that, the
 * slowest server near the task's data on which it ends in time: the faster ones are left
 * to tasks that need them. */
static double
time_cost (const LeasedServer *server, const LeasedJob *job)
{
  double factor = time_factor (server, job);

  if (!dispatcher_saves_fast_servers (server->dispatcher))
    return factor;
  if (!server_ends_in_time (server, job))
    return factor + MISSED_COST;
  return factor / server->relative_time - server->relative_time * SAVING;
}

/* In expected run times: that on the server, the share of failed runs, and up to 0.01 for
 * load, to break ties. */
double
server_cost (const LeasedServer *server, const LeasedJob *job)
{
  guint used = server->placed.cpu_milli + server->status.used_by_others.cpu_milli;
  double filled = (double)used / MAX (server->status.capacity.cpu_milli, 1);

  return time_cost (server, job) + filled * 0.01 + server->status.failing_percent * 0.01;
}
