/* The server state that an agent of the leased path sends to the entries. */
#include "clock.h"
#include "leased_agent_parts.h"

#include <string.h>

#define ENTRY 7
#define CPU_MILLI 16000
#define CALLS_MAX 16

/* A fake server that runs nothing: the test answers its calls. */
typedef struct
{
  ServerCall calls[CALLS_MAX];
  guint n_calls;
  guint n_answered;
} Server;

static void
on_start (const ServerCall *call, const RunKey *key, const char *payload, gpointer server)
{
}

static void
on_stop (const ServerCall *call, const RunKey *key, gpointer server)
{
}

static void
on_hold (const ServerCall *call, guint64 ends_seen, guint wait_ms, gpointer data)
{
  Server *server = data;

  g_assert_cmpuint (server->n_calls, <, CALLS_MAX);
  server->calls[server->n_calls++] = *call;
}

static const ServerCalls calls = { on_start, on_stop, on_hold };

static void
look_up_entries (gpointer ctx)
{
}

static void
look_up_zones (gpointer ctx)
{
}

static const LeasedAgentOps ops = { look_up_entries, look_up_zones };

static void
answer_all (Server *server)
{
  guint n = server->n_calls; /* each answer leads to another call */

  while (server->n_answered < n)
    {
      const ServerCall *call = &server->calls[server->n_answered++];
      CallReply reply
          = { .end = CALL_DONE, .server_ms = 1000, .now_ms = clock_now_ms () };

      call->replied (&reply, call->ctx, call->cookie);
    }
}

/* A fresh server must be reported as free before its agent has received any run order or
 * resource request. Free capacity used to be computed only when a run started or ended,
 * so entries saw the server as full, and those that sent no request placed nothing there.
 */
static void
test_fresh_server_is_free (void)
{
  static const char *const labels[] = { "a", NULL };
  struct event_base *base = event_base_new ();
  Settings settings = { .name = (char *)"agent-1",
                        .zone = (char *)"a",
                        .peers = (char *[]){ NULL },
                        .heartbeat_ms = 100,
                        .timeout_ms = 500,
                        .entry_lease_ms = 450,
                        .server_lease_ms = 700 };
  ServerFacts facts = { .instance = "i-1",
                        .service = "exchange",
                        .zone = "a",
                        .labels = labels,
                        .capacity = { CPU_MILLI, 1000, 0 },
                        .server_ms = 1000,
                        .sequence = 1 };
  Server server = { 0 };
  LeasedAgent *agent = leased_agent_new (base, &settings, &calls, &server, &ops, NULL);
  MeshPeer peer = { .incarnation = ENTRY };
  Gw__Frame frame;

  gw__frame__init (&frame);
  leased_agent_facts (agent, &facts);
  answer_all (&server);
  leased_agent_prepare (&peer, &frame, agent);
  g_assert_nonnull (frame.server_state);
  g_assert_true (frame.server_state->ready);
  g_assert_cmpuint (frame.server_state->capacity->cpu_milli, ==, CPU_MILLI);
  g_assert_cmpuint (frame.server_state->used_by_others->cpu_milli, ==, 0);
  g_free (peer.data);
  leased_agent_close (agent);
  answer_all (&server); /* ignored after the close */
  leased_agent_free (agent);
  event_base_free (base);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/leased-agent/fresh-server-is-free", test_fresh_server_is_free);
  return g_test_run ();
}
