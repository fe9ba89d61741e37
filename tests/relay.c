#include "relay.h"
#include "clock.h"
#include "listen.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/queue.h>

#define LINE_TICK_MS 20

typedef struct Connection
{
  LIST_ENTRY (Connection) link_entry;
  Relay *relay;
  struct bufferevent *sides[2];
  RelayMode mode;
  gboolean cutting;
  gsize bytes_left;
  LIST_HEAD (, Delayed) delayed;
} Connection;

/* Bytes held back by RELAY_DELAY. */
typedef struct Delayed
{
  LIST_ENTRY (Delayed) link_entry;
  Connection *conn;
  guint to;
  struct evbuffer *bytes;
  struct event *timer;
} Delayed;

struct RelayLine
{
  struct event_base *base;
  struct ev_token_bucket_cfg *rate;
  struct bufferevent_rate_limit_group *group;
};

struct Relay
{
  struct event_base *base;
  Listener *listener;
  char *target;
  RelayMode new_mode;
  RelayLine *lines[2]; /* by the side that is read; NULL: no limit */
  LIST_HEAD (, Connection) connections;
};

static void
delayed_free (Delayed *delayed)
{
  LIST_REMOVE (delayed, link_entry);
  event_free (delayed->timer);
  evbuffer_free (delayed->bytes);
  g_free (delayed);
}

static void
connection_free (Connection *conn)
{
  while (!LIST_EMPTY (&conn->delayed))
    delayed_free (LIST_FIRST (&conn->delayed));
  LIST_REMOVE (conn, link_entry);
  bufferevent_free (conn->sides[0]);
  bufferevent_free (conn->sides[1]);
  g_free (conn);
}

/* Forwards each complete frame twice. */
static void
repeat_frames (struct evbuffer *from, struct evbuffer *to)
{
  guint32 header;

  while (evbuffer_copyout (from, &header, 4) == 4
         && evbuffer_get_length (from) >= 4 + ntohl (header))
    {
      gsize size = 4 + ntohl (header);
      guint8 *bytes = g_malloc (size);

      evbuffer_remove (from, bytes, size);
      evbuffer_add (to, bytes, size);
      evbuffer_add (to, bytes, size);
      g_free (bytes);
    }
}

static void
on_delayed (evutil_socket_t fd, short what, void *ctx)
{
  Delayed *delayed = ctx;

  evbuffer_add_buffer (bufferevent_get_output (delayed->conn->sides[delayed->to]),
                       delayed->bytes);
  delayed_free (delayed);
}

/* All data is delayed by the same time, so it stays in order. */
static void
delay (Connection *conn, guint to, struct evbuffer *from)
{
  struct timeval wait = timeval_from_ms (RELAY_DELAY_MS);
  Delayed *delayed = g_new0 (Delayed, 1);

  delayed->conn = conn;
  delayed->to = to;
  delayed->bytes = evbuffer_new ();
  evbuffer_add_buffer (delayed->bytes, from);
  delayed->timer = evtimer_new (conn->relay->base, on_delayed, delayed);
  event_add (delayed->timer, &wait);
  LIST_INSERT_HEAD (&conn->delayed, delayed, link_entry);
}

static void
on_read (struct bufferevent *bev, void *ctx)
{
  Connection *conn = ctx;
  struct bufferevent *other = conn->sides[bev == conn->sides[0]];
  struct evbuffer *from = bufferevent_get_input (bev);
  struct evbuffer *to = bufferevent_get_output (other);
  gsize moved;

  if (conn->cutting)
    {
      moved = evbuffer_remove_buffer (from, to, conn->bytes_left);
      conn->bytes_left -= moved;
      if (conn->bytes_left == 0)
        connection_free (conn);
      return;
    }
  switch (conn->mode)
    {
    case RELAY_PASS:
      evbuffer_add_buffer (to, from);
      break;
    case RELAY_VANISH:
      evbuffer_drain (from, evbuffer_get_length (from));
      break;
    case RELAY_DROP_REPLIES:
      if (bev == conn->sides[0])
        evbuffer_add_buffer (to, from);
      else
        evbuffer_drain (from, evbuffer_get_length (from));
      break;
    case RELAY_REPEAT:
      repeat_frames (from, to);
      break;
    case RELAY_DELAY:
      delay (conn, bev == conn->sides[0], from);
      break;
    }
}

static void
on_event (struct bufferevent *bev, short what, void *ctx)
{
  Connection *conn = ctx;

  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) && conn->mode != RELAY_VANISH
      && conn->mode != RELAY_DROP_REPLIES)
    connection_free (conn);
}

