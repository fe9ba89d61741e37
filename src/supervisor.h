#pragma once
/* Supervisor: starts components in order, stops them in reverse order and restarts those
 * that fail; after too many restarts it ends the process. */
#include <event2/event.h>
#include <glib.h>

typedef struct Supervisor Supervisor;

typedef struct
{
  const char *name;
  /** Return: FALSE with @error set if the component cannot run. */
  gboolean (*start) (gpointer ctx, GError **error);
  void (*stop) (gpointer ctx);
} ComponentOps;

Supervisor *supervisor_new (struct event_base *base, const char *name);

/** supervisor_free - stop the running components, last started first, and free it. */
void supervisor_free (Supervisor *supervisor);

/** supervisor_add - add a component; @ops and @ctx must outlive the supervisor. */
void supervisor_add (Supervisor *supervisor, const ComponentOps *ops, gpointer ctx);

/** supervisor_start - start all in order; on an error stop those already started. */
gboolean supervisor_start (Supervisor *supervisor, GError **error);

/**
 * supervisor_report_failure - a running component has failed.
 *
 * It is stopped and restarted after an exponential backoff. After too many restarts
 * within a minute the event loop is left, so that the platform replaces the process.
 */
void supervisor_report_failure (Supervisor *supervisor,
                                const ComponentOps *ops,
                                const char *reason);

/** supervisor_gave_up - whether the loop was left after too many restarts. */
gboolean supervisor_gave_up (const Supervisor *supervisor);
