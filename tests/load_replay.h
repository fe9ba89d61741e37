#pragma once
/* Replays a load against real dispatchers of several entries on a clock of its own, with
 * played agents that start what fits. Tells what part of the callers' benefit was earned:
 * in full until a job's objective, a part of it until three times that, then nothing. */
#include "dispatcher.h"

#define LOAD_QUEUES_MAX 4

/* Times, widths and demands vary around these means. */
typedef struct
{
  const char *name; /* NULL ends a list */
  guint priority;
  guint tasks;
  guint most_tasks;
  guint run_ms;
  guint cpu_milli;
  double per_s;   /* jobs, all entries together */
  double benefit; /* of a job of mean size */
} LoadQueue;

typedef struct
{
  guint entries;
  guint servers;
  guint server_cpu_milli;
  guint length_ms;
  guint burst_from_ms;
  guint burst_to_ms;
  double burst; /* times the usual load meanwhile */
  guint32 seed;
  const LoadQueue *queues;
} LoadInit;

typedef struct
{
  double owed;
  double earned;
  double largest_owed; /* of the largest tenth of the jobs */
  double largest_earned;
  double held_untried; /* benefit of jobs that were refused late, and never started */
  guint jobs;
  guint in_time;
  guint refused;
  guint given_up;
} LoadShare;

typedef struct
{
  LoadShare all;
  LoadShare queues[LOAD_QUEUES_MAX];
  double used_part;   /* of the servers' processor time */
  double wasted_part; /* of the work that was run, for jobs that earned nothing */
} LoadResult;

void load_replay (const LoadInit *init, LoadResult *result);
