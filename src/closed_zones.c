#define LOG_MODULE "closures"
#include "closed_zones.h"
#include "counters.h"
#include "events.h"

#include <string.h>

struct ClosedZones
{
  GPtrArray *zones;    /* of ClosedZone, by name */
  guint64 version;     /* of the table, as of which they are all */
  guint64 changes;     /* of the set; 0: nothing is known */
  gint64 confirmed_ms; /* when the table was last known to say so */
  /* Of the frame that is being prepared. */
  Gw__Closures message;
  Gw__ClosedZone *zone_messages;
  Gw__ClosedZone **zone_list;
};

static void
zone_free (gpointer data)
{
  ClosedZone *zone = data;

  g_free (zone->name);
  g_free (zone);
}

ClosedZones *
closed_zones_new (void)
{
  ClosedZones *closures = g_new0 (ClosedZones, 1);

  closures->zones = g_ptr_array_new_with_free_func (zone_free);
  return closures;
}

void
closed_zones_free (ClosedZones *closures)
{
  if (closures == NULL)
    return;
  g_ptr_array_unref (closures->zones);
  g_free (closures->zone_messages);
  g_free (closures->zone_list);
  g_free (closures);
}

/* Return: its index, or -1. */
static int
find_zone (const ClosedZones *closures, const char *name)
{
  for (guint i = 0; i < closures->zones->len; i++)
    if (strcmp (closed_zones_get (closures, i)->name, name) == 0)
      return (int)i;
  return -1;
}

static void
note_change (ClosedZones *closures, const char *zone, gboolean closed, guint64 version)
{
  closures->changes++;
  counter_add (closed ? COUNTER_ZONES_CLOSED : COUNTER_ZONES_OPENED, 1);
  event_note (closed ? "zone-closed" : "zone-opened", "-",
              "zone=%.100s version=%" G_GUINT64_FORMAT, zone, version);
}

static gboolean
close_zone (ClosedZones *closures, const char *name, guint64 version)
{
  ClosedZone *zone;
  int i = find_zone (closures, name);

  if (i >= 0)
    {
      zone = g_ptr_array_index (closures->zones, i);
      zone->version = MAX (zone->version, version);
      return FALSE;
    }
  zone = g_new0 (ClosedZone, 1);
  zone->name = g_strdup (name);
  zone->version = version;
  g_ptr_array_add (closures->zones, zone);
  note_change (closures, name, TRUE, version);
  return TRUE;
}

static void
open_zone (ClosedZones *closures, guint i, guint64 version)
{
  note_change (closures, closed_zones_get (closures, i)->name, FALSE, version);
  g_ptr_array_remove_index (closures->zones, i);
}

static gboolean
is_among (const ZoneChange *changes, gsize n_changes, const char *name)
{
  for (gsize i = 0; i < n_changes; i++)
    if (strcmp (changes[i].zone, name) == 0)
      return TRUE;
  return FALSE;
}

static gboolean
open_others (ClosedZones *closures,
             const ZoneChange *changes,
             gsize n_changes,
             guint64 version)
{
  gboolean changed = FALSE;

  for (guint i = closures->zones->len; i > 0; i--)
    if (!is_among (changes, n_changes, closed_zones_get (closures, i - 1)->name))
      {
        open_zone (closures, i - 1, version);
        changed = TRUE;
      }
  return changed;
}

static gboolean
apply_one (ClosedZones *closures, const ZoneChange *change)
{
  int i = find_zone (closures, change->zone);

  switch (change->state)
    {
    case ZONE_UNREADABLE:
      return FALSE;
    case ZONE_CLOSED:
      return close_zone (closures, change->zone, change->version);
    case ZONE_OPEN:
      if (i >= 0)
        open_zone (closures, (guint)i, change->version);
      return i >= 0;
    }
  g_assert_not_reached ();
}

static void
confirm (ClosedZones *closures, gint64 when_ms)
{
  closures->confirmed_ms = MAX (closures->confirmed_ms, when_ms);
}

