#pragma once
/* The calls to a backend server that runs tasks under leases: what the runner needs of
 * it, whatever protocol it speaks. Every call is answered once, from the loop. */
#include "demand.h"

#include <glib.h>

/* Long enough for every job id that an adapter hands in, with its terminator. */
#define RUN_JOB_SIZE 64

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
  CALL_FENCED,     /* refused: its fencing token is too old */
  CALL_SUPERSEDED, /* refused: a run with this or a higher number was stopped or ended */
  CALL_LATE,       /* refused: its lease would have lapsed already */
  CALL_NO_ROOM,    /* refused by the server's own guard */
  CALL_UNHEALTHY,  /* refused; nothing was done */
  CALL_OTHER_INSTANCE, /* refused: the backend server has restarted */
  CALL_REJECTED,       /* refused as malformed */
  CALL_UNANSWERED,     /* it may have been carried out, or may be later */
} CallEnd;

typedef enum
{
  RUN_END_DONE,
  RUN_END_FAILED,
  RUN_END_STOPPED,
  RUN_END_EXPIRED,
  RUN_END_OTHER,
} RunEnd;

typedef struct
{
  guint64 number; /* counts the ends of this life of the server */
  RunKey key;
  RunEnd how;
} EndedRun;

typedef struct
{
  RunKey key;
  guint percent; /* of its work that is done */
} RunningRun;

/* A list of runs that is empty for a call other than hold. */
typedef struct
{
  CallEnd end;
  gint64 server_ms; /* the server's clock; 0: not told */
  gint64 now_ms;    /* own clock when the answer came */
  const RunningRun *running;
  gsize n_running;
  const EndedRun *ended;
  gsize n_ended;
} CallReply;

typedef void (*CallReplied) (const CallReply *reply, gpointer ctx, gpointer cookie);

typedef struct
{
  const char *instance; /* the life of the server that is meant */
  guint64 token;        /* fencing token: the server ignores lower ones */
  gint64 lease_until;   /* server's clock, for all that runs there; 0: leave as it is */
  guint timeout_ms;
  CallReplied replied;
  gpointer ctx;
  gpointer cookie;
} ServerCall;

typedef struct
{
  void (*start) (const ServerCall *call,
                 const RunKey *key,
                 const char *payload,
                 gpointer server);
  void (*stop) (const ServerCall *call, const RunKey *key, gpointer server);
  /* Ask for all runs and ends; acknowledge ends; wait up to @wait_ms for a new end. */
  void (*hold) (const ServerCall *call,
                guint64 ends_seen,
                guint wait_ms,
                gpointer server);
} ServerCalls;
