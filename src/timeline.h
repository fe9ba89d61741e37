#pragma once
/* The timeline: a ring buffer of events in each process, stamped by a hybrid logical
 * clock so that the events of all processes can be merged in causal order. */
#include "jobid.h"

#include <glib.h>

/** timeline_init - set the process name and the number of events to keep. */
void timeline_init (const char *process, guint capacity);

/**
 * timeline_add - record an event; dropped before timeline_init ().
 * @verb: a constant string such as "started".
 * @job: the job, or NULL.
 * @index: the task, or -1.
 * @detail: copied, truncated to 63 bytes; NULL for none.
 */
void timeline_add (const char *verb, const JobKey *job, int index, const char *detail);

/**
 * timeline_page - the events as JSON lines, oldest first.
 * @job: only events of this job; NULL for all.
 * @since_ms: only events from this wall-clock time on; 0 for all.
 * Return: free with g_free.
 */
char *timeline_page (const JobKey *job, guint64 since_ms);
