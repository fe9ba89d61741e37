#pragma once
/* Learned run times of one service. What jobs declare is only a label: tasks that declare
 * alike are taken to run alike, for as long as they are seen to take. */
#include <glib.h>

/* Declared run times fall into classes by powers of two; class 0 is "none declared". */
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

/** runtimes_observe_work - learn how much work a whole job is. Return: what is usual now.
 */
double runtimes_observe_work (Runtimes *runtimes, double work);
