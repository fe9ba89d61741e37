#pragma once
/* Whether an entry follows the operator's rows in the platform's table itself.
 *
 * Load pattern: each of hundreds of entries asks the table twice a second, nearly always
 * to hear that nothing has changed, and each reads every new configuration, so that calls
 * and bytes grow with the fleet. The first few entries by rank follow the table; the
 * others have new versions from their neighbours, and look for themselves when nobody has
 * confirmed the table's state for a while or a version does not arrive. */
#include <glib.h>

/* All follow it where there are no more entries than this. */
#define TABLE_FOLLOWERS 16

typedef struct
{
  guint rank;            /* of the own entry among those that are known; 0: the first */
  gboolean has_config;   /* a configuration is known */
  guint confirmed_ms;    /* since the table last confirmed its state to any entry */
  gboolean config_stuck; /* a neighbour has a newer one, which does not arrive */
} TableFollowView;

gboolean table_follow_due (const TableFollowView *view);
