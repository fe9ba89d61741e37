#define LOG_MODULE "agent"
#include "clock.h"
#include "events.h"
#include "jobid.h"
#include "leased_agent_parts.h"

#include <string.h>

/* Most entries that one agent links to. Each costs a link, heartbeats and state updates;
 * with fewer, an entry with many callers reaches less of the free capacity. */
#define MAX_ENTRIES 12
/* Without an update of the closed zones from any entry for ZONES_STALE_MS, the agent
 * looks them up on the platform every ZONES_LOOKUP_MS. */
#define ZONES_STALE_MS 1200
#define ZONES_LOOKUP_MS 1000
/* Time for the reports of the last runs to be sent before the process exits. */
#define FINAL_FLUSH_MS 100

/* Callbacks of the runner. */

static Gw__RunReport *
message_report (const RunReport *report)
{
  Gw__RunReport *message = g_new (Gw__RunReport, 1);

  gw__run_report__init (message);
  message->job = g_strdup (report->key.job);
  message->index = report->key.index;
  message->run = report->key.run;
  message->kind = (Gw__RunReport__Kind)report->kind;
  message->reason = g_strdup (report->reason);
  message->run_ms = report->run_ms;
  return message;
}

static void
update_free_capacity (LeasedAgent *agent)
{
  Demand room = *runner_capacity (agent->runner);

  demand_subtract (&room, runner_used (agent->runner));
  offers_set_free (agent->offers, &room);
}

/* The report of a start is not urgent: it goes with the next frame, often the one that
 * reports the end of the run. */
static void
on_report (guint64 entry, const RunReport *report, gpointer ctx)
{
  LeasedAgent *agent = ctx;
  MeshPeer *peer = mesh_find (agent->mesh, entry);

  if (report->kind != REPORT_STARTED && report->kind != REPORT_NOT_STARTED)
    {
      update_free_capacity (agent);
      offers_capacity_freed (agent->offers, clock_now_ms ());
    }
  if (peer == NULL || peer->link == NULL)
    return;
  if (report->kind == REPORT_STARTED)
    link_append_lazily (peer->link, LINK_RUN_REPORTS, &message_report (report)->base);
  else
    link_append (peer->link, LINK_RUN_REPORTS, &message_report (report)->base);
}

/* A changed state is piggybacked on the next frame; an urgent change is sent at once. */
static void
on_runner_changed (gpointer ctx)
{
  LeasedAgent *agent = ctx;

  update_free_capacity (agent);
  event_active (agent->changed, EV_TIMEOUT, 0);
}

static void
on_straggles (guint64 entry,
              const RunKey *key,
              guint remaining_ms,
              guint elsewhere_ms,
              gpointer ctx)
{
  LeasedAgent *agent = ctx;
  MeshPeer *peer = mesh_find (agent->mesh, entry);
  RunReport report = { *key, REPORT_STRAGGLES, "" };
  Gw__RunReport *message;

  if (peer == NULL || peer->link == NULL)
    return;
  message = message_report (&report);
  message->remaining_ms = remaining_ms;
  message->elsewhere_ms = elsewhere_ms;
  link_append (peer->link, LINK_RUN_REPORTS, &message->base);
}

static void
on_no_room (guint64 entry, const ResourceRequest *resources, gpointer ctx)
{
  LeasedAgent *agent = ctx;

  offers_request (agent->offers, entry, resources, clock_now_ms ());
}

/* Links. */

static void
add_to_inventory (const RunReport *report, gpointer ctx)
{
  MeshPeer *peer = ctx;

  link_append (peer->link, LINK_RUN_REPORTS, &message_report (report)->base);
}

static void
on_up (MeshPeer *peer, gpointer ctx)
{
  LeasedAgent *agent = ctx;

  memset (&peer->closed_zones_sent, 0, sizeof peer->closed_zones_sent);
  g_clear_pointer (&peer->data, g_free);
  runner_each_run (agent->runner, peer->incarnation, add_to_inventory, peer);
  link_send_inventory (peer->link);
}

static void
on_down (MeshPeer *peer, gpointer ctx)
{
}

static void
on_forgotten (MeshPeer *peer, gpointer ctx)
{
  g_clear_pointer (&peer->data, g_free);
}

/* The zone is the one that the backend server reports for itself. */
static void
apply_zones (LeasedAgent *agent)
{
  gboolean closed
      = agent->zone != NULL && closed_zones_has (agent->closed_zones, agent->zone);

  runner_set_zone_closed (agent->runner, closed);
}

/* What waits for an earlier server may need what this one does not have. */
static void
drop_outdated_offers (LeasedAgent *agent)
{
  guint generation = runner_generation (agent->runner);

  if (agent->generation == generation)
    return;
  agent->generation = generation;
  offers_clear (agent->offers);
}

static gboolean
is_outdated (const LeasedAgent *agent, const Gw__RunOrder *order)
{
  return order->generation != 0 && order->generation != runner_generation (agent->runner);
}

