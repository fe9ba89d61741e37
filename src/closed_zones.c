#define LOG_MODULE "closures"
#include "closed_zones.h"
#include "counters.h"
#include "events.h"

#include <string.h>

struct ClosedZones
{
  GPtrArray *zones;    /* of ClosedZone, by name */
  guint64 version;     /* of the table, as of which the set is complete */
  guint64 revision;    /* 0: nothing is known */
  gint64 confirmed_ms; /* when the table last confirmed the set */
  /* Of the frame being prepared. */
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
  ClosedZones *set = g_new0 (ClosedZones, 1);

  set->zones = g_ptr_array_new_with_free_func (zone_free);
  return set;
}

void
closed_zones_free (ClosedZones *set)
{
  if (set == NULL)
    return;
  g_ptr_array_unref (set->zones);
  g_free (set->zone_messages);
  g_free (set->zone_list);
  g_free (set);
}

/* Return: its index, or -1. */
static int
find_zone (const ClosedZones *set, const char *name)
{
  for (guint i = 0; i < set->zones->len; i++)
    if (strcmp (closed_zones_get (set, i)->name, name) == 0)
      return (int)i;
  return -1;
}

static void
note_change (ClosedZones *set, const char *zone, gboolean closed, guint64 version)
{
  set->revision++;
  counter_add (closed ? COUNTER_ZONES_CLOSED : COUNTER_ZONES_OPENED, 1);
  event_note (closed ? "zone-closed" : "zone-opened", "-",
              "zone=%.100s version=%" G_GUINT64_FORMAT, zone, version);
}

static gboolean
close_zone (ClosedZones *set, const char *name, guint64 version)
{
  ClosedZone *zone;
  int i = find_zone (set, name);

  if (i >= 0)
    {
      zone = g_ptr_array_index (set->zones, i);
      zone->version = MAX (zone->version, version);
      return FALSE;
    }
  zone = g_new0 (ClosedZone, 1);
  zone->name = g_strdup (name);
  zone->version = version;
  g_ptr_array_add (set->zones, zone);
  note_change (set, name, TRUE, version);
  return TRUE;
}

static void
open_zone (ClosedZones *set, guint i, guint64 version)
{
  note_change (set, closed_zones_get (set, i)->name, FALSE, version);
  g_ptr_array_remove_index (set->zones, i);
}

static gboolean
is_listed (const ZoneChange *changes, gsize n_changes, const char *name)
{
  for (gsize i = 0; i < n_changes; i++)
    if (strcmp (changes[i].zone, name) == 0)
      return TRUE;
  return FALSE;
}

static gboolean
open_others (ClosedZones *set,
             const ZoneChange *changes,
             gsize n_changes,
             guint64 version)
{
  gboolean changed = FALSE;

  for (guint i = set->zones->len; i > 0; i--)
    if (!is_listed (changes, n_changes, closed_zones_get (set, i - 1)->name))
      {
        open_zone (set, i - 1, version);
        changed = TRUE;
      }
  return changed;
}

static gboolean
apply_one (ClosedZones *set, const ZoneChange *change)
{
  int i = find_zone (set, change->zone);

  switch (change->state)
    {
    case ZONE_UNREADABLE:
      return FALSE;
    case ZONE_CLOSED:
      return close_zone (set, change->zone, change->version);
    case ZONE_OPEN:
      if (i >= 0)
        open_zone (set, (guint)i, change->version);
      return i >= 0;
    }
  g_assert_not_reached ();
}

static void
confirm (ClosedZones *set, gint64 when_ms)
{
  set->confirmed_ms = MAX (set->confirmed_ms, when_ms);
}

static gboolean
merge (ClosedZones *set,
       const ZoneChange *changes,
       gsize n_changes,
       gboolean whole,
       guint64 version)
{
  gboolean changed = FALSE;

  /* Changes cannot be applied before the whole set is known. */
  if (version <= set->version || (!whole && set->revision == 0))
    return FALSE;
  /* From now on a zone that is not listed is known to be open. */
  if (set->revision == 0)
    set->revision = 1;
  if (whole)
    changed = open_others (set, changes, n_changes, version);
  for (gsize i = 0; i < n_changes; i++)
    if (changes[i].version > set->version || whole)
      changed |= apply_one (set, &changes[i]);
  set->version = version;
  counter_set (COUNTER_ZONES_CLOSED_NOW, set->zones->len);
  return changed;
}

gboolean
closed_zones_apply (ClosedZones *set,
                    const ZoneChange *changes,
                    gsize n_changes,
                    gboolean whole,
                    guint64 version,
                    gint64 now_ms)
{
  gboolean changed = merge (set, changes, n_changes, whole, version);

  if (set->revision > 0)
    confirm (set, now_ms);
  return changed;
}

gboolean
closed_zones_has (const ClosedZones *set, const char *zone)
{
  return find_zone (set, zone) >= 0;
}

guint
closed_zones_count (const ClosedZones *set)
{
  return set->zones->len;
}

const ClosedZone *
closed_zones_get (const ClosedZones *set, guint i)
{
  return g_ptr_array_index (set->zones, i);
}

guint
closed_zones_age_ms (const ClosedZones *set, gint64 now_ms)
{
  if (set->confirmed_ms == 0)
    return G_MAXUINT;
  return (guint)CLAMP (now_ms - set->confirmed_ms, 0, G_MAXUINT);
}

guint64
closed_zones_revision (const ClosedZones *set)
{
  return set->revision;
}

static void
fill_message (ClosedZones *set, gint64 now_ms)
{
  guint n = set->zones->len;

  gw__closures__init (&set->message);
  set->message.version = set->version;
  set->message.age_ms = closed_zones_age_ms (set, now_ms);
  set->zone_messages = g_renew (Gw__ClosedZone, set->zone_messages, n);
  set->zone_list = g_renew (Gw__ClosedZone *, set->zone_list, n);
  for (guint i = 0; i < n; i++)
    {
      gw__closed_zone__init (&set->zone_messages[i]);
      set->zone_messages[i].name = closed_zones_get (set, i)->name;
      set->zone_messages[i].version = closed_zones_get (set, i)->version;
      set->zone_list[i] = &set->zone_messages[i];
    }
  set->message.n_zones = n;
  set->message.zones = set->zone_list;
}

static gboolean
is_due (const ClosedZones *set,
        const ClosedZonesSent *sent,
        guint confirm_ms,
        gint64 now_ms)
{
  if (sent->revision != set->revision)
    return TRUE;
  return confirm_ms > 0 && now_ms - sent->sent_ms >= confirm_ms
         && set->confirmed_ms > sent->sent_ms;
}

void
closed_zones_to_frame (ClosedZones *set,
                       ClosedZonesSent *sent,
                       guint confirm_ms,
                       Gw__Frame *frame,
                       gint64 now_ms)
{
  if (set->revision == 0 || !is_due (set, sent, confirm_ms, now_ms))
    return;
  sent->revision = set->revision;
  sent->sent_ms = now_ms;
  fill_message (set, now_ms);
  frame->closures = &set->message;
}

gboolean
closed_zones_from_frame (ClosedZones *set, const Gw__Frame *frame, gint64 now_ms)
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
  changed
      = merge (set, (const ZoneChange *)zones->data, zones->len, TRUE, message->version);
  g_array_unref (zones);
  if (message->age_ms < G_MAXUINT && set->revision > 0)
    confirm (set, now_ms - message->age_ms);
  return changed;
}
