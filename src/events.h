#pragma once
/* Structured log lines on standard output: one for each decision on a request and each
 * change of known state. Each file defines LOG_MODULE before it includes this. */
#include <event2/event.h>
#include <glib.h>

/**
 * events_init - start writing; before it, lines are discarded.
 * @process: name of this process on every line.
 * @lines_per_s: budget; beyond it requests are sampled, each with all of its lines.
 */
void events_init (struct event_base *base, const char *process, guint lines_per_s);

/** events_close - write what is buffered, as far as it does not block. */
void events_close (void);

/**
 * event_emit - a routine line about one request.
 * @name: what happened, a constant such as "task-started".
 * @job: id of the request, "-" if it is about none.
 * @format: "key=value ..." with the inputs of the decision.
 */
#define event_emit(name, job, ...) event_write (FALSE, LOG_MODULE, name, job, __VA_ARGS__)

/** event_note - a line that is not sampled: refusals, losses, changes of known state. */
#define event_note(name, job, ...) event_write (TRUE, LOG_MODULE, name, job, __VA_ARGS__)

void event_write (gboolean important,
                  const char *module,
                  const char *name,
                  const char *job,
                  const char *format,
                  ...) G_GNUC_PRINTF (5, 6);
