#define LOG_MODULE "dispatcher"
/* The order in which jobs are placed, and refusal of those that would be placed too late.
 *
 * Designed for overload: more work arrives than the servers can do, in wide urgent jobs,
 * long jobs and many narrow ones, at several entries at once. */
#include "admission.h"
#include "counters.h"
#include "dispatcher_parts.h"
#include "events.h"

#include <math.h>
#include <string.h>

/* Each step of priority halves a job's benefit. Greater numbers count as this one. */
#define PRIORITY_STEPS 8
/* Part of a job's benefit to users that is left once it misses its objective. */
#define LATE_PART 0.2
/* A job that is not refused keeps a place before those that are infeasible. */
#define EXPECTED_PART_MIN 0.02
/* Part of a job's benefit to users that does not depend on its size. */
#define FLAT_PART 0.3
#define RETRY_AFTER_MAX_MS 60000
/* While no server is usable. */
#define RETRY_AFTER_UNKNOWN_MS 1000
/* Upper limit when load is shed: the arrival rate is known for the last second only, and
 * bursts pass. */
#define RETRY_AFTER_SHED_MS 2000

typedef enum
{
  FEASIBLE_IN_TIME,
  FEASIBLE_LATE,
  INFEASIBLE,
} Feasibility;

/* Expected run time of a task on a fast server. */
static double
fast_task_ms (const LeasedJob *job)
{
  return job->task_ms * job->dispatcher->speeds.fast;
}

static Feasibility
feasibility_of (const LeasedJob *job, gint64 now_ms)
{
  double ends_ms = now_ms + fast_task_ms (job);

  if (ends_ms <= job->objective_ms)
    return FEASIBLE_IN_TIME;
  if (ends_ms <= job->late_ms)
    return FEASIBLE_LATE;
  return INFEASIBLE;
}

static double
remaining_work (const LeasedJob *job)
{
  return (job->waiting + job->placed * 0.5) * job->task_ms
         * MAX (job->spec.demand.cpu_milli, 1);
}

static double
waiting_work (const LeasedJob *job)
{
  return job->waiting * job->task_ms * MAX (job->spec.demand.cpu_milli, 1);
}

/* In units of work, i.e. ms x thousandths of a core. */
static double
benefit_of (const LeasedJob *job)
{
  double total = job->spec.count * job->task_ms * MAX (job->spec.demand.cpu_milli, 1);
  double benefit = FLAT_PART * job->typical_work + (1 - FLAT_PART) * total;

  return benefit / (1 << MIN (job->spec.priority, PRIORITY_STEPS));
}

/* Waiting work per unit of benefit. Work that already runs is left out: it is spent
 * whether or not the rest of the job is placed. */
static double
base_rank (const LeasedJob *job)
{
  return waiting_work (job) / benefit_of (job);
}

/* Chance that one of the job's tasks that have not ended takes longer than @run_ms. */
static double
chance_above (const LeasedJob *job, const Runtimes *shape, double run_ms)
{
  double one = runtimes_share_above (shape, job->spec.declared_ms, run_ms);

  return 1 - pow (1 - one, job->spec.count - job->ended);
}

/* Chance that a job whose waiting tasks start now ends within @factor times its
 * objective. Its slowest task sets both its end and its objective, and is only known to
 * take at least what was seen: with r the longest run time that is still to come, after a
 * wait w, w + r <= factor x (stretch x max (r, seen) + target). */
static double
chance_to_end_by (const LeasedJob *job,
                  const Runtimes *shape,
                  gint64 now_ms,
                  guint factor)
{
  double waited_ms = (double)(now_ms - job->spec.arrived_ms);
  double stretch = factor * job->spec.stretch;
  double left_ms = factor * job->spec.target_ms - waited_ms;
  double long_ms = MAX (job->seen_ms, -left_ms / (stretch - 1));
  double short_ms = MIN (job->seen_ms, stretch * job->seen_ms + left_ms);
  double chance = chance_above (job, shape, long_ms);

  if (short_ms > 0)
    chance += 1 - chance_above (job, shape, short_ms);
  return MIN (chance, 1);
}

