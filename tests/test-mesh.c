/* Discovery, dialling and the limit on links in the mesh. */
#include "clock.h"
#include "counters.h"
#include "mesh.h"

#include <event2/listener.h>
#include <netinet/in.h>
#include <string.h>

#define RUN_MS 2000
/* Dialling every 50 ms makes 40 attempts; every 250 ms, 9. */
#define MIN_ATTEMPTS 15

typedef struct
{
  struct event_base *base;
  guint attempts;
} Restarting;

static void
ignore_peer (MeshPeer *peer, gpointer ctx)
{
}

static void
ignore_frame (MeshPeer *peer, const Gw__Frame *frame, gpointer ctx)
{
}

static void
add_nothing (MeshPeer *peer, Gw__Frame *frame, gpointer ctx)
{
}

static void
ignore_isolation (gpointer ctx)
{
}

static const MeshOps ops = { ignore_peer, ignore_peer, ignore_frame,
                             add_nothing, ignore_peer, ignore_isolation };

/* A process that is still starting: closes each connection. */
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
listen_loopback (Restarting *restarting, struct evconnlistener **listener)
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

/* After a power loss of all machines, an agent that was back first dialled its entries
 * before their processes were up and then waited 250 ms, the interval for addresses that
 * may never come back; callers were refused or delayed for up to 0.23 s. */
static void
test_restarting_peer (void)
{
  Restarting restarting = { event_base_new () };
  struct timeval run_time = timeval_from_ms (RUN_MS);
  struct timeval tick = timeval_from_ms (MESH_TICK_MS);
  struct evconnlistener *listener;
  char *address = listen_loopback (&restarting, &listener);
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
  event_base_loopexit (restarting.base, &run_time);
  event_base_dispatch (restarting.base);
  g_test_message ("%u attempts", restarting.attempts);
  g_assert_cmpuint (restarting.attempts, >=, MIN_ATTEMPTS);
  event_free (ticks);
  mesh_free (mesh);
  evconnlistener_free (listener);
  event_base_free (restarting.base);
  g_free (address);
}

/* Entries and agents in one process, each with its own mesh. */

#define ENTRIES 12
#define AGENTS 24
#define MAX_ENTRIES 4
/* Mean number of agents linked to an entry. */
#define AGENTS_PER_ENTRY (AGENTS * MAX_ENTRIES / ENTRIES)
#define MAX_AGENTS_PER_ENTRY ((guint64)3 * AGENTS_PER_ENTRY)
/* Time for all links to be set up, also on a busy machine. */
#define CONVERGE_MS 4000
/* Fewer than an agent links to; after SETTLED_MS no change of the directory is recent. */
#define FEW_ENTRIES 3
#define SETTLED_MS 3500

typedef struct
{
  struct event_base *base;
  Gw__Hello hello;
  char name[16];
  char address[32];
  Mesh *mesh;
  struct evconnlistener *listener;
  struct event *ticks;
  guint16 port; /* kept when it is closed */
  guint max_entries;
  guint protocol;
  gboolean has_work; /* its links must not be released */
} Node;

typedef struct
{
  struct event_base *base;
  Node entries[ENTRIES];
  Node agents[AGENTS];
} Cluster;

static gboolean
may_release (MeshPeer *peer, gpointer ctx)
{
  const Node *node = ctx;

  return !node->has_work;
}

