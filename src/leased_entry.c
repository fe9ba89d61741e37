#define LOG_MODULE "entry"
#include "clock.h"
#include "counters.h"
#include "events.h"
#include "jobid.h"
#include "leased_entry_parts.h"

#include <string.h>

#define TICK_MS DISPATCHER_TICK_MS
/* Entries that one entry chooses to link to. With a dozen all stay connected when half of
 * them are lost at once, and a change reaches a thousand over three links. */
#define MAX_ENTRIES 12
/* Heartbeat interval and timeout between entries, in multiples of those to agents. They
 * need no leases from each other and send changes at once. */
#define ENTRY_HEARTBEAT_FACTOR 4
/* Time for the final frames and answers to be sent before the process exits. */
#define FINAL_FLUSH_MS 100
#define LAST_WRITE_MS 10
/* Between the last job's deadline and the final flush, for an entry that is short of
 * processor time. */
#define FINAL_ANSWERS_MS 200

/* Callbacks of the dispatcher. */

static Gw__TaskRun *
message_task_run (const RunKey *key)
{
  Gw__TaskRun *run = g_new (Gw__TaskRun, 1);

  gw__task_run__init (run);
  run->index = key->index;
  run->run = key->run;
  return run;
}

static void
on_order (LeasedServer *server,
          const LeasedSpec *spec,
          const RunKey *runs,
          gsize n_runs,
          guint expected_ms,
          const ResourceRequest *resources,
          gint64 valid_until_ms,
          gpointer ctx)
{
  MeshPeer *peer = leased_server_user_data (server);
  Gw__RunOrder *order = g_new (Gw__RunOrder, 1);

  gw__run_order__init (order);
  order->job = g_strdup (spec->id);
  order->payload = g_strdup (spec->payload);
  order->valid_until_ms = valid_until_ms;
  order->generation = leased_server_status (server)->generation;
  order->expected_ms = expected_ms;
  order->wish = resource_request_to_wire (resources);
  order->demand = g_new (Gw__Demand, 1);
  demand_to_wire (&spec->demand, order->demand);
  order->n_runs = n_runs;
  order->runs = g_new (Gw__TaskRun *, n_runs);
  for (gsize i = 0; i < n_runs; i++)
    order->runs[i] = message_task_run (&runs[i]);
  counter_add (COUNTER_RUN_ORDERS_SENT, 1);
  link_append (peer->link, LINK_RUN_ORDERS, &order->base);
}

static void
on_request_resources (LeasedServer *server,
                      const ResourceRequest *resources,
                      gpointer ctx)
{
  MeshPeer *peer = leased_server_user_data (server);
  Gw__RunOrder *order = g_new (Gw__RunOrder, 1);

  gw__run_order__init (order);
  order->generation = leased_server_status (server)->generation;
  order->wish = resource_request_to_wire (resources);
  counter_add (COUNTER_RESOURCE_REQUESTS_SENT, 1);
  link_append (peer->link, LINK_RUN_ORDERS, &order->base);
}

static void
on_stop (LeasedServer *server, const RunKey *key, gpointer ctx)
{
  MeshPeer *peer = leased_server_user_data (server);
  Gw__RunStop *stop = g_new (Gw__RunStop, 1);

  gw__run_stop__init (stop);
  stop->job = g_strdup (key->job);
  stop->n_runs = 1;
  stop->runs = g_new (Gw__TaskRun *, 1);
  stop->runs[0] = message_task_run (key);
  link_append (peer->link, LINK_RUN_STOPS, &stop->base);
}

static void
on_schedule_pump (gpointer ctx)
{
  LeasedEntry *entry = ctx;

  event_active (entry->pump, EV_TIMEOUT, 0);
}

static const DispatcherOps dispatcher_ops
    = { on_order, on_request_resources, on_stop, on_schedule_pump };

static void
on_pump (evutil_socket_t fd, short what, void *ctx)
{
  LeasedEntry *entry = ctx;

  dispatcher_pump (entry->dispatcher, clock_now_ms ());
}

/* Frames. */

