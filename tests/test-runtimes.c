/* Learned run times: means, quantiles and the slowest of many, against known
 * distributions. */
#include "cases.h"
#include "runtimes.h"

#include <math.h>

#define DECLARED_MS 100
#define SEED 11

/* Standard deviations of the logarithm, and the share of runs that take TAIL_FACTOR times
 * as long. */
typedef struct
{
  double median_ms;
  double spread;
  double tail;
} Distribution;

#define TAIL_FACTOR 7.0

static double
draw_normal (GRand *random)
{
  double sum = 0;

  for (guint i = 0; i < 12; i++)
    sum += g_rand_double (random);
  return sum - 6;
}

static double
draw_run (GRand *random, const Distribution *distribution)
{
  double run_ms
      = distribution->median_ms * exp (distribution->spread * draw_normal (random));

  return g_rand_double (random) < distribution->tail ? run_ms * TAIL_FACTOR : run_ms;
}

static void
observe_runs (Runtimes *runtimes,
              GRand *random,
              const Distribution *distribution,
              guint n)
{
  for (guint i = 0; i < n; i++)
    runtimes_observe (runtimes, DECLARED_MS,
                      (guint)(draw_run (random, distribution) + 0.5));
}

static int
compare_doubles (gconstpointer a, gconstpointer b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}

static double
true_quantile (GRand *random, const Distribution *distribution, double q)
{
  GArray *runs = g_array_new (FALSE, FALSE, sizeof (double));
  double value;

  for (guint i = 0; i < 100000; i++)
    {
      value = draw_run (random, distribution);
      g_array_append_val (runs, value);
    }
  g_array_sort (runs, compare_doubles);
  value = g_array_index (runs, double, (guint)(q * (runs->len - 1)));
  g_array_unref (runs);
  return value;
}

static double
true_slowest (GRand *random, const Distribution *distribution, guint n)
{
  double sum = 0;

  for (guint i = 0; i < 4000; i++)
    {
      double slowest = 0;

      for (guint j = 0; j < n; j++)
        {
          double run_ms = draw_run (random, distribution);

          slowest = MAX (slowest, run_ms);
        }
      sum += slowest;
    }
  return sum / 4000;
}

static void
assert_near (double value, double expected, double error)
{
  if (fabs (value / expected - 1) > error)
    g_test_message ("%.1f is further than %.2f from %.1f", value, error, expected);
  g_assert_cmpfloat (fabs (value / expected - 1), <=, error);
}

/* One quantile or one number of tasks; errors are relative. */
typedef struct
{
  const char *name;
  Distribution distribution;
  double q; /* 0: the slowest of @n */
  guint n;
  double error;
} ShapeCase;

/* Guards against quantiles of a shape that the runs do not have: with a log-normal one,
 * the 0.99 quantile of a queue of which 3% take 7 times as long is 3.2 of its median, and
 * each of those runs would be an outlier. The errors are those of 2,000 runs, of which
 * about the last 330 count: a bucket is a factor of 1.26, and 3% of them are 10. */
static const ShapeCase shape_cases[] = {
  { "median", { 100, 0.4, 0 }, 0.5, 0, 0.12 },
  { "nine-of-ten", { 100, 0.4, 0 }, 0.9, 0, 0.15 },
  { "all-but-one-of-a-hundred", { 100, 0.4, 0 }, 0.99, 0, 0.25 },
  { "long-tail-median", { 100, 0.3, 0.03 }, 0.5, 0, 0.12 },
  { "long-tail-all-but-one-of-a-hundred", { 100, 0.3, 0.03 }, 0.99, 0, 0.25 },
  { "slowest-of-one", { 100, 0.4, 0 }, 0, 1, 0.1 },
  { "slowest-of-8", { 100, 0.4, 0 }, 0, 8, 0.1 },
  { "slowest-of-32", { 100, 0.4, 0 }, 0, 32, 0.12 },
  { "slowest-of-8-of-a-narrow-queue", { 60, 0.1, 0 }, 0, 8, 0.1 },
  { "slowest-of-8-with-a-long-tail", { 100, 0.3, 0.03 }, 0, 8, 0.25 },
  { "slowest-of-32-with-a-long-tail", { 100, 0.3, 0.03 }, 0, 32, 0.25 },
};

