#define LOG_MODULE "dispatcher"
/* In which order jobs go, and which are refused because their turn would come too late.
 *
 * Answers load beyond the capacity: more arrives than the servers get done, in wide
 * urgent jobs, long jobs and many narrow ones, at several entries at once. */
#include "admission.h"
#include "dispatcher_parts.h"
#include "events.h"

#include <math.h>

/* Priorities beyond this count alike. */
#define PRIORITY_STEPS 8
/* What a job that misses its objective is still worth of its whole benefit to users. */
#define LATE_PART 0.2
/* Part of a job's benefit to users that does not grow with its size. */
#define FLAT_PART 0.3
/* No caller is sent away for longer, and for this long while no server is known. */
#define RETRY_AFTER_MOST_MS 60000
#define RETRY_AFTER_UNKNOWN_MS 1000
/* Nor for longer than this for what arrives: it is known for the last second only, and
 * bursts pass. */
#define RETRY_AFTER_CROWDED_MS 2000

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

static double
waiting_work (const LeasedJob *job)
{
  return job->waiting * job->task_ms * MAX (job->spec.demand.cpu_milli, 1);
}

/* What a job is taken to be worth, in units of work of its queue. */
static double
benefit_of (const LeasedJob *job)
{
  double total = job->spec.count * job->task_ms * MAX (job->spec.demand.cpu_milli, 1);
  double benefit = FLAT_PART * job->usual_work + (1 - FLAT_PART) * total;

  return benefit / (1 << MIN (job->spec.priority, PRIORITY_STEPS));
}

/* Work that waits for each unit of benefit: the least goes first. What runs already costs
 * no more, whatever becomes of the job. */
static double
rank_in_time (const LeasedJob *job)
{
  return waiting_work (job) / benefit_of (job);
}

static double
rank_of (const LeasedJob *job, gint64 now_ms)
{
  double rank = rank_in_time (job);

  switch (chance_of (job, now_ms))
    {
    case CHANCE_IN_TIME:
      return rank;
    case CHANCE_LATE:
      return rank / LATE_PART;
    case CHANCE_NONE:
      return rank + RANK_NO_CHANCE;
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
  return server->owner != NULL && server->status.ready && !server->closed;
}

static double
capacity_of_servers (const Dispatcher *dispatcher)
{
  const LeasedServer *server;
  double capacity = 0;

  TAILQ_FOREACH (server, &dispatcher->servers, link)
    if (server_is_usable (server))
      capacity += server->status.capacity.cpu_milli;
  return capacity;
}

/* When there will be room again: the work that waits, spread over all servers. */
guint
dispatcher_wait_ms (const Dispatcher *dispatcher)
{
  const LeasedJob *job;
  double capacity = capacity_of_servers (dispatcher);
  double work = 0;

  TAILQ_FOREACH (job, &dispatcher->jobs, link)
    if (!job->closed)
      work += remaining_work (job);
  return capacity > 0 ? (guint)MIN (work / capacity, RETRY_AFTER_MOST_MS)
                      : RETRY_AFTER_UNKNOWN_MS;
}

/* Room is handed out by rank whichever entry asks, so that over a second or so an entry
 * gets the part of the servers that its callers' work is of all. What it happens to have
 * placed now says less: an entry with little placed would take all servers for slow. */
#define SHARE_FADE_MS 1000.0
/* This part of the servers is taken for its own at first: outweighed by what is seen
 * after about 0.2 s. */
#define SHARE_UNKNOWN_PART 0.2
/* An entry to which few callers come gets this part of the servers if it needs it: its
 * jobs go by their rank like all others. By what it had lately, the second of two jobs at
 * once would be expected to wait for a second and be refused. */
#define SHARE_LEAST 0.05

void
dispatcher_note_share (Dispatcher *dispatcher)
{
  const LeasedServer *server;
  double passed_ms = (double)(dispatcher->now_ms - dispatcher->share_ms);
  double weight = 1 - exp (-passed_ms / SHARE_FADE_MS);
  double own = 0;
  double all = 0;

  TAILQ_FOREACH (server, &dispatcher->servers, link)
    {
      if (!server_is_usable (server))
        continue;
      own += server->placed.cpu_milli;
      all += server->placed.cpu_milli + server->status.used_by_others.cpu_milli;
    }
  dispatcher->share_ms = dispatcher->now_ms;
  /* What the others get is not known yet. Taken for all that there is, they would leave a
   * restarted entry no room, and its first callers would be refused. */
  if (dispatcher->used_by_all <= 0)
    dispatcher->used_here = dispatcher->used_by_all
        = SHARE_UNKNOWN_PART * capacity_of_servers (dispatcher);
  dispatcher->used_here += weight * (own - dispatcher->used_here);
  dispatcher->used_by_all += weight * (all - dispatcher->used_by_all);
}

/* Work that this entry's runs get done in a millisecond under load. Of servers that
 * cannot be reached nothing is known: while none can, nobody is refused. */
static double
rate_of_work (const Dispatcher *dispatcher)
{
  double share;

  if (dispatcher->used_by_all <= 0)
    return 0;
  share = dispatcher->used_here / dispatcher->used_by_all;
  return capacity_of_servers (dispatcher) * MAX (share, SHARE_LEAST);
}

/* Servers are linked one by one after a start: until all are, some other may be open. */
#define LINKING_MS 500
/* How long a zone stays closed is the operator's business. */
#define RETRY_AFTER_CLOSED_MS 2000

static gboolean
is_closed_out (const Dispatcher *dispatcher, const LeasedJob *job)
{
  const LeasedServer *server;
  gboolean closed = FALSE;

  TAILQ_FOREACH (server, &dispatcher->servers, link)
    {
      if (g_strcmp0 (server->status.service, job->spec.service) != 0
          || !server_has_label (server, job->spec.label))
        continue;
      if (!server->closed)
        return FALSE;
      closed = TRUE;
    }
  return closed;
}

void
dispatcher_refuse_closed_out (Dispatcher *dispatcher)
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
          || !is_closed_out (dispatcher, job))
        continue;
      job_answer (job, job->started ? LEASED_GIVEN_UP : LEASED_REFUSED,
                  "the availability zones of its servers are closed",
                  RETRY_AFTER_CLOSED_MS);
      job_release_if_over (job);
    }
}

