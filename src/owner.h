#pragma once
/* The slot owner's decisions: what may start, what never may, and what is remembered
 * until its receiver has it. No I/O; the clock is handed in. */
#include "godwitspar.pb-c.h"
#include "jobid.h"

#include <glib.h>

typedef struct Owner Owner;

typedef enum
{
  OWNER_RUNNING,
  OWNER_DONE,    /* outcome kept until acknowledged */
  OWNER_REFUSED, /* never started under this or an earlier attempt */
} OwnerState;

typedef struct
{
  TaskKey key;
  guint32 attempt;
  guint32 fence_attempt; /* no start under attempts up to this one */
  OwnerState state;
  guint64 asker;     /* incarnation of the home that asked for the start */
  guint64 receiver;  /* incarnation of the process that is told the outcome */
  gint64 changed_ms; /* start, or finish once done */
  gboolean acked;
  Gw__Outcome__Kind kind;
  Gw__Outcome__Reason reason;
  guint status;
  guint run_ms;
  GBytes *body;
} OwnerTask;

/* The actions, carried out by the owner's user. */
typedef struct
{
  /* Call the backend server; owner_finish () must follow. */
  void (*start) (const OwnerTask *task,
                 const char *path,
                 const void *payload,
                 gsize size,
                 gpointer ctx);
  /* Tell @task->receiver, and @task->asker whose slot it was. */
  void (*tell) (const OwnerTask *task, gpointer ctx);
} OwnerOps;

typedef struct
{
  guint slots;
  guint memory_limit_bytes; /* for outcomes not yet acknowledged */
} OwnerLimits;

Owner *owner_new (const OwnerLimits *limits, const OwnerOps *ops, gpointer ctx);
void owner_free (Owner *owner);

/** owner_set_slots - the backend server's concurrency; running tasks are let finish. */
void owner_set_slots (Owner *owner, guint slots);

/** owner_set_leaving - refuse every start from now on, or take them again. */
void owner_set_leaving (Owner *owner, gboolean leaving);

guint owner_slots (const Owner *owner);
guint owner_busy (const Owner *owner);
/** owner_busy_for_others - running tasks that others than @asker asked for. */
guint owner_busy_for_others (const Owner *owner, guint64 asker);
gboolean owner_leaving (const Owner *owner);
/** owner_unacked - finished tasks whose receiver has not acknowledged them. */
guint owner_unacked (const Owner *owner);

/**
 * owner_start - start one task, or refuse it with proof.
 * @receiver: incarnation of the process that asks and is told the outcome.
 * @lease_until_ms: a start after this moment is refused.
 *
 * Calls start () or tell () before it returns, or neither if the task runs already.
 */
void owner_start (Owner *owner,
                  const TaskKey *key,
                  guint32 attempt,
                  guint64 receiver,
                  const char *path,
                  const void *payload,
                  gsize size,
                  gint64 lease_until_ms,
                  gint64 now_ms);

/** owner_finish - the backend server's answer, or what became of the call. Takes @body.
 */
void owner_finish (Owner *owner,
                   const TaskKey *key,
                   Gw__Outcome__Kind kind,
                   Gw__Outcome__Reason reason,
                   guint status,
                   GBytes *body,
                   gint64 now_ms);

/**
 * owner_fence - forbid all starts of a job under attempts up to @up_to_attempt.
 * @indexes: the tasks concerned; NULL or none for all of the job.
 * @receiver: is told the outcomes of those that did start, at once if they are done.
 *
 * Return: the tasks that started, as OwnerTask pointers; free the array.
 */
GPtrArray *owner_fence (Owner *owner,
                        const JobKey *job,
                        guint32 up_to_attempt,
                        const guint32 *indexes,
                        gsize n_indexes,
                        guint64 receiver,
                        gint64 now_ms);

/** owner_ack - the receiver has the outcome; only the tombstone stays. */
void owner_ack (Owner *owner, const TaskKey *key, guint32 attempt);

/** owner_ack_job - the receiver needs no more outcomes of the job. */
void owner_ack_job (Owner *owner, const JobKey *job);

/** owner_resend - tell all outcomes not acknowledged by @receiver again. */
void owner_resend (Owner *owner, guint64 receiver);

/** owner_expire - forget tombstones and fences past their lifetime. */
void owner_expire (Owner *owner, gint64 now_ms);

/** owner_record_count - records held, for the capacity page. */
guint owner_record_count (const Owner *owner);