static const MeshOps node_ops
    = { ignore_peer, ignore_peer,      ignore_frame, add_nothing,
        ignore_peer, ignore_isolation, may_release };

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
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
                                 .sin_port = htons (node->port) };
  socklen_t length = sizeof address;

  node->listener = evconnlistener_new_bind (node->base, on_node_accept, node,
                                            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                            (struct sockaddr *)&address, sizeof address);
  g_assert_nonnull (node->listener);
  getsockname (evconnlistener_get_fd (node->listener), (struct sockaddr *)&address,
               &length);
  node->port = ntohs (address.sin_port);
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
                    .forget_ms = 2000,
                    .max_entries = node->max_entries };
  struct timeval tick = timeval_from_ms (MESH_TICK_MS);

  node->base = base;
  gw__hello__init (&node->hello);
  node->hello.role = role;
  node->hello.incarnation = (guint64)role * 1000 + i + 1;
  g_snprintf (node->name, sizeof node->name, "%s-%u",
              role == GW__HELLO__ROLE__ENTRY ? "entry" : "agent", i);
  node->hello.name = node->name;
  node->hello.protocol = node->protocol > 0 ? node->protocol : MESH_PROTOCOL;
  if (role == GW__HELLO__ROLE__ENTRY)
    node_listen (node);
  else
    init.max_entries = MAX_ENTRIES;
  node->mesh = mesh_new (&init, &node_ops, node);
  if (role == GW__HELLO__ROLE__ENTRY)
    mesh_advertise (node->mesh);
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

/* A process that is started again at its address, with a new incarnation and no seeds. */
static void
node_reopen (Node *node, guint i)
{
  node_open (node, node->base, GW__HELLO__ROLE__ENTRY, i);
  node->hello.incarnation += 500;
}

/* Each node is seeded with the address of the first entry only. */
static void
cluster_open (Cluster *cluster)
{
  char *seeds[] = { NULL, NULL };

  cluster->base = event_base_new ();
  for (guint i = 0; i < ENTRIES; i++)
    node_open (&cluster->entries[i], cluster->base, GW__HELLO__ROLE__ENTRY, i);
  for (guint i = 0; i < AGENTS; i++)
    node_open (&cluster->agents[i], cluster->base, GW__HELLO__ROLE__AGENT, i);
  seeds[0] = cluster->entries[0].address;
  for (guint i = 1; i < ENTRIES; i++)
    mesh_seed (cluster->entries[i].mesh, seeds);
  for (guint i = 0; i < AGENTS; i++)
    mesh_seed (cluster->agents[i].mesh, seeds);
}

static void
cluster_close (Cluster *cluster)
{
  for (guint i = 0; i < AGENTS; i++)
    node_close (&cluster->agents[i]);
  for (guint i = 0; i < ENTRIES; i++)
    node_close (&cluster->entries[i]);
  event_base_free (cluster->base);
}

static void
cluster_run (Cluster *cluster, guint ms)
{
  struct timeval time = timeval_from_ms (ms);

  event_base_loopexit (cluster->base, &time);
  event_base_dispatch (cluster->base);
}

/* Number of links to entries, or to agents. */
static guint
count_links (const Node *node, gboolean entries)
{
  guint n = 0;

  for (MeshPeer *peer = mesh_first (node->mesh); peer != NULL; peer = mesh_next (peer))
    n += peer->link != NULL && peer->is_entry == entries;
  return n;
}

static void
check_agents (const Cluster *cluster)
{
  for (guint i = 0; i < AGENTS; i++)
    g_assert_cmpuint (count_links (&cluster->agents[i], TRUE), ==, MAX_ENTRIES);
}

/* Without a limit each agent links to each entry it learns of: with 55 entries and 240
 * agents, heartbeats alone kept all processes busy. */
static void
test_max_entries (void)
{
  Cluster cluster = { 0 };

  cluster_open (&cluster);
  cluster_run (&cluster, CONVERGE_MS);
  check_agents (&cluster);
  for (guint i = 0; i < ENTRIES; i++)
    {
      guint agents = count_links (&cluster.entries[i], FALSE);

      g_test_message ("entry %u: %u agents", i, agents);
      g_assert_cmpuint (count_links (&cluster.entries[i], TRUE), ==, ENTRIES - 1);
      g_assert_cmpuint (agents, >, 0);
      g_assert_cmpuint (agents, <=, MAX_AGENTS_PER_ENTRY);
    }
  cluster_close (&cluster);
}

