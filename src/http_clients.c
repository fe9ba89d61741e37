#define LOG_MODULE "http-clients"
#include "http_clients.h"
#include "clock.h"
#include "counters.h"
#include "events.h"
#include "held_memory.h"
#include "lingering.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/queue.h>
#include <sys/resource.h>

/* A parser may need all of a request at once: its head, or one chunk that is its whole
 * body. */
#define MAX_HEAD_BYTES (80 << 10)
/* The highest: closing must not wait behind all events that are due. */
#define RECLAIM_PRIORITY 0
/* Lines about closed connections are logged at most this often, for each reason. */
#define NOTE_INTERVAL_MS 1000
/* When the limit of connections is reached, one in so many is closed. */
#define EVICTED_PART 32
/* After accept () has failed for want of descriptors or memory, so many connections are
 * closed, and the next are accepted after a pause. */
#define EVICTED_AT_FAILURE 8
#define ACCEPT_PAUSE_MS 100
/* Of the connections, so many may wait for responses: the rest is for clients that are
 * refused at once, and for the balancer. */
#define WAITING_PERCENT 75
#define MIN_CONNECTIONS 16
/* How often limits.request_ms is checked within it. */
#define SLOW_CHECKS 8

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

/* Why connections are closed. */
typedef struct
{
  const char *name;
  Counter counter;
  gint64 noted_ms;
  guint n_closed; /* since then */
} Reason;

static Reason over_memory = { "memory", COUNTER_CLIENTS_OVER_MEMORY };
static Reason over_time = { "time", COUNTER_CLIENTS_SLOW };
static Reason over_number = { "connections", COUNTER_CLIENTS_EVICTED };

static struct
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
} all;

static void on_adopt (evutil_socket_t fd, short what, void *ctx);
static void on_reclaim (evutil_socket_t fd, short what, void *ctx);
static void on_retry (evutil_socket_t fd, short what, void *ctx);
static void on_slow (evutil_socket_t fd, short what, void *ctx);

static void
clients_init (struct event_base *base)
{
  if (all.base == base)
    return;
  all.base = base;
  TAILQ_INIT (&all.accepted);
  TAILQ_INIT (&all.closable);
  TAILQ_INIT (&all.waiting);
  LIST_INIT (&all.acceptors);
  all.by_connection = g_hash_table_new (NULL, NULL);
  all.adopt = event_new (base, -1, 0, on_adopt, NULL);
  all.reclaim = event_new (base, -1, 0, on_reclaim, NULL);
  event_priority_set (all.reclaim, RECLAIM_PRIORITY);
  all.retry = evtimer_new (base, on_retry, NULL);
  all.slow = evtimer_new (base, on_slow, NULL);
}

void
http_clients_limit (const HttpClientLimits *limits)
{
  all.limits = *limits;
}

guint
http_clients_descriptors (void)
{
  struct rlimit limit;

  if (all.limits.descriptors > 0)
    return all.limits.descriptors;
  return getrlimit (RLIMIT_NOFILE, &limit) == 0
             ? (guint)MIN (limit.rlim_cur, (rlim_t)G_MAXINT)
             : G_MAXINT;
}

/* Half of the descriptors are left for links, calls to others and files. */
static guint
connection_limit (void)
{
  guint limit = all.limits.connections > 0 ? all.limits.connections
                                           : http_clients_descriptors () / 2;

  return MAX (limit, MIN_CONNECTIONS);
}

gboolean
http_clients_are_full (void)
{
  return (guint64)all.n_waiting * 100 >= (guint64)connection_limit () * WAITING_PERCENT;
}

static HttpClientList *
list_of (const HttpClient *client)
{
  if (client->connection == NULL)
    return &all.accepted;
  return client->state == CLIENT_WAITS ? &all.waiting : &all.closable;
}

/* Moves the client to the end of its list. */
static void
client_enter (HttpClient *client, ClientState state)
{
  TAILQ_REMOVE (list_of (client), client, link);
  all.n_waiting -= client->state == CLIENT_WAITS;
  client->state = state;
  all.n_waiting += client->state == CLIENT_WAITS;
  TAILQ_INSERT_TAIL (list_of (client), client, link);
  if (all.paused && state != CLIENT_WAITS)
    event_active (all.reclaim, EV_TIMEOUT, 0);
}

