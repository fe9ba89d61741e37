/* Event lines: bounded rate, sampled by whole request, never blocking. */
#include "counters.h"
#include "events.h"
#include "histograms.h"

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#define LOG_MODULE "test"
#define BUDGET 50
#define LINES 20000

/* Writes that block stall the process once nobody reads its standard output. */
static void
test_stopped_reader (void)
{
  struct event_base *base = event_base_new ();
  int saved_stdout = dup (STDOUT_FILENO);
  int fds[2];
  guint64 dropped = counter_values[COUNTER_EVENTS_DROPPED];

  g_assert_cmpint (pipe (fds), ==, 0);
  dup2 (fds[1], STDOUT_FILENO);
  events_init (base, "p", 1000000);
  for (guint i = 0; i < LINES; i++)
    {
      event_note ("something", "job", "number=%u", i);
      if (i % 100 == 0)
        event_base_loop (base, EVLOOP_NONBLOCK);
    }
  events_close ();
  dup2 (saved_stdout, STDOUT_FILENO);
  close (saved_stdout);
  close (fds[0]);
  close (fds[1]);
  g_assert_cmpuint (counter_values[COUNTER_EVENTS_DROPPED], >, dropped);
  event_base_free (base);
}

/* Routine lines are limited to twice the budget; important ones are still written. */
static void
test_budget (void)
{
  struct event_base *base = event_base_new ();
  int saved_stdout = dup (STDOUT_FILENO);
  int null_fd = open ("/dev/null", O_WRONLY);
  guint64 written;

  dup2 (null_fd, STDOUT_FILENO);
  events_init (base, "p", BUDGET);
  written = counter_values[COUNTER_EVENTS_WRITTEN];
  for (guint i = 0; i < 10 * BUDGET; i++)
    event_emit ("routine", "job", "number=%u", i);
  g_assert_cmpuint (counter_values[COUNTER_EVENTS_WRITTEN] - written, <=,
                    (guint64)2 * BUDGET);
  written = counter_values[COUNTER_EVENTS_WRITTEN];
  event_note ("important", "job", "number=%u", 1);
  g_assert_cmpuint (counter_values[COUNTER_EVENTS_WRITTEN] - written, ==, 1);
  events_close ();
  dup2 (saved_stdout, STDOUT_FILENO);
  close (saved_stdout);
  close (null_fd);
  event_base_free (base);
}

static void
test_histograms (void)
{
  char *page;

  histogram_observe (HISTOGRAM_RUN, 3);
  histogram_observe (HISTOGRAM_RUN, 7000);
  page = histograms_page ();
  g_assert_nonnull (strstr (page, "leased_run_ms_bucket{le=\"2\"} 0\n"));
  g_assert_nonnull (strstr (page, "leased_run_ms_bucket{le=\"5\"} 1\n"));
  g_assert_nonnull (strstr (page, "leased_run_ms_bucket{le=\"+Inf\"} 2\n"));
  g_assert_nonnull (strstr (page, "leased_run_ms_sum 7003\n"));
  g_free (page);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/events/stopped-reader", test_stopped_reader);
  g_test_add_func ("/events/budget", test_budget);
  g_test_add_func ("/events/histograms", test_histograms);
  return g_test_run ();
}
