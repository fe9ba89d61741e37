#pragma once
/* The holder's work: keeps the jobs taken from callers, grants their tasks to homes,
 * gathers outcomes and gives each job one whole answer. */
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
  JOB_ENDING, /* given up; what ran is being learned from its homes */
  JOB_COMPLETE,
  JOB_FAILED,
  JOB_CANCELLED,
} JobState;

typedef struct HeldPart HeldPart;

typedef struct
{
  char *service;
  GBytes *payload;
  guint declared_ms;
  guint memory_mb;
} TaskSpec;

typedef struct
{
  guint32 index;
  const TaskSpec *spec;
  HeldPart *part; /* the grant it is under; NULL once ended */
  gboolean ended;
  gboolean claimed; /* a slot owner has told us that it started */
  Gw__Outcome *outcome;
} HeldTask;

typedef struct HeldJob
{
  LIST_ENTRY (HeldJob) link_entry;
  TAILQ_ENTRY (HeldJob) kept_entry;
  JobKey key;
  JobState state;
  char *team;
  char *client_key; /* the caller's own, or NULL */
  gboolean direct;
  gboolean idempotent;
  GPtrArray *specs; /* of TaskSpec */
  GPtrArray *tasks; /* of HeldTask */
  guint open;
  guint retries;
  guint32 grants;
  gint64 arrived_ms;
  gint64 deadline_ms;
  gint64 ending_ms;
  gint64 ended_ms;
  gboolean started; /* some task started, or may have */
  int failed_index; /* the task that failed the job, or -1 */
  Gw__Outcome__Reason reason;
  guint retry_after_s;
  gsize answer_bytes;
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
  /* Incarnation of the home of @group now. */
  guint64 (*home_of) (const char *group, gpointer ctx);
  /* Send to a home; each takes its message over. */
  void (*grant) (guint64 home, Gw__Grant *grant, gpointer ctx);
  void (*cancel) (guint64 home, Gw__Cancel *cancel, gpointer ctx);
  void (*ack) (guint64 home, Gw__Ack *ack, gboolean urgent, gpointer ctx);
  /* Reconcile the open tasks of a lost home; holder_reconciled () follows for each part. */
  void (*settle) (guint64 home, const char *group, gpointer ctx);
  /* A keyed job ended without having run: its claim may go. */
  void (*release) (const HeldJob *job, gpointer ctx);
  const Fleet *(*fleet) (gpointer ctx);
} HolderOps;

Holder *holder_new (guint64 incarnation, const HolderOps *ops, gpointer ctx);
void holder_free (Holder *holder);

/** holder_reserve - an id for a job that may be submitted later. */
JobKey holder_reserve (Holder *holder);

/** holder_abandon - a reserved id that will never be submitted: it did not run. */
void holder_abandon (Holder *holder, const JobKey *key);

/** holder_abandoned - whether the id is remembered as abandoned. */
gboolean holder_abandoned (Holder *holder, const JobKey *key);

typedef struct
{
  JobKey key;
  const char *team;
  const char *client_key;
  gboolean direct;
  gboolean idempotent;
  guint deadline_ms;
  GPtrArray *specs; /* taken over */
} JobInit;

/** task_specs_new - an empty array for JobInit.specs. */
GPtrArray *task_specs_new (void);

HeldJob *holder_submit (Holder *holder, const JobInit *init);
HeldJob *holder_lookup (Holder *holder, const JobKey *key);

/** holder_wait - call @done once the job has ended, from within if it has already. */
void holder_wait (HeldJob *job, JobDone done, gpointer ctx);

/** holder_remove_waiter - the one who waits with @ctx has gone. */
void holder_remove_waiter (HeldJob *job, gpointer ctx);

void holder_cancel (Holder *holder, HeldJob *job);

/** holder_outcome - Return: FALSE if nobody waited for it. */
gboolean holder_outcome (Holder *holder, const Gw__Outcome *outcome);

/** holder_home_up - the link to a home stands anew: grants may have been lost. */
void holder_home_up (Holder *holder, guint64 home);
void holder_home_lost (Holder *holder, guint64 home);

/** HeldPartFunc - @indexes are the open tasks of the part. */
typedef void (*HeldPartFunc) (const JobKey *key,
                              guint32 grant,
                              const guint32 *indexes,
                              gsize n,
                              gpointer ctx);

/** holder_each_part - the parts of a group with open tasks under a home. */
void holder_each_part (Holder *holder,
                       guint64 home,
                       const char *group,
                       HeldPartFunc func,
                       gpointer ctx);

/** holder_task_started - a slot owner says that it started the task under that grant. */
void holder_task_started (Holder *holder, const JobKey *key, guint32 grant, guint32 index);

/** holder_task_open - whether the task is still waited for under that grant. */
gboolean
holder_task_open (Holder *holder, const JobKey *key, guint32 grant, guint32 index);

/**
 * holder_reconciled - all slot owners have been asked about a part.
 * @proved: every one has answered, so that what none claimed did not start.
 */
void holder_reconciled (Holder *holder, const JobKey *key, guint32 grant, gboolean proved);

/** holder_task_lost - the owner that claimed the task is gone. */
void holder_task_lost (Holder *holder, const JobKey *key, guint32 grant, guint32 index);

void holder_group_load (Holder *holder, const Gw__GroupLoad *load);

/** holder_add_group - a group exists, whatever its load. */
void holder_add_group (Holder *holder, const char *group, guint slots);

/** holder_has_service - whether any home has told of backend servers of the service. */
gboolean holder_has_service (Holder *holder, const char *service);

/**
 * holder_expected_wait - what the service's best group last reported, in ms.
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
