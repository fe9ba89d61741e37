#include "bench_counts.h"

#include <string.h>

static void
add_counters (GHashTable *sums, const char *page)
{
  char **lines = g_strsplit (page, "\n", -1);

  for (char **line = lines; *line != NULL; line++)
    {
      char *blank = strchr (*line, ' ');
      guint64 *sum;

      if (blank == NULL)
        continue;
      *blank = '\0';
      sum = g_hash_table_lookup (sums, *line);
      if (sum == NULL)
        {
          sum = g_new0 (guint64, 1);
          g_hash_table_insert (sums, g_strdup (*line), sum);
        }
      *sum += g_ascii_strtoull (blank + 1, NULL, 10);
    }
  g_strfreev (lines);
}

static GHashTable *
sum_counters (Harness *harness, GPtrArray *processes)
{
  GHashTable *sums = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);

  for (guint i = 0; i < processes->len; i++)
    {
      const Process *process = g_ptr_array_index (processes, i);
      Exchange *exchange;

      if (process->pid == 0)
        continue;
      exchange = harness_get (harness, process->http, "/counters");
      add_counters (sums, exchange->body);
      exchange_free (exchange);
    }
  return sums;
}

Counts
counts_take (Harness *harness)
{
  Counts counts = { sum_counters (harness, harness->entries),
                    sum_counters (harness, harness->agents) };

  return counts;
}

void
counts_free (Counts *counts)
{
  g_hash_table_unref (counts->entry);
  g_hash_table_unref (counts->agent);
}

static double
increase_of (GHashTable *before, GHashTable *after, const char *name)
{
  const guint64 *old = g_hash_table_lookup (before, name);
  const guint64 *new = g_hash_table_lookup (after, name);

  return MAX ((new != NULL ? (double)*new : 0) - (old != NULL ? (double)*old : 0), 0);
}

double
counts_entries_increase (const Counts *before, const Counts *after, const char *name)
{
  return increase_of (before->entry, after->entry, name);
}

double
counts_agents_increase (const Counts *before, const Counts *after, const char *name)
{
  return increase_of (before->agent, after->agent, name);
}

double
counts_increase (const Counts *before, const Counts *after, const char *name)
{
  return counts_entries_increase (before, after, name)
         + counts_agents_increase (before, after, name);
}
