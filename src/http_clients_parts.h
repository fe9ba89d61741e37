#pragma once
/* Shared by http_clients.c, which follows what each client does and holds, and
 * http_clients_close.c, which decides when too much is held and closes connections. */
#include "http_clients.h"

#include <event2/bufferevent.h>
#include <sys/queue.h>

typedef enum
{
  CLIENT_SENDS, /* idle, or has sent part of a request */
  CLIENT_WAITS, /* for the response to its request */
  CLIENT_READS, /* has not read the whole response */
} ClientState;

struct HttpClient
{
  TAILQ_ENTRY (HttpClient) link;
  struct bufferevent *bev;
  struct evhttp_connection *connection; /* NULL until evhttp has set it up */
  HttpClientReceived received;
  gpointer received_ctx;
  HttpClosed closed;
  gpointer closed_ctx;
  ClientState state;
  gboolean sending; /* part of a request has arrived */
  gboolean refused; /* evhttp answers a request that it has not handed over */
  gint64 since_ms;  /* when it began to send, or last read some of the response */
  gsize held;       /* buffered in either direction, and the body of an open request */
  gsize taken;      /* of these, what evhttp has taken out of the input buffer */
  gsize body;       /* of these, the body */
};

typedef TAILQ_HEAD (HttpClientList, HttpClient) HttpClientList;

/* A listening socket. */
typedef struct Acceptor
{
  LIST_ENTRY (Acceptor) link;
  struct evconnlistener *socket;
} Acceptor;

typedef struct
{
  struct event_base *base;
  HttpClientLimits limits;
  HttpClientList accepted; /* not set up by evhttp yet */
  HttpClientList closable; /* that send or read, by the time since when */
  HttpClientList waiting;  /* for their responses */
  guint n;
  guint n_waiting;
  GHashTable *by_connection; /* struct evhttp_connection -> HttpClient */
  LIST_HEAD (, Acceptor) acceptors;
  gboolean paused; /* nothing is accepted */
  struct event *adopt;
  struct event *reclaim;
  struct event *slow;  /* pending while a client sends or reads */
  struct event *retry; /* pending after accept () has failed */
} HttpClients;

/* All of this process. */
extern HttpClients http_clients;

/* http_clients.c */

/** http_clients_init - set up what all clients share, once for each event loop. */
void http_clients_init (struct event_base *base);

/** http_clients_adopt - find the connections that evhttp has set up since. */
void http_clients_adopt (void);

/* http_clients_close.c */

/** http_clients_max - the most connections that may be open. */
guint http_clients_max (void);

/** http_clients_pause - accept no more connections until some were closed. */
void http_clients_pause (void);

/* Event callbacks: too much is held; accepting goes on; requests and responses may have
 * taken too long. */
void http_clients_on_reclaim (evutil_socket_t fd, short what, void *ctx);
void http_clients_on_retry (evutil_socket_t fd, short what, void *ctx);
void http_clients_on_slow (evutil_socket_t fd, short what, void *ctx);

/** http_clients_check_interval - how often the last of these is called. */
struct timeval http_clients_check_interval (void);
