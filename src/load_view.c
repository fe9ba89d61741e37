#include "load_view.h"

#include <math.h>
#include <sys/queue.h>

/* A part counts as fresh for two intervals and a half: a heartbeat is left out if another
 * frame passed in the half interval before, so that the next summary may follow the last
 * one by nearly two and a half. */
#define FRESH_INTERVALS 2.5
#define EXPIRE_INTERVALS 4
/* The longest interval that settings allow. A longer one would keep a part for ever. */
#define INTERVAL_MAX_MS 60000
/* With this many parts the sum over more entries is estimated; with fewer, all entries
 * must be linked. The error falls with the root of the number of parts. */
#define PARTS_ENOUGH 6

typedef struct Part
{
  TAILQ_ENTRY (Part) link;
  guint64 incarnation;
  char *name;
  gboolean is_known; /* a summary has arrived and has not expired */
  gint64 taken_ms;
  guint64 version; /* of the last summary; kept when it expires */
  LoadSummary summary;
} Part;

struct LoadView
{
  guint interval_ms;
  guint entries; /* known, with the own one */
  guint n_linked;
  guint n_known;
  TAILQ_HEAD (, Part) parts;
  /* Sums over the parts that are known. */
  double waiting[LOAD_VIEW_BUCKETS];
  double arriving[LOAD_VIEW_BUCKETS];
  double capacity_used;
};

static double
bucket_position (double rank)
{
  double position = log (MAX (rank / LOAD_VIEW_LOWEST, 1)) / log (LOAD_VIEW_FACTOR);

  return MIN (position, LOAD_VIEW_BUCKETS);
}

guint
load_summary_bucket (double rank)
{
  return (guint)MIN (bucket_position (rank), LOAD_VIEW_BUCKETS - 1);
}

LoadView *
load_view_new (guint interval_ms)
{
  LoadView *view = g_new0 (LoadView, 1);

  view->interval_ms = interval_ms;
  view->entries = 1;
  TAILQ_INIT (&view->parts);
  return view;
}

static Part *
find (const LoadView *view, guint64 incarnation)
{
  Part *part;

  TAILQ_FOREACH (part, &view->parts, link)
    if (part->incarnation == incarnation)
      return part;
  return NULL;
}

/* Summed anew with each change: differences would gather rounding errors. */
static void
sum_parts (LoadView *view)
{
  const Part *part;

  view->n_known = 0;
  view->capacity_used = 0;
  for (guint i = 0; i < LOAD_VIEW_BUCKETS; i++)
    view->waiting[i] = view->arriving[i] = 0;
  TAILQ_FOREACH (part, &view->parts, link)
    {
      if (!part->is_known)
        continue;
      view->n_known++;
      view->capacity_used += part->summary.capacity_used;
      for (guint i = 0; i < LOAD_VIEW_BUCKETS; i++)
        {
          view->waiting[i] += part->summary.waiting[i];
          view->arriving[i] += part->summary.arriving[i];
        }
    }
}

static void
part_free (LoadView *view, Part *part)
{
  TAILQ_REMOVE (&view->parts, part, link);
  view->n_linked--;
  g_free (part->name);
  g_free (part);
}

void
load_view_free (LoadView *view)
{
  Part *part;

  if (view == NULL)
    return;
  while ((part = TAILQ_FIRST (&view->parts)) != NULL)
    part_free (view, part);
  g_free (view);
}

void
load_view_set_entries (LoadView *view, guint entries)
{
  view->entries = MAX (entries, 1);
}

static Part *
find_name (const LoadView *view, const char *name)
{
  Part *part;

  TAILQ_FOREACH (part, &view->parts, link)
    if (g_str_equal (part->name, name))
      return part;
  return NULL;
}

void
load_view_link (LoadView *view, guint64 incarnation, const char *name)
{
  Part *part = find_name (view, name);

  if (part != NULL && part->incarnation == incarnation)
    return;
  if (part != NULL)
    part_free (view, part);
  part = g_new0 (Part, 1);
  part->incarnation = incarnation;
  part->name = g_strdup (name);
  TAILQ_INSERT_TAIL (&view->parts, part, link);
  view->n_linked++;
  sum_parts (view);
}

