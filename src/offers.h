#pragma once
/* Whom an agent tells of room that frees while several entries have work for it. Told to
 * all at once, the nearest entry would win each time, callers of other availability zones
 * would be refused, and most orders would come too late. Room is kept for the first job
 * of the entry whose job has the best rank, what is left for the next one, and so on, so
 * that the order of jobs holds over all entries; what none of them can use all may use.
 */
#include "resource_request.h"

typedef struct Offers Offers;

Offers *offers_new (void);
void offers_free (Offers *offers);

/** offers_request - this waits at @entry, which found no room; nothing may wait there. */
void offers_request (Offers *offers,
                     guint64 entry,
                     const ResourceRequest *wish,
                     gint64 now_ms);

/** offers_set_free - so much is free now. */
void offers_set_free (Offers *offers, const Demand *room);

/** offers_capacity_freed - there is room again. */
void offers_capacity_freed (Offers *offers, gint64 now_ms);

/** offers_used - @entry has started all that it ordered; this still waits there. */
void
offers_used (Offers *offers, guint64 entry, const ResourceRequest *wish, gint64 now_ms);

/** offers_tick - let offers lapse that were not taken. */
void offers_tick (Offers *offers, gint64 now_ms);

/** offers_open - whether room is kept for any entry now. */
gboolean offers_open (const Offers *offers);

/** offers_is_reserved_for - whether room is kept for @entry. */
gboolean offers_is_reserved_for (const Offers *offers, guint64 entry);

/** offers_available_to - what @entry may use of what is free. */
Demand offers_available_to (const Offers *offers, guint64 entry);

/* An offer is taken within two ways through the network and a turn of both loops. */
#define OFFER_MS 6
