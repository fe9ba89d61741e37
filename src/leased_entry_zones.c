/* Closed availability zones at an entry: changes from the platform or a peer go to the
 * dispatcher and to all other peers. */
#include "clock.h"
#include "leased_entry_parts.h"

/* How often peers are sent the age of an unchanged set: without a recent one they look
 * for themselves on the platform. */
#define CONFIRM_MS 400

static void
zones_changed (LeasedEntry *entry)
{
  dispatcher_zones_changed (entry->dispatcher);
  mesh_send_all (entry->mesh);
}

void
leased_entry_zones_frame (LeasedEntry *entry, const Gw__Frame *frame)
{
  if (closed_zones_from_frame (entry->closed_zones, frame, clock_now_ms ()))
    zones_changed (entry);
}

void
leased_entry_zones_prepare (LeasedEntry *entry, MeshPeer *peer, Gw__Frame *frame)
{
  closed_zones_to_frame (entry->closed_zones, &peer->closed_zones_sent, CONFIRM_MS, frame,
                         clock_now_ms ());
}

void
leased_entry_update_zones (LeasedEntry *entry,
                           const ZoneChange *changes,
                           gsize n_changes,
                           gboolean whole,
                           guint64 version)
{
  if (closed_zones_apply (entry->closed_zones, changes, n_changes, whole, version,
                          clock_now_ms ()))
    zones_changed (entry);
}

const ClosedZones *
leased_entry_closed_zones (const LeasedEntry *entry)
{
  return entry->closed_zones;
}
