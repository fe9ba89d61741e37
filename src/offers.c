#include "offers.h"

/* Whoever found no room this long ago has found other room meanwhile, or given up. */
#define WANTING_MS 80

typedef struct
{
  guint64 entry;
  Wish wish;
  gint64 refused_ms;
} Wanting;

struct Offers
{
  Demand room;
  GArray *wanting; /* of Wanting, one for each entry */
  guint64 chosen;  /* 0: all may use what is free */
  gint64 until_ms;
};

Offers *
offers_new (void)
{
  Offers *offers = g_new0 (Offers, 1);

  offers->wanting = g_array_new (FALSE, FALSE, sizeof (Wanting));
  return offers;
}

void
offers_free (Offers *offers)
{
  g_array_unref (offers->wanting);
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
goes_before (const Wish *wish, const Wish *other)
{
  if (wish->rank != other->rank)
    return wish->rank < other->rank;
  return wish->tasks > other->tasks;
}

static void
choose (Offers *offers, gint64 now_ms)
{
  static const Demand nothing;
  const Wanting *best = NULL;

  for (guint i = offers->wanting->len; i > 0; i--)
    if (now_ms - g_array_index (offers->wanting, Wanting, i - 1).refused_ms > WANTING_MS)
      g_array_remove_index_fast (offers->wanting, i - 1);
  for (guint i = 0; i < offers->wanting->len; i++)
    {
      const Wanting *wanting = &g_array_index (offers->wanting, Wanting, i);

      if (!demand_fits (&offers->room, &nothing, &wanting->wish.need))
        continue;
      if (best == NULL || goes_before (&wanting->wish, &best->wish))
        best = wanting;
    }
  offers->chosen = best != NULL ? best->entry : 0;
  offers->until_ms = now_ms + OFFER_MS;
}

void
offers_refused (Offers *offers, guint64 entry, const Wish *wish, gint64 now_ms)
{
  Wanting wanting = { entry, *wish, now_ms };

  wanting.wish.tasks = MAX (wish->tasks, 1);
  forget (offers, entry);
  g_array_append_val (offers->wanting, wanting);
}

void
offers_room (Offers *offers, const Demand *room)
{
  offers->room = *room;
}

void
offers_freed (Offers *offers, gint64 now_ms)
{
  if (offers->chosen == 0)
    choose (offers, now_ms);
}

void
offers_used (Offers *offers, guint64 entry, const Wish *wish, gint64 now_ms)
{
  if (wish->tasks > 0)
    offers_refused (offers, entry, wish, now_ms);
  else
    forget (offers, entry);
  if (offers->chosen == entry)
    choose (offers, now_ms);
}

void
offers_tick (Offers *offers, gint64 now_ms)
{
  if (offers->chosen == 0 || now_ms < offers->until_ms)
    return;
  forget (offers, offers->chosen);
  choose (offers, now_ms);
}

gboolean
offers_open (const Offers *offers)
{
  return offers->chosen != 0;
}

guint64
offers_to (const Offers *offers)
{
  return offers->chosen;
}

gboolean
offers_may_use (const Offers *offers, guint64 entry)
{
  return offers->chosen == 0 || offers->chosen == entry;
}
