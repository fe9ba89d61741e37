#include "agent_peers.h"
#include "clock.h"
#include "rendezvous.h"

#include <string.h>

/* Up to this many entries, the usual size of a deployment, an agent links to all. */
#define LINK_ALL_ENTRIES 4
/* With more entries: to the home and the next in rendezvous rank. */
#define LINKS_WANTED 2
#define REDIAL_MS 300
/* An entry that is neither linked nor named for this long is forgotten; linked entries
 * name it again if it exists. */
#define FORGET_MS 30000

typedef struct KnownEntry
{
  TAILQ_ENTRY (KnownEntry) link_entry;
  char *name;
  char *frame_address;
  gboolean draining;
  gint64 dialed_ms;
  gint64 last_seen_ms;
  guint64 score;
} KnownEntry;

struct AgentPeers
{
  const LinkConfig *links;
  char *group;
  TAILQ_HEAD (, KnownEntry) entries;
  TAILQ_HEAD (, AgentLink) list;
};

AgentPeers *
agent_peers_new (const LinkConfig *links)
{
  AgentPeers *peers = g_new0 (AgentPeers, 1);

  peers->links = links;
  peers->group = g_strdup ("");
  TAILQ_INIT (&peers->entries);
  TAILQ_INIT (&peers->list);
  return peers;
}

static void
known_entry_free (AgentPeers *peers, KnownEntry *known)
{
  TAILQ_REMOVE (&peers->entries, known, link_entry);
  g_free (known->name);
  g_free (known->frame_address);
  g_free (known);
}

static void
agent_link_free (AgentPeers *peers, AgentLink *record)
{
  TAILQ_REMOVE (&peers->list, record, link_entry);
  link_close (record->link);
  link_unref (record->link);
  g_free (record->name);
  g_free (record);
}

void
agent_peers_free (AgentPeers *peers)
{
  KnownEntry *known;
  AgentLink *record;

  if (peers == NULL)
    return;
  while ((record = TAILQ_FIRST (&peers->list)) != NULL)
    agent_link_free (peers, record);
  while ((known = TAILQ_FIRST (&peers->entries)) != NULL)
    known_entry_free (peers, known);
  g_free (peers->group);
  g_free (peers);
}

static KnownEntry *
find_known (AgentPeers *peers, const char *name)
{
  KnownEntry *known;

  TAILQ_FOREACH (known, &peers->entries, link_entry)
    if (strcmp (known->name, name) == 0)
      return known;
  return NULL;
}

void
agent_peers_learn (AgentPeers *peers,
                   const char *name,
                   const char *frame_address,
                   gboolean draining)
{
  KnownEntry *known = find_known (peers, name);

  if (known == NULL)
    {
      known = g_new0 (KnownEntry, 1);
      known->name = g_strdup (name);
      known->frame_address = g_strdup (frame_address);
      TAILQ_INSERT_TAIL (&peers->entries, known, link_entry);
    }
  if (strcmp (known->frame_address, frame_address) != 0)
    {
      g_free (known->frame_address);
      known->frame_address = g_strdup (frame_address);
    }
  known->draining = draining;
  known->last_seen_ms = clock_now_ms ();
}

void
agent_peers_set_group (AgentPeers *peers, const char *group)
{
  if (strcmp (peers->group, group) == 0)
    return;
  g_free (peers->group);
  peers->group = g_strdup (group);
}

static AgentLink *
add_link (AgentPeers *peers, Link *link, const char *name)
{
  AgentLink *record = g_new0 (AgentLink, 1);

  record->link = link;
  record->name = g_strdup (name);
  TAILQ_INSERT_TAIL (&peers->list, record, link_entry);
  return record;
}

void
agent_peers_accept (AgentPeers *peers, evutil_socket_t fd)
{
  add_link (peers, link_accept (peers->links, fd), NULL);
}

AgentLink *
agent_peers_find_link (AgentPeers *peers, const Link *link)
{
  AgentLink *record;

  TAILQ_FOREACH (record, &peers->list, link_entry)
    if (record->link == link)
      return record;
  return NULL;
}

AgentLink *
agent_peers_link_up (AgentPeers *peers, Link *link)
{
  AgentLink *record = agent_peers_find_link (peers, link);
  const Gw__Hello *hello = link_peer (link);

  if (record == NULL)
    return NULL;
  record->incarnation = hello->incarnation;
  agent_peers_learn (peers, hello->name, hello->frame_address, FALSE);
  return record;
}

void
agent_peers_link_down (AgentPeers *peers, Link *link)
{
  AgentLink *record = agent_peers_find_link (peers, link);

  if (record != NULL)
    agent_link_free (peers, record);
}

Link *
agent_peers_link_to (AgentPeers *peers, guint64 incarnation)
{
  AgentLink *record;

  TAILQ_FOREACH (record, &peers->list, link_entry)
    if (record->incarnation == incarnation && link_is_up (record->link))
      return record->link;
  return NULL;
}

void
agent_peers_prefer (AgentPeers *peers, AgentLink *record)
{
  TAILQ_REMOVE (&peers->list, record, link_entry);
  TAILQ_INSERT_HEAD (&peers->list, record, link_entry);
}

AgentLink *
agent_peers_first (AgentPeers *peers)
{
  return TAILQ_FIRST (&peers->list);
}

/* Whether a link to the entry is up or being dialled. */
static gboolean
is_linked (AgentPeers *peers, const KnownEntry *known)
{
  const AgentLink *record;

  TAILQ_FOREACH (record, &peers->list, link_entry)
    {
      const Gw__Hello *hello = link_peer (record->link);

      if (hello != NULL && strcmp (hello->name, known->name) == 0)
        return TRUE;
      if (g_strcmp0 (record->name, known->name) == 0)
        return TRUE;
    }
  return FALSE;
}

static guint
count_entries (const AgentPeers *peers)
{
  const KnownEntry *known;
  guint n = 0;

  TAILQ_FOREACH (known, &peers->entries, link_entry)
    n++;
  return n;
}

/* Whether fewer than @limit entries rank above this one for the group. */
static gboolean
is_among_first (AgentPeers *peers, const KnownEntry *candidate, guint limit)
{
  guint64 score = rendezvous_score (peers->group, candidate->name);
  const KnownEntry *known;
  guint above = 0;

  TAILQ_FOREACH (known, &peers->entries, link_entry)
    if (!known->draining && rendezvous_score (peers->group, known->name) > score)
      above++;
  return above < limit;
}

void
agent_peers_tick (AgentPeers *peers, gint64 now_ms)
{
  guint limit
      = count_entries (peers) <= LINK_ALL_ENTRIES ? LINK_ALL_ENTRIES : LINKS_WANTED;
  KnownEntry *known;
  KnownEntry *next;

  for (known = TAILQ_FIRST (&peers->entries); known != NULL; known = next)
    {
      next = TAILQ_NEXT (known, link_entry);
      if (is_linked (peers, known))
        {
          known->last_seen_ms = now_ms;
          continue;
        }
      if (now_ms - known->last_seen_ms > FORGET_MS)
        {
          known_entry_free (peers, known);
          continue;
        }
      if (now_ms - known->dialed_ms < REDIAL_MS || known->draining
          || !is_among_first (peers, known, limit))
        continue;
      known->dialed_ms = now_ms;
      add_link (peers, link_dial (peers->links, known->frame_address), known->name);
    }
}

guint
agent_peers_linked (const AgentPeers *peers)
{
  const AgentLink *record;
  guint n = 0;

  TAILQ_FOREACH (record, &peers->list, link_entry)
    if (link_is_up (record->link))
      n++;
  return n;
}
