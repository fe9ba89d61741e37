#include "http.h"
#include "clock.h"
#include "counters.h"
#include "held_memory.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

/* Connections idle for longer are not reused: a middlebox may have dropped their state,
 * so that a request is lost and its result unknown. */
#define IDLE_REUSE_MS 2000
/* A peer that acknowledges neither data nor keepalive probes for this long is dead: its
 * kernel answers both, however long the task takes. */
#define PEER_DEAD_MS 4000
/* Bounds the memory that a peer which never stops sending can take. */
#define MAX_ANSWER_BYTES (32 << 20)

typedef struct HttpConn HttpConn;

struct HttpJob
{
  TAILQ_ENTRY (HttpJob) link;
  HttpPool *pool;
  HttpConn *conn;
  enum evhttp_cmd_type method;
  char *path;
  char **headers;
  GBytes *body;
  HttpDone done;
  gpointer ctx;
  struct event *timer;
  guint read_timeout_ms;
  gsize received;
  gboolean over_memory;
  gint64 called_ms;
  gint64 begun_ms; /* time of the response's first byte; 0: none yet */
  gint64 received_ms;
  gboolean fresh;
  void (*heard) (gpointer ctx);
  gboolean sent;
  gboolean finished;
};

struct HttpConn
{
  TAILQ_ENTRY (HttpConn) link;
  HttpPool *pool;
  struct evhttp_connection *evcon;
  HttpJob *job;
  gint64 idle_ms;
  gboolean closing;
};

struct HttpPool
{
  struct event_base *base;
  char *ip;
  guint16 port;
  guint limit;
  guint open;
  guint idle_ms;
  TAILQ_HEAD (, HttpConn) conns;
  TAILQ_HEAD (, HttpJob) waiting;
  struct event *sweep;
  struct event *wake;
  gboolean freeing;
};

gboolean
http_split_address (const char *address, char **ip, guint16 *port)
{
  const char *colon = strrchr (address, ':');
  guint64 number;

  if (colon == NULL || colon == address
      || !g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, &number, NULL))
    return FALSE;
  *ip = g_strndup (address, colon - address);
  *port = (guint16)number;
  return TRUE;
}

static void
job_free (HttpJob *job)
{
  held_memory_add (HELD_ANSWERS, -(gssize)job->received);
  g_clear_pointer (&job->timer, event_free);
  g_clear_pointer (&job->body, g_bytes_unref);
  g_strfreev (job->headers);
  g_free (job->path);
  g_free (job);
}

static void
job_end (HttpJob *job, const HttpAnswer *answer)
{
  if (job->finished)
    return;
  job->finished = TRUE;
  job->done (answer, job->ctx);
}

static void
conn_free (HttpConn *conn)
{
  TAILQ_REMOVE (&conn->pool->conns, conn, link);
  conn->pool->open--;
  evhttp_connection_free (conn->evcon);
  g_free (conn);
}

/* evhttp writes the request to the output buffer only once connected, so any byte added
 * means that the request may have been sent. */
static void
on_output (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *ctx)
{
  HttpConn *conn = ctx;

  if (info->n_added > 0 && conn->job != NULL)
    conn->job->sent = TRUE;
}

static void
on_input (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *ctx)
{
  HttpConn *conn = ctx;
  HttpJob *job = conn->job;
  struct timeval silence;

  if (job == NULL || info->n_added == 0)
    return;
  job->received += info->n_added;
  held_memory_add (HELD_ANSWERS, (gssize)info->n_added);
  if (held_memory (HELD_ANSWERS) > held_memory_limit (HELD_ANSWERS))
    {
      /* Connections must not be freed from the callbacks of their buffers. */
      job->over_memory = TRUE;
      event_active (job->timer, EV_TIMEOUT, 0);
    }
  job->received_ms = clock_now_ms ();
  if (job->begun_ms == 0)
    job->begun_ms = job->received_ms;
  if (job->read_timeout_ms > 0)
    {
      silence = timeval_from_ms (job->read_timeout_ms);
      event_add (job->timer, &silence);
    }
  if (job->heard != NULL)
    job->heard (job->ctx);
}

static void
set_socket_options (HttpConn *conn)
{
  evutil_socket_t fd
      = bufferevent_getfd (evhttp_connection_get_bufferevent (conn->evcon));
  unsigned timeout_ms = PEER_DEAD_MS;
  int one = 1;
  int idle_s = 2;
  int interval_s = 1;

  if (fd < 0)
    return;
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof one);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof interval_s);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof timeout_ms);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

