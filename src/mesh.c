#define LOG_MODULE "mesh"
#include "clock.h"
#include "counters.h"
#include "events.h"
#include "mesh_parts.h"

#include <string.h>

/* After this long without a linked entry, addresses are looked up in the platform's
 * table, and again at this interval. */
#define ISOLATED_MS 700
/* A surplus link is closed after this, once nothing runs for that entry. Between entries
 * it takes longer than a heartbeat, with which the other end says whether it wants it. */
#define RELEASE_MS 500
#define RELEASE_ENTRY_MS 2000

/* Return: NULL before the peer's Hello, and for a duplicate link. */
static MeshPeer *
peer_of_link (const Link *link)
{
  return link_data (link);
}

void
mesh_send_all (Mesh *mesh)
{
  MeshPeer *peer;

  TAILQ_FOREACH (peer, &mesh->peers, link_entry)
    if (peer->link != NULL)
      link_touch (peer->link);
}

MeshPeer *
mesh_find (Mesh *mesh, guint64 incarnation)
{
  return g_hash_table_lookup (mesh->peers_by_incarnation, &incarnation);
}

MeshPeer *
mesh_first (Mesh *mesh)
{
  return TAILQ_FIRST (&mesh->peers);
}

MeshPeer *
mesh_next (MeshPeer *peer)
{
  return TAILQ_NEXT (peer, link_entry);
}

gboolean
mesh_is_entry (const Mesh *mesh)
{
  return mesh->init.hello->role == GW__HELLO__ROLE__ENTRY;
}

static MeshPeer *
peer_new (Mesh *mesh, const Gw__Hello *hello)
{
  MeshPeer *peer = g_new0 (MeshPeer, 1);

  peer->mesh = mesh;
  peer->incarnation = hello->incarnation;
  peer->name = g_strdup (hello->name);
  peer->frame_address = g_strdup (hello->frame_address);
  peer->is_entry = hello->role == GW__HELLO__ROLE__ENTRY;
  TAILQ_INSERT_TAIL (&mesh->peers, peer, link_entry);
  g_hash_table_insert (mesh->peers_by_incarnation, &peer->incarnation, peer);
  return peer;
}

static void
attach (MeshPeer *peer, Link *link)
{
  Mesh *mesh = peer->mesh;

  peer->link = link;
  link_set_data (link, peer);
  peer->surplus_ms = 0;
  peer->receive_delay = (FrameDelay){ 0 };
  peer->send_delay_ms = 0;
  if (!peer->is_entry)
    return;
  mesh->linked_entries++;
  counter_set (COUNTER_ENTRIES_LINKED, mesh->linked_entries);
  peer->address = mesh_address_add (mesh, peer->frame_address);
  if (peer->address != NULL)
    peer->address->peer = peer;
}

static void
detach (MeshPeer *peer, gint64 now_ms)
{
  link_drop (&peer->link);
  peer->lost_ms = now_ms;
  peer->surplus_ms = 0;
  peer->wanted = FALSE;
  if (!peer->is_entry)
    return;
  peer->mesh->linked_entries--;
  counter_set (COUNTER_ENTRIES_LINKED, peer->mesh->linked_entries);
  if (peer->address != NULL && peer->address->peer == peer)
    peer->address->peer = NULL;
  peer->address = NULL;
}

/* A new incarnation under the same name proves that the old process is dead. */
static void
mark_earlier_incarnations_dead (Mesh *mesh, const MeshPeer *current, gint64 now_ms)
{
  MeshPeer *peer;

  TAILQ_FOREACH (peer, &mesh->peers, link_entry)
    {
      if (peer == current || strcmp (peer->name, current->name) != 0)
        continue;
      if (peer->dead_ms == 0)
        peer->dead_ms = now_ms;
      if (peer->link == NULL)
        continue;
      detach (peer, now_ms);
      mesh->ops->down (peer, mesh->ctx);
    }
}

/* When two processes dial each other at once, both keep the link dialled by the one whose
 * name sorts first. */
static gboolean
is_preferred (const Mesh *mesh, const MeshPeer *peer, gboolean dialed_here)
{
  gboolean own_first = strcmp (mesh->init.hello->name, peer->name) < 0;

  return dialed_here == own_first;
}

