#pragma once
/* The lasting speed of one instance of a backend server: how long its runs take, over
 * what is expected of them. Servers differ permanently by a factor of about 2.5, so a
 * fault can only be told from a slow server by its deviation from its own speed. Does no
 * I/O; the time is passed in. */
#include <glib.h>

/* Most runs that are counted; it fits in the field of the frames. */
#define SPEED_RUNS_MOST 255
/* Bounds of a speed; a run further off counts as at the bound. */
#define SPEED_PERCENT_LEAST 5
#define SPEED_PERCENT_MOST 2000

typedef enum
{
  SPEED_UNCHANGED,
  SPEED_KNOWN,    /* it is now based on enough runs */
  SPEED_MOVED,    /* by over 25% since the last change that was returned */
  SPEED_REPLACED, /* the server has turned slower or faster, and lastingly */
} SpeedChange;

/* Speeds are natural logarithms of actual over expected run time. */
typedef struct
{
  guint needed;     /* runs from which the speed counts; 0: never */
  guint runs;       /* that it is based on, at most SPEED_RUNS_MOST */
  guint averaged;   /* runs in @average since it was last set */
  double average;   /* moving average */
  double own;       /* @average when nothing indicated a change */
  double recent;    /* moving average of few runs */
  double slower;    /* log-likelihood ratio: three times slower over unchanged */
  double reported;  /* @own at the last change that was returned */
  gint64 held_ms;   /* since when @average is held; 0: it is not */
  gint64 run_ms;    /* when the last run was observed */
  guint held_runs;  /* observed since held_ms */
  double held_mean; /* of these */
} ServerSpeed;

/**
 * server_speed_init - forget all runs, for a new instance.
 * @needed: runs from which the speed counts; 0: it never does.
 */
void server_speed_init (ServerSpeed *speed, guint needed);

/**
 * server_speed_observe - count one run.
 * @ratio: its run time over the expected one; not of a cold server.
 * @now_ms: own clock.
 * Return: what has changed, for an event line.
 */
SpeedChange server_speed_observe (ServerSpeed *speed, double ratio, gint64 now_ms);

/** server_speed_observe_slowdown - a run progresses @ratio times slower than it did
 * before on this server: evidence of a change that no spread of run times explains. Once
 * for each run. */
void server_speed_observe_slowdown (ServerSpeed *speed, double ratio);

/** server_speed_is_known - whether it is based on enough runs to count. */
gboolean server_speed_is_known (const ServerSpeed *speed);

/** server_speed_ratio - run time over the expected one; 1 as long as it is not known. */
double server_speed_ratio (const ServerSpeed *speed);

/** server_speed_deviation - of the last runs, over the own speed; 1: as usual. */
double server_speed_deviation (const ServerSpeed *speed);

/** server_speed_is_slower - whether the last runs show beyond the spread of run times
 * that the server has turned slower. */
gboolean server_speed_is_slower (const ServerSpeed *speed);

/** server_speed_percent - the speed in steps of 5 percent; 0: not known. */
guint server_speed_percent (const ServerSpeed *speed);

/** server_speed_runs - the runs it is based on, rounded down to 0, 12, 25, 50, 100 or
 * 255. */
guint server_speed_runs (const ServerSpeed *speed);

/** server_speed_is_valid - whether a speed received from a peer is within its bounds. */
gboolean server_speed_is_valid (guint percent, guint runs);

/**
 * server_speed_adopt - take over a copy of this instance's speed from a peer.
 * @runs: that the copy is based on; the copy is taken only if these are more than the
 * own. Never added up: all copies are of the same runs.
 * Return: FALSE if it was not taken.
 */
gboolean server_speed_adopt (ServerSpeed *speed, guint percent, guint runs);
