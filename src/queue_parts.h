#pragma once
/* What the parts of the queue share. queue.c orders and picks, queue_estimate.c tells how
 * long a job would take. */
#include "queue.h"

#include <sys/queue.h>

/* Work is summed in classes of one job's work, by powers of two. */
#define WORK_CLASSES 32

/* What one team asks for: what waits, and what has lately arrived. */
typedef struct
{
  double waiting_ms[WORK_CLASSES];
  double rate[WORK_CLASSES]; /* ms of work a ms */
  gint64 decayed_ms;         /* when the rates were last faded */
} TeamWork;

typedef struct QueueTeam
{
  TAILQ_ENTRY (QueueTeam) link; /* while tasks of it wait */
  char *name;
  GSequence *jobs; /* QueueJob with waiting tasks, first to start first */
  QueueJob *first; /* of jobs, NULL if none */
  TeamShare share; /* as asked when it was listed, or at queue_reconfigure () */
  TeamWork work;
  double demand;      /* slots it asks for, while an estimate is made */
  gboolean satisfied; /* it gets all of that */
  guint waiting;
  guint running;
  gboolean listed;
} QueueTeam;

struct QueueJob
{
  LIST_ENTRY (QueueJob) link;
  QueueJobInit init;
  QueueTeam *team;
  GSequenceIter *place; /* NULL while nothing waits */
  GSequenceIter *due;
  guint waiting;
  guint running;
  double order;
  guint work_class;
  double work_ms; /* of its waiting tasks, as summed in its class */
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
