/* Links of the replay that have a width: what is sent waits for what was sent before, and
 * each end learns from the other how late it is heard. */
#include "load_replay_parts.h"

#define HEARTBEAT_MS 120
#define HEADER_BYTES 70

static gboolean
is_limited (const Replay *replay)
{
  return replay->init->link_bytes_per_ms > 0;
}

/* Return: when the last byte arrives. */
static gint64
carry (const Replay *replay, double *free_at, guint bytes)
{
  double begins = MAX (*free_at, (double)replay->now);

  *free_at = begins + (HEADER_BYTES + bytes) / replay->init->link_bytes_per_ms;
  return (gint64)(*free_at + WAY_MS);
}

gint64
link_to_agent (Replay *replay, Entry *entry, guint bytes)
{
  return is_limited (replay) ? carry (replay, &entry->uplink_free_at, bytes)
                             : replay->now + WAY_MS;
}

gint64
link_to_entry (Replay *replay, Entry *entry, guint bytes)
{
  return is_limited (replay) ? carry (replay, &entry->downlink_free_at, bytes)
                             : replay->now + WAY_MS;
}

static guint
lateness (const Replay *replay, const Event *event)
{
  return (guint)MAX (replay->now - event->sent_at - WAY_MS, 0);
}

void
link_heard_by_agent (Replay *replay, const Event *event)
{
  Known *known = known_server (replay, event->entry, event->server);

  if (!is_limited (replay))
    return;
  known->late_there_ms = lateness (replay, event);
  throttle_on_delay (&known->state_pace, known->late_here_ms, replay->now);
}

void
link_heard_by_entry (Replay *replay, const Event *event)
{
  Known *known = known_server (replay, event->entry, event->server);

  if (!is_limited (replay))
    return;
  known->late_here_ms = lateness (replay, event);
  if (!replay->init->ignore_delay)
    dispatcher_server_delay (known->known, event->late_there_ms, replay->now);
}

/* The entry's heartbeat; the agent's follows when it is heard. */
void
link_beat (Replay *replay, const Event *event)
{
  event_at (replay, link_to_agent (replay, event->entry, 0), EVENT_BEAT_HEARD,
            event->entry, event->server);
  event_at (replay, replay->now + HEARTBEAT_MS, EVENT_BEAT, event->entry, event->server);
}

void
link_beat_heard (Replay *replay, const Event *event)
{
  event_at (replay, link_to_entry (replay, event->entry, 0), EVENT_BEAT_ANSWERED,
            event->entry, event->server);
}

void
link_open (Replay *replay, Entry *entry, Server *server)
{
  Known *known = known_server (replay, entry, server);

  known->state_pace = throttle_new (STATE_MS);
  if (is_limited (replay))
    event_at (replay,
              replay->now + (entry->index * 7 + server->index * 11) % HEARTBEAT_MS,
              EVENT_BEAT, entry, server);
}
