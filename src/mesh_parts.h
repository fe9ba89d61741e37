#pragma once
/* Shared by the mesh's source files: mesh.c has the peers and their links, mesh_dial.c
 * the addresses and when they are dialled, mesh_discovery.c how entries become known. */
#include "directory.h"
#include "mesh.h"

typedef struct Address
{
  TAILQ_ENTRY (Address) link;
  Mesh *mesh;
  char *text;
  gboolean seed;
  guint64 score; /* the highest is linked first */
  Link *dialing;
  MeshPeer *peer; /* linked at this address, or NULL */
  gint64 dialed_ms;
  gint64 answered_ms; /* last time a link to it was up, or when it was learned */
  gint64 failing_ms;  /* since when dialling fails; 0: it does not */
  guint wait_ms;
} Address;

struct Mesh
{
  MeshInit init;
  const MeshOps *ops;
  gpointer ctx;
  LinkConfig links;
  TAILQ_HEAD (, MeshPeer) peers;
  GHashTable *peers_by_incarnation;
  guint linked_entries;
  TAILQ_HEAD (AddressList, Address) addresses; /* by rank */
  GHashTable *addresses_by_text;
  guint n_addresses;
  GHashTable *dialed;      /* Link -> Address */
  Directory *directory;    /* of entries; an agent's stays empty */
  guint records_left;      /* that may be sent before the next tick */
  Address *probed;         /* of the last entry dialled that was gone, or NULL */
  gint64 probed_ms;        /* when it was dialled */
  struct event *redial;    /* dials what is not linked */
  GPtrArray *unidentified; /* accepted links before their Hello */
  gint64 linked_ms;        /* last time an entry was linked */
  gint64 isolated_ms;      /* last call of isolated () */
  Gw__LeaseTime time;
};

/* mesh.c */
gboolean mesh_is_entry (const Mesh *mesh);

/* mesh_discovery.c */
void mesh_discovery_init (Mesh *mesh);
void mesh_discovery_free (Mesh *mesh);

/** mesh_discovery_up - a link is up: note what its peer knows, send what it lacks. */
void mesh_discovery_up (Mesh *mesh, MeshPeer *peer, const Gw__Hello *hello);

/** mesh_discovery_frame - take the entries that a peer sent. */
void mesh_discovery_frame (Mesh *mesh, MeshPeer *peer, const Gw__Frame *frame);

/** mesh_discovery_prepare - add what each frame to an entry says of the sender. */
void mesh_discovery_prepare (const Mesh *mesh, const MeshPeer *peer, Gw__Frame *frame);

/** mesh_discovery_tick - send changes, mark entries as gone and look whether one is back.
 */
void mesh_discovery_tick (Mesh *mesh, gint64 now_ms);

/** mesh_discovery_agent_changed - an agent has learned or dropped an address. */
void mesh_discovery_agent_changed (Mesh *mesh);

/* mesh_dial.c */

/** mesh_dial_soon - dial what is not linked in the next event-loop iteration. */
void mesh_dial_soon (Mesh *mesh);

/** mesh_dial_again - dial what is not linked after DIAL_EAGER_MS. */
void mesh_dial_again (Mesh *mesh);

/** mesh_dial - dial @address if it is due and not linked. */
void mesh_dial (Mesh *mesh, Address *address, gint64 now_ms);

/** mesh_dial_all - dial the addresses that are needed, due and not linked. */
void mesh_dial_all (Mesh *mesh, gint64 now_ms);

/** mesh_on_redial - callback of mesh->redial. */
void mesh_on_redial (evutil_socket_t fd, short what, void *ctx);

/** mesh_address_of_link - Return: NULL if the link was not dialled here. */
Address *mesh_address_of_link (const Mesh *mesh, const Link *link);

/** mesh_address_dialed - the attempt has ended: its link is up or failed. */
void mesh_address_dialed (Address *address);
Address *mesh_address_find (const Mesh *mesh, const char *text);

/** mesh_address_add - Return: the address, known or new; NULL if it is the own one. */
Address *mesh_address_add (Mesh *mesh, const char *text);
void mesh_address_free (Address *address);

/** mesh_rank_addresses - order them again, after the own address has changed. */
void mesh_rank_addresses (Mesh *mesh);

/** mesh_address_answered - a link to it is up. */
void mesh_address_answered (Address *address, gint64 now_ms);

/** mesh_address_failed - dialling it failed, or its link was lost. */
void mesh_address_failed (Address *address, gint64 now_ms);

/** mesh_address_failing_ms - for how long it was dialled in vain. One that is no longer
 * needed is not dialled, and nothing can be said of it. */
gint64 mesh_address_failing_ms (const Address *address);

/** mesh_note_surplus - mark the linked entries that neither end wants. */
void mesh_note_surplus (Mesh *mesh, gint64 now_ms);

/** mesh_forget_addresses - drop those that have failed for ADDRESS_FORGET_MS and, at an
 * agent, the lowest-ranked beyond MAX_ADDRESSES. */
void mesh_forget_addresses (Mesh *mesh);
