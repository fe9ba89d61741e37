#define LOG_MODULE "dispatcher"
/* In which order jobs go, and which are refused because their turn would come too late.
 *
 * Answers load beyond the capacity: more arrives than the servers get done, in wide
 * urgent jobs, long jobs and many narrow ones, at several entries at once. */
#include "dispatcher_parts.h"
#include "events.h"

/* Priorities beyond this count alike. */
#define PRIORITY_STEPS 8
/* What a job that misses its objective is still worth of its whole benefit: the users'
 * own figure. Replayed overloads earn the same with 0.08 and 0.1. */
#define LATE_PART 0.2
/* Part of a job's benefit that does not grow with its size. With 0.3, the users' figure,
 * the largest tenth of urgent jobs earns 0.59 in a replayed overload, with 0.15 0.63. */
#define FLAT_PART 0.15
/* A job that comes is refused unless it is expected to end within this part of its
 * objective: better ones are still to come, and run times differ. Replayed loads of
 * 0.9, 1.1 and 1.4 at four entries earn 0.93, 0.77 and 0.66 of the callers' benefit with
 * it, 0.92, 0.73 and 0.62 with 1, 0.88, 0.74 and 0.65 with 0.6. */
#define ADMIT_PART 0.72
/* One that has waited this part of its objective has been admitted and is kept while it
 * can make it: refused later, its caller would have waited for nothing. Of the benefit
 * 0.01 is refused so late at four entries and a load of 1.1, 0.025 without the
 * difference. */
#define ADMITTED_PART 0.25
#define KEEP_PART 1.0

/* No caller is sent away for longer, and for this long while no server is known. */
#define RETRY_AFTER_MOST_MS 60000
#define RETRY_AFTER_UNKNOWN_MS 1000

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
rank_of (const LeasedJob *job, gint64 now_ms)
{
  double rank = waiting_work (job) / benefit_of (job);

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

static double
capacity_of_servers (const Dispatcher *dispatcher)
{
  const LeasedServer *server;
  double capacity = 0;

  TAILQ_FOREACH (server, &dispatcher->servers, link)
    if (server->owner != NULL && server->status.ready)
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

/* Work that this entry's runs get done in a millisecond: what they take of the servers.
 * Of servers that cannot be reached nothing is known: while none can, nobody is refused.
 */
static double
rate_of_work (const Dispatcher *dispatcher)
{
  const LeasedServer *server;
  double rate = 0;

  TAILQ_FOREACH (server, &dispatcher->servers, link)
    if (server->owner != NULL && server->status.ready)
      rate += server->placed.cpu_milli;
  return rate;
}

static gboolean
nothing_ordered (const LeasedJob *job)
{
  return !job->closed && !job->started && job->placed == 0;
}

static double
latest_end (const LeasedJob *job)
{
  gint64 objective = job->objective_ms - job->spec.arrived_ms;
  gint64 age = job->dispatcher->now_ms - job->spec.arrived_ms;
  double part = age < ADMITTED_PART * objective ? ADMIT_PART : KEEP_PART;

  return job->spec.arrived_ms + part * objective;
}

static void
refuse_crowded_out (LeasedJob *job, double ahead, double rate, double wait_ms)
{
  gint64 now_ms = job->dispatcher->now_ms;

  event_note ("job-crowded-out", job->spec.id,
              "work_ahead=%.0f rate=%.0f wait_ms=%.0f task_ms=%.0f "
              "objective_left_ms=%" G_GINT64_FORMAT " age_ms=%" G_GINT64_FORMAT,
              ahead, rate, wait_ms, job->task_ms, job->objective_ms - now_ms,
              now_ms - job->spec.arrived_ms);
  job_answer (job, LEASED_REFUSED, "more urgent work takes all room",
              (guint)MIN (wait_ms, RETRY_AFTER_MOST_MS));
  job_release_if_over (job);
}

/* Under overload each job waits for those before it. One that is not expected to end in
 * time would be refused in the end anyway: it is refused at once, while its caller can
 * still go elsewhere. The work before it gets this entry's part of the servers; its own
 * tasks then are first in order everywhere, and get room wherever it frees. */
void
dispatcher_refuse_crowded_out (Dispatcher *dispatcher)
{
  double rate = rate_of_work (dispatcher);
  double capacity = capacity_of_servers (dispatcher);
  double ahead = 0;
  GPtrArray *jobs;

  if (rate <= 0)
    return;
  jobs = dispatcher_order (dispatcher);
  for (guint i = 0; i < jobs->len; i++)
    {
      LeasedJob *job = g_ptr_array_index (jobs, i);
      double work = waiting_work (job);
      double wait_ms = ahead / rate + work / capacity;

      if (nothing_ordered (job)
          && dispatcher->now_ms + wait_ms + job->task_ms > latest_end (job))
        refuse_crowded_out (job, ahead, rate, wait_ms);
      else
        ahead += work;
    }
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
