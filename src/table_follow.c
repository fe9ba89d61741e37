#include "table_follow.h"

/* Longer than a confirmation takes over three links, each at the next heartbeat. */
#define STALE_MS 1800
/* Later for each rank, so that not all ask at once when the followers are lost. */
#define STALE_PER_RANK_MS 5
#define STALE_MOST_MS 2500

gboolean
table_follow_due (const TableFollowView *view)
{
  guint stale_ms = MIN (STALE_MS + view->rank * STALE_PER_RANK_MS, STALE_MOST_MS);

  if (view->rank < TABLE_FOLLOWERS || !view->has_config || view->config_stuck)
    return TRUE;
  return view->confirmed_ms > stale_ms;
}
