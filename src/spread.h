#pragma once
/* When an entry asks another one for a newer configuration, and which.
 *
 * Load pattern: an operator adds thousands of routes (4,200 are 0.8 MB); a dozen entries
 * have the new version within 0.1 s, one has a link of 25 Mbit/s. A copy from each of
 * them takes that link for 3 s, one with each heartbeat for good, and what it does not
 * carry fills the senders' memory. So a configuration is sent only to who asks for it,
 * one entry is asked at a time, and none while the store's own answer arrives. An entry
 * that froze is not one with a full link: nothing at all is heard of it. */
#include <glib.h>

typedef struct
{
  gint64 behind_ms; /* since when a newer version is heard of; 0: none is */
  gint64 asked_ms;  /* when an entry was last asked for it; 0: none is asked */
  guint patience_ms;
} Spread;

/* What is known of a linked entry. */
typedef struct
{
  const char *name;
  guint64 version;
  gint64 asked_ms; /* 0: never */
} SpreadPeer;

typedef struct
{
  guint64 own_version;   /* 0: none is known */
  guint64 heard_version; /* the newest that a linked entry has */
  gboolean arriving;     /* the store's answer is coming in */
  gint64 asked_heard_ms; /* when the entry that was asked was last heard; 0: never */
} SpreadView;

/** spread_due - whether to ask an entry now. Call it often: it notes what it sees. */
gboolean spread_due (Spread *spread, const SpreadView *view, gint64 now_ms);

/**
 * spread_choose - whom to ask: who has the newest version, of these who was asked least
 * lately, of these by rendezvous hashing, so that entries that are behind ask different
 * ones. Return: index into @peers, or -1 if none has a newer version than @own_version.
 */
int spread_choose (const SpreadPeer *peers,
                   guint n_peers,
                   const char *own_name,
                   guint64 own_version);

/** spread_asked - an entry has been asked. */
void spread_asked (Spread *spread, gint64 now_ms);

/** spread_lost - the entry that was asked cannot answer any more. */
void spread_lost (Spread *spread);
