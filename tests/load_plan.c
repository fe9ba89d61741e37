#include "load_plan.h"

#include <math.h>
#include <string.h>

#define LATE_FRACTION 0.2
/* Standard deviations as fractions of the mean: of run times and task counts between
 * jobs, of run times within a job, and of CPU demand. */
#define SPREAD 0.4
#define TASK_SPREAD 0.15
#define CPU_SPREAD 0.2
/* Fraction of a job's benefit that does not depend on its size, and the most that a large
 * job gets, both relative to a job of mean size. */
#define FLAT_BENEFIT 0.3
#define MAX_BENEFIT 4.0
/* A job that ends unstarted after more than this fraction of its objective ends late. */
#define PROMPT_FRACTION 0.25
#define LARGE_FACTOR 1.5

typedef struct
{
  const LoadInit *init;
  GRand *random;
  GPtrArray *jobs;
} Plan;

/* Approximately normal, at least a tenth of the mean. */
static double
draw_normal (Plan *plan, double mean, double spread)
{
  double sum = 0;
  double value;

  for (guint i = 0; i < 12; i++)
    sum += g_rand_double (plan->random);
  value = mean * (1 + spread * (sum - 6));
  return MAX (value, mean / 10);
}

static guint
draw_count (Plan *plan, double mean, double spread, guint max)
{
  double value = draw_normal (plan, mean, spread) + 0.5;

  return (guint)CLAMP (value, 1, max);
}

static void
job_free (gpointer data)
{
  LoadJob *job = data;

  g_free (job->run_ms);
  g_free (job);
}

static guint
draw_entry (Plan *plan)
{
  guint more = MAX (plan->init->caller_skew, 1) - 1;
  gint32 drawn = g_rand_int_range (plan->random, 0, (gint32)(plan->init->entries + more));

  return (guint)MAX (drawn - (gint32)more, 0);
}

static guint
draw_run_ms (Plan *plan, double mean)
{
  const LoadInit *init = plan->init;
  guint run_ms = draw_count (plan, mean, TASK_SPREAD, G_MAXINT);

  if (init->tail_part > 0 && g_rand_double (plan->random) < init->tail_part)
    return (guint)(run_ms * init->tail_factor);
  return run_ms;
}

/* A caller whose task may take far longer waits for as long as the result has its full
 * value. */
static gint64
deadline_ms (const LoadInit *init, const LoadJob *job)
{
  return init->tail_part > 0 ? (gint64)MAX (LOAD_DEADLINE_MS, job->objective_ms)
                             : LOAD_DEADLINE_MS;
}

static void
plan_job (Plan *plan, guint queue_index, gint64 at)
{
  const LoadQueue *queue = &plan->init->queues[queue_index];
  LoadJob *job = g_new0 (LoadJob, 1);
  double mean_work = (double)queue->tasks * queue->run_ms * queue->cpu_milli;
  double run_ms = draw_normal (plan, queue->run_ms, SPREAD);
  guint longest = 0;

  g_snprintf (job->id, sizeof job->id, "%016x", plan->jobs->len + 1);
  job->entry = draw_entry (plan);
  job->queue = queue;
  job->queue_index = queue_index;
  job->tasks = draw_count (plan, queue->tasks, SPREAD, queue->max_tasks);
  job->cpu_milli = (guint)draw_normal (plan, queue->cpu_milli, CPU_SPREAD);
  job->run_ms = g_new (guint, job->tasks);
  for (guint i = 0; i < job->tasks; i++)
    {
      job->run_ms[i] = draw_run_ms (plan, run_ms);
      job->work += (double)job->run_ms[i] * job->cpu_milli;
      longest = MAX (longest, job->run_ms[i]);
    }
  job->benefit
      = queue->benefit
        * MIN (FLAT_BENEFIT + (1 - FLAT_BENEFIT) * job->work / mean_work, MAX_BENEFIT);
  job->arrived_ms = at;
  job->objective_ms = LOAD_STRETCH * longest + LOAD_TARGET_MS;
  job->deadline_ms = deadline_ms (plan->init, job);
  job->declared_ms = (guint)run_ms;
  g_ptr_array_add (plan->jobs, job);
}

