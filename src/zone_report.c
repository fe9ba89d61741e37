#include "zone_report.h"
#include "event_line.h"

#include <string.h>

#define ZONE_WIDTH 24
#define PROCESS_WIDTH 24

/* What a process last said of a zone. */
typedef struct
{
  char *zone;
  char *process;
  char *version;
  gint64 time_ms;
  gboolean closed;
} Word;

static void
word_free (gpointer data)
{
  Word *word = data;

  g_free (word->zone);
  g_free (word->process);
  g_free (word->version);
  g_free (word);
}

static Word *
find_word (GPtrArray *words, const char *zone, const char *process)
{
  for (guint i = 0; i < words->len; i++)
    {
      Word *word = g_ptr_array_index (words, i);

      if (strcmp (word->zone, zone) == 0 && strcmp (word->process, process) == 0)
        return word;
    }
  return NULL;
}

static void
take_word (GPtrArray *words, const EventLine *line, const char *zone, gboolean closed)
{
  Word *word = find_word (words, zone, line->process);

  if (word == NULL)
    {
      word = g_new0 (Word, 1);
      word->zone = g_strdup (zone);
      word->process = g_strdup (line->process);
      g_ptr_array_add (words, word);
    }
  else if (word->time_ms > line->time_ms)
    {
      return;
    }
  word->time_ms = line->time_ms;
  word->closed = closed;
  g_free (word->version);
  word->version = event_line_value (line->rest, "version");
}

/* A process that has started again knows nothing of what its earlier life said. */
static void
forget_process (GPtrArray *words, const EventLine *line)
{
  for (guint i = 0; i < words->len; i++)
    {
      Word *word = g_ptr_array_index (words, i);

      if (strcmp (word->process, line->process) == 0 && word->time_ms <= line->time_ms)
        word->closed = FALSE;
    }
}

static void
take_line (GPtrArray *words, const EventLine *line)
{
  gboolean closed = strcmp (line->event, "zone-closed") == 0;
  char *zone;

  if (strcmp (line->event, "started") == 0)
    forget_process (words, line);
  if (!closed && strcmp (line->event, "zone-opened") != 0)
    return;
  zone = event_line_value (line->rest, "zone");
  if (zone != NULL)
    take_word (words, line, zone, closed);
  g_free (zone);
}

static void
take_text (GPtrArray *words, const char *text)
{
  char **lines = g_strsplit (text, "\n", -1);

  for (char **each = lines; *each != NULL; each++)
    {
      EventLine *line = event_line_parse (*each);

      if (line == NULL)
        continue;
      take_line (words, line);
      event_line_free (line);
    }
  g_strfreev (lines);
}

static int
compare_words (gconstpointer a, gconstpointer b)
{
  const Word *left = *(Word *const *)a;
  const Word *right = *(Word *const *)b;
  int order = strcmp (left->zone, right->zone);

  return order != 0 ? order : strcmp (left->process, right->process);
}

static void
tell_word (GString *out, const Word *word)
{
  GDateTime *time = g_date_time_new_from_unix_utc (word->time_ms / 1000);
  char *since = g_date_time_format (time, "%Y-%m-%dT%H:%M:%SZ");

  g_string_append_printf (out, "%-*s %-*s closed since %s version %s\n", ZONE_WIDTH,
                          word->zone, PROCESS_WIDTH, word->process, since,
                          word->version != NULL ? word->version : "-");
  g_free (since);
  g_date_time_unref (time);
}

char *
zone_report (const char *const *texts)
{
  GPtrArray *words = g_ptr_array_new_with_free_func (word_free);
  GString *out = g_string_new (NULL);

  for (; *texts != NULL; texts++)
    take_text (words, *texts);
  g_ptr_array_sort (words, compare_words);
  for (guint i = 0; i < words->len; i++)
    {
      const Word *word = g_ptr_array_index (words, i);

      if (word->closed)
        tell_word (out, word);
    }
  if (out->len == 0)
    g_string_append (out, "no availability zone is closed\n");
  g_ptr_array_unref (words);
  return g_string_free (out, FALSE);
}
