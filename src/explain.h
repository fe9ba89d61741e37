#pragma once
/* The story of one request, from the event lines that were collected of all processes:
 * its own lines in the order of time, what the processes it met came to believe
 * meanwhile, what is missing, and what became of it. */
#include <glib.h>

typedef struct Explain Explain;

Explain *explain_new (const char *job);
void explain_free (Explain *explain);

/** explain_add - event lines of any processes, in any order; other lines are passed over.
 */
void explain_add (Explain *explain, const char *text);

/** explain_add_file - Return: FALSE with @error if it cannot be read. */
gboolean explain_add_file (Explain *explain, const char *path, GError **error);

/** explain_render - the story. Free with g_free. */
char *explain_render (Explain *explain);
