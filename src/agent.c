#define LOG_MODULE "agent"
#include "agent_parts.h"
#include "answers.h"
#include "clock.h"
#include "json_text.h"
#include "log.h"
#include "operators.h"
#include "timeline.h"

#include <string.h>

#define MAX_BODY_BYTES (1 << 20)
#define TICK_MS 100
#define DISCOVER_MS 1000
#define DISCOVER_TIMEOUT_MS 1000
/* How long unacknowledged outcomes delay the exit of an idle agent. */
#define UNACKED_LIMIT_MS 5000

Owner *
agent_owner (Agent *agent)
{
  return executor_owner (agent->executor);
}

/* Discovery: any entry, or the load balancer in front of them, lists all entries. */

static void
learn_row (Agent *agent, JsonObject *row)
{
  const char *name = json_object_get_string_member_with_default (row, "entry", "");
  const char *frames = json_object_get_string_member_with_default (row, "frames", "");
  const char *state = json_object_get_string_member_with_default (row, "state", "");

  if (frames[0] != '\0' && strcmp (state, "down") != 0)
    agent_peers_learn (agent->peers, name, frames, strcmp (state, "leaving") == 0);
}

static void
on_discovered (const HttpAnswer *answer, gpointer ctx)
{
  Agent *agent = ctx;
  JsonNode *root = answer->end == HTTP_ANSWERED && answer->status == 200
                       ? json_text_parse (answer->body, answer->size, NULL)
                       : NULL;
  JsonArray *rows;

  if (root != NULL && JSON_NODE_HOLDS_ARRAY (root))
    {
      rows = json_node_get_array (root);
      for (guint i = 0; i < json_array_get_length (rows); i++)
        learn_row (agent, json_array_get_object_element (rows, i));
    }
  g_clear_pointer (&root, json_node_unref);
}

static void
discover (Agent *agent, gint64 now)
{
  HttpCall call = { .method = EVHTTP_REQ_GET,
                    .path = "/v1/rows/entries",
                    .timeout_ms = DISCOVER_TIMEOUT_MS,
                    .done = on_discovered,
                    .ctx = agent };

  if (agent_peers_linked (agent->peers) > 0 || now - agent->discovered_ms < DISCOVER_MS)
    return;
  agent->discovered_ms = now;
  for (HttpPool **pool = agent->discovery; *pool != NULL; pool++)
    http_pool_call (*pool, &call);
}

/* Timer. */

static void
drain_tick (Agent *agent, gint64 now)
{
  Owner *owner = agent_owner (agent);
  gboolean idle = owner_busy (owner) == 0;

  if (agent->draining_ms == 0)
    return;
  if (idle && agent->idle_ms == 0)
    agent->idle_ms = now;
  if ((idle && (owner_unacked (owner) == 0 || now - agent->idle_ms > UNACKED_LIMIT_MS))
      || now - agent->draining_ms > agent->settings->drain_limit_ms)
    {
      log_notice ("drain finished");
      event_base_loopexit (agent->base, NULL);
    }
}

static void
on_tick (evutil_socket_t fd, short what, void *ctx)
{
  Agent *agent = ctx;
  gint64 now = clock_now_ms ();

  discover (agent, now);
  agent_peers_tick (agent->peers, now);
  drain_tick (agent, now);
}

/* HTTP. */

static void
set_leaving (Agent *agent, gboolean leaving)
{
  AgentLink *record;

  owner_set_leaving (agent_owner (agent), leaving);
  agent->backend.leaving = leaving;
  log_notice ("the backend server %s", leaving ? "is leaving" : "is back");
  for (record = agent_peers_first (agent->peers); record != NULL;
       record = TAILQ_NEXT (record, link_entry))
    agent_send_load (agent, record, TRUE);
}

static void
serve_leaving (Agent *agent, struct evhttp_request *request)
{
  char *value = http_query_value (request, "leaving");
  Answer answer = { 200 };

  if (value != NULL && (strcmp (value, "1") == 0 || strcmp (value, "0") == 0))
    {
      set_leaving (agent, value[0] == '1');
      answer.body = g_strdup ("{\"announced\":true}");
    }
  else
    {
      answer = answer_refusal (400, "expected ?leaving=1 or ?leaving=0", 0);
    }
  answer_send (request, &answer);
  g_free (value);
}

static void
on_request (struct evhttp_request *request, void *ctx)
{
  Agent *agent = ctx;
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));
  gboolean post = evhttp_request_get_command (request) == EVHTTP_REQ_POST;
  Answer answer;

  if (operators_serve_common (request))
    return;
  if (strcmp (path, "/v1/announce") == 0 && post)
    {
      serve_leaving (agent, request);
      return;
    }
  if (strcmp (path, "/ready") == 0)
    answer = answer_refusal (agent_peers_linked (agent->peers) > 0 ? 200 : 503,
                             "links to entries", 0);
  else
    answer = answer_refusal (404, "no such page", 0);
  answer_send (request, &answer);
}

static gboolean
http_start (gpointer ctx, GError **error)
{
  Agent *agent = ctx;
  const char *advertised = agent->settings->advertise_http;
  const HttpListenerInit init = { on_request, agent, MAX_BODY_BYTES };

  agent->http
      = http_listener_new (agent->base, agent->settings->listen_http, &init, error);
  if (agent->http == NULL)
    return FALSE;
  agent->hello.http_address = advertised[0] != '\0'
                                  ? (char *)advertised
                                  : (char *)http_listener_address (agent->http);
  return TRUE;
}