static void
on_facts (const ServerFacts *facts, gpointer ctx)
{
  LeasedAgent *agent = ctx;

  g_free (agent->instance);
  agent->instance = g_strdup (facts->instance);
  g_free (agent->service);
  agent->service = g_strdup (facts->service);
  g_free (agent->zone);
  agent->zone = g_strdup (facts->zone);
  g_strfreev (agent->labels);
  agent->labels = g_strdupv ((char **)facts->labels);
  drop_outdated_offers (agent);
  apply_zones (agent);
}

static const RunnerOps runner_ops
    = { on_report, on_straggles, on_no_room, on_runner_changed, on_facts };

static void
zones_changed (LeasedAgent *agent)
{
  apply_zones (agent);
  mesh_send_all (agent->mesh);
}

static void
check_zones (LeasedAgent *agent, gint64 now)
{
  if (closed_zones_age_ms (agent->closed_zones, now) < ZONES_STALE_MS
      || now - agent->zones_lookup_ms < ZONES_LOOKUP_MS)
    return;
  agent->zones_lookup_ms = now;
  agent->ops->look_up_zones (agent->ctx);
}

static void
take_order (LeasedAgent *agent, guint64 entry, const Gw__RunOrder *order, gint64 now)
{
  RunRequest request = { .entry = entry,
                         .payload = order->payload,
                         .demand = demand_from_wire (order->demand),
                         .expected_ms = order->expected_ms,
                         .resources = resource_request_from_wire (order->wish),
                         .valid_until_ms = order->valid_until_ms,
                         .generation = order->generation };
  guint before = runner_count (agent->runner);

  if (order->n_runs == 0 && !is_outdated (agent, order))
    on_no_room (entry, &request.resources, agent);
  g_strlcpy (request.key.job, order->job, sizeof request.key.job);
  for (gsize i = 0; i < order->n_runs; i++)
    {
      request.key.index = order->runs[i]->index;
      request.key.run = order->runs[i]->run;
      runner_start (agent->runner, &request, now);
    }
  on_runner_changed (agent);
  if (runner_count (agent->runner) > before)
    offers_used (agent->offers, entry, &request.resources, now);
}

static void
take_stop (LeasedAgent *agent, guint64 entry, const Gw__RunStop *stop, gint64 now)
{
  RunKey key;

  g_strlcpy (key.job, stop->job, sizeof key.job);
  for (gsize i = 0; i < stop->n_runs; i++)
    {
      key.index = stop->runs[i]->index;
      key.run = stop->runs[i]->run;
      runner_stop (agent->runner, entry, &key, now);
    }
}

void
leased_agent_take_speed (LeasedAgent *agent, const Gw__SpeedSeen *seen)
{
  runner_speed_seen (agent->runner, seen->instance, seen->speed_percent,
                     seen->speed_runs);
}

void
leased_agent_take_frame (MeshPeer *peer, const Gw__Frame *frame, gpointer ctx)
{
  LeasedAgent *agent = ctx;
  gint64 now = clock_now_ms ();

  leased_agent_update_throttle (peer, now);
  if (closed_zones_from_frame (agent->closed_zones, frame, now))
    zones_changed (agent);
  if (frame->time != NULL && frame->time->granted_until_ms > 0)
    runner_extend_lease (agent->runner, peer->incarnation, frame->time->granted_until_ms);
  if (frame->speed_seen != NULL)
    leased_agent_take_speed (agent, frame->speed_seen);
  /* A frame may order a run and stop it. */
  for (gsize i = 0; i < frame->n_run_orders; i++)
    take_order (agent, peer->incarnation, frame->run_orders[i], now);
  for (gsize i = 0; i < frame->n_run_stops; i++)
    take_stop (agent, peer->incarnation, frame->run_stops[i], now);
}

static void
on_isolated (gpointer ctx)
{
  LeasedAgent *agent = ctx;

  agent->ops->look_up_entries (agent->ctx);
}

static gboolean
may_release (MeshPeer *peer, gpointer ctx)
{
  LeasedAgent *agent = ctx;

  return !runner_has_work (agent->runner, peer->incarnation);
}

static const MeshOps mesh_ops = {
  on_up,       on_down,    leased_agent_take_frame, leased_agent_prepare, on_forgotten,
  on_isolated, may_release
};

/* Periodic work. */

static void
drain_tick (LeasedAgent *agent, gint64 now)
{
  struct timeval delay = timeval_from_ms (FINAL_FLUSH_MS);

  if (agent->draining_ms == 0 || agent->ended
      || (runner_count (agent->runner) > 0
          && now - agent->draining_ms < agent->drain_limit_ms))
    return;
  agent->ended = TRUE;
  event_note ("stopped", "-", "runs=%u after_ms=%" G_GINT64_FORMAT,
              runner_count (agent->runner), now - agent->draining_ms);
  event_base_loopexit (agent->base, &delay);
}

