#include "hold.h"
#include "clock.h"

typedef struct
{
  struct evhttp_request *request;
  struct event *timer;
  HoldServe serve;
  gpointer ctx;
} HeldRequest;

static void
held_request_free (HeldRequest *held)
{
  event_free (held->timer);
  g_free (held);
}

static void
on_closed (struct evhttp_connection *connection, void *ctx)
{
  held_request_free (ctx);
}

static void
on_due (evutil_socket_t fd, short what, void *ctx)
{
  HeldRequest *held = ctx;

  evhttp_connection_set_closecb (evhttp_request_get_connection (held->request), NULL,
                                 NULL);
  held->serve (held->request, held->ctx);
  held_request_free (held);
}

void
hold_request (struct event_base *base,
              struct evhttp_request *request,
              guint delay_ms,
              HoldServe serve,
              gpointer ctx)
{
  struct timeval delay = timeval_from_ms (delay_ms);
  HeldRequest *held = g_new0 (HeldRequest, 1);

  held->request = request;
  held->serve = serve;
  held->ctx = ctx;
  held->timer = evtimer_new (base, on_due, held);
  evhttp_connection_set_closecb (evhttp_request_get_connection (request), on_closed,
                                 held);
  event_add (held->timer, &delay);
}
