#include "bench_report.h"

#include <stdio.h>

void
report_line (Report *report, const char *figure, double value, double bound)
{
  gboolean missed = bound >= 0 && value > bound;

  if (bound < 0)
    printf ("%s/%s %.3f - ok\n", report->scenario, figure, value);
  else
    printf ("%s/%s %.3f %.3f %s\n", report->scenario, figure, value, bound,
            missed ? "MISSED" : "ok");
  fflush (stdout);
  report->missed += missed;
}

static double
report_frames (Report *report,
               const Counts *before,
               const Counts *after,
               double tasks,
               double bound)
{
  static const char *const kinds[] = { "start", "outcome", "grant", "ack", "control" };
  double frames = 0;

  for (gsize i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      char *counter = g_strdup_printf ("frames_%s", kinds[i]);
      char *figure = g_strdup_printf ("frames-per-task-%s", kinds[i]);
      double n = counts_increase (before, after, counter) / tasks;

      frames += n;
      report_line (report, figure, n, NO_BOUND);
      g_free (figure);
      g_free (counter);
    }
  report_line (report, "frames-per-task", frames, bound);
  report_line (report, "bytes-per-task",
               counts_increase (before, after, "bytes_sent") / tasks, NO_BOUND);
  return frames;
}

/* Frames that contributed to no response. */
static double
report_wasted (Report *report, const Counts *before, const Counts *after, double tasks)
{
  static const char *const kinds[]
      = { "stale_outcomes", "starts_refused", "duplicate_starts", "frames_dropped" };
  double wasted = 0;

  for (gsize i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      double n = counts_increase (before, after, kinds[i]) / tasks;
      char *figure = g_strdup_printf ("wasted-per-task-%s", kinds[i]);

      wasted += n;
      if (n > 0)
        report_line (report, figure, n, NO_BOUND);
      g_free (figure);
    }
  report_line (report, "wasted-per-task", wasted, NO_BOUND);
  return wasted;
}

static double
report_cpu (Report *report, const Counts *before, const Counts *after, double tasks)
{
  double entry_us = counts_entries_increase (before, after, "process_cpu_us") / tasks;
  double agent_us = counts_agents_increase (before, after, "process_cpu_us") / tasks;

  report_line (report, "entry-cpu-us-per-task", entry_us, NO_BOUND);
  report_line (report, "agent-cpu-us-per-task", agent_us, NO_BOUND);
  return entry_us + agent_us;
}

/* A refusal was needless if the central queue, which refuses no job, completes the job by
 * its deadline. The jobs must have the response times of that schedule. */
static guint
needless_refusals (const Run *run, double deadline_ms)
{
  guint n = 0;

  for (guint i = 0; i < run->jobs->len; i++)
    {
      const TraceJob *job = g_ptr_array_index (run->jobs, i);

      n += run_refused (run, i) && job->response_ms <= deadline_ms;
    }
  return n;
}

static Slowdowns
reference (const Run *run, Reference kind)
{
  bench_reference (run->jobs, kind, SERVERS, SLOTS_EACH);
  return bench_slowdowns (run->jobs);
}

static void
report_slowdowns (Report *report,
                  const Run *run,
                  const Slowdowns *got,
                  const Bounds *bounds,
                  double deadline_ms)
{
  Slowdowns fifo = reference (run, REFERENCE_FIFO);
  Slowdowns random = reference (run, REFERENCE_RANDOM);
  Slowdowns central = reference (run, REFERENCE_CENTRAL);

  report_line (report, "needless-refusals",
               needless_refusals (run, deadline_ms) / (double)run->jobs->len,
               bounds->needless);
  report_line (report, "slowdown-mean", got->mean, NO_BOUND);
  report_line (report, "slowdown-p50", got->p50, NO_BOUND);
  report_line (report, "slowdown-p99", got->p99, NO_BOUND);
  report_line (report, "slowdown-small-jobs", got->small_mean, NO_BOUND);
  report_line (report, "central-mean", central.mean, NO_BOUND);
  report_line (report, "central-p99", central.p99, NO_BOUND);
  report_line (report, "fifo-mean", fifo.mean, NO_BOUND);
  report_line (report, "random-mean", random.mean, NO_BOUND);
  report_line (report, "mean-to-central", got->mean / central.mean, bounds->mean);
  report_line (report, "p99-to-central", got->p99 / central.p99, bounds->p99);
}