static double
swing_at (const LoadInit *init, double at)
{
  return init->swing_ms > 0 ? 1 + init->swing * sin (2 * G_PI * at / init->swing_ms) : 1;
}

static void
plan_queue (Plan *plan, guint queue_index)
{
  const LoadInit *init = plan->init;
  double at = 0;

  while (at < init->length_ms)
    {
      gboolean in_burst = at >= init->burst_from_ms && at < init->burst_to_ms;
      double per_ms
          = init->queues[queue_index].per_s / 1000 * (in_burst ? init->burst : 1);

      per_ms *= swing_at (init, at);
      at += -log (1 - g_rand_double (plan->random)) / per_ms;
      plan_job (plan, queue_index, (gint64)at);
    }
}

static int
compare_arrival (gconstpointer a, gconstpointer b)
{
  const LoadJob *left = *(LoadJob *const *)a;
  const LoadJob *right = *(LoadJob *const *)b;

  if (left->arrived_ms != right->arrived_ms)
    return left->arrived_ms < right->arrived_ms ? -1 : 1;
  return strcmp (left->id, right->id);
}

/* Call in order of arrival: the draws depend on it. */
static void
declare (Plan *plan, LoadJob *job)
{
  switch (plan->init->declared)
    {
    case LOAD_DECLARED_UNRELATED:
      job->declared_ms = (guint)draw_normal (plan, job->queue->run_ms, SPREAD);
      break;
    case LOAD_DECLARED_ROUGH:
      job->declared_ms = (guint)(job->declared_ms * (0.5 + g_rand_double (plan->random)));
      break;
    case LOAD_DECLARED_TENTH:
      job->declared_ms /= 10;
      break;
    }
  job->declared_ms = MAX (job->declared_ms, 1);
}

GPtrArray *
load_plan (const LoadInit *init)
{
  Plan plan = { init, g_rand_new_with_seed (init->seed),
                g_ptr_array_new_with_free_func (job_free) };

  for (guint i = 0; init->queues[i].name != NULL; i++)
    plan_queue (&plan, i);
  g_ptr_array_sort (plan.jobs, compare_arrival);
  for (guint i = 0; i < plan.jobs->len; i++)
    declare (&plan, g_ptr_array_index (plan.jobs, i));
  g_rand_free (plan.random);
  return plan.jobs;
}

guint
load_server_cpu_milli (const LoadInit *init, guint server)
{
  if (init->large_every > 0 && server % init->large_every == init->large_every - 1)
    return (guint)(init->server_cpu_milli * LARGE_FACTOR);
  return init->server_cpu_milli;
}

static guint
n_server_times (const LoadInit *init)
{
  guint n = 0;

  while (n < LOAD_TIMES_MAX && init->server_times[n] > 0)
    n++;
  return n;
}

double
load_server_time (const LoadInit *init, guint server, gint64 at_ms)
{
  guint n = n_server_times (init);
  gboolean changed = init->speeds == LOAD_SPEEDS_CHANGED && at_ms >= init->length_ms / 2;

  return n > 0 ? init->server_times[(server + changed) % n] : 1;
}

gint64
load_end_ms (const LoadInit *init, const GPtrArray *jobs)
{
  gint64 end = init->length_ms;

  for (guint i = 0; i < jobs->len; i++)
    {
      const LoadJob *job = g_ptr_array_index (jobs, i);

      end = MAX (end, job->arrived_ms + job->deadline_ms);
    }
  return end;
}

static double
benefit_earned (const LoadJob *job)
{
  double took_ms = (double)(job->ended_ms - job->arrived_ms);

  if (job->ended_ms == 0 || job->end != LEASED_COMPLETED)
    return 0;
  if (took_ms <= job->objective_ms)
    return job->benefit;
  return took_ms <= LOAD_LATE_FACTOR * job->objective_ms ? LATE_FRACTION * job->benefit
                                                         : 0;
}

