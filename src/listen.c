#include "listen.h"
#include "clock.h"
#include "counters.h"
#include "findings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>

#define HEADERS_MAX_BYTES 16384
#define IDLE_TIMEOUT_S 60
/* evhttp closes the connection beyond this. limits.max_body_kb, at most 16 MB, is below
 * it and is answered with an error. */
#define BODY_MAX_BYTES (18 << 20)

/* After accept () has failed, for want of descriptors or memory. */
#define ACCEPT_PAUSE_MS 100

struct Listener
{
  struct evconnlistener *listener;
  struct event *resume;
  char *address;
  ListenAccept accept;
  gpointer ctx;
};

static char *
socket_address (evutil_socket_t fd)
{
  struct sockaddr_in where = { 0 };
  socklen_t length = sizeof where;
  char ip[INET_ADDRSTRLEN];

  if (getsockname (fd, (struct sockaddr *)&where, &length) < 0)
    return g_strdup ("");
  inet_ntop (AF_INET, &where.sin_addr, ip, sizeof ip);
  return g_strdup_printf ("%s:%u", ip, ntohs (where.sin_port));
}

static void
on_accept (struct evconnlistener *evlistener,
           evutil_socket_t fd,
           struct sockaddr *address,
           int length,
           void *ctx)
{
  Listener *listener = ctx;

  listener->accept (fd, listener->ctx);
}

/* Without a pause the loop would find the socket readable again at once. */
static void
on_accept_error (struct evconnlistener *evlistener, void *ctx)
{
  const struct timeval pause = timeval_from_ms (ACCEPT_PAUSE_MS);
  Listener *listener = ctx;

  counter_add (COUNTER_ACCEPTS_FAILED, 1);
  evconnlistener_disable (evlistener);
  event_add (listener->resume, &pause);
}

static void
on_resume (evutil_socket_t fd, short what, void *ctx)
{
  Listener *listener = ctx;

  evconnlistener_enable (listener->listener);
}

static gboolean
parse_address (const char *address, struct sockaddr_in *where, GError **error)
{
  const char *colon = strrchr (address, ':');
  char *ip = g_strndup (address, colon != NULL ? (gsize)(colon - address) : 0);
  guint64 port = 0;
  gboolean ok;

  colon = colon != NULL ? colon + 1 : "";
  memset (where, 0, sizeof *where);
  where->sin_family = AF_INET;
  ok = inet_pton (AF_INET, ip, &where->sin_addr) == 1
       && g_ascii_string_to_unsigned (colon, 10, 0, 65535, &port, NULL);
  where->sin_port = htons ((guint16)port);
  g_free (ip);
  if (!ok)
    g_set_error (error, GODWITSPAR_ERROR, GODWITSPAR_ERROR_SYSTEM,
                 "'%s' is not an ip:port", address);
  return ok;
}

static void
set_bind_error (GError **error, const char *address)
{
  g_set_error (error, GODWITSPAR_ERROR, GODWITSPAR_ERROR_SYSTEM,
               "cannot listen on %s: %s", address, g_strerror (errno));
}

Listener *
listen_frames (struct event_base *base,
               const char *address,
               ListenAccept accept,
               gpointer ctx,
               GError **error)
{
  struct sockaddr_in where = { 0 };
  Listener *listener;

  if (!parse_address (address, &where, error))
    return NULL;
  listener = g_new0 (Listener, 1);
  listener->accept = accept;
  listener->ctx = ctx;
  listener->listener = evconnlistener_new_bind (
      base, on_accept, listener,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
      (struct sockaddr *)&where, sizeof where);
  if (listener->listener == NULL)
    {
      set_bind_error (error, address);
      g_free (listener);
      return NULL;
    }
  listener->resume = evtimer_new (base, on_resume, listener);
  evconnlistener_set_error_cb (listener->listener, on_accept_error);
  listener->address = socket_address (evconnlistener_get_fd (listener->listener));
  return listener;
}

void
listen_free (Listener *listener)
{
  if (listener == NULL)
    return;
  evconnlistener_free (listener->listener);
  event_free (listener->resume);
  g_free (listener->address);
  g_free (listener);
}

const char *
listen_address (const Listener *listener)
{
  return listener->address;
}

struct evhttp *
listen_http (struct event_base *base, const char *address, char **bound, GError **error)
{
  struct sockaddr_in where = { 0 };
  char ip[INET_ADDRSTRLEN];
  struct evhttp *http;
  struct evhttp_bound_socket *handle;

  if (!parse_address (address, &where, error))
    return NULL;
  inet_ntop (AF_INET, &where.sin_addr, ip, sizeof ip);
  http = evhttp_new (base);
  handle = evhttp_bind_socket_with_handle (http, ip, ntohs (where.sin_port));
  if (handle == NULL)
    {
      set_bind_error (error, address);
      evhttp_free (http);
      return NULL;
    }
  evhttp_set_allowed_methods (http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_DELETE);
  evhttp_set_max_headers_size (http, HEADERS_MAX_BYTES);
  evhttp_set_max_body_size (http, BODY_MAX_BYTES);
  evhttp_set_timeout (http, IDLE_TIMEOUT_S);
  *bound = socket_address (evhttp_bound_socket_get_fd (handle));
  return http;
}
