#pragma once
/* Structured log lines on standard output: one for each decision that touches a request
 * or changes what the process believes. Each file names its module by LOG_MODULE before
 * it includes this. */
#include <event2/event.h>
#include <glib.h>

/**
 * events_init - begin to write; without it nothing is written.
 * @process: name of this process on every line.
 * @lines_per_s: budget; beyond it requests are sampled, each with all of its lines.
 */
void events_init (struct event_base *base, const char *process, guint lines_per_s);

/** events_close - write what is left, as far as the reader takes it. */
void events_close (void);

/**
 * event_emit - a routine line about one request.
 * @name: what happened, a constant such as "task-started".
 * @job: id of the request, "-" if it is about none.
 * @format: "key=value ..." with all that decided it.
 */
#define event_emit(name, job, ...) event_write (FALSE, LOG_MODULE, name, job, __VA_ARGS__)

/** event_note - a line that is never sampled away: refusals, losses, changes of belief.
 */
#define event_note(name, job, ...) event_write (TRUE, LOG_MODULE, name, job, __VA_ARGS__)

void event_write (gboolean important,
                  const char *module,
                  const char *name,
                  const char *job,
                  const char *format,
                  ...) G_GNUC_PRINTF (5, 6);
