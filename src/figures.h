#pragma once
/* One line every few seconds of what control costs this process: frames, bytes, what they
 * carried, processor time, the loop's longest delay. In an incident it tells a process
 * that drowns in its own traffic from one that has too many callers. */
#include <event2/event.h>
#include <glib.h>

typedef struct Figures Figures;

/** figures_new - begin to write lines. */
Figures *figures_new (struct event_base *base);
void figures_free (Figures *figures);

/** figures_note_lag - a tick of the loop came this late. */
void figures_note_lag (Figures *figures, gint64 lag_ms);
