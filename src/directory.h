#pragma once
/* The entries that a process knows: addresses with a version and whether they are gone.
 *
 * Load pattern: hundreds of entries start together, or return after a power loss, and
 * each must know all others within a second. Whole lists from every entry to every other,
 * at each change and again every few seconds, grow with the cube of their number and
 * delay the lease renewals on narrow links. So every change has a number, a peer is sent
 * only what has changed since the number it has, in parts, and peers whose digests agree
 * are sent nothing. */
#include <glib.h>
#include <sys/queue.h>

typedef struct Directory Directory;

typedef struct DirectoryEntry
{
  TAILQ_ENTRY (DirectoryEntry) link; /* by change, the latest last */
  char *address;
  guint64 hash;
  guint64 version;
  guint64 change; /* number of its last change in this process */
  gint64 changed_ms;
  gboolean gone;
} DirectoryEntry;

/* What of the directory one peer has been sent. */
typedef struct
{
  guint64 change;     /* number of the last change */
  guint64 own_digest; /* when the digests were last compared */
  guint64 peer_digest;
  gint64 differs_ms; /* since when both have been as they are, and differ; 0: equal */
} DirectorySent;

/* An entry was added, is gone, or is back. */
typedef void (*DirectoryChanged) (const DirectoryEntry *entry, gpointer ctx);

Directory *directory_new (DirectoryChanged changed, gpointer ctx);
void directory_free (Directory *directory);

/** directory_set_own - the address of this process; what others say of it is corrected.
 */
void directory_set_own (Directory *directory, const char *address, gint64 now_ms);

/** directory_confirm - the entry at @address has answered: add it, or correct a record
 * that says it is gone. */
void directory_confirm (Directory *directory, const char *address, gint64 now_ms);

/** directory_mark_gone - the entry has not answered for long. */
void directory_mark_gone (Directory *directory, const char *address, gint64 now_ms);

/** directory_apply - take a record of a peer if it is newer. */
void directory_apply (Directory *directory,
                      const char *address,
                      guint64 version,
                      gboolean gone,
                      gint64 now_ms);

/** directory_expire - drop entries that have been gone for DIRECTORY_GONE_MS. */
void directory_expire (Directory *directory, gint64 now_ms);
#define DIRECTORY_GONE_MS 600000

/** directory_find - Return: NULL if it is not known. */
const DirectoryEntry *directory_find (const Directory *directory, const char *address);

/** directory_changes - number of the latest change; 0: none yet. */
guint64 directory_changes (const Directory *directory);

/** directory_next - the first entry whose last change is after number @change, or NULL.
 * Costs a step for each entry that changed since. */
const DirectoryEntry *directory_next (const Directory *directory, guint64 change);

/** directory_after - the one that changed next after @entry, or NULL. */
const DirectoryEntry *directory_after (const DirectoryEntry *entry);

/** directory_next_gone - one of the entries that are gone, another at each call; NULL if
 * there is none. */
const DirectoryEntry *directory_next_gone (Directory *directory);

/** directory_size - number of entries that are not gone. */
guint directory_size (const Directory *directory);

/** directory_own_rank - number of entries that precede the own one in an order that all
 * processes agree on. */
guint directory_own_rank (const Directory *directory);

/** directory_digest - equal for processes that know the same entries; 0: none. */
guint64 directory_digest (const Directory *directory);

/**
 * directory_sent_begin - a link is up to a peer that knows @peer_known entries. One that
 * knows far fewer is sent all; others what has changed lately, which they may lack.
 */
void directory_sent_begin (const Directory *directory,
                           DirectorySent *sent,
                           guint peer_known,
                           guint64 peer_digest,
                           gint64 now_ms);

/** directory_sent_compare - the peer's digest is @peer_digest: if both stay different,
 * the peer is sent all. */
void directory_sent_compare (const Directory *directory,
                             DirectorySent *sent,
                             guint64 peer_digest,
                             gint64 now_ms);

/**
 * directory_best - the entries that rank highest for the agent @name.
 * @best: filled with up to @max entries, highest rank first.
 * Return: their number.
 */
guint directory_best (const Directory *directory,
                      const char *name,
                      const DirectoryEntry **best,
                      guint max);

/** directory_address_digest - what an address adds to the digest of an agent's list. */
guint64 directory_address_digest (const char *address);
