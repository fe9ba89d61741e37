#define LOG_MODULE "mesh"
/* How entries become known: entries send each other what has changed in their directory,
 * and each agent the entries that rank highest for it. */
#include "clock.h"
#include "counters.h"
#include "events.h"
#include "mesh_parts.h"

/* About 1.5 kB: 0.5 ms of a 25 Mbit/s link, so that no lease waits behind a list. */
#define RECORDS_PER_FRAME 64
/* To all peers in one MESH_TICK_MS: a fifth of a 25 Mbit/s link. */
#define RECORDS_PER_TICK 2048
/* Twice the links of an agent, which finds others by itself after the loss of half. */
#define AGENT_RECORDS 32
/* An entry that was dialled in vain for this long is gone. Restarts, freezes and cuts of
 * a few seconds change nothing for those that are not linked to it. */
#define GONE_AFTER_MS 10000
/* Interval between dials of entries that are gone, which may be on the other side of a
 * cut network. */
#define PROBE_MS 1000
/* Processes of protocol 1 drop addresses that nobody names for 20 s. */
#define REPEAT_FOR_LEGACY_MS 8000

static gboolean
is_dropped (const Address *address)
{
  return !address->seed && address->peer == NULL;
}

static void
on_directory_changed (const DirectoryEntry *entry, gpointer ctx)
{
  Mesh *mesh = ctx;
  Address *address;

  mesh->init.hello->entries_digest = directory_digest (mesh->directory);
  mesh->init.hello->entries_known = directory_size (mesh->directory);
  event_emit (entry->gone ? "entry-gone" : "entry-known", "-",
              "address=%s version=%" G_GUINT64_FORMAT " known=%u", entry->address,
              entry->version, directory_size (mesh->directory));
  if (!entry->gone)
    {
      mesh_address_add (mesh, entry->address);
      return;
    }
  address = mesh_address_find (mesh, entry->address);
  if (address != NULL && is_dropped (address))
    mesh_address_free (address);
}

void
mesh_discovery_init (Mesh *mesh)
{
  mesh->directory = directory_new (on_directory_changed, mesh);
  mesh->records_left = RECORDS_PER_TICK;
}

void
mesh_discovery_free (Mesh *mesh)
{
  directory_free (mesh->directory);
}

void
mesh_advertise (Mesh *mesh)
{
  Address *own = mesh_address_find (mesh, mesh->init.hello->frame_address);

  if (own != NULL)
    mesh_address_free (own);
  mesh_rank_addresses (mesh);
  directory_set_own (mesh->directory, mesh->init.hello->frame_address, clock_now_ms ());
}

guint
mesh_entries (const Mesh *mesh)
{
  return directory_size (mesh->directory);
}

guint
mesh_own_rank (const Mesh *mesh)
{
  return directory_own_rank (mesh->directory);
}

void
mesh_discovery_agent_changed (Mesh *mesh)
{
  Address *address;
  guint64 digest = 0;
  guint n = 0;

  if (mesh_is_entry (mesh))
    return;
  TAILQ_FOREACH (address, &mesh->addresses, link)
    {
      if (n++ == AGENT_RECORDS)
        break;
      digest ^= directory_address_digest (address->text);
    }
  mesh->init.hello->entries_digest = digest;
}

static void
send_record (Mesh *mesh, MeshPeer *peer, const DirectoryEntry *record)
{
  Gw__Entry *entry = g_new (Gw__Entry, 1);

  gw__entry__init (entry);
  entry->name = g_strdup ("");
  entry->zone = g_strdup ("");
  entry->http_address = g_strdup ("");
  entry->frame_address = g_strdup (record->address);
  entry->version = record->version;
  entry->gone = record->gone;
  counter_add (COUNTER_ENTRIES_SENT, 1);
  mesh->records_left--;
  link_append (peer->link, LINK_ENTRIES, &entry->base);
}

static void
send_changes (Mesh *mesh, MeshPeer *peer)
{
  const DirectoryEntry *record = directory_next (mesh->directory, peer->sent.change);

  for (guint n = 0; record != NULL && n < RECORDS_PER_FRAME && mesh->records_left > 0;
       record = directory_after (record))
    {
      peer->sent.change = record->change;
      if (record->gone && peer->is_legacy)
        continue;
      send_record (mesh, peer, record);
      n++;
    }
}

/* An agent is sent its whole list, which is short and rarely changes. */
static void
send_best (Mesh *mesh, MeshPeer *peer)
{
  const DirectoryEntry *best[AGENT_RECORDS];
  guint n = directory_best (mesh->directory, peer->name, best, AGENT_RECORDS);
  guint64 digest = 0;

  for (guint i = 0; i < n; i++)
    digest ^= directory_address_digest (best[i]->address);
  if (digest != peer->sent_digest && n > mesh->records_left)
    return;
  peer->sent.change = directory_changes (mesh->directory);
  if (digest == peer->sent_digest)
    return;
  peer->sent_digest = digest;
  for (guint i = 0; i < n; i++)
    send_record (mesh, peer, best[i]);
}