static HttpConn *
conn_new (HttpPool *pool)
{
  HttpConn *conn = g_new0 (HttpConn, 1);
  struct bufferevent *bev;

  conn->pool = pool;
  conn->evcon = evhttp_connection_base_new (pool->base, NULL, pool->ip, pool->port);
  evhttp_connection_set_retries (conn->evcon, 0);
  evhttp_connection_set_timeout (conn->evcon, 3600);
  evhttp_connection_set_max_body_size (conn->evcon, MAX_ANSWER_BYTES);
  bev = evhttp_connection_get_bufferevent (conn->evcon);
  evbuffer_add_cb (bufferevent_get_output (bev), on_output, conn);
  evbuffer_add_cb (bufferevent_get_input (bev), on_input, conn);
  TAILQ_INSERT_TAIL (&pool->conns, conn, link);
  pool->open++;
  return conn;
}

/* Returns an idle connection or a new one, or NULL if the limit is reached. */
static HttpConn *
conn_take (HttpPool *pool, const HttpJob *job)
{
  gint64 now = clock_now_ms ();
  HttpConn *conn;
  HttpConn *next;

  for (conn = TAILQ_FIRST (&pool->conns); conn != NULL; conn = next)
    {
      next = TAILQ_NEXT (conn, link);
      if (conn->job != NULL || conn->closing)
        continue;
      if (!job->fresh && now - conn->idle_ms <= pool->idle_ms)
        return conn;
      if (!job->fresh || pool->open >= pool->limit)
        conn_free (conn);
    }
  return pool->open < pool->limit ? conn_new (pool) : NULL;
}

static void
finish_conn (HttpConn *conn, gboolean reusable)
{
  conn->job = NULL;
  conn->idle_ms = clock_now_ms ();
  conn->closing = !reusable;
  /* evhttp still uses the connection after its callback: free it from the event loop. */
  event_active (conn->pool->wake, EV_TIMEOUT, 0);
}

static HttpAnswer
partial_answer (const HttpJob *job)
{
  gint64 until = job->begun_ms > 0 ? job->begun_ms : clock_now_ms ();
  HttpAnswer answer = { .end = job->sent ? HTTP_BROKEN : HTTP_NOT_SENT,
                        .received = job->received,
                        .begun_ms = until - job->called_ms };

  return answer;
}

static void
fill_answer (HttpAnswer *answer, struct evhttp_request *request)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);

  answer->end = HTTP_ANSWERED;
  answer->status = evhttp_request_get_response_code (request);
  answer->retry_after
      = evhttp_find_header (evhttp_request_get_input_headers (request), "Retry-After");
  answer->size = evbuffer_get_length (input);
  answer->body = evbuffer_pullup (input, -1);
}

static void
on_response (struct evhttp_request *request, void *ctx)
{
  HttpJob *job = ctx;
  HttpConn *conn = job->conn;
  HttpAnswer answer = partial_answer (job);
  gboolean complete = request != NULL && evhttp_request_get_response_code (request) != 0;

  if (complete)
    fill_answer (&answer, request);
  finish_conn (conn, complete);
  job_end (job, &answer);
  job_free (job);
}

static void
send_job (HttpConn *conn, HttpJob *job)
{
  struct evhttp_request *request = evhttp_request_new (on_response, job);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  char *host = g_strdup_printf ("%s:%u", conn->pool->ip, conn->pool->port);
  gboolean has_host = FALSE;
  gsize size = 0;
  const void *body = job->body != NULL ? g_bytes_get_data (job->body, &size) : NULL;

  conn->job = job;
  job->conn = conn;
  for (char **header = job->headers; header != NULL && *header != NULL; header += 2)
    {
      evhttp_add_header (headers, header[0], header[1]);
      has_host |= g_ascii_strcasecmp (header[0], "Host") == 0;
    }
  if (!has_host)
    evhttp_add_header (headers, "Host", host);
  g_free (host);
  if (size > 0)
    evbuffer_add (evhttp_request_get_output_buffer (request), body, size);
  if (evhttp_make_request (conn->evcon, request, job->method, job->path) < 0)
    {
      HttpAnswer answer = { HTTP_NOT_SENT };

      evhttp_request_free (request);
      finish_conn (conn, FALSE);
      job_end (job, &answer);
      job_free (job);
      return;
    }
  set_socket_options (conn);
}

static void
pool_pump (HttpPool *pool)
{
  HttpJob *job;

  while ((job = TAILQ_FIRST (&pool->waiting)) != NULL)
    {
      HttpConn *conn = conn_take (pool, job);

      if (conn == NULL)
        return;
      TAILQ_REMOVE (&pool->waiting, job, link);
      send_job (conn, job);
    }
}

static void
free_closing (HttpPool *pool)
{
  HttpConn *conn;
  HttpConn *next;

  for (conn = TAILQ_FIRST (&pool->conns); conn != NULL; conn = next)
    {
      next = TAILQ_NEXT (conn, link);
      if (conn->closing && conn->job == NULL)
        conn_free (conn);
    }
}

