#include "hold.h"
#include "clock.h"

typedef struct
{
  struct evhttp_request *request;
  struct event *timer;
  HoldServe serve;
  gpointer ctx;
} Held;

static void
held_free (Held *held)
{
  event_free (held->timer);
  g_free (held);
}

static void
on_gone (struct evhttp_connection *connection, void *ctx)
{
  held_free (ctx);
}

static void
on_due (evutil_socket_t fd, short what, void *ctx)
{
  Held *held = ctx;

  evhttp_connection_set_closecb (evhttp_request_get_connection (held->request), NULL,
                                 NULL);
  held->serve (held->request, held->ctx);
  held_free (held);
}

void
hold_request (struct event_base *base,
              struct evhttp_request *request,
              guint delay_ms,
              HoldServe serve,
              gpointer ctx)
{
  struct timeval delay = timeval_from_ms (delay_ms);
  Held *held = g_new0 (Held, 1);

  held->request = request;
  held->serve = serve;
  held->ctx = ctx;
  held->timer = evtimer_new (base, on_due, held);
  evhttp_connection_set_closecb (evhttp_request_get_connection (request), on_gone, held);
  event_add (held->timer, &delay);
}
