#include "bench_trace.h"

#include <math.h>

#define MIN_RUN_MS 50.0
#define MAX_RUN_MS 1000.0
#define LONG_SHARE 0.02
#define MIN_LONG_MS 2000
#define MAX_LONG_MS 4000
#define MEAN_SAMPLES 4000

static void
job_free (gpointer data)
{
  TraceJob *job = data;

  g_free (job->run_ms);
  g_free (job);
}

/* Half of the jobs are small, four in ten wide, the rest very wide. */
static guint
draw_tasks (GRand *random)
{
  double u = g_rand_double (random);

  if (u < 0.5)
    return (guint)g_rand_int_range (random, 1, SMALL_JOB + 1);
  if (u < 0.9)
    return (guint)g_rand_int_range (random, SMALL_JOB + 1, 31);
  return (guint)g_rand_int_range (random, 31, 131);
}

static guint
draw_run_ms (GRand *random)
{
  if (g_rand_double (random) < LONG_SHARE)
    return (guint)g_rand_int_range (random, MIN_LONG_MS, MAX_LONG_MS);
  return (guint)(MIN_RUN_MS
                 * exp (g_rand_double (random) * log (MAX_RUN_MS / MIN_RUN_MS)));
}

static double
ideal_ms (const TraceJob *job, guint slots)
{
  double work = 0;
  double longest = 0;

  for (guint i = 0; i < job->n_tasks; i++)
    {
      work += job->run_ms[i];
      longest = MAX (longest, job->run_ms[i]);
    }
  return MAX (longest, work / slots);
}

static TraceJob *
draw_job (GRand *random, const TraceInit *init)
{
  TraceJob *job = g_new0 (TraceJob, 1);
  double off = exp ((2 * g_rand_double (random) - 1) * log (init->declared_off));
  double work = 0;

  job->n_tasks = draw_tasks (random);
  job->run_ms = g_new (guint, job->n_tasks);
  for (guint i = 0; i < job->n_tasks; i++)
    {
      job->run_ms[i] = draw_run_ms (random);
      work += job->run_ms[i];
    }
  job->declared_ms = (guint)MAX (work / job->n_tasks * off, 1);
  job->ideal_ms = ideal_ms (job, init->slots);
  job->response_ms = -1;
  return job;
}

static double
mean_work_ms (void)
{
  GRand *random = g_rand_new_with_seed (1);
  double work = 0;

  for (guint i = 0; i < MEAN_SAMPLES; i++)
    {
      guint n = draw_tasks (random);

      for (guint k = 0; k < n; k++)
        work += draw_run_ms (random);
    }
  g_rand_free (random);
  return work / MEAN_SAMPLES;
}

GPtrArray *
bench_trace (const TraceInit *init)
{
  GPtrArray *jobs = g_ptr_array_new_with_free_func (job_free);
  GRand *random = g_rand_new_with_seed (init->seed);
  double gap_ms = mean_work_ms () / (init->slots * init->load);
  double now_ms = 0;

  for (;;)
    {
      gboolean burst = init->burst_factor > 1 && now_ms > init->duration_ms * 0.5
                       && now_ms < init->duration_ms * 0.55;
      TraceJob *job;

      now_ms += -log (1 - g_rand_double (random)) * gap_ms
                / (burst ? init->burst_factor : 1);
      if (now_ms > init->duration_ms)
        break;
      job = draw_job (random, init);
      job->arrival_ms = now_ms;
      g_ptr_array_add (jobs, job);
    }
  g_rand_free (random);
  return jobs;
}

/* Reference schedules. Each step places one task on the slot that is free first: of the
 * job with the lowest rank among those that have arrived by then. */

typedef struct
{
  double *free_ms; /* when each slot becomes free */
  guint n;
} Slots;

static guint
earliest (const Slots *slots)
{
  guint best = 0;

  for (guint i = 1; i < slots->n; i++)
    if (slots->free_ms[i] < slots->free_ms[best])
      best = i;
  return best;
}

static double
remaining_ms (const TraceJob *job, guint next)
{
  double work = 0;

  for (guint i = next; i < job->n_tasks; i++)
    work += job->run_ms[i];
  return work;
}

