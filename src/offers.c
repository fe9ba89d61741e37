#include "offers.h"

typedef struct
{
  guint64 entry;
  ResourceRequest request;
  gint64 received_ms;
} Waiter;

typedef struct
{
  guint64 entry;
  Demand reserved;
  gint64 until_ms;
} Offer;

struct Offers
{
  Demand room;
  GArray *waiters; /* of Waiter, one per entry */
  GArray *open;    /* of Offer, at most one per entry */
};

Offers *
offers_new (void)
{
  Offers *offers = g_new0 (Offers, 1);

  offers->waiters = g_array_new (FALSE, FALSE, sizeof (Waiter));
  offers->open = g_array_new (FALSE, FALSE, sizeof (Offer));
  return offers;
}

void
offers_free (Offers *offers)
{
  g_array_unref (offers->waiters);
  g_array_unref (offers->open);
  g_free (offers);
}

void
offers_clear (Offers *offers)
{
  g_array_set_size (offers->waiters, 0);
  g_array_set_size (offers->open, 0);
}

static void
remove_waiter (Offers *offers, guint64 entry)
{
  for (guint i = 0; i < offers->waiters->len; i++)
    if (g_array_index (offers->waiters, Waiter, i).entry == entry)
      {
        g_array_remove_index_fast (offers->waiters, i);
        return;
      }
}

static gboolean
is_expired (const Waiter *waiter, gint64 now_ms)
{
  return now_ms - waiter->received_ms > waiter->request.valid_ms;
}

static void
remove_expired (Offers *offers, gint64 now_ms)
{
  for (guint i = offers->waiters->len; i > 0; i--)
    if (is_expired (&g_array_index (offers->waiters, Waiter, i - 1), now_ms))
      g_array_remove_index_fast (offers->waiters, i - 1);
}

static const Offer *
find_offer (const Offers *offers, guint64 entry)
{
  for (guint i = 0; i < offers->open->len; i++)
    {
      const Offer *offer = &g_array_index (offers->open, Offer, i);

      if (offer->entry == entry)
        return offer;
    }
  return NULL;
}

static void
withdraw (Offers *offers, guint64 entry)
{
  for (guint i = 0; i < offers->open->len; i++)
    if (g_array_index (offers->open, Offer, i).entry == entry)
      {
        g_array_remove_index (offers->open, i);
        return;
      }
}

static Demand
unreserved (const Offers *offers)
{
  Demand rest = offers->room;

  for (guint i = 0; i < offers->open->len; i++)
    demand_subtract (&rest, &g_array_index (offers->open, Offer, i).reserved);
  return rest;
}

static gboolean
goes_before (const ResourceRequest *request, const ResourceRequest *other)
{
  if (request->rank != other->rank)
    return request->rank < other->rank;
  return request->tasks > other->tasks;
}

/* Of the waiters without an offer that fit into @rest, the one to be served first. */
static const Waiter *
best_for (const Offers *offers, const Demand *rest)
{
  static const Demand nothing;
  const Waiter *best = NULL;

  for (guint i = 0; i < offers->waiters->len; i++)
    {
      const Waiter *waiter = &g_array_index (offers->waiters, Waiter, i);

      if (find_offer (offers, waiter->entry) != NULL
          || !demand_fits (rest, &nothing, &waiter->request.need))
        continue;
      if (best == NULL || goes_before (&waiter->request, &best->request))
        best = waiter;
    }
  return best;
}

/* As much of @rest as the first job of the request can use. */
static Demand
reservation_for (const ResourceRequest *request, const Demand *rest)
{
  Demand reserved = { 0 };

  for (guint i = 0; i < MAX (request->first_tasks, 1); i++)
    {
      if (!demand_fits (rest, &reserved, &request->need))
        break;
      demand_add (&reserved, &request->need);
    }
  return reserved;
}

static void
make_offers (Offers *offers, gint64 now_ms)
{
  Demand rest = unreserved (offers);
  const Waiter *best;

  remove_expired (offers, now_ms);
  while ((best = best_for (offers, &rest)) != NULL)
    {
      Offer offer
          = { best->entry, reservation_for (&best->request, &rest), now_ms + OFFER_MS };

      g_array_append_val (offers->open, offer);
      demand_subtract (&rest, &offer.reserved);
    }
}

void
offers_request (Offers *offers,
                guint64 entry,
                const ResourceRequest *request,
                gint64 now_ms)
{
  Waiter waiter = { entry, *request, now_ms };

  remove_waiter (offers, entry);
  withdraw (offers, entry);
  if (request->tasks > 0)
    g_array_append_val (offers->waiters, waiter);
  make_offers (offers, now_ms);
}

void
offers_set_free (Offers *offers, const Demand *room)
{
  offers->room = *room;
}

void
offers_capacity_freed (Offers *offers, gint64 now_ms)
{
  make_offers (offers, now_ms);
}

void
offers_used (Offers *offers, guint64 entry, const ResourceRequest *request, gint64 now_ms)
{
  offers_request (offers, entry, request, now_ms);
}

void
offers_tick (Offers *offers, gint64 now_ms)
{
  gboolean expired = FALSE;

  for (guint i = offers->open->len; i > 0; i--)
    {
      const Offer *offer = &g_array_index (offers->open, Offer, i - 1);

      if (now_ms < offer->until_ms)
        continue;
      remove_waiter (offers, offer->entry);
      g_array_remove_index (offers->open, i - 1);
      expired = TRUE;
    }
  if (expired)
    make_offers (offers, now_ms);
}

gboolean
offers_open (const Offers *offers)
{
  return offers->open->len > 0;
}

gboolean
offers_is_reserved_for (const Offers *offers, guint64 entry)
{
  return find_offer (offers, entry) != NULL;
}

Demand
offers_available_to (const Offers *offers, guint64 entry)
{
  const Offer *offer = find_offer (offers, entry);
  Demand room = unreserved (offers);

  if (offer != NULL)
    demand_add (&room, &offer->reserved);
  return room;
}
