#pragma once
/* Synthetic workload ("plan") for the replays, and the accounting of its outcome. It is
 * drawn from a seed in advance, so that different dispatchers get the same arrivals. */
#include "dispatcher.h"

#define LOAD_QUEUES_MAX 4

/* Run times, task counts and demands vary around these means. */
typedef struct
{
  const char *name; /* NULL ends a list */
  guint priority;
  guint tasks;
  guint max_tasks;
  guint run_ms;
  guint cpu_milli;
  double per_s;   /* jobs, over all entries */
  double benefit; /* of a job of mean size */
} LoadQueue;

/* Error of the declared run times. */
typedef enum
{
  LOAD_DECLARED_UNRELATED, /* drawn independently, around the queue's mean */
  LOAD_DECLARED_ROUGH,     /* off by a factor between 0.5 and 1.5 */
  LOAD_DECLARED_TENTH,     /* a tenth of the true one */
} LoadDeclared;

/* What agents report of their servers' lasting speeds. */
typedef enum
{
  LOAD_SPEEDS_EXACT,
  LOAD_SPEEDS_NOISY,      /* off by up to 10% */
  LOAD_SPEEDS_UNKNOWN,    /* based on too few runs */
  LOAD_SPEEDS_HALF,       /* known of every second server */
  LOAD_SPEEDS_FIRST_LOW,  /* 5 percent for the first server */
  LOAD_SPEEDS_FIRST_HIGH, /* 2000 percent for the first server */
  LOAD_SPEEDS_CHANGED,    /* every server's speed changes after half of the time */
  LOAD_SPEEDS_OLD_BUILD,  /* not said */
} LoadSpeeds;

/* Different run time factors of the servers. */
#define LOAD_TIMES_MAX 4

/* What happens to the summaries that entries send each other. */
typedef enum
{
  LOAD_SUMMARIES_SOUND,
  LOAD_SUMMARIES_LOST,       /* every other one */
  LOAD_SUMMARIES_REPEATED,   /* each arrives twice */
  LOAD_SUMMARIES_REORDERED,  /* each arrives again after the next one */
  LOAD_SUMMARIES_MALFORMED,  /* every other one has a value that is not a number */
  LOAD_SUMMARIES_NONE,       /* the first entry is an older build */
  LOAD_SUMMARIES_FROZEN,     /* the first entry's stop after 5 s, its link stays */
  LOAD_SUMMARIES_CUT,        /* the first entry's links are cut from 5 s to 9 s */
  LOAD_SUMMARIES_TWO_STARTS, /* at 5 s the first entry is linked as a new incarnation */
} LoadSummaryFault;

typedef struct
{
  guint entries;
  guint servers;
  guint server_cpu_milli;
  guint large_every; /* every n-th server is 1.5 times as large; 0: none */
  guint warmup_ms;   /* jobs that arrive earlier run but do not count */
  guint length_ms;
  guint burst_from_ms;
  guint burst_to_ms;
  double burst; /* factor on the arrival rate during the burst */
  LoadDeclared declared;
  double link_bytes_per_ms; /* per entry and direction; 0: unlimited */
  guint payload_bytes;      /* per job */
  gboolean ignore_delay;    /* entries ignore the delay that agents report */
  guint caller_skew;        /* callers of the first entry, relative to another; 0: 1 */
  double server_times[LOAD_TIMES_MAX]; /* run time factors of the servers, in turn; up to
                                          the first 0; none: 1 */
  LoadSpeeds speeds;
  guint speed_runs; /* as in DispatcherInit */
  double tail_part; /* of the tasks that take tail_factor times as long */
  double tail_factor;
  double swing;        /* arrivals vary by this part around their mean, as a sine */
  guint swing_ms;      /* its period */
  gboolean run_shapes; /* as in DispatcherInit */
  guint32 seed;
  const LoadQueue *queues;
  guint shared_ms; /* between two summaries of the load to other entries; 0: none */
  LoadSummaryFault summary_fault;
} LoadInit;

typedef struct
{
  char id[24];
  guint entry;
  const LoadQueue *queue;
  guint queue_index;
  guint tasks;
  guint cpu_milli;
  guint *run_ms; /* per task */
  guint declared_ms;
  double benefit;
  double work;
  gint64 arrived_ms; /* after the start of the replay */
  double objective_ms;
  gint64 deadline_ms; /* how long its caller waits */

  /* Outcome. */
  double run_work; /* done by its ended runs, ms x thousandths of a core */
  gint64 ended_ms; /* after the start of the replay; 0: not ended */
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
  double late_unstarted; /* benefit of jobs that ended late without a start */
  guint jobs;
  guint on_time;
  guint served; /* on time or late */
  guint refused;
  guint given_up;
} LoadTotals;

/* Capacity that was idle while a task that fits waited at some entry, by reason, as
 * fractions of the servers' processor time. */
typedef struct
{
  double fresh;   /* freed within the last network round trip */
  double offered; /* reserved by an offer that is not used yet */
  double unseen;  /* not known to the entries where tasks wait */
} LoadIdle;

typedef struct
{
  LoadTotals all;
  LoadTotals queues[LOAD_QUEUES_MAX];
  double utilization;     /* of the servers' processor time */
  double response_ms;     /* median of the jobs served */
  double wasted_fraction; /* of the work done, for jobs that earned nothing */
  LoadIdle idle;
} LoadResult;

/** load_plan - draw the jobs. Return: LoadJob in order of arrival; free with
 * g_ptr_array_unref. */
GPtrArray *load_plan (const LoadInit *init);

/** load_server_cpu_milli - the processor capacity of server number @server. */
guint load_server_cpu_milli (const LoadInit *init, guint server);

/** load_server_time - run time on server number @server over the usual one, @at_ms after
 * the start of the replay. */
double load_server_time (const LoadInit *init, guint server, gint64 at_ms);

/** load_end_ms - when the last caller of @jobs stops waiting, after the start. */
gint64 load_end_ms (const LoadInit *init, const GPtrArray *jobs);

/** load_account - fill @result from the outcome of @jobs; @result->idle stays. */
void load_account (const LoadInit *init, GPtrArray *jobs, LoadResult *result);

/* How long a caller waits, if no task may take far longer than usual, and up to which
 * multiple of the objective a late result has value. */
#define LOAD_DEADLINE_MS 4300
#define LOAD_LATE_FACTOR 3
/* The objective: the longest task's run time x LOAD_STRETCH + LOAD_TARGET_MS. */
#define LOAD_TARGET_MS 60
#define LOAD_STRETCH 1.6
#define LOAD_TAIL_FACTOR 7
