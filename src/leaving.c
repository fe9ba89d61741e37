#include "leaving.h"

/* Run times vary by about half of their mean; 3% of tasks take longer than this. */
#define SPREAD 1.5
/* For the report of the end to be listed, and the caller's answer to be sent. */
#define REPORT_MS 200

void
leaving_init (Leaving *leaving, guint drain_ms)
{
  Leaving fresh = { .drain_ms = drain_ms };

  *leaving = fresh;
}

static gint64
bound_ms (const Leaving *leaving, gint64 now_ms)
{
  return leaving->drain_ms > LEAVING_MARGIN_MS
             ? now_ms + leaving->drain_ms - LEAVING_MARGIN_MS
             : 0;
}

void
leaving_report (Leaving *leaving,
                gboolean leaves,
                gboolean is_old,
                guint remaining_ms,
                gint64 now_ms)
{
  leaving->leaves = leaves;
  leaving->ends_ms = leaves && remaining_ms > 0 ? now_ms + remaining_ms : 0;
  if (!leaves)
    {
      leaving->stayed |= !is_old;
      return;
    }
  if (leaving->noticed)
    return;
  leaving->noticed = TRUE;
  if (leaving->stayed && !is_old)
    leaving->until_ms = bound_ms (leaving, now_ms);
}

guint
leaving_accepts_ms (const Leaving *leaving, gint64 now_ms)
{
  if (!leaving->leaves || now_ms >= leaving->until_ms)
    return 0;
  return (guint)MAX (leaving->ends_ms - now_ms, 0);
}

gboolean
leaving_fits (double run_ms, gint64 left_ms)
{
  return run_ms * SPREAD + REPORT_MS <= (double)left_ms;
}

const char *
leaving_refusal (const Leaving *leaving, double run_ms, gint64 now_ms)
{
  if (leaving->until_ms == 0 || leaving->ends_ms == 0)
    return "backend server is draining";
  if (now_ms >= leaving->until_ms)
    return "too long after the drain notice";
  if (!leaving_fits (run_ms, leaving->ends_ms - now_ms))
    return "backend server ends before the run";
  return NULL;
}

gboolean
leaving_cuts_off (const Leaving *leaving, double left_ms, gint64 now_ms)
{
  return leaving->drain_ms > 0 && leaving->leaves && leaving->ends_ms > 0
         && (double)now_ms + left_ms > (double)leaving->ends_ms;
}