/* The client sends or reads: it has limits.request_ms from now on. */
static void
client_progress (HttpClient *client)
{
  const struct timeval interval
      = timeval_from_ms (MAX (all.limits.request_ms / SLOW_CHECKS, 1));

  client->since_ms = clock_now_ms ();
  if (all.limits.request_ms > 0 && !event_pending (all.slow, EV_TIMEOUT, NULL))
    event_add (all.slow, &interval);
}

static void
client_hold (HttpClient *client, gssize bytes)
{
  client->held += (gsize)bytes;
  held_memory_add (HELD_BUFFERS, bytes);
  /* Connections must not be freed from the callbacks of their buffers. */
  if (bytes > 0 && held_memory (HELD_BUFFERS) > held_memory_limit (HELD_BUFFERS))
    event_active (all.reclaim, EV_TIMEOUT, 0);
}

static void
release (HttpClient *client, gsize *part)
{
  client_hold (client, -(gssize)*part);
  *part = 0;
}

static void
on_input (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *ctx)
{
  HttpClient *client = ctx;

  if (client->state == CLIENT_SENDS)
    {
      /* evhttp collects the chunks of a body out of sight: held until handed over. */
      client_hold (client, (gssize)info->n_added);
      client->taken += info->n_deleted;
    }
  else
    {
      client_hold (client, (gssize)info->n_added - (gssize)info->n_deleted);
    }
  if (info->n_added == 0)
    return;
  if (client->state == CLIENT_SENDS && !client->sending)
    {
      client->sending = TRUE;
      client_enter (client, CLIENT_SENDS);
      client_progress (client);
    }
  client->received (client->received_ctx);
}

static void
on_output (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *ctx)
{
  HttpClient *client = ctx;

  client_hold (client, (gssize)info->n_added - (gssize)info->n_deleted);
  if (info->n_added > 0 && client->state != CLIENT_READS)
    {
      release (client, &client->taken);
      release (client, &client->body);
      client->refused = client->state == CLIENT_SENDS;
      client_enter (client, CLIENT_READS);
      client_progress (client);
    }
  else if (client->state == CLIENT_READS && evbuffer_get_length (buffer) == 0)
    {
      client->sending = evbuffer_get_length (bufferevent_get_input (client->bev)) > 0;
      client_enter (client, CLIENT_SENDS);
      if (client->sending)
        client_progress (client);
    }
  else if (client->state == CLIENT_READS && info->n_deleted > 0)
    {
      client->since_ms = clock_now_ms ();
    }
}

static void
on_body (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *ctx)
{
  HttpClient *client = ctx;
  gsize bytes = MIN (info->n_deleted, client->body);

  client->body -= bytes;
  client_hold (client, -(gssize)bytes);
}

/* The bufferevent itself is freed only after all events that are due now. */
static void
drop_buffered (HttpClient *client)
{
  struct evbuffer *input = bufferevent_get_input (client->bev);
  struct evbuffer *output = bufferevent_get_output (client->bev);

  evbuffer_remove_cb (input, on_input, client);
  evbuffer_remove_cb (output, on_output, client);
  evbuffer_drain (input, evbuffer_get_length (input));
  evbuffer_unfreeze (output, 1);
  evbuffer_drain (output, evbuffer_get_length (output));
}

static void
client_free (HttpClient *client)
{
  drop_buffered (client);
  client_hold (client, -(gssize)client->held);
  g_hash_table_remove (all.by_connection, client->connection);
  TAILQ_REMOVE (list_of (client), client, link);
  all.n_waiting -= client->state == CLIENT_WAITS;
  counter_set (COUNTER_CLIENTS_OPEN, --all.n);
  if (all.paused)
    event_active (all.reclaim, EV_TIMEOUT, 0);
  g_free (client);
}

static void
on_closed (struct evhttp_connection *connection, void *ctx)
{
  HttpClient *client = ctx;

  if (client->refused)
    lingering_keep (all.base, bufferevent_getfd (client->bev));
  if (client->closed != NULL)
    client->closed (connection, client->closed_ctx);
  client_free (client);
}

/* evhttp tells of a connection with its first request only. Before that the connection is
 * known as the argument of evhttp's own callbacks. */
