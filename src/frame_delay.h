#pragma once
/* How late the frames of a peer come, against the fastest of the last seconds: the sum of
 * what its process, its link and the own link hold up.
 *
 * Load pattern: one entry has twice the callers of another on a narrow link. Orders and
 * wishes wait there for hundreds of milliseconds, are too old when they arrive, and are
 * sent again with their payloads, which keeps the link full long after the cause is over.
 * Each end tells the other how late it hears it, and the sender holds back what may wait.
 */
#include <glib.h>

#define FRAME_DELAY_WINDOWS 2

typedef struct
{
  gint64 least_ms[FRAME_DELAY_WINDOWS]; /* own clock less the peer's, in this window and
                                        the one before */
  gint64 window_ms; /* own clock when this window began; 0: nothing was heard */
  guint delay_ms;   /* of the last frame */
} FrameDelay;

/** frame_delay_observe - a frame says that its sender's clock showed @told_ms. */
void frame_delay_observe (FrameDelay *lateness, gint64 told_ms, gint64 now_ms);
