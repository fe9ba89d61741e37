#include "hedge.h"

gint64
hedge_due (const HedgePolicy *policy, const HedgeView *view)
{
  guint wait_ms = view->is_arriving ? policy->stall_ms : policy->after_ms;

  if (view->attempts >= policy->max_in_flight)
    return -1;
  return view->progress_ms + wait_ms + (gint64)(view->jitter * policy->jitter_ms);
}