static void
on_adopt (evutil_socket_t fd, short what, void *ctx)
{
  HttpClient *client;

  while ((client = TAILQ_FIRST (&all.accepted)) != NULL)
    {
      void *connection = NULL;

      TAILQ_REMOVE (&all.accepted, client, link);
      bufferevent_getcb (client->bev, NULL, NULL, NULL, &connection);
      client->connection = connection;
      TAILQ_INSERT_TAIL (&all.closable, client, link);
      g_hash_table_insert (all.by_connection, connection, client);
      evhttp_connection_set_closecb (connection, on_closed, client);
    }
}

static void
set_accepting (gboolean accepting)
{
  Acceptor *acceptor;

  all.paused = !accepting;
  LIST_FOREACH (acceptor, &all.acceptors, link)
    {
      if (accepting)
        evconnlistener_enable (acceptor->socket);
      else
        evconnlistener_disable (acceptor->socket);
    }
}

/* What is received is handled before more is read, unless a request needs it all. */
static void
set_max_unread (HttpClient *client, gsize max_body_bytes)
{
  bufferevent_setwatermark (client->bev, EV_READ, 0, max_body_bytes + MAX_HEAD_BYTES);
}

HttpClient *
http_client_new (struct event_base *base,
                 struct bufferevent *bev,
                 gsize max_body_bytes,
                 HttpClientReceived received,
                 gpointer ctx)
{
  HttpClient *client = g_new0 (HttpClient, 1);

  clients_init (base);
  client->bev = bev;
  client->received = received;
  client->received_ctx = ctx;
  evbuffer_add_cb (bufferevent_get_input (bev), on_input, client);
  evbuffer_add_cb (bufferevent_get_output (bev), on_output, client);
  set_max_unread (client, max_body_bytes);
  TAILQ_INSERT_TAIL (&all.accepted, client, link);
  counter_set (COUNTER_CLIENTS_OPEN, ++all.n);
  counter_set_max (COUNTER_CLIENTS_MAX, all.n);
  event_active (all.adopt, EV_TIMEOUT, 0);
  if (all.n < connection_limit ())
    return client;
  set_accepting (FALSE);
  event_active (all.reclaim, EV_TIMEOUT, 0);
  return client;
}

void
http_clients_set_max_body (gsize max_body_bytes, gpointer ctx)
{
  GHashTableIter iter;
  HttpClient *client;

  if (all.base == NULL)
    return;
  on_adopt (-1, 0, NULL);
  g_hash_table_iter_init (&iter, all.by_connection);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&client))
    {
      if (client->received_ctx != ctx)
        continue;
      evhttp_connection_set_max_body_size (client->connection,
                                           (ev_ssize_t)max_body_bytes);
      set_max_unread (client, max_body_bytes);
    }
}

void
http_client_requested (struct evhttp_request *request)
{
  HttpClient *client
      = g_hash_table_lookup (all.by_connection, evhttp_request_get_connection (request));
  struct evbuffer *body = evhttp_request_get_input_buffer (request);

  release (client, &client->taken);
  client->refused = FALSE;
  client->sending = FALSE;
  client_enter (client, CLIENT_WAITS);
  client->body = evbuffer_get_length (body);
  client_hold (client, (gssize)client->body);
  evbuffer_add_cb (body, on_body, client);
}

void
http_client_on_closed (struct evhttp_connection *connection,
                       HttpClosed closed,
                       gpointer ctx)
{
  HttpClient *client = g_hash_table_lookup (all.by_connection, connection);

  client->closed = closed;
  client->closed_ctx = ctx;
}

static void
note_closed (Reason *reason)
{
  gint64 now_ms = clock_now_ms ();

  counter_add (reason->counter, 1);
  reason->n_closed++;
  if (now_ms - reason->noted_ms < NOTE_INTERVAL_MS)
    return;
  event_note ("clients-closed", "-",
              "reason=%s closed=%u open=%u waiting=%u limit=%u held_kb=%zu limit_kb=%zu",
              reason->name, reason->n_closed, all.n, all.n_waiting, connection_limit (),
              held_memory (HELD_BUFFERS) >> 10, held_memory_limit (HELD_BUFFERS) >> 10);
  reason->noted_ms = now_ms;
  reason->n_closed = 0;
}

/* Of a request that has arrived in part nothing is run. */
static void
refuse_unfinished (HttpClient *client)
{
  static const char response[] = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
                                 "Connection: close\r\nContent-Length: 0\r\n\r\n";

  if (send (bufferevent_getfd (client->bev), response, strlen (response),
            MSG_DONTWAIT | MSG_NOSIGNAL)
      > 0)
    client->refused = TRUE;
}

