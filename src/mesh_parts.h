#pragma once
/* Shared by the mesh's source files: mesh.c has the peers and their links, mesh_dial.c
 * the addresses and when they are dialled. */
#include "mesh.h"

typedef struct Address
{
  TAILQ_ENTRY (Address) link;
  Mesh *mesh;
  char *text;
  gboolean seed;
  guint64 score; /* the highest is linked first */
  Link *dialing;
  gint64 dialed_ms;
  gint64 answered_ms; /* last time a link to it was up, or when it was learned */
  gint64 named_ms;    /* last time a seed list or peer named it */
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
  TAILQ_HEAD (, Address) addresses;
  struct event *redial;    /* dials what is not linked */
  GPtrArray *unidentified; /* accepted links before their Hello */
  gint64 linked_ms;        /* last time an entry was linked */
  gint64 isolated_ms;      /* last call of isolated () */
  gint64 announced_ms;     /* when all linked entries were last sent to all peers */
  Gw__LeaseTime time;
};

/* mesh_dial.c */

/** mesh_dial_soon - dial what is not linked in the next event-loop iteration. */
void mesh_dial_soon (Mesh *mesh);

/** mesh_dial_again - dial what is not linked after DIAL_EAGER_MS. */
void mesh_dial_again (Mesh *mesh);

/** mesh_dial_all - dial the addresses that are needed, due and not linked. */
void mesh_dial_all (Mesh *mesh, gint64 now_ms);

/** mesh_on_redial - callback of mesh->redial. */
void mesh_on_redial (evutil_socket_t fd, short what, void *ctx);

/** mesh_address_of_link - Return: NULL if the link was not dialled here. */
Address *mesh_address_of_link (Mesh *mesh, const Link *link);
void mesh_address_free (Address *address);

/** mesh_address_answered - a link to it is up. */
void mesh_address_answered (Address *address, gint64 now_ms);

/** mesh_address_failed - dialling it failed, or its link was lost. */
void mesh_address_failed (Mesh *mesh, const char *text, gint64 now_ms);

/** mesh_note_surplus - mark the linked entries beyond max_entries. */
void mesh_note_surplus (Mesh *mesh, gint64 now_ms);

/** mesh_forget_addresses - drop learned ones that have neither answered nor been named
 * for ADDRESS_FORGET_MS. */
void mesh_forget_addresses (Mesh *mesh, gint64 now_ms);
