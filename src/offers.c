#include "offers.h"

/* Whoever found no room this long ago has found other room meanwhile, or given up. */
#define WANTING_MS 80

typedef struct
{
  guint64 entry;
  guint waiting;
  gint64 refused_ms;
} Wanting;

struct Offers
{
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

static void
choose (Offers *offers, gint64 now_ms)
{
  const Wanting *best = NULL;

  for (guint i = offers->wanting->len; i > 0; i--)
    if (now_ms - g_array_index (offers->wanting, Wanting, i - 1).refused_ms > WANTING_MS)
      g_array_remove_index_fast (offers->wanting, i - 1);
  for (guint i = 0; i < offers->wanting->len; i++)
    {
      const Wanting *wanting = &g_array_index (offers->wanting, Wanting, i);

      if (best == NULL || wanting->waiting > best->waiting)
        best = wanting;
    }
  offers->chosen = best != NULL ? best->entry : 0;
  offers->until_ms = now_ms + OFFER_MS;
}

void
offers_refused (Offers *offers, guint64 entry, guint waiting, gint64 now_ms)
{
  Wanting wanting = { entry, MAX (waiting, 1), now_ms };

  forget (offers, entry);
  g_array_append_val (offers->wanting, wanting);
}

void
offers_freed (Offers *offers, gint64 now_ms)
{
  if (offers->chosen == 0)
    choose (offers, now_ms);
}

static void
count_down (Offers *offers, guint64 entry)
{
  for (guint i = 0; i < offers->wanting->len; i++)
    {
      Wanting *wanting = &g_array_index (offers->wanting, Wanting, i);

      if (wanting->entry == entry && --wanting->waiting > 0)
        return;
    }
  forget (offers, entry);
}

void
offers_used (Offers *offers, guint64 entry, gint64 now_ms)
{
  count_down (offers, entry);
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
