#include "directory.h"
#include "rendezvous.h"

#include <string.h>

/* A peer that lacks more than so many is sent all when its link is up. */
#define FEW_ENTRIES 8
/* Changes of the last RECENT_MS may not have reached a peer over its other links. */
#define RECENT_MS 3000
/* Longer than a change takes to reach all and a heartbeat to report it. */
#define SETTLE_MS 1500

struct Directory
{
  DirectoryChanged changed;
  gpointer ctx;
  GHashTable *by_address; /* address -> DirectoryEntry */
  TAILQ_HEAD (Entries, DirectoryEntry) entries;
  DirectoryEntry *own;
  guint64 changes;
  guint64 digest;
  guint size;
  guint64 probed; /* change number of the last entry from directory_next_gone () */
};

Directory *
directory_new (DirectoryChanged changed, gpointer ctx)
{
  Directory *directory = g_new0 (Directory, 1);

  directory->changed = changed;
  directory->ctx = ctx;
  directory->by_address = g_hash_table_new (g_str_hash, g_str_equal);
  TAILQ_INIT (&directory->entries);
  return directory;
}

static void
entry_free (Directory *directory, DirectoryEntry *entry)
{
  g_hash_table_remove (directory->by_address, entry->address);
  TAILQ_REMOVE (&directory->entries, entry, link);
  g_free (entry->address);
  g_free (entry);
}

void
directory_free (Directory *directory)
{
  DirectoryEntry *entry;

  if (directory == NULL)
    return;
  while ((entry = TAILQ_FIRST (&directory->entries)) != NULL)
    entry_free (directory, entry);
  g_hash_table_unref (directory->by_address);
  g_free (directory);
}

guint64
directory_address_digest (const char *address)
{
  return rendezvous_score ("", address);
}

/* An odd factor, so that each version of an address adds another value. */
static guint64
entry_digest (const DirectoryEntry *entry)
{
  return entry->gone ? 0 : entry->hash * (2 * entry->version + 1);
}

static DirectoryEntry *
find (const Directory *directory, const char *address)
{
  return g_hash_table_lookup (directory->by_address, address);
}

static void
set_state (Directory *directory,
           DirectoryEntry *entry,
           guint64 version,
           gboolean gone,
           gint64 now_ms)
{
  directory->digest ^= entry_digest (entry);
  directory->size -= !entry->gone;
  entry->version = version;
  entry->gone = gone;
  entry->change = ++directory->changes;
  entry->changed_ms = now_ms;
  directory->digest ^= entry_digest (entry);
  directory->size += !entry->gone;
  TAILQ_REMOVE (&directory->entries, entry, link);
  TAILQ_INSERT_TAIL (&directory->entries, entry, link);
  directory->changed (entry, directory->ctx);
}

static DirectoryEntry *
add (Directory *directory, const char *address, guint64 version, gint64 now_ms)
{
  DirectoryEntry *entry = g_new0 (DirectoryEntry, 1);

  entry->address = g_strdup (address);
  entry->hash = directory_address_digest (address);
  entry->gone = TRUE;
  g_hash_table_insert (directory->by_address, entry->address, entry);
  TAILQ_INSERT_TAIL (&directory->entries, entry, link);
  set_state (directory, entry, version, FALSE, now_ms);
  return entry;
}

void
directory_confirm (Directory *directory, const char *address, gint64 now_ms)
{
  DirectoryEntry *entry = find (directory, address);

  if (entry == NULL)
    add (directory, address, 0, now_ms);
  else if (entry->gone)
    set_state (directory, entry, entry->version + 1, FALSE, now_ms);
}

void
directory_set_own (Directory *directory, const char *address, gint64 now_ms)
{
  directory_confirm (directory, address, now_ms);
  directory->own = find (directory, address);
}

void
directory_mark_gone (Directory *directory, const char *address, gint64 now_ms)
{
  DirectoryEntry *entry = find (directory, address);

  if (entry != NULL && !entry->gone && entry != directory->own)
    set_state (directory, entry, entry->version, TRUE, now_ms);
}

static gboolean
is_newer (const DirectoryEntry *entry, guint64 version, gboolean gone)
{
  if (version != entry->version)
    return version > entry->version;
  return gone && !entry->gone;
}

void
directory_apply (Directory *directory,
                 const char *address,
                 guint64 version,
                 gboolean gone,
                 gint64 now_ms)
{
  DirectoryEntry *entry = find (directory, address);

  if (entry == NULL && !gone)
    add (directory, address, version, now_ms);
  else if (entry == NULL || !is_newer (entry, version, gone))
    return;
  else if (entry == directory->own && gone)
    set_state (directory, entry, version + 1, FALSE, now_ms);
  else
    set_state (directory, entry, version, gone, now_ms);
}

