#pragma once
/* Decides when an entry pulls a newer configuration from another one, and from which.
 *
 * Example: an operator adds thousands of routes (4,200 are 0.8 MB). A dozen entries have
 * the new version within 0.1 s; one has a link of 25 Mbit/s. A copy from each of them
 * would occupy that link for 3 s, one with each heartbeat for good, and the unsent bytes
 * would fill the senders' memory. So a configuration is sent only on request, one entry
 * is asked at a time, and none while the store's own response is arriving. An entry whose
 * link is congested still sends heartbeats; a frozen one sends nothing.
 *
 * An entry that does not ask the store itself (table_follow.h) asks a neighbour at once,
 * and the store if no copy has come soon. */
#include <glib.h>

typedef struct
{
  gint64 behind_ms; /* since when a linked entry has a newer version; 0: none has */
  gboolean quick;   /* a neighbour was asked before the store, for a short text only */
  gint64 asked_ms;  /* when an entry was last asked for it; 0: no request is open */
  guint timeout_ms;
} ConfigPull;

/* A linked entry. */
typedef struct
{
  const char *name;
  guint64 version;
  gint64 asked_ms; /* 0: never */
} ConfigPullPeer;

typedef struct
{
  guint64 own_version;      /* 0: none */
  guint64 newest_version;   /* newest version that a linked entry has */
  gboolean arriving;        /* the store's response is being received */
  gint64 asked_received_ms; /* last frame from the entry that was asked; 0: never */
  gboolean idle;            /* the store is not being asked */
} ConfigPullView;

/* Longest text that an entry which does not ask the store wants from a neighbour. A dozen
 * copies from one entry take 0.25 s of a 25 Mbit/s link; longer ones are read from the
 * store. */
#define CONFIG_PULL_QUICK_BYTES 65536

/** config_pull_due - whether to ask an entry now. Call it on each tick: it records since
 * when the entry is behind. */
gboolean config_pull_due (ConfigPull *pull, const ConfigPullView *view, gint64 now_ms);

/**
 * config_pull_choose - the entry to ask: newest version first, then the least recently
 * asked, then by rendezvous hashing, so that entries that are behind ask different ones.
 * Return: index into @peers, or -1 if none has a newer version than @own_version.
 */
int config_pull_choose (const ConfigPullPeer *peers,
                        guint n_peers,
                        const char *own_name,
                        guint64 own_version);

/** config_pull_is_stuck - whether an entry that does not ask the store has waited long
 * enough for its neighbours, and has to ask the store. */
gboolean config_pull_is_stuck (const ConfigPull *pull, gint64 now_ms);

/** config_pull_asked - record that an entry has been asked. */
void config_pull_asked (ConfigPull *pull, gint64 now_ms);

/** config_pull_lost - the entry that was asked is lost or unresponsive. */
void config_pull_lost (ConfigPull *pull);
