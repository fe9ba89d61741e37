#pragma once
/* Private to the dispatcher. dispatcher.c: jobs; dispatcher_servers.c: servers and their
 * reports; dispatcher_crashes.c: servers that crashed under a task, or may have;
 * dispatcher_order.c: order and refusal; dispatcher_place.c: placement;
 * dispatcher_costs.c: choice among servers; dispatcher_stragglers.c: restart of slow
 * runs; dispatcher_requests.c: resource requests. */
#include "arrivals.h"
#include "dispatcher.h"
#include "relative_speed.h"
#include "runtimes.h"
#include "throttle.h"

#include <sys/queue.h>

typedef enum
{
  TASK_WAITING,
  TASK_PLACED, /* ordered, perhaps running */
  TASK_ENDED,
} TaskState;

/* A task is not started again once this many servers crashed while they ran it, the last
 * one while it ran there alone. */
#define SERVERS_ENDED_MAX 3

/* A run that was lost to the silence of its server, which may have crashed. */
typedef struct
{
  guint run;
  guint64 agent;
  gint64 lost_ms;
} SilentRun;

typedef struct LeasedTask
{
  TAILQ_ENTRY (LeasedTask) on_server; /* while placed */
  LeasedJob *job;
  guint index;
  guint run; /* number of its last run, from 1 */
  guint failures;
  guint servers_ended; /* servers that crashed while they ran it */
  guint n_silent;
  SilentRun silent[SERVERS_ENDED_MAX]; /* oldest first */
  Demand reserved;                     /* on its server, while placed */
  LeasedServer *avoid;                 /* where it last failed or straggled */
  gint64 waiting_since_ms;
  TaskState state;
  LeasedServer *server;
  gint64 placed_ms;
  gint64 started_ms; /* 0: not reported yet */
  gboolean ordered;  /* the order for this run has been sent */
  gboolean stopping;
} LeasedTask;

struct LeasedJob
{
  TAILQ_ENTRY (LeasedJob) link;
  Dispatcher *dispatcher;
  LeasedSpec spec; /* owns its strings */
  LeasedDone done;
  gpointer ctx;
  LeasedTask *tasks;
  guint waiting;
  guint placed;
  guint ended;
  gboolean started;         /* one of its runs began, or may have */
  gboolean answered_before; /* completed less than RECENT_JOB_MS before it was queued */
  gboolean closed; /* answered or cancelled, but perhaps with runs still being stopped */
  double task_ms;  /* expected run time of one task */
  double seen_ms;  /* longest run time of its tasks so far */
  gint64 objective_ms;
  gint64 late_ms;      /* useless to its caller after this */
  gint64 begun_ms;     /* when its first task was placed; 0: none was */
  double typical_work; /* of a job of its queue, in ms x thousandths of a core */
  double rank;         /* lowest first */
  double fast_factor; /* run time on the fastest of its servers, over task_ms; 0: unset */
};

struct LeasedServer
{
  TAILQ_ENTRY (LeasedServer) link;
  Dispatcher *dispatcher;
  guint64 agent;
  char *name;
  gpointer user_data;        /* NULL while its agent is not linked */
  gint64 unlinked_ms;        /* when it was last unlinked */
  gboolean waits_for_starts; /* its leases are over, but late starts may come */
  ServerStatus status;
  PeerClock clock;
  gint64 lease_until;      /* agent's clock */
  gint64 backoff_until_ms; /* nothing is placed before this */
  gint64 full_until_ms;    /* taken to be full before this, unless offered */
  guint delay_ms;          /* of frames sent to its agent */
  double relative_time;    /* its run time over that of the median server */
  Throttle request_throttle;
  gint64 requested_ms;   /* when the last resource request was sent */
  double requested_rank; /* of the job in that request */
  Demand placed;
  guint n_placed;
  TAILQ_HEAD (, LeasedTask) tasks;
  gboolean is_successor;   /* known to be the last agent of its name, and ready */
  gboolean inventoried;    /* its inventory has arrived over this link */
  gboolean closed;         /* its availability zone is closed */
  gboolean leaves;         /* it drains, and has said until when it accepts runs */
  gint64 leaving_until_ms; /* it accepts runs that end before; 0: none */
};

/* A job that completed less than RECENT_JOB_MS ago: its caller may not have received the
 * answer and submit it again. */
