#include "admission.h"

/* What arrives and goes before a job stretches its wait so many times at most: more
 * cannot be told from for ever. Much less would keep jobs waiting that are refused in the
 * end. */
#define STRETCH_MOST 30.0

/* While its own tasks run, a job is first in order everywhere, and gets room wherever it
 * frees. What goes before it gets this entry's part of the servers, stretched by what
 * arrives meanwhile. */
static double
expected_wait_ms (const AdmissionLoad *load, const AdmissionJob *job, double rank)
{
  double arriving = arrivals_before (load->arrivals, rank, load->now_ms);
  double room_left = MAX (1 - arriving / load->rate, 1 / STRETCH_MOST);

  return job->ahead / load->rate / room_left + job->work / load->capacity;
}

/* Sums over the jobs in the order of their ranks. */
typedef struct
{
  const AdmissionJob *jobs;
  gsize n;
  double *work;    /* [i]: of all jobs before i */
  double *refused; /* [i]: of those before i that are refused, as far as it is decided */
} Sums;

/* The first job that goes after @rank. */
static gsize
first_after (const Sums *sums, double rank)
{
  gsize low = 0;
  gsize high = sums->n;

  while (low < high)
    {
      gsize middle = low + (high - low) / 2;

      if (sums->jobs[middle].rank <= rank)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

/* What waits and would go before job @i if that had @rank. */
static double
work_before (const Sums *sums, gsize i, double rank)
{
  gsize end = first_after (sums, rank);
  double own = end > i ? sums->jobs[i].work : 0;

  return sums->work[end] - sums->refused[MIN (end, i)] - own;
}

static gboolean
can_end_by (const AdmissionLoad *load,
            const Sums *sums,
            gsize i,
            AdmissionJob *job,
            double rank,
            gint64 end_ms)
{
  job->ahead = work_before (sums, i, rank);
  job->wait_ms = expected_wait_ms (load, job, rank);
  return load->now_ms + job->wait_ms + job->task_ms <= end_ms;
}

void
admission_decide (const AdmissionLoad *load, AdmissionJob *jobs, gsize n)
{
  Sums sums = { jobs, n, g_new0 (double, n + 1), g_new0 (double, n + 1) };

  for (gsize i = 0; i < n; i++)
    sums.work[i + 1] = sums.work[i] + jobs[i].work;
  for (gsize i = 0; i < n; i++)
    {
      AdmissionJob *job = &jobs[i];

      job->refused
          = job->refusable
            && !can_end_by (load, &sums, i, job, job->rank_on_time, job->objective_ms)
            && !can_end_by (load, &sums, i, job, job->rank_late, job->late_ms);
      sums.refused[i + 1] = sums.refused[i] + (job->refused ? job->work : 0);
    }
  g_free (sums.work);
  g_free (sums.refused);
}
