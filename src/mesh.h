#pragma once
/* The links between entries and agents of leased jobs. Peers are discovered from seed
 * addresses, from linked entries and, when both fail, from the platform's table.
 *
 * Each process links to the max_entries entries that rank highest for it. Agents rank by
 * their own name, so that they spread evenly; two entries rank each other alike, so that
 * most links are wanted by both ends. A link is kept while either end wants it. */
#include "closed_zones.h"
#include "directory.h"
#include "frame_delay.h"
#include "link.h"
#include "peer_clock.h"

#include <sys/queue.h>

/* The first protocol version whose processes exchange versioned entries. */
#define MESH_PROTOCOL 2

typedef struct Mesh Mesh;
struct Address;

/* One incarnation of an entry or agent process. */
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
  FrameDelay receive_delay; /* delay of its frames */
  guint send_delay_ms;      /* delay of our frames, as it reports */
  gint64 lease_until;       /* peer's clock: end of the longest lease sent to it */
  gint64 lost_ms;           /* since when it is not linked */
  gint64 dead_ms;           /* own clock, when its process was found dead; 0: not */
  gboolean leaving;
  struct Address *address; /* of a linked entry, or NULL */
  DirectorySent sent;      /* what of the directory it was sent */
  guint64 entries_digest;  /* of the entries that it knows, as it last said */
  guint64 sent_digest;     /* of the addresses that an agent was sent */
  gint64 sent_all_ms;      /* when its list began anew; for peers of protocol 1 */
  gboolean is_legacy;      /* protocol 1: knows no versions, drops what is not repeated */
  gboolean wants_link;     /* the peer wants this link */
  gboolean wanted;         /* this process wants it */
  gint64 surplus_ms;       /* since when neither end wants it; 0: one does */
  guint64 config_version;  /* the peer's current version */
  guint64 config_sent;     /* last sent to it */
  guint64 config_wanted;   /* to be requested with the next frame; 0: none */
  guint config_wanted_bytes; /* a longer one is not wanted; 0: any */
  gint64 config_asked_ms;    /* when it was last asked for a configuration; 0: never */
  ClosedZonesSent closed_zones_sent;
  gboolean speed_sent; /* its agent was sent a speed over this link */
  gint64 load_sent_ms; /* when it was last sent a summary of the load; 0: never */
  gpointer data;       /* the user's record of this peer */
} MeshPeer;

typedef struct
{
  void (*up) (MeshPeer *peer, gpointer ctx);
  void (*down) (MeshPeer *peer, gpointer ctx);
  void (*frame) (MeshPeer *peer, const Gw__Frame *frame, gpointer ctx);
  /* Adds what is piggybacked on each frame to a peer. */
  void (*prepare) (MeshPeer *peer, Gw__Frame *frame, gpointer ctx);
  /* The peer is about to be freed. */
  void (*forgotten) (MeshPeer *peer, gpointer ctx);
  /* No entry is linked: look addresses up in the platform's table. */
  void (*isolated) (gpointer ctx);
  /* Whether a surplus link to an entry may be closed now; NULL: always. */
  gboolean (*may_release) (MeshPeer *peer, gpointer ctx);
} MeshOps;

typedef struct
{
  struct event_base *base;
  Gw__Hello *hello;
  guint heartbeat_ms;
  guint timeout_ms;
  guint lease_ms;           /* lease sent to every peer with each frame */
  guint forget_ms;          /* a peer that is not linked is remembered this long */
  guint max_entries;        /* to be linked to; 0: no limit */
  guint entry_heartbeat_ms; /* between two entries; 0: as to agents */
  guint entry_timeout_ms;
} MeshInit;

Mesh *mesh_new (const MeshInit *init, const MeshOps *ops, gpointer ctx);
void mesh_free (Mesh *mesh);

/** mesh_advertise - the own frame address in the hello is final. */
void mesh_advertise (Mesh *mesh);

/** mesh_seed - replace the seed addresses. */
void mesh_seed (Mesh *mesh, char *const *addresses);

/** mesh_learn - add the address of an entry. */
void mesh_learn (Mesh *mesh, const char *address);
void mesh_accept (Mesh *mesh, evutil_socket_t fd);

/** mesh_tick - call it every MESH_TICK_MS: dials, sends what has changed of the entries,
 * closes surplus links and forgets old peers and addresses. */
void mesh_tick (Mesh *mesh, gint64 now_ms);
#define MESH_TICK_MS 100

/** mesh_send_all - send every linked peer a frame in this event-loop iteration. */
void mesh_send_all (Mesh *mesh);

/** mesh_entries - number of entries that are known and not gone, the own one included. */
guint mesh_entries (const Mesh *mesh);

/** mesh_own_rank - rank of this entry among those it knows; 0: the first. */
guint mesh_own_rank (const Mesh *mesh);

MeshPeer *mesh_find (Mesh *mesh, guint64 incarnation);
MeshPeer *mesh_first (Mesh *mesh);
MeshPeer *mesh_next (MeshPeer *peer);
