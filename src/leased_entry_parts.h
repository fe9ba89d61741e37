#pragma once
/* Shared by the entry's source files: leased_entry.c has its lifecycle and the frames to
 * and from agents, leased_entry_config.c the exchange of the configuration among entries,
 * leased_entry_load.c that of their load, leased_entry_speeds.c the speeds of backend
 * servers that restarted agents get back, leased_entry_zones.c the closed availability
 * zones. */
#include "closed_zones.h"
#include "config_pull.h"
#include "leased_entry.h"
#include "listen.h"
#include "mesh.h"
#include "process_stats.h"
#include "speeds_seen.h"

struct LeasedEntry
{
  struct event_base *base;
  const LeasedEntryOps *ops;
  gpointer ctx;
  guint64 incarnation;
  Gw__Hello hello;
  char *listen_frames;
  char *advertised; /* address for others; empty: the listening address */
  gint64 drain_grace_ms;
  gint64 drain_limit_ms;
  Listener *frames;
  Mesh *mesh;
  Dispatcher *dispatcher;
  Catalog *catalog;
  ConfigPull config_pull;
  ClosedZones *closed_zones;
  LoadView *load_view;          /* NULL: load is not exchanged */
  guint load_shared_ms;         /* between two summaries to one peer */
  LoadSummary load_summary;     /* the last one sent */
  Gw__LoadSummary load_message; /* borrows from load_summary */
  struct event *tick;
  struct event *pump;
  ProcessStats *stats;
  SpeedsSeen *speeds;       /* NULL: the servers' own speeds do not count */
  Gw__SpeedSeen speed_seen; /* part of the frame that is being prepared */
  gint64 mesh_ticked_ms;
  gint64 ticked_ms;
  gint64 draining_ms; /* start of draining; 0: not draining */
  gboolean closed;    /* accepts no more connections */
  gboolean ended;     /* the loop exits once the final frames are out */
};

/** leased_entry_send_all - send a frame to every linked entry in this loop iteration. */
void leased_entry_send_all (LeasedEntry *entry);

/* leased_entry_zones.c */

/** leased_entry_zones_frame - apply the closed zones in a peer's frame, if any. */
void leased_entry_zones_frame (LeasedEntry *entry, const Gw__Frame *frame);

/** leased_entry_zones_prepare - add closed zones to a frame if @peer needs an update. */
void leased_entry_zones_prepare (LeasedEntry *entry, MeshPeer *peer, Gw__Frame *frame);

/* leased_entry_speeds.c */

/** leased_entry_speeds_prepare - send an agent the speed of its server, once for each
 * link, if the entry knows it from more runs than the agent. */
void leased_entry_speeds_prepare (LeasedEntry *entry, MeshPeer *peer, Gw__Frame *frame);

/** leased_entry_speeds_state - keep the speed in a state that an agent sent. */
void leased_entry_speeds_state (LeasedEntry *entry, const Gw__ServerState *state);

/* leased_entry_load.c */

/** leased_entry_load_init - @shared_ms: between two summaries; 0: exchange none. */
void leased_entry_load_init (LeasedEntry *entry, guint shared_ms);

/** leased_entry_load_frame - take the summary in another entry's frame, if any. */
void leased_entry_load_frame (LeasedEntry *entry,
                              const MeshPeer *peer,
                              const Gw__Frame *frame);

/** leased_entry_load_prepare - add a summary to a frame if one is due to @peer. */
void leased_entry_load_prepare (LeasedEntry *entry, MeshPeer *peer, Gw__Frame *frame);
void leased_entry_load_up (LeasedEntry *entry, MeshPeer *peer);
void leased_entry_load_down (LeasedEntry *entry, const MeshPeer *peer);
void leased_entry_load_tick (LeasedEntry *entry, gint64 now_ms);

/** load_summary_from_wire - Return: FALSE if the number of values is another one. */
gboolean load_summary_from_wire (const Gw__LoadSummary *message, LoadSummary *summary);

/* leased_entry_config.c */
void
leased_entry_config_frame (LeasedEntry *entry, MeshPeer *peer, const Gw__Frame *frame);
void leased_entry_config_prepare (LeasedEntry *entry, MeshPeer *peer, Gw__Frame *frame);
void leased_entry_config_tick (LeasedEntry *entry, gint64 now_ms);
void leased_entry_config_down (LeasedEntry *entry, const MeshPeer *peer);
