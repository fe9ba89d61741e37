/* How processes find each other again. */
#include "clock.h"
#include "mesh.h"

#include <event2/listener.h>
#include <netinet/in.h>
#include <string.h>

#define WATCHED_MS 2000
/* One each 50 ms would be 40; one each 250 ms are 9. */
#define ATTEMPTS_LEAST 15

typedef struct
{
  struct event_base *base;
  guint attempts;
} Restarting;

static void
no_peer (MeshPeer *peer, gpointer ctx)
{
}

static void
no_frame (MeshPeer *peer, const Gw__Frame *frame, gpointer ctx)
{
}

static void
nothing_to_add (MeshPeer *peer, Gw__Frame *frame, gpointer ctx)
{
}

static void
not_isolated (gpointer ctx)
{
}

static const MeshOps ops
    = { no_peer, no_peer, no_frame, nothing_to_add, no_peer, not_isolated };

/* A process that is not ready yet: whoever dials it is cut off. */
static void
on_dialled (struct evconnlistener *listener,
            evutil_socket_t fd,
            struct sockaddr *address,
            int length,
            void *ctx)
{
  Restarting *restarting = ctx;

  restarting->attempts++;
  evutil_closesocket (fd);
}

static void
on_tick (evutil_socket_t fd, short what, void *ctx)
{
  mesh_tick (ctx, clock_now_ms ());
}

static char *
listen_somewhere (Restarting *restarting, struct evconnlistener **listener)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof address;

  *listener = evconnlistener_new_bind (restarting->base, on_dialled, restarting,
                                       LEV_OPT_CLOSE_ON_FREE, -1,
                                       (struct sockaddr *)&address, sizeof address);
  g_assert_nonnull (*listener);
  getsockname (evconnlistener_get_fd (*listener), (struct sockaddr *)&address, &length);
  return g_strdup_printf ("127.0.0.1:%u", ntohs (address.sin_port));
}

/* Symptom: after all machines lost power, callers were refused or answered late for up to
 *   0.23 s after the entries had started again.
 * Sequence: an agent is back first and dials its entries; their processes are not up yet;
 *   it waits a quarter of a second before it dials again.
 * Cause: the pace for addresses that may be gone for good was also that for processes
 *   that are being restarted. */
static void
test_restarting (void)
{
  Restarting restarting = { event_base_new () };
  struct timeval watched = timeval_from_ms (WATCHED_MS);
  struct timeval tick = timeval_from_ms (MESH_TICK_MS);
  struct evconnlistener *listener;
  char *address = listen_somewhere (&restarting, &listener);
  char *seeds[] = { address, NULL };
  Gw__Hello hello;
  MeshInit init = { .base = restarting.base,
                    .hello = &hello,
                    .heartbeat_ms = 100,
                    .timeout_ms = 500,
                    .lease_ms = 500,
                    .forget_ms = 2000 };
  struct event *ticks;
  Mesh *mesh;

  gw__hello__init (&hello);
  hello.name = "agent-1";
  mesh = mesh_new (&init, &ops, NULL);
  mesh_seed (mesh, seeds);
  ticks = event_new (restarting.base, -1, EV_PERSIST, on_tick, mesh);
  event_add (ticks, &tick);
  event_base_loopexit (restarting.base, &watched);
  event_base_dispatch (restarting.base);
  g_test_message ("%u attempts", restarting.attempts);
  g_assert_cmpuint (restarting.attempts, >=, ATTEMPTS_LEAST);
  event_free (ticks);
  mesh_free (mesh);
  evconnlistener_free (listener);
  event_base_free (restarting.base);
  g_free (address);
}

/* Entries and agents of one process, each with a mesh of its own. */

#define ENTRIES 12
#define AGENTS 24
#define MOST_ENTRIES 4
/* Every agent has as many links, so an entry has this many in the mean. */
#define AGENTS_AN_ENTRY (AGENTS * MOST_ENTRIES / ENTRIES)
#define AGENTS_AN_ENTRY_MOST ((guint64)3 * AGENTS_AN_ENTRY)
/* After this all must have found one another, on a busy machine too. */
#define SETTLED_MS 4000

typedef struct
{
  struct event_base *base;
  Gw__Hello hello;
  char name[16];
  char address[32];
  Mesh *mesh;
  struct evconnlistener *listener;
  struct event *ticks;
  gboolean holds; /* its runs keep it from ending links */
} Node;

typedef struct
{
  struct event_base *base;
  Node entries[ENTRIES];
  Node agents[AGENTS];
} Parts;

static gboolean
may_release (MeshPeer *peer, gpointer ctx)
{
  const Node *node = ctx;

  return !node->holds;
}

static const MeshOps node_ops
    = { no_peer, no_peer, no_frame, nothing_to_add, no_peer, not_isolated, may_release };

static void
on_node_accept (struct evconnlistener *listener,
                evutil_socket_t fd,
                struct sockaddr *address,
                int length,
                void *ctx)
{
  Node *node = ctx;

  mesh_accept (node->mesh, fd);
}

static void
node_listen (Node *node)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof address;

  node->listener
      = evconnlistener_new_bind (node->base, on_node_accept, node, LEV_OPT_CLOSE_ON_FREE,
                                 -1, (struct sockaddr *)&address, sizeof address);
  g_assert_nonnull (node->listener);
  getsockname (evconnlistener_get_fd (node->listener), (struct sockaddr *)&address,
               &length);
  g_snprintf (node->address, sizeof node->address, "127.0.0.1:%u",
              ntohs (address.sin_port));
  node->hello.frame_address = node->address;
}

