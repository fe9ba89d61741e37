/* Discovery, dialling and the limit on links in the mesh. */
#include "clock.h"
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

typedef struct
{
  struct event_base *base;
  Gw__Hello hello;
  char name[16];
  char address[32];
  Mesh *mesh;
  struct evconnlistener *listener;
  struct event *ticks;
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
    init.max_entries = MAX_ENTRIES;
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

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/mesh/restarting-peers-are-dialled-often", test_restarting_peer);
  g_test_add_func ("/mesh/agents-link-to-a-part", test_max_entries);
  g_test_add_func ("/mesh/lost-entries-are-replaced", test_lost_entries_replaced);
  g_test_add_func ("/mesh/links-with-work-are-kept", test_links_with_work_kept);
  return g_test_run ();
}