static int
first_ranked (GPtrArray *jobs, const guint *next, double now_ms, Reference reference)
{
  int best = -1;
  double best_rank = 0;

  for (guint i = 0; i < jobs->len; i++)
    {
      const TraceJob *job = g_ptr_array_index (jobs, i);
      double rank;

      if (job->arrival_ms > now_ms)
        break;
      if (next[i] == job->n_tasks)
        continue;
      rank = reference == REFERENCE_FIFO ? job->arrival_ms : remaining_ms (job, next[i]);
      if (best < 0 || rank < best_rank)
        {
          best = (int)i;
          best_rank = rank;
        }
    }
  return best;
}

static void
run_task (TraceJob *job, guint task, double *slot_free_ms, double start_ms)
{
  *slot_free_ms = start_ms + job->run_ms[task];
  job->response_ms = MAX (job->response_ms, *slot_free_ms - job->arrival_ms);
}

static double
next_arrival_ms (GPtrArray *jobs, const guint *next)
{
  for (guint i = 0; i < jobs->len; i++)
    {
      const TraceJob *job = g_ptr_array_index (jobs, i);

      if (next[i] < job->n_tasks)
        return job->arrival_ms;
    }
  return -1;
}

static void
schedule_one_queue (GPtrArray *jobs, Reference reference, guint n_slots)
{
  Slots slots = { g_new0 (double, n_slots), n_slots };
  guint *next = g_new0 (guint, jobs->len);

  for (;;)
    {
      guint slot = earliest (&slots);
      double arrival_ms = next_arrival_ms (jobs, next);
      int chosen;

      if (arrival_ms < 0)
        break;
      slots.free_ms[slot] = MAX (slots.free_ms[slot], arrival_ms);
      chosen = first_ranked (jobs, next, slots.free_ms[slot], reference);
      run_task (g_ptr_array_index (jobs, chosen), next[chosen], &slots.free_ms[slot],
                slots.free_ms[slot]);
      next[chosen]++;
    }
  g_free (slots.free_ms);
  g_free (next);
}

static void
schedule_random (GPtrArray *jobs, guint servers, guint slots_each)
{
  GRand *random = g_rand_new_with_seed (7);
  double *free_ms = g_new0 (double, servers *slots_each);

  for (guint i = 0; i < jobs->len; i++)
    {
      TraceJob *job = g_ptr_array_index (jobs, i);

      for (guint task = 0; task < job->n_tasks; task++)
        {
          Slots slots
              = { free_ms
                      + (gsize)g_rand_int_range (random, 0, (gint32)servers) * slots_each,
                  slots_each };
          double *slot = &slots.free_ms[earliest (&slots)];

          run_task (job, task, slot, MAX (*slot, job->arrival_ms));
        }
    }
  g_free (free_ms);
  g_rand_free (random);
}

void
bench_reference (GPtrArray *jobs, Reference reference, guint servers, guint slots_each)
{
  for (guint i = 0; i < jobs->len; i++)
    ((TraceJob *)g_ptr_array_index (jobs, i))->response_ms = -1;
  if (reference == REFERENCE_RANDOM)
    schedule_random (jobs, servers, slots_each);
  else
    schedule_one_queue (jobs, reference, servers * slots_each);
}

static int
compare_doubles (gconstpointer a, gconstpointer b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}

static double
quantile (GArray *sorted, double q)
{
  if (sorted->len == 0)
    return 0;
  return g_array_index (sorted, double, (guint)(q * (sorted->len - 1)));
}

Slowdowns
bench_slowdowns (GPtrArray *jobs)
{
  Slowdowns result = { 0 };
  GArray *values = g_array_new (FALSE, FALSE, sizeof (double));
  double sum = 0;
  double small_sum = 0;
  guint small = 0;

  for (guint i = 0; i < jobs->len; i++)
    {
      const TraceJob *job = g_ptr_array_index (jobs, i);
      double slowdown = job->response_ms / job->ideal_ms;

      if (job->response_ms < 0)
        continue;
      g_array_append_val (values, slowdown);
      sum += slowdown;
      if (job->n_tasks <= SMALL_JOB)
        {
          small_sum += slowdown;
          small++;
        }
    }
  g_array_sort (values, compare_doubles);
  result.n = values->len;
  result.mean = values->len > 0 ? sum / values->len : 0;
  result.p50 = quantile (values, 0.5);
  result.p99 = quantile (values, 0.99);
  result.small_mean = small > 0 ? small_sum / small : 0;
  g_array_unref (values);
  return result;
}
