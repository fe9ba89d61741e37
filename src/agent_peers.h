#pragma once
/* The entries that an agent knows and its links to them. It links to all entries while
 * they are few, otherwise to the home of its group and the next in rendezvous rank. */
#include "link.h"

#include <glib.h>
#include <sys/queue.h>

typedef struct AgentPeers AgentPeers;

/* One link, dialed or accepted. An entry may briefly have two. */
typedef struct AgentLink
{
  TAILQ_ENTRY (AgentLink) link_entry;
  Link *link;
  guint64 incarnation; /* 0 before the Hello */
  char *name;          /* of the dialed entry; NULL: accepted */
  gint64 start_ms;     /* last frame with a task to start */
} AgentLink;

AgentPeers *agent_peers_new (const LinkConfig *links);
void agent_peers_free (AgentPeers *peers);

void agent_peers_learn (AgentPeers *peers,
                        const char *name,
                        const char *frame_address,
                        gboolean draining);
void agent_peers_set_group (AgentPeers *peers, const char *group);
void agent_peers_accept (AgentPeers *peers, evutil_socket_t fd);

/** agent_peers_link_up - note the Hello of @link. Return: its record, or NULL. */
AgentLink *agent_peers_link_up (AgentPeers *peers, Link *link);
void agent_peers_link_down (AgentPeers *peers, Link *link);
AgentLink *agent_peers_find_link (AgentPeers *peers, const Link *link);

/**
 * agent_peers_prefer - use this link for what is sent to its entry.
 *
 * An entry may have two links: both sides dialed at once, or it dialed one to reconcile
 * the jobs of a lost home. As a home it reads only the link that it chose for its tasks:
 * an outcome sent over another one is lost, and its slot counts as taken for good.
 */
void agent_peers_prefer (AgentPeers *peers, AgentLink *record);

/** agent_peers_link_to - the preferred link to that incarnation that is up, or NULL. */
Link *agent_peers_link_to (AgentPeers *peers, guint64 incarnation);
AgentLink *agent_peers_first (AgentPeers *peers);

/** agent_peers_tick - dial the entries that need a link, forget lost ones. */
void agent_peers_tick (AgentPeers *peers, gint64 now_ms);

/** agent_peers_linked - number of links that are up. */
guint agent_peers_linked (const AgentPeers *peers);