void
load_view_unlink (LoadView *view, guint64 incarnation)
{
  Part *part = find (view, incarnation);

  if (part == NULL)
    return;
  part_free (view, part);
  sum_parts (view);
}

static gboolean
is_amount (float value)
{
  return isfinite (value) && value >= 0;
}

static gboolean
is_valid (const LoadSummary *summary)
{
  if (summary->version == 0 || summary->interval_ms == 0
      || summary->interval_ms > INTERVAL_MAX_MS || !is_amount (summary->capacity_used))
    return FALSE;
  for (guint i = 0; i < LOAD_VIEW_BUCKETS; i++)
    if (!is_amount (summary->waiting[i]) || !is_amount (summary->arriving[i]))
      return FALSE;
  return TRUE;
}

LoadViewResult
load_view_take (LoadView *view,
                guint64 incarnation,
                const LoadSummary *summary,
                gint64 now_ms)
{
  Part *part = find (view, incarnation);

  if (part == NULL)
    return LOAD_VIEW_UNKNOWN;
  if (!is_valid (summary))
    return LOAD_VIEW_MALFORMED;
  if (summary->version <= part->version)
    return LOAD_VIEW_STALE;
  part->is_known = TRUE;
  part->taken_ms = now_ms;
  part->version = summary->version;
  part->summary = *summary;
  sum_parts (view);
  return LOAD_VIEW_TAKEN;
}

/* The sender's interval counts if it is longer than the own one. */
static gboolean
is_older_than (const LoadView *view, const Part *part, double intervals, gint64 now_ms)
{
  double interval_ms = MAX (view->interval_ms, part->summary.interval_ms);

  return (double)(now_ms - part->taken_ms) > intervals * interval_ms;
}

void
load_view_expire (LoadView *view, gint64 now_ms)
{
  gboolean changed = FALSE;
  Part *part;

  TAILQ_FOREACH (part, &view->parts, link)
    {
      if (!part->is_known || !is_older_than (view, part, EXPIRE_INTERVALS, now_ms))
        continue;
      part->is_known = FALSE;
      changed = TRUE;
    }
  if (changed)
    sum_parts (view);
}

gboolean
load_view_is_complete (const LoadView *view, gint64 now_ms)
{
  guint others = MAX (view->entries - 1, view->n_linked);
  const Part *part;

  if (others == 0 || view->n_linked < MIN (others, PARTS_ENOUGH))
    return FALSE;
  TAILQ_FOREACH (part, &view->parts, link)
    if (!part->is_known || is_older_than (view, part, FRESH_INTERVALS, now_ms))
      return FALSE;
  return TRUE;
}

guint
load_view_parts (const LoadView *view)
{
  return view->n_known;
}

/* Other entries for each part. */
static double
scale (const LoadView *view)
{
  guint others = MAX (view->entries - 1, view->n_known);

  return view->n_known > 0 ? (double)others / view->n_known : 0;
}

/* Of the bucket that @rank is in, the part below it; ranks are assumed to be spread
 * evenly over the logarithm. */
static double
sum_below (const double *buckets, double rank)
{
  double position = bucket_position (rank);
  guint whole = (guint)position;
  double sum = whole < LOAD_VIEW_BUCKETS ? buckets[whole] * (position - whole) : 0;

  for (guint i = 0; i < whole; i++)
    sum += buckets[i];
  return sum;
}

double
load_view_waiting_below (const LoadView *view, double rank)
{
  return scale (view) * sum_below (view->waiting, rank);
}

double
load_view_arriving_below (const LoadView *view, double rank)
{
  return scale (view) * sum_below (view->arriving, rank);
}

double
load_view_capacity_used (const LoadView *view)
{
  return scale (view) * view->capacity_used;
}
