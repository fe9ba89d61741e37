#pragma once
/* What the parts of the runner share. runner.c keeps the runs and decides, runner_life.c
 * follows the lives of the backend server, runner_calls.c calls it and takes its answers
 * in, runner_progress.c judges it by what they tell. */
#include "lease.h"
#include "long_polls.h"
#include "runner.h"

#include <sys/queue.h>

/* Lives remembered, so that a delayed report of an earlier one is not taken for news. */
#define PAST_INSTANCES 8

/* The server's steady clock may run this much slower than ours (its published bound). */
#define SERVER_CLOCK_SLOW_PERCENT 2

typedef enum
{
  RUN_STARTING,   /* the start is under way */
  RUN_UNRESOLVED, /* the start was not answered: it may run now or later */
  RUN_RUNNING,
} RunState;

typedef struct Run
{
  TAILQ_ENTRY (Run) link;
  RunKey key;
  guint64 entry;
  char *payload;
  Demand demand;
  RunState state;
  gint64 valid_until_ms;
  guint expected_ms;
  gint64 started_ms;
  guint percent;           /* of its work that is done */
  gint64 progress_ms;      /* when that last changed */
  gint64 told_ms;          /* when it was last reported as a straggler */
  gboolean rated;          /* its run time is part of the server's quality */
  guint64 token;           /* of its last start */
  guint starts;            /* sent */
  const char *stop_reason; /* NULL: it may run */
  gint64 stop_sent_ms;
} Run;

/* A run that ended a short while ago, kept for an entry whose link broke meanwhile. */
typedef struct PastRun
{
  TAILQ_ENTRY (PastRun) link;
  RunReport report;
  guint64 entry;
  gint64 ended_ms;
} PastRun;

typedef enum
{
  LIFE_UNKNOWN,  /* the server has not been heard of */
  LIFE_CLEARING, /* what runs there is not known: it must end first */
  LIFE_READY,
} LifeState;

struct Runner
{
  RunnerInit init;
  const RunnerOps *ops;
  gpointer ctx;
  TAILQ_HEAD (, Run) runs;
  TAILQ_HEAD (, PastRun) past;
  guint n_runs;
  Demand used;
  GHashTable *entries; /* incarnation -> gint64 until when its runs may go on */
  char *instance;
  char **past_instances;
  guint life; /* counts the lives seen, so that answers of earlier ones are told apart */
  LifeState state;
  guint64 sequence;
  guint64 token;
  guint64 ends_seen;
  PeerClock clock;
  gint64 leased_until; /* server's clock: the longest lease that it may have been given */
  gint64 lease_sent_ms;
  gint64 listed_ms; /* when its lists were last asked for or told */
  guint unanswered; /* calls since the last answer */
  double call_ms;   /* what an answer usually takes */
  gint64 now_ms;    /* of the call that is being handled */
  Demand capacity;
  ServerHealth quality;
  gboolean server_draining;
  gint64 cold_until_ms; /* it says that it runs slower until then */
  gboolean cold;
  double other_slowness; /* while it is cold that of when it is warm, and the reverse */
  gboolean draining;
  gboolean zone_closed;
  LongPolls watches;
  gboolean settling;
};

/* runner.c */
Run *runner_find (const Runner *runner, const RunKey *key);
void run_end (Runner *runner, Run *run, ReportKind kind, const char *reason);
void runner_lose_all (Runner *runner, ReportKind kind, const char *reason);

/** runner_server_is_silent - several calls in a row got no answer. */
gboolean runner_server_is_silent (const Runner *runner);

/* runner_progress.c */

/** run_rate - note its run time against the expected one. */
void run_rate (Runner *runner, Run *run, gboolean failed);

/** runner_take_progress - what a list of running tasks tells about each. */
void runner_take_progress (Runner *runner, const CallReply *reply);

/* runner_life.c */
void runner_set_state (Runner *runner, LifeState state);

/** runner_check_cold - see whether the server is slower now than it will be. */
void runner_check_cold (Runner *runner);

/** runner_forget_life - what ran there ends as @kind. */
void runner_forget_life (Runner *runner, ReportKind kind, const char *reason);

/* runner_calls.c */
void runner_send_start (Runner *runner, Run *run);
void runner_send_stop (Runner *runner, const RunKey *key);
void runner_send_watch (Runner *runner);
void runner_send_renewal (Runner *runner);

/** runner_must_settle - whether the fate of a start is not known. */
gboolean runner_must_settle (const Runner *runner);

/** runner_send_settle - raise the fencing token where that is needed, then ask what runs:
 * what is not listed then never runs. */
void runner_send_settle (Runner *runner);