/* Part of its benefit that a job which starts now can expect. */
static double
expected_part (const LeasedJob *job, const Runtimes *shape, gint64 now_ms)
{
  double on_time = chance_to_end_by (job, shape, now_ms, 1);
  double of_use = chance_to_end_by (job, shape, now_ms, LATE_FACTOR);

  return MAX (on_time + LATE_PART * MAX (of_use - on_time, 0), EXPECTED_PART_MIN);
}

static double
rank_of (const LeasedJob *job, gint64 now_ms)
{
  double rank = base_rank (job);
  const Runtimes *shape = job->spec.stretch > 1 ? job_shape (job) : NULL;

  if (shape != NULL && feasibility_of (job, now_ms) != INFEASIBLE)
    return rank / expected_part (job, shape, now_ms);
  switch (feasibility_of (job, now_ms))
    {
    case FEASIBLE_IN_TIME:
      return rank;
    case FEASIBLE_LATE:
      return rank / LATE_PART;
    case INFEASIBLE:
      return rank + RANK_INFEASIBLE;
    }
  g_assert_not_reached ();
}

static int
compare_jobs (gconstpointer a, gconstpointer b)
{
  const LeasedJob *left = *(LeasedJob *const *)a;
  const LeasedJob *right = *(LeasedJob *const *)b;

  return (left->rank > right->rank) - (left->rank < right->rank);
}

GPtrArray *
dispatcher_order (Dispatcher *dispatcher)
{
  GPtrArray *jobs = g_ptr_array_new ();
  LeasedJob *job;

  TAILQ_FOREACH (job, &dispatcher->jobs, link)
    {
      if (job->closed || job->waiting == 0 || job->answered_before
          || g_hash_table_contains (dispatcher->closing, job->spec.id))
        continue;
      job->rank = rank_of (job, dispatcher->now_ms);
      g_ptr_array_add (jobs, job);
    }
  g_ptr_array_sort (jobs, compare_jobs);
  return jobs;
}

static gboolean
server_is_usable (const LeasedServer *server)
{
  return server->user_data != NULL && server->status.ready && !server->closed
         && !server->leaves;
}

/* In thousandths of a core of the server of median speed: the work that a server of this
 * speed gets done per ms on @cpu_milli. */
static double
work_per_ms (const LeasedServer *server, guint cpu_milli)
{
  return cpu_milli / server->relative_time;
}

static double
capacity_of_servers (const Dispatcher *dispatcher)
{
  const LeasedServer *server;
  double capacity = 0;

  TAILQ_FOREACH (server, &dispatcher->servers, link)
    if (server_is_usable (server))
      capacity += work_per_ms (server, server->status.capacity.cpu_milli);
  return capacity;
}

/* Assumes that the work is spread evenly over all usable servers. */
guint
dispatcher_wait_ms (const Dispatcher *dispatcher)
{
  const LeasedJob *job;
  double capacity = capacity_of_servers (dispatcher);
  double work = 0;

  TAILQ_FOREACH (job, &dispatcher->jobs, link)
    if (!job->closed)
      work += remaining_work (job);
  return capacity > 0 ? (guint)MIN (work / capacity, RETRY_AFTER_MAX_MS)
                      : RETRY_AFTER_UNKNOWN_MS;
}

/* Agents offer capacity by rank, whichever entry requests it. Over about a second an
 * entry's share of the servers is therefore its callers' share of all work. What it has
 * placed at one moment would not do: with little placed, its servers would seem to do
 * little work per ms. */
#define SHARE_DECAY_MS 1000.0
/* Part of the capacity that this entry is assumed to use after a start, and the others
 * none; observed use outweighs it after about 0.2 s. */
#define INITIAL_USE 0.2
/* Least share assumed: an entry with few callers gets this much when it needs it, as its
 * jobs are ranked like all others. By its recent use alone, the second of two concurrent
 * jobs would be expected to wait a second and be refused. */
