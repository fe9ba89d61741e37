#pragma once
/* The dispatcher of an entry's leased jobs: queues them, places their tasks on backend
 * servers, reruns lost tasks and reports each job's result. Does no I/O: messages and the
 * time are passed in. */
#include "closed_zones.h"
#include "load_view.h"
#include "orders.h"
#include "peer_clock.h"
#include "resource_request.h"
#include "server_calls.h"
#include "server_health.h"

typedef struct Dispatcher Dispatcher;
typedef struct LeasedJob LeasedJob;
typedef struct LeasedServer LeasedServer;

/* A job as its caller submits it. Strings are copied. */
typedef struct
{
  const char *id; /* the caller's */
  const char *queue;
  const char *service;
  const char *payload;
  const char *label;          /* required of the backend server; empty: any */
  const char *rack;           /* label of the servers near its data; empty: any */
  OrderVersion order_version; /* the least that an agent must understand */
  guint priority;             /* 0 is the highest */
  guint max_attempts;
  guint count;           /* tasks */
  guint declared_ms;     /* run time of one task */
  guint most_per_server; /* tasks on one server; 0: no limit */
  guint target_ms;       /* latency objective: this + stretch * run time */
  double stretch;
  Demand demand;      /* of one task */
  gint64 arrived_ms;  /* own clock */
  gint64 deadline_ms; /* own clock: the caller stops waiting */
} LeasedSpec;

typedef enum
{
  LEASED_COMPLETED,
  LEASED_FAILED,
  LEASED_REFUSED,  /* certain that no task ran */
  LEASED_GIVEN_UP, /* a task ran, or may have */
} LeasedEnd;

typedef struct
{
  LeasedEnd end;
  const char *reason;
  guint retry_after_ms;
} LeasedResult;

/** LeasedDone - reports a job's final result: once, and only after dispatcher_submit ()
 * has returned.
 */
typedef void (*LeasedDone) (const LeasedResult *result, gpointer ctx);

typedef struct
{
  char *instance;
  char *service;
  char *zone;
  char **labels; /* NULL-terminated */
  Demand capacity;
  Demand used_by_others;
  gboolean ready;
  gboolean draining;
  gboolean closed;  /* its agent knows that its availability zone is closed */
  gboolean offered; /* reserved for this entry's last resource request */
  Trust trust;
  guint slowness_percent; /* run times relative to the expected ones */
  guint speed_percent;    /* the same, lasting; see server_speed.h */
  guint speed_runs;       /* that speed_percent is based on; 0: not known */
  guint leaving_ms;       /* it leaves, but takes runs that end within this; 0: none */
  guint failing_percent;  /* of the last runs */
  guint restart_lease_ms; /* see runner_restart_lease_ms () */
  guint order_version;    /* that its agent understands */
  guint generation;       /* see runner_generation () */
} ServerStatus;

typedef struct
{
  /* Asks the server's agent to start runs of one job. @request: what still waits here.
   * @valid_until_ms: agent's clock. */
  void (*order) (LeasedServer *server,
                 const LeasedSpec *spec,
                 const RunKey *runs,
                 gsize n_runs,
                 guint expected_ms,
                 const ResourceRequest *request,
                 gint64 valid_until_ms,
                 gpointer ctx);
  /* Asks the server's agent to offer free capacity; a @request of 0 tasks declines. */
  void (*request_resources) (LeasedServer *server,
                             const ResourceRequest *request,
                             gpointer ctx);
  void (*stop) (LeasedServer *server, const RunKey *run, gpointer ctx);
  /* Schedules a call of dispatcher_pump (). */
  void (*pump) (gpointer ctx);
} DispatcherOps;

typedef struct
{
  guint server_lease_ms; /* how long a backend server lets runs go on without its agent */
  const ClosedZones *closures; /* borrowed; NULL: no zone is ever closed */
  guint speed_runs;            /* after which a server's own speed counts; 0: never */
  double far_factor; /* run time away from a job's data over that near it; 0: 1.5 */
  const LoadView *load_view; /* borrowed; NULL: the load of other entries is not known */
  gboolean run_shapes; /* the distribution of run times counts, not their mean alone */
} DispatcherInit;

Dispatcher *
dispatcher_new (const DispatcherInit *init, const DispatcherOps *ops, gpointer ctx);
void dispatcher_free (Dispatcher *dispatcher);

/** dispatcher_server_up - the agent of a server is linked, for the first time or again.
 * @user_data: not NULL; for leased_server_user_data ().
 */
LeasedServer *dispatcher_server_up (Dispatcher *dispatcher,
                                    guint64 agent,
                                    const char *name,
                                    gpointer user_data);
void dispatcher_server_down (LeasedServer *server, gint64 now_ms);
gpointer leased_server_user_data (const LeasedServer *server);

