#include "clock.h"
#include "counters.h"
#include "held_memory.h"
#include "http_clients_parts.h"
#include "lingering.h"

#include <event2/buffer.h>

/* A parser may need all of a request at once: its head, or one chunk that is its whole
 * body. */
#define MAX_HEAD_BYTES (80 << 10)
/* The highest: closing must not wait behind all events that are due. */
#define RECLAIM_PRIORITY 0

HttpClients http_clients;

static void on_adopt (evutil_socket_t fd, short what, void *ctx);

void
http_clients_init (struct event_base *base)
{
  if (http_clients.base == base)
    return;
  http_clients.base = base;
  TAILQ_INIT (&http_clients.accepted);
  TAILQ_INIT (&http_clients.closable);
  TAILQ_INIT (&http_clients.waiting);
  LIST_INIT (&http_clients.acceptors);
  http_clients.by_connection = g_hash_table_new (NULL, NULL);
  http_clients.adopt = event_new (base, -1, 0, on_adopt, NULL);
  http_clients.reclaim = event_new (base, -1, 0, http_clients_on_reclaim, NULL);
  event_priority_set (http_clients.reclaim, RECLAIM_PRIORITY);
  http_clients.retry = evtimer_new (base, http_clients_on_retry, NULL);
  http_clients.slow = evtimer_new (base, http_clients_on_slow, NULL);
}

static HttpClientList *
list_of (const HttpClient *client)
{
  if (client->connection == NULL)
    return &http_clients.accepted;
  return client->state == CLIENT_WAITS ? &http_clients.waiting : &http_clients.closable;
}

/* Moves the client to the end of its list. */
static void
client_enter (HttpClient *client, ClientState state)
{
  TAILQ_REMOVE (list_of (client), client, link);
  http_clients.n_waiting -= client->state == CLIENT_WAITS;
  client->state = state;
  http_clients.n_waiting += client->state == CLIENT_WAITS;
  TAILQ_INSERT_TAIL (list_of (client), client, link);
  if (http_clients.paused && state != CLIENT_WAITS)
    event_active (http_clients.reclaim, EV_TIMEOUT, 0);
}

/* The client sends or reads: it has limits.request_ms from now on. */
static void
client_progress (HttpClient *client)
{
  const struct timeval interval = http_clients_check_interval ();

  client->since_ms = clock_now_ms ();
  if (http_clients.limits.request_ms > 0
      && !event_pending (http_clients.slow, EV_TIMEOUT, NULL))
    event_add (http_clients.slow, &interval);
}

static void
client_hold (HttpClient *client, gssize bytes)
{
  client->held += (gsize)bytes;
  held_memory_add (HELD_BUFFERS, bytes);
  /* Connections must not be freed from the callbacks of their buffers. */
  if (bytes > 0 && held_memory (HELD_BUFFERS) > held_memory_limit (HELD_BUFFERS))
    event_active (http_clients.reclaim, EV_TIMEOUT, 0);
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
  g_hash_table_remove (http_clients.by_connection, client->connection);
  TAILQ_REMOVE (list_of (client), client, link);
  http_clients.n_waiting -= client->state == CLIENT_WAITS;
  counter_set (COUNTER_CLIENTS_OPEN, --http_clients.n);
  if (http_clients.paused)
    event_active (http_clients.reclaim, EV_TIMEOUT, 0);
  g_free (client);
}

static void
on_closed (struct evhttp_connection *connection, void *ctx)
{
  HttpClient *client = ctx;

  if (client->refused)
    lingering_keep (http_clients.base, bufferevent_getfd (client->bev));
  if (client->closed != NULL)
    client->closed (connection, client->closed_ctx);
  client_free (client);
}

/* evhttp tells of a connection with its first request only. Before that the connection is
 * known as the argument of evhttp's own callbacks. */
void
http_clients_adopt (void)
{
  HttpClient *client;

  while ((client = TAILQ_FIRST (&http_clients.accepted)) != NULL)
    {
      void *connection = NULL;

      TAILQ_REMOVE (&http_clients.accepted, client, link);
      bufferevent_getcb (client->bev, NULL, NULL, NULL, &connection);
      client->connection = connection;
      TAILQ_INSERT_TAIL (&http_clients.closable, client, link);
      g_hash_table_insert (http_clients.by_connection, connection, client);
      evhttp_connection_set_closecb (connection, on_closed, client);
    }
}

static void
on_adopt (evutil_socket_t fd, short what, void *ctx)
{
  http_clients_adopt ();
}

/* What is received is handled before more is read, as far as a request may need. */
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

  http_clients_init (base);
  client->bev = bev;
  client->received = received;
  client->received_ctx = ctx;
  evbuffer_add_cb (bufferevent_get_input (bev), on_input, client);
  evbuffer_add_cb (bufferevent_get_output (bev), on_output, client);
  set_max_unread (client, max_body_bytes);
  TAILQ_INSERT_TAIL (&http_clients.accepted, client, link);
  counter_set (COUNTER_CLIENTS_OPEN, ++http_clients.n);
  counter_set_max (COUNTER_CLIENTS_MAX, http_clients.n);
  event_active (http_clients.adopt, EV_TIMEOUT, 0);
  if (http_clients.n < http_clients_max ())
    return client;
  http_clients_pause ();
  event_active (http_clients.reclaim, EV_TIMEOUT, 0);
  return client;
}

void
http_clients_set_max_body (gsize max_body_bytes, gpointer ctx)
{
  GHashTableIter iter;
  HttpClient *client;

  if (http_clients.base == NULL)
    return;
  http_clients_adopt ();
  g_hash_table_iter_init (&iter, http_clients.by_connection);
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
  HttpClient *client = g_hash_table_lookup (http_clients.by_connection,
                                            evhttp_request_get_connection (request));
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
  HttpClient *client = g_hash_table_lookup (http_clients.by_connection, connection);

  client->closed = closed;
  client->closed_ctx = ctx;
}
