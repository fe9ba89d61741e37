#pragma once
/* Prints the figures of a finished run, one line each: "scenario/figure value bound ok",
 * or "... MISSED"; the bound is "-" if there is none. */
#include "bench_counts.h"
#include "bench_run.h"

#define NO_BOUND (-1.0)

typedef struct
{
  const char *scenario;
  guint missed; /* figures beyond their bounds, over all scenarios */
} Report;

/* Upper bounds; 0 allows none at all, NO_BOUND any value. */
typedef struct
{
  double mean;      /* mean slowdown relative to the central queue's */
  double p99;       /* the same for the 99th percentile */
  double frames;    /* per task, without heartbeats */
  double lost;      /* share of jobs that may have run or lost the caller's connection */
  double needless;  /* share of jobs refused that the central queue ends in time */
  double shortfall; /* of the team that got the least share of its quota */
  double idle;      /* share of capacity not used by complete jobs */
} Bounds;

/* Figures by which two versions are compared. */
typedef struct
{
  double mean;
  double p99;
  double frames;
  double wasted;
  double cpu_us; /* entries and agents, per task */
  double goodput;
  double lost;
} Result;

void report_line (Report *report, const char *figure, double value, double bound);

/** report_run - print all figures of a run. @deadline_ms: the jobs'. */
Result report_run (Report *report,
                   Run *run,
                   const Counts *before,
                   const Counts *after,
                   const Bounds *bounds,
                   double deadline_ms);

/** report_ratios - print this version's figures against an earlier one's. */
void report_ratios (Report *report, const Result *now, const Result *earlier);
