#pragma once
/* Learned run times of one service. A task's declared run time only selects a class; the
 * expected run time is the mean observed in that class. */
#include <glib.h>

/* Class n: declared from 2^(n-1) to below 2^n ms; class 0: none declared; the last class
 * also takes all longer ones. */
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
