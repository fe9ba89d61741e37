#include "trace.h"
#include "clock.h"
#include "json_text.h"

#include <json-glib/json-glib.h>
#include <string.h>

typedef struct
{
  guint64 stamp;
  char *process;
  char *verb;
  char *job;
  gint64 task;
  char *detail;
} TraceEvent;

struct Trace
{
  GPtrArray *events;
  gboolean sorted;
};

static void
event_free (gpointer data)
{
  TraceEvent *event = data;

  g_free (event->process);
  g_free (event->verb);
  g_free (event->job);
  g_free (event->detail);
  g_free (event);
}

Trace *
trace_new (void)
{
  Trace *trace = g_new0 (Trace, 1);

  trace->events = g_ptr_array_new_with_free_func (event_free);
  return trace;
}

void
trace_free (Trace *trace)
{
  g_ptr_array_unref (trace->events);
  g_free (trace);
}

static char *
text_member (JsonObject *object, const char *name)
{
  return g_strdup (json_object_get_string_member_with_default (object, name, ""));
}

static void
add_line (Trace *trace, const char *line)
{
  JsonNode *root = json_text_parse (line, strlen (line), NULL);
  TraceEvent *event;
  JsonObject *object;

  if (root != NULL && JSON_NODE_HOLDS_OBJECT (root))
    {
      object = json_node_get_object (root);
      event = g_new0 (TraceEvent, 1);
      event->stamp = g_ascii_strtoull (
          json_object_get_string_member_with_default (object, "stamp", "0"), NULL, 10);
      event->process = text_member (object, "process");
      event->verb = text_member (object, "verb");
      event->job = text_member (object, "job");
      event->task = json_object_get_int_member_with_default (object, "task", -1);
      event->detail = text_member (object, "detail");
      g_ptr_array_add (trace->events, event);
    }
  g_clear_pointer (&root, json_node_unref);
}

void
trace_add_page (Trace *trace, const char *page)
{
  char **lines = g_strsplit (page, "\n", -1);

  for (char **line = lines; *line != NULL; line++)
    if (**line != '\0')
      add_line (trace, *line);
  g_strfreev (lines);
  trace->sorted = FALSE;
}

void
trace_keep_task (Trace *trace, gint64 task)
{
  for (guint i = trace->events->len; i > 0; i--)
    {
      const TraceEvent *event = g_ptr_array_index (trace->events, i - 1);

      if (event->task >= 0 && event->task != task)
        g_ptr_array_remove_index (trace->events, i - 1);
    }
}

static int
compare_events (gconstpointer a, gconstpointer b)
{
  const TraceEvent *left = *(TraceEvent *const *)a;
  const TraceEvent *right = *(TraceEvent *const *)b;

  return (left->stamp > right->stamp) - (left->stamp < right->stamp);
}

static void
sort_events (Trace *trace)
{
  if (!trace->sorted)
    g_ptr_array_sort (trace->events, compare_events);
  trace->sorted = TRUE;
}

static void
append_text (GString *page, const TraceEvent *event)
{
  guint64 ms = hlc_wall_ms (event->stamp);
  GDateTime *time = g_date_time_new_from_unix_utc ((gint64)(ms / 1000));
  char *clock = g_date_time_format (time, "%H:%M:%S");

  g_string_append_printf (page, "%s.%03u  %-16s %-18s", clock, (guint)(ms % 1000),
                          event->process, event->verb);
  if (event->job[0] != '\0')
    g_string_append_printf (page, " %s", event->job);
  if (event->task >= 0)
    g_string_append_printf (page, "/%" G_GINT64_FORMAT, event->task);
  if (event->detail[0] != '\0')
    g_string_append_printf (page, "  %s", event->detail);
  g_string_append_c (page, '\n');
  g_free (clock);
  g_date_time_unref (time);
}

char *
trace_text (Trace *trace)
{
  GString *page = g_string_new (NULL);

  sort_events (trace);
  for (guint i = 0; i < trace->events->len; i++)
    append_text (page, g_ptr_array_index (trace->events, i));
  return g_string_free (page, FALSE);
}

/* Return: the event that ends a task's run at the process that started it, or NULL. */
static const TraceEvent *
find_end (const Trace *trace, guint from, const TraceEvent *start)
{
  for (guint i = from + 1; i < trace->events->len; i++)
    {
      const TraceEvent *event = g_ptr_array_index (trace->events, i);

      if (event->task == start->task && strcmp (event->job, start->job) == 0
          && strcmp (event->process, start->process) == 0
          && strcmp (event->verb, "task-placed") != 0)
        return event;
    }
  return NULL;
}

static void
append_chrome (GString *page, const Trace *trace, guint index)
{
  const TraceEvent *event = g_ptr_array_index (trace->events, index);
  guint64 us = hlc_wall_ms (event->stamp) * 1000;
  const TraceEvent *end = NULL;

  if (strcmp (event->verb, "task-started") == 0)
    end = find_end (trace, index, event);
  g_string_append_printf (page,
                          "%s{\"name\":\"%s\",\"pid\":\"%s\",\"tid\":\"task "
                          "%" G_GINT64_FORMAT "\",\"ts\":%" G_GUINT64_FORMAT ",",
                          index > 0 ? ",\n" : "", event->verb, event->process,
                          event->task, us);
  if (end != NULL)
    g_string_append_printf (page, "\"ph\":\"X\",\"dur\":%" G_GUINT64_FORMAT ",",
                            hlc_wall_ms (end->stamp) * 1000 - us);
  else
    g_string_append (page, "\"ph\":\"i\",\"s\":\"t\",");
  g_string_append_printf (page, "\"args\":{\"job\":\"%s\",\"detail\":\"%s\"}}",
                          event->job, event->detail);
}

char *
trace_chrome (Trace *trace)
{
  GString *page = g_string_new ("{\"traceEvents\":[");

  sort_events (trace);
  for (guint i = 0; i < trace->events->len; i++)
    append_chrome (page, trace, i);
  g_string_append (page, "]}\n");
  return g_string_free (page, FALSE);
}