void
directory_expire (Directory *directory, gint64 now_ms)
{
  DirectoryEntry *entry = TAILQ_FIRST (&directory->entries);

  while (entry != NULL && now_ms - entry->changed_ms > DIRECTORY_GONE_MS)
    {
      DirectoryEntry *next = TAILQ_NEXT (entry, link);

      if (entry->gone)
        entry_free (directory, entry);
      entry = next;
    }
}

const DirectoryEntry *
directory_find (const Directory *directory, const char *address)
{
  return find (directory, address);
}

guint64
directory_changes (const Directory *directory)
{
  return directory->changes;
}

const DirectoryEntry *
directory_next (const Directory *directory, guint64 change)
{
  const DirectoryEntry *entry = TAILQ_LAST (&directory->entries, Entries);
  const DirectoryEntry *next = NULL;

  while (entry != NULL && entry->change > change)
    {
      next = entry;
      entry = TAILQ_PREV (entry, Entries, link);
    }
  return next;
}

const DirectoryEntry *
directory_after (const DirectoryEntry *entry)
{
  return TAILQ_NEXT (entry, link);
}

static const DirectoryEntry *
first_gone (const Directory *directory, guint64 after_change)
{
  const DirectoryEntry *entry;

  if (directory->size == g_hash_table_size (directory->by_address))
    return NULL;
  TAILQ_FOREACH (entry, &directory->entries, link)
    if (entry->gone && entry->change > after_change)
      return entry;
  return NULL;
}

const DirectoryEntry *
directory_next_gone (Directory *directory)
{
  const DirectoryEntry *entry = first_gone (directory, directory->probed);

  if (entry == NULL)
    entry = first_gone (directory, 0);
  if (entry != NULL)
    directory->probed = entry->change;
  return entry;
}

guint
directory_size (const Directory *directory)
{
  return directory->size;
}

guint
directory_own_rank (const Directory *directory)
{
  const DirectoryEntry *entry;
  guint rank = 0;

  if (directory->own == NULL)
    return 0;
  TAILQ_FOREACH (entry, &directory->entries, link)
    rank += !entry->gone && entry->hash > directory->own->hash;
  return rank;
}

guint64
directory_digest (const Directory *directory)
{
  return directory->digest;
}

static guint64
last_change_before (const Directory *directory, gint64 when_ms)
{
  const DirectoryEntry *entry = TAILQ_LAST (&directory->entries, Entries);

  while (entry != NULL && entry->changed_ms >= when_ms)
    entry = TAILQ_PREV (entry, Entries, link);
  return entry != NULL ? entry->change : 0;
}

void
directory_sent_begin (const Directory *directory,
                      DirectorySent *sent,
                      guint peer_known,
                      guint64 peer_digest,
                      gint64 now_ms)
{
  *sent = (DirectorySent){ 0 };
  if (peer_digest == directory->digest)
    sent->change = directory->changes;
  else if (peer_known + FEW_ENTRIES >= directory->size)
    sent->change = last_change_before (directory, now_ms - RECENT_MS);
}

void
directory_sent_compare (const Directory *directory,
                        DirectorySent *sent,
                        guint64 peer_digest,
                        gint64 now_ms)
{
  if (peer_digest == directory->digest)
    {
      sent->differs_ms = 0;
      return;
    }
  if (sent->differs_ms == 0 || sent->own_digest != directory->digest
      || sent->peer_digest != peer_digest)
    {
      sent->own_digest = directory->digest;
      sent->peer_digest = peer_digest;
      sent->differs_ms = now_ms;
      return;
    }
  if (now_ms - sent->differs_ms < SETTLE_MS)
    return;
  sent->differs_ms = now_ms;
  sent->change = 0;
}

static void
insert_best (const DirectoryEntry **best,
             guint64 *scores,
             guint n,
             guint max,
             const DirectoryEntry *entry,
             guint64 score)
{
  guint i = MIN (n, max - 1);

  while (i > 0 && scores[i - 1] < score)
    {
      best[i] = best[i - 1];
      scores[i] = scores[i - 1];
      i--;
    }
  best[i] = entry;
  scores[i] = score;
}

guint
directory_best (const Directory *directory,
                const char *name,
                const DirectoryEntry **best,
                guint max)
{
  guint64 *scores = g_new (guint64, max);
  const DirectoryEntry *entry;
  guint n = 0;

  TAILQ_FOREACH (entry, &directory->entries, link)
    {
      guint64 score = rendezvous_score (name, entry->address);

      if (entry->gone || (n == max && score <= scores[n - 1]))
        continue;
      insert_best (best, scores, n, max, entry, score);
      n = MIN (n + 1, max);
    }
  g_free (scores);
  return n;
}
