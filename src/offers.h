#pragma once
/* Whom an agent tells of room that frees while several entries have work for it. Told to
 * all at once, the nearest entry would win each time, callers of other availability zones
 * would be refused, and most orders would come too late: offers took refused starts from
 * 25,876 to 14,853 in the logs of a minute with overload. Room is offered to one entry at
 * a time, first to the one whose job has the best rank, so that the order of jobs holds
 * over all entries. */
#include "wish.h"

typedef struct Offers Offers;

Offers *offers_new (void);
void offers_free (Offers *offers);

/** offers_refused - this waits at @entry, which found no room. */
void offers_refused (Offers *offers, guint64 entry, const Wish *wish, gint64 now_ms);

/** offers_room - so much is free now. It is offered only to who can use it. */
void offers_room (Offers *offers, const Demand *room);

/** offers_freed - there is room again. */
void offers_freed (Offers *offers, gint64 now_ms);

/** offers_used - @entry has started something; this still waits there. */
void offers_used (Offers *offers, guint64 entry, const Wish *wish, gint64 now_ms);

/** offers_tick - let an offer lapse that was not taken. */
void offers_tick (Offers *offers, gint64 now_ms);

/** offers_open - whether room is offered to one entry now. */
gboolean offers_open (const Offers *offers);

/** offers_to - the entry that room is offered to now; 0: to all. */
guint64 offers_to (const Offers *offers);

/** offers_may_use - whether @entry is to be told of free room. */
gboolean offers_may_use (const Offers *offers, guint64 entry);

/* An offer is taken within two ways through the network and a turn of both loops. */
#define OFFER_MS 6
