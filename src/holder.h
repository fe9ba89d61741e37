#pragma once
/* Holds the jobs taken from callers: grants their tasks to the homes of the groups,
 * collects the outcomes and answers each job once, as a whole. */
#include "budget.h"
#include "fleet.h"
#include "godwitspar.pb-c.h"
#include "jobid.h"

#include <event2/event.h>
#include <glib.h>
#include <sys/queue.h>

typedef struct Holder Holder;

typedef enum
{
  JOB_RUNNING,
  JOB_ENDING, /* aborted; its homes are being asked what ran */
  JOB_COMPLETE,
  JOB_FAILED,
  JOB_CANCELLED,
} JobState;

/* The tasks of a job under one grant. */
typedef struct HeldPart HeldPart;

typedef struct
{
  char *service;
  GBytes *payload;
  guint declared_ms; /* expected run time, by the caller; 0: not declared */
  guint memory_mb;
} TaskSpec;

typedef struct
{
  guint32 index;
  const TaskSpec *spec;
  HeldPart *part; /* NULL once ended */
  gboolean ended;
  gboolean confirmed_started; /* by a slot owner */
  Gw__Outcome *outcome;
} HeldTask;

typedef struct HeldJob
{
  LIST_ENTRY (HeldJob) link_entry;
  TAILQ_ENTRY (HeldJob) ended_entry;
  JobKey key;
  JobState state;
  char *team;
  char *client_key; /* the caller's own, or NULL */
  gboolean direct;
  gboolean idempotent;
  GPtrArray *specs; /* of TaskSpec */
  GPtrArray *tasks; /* of HeldTask */
  guint open;       /* tasks that have not ended */
  guint retries;
  guint32 grants; /* number of the last grant */
  gint64 arrived_ms;
  gint64 deadline_ms;
  gint64 ending_ms; /* start of JOB_ENDING */
  gint64 ended_ms;
  gboolean started; /* a task started, or may have */
  int failed_index; /* of the task that failed the job, or -1 */
  Gw__Outcome__Reason reason;
  guint retry_after_s;
  gsize answer_bytes; /* retained once ended */
  gsize held_bytes;   /* counted as held: payloads and tasks, then answers as well */
  LIST_HEAD (, HeldPart) parts;
  GPtrArray *waiters; /* of JobWaiter */
} HeldJob;

typedef void (*JobDone) (const HeldJob *job, gpointer ctx);

typedef struct
{
  JobDone done;
  gpointer ctx;
} JobWaiter;

typedef struct
{
  /* Incarnation of the group's current home. */
  guint64 (*home_of) (const char *group, gpointer ctx);
  /* Send to a home; each takes ownership of its message. */
  void (*grant) (guint64 home, Gw__Grant *grant, gpointer ctx);
  void (*cancel) (guint64 home, Gw__Cancel *cancel, gpointer ctx);
  void (*ack) (guint64 home, Gw__Ack *ack, gboolean urgent, gpointer ctx);
  /* Reconcile the open tasks of a lost home; ends in holder_reconciled () per part. */
  void (*reconcile) (guint64 home, const char *group, gpointer ctx);
  /* A keyed job ended without having run: release its key claim. */
  void (*release) (const HeldJob *job, gpointer ctx);
  const Fleet *(*fleet) (gpointer ctx);
} HolderOps;

Holder *holder_new (guint64 incarnation, const HolderOps *ops, gpointer ctx);
void holder_free (Holder *holder);

/** holder_reserve - allocate the id of a job that may be submitted later. */
JobKey holder_reserve (Holder *holder);

/** holder_abandon - record that a reserved id was not and will not be submitted. */
void holder_abandon (Holder *holder, const JobKey *key);

/** holder_abandoned - whether the id was abandoned within the last hour. */
gboolean holder_abandoned (Holder *holder, const JobKey *key);

typedef struct
{
  JobKey key;
  const char *team;
  const char *client_key;
  gboolean direct;
  gboolean idempotent;
  guint deadline_ms;
  GPtrArray *specs; /* ownership is taken */
} JobInit;

/** task_specs_new - an empty array for JobInit.specs. */
GPtrArray *task_specs_new (void);

/**
 * holder_room_s - when there will be memory for a job with these @specs; drops ended jobs
 * for it.
 * Return: 0 if there is now, else in s the time until the next open job is over at the
 * latest: the new one must be refused.
 */
guint holder_room_s (Holder *holder, const GPtrArray *specs);

HeldJob *holder_submit (Holder *holder, const JobInit *init);
HeldJob *holder_lookup (Holder *holder, const JobKey *key);

/** holder_wait - call @done when the job has ended; at once if it already has. */
void holder_wait (HeldJob *job, JobDone done, gpointer ctx);

/** holder_remove_waiter - undo holder_wait () with this @ctx. */
void holder_remove_waiter (HeldJob *job, gpointer ctx);

void holder_cancel (Holder *holder, HeldJob *job);

/** holder_outcome - take a task's outcome. Return: FALSE if the task was not open. */
gboolean holder_outcome (Holder *holder, const Gw__Outcome *outcome);

/** holder_home_up - resend the open grants, which the former link may have lost. */
void holder_home_up (Holder *holder, guint64 home);

/** holder_home_lost - start to reconcile the open tasks of a home declared dead. */
void holder_home_lost (Holder *holder, guint64 home);

/** HeldPartFunc - @indexes: the open tasks of the part. */
typedef void (*HeldPartFunc) (const JobKey *key,
                              guint32 grant,
                              const guint32 *indexes,
                              gsize n,
                              gpointer ctx);

/** holder_each_part - visit a group's parts that have open tasks at a home. */
void holder_each_part (Holder *holder,
                       guint64 home,
                       const char *group,
                       HeldPartFunc func,
                       gpointer ctx);

/** holder_task_started - a slot owner confirmed that it started the task. */
void
holder_task_started (Holder *holder, const JobKey *key, guint32 grant, guint32 index);

/** holder_task_open - whether the task's outcome is awaited under that grant. */
gboolean
holder_task_open (Holder *holder, const JobKey *key, guint32 grant, guint32 index);

/**
 * holder_reconciled - the slot owners have been asked about a part.
 * @proved: all answered, so a task that none of them confirmed did not start.
 */
void
holder_reconciled (Holder *holder, const JobKey *key, guint32 grant, gboolean proved);

/** holder_task_lost - the slot owner that started the task is lost. */
void holder_task_lost (Holder *holder, const JobKey *key, guint32 grant, guint32 index);

void holder_group_load (Holder *holder, const Gw__GroupLoad *load);

/** holder_add_group - add a group whose load is not known yet. */
void holder_add_group (Holder *holder, const char *group, guint slots);

/** holder_has_service - whether a group of the service is known. */
gboolean holder_has_service (Holder *holder, const char *service);

/** holder_expected_wait - last reported wait in the service's best group, in ms; 0 if
 * unknown.
 */
guint holder_expected_wait (Holder *holder, const char *service);

void holder_tick (Holder *holder, gint64 now_ms);
guint holder_open_jobs (const Holder *holder);

typedef void (*HeldJobFunc) (const HeldJob *job, gpointer ctx);
void holder_each_job (Holder *holder, HeldJobFunc func, gpointer ctx);

/** job_state_name - "running", "complete", "failed", "cancelled". */
const char *job_state_name (JobState state);
/** job_reason_text - why a job failed, for its caller. */
const char *job_reason_text (Gw__Outcome__Reason reason);