static void
test_shape (gconstpointer data)
{
  const ShapeCase *c = data;
  GRand *random = g_rand_new_with_seed (SEED);
  Runtimes runtimes = { 0 };

  observe_runs (&runtimes, random, &c->distribution, 2000);
  if (c->q > 0)
    assert_near (runtimes_quantile (&runtimes, DECLARED_MS, c->q),
                 true_quantile (random, &c->distribution, c->q), c->error);
  else
    assert_near (runtimes_slowest (&runtimes, DECLARED_MS, c->n),
                 true_slowest (random, &c->distribution, c->n), c->error);
  g_rand_free (random);
}

/* How many runs were observed, and which part of the declared time they took. */
typedef struct
{
  const char *name;
  double factor;
  double median; /* expected, in ms */
  double error;
  guint runs;
  gboolean has_shape;
} FewCase;

/* Guards against quantiles that rest on the first few runs of a queue, and against those
 * of declared times that are off by a factor of 10. Until there is a shape, the mean is
 * followed and the shape is log-normal: its median is exp (-0.125) of its mean. */
static const FewCase few_cases[] = {
  { "nothing-seen", 1, 88.2, 0.02, 0, FALSE },
  { "one-run-of-seven-times", 7, 88.2, 0.02, 1, FALSE },
  { "first-runs", 1, 88.2, 0.02, RUNTIMES_SHAPE_SAMPLES - 1, FALSE },
  { "own-shape", 1, 100, 0.12, RUNTIMES_SHAPE_SAMPLES, TRUE },
  { "declared-a-tenth", 10, 1000, 0.12, 200, TRUE },
  { "declared-ten-times", 0.1, 10, 0.13, 200, TRUE },
  { "declared-a-tenth-first-runs", 10, 882, 0.02, 20, FALSE },
  { "declared-ten-times-first-runs", 0.1, 8.82, 0.02, 20, FALSE },
};

static void
test_few (gconstpointer data)
{
  const FewCase *c = data;
  Runtimes runtimes = { 0 };

  for (guint i = 0; i < c->runs; i++)
    runtimes_observe (&runtimes, DECLARED_MS, (guint)(DECLARED_MS * c->factor));
  g_assert_cmpint (runtimes_has_shape (&runtimes, DECLARED_MS), ==, c->has_shape);
  assert_near (runtimes_quantile (&runtimes, DECLARED_MS, 0.5), c->median, c->error);
}

/* Guards against figures that hold on to run times of the past: with the shape kept as
 * ratios to a mean that moves, a change by a factor of 3 counted twice, and the 0.99
 * quantile of 100 ms became 900 ms. */
typedef struct
{
  const char *name;
  double before_ms;
  double after_ms;
  guint runs; /* after the change */
  double lowest;
  double highest; /* of the 0.99 quantile */
} ChangeCase;

static const ChangeCase change_cases[] = {
  { "three-times-longer-at-once", 100, 300, 20, 250, 380 },
  { "three-times-longer", 100, 300, 2000, 250, 380 },
  { "three-times-shorter-at-once", 300, 100, 20, 250, 380 },
  { "three-times-shorter", 300, 100, 2000, 85, 130 },
  { "a-hundred-times-longer", 10, 1000, 2000, 850, 1300 },
  { "a-hundred-times-shorter", 1000, 10, 2000, 8.5, 13 },
};