static void
on_accept (evutil_socket_t fd, gpointer ctx)
{
  Relay *relay = ctx;
  struct sockaddr_in address;
  int length = sizeof address;
  Connection *conn;

  /* A process that is being restarted is dialled before the test knows its address. */
  if (relay->target == NULL)
    {
      evutil_closesocket (fd);
      return;
    }
  conn = g_new0 (Connection, 1);
  evutil_make_socket_nonblocking (fd);
  conn->relay = relay;
  conn->mode = relay->new_mode;
  conn->sides[0] = bufferevent_socket_new (relay->base, fd, BEV_OPT_CLOSE_ON_FREE);
  conn->sides[1] = bufferevent_socket_new (relay->base, -1, BEV_OPT_CLOSE_ON_FREE);
  LIST_INIT (&conn->delayed);
  LIST_INSERT_HEAD (&relay->connections, conn, link_entry);
  for (int i = 0; i < 2; i++)
    {
      bufferevent_setcb (conn->sides[i], on_read, NULL, on_event, conn);
      if (relay->lines[i] != NULL)
        bufferevent_add_to_rate_limit_group (conn->sides[i], relay->lines[i]->group);
    }
  evutil_parse_sockaddr_port (relay->target, (struct sockaddr *)&address, &length);
  if (bufferevent_socket_connect (conn->sides[1], (struct sockaddr *)&address, length)
      < 0)
    {
      connection_free (conn);
      return;
    }
  for (int i = 0; i < 2; i++)
    bufferevent_enable (conn->sides[i], EV_READ | EV_WRITE);
}

RelayLine *
relay_line_new (struct event_base *base, guint bytes_per_s)
{
  struct timeval tick = timeval_from_ms (LINE_TICK_MS);
  guint per_tick = bytes_per_s / (1000 / LINE_TICK_MS);
  RelayLine *line = g_new0 (RelayLine, 1);

  line->base = base;
  line->rate = ev_token_bucket_cfg_new (per_tick, per_tick, EV_RATE_LIMIT_MAX,
                                        EV_RATE_LIMIT_MAX, &tick);
  line->group = bufferevent_rate_limit_group_new (base, line->rate);
  return line;
}

void
relay_line_free (RelayLine *line)
{
  /* Freed connections leave the group in the next event-loop iteration. */
  event_base_loop (line->base, EVLOOP_NONBLOCK);
  bufferevent_rate_limit_group_free (line->group);
  ev_token_bucket_cfg_free (line->rate);
  g_free (line);
}

void
relay_set_line (Relay *relay, RelayDirection direction, RelayLine *line)
{
  relay->lines[direction == RELAY_TO_DIALLER] = line;
}

Relay *
relay_new (struct event_base *base)
{
  Relay *relay = g_new0 (Relay, 1);
  GError *error = NULL;

  relay->base = base;
  LIST_INIT (&relay->connections);
  relay->listener = listen_frames (base, "127.0.0.1:0", on_accept, relay, &error);
  g_assert_no_error (error);
  return relay;
}

void
relay_free (Relay *relay)
{
  Connection *conn;

  while ((conn = LIST_FIRST (&relay->connections)) != NULL)
    connection_free (conn);
  listen_free (relay->listener);
  g_free (relay->target);
  g_free (relay);
}

const char *
relay_address (const Relay *relay)
{
  return listen_address (relay->listener);
}

void
relay_set_target (Relay *relay, const char *address)
{
  g_free (relay->target);
  relay->target = g_strdup (address);
}

void
relay_set_mode (Relay *relay, RelayMode mode, gboolean new_too)
{
  Connection *conn;

  if (new_too)
    relay->new_mode = mode;
  LIST_FOREACH (conn, &relay->connections, link_entry)
    conn->mode = mode;
}

void
relay_cut (Relay *relay, gsize bytes)
{
  Connection *conn;
  Connection *next;

  for (conn = LIST_FIRST (&relay->connections); conn != NULL; conn = next)
    {
      next = LIST_NEXT (conn, link_entry);
      conn->cutting = TRUE;
      conn->bytes_left = bytes;
      if (bytes == 0)
        connection_free (conn);
    }
}

guint
relay_open (const Relay *relay)
{
  const Connection *conn;
  guint n = 0;

  LIST_FOREACH (conn, &relay->connections, link_entry)
    n++;
  return n;
}
