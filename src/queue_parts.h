#pragma once
/* Internals of the queue. queue.c orders and picks, queue_estimate.c estimates when a new
 * job would finish. */
#include "queue.h"

#include <sys/queue.h>

/* Work is summed in classes of job size, by powers of two. */
#define WORK_CLASSES 32

/* Work of one team by class: what waits, and the arrival rate (decaying average). */
typedef struct
{
  double waiting_ms[WORK_CLASSES];
  double rate[WORK_CLASSES]; /* ms of work per ms */
  gint64 decayed_ms;         /* when the rates were last decayed */
} TeamWork;

typedef struct QueueTeam
{
  TAILQ_ENTRY (QueueTeam) link; /* of the active teams, if listed */
  char *name;
  GSequence *jobs; /* QueueJob with waiting tasks, in order of start */
  QueueJob *first; /* of jobs, NULL if none */
  TeamShare share; /* as of its listing or the last queue_reconfigure () */
  TeamWork work;
  double demand;      /* in slots; used during an estimate */
  gboolean satisfied; /* its demand is within its share; likewise */
  guint waiting;
  guint running;
  gboolean listed; /* has waiting tasks */
} QueueTeam;

struct QueueJob
{
  LIST_ENTRY (QueueJob) link;
  QueueJobInit init;
  QueueTeam *team;
  GSequenceIter *place; /* in its team's jobs; NULL while nothing waits */
  GSequenceIter *due;   /* in the queue's deadlines; likewise */
  guint waiting;
  guint running;
  double order; /* key of the start order, the least first */
  guint work_class;
  double work_ms; /* of its waiting tasks, as counted in its class */
};

struct Queue
{
  const QueueOps *ops;
  gpointer ctx;
  double aging;
  GHashTable *teams;    /* name -> QueueTeam */
  double active_weight; /* of the listed teams */
  TAILQ_HEAD (, QueueTeam) active;
  LIST_HEAD (, QueueJob) all;
  GSequence *deadlines;
  guint waiting;
  guint running;
  guint jobs;
};

/* queue_estimate.c */
double queue_remaining_ms (const QueueJob *job);
void queue_count_work (QueueJob *job);
void queue_note_arrival (QueueTeam *team, const QueueJobInit *init);
