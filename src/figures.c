#define LOG_MODULE "figures"
#include "figures.h"
#include "clock.h"
#include "counters.h"
#include "events.h"
#include "histograms.h"

#include <string.h>
#include <sys/resource.h>

#define INTERVAL_MS 2000

struct Figures
{
  struct event *timer;
  guint64 before[COUNTER_LAST];
  gint64 processor_us; /* used until the last line */
  gint64 lag_ms;       /* most since the last line */
};

static gint64
microseconds (const struct timeval *time)
{
  return (gint64)time->tv_sec * G_USEC_PER_SEC + time->tv_usec;
}

static gint64
processor_us (void)
{
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  return microseconds (&usage.ru_utime) + microseconds (&usage.ru_stime);
}

static guint64
since_last (const Figures *figures, Counter counter)
{
  return counter_values[counter] - figures->before[counter];
}

static void
on_timer (evutil_socket_t fd, short what, void *ctx)
{
  Figures *figures = ctx;
  gint64 used_us = processor_us ();

#define SINCE(counter) since_last (figures, COUNTER_##counter)
  event_note ("figures", "-",
              "frames_sent=%" G_GUINT64_FORMAT " bytes_sent=%" G_GUINT64_FORMAT
              " frames_received=%" G_GUINT64_FORMAT " bytes_received=%" G_GUINT64_FORMAT
              " wishes=%" G_GUINT64_FORMAT " orders=%" G_GUINT64_FORMAT
              " states=%" G_GUINT64_FORMAT " reports=%" G_GUINT64_FORMAT
              " links_opened=%" G_GUINT64_FORMAT " links_silent=%" G_GUINT64_FORMAT
              " backlog_most=%" G_GUINT64_FORMAT " lag_most_ms=%" G_GINT64_FORMAT
              " cpu_us=%" G_GINT64_FORMAT,
              SINCE (FRAMES_SENT), SINCE (BYTES_SENT), SINCE (FRAMES_RECEIVED),
              SINCE (BYTES_RECEIVED), SINCE (WISHES_SENT), SINCE (RUN_ORDERS_SENT),
              SINCE (STATES_SENT), SINCE (RUN_REPORTS_SENT), SINCE (LINKS_OPENED),
              SINCE (LINKS_SILENT), counter_values[COUNTER_LINK_BACKLOG], figures->lag_ms,
              used_us - figures->processor_us);
#undef SINCE
  memcpy (figures->before, counter_values, sizeof figures->before);
  figures->processor_us = used_us;
  figures->lag_ms = 0;
}

Figures *
figures_new (struct event_base *base)
{
  Figures *figures = g_new0 (Figures, 1);
  struct timeval interval = timeval_from_ms (INTERVAL_MS);

  figures->timer = event_new (base, -1, EV_PERSIST, on_timer, figures);
  event_add (figures->timer, &interval);
  return figures;
}

void
figures_free (Figures *figures)
{
  if (figures == NULL)
    return;
  event_free (figures->timer);
  g_free (figures);
}

void
figures_note_lag (Figures *figures, gint64 lag_ms)
{
  histogram_observe (HISTOGRAM_LOOP_LAG, lag_ms);
  figures->lag_ms = MAX (figures->lag_ms, lag_ms);
}
