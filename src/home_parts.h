#pragma once
/* Internals of the home. home.c keeps groups and jobs, home_grants.c takes grants,
 * home_dispatch.c places, home_outcomes.c ends tasks, home_owners.c handles slot owners
 * that are lost or reached again. */
#include "home.h"
#include "runtimes.h"

#include <sys/queue.h>

typedef struct HomeGroup HomeGroup;
typedef struct HomeJob HomeJob;

typedef enum
{
  TASK_WAITING,
  TASK_PLACED,
  TASK_ENDED,
} HomeTaskState;

typedef struct HomeTask
{
  TAILQ_ENTRY (HomeTask) waiting_entry;
  LIST_ENTRY (HomeTask) placed_entry;
  HomeJob *job;
  guint32 index;
  guint32 attempt;
  HomeTaskState state;
  guint unreachable; /* starts that did not reach the backend server */
  Backend *backend;
  guint64 fence_query; /* number of the fence query that is unanswered; 0: none */
  GBytes *payload;
  Gw__Outcome *outcome; /* until the holder acknowledges it */
  gboolean reported;
  gboolean started; /* has ended and may have run */
} HomeTask;

typedef struct
{
  JobKey job;
  guint32 grant;
} PartKey;

struct HomeJob
{
  LIST_ENTRY (HomeJob) link_entry;
  PartKey key;
  Home *home;
  HomeGroup *group;
  QueueJob *queue_job; /* NULL once nothing is left to queue */
  guint declared_ms;   /* run time of a task; 0: none declared */
  guint memory_mb;
  guint16 placements; /* so far; the low half of the last attempt number */
  gboolean suspended; /* out of the queue while its holder is unresponsive */
  gboolean set_aside; /* out of the queue for this round of dispatching */
  gboolean orphan;    /* its outcomes are no longer needed */
  gboolean finished;  /* acknowledged whole; freed with its last placed task */
  gint64 orphan_ms;
  gint64 reported_ms; /* when its outcomes were last sent; 0: not all have ended */
  guint waiting;
  guint placed;
  gsize unreported_bytes;
  GHashTable *tasks; /* index -> HomeTask */
  TAILQ_HEAD (, HomeTask) waiting_tasks;
};

struct HomeGroup
{
  Home *home;
  BackendGroup *backends;
  Queue *queue;
  Runtimes runtimes;
  gboolean dispatching;
  gboolean any_set_aside;
};

/* The tasks of one slot owner. */
typedef struct
{
  LIST_HEAD (, HomeTask) tasks;   /* placed */
  LIST_HEAD (, HomeTask) unacked; /* ended, not yet acknowledged to the slot owner */
} PlacedList;

struct Home
{
  HomeInit init;
  Backends *backends;
  const HomeOps *ops;
  gpointer ctx;
  GHashTable *groups; /* name -> HomeGroup */
  GHashTable *jobs;   /* PartKey -> HomeJob */
  GHashTable *placed; /* Backend -> PlacedList */
  LIST_HEAD (, HomeJob) job_list;
  guint64 last_query; /* number of the last fence query */
  guint open_tasks;
  gboolean leaving;
  gint64 swept_ms;
};

/* home.c */
HomeGroup *home_group_ensure (Home *home, const char *name);
PlacedList *home_placed_list (Home *home, Backend *backend);
HomeJob *home_job_lookup (Home *home, const JobKey *job, guint32 grant);
void home_job_leave_queue (HomeJob *job);
void home_job_free (HomeJob *job);

/* home_grants.c */
gboolean home_group_exists (const HomeGroup *group);

/* home_outcomes.c */
void home_report_task (HomeTask *task);
void home_report_all (HomeJob *job);
void home_unplace (HomeTask *task);
void home_requeue (HomeTask *task);
HomeTask *home_take_waiting (HomeJob *job);
void home_drop_waiting (HomeJob *job, Gw__Outcome__Reason reason, guint retry_after_s);
void home_job_orphan (HomeJob *job);
void home_resolve_ended (HomeJob *job);
void home_end_placed (HomeTask *task, Gw__Outcome *outcome);

/* home_dispatch.c */
void home_dispatch (HomeGroup *group);
void home_resume_jobs (Home *home);