static void
client_close (HttpClient *client, Reason *reason)
{
  note_closed (reason);
  if (client->state == CLIENT_SENDS && client->sending)
    refuse_unfinished (client);
  evhttp_connection_free (client->connection); /* frees the client as well */
}

/* Return: the client in @list for which most is held; NULL: for none is anything. */
static HttpClient *
find_largest (HttpClientList *list)
{
  HttpClient *largest = NULL;
  HttpClient *client;

  TAILQ_FOREACH (client, list, link)
    if (client->held > (largest != NULL ? largest->held : 0))
      largest = client;
  return largest;
}

/* Clients that wait for an answer go last: their requests are being served. */
static void
reclaim_memory (void)
{
  while (held_memory (HELD_BUFFERS) > held_memory_limit (HELD_BUFFERS))
    {
      HttpClient *client = find_largest (&all.closable);

      if (client == NULL)
        client = find_largest (&all.waiting);
      if (client == NULL)
        return;
      client_close (client, &over_memory);
    }
}

static gboolean
has_unread (const HttpClient *client)
{
  int unread = 0;

  return ioctl (bufferevent_getfd (client->bev), FIONREAD, &unread) == 0 && unread > 0;
}

/* Closes up to @n connections, the oldest first; an idle one is kept if a request has
 * arrived that was not read yet. */
static void
close_oldest (guint n)
{
  HttpClient *client;
  HttpClient *next;

  for (client = TAILQ_FIRST (&all.closable); client != NULL && n > 0; client = next)
    {
      next = TAILQ_NEXT (client, link);
      if (client->state == CLIENT_SENDS && !client->sending && has_unread (client))
        continue;
      client_close (client, &over_number);
      n--;
    }
}

static void
on_slow (evutil_socket_t fd, short what, void *ctx)
{
  const struct timeval interval
      = timeval_from_ms (MAX (all.limits.request_ms / SLOW_CHECKS, 1));
  gint64 before_ms = clock_now_ms () - all.limits.request_ms;
  gboolean open = FALSE;
  HttpClient *client;
  HttpClient *next;

  for (client = TAILQ_FIRST (&all.closable); client != NULL; client = next)
    {
      next = TAILQ_NEXT (client, link);
      if (client->state == CLIENT_SENDS && !client->sending)
        continue;
      if (client->since_ms < before_ms)
        client_close (client, &over_time);
      else
        open = TRUE;
    }
  if (open)
    event_add (all.slow, &interval);
}

static void
on_reclaim (evutil_socket_t fd, short what, void *ctx)
{
  guint limit = connection_limit ();
  guint wanted = limit - MAX (limit / EVICTED_PART, 1);

  on_adopt (-1, 0, NULL);
  reclaim_memory ();
  if (all.n >= limit)
    close_oldest (all.n - wanted);
  if (all.paused && all.n < limit && !event_pending (all.retry, EV_TIMEOUT, NULL))
    set_accepting (TRUE);
}

static void
on_retry (evutil_socket_t fd, short what, void *ctx)
{
  on_reclaim (-1, 0, NULL);
}

/* Without a pause the loop would find the socket readable again at once. */
static void
on_accept_error (struct evconnlistener *socket, void *ctx)
{
  const struct timeval pause = timeval_from_ms (ACCEPT_PAUSE_MS);

  counter_add (COUNTER_ACCEPTS_FAILED, 1);
  set_accepting (FALSE);
  on_adopt (-1, 0, NULL);
  close_oldest (EVICTED_AT_FAILURE);
  event_add (all.retry, &pause);
}

void
http_clients_accept_from (struct event_base *base, struct evconnlistener *socket)
{
  Acceptor *acceptor = g_new0 (Acceptor, 1);

  clients_init (base);
  acceptor->socket = socket;
  LIST_INSERT_HEAD (&all.acceptors, acceptor, link);
  evconnlistener_set_error_cb (socket, on_accept_error);
}

void
http_clients_forget_socket (struct evconnlistener *socket)
{
  Acceptor *acceptor;

  LIST_FOREACH (acceptor, &all.acceptors, link)
    if (acceptor->socket == socket)
      break;
  if (acceptor == NULL)
    return;
  LIST_REMOVE (acceptor, link);
  g_free (acceptor);
}