static void
on_up (Link *link, gpointer ctx)
{
  Mesh *mesh = ctx;
  const Gw__Hello *hello = link_peer (link);
  Address *address = mesh_address_of_link (mesh, link);
  MeshPeer *peer = mesh_find (mesh, hello->incarnation);
  gint64 now = clock_now_ms ();

  link_ref (link);
  g_ptr_array_remove_fast (mesh->unidentified, link);
  if (address != NULL)
    {
      mesh_address_answered (address, now);
      mesh_address_dialed (address);
    }
  if (hello->incarnation == mesh->init.hello->incarnation)
    {
      link_drop (&link);
      return;
    }
  if (peer == NULL)
    peer = peer_new (mesh, hello);
  if (peer->link != NULL && !is_preferred (mesh, peer, address != NULL))
    {
      link_drop (&link);
      return;
    }
  if (peer->link != NULL)
    detach (peer, now);
  attach (peer, link);
  if (peer->is_entry && mesh_is_entry (mesh) && mesh->init.entry_heartbeat_ms > 0)
    link_set_heartbeat (link, mesh->init.entry_heartbeat_ms, mesh->init.entry_timeout_ms);
  event_note ("peer-linked", "-", "peer=%s incarnation=%" G_GINT64_MODIFIER "x entry=%d",
              peer->name, peer->incarnation, peer->is_entry);
  mark_earlier_incarnations_dead (mesh, peer, now);
  mesh_discovery_up (mesh, peer, hello);
  mesh->ops->up (peer, mesh->ctx);
}

static void
on_frame (Link *link, const Gw__Frame *frame, gpointer ctx)
{
  Mesh *mesh = ctx;
  MeshPeer *peer = peer_of_link (link);

  if (peer == NULL)
    return;
  if (frame->time != NULL)
    {
      peer_clock_observe (&peer->clock, frame->time->now_ms, clock_now_ms ());
      frame_delay_observe (&peer->receive_delay, frame->time->now_ms, clock_now_ms ());
      peer->send_delay_ms = frame->time->late_ms;
    }
  peer->leaving = frame->leaving;
  peer->config_version = frame->config_version;
  mesh_discovery_frame (mesh, peer, frame);
  mesh->ops->frame (peer, frame, mesh->ctx);
}

static void
on_down (Link *link, LinkEnd end, gpointer ctx)
{
  Mesh *mesh = ctx;
  MeshPeer *peer = peer_of_link (link);
  Address *address = mesh_address_of_link (mesh, link);

  if (address != NULL)
    {
      mesh_address_dialed (address);
      mesh_address_failed (address, clock_now_ms ());
      mesh_dial_again (mesh);
      /* A refused connection proves that the process at that address is dead. */
      for (MeshPeer *dead = TAILQ_FIRST (&mesh->peers);
           dead != NULL && end == LINK_REFUSED; dead = TAILQ_NEXT (dead, link_entry))
        if (dead->link == NULL && dead->dead_ms == 0
            && strcmp (dead->frame_address, address->text) == 0)
          dead->dead_ms = clock_now_ms ();
    }
  if (peer != NULL)
    {
      event_note ("peer-lost", "-", "peer=%s incarnation=%" G_GINT64_MODIFIER "x how=%s",
                  peer->name, peer->incarnation, link_end_name (end));
      if (peer->address != NULL)
        mesh_address_failed (peer->address, clock_now_ms ());
      detach (peer, clock_now_ms ());
      mesh_dial_soon (mesh);
      mesh->ops->down (peer, mesh->ctx);
    }
  g_ptr_array_remove_fast (mesh->unidentified, link);
}

static void
on_prepare (Link *link, Gw__Frame *frame, gpointer ctx)
{
  Mesh *mesh = ctx;
  MeshPeer *peer = peer_of_link (link);
  gint64 now = clock_now_ms ();

  gw__lease_time__init (&mesh->time);
  mesh->time.now_ms = now;
  frame->time = &mesh->time;
  if (peer == NULL)
    return;
  mesh_discovery_prepare (mesh, peer, frame);
  mesh->time.late_ms = peer->receive_delay.delay_ms;
  if (peer_clock_known (&peer->clock))
    {
      mesh->time.granted_until_ms
          = peer_clock_least (&peer->clock, now, 0) + mesh->init.lease_ms;
      peer->lease_until = MAX (peer->lease_until, mesh->time.granted_until_ms);
    }
  mesh->ops->prepare (peer, frame, mesh->ctx);
}

static const LinkOps link_ops = { on_up, on_frame, on_down, on_prepare };

