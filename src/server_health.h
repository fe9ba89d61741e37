#pragma once
/* How well a backend server runs its tasks, as the agent beside it sees: from the
 * progress and the ends of all runs, whoever ordered them. A server that fails or hangs
 * everything looks free and would draw all work. */
#include <glib.h>

typedef enum
{
  TRUST_FULL,
  TRUST_PROBE, /* one run at a time, to see whether it has recovered */
  TRUST_NONE,
} Trust;

typedef struct
{
  Trust trust;
  double slowness;   /* mean of run times against the expected ones */
  double failing;    /* share of failures among recent ends */
  guint stalls;      /* runs that stand still now */
  guint periods;     /* without trust in a row, for the backoff */
  gint64 until_ms;   /* end of the period without trust */
  gint64 decayed_ms; /* when slowness was last let fade */
} ServerHealth;

void server_health_init (ServerHealth *quality);

/** server_health_run_ended - a run ended by itself. */
void server_health_run_ended (ServerHealth *quality, gboolean failed, gint64 now_ms);

/** server_health_start_lost - a start was refused or never answered: weighs less than a
 * failure. */
void server_health_start_lost (ServerHealth *quality, gint64 now_ms);

/** server_health_run_slow - a run takes @ratio times as long as expected. */
void server_health_run_slow (ServerHealth *quality, double ratio);

/** server_health_progress - of @running runs that were looked at, @stalled make no
 * progress and
 * @moving do. */
void server_health_progress (ServerHealth *quality,
                             guint stalled,
                             guint moving,
                             gint64 now_ms);

/** server_health_tick - let a period without trust end. */
void server_health_tick (ServerHealth *quality, gint64 now_ms);
