#pragma once
/* What the parts of the mesh share: mesh.c keeps the peers and their links, mesh_dial.c
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
  gint64 answered_ms; /* last time a link to it stood, or when it was learned */
  gint64 told_ms;     /* last time somebody named it */
  gint64 failing_ms;  /* since when it has not answered; 0: it has, or was not dialled */
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
  struct event *redial; /* what is not linked is dialled when it fires */
  GPtrArray *strangers; /* accepted links before their Hello */
  gint64 linked_ms;     /* when an entry was last linked */
  gint64 isolated_ms;   /* when it was last told that none is */
  gint64 listed_ms;     /* when all linked entries were last told to all peers */
  Gw__LeaseTime time;
};

/* mesh_dial.c */

/** mesh_dial_soon - dial what is not linked in the next turn of the loop. */
void mesh_dial_soon (Mesh *mesh);

/** mesh_dial_again - dial once more what has just not answered, after a pause. */
void mesh_dial_again (Mesh *mesh);

/** mesh_dial_all - dial what is not linked, wanted and due. */
void mesh_dial_all (Mesh *mesh, gint64 now_ms);

/** mesh_on_redial - callback of the event "redial". */
void mesh_on_redial (evutil_socket_t fd, short what, void *ctx);

/** mesh_address_of_link - Return: NULL if the link was not dialled here. */
Address *mesh_address_of_link (Mesh *mesh, const Link *link);
void mesh_address_free (Address *address);

/** mesh_address_answered - a link to it stands. */
void mesh_address_answered (Address *address, gint64 now_ms);

/** mesh_address_failed - it has not answered, or its link broke. */
void mesh_address_failed (Mesh *mesh, const char *text, gint64 now_ms);

/** mesh_note_surplus - mark the linked entries that are not needed any more. */
void mesh_note_surplus (Mesh *mesh, gint64 now_ms);

/** mesh_forget_addresses - drop learned ones that have not answered for long. */
void mesh_forget_addresses (Mesh *mesh, gint64 now_ms);
