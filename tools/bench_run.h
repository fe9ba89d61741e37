#pragma once
/* One run of a trace against real processes: load generator, fault injection and the
 * outcomes of the jobs. */
#include "bench_trace.h"
#include "harness.h"

#define ENTRIES 3
#define SERVERS 10
#define SLOTS_EACH 8
#define SLOTS (SERVERS * SLOTS_EACH)
#define TEAMS 4

typedef struct
{
  Harness *harness;
  GPtrArray *jobs;      /* TraceJob */
  Exchange **exchanges; /* by job */
  guint next;
  gint64 start_us;
  double duration_ms;
  const char *deadline;             /* member of the job's body, or "" */
  void (*inject_fault) (void *run); /* a third into the trace; NULL: none */
} Run;

typedef struct
{
  guint complete;
  guint not_run;
  guint may_have_run;
  guint connection_lost;
  guint refused;
  double refusal_p99_ms;
  guint tasks_complete;
  double work_ms;             /* of jobs completed in the goodput window */
  double team_work_ms[TEAMS]; /* the same by team */
} Outcomes;

/** run_drive - submit the jobs at their arrival times and wait for all responses. */
void run_drive (Run *run);

/** run_classify - count the responses by outcome; fills the jobs' response times. */
Outcomes run_classify (Run *run);

/** run_refused - whether the job was refused under overload, before any task ran. */
gboolean run_refused (const Run *run, guint job);

/** run_window_ms - length of the goodput window. */
double run_window_ms (const Run *run);

/** run_set_weights - give team N the weight N + 1 and wait until all entries have it. */
void run_set_weights (Run *run);

/* Faults, for Run.inject_fault. @run: a Run. */
void inject_fail_all (void *run);
void inject_straggler (void *run);
void inject_store_hang (void *run);
void inject_zone_kill (void *run);
void inject_cancels (void *run);
