#pragma once
/* Free capacity of a backend server, reserved for one entry for a few ms.
 *
 * If it was announced to all entries at once, the nearest would win each time, callers of
 * other availability zones would be refused, and most orders would come too late. Instead
 * it is reserved for the first job of the entry whose first job has the lowest rank, the
 * rest for the next entry, and so on, so that jobs keep their order across entries. What
 * none of them can use is available to all. */
#include "resource_request.h"

typedef struct Offers Offers;

Offers *offers_new (void);
void offers_free (Offers *offers);

/** offers_clear - forget all requests and offers. */
void offers_clear (Offers *offers);

/** offers_request - @entry found no free capacity for @request. Replaces its earlier
 * request and withdraws its offer; an empty @request does only this.
 */
void offers_request (Offers *offers,
                     guint64 entry,
                     const ResourceRequest *request,
                     gint64 now_ms);

/** offers_set_free - set the capacity that is free now. */
void offers_set_free (Offers *offers, const Demand *room);

/** offers_capacity_freed - make offers from capacity that became free. */
void offers_capacity_freed (Offers *offers, gint64 now_ms);

/** offers_used - @entry has started all that it ordered; @request still waits there. */
void offers_used (Offers *offers,
                  guint64 entry,
                  const ResourceRequest *request,
                  gint64 now_ms);

/** offers_tick - withdraw expired offers and the requests they answered. */
void offers_tick (Offers *offers, gint64 now_ms);

/** offers_open - whether capacity is reserved for any entry. */
gboolean offers_open (const Offers *offers);

/** offers_is_reserved_for - whether capacity is reserved for @entry. */
gboolean offers_is_reserved_for (const Offers *offers, guint64 entry);

/** offers_available_to - the free capacity that @entry may use. */
Demand offers_available_to (const Offers *offers, guint64 entry);

/* Validity of an offer. It is taken within a network round trip and an event-loop
 * iteration per end. */
#define OFFER_MS 6
