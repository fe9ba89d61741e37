#pragma once
/* Parser of the lines that events.h writes. */
#include <glib.h>

typedef struct
{
  gint64 time_ms;
  guint number; /* order of reading, set by the caller module */
  char *process;
  char *event;
  char *job;
  char *rest; /* text after the job */
} EventLine;

/** event_line_parse - Return: NULL if @text is no event line. */
EventLine *event_line_parse (const char *text);
void event_line_free (gpointer line);

/** event_line_value - the value of @key, quoted or up to the next space.
 * Return: NULL if there is none. Free with g_free. */
char *event_line_value (const char *text, const char *key);

/** event_line_has - whether @key has the value @expected. */
gboolean event_line_has (const char *text, const char *key, const char *expected);
