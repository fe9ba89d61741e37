#define LOG_MODULE "entry"
/* Exchange of the configuration among entries: each frame carries the version that its
 * sender has; an entry that is behind pulls the text from one other (config_pull.h). */
#include "clock.h"
#include "counters.h"
#include "events.h"
#include "leased_entry_parts.h"
#include "table_follow.h"

#include <string.h>

/* Longer than an entry takes to read the table itself where no other passes on its age.
 */
#define CONFIRMED_MS 2500

static guint64
own_version (const LeasedEntry *entry)
{
  return entry->catalog != NULL ? entry->catalog->version : 0;
}

static void
take_catalog (LeasedEntry *entry, const Gw__Config *config)
{
  GError *error = NULL;
  Catalog *catalog;

  if (config->version <= own_version (entry))
    {
      counter_add (COUNTER_CONFIG_STALE, 1);
      return;
    }
  catalog = entry->ops->read_catalog (config->body, &error);
  if (catalog == NULL)
    {
      event_note ("config-rejected", "-", "from=peer error=\"%s\"", error->message);
      g_clear_error (&error);
      return;
    }
  leased_entry_set_catalog (entry, catalog);
  catalog_unref (catalog);
}

/* A repeated request is answered by the copy that is still queued on the link, if any. */
static void
send_config (LeasedEntry *entry, MeshPeer *peer, guint most_bytes)
{
  const Catalog *catalog = entry->catalog;
  gsize unsent = link_unsent (peer->link);
  gboolean is_queued = peer->config_sent == catalog->version && unsent > 0;
  gboolean is_too_long = most_bytes > 0 && strlen (catalog->source) > most_bytes;

  event_note ("config-asked", "-",
              "peer=%s version=%" G_GUINT64_FORMAT " bytes=%zu unsent_bytes=%zu sent=%d",
              peer->name, catalog->version, strlen (catalog->source), unsent,
              !is_queued && !is_too_long);
  if (is_queued || is_too_long)
    return;
  peer->config_sent = catalog->version;
  link_send_config (peer->link, catalog->version, "", catalog->source);
}

void
leased_entry_config_prepare (LeasedEntry *entry, MeshPeer *peer, Gw__Frame *frame)
{
  frame->config_version = own_version (entry);
  frame->config_wanted = peer->config_wanted;
  frame->config_wanted_bytes = peer->config_wanted_bytes;
  peer->config_wanted = 0;
}

void
leased_entry_config_down (LeasedEntry *entry, const MeshPeer *peer)
{
  if (peer->config_asked_ms > 0 && peer->config_asked_ms == entry->config_pull.asked_ms)
    config_pull_lost (&entry->config_pull);
}

static gboolean
is_linked_entry (const MeshPeer *peer)
{
  return peer->is_entry && peer->link != NULL;
}

static void
pull_from (LeasedEntry *entry, MeshPeer *peer, gint64 now_ms)
{
  event_note ("config-wanted", "-",
              "peer=%s version=%" G_GUINT64_FORMAT " own=%" G_GUINT64_FORMAT
              " behind_ms=%" G_GINT64_FORMAT,
              peer->name, peer->config_version, own_version (entry),
              now_ms - entry->config_pull.behind_ms);
  peer->config_asked_ms = now_ms;
  peer->config_wanted = peer->config_version;
  peer->config_wanted_bytes = entry->config_pull.quick ? CONFIG_PULL_QUICK_BYTES : 0;
  config_pull_asked (&entry->config_pull, now_ms);
  link_touch (peer->link);
}

static void
pull_from_best (LeasedEntry *entry, gint64 now_ms)
{
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (ConfigPullPeer));
  GPtrArray *peers = g_ptr_array_new ();
  int best;

  for (MeshPeer *peer = mesh_first (entry->mesh); peer != NULL; peer = mesh_next (peer))
    if (is_linked_entry (peer))
      {
        ConfigPullPeer candidate
            = { peer->name, peer->config_version, peer->config_asked_ms };

        g_array_append_val (candidates, candidate);
        g_ptr_array_add (peers, peer);
      }
  best = config_pull_choose ((const ConfigPullPeer *)candidates->data, candidates->len,
                             entry->hello.name, own_version (entry));
  if (best >= 0)
    pull_from (entry, g_ptr_array_index (peers, best), now_ms);
  g_ptr_array_unref (peers);
  g_array_unref (candidates);
}

