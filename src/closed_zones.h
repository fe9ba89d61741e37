#pragma once
/* The availability zones that the operator has closed: nothing starts there.
 *
 * One belief with a version and an age. Entries follow it in the platform's table; every
 * process tells its peers, and the newest version counts wherever it came from. An agent
 * reads the table itself only while no entry can tell it how things stand: the fence
 * holds at the agent, whatever the entries that order know.
 *
 * Load pattern: a zone is closed while hundreds of processes run; each reads the table or
 * is told, nobody polls, and no frame is sent but those that carry a change. */
#include "godwitspar.pb-c.h"

#include <glib.h>

typedef struct ClosedZones ClosedZones;

typedef struct
{
  char *name;
  guint64 version; /* of the table, when it was closed */
} ClosedZone;

typedef enum
{
  ZONE_OPEN,
  ZONE_CLOSED,
  ZONE_UNREADABLE, /* stays as it is known */
} ZoneState;

typedef struct
{
  const char *zone;
  ZoneState state;
  guint64 version; /* of the table, when it became so */
} ZoneChange;

/* What one peer has been told. */
typedef struct
{
  guint64 changes; /* the state of closed_zones_revision () that it knows; 0: none */
  gint64 told_ms;
} ClosedZonesSent;

ClosedZones *closed_zones_new (void);
void closed_zones_free (ClosedZones *closures);

/**
 * closed_zones_apply - what the table says.
 * @whole: all closed zones as of @version; else what has changed up to it.
 * Return: whether a zone was closed or opened by it. An older version changes nothing.
 */
gboolean closed_zones_apply (ClosedZones *closures,
                             const ZoneChange *changes,
                             gsize n_changes,
                             gboolean whole,
                             guint64 version,
                             gint64 now_ms);

gboolean closed_zones_has (const ClosedZones *closures, const char *zone);
guint closed_zones_count (const ClosedZones *closures);
const ClosedZone *closed_zones_get (const ClosedZones *closures, guint i);

/** closed_zones_age_ms - since the table was known to say so; G_MAXUINT: never. */
guint closed_zones_age_ms (const ClosedZones *closures, gint64 now_ms);

/** closed_zones_revision - counts the changes of the set from 1; 0: nothing is known. */
guint64 closed_zones_revision (const ClosedZones *closures);

/**
 * closed_zones_to_frame - put the belief into a frame if it is news to that peer.
 * @confirm_ms: tell how old it is this often; 0: changes only.
 */
void closed_zones_to_frame (ClosedZones *closures,
                            ClosedZonesSent *told,
                            guint confirm_ms,
                            Gw__Frame *frame,
                            gint64 now_ms);

/** closed_zones_from_frame - what a peer's frame says, if anything. Return: as
 * closed_zones_apply ().
 */
gboolean
closed_zones_from_frame (ClosedZones *closures, const Gw__Frame *frame, gint64 now_ms);
