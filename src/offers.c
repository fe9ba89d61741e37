#include "offers.h"

typedef struct
{
  guint64 entry;
  ResourceRequest wish;
  gint64 refused_ms;
} Wanting;

typedef struct
{
  guint64 entry;
  Demand kept;
  gint64 until_ms;
} Offer;

struct Offers
{
  Demand room;
  GArray *wanting; /* of Wanting, one for each entry */
  GArray *open;    /* of Offer, one for an entry at most */
};

Offers *
offers_new (void)
{
  Offers *offers = g_new0 (Offers, 1);

  offers->wanting = g_array_new (FALSE, FALSE, sizeof (Wanting));
  offers->open = g_array_new (FALSE, FALSE, sizeof (Offer));
  return offers;
}

void
offers_free (Offers *offers)
{
  g_array_unref (offers->wanting);
  g_array_unref (offers->open);
  g_free (offers);
}

static void
forget (Offers *offers, guint64 entry)
{
  for (guint i = 0; i < offers->wanting->len; i++)
    if (g_array_index (offers->wanting, Wanting, i).entry == entry)
      {
        g_array_remove_index_fast (offers->wanting, i);
        return;
      }
}

static gboolean
is_old (const Wanting *wanting, gint64 now_ms)
{
  return now_ms - wanting->refused_ms > wanting->wish.valid_ms;
}

static void
forget_old (Offers *offers, gint64 now_ms)
{
  for (guint i = offers->wanting->len; i > 0; i--)
    if (is_old (&g_array_index (offers->wanting, Wanting, i - 1), now_ms))
      g_array_remove_index_fast (offers->wanting, i - 1);
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

/* What is kept for nobody. */
static Demand
rest_of (const Offers *offers)
{
  Demand rest = offers->room;

  for (guint i = 0; i < offers->open->len; i++)
    demand_subtract (&rest, &g_array_index (offers->open, Offer, i).kept);
  return rest;
}

static gboolean
goes_before (const ResourceRequest *wish, const ResourceRequest *other)
{
  if (wish->rank != other->rank)
    return wish->rank < other->rank;
  return wish->tasks > other->tasks;
}

/* The best wish without an offer that fits what is left. */
static const Wanting *
best_for (const Offers *offers, const Demand *rest)
{
  static const Demand nothing;
  const Wanting *best = NULL;

  for (guint i = 0; i < offers->wanting->len; i++)
    {
      const Wanting *wanting = &g_array_index (offers->wanting, Wanting, i);

      if (find_offer (offers, wanting->entry) != NULL
          || !demand_fits (rest, &nothing, &wanting->wish.need))
        continue;
      if (best == NULL || goes_before (&wanting->wish, &best->wish))
        best = wanting;
    }
  return best;
}

/* As much as the first job there can use. */
static Demand
kept_for (const ResourceRequest *wish, const Demand *rest)
{
  Demand kept = { 0 };

  for (guint i = 0; i < MAX (wish->first_tasks, 1); i++)
    {
      if (!demand_fits (rest, &kept, &wish->need))
        break;
      demand_add (&kept, &wish->need);
    }
  return kept;
}

static void
hand_out (Offers *offers, gint64 now_ms)
{
  Demand rest = rest_of (offers);
  const Wanting *best;

  forget_old (offers, now_ms);
  while ((best = best_for (offers, &rest)) != NULL)
    {
      Offer offer = { best->entry, kept_for (&best->wish, &rest), now_ms + OFFER_MS };

      g_array_append_val (offers->open, offer);
      demand_subtract (&rest, &offer.kept);
    }
}

void
offers_request (Offers *offers, guint64 entry, const ResourceRequest *wish, gint64 now_ms)
{
  Wanting wanting = { entry, *wish, now_ms };

  forget (offers, entry);
  withdraw (offers, entry);
  if (wish->tasks > 0)
    g_array_append_val (offers->wanting, wanting);
  hand_out (offers, now_ms);
}

void
offers_set_free (Offers *offers, const Demand *room)
{
  offers->room = *room;
}

void
offers_capacity_freed (Offers *offers, gint64 now_ms)
{
  hand_out (offers, now_ms);
}

void
offers_used (Offers *offers, guint64 entry, const ResourceRequest *wish, gint64 now_ms)
{
  offers_request (offers, entry, wish, now_ms);
}

void
offers_tick (Offers *offers, gint64 now_ms)
{
  gboolean lapsed = FALSE;

  for (guint i = offers->open->len; i > 0; i--)
    {
      const Offer *offer = &g_array_index (offers->open, Offer, i - 1);

      if (now_ms < offer->until_ms)
        continue;
      forget (offers, offer->entry);
      g_array_remove_index (offers->open, i - 1);
      lapsed = TRUE;
    }
  if (lapsed)
    hand_out (offers, now_ms);
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
  Demand room = rest_of (offers);

  if (offer != NULL)
    demand_add (&room, &offer->kept);
  return room;
}
