#pragma once
/* The connections of all HTTP clients of this process: counts what each makes the process
 * hold, and closes connections when that is too much. */
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <glib.h>

typedef struct HttpClient HttpClient;

typedef struct
{
  guint connections; /* open at once; 0: half of the descriptors */
  guint descriptors; /* of the process; 0: its RLIMIT_NOFILE */
  guint request_ms;  /* to send a request, or to read some of a response; 0: no limit */
} HttpClientLimits;

/** http_clients_limit - replace the limits. */
void http_clients_limit (const HttpClientLimits *limits);

/** http_clients_descriptors - the limit of the process's descriptors. */
guint http_clients_descriptors (void);

/** http_clients_accept_from - bound what is accepted from a listening socket. */
void http_clients_accept_from (struct event_base *base, struct evconnlistener *socket);

/** http_clients_forget_socket - the socket is being closed. */
void http_clients_forget_socket (struct evconnlistener *socket);

/** http_clients_are_full - whether so many clients wait for responses that the next
 * request that would wait has to be refused. */
gboolean http_clients_are_full (void);

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
