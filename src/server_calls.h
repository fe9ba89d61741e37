#pragma once
/* The calls to a backend server that runs tasks under leases, whatever protocol it
 * speaks. Every call is answered exactly once, from the event loop. */
#include "demand.h"

#include <glib.h>

/* Long enough for the job ids of every protocol, with the terminator. */
#define RUN_JOB_SIZE 64

/* A call without an answer may be carried out this much later. */
#define LATE_CALL_MS 10000

/* A backend server that crashed reports again within this time, if it does at all. */
#define RESTART_SEEN_MS 10000

/* One start of one task. */
typedef struct
{
  char job[RUN_JOB_SIZE];
  guint index;
  guint run; /* counts the starts of the task from 1 */
} RunKey;

gboolean run_key_equal (const RunKey *a, const RunKey *b);

typedef enum
{
  CALL_DONE,
  CALL_FENCED,     /* refused: its fencing token is too low */
  CALL_SUPERSEDED, /* refused: a run with this or a higher number was stopped or ended */
  CALL_LATE,       /* refused: its lease would have expired already */
  CALL_NO_ROOM,    /* refused: the server's own capacity check failed */
  CALL_UNHEALTHY,  /* refused; nothing was done */
  CALL_NOT_SENT,   /* there was no connection to send it on; nothing was done */
  CALL_OTHER_INSTANCE, /* refused: the backend server has restarted */
  CALL_RESTARTED,      /* answered by a later instance, which calls cannot tell apart: it
                          may have carried out this and earlier calls */
  CALL_REJECTED,       /* refused as malformed */
  CALL_UNANSWERED,     /* it may have been carried out, or may still be */
} CallEnd;

typedef enum
{
  RUN_END_DONE,
  RUN_END_FAILED,
  RUN_END_STOPPED,
  RUN_END_EXPIRED, /* its lease expired */
  RUN_END_OTHER,
} RunEnd;

typedef struct
{
  guint64 number; /* counts the ended runs of this instance */
  RunKey key;
  RunEnd how;
} EndedRun;

typedef struct
{
  RunKey key;
  guint percent; /* of its work that is done */
} RunningRun;

/* Only the reply to hold lists runs. */
typedef struct
{
  CallEnd end;
  gint64 server_ms;    /* the server's clock; 0: unknown */
  gboolean is_certain; /* the answer itself says that it is from the instance called */
  gint64 now_ms;       /* own clock when the answer came */
  const RunningRun *running;
  gsize n_running;
  const EndedRun *ended;
  gsize n_ended;
} CallReply;

typedef void (*CallReplied) (const CallReply *reply, gpointer ctx, gpointer cookie);

typedef struct
{
  const char *instance; /* any other instance refuses the call */
  guint64 token;        /* fencing token: the server refuses lower ones */
  gint64 lease_until;   /* server's clock, ms, for all its runs; 0: leave as it is */
  guint timeout_ms;
  CallReplied replied;
  gpointer ctx;    /* of the calling module */
  gpointer cookie; /* of this call */
} ServerCall;

typedef struct
{
  void (*start) (const ServerCall *call,
                 const RunKey *key,
                 const char *payload,
                 gpointer server);
  void (*stop) (const ServerCall *call, const RunKey *key, gpointer server);
  /* Long poll: list all running runs and the ended ones numbered above @ends_seen; those
   * up to it are acknowledged. Wait up to @wait_ms for a new end. */
  void (*hold) (const ServerCall *call,
                guint64 ends_seen,
                guint wait_ms,
                gpointer server);
} ServerCalls;