#define SHARE_MIN 0.05

static void
note_speeds (const Dispatcher *dispatcher, guint servers)
{
  event_note ("server-speeds", "-", "known=%u of=%u uneven=%d fast=%.2f",
              dispatcher->speeds.known, servers, dispatcher->speeds.uneven,
              dispatcher->speeds.fast);
}

/* A server that does not take orders now keeps its last relative time: its runs go on. */
void
dispatcher_update_speeds (Dispatcher *dispatcher)
{
  gboolean uneven_before = dispatcher->speeds.uneven;
  GArray *speeds;
  LeasedServer *server;
  guint i = 0;

  if (dispatcher->init.speed_runs == 0)
    return;
  speeds = g_array_new (FALSE, FALSE, sizeof (RelativeSpeed));
  TAILQ_FOREACH (server, &dispatcher->servers, link)
    {
      RelativeSpeed speed = { server->status.speed_percent, server->status.speed_runs };

      if (server_is_open (server))
        g_array_append_val (speeds, speed);
    }
  dispatcher->speeds
      = relative_speed_compute ((RelativeSpeed *)(void *)speeds->data, speeds->len,
                                dispatcher->init.speed_runs, dispatcher->speeds.differ);
  TAILQ_FOREACH (server, &dispatcher->servers, link)
    if (server_is_open (server))
      server->relative_time = g_array_index (speeds, RelativeSpeed, i++).time;
  g_array_unref (speeds);
  if (dispatcher->speeds.uneven != uneven_before)
    note_speeds (dispatcher, i);
}

/* Jobs are judged by the load of all entries while it is known, else by this entry's own
 * load and share. */
static void
update_load_view (Dispatcher *dispatcher)
{
  const LoadView *view = dispatcher->init.load_view;
  gboolean complete = view != NULL && load_view_is_complete (view, dispatcher->now_ms);

  if (complete == dispatcher->sees_all_load)
    return;
  dispatcher->sees_all_load = complete;
  counter_add (COUNTER_LOAD_VIEW_CHANGES, 1);
  counter_set (COUNTER_LOAD_VIEW_USED, complete);
  event_note ("load-view", "-", "by=%s parts=%u waiting=%.0f arriving=%.0f used=%.0f",
              complete ? "all-entries" : "own-share", load_view_parts (view),
              load_view_waiting_below (view, RANK_INFEASIBLE),
              load_view_arriving_below (view, RANK_INFEASIBLE),
              load_view_capacity_used (view));
}

void
dispatcher_update_share (Dispatcher *dispatcher)
{
  const LeasedServer *server;
  double passed_ms = (double)(dispatcher->now_ms - dispatcher->share_ms);
  double weight = 1 - exp (-passed_ms / SHARE_DECAY_MS);
  double own = 0;
  double all = 0;

  dispatcher_update_speeds (dispatcher);
  TAILQ_FOREACH (server, &dispatcher->servers, link)
    {
      if (!server_is_usable (server))
        continue;
      own += work_per_ms (server, server->placed.cpu_milli);
      all += work_per_ms (server, server->placed.cpu_milli
                                      + server->status.used_by_others.cpu_milli);
    }
  update_load_view (dispatcher);
  dispatcher->share_ms = dispatcher->now_ms;
  /* The other entries' shares are not known yet. If they were assumed to use everything,
   * the first callers of a restarted entry would be refused. */
  if (dispatcher->used_by_all <= 0)
    dispatcher->used_here = dispatcher->used_by_all
        = INITIAL_USE * capacity_of_servers (dispatcher);
  dispatcher->used_here += weight * (own - dispatcher->used_here);
  dispatcher->used_by_all += weight * (all - dispatcher->used_by_all);
}

/* Work that this entry's runs get done per ms under load. 0 while no server is usable, so
 * that no load is shed: nothing is known of servers that cannot be reached. */
