#pragma once
/* One run of a trace against real processes: the load client, the faults struck under it,
 * and what became of the jobs. */
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
  Exchange **exchanges; /* one for each job */
  guint next;
  gint64 start_us;
  double duration_ms;
  const char *deadline;             /* member of the job's body, or "" */
  void (*inject_fault) (void *run); /* at a third of the trace; NULL for none */
} Run;

typedef struct
{
  guint complete;
  guint not_run;
  guint may_have_run;
  guint broken;
  guint refused;
  double refusal_p99_ms;
  guint tasks_complete;
  double work_ms;             /* of jobs completed in the window of the goodput */
  double team_work_ms[TEAMS]; /* the same for each team */
} Outcomes;

/** run_drive - submit the trace at its times and wait for every answer. */
void run_drive (Run *run);

/** run_classify - sort the answers; fills the jobs' response times. */
Outcomes run_classify (Run *run);

/** run_refused - whether the job was refused as overload, before anything of it ran. */
gboolean run_refused (const Run *run, guint job);

/** run_window_ms - the part of the trace over which goodput is taken. */
double run_window_ms (const Run *run);

/** run_set_weights - give team N the weight N + 1, in force on all entries. */
void run_set_weights (Run *run);

/* Faults. */
void inject_fail_all (void *run);
void inject_straggler (void *run);
void inject_store_hang (void *run);
void inject_zone_kill (void *run);
void inject_cancels (void *run);
