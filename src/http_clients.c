#define LOG_MODULE "http-clients"
#include "http_clients.h"
#include "clock.h"
#include "counters.h"
#include "events.h"
#include "held_memory.h"
#include "lingering.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/queue.h>

/* A parser may need all of a request at once: its head, or one chunk that is its whole
 * body. */
#define MAX_HEAD_BYTES (80 << 10)
/* The highest: closing must not wait behind all events that are due. */
#define RECLAIM_PRIORITY 0
/* After connections were closed for their memory, a line is logged at most this often. */
#define NOTE_INTERVAL_MS 1000

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
  gboolean refused; /* evhttp answers a request that it has not handed over */
  gsize held;       /* buffered in either direction, and the body of an open request */
  gsize taken;      /* of these, what evhttp has taken out of the input buffer */
  gsize body;       /* of these, the body */
};

typedef TAILQ_HEAD (HttpClientList, HttpClient) HttpClientList;

static struct
{
  struct event_base *base;
  HttpClientList clients;    /* of any state, oldest connection first */
  GHashTable *by_connection; /* struct evhttp_connection -> HttpClient */
  struct event *adopt;
  struct event *reclaim;
  gint64 noted_ms;
  guint n_closed; /* since then */
} all;

static void on_adopt (evutil_socket_t fd, short what, void *ctx);
static void on_reclaim (evutil_socket_t fd, short what, void *ctx);

static void
clients_init (struct event_base *base)
{
  if (all.base == base)
    return;
  all.base = base;
  TAILQ_INIT (&all.clients);
  all.by_connection = g_hash_table_new (NULL, NULL);
  all.adopt = event_new (base, -1, 0, on_adopt, NULL);
  all.reclaim = event_new (base, -1, 0, on_reclaim, NULL);
  event_priority_set (all.reclaim, RECLAIM_PRIORITY);
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
  if (info->n_added > 0)
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
      client->state = CLIENT_READS;
    }
  else if (client->state == CLIENT_READS && evbuffer_get_length (buffer) == 0)
    {
      client->state = CLIENT_SENDS;
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
  TAILQ_REMOVE (&all.clients, client, link);
  counter_set (COUNTER_CLIENTS_OPEN, counter_values[COUNTER_CLIENTS_OPEN] - 1);
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

  TAILQ_FOREACH_REVERSE (client, &all.clients, HttpClientList, link)
    {
      void *connection = NULL;

      if (client->connection != NULL)
        return;
      bufferevent_getcb (client->bev, NULL, NULL, NULL, &connection);
      client->connection = connection;
      g_hash_table_insert (all.by_connection, connection, client);
      evhttp_connection_set_closecb (connection, on_closed, client);
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
  TAILQ_INSERT_TAIL (&all.clients, client, link);
  counter_set (COUNTER_CLIENTS_OPEN, counter_values[COUNTER_CLIENTS_OPEN] + 1);
  counter_set_max (COUNTER_CLIENTS_MAX, counter_values[COUNTER_CLIENTS_OPEN]);
  event_active (all.adopt, EV_TIMEOUT, 0);
  return client;
}

void
http_clients_set_max_body (gsize max_body_bytes, gpointer ctx)
{
  HttpClient *client;

  if (all.base == NULL)
    return;
  TAILQ_FOREACH (client, &all.clients, link)
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
  client->state = CLIENT_WAITS;
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

/* Return: the client for which most is held; NULL: for none is anything. */
static HttpClient *
find_largest (gboolean waits)
{
  HttpClient *largest = NULL;
  HttpClient *client;

  TAILQ_FOREACH (client, &all.clients, link)
    if ((client->state == CLIENT_WAITS) == waits
        && client->held > (largest != NULL ? largest->held : 0))
      largest = client;
  return largest;
}

static void
note_closed (void)
{
  gint64 now_ms = clock_now_ms ();

  counter_add (COUNTER_CLIENTS_OVER_MEMORY, 1);
  all.n_closed++;
  if (now_ms - all.noted_ms < NOTE_INTERVAL_MS)
    return;
  event_note ("clients-closed", "-", "reason=memory closed=%u held_kb=%zu limit_kb=%zu",
              all.n_closed, held_memory (HELD_BUFFERS) >> 10,
              held_memory_limit (HELD_BUFFERS) >> 10);
  all.noted_ms = now_ms;
  all.n_closed = 0;
}

/* Clients that wait for an answer go last: their requests are being served. */
static void
on_reclaim (evutil_socket_t fd, short what, void *ctx)
{
  while (held_memory (HELD_BUFFERS) > held_memory_limit (HELD_BUFFERS))
    {
      HttpClient *client = find_largest (FALSE);

      if (client == NULL)
        client = find_largest (TRUE);
      if (client == NULL)
        return;
      note_closed ();
      evhttp_connection_free (client->connection); /* frees the client as well */
    }
}
