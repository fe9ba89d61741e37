#define _GNU_SOURCE
#include "http_watch.h"
#include "clock.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <poll.h>

/* A client that sends its next requests early is read no further than this. */
#define MAX_AHEAD_BYTES (64 << 10)
/* While it is not read, its socket is polled. */
#define POLL_MS 100
#define WATCH_PRIORITY 0 /* the highest */

struct HttpWatch
{
  struct evhttp_connection *connection;
  struct bufferevent *bev;
  HttpLost lost;
  gpointer ctx;
  struct event *poll; /* pending while the client is not read */
};

static void
disconnect (HttpWatch *watch, gboolean reset)
{
  struct evhttp_connection *connection = watch->connection;

  if (watch->lost != NULL)
    watch->lost (reset, watch->ctx);
  evhttp_connection_free (connection); /* frees the watch as well */
}

static void
on_event (struct bufferevent *bev, short what, void *ctx)
{
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
    disconnect (ctx, (what & BEV_EVENT_ERROR) != 0);
}

static void
on_read (struct bufferevent *bev, void *ctx)
{
  HttpWatch *watch = ctx;
  struct timeval interval = timeval_from_ms (POLL_MS);

  if (evbuffer_get_length (bufferevent_get_input (bev)) < MAX_AHEAD_BYTES)
    return;
  bufferevent_disable (bev, EV_READ);
  event_add (watch->poll, &interval);
}

/* Return: the poll () events that tell of the connection's end. */
static short
poll_end (const HttpWatch *watch)
{
  struct pollfd socket = { .fd = bufferevent_getfd (watch->bev), .events = POLLRDHUP };

  return poll (&socket, 1, 0) > 0 ? socket.revents : 0;
}

static void
on_poll (evutil_socket_t fd, short what, void *ctx)
{
  HttpWatch *watch = ctx;
  short end = poll_end (watch);

  if (end != 0)
    disconnect (watch, (end & POLLERR) != 0);
}

HttpWatch *
http_watch_new (struct evhttp_request *request, HttpLost lost, gpointer ctx)
{
  HttpWatch *watch = g_new0 (HttpWatch, 1);

  watch->connection = evhttp_request_get_connection (request);
  watch->bev = evhttp_connection_get_bufferevent (watch->connection);
  watch->lost = lost;
  watch->ctx = ctx;
  watch->poll = event_new (evhttp_connection_get_base (watch->connection), -1, EV_PERSIST,
                           on_poll, watch);
  /* evhttp installs its own callbacks again when the response is sent. */
  bufferevent_setcb (watch->bev, on_read, NULL, on_event, watch);
  bufferevent_priority_set (watch->bev, WATCH_PRIORITY);
  bufferevent_enable (watch->bev, EV_READ);
  return watch;
}

gboolean
http_watch_is_lost (const HttpWatch *watch)
{
  return poll_end (watch) != 0;
}

void
http_watch_free (HttpWatch *watch)
{
  struct event_base *base;

  if (watch == NULL)
    return;
  base = evhttp_connection_get_base (watch->connection);
  bufferevent_setcb (watch->bev, NULL, NULL, NULL, NULL);
  bufferevent_priority_set (watch->bev, event_base_get_npriorities (base) / 2);
  event_free (watch->poll);
  g_free (watch);
}
