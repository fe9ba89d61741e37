#include "clock.h"
#include "leased_agent_parts.h"
#include "orders.h"
#include "throttle.h"

#include <string.h>

/* Least interval between two frames that are sent to one entry for the state alone. */
#define STATE_MIN_INTERVAL_MS 15
/* A server is nearly full for an entry if others leave less than 1/NEARLY_FULL_PART of
 * its CPU. */
#define NEARLY_FULL_PART 4
/* How often leaving_ms is sent while it counts down, which the entries do themselves. */
#define LEAVING_REFRESH_MS 200

typedef struct
{
  gboolean ready;
  gboolean draining;
  gboolean closed;
  gboolean offered;
  Trust trust;
  guint slowness_percent;
  guint failing_percent;
  guint speed_percent;
  guint speed_runs;
  guint leaving_ms;
  guint restart_lease_ms;
  guint generation;
  Demand capacity;
  Demand used_by_others;
} State;

/* The state last sent to an entry, and the throttle of these sends. */
typedef struct
{
  State state;
  gint64 sent_ms;
  Throttle throttle;
} SentState;

/* Rounds to steps of @step percent, since each change is sent to all entries. */
static guint
percent_in_steps (double share, guint step)
{
  return (guint)(share * 100 / step + 0.5) * step;
}

/* Counts what is reserved for other entries as used by others. */
static void
hide_reserved (const LeasedAgent *agent, guint64 entry, State *state)
{
  Demand reserved = *runner_capacity (agent->runner);
  Demand visible = offers_available_to (agent->offers, entry);

  demand_subtract (&reserved, runner_used (agent->runner));
  demand_subtract (&reserved, &visible);
  demand_add (&state->used_by_others, &reserved);
}

static State
state_for (const LeasedAgent *agent, const MeshPeer *peer)
{
  guint64 entry = peer->incarnation;
  const ServerHealth *health = runner_server_health (agent->runner);
  const ServerSpeed *speed = runner_server_speed (agent->runner);
  State state;

  memset (&state, 0, sizeof state);
  /* A surplus link is closed once its entry has no run here: it must order no more. */
  state.ready = runner_ready (agent->runner) && peer->surplus_ms == 0;
  state.draining = runner_draining (agent->runner);
  state.leaving_ms = runner_leaving_ms (agent->runner, clock_now_ms ());
  state.restart_lease_ms = runner_restart_lease_ms (agent->runner);
  state.generation = runner_generation (agent->runner);
  state.closed = runner_zone_is_closed (agent->runner);
  state.trust = health->trust;
  state.slowness_percent = percent_in_steps (health->slowness, 20);
  state.failing_percent = percent_in_steps (health->failing, 20);
  state.speed_percent = server_speed_percent (speed);
  state.speed_runs = server_speed_runs (speed);
  state.capacity = *runner_capacity (agent->runner);
  state.used_by_others = runner_used_by_others (agent->runner, entry);
  state.offered = offers_is_reserved_for (agent->offers, entry);
  hide_reserved (agent, entry, &state);
  return state;
}

static gboolean
leaving_begins_or_ends (const State *state, const SentState *sent)
{
  return (state->leaving_ms > 0) != (sent->state.leaving_ms > 0);
}

static gboolean
leaving_is_due (const State *state, const SentState *sent)
{
  return state->leaving_ms > 0 && clock_now_ms () - sent->sent_ms >= LEAVING_REFRESH_MS;
}

static gboolean
state_differs (const State *state, const SentState *sent)
{
  State counted_down = *state;

  if (sent == NULL || leaving_begins_or_ends (state, sent)
      || leaving_is_due (state, sent))
    return TRUE;
  counted_down.leaving_ms = sent->state.leaving_ms;
  return memcmp (&sent->state, &counted_down, sizeof counted_down) != 0;
}

static gboolean
is_nearly_full (const State *state)
{
  return state->used_by_others.cpu_milli
         > state->capacity.cpu_milli - state->capacity.cpu_milli / NEARLY_FULL_PART;
}

static gboolean
only_speed_differs (const State *state, const State *sent)
{
  State updated = *sent;

  updated.speed_percent = state->speed_percent;
  updated.speed_runs = state->speed_runs;
  return memcmp (&updated, state, sizeof updated) == 0;
}

/* Whether to send the change at once. With enough free capacity an entry places just as
 * well by the old state, and the new one is piggybacked on the next frame. */
