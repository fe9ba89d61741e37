#define LOG_MODULE "entry"
#include "entry.h"
#include "answers.h"
#include "clock.h"
#include "entry_parts.h"
#include "log.h"
#include "timeline.h"

#define PROTOCOL_VERSION 1
#define MIN_BODY_LIMIT_BYTES (1 << 20)
#define TICK_MS 20
#define LOADS_MS 500 /* between reports of the groups' load */
#define BACKENDS_TICK_MS 100
#define CLAIM_LIMIT_MS 3000 /* then the keyed request is refused */
#define EXIT_DELAY_MS 100   /* to send the final frames and delete the own row */

/* Frame listener. */

static gboolean
frames_start (gpointer ctx, GError **error)
{
  Entry *entry = ctx;
  const char *advertised = entry->settings->advertise_frames;

  entry->frames = listen_frames (entry->base, entry->settings->listen_frames,
                                 entry_links_accept, entry, error);
  if (entry->frames == NULL)
    return FALSE;
  entry->hello.frame_address
      = (char *)(advertised[0] != '\0' ? advertised : listen_address (entry->frames));
  return TRUE;
}

static void
frames_stop (gpointer ctx)
{
  Entry *entry = ctx;

  g_clear_pointer (&entry->frames, listen_free);
}

static const ComponentOps frames_ops = { "frames", frames_start, frames_stop };

/* HTTP server. */

static void
on_request (struct evhttp_request *request, void *ctx)
{
  Entry *entry = ctx;
  Answer answer;

  if (callers_serve (entry->callers, request)
      || operators_serve (entry->operators, request))
    return;
  answer = answer_refusal (404, "no such page", 0);
  answer_send (request, &answer);
}

/* Jobs beyond limits.max_body_kb are refused with a reason; other requests of operators
 * may be as long as this. */
static void
limit_bodies (Entry *entry)
{
  gsize jobs = (gsize)config_fleet (entry->config)->max_body_kb << 10;

  if (entry->http != NULL)
    http_listener_set_max_body (entry->http, MAX (jobs, MIN_BODY_LIMIT_BYTES));
}

static gboolean
http_start (gpointer ctx, GError **error)
{
  Entry *entry = ctx;
  const char *advertised = entry->settings->advertise_http;
  const HttpListenerInit init = { on_request, entry };

  entry->http
      = http_listener_new (entry->base, entry->settings->listen_http, &init, error);
  if (entry->http == NULL)
    return FALSE;
  if (config_known (entry->config))
    limit_bodies (entry);
  entry->hello.http_address = advertised[0] != '\0'
                                  ? (char *)advertised
                                  : (char *)http_listener_address (entry->http);
  return TRUE;
}

static void
http_stop (gpointer ctx)
{
  Entry *entry = ctx;

  g_clear_pointer (&entry->http, http_listener_free);
}

static const ComponentOps http_ops = { "http", http_start, http_stop };

/* Configuration and membership. */

static gboolean
platform_start (gpointer ctx, GError **error)
{
  Entry *entry = ctx;

  config_start (entry->config);
  members_start (entry->members);
  return TRUE;
}

static void
platform_stop (gpointer ctx)
{
}

static const ComponentOps platform_ops = { "platform", platform_start, platform_stop };

/* Periodic work. */

static gboolean
nothing_in_flight (const Entry *entry)
{
  return holder_open_jobs (entry->holder) == 0 && home_open_tasks (entry->home) == 0
         && callers_open (entry->callers) == 0
         && reconcile_open_queries (entry->reconcile) == 0;
}

static void
leave_and_exit (Entry *entry)
{
  struct timeval delay = timeval_from_ms (EXIT_DELAY_MS);

  if (entry->row_dropped)
    return;
  entry->row_dropped = TRUE;
  members_leave (entry->members, TRUE);
  log_notice ("drain finished");
  event_base_loopexit (entry->base, &delay);
}

