#pragma once
/* Which waiting jobs are refused because they would be served too late.
 *
 * Answers load beyond the capacity, for moments or for long: a job waits for the work
 * that waits before it, and for what arrives meanwhile and goes before it. Refused too
 * early, its caller goes away while room frees; too late, its caller has waited for
 * nothing. */
#include "arrivals.h"

/* The servers as this entry sees them; work is ms x thousandths of a core. */
typedef struct
{
  double rate;     /* work that this entry's runs get done in a millisecond */
  double capacity; /* of all servers, a millisecond */
  const Arrivals *arrivals;
  gint64 now_ms;
} AdmissionLoad;

/* A waiting job, in the order of their ranks. */
typedef struct
{
  double rank;         /* now */
  double rank_on_time; /* its rank while it can make its objective */
  double rank_late;    /* once it cannot */
  double work;         /* that waits */
  double task_ms;
  gint64 objective_ms;
  gint64 late_ms;
  gboolean refusable; /* nothing of it was ordered */

  /* What is decided. */
  gboolean refused;
  double ahead;   /* work that goes before it */
  double wait_ms; /* expected */
} AdmissionJob;

/** admission_decide - mark what is refused among @jobs, best rank first. */
void admission_decide (const AdmissionLoad *load, AdmissionJob *jobs, gsize n);
