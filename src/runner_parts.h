#pragma once
/* Shared by the source files of the runner. runner.c keeps the runs and decides
 * which to start and stop, runner_instance.c follows the instances of the backend server,
 * runner_calls.c makes the calls and handles their answers, runner_progress.c judges the
 * server's health by the runs' progress and ends, runner_candidate.c finds out whether an
 * unknown instance has replaced the known one, runner_state.c answers the agent. */
#include "leaving.h"
#include "long_polls.h"
#include "peer_clock.h"
#include "runner.h"

#include <sys/queue.h>

/* Instances remembered, so that a delayed report of an earlier one is recognised. */
#define PAST_INSTANCES 8

/* The server's monotonic clock may run this much slower than the own one (the bound
 * that its protocol states). */
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
  gint64 valid_until_ms; /* the start is not sent again after this */
  guint expected_ms;
  gint64 started_ms;
  guint percent;        /* of its work that is done */
  gint64 progress_ms;   /* when that last changed */
  gint64 reported_ms;   /* when it was last reported as a straggler */
  gboolean counted;     /* its run time is counted in the server's health */
  double counted_ms;    /* length of the run as estimated then; 0: at its end */
  guint window_percent; /* begin of the progress that is compared with that */
  gint64 window_ms;
  gboolean slowed;    /* it was found to progress more slowly than then */
  guint64 token;      /* fencing token of its last start */
  guint starts;       /* sent */
  gboolean listed;    /* by an answer that is certain to be from the present instance */
  gboolean held;      /* until it is known whether a restarted server runs it */
  guint64 next_entry; /* orders the same task meanwhile; 0: none */
  RunKey next_key;
  const char *stop_reason; /* NULL: it may run */
  gint64 stop_sent_ms;
} Run;

/* A run that ended recently, kept for an entry whose link broke meanwhile. */
typedef struct PastRun
{
  TAILQ_ENTRY (PastRun) link;
  RunReport report;
  guint64 entry;
  gint64 ended_ms;
  gboolean started; /* the server answered its start, or listed it */
} PastRun;

typedef TAILQ_HEAD (PastRuns, PastRun) PastRuns;

typedef enum
{
  INSTANCE_UNKNOWN,  /* no report of the server was received */
  INSTANCE_CLEARING, /* it may have runs that are not known here: they must end first */
  INSTANCE_READY,
} InstanceState;

/* An instance that has reported while another is known. */
typedef struct
{
  ServerFacts facts; /* own copies; instance is NULL if there is none */
  gint64 until_ms;   /* the server is asked no longer */
  guint number;      /* of the candidate, to spot outdated answers */
  gboolean asking;   /* a call that names it is under way */
} Candidate;

struct Runner
{
  RunnerInit init;
  const RunnerOps *ops;
  gpointer ctx;
  TAILQ_HEAD (, Run) runs;
  PastRuns past;
  PastRuns silent; /* lost to silence; whether by a crash is not known yet */
  guint n_runs;
  Demand used;
  GHashTable *entry_leases; /* incarnation -> gint64, ms: its runs may go on until then */
  char *instance;
  char *name;       /* that calls to it use, also of the last instance */
  char *kind;       /* of the last instance: what an entry chooses a server by */
  guint generation; /* rises with each other kind */
  char **past_instances;
  Candidate candidate;
  guint instance_epoch; /* raised at begin and end of an instance, to spot outdated
                           answers */
  InstanceState state;
  guint64 sequence;
  guint64 token;
  guint64 clock_base;   /* added to the server's clock for a token */
  gint64 held_until_ms; /* held runs end then if no instance follows; 0: no bound */
  const char *held_reason;
  ReportKind held_kind; /* that held runs end as */
  guint fenced; /* calls refused for their token since the last that was carried out */
  guint64 ends_seen;
  PeerClock clock;
  gint64 server_lease_until; /* server's clock, ms: the end of the longest lease sent */
  gint64 lease_sent_ms;
  gint64 extended_ms; /* when a call that extends the lease was last sent */
  gint64 listed_ms;   /* when a poll was last sent or a list of runs received */
  guint unanswered;   /* calls since the last answer */
  double call_ms;     /* mean answer time */
  gint64 now_ms;      /* of the call that is being handled */
  Demand capacity;
  ServerHealth server_health;
  ServerSpeed server_speed;
  gboolean server_draining;
  gint64 left_ms;         /* when it said that it ends; 0: it did not */
  Leaving leaving;        /* of this instance */
  gboolean was_accepting; /* while leaving, at the last tick */
  gint64 cold_until_ms;   /* just started: by its report it runs slower until then */
  gboolean cold;          /* at the last runner_check_cold () */
  gint64 cold_changed_ms; /* when cold last changed; 0: never */
  double other_slowness;  /* kept for the other state: warm while cold, and the reverse */
  gboolean draining;      /* the agent */
  gboolean zone_closed;
  LongPolls long_polls;
  gboolean reconciling;     /* a reconciling call is under way */
  guint reconcile_failures; /* such calls in a row that were not carried out */
};

