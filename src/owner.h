#pragma once
/* The slot owner of one backend server: admits or refuses starts, fences attempts, and
 * keeps outcomes until they are acknowledged. No I/O; the time is passed in. */
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
  guint64 requester; /* incarnation of the home that requested the start */
  guint64 receiver;  /* incarnation of the process that gets the outcome */
  gint64 changed_ms; /* start time; finish time once done */
  gboolean acked;
  Gw__Outcome__Kind kind;
  Gw__Outcome__Reason reason;
  guint status;
  guint run_ms;
  GBytes *body;
} OwnerTask;

/* Actions of the module that uses the slot owner. */
typedef struct
{
  /* Call the backend server; owner_finish () must follow. */
  void (*start) (const OwnerTask *task,
                 const char *path,
                 const void *payload,
                 gsize size,
                 gpointer ctx);
  /* Send the outcome to @task->receiver, and to @task->requester to free its slot. */
  void (*report) (const OwnerTask *task, gpointer ctx);
} OwnerOps;

typedef struct
{
  guint slots;
  guint memory_limit_bytes; /* for outcomes not yet acknowledged */
} OwnerLimits;

Owner *owner_new (const OwnerLimits *limits, const OwnerOps *ops, gpointer ctx);
void owner_free (Owner *owner);

/** owner_set_slots - set the backend server's concurrency; running tasks finish. */
void owner_set_slots (Owner *owner, guint slots);

/** owner_set_leaving - refuse all starts, or accept them again. */
void owner_set_leaving (Owner *owner, gboolean leaving);

guint owner_slots (const Owner *owner);
guint owner_busy (const Owner *owner);
/** owner_busy_for_others - running tasks requested by anyone but @requester. */
guint owner_busy_for_others (const Owner *owner, guint64 requester);
gboolean owner_leaving (const Owner *owner);
/** owner_unacked - finished tasks whose receiver has not acknowledged them. */
guint owner_unacked (const Owner *owner);

/**
 * owner_start - start one task, or refuse it: it will not run under @attempt.
 * @receiver: incarnation of the home that requests it and gets the outcome.
 * @lease_until_ms: end of the lease; later starts are refused.
 *
 * Calls start () or report () before it returns; neither if the attempt is already
 * running, or done and acknowledged.
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

/** owner_finish - record the backend server's response or failure. Takes @body. */
void owner_finish (Owner *owner,
                   const TaskKey *key,
                   Gw__Outcome__Kind kind,
                   Gw__Outcome__Reason reason,
                   guint status,
                   GBytes *body,
                   gint64 now_ms);

/**
 * owner_fence - forbid all starts of a job under attempts up to @up_to_attempt.
 * @indexes: the tasks to fence; NULL or none for the whole job.
 * @receiver: gets the outcomes of tasks that have started, at once if they are done.
 *
 * Return: the tasks that have started, as OwnerTask pointers; free the array.
 */
GPtrArray *owner_fence (Owner *owner,
                        const JobKey *job,
                        guint32 up_to_attempt,
                        const guint32 *indexes,
                        gsize n_indexes,
                        guint64 receiver,
                        gint64 now_ms);

/** owner_ack - the receiver has the outcome; drop its body, keep a tombstone. */
void owner_ack (Owner *owner, const TaskKey *key, guint32 attempt);

/** owner_ack_job - the receiver needs no further outcomes of the job. */
void owner_ack_job (Owner *owner, const JobKey *job);

/** owner_resend - report again all outcomes that @receiver has not acknowledged. */
void owner_resend (Owner *owner, guint64 receiver);

/** owner_expire - drop tombstones, fences and outcomes past their lifetime. */
void owner_expire (Owner *owner, gint64 now_ms);

/** owner_record_count - task and job records in memory. */
guint owner_record_count (const Owner *owner);
