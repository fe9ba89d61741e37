#pragma once
/* Load of all entries as one entry sees it: a part for each linked entry, from the
 * summaries that entries exchange. Does no I/O and reads no clock.
 *
 * Each part replaces the one before, so that a lost or repeated summary does not distort
 * the sum. Between two summaries a part counts as unchanged: its waiting work is taken as
 * a steady level, and what arrives at the other entry as a steady rate. */
#include <glib.h>

/* Buckets of scheduling ranks, in powers of LOAD_VIEW_FACTOR from LOAD_VIEW_LOWEST. Jobs
 * of one priority differ little in rank: with a factor of 4 they would share a bucket and
 * the work ahead of a job would not be known. Ranks to 82 are distinguished, those of
 * late jobs of the fourth priority. */
#define LOAD_VIEW_BUCKETS 16
#define LOAD_VIEW_FACTOR 1.5
#define LOAD_VIEW_LOWEST 0.125

/* The load of one entry. Work is in ms x thousandths of a core. */
typedef struct
{
  guint64 version;                   /* rises with each summary of one incarnation */
  guint interval_ms;                 /* until the next summary */
  float waiting[LOAD_VIEW_BUCKETS];  /* work of tasks not ordered yet, by rank */
  float arriving[LOAD_VIEW_BUCKETS]; /* work that arrives per ms, by rank */
  float capacity_used;               /* thousandths of a core */
} LoadSummary;

typedef enum
{
  LOAD_VIEW_TAKEN,
  LOAD_VIEW_UNKNOWN,   /* the sender is not linked */
  LOAD_VIEW_STALE,     /* its version is not above the last one */
  LOAD_VIEW_MALFORMED, /* a value out of range */
} LoadViewResult;

typedef struct LoadView LoadView;

/** load_view_new - @interval_ms: between two own summaries, at least 1. */
LoadView *load_view_new (guint interval_ms);
void load_view_free (LoadView *view);

/** load_view_set_entries - @entries: all that are known, the own one included. */
void load_view_set_entries (LoadView *view, guint entries);

/** load_view_link - an entry is linked. What another incarnation of the same name sent is
 * dropped. Linking the same incarnation again keeps its part.
 */
void load_view_link (LoadView *view, guint64 incarnation, const char *name);

/** load_view_unlink - the link to an entry has ended: drop its part. */
void load_view_unlink (LoadView *view, guint64 incarnation);

/** load_view_take - a summary has arrived from a linked entry. */
LoadViewResult load_view_take (LoadView *view,
                               guint64 incarnation,
                               const LoadSummary *summary,
                               gint64 now_ms);

/** load_view_expire - drop the parts that are older than 4 intervals. */
void load_view_expire (LoadView *view, gint64 now_ms);

/** load_view_is_complete - the sums may be used: there is another entry, enough of the
 * known ones are linked, and all of the linked ones sent a summary lately.
 */
gboolean load_view_is_complete (const LoadView *view, gint64 now_ms);

/** load_view_parts - number of entries whose load is known. */
guint load_view_parts (const LoadView *view);

/* Sums over all other entries, each counted once. If more are known than linked, the sum
 * is estimated: the mean of the parts times the number of other entries. */

/** load_view_waiting_below - waiting work with a rank below @rank. */
double load_view_waiting_below (const LoadView *view, double rank);

/** load_view_arriving_below - work per ms that arrives with a rank below @rank. */
double load_view_arriving_below (const LoadView *view, double rank);

/** load_view_capacity_used - in thousandths of a core. */
double load_view_capacity_used (const LoadView *view);

/** load_summary_bucket - the bucket that @rank falls into. */
guint load_summary_bucket (double rank);