/* runner.c */

/** runner_leaving_refusal - Return: NULL, or why the server accepts no start of a run
 * that takes @expected_ms because it leaves. */
const char *runner_leaving_refusal (const Runner *runner, guint expected_ms);
Run *runner_find (const Runner *runner, const RunKey *key);

/** runner_stop_all - stop all runs, for @reason. */
void runner_stop_all (Runner *runner, const char *reason);

/** runner_server_lease_is_over - the last lease sent to the server has expired, with
 * all runs under it. */
gboolean runner_server_lease_is_over (const Runner *runner);

/** run_end - end and report the run. If its server has crashed and never answered the
 * start, that may have come too late: the report is REPORT_SERVER_SILENT then. */
void run_end (Runner *runner, Run *run, ReportKind kind, const char *reason);
void runner_lose_all (Runner *runner, ReportKind kind, const char *reason);

/** runner_server_is_unresponsive - whether several calls in a row got no answer. */
gboolean runner_server_is_unresponsive (const Runner *runner);

/* runner_progress.c */

/** run_update_health - count an ended run in the server's health. */
void run_update_health (Runner *runner, Run *run, gboolean failed);

/** runner_take_progress - evaluate the progress of the running tasks that are listed. */
void runner_take_progress (Runner *runner, const CallReply *reply);

/* runner_instance.c */
void runner_set_state (Runner *runner, InstanceState state);

/** runner_take_facts - take a report of the present instance, or of one that is certain
 * to have replaced it. */
void runner_take_facts (Runner *runner, const ServerFacts *facts);

/** runner_remember_instance - ignore further reports of @instance, which is taken over.
 */
void runner_remember_instance (Runner *runner, char *instance);

/** runner_clock_token - Return: the fencing token for @server_ms on the server's clock;
 * above all that were drawn from it before, also by other agents and, if the server says
 * when it started, of its earlier instances.
 */
guint64 runner_clock_token (const Runner *runner, gint64 server_ms);

/** runner_check_leaving - tell the entries what a leaving server accepts as that counts
 * down. */
void runner_check_leaving (Runner *runner);

/** runner_check_cold - update whether the server is still slow from its start. */
void runner_check_cold (Runner *runner);

/** runner_replaced - another instance with a name of its own is there instead. */
void runner_replaced (Runner *runner);

/** runner_resolve_silent - it is known what became of a server that was silent: the runs
 * that were lost to it are reported again, as @kind. */
void runner_resolve_silent (Runner *runner, ReportKind kind, const char *reason);

/** runner_check_left - forget an instance that has left once its runs are over. */
void runner_check_left (Runner *runner);

/** runner_restarted - another instance answers to the name of this one. What it may have
 * been ordered in place of this one is held until it is cleared. */
void runner_restarted (Runner *runner);

/** runner_lose_silent - the server was silent for its lease, and has surely ended what
 * ran. If it may restart under its name, a start under way is held until the server has
 * listed its runs, LATE_CALL_MS at most: a server that has restarted under its name would
 * still carry it out. */
void runner_lose_silent (Runner *runner);

/** runner_release_held - the server is certain to run none of the held runs. */
void runner_release_held (Runner *runner);

/** runner_check_held - release them if no instance has followed the one that left. */
void runner_check_held (Runner *runner);

/* runner_candidate.c */

/** runner_set_candidate - ask the server whether it is the reporting instance; its report
 * is taken once it says so. */
void runner_set_candidate (Runner *runner, const ServerFacts *facts);

/** runner_check_candidate - ask again if there was no answer. */
void runner_check_candidate (Runner *runner);
void runner_drop_candidate (Runner *runner);

/* runner_calls.c */
void runner_send_start (Runner *runner, Run *run);
void runner_send_stop (Runner *runner, const RunKey *key);

/** runner_open_long_polls - open long polls until as many as needed are open. */
void runner_open_long_polls (Runner *runner);

/** runner_send_poll - renew the server's lease and list its runs, without waiting. */
void runner_send_poll (Runner *runner);

/** runner_must_reconcile - whether any start is unresolved. */
gboolean runner_must_reconcile (const Runner *runner);

/** runner_send_reconcile - raise the fencing token if a start is unresolved, then list
 * the runs: a start that is not listed then never runs. */
void runner_send_reconcile (Runner *runner);
