#pragma once
/* Notices that the client of an open request has disconnected. Between a request and its
 * response evhttp does not handle the end of a connection. */
#include <event2/http.h>
#include <glib.h>

typedef struct HttpWatch HttpWatch;

/** HttpLost - the client closed or @reset its connection, which is freed next. */
typedef void (*HttpLost) (gboolean reset, gpointer ctx);

/**
 * http_watch_new - watch the connection of @request until its response.
 * @lost: may be NULL. Once it returns, the connection is freed, and with it the request:
 *        its close callback must free the watch.
 *
 * Where the event loop has priorities, the end of a watched connection goes before other
 * events. A client that shuts down its sending side counts as disconnected. Bytes that
 * arrive meanwhile belong to the client's next request and are kept for it. If they fill
 * the socket's buffer, a reset is still noticed, but not the closing behind them.
 */
HttpWatch *http_watch_new (struct evhttp_request *request, HttpLost lost, gpointer ctx);

/** http_watch_is_lost - Return: whether the client is gone already; its connection is
 * freed from the event loop then. */
gboolean http_watch_is_lost (const HttpWatch *watch);

/** http_watch_free - end the watch; right before the response, or from the connection's
 * close callback. @watch may be NULL. */
void http_watch_free (HttpWatch *watch);
