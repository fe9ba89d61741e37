#pragma once
/* Listening sockets on "ip:port"; with port 0 the kernel chooses one. */
#include "http.h"

#include <event2/listener.h>
#include <glib.h>

typedef void (*ListenAccept) (evutil_socket_t fd, gpointer ctx);

typedef struct Listener Listener;

/** listen_frames - accept connections of entries and agents; fails with
 * GODWITSPAR_ERROR_SYSTEM. */
Listener *listen_frames (struct event_base *base,
                         const char *address,
                         ListenAccept accept,
                         gpointer ctx,
                         GError **error);
void listen_free (Listener *listener);

/** listen_address - the bound address, with the kernel's port. */
const char *listen_address (const Listener *listener);

/** listen_http - serve HTTP; *@bound is the bound address, free with g_free. */
struct evhttp *
listen_http (struct event_base *base, const char *address, char **bound, GError **error);
