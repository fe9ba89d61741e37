#include "explain.h"
#include "event_line.h"

#include <string.h>

/* A state change this long before the request's first line may have decided it: a server
 * that lost all trust regains it after at most 3.2 s. */
#define WINDOW_BEFORE_MS 3500
#define WINDOW_AFTER_MS 500
/* Columns of the printed trace. */
#define PROCESS_WIDTH 24
#define EVENT_WIDTH 20

struct Explain
{
  char *job;
  GPtrArray *lines;         /* of the request */
  GPtrArray *state_changes; /* lines without a job */
};

Explain *
explain_new (const char *job)
{
  Explain *explain = g_new0 (Explain, 1);

  explain->job = g_strdup (job);
  explain->lines = g_ptr_array_new_with_free_func (event_line_free);
  explain->state_changes = g_ptr_array_new_with_free_func (event_line_free);
  return explain;
}

void
explain_free (Explain *explain)
{
  g_ptr_array_unref (explain->lines);
  g_ptr_array_unref (explain->state_changes);
  g_free (explain->job);
  g_free (explain);
}

static void
add_line (Explain *explain, const char *text)
{
  EventLine *line = event_line_parse (text);

  if (line == NULL)
    return;
  line->number = explain->lines->len + explain->state_changes->len;
  if (strcmp (line->job, explain->job) == 0)
    g_ptr_array_add (explain->lines, line);
  else if (strcmp (line->job, "-") == 0)
    g_ptr_array_add (explain->state_changes, line);
  else
    event_line_free (line);
}

void
explain_add (Explain *explain, const char *text)
{
  char **lines = g_strsplit (text, "\n", -1);

  for (char **line = lines; *line != NULL; line++)
    add_line (explain, *line);
  g_strfreev (lines);
}

gboolean
explain_add_file (Explain *explain, const char *path, GError **error)
{
  char *text = NULL;

  if (!g_file_get_contents (path, &text, NULL, error))
    return FALSE;
  explain_add (explain, text);
  g_free (text);
  return TRUE;
}

static int
compare_lines (gconstpointer a, gconstpointer b)
{
  const EventLine *left = *(EventLine *const *)a;
  const EventLine *right = *(EventLine *const *)b;

  if (left->time_ms != right->time_ms)
    return left->time_ms < right->time_ms ? -1 : 1;
  return left->number < right->number ? -1 : 1;
}

/* The processes with lines about the request and the agents it was placed on. */
static GHashTable *
involved_processes (const Explain *explain)
{
  GHashTable *involved = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < explain->lines->len; i++)
    {
      const EventLine *line = g_ptr_array_index (explain->lines, i);
      char *agent = event_line_value (line->rest, "agent");

      g_hash_table_add (involved, g_strdup (line->process));
      if (agent != NULL)
        g_hash_table_add (involved, agent);
    }
  return involved;
}

/* A state change is relevant if an involved process reports it, about an involved process
 * or about none in particular. */
static gboolean
is_relevant (const EventLine *line, GHashTable *involved)
{
  char *agent = event_line_value (line->rest, "agent");
  char *peer = event_line_value (line->rest, "peer");
  gboolean known = (agent == NULL || g_hash_table_contains (involved, agent))
                   && (peer == NULL || g_hash_table_contains (involved, peer));

  g_free (agent);
  g_free (peer);
  return known && g_hash_table_contains (involved, line->process);
}

static GPtrArray *
merge_lines (Explain *explain, GHashTable *involved)
{
  GPtrArray *trace = g_ptr_array_new ();
  const EventLine *first;
  const EventLine *last;

  g_ptr_array_sort (explain->lines, compare_lines);
  first = g_ptr_array_index (explain->lines, 0);
  last = g_ptr_array_index (explain->lines, explain->lines->len - 1);
  for (guint i = 0; i < explain->lines->len; i++)
    g_ptr_array_add (trace, g_ptr_array_index (explain->lines, i));
  for (guint i = 0; i < explain->state_changes->len; i++)
    {
      EventLine *line = g_ptr_array_index (explain->state_changes, i);

      if (line->time_ms >= first->time_ms - WINDOW_BEFORE_MS
          && line->time_ms <= last->time_ms + WINDOW_AFTER_MS
          && is_relevant (line, involved))
        g_ptr_array_add (trace, line);
    }
  g_ptr_array_sort (trace, compare_lines);
  return trace;
}

