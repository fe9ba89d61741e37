#pragma once
/* Admission control: which waiting jobs are refused because they would be served too
 * late.
 *
 * Sheds load beyond the capacity, short or lasting: a job waits for the work queued ahead
 * of it, and for work that arrives meanwhile and is queued ahead of it too. Refused too
 * early, its caller leaves while capacity frees; too late, its caller has waited without
 * use. */
#include "arrivals.h"

/* The servers as this entry sees them; work is in ms x thousandths of a core. */
typedef struct
{
  double rate;     /* work that this entry's runs complete per ms */
  double capacity; /* of all servers, per ms */
  const Arrivals *arrivals;
  gint64 now_ms;
} AdmissionLoad;

typedef struct
{
  double rank;         /* now */
  double rank_on_time; /* its rank while it can meet its objective */
  double rank_late;    /* once it cannot */
  double work;         /* of its waiting tasks */
  double task_ms;
  gint64 objective_ms;
  gint64 late_ms;
  gboolean refusable; /* none of its tasks was ordered */

  /* Set by admission_decide (). */
  gboolean refused;
  double ahead;   /* work queued ahead of it */
  double wait_ms; /* expected */
} AdmissionJob;

/** admission_decide - mark the jobs to refuse; @jobs are sorted, lowest rank first. */
void admission_decide (const AdmissionLoad *load, AdmissionJob *jobs, gsize n);
