#pragma once
/* Delayed handling of HTTP requests, to simulate a slow service. */
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

typedef void (*HoldServe) (struct evhttp_request *request, gpointer ctx);

/** hold_request - serve it after @delay_ms, unless the client has disconnected. */
void hold_request (struct event_base *base,
                   struct evhttp_request *request,
                   guint delay_ms,
                   HoldServe serve,
                   gpointer ctx);