/* An agent that loses its entries links to others, however many are left. */
static void
test_lost_entries_replaced (void)
{
  Cluster cluster = { 0 };

  cluster_open (&cluster);
  cluster_run (&cluster, CONVERGE_MS);
  for (guint i = 0; i < ENTRIES - MAX_ENTRIES; i++)
    node_close (&cluster.entries[i]);
  cluster_run (&cluster, CONVERGE_MS);
  check_agents (&cluster);
  for (guint i = ENTRIES - MAX_ENTRIES; i < ENTRIES; i++)
    g_assert_cmpuint (count_links (&cluster.entries[i], FALSE), ==, AGENTS);
  cluster_close (&cluster);
}

/* An agent that starts runs for a seed entry and then finds its own entries must not
 * close the surplus link while the runs go on: they would be stopped and their jobs
 * requeued. */
static void
test_links_with_work_kept (void)
{
  Cluster cluster = { 0 };

  cluster_open (&cluster);
  for (guint i = 0; i < AGENTS; i++)
    cluster.agents[i].has_work = TRUE;
  cluster_run (&cluster, CONVERGE_MS);
  g_assert_cmpuint (count_links (&cluster.entries[0], FALSE), ==, AGENTS);
  for (guint i = 0; i < AGENTS; i++)
    cluster.agents[i].has_work = FALSE;
  cluster_run (&cluster, CONVERGE_MS);
  check_agents (&cluster);
  g_assert_cmpuint (count_links (&cluster.entries[0], FALSE), <, AGENTS);
  cluster_close (&cluster);
}

/* A fleet of entries that choose a part of each other. */

#define FLEET 40
#define FLEET_LINKS 8
#define MOST_FLEET_LINKS 16
/* The objective for an entry that joins. */
#define JOIN_MS 1000
/* A lost entry is dialled in vain for 10 s, and then the others are told. */
#define GONE_MS 13000
/* Longer than the interval at which protocol 1 needs lists repeated. */
#define REPEATED_MS 9000

typedef struct
{
  struct event_base *base;
  Node entries[FLEET];
  guint n;
} Fleet;

static void
fleet_add (Fleet *fleet, guint protocol)
{
  Node *node = &fleet->entries[fleet->n];
  char *seeds[] = { fleet->entries[0].address, NULL };

  node->max_entries = FLEET_LINKS;
  node->protocol = protocol;
  node_open (node, fleet->base, GW__HELLO__ROLE__ENTRY, fleet->n);
  if (fleet->n > 0)
    mesh_seed (node->mesh, seeds);
  fleet->n++;
}

static void
fleet_open (Fleet *fleet, guint n)
{
  fleet->base = event_base_new ();
  while (fleet->n < n)
    fleet_add (fleet, MESH_PROTOCOL);
}

static void
fleet_close (Fleet *fleet)
{
  for (guint i = 0; i < fleet->n; i++)
    node_close (&fleet->entries[i]);
  event_base_free (fleet->base);
}

static void
fleet_run (Fleet *fleet, guint ms)
{
  struct timeval time = timeval_from_ms (ms);

  event_base_loopexit (fleet->base, &time);
  event_base_dispatch (fleet->base);
}

static void
check_known (const Fleet *fleet, guint n)
{
  for (guint i = 0; i < fleet->n; i++)
    if (fleet->entries[i].mesh != NULL)
      g_assert_cmpuint (fleet->entries[i].hello.entries_known, ==, n);
}

/* With every entry linked to every other, their links and heartbeats grew with the square
 * of their number, and the list of entries, sent each 8 s, with the cube: at 184 entries
 * it filled narrow links for longer than a lease lasts. */
