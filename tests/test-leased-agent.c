/* The server state that an agent of the leased path sends to the entries. */
#include "cases.h"
#include "clock.h"
#include "counters.h"
#include "leased_agent_parts.h"
#include "runner_parts.h"

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
  guint n_starts;
  guint n_stops;
} Server;

static void
note_call (Server *server, const ServerCall *call)
{
  g_assert_cmpuint (server->n_calls, <, CALLS_MAX);
  server->calls[server->n_calls++] = *call;
}

static void
on_start (const ServerCall *call, const RunKey *key, const char *payload, gpointer data)
{
  Server *server = data;

  server->n_starts++;
  note_call (server, call);
}

static void
on_stop (const ServerCall *call, const RunKey *key, gpointer data)
{
  Server *server = data;

  server->n_stops++;
  note_call (server, call);
}

static void
on_hold (const ServerCall *call, guint64 ends_seen, guint wait_ms, gpointer data)
{
  note_call (data, call);
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
answer_all_as (Server *server, CallEnd end)
{
  guint n = server->n_calls; /* each answer leads to another call */

  while (server->n_answered < n)
    {
      const ServerCall *call = &server->calls[server->n_answered++];
      CallReply reply = { .end = end, .server_ms = 1000, .now_ms = clock_now_ms () };

      call->replied (&reply, call->ctx, call->cookie);
    }
}

static void
answer_all (Server *server)
{
  answer_all_as (server, CALL_DONE);
}

/* An agent with a ready server, and one entry. */
typedef struct
{
  struct event_base *base;
  Server server;
  LeasedAgent *agent;
  MeshPeer peer;
} Scene;

/* The server reports, and answers the calls that follow. */
static void
report_server (Scene *scene, const char *instance, const char *label, guint sequence)
{
  const char *labels[] = { label, NULL };
  ServerFacts facts = { .instance = instance,
                        .service = "exchange",
                        .zone = "a",
                        .labels = labels,
                        .capacity = { CPU_MILLI, 1000, 0 },
                        .server_ms = 1000,
                        .sequence = sequence };

  leased_agent_facts (scene->agent, &facts);
  answer_all (&scene->server);
}

static void
scene_open (Scene *scene, guint speed_runs)
{
  Settings settings = { .name = (char *)"agent-1",
                        .zone = (char *)"a",
                        .peers = (char *[]){ NULL },
                        .heartbeat_ms = 100,
                        .timeout_ms = 500,
                        .entry_lease_ms = 450,
                        .server_lease_ms = 700,
                        .speed_runs = speed_runs };

  memset (scene, 0, sizeof *scene);
  scene->base = event_base_new ();
  scene->agent
      = leased_agent_new (scene->base, &settings, &calls, &scene->server, &ops, NULL);
  scene->peer.incarnation = ENTRY;
  report_server (scene, "i-1", "a", 1);
}

static void
scene_close (Scene *scene)
{
  g_free (scene->peer.data);
  leased_agent_close (scene->agent);
  answer_all (&scene->server);
  leased_agent_free (scene->agent);
  event_base_free (scene->base);
}

/* Return: the state in the next frame to the entry; NULL: it is unchanged. */
static const Gw__ServerState *
next_state (Scene *scene)
{
  Gw__Frame frame;

  gw__frame__init (&frame);
  leased_agent_prepare (&scene->peer, &frame, scene->agent);
  return frame.server_state;
}

static void
receive_speed (Scene *scene, const char *instance, guint percent, guint runs)
{
  Gw__SpeedSeen seen;

  gw__speed_seen__init (&seen);
  seen.instance = (char *)instance;
  seen.speed_percent = percent;
  seen.speed_runs = runs;
  leased_agent_take_speed (scene->agent, &seen);
}

typedef struct
{
  const char *name;
  const char *instance;
  guint setting;
  guint percent;
  guint runs;
  gboolean adopted;
} SpeedCase;

static const SpeedCase speed_cases[] = {
  /* Guards against a slow server that counts as usual after its agent's restart. */
  { "kept-over-a-restart", "i-1", 12, 160, 255, TRUE },
  { "other-instance", "i-0", 12, 160, 255, FALSE },
  { "out-of-range", "i-1", 12, 2005, 255, FALSE },
  { "older-build", "i-1", 12, 0, 0, FALSE },
  { "no-instance", "", 12, 160, 255, FALSE },
  { "off", "i-1", 0, 160, 255, FALSE },
};

static void
test_speed_seen (gconstpointer data)
{
  const SpeedCase *c = data;
  guint64 adopted = counter_values[COUNTER_SPEEDS_ADOPTED];
  guint64 rejected = counter_values[COUNTER_SPEEDS_REJECTED];
  const Gw__ServerState *state;
  Scene scene;

  scene_open (&scene, c->setting);
  state = next_state (&scene);
  g_assert_nonnull (state);
  g_assert_cmpuint (state->speed_percent, ==, 0);
  g_assert_cmpuint (state->speed_runs, ==, 0);
  receive_speed (&scene, c->instance, c->percent, c->runs);
  state = next_state (&scene);
  g_assert_cmpint (state != NULL, ==, c->adopted);
  if (state != NULL)
    {
      g_assert_cmpuint (state->speed_percent, ==, c->percent);
      g_assert_cmpuint (state->speed_runs, ==, c->runs);
      g_assert_cmpuint (state->slowness_percent, ==, 100);
    }
  g_assert_cmpuint (counter_values[COUNTER_SPEEDS_ADOPTED] - adopted, ==, c->adopted);
  g_assert_cmpuint (counter_values[COUNTER_SPEEDS_REJECTED] - rejected, ==, !c->adopted);
  g_assert_null (next_state (&scene));
  scene_close (&scene);
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

/* A frame of the entry that orders one run and grants a lease. */
typedef struct
{
  Gw__TaskRun run;
  Gw__TaskRun *runs[1];
  Gw__Demand demand;
  Gw__Wish wish;
  Gw__RunOrder order;
  Gw__RunOrder *orders[1];
  Gw__LeaseTime time;
  Gw__Frame frame;
} OrderFrame;

static void
order_frame_init (OrderFrame *f, guint generation)
{
  gint64 until_ms = clock_now_ms () + 10000;

  gw__task_run__init (&f->run);
  gw__demand__init (&f->demand);
  gw__wish__init (&f->wish);
  gw__run_order__init (&f->order);
  gw__lease_time__init (&f->time);
  gw__frame__init (&f->frame);
  f->run.run = 1;
  f->runs[0] = &f->run;
  f->demand.cpu_milli = 1000;
  f->order.job = (char *)"j";
  f->order.payload = (char *)"p";
  f->order.runs = f->runs;
  f->order.n_runs = 1;
  f->order.demand = &f->demand;
  f->order.wish = &f->wish;
  f->order.valid_until_ms = until_ms;
  f->order.generation = generation;
  f->orders[0] = &f->order;
  f->time.granted_until_ms = until_ms;
  f->frame.time = &f->time;
  f->frame.run_orders = f->orders;
  f->frame.n_run_orders = 1;
}

static void
send_order (Scene *scene, guint generation)
{
  OrderFrame f;

  order_frame_init (&f, generation);
  leased_agent_take_frame (&scene->peer, &f.frame, scene->agent);
}

/* Guards against a task that runs twice at once: an entry ordered a run and cancelled it
 * in one frame, the stop was handled first and had no effect. */
static void
test_stop_with_its_order (void)
{
  Scene scene;
  OrderFrame f;
  Gw__RunStop stop = GW__RUN_STOP__INIT;
  Gw__RunStop *stops[] = { &stop };

  scene_open (&scene, 0);
  order_frame_init (&f, 0);
  stop.job = f.order.job;
  stop.runs = f.runs;
  stop.n_runs = 1;
  f.frame.run_stops = stops;
  f.frame.n_run_stops = 1;
  leased_agent_take_frame (&scene.peer, &f.frame, scene.agent);
  g_assert_cmpuint (scene.server.n_starts, ==, 1);
  answer_all (&scene.server);
  runner_tick (scene.agent->runner, clock_now_ms ());
  g_assert_cmpuint (scene.server.n_stops, ==, 1);
  scene_close (&scene);
}

/* What is reported between the state that an entry decides by and the arrival of its
 * order. */
typedef struct
{
  const char *name;
  const char *instance;
  const char *label;
  gboolean says_generation; /* entries of earlier versions do not */
  gboolean starts;
} ReplacedCase;

static const ReplacedCase replaced_cases[] = {
  { "unchanged", "i-1", "a", TRUE, TRUE },
  { "restarted-as-another-kind", "i-2", "b", TRUE, FALSE },
  { "restarted", "i-2", "a", TRUE, FALSE },
  { "label-changed", "i-1", "b", TRUE, FALSE },
  { "earlier-entry", "i-2", "a", FALSE, TRUE },
};

/* Guards against a task that is started on a server without the label that it requires:
 * the order was decided by the state of an earlier start of the server. */
static void
test_replaced (gconstpointer data)
{
  const ReplacedCase *c = data;
  Scene scene;
  guint generation;
  guint64 refused = counter_values[COUNTER_STARTS_REPLACED];

  scene_open (&scene, 0);
  generation = c->says_generation ? next_state (&scene)->generation : 0;
  report_server (&scene, c->instance, c->label, 2);
  answer_all (&scene.server);
  send_order (&scene, generation);
  g_assert_cmpuint (scene.server.n_starts, ==, c->starts);
  g_assert_cmpuint (counter_values[COUNTER_STARTS_REPLACED] - refused, ==, !c->starts);
  scene_close (&scene);
}

/* Guards against orders for a server that is gone: its agent said nothing to the entries
 * until the next one had reported. */
static void
test_replaced_is_not_ready (void)
{
  Scene scene;
  const Gw__ServerState *state;

  scene_open (&scene, 0);
  g_assert_true (next_state (&scene)->ready);
  runner_send_poll (scene.agent->runner);
  answer_all_as (&scene.server, CALL_OTHER_INSTANCE);
  state = next_state (&scene);
  g_assert_nonnull (state);
  g_assert_false (state->ready);
  g_assert_null (next_state (&scene));
  report_server (&scene, "i-2", "a", 1);
  answer_all (&scene.server);
  state = next_state (&scene);
  g_assert_true (state->ready);
  g_assert_cmpstr (state->instance, ==, "i-2");
  scene_close (&scene);
}

static void
request_room (Scene *scene, guint generation)
{
  OrderFrame f;

  order_frame_init (&f, generation);
  f.order.n_runs = 0;
  f.wish.tasks = f.wish.first_tasks = 1;
  f.wish.need = &f.demand;
  f.wish.stands_ms = 1000;
  leased_agent_take_frame (&scene->peer, &f.frame, scene->agent);
}

/* Guards against room of a new server that is kept free for a job that it cannot run: the
 * entry had asked for room on the server before. */
static void
test_offer_ends_with_its_server (void)
{
  Scene scene;
  guint generation;

  scene_open (&scene, 0);
  generation = next_state (&scene)->generation;
  request_room (&scene, generation);
  g_assert_true (next_state (&scene)->offered);
  report_server (&scene, "i-2", "b", 1);
  answer_all (&scene.server);
  g_assert_false (next_state (&scene)->offered);
  request_room (&scene, generation);
  g_assert_null (next_state (&scene));
  request_room (&scene, generation + 1);
  g_assert_true (next_state (&scene)->offered);
  scene_close (&scene);
}

/* Guards against entries that never hear of a new start of the server, since all that was
 * compared with the last state sent is as before. */
static void
test_other_kind_is_sent (void)
{
  Scene scene;
  const Gw__ServerState *state;
  guint generation;

  scene_open (&scene, 0);
  generation = next_state (&scene)->generation;
  report_server (&scene, "i-2", "b", 1);
  answer_all (&scene.server);
  state = next_state (&scene);
  g_assert_nonnull (state);
  g_assert_true (state->ready);
  g_assert_cmpstr (state->instance, ==, "i-2");
  g_assert_cmpstr (state->labels[0], ==, "b");
  g_assert_cmpuint (state->generation, >, generation);
  scene_close (&scene);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/leased-agent/fresh-server-is-free", test_fresh_server_is_free);
  g_test_add_func ("/leased-agent/stop-with-its-order", test_stop_with_its_order);
  ADD_CASES ("/leased-agent/order-for-an-earlier-server", replaced_cases, test_replaced);
  g_test_add_func ("/leased-agent/replaced-server-is-not-ready",
                   test_replaced_is_not_ready);
  g_test_add_func ("/leased-agent/offer-ends-with-its-server",
                   test_offer_ends_with_its_server);
  g_test_add_func ("/leased-agent/other-kind-is-sent", test_other_kind_is_sent);
  ADD_CASES ("/leased-agent/speed", speed_cases, test_speed_seen);
  return g_test_run ();
}
