#pragma once
/* HTTP over evhttp: a client with a bounded connection pool for each peer, and helpers
 * for servers. */
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

typedef struct HttpPool HttpPool;
/* A call in progress. */
typedef struct HttpJob HttpJob;

typedef enum
{
  HTTP_ANSWERED,
  HTTP_NOT_SENT, /* no byte of the request was sent */
  HTTP_BROKEN,   /* sent at least in part, without a complete response */
} HttpEnd;

typedef struct
{
  HttpEnd end;
  gboolean timed_out; /* ended by the call's own timeout */
  gsize received;     /* bytes of the response, including its headers */
  gint64 begun_ms;    /* duration from the call to the first byte, or else to its end */
  int status;
  const char *retry_after; /* the header's value, or NULL */
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
  /* From call to complete response; with @read_timeout_ms, to first byte. */
  guint timeout_ms;
  guint read_timeout_ms; /* between two pieces of the response, 0: none; does not abort
                          * a large one over a slow link while it arrives */
  gboolean fresh;        /* not on a reused connection, which may be dead */
  void (*heard) (gpointer ctx); /* NULL, or called for each piece of the response */
  HttpDone done; /* called once, never before http_pool_call () has returned */
  gpointer ctx;
} HttpCall;

/**
 * http_pool_new - client of one peer.
 * @address: "ip:port".
 * @connections: limit of open connections; further calls are queued.
 */
HttpPool *http_pool_new (struct event_base *base, const char *address, guint connections);

/** http_pool_keep_idle - reuse connections that were idle up to @idle_ms (default 2 s).
 */
void http_pool_keep_idle (HttpPool *pool, guint idle_ms);

/** http_pool_is_receiving - whether part of an incomplete response arrived within the
 * last @within_ms. */
gboolean http_pool_is_receiving (const HttpPool *pool, guint within_ms);

/** http_pool_free - unfinished calls end with HTTP_BROKEN or HTTP_NOT_SENT. */
void http_pool_free (HttpPool *pool);

/** http_pool_call - Return: the call, valid until its done () is called or it is dropped.
 */
HttpJob *http_pool_call (HttpPool *pool, const HttpCall *call);

/** http_job_drop - cancel a call without done () and close its connection. */
void http_job_drop (HttpJob *job);

/** http_split_address - split "ip:port". Return: FALSE if @address is not of this form.
 */
gboolean http_split_address (const char *address, char **ip, guint16 *port);

/** http_reply - send a response; @type is its Content-Type, @retry_after_s 0 for none. */
void http_reply (struct evhttp_request *request,
                 int status,
                 const char *type,
                 const void *body,
                 gsize size,
                 guint retry_after_s);

/** http_request_body - take the body as bytes, NUL-terminated; free with g_free. */
char *http_request_body (struct evhttp_request *request, gsize *size);

/** http_query_value - a parameter of the query string, or NULL; free with g_free. */
char *http_query_value (struct evhttp_request *request, const char *name);
