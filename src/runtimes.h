#pragma once
/* Learned run times of one service. The declared run time is only a label: tasks that
 * declare alike are expected to run as long as such tasks were observed to. */
#include <glib.h>

/* Classes of declared run times, by powers of two; class 0: none declared. */
#define RUNTIMES_CLASSES 20

typedef struct
{
  double mean_ms[RUNTIMES_CLASSES];
  guint samples[RUNTIMES_CLASSES];
  double all_mean_ms;
  guint all_samples;
  double mean_work; /* of a whole job, ms x thousandths of a core */
  guint work_samples;
} Runtimes;

/** runtimes_observe - learn from a task that declared @declared_ms and took @run_ms. */
void runtimes_observe (Runtimes *runtimes, guint declared_ms, guint run_ms);

/** runtimes_estimate - expected run time in ms of a task that declares @declared_ms. */
double runtimes_estimate (const Runtimes *runtimes, guint declared_ms);

/** runtimes_observe_work - learn how much work a whole job is. Return: the mean so far.
 */
double runtimes_observe_work (Runtimes *runtimes, double work);
