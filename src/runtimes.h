#pragma once
/* Learned run times of one service or queue. A task's declared run time only selects a
 * class; the expected run time is the mean observed in that class, and a histogram of the
 * class gives its quantiles. */
#include <glib.h>

/* Class n: declared from 2^(n-1) to below 2^n ms; class 0: none declared; the last class
 * also takes all longer ones. */
#define RUNTIMES_CLASSES 20
/* Buckets of a histogram, RUNTIMES_PER_OCTAVE to each factor of 2: from 1/8 of the
 * class's mean to 32 times. The first and the last also take what is below and above. */
#define RUNTIMES_BUCKETS 24
#define RUNTIMES_PER_OCTAVE 3
/* Runs of a class from which its histogram is used: of fewer, the 0.99 quantile would
 * rest on less than one run. */
#define RUNTIMES_SHAPE_SAMPLES 100

typedef struct
{
  float share[RUNTIMES_BUCKETS]; /* of the runs; their sum is 1 once there is one */
  int first;                     /* share[0] is from 2^(first / PER_OCTAVE) ms on */
} RuntimesHistogram;

typedef struct
{
  double mean_ms[RUNTIMES_CLASSES];
  guint samples[RUNTIMES_CLASSES];
  RuntimesHistogram histograms[RUNTIMES_CLASSES];
  double all_mean_ms;
  guint all_samples;
  double mean_work; /* of a whole job, ms x thousandths of a core */
  guint work_samples;
} Runtimes;

/** runtimes_observe - learn from a task that declared @declared_ms and took @run_ms. */
void runtimes_observe (Runtimes *runtimes, guint declared_ms, guint run_ms);

/**
 * runtimes_observe_on - learn from a task that took @run_ms on a server whose run times
 * are @relative times those of the median server.
 * @relative: not above 0 or not finite: taken as 1.
 *
 * Only the time that the task would have taken on the median server is learned.
 */
void runtimes_observe_on (Runtimes *runtimes,
                          guint declared_ms,
                          guint run_ms,
                          double relative);

/** runtimes_estimate - expected run time in ms of a task that declares @declared_ms. */
double runtimes_estimate (const Runtimes *runtimes, guint declared_ms);

/** runtimes_has_shape - whether enough runs of the class of @declared_ms were observed
 * for its quantiles to be its own.
 */
gboolean runtimes_has_shape (const Runtimes *runtimes, guint declared_ms);

/**
 * runtimes_quantile - run time in ms that the share @q of the tasks that declare
 * @declared_ms does not exceed.
 * @q: from 0 to 1.
 *
 * The error is at most half a bucket (12%) within the histogram's range, beside that of
 * the sample. Without a shape of its own the class is taken to have the expected run time
 * of runtimes_estimate () and a log-normal distribution, with a standard deviation of the
 * logarithm of 0.5.
 */
double runtimes_quantile (const Runtimes *runtimes, guint declared_ms, double q);

/** runtimes_share_above - share of the tasks that declare @declared_ms whose run time
 * exceeds @run_ms; errors as with runtimes_quantile ().
 */
double runtimes_share_above (const Runtimes *runtimes, guint declared_ms, double run_ms);

/**
 * runtimes_slowest - expected run time in ms of the slowest of @n tasks that declare
 * @declared_ms and are drawn independently.
 *
 * As runtimes_quantile () without a shape of its own. Tasks of one job are often alike:
 * the slowest of them is then overestimated.
 */
double runtimes_slowest (const Runtimes *runtimes, guint declared_ms, guint n);

/** runtimes_log_spread - standard deviation of the natural logarithms of the run times of
 * the class of @declared_ms; without a shape of its own 0.5.
 */
double runtimes_log_spread (const Runtimes *runtimes, guint declared_ms);

/** runtimes_observe_work - learn how much work a whole job is. Return: the mean so far.
 */
double runtimes_observe_work (Runtimes *runtimes, double work);