static void
drain_tick (Entry *entry, gint64 now)
{
  gint64 elapsed = now - entry->draining_ms;

  if (entry->draining_ms == 0 || elapsed < entry->settings->drain_grace_ms)
    return;
  callers_stop_accepting (entry->callers);
  if (nothing_in_flight (entry) || elapsed > entry->settings->drain_limit_ms)
    leave_and_exit (entry);
}

static void
apply_ranking_change (Entry *entry)
{
  if (!entry->ranking_changed)
    return;
  entry->ranking_changed = FALSE;
  home_ranking_changed (entry->home);
}

static void
on_tick (evutil_socket_t fd, short what, void *ctx)
{
  Entry *entry = ctx;
  gint64 now = clock_now_ms ();

  apply_ranking_change (entry);
  if (now - entry->backends_ticked_ms >= BACKENDS_TICK_MS)
    {
      entry->backends_ticked_ms = now;
      backends_tick (entry->backends, now);
    }
  home_tick (entry->home, now);
  holder_tick (entry->holder, now);
  reconcile_tick (entry->reconcile, now);
  if (now - entry->loads_sent_ms >= LOADS_MS)
    {
      entry->loads_sent_ms = now;
      entry_send_loads (entry);
    }
  drain_tick (entry, now);
}

static gboolean
ticks_start (gpointer ctx, GError **error)
{
  Entry *entry = ctx;
  struct timeval interval = timeval_from_ms (TICK_MS);

  return event_add (entry->tick, &interval) == 0;
}

static void
ticks_stop (gpointer ctx)
{
  Entry *entry = ctx;

  event_del (entry->tick);
}

static const ComponentOps ticks_ops = { "ticks", ticks_start, ticks_stop };

static void
on_local (evutil_socket_t fd, short what, void *ctx)
{
  entry_deliver_outcomes (ctx);
}

/* Configuration callbacks. */

static void
config_adopted (gpointer ctx)
{
  Entry *entry = ctx;

  home_reconfigured (entry->home);
  backends_reconfigured (entry->backends);
  limit_bodies (entry);
  entry->ranking_changed = TRUE;
  entry_push_config (entry);
  if (g_hash_table_contains (config_fleet (entry->config)->drained_entries,
                             entry->hello.name))
    entry_drain (entry);
}

static gboolean
config_peers_complete (gpointer ctx)
{
  Entry *entry = ctx;

  return members_complete (entry->members, config_version (entry->config));
}

static gboolean
config_peers_have (guint64 version, gpointer ctx)
{
  Entry *entry = ctx;

  return members_have_config (entry->members, version);
}

static const ConfigOps config_ops
    = { config_adopted, config_peers_complete, config_peers_have };

static gboolean
is_ready (gpointer ctx)
{
  Entry *entry = ctx;

  return entry->draining_ms == 0 && config_known (entry->config)
         && config_confirmed (entry->config);
}

static void
fill_hello (Entry *entry)
{
  gw__hello__init (&entry->hello);
  entry->hello.role = GW__HELLO__ROLE__ENTRY;
  entry->hello.name = entry->settings->name;
  entry->hello.zone = entry->settings->zone;
  entry->hello.incarnation = entry->incarnation;
  entry->hello.protocol = PROTOCOL_VERSION;
}

static void
create_platform (Entry *entry)
{
  const Settings *settings = entry->settings;
  ConfigTimes times = { settings->config_poll_ms, settings->config_unconfirmed_ms };
  const char *address
      = settings->table_address[0] != '\0' ? settings->table_address : NULL;

  entry->table = table_new (entry->base, address, settings->table_timeout_ms);
  entry->config = config_new (entry->base, entry->table, &times, &config_ops, entry);
  entry->members = members_new (entry->base, &entry->links, entry->table, settings,
                                &entry_members_ops, entry);
  entry->claims = claims_new (entry->base, entry->table, CLAIM_LIMIT_MS,
                              settings->table_writes_per_s);
}