static void
take_server_state (MeshPeer *peer, const Gw__ServerState *state)
{
  ServerStatus status = { .instance = g_strdup (state->instance),
                          .service = g_strdup (state->service),
                          .zone = g_strdup (state->zone),
                          .capacity = demand_from_wire (state->capacity),
                          .used_by_others = demand_from_wire (state->used_by_others),
                          .ready = state->ready,
                          .draining = state->draining,
                          .offered = state->offered,
                          .closed = state->closed,
                          .trust = (Trust)state->trust,
                          .slowness_percent = state->slowness_percent,
                          .speed_percent = state->speed_percent,
                          .speed_runs = state->speed_runs,
                          .leaving_ms = state->leaving_ms,
                          .restart_lease_ms = state->restart_lease_ms,
                          .order_version = state->order_version,
                          .generation = state->generation,
                          .failing_percent = state->failing_percent };

  status.labels = g_new0 (char *, state->n_labels + 1);
  for (gsize i = 0; i < state->n_labels; i++)
    status.labels[i] = g_strdup (state->labels[i]);
  dispatcher_server_status (peer->data, &status);
}

static TaskEvent
task_event (Gw__RunReport__Kind kind)
{
  switch (kind)
    {
    case GW__RUN_REPORT__KIND__STARTED:
      return TASK_STARTED;
    case GW__RUN_REPORT__KIND__NOT_STARTED:
      return TASK_NOT_STARTED;
    case GW__RUN_REPORT__KIND__DONE:
      return TASK_DONE;
    case GW__RUN_REPORT__KIND__FAILED:
      return TASK_FAILED;
    case GW__RUN_REPORT__KIND__STRAGGLES:
      return TASK_STRAGGLES;
    case GW__RUN_REPORT__KIND__SERVER_ENDED:
      return TASK_SERVER_ENDED;
    case GW__RUN_REPORT__KIND__SERVER_SILENT:
      return TASK_SERVER_SILENT;
    default:
      return TASK_LOST;
    }
}

static void
take_reports (MeshPeer *peer, const Gw__Frame *frame)
{
  TaskReport *reports = g_new0 (TaskReport, frame->n_run_reports + 1);

  for (gsize i = 0; i < frame->n_run_reports; i++)
    {
      const Gw__RunReport *report = frame->run_reports[i];

      g_strlcpy (reports[i].key.job, report->job, sizeof reports[i].key.job);
      reports[i].key.index = report->index;
      reports[i].key.run = report->run;
      reports[i].event = task_event (report->kind);
      reports[i].reason = report->reason;
      reports[i].remaining_ms = report->remaining_ms;
      reports[i].elsewhere_ms = report->elsewhere_ms;
      reports[i].run_ms = report->run_ms;
    }
  dispatcher_reports (peer->data, reports, frame->n_run_reports, frame->inventory,
                      clock_now_ms ());
  g_free (reports);
}

static void
take_agent_frame (LeasedEntry *entry, MeshPeer *peer, const Gw__Frame *frame)
{
  if (frame->time != NULL)
    dispatcher_server_clock (peer->data, frame->time->now_ms, clock_now_ms ());
  dispatcher_server_delay (peer->data, peer->send_delay_ms, clock_now_ms ());
  if (frame->server_state != NULL)
    {
      leased_entry_speeds_state (entry, frame->server_state);
      take_server_state (peer, frame->server_state);
    }
  if (frame->n_run_reports > 0 || frame->inventory)
    take_reports (peer, frame);
}

static void
on_frame (MeshPeer *peer, const Gw__Frame *frame, gpointer ctx)
{
  /* Before the server states: a server in a zone that was just reopened must count as
   * open. */
  leased_entry_zones_frame (ctx, frame);
  if (peer->is_entry)
    {
      leased_entry_config_frame (ctx, peer, frame);
      leased_entry_load_frame (ctx, peer, frame);
    }
  else
    take_agent_frame (ctx, peer, frame);
}

static void
on_up (MeshPeer *peer, gpointer ctx)
{
  LeasedEntry *entry = ctx;

  memset (&peer->closed_zones_sent, 0, sizeof peer->closed_zones_sent);
  peer->speed_sent = FALSE;
  leased_entry_load_up (entry, peer);
  if (!peer->is_entry)
    peer->data
        = dispatcher_server_up (entry->dispatcher, peer->incarnation, peer->name, peer);
}

static void
on_down (MeshPeer *peer, gpointer ctx)
{
  if (peer->is_entry)
    {
      leased_entry_config_down (ctx, peer);
      leased_entry_load_down (ctx, peer);
    }
  else
    dispatcher_server_down (peer->data, clock_now_ms ());
}

