#define LOG_MODULE "figures"
#include "process_stats.h"
#include "clock.h"
#include "counters.h"
#include "events.h"
#include "histograms.h"

#include <string.h>
#include <sys/resource.h>

#define INTERVAL_MS 2000

struct ProcessStats
{
  struct event *timer;
  guint64 last[COUNTER_LAST];
  gint64 cpu_us; /* at the last line */
  gint64 lag_ms; /* maximum since the last line */
};

static gint64
microseconds (const struct timeval *time)
{
  return (gint64)time->tv_sec * G_USEC_PER_SEC + time->tv_usec;
}

static gint64
process_cpu_us (void)
{
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  return microseconds (&usage.ru_utime) + microseconds (&usage.ru_stime);
}

static guint64
since_last (const ProcessStats *stats, Counter counter)
{
  return counter_values[counter] - stats->last[counter];
}

static void
on_timer (evutil_socket_t fd, short what, void *ctx)
{
  ProcessStats *stats = ctx;
  gint64 cpu_us = process_cpu_us ();

#define SINCE(counter) since_last (stats, COUNTER_##counter)
  event_note ("figures", "-",
              "frames_sent=%" G_GUINT64_FORMAT " bytes_sent=%" G_GUINT64_FORMAT
              " frames_received=%" G_GUINT64_FORMAT " bytes_received=%" G_GUINT64_FORMAT
              " wishes=%" G_GUINT64_FORMAT " orders=%" G_GUINT64_FORMAT
              " states=%" G_GUINT64_FORMAT " reports=%" G_GUINT64_FORMAT
              " links_opened=%" G_GUINT64_FORMAT " links_silent=%" G_GUINT64_FORMAT
              " backlog_most=%" G_GUINT64_FORMAT " lag_most_ms=%" G_GINT64_FORMAT
              " cpu_us=%" G_GINT64_FORMAT " entries_sent=%" G_GUINT64_FORMAT
              " known=%" G_GUINT64_FORMAT " linked=%" G_GUINT64_FORMAT
              " table_reads=%" G_GUINT64_FORMAT " table_errors=%" G_GUINT64_FORMAT
              " table_repeats=%" G_GUINT64_FORMAT,
              SINCE (FRAMES_SENT), SINCE (BYTES_SENT), SINCE (FRAMES_RECEIVED),
              SINCE (BYTES_RECEIVED), SINCE (RESOURCE_REQUESTS_SENT),
              SINCE (RUN_ORDERS_SENT), SINCE (STATES_SENT), SINCE (RUN_REPORTS_SENT),
              SINCE (LINKS_OPENED), SINCE (LINKS_SILENT),
              counter_values[COUNTER_LINK_BACKLOG], stats->lag_ms, cpu_us - stats->cpu_us,
              SINCE (ENTRIES_SENT), counter_values[COUNTER_ENTRIES_KNOWN],
              counter_values[COUNTER_ENTRIES_LINKED], SINCE (TABLE_READS),
              SINCE (TABLE_ERRORS), SINCE (TABLE_REPEATS));
#undef SINCE
  memcpy (stats->last, counter_values, sizeof stats->last);
  stats->cpu_us = cpu_us;
  stats->lag_ms = 0;
}

ProcessStats *
process_stats_new (struct event_base *base)
{
  ProcessStats *stats = g_new0 (ProcessStats, 1);
  struct timeval interval = timeval_from_ms (INTERVAL_MS);

  stats->timer = event_new (base, -1, EV_PERSIST, on_timer, stats);
  event_add (stats->timer, &interval);
  return stats;
}

void
process_stats_free (ProcessStats *stats)
{
  if (stats == NULL)
    return;
  event_free (stats->timer);
  g_free (stats);
}

void
process_stats_note_lag (ProcessStats *stats, gint64 lag_ms)
{
  histogram_observe (HISTOGRAM_LOOP_LAG, lag_ms);
  stats->lag_ms = MAX (stats->lag_ms, lag_ms);
}
