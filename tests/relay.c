#include "relay.h"
#include "clock.h"
#include "listen.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/queue.h>

#define LINE_TICK_MS 20

typedef struct Pair
{
  LIST_ENTRY (Pair) link_entry;
  Relay *relay;
  struct bufferevent *sides[2];
  RelayMode mode;
  gboolean cutting;
  gsize bytes_left;
  LIST_HEAD (, Held) held;
} Pair;

/* Bytes under way in RELAY_DELAY. */
typedef struct Held
{
  LIST_ENTRY (Held) link_entry;
  Pair *pair;
  guint to;
  struct evbuffer *bytes;
  struct event *timer;
} Held;

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
  RelayLine *lines[2]; /* by the side that is read; NULL: as fast as it comes */
  LIST_HEAD (, Pair) pairs;
};

static void
held_free (Held *held)
{
  LIST_REMOVE (held, link_entry);
  event_free (held->timer);
  evbuffer_free (held->bytes);
  g_free (held);
}

static void
pair_free (Pair *pair)
{
  while (!LIST_EMPTY (&pair->held))
    held_free (LIST_FIRST (&pair->held));
  LIST_REMOVE (pair, link_entry);
  bufferevent_free (pair->sides[0]);
  bufferevent_free (pair->sides[1]);
  g_free (pair);
}

/* Move whole frames, each twice. */
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
  Held *held = ctx;

  evbuffer_add_buffer (bufferevent_get_output (held->pair->sides[held->to]), held->bytes);
  held_free (held);
}

/* What comes later waits as long, and so stays in order. */
static void
delay (Pair *pair, guint to, struct evbuffer *from)
{
  struct timeval wait = timeval_from_ms (RELAY_DELAY_MS);
  Held *held = g_new0 (Held, 1);

  held->pair = pair;
  held->to = to;
  held->bytes = evbuffer_new ();
  evbuffer_add_buffer (held->bytes, from);
  held->timer = evtimer_new (pair->relay->base, on_delayed, held);
  event_add (held->timer, &wait);
  LIST_INSERT_HEAD (&pair->held, held, link_entry);
}

static void
on_read (struct bufferevent *bev, void *ctx)
{
  Pair *pair = ctx;
  struct bufferevent *other = pair->sides[bev == pair->sides[0]];
  struct evbuffer *from = bufferevent_get_input (bev);
  struct evbuffer *to = bufferevent_get_output (other);
  gsize moved;

  if (pair->cutting)
    {
      moved = evbuffer_remove_buffer (from, to, pair->bytes_left);
      pair->bytes_left -= moved;
      if (pair->bytes_left == 0)
        pair_free (pair);
      return;
    }
  switch (pair->mode)
    {
    case RELAY_PASS:
      evbuffer_add_buffer (to, from);
      break;
    case RELAY_VANISH:
      evbuffer_drain (from, evbuffer_get_length (from));
      break;
    case RELAY_DROP_REPLIES:
      if (bev == pair->sides[0])
        evbuffer_add_buffer (to, from);
      else
        evbuffer_drain (from, evbuffer_get_length (from));
      break;
    case RELAY_REPEAT:
      repeat_frames (from, to);
      break;
    case RELAY_DELAY:
      delay (pair, bev == pair->sides[0], from);
      break;
    }
}

static void
on_event (struct bufferevent *bev, short what, void *ctx)
{
  Pair *pair = ctx;

  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) && pair->mode != RELAY_VANISH
      && pair->mode != RELAY_DROP_REPLIES)
    pair_free (pair);
}

static void
on_accept (evutil_socket_t fd, gpointer ctx)
{
  Relay *relay = ctx;
  struct sockaddr_in where;
  int length = sizeof where;
  Pair *pair;

  /* Others dial again at once what is being restarted, before the test knows where the
   * process behind the relay listens. */
  if (relay->target == NULL)
    {
      evutil_closesocket (fd);
      return;
    }
  pair = g_new0 (Pair, 1);
  evutil_make_socket_nonblocking (fd);
  pair->relay = relay;
  pair->mode = relay->new_mode;
  pair->sides[0] = bufferevent_socket_new (relay->base, fd, BEV_OPT_CLOSE_ON_FREE);
  pair->sides[1] = bufferevent_socket_new (relay->base, -1, BEV_OPT_CLOSE_ON_FREE);
  LIST_INIT (&pair->held);
  LIST_INSERT_HEAD (&relay->pairs, pair, link_entry);
  for (int i = 0; i < 2; i++)
    {
      bufferevent_setcb (pair->sides[i], on_read, NULL, on_event, pair);
      if (relay->lines[i] != NULL)
        bufferevent_add_to_rate_limit_group (pair->sides[i], relay->lines[i]->group);
    }
  evutil_parse_sockaddr_port (relay->target, (struct sockaddr *)&where, &length);
  if (bufferevent_socket_connect (pair->sides[1], (struct sockaddr *)&where, length) < 0)
    {
      pair_free (pair);
      return;
    }
  for (int i = 0; i < 2; i++)
    bufferevent_enable (pair->sides[i], EV_READ | EV_WRITE);
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
  /* Connections that were freed leave the group in the next turn of the loop. */
  event_base_loop (line->base, EVLOOP_NONBLOCK);
  bufferevent_rate_limit_group_free (line->group);
  ev_token_bucket_cfg_free (line->rate);
  g_free (line);
}

void
relay_set_line (Relay *relay, RelayDirection way, RelayLine *line)
{
  relay->lines[way == RELAY_TO_DIALLER] = line;
}

Relay *
relay_new (struct event_base *base)
{
  Relay *relay = g_new0 (Relay, 1);
  GError *error = NULL;

  relay->base = base;
  LIST_INIT (&relay->pairs);
  relay->listener = listen_frames (base, "127.0.0.1:0", on_accept, relay, &error);
  g_assert_no_error (error);
  return relay;
}

void
relay_free (Relay *relay)
{
  Pair *pair;

  while ((pair = LIST_FIRST (&relay->pairs)) != NULL)
    pair_free (pair);
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
  Pair *pair;

  if (new_too)
    relay->new_mode = mode;
  LIST_FOREACH (pair, &relay->pairs, link_entry)
    pair->mode = mode;
}

void
relay_cut (Relay *relay, gsize bytes)
{
  Pair *pair;
  Pair *next;

  for (pair = LIST_FIRST (&relay->pairs); pair != NULL; pair = next)
    {
      next = LIST_NEXT (pair, link_entry);
      pair->cutting = TRUE;
      pair->bytes_left = bytes;
      if (bytes == 0)
        pair_free (pair);
    }
}

guint
relay_open (const Relay *relay)
{
  const Pair *pair;
  guint n = 0;

  LIST_FOREACH (pair, &relay->pairs, link_entry)
    n++;
  return n;
}
