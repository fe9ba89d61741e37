#pragma once
/* Rate of arriving work by scheduling rank. Under load a job of high rank is delayed less
 * by the work queued ahead of it than by work that arrives later with a lower rank. */
#include <glib.h>

/* Logarithmic buckets of ranks, four per doubling, from rank 1/256. */
#define ARRIVALS_BUCKETS 80

typedef struct
{
  double work[ARRIVALS_BUCKETS]; /* by rank; decays with a time constant of 1 s */
  gint64 decayed_ms;
  gint64 first_ms; /* first arrival; 0: none */
} Arrivals;

/** arrivals_observe - @work, in ms x thousandths of a core, has arrived at @rank. */
void arrivals_observe (Arrivals *arrivals, double rank, double work, gint64 now_ms);

/** arrivals_rate_below - work per ms that arrives with a rank below @rank. Grows from
 * zero in the first second: a burst right after a restart is no lasting rate. */
double arrivals_rate_below (const Arrivals *arrivals, double rank, gint64 now_ms);

/** arrivals_rate_in - the same, of bucket @bucket alone. */
double arrivals_rate_in (const Arrivals *arrivals, guint bucket, gint64 now_ms);

/** arrivals_bucket_rank - the rank in the middle of a bucket. */
double arrivals_bucket_rank (guint bucket);