static double
rate_of_work (const Dispatcher *dispatcher)
{
  double share;

  if (dispatcher->used_by_all <= 0)
    return 0;
  share = dispatcher->used_here / dispatcher->used_by_all;
  return capacity_of_servers (dispatcher) * MAX (share, SHARE_MIN);
}

/* No job is refused for closed zones until this long after a server was linked: after a
 * start servers are linked one by one, and one in an open zone may follow. */
#define LINKING_MS 500
/* When the zone opens again is up to the operator and not known here. */
#define RETRY_AFTER_CLOSED_MS 2000

static gboolean
needs_closed_zone (const Dispatcher *dispatcher, const LeasedJob *job)
{
  const LeasedServer *server;
  gboolean closed = FALSE;

  TAILQ_FOREACH (server, &dispatcher->servers, link)
    {
      if (!server_may_run (server, job))
        continue;
      if (!server->closed)
        return FALSE;
      closed = TRUE;
    }
  return closed;
}

void
dispatcher_refuse_zone_closed (Dispatcher *dispatcher)
{
  LeasedJob *job;
  LeasedJob *next;

  if (dispatcher->n_closed == 0
      || dispatcher->now_ms - dispatcher->linked_ms < LINKING_MS)
    return;
  for (job = TAILQ_FIRST (&dispatcher->jobs); job != NULL; job = next)
    {
      next = TAILQ_NEXT (job, link);
      if (job->closed || job->answered_before || job->placed > 0
          || !needs_closed_zone (dispatcher, job))
        continue;
      job_answer (job, job->started ? LEASED_GIVEN_UP : LEASED_REFUSED,
                  "the availability zones of its servers are closed",
                  RETRY_AFTER_CLOSED_MS);
      job_free_if_done (job);
    }
}

static gboolean
nothing_ordered (const LeasedJob *job)
{
  return !job->closed && !job->started && job->placed == 0;
}

void
dispatcher_observe_arrival (LeasedJob *job)
{
  Dispatcher *dispatcher = job->dispatcher;

  arrivals_observe (&dispatcher->arrivals, base_rank (job), waiting_work (job),
                    dispatcher->now_ms);
  dispatcher->arrived = TRUE;
}

/* How long a job takes from the start of its tasks on: the median of its slowest task.
 * The mean of one task is too short for a wide job, which waited in vain; the mean of the
 * slowest is too long where a few runs take many times as long as the others. */
static double
expected_length_ms (const LeasedJob *job)
{
  const Runtimes *shape = job_shape (job);
  double slowest_ms = 0;

  if (shape != NULL)
    slowest_ms = runtimes_quantile (shape, job->spec.declared_ms,
                                    pow (0.5, 1.0 / job->spec.count));
  return MAX (slowest_ms, job->task_ms) * job->dispatcher->speeds.fast;
}

static AdmissionJob
admission_job (const LeasedJob *job)
{
  AdmissionJob admission = { .rank = job->rank,
                             .rank_on_time = base_rank (job),
                             .rank_late = base_rank (job) / LATE_PART,
                             .work = waiting_work (job),
                             .task_ms = expected_length_ms (job),
                             .objective_ms = job->objective_ms,
                             .late_ms = job->late_ms,
                             .refusable = nothing_ordered (job) };

  return admission;
}

static void
shed_job (LeasedJob *job, const AdmissionLoad *load, const AdmissionJob *admission)
{
  event_note ("job-crowded-out", job->spec.id,
              "work_ahead=%.0f rate=%.0f arriving=%.0f wait_ms=%.0f task_ms=%.0f "
              "objective_left_ms=%" G_GINT64_FORMAT " age_ms=%" G_GINT64_FORMAT
              " ahead_elsewhere=%.0f",
              admission->ahead, load->rate,
              arrivals_rate_below (load->arrivals, admission->rank_late, load->now_ms),
              admission->wait_ms, job->task_ms, job->objective_ms - load->now_ms,
              load->now_ms - job->spec.arrived_ms,
              load->others != NULL
                  ? load_view_waiting_below (load->others, admission->rank_late)
                  : 0);
  job_answer (job, LEASED_REFUSED, "more urgent work takes all room",
              (guint)MIN (admission->wait_ms, RETRY_AFTER_SHED_MS));
  job_free_if_done (job);
}

