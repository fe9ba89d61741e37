#pragma once
/* A log line every few seconds with this process's traffic, what it carried, CPU time and
 * the longest event-loop delay. In an incident it shows whether a process is overloaded
 * by its own traffic or by too many callers. */
#include <event2/event.h>
#include <glib.h>

typedef struct ProcessStats ProcessStats;

/** process_stats_new - start writing a line every 2 s. */
ProcessStats *process_stats_new (struct event_base *base);
void process_stats_free (ProcessStats *stats);

/** process_stats_note_lag - record the delay of an event-loop tick. */
void process_stats_note_lag (ProcessStats *stats, gint64 lag_ms);
