/* Closed availability zones at an entry: from the platform or a peer to the dispatcher
 * and to all other peers. */
#include "clock.h"
#include "leased_entry_parts.h"

/* Agents hear this often that the table still says so. */
#define CONFIRM_MS 400

static void
zones_changed (LeasedEntry *entry)
{
  dispatcher_zones_changed (entry->dispatcher);
  mesh_tell_all (entry->mesh);
}

void
leased_entry_zones_frame (LeasedEntry *entry, const Gw__Frame *frame)
{
  if (closed_zones_from_frame (entry->closures, frame, clock_now_ms ()))
    zones_changed (entry);
}

void
leased_entry_zones_prepare (LeasedEntry *entry, MeshPeer *peer, Gw__Frame *frame)
{
  closed_zones_to_frame (entry->closures, &peer->closures,
                         peer->is_entry ? 0 : CONFIRM_MS, frame, clock_now_ms ());
}

void
leased_entry_zones (LeasedEntry *entry,
                    const ZoneChange *changes,
                    gsize n_changes,
                    gboolean whole,
                    guint64 version)
{
  if (closed_zones_apply (entry->closures, changes, n_changes, whole, version,
                          clock_now_ms ()))
    zones_changed (entry);
}

const ClosedZones *
leased_entry_closures (const LeasedEntry *entry)
{
  return entry->closures;
}