static AdmissionLoad
admission_load (const Dispatcher *dispatcher)
{
  AdmissionLoad load
      = { .rate = rate_of_work (dispatcher),
          .capacity = capacity_of_servers (dispatcher),
          .arrivals = &dispatcher->arrivals,
          .now_ms = dispatcher->now_ms,
          .others = dispatcher->sees_all_load ? dispatcher->init.load_view : NULL };

  return load;
}

void
dispatcher_shed_load (Dispatcher *dispatcher)
{
  AdmissionLoad load = admission_load (dispatcher);
  GPtrArray *jobs;
  AdmissionJob *admissions;

  dispatcher->arrived = FALSE;
  if (load.rate <= 0)
    return;
  jobs = dispatcher_order (dispatcher);
  admissions = g_new (AdmissionJob, jobs->len);
  for (guint i = 0; i < jobs->len; i++)
    admissions[i] = admission_job (g_ptr_array_index (jobs, i));
  admission_decide (&load, admissions, jobs->len);
  for (guint i = 0; i < jobs->len; i++)
    if (admissions[i].refused)
      shed_job (g_ptr_array_index (jobs, i), &load, &admissions[i]);
  g_free (admissions);
  g_ptr_array_unref (jobs);
}

void
dispatcher_load_summary (const Dispatcher *dispatcher, LoadSummary *summary)
{
  const Arrivals *arrivals = &dispatcher->arrivals;
  const LeasedJob *job;

  memset (summary->waiting, 0, sizeof summary->waiting);
  memset (summary->arriving, 0, sizeof summary->arriving);
  TAILQ_FOREACH (job, &dispatcher->jobs, link)
    if (!job->closed && job->waiting > 0 && !job->answered_before)
      summary->waiting[load_summary_bucket (rank_of (job, dispatcher->now_ms))]
          += (float)waiting_work (job);
  for (guint i = 0; i < ARRIVALS_BUCKETS; i++)
    summary->arriving[load_summary_bucket (arrivals_bucket_rank (i))]
        += (float)arrivals_rate_in (arrivals, i, dispatcher->now_ms);
  summary->capacity_used = (float)dispatcher->used_here;
}

/* The wait for the jobs here, and for those that wait at the other entries if these are
 * known. */
static guint
retry_after_ms (const Dispatcher *dispatcher)
{
  double capacity = capacity_of_servers (dispatcher);
  guint own_ms = dispatcher_wait_ms (dispatcher);
  double others;

  if (!dispatcher->sees_all_load || capacity <= 0)
    return own_ms;
  others = load_view_waiting_below (dispatcher->init.load_view, RANK_INFEASIBLE);
  return (guint)MIN (own_ms + others / capacity, RETRY_AFTER_MAX_MS);
}

/* Refuses a job as soon as it is infeasible rather than at its deadline, so that its
 * caller can go elsewhere and feasible jobs take its place. */
void
dispatcher_refuse_infeasible (Dispatcher *dispatcher)
{
  LeasedJob *job;
  LeasedJob *next;

  for (job = TAILQ_FIRST (&dispatcher->jobs); job != NULL; job = next)
    {
      next = TAILQ_NEXT (job, link);
      if (job->closed || job->answered_before || job->placed > 0
          || feasibility_of (job, dispatcher->now_ms) != INFEASIBLE)
        continue;
      if (!job->started)
        job_answer (job, LEASED_REFUSED,
                    job->late_ms == dispatcher->end_ms
                        ? "cannot end before this entry exits"
                        : "cannot end in time",
                    retry_after_ms (dispatcher));
      else if (dispatcher->now_ms + fast_task_ms (job) > job->spec.deadline_ms)
        job_answer (job, LEASED_GIVEN_UP, "lost runs cannot be repeated in time", 0);
      job_free_if_done (job);
    }
}