static void
test_change (gconstpointer data)
{
  const ChangeCase *c = data;
  Runtimes runtimes = { 0 };

  for (guint i = 0; i < 1000; i++)
    runtimes_observe (&runtimes, DECLARED_MS, (guint)c->before_ms);
  for (guint i = 0; i < c->runs; i++)
    runtimes_observe (&runtimes, DECLARED_MS, (guint)c->after_ms);
  g_assert_cmpfloat (runtimes_quantile (&runtimes, DECLARED_MS, 0.99), >=, c->lowest);
  g_assert_cmpfloat (runtimes_quantile (&runtimes, DECLARED_MS, 0.99), <=, c->highest);
}

/* An entry of hundreds of queues has 2.5 MB. */
static void
test_memory (void)
{
  g_assert_cmpuint (sizeof (Runtimes), <=, 4096);
}

/* Guards against a spread of servers' speeds that is learned as one of tasks: on servers
 * of 0.6, 1 and 1.6 times the run time the same tasks seemed to differ by 2.7. */
static void
test_servers_differ (void)
{
  static const double relative[] = { 0.6, 1, 1.6 };
  Runtimes runtimes = { 0 };

  for (guint i = 0; i < 300; i++)
    runtimes_observe_on (&runtimes, DECLARED_MS, (guint)(relative[i % 3] * 200),
                         relative[i % 3]);
  g_assert_cmpfloat_with_epsilon (runtimes_estimate (&runtimes, DECLARED_MS), 200, 1);
  g_assert_cmpfloat (runtimes_log_spread (&runtimes, DECLARED_MS), <, 0.12);
}

/* Guards against a mean of infinity or below 0 from a relative time that is not known. */
static void
test_relative_time_unusable (void)
{
  static const double relative[] = { 0, -1, INFINITY, NAN };

  for (guint i = 0; i < G_N_ELEMENTS (relative); i++)
    {
      Runtimes runtimes = { 0 };

      for (guint j = 0; j < 200; j++)
        runtimes_observe_on (&runtimes, DECLARED_MS, 50, relative[i]);
      g_assert_cmpfloat_with_epsilon (runtimes_estimate (&runtimes, DECLARED_MS), 50, 1);
    }
}

/* Over random sequences of runs, declared times and questions: the quantiles rise with
 * their share, the slowest of many rises with their number, and all are finite and within
 * what the buckets can hold. */
static void
test_ordered (void)
{
  GRand *random = g_rand_new_with_seed (SEED);

  for (guint round = 0; round < 200; round++)
    {
      Runtimes runtimes = { 0 };
      guint declared = (guint)exp (g_rand_double_range (random, 0, 15)) - 1;
      guint runs = (guint)g_rand_int_range (random, 0, 400);
      double before = 0;

      for (guint i = 0; i < runs; i++)
        runtimes_observe (&runtimes, declared,
                          (guint)exp (g_rand_double_range (random, 0, 16)));
      for (guint i = 0; i <= 20; i++)
        {
          double value = runtimes_quantile (&runtimes, declared, i / 20.0);

          g_assert_cmpfloat (value, >=, before);
          g_assert_cmpfloat (value, <, 1e12);
          before = value;
        }
      before = 0;
      for (guint n = 1; n <= 1024; n *= 2)
        {
          double value = runtimes_slowest (&runtimes, declared, n);

          g_assert_cmpfloat (value, >=, before * 0.999999);
          g_assert_cmpfloat (value, <, 1e12);
          before = value;
        }
    }
  g_rand_free (random);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  /* A failing case does not keep the others from running. */
  g_test_set_nonfatal_assertions ();
  ADD_CASES ("/runtimes/shape", shape_cases, test_shape);
  ADD_CASES ("/runtimes/few", few_cases, test_few);
  ADD_CASES ("/runtimes/change", change_cases, test_change);
  g_test_add_func ("/runtimes/memory", test_memory);
  g_test_add_func ("/runtimes/servers-differ", test_servers_differ);
  g_test_add_func ("/runtimes/relative-time-unusable", test_relative_time_unusable);
  g_test_add_func ("/runtimes/ordered", test_ordered);
  return g_test_run ();
}
