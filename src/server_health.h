#pragma once
/* The agent's view of its backend server's health, from the progress and the ends of all
 * runs, whoever ordered them. A server that fails or hangs every run looks free and would
 * attract all work. */
#include <glib.h>

/* Trust level, a circuit breaker: how many runs the server may get. */
typedef enum
{
  TRUST_FULL,
  TRUST_PROBE, /* one run at a time, to see whether it has recovered */
  TRUST_NONE,
} Trust;

typedef struct
{
  Trust trust;
  double slowness; /* moving geometric mean of the ratios of server_health_run_slow () */
  double failing;  /* share of failures among recent ends */
  guint stalls;    /* runs without progress now */
  guint ejections; /* in a row, for the backoff */
  gint64 until_ms; /* end of the ejection */
  gint64 decayed_ms; /* when slowness was last decayed */
} ServerHealth;

void server_health_init (ServerHealth *health);

/** server_health_run_ended - a run ended by itself. */
void server_health_run_ended (ServerHealth *health, gboolean failed, gint64 now_ms);

/** server_health_start_lost - a start was refused or never answered; weighs less than a
 * failure. */
void server_health_start_lost (ServerHealth *health, gint64 now_ms);

/** server_health_run_slow - count a run that takes @ratio times as long as expected of
 * this server, whose own speed is part of that once it is known; also if that is not
 * slow. */
void server_health_run_slow (ServerHealth *health, double ratio);

/** server_health_progress - of the runs checked, @stalled make no progress and @moving
 * do. */
void
server_health_progress (ServerHealth *health, guint stalled, guint moving, gint64 now_ms);

/** server_health_tick - decay the slowness, and end an ejection once its time is over. */
void server_health_tick (ServerHealth *health, gint64 now_ms);