static gboolean
is_urgent (const State *state, const SentState *sent)
{
  if (sent != NULL && only_speed_differs (state, &sent->state))
    return FALSE;
  if (sent == NULL || state->offered || sent->state.ready != state->ready
      || sent->state.generation != state->generation
      || sent->state.draining != state->draining || sent->state.closed != state->closed
      || sent->state.trust != state->trust || leaving_begins_or_ends (state, sent)
      || leaving_is_due (state, sent))
    return TRUE;
  return is_nearly_full (state) || is_nearly_full (&sent->state);
}

static void
schedule_offer_end (LeasedAgent *agent)
{
  struct timeval delay = timeval_from_ms (OFFER_MS);

  if (offers_open (agent->offers)
      && !event_pending (agent->offer_timer, EV_TIMEOUT, NULL))
    event_add (agent->offer_timer, &delay);
}

/* An offer expires after about a round trip, so it is not throttled. */
static gint64
throttled_ms (const State *state, const SentState *sent, gint64 now_ms)
{
  if (sent == NULL || state->offered)
    return 0;
  return sent->sent_ms + throttle_interval_ms (&sent->throttle) - now_ms;
}

void
leased_agent_update_throttle (MeshPeer *peer, gint64 now_ms)
{
  SentState *sent = peer->data;

  if (sent != NULL)
    throttle_on_delay (&sent->throttle, peer->send_delay_ms, now_ms);
}

void
leased_agent_send_state (evutil_socket_t fd, short what, void *ctx)
{
  LeasedAgent *agent = ctx;
  gint64 now = clock_now_ms ();
  gint64 soonest_ms = G_MAXUINT;
  MeshPeer *peer;

  schedule_offer_end (agent);
  for (peer = mesh_first (agent->mesh); peer != NULL; peer = mesh_next (peer))
    {
      const SentState *sent = peer->data;
      State state = state_for (agent, peer);
      gint64 wait_ms;

      if (peer->link == NULL || !state_differs (&state, sent)
          || !is_urgent (&state, sent))
        continue;
      wait_ms = throttled_ms (&state, sent, now);
      if (wait_ms <= 0)
        link_touch (peer->link);
      else
        soonest_ms = MIN (soonest_ms, wait_ms);
    }
  if (soonest_ms < G_MAXUINT && !event_pending (agent->changed, EV_TIMEOUT, NULL))
    {
      struct timeval delay = timeval_from_ms ((guint)soonest_ms);

      event_add (agent->changed, &delay);
    }
}

void
leased_agent_expire_offers (evutil_socket_t fd, short what, void *ctx)
{
  LeasedAgent *agent = ctx;

  offers_tick (agent->offers, clock_now_ms ());
  leased_agent_send_state (-1, 0, agent);
}

static void
put_state (LeasedAgent *agent, MeshPeer *peer, Gw__Frame *frame)
{
  SentState *sent = peer->data;
  State now = state_for (agent, peer);
  const State *state = &now;

  /* While the next instance has not reported, the last one is sent as not ready. */
  if (agent->instance == NULL || !state_differs (state, peer->data))
    return;
  if (sent == NULL)
    {
      peer->data = sent = g_new0 (SentState, 1);
      sent->throttle = throttle_new (STATE_MIN_INTERVAL_MS);
    }
  sent->state = now;
  sent->sent_ms = clock_now_ms ();
  gw__server_state__init (&agent->state);
  agent->state.instance = agent->instance;
  agent->state.service = agent->service;
  agent->state.zone = agent->zone;
  agent->state.labels = agent->labels;
  agent->state.n_labels = agent->labels != NULL ? g_strv_length (agent->labels) : 0;
  agent->state.ready = state->ready;
  agent->state.draining = state->draining;
  agent->state.closed = state->closed;
  agent->state.offered = state->offered;
  agent->state.trust = (Gw__ServerState__Trust)state->trust;
  agent->state.slowness_percent = state->slowness_percent;
  agent->state.failing_percent = state->failing_percent;
  agent->state.speed_percent = state->speed_percent;
  agent->state.speed_runs = state->speed_runs;
  agent->state.leaving_ms = state->leaving_ms;
  agent->state.restart_lease_ms = state->restart_lease_ms;
  agent->state.order_version = ORDER_VERSION;
  agent->state.generation = state->generation;
  demand_to_wire (&state->capacity, &agent->capacity);
  demand_to_wire (&state->used_by_others, &agent->used_by_others);
  agent->state.capacity = &agent->capacity;
  agent->state.used_by_others = &agent->used_by_others;
  frame->server_state = &agent->state;
}

void
leased_agent_prepare (MeshPeer *peer, Gw__Frame *frame, gpointer ctx)
{
  LeasedAgent *agent = ctx;

  closed_zones_to_frame (agent->closed_zones, &peer->closed_zones_sent, 0, frame,
                         clock_now_ms ());
  put_state (agent, peer, frame);
}