static void
on_prepare (MeshPeer *peer, Gw__Frame *frame, gpointer ctx)
{
  LeasedEntry *entry = ctx;

  frame->leaving = entry->draining_ms > 0;
  leased_entry_config_prepare (entry, peer, frame);
  leased_entry_zones_prepare (entry, peer, frame);
  leased_entry_load_prepare (entry, peer, frame);
  if (!peer->is_entry && peer->data != NULL)
    {
      leased_entry_speeds_prepare (entry, peer, frame);
      dispatcher_server_lease_extended (peer->data, peer->lease_until);
    }
}

static void
on_forgotten (MeshPeer *peer, gpointer ctx)
{
}

static void
on_isolated (gpointer ctx)
{
  LeasedEntry *entry = ctx;

  entry->ops->look_up_entries (entry->ctx);
}

static const MeshOps mesh_ops
    = { on_up, on_down, on_frame, on_prepare, on_forgotten, on_isolated, NULL };

static gboolean
drain_is_over (LeasedEntry *entry, gint64 elapsed_ms)
{
  if (elapsed_ms >= entry->drain_limit_ms - FINAL_FLUSH_MS)
    return TRUE;
  return dispatcher_jobs (entry->dispatcher) == 0
         && entry->ops->callers_are_quiet (entry->ctx);
}

/* Requests that were read in this iteration are answered in the next. */
static void
on_flushed (evutil_socket_t fd, short what, void *ctx)
{
  LeasedEntry *entry = ctx;
  struct timeval delay = timeval_from_ms (LAST_WRITE_MS);

  event_base_loopexit (entry->base, &delay);
}

static void
drain_tick (LeasedEntry *entry, gint64 now)
{
  gint64 elapsed = now - entry->draining_ms;
  struct timeval delay = timeval_from_ms (FINAL_FLUSH_MS);

  if (entry->draining_ms == 0 || entry->ended || elapsed < entry->drain_grace_ms)
    return;
  if (!entry->closed)
    entry->ops->stop_accepting (entry->ctx);
  entry->closed = TRUE;
  if (!drain_is_over (entry, elapsed))
    return;
  entry->ended = TRUE;
  event_note ("stopped", "-", "jobs=%u after_ms=%" G_GINT64_FORMAT,
              dispatcher_jobs (entry->dispatcher), elapsed);
  entry->ops->refuse_callers (entry->ctx);
  event_base_once (entry->base, -1, EV_TIMEOUT, on_flushed, entry, &delay);
}

static void
on_tick (evutil_socket_t fd, short what, void *ctx)
{
  LeasedEntry *entry = ctx;
  gint64 now = clock_now_ms ();

  if (entry->ticked_ms > 0)
    process_stats_note_lag (entry->stats, now - entry->ticked_ms - TICK_MS);
  entry->ticked_ms = now;
  if (now - entry->mesh_ticked_ms >= MESH_TICK_MS)
    {
      entry->mesh_ticked_ms = now;
      mesh_tick (entry->mesh, now);
      leased_entry_config_tick (entry, now);
    }
  leased_entry_load_tick (entry, now);
  dispatcher_tick (entry->dispatcher, now);
  drain_tick (entry, now);
}

static void
fill_hello (LeasedEntry *entry, const Settings *settings)
{
  gw__hello__init (&entry->hello);
  entry->hello.role = GW__HELLO__ROLE__ENTRY;
  entry->hello.name = g_strdup (settings->name);
  entry->hello.zone = g_strdup (settings->zone);
  entry->hello.frame_address = g_strdup (settings->listen_frames);
  entry->hello.incarnation = entry->incarnation;
  entry->hello.protocol = MESH_PROTOCOL;
}

