#pragma once
/* The links among entries and agents of leased jobs, found without any list: from a few
 * seed addresses, from what linked entries tell, and from a directory when both fail. */
#include "closed_zones.h"
#include "frame_delay.h"
#include "link.h"
#include "peer_clock.h"

#include <sys/queue.h>

typedef struct Mesh Mesh;

/* Another process of ours, one life of it. */
typedef struct MeshPeer
{
  TAILQ_ENTRY (MeshPeer) link_entry;
  Mesh *mesh;
  guint64 incarnation;
  char *name;
  char *frame_address;
  gboolean is_entry;
  Link *link; /* NULL while it is not linked */
  PeerClock clock;
  FrameDelay heard;     /* how late its frames come here */
  guint told_late_ms;   /* how late ours come there, as it says */
  gint64 granted_until; /* its clock: the longest lease it was given */
  gint64 lost_ms;       /* since when it is not linked */
  gint64 dead_ms;       /* own clock when its process was proved gone; 0: it was not */
  gboolean leaving;
  gboolean announced;     /* to the peers, as an entry that is linked here */
  gint64 surplus_ms;      /* since when enough better ones are linked; 0: they are not */
  guint64 config_version; /* it has */
  guint64 config_sent;    /* last sent to it */
  guint64 config_wanted;  /* to be asked for with the next frame; 0: nothing */
  gint64 config_asked_ms; /* when it was last asked for one; 0: never */
  ClosedZonesSent closures; /* what it has been told of closed zones */
  gpointer data;            /* the owner's record */
} MeshPeer;

typedef struct
{
  void (*up) (MeshPeer *peer, gpointer ctx);
  void (*down) (MeshPeer *peer, gpointer ctx);
  void (*frame) (MeshPeer *peer, const Gw__Frame *frame, gpointer ctx);
  /* Fill in what rides on each frame to a peer. */
  void (*prepare) (MeshPeer *peer, Gw__Frame *frame, gpointer ctx);
  /* The peer's record is about to be freed. */
  void (*forgotten) (MeshPeer *peer, gpointer ctx);
  /* No entry is linked: look addresses up elsewhere. */
  void (*isolated) (gpointer ctx);
  /* Whether the link to an entry that is not needed may end now; NULL: all are needed. */
  gboolean (*may_release) (MeshPeer *peer, gpointer ctx);
} MeshOps;

typedef struct
{
  struct event_base *base;
  Gw__Hello *hello;
  guint heartbeat_ms;
  guint timeout_ms;
  guint lease_ms;           /* granted to every peer with each frame */
  guint forget_ms;          /* a peer that is not linked is remembered this long */
  guint most_entries;       /* to be linked to; 0: all that there are */
  guint entry_heartbeat_ms; /* between two entries; 0: as to agents */
  guint entry_timeout_ms;
} MeshInit;

Mesh *mesh_new (const MeshInit *init, const MeshOps *ops, gpointer ctx);
void mesh_free (Mesh *mesh);

/** mesh_seed - replace the seed addresses. */
void mesh_seed (Mesh *mesh, char *const *addresses);

/** mesh_learn - an entry may be found there. */
void mesh_learn (Mesh *mesh, const char *address);
void mesh_accept (Mesh *mesh, evutil_socket_t fd);

/** mesh_tick - dial what is not linked, forget what is long gone. */
void mesh_tick (Mesh *mesh, gint64 now_ms);
#define MESH_TICK_MS 100

/** mesh_tell_all - send every linked peer a frame in this turn of the loop. */
void mesh_tell_all (Mesh *mesh);

MeshPeer *mesh_find (Mesh *mesh, guint64 incarnation);
MeshPeer *mesh_first (Mesh *mesh);
MeshPeer *mesh_next (MeshPeer *peer);
