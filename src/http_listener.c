#include "http_listener.h"
#include "clock.h"
#include "listen.h"

#include <event2/bufferevent.h>

/* While no configuration says less. */
#define MAX_BODY_BYTES (18 << 20)

struct HttpListener
{
  struct evhttp *http;
  char *address;
  HttpListenerInit init;
  gint64 received_ms;
};

static void
on_received (gpointer ctx)
{
  HttpListener *listener = ctx;

  listener->received_ms = clock_now_ms ();
}

static struct bufferevent *
on_accept (struct event_base *base, void *ctx)
{
  HttpListener *listener = ctx;
  struct bufferevent *bev = bufferevent_socket_new (base, -1, 0);

  http_client_new (base, bev, listener->init.max_body_bytes, on_received, listener);
  return bev;
}

static void
on_request (struct evhttp_request *request, void *ctx)
{
  HttpListener *listener = ctx;

  http_client_requested (request);
  listener->init.handler (request, listener->init.ctx);
}

static void
save_socket (struct evhttp_bound_socket *socket, void *ctx)
{
  *(struct evhttp_bound_socket **)ctx = socket;
}

static struct evconnlistener *
listening_socket (HttpListener *listener)
{
  struct evhttp_bound_socket *socket = NULL;

  evhttp_foreach_bound_socket (listener->http, save_socket, &socket);
  return evhttp_bound_socket_get_listener (socket);
}

HttpListener *
http_listener_new (struct event_base *base,
                   const char *address,
                   const HttpListenerInit *init,
                   GError **error)
{
  char *bound = NULL;
  struct evhttp *http = listen_http (base, address, &bound, error);
  HttpListener *listener;

  if (http == NULL)
    return NULL;
  listener = g_new0 (HttpListener, 1);
  listener->http = http;
  listener->address = bound;
  listener->init = *init;
  if (init->max_body_bytes == 0)
    listener->init.max_body_bytes = MAX_BODY_BYTES;
  evhttp_set_max_body_size (http, (ev_ssize_t)listener->init.max_body_bytes);
  http_clients_accept_from (base, listening_socket (listener));
  evhttp_set_bevcb (http, on_accept, listener);
  evhttp_set_gencb (http, on_request, listener);
  return listener;
}

void
http_listener_free (HttpListener *listener)
{
  if (listener == NULL)
    return;
  http_listener_stop_accepting (listener);
  evhttp_free (listener->http);
  g_free (listener->address);
  g_free (listener);
}

const char *
http_listener_address (const HttpListener *listener)
{
  return listener->address;
}

void
http_listener_set_max_body (HttpListener *listener, gsize max_body_bytes)
{
  listener->init.max_body_bytes = MIN (max_body_bytes, MAX_BODY_BYTES);
  evhttp_set_max_body_size (listener->http, (ev_ssize_t)listener->init.max_body_bytes);
  http_clients_set_max_body (listener->init.max_body_bytes, listener);
}

/* A socket must not be removed while evhttp iterates over them, so find it first. */
void
http_listener_stop_accepting (HttpListener *listener)
{
  struct evhttp_bound_socket *socket = NULL;

  evhttp_foreach_bound_socket (listener->http, save_socket, &socket);
  if (socket == NULL)
    return;
  http_clients_forget_socket (evhttp_bound_socket_get_listener (socket));
  evhttp_del_accept_socket (listener->http, socket);
}

gint64
http_listener_received_ms (const HttpListener *listener)
{
  return listener->received_ms;
}
