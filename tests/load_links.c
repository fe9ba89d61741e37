/* Links of limited bandwidth: frames queue behind earlier ones, and each end reports to
 * the other the delay that it observes. */
#include "load_replay_parts.h"

#define HEARTBEAT_MS 120
#define HEADER_BYTES 70

static gboolean
is_limited (const Replay *replay)
{
  return replay->init->link_bytes_per_ms > 0;
}

/* Return: arrival time of the last byte. */
static gint64
transmit (const Replay *replay, double *free_at, guint bytes)
{
  double begins = MAX (*free_at, (double)replay->now);

  *free_at = begins + (HEADER_BYTES + bytes) / replay->init->link_bytes_per_ms;
  return (gint64)(*free_at + ONE_WAY_MS);
}

gint64
link_to_agent (Replay *replay, Entry *entry, guint bytes)
{
  return is_limited (replay) ? transmit (replay, &entry->uplink_free_at, bytes)
                             : replay->now + ONE_WAY_MS;
}

gint64
link_to_entry (Replay *replay, Entry *entry, guint bytes)
{
  return is_limited (replay) ? transmit (replay, &entry->downlink_free_at, bytes)
                             : replay->now + ONE_WAY_MS;
}

static guint
frame_delay_ms (const Replay *replay, const Event *event)
{
  return (guint)MAX (replay->now - event->sent_at - ONE_WAY_MS, 0);
}

void
link_received_by_agent (Replay *replay, const Event *event)
{
  ServerLink *link = server_link (replay, event->entry, event->server);

  if (!is_limited (replay))
    return;
  link->send_delay_ms = frame_delay_ms (replay, event);
  throttle_on_delay (&link->state_throttle, link->receive_delay_ms, replay->now);
}

void
link_received_by_entry (Replay *replay, const Event *event)
{
  ServerLink *link = server_link (replay, event->entry, event->server);

  if (!is_limited (replay))
    return;
  link->receive_delay_ms = frame_delay_ms (replay, event);
  if (!replay->init->ignore_delay)
    dispatcher_server_delay (link->leased, event->send_delay_ms, replay->now);
}

/* The agent sends its own heartbeat in reply. */
void
link_send_heartbeat (Replay *replay, const Event *event)
{
  event_at (replay, link_to_agent (replay, event->entry, 0), EVENT_HEARTBEAT,
            event->entry, event->server);
  event_at (replay, replay->now + HEARTBEAT_MS, EVENT_SEND_HEARTBEAT, event->entry,
            event->server);
}

void
link_reply_heartbeat (Replay *replay, const Event *event)
{
  event_at (replay, link_to_entry (replay, event->entry, 0), EVENT_HEARTBEAT_REPLY,
            event->entry, event->server);
}

void
link_open (Replay *replay, Entry *entry, Server *server)
{
  ServerLink *link = server_link (replay, entry, server);

  link->state_throttle = throttle_new (STATE_MS);
  if (is_limited (replay))
    event_at (replay,
              replay->now + (entry->index * 7 + server->index * 11) % HEARTBEAT_MS,
              EVENT_SEND_HEARTBEAT, entry, server);
}
