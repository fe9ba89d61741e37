#pragma once
/* Reading the lines that events.h writes. */
#include <glib.h>

typedef struct
{
  gint64 time_ms;
  guint number; /* in the order of reading; the reader's */
  char *process;
  char *event;
  char *job;
  char *rest; /* what comes after the job */
} EventLine;

/** event_line_parse - Return: NULL if it is no event line. */
EventLine *event_line_parse (const char *text);
void event_line_free (gpointer line);

/** event_line_value - the value of @key, which runs to the next space, or in quotes.
 * Return: NULL if there is none. Free with g_free. */
char *event_line_value (const char *text, const char *key);
gboolean event_line_has (const char *text, const char *key, const char *expected);
