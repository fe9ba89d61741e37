/* How late a peer is heard, and what is slowed by it: decided on figures alone. */
#include "cases.h"
#include "frame_delay.h"
#include "throttle.h"

#define FRAMES 8
#define TOLD_AT_MS 5000
#define HEARD_AT_MS 900000

/* Frames sent 100 ms apart, each on its way for so long. */
typedef struct
{
  const char *name;
  guint way_ms[FRAMES];
  guint late_ms; /* of the last */
} LatenessCase;

/* The clocks differ by any amount: only what is longer than the shortest way shows. */
static const LatenessCase lateness_cases[] = {
  { "even", { 2, 2, 2, 2, 2, 2, 2, 2 }, 0 },
  { "slow-but-even", { 80, 80, 80, 80, 80, 80, 80, 80 }, 0 },
  { "queue-grows", { 2, 2, 20, 60, 110, 160, 210, 260 }, 258 },
  { "queue-is-gone", { 2, 260, 210, 160, 110, 60, 20, 2 }, 0 },
  { "first-is-late", { 300, 2, 2, 2, 2, 2, 2, 40 }, 38 },
};

static void
test_lateness (gconstpointer data)
{
  const LatenessCase *c = data;
  FrameDelay lateness = { 0 };

  for (guint i = 0; i < FRAMES; i++)
    frame_delay_observe (&lateness, TOLD_AT_MS + (gint64)100 * i,
                         HEARD_AT_MS + (gint64)100 * i + c->way_ms[i]);
  g_assert_cmpuint (lateness.delay_ms, ==, c->late_ms);
}

/* Symptom: a server gets no work for good after its machine was frozen.
 * Sequence: its steady clock did not count the frozen time, so that all its frames seem
 *   late by that much.
 * Cause: the fastest frame ever heard taken for the measure. */
static void
test_lateness_after_freeze (void)
{
  const gint64 frozen_ms = 400;
  FrameDelay lateness = { 0 };
  gint64 at = 0;

  for (; at < 2000; at += 100)
    frame_delay_observe (&lateness, TOLD_AT_MS + at, HEARD_AT_MS + at);
  frame_delay_observe (&lateness, TOLD_AT_MS + at, HEARD_AT_MS + at + frozen_ms);
  g_assert_cmpuint (lateness.delay_ms, ==, frozen_ms);
  for (; at < 8000; at += 100)
    frame_delay_observe (&lateness, TOLD_AT_MS + at, HEARD_AT_MS + at + frozen_ms);
  g_assert_cmpuint (lateness.delay_ms, ==, 0);
}

#define LEAST_MS 15u

typedef struct
{
  const char *name;
  guint late_ms;
  guint heard;       /* times, 120 ms apart */
  guint then_prompt; /* times */
  guint least_ms;    /* of the interval in the end */
  guint most_ms;
} PaceCase;

static const PaceCase pace_cases[] = {
  { "prompt", 3, 50, 0, LEAST_MS, LEAST_MS },
  { "late-once", 100, 1, 0, 2 * LEAST_MS, 2 * LEAST_MS },
  { "late-for-long", 100, 50, 0, 200, 300 },
  { "late-and-over", 100, 50, 30, LEAST_MS, LEAST_MS },
};

static void
test_pace (gconstpointer data)
{
  const PaceCase *c = data;
  Throttle pace = throttle_new (LEAST_MS);
  gint64 now = 1000;

  for (guint i = 0; i < c->heard; i++, now += 120)
    throttle_on_delay (&pace, c->late_ms, now);
  for (guint i = 0; i < c->then_prompt; i++, now += 120)
    throttle_on_delay (&pace, 0, now);
  g_assert_cmpuint (throttle_interval_ms (&pace), >=, c->least_ms);
  g_assert_cmpuint (throttle_interval_ms (&pace), <=, c->most_ms);
  g_assert_cmpint (throttle_is_active (&pace), ==, c->least_ms > LEAST_MS);
}

/* Many frames at once say the same thing once. */
static void
test_pace_many_frames (void)
{
  const guint doubled = 2 * LEAST_MS;
  Throttle pace = throttle_new (LEAST_MS);

  for (guint i = 0; i < 100; i++)
    throttle_on_delay (&pace, 100, 1000);
  g_assert_cmpuint (throttle_interval_ms (&pace), ==, doubled);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD_CASES ("/lateness", lateness_cases, test_lateness);
  g_test_add_func ("/lateness/after-a-freeze", test_lateness_after_freeze);
  ADD_CASES ("/pace", pace_cases, test_pace);
  g_test_add_func ("/pace/many-frames", test_pace_many_frames);
  return g_test_run ();
}
