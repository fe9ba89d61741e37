#pragma once
/* What the parts of the dispatcher share: dispatcher.c keeps jobs, dispatcher_servers.c
 * keeps servers and takes reports, dispatcher_order.c orders and refuses,
 * dispatcher_place.c places, dispatcher_wishes.c asks for room. */
#include "arrivals.h"
#include "dispatcher.h"
#include "runtimes.h"
#include "throttle.h"

#include <sys/queue.h>

typedef enum
{
  TASK_WAITS,
  TASK_PLACED, /* ordered, perhaps running */
  TASK_ENDED,
} TaskState;

typedef struct LeasedTask
{
  TAILQ_ENTRY (LeasedTask) on_server; /* while placed */
  LeasedJob *job;
  guint index;
  guint run; /* number of its last start */
  guint failures;
  guint servers_ended; /* under it */
  Demand taken;        /* of its server, while placed */
  LeasedServer *avoid; /* where it failed last */
  gint64 waits_ms;     /* since when it waits */
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
  LeasedSpec spec; /* with copies of the texts */
  LeasedDone done;
  gpointer ctx;
  LeasedTask *tasks;
  guint waiting;
  guint placed;
  guint ended;
  gboolean started; /* a run of it began, or may have */
  gboolean answered_before;
  gboolean closed; /* answered or cancelled: only runs that are being stopped are left */
  double task_ms;  /* expected run time of one task */
  gint64 objective_ms;
  gint64 late_ms;    /* no use to its caller after this */
  double usual_work; /* of a job of its queue, ms x thousandths of a core */
  double rank;
};

struct LeasedServer
{
  TAILQ_ENTRY (LeasedServer) link;
  Dispatcher *dispatcher;
  guint64 agent;
  char *name;
  gpointer owner; /* NULL while its agent is not linked */
  ServerStatus status;
  PeerClock clock;
  gint64 granted_until; /* agent's clock */
  gint64 hold_until_ms; /* nothing is placed before this time */
  guint late_ms;        /* so late orders come there */
  Throttle wish_pace;   /* of asking for room */
  gint64 wanted_ms;     /* when room was last asked for */
  double wanted_rank;   /* of the job that it was asked for */
  Demand placed;
  guint n_placed;
  TAILQ_HEAD (, LeasedTask) tasks;
  gboolean inventoried;
  gboolean closed; /* nothing starts in its availability zone */
};

/* A job that ended a short while ago, for a caller that did not get the answer. */
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
  guint n_waiting;      /* tasks */
  gboolean trust_all;   /* too many servers are distrusted: the fault is in the tasks */
  gboolean saves_bytes; /* the own link is full */
  guint n_open;         /* servers that take orders */
  double wait_ms;       /* about how long a task waits for room */
  GPtrArray *ordered;   /* jobs that wait, while they are placed */
  GPtrArray *roomy;     /* servers that may take one of them */
  Arrivals arrivals;
  double used_here; /* thousandths of a core that own runs take, lately */
  double used_by_all;
  gint64 share_ms;  /* when these were last brought up to date */
  guint n_closed;   /* linked servers in closed availability zones */
  gint64 linked_ms; /* when a server was last linked */
  gboolean arrived; /* a job, since admission was last decided */
  double usual;     /* slowness of the usual server */
  gint64 now_ms;
};

/* dispatcher.c */
void job_answer (LeasedJob *job, LeasedEnd end, const char *reason, guint retry_after_ms);
void job_release_if_over (LeasedJob *job);
Runtimes *dispatcher_runtimes (Dispatcher *dispatcher, const char *queue);

/* dispatcher_servers.c */
void task_detach (LeasedTask *task);
void task_stop (LeasedTask *task);
void dispatcher_check_servers (Dispatcher *dispatcher);

/* dispatcher_order.c */

/* Rank of a job that cannot be of use any more: after all others. */
#define RANK_NO_CHANCE 1e15

/** dispatcher_order - the jobs that wait, best first. Free the array. */
GPtrArray *dispatcher_order (Dispatcher *dispatcher);

/** dispatcher_wait_ms - until what waits here has been done, about. */
guint dispatcher_wait_ms (const Dispatcher *dispatcher);

/** dispatcher_refuse_hopeless - end what could not be of use even if it began now. */
void dispatcher_refuse_hopeless (Dispatcher *dispatcher);

/** dispatcher_refuse_closed_out - end what only servers in closed zones could run. */
void dispatcher_refuse_closed_out (Dispatcher *dispatcher);

/** dispatcher_note_arrival - a job has been queued. */
void dispatcher_note_arrival (LeasedJob *job);

/** dispatcher_note_share - learn what part of the servers this entry's jobs get. */
void dispatcher_note_share (Dispatcher *dispatcher);

/** dispatcher_refuse_crowded_out - end what the work before it leaves too little time. */
void dispatcher_refuse_crowded_out (Dispatcher *dispatcher);

/* dispatcher_place.c */

/* A task under which so many servers have ended runs alone on the next one. */
#define SERVERS_ENDED_ALONE 2

gboolean server_has_label (const LeasedServer *server, const char *label);

/** server_is_open - it takes orders, room aside. */
gboolean server_is_open (const LeasedServer *server);

/** server_is_trusted - one run at a time on one that has just failed or stood still. */
gboolean server_is_trusted (const LeasedServer *server);

/** dispatcher_straggler - decide whether a run is worth starting anew elsewhere. */
void dispatcher_straggler (LeasedTask *task, const TaskReport *report);

/* dispatcher_wishes.c */

/** dispatcher_wish - what waits besides the jobs that are being placed. */
ResourceRequest dispatcher_wish (const Dispatcher *dispatcher);

/** server_note_wish - its agent is being told. */
void server_note_wish (LeasedServer *server, const ResourceRequest *wish);

/** server_is_offered_for_better - its room is kept for something better than @rank. */
gboolean server_is_offered_for_better (const LeasedServer *server, double rank);

/** dispatcher_send_wishes - ask for room for @jobs, best first. */
void dispatcher_send_wishes (Dispatcher *dispatcher, GPtrArray *jobs);

/** dispatcher_decline_offers - nothing waits: room is kept here for nothing. */
void dispatcher_decline_offers (Dispatcher *dispatcher);
