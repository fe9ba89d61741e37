#include "event_line.h"

#include <string.h>

void
event_line_free (gpointer data)
{
  EventLine *line = data;

  g_free (line->process);
  g_free (line->event);
  g_free (line->job);
  g_free (line->rest);
  g_free (line);
}

char *
event_line_value (const char *text, const char *key)
{
  char *mark = g_strconcat (key, "=", NULL);
  const char *found = text;
  char *value = NULL;

  while ((found = strstr (found, mark)) != NULL && found != text && found[-1] != ' ')
    found++;
  if (found != NULL)
    {
      found += strlen (mark);
      value = *found == '"' ? g_strndup (found + 1, strcspn (found + 1, "\""))
                            : g_strndup (found, strcspn (found, " \n"));
    }
  g_free (mark);
  return value;
}

gboolean
event_line_has (const char *text, const char *key, const char *expected)
{
  char *value = event_line_value (text, key);
  gboolean equal = g_strcmp0 (value, expected) == 0;

  g_free (value);
  return equal;
}

EventLine *
event_line_parse (const char *text)
{
  char *time_ms = event_line_value (text, "time_ms");
  char *process = event_line_value (text, "process");
  char *event = event_line_value (text, "event");
  char *job = event_line_value (text, "job");
  const char *rest = strstr (text, " job=");
  EventLine *line = NULL;

  if (time_ms != NULL && process != NULL && event != NULL && job != NULL && rest != NULL)
    {
      line = g_new0 (EventLine, 1);
      line->time_ms = g_ascii_strtoll (time_ms, NULL, 10);
      line->process = g_steal_pointer (&process);
      line->event = g_steal_pointer (&event);
      line->job = g_steal_pointer (&job);
      rest += strlen (" job=") + strlen (line->job);
      line->rest = g_strstrip (g_strdup (rest));
    }
  g_free (time_ms);
  g_free (process);
  g_free (event);
  g_free (job);
  return line;
}
