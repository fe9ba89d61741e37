#pragma once
/* Admission control: which waiting jobs are refused because they would be served too
 * late.
 *
 * Load is shed while it exceeds the capacity, however long that lasts. A job waits for
 * the work queued ahead of it and for later arrivals that are queued ahead of it too. A
 * job refused too early could still have been served; one refused too late has made its
 * caller wait without use. */
#include "arrivals.h"
#include "load_view.h"

/* The servers as this entry sees them; work is in ms x thousandths of a core. */
typedef struct
{
  double rate;              /* work that this entry's runs complete per ms */
  double capacity;          /* of all servers, per ms */
  const Arrivals *arrivals; /* at this entry */
  gint64 now_ms;
  const LoadView *others; /* load of the other entries; NULL: not known */
} AdmissionLoad;

typedef struct
{
  double rank;         /* now; the lowest is served first */
  double rank_on_time; /* its rank while it can meet its objective */
  double rank_late;    /* once it cannot */
  double work;         /* of its waiting tasks */
  double task_ms;
  gint64 objective_ms; /* it has its full value if it ends by then */
  gint64 late_ms;      /* it has no value if it ends after this */
  gboolean refusable;  /* no start of its tasks was ordered from an agent */

  /* Set by admission_decide (). */
  gboolean refused;
  double ahead;   /* work queued ahead of it at this entry */
  double wait_ms; /* expected */
} AdmissionJob;

/** admission_decide - mark the jobs to refuse; @jobs are sorted, lowest rank first. */
void admission_decide (const AdmissionLoad *load, AdmissionJob *jobs, gsize n);