static void
on_wake (evutil_socket_t fd, short what, void *ctx)
{
  free_closing (ctx);
  pool_pump (ctx);
}

static void
on_sweep (evutil_socket_t fd, short what, void *ctx)
{
  HttpPool *pool = ctx;
  gint64 now = clock_now_ms ();
  HttpConn *conn;
  HttpConn *next;

  for (conn = TAILQ_FIRST (&pool->conns); conn != NULL; conn = next)
    {
      next = TAILQ_NEXT (conn, link);
      if (conn->job == NULL && now - conn->idle_ms > pool->idle_ms)
        conn_free (conn);
    }
}

/* Removes an unfinished job from its connection or from the queue. */
static void
detach (HttpJob *job)
{
  HttpConn *conn = job->conn;
  HttpPool *pool = job->pool;

  if (conn == NULL)
    {
      TAILQ_REMOVE (&pool->waiting, job, link);
      return;
    }
  /* Freeing the connection drops its request without a callback. */
  conn->job = NULL;
  conn_free (conn);
  event_active (pool->wake, EV_TIMEOUT, 0);
}

static void
on_timeout (evutil_socket_t fd, short what, void *ctx)
{
  HttpJob *job = ctx;
  HttpAnswer answer = partial_answer (job);

  answer.timed_out = !job->over_memory;
  counter_add (COUNTER_CALLS_OVER_MEMORY, job->over_memory);
  detach (job);
  job_end (job, &answer);
  job_free (job);
}

void
http_job_drop (HttpJob *job)
{
  detach (job);
  job_free (job);
}

HttpPool *
http_pool_new (struct event_base *base, const char *address, guint connections)
{
  HttpPool *pool = g_new0 (HttpPool, 1);
  struct timeval interval = { 1, 0 };

  pool->base = base;
  pool->limit = connections;
  pool->idle_ms = IDLE_REUSE_MS;
  TAILQ_INIT (&pool->conns);
  TAILQ_INIT (&pool->waiting);
  if (!http_split_address (address, &pool->ip, &pool->port))
    pool->ip = g_strdup ("0.0.0.0");
  pool->sweep = event_new (base, -1, EV_PERSIST, on_sweep, pool);
  pool->wake = event_new (base, -1, 0, on_wake, pool);
  event_add (pool->sweep, &interval);
  return pool;
}

void
http_pool_keep_idle (HttpPool *pool, guint idle_ms)
{
  pool->idle_ms = idle_ms;
}

gboolean
http_pool_is_receiving (const HttpPool *pool, guint within_ms)
{
  gint64 now = clock_now_ms ();
  const HttpConn *conn;

  TAILQ_FOREACH (conn, &pool->conns, link)
    if (conn->job != NULL && conn->job->begun_ms > 0
        && now - conn->job->received_ms <= within_ms)
      return TRUE;
  return FALSE;
}

static void
end_unfinished (HttpJob *job)
{
  HttpAnswer answer = partial_answer (job);

  job_end (job, &answer);
  job_free (job);
}

void
http_pool_free (HttpPool *pool)
{
  HttpConn *conn;
  HttpJob *job;

  if (pool == NULL || pool->freeing)
    return;
  pool->freeing = TRUE;
  while ((conn = TAILQ_FIRST (&pool->conns)) != NULL)
    {
      job = conn->job;
      conn_free (conn);
      if (job != NULL)
        end_unfinished (job);
    }
  while ((job = TAILQ_FIRST (&pool->waiting)) != NULL)
    {
      TAILQ_REMOVE (&pool->waiting, job, link);
      end_unfinished (job);
    }
  event_free (pool->sweep);
  event_free (pool->wake);
  g_free (pool->ip);
  g_free (pool);
}

HttpJob *
http_pool_call (HttpPool *pool, const HttpCall *call)
{
  HttpJob *job = g_new0 (HttpJob, 1);
  struct timeval timeout = timeval_from_ms (call->timeout_ms);

  job->pool = pool;
  job->method = call->method;
  job->path = g_strdup (call->path);
  job->headers = g_strdupv ((char **)call->headers);
  job->body = g_bytes_new (call->body, call->size);
  job->read_timeout_ms = call->read_timeout_ms;
  job->fresh = call->fresh;
  job->heard = call->heard;
  job->done = call->done;
  job->ctx = call->ctx;
  job->called_ms = clock_now_ms ();
  job->timer = evtimer_new (pool->base, on_timeout, job);
  event_add (job->timer, &timeout);
  TAILQ_INSERT_TAIL (&pool->waiting, job, link);
  event_active (pool->wake, EV_TIMEOUT, 0);
  return job;
}
