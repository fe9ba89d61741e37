/* Work that must not grow with the number of backend servers or frames: an entry of a
 * large deployment has a small part of a core. */
#include "clock.h"
#include "dispatcher.h"
#include "link.h"

#include <event2/event.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define FEW_SERVERS 50
#define MANY_SERVERS 1000
#define STATES 300000
/* Of the time for a state with FEW_SERVERS; a search of all servers takes 20 times it. */
#define MAX_GROWTH 6

static void
on_order (LeasedServer *server,
          const LeasedSpec *spec,
          const RunKey *runs,
          gsize n_runs,
          guint expected_ms,
          const ResourceRequest *request,
          gint64 valid_until_ms,
          gpointer ctx)
{
}

static void
on_request_resources (LeasedServer *server, const ResourceRequest *request, gpointer ctx)
{
}

static void
on_stop (LeasedServer *server, const RunKey *run, gpointer ctx)
{
}

static void
on_pump (gpointer ctx)
{
}

static const DispatcherOps ops = { on_order, on_request_resources, on_stop, on_pump };

static void
send_state (LeasedServer *server)
{
  ServerStatus status = { .instance = g_strdup ("i-1"),
                          .service = g_strdup ("exchange"),
                          .zone = g_strdup ("z"),
                          .labels = g_new0 (char *, 1),
                          .capacity = { 16000, 1000, 0 },
                          .ready = TRUE,
                          .trust = TRUST_FULL,
                          .slowness_percent = 100 };

  dispatcher_server_status (server, &status);
}

/* Return: processor time in seconds to take STATES states and pump after each. */
static double
time_of_states (guint n_servers)
{
  DispatcherInit init = { 700 };
  Dispatcher *dispatcher = dispatcher_new (&init, &ops, NULL);
  LeasedServer **servers = g_new0 (LeasedServer *, n_servers);
  clock_t begin;

  for (guint i = 0; i < n_servers; i++)
    {
      char *name = g_strdup_printf ("agent-%u", i);

      servers[i] = dispatcher_server_up (dispatcher, i + 1, name, dispatcher);
      send_state (servers[i]);
      g_free (name);
    }
  begin = clock ();
  for (guint i = 0; i < STATES; i++)
    {
      send_state (servers[i % n_servers]);
      dispatcher_pump (dispatcher, 1000);
    }
  begin = clock () - begin;
  dispatcher_free (dispatcher);
  g_free (servers);
  return (double)begin / CLOCKS_PER_SEC;
}

/* Guards against an entry that searches all servers at each state of one. */
static void
test_state_of_one_server (void)
{
  double few = time_of_states (FEW_SERVERS);
  double many = time_of_states (MANY_SERVERS);

  g_test_message ("%.3f s with %d servers, %.3f s with %d", few, FEW_SERVERS, many,
                  MANY_SERVERS);
  g_assert_cmpfloat (many, <, MAX_GROWTH * few);
}

static void
on_up (Link *link, gpointer ctx)
{
}

static void
on_frame (Link *link, const Gw__Frame *frame, gpointer ctx)
{
}

static void
on_down (Link *link, LinkEnd end, gpointer ctx)
{
}

/* Guards against a frame that waits for another iteration of the loop, and costs two
 * system calls more, to be written to a socket that has room. */
static void
test_frame_is_written_at_once (void)
{
  static const LinkOps link_ops = { on_up, on_frame, on_down, NULL };
  struct event_base *base = event_base_new ();
  Gw__Hello hello = GW__HELLO__INIT;
  LinkConfig config = { base, &link_ops, NULL, &hello, 500, 2000 };
  int sockets[2];
  char bytes[4096];
  Link *link;

  hello.name = "a";
  hello.zone = "z";
  hello.frame_address = "";
  g_assert_cmpint (socketpair (AF_UNIX, SOCK_STREAM, 0, sockets), ==, 0);
  link = link_accept (&config, sockets[0]);
  event_base_loop (base, EVLOOP_NONBLOCK);
  g_assert_cmpint (recv (sockets[1], bytes, sizeof bytes, MSG_DONTWAIT), >, 0);
  event_base_loop (base, EVLOOP_NONBLOCK);
  link_touch (link);
  event_base_loop (base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
  g_assert_cmpint (recv (sockets[1], bytes, sizeof bytes, MSG_DONTWAIT), >, 0);
  link_drop (&link);
  close (sockets[1]);
  event_base_free (base);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/scaling/state-of-one-server", test_state_of_one_server);
  g_test_add_func ("/scaling/frame-is-written-at-once", test_frame_is_written_at_once);
  return g_test_run ();
}
