#pragma once
/* A slot owner at work: the decisions of owner.c, carried out by HTTP calls to one
 * backend server. Runs in the agent, or in the home entry for a backend server without
 * one. */
#include "owner.h"

#include <event2/event.h>

typedef struct Executor Executor;

typedef struct
{
  const char *address; /* of the backend server */
  guint slots;
  guint connections;
} ExecutorInit;

/* Tell of an outcome; see OwnerOps.tell. */
typedef void (*ExecutorReport) (const OwnerTask *task, gpointer ctx);

Executor *executor_new (struct event_base *base,
                        const ExecutorInit *init,
                        ExecutorReport tell,
                        gpointer ctx);

/** executor_free - calls under way end as broken, and are told so. */
void executor_free (Executor *executor);

Owner *executor_owner (Executor *executor);

/** executor_start - hand over the tasks of a Start frame. */
void executor_start (Executor *executor, const Gw__Start *start, guint64 receiver);

/** executor_outcome - the outcome of a task as a message; free it as unpacked. */
Gw__Outcome *executor_outcome (const OwnerTask *task);
