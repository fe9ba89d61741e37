#pragma once
/* The last speed that an entry received for each instance of a backend server. An agent
 * that was restarted has lost it and gets it back from here. Does no I/O; the time is
 * passed in. */
#include <glib.h>

typedef struct SpeedsSeen SpeedsSeen;

SpeedsSeen *speeds_seen_new (void);
void speeds_seen_free (SpeedsSeen *seen);

/** speeds_seen_take - keep a speed that an agent sent, unless one that is based on more
 * runs is kept, or it is out of range. */
void speeds_seen_take (SpeedsSeen *seen,
                       const char *instance,
                       guint percent,
                       guint runs,
                       gint64 now_ms);

/**
 * speeds_seen_find - the speed kept for an instance that its agent says is based on
 * @agent_runs.
 * @percent, @runs: set if found.
 * Return: FALSE if none is kept that is based on more runs.
 */
gboolean speeds_seen_find (const SpeedsSeen *seen,
                           const char *instance,
                           guint agent_runs,
                           guint *percent,
                           guint *runs);

/** speeds_seen_count - instances that a speed is kept for. */
guint speeds_seen_count (const SpeedsSeen *seen);
