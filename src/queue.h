#pragma once
/* The home's queue of one group: least remaining work first, with aging, under weighted
 * shares of the teams. No I/O; the time is passed in. */
#include "jobid.h"

#include <glib.h>

typedef struct Queue Queue;
typedef struct QueueJob QueueJob;

typedef struct
{
  double weight;
  guint max_running; /* 0: no cap */
} TeamShare;

typedef struct
{
  /* Weight and cap of a team. */
  TeamShare (*team_share) (const char *team, gpointer ctx);
} QueueOps;

typedef struct
{
  JobKey key;
  guint32 grant;
  const char *team;
  double task_ms;     /* expected run time of one task */
  guint job_tasks;    /* tasks of the whole job that have not ended */
  gint64 arrived_ms;  /* at its holder; aging counts from here */
  gint64 deadline_ms; /* on the lease clock */
  gpointer data;      /* user data */
} QueueJobInit;

/** queue_new - @aging: ms of remaining work that one ms of waiting offsets. */
Queue *queue_new (const QueueOps *ops, gpointer ctx, double aging);
void queue_free (Queue *queue);

QueueJob *queue_add (Queue *queue, const QueueJobInit *init);

/** queue_remove - free the job, with its waiting and running tasks. */
void queue_remove (Queue *queue, QueueJob *job);

/** queue_push - @tasks more of the job wait to be placed. */
void queue_push (Queue *queue, QueueJob *job, guint tasks);

/** queue_drop - @tasks waiting tasks of the job will never start here. */
void queue_drop (Queue *queue, QueueJob *job, guint tasks);

/** queue_withdraw - take @tasks waiting tasks out until they are pushed again. */
void queue_withdraw (Queue *queue, QueueJob *job, guint tasks);

/**
 * queue_pick - choose the job whose task starts next, and count that task as running.
 * @slots: all slots of the group, which the teams share.
 * Return: NULL if nothing waits, or only teams at their cap.
 */
QueueJob *queue_pick (Queue *queue, guint slots);

/** queue_release - a picked task no longer runs: it has ended or, with @requeue, waits
 * again. */
void queue_release (Queue *queue, QueueJob *job, gboolean requeue);

/** queue_reconfigure - the aging, or the teams' weights and caps, may have changed. */
void queue_reconfigure (Queue *queue, double aging);

/** queue_expired - a waiting job past its deadline, or NULL. */
QueueJob *queue_expired (Queue *queue, gint64 now_ms);

gpointer queue_job_data (const QueueJob *job);
guint queue_job_waiting (const QueueJob *job);
const JobKey *queue_job_key (const QueueJob *job);
guint32 queue_job_grant (const QueueJob *job);
const char *queue_job_team (const QueueJob *job);

guint queue_waiting (const Queue *queue);
guint queue_running (const Queue *queue);
guint queue_jobs (const Queue *queue);

/**
 * queue_expected_finish - when a new job's last task would end, in ms from now.
 * @work_ms: the new job's expected run time, summed over its tasks.
 * @task_ms: the expected run time of one of its tasks.
 * @slots: all slots of the group.
 */
double queue_expected_finish (Queue *queue,
                              const char *team,
                              double work_ms,
                              double task_ms,
                              guint slots,
                              gint64 now_ms);

guint queue_team_running (const Queue *queue, const char *team);
void queue_each_team (
    const Queue *queue,
    void (*each) (const char *team, guint waiting, guint running, gpointer ctx),
    gpointer ctx);