gboolean
leased_entry_follows_table (const LeasedEntry *entry)
{
  gint64 now = clock_now_ms ();
  TableFollowView view
      = { .rank = mesh_own_rank (entry->mesh),
          .has_config = entry->catalog != NULL,
          .confirmed_ms = closed_zones_age_ms (entry->closed_zones, now),
          .config_stuck = config_pull_is_stuck (&entry->config_pull, now) };

  return table_follow_due (&view);
}

gboolean
leased_entry_config_confirmed (const LeasedEntry *entry)
{
  /* The zones are read with the configuration. */
  return entry->config_pull.behind_ms == 0
         && closed_zones_age_ms (entry->closed_zones, clock_now_ms ()) <= CONFIRMED_MS;
}

static void
pull_if_due (LeasedEntry *entry, gint64 now_ms)
{
  ConfigPullView view = { .own_version = own_version (entry) };

  for (MeshPeer *peer = mesh_first (entry->mesh); peer != NULL; peer = mesh_next (peer))
    if (is_linked_entry (peer))
      {
        view.newest_version = MAX (view.newest_version, peer->config_version);
        if (peer->config_asked_ms == entry->config_pull.asked_ms)
          view.asked_received_ms = link_received_ms (peer->link);
      }
  view.idle
      = view.newest_version > view.own_version && !leased_entry_follows_table (entry);
  view.arriving = view.newest_version > view.own_version
                  && entry->ops->config_arriving (entry->ctx);
  if (config_pull_due (&entry->config_pull, &view, now_ms))
    pull_from_best (entry, now_ms);
}

void
leased_entry_config_tick (LeasedEntry *entry, gint64 now_ms)
{
  if (leased_entry_follows_table (entry))
    entry->ops->follow_table (entry->ctx);
  pull_if_due (entry, now_ms);
}

void
leased_entry_config_frame (LeasedEntry *entry, MeshPeer *peer, const Gw__Frame *frame)
{
  if (frame->config != NULL)
    take_catalog (entry, frame->config);
  if (frame->config_wanted > 0 && frame->config_wanted <= own_version (entry))
    send_config (entry, peer, frame->config_wanted_bytes);
  pull_if_due (entry, clock_now_ms ());
}

void
leased_entry_send_all (LeasedEntry *entry)
{
  for (MeshPeer *peer = mesh_first (entry->mesh); peer != NULL; peer = mesh_next (peer))
    if (is_linked_entry (peer))
      link_touch (peer->link);
}

static gboolean
is_in_set (const char *name, gpointer ctx)
{
  return g_hash_table_contains (ctx, name);
}

/* A set of names: a search of the catalog for each queue is quadratic in their number. */
static void
drop_left_queues (LeasedEntry *entry)
{
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < entry->catalog->queues->len; i++)
    {
      const JobQueue *queue = g_ptr_array_index (entry->catalog->queues, i);

      g_hash_table_add (names, queue->name);
    }
  dispatcher_keep_queues (entry->dispatcher, is_in_set, names);
  g_hash_table_unref (names);
}

void
leased_entry_set_catalog (LeasedEntry *entry, Catalog *catalog)
{
  if (catalog->version <= own_version (entry))
    return;
  counter_add (COUNTER_CONFIG_ADOPTED, 1);
  event_note ("config-adopted", "-",
              "version=%" G_GUINT64_FORMAT " before=%" G_GUINT64_FORMAT
              " queues=%u bytes=%zu behind_ms=%" G_GINT64_FORMAT,
              catalog->version, own_version (entry), catalog->queues->len,
              strlen (catalog->source),
              entry->config_pull.behind_ms > 0
                  ? clock_now_ms () - entry->config_pull.behind_ms
                  : 0);
  catalog_ref (catalog);
  catalog_unref (entry->catalog);
  entry->catalog = catalog;
  drop_left_queues (entry);
  entry->ops->config_adopted (catalog, entry->ctx);
  leased_entry_send_all (entry);
}

gboolean
leased_entry_has_config (const LeasedEntry *entry, const char *source)
{
  return entry->catalog != NULL && strcmp (entry->catalog->source, source) == 0;
}

gboolean
leased_entry_config_pending (const LeasedEntry *entry)
{
  return entry->config_pull.asked_ms > 0 || entry->ops->config_arriving (entry->ctx);
}

Catalog *
leased_entry_catalog (const LeasedEntry *entry)
{
  return entry->catalog;
}
