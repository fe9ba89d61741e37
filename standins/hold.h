#pragma once
/* Calls that a stand-in looks at later, as a slow service does. */
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

typedef void (*HoldServe) (struct evhttp_request *request, gpointer ctx);

/** hold_request - serve it @delay_ms later, unless its caller has gone by then. */
void hold_request (struct event_base *base,
                   struct evhttp_request *request,
                   guint delay_ms,
                   HoldServe serve,
                   gpointer ctx);