static void
on_tick (evutil_socket_t fd, short what, void *ctx)
{
  LeasedAgent *agent = ctx;
  gint64 now = clock_now_ms ();

  if (agent->ticked_ms > 0)
    process_stats_note_lag (agent->stats, now - agent->ticked_ms - RUNNER_TICK_MS);
  agent->ticked_ms = now;
  if (now - agent->mesh_ticked_ms >= MESH_TICK_MS)
    {
      agent->mesh_ticked_ms = now;
      mesh_tick (agent->mesh, now);
      check_zones (agent, now);
    }
  runner_tick (agent->runner, now);
  drain_tick (agent, now);
}

static void
fill_hello (LeasedAgent *agent, const Settings *settings)
{
  gw__hello__init (&agent->hello);
  agent->hello.role = GW__HELLO__ROLE__AGENT;
  agent->hello.name = g_strdup (settings->name);
  agent->hello.zone = g_strdup (settings->zone);
  agent->hello.incarnation = agent->incarnation;
  agent->hello.protocol = MESH_PROTOCOL;
}

LeasedAgent *
leased_agent_new (struct event_base *base,
                  const Settings *settings,
                  const ServerCalls *calls,
                  gpointer server,
                  const LeasedAgentOps *ops,
                  gpointer ctx)
{
  LeasedAgent *agent = g_new0 (LeasedAgent, 1);
  RunnerInit runner = { .calls = calls,
                        .server = server,
                        .lease_ms = settings->server_lease_ms,
                        .lease_max_ms = settings->server_lease_max_ms,
                        .speed_runs = settings->speed_runs,
                        .drain_ms = settings->server_drain_ms };
  MeshInit mesh = { .base = base,
                    .hello = &agent->hello,
                    .heartbeat_ms = settings->heartbeat_ms,
                    .timeout_ms = settings->timeout_ms,
                    .lease_ms = settings->entry_lease_ms,
                    .forget_ms = 4 * settings->entry_lease_ms,
                    .max_entries = MAX_ENTRIES };

  agent->base = base;
  agent->ops = ops;
  agent->ctx = ctx;
  agent->incarnation = incarnation_new ();
  agent->drain_limit_ms = settings->drain_limit_ms;
  fill_hello (agent, settings);
  agent->runner = runner_new (&runner, &runner_ops, agent);
  agent->mesh = mesh_new (&mesh, &mesh_ops, agent);
  mesh_seed (agent->mesh, settings->peers);
  agent->tick = event_new (base, -1, EV_PERSIST, on_tick, agent);
  agent->changed = event_new (base, -1, 0, leased_agent_send_state, agent);
  agent->offer_timer = evtimer_new (base, leased_agent_expire_offers, agent);
  agent->offers = offers_new ();
  agent->closed_zones = closed_zones_new ();
  agent->stats = process_stats_new (base);
  return agent;
}

void
leased_agent_close (LeasedAgent *agent)
{
  runner_close (agent->runner);
}

void
leased_agent_free (LeasedAgent *agent)
{
  if (agent == NULL)
    return;
  process_stats_free (agent->stats);
  mesh_free (agent->mesh);
  runner_free (agent->runner);
  event_free (agent->tick);
  event_free (agent->changed);
  event_free (agent->offer_timer);
  offers_free (agent->offers);
  closed_zones_free (agent->closed_zones);
  g_free (agent->hello.name);
  g_free (agent->hello.zone);
  g_free (agent->instance);
  g_free (agent->service);
  g_free (agent->zone);
  g_strfreev (agent->labels);
  g_free (agent);
}

gboolean
leased_agent_start (LeasedAgent *agent, GError **error)
{
  struct timeval interval = timeval_from_ms (RUNNER_TICK_MS);

  event_add (agent->tick, &interval);
  event_note ("started", "-", "incarnation=%" G_GINT64_MODIFIER "x version=%s",
              agent->incarnation, GODWITSPAR_VERSION);
  return TRUE;
}

void
leased_agent_reload (LeasedAgent *agent, const Settings *settings)
{
  mesh_seed (agent->mesh, settings->peers);
}

void
leased_agent_drain (LeasedAgent *agent)
{
  if (agent->draining_ms > 0)
    return;
  agent->draining_ms = clock_now_ms ();
  event_note ("leaving", "-", "runs=%u", runner_count (agent->runner));
  runner_drain (agent->runner);
}

gboolean
leased_agent_facts (LeasedAgent *agent, const ServerFacts *facts)
{
  return runner_facts (agent->runner, facts, clock_now_ms ());
}

void
leased_agent_server_leaves (LeasedAgent *agent, const char *instance)
{
  runner_server_left (agent->runner, instance, clock_now_ms ());
}

void
leased_agent_learn (LeasedAgent *agent, const char *address)
{
  mesh_learn (agent->mesh, address);
}

void
leased_agent_update_zones (LeasedAgent *agent,
                           const ZoneChange *changes,
                           gsize n_changes,
                           gboolean whole,
                           guint64 version)
{
  if (closed_zones_apply (agent->closed_zones, changes, n_changes, whole, version,
                          clock_now_ms ()))
    zones_changed (agent);
}

const ClosedZones *
leased_agent_closed_zones (const LeasedAgent *agent)
{
  return agent->closed_zones;
}