/** leased_server_status - its last reported state; all 0 if there was none. */
const ServerStatus *leased_server_status (const LeasedServer *server);

/** dispatcher_server_status - the agent reports its server's state; takes @status. */
void dispatcher_server_status (LeasedServer *server, ServerStatus *status);
void server_status_free (ServerStatus *status);

/** dispatcher_server_clock - the agent's clock showed @peer_ms when it sent. */
void dispatcher_server_clock (LeasedServer *server, gint64 peer_ms, gint64 now_ms);

/** dispatcher_server_delay - frames sent to the agent are delayed by @delay_ms. */
void dispatcher_server_delay (LeasedServer *server, guint delay_ms, gint64 now_ms);

/** dispatcher_server_lease_extended - the agent may let runs go on until @until_ms, by
 * its own clock.
 */
void dispatcher_server_lease_extended (LeasedServer *server, gint64 until_ms);

/** dispatcher_zones_changed - an availability zone was closed or opened. */
void dispatcher_zones_changed (Dispatcher *dispatcher);

/** dispatcher_servers - number of servers that are linked and ready. */
guint dispatcher_servers (const Dispatcher *dispatcher);

typedef enum
{
  TASK_STARTED,
  TASK_NOT_STARTED,
  TASK_DONE,
  TASK_FAILED,
  TASK_LOST,
  TASK_STRAGGLES,
  TASK_SERVER_ENDED,  /* its server crashed; also follows TASK_SERVER_SILENT */
  TASK_SERVER_SILENT, /* lost, as its server did not answer; TASK_LOST follows if that
                         server has not crashed */
} TaskEvent;

typedef struct
{
  RunKey key;
  TaskEvent event;
  const char *reason;
  guint remaining_ms; /* TASK_STRAGGLES: expected, where it runs */
  guint elsewhere_ms; /* TASK_STRAGGLES: expected, anew on another server */
  guint run_ms;       /* TASK_DONE */
} TaskReport;

/**
 * dispatcher_reports - an agent reports on runs.
 * @inventory: @reports is complete: an earlier order that is not listed does not run
 * there and never will.
 */
void dispatcher_reports (LeasedServer *server,
                         const TaskReport *reports,
                         gsize n,
                         gboolean inventory,
                         gint64 now_ms);

/**
 * dispatcher_submit - queue a job.
 *
 * If a job with this id is under way, its caller has reconnected: no second job is
 * created, the first @done is called with LEASED_GIVEN_UP and the new one replaces it.
 */
LeasedJob *dispatcher_submit (Dispatcher *dispatcher,
                              const LeasedSpec *spec,
                              LeasedDone done,
                              gpointer ctx,
                              gint64 now_ms);

/**
 * dispatcher_room_ms - when there will be memory for the job.
 * Return: 0 if there is now, else an estimate in ms: the job must be refused.
 */
guint dispatcher_room_ms (Dispatcher *dispatcher, const LeasedSpec *spec, gint64 now_ms);

/** dispatcher_cancel - the caller disconnected: stop the job, do not call LeasedDone. */
void dispatcher_cancel (LeasedJob *job, gint64 now_ms);

/**
 * dispatcher_cancel_id - stop a job by request; LeasedDone is called with LEASED_FAILED.
 * Return: whether such a job of @queue was under way.
 */
gboolean dispatcher_cancel_id (Dispatcher *dispatcher,
                               const char *queue,
                               const char *id,
                               gint64 now_ms);

/**
 * dispatcher_set_end - this process exits: every job, open or submitted later, is
 * answered by @end_ms. One that cannot end before is refused at once.
 */
void dispatcher_set_end (Dispatcher *dispatcher, gint64 end_ms);

typedef gboolean (*DispatcherHasQueue) (const char *queue, gpointer ctx);

/** dispatcher_keep_queues - drop the run times learned of queues for which @has_queue
 * returns FALSE; call when the configuration changes.
 */
void dispatcher_keep_queues (Dispatcher *dispatcher,
                             DispatcherHasQueue has_queue,
                             gpointer ctx);

/** dispatcher_pump - place the waiting tasks that fit. */
void dispatcher_pump (Dispatcher *dispatcher, gint64 now_ms);

/** dispatcher_tick - expire, refuse and place jobs; call every DISPATCHER_TICK_MS. */
void dispatcher_tick (Dispatcher *dispatcher, gint64 now_ms);
#define DISPATCHER_TICK_MS 20

/** dispatcher_jobs - number of jobs without a result or with runs still being stopped. */
guint dispatcher_jobs (const Dispatcher *dispatcher);

/** dispatcher_load_summary - fill in what waits and arrives here, and the capacity used;
 * not the version and the interval. */
void dispatcher_load_summary (const Dispatcher *dispatcher, LoadSummary *summary);

/** dispatcher_waiting - number of waiting tasks. */
guint dispatcher_waiting (const Dispatcher *dispatcher);