typedef struct RecentJob
{
  TAILQ_ENTRY (RecentJob) link;
  char *id;
  gint64 ended_ms;
} RecentJob;

struct Dispatcher
{
  DispatcherInit init;
  const DispatcherOps *ops;
  gpointer ctx;
  TAILQ_HEAD (, LeasedJob) jobs;
  TAILQ_HEAD (, LeasedServer) servers;
  TAILQ_HEAD (, RecentJob) recent;
  GHashTable *by_id;   /* id -> LeasedJob that is not closed */
  GHashTable *closing; /* id -> number of runs still being stopped */
  GHashTable *recent_ids;
  GHashTable *runtimes; /* queue -> Runtimes */
  guint n_jobs;
  guint n_waiting;    /* tasks */
  gboolean trust_all; /* too many servers are distrusted: the fault is in the tasks */
  gboolean link_congested;      /* the entry's own link */
  guint n_open;                 /* servers that take orders */
  gboolean has_offers;          /* a server has reported an offer that may be open */
  double wait_ms;               /* estimated wait of a task for free capacity */
  GPtrArray *ordered;           /* waiting jobs by rank, during dispatcher_pump () */
  GPtrArray *candidate_servers; /* that may take a task of these jobs */
  GHashTable *fast_factors;     /* set of jobs; used during one placement */
  Arrivals arrivals;
  double used_here; /* thousandths of a core of own runs, decaying by SHARE_DECAY_MS */
  double used_by_all;
  gint64 share_ms;        /* when these were last updated */
  guint n_closed;         /* linked servers in closed availability zones */
  gint64 linked_ms;       /* when a server was last linked */
  gboolean arrived;       /* a job has, since dispatcher_shed_load () */
  gboolean sees_all_load; /* the load of all entries is known, and decided by */
  double median_slowness; /* of the servers that take orders, at least 1 */
  RelativeSpread speeds;  /* of the servers that take orders */
  double free_part;       /* of the capacity of the servers that take orders */
  gint64 end_ms;          /* all jobs are answered by then; 0: no limit */
  gint64 now_ms;
};

/* dispatcher.c */
void job_answer (LeasedJob *job, LeasedEnd end, const char *reason, guint retry_after_ms);
void job_free_if_done (LeasedJob *job);
Runtimes *dispatcher_runtimes (Dispatcher *dispatcher, const char *queue);

/** job_shape - the run times of the job's queue, if enough are known for their
 * distribution to count; else NULL.
 */
const Runtimes *job_shape (const LeasedJob *job);

/** job_observe_run - one of the job's tasks takes @run_ms or longer on a server of usual
 * speed.
 */
void job_observe_run (LeasedJob *job, double run_ms);

/* Share of a queue's runs that are usual, however long. */
#define USUAL_QUANTILE 0.99

/* A job has its full value up to its objective, a small part of it up to this many times
 * the objective, later none. */
#define LATE_FACTOR 3

/* dispatcher_servers.c */
void task_detach (LeasedTask *task);
void task_stop (LeasedTask *task);

/** task_requeue - a run of the task has ended, or never began: it waits again. */
void task_requeue (LeasedTask *task);
void dispatcher_check_servers (Dispatcher *dispatcher);

/** dispatcher_follow_runs - observe how long the tasks that run have run so far. */
void dispatcher_follow_runs (Dispatcher *dispatcher);

/* dispatcher_crashes.c */

/** task_server_ended - the server that ran the task has crashed. */
void task_server_ended (LeasedTask *task, const char *reason);

/** task_server_silent - the server that ran the task did not answer for its lease. */
void task_server_silent (LeasedTask *task);

/** task_suspicion - number of servers that crashed under the task, or may have. */
guint task_suspicion (const LeasedTask *task);

/** dispatcher_late_report - what became of a server, or of a run of it, is reported after
 * that run was given up. */
void dispatcher_late_report (const LeasedServer *server, const TaskReport *report);

/* dispatcher_order.c */

/* Added to the rank of a job that is infeasible: it goes after all others. */
#define RANK_INFEASIBLE 1e15

/** dispatcher_order - the waiting jobs, lowest rank first. Return: to be freed. */
GPtrArray *dispatcher_order (Dispatcher *dispatcher);

