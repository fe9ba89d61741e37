#pragma once
/* Rate of arriving work by scheduling rank. Under load a job far down the order waits for
 * it most: the work queued ahead is done soon, but new work of lower rank keeps coming.
 */
#include <glib.h>

/* Logarithmic buckets of ranks, four per doubling. */
#define ARRIVALS_BUCKETS 80

typedef struct
{
  double work[ARRIVALS_BUCKETS]; /* by rank, decaying */
  gint64 decayed_ms;
  gint64 first_ms; /* first arrival; 0: none */
} Arrivals;

/** arrivals_observe - @work has arrived at @rank. */
void arrivals_observe (Arrivals *arrivals, double rank, double work, gint64 now_ms);

/** arrivals_before - work per ms that arrives with a rank below @rank. Grows from zero in
 * the first second: a burst right after a restart is no lasting rate. */
double arrivals_before (const Arrivals *arrivals, double rank, gint64 now_ms);