static void
send_due (Mesh *mesh, MeshPeer *peer)
{
  if (peer->sent.change == directory_changes (mesh->directory))
    return;
  if (peer->is_entry)
    send_changes (mesh, peer);
  else
    send_best (mesh, peer);
}

void
mesh_discovery_up (Mesh *mesh, MeshPeer *peer, const Gw__Hello *hello)
{
  gint64 now = clock_now_ms ();

  peer->is_legacy = hello->protocol < MESH_PROTOCOL;
  peer->wants_link = peer->is_legacy;
  if (!mesh_is_entry (mesh))
    return;
  if (peer->is_entry)
    directory_confirm (mesh->directory, peer->frame_address, now);
  peer->sent_all_ms = now;
  peer->entries_digest = hello->entries_digest;
  peer->sent_digest = hello->entries_digest;
  /* An agent says with its digest which list it has, not how many entries it knows. */
  if (peer->is_entry)
    directory_sent_begin (mesh->directory, &peer->sent, hello->entries_known,
                          hello->entries_digest, now);
  else
    peer->sent = (DirectorySent){ 0 };
  send_due (mesh, peer);
}

static void
take_record (Mesh *mesh, const Gw__Entry *record, gint64 now_ms)
{
  const Address *address;

  directory_apply (mesh->directory, record->frame_address, record->version, record->gone,
                   now_ms);
  if (!record->gone)
    return;
  address = mesh_address_find (mesh, record->frame_address);
  if (address != NULL && address->peer != NULL)
    directory_confirm (mesh->directory, record->frame_address, now_ms);
}

void
mesh_discovery_frame (Mesh *mesh, MeshPeer *peer, const Gw__Frame *frame)
{
  gint64 now = clock_now_ms ();

  peer->wants_link = frame->link_wanted || peer->is_legacy;
  if (frame->entries_digest != 0)
    peer->entries_digest = frame->entries_digest;
  for (gsize i = 0; i < frame->n_entries; i++)
    if (frame->entries[i]->frame_address[0] == '\0')
      continue;
    else if (mesh_is_entry (mesh))
      take_record (mesh, frame->entries[i], now);
    else if (!frame->entries[i]->gone)
      mesh_address_add (mesh, frame->entries[i]->frame_address);
}

void
mesh_discovery_prepare (const Mesh *mesh, const MeshPeer *peer, Gw__Frame *frame)
{
  if (!peer->is_entry || !mesh_is_entry (mesh))
    return;
  frame->link_wanted = peer->wanted;
  frame->entries_digest = directory_digest (mesh->directory);
}

static void
mark_gone (Mesh *mesh, gint64 now_ms)
{
  Address *address;
  Address *next;

  for (address = TAILQ_FIRST (&mesh->addresses); address != NULL; address = next)
    {
      next = TAILQ_NEXT (address, link);
      if (address->peer == NULL && mesh_address_failing_ms (address) > GONE_AFTER_MS)
        directory_mark_gone (mesh->directory, address->text, now_ms);
    }
}

static void
probe_gone (Mesh *mesh, gint64 now_ms)
{
  const DirectoryEntry *entry;
  Address *address;

  if (now_ms - mesh->probed_ms < PROBE_MS)
    return;
  mesh->probed_ms = now_ms;
  directory_expire (mesh->directory, now_ms);
  if (mesh->probed != NULL && is_dropped (mesh->probed))
    mesh_address_free (mesh->probed);
  mesh->probed = NULL;
  entry = directory_next_gone (mesh->directory);
  if (entry == NULL)
    return;
  address = mesh_address_find (mesh, entry->address);
  if (address != NULL)
    return;
  address = mesh_address_add (mesh, entry->address);
  mesh->probed = address;
  mesh_dial (mesh, address, now_ms);
}

void
mesh_discovery_tick (Mesh *mesh, gint64 now_ms)
{
  MeshPeer *peer;

  if (!mesh_is_entry (mesh))
    return;
  /* Who is linked to no entry cannot tell whether the others or itself are cut off. */
  if (mesh->linked_entries > 0)
    mark_gone (mesh, now_ms);
  probe_gone (mesh, now_ms);
  mesh->records_left = RECORDS_PER_TICK;
  TAILQ_FOREACH (peer, &mesh->peers, link_entry)
    {
      if (peer->link == NULL)
        continue;
      if (peer->is_entry && !peer->is_legacy)
        directory_sent_compare (mesh->directory, &peer->sent, peer->entries_digest,
                                now_ms);
      if (peer->is_legacy && now_ms - peer->sent_all_ms > REPEAT_FOR_LEGACY_MS)
        {
          peer->sent_all_ms = now_ms;
          peer->sent.change = 0;
          peer->sent_digest = 0;
        }
      send_due (mesh, peer);
    }
}
