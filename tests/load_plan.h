#pragma once
/* A load for the replays, drawn from a seed before anything runs, so that different ways
 * of dispatching can be given the same arrivals; and the account of what came of it. */
#include "dispatcher.h"

#define LOAD_QUEUES_MAX 4

/* Times, widths and demands vary around these means. */
typedef struct
{
  const char *name; /* NULL ends a list */
  guint priority;
  guint tasks;
  guint max_tasks;
  guint run_ms;
  guint cpu_milli;
  double per_s;   /* jobs, all entries together */
  double benefit; /* of a job of mean size */
} LoadQueue;

/* How far declared run times are from the true ones. */
typedef enum
{
  LOAD_DECLARED_UNRELATED, /* drawn anew around the queue's mean */
  LOAD_DECLARED_ROUGH,     /* off by a factor between 0.5 and 1.5 */
  LOAD_DECLARED_TENTH,     /* a tenth of the true one */
} LoadDeclared;

typedef struct
{
  guint entries;
  guint servers;
  guint server_cpu_milli;
  guint large_every; /* each so-manieth server is half as large again; 0: none */
  guint warmup_ms;   /* jobs that arrive earlier are played but not accounted */
  guint length_ms;
  guint burst_from_ms;
  guint burst_to_ms;
  double burst; /* times the usual load meanwhile */
  LoadDeclared declared;
  double link_bytes_per_ms; /* of each entry, either way; 0: as wide as it takes */
  guint payload_bytes;      /* of a job */
  gboolean ignore_delay;    /* entries do not hear how late what they send comes */
  guint caller_skew; /* times the callers of another that the first entry has; 0: 1 */
  guint32 seed;
  const LoadQueue *queues;
} LoadInit;

typedef struct
{
  char id[24];
  guint entry;
  const LoadQueue *queue;
  guint queue_index;
  guint tasks;
  guint cpu_milli;
  guint *run_ms; /* of each task */
  guint declared_ms;
  double benefit;
  double work;
  gint64 arrived_ms; /* after the start of the replay */
  double objective_ms;

  /* What came of it. */
  double run_work; /* done by its runs */
  gint64 ended_ms; /* after the start of the replay; 0: not yet */
  LeasedEnd end;
  guint retry_after_ms;
  gboolean started;
} LoadJob;

typedef struct
{
  double total_benefit;
  double earned;
  double largest_benefit; /* of the largest tenth of the jobs */
  double largest_earned;
  double late_unstarted; /* benefit of jobs that were refused late, and never started */
  guint jobs;
  guint on_time;
  guint served; /* at all */
  guint refused;
  guint given_up;
} LoadTotals;

/* Room that stood free while a task that fits it waited somewhere, as parts of the
 * servers' processor time: why nothing ran there. */
typedef struct
{
  double fresh;   /* freed less than two ways through the network ago */
  double offered; /* offered to an entry that has not used it */
  double unseen;  /* the entries where something waits do not know of it */
} LoadIdle;

typedef struct
{
  LoadTotals all;
  LoadTotals queues[LOAD_QUEUES_MAX];
  double utilization;     /* of the servers' processor time */
  double wasted_fraction; /* of the work that was run, for jobs that earned nothing */
  LoadIdle idle;
} LoadResult;

/** load_plan - draw the jobs, in the order of their arrival. Free the array. */
GPtrArray *load_plan (const LoadInit *init);

/** load_server_cpu_milli - the size of one of the servers. */
guint load_server_cpu_milli (const LoadInit *init, guint server);

/** load_account - what was earned. Does not touch @result->idle. */
void load_account (const LoadInit *init, GPtrArray *jobs, LoadResult *result);

/* A caller's time, and the part of an objective in which a late answer is of use. */
#define LOAD_DEADLINE_MS 4300
#define LOAD_LATE_FACTOR 3
#define LOAD_TARGET_MS 60
#define LOAD_STRETCH 1.6
