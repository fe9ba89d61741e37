#pragma once
/* The entries an agent knows and its links to them: all of them while they are few, else
 * the home of its group and the next in rank. */
#include "link.h"

#include <glib.h>
#include <sys/queue.h>

typedef struct AgentPeers AgentPeers;

/* One link, dialed or accepted. An entry may have two for a moment. */
typedef struct AgentLink
{
  TAILQ_ENTRY (AgentLink) link_entry;
  Link *link;
  guint64 incarnation; /* 0 before the Hello */
  char *name;          /* of the entry that was dialed; NULL if accepted */
  gint64 start_ms;     /* when it last handed over a task */
} AgentLink;

AgentPeers *agent_peers_new (const LinkConfig *links);
void agent_peers_free (AgentPeers *peers);

void agent_peers_learn (AgentPeers *peers,
                        const char *name,
                        const char *frame_address,
                        gboolean draining);
void agent_peers_set_group (AgentPeers *peers, const char *group);
void agent_peers_accept (AgentPeers *peers, evutil_socket_t fd);

/** agent_peers_link_up - Return: the record of the link. */
AgentLink *agent_peers_link_up (AgentPeers *peers, Link *link);
void agent_peers_link_down (AgentPeers *peers, Link *link);
AgentLink *agent_peers_find_link (AgentPeers *peers, const Link *link);

/**
 * agent_peers_prefer - this is the link its entry has chosen for its tasks.
 *
 * Two dials may cross, and an entry that settles a lost home's jobs dials a link of its
 * own. Which of its links an entry reads as a home is the entry's choice: an outcome sent
 * over another one is lost, and its slot counts as taken for good.
 */
void agent_peers_prefer (AgentPeers *peers, AgentLink *record);

/** agent_peers_link_to - the preferred link that stands to that incarnation, or NULL. */
Link *agent_peers_link_to (AgentPeers *peers, guint64 incarnation);
AgentLink *agent_peers_first (AgentPeers *peers);

/** agent_peers_tick - dial what is wanted and not linked. */
void agent_peers_tick (AgentPeers *peers, gint64 now_ms);

/** agent_peers_linked - links that stand. */
guint agent_peers_linked (const AgentPeers *peers);
