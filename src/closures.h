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

typedef struct Closures Closures;

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
  guint64 changes; /* the state of closures_changes () that it knows; 0: none */
  gint64 told_ms;
} ClosuresTold;

Closures *closures_new (void);
void closures_free (Closures *closures);

/**
 * closures_apply - what the table says.
 * @whole: all closed zones as of @version; else what has changed up to it.
 * Return: whether a zone was closed or opened by it. An older version changes nothing.
 */
gboolean closures_apply (Closures *closures,
                         const ZoneChange *changes,
                         gsize n_changes,
                         gboolean whole,
                         guint64 version,
                         gint64 now_ms);

gboolean closures_has (const Closures *closures, const char *zone);
guint closures_count (const Closures *closures);
const ClosedZone *closures_zone (const Closures *closures, guint i);

/** closures_age_ms - since the table was known to say so; G_MAXUINT: never. */
guint closures_age_ms (const Closures *closures, gint64 now_ms);

/** closures_changes - counts the changes of the set from 1; 0: nothing is known. */
guint64 closures_changes (const Closures *closures);

/**
 * closures_tell - put the belief into a frame if it is news to that peer.
 * @confirm_ms: tell how old it is this often; 0: changes only.
 */
void closures_tell (Closures *closures,
                    ClosuresTold *told,
                    guint confirm_ms,
                    Gw__Frame *frame,
                    gint64 now_ms);

/** closures_hear - what a peer's frame says, if anything. Return: as closures_apply ().
 */
gboolean closures_hear (Closures *closures, const Gw__Frame *frame, gint64 now_ms);