static gboolean
take (ClosedZones *closures,
      const ZoneChange *changes,
      gsize n_changes,
      gboolean whole,
      guint64 version)
{
  gboolean changed = FALSE;

  /* What has changed says nothing while the rest is not known. */
  if (version <= closures->version || (!whole && closures->changes == 0))
    return FALSE;
  /* From now on a zone that is not named is known to be open. */
  if (closures->changes == 0)
    closures->changes = 1;
  if (whole)
    changed = open_others (closures, changes, n_changes, version);
  for (gsize i = 0; i < n_changes; i++)
    if (changes[i].version > closures->version || whole)
      changed |= apply_one (closures, &changes[i]);
  closures->version = version;
  counter_set (COUNTER_ZONES_CLOSED_NOW, closures->zones->len);
  return changed;
}

gboolean
closed_zones_apply (ClosedZones *closures,
                    const ZoneChange *changes,
                    gsize n_changes,
                    gboolean whole,
                    guint64 version,
                    gint64 now_ms)
{
  gboolean changed = take (closures, changes, n_changes, whole, version);

  if (closures->changes > 0)
    confirm (closures, now_ms);
  return changed;
}

gboolean
closed_zones_has (const ClosedZones *closures, const char *zone)
{
  return find_zone (closures, zone) >= 0;
}

guint
closed_zones_count (const ClosedZones *closures)
{
  return closures->zones->len;
}

const ClosedZone *
closed_zones_get (const ClosedZones *closures, guint i)
{
  return g_ptr_array_index (closures->zones, i);
}

guint
closed_zones_age_ms (const ClosedZones *closures, gint64 now_ms)
{
  if (closures->confirmed_ms == 0)
    return G_MAXUINT;
  return (guint)CLAMP (now_ms - closures->confirmed_ms, 0, G_MAXUINT);
}

guint64
closed_zones_revision (const ClosedZones *closures)
{
  return closures->changes;
}

static void
fill_message (ClosedZones *closures, gint64 now_ms)
{
  guint n = closures->zones->len;

  gw__closures__init (&closures->message);
  closures->message.version = closures->version;
  closures->message.age_ms = closed_zones_age_ms (closures, now_ms);
  closures->zone_messages = g_renew (Gw__ClosedZone, closures->zone_messages, n);
  closures->zone_list = g_renew (Gw__ClosedZone *, closures->zone_list, n);
  for (guint i = 0; i < n; i++)
    {
      gw__closed_zone__init (&closures->zone_messages[i]);
      closures->zone_messages[i].name = closed_zones_get (closures, i)->name;
      closures->zone_messages[i].version = closed_zones_get (closures, i)->version;
      closures->zone_list[i] = &closures->zone_messages[i];
    }
  closures->message.n_zones = n;
  closures->message.zones = closures->zone_list;
}

static gboolean
is_news (const ClosedZones *closures,
         const ClosedZonesSent *told,
         guint confirm_ms,
         gint64 now_ms)
{
  if (told->changes != closures->changes)
    return TRUE;
  return confirm_ms > 0 && now_ms - told->told_ms >= confirm_ms
         && closures->confirmed_ms > told->told_ms;
}

void
closed_zones_to_frame (ClosedZones *closures,
                       ClosedZonesSent *told,
                       guint confirm_ms,
                       Gw__Frame *frame,
                       gint64 now_ms)
{
  if (closures->changes == 0 || !is_news (closures, told, confirm_ms, now_ms))
    return;
  told->changes = closures->changes;
  told->told_ms = now_ms;
  fill_message (closures, now_ms);
  frame->closures = &closures->message;
}

gboolean
closed_zones_from_frame (ClosedZones *closures, const Gw__Frame *frame, gint64 now_ms)
{
  const Gw__Closures *message = frame->closures;
  GArray *zones;
  gboolean changed;

  if (message == NULL)
    return FALSE;
  zones = g_array_new (FALSE, TRUE, sizeof (ZoneChange));
  for (gsize i = 0; i < message->n_zones; i++)
    {
      ZoneChange zone
          = { message->zones[i]->name, ZONE_CLOSED, message->zones[i]->version };

      g_array_append_val (zones, zone);
    }
  changed = take (closures, (const ZoneChange *)zones->data, zones->len, TRUE,
                  message->version);
  g_array_unref (zones);
  if (message->age_ms < G_MAXUINT && closures->changes > 0)
    confirm (closures, now_ms - message->age_ms);
  return changed;
}