LeasedEntry *
leased_entry_new (struct event_base *base,
                  const Settings *settings,
                  const LeasedEntryOps *ops,
                  gpointer ctx)
{
  LeasedEntry *entry = g_new0 (LeasedEntry, 1);
  DispatcherInit dispatcher = { .server_lease_ms = settings->server_lease_ms,
                                .speed_runs = settings->speed_runs,
                                .far_factor = settings->far_factor,
                                .run_shapes = settings->run_shapes > 0 };
  MeshInit mesh
      = { .base = base,
          .hello = &entry->hello,
          .heartbeat_ms = settings->heartbeat_ms,
          .timeout_ms = settings->timeout_ms,
          .lease_ms = settings->entry_lease_ms,
          .forget_ms = 4 * (settings->entry_lease_ms + settings->server_lease_ms),
          .max_entries = MAX_ENTRIES,
          .entry_heartbeat_ms = ENTRY_HEARTBEAT_FACTOR * settings->heartbeat_ms,
          .entry_timeout_ms = ENTRY_HEARTBEAT_FACTOR * settings->timeout_ms };

  entry->base = base;
  entry->ops = ops;
  entry->ctx = ctx;
  entry->incarnation = incarnation_new ();
  entry->listen_frames = g_strdup (settings->listen_frames);
  entry->advertised = g_strdup (settings->advertise_frames);
  entry->drain_grace_ms = settings->drain_grace_ms;
  entry->drain_limit_ms = settings->drain_limit_ms;
  fill_hello (entry, settings);
  entry->mesh = mesh_new (&mesh, &mesh_ops, entry);
  mesh_seed (entry->mesh, settings->peers);
  entry->closed_zones = closed_zones_new ();
  dispatcher.closures = entry->closed_zones;
  leased_entry_load_init (entry, settings->load_shared_ms);
  dispatcher.load_view = entry->load_view;
  entry->dispatcher = dispatcher_new (&dispatcher, &dispatcher_ops, entry);
  entry->tick = event_new (base, -1, EV_PERSIST, on_tick, entry);
  entry->pump = event_new (base, -1, 0, on_pump, entry);
  entry->stats = process_stats_new (base);
  if (settings->speed_runs > 0)
    entry->speeds = speeds_seen_new ();
  return entry;
}

void
leased_entry_free (LeasedEntry *entry)
{
  if (entry == NULL)
    return;
  process_stats_free (entry->stats);
  listen_free (entry->frames);
  dispatcher_free (entry->dispatcher);
  mesh_free (entry->mesh);
  load_view_free (entry->load_view);
  closed_zones_free (entry->closed_zones);
  speeds_seen_free (entry->speeds);
  catalog_unref (entry->catalog);
  event_free (entry->tick);
  event_free (entry->pump);
  g_free (entry->hello.name);
  g_free (entry->hello.zone);
  g_free (entry->hello.frame_address);
  g_free (entry->listen_frames);
  g_free (entry->advertised);
  g_free (entry);
}

static void
on_accept (evutil_socket_t fd, gpointer ctx)
{
  LeasedEntry *entry = ctx;

  mesh_accept (entry->mesh, fd);
}

gboolean
leased_entry_start (LeasedEntry *entry, GError **error)
{
  struct timeval interval = timeval_from_ms (TICK_MS);

  entry->frames
      = listen_frames (entry->base, entry->listen_frames, on_accept, entry, error);
  if (entry->frames == NULL)
    return FALSE;
  g_free (entry->hello.frame_address);
  entry->hello.frame_address = g_strdup (
      entry->advertised[0] != '\0' ? entry->advertised : listen_address (entry->frames));
  mesh_advertise (entry->mesh);
  event_add (entry->tick, &interval);
  event_note ("started", "-", "incarnation=%" G_GINT64_MODIFIER "x frames=%s version=%s",
              entry->incarnation, listen_address (entry->frames), GODWITSPAR_VERSION);
  return TRUE;
}

void
leased_entry_reload (LeasedEntry *entry, const Settings *settings)
{
  mesh_seed (entry->mesh, settings->peers);
}

void
leased_entry_drain (LeasedEntry *entry)
{
  if (entry->draining_ms > 0)
    return;
  entry->draining_ms = clock_now_ms ();
  dispatcher_set_end (entry->dispatcher, entry->draining_ms
                                             + MAX (entry->drain_grace_ms,
                                                    entry->drain_limit_ms - FINAL_FLUSH_MS
                                                        - FINAL_ANSWERS_MS));
  event_note ("leaving", "-", "jobs=%u", dispatcher_jobs (entry->dispatcher));
  leased_entry_send_all (entry);
}

const char *
leased_entry_listen_address (const LeasedEntry *entry)
{
  return listen_address (entry->frames);
}

const char *
leased_entry_frame_address (const LeasedEntry *entry)
{
  return entry->hello.frame_address;
}

void
leased_entry_learn (LeasedEntry *entry, const char *address)
{
  mesh_learn (entry->mesh, address);
}

Dispatcher *
leased_entry_dispatcher (LeasedEntry *entry)
{
  return entry->dispatcher;
}

gboolean
leased_entry_draining (const LeasedEntry *entry)
{
  return entry->draining_ms > 0;
}

gboolean
leased_entry_ready (const LeasedEntry *entry)
{
  return entry->draining_ms == 0 && entry->catalog != NULL
         && dispatcher_servers (entry->dispatcher) > 0;
}
