#pragma once
/* What a backend server that leaves still accepts. Pure: the time is passed in, no I/O.
 *
 * After its drain notice a server may get new work for a bounded time only, and what runs
 * on it when it ends is lost. It accepts a run only within that bound, and only if it has
 * said for how long it stays and the run ends before. */
#include <glib.h>

/* The bound on starts ends this much before servers.drain_ms, in ms: a start that was
 * sent may arrive late by as long as the server's lease (0.7 s). */
#define LEAVING_MARGIN_MS 1000

/* Of one instance of a backend server. All times: own clock, ms. */
typedef struct
{
  guint drain_ms;   /* from the notice on, until no start may happen; 0: accept none */
  gboolean stayed;  /* it reported ready, so the next notice is its first */
  gboolean noticed; /* a notice has come */
  gboolean leaves;  /* by its last report */
  gint64 until_ms;  /* accepts starts before this; 0: none */
  gint64 ends_ms;   /* it runs at least until then; 0: not said */
} Leaving;

/** leaving_init - begin a new instance. */
void leaving_init (Leaving *leaving, guint drain_ms);

/**
 * leaving_report - take what a report of the server says.
 * @is_old: the report was kept from an earlier process; its age is unknown.
 * @remaining_ms: least time until the server ends; 0: not said.
 *
 * The bound counts from the first notice, whatever is reported later. If an earlier
 * process may have received that notice, its age is unknown and nothing is accepted.
 */
void leaving_report (Leaving *leaving,
                     gboolean leaves,
                     gboolean is_old,
                     guint remaining_ms,
                     gint64 now_ms);

/** leaving_accepts_ms - Return: a run that ends within this is accepted; 0: none is. */
guint leaving_accepts_ms (const Leaving *leaving, gint64 now_ms);

/** leaving_fits - whether a run that takes @run_ms on average surely ends in @left_ms. */
gboolean leaving_fits (double run_ms, gint64 left_ms);

/** leaving_refusal - Return: NULL, or why no run of @run_ms is accepted; a static string.
 */
const char *leaving_refusal (const Leaving *leaving, double run_ms, gint64 now_ms);

/** leaving_cuts_off - whether the server ends before a run that takes @left_ms more. */
gboolean leaving_cuts_off (const Leaving *leaving, double left_ms, gint64 now_ms);
