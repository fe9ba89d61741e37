#pragma once
/* How much work arrives that goes before a job of a given rank. Under load it is what a
 * job of low rank waits for most: what waits before it is done soon, but fresh work of
 * better rank keeps coming. */
#include <glib.h>

/* Ranks are told apart in steps of a quarter of a power of two. */
#define ARRIVALS_BUCKETS 80

typedef struct
{
  double work[ARRIVALS_BUCKETS]; /* by rank, fading */
  gint64 decayed_ms;
  gint64 first_ms; /* 0: nothing has arrived */
} Arrivals;

/** arrivals_observe - @work has arrived at @rank. */
void arrivals_observe (Arrivals *arrivals, double rank, double work, gint64 now_ms);

/** arrivals_before - work a millisecond that arrives and goes before @rank. Grows from
 * zero in the first second: what comes at once after a restart is no lasting rate. */
double arrivals_before (const Arrivals *arrivals, double rank, gint64 now_ms);
