/* The delay of a peer's frames, and the send throttle that follows it. */
#include "cases.h"
#include "frame_delay.h"
#include "throttle.h"

#define FRAMES 8
#define SENT_AT_MS 5000
#define RECEIVED_AT_MS 900000

/* Frames sent 100 ms apart, and the transit time of each. */
typedef struct
{
  const char *name;
  guint transit_ms[FRAMES];
  guint delay_ms; /* of the last */
} DelayCase;

/* The clocks differ by any amount, so only the delay beyond the shortest transit time is
 * known. */
static const DelayCase delay_cases[] = {
  { "even", { 2, 2, 2, 2, 2, 2, 2, 2 }, 0 },
  { "slow-but-even", { 80, 80, 80, 80, 80, 80, 80, 80 }, 0 },
  { "queue-grows", { 2, 2, 20, 60, 110, 160, 210, 260 }, 258 },
  { "queue-is-gone", { 2, 260, 210, 160, 110, 60, 20, 2 }, 0 },
  { "first-is-late", { 300, 2, 2, 2, 2, 2, 2, 40 }, 38 },
};

static void
test_frame_delay (gconstpointer data)
{
  const DelayCase *c = data;
  FrameDelay delay = { 0 };

  for (guint i = 0; i < FRAMES; i++)
    frame_delay_observe (&delay, SENT_AT_MS + (gint64)100 * i,
                         RECEIVED_AT_MS + (gint64)100 * i + c->transit_ms[i]);
  g_assert_cmpuint (delay.delay_ms, ==, c->delay_ms);
}

/* A server got no more work after its machine was frozen: its steady clock did not count
 * the frozen time, and delay was measured against the fastest frame ever received, so
 * that all later frames seemed delayed by that much. */
static void
test_frame_delay_after_freeze (void)
{
  const gint64 frozen_ms = 400;
  FrameDelay delay = { 0 };
  gint64 at = 0;

  for (; at < 2000; at += 100)
    frame_delay_observe (&delay, SENT_AT_MS + at, RECEIVED_AT_MS + at);
  frame_delay_observe (&delay, SENT_AT_MS + at, RECEIVED_AT_MS + at + frozen_ms);
  g_assert_cmpuint (delay.delay_ms, ==, frozen_ms);
  for (; at < 8000; at += 100)
    frame_delay_observe (&delay, SENT_AT_MS + at, RECEIVED_AT_MS + at + frozen_ms);
  g_assert_cmpuint (delay.delay_ms, ==, 0);
}

#define MIN_MS 15u

typedef struct
{
  const char *name;
  guint delay_ms;
  guint reports;     /* of this delay, 120 ms apart */
  guint then_prompt; /* reports without delay after that */
  guint least_ms;    /* of the interval in the end */
  guint most_ms;
} ThrottleCase;

static const ThrottleCase throttle_cases[] = {
  { "prompt", 3, 50, 0, MIN_MS, MIN_MS },
  { "late-once", 100, 1, 0, 2 * MIN_MS, 2 * MIN_MS },
  { "late-for-long", 100, 50, 0, 200, 300 },
  { "late-and-over", 100, 50, 30, MIN_MS, MIN_MS },
};

static void
test_throttle (gconstpointer data)
{
  const ThrottleCase *c = data;
  Throttle throttle = throttle_new (MIN_MS);
  gint64 now = 1000;

  for (guint i = 0; i < c->reports; i++, now += 120)
    throttle_on_delay (&throttle, c->delay_ms, now);
  for (guint i = 0; i < c->then_prompt; i++, now += 120)
    throttle_on_delay (&throttle, 0, now);
  g_assert_cmpuint (throttle_interval_ms (&throttle), >=, c->least_ms);
  g_assert_cmpuint (throttle_interval_ms (&throttle), <=, c->most_ms);
  g_assert_cmpint (throttle_is_active (&throttle), ==, c->least_ms > MIN_MS);
}

/* Many frames at once count as one report. */
static void
test_throttle_many_frames (void)
{
  const guint doubled = 2 * MIN_MS;
  Throttle throttle = throttle_new (MIN_MS);

  for (guint i = 0; i < 100; i++)
    throttle_on_delay (&throttle, 100, 1000);
  g_assert_cmpuint (throttle_interval_ms (&throttle), ==, doubled);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD_CASES ("/lateness", delay_cases, test_frame_delay);
  g_test_add_func ("/lateness/after-a-freeze", test_frame_delay_after_freeze);
  ADD_CASES ("/pace", throttle_cases, test_throttle);
  g_test_add_func ("/pace/many-frames", test_throttle_many_frames);
  return g_test_run ();
}
