#pragma once
/* Carries out a slot owner's decisions by HTTP calls to one backend server. Runs in the
 * agent, or in the home entry for a backend server without an agent. */
#include "owner.h"

#include <event2/event.h>

typedef struct Executor Executor;

typedef struct
{
  const char *address; /* of the backend server */
  guint slots;
  guint connections;
} ExecutorInit;

/* Reports an outcome; see OwnerOps.report. */
typedef void (*ExecutorReport) (const OwnerTask *task, gpointer ctx);

Executor *executor_new (struct event_base *base,
                        const ExecutorInit *init,
                        ExecutorReport report,
                        gpointer ctx);

/** executor_free - calls in flight end as broken and are reported so. */
void executor_free (Executor *executor);

Owner *executor_owner (Executor *executor);

/** executor_start - pass the tasks of a Start frame to the slot owner. */
void executor_start (Executor *executor, const Gw__Start *start, guint64 receiver);

/** executor_outcome - a task's outcome; free with gw__outcome__free_unpacked. */
Gw__Outcome *executor_outcome (const OwnerTask *task);
