#pragma once
/* Closing sockets whose peers may still send: a socket that is closed with unread bytes
 * is reset, and the peer may lose the response that it was sent. */
#include <event2/event.h>
#include <glib.h>

/** lingering_keep - read and discard what still arrives on @fd, for a limited time, after
 * the caller has shut down and closed its own descriptor of the socket. */
void lingering_keep (struct event_base *base, evutil_socket_t fd);

/** lingering_sockets - number of sockets that are kept. */
guint lingering_sockets (void);
