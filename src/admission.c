#include "admission.h"

/* Largest factor by which arrivals stretch a wait; beyond it, a wait cannot be told from
 * an endless one. A much lower limit would keep jobs waiting that are refused in the end.
 */
#define MAX_STRETCH 30.0

/* What later arrivals with a rate of @arriving leave of a @rate of work. */
static double
share_left (double arriving, double rate)
{
  return MAX (1 - arriving / rate, 1 / MAX_STRETCH);
}

/* Work ahead of the job at this entry gets the entry's share of the servers, less what
 * arrives ahead of the job meanwhile. */
static double
wait_by_share_ms (const AdmissionLoad *load, const AdmissionJob *job, double rank)
{
  double arriving = arrivals_rate_below (load->arrivals, rank, load->now_ms);

  return job->ahead / load->rate / share_left (arriving, load->rate);
}

/* Work ahead of the job at all entries gets all servers. */
static double
wait_by_all_ms (const AdmissionLoad *load, const AdmissionJob *job, double rank)
{
  double ahead = job->ahead + load_view_waiting_below (load->others, rank);
  double arriving = arrivals_rate_below (load->arrivals, rank, load->now_ms)
                    + load_view_arriving_below (load->others, rank);

  return ahead / load->capacity / share_left (arriving, load->capacity);
}

/* The longer wait counts if the load of the other entries is known: the one by the share
 * alone misses what waits elsewhere, the one by all entries that an entry with much work
 * does not get all servers at once. Once the job's own tasks start, its rank falls: it is
 * first in the order at all entries and gets capacity wherever it frees. */
static double
expected_wait_ms (const AdmissionLoad *load, const AdmissionJob *job, double rank)
{
  double wait_ms = wait_by_share_ms (load, job, rank);

  if (load->others != NULL)
    wait_ms = MAX (wait_ms, wait_by_all_ms (load, job, rank));
  return wait_ms + job->work / load->capacity;
}

/* Sums over the jobs in order of rank. */
typedef struct
{
  const AdmissionJob *jobs;
  gsize n;
  double *work;    /* [i]: of all jobs before i */
  double *refused; /* [i]: of those before i that are refused so far */
} PrefixSums;

/* Index of the first job with a rank above @rank. */
static gsize
first_after (const PrefixSums *sums, double rank)
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

/* Waiting work ahead of job @i if its rank were @rank. */
static double
work_before (const PrefixSums *sums, gsize i, double rank)
{
  gsize end = first_after (sums, rank);
  double own = end > i ? sums->jobs[i].work : 0;

  return sums->work[end] - sums->refused[MIN (end, i)] - own;
}

static gboolean
can_end_by (const AdmissionLoad *load,
            const PrefixSums *sums,
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
  PrefixSums sums = { jobs, n, g_new0 (double, n + 1), g_new0 (double, n + 1) };

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