static gboolean
nothing_ordered (const LeasedJob *job)
{
  return !job->closed && !job->started && job->placed == 0;
}

void
dispatcher_note_arrival (LeasedJob *job)
{
  Dispatcher *dispatcher = job->dispatcher;

  arrivals_observe (&dispatcher->arrivals, rank_in_time (job), waiting_work (job),
                    dispatcher->now_ms);
  dispatcher->arrived = TRUE;
}

static AdmissionJob
admission_job (const LeasedJob *job)
{
  AdmissionJob asks = { .rank = job->rank,
                        .rank_on_time = rank_in_time (job),
                        .rank_late = rank_in_time (job) / LATE_PART,
                        .work = waiting_work (job),
                        .task_ms = job->task_ms,
                        .objective_ms = job->objective_ms,
                        .late_ms = job->late_ms,
                        .refusable = nothing_ordered (job) };

  return asks;
}

static void
refuse_crowded_out (LeasedJob *job, const AdmissionLoad *load, const AdmissionJob *asks)
{
  event_note ("job-crowded-out", job->spec.id,
              "work_ahead=%.0f rate=%.0f arriving=%.0f wait_ms=%.0f task_ms=%.0f "
              "objective_left_ms=%" G_GINT64_FORMAT " age_ms=%" G_GINT64_FORMAT,
              asks->ahead, load->rate,
              arrivals_before (load->arrivals, asks->rank_late, load->now_ms),
              asks->wait_ms, job->task_ms, job->objective_ms - load->now_ms,
              load->now_ms - job->spec.arrived_ms);
  job_answer (job, LEASED_REFUSED, "more urgent work takes all room",
              (guint)MIN (asks->wait_ms, RETRY_AFTER_CROWDED_MS));
  job_release_if_over (job);
}

void
dispatcher_refuse_crowded_out (Dispatcher *dispatcher)
{
  AdmissionLoad load = { rate_of_work (dispatcher), capacity_of_servers (dispatcher),
                         &dispatcher->arrivals, dispatcher->now_ms };
  GPtrArray *jobs;
  AdmissionJob *asks;

  dispatcher->arrived = FALSE;
  if (load.rate <= 0)
    return;
  jobs = dispatcher_order (dispatcher);
  asks = g_new (AdmissionJob, jobs->len);
  for (guint i = 0; i < jobs->len; i++)
    asks[i] = admission_job (g_ptr_array_index (jobs, i));
  admission_decide (&load, asks, jobs->len);
  for (guint i = 0; i < jobs->len; i++)
    if (asks[i].refused)
      refuse_crowded_out (g_ptr_array_index (jobs, i), &load, &asks[i]);
  g_free (asks);
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
                    dispatcher_wait_ms (dispatcher));
      else if (dispatcher->now_ms + job->task_ms > job->spec.deadline_ms)
        job_answer (job, LEASED_GIVEN_UP, "lost runs cannot be repeated in time", 0);
      job_release_if_over (job);
    }
}
