#pragma once
/* HTTP by evhttp: a small client with a bounded pool of connections for each peer, and
 * helpers to answer. */
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

typedef struct HttpPool HttpPool;
/* A call under way. */
typedef struct HttpJob HttpJob;

typedef enum
{
  HTTP_ANSWERED,
  HTTP_NOT_SENT, /* not one byte of the request left this process */
  HTTP_BROKEN,   /* sent at least in part, and no whole answer came */
} HttpEnd;

typedef struct
{
  HttpEnd end;
  gboolean timed_out; /* ended by the call's own timeout */
  gsize received;     /* bytes of the answer that had come, with its head */
  gint64 begun_ms;    /* from the call to its first byte, or to the end without one */
  int status;
  const char *retry_after; /* header, or NULL */
  const void *body;
  gsize size;
} HttpAnswer;

typedef void (*HttpDone) (const HttpAnswer *answer, gpointer ctx);

typedef struct
{
  enum evhttp_cmd_type method;
  const char *path;
  const char *const *headers; /* name, value, ..., NULL; or NULL */
  const void *body;
  gsize size;
  guint timeout_ms; /* from call to whole answer; with @silence_ms, to its first byte */
  guint silence_ms; /* 0, or the longest between two pieces of an answer that has begun: a
                     * large one over a slow link is not ended while it arrives */
  gboolean fresh;   /* not over a connection that served another call: it may be dead */
  void (*heard) (gpointer ctx); /* NULL, or called with each piece of the answer */
  HttpDone done; /* called once, never before http_pool_call () has returned */
  gpointer ctx;
} HttpCall;

/**
 * http_pool_new - calls to one peer.
 * @address: "ip:port".
 * @connections: the most that are open at once; further calls wait their turn.
 */
HttpPool *http_pool_new (struct event_base *base, const char *address, guint connections);

/** http_pool_keep_idle - reuse connections that were idle up to this long (2 s if unset).
 */
void http_pool_keep_idle (HttpPool *pool, guint idle_ms);

/** http_pool_is_receiving - whether an answer has begun, and went on within @within_ms.
 */
gboolean http_pool_is_receiving (const HttpPool *pool, guint within_ms);

/** http_pool_free - calls under way end as broken or not sent. */
void http_pool_free (HttpPool *pool);

/** http_pool_call - Return: the call, valid until its done () is called or it is dropped.
 */
HttpJob *http_pool_call (HttpPool *pool, const HttpCall *call);

/** http_job_drop - end a call without its done (), and close its connection. */
void http_job_drop (HttpJob *job);

/** http_split_address - "ip:port" into its parts; FALSE if it is not one. */
gboolean http_split_address (const char *address, char **ip, guint16 *port);

/** http_reply - answer a request; @type is its content type, @retry_after_s 0 for none.
 */
void http_reply (struct evhttp_request *request,
                 int status,
                 const char *type,
                 const void *body,
                 gsize size,
                 guint retry_after_s);

/** http_request_body - the body as bytes, copied and NUL-terminated; free with g_free. */
char *http_request_body (struct evhttp_request *request, gsize *size);

/** http_query_value - a value of the request's query string, or NULL; free with g_free.
 */
char *http_query_value (struct evhttp_request *request, const char *name);