static void
create_scheduling (Entry *entry)
{
  const Settings *settings = entry->settings;
  BackendsInit backends
      = { entry->base,    &entry->links,           entry->incarnation,
          settings->zone, settings->agent_lost_ms, settings->announcement_ms };
  HomeInit home = { entry->base, settings->timeout_ms, entry->incarnation };
  ReconcileInit reconcile = { settings->agent_lost_ms };

  entry->backends = backends_new (&backends, &entry_backends_ops, entry);
  entry->home = home_new (&home, entry->backends, &entry_home_ops, entry);
  entry->holder = holder_new (entry->incarnation, &entry_holder_ops, entry);
  entry->reconcile = reconcile_new (&reconcile, &entry->links, entry->holder);
}

static void
create_http_handlers (Entry *entry)
{
  CallersInit callers = { entry->base,   entry->holder, entry->members,
                          entry->claims, entry->config, entry->incarnation };
  OperatorsInit operators
      = { entry->holder, entry->home,   entry->backends,          entry->members,
          entry->config, &entry->hello, entry_route_announcement, is_ready,
          entry };

  entry->callers = callers_new (&callers);
  entry->operators = operators_new (&operators);
}

Entry *
entry_new (struct event_base *base, const Settings *settings)
{
  Entry *entry = g_new0 (Entry, 1);

  entry->base = base;
  entry->settings = settings;
  entry->incarnation = incarnation_new ();
  entry->links.base = base;
  entry->links.ops = &entry_link_ops;
  entry->links.ctx = entry;
  entry->links.hello = &entry->hello;
  entry->links.heartbeat_ms = settings->heartbeat_ms;
  entry->links.timeout_ms = settings->timeout_ms;
  entry->unidentified = g_ptr_array_new_with_free_func ((GDestroyNotify)link_unref);
  entry->roster_acks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  entry->tick = event_new (base, -1, EV_PERSIST, on_tick, entry);
  entry->local = event_new (base, -1, 0, on_local, entry);
  STAILQ_INIT (&entry->local_outcomes);
  fill_hello (entry);
  create_platform (entry);
  create_scheduling (entry);
  create_http_handlers (entry);
  entry->supervisor = supervisor_new (base, "entry");
  supervisor_add (entry->supervisor, &frames_ops, entry);
  supervisor_add (entry->supervisor, &http_ops, entry);
  supervisor_add (entry->supervisor, &platform_ops, entry);
  supervisor_add (entry->supervisor, &ticks_ops, entry);
  return entry;
}

void
entry_free (Entry *entry)
{
  if (entry == NULL)
    return;
  supervisor_free (entry->supervisor);
  /* Pending calls end first: their callbacks still use the other modules. */
  table_free (entry->table);
  callers_free (entry->callers);
  operators_free (entry->operators);
  claims_free (entry->claims);
  reconcile_free (entry->reconcile);
  backends_free (entry->backends);
  entry_deliver_outcomes (entry);
  home_free (entry->home);
  holder_free (entry->holder);
  members_free (entry->members);
  config_free (entry->config);
  g_ptr_array_unref (entry->unidentified);
  g_hash_table_unref (entry->roster_acks);
  event_free (entry->tick);
  event_free (entry->local);
  g_free (entry);
}

gboolean
entry_start (Entry *entry, GError **error)
{
  if (!supervisor_start (entry->supervisor, error))
    return FALSE;
  log_notice ("%s listens, http %s frames %s", entry->hello.name,
              http_listener_address (entry->http), listen_address (entry->frames));
  timeline_add ("entry-started", NULL, -1, entry->hello.name);
  return TRUE;
}

static gboolean
another_entry_is_up (Entry *entry)
{
  const Member *member;

  for (member = members_first (entry->members); member != NULL;
       member = members_next (member))
    if (member->state == MEMBER_UP && !member->draining)
      return TRUE;
  return FALSE;
}

void
entry_drain (Entry *entry)
{
  if (entry->draining_ms > 0)
    return;
  entry->draining_ms = clock_now_ms ();
  log_notice ("leaving: what is in flight is finished first");
  timeline_add ("entry-leaving", NULL, -1, entry->hello.name);
  if (another_entry_is_up (entry))
    home_set_leaving (entry->home);
  members_leave (entry->members, FALSE);
}

gboolean
entry_gave_up (const Entry *entry)
{
  return supervisor_gave_up (entry->supervisor);
}
