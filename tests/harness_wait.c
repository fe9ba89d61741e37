/* Waits on the test's event loop. */
#include "clock.h"
#include "harness.h"

#define POLL_MS 5

static void
on_timeout (evutil_socket_t fd, short what, void *ctx)
{
}

void
harness_run_ms (Harness *harness, guint ms)
{
  gint64 end = clock_now_ms () + ms;
  struct timeval step = timeval_from_ms (POLL_MS);

  do
    {
      event_base_once (harness->base, -1, EV_TIMEOUT, on_timeout, NULL, &step);
      event_base_loop (harness->base, EVLOOP_ONCE);
    }
  while (clock_now_ms () < end);
}

void
harness_wait (Harness *harness,
              HarnessCondition condition,
              gpointer ctx,
              const char *what)
{
  gint64 end = clock_now_ms () + HARNESS_WAIT_MS;

  while (!condition (ctx))
    {
      if (clock_now_ms () > end)
        g_error ("timed out waiting for: %s", what);
      harness_run_ms (harness, POLL_MS);
    }
}

void
harness_assert_within (gint64 since_ms, gint64 max_ms)
{
  gint64 took_ms = clock_now_ms () - since_ms;

  g_test_message ("after %" G_GINT64_FORMAT " ms", took_ms);
  g_assert_cmpint (took_ms, <=, max_ms);
}
