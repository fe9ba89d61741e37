#pragma once
/* What the parts of an entry of leased jobs share: leased_entry.c is its life and its
 * talk with agents, leased_entry_config.c what entries tell each other about the
 * configuration, leased_entry_zones.c the closed availability zones. */
#include "closed_zones.h"
#include "figures.h"
#include "leased_entry.h"
#include "listen.h"
#include "mesh.h"
#include "spread.h"

struct LeasedEntry
{
  struct event_base *base;
  const LeasedEntryOps *ops;
  gpointer ctx;
  guint64 incarnation;
  Gw__Hello hello;
  char *listen_frames;
  char *advertised; /* where others reach it; empty: as listened */
  guint drain_grace_ms;
  guint drain_limit_ms;
  Listener *frames;
  Mesh *mesh;
  Dispatcher *dispatcher;
  Catalog *catalog;
  Spread spread;
  ClosedZones *closures;
  struct event *tick;
  struct event *pump;
  Figures *figures;
  gint64 mesh_ticked_ms;
  gint64 ticked_ms;
  gint64 draining_ms; /* since when; 0: not */
  gboolean closed;    /* takes no new requests */
  gboolean ended;     /* only the farewell is left */
};

/** leased_entry_tell_all - send every linked entry a frame in this turn of the loop. */
void leased_entry_tell_all (LeasedEntry *entry);

/* leased_entry_zones.c */

/** leased_entry_zones_frame - take what a peer says of closed zones. */
void leased_entry_zones_frame (LeasedEntry *entry, const Gw__Frame *frame);

/** leased_entry_zones_prepare - put closed zones into a frame if they are news there. */
void leased_entry_zones_prepare (LeasedEntry *entry, MeshPeer *peer, Gw__Frame *frame);

/* leased_entry_config.c */
void
leased_entry_config_frame (LeasedEntry *entry, MeshPeer *peer, const Gw__Frame *frame);
void leased_entry_config_prepare (LeasedEntry *entry, MeshPeer *peer, Gw__Frame *frame);
void leased_entry_config_tick (LeasedEntry *entry, gint64 now_ms);
void leased_entry_config_down (LeasedEntry *entry, const MeshPeer *peer);
