#pragma once
/* The merged timeline: events of all processes in order of their stamps, as text or as
 * Chrome trace JSON. */
#include <glib.h>

typedef struct Trace Trace;

Trace *trace_new (void);
void trace_free (Trace *trace);

/** trace_add_page - add the JSON lines of one process. */
void trace_add_page (Trace *trace, const char *page);

/** trace_keep_task - drop the events of other tasks; those of the whole job stay. */
void trace_keep_task (Trace *trace, gint64 task);

/** trace_text - a line for each event; free with g_free. */
char *trace_text (Trace *trace);

/** trace_chrome - JSON for chrome://tracing and compatible viewers; free with g_free. */
char *trace_chrome (Trace *trace);