static void
http_stop (gpointer ctx)
{
  Agent *agent = ctx;

  g_clear_pointer (&agent->http, http_listener_free);
}

static const ComponentOps http_ops = { "http", http_start, http_stop };

static void
on_accept (evutil_socket_t fd, gpointer ctx)
{
  Agent *agent = ctx;

  agent_peers_accept (agent->peers, fd);
}

static gboolean
frames_start (gpointer ctx, GError **error)
{
  Agent *agent = ctx;
  const char *advertised = agent->settings->advertise_frames;

  agent->frames = listen_frames (agent->base, agent->settings->listen_frames, on_accept,
                                 agent, error);
  if (agent->frames == NULL)
    return FALSE;
  agent->hello.frame_address
      = (char *)(advertised[0] != '\0' ? advertised : listen_address (agent->frames));
  agent->backend.agent_address = agent->hello.frame_address;
  return TRUE;
}

static void
frames_stop (gpointer ctx)
{
  Agent *agent = ctx;

  g_clear_pointer (&agent->frames, listen_free);
}

static const ComponentOps frames_ops = { "frames", frames_start, frames_stop };

static gboolean
ticks_start (gpointer ctx, GError **error)
{
  Agent *agent = ctx;
  struct timeval interval = timeval_from_ms (TICK_MS);

  on_tick (-1, 0, agent);
  return event_add (agent->tick, &interval) == 0;
}

static void
ticks_stop (gpointer ctx)
{
  Agent *agent = ctx;

  event_del (agent->tick);
}

static const ComponentOps ticks_ops = { "ticks", ticks_start, ticks_stop };

static void
fill_hello (Agent *agent)
{
  const Settings *settings = agent->settings;

  gw__backend__init (&agent->backend);
  agent->backend.name = settings->name;
  agent->backend.service = settings->backend_service;
  agent->backend.zone = settings->zone;
  agent->backend.slots = settings->backend_slots;
  agent->backend.connections = settings->backend_connections;
  agent->backend.memory_mb = settings->backend_memory_mb;
  agent->backend.http_address = settings->backend_address;
  agent->backend.incarnation = agent->incarnation;
  gw__hello__init (&agent->hello);
  agent->hello.role = GW__HELLO__ROLE__AGENT;
  agent->hello.name = settings->name;
  agent->hello.zone = settings->zone;
  agent->hello.incarnation = agent->incarnation;
  agent->hello.backend = &agent->backend;
}

static void
create_discovery (Agent *agent)
{
  guint n = g_strv_length (agent->settings->entries);

  agent->discovery = g_new0 (HttpPool *, n + 1);
  for (guint i = 0; i < n; i++)
    agent->discovery[i] = http_pool_new (agent->base, agent->settings->entries[i], 1);
}

Agent *
agent_new (struct event_base *base, const Settings *settings)
{
  Agent *agent = g_new0 (Agent, 1);
  ExecutorInit executor = { settings->backend_address, settings->backend_slots,
                            settings->backend_connections };

  agent->base = base;
  agent->settings = settings;
  agent->incarnation = incarnation_new ();
  agent->links.base = base;
  agent->links.ops = &agent_link_ops;
  agent->links.ctx = agent;
  agent->links.hello = &agent->hello;
  agent->links.heartbeat_ms = settings->heartbeat_ms;
  agent->links.timeout_ms = settings->timeout_ms;
  agent->executor = executor_new (base, &executor, agent_on_report, agent);
  agent->peers = agent_peers_new (&agent->links);
  agent->tick = event_new (base, -1, EV_PERSIST, on_tick, agent);
  fill_hello (agent);
  create_discovery (agent);
  agent->supervisor = supervisor_new (base, "agent");
  supervisor_add (agent->supervisor, &frames_ops, agent);
  supervisor_add (agent->supervisor, &http_ops, agent);
  supervisor_add (agent->supervisor, &ticks_ops, agent);
  return agent;
}

void
agent_free (Agent *agent)
{
  if (agent == NULL)
    return;
  supervisor_free (agent->supervisor);
  for (HttpPool **pool = agent->discovery; *pool != NULL; pool++)
    http_pool_free (*pool);
  executor_free (agent->executor);
  agent_peers_free (agent->peers);
  event_free (agent->tick);
  g_free (agent->discovery);
  g_free (agent);
}

gboolean
agent_start (Agent *agent, GError **error)
{
  if (!supervisor_start (agent->supervisor, error))
    return FALSE;
  log_notice ("%s listens, http %s frames %s", agent->hello.name,
              http_listener_address (agent->http), listen_address (agent->frames));
  timeline_add ("agent-started", NULL, -1, agent->hello.name);
  return TRUE;
}

void
agent_drain (Agent *agent)
{
  if (agent->draining_ms > 0)
    return;
  agent->draining_ms = clock_now_ms ();
  timeline_add ("agent-leaving", NULL, -1, agent->hello.name);
  set_leaving (agent, TRUE);
}

gboolean
agent_gave_up (const Agent *agent)
{
  return supervisor_gave_up (agent->supervisor);
}
