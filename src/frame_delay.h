#pragma once
/* Delay of a peer's frames beyond the least delay of the last seconds: the sum of what
 * its process, its link and the own link add.
 *
 * Load pattern: one entry has twice the callers of another on a narrow link. Orders and
 * resource requests queue there for hundreds of ms, are outdated on arrival, and are
 * resent with their payloads, which keeps the link full long after the cause is over.
 * So each end reports the delay it observes, and the sender holds back what can wait. */
#include <glib.h>

#define FRAME_DELAY_WINDOWS 2

typedef struct
{
  gint64 least_ms[FRAME_DELAY_WINDOWS]; /* own clock less the peer's, in this window and
                                           the one before */
  gint64 window_ms; /* own clock when this window began; 0: no frame yet */
  guint delay_ms;   /* of the last frame */
} FrameDelay;

/** frame_delay_observe - a frame was received; its sender's clock showed @peer_ms. */
void frame_delay_observe (FrameDelay *delay, gint64 peer_ms, gint64 now_ms);
