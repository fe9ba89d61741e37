/* Relative run times of servers, and that nothing changes where they are equal. */
#include "cases.h"
#include "load_mixes.h"
#include "load_replay.h"
#include "relative_speed.h"

#include <math.h>

#define SPEED_RUNS 12

#define SPEEDS_MAX 6

typedef struct
{
  const char *name;
  guint min_runs;
  guint n;
  guint percents[SPEEDS_MAX];
  guint runs[SPEEDS_MAX];
  double times[SPEEDS_MAX];
  gboolean differed;
} SpeedCase;

static const SpeedCase speed_cases[] = {
  { "no-server", 12, 0 },
  { "off", 0, 3, { 60, 100, 160 }, { 200, 200, 200 }, { 1, 1, 1 } },
  { "not-known", 12, 3, { 60, 100, 160 }, { 11, 11, 0 }, { 1, 1, 1 } },
  { "within-noise", 12, 3, { 90, 100, 112 }, { 200, 200, 200 }, { 1, 1, 1 } },
  { "three-speeds", 12, 3, { 60, 100, 160 }, { 200, 12, 200 }, { 0.6, 1, 1.6 } },
  { "relative-to-median", 12, 3, { 300, 500, 800 }, { 99, 99, 99 }, { 0.6, 1, 1.6 } },
  { "known-for-some",
    12,
    4,
    { 60, 100, 160, 100 },
    { 99, 99, 99, 3 },
    { 0.6, 1, 1.6, 1 } },
  { "absurd-is-limited", 12, 3, { 5, 100, 2000 }, { 99, 99, 99 }, { 0.25, 1, 4 } },
  { "out-of-range", 12, 3, { 4, 100, 2001 }, { 99, 99, 99 }, { 1, 1, 1 } },
  /* A server that backs off for 30 ms switched all times on and off again. */
  { "stays-uneven", 12, 3, { 90, 100, 110 }, { 99, 99, 99 }, { 0.9, 1, 1.1 }, TRUE },
  { "becomes-even", 12, 3, { 95, 100, 105 }, { 99, 99, 99 }, { 1, 1, 1 }, TRUE },
};

static void
test_speeds (gconstpointer data)
{
  const SpeedCase *c = data;
  RelativeSpeed speeds[SPEEDS_MAX] = { 0 };
  RelativeSpread spread;

  for (guint i = 0; i < c->n; i++)
    {
      speeds[i].percent = c->percents[i];
      speeds[i].runs = c->runs[i];
    }
  spread = relative_speed_compute (speeds, c->n, c->min_runs, c->differed);
  for (guint i = 0; i < c->n; i++)
    g_assert_cmpfloat_with_epsilon (speeds[i].time, c->times[i], 1e-9);
  if (!spread.uneven)
    g_assert_cmpfloat (spread.fast, ==, 1);
}

/* Among many equal servers: one that crawls for good stays known as slow, and one that
 * claims to be fast attracts nothing. */
typedef struct
{
  const char *name;
  guint percent;
  double time;
} OutlierCase;

static const OutlierCase outlier_cases[] = {
  { "crawls", 300, 3 },
  { "absurdly-slow", 2000, 4 },
  { "absurdly-fast", 5, 1 },
  { "little-slower", 150, 1 },
};

static void
test_outlier (gconstpointer data)
{
  const OutlierCase *c = data;
  RelativeSpeed speeds[30];

  for (guint i = 0; i < G_N_ELEMENTS (speeds); i++)
    speeds[i] = (RelativeSpeed){ i == 7 ? c->percent : 100, 200 };
  relative_speed_compute (speeds, G_N_ELEMENTS (speeds), SPEED_RUNS, FALSE);
  for (guint i = 0; i < G_N_ELEMENTS (speeds); i++)
    g_assert_cmpfloat (speeds[i].time, ==, i == 7 ? c->time : 1);
}

/* Guards against decisions that change where there is nothing to learn: results of the
 * version that had no speeds, 6 s of a mix each. */
typedef struct
{
  const char *name;
  double load;
  guint mix;
  guint entries;
  guint jobs;
  guint on_time;
  guint served;
  guint refused;
  double earned;
} UnchangedCase;

static const UnchangedCase unchanged_cases[] = {
  { "three-kinds-1", 0.7, 0, 1, 960, 960, 960, 0, 21.413030282 },
  { "three-kinds-4", 0.9, 0, 4, 1163, 1158, 1160, 3, 23.072658069 },
  { "three-kinds-12", 1.15, 0, 12, 1501, 1240, 1336, 165, 25.497832799 },
  { "undeclared-4", 0.7, 1, 4, 851, 851, 851, 0, 18.595624876 },
  { "undeclared-12", 0.9, 1, 12, 1056, 991, 1018, 38, 21.209995881 },
  { "undeclared-1", 1.15, 1, 1, 1372, 1216, 1232, 140, 24.467037148 },
  { "short-and-long-12", 0.7, 2, 12, 3774, 3774, 3774, 0, 15.481198332 },
  { "short-and-long-1", 0.9, 2, 1, 4779, 4685, 4702, 77, 22.173084580 },
  { "short-and-long-4", 1.15, 2, 4, 6000, 5396, 5455, 544, 25.375470185 },
  { "one-kind-1", 0.7, 3, 1, 481, 481, 481, 0, 9.620453955 },
  { "one-kind-4", 0.9, 3, 4, 625, 601, 607, 18, 11.967635917 },
  { "one-kind-12", 1.15, 3, 12, 798, 663, 689, 109, 12.709384283 },
  { "very-wide-4", 0.7, 4, 4, 2046, 1950, 1957, 89, 38.140538889 },
  { "very-wide-12", 0.9, 4, 12, 2678, 2429, 2465, 213, 43.939194674 },
  { "very-wide-1", 1.15, 4, 1, 3328, 2216, 2221, 1107, 46.809411718 },
  { "long-and-skewed-12", 0.7, 5, 12, 4618, 4618, 4618, 0, 21.986709927 },
  { "long-and-skewed-1", 0.9, 5, 1, 5939, 5914, 5922, 17, 29.317502764 },
  { "long-and-skewed-4", 1.15, 5, 4, 7591, 7026, 7093, 496, 30.335197518 },
};

static void
assert_unchanged (const UnchangedCase *c, guint speed_runs, LoadSpeeds speeds)
{
  LoadInit init
      = load_init_from_mix (&load_mixes[c->mix], c->load, c->entries, 11 + c->mix);
  LoadResult result = { 0 };

  init.length_ms = 6000;
  init.speed_runs = speed_runs;
  init.speeds = speeds;
  load_replay (&init, &result);
  g_assert_cmpuint (result.all.jobs, ==, c->jobs);
  g_assert_cmpuint (result.all.on_time, ==, c->on_time);
  g_assert_cmpuint (result.all.served, ==, c->served);
  g_assert_cmpuint (result.all.refused, ==, c->refused);
  g_assert_cmpfloat (fabs (result.all.earned - c->earned), <, 1e-8);
}

static void
test_unchanged (gconstpointer data)
{
  assert_unchanged (data, 0, LOAD_SPEEDS_EXACT);
  assert_unchanged (data, SPEED_RUNS, LOAD_SPEEDS_EXACT);
  assert_unchanged (data, SPEED_RUNS, LOAD_SPEEDS_NOISY);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD_CASES ("/relative-speed/times", speed_cases, test_speeds);
  ADD_CASES ("/relative-speed/outlier", outlier_cases, test_outlier);
  ADD_CASES ("/relative-speed/unchanged", unchanged_cases, test_unchanged);
  return g_test_run ();
}
