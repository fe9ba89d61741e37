#pragma once
/* The dispatcher of an entry's leased jobs: queues them, places their tasks on backend
 * servers, runs lost tasks again and tells how each job ended. No I/O of its own:
 * messages and the time are handed in. */
#include "closed_zones.h"
#include "lease.h"
#include "resource_request.h"
#include "server_calls.h"
#include "server_health.h"

typedef struct Dispatcher Dispatcher;
typedef struct LeasedJob LeasedJob;
typedef struct LeasedServer LeasedServer;

/* What a caller asks for. Texts are copied. */
typedef struct
{
  const char *id; /* the caller's */
  const char *queue;
  const char *service;
  const char *payload;
  const char *label; /* a backend server must carry it; empty: any */
  const char *rack;  /* where its data is; empty: anywhere */
  guint priority;    /* 0 first */
  guint max_attempts;
  guint count; /* tasks */
  guint declared_ms;
  guint most_per_server; /* 0: no limit */
  guint target_ms;
  double stretch;
  Demand demand;      /* of one task */
  gint64 arrived_ms;  /* own clock */
  gint64 deadline_ms; /* own clock: the caller leaves */
} LeasedSpec;

typedef enum
{
  LEASED_COMPLETED,
  LEASED_FAILED,
  LEASED_REFUSED,  /* proved: nothing of it ran */
  LEASED_GIVEN_UP, /* some of it ran */
} LeasedEnd;

typedef struct
{
  LeasedEnd end;
  const char *reason;
  guint retry_after_ms;
} LeasedResult;

/** LeasedDone - the final word on a job, once, never before dispatcher_submit ()
 * returned.
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
  gboolean closed;  /* its availability zone is, as its agent knows */
  gboolean offered; /* its room is kept for what was last asked for here */
  Trust trust;
  guint slowness_percent; /* run times against the expected ones */
  guint failing_percent;  /* of the last runs */
} ServerStatus;

typedef struct
{
  /* Ask a server's agent to start runs of one job. @wish: what still waits here. */
  void (*order) (LeasedServer *server,
                 const LeasedSpec *spec,
                 const RunKey *runs,
                 gsize n_runs,
                 guint expected_ms,
                 const ResourceRequest *wish,
                 gint64 valid_until_ms,
                 gpointer ctx);
  /* There was no room for what waits: ask a server's agent to offer some. */
  void (*want) (LeasedServer *server, const ResourceRequest *wish, gpointer ctx);
  void (*stop) (LeasedServer *server, const RunKey *run, gpointer ctx);
  /* The tasks wait for a turn of dispatcher_pump (). */
  void (*pump) (gpointer ctx);
} DispatcherOps;

typedef struct
{
  guint server_lease_ms; /* a backend server lets runs go on so long without its agent */
  const ClosedZones *closures; /* the owner's, read only; NULL: no zone is ever closed */
} DispatcherInit;

Dispatcher *
dispatcher_new (const DispatcherInit *init, const DispatcherOps *ops, gpointer ctx);
void dispatcher_free (Dispatcher *dispatcher);

/** dispatcher_server_up - the agent of a server is linked (again). @owner: for the ops.
 */
LeasedServer *dispatcher_server_up (Dispatcher *dispatcher,
                                    guint64 agent,
                                    const char *name,
                                    gpointer owner);
void dispatcher_server_down (LeasedServer *server, gint64 now_ms);
gpointer leased_server_owner (const LeasedServer *server);

/** dispatcher_server_status - takes @status over. */
void dispatcher_server_status (LeasedServer *server, ServerStatus *status);
void server_status_free (ServerStatus *status);

/** dispatcher_server_clock - the agent told its time. */
void dispatcher_server_clock (LeasedServer *server, gint64 told_ms, gint64 now_ms);

/** dispatcher_server_late - so late what is sent to the agent comes there. */
void dispatcher_server_late (LeasedServer *server, guint late_ms, gint64 now_ms);

/** dispatcher_server_granted - the agent may let runs go on until then (its clock). */
void dispatcher_server_granted (LeasedServer *server, gint64 until_ms);

/** dispatcher_zones_changed - an availability zone was closed or opened. */
void dispatcher_zones_changed (Dispatcher *dispatcher);

/** dispatcher_servers - servers that are linked and ready. */
guint dispatcher_servers (const Dispatcher *dispatcher);

typedef enum
{
  TASK_STARTED,
  TASK_NOT_STARTED,
  TASK_DONE,
  TASK_FAILED,
  TASK_LOST,
  TASK_STRAGGLES,
  TASK_SERVER_ENDED, /* or fell silent, under it */
} TaskEvent;

typedef struct
{
  RunKey key;
  TaskEvent event;
  const char *reason;
  guint remaining_ms; /* of a straggler */
  guint elsewhere_ms; /* what it would take on another server */
  guint run_ms;       /* of one that is done */
} TaskReport;

/**
 * dispatcher_reports - an agent reports on runs.
 * @inventory: what is not among them and was ordered before does not run there and never
 * will.
 */
void dispatcher_reports (LeasedServer *server,
                         const TaskReport *reports,
                         gsize n,
                         gboolean inventory,
                         gint64 now_ms);

/**
 * dispatcher_submit - queue a job.
 *
 * A job with the id of one that is under way takes its place: the caller came back over
 * another connection, and the first one is told that it was given up.
 */
LeasedJob *dispatcher_submit (Dispatcher *dispatcher,
                              const LeasedSpec *spec,
                              LeasedDone done,
                              gpointer ctx,
                              gint64 now_ms);

/** dispatcher_cancel - the caller has gone: stop it, no answer follows. */
void dispatcher_cancel (LeasedJob *job, gint64 now_ms);

/** dispatcher_pump - place what can be placed. */
void dispatcher_pump (Dispatcher *dispatcher, gint64 now_ms);

/** dispatcher_tick - call it every DISPATCHER_TICK_MS. */
void dispatcher_tick (Dispatcher *dispatcher, gint64 now_ms);
#define DISPATCHER_TICK_MS 20

/** dispatcher_jobs - jobs that are not answered yet or have runs to be stopped. */
guint dispatcher_jobs (const Dispatcher *dispatcher);
guint dispatcher_waiting (const Dispatcher *dispatcher);