static void
test_fleet (void)
{
  Fleet fleet = { 0 };
  guint64 sent;

  fleet_open (&fleet, FLEET - 1);
  fleet_run (&fleet, CONVERGE_MS);
  check_known (&fleet, FLEET - 1);
  for (guint i = 0; i < fleet.n; i++)
    g_assert_cmpuint (count_links (&fleet.entries[i], TRUE), <=, MOST_FLEET_LINKS);
  sent = counter_values[COUNTER_ENTRIES_SENT];
  fleet_run (&fleet, REPEATED_MS);
  g_assert_cmpuint (counter_values[COUNTER_ENTRIES_SENT], ==, sent);
  fleet_add (&fleet, MESH_PROTOCOL);
  fleet_run (&fleet, JOIN_MS);
  check_known (&fleet, FLEET);
  fleet_close (&fleet);
}

/* An entry that was removed must not be dialled by all for good, and one that was only
 * cut off must be found again. */
static void
test_gone (void)
{
  Fleet fleet = { 0 };

  fleet_open (&fleet, 12);
  fleet_run (&fleet, CONVERGE_MS);
  node_close (&fleet.entries[5]);
  fleet_run (&fleet, GONE_MS);
  check_known (&fleet, 11);
  node_reopen (&fleet.entries[5], 5);
  fleet_run (&fleet, CONVERGE_MS);
  check_known (&fleet, 12);
  fleet_close (&fleet);
}

/* A process of the version before drops addresses that are not repeated, and does not say
 * which links it wants: while a fleet is rolled it must keep them. */
static void
test_legacy (void)
{
  Fleet fleet = { 0 };
  guint64 sent;
  guint links;

  fleet_open (&fleet, 20);
  fleet_add (&fleet, MESH_PROTOCOL - 1);
  fleet_run (&fleet, CONVERGE_MS);
  links = count_links (&fleet.entries[20], TRUE);
  sent = counter_values[COUNTER_ENTRIES_SENT];
  fleet_run (&fleet, REPEATED_MS);
  g_assert_cmpuint (counter_values[COUNTER_ENTRIES_SENT], >=, sent + 20);
  g_assert_cmpuint (count_links (&fleet.entries[20], TRUE), >=, MIN (links, FLEET_LINKS));
  check_known (&fleet, 21);
  fleet_close (&fleet);
}

/* Guards against entries that lose all backend servers as agents are restarted: an agent
 * that started after the directory had settled was told of no entry but its seeds. */
static void
test_late_agent (void)
{
  Cluster cluster = { .base = event_base_new () };
  char *seeds[] = { NULL, NULL };

  for (guint i = 0; i < FEW_ENTRIES; i++)
    node_open (&cluster.entries[i], cluster.base, GW__HELLO__ROLE__ENTRY, i);
  seeds[0] = cluster.entries[0].address;
  for (guint i = 1; i < FEW_ENTRIES; i++)
    mesh_seed (cluster.entries[i].mesh, seeds);
  cluster_run (&cluster, SETTLED_MS);
  node_open (&cluster.agents[0], cluster.base, GW__HELLO__ROLE__AGENT, 0);
  mesh_seed (cluster.agents[0].mesh, seeds);
  cluster_run (&cluster, RUN_MS);
  g_assert_cmpuint (count_links (&cluster.agents[0], TRUE), ==, FEW_ENTRIES);
  cluster_close (&cluster);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/mesh/restarting-peers-are-dialled-often", test_restarting_peer);
  g_test_add_func ("/mesh/late-agent-links-to-all", test_late_agent);
  g_test_add_func ("/mesh/agents-link-to-a-part", test_max_entries);
  g_test_add_func ("/mesh/lost-entries-are-replaced", test_lost_entries_replaced);
  g_test_add_func ("/mesh/links-with-work-are-kept", test_links_with_work_kept);
  g_test_add_func ("/mesh/entries-link-to-a-part", test_fleet);
  g_test_add_func ("/mesh/removed-entries-are-gone-and-found-again", test_gone);
  g_test_add_func ("/mesh/protocol-1-is-sent-repeated-lists", test_legacy);
  return g_test_run ();
}
