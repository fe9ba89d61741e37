#pragma once
/* Relative run times of backend servers, from the lasting speeds that their agents
 * measure. Pure: no I/O, no clock. */
#include <glib.h>

/* Range of measured speeds that are believed, in percent of the expected run time. */
#define RELATIVE_SPEED_PERCENT_MIN 5
#define RELATIVE_SPEED_PERCENT_MAX 2000

typedef struct
{
  guint percent; /* run time over the expected one; 100: as expected */
  guint runs;    /* that @percent is based on; 0: not known */

  /* Set by relative_speed_compute (). */
  double time; /* run time over that of the median server; 1 if not known */
} RelativeSpeed;

typedef struct
{
  guint known;     /* servers whose speed counts */
  double fast;     /* 10th percentile of the relative run times of all; 1 if not uneven */
  gboolean differ; /* the spread is beyond noise */
  gboolean uneven; /* some time differs from 1, be it of a single server */
} RelativeSpread;

/**
 * relative_speed_compute - set the relative run time of each of @n servers.
 * @min_runs: from which a speed counts; 0: none does.
 * @differed: whether the spread was beyond noise at the last call; it then stays so down
 * to a lower limit.
 *
 * Speeds outside of the believed range, or based on fewer runs, are not known. While
 * the spread of the known ones is within noise all times are 1, but for single servers
 * that are far slower than the others.
 */
RelativeSpread relative_speed_compute (RelativeSpeed *speeds,
                                       gsize n,
                                       guint min_runs,
                                       gboolean differed);