static double
report_outcomes (Report *report,
                 const Run *run,
                 const Outcomes *outcomes,
                 const Bounds *bounds)
{
  double sent = run->jobs->len;
  double lost = (outcomes->may_have_run + outcomes->connection_lost) / sent;
  guint answered = outcomes->complete + outcomes->not_run + outcomes->may_have_run
                   + outcomes->connection_lost;
  double goodput = outcomes->work_ms / (run_window_ms (run) * SLOTS);

  report_line (report, "jobs", sent, NO_BOUND);
  report_line (report, "complete", outcomes->complete, NO_BOUND);
  report_line (report, "not-run", outcomes->not_run, NO_BOUND);
  report_line (report, "refused", outcomes->refused, NO_BOUND);
  report_line (report, "unanswered", sent - answered, 0);
  report_line (report, "lost-share", lost, bounds->lost);
  report_line (report, "capacity-not-turned-into-answers", 1 - goodput, bounds->idle);
  if (outcomes->refused > 0)
    report_line (report, "refusal-p99-ms", outcomes->refusal_p99_ms, NO_BOUND);
  return goodput;
}

static double
team_demand_ms (const Run *run, guint team)
{
  double work_ms = 0;

  for (guint i = team; i < run->jobs->len; i += TEAMS)
    {
      const TraceJob *job = g_ptr_array_index (run->jobs, i);

      for (guint k = 0; k < job->n_tasks; k++)
        work_ms += job->run_ms[k];
    }
  return work_ms * run_window_ms (run) / run->duration_ms;
}

/* Weighted max-min fairness: capacity by weight, up to the demand; what a team leaves
 * goes to the others by their weights. */
static void
fill_quotas (const double demand[TEAMS], double capacity, double quota[TEAMS])
{
  gboolean filled[TEAMS] = { FALSE };
  gboolean again = TRUE;

  while (again)
    {
      double weights = 0;

      again = FALSE;
      for (guint i = 0; i < TEAMS; i++)
        weights += filled[i] ? 0 : i + 1;
      for (guint i = 0; i < TEAMS && weights > 0; i++)
        {
          if (filled[i])
            continue;
          quota[i] = capacity * (i + 1) / weights;
          if (demand[i] > quota[i])
            continue;
          quota[i] = demand[i];
          filled[i] = TRUE;
          capacity -= demand[i];
          again = TRUE;
          break;
        }
    }
}

static void
report_shares (Report *report, const Run *run, const Outcomes *outcomes, double bound)
{
  double demand[TEAMS];
  double quota[TEAMS];
  double worst = 0;

  for (guint i = 0; i < TEAMS; i++)
    demand[i] = team_demand_ms (run, i);
  fill_quotas (demand, run_window_ms (run) * SLOTS, quota);
  for (guint i = 0; i < TEAMS; i++)
    {
      char *figure = g_strdup_printf ("team-%u-of-its-quota", i);
      double share = outcomes->team_work_ms[i] / quota[i];

      report_line (report, figure, share, NO_BOUND);
      worst = MAX (worst, 1 - share);
      g_free (figure);
    }
  report_line (report, "worst-team-shortfall", worst, bound);
}

Result
report_run (Report *report,
            Run *run,
            const Counts *before,
            const Counts *after,
            const Bounds *bounds,
            double deadline_ms)
{
  Outcomes outcomes = run_classify (run);
  Slowdowns got = bench_slowdowns (run->jobs);
  double tasks = MAX (outcomes.tasks_complete, 1);
  Result result = { .mean = got.mean, .p99 = got.p99 };

  result.goodput = report_outcomes (report, run, &outcomes, bounds);
  result.lost = (outcomes.may_have_run + outcomes.connection_lost)
                / (double)MAX (run->jobs->len, 1);
  result.frames = report_frames (report, before, after, tasks, bounds->frames);
  result.wasted = report_wasted (report, before, after, tasks);
  result.cpu_us = report_cpu (report, before, after, tasks);
  if (bounds->shortfall >= 0)
    report_shares (report, run, &outcomes, bounds->shortfall);
  report_slowdowns (report, run, &got, bounds, deadline_ms);
  return result;
}

void
report_ratios (Report *report, const Result *now, const Result *earlier)
{
  report_line (report, "mean-to-earlier", now->mean / earlier->mean, NO_BOUND);
  report_line (report, "p99-to-earlier", now->p99 / earlier->p99, NO_BOUND);
  report_line (report, "frames-to-earlier", now->frames / earlier->frames, NO_BOUND);
  report_line (report, "cpu-to-earlier", now->cpu_us / earlier->cpu_us, NO_BOUND);
  report_line (report, "goodput-to-earlier", now->goodput / earlier->goodput, NO_BOUND);
  report_line (report, "wasted-more-than-earlier", now->wasted - earlier->wasted,
               NO_BOUND);
  report_line (report, "lost-more-than-earlier", now->lost - earlier->lost, NO_BOUND);
}
