#pragma once
/* The availability zones that the operator has closed: nothing starts there.
 *
 * One set with a version and an age. Entries follow the platform's table; every process
 * sends the set to its peers, and the newest version counts whatever its source. An agent
 * refuses starts in a closed zone, whatever the ordering entries know; it reads the table
 * itself only while no entry can report it.
 *
 * Load pattern: a zone is closed while hundreds of processes run; each reads the table or
 * is sent the set, nobody polls, and the set is sent only when it changed or its age is
 * confirmed. */
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
  ZONE_UNREADABLE, /* its known state stays */
} ZoneState;

typedef struct
{
  const char *zone;
  ZoneState state;
  guint64 version; /* of the table, when the state changed */
} ZoneChange;

/* What was last sent to one peer. */
typedef struct
{
  guint64 revision; /* closed_zones_revision () then; 0: none */
  gint64 sent_ms;
} ClosedZonesSent;

ClosedZones *closed_zones_new (void);
void closed_zones_free (ClosedZones *set);

/**
 * closed_zones_apply - update the set from the table.
 * @whole: @changes are all closed zones as of @version; else what has changed up to it.
 * Return: whether a zone was closed or opened. An older version changes nothing.
 */
gboolean closed_zones_apply (ClosedZones *set,
                             const ZoneChange *changes,
                             gsize n_changes,
                             gboolean whole,
                             guint64 version,
                             gint64 now_ms);

gboolean closed_zones_has (const ClosedZones *set, const char *zone);
guint closed_zones_count (const ClosedZones *set);
const ClosedZone *closed_zones_get (const ClosedZones *set, guint i);

/** closed_zones_age_ms - time since the table confirmed the set; G_MAXUINT: never. */
guint closed_zones_age_ms (const ClosedZones *set, gint64 now_ms);

/** closed_zones_revision - counts the changes of the set from 1; 0: nothing is known. */
guint64 closed_zones_revision (const ClosedZones *set);

/**
 * closed_zones_to_frame - put the set into @frame if it was not yet sent to that peer.
 * @confirm_ms: send its age again this often, if confirmed since; 0: changes only.
 */
void closed_zones_to_frame (ClosedZones *set,
                            ClosedZonesSent *sent,
                            guint confirm_ms,
                            Gw__Frame *frame,
                            gint64 now_ms);

/** closed_zones_from_frame - update the set from a peer's frame, if it has one. Return:
 * as closed_zones_apply (). */
gboolean
closed_zones_from_frame (ClosedZones *set, const Gw__Frame *frame, gint64 now_ms);