Mesh *
mesh_new (const MeshInit *init, const MeshOps *ops, gpointer ctx)
{
  Mesh *mesh = g_new0 (Mesh, 1);

  mesh->init = *init;
  mesh->ops = ops;
  mesh->ctx = ctx;
  mesh->links.base = init->base;
  mesh->links.ops = &link_ops;
  mesh->links.ctx = mesh;
  mesh->links.hello = init->hello;
  mesh->links.heartbeat_ms = init->heartbeat_ms;
  mesh->links.timeout_ms = init->timeout_ms;
  mesh->redial = evtimer_new (init->base, mesh_on_redial, mesh);
  mesh->unidentified = g_ptr_array_new_with_free_func ((GDestroyNotify)link_unref);
  TAILQ_INIT (&mesh->peers);
  TAILQ_INIT (&mesh->addresses);
  mesh->peers_by_incarnation = g_hash_table_new (g_int64_hash, g_int64_equal);
  mesh->addresses_by_text = g_hash_table_new (g_str_hash, g_str_equal);
  mesh->dialed = g_hash_table_new (NULL, NULL);
  mesh_discovery_init (mesh);
  return mesh;
}

static void
peer_free (MeshPeer *peer)
{
  Mesh *mesh = peer->mesh;

  if (peer->link != NULL)
    detach (peer, 0);
  TAILQ_REMOVE (&mesh->peers, peer, link_entry);
  g_hash_table_remove (mesh->peers_by_incarnation, &peer->incarnation);
  mesh->ops->forgotten (peer, mesh->ctx);
  g_free (peer->name);
  g_free (peer->frame_address);
  g_free (peer);
}

void
mesh_free (Mesh *mesh)
{
  MeshPeer *peer;
  Address *address;

  if (mesh == NULL)
    return;
  event_free (mesh->redial);
  for (guint i = 0; i < mesh->unidentified->len; i++)
    link_close (g_ptr_array_index (mesh->unidentified, i));
  g_ptr_array_unref (mesh->unidentified);
  while ((peer = TAILQ_FIRST (&mesh->peers)) != NULL)
    peer_free (peer);
  while ((address = TAILQ_FIRST (&mesh->addresses)) != NULL)
    mesh_address_free (address);
  mesh_discovery_free (mesh);
  g_hash_table_unref (mesh->peers_by_incarnation);
  g_hash_table_unref (mesh->addresses_by_text);
  g_hash_table_unref (mesh->dialed);
  g_free (mesh);
}

void
mesh_accept (Mesh *mesh, evutil_socket_t fd)
{
  g_ptr_array_add (mesh->unidentified, link_accept (&mesh->links, fd));
}

static void
check_isolation (Mesh *mesh, gint64 now_ms)
{
  if (mesh->linked_entries > 0)
    mesh->linked_ms = now_ms;
  if (now_ms - mesh->linked_ms < ISOLATED_MS || now_ms - mesh->isolated_ms < ISOLATED_MS)
    return;
  mesh->isolated_ms = now_ms;
  mesh->ops->isolated (mesh->ctx);
}

static void
release (MeshPeer *peer, gint64 now_ms)
{
  event_note ("peer-released", "-", "peer=%s incarnation=%" G_GINT64_MODIFIER "x",
              peer->name, peer->incarnation);
  detach (peer, now_ms);
  peer->mesh->ops->down (peer, peer->mesh->ctx);
}

static gboolean
may_release (const Mesh *mesh, MeshPeer *peer, gint64 now_ms)
{
  gint64 after_ms = mesh_is_entry (mesh) ? RELEASE_ENTRY_MS : RELEASE_MS;

  if (peer->link == NULL || peer->surplus_ms == 0 || now_ms - peer->surplus_ms < after_ms)
    return FALSE;
  return mesh->ops->may_release == NULL || mesh->ops->may_release (peer, mesh->ctx);
}

static void
release_surplus (Mesh *mesh, gint64 now_ms)
{
  MeshPeer *peer;

  if (mesh->init.max_entries == 0)
    return;
  mesh_note_surplus (mesh, now_ms);
  TAILQ_FOREACH (peer, &mesh->peers, link_entry)
    if (may_release (mesh, peer, now_ms))
      release (peer, now_ms);
}

void
mesh_tick (Mesh *mesh, gint64 now_ms)
{
  MeshPeer *peer;
  MeshPeer *next;

  mesh_dial_all (mesh, now_ms);
  mesh_forget_addresses (mesh);
  for (peer = TAILQ_FIRST (&mesh->peers); peer != NULL; peer = next)
    {
      next = TAILQ_NEXT (peer, link_entry);
      if (peer->link == NULL && now_ms - peer->lost_ms > mesh->init.forget_ms)
        peer_free (peer);
    }
  release_surplus (mesh, now_ms);
  mesh_discovery_tick (mesh, now_ms);
  check_isolation (mesh, now_ms);
}
