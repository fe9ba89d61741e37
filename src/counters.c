#include "counters.h"

#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

guint64 counter_values[COUNTER_LAST];

static const struct
{
  const char *name;
  const char *text;
} counter_table[] = {
#define X(id, name, text) { name, text },
  COUNTER_LIST (X)
#undef X
};

/* Resident memory in kB; 0 if it cannot be read. */
static guint64
resident_kb (void)
{
  char *text = NULL;
  guint64 pages = 0;

  if (g_file_get_contents ("/proc/self/statm", &text, NULL, NULL))
    {
      const char *second = strchr (text, ' ');

      pages = second != NULL ? g_ascii_strtoull (second + 1, NULL, 10) : 0;
    }
  g_free (text);
  return pages * (guint64)sysconf (_SC_PAGESIZE) / 1024;
}

static guint
open_files (void)
{
  GDir *dir = g_dir_open ("/proc/self/fd", 0, NULL);
  guint n = 0;

  if (dir == NULL)
    return 0;
  while (g_dir_read_name (dir) != NULL)
    n++;
  g_dir_close (dir);
  return n;
}

static void
append_usage (GString *page)
{
  struct rusage usage;
  gint64 cpu_us;

  getrusage (RUSAGE_SELF, &usage);
  cpu_us = (gint64)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1000000
           + usage.ru_utime.tv_usec + usage.ru_stime.tv_usec;
  g_string_append_printf (page, "process_cpu_us %" G_GINT64_FORMAT "\n", cpu_us);
  g_string_append_printf (page, "process_open_files %u\n", open_files ());
  g_string_append_printf (page, "process_rss_kb %" G_GUINT64_FORMAT "\n", resident_kb ());
  g_string_append_printf (page, "process_max_rss_kb %ld\n", usage.ru_maxrss);
}

char *
counters_page (void)
{
  GString *page = g_string_new (NULL);

  for (int i = 0; i < COUNTER_LAST; i++)
    g_string_append_printf (page, "%s %" G_GUINT64_FORMAT "\n", counter_table[i].name,
                            counter_values[i]);
  append_usage (page);
  return g_string_free (page, FALSE);
}

char *
counters_docs (void)
{
  GString *page = g_string_new (NULL);

  for (int i = 0; i < COUNTER_LAST; i++)
    g_string_append_printf (page, "%s: %s\n", counter_table[i].name,
                            counter_table[i].text);
  return g_string_free (page, FALSE);
}
