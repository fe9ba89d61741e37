#pragma once
/* The trace of one request, from the event lines collected from all processes: its own
 * lines and the state changes of the involved processes in order of time, gaps in the
 * record, and the outcome. */
#include <glib.h>

typedef struct Explain Explain;

Explain *explain_new (const char *job);
void explain_free (Explain *explain);

/** explain_add - add event lines of any processes, in any order; skips other lines. */
void explain_add (Explain *explain, const char *text);

/** explain_add_file - Return: FALSE with @error if it cannot be read. */
gboolean explain_add_file (Explain *explain, const char *path, GError **error);

/** explain_render - the trace as text. Free with g_free. */
char *explain_render (Explain *explain);