static void
node_open (Node *node, struct event_base *base, Gw__Hello__Role role, guint i)
{
  MeshInit init = { .base = base,
                    .hello = &node->hello,
                    .heartbeat_ms = 100,
                    .timeout_ms = 1000,
                    .lease_ms = 500,
                    .forget_ms = 2000 };
  struct timeval tick = timeval_from_ms (MESH_TICK_MS);

  node->base = base;
  gw__hello__init (&node->hello);
  node->hello.role = role;
  node->hello.incarnation = (guint64)role * 1000 + i + 1;
  g_snprintf (node->name, sizeof node->name, "%s-%u",
              role == GW__HELLO__ROLE__ENTRY ? "entry" : "agent", i);
  node->hello.name = node->name;
  if (role == GW__HELLO__ROLE__ENTRY)
    node_listen (node);
  else
    init.max_entries = MOST_ENTRIES;
  node->mesh = mesh_new (&init, &node_ops, node);
  node->ticks = event_new (base, -1, EV_PERSIST, on_tick, node->mesh);
  event_add (node->ticks, &tick);
}

static void
node_close (Node *node)
{
  if (node->mesh == NULL)
    return;
  if (node->listener != NULL)
    evconnlistener_free (node->listener);
  event_free (node->ticks);
  mesh_free (node->mesh);
  node->mesh = NULL;
}

/* All begin with the address of one entry only. */
static void
parts_open (Parts *parts)
{
  char *seeds[] = { NULL, NULL };

  parts->base = event_base_new ();
  for (guint i = 0; i < ENTRIES; i++)
    node_open (&parts->entries[i], parts->base, GW__HELLO__ROLE__ENTRY, i);
  for (guint i = 0; i < AGENTS; i++)
    node_open (&parts->agents[i], parts->base, GW__HELLO__ROLE__AGENT, i);
  seeds[0] = parts->entries[0].address;
  for (guint i = 1; i < ENTRIES; i++)
    mesh_seed (parts->entries[i].mesh, seeds);
  for (guint i = 0; i < AGENTS; i++)
    mesh_seed (parts->agents[i].mesh, seeds);
}

static void
parts_close (Parts *parts)
{
  for (guint i = 0; i < AGENTS; i++)
    node_close (&parts->agents[i]);
  for (guint i = 0; i < ENTRIES; i++)
    node_close (&parts->entries[i]);
  event_base_free (parts->base);
}

static void
parts_run (Parts *parts, guint ms)
{
  struct timeval time = timeval_from_ms (ms);

  event_base_loopexit (parts->base, &time);
  event_base_dispatch (parts->base);
}

/* Links to entries, or to agents. */
static guint
linked (const Node *node, gboolean entries)
{
  guint n = 0;

  for (MeshPeer *peer = mesh_first (node->mesh); peer != NULL; peer = mesh_next (peer))
    n += peer->link != NULL && peer->is_entry == entries;
  return n;
}

static void
check_agents (const Parts *parts)
{
  for (guint i = 0; i < AGENTS; i++)
    g_assert_cmpuint (linked (&parts->agents[i], TRUE), ==, MOST_ENTRIES);
}

/* Symptom: with 55 entries and 240 agents all processes are busy with each other's
 *   heartbeats before the first caller comes.
 * Sequence: every agent links to every entry it hears of.
 * Cause: no limit on links, so that they grow with entries times agents. */
static void
test_parts (void)
{
  Parts parts = { 0 };

  parts_open (&parts);
  parts_run (&parts, SETTLED_MS);
  check_agents (&parts);
  for (guint i = 0; i < ENTRIES; i++)
    {
      guint agents = linked (&parts.entries[i], FALSE);

      g_test_message ("entry %u: %u agents", i, agents);
      g_assert_cmpuint (linked (&parts.entries[i], TRUE), ==, ENTRIES - 1);
      g_assert_cmpuint (agents, >, 0);
      g_assert_cmpuint (agents, <=, AGENTS_AN_ENTRY_MOST);
    }
  parts_close (&parts);
}

/* An agent whose entries are gone goes to others, however many there are. */
static void
test_parts_lost (void)
{
  Parts parts = { 0 };

  parts_open (&parts);
  parts_run (&parts, SETTLED_MS);
  for (guint i = 0; i < ENTRIES - MOST_ENTRIES; i++)
    node_close (&parts.entries[i]);
  parts_run (&parts, SETTLED_MS);
  check_agents (&parts);
  for (guint i = ENTRIES - MOST_ENTRIES; i < ENTRIES; i++)
    g_assert_cmpuint (linked (&parts.entries[i], FALSE), ==, AGENTS);
  parts_close (&parts);
}

/* Symptom: runs are stopped and their jobs wait again although nothing has failed.
 * Sequence: an agent comes over a seed that is not among its entries, starts runs for it,
 *   and finds its own entries.
 * Cause: the link that is not needed any more ended with runs on it. */
static void
test_parts_keep_work (void)
{
  Parts parts = { 0 };

  parts_open (&parts);
  for (guint i = 0; i < AGENTS; i++)
    parts.agents[i].holds = TRUE;
  parts_run (&parts, SETTLED_MS);
  g_assert_cmpuint (linked (&parts.entries[0], FALSE), ==, AGENTS);
  for (guint i = 0; i < AGENTS; i++)
    parts.agents[i].holds = FALSE;
  parts_run (&parts, SETTLED_MS);
  check_agents (&parts);
  g_assert_cmpuint (linked (&parts.entries[0], FALSE), <, AGENTS);
  parts_close (&parts);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/mesh/restarting-peers-are-dialled-often", test_restarting);
  g_test_add_func ("/mesh/agents-link-to-a-part", test_parts);
  g_test_add_func ("/mesh/lost-entries-are-replaced", test_parts_lost);
  g_test_add_func ("/mesh/links-with-work-are-kept", test_parts_keep_work);
  return g_test_run ();
}
