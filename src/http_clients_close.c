#define LOG_MODULE "http-clients"
#include "clock.h"
#include "counters.h"
#include "events.h"
#include "held_memory.h"
#include "http_clients_parts.h"

#include <string.h>
#include <sys/ioctl.h>
#include <sys/resource.h>

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

void
http_clients_limit (const HttpClientLimits *limits)
{
  http_clients.limits = *limits;
}

guint
http_clients_descriptors (void)
{
  struct rlimit limit;

  if (http_clients.limits.descriptors > 0)
    return http_clients.limits.descriptors;
  return getrlimit (RLIMIT_NOFILE, &limit) == 0
             ? (guint)MIN (limit.rlim_cur, (rlim_t)G_MAXINT)
             : G_MAXINT;
}

/* Half of the descriptors are left for links, calls to others and files. */
guint
http_clients_max (void)
{
  guint limit = http_clients.limits.connections > 0 ? http_clients.limits.connections
                                                    : http_clients_descriptors () / 2;

  return MAX (limit, MIN_CONNECTIONS);
}

gboolean
http_clients_are_full (void)
{
  return (guint64)http_clients.n_waiting * 100
         >= (guint64)http_clients_max () * WAITING_PERCENT;
}

struct timeval
http_clients_check_interval (void)
{
  return timeval_from_ms (MAX (http_clients.limits.request_ms / SLOW_CHECKS, 1));
}

static void
set_accepting (gboolean accepting)
{
  Acceptor *acceptor;

  http_clients.paused = !accepting;
  LIST_FOREACH (acceptor, &http_clients.acceptors, link)
    {
      if (accepting)
        evconnlistener_enable (acceptor->socket);
      else
        evconnlistener_disable (acceptor->socket);
    }
}

void
http_clients_pause (void)
{
  set_accepting (FALSE);
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
              reason->name, reason->n_closed, http_clients.n, http_clients.n_waiting,
              http_clients_max (), held_memory (HELD_BUFFERS) >> 10,
              held_memory_limit (HELD_BUFFERS) >> 10);
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
      HttpClient *client = find_largest (&http_clients.closable);

      if (client == NULL)
        client = find_largest (&http_clients.waiting);
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

  for (client = TAILQ_FIRST (&http_clients.closable); client != NULL && n > 0;
       client = next)
    {
      next = TAILQ_NEXT (client, link);
      if (client->state == CLIENT_SENDS && !client->sending && has_unread (client))
        continue;
      client_close (client, &over_number);
      n--;
    }
}

void
http_clients_on_slow (evutil_socket_t fd, short what, void *ctx)
{
  const struct timeval interval = http_clients_check_interval ();
  gint64 before_ms = clock_now_ms () - http_clients.limits.request_ms;
  gboolean open = FALSE;
  HttpClient *client;
  HttpClient *next;

  for (client = TAILQ_FIRST (&http_clients.closable); client != NULL; client = next)
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
    event_add (http_clients.slow, &interval);
}

void
http_clients_on_reclaim (evutil_socket_t fd, short what, void *ctx)
{
  guint limit = http_clients_max ();
  guint wanted = limit - MAX (limit / EVICTED_PART, 1);

  http_clients_adopt ();
  reclaim_memory ();
  if (http_clients.n >= limit)
    close_oldest (http_clients.n - wanted);
  if (http_clients.paused && http_clients.n < limit
      && !event_pending (http_clients.retry, EV_TIMEOUT, NULL))
    set_accepting (TRUE);
}

void
http_clients_on_retry (evutil_socket_t fd, short what, void *ctx)
{
  http_clients_on_reclaim (-1, 0, NULL);
}

/* Without a pause the loop would find the socket readable again at once. */
static void
on_accept_error (struct evconnlistener *socket, void *ctx)
{
  const struct timeval pause = timeval_from_ms (ACCEPT_PAUSE_MS);

  counter_add (COUNTER_ACCEPTS_FAILED, 1);
  http_clients_pause ();
  http_clients_adopt ();
  close_oldest (EVICTED_AT_FAILURE);
  event_add (http_clients.retry, &pause);
}

void
http_clients_accept_from (struct event_base *base, struct evconnlistener *socket)
{
  Acceptor *acceptor = g_new0 (Acceptor, 1);

  http_clients_init (base);
  acceptor->socket = socket;
  LIST_INSERT_HEAD (&http_clients.acceptors, acceptor, link);
  evconnlistener_set_error_cb (socket, on_accept_error);
}

void
http_clients_forget_socket (struct evconnlistener *socket)
{
  Acceptor *acceptor;

  LIST_FOREACH (acceptor, &http_clients.acceptors, link)
    if (acceptor->socket == socket)
      break;
  if (acceptor == NULL)
    return;
  LIST_REMOVE (acceptor, link);
  g_free (acceptor);
}
