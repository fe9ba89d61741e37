#include "zone_report.h"
#include "event_line.h"

#include <string.h>

#define ZONE_WIDTH 24
#define PROCESS_WIDTH 24

/* The state of a zone that a process reported last. */
typedef struct
{
  char *zone;
  char *process;
  char *version;
  gint64 time_ms;
  gboolean closed;
} ZoneRow;

static void
row_free (gpointer data)
{
  ZoneRow *row = data;

  g_free (row->zone);
  g_free (row->process);
  g_free (row->version);
  g_free (row);
}

static ZoneRow *
find_row (GPtrArray *rows, const char *zone, const char *process)
{
  for (guint i = 0; i < rows->len; i++)
    {
      ZoneRow *row = g_ptr_array_index (rows, i);

      if (strcmp (row->zone, zone) == 0 && strcmp (row->process, process) == 0)
        return row;
    }
  return NULL;
}

static void
update_row (GPtrArray *rows, const EventLine *line, const char *zone, gboolean closed)
{
  ZoneRow *row = find_row (rows, zone, line->process);

  if (row == NULL)
    {
      row = g_new0 (ZoneRow, 1);
      row->zone = g_strdup (zone);
      row->process = g_strdup (line->process);
      g_ptr_array_add (rows, row);
    }
  else if (row->time_ms > line->time_ms)
    {
      return;
    }
  row->time_ms = line->time_ms;
  row->closed = closed;
  g_free (row->version);
  row->version = event_line_value (line->rest, "version");
}

/* A restarted process knows nothing of the zones it reported before. */
static void
reset_process (GPtrArray *rows, const EventLine *line)
{
  for (guint i = 0; i < rows->len; i++)
    {
      ZoneRow *row = g_ptr_array_index (rows, i);

      if (strcmp (row->process, line->process) == 0 && row->time_ms <= line->time_ms)
        row->closed = FALSE;
    }
}

static void
read_line (GPtrArray *rows, const EventLine *line)
{
  gboolean closed = strcmp (line->event, "zone-closed") == 0;
  char *zone;

  if (strcmp (line->event, "started") == 0)
    reset_process (rows, line);
  if (!closed && strcmp (line->event, "zone-opened") != 0)
    return;
  zone = event_line_value (line->rest, "zone");
  if (zone != NULL)
    update_row (rows, line, zone, closed);
  g_free (zone);
}

static void
read_text (GPtrArray *rows, const char *text)
{
  char **lines = g_strsplit (text, "\n", -1);

  for (char **each = lines; *each != NULL; each++)
    {
      EventLine *line = event_line_parse (*each);

      if (line == NULL)
        continue;
      read_line (rows, line);
      event_line_free (line);
    }
  g_strfreev (lines);
}

static int
compare_rows (gconstpointer a, gconstpointer b)
{
  const ZoneRow *left = *(ZoneRow *const *)a;
  const ZoneRow *right = *(ZoneRow *const *)b;
  int order = strcmp (left->zone, right->zone);

  return order != 0 ? order : strcmp (left->process, right->process);
}

static void
print_row (GString *out, const ZoneRow *row)
{
  GDateTime *time = g_date_time_new_from_unix_utc (row->time_ms / 1000);
  char *since = g_date_time_format (time, "%Y-%m-%dT%H:%M:%SZ");

  g_string_append_printf (out, "%-*s %-*s closed since %s version %s\n", ZONE_WIDTH,
                          row->zone, PROCESS_WIDTH, row->process, since,
                          row->version != NULL ? row->version : "-");
  g_free (since);
  g_date_time_unref (time);
}

char *
zone_report (const char *const *texts)
{
  GPtrArray *rows = g_ptr_array_new_with_free_func (row_free);
  GString *out = g_string_new (NULL);

  for (; *texts != NULL; texts++)
    read_text (rows, *texts);
  g_ptr_array_sort (rows, compare_rows);
  for (guint i = 0; i < rows->len; i++)
    {
      const ZoneRow *row = g_ptr_array_index (rows, i);

      if (row->closed)
        print_row (out, row);
    }
  if (out->len == 0)
    g_string_append (out, "no availability zone is closed\n");
  g_ptr_array_unref (rows);
  return g_string_free (out, FALSE);
}