static void
add_job (LoadTotals *totals, const LoadJob *job)
{
  double earned = benefit_earned (job);
  double held_ms = (double)(job->ended_ms - job->arrived_ms);

  totals->jobs++;
  totals->total_benefit += job->benefit;
  totals->earned += earned;
  totals->on_time += earned >= job->benefit;
  totals->served += job->ended_ms > 0 && job->end == LEASED_COMPLETED;
  totals->refused += job->ended_ms > 0 && job->end == LEASED_REFUSED;
  totals->given_up += job->ended_ms > 0 && job->end == LEASED_GIVEN_UP;
  if (!job->started && held_ms > PROMPT_FRACTION * job->objective_ms)
    totals->late_unstarted += job->benefit;
}

static int
compare_work (gconstpointer a, gconstpointer b)
{
  const LoadJob *left = *(LoadJob *const *)a;
  const LoadJob *right = *(LoadJob *const *)b;

  return (left->work < right->work) - (left->work > right->work);
}

static void
add_largest (const LoadInit *init,
             GPtrArray *by_work,
             LoadResult *result,
             guint queue_index)
{
  LoadTotals *totals = &result->queues[queue_index];
  guint n = 0;

  for (guint i = 0; i < by_work->len && n < totals->jobs / 10; i++)
    {
      const LoadJob *job = g_ptr_array_index (by_work, i);

      if (job->queue_index != queue_index || job->arrived_ms < init->warmup_ms)
        continue;
      n++;
      totals->largest_benefit += job->benefit;
      totals->largest_earned += benefit_earned (job);
    }
}

static int
compare_ms (gconstpointer a, gconstpointer b)
{
  gint64 left = *(const gint64 *)a;
  gint64 right = *(const gint64 *)b;

  return (left > right) - (left < right);
}

static double
median_response_ms (const LoadInit *init, GPtrArray *jobs)
{
  GArray *took = g_array_new (FALSE, FALSE, sizeof (gint64));
  double median = 0;
  guint middle;

  for (guint i = 0; i < jobs->len; i++)
    {
      const LoadJob *job = g_ptr_array_index (jobs, i);
      gint64 ms = job->ended_ms - job->arrived_ms;

      if (job->arrived_ms >= init->warmup_ms && job->ended_ms > 0
          && job->end == LEASED_COMPLETED)
        g_array_append_val (took, ms);
    }
  g_array_sort (took, compare_ms);
  middle = took->len / 2;
  if (took->len > 0)
    median = (double)g_array_index (took, gint64, middle);
  g_array_unref (took);
  return median;
}

static double
capacity_of (const LoadInit *init)
{
  double capacity = 0;

  for (guint i = 0; i < init->servers; i++)
    capacity += load_server_cpu_milli (init, i);
  return capacity;
}

void
load_account (const LoadInit *init, GPtrArray *jobs, LoadResult *result)
{
  GPtrArray *by_work = g_ptr_array_copy (jobs, NULL, NULL);
  LoadIdle idle = result->idle;
  double work = 0;
  double wasted = 0;

  memset (result, 0, sizeof *result);
  result->idle = idle;
  for (guint i = 0; i < jobs->len; i++)
    {
      const LoadJob *job = g_ptr_array_index (jobs, i);

      work += job->run_work;
      if (job->arrived_ms < init->warmup_ms)
        continue;
      add_job (&result->all, job);
      add_job (&result->queues[job->queue_index], job);
      if (benefit_earned (job) == 0)
        wasted += job->run_work;
    }
  result->utilization = work / capacity_of (init) / init->length_ms;
  result->response_ms = median_response_ms (init, jobs);
  result->wasted_fraction = wasted / MAX (work, 1);
  g_ptr_array_set_free_func (by_work, NULL); /* @jobs owns the jobs */
  g_ptr_array_sort (by_work, compare_work);
  for (guint i = 0; init->queues[i].name != NULL; i++)
    add_largest (init, by_work, result, i);
  g_ptr_array_unref (by_work);
}
