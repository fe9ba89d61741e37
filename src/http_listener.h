#pragma once
/* An HTTP server on "ip:port" whose clients are bounded (http_clients.h). */
#include "http_clients.h"

/* Enough where requests need no body. */
#define HTTP_SMALL_BODY_BYTES (64 << 10)

typedef struct HttpListener HttpListener;

typedef void (*HttpHandler) (struct evhttp_request *request, void *ctx);

typedef struct
{
  HttpHandler handler;
  gpointer ctx;
  gsize max_body_bytes; /* of a request; 0: the largest that any configuration allows */
} HttpListenerInit;

/** http_listener_new - listen; fails with GODWITSPAR_ERROR_SYSTEM. */
HttpListener *http_listener_new (struct event_base *base,
                                 const char *address,
                                 const HttpListenerInit *init,
                                 GError **error);

/** http_listener_free - close it and its connections. @listener may be NULL. */
void http_listener_free (HttpListener *listener);

/** http_listener_address - the bound address, with the kernel's port. */
const char *http_listener_address (const HttpListener *listener);

/** http_listener_set_max_body - limit the bodies of requests from now on, also on open
 * connections. */
void http_listener_set_max_body (HttpListener *listener, gsize max_body_bytes);

/** http_listener_stop_accepting - close the listening socket, not the connections. */
void http_listener_stop_accepting (HttpListener *listener);

/** http_listener_received_ms - when data last arrived from any client. */
gint64 http_listener_received_ms (const HttpListener *listener);