static void
render_line (GString *out, const EventLine *line, gint64 begin_ms)
{
  g_string_append_printf (out, "%+9.3f s  %-*s %-*s %s%s\n",
                          (double)(line->time_ms - begin_ms) / 1000, PROCESS_WIDTH,
                          line->process, EVENT_WIDTH, line->event,
                          strcmp (line->job, "-") == 0 ? "" : "* ", line->rest);
}

/* Reports missing lines: a trace proves nothing about its gaps. */
static void
render_gaps (GString *out, const GPtrArray *trace, GHashTable *involved)
{
  GHashTableIter iter;
  const char *process;

  g_hash_table_iter_init (&iter, involved);
  while (g_hash_table_iter_next (&iter, (gpointer *)&process, NULL))
    {
      guint own = 0;

      for (guint i = 0; i < trace->len; i++)
        {
          const EventLine *line = g_ptr_array_index (trace, i);

          if (strcmp (line->process, process) != 0)
            continue;
          own += strcmp (line->job, "-") != 0;
          if (strcmp (line->event, "lines-dropped") == 0)
            g_string_append_printf (out, "missing: %s left out lines (%s)\n", process,
                                    line->rest);
        }
      if (own == 0)
        g_string_append_printf (out, "missing: no line of %s about the request\n",
                                process);
    }
}

/* Whether any line reports the end of a run. */
static gboolean
is_reported (const GPtrArray *lines, const char *task, const char *run)
{
  for (guint i = 0; i < lines->len; i++)
    {
      const EventLine *line = g_ptr_array_index (lines, i);

      if (strcmp (line->event, "task-report") == 0
          && event_line_has (line->rest, "task", task)
          && event_line_has (line->rest, "run", run))
        return TRUE;
    }
  return FALSE;
}

static void
render_open_runs (GString *out, const GPtrArray *lines)
{
  for (guint i = 0; i < lines->len; i++)
    {
      const EventLine *line = g_ptr_array_index (lines, i);
      char *task = event_line_value (line->rest, "task");
      char *run = event_line_value (line->rest, "run");

      if (strcmp (line->event, "task-started") == 0 && task != NULL && run != NULL
          && !is_reported (lines, task, run))
        g_string_append_printf (
            out, "open: task %s run %s started at %s, its end is not told\n", task, run,
            line->process);
      g_free (task);
      g_free (run);
    }
}

static void
render_outcome (GString *out, const GPtrArray *lines)
{
  static const char *const ends[] = { "request-refused", "job-ended", "job-cancelled" };

  for (gsize e = 0; e < G_N_ELEMENTS (ends); e++)
    for (guint i = 0; i < lines->len; i++)
      {
        const EventLine *line = g_ptr_array_index (lines, i);

        if (strcmp (line->event, ends[e]) != 0)
          continue;
        g_string_append_printf (out, "outcome: %s: %s\n", line->event, line->rest);
        return;
      }
  g_string_append (out,
                   "outcome: none is told; the entry ended, or its lines are missing\n");
}

char *
explain_render (Explain *explain)
{
  GString *out = g_string_new (NULL);
  GHashTable *involved;
  GPtrArray *trace;
  const EventLine *first;

  if (explain->lines->len == 0)
    {
      g_string_printf (
          out,
          "no line about %s: it came to none of these processes, or was left "
          "out by the budget of lines\n",
          explain->job);
      return g_string_free (out, FALSE);
    }
  involved = involved_processes (explain);
  trace = merge_lines (explain, involved);
  first = g_ptr_array_index (explain->lines, 0);
  for (guint i = 0; i < trace->len; i++)
    render_line (out, g_ptr_array_index (trace, i), first->time_ms);
  render_gaps (out, trace, involved);
  render_open_runs (out, explain->lines);
  render_outcome (out, explain->lines);
  g_ptr_array_unref (trace);
  g_hash_table_unref (involved);
  return g_string_free (out, FALSE);
}
