#pragma once
/* The connections of all HTTP clients of this process: counts what each makes the process
 * hold, and closes connections when that is too much. */
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

typedef struct HttpClient HttpClient;

typedef void (*HttpClientReceived) (gpointer ctx);

/**
 * http_client_new - take over a connection that evhttp accepts.
 * @bev: its bufferevent, from the callback of evhttp_set_bevcb ().
 * @max_body_bytes: of a request.
 * @received: called when data arrives.
 */
HttpClient *http_client_new (struct event_base *base,
                             struct bufferevent *bev,
                             gsize max_body_bytes,
                             HttpClientReceived received,
                             gpointer ctx);

/** http_clients_set_max_body - change the limit of the open connections with this @ctx.
 */
void http_clients_set_max_body (gsize max_body_bytes, gpointer ctx);

/** http_client_requested - evhttp has handed over a complete request. */
void http_client_requested (struct evhttp_request *request);

typedef void (*HttpClosed) (struct evhttp_connection *connection, void *ctx);

/** http_client_on_closed - call @closed right before the connection is freed; NULL: do
 * not. Use it in place of evhttp_connection_set_closecb (). */
void http_client_on_closed (struct evhttp_connection *connection,
                            HttpClosed closed,
                            gpointer ctx);
