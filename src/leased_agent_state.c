#include "clock.h"
#include "leased_agent_parts.h"
#include "throttle.h"

#include <string.h>

/* The state of the server is told to an entry at most this often by a frame of its own.
 */
#define STATE_LEAST_MS 15
/* Room is tight when less than this part of the server is free. */
#define TIGHT_PART 4

typedef struct
{
  gboolean ready;
  gboolean draining;
  gboolean closed;
  gboolean offered;
  Trust trust;
  guint slowness_percent;
  guint failing_percent;
  Demand capacity;
  Demand used_by_others;
} State;

/* What an entry was told last, and how often it can be told. */
typedef struct
{
  State state;
  gint64 told_ms;
  Throttle pace;
} ToldState;

/* Told in steps: each step is news to all entries. */
static guint
in_steps (double share, guint step)
{
  return (guint)(share * 100 / step + 0.5) * step;
}

/* What is kept for other entries is in use for this one. */
static void
hide_kept_room (const LeasedAgent *agent, guint64 entry, State *state)
{
  Demand kept = *runner_capacity (agent->runner);
  Demand visible = offers_available_to (agent->offers, entry);

  demand_subtract (&kept, runner_used (agent->runner));
  demand_subtract (&kept, &visible);
  demand_add (&state->used_by_others, &kept);
}

static State
state_for (const LeasedAgent *agent, const MeshPeer *peer)
{
  guint64 entry = peer->incarnation;
  const ServerHealth *quality = runner_quality (agent->runner);
  State state;

  memset (&state, 0, sizeof state);
  state.ready = runner_ready (agent->runner) && peer->surplus_ms == 0;
  state.draining = runner_draining (agent->runner);
  state.closed = runner_zone_is_closed (agent->runner);
  state.trust = quality->trust;
  state.slowness_percent = in_steps (quality->slowness, 20);
  state.failing_percent = in_steps (quality->failing, 20);
  state.capacity = *runner_capacity (agent->runner);
  state.used_by_others = runner_used_by_others (agent->runner, entry);
  state.offered = offers_is_reserved_for (agent->offers, entry);
  hide_kept_room (agent, entry, &state);
  return state;
}

static gboolean
state_is_news (const State *state, const ToldState *told)
{
  return told == NULL || memcmp (&told->state, state, sizeof *state) != 0;
}

static gboolean
is_tight (const State *state)
{
  return state->used_by_others.cpu_milli
         > state->capacity.cpu_milli - state->capacity.cpu_milli / TIGHT_PART;
}

/* Whether an entry must know now. With much room left it places just as well by what it
 * knows, and the news rides on the next frame. */
static gboolean
is_urgent (const State *state, const ToldState *told)
{
  if (told == NULL || state->offered || told->state.ready != state->ready
      || told->state.draining != state->draining || told->state.closed != state->closed
      || told->state.trust != state->trust)
    return TRUE;
  return is_tight (state) || is_tight (&told->state);
}

static void
schedule_offer_end (LeasedAgent *agent)
{
  struct timeval delay = timeval_from_ms (OFFER_MS);

  if (offers_open (agent->offers) && !event_pending (agent->offer_ends, EV_TIMEOUT, NULL))
    event_add (agent->offer_ends, &delay);
}

/* An offer is taken within a round trip or lapses: it cannot wait for its turn. */
static gint64
left_ms (const State *state, const ToldState *told, gint64 now_ms)
{
  if (told == NULL || state->offered)
    return 0;
  return told->told_ms + throttle_interval_ms (&told->pace) - now_ms;
}

void
leased_agent_hear_pace (MeshPeer *peer, gint64 now_ms)
{
  ToldState *told = peer->data;

  if (told != NULL)
    throttle_on_delay (&told->pace, peer->told_late_ms, now_ms);
}

void
leased_agent_tell_state (evutil_socket_t fd, short what, void *ctx)
{
  LeasedAgent *agent = ctx;
  gint64 now = clock_now_ms ();
  gint64 soonest_ms = G_MAXUINT;
  MeshPeer *peer;

  schedule_offer_end (agent);
  for (peer = mesh_first (agent->mesh); peer != NULL; peer = mesh_next (peer))
    {
      const ToldState *told = peer->data;
      State state = state_for (agent, peer);
      gint64 wait_ms;

      if (peer->link == NULL || !state_is_news (&state, told)
          || !is_urgent (&state, told))
        continue;
      wait_ms = left_ms (&state, told, now);
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
leased_agent_end_offer (evutil_socket_t fd, short what, void *ctx)
{
  LeasedAgent *agent = ctx;

  offers_tick (agent->offers, clock_now_ms ());
  leased_agent_tell_state (-1, 0, agent);
}

static void
put_state (LeasedAgent *agent, MeshPeer *peer, Gw__Frame *frame)
{
  const char *instance = runner_instance (agent->runner);
  ToldState *told = peer->data;
  State now = state_for (agent, peer);
  const State *state = &now;

  if (instance == NULL || !state_is_news (state, peer->data))
    return;
  if (told == NULL)
    {
      peer->data = told = g_new0 (ToldState, 1);
      told->pace = throttle_new (STATE_LEAST_MS);
    }
  told->state = now;
  told->told_ms = clock_now_ms ();
  gw__server_state__init (&agent->state);
  agent->state.instance = (char *)instance;
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

  closed_zones_to_frame (agent->closures, &peer->closures, 0, frame, clock_now_ms ());
  put_state (agent, peer, frame);
}