/** dispatcher_wait_ms - estimated time in ms to finish all jobs here. */
guint dispatcher_wait_ms (const Dispatcher *dispatcher);

/** dispatcher_refuse_infeasible - end jobs that would be useless even if started now. */
void dispatcher_refuse_infeasible (Dispatcher *dispatcher);

/** dispatcher_refuse_zone_closed - end jobs that only servers in closed availability
 * zones could run.
 */
void dispatcher_refuse_zone_closed (Dispatcher *dispatcher);

/** dispatcher_observe_arrival - count a newly queued job. */
void dispatcher_observe_arrival (LeasedJob *job);

/** dispatcher_update_share - update this entry's share of the servers' capacity. */
void dispatcher_update_share (Dispatcher *dispatcher);

/** dispatcher_update_speeds - update the servers' relative run times. */
void dispatcher_update_speeds (Dispatcher *dispatcher);

/** dispatcher_shed_load - refuse jobs to which the work ahead leaves too little time. */
void dispatcher_shed_load (Dispatcher *dispatcher);

/* dispatcher_place.c */

/* After this many servers crashed while they ran a task, or may have, it runs alone on
 * the next one. */
#define SERVERS_ENDED_ISOLATE (SERVERS_ENDED_MAX - 1)

gboolean server_has_label (const LeasedServer *server, const char *label);

/** server_may_run - whether it is of the kind that @job needs, and its agent reads the
 * job's orders. */
gboolean server_may_run (const LeasedServer *server, const LeasedJob *job);

/** server_is_open - it takes orders, if it has free capacity. */
gboolean server_is_open (const LeasedServer *server);

/** server_is_trusted - its trust level allows another run. */
gboolean server_is_trusted (const LeasedServer *server);

/** server_note_no_room - its agent refused a start, for lack of free capacity. */
void server_note_no_room (LeasedServer *server);

/** dispatcher_update_server_stats - update what placement derives from all servers. */
void dispatcher_update_server_stats (Dispatcher *dispatcher);

/** dispatcher_server_elsewhere - the server that a new run of a placed @task would get
 * now; NULL: none.
 */
LeasedServer *dispatcher_server_elsewhere (LeasedTask *task);

/* dispatcher_costs.c */

/* Run times up to this factor are within the variation between tasks. */
#define SLOWNESS_NORMAL 1.6

/** server_slowness - its deviation from its own speed, over that of the median server; 1
 * up to SLOWNESS_NORMAL.
 */
double server_slowness (const LeasedServer *server);

/** fast_factors_new - set of jobs with a known fast_factor, one for each choice of
 * servers.
 */
GHashTable *fast_factors_new (void);

/** server_ends_in_time - whether a task of @job that starts there now meets the
 * objective.
 */
gboolean server_ends_in_time (const LeasedServer *server, const LeasedJob *job);

/** server_lost_ms - run time that a task loses there against one that it could wait for.
 */
double server_lost_ms (const LeasedServer *server, LeasedJob *job);

/** dispatcher_saves_fast_servers - whether tasks that can end in time on slower servers
 * leave the faster ones free.
 */
gboolean dispatcher_saves_fast_servers (const Dispatcher *dispatcher);

/** server_cost - for the choice among servers: in expected run times of @job. */
double server_cost (const LeasedServer *server, const LeasedJob *job);

/* dispatcher_stragglers.c */

/** dispatcher_handle_straggler - stop a slow run if it ends sooner on another server. */
void dispatcher_handle_straggler (LeasedTask *task, const TaskReport *report);

/* dispatcher_requests.c */

/** dispatcher_resource_request - for the first job that still waits during placement. */
ResourceRequest dispatcher_resource_request (const Dispatcher *dispatcher);

/** server_note_resource_request - record that @request is sent to its agent. */
void server_note_resource_request (LeasedServer *server, const ResourceRequest *request);

/** server_is_offered_for_better - it is reserved for a job of clearly lower rank than
 * @rank.
 */
gboolean server_is_offered_for_better (const LeasedServer *server, double rank);

/** dispatcher_send_resource_requests - request capacity for @jobs, lowest rank first. */
void dispatcher_send_resource_requests (Dispatcher *dispatcher, GPtrArray *jobs);

/** dispatcher_decline_offers - nothing waits: release what is reserved for this entry. */
void dispatcher_decline_offers (Dispatcher *dispatcher);
