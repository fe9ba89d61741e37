#include "hedge.h"

gint64
hedge_due (const HedgePolicy *policy, const HedgeView *view)
{
  guint wait_ms = view->is_arriving ? policy->stall_ms : policy->after_ms;

  if (view->attempts >= policy->attempts_most)
    return -1;
  return view->progress_ms + wait_ms + (gint64)(view->jitter * policy->spread_ms);
}
