/* Stand-in (fake) for a backend server. The payload of a task selects the response:
 * "MS" or "MS:ANYTHING" echoes the payload after MS milliseconds, "fail:STATUS" returns
 * that status, "big:BYTES" returns a body of that size. Every start is logged before it
 * is processed; GET /starts returns the log, one "MILLISECONDS TASK_ID" per line.
 *
 * POST /faults?mode=MODE sets the fault mode: "ok"; "fail" (500 at once); "hang" (never
 * responds); "slow" (four times as long); "drop" (closes the connection after the
 * start). */
#include "clock.h"
#include "http.h"
#include "listen.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ANNOUNCE_MS 1000
#define SLOW_FACTOR 4
#define BIG_MAX (64u << 20) /* bytes */

typedef enum
{
  MODE_OK,
  MODE_FAIL,
  MODE_HANG,
  MODE_SLOW,
  MODE_DROP,
} Mode;

static const char *const mode_names[] = { "ok", "fail", "hang", "slow", "drop" };

typedef struct
{
  struct event_base *base;
  Mode mode;
  GString *starts;
  guint64 n_starts;
  guint running;
  guint most_running;
  char *name;
  char *service;
  char *zone;
  char *address;
  gint slots;
  HttpPool *entry;
  gboolean leaving;
  gboolean silent;
} Backend;

typedef struct
{
  Backend *backend;
  struct evhttp_request *request;
  char *payload;
  gsize size;
  int status;
} Run;

static void
run_free (Run *run)
{
  run->backend->running--;
  g_free (run->payload);
  g_free (run);
}

static void
on_run_done (evutil_socket_t fd, short what, void *ctx)
{
  Run *run = ctx;

  if (run->request != NULL)
    {
      evhttp_connection_set_closecb (evhttp_request_get_connection (run->request), NULL,
                                     NULL);
      http_reply (run->request, run->status, "application/octet-stream", run->payload,
                  run->size, 0);
    }
  run_free (run);
}

static void
on_closed (struct evhttp_connection *connection, void *ctx)
{
  Run *run = ctx;

  run->request = NULL;
}

static void
set_big_payload (Run *run, guint64 size)
{
  run->size = MIN (size, BIG_MAX);
  g_free (run->payload);
  run->payload = g_malloc (run->size + 1);
  memset (run->payload, 'x', run->size);
}

static void
drop_connection (evutil_socket_t fd, short what, void *ctx)
{
  evhttp_connection_free (ctx);
}

static void
serve_task (Backend *backend, struct evhttp_request *request)
{
  struct evhttp_connection *connection = evhttp_request_get_connection (request);
  const char *id
      = evhttp_find_header (evhttp_request_get_input_headers (request), "X-Task-Id");
  Run *run = g_new0 (Run, 1);
  guint ms = 0;
  struct timeval delay = { 0, 0 };

  g_string_append_printf (backend->starts, "%" G_GINT64_FORMAT " %s\n", clock_now_ms (),
                          id != NULL ? id : "-");
  backend->n_starts++;
  backend->running++;
  backend->most_running = MAX (backend->most_running, backend->running);
  run->backend = backend;
  run->request = request;
  run->payload = http_request_body (request, &run->size);
  run->status = 200;
  if (g_str_has_prefix (run->payload, "fail:"))
    run->status = atoi (run->payload + strlen ("fail:"));
  else if (g_str_has_prefix (run->payload, "big:"))
    set_big_payload (run, g_ascii_strtoull (run->payload + strlen ("big:"), NULL, 10));
  else
    ms = (guint)atoi (run->payload);
  if (backend->mode == MODE_FAIL)
    run->status = 500;
  if (backend->mode == MODE_FAIL)
    ms = 0;
  if (backend->mode == MODE_SLOW)
    ms *= SLOW_FACTOR;
  if (backend->mode == MODE_DROP)
    {
      run_free (run);
      event_base_once (backend->base, -1, EV_TIMEOUT, drop_connection, connection,
                       &delay);
      return;
    }
  evhttp_connection_set_closecb (connection, on_closed, run);
  if (backend->mode == MODE_HANG)
    return;
  delay = timeval_from_ms (ms);
  event_base_once (backend->base, -1, EV_TIMEOUT, on_run_done, run, &delay);
}

static void
reply_plain (struct evhttp_request *request, int status, const char *text)
{
  http_reply (request, status, "text/plain", text, strlen (text), 0);
}

static void
serve_faults (Backend *backend, struct evhttp_request *request)
{
  char *mode = http_query_value (request, "mode");
  int status = 400;

  for (guint i = 0; mode != NULL && i < G_N_ELEMENTS (mode_names); i++)
    if (strcmp (mode, mode_names[i]) == 0)
      {
        backend->mode = i;
        status = 200;
      }
  g_free (mode);
  reply_plain (request, status, status == 200 ? "switched\n" : "unknown mode\n");
}

static void
serve_counts (Backend *backend, struct evhttp_request *request)
{
  char *text
      = g_strdup_printf ("starts %" G_GUINT64_FORMAT "\nrunning %u\nmost_running %u\n",
                         backend->n_starts, backend->running, backend->most_running);

  reply_plain (request, 200, text);
  g_free (text);
}

static void
on_announce_done (const HttpAnswer *answer, gpointer ctx)
{
}

static void
announce (Backend *backend)
{
  char *body
      = g_strdup_printf ("{\"name\":\"%s\",\"service\":\"%s\",\"zone\":\"%s\","
                         "\"address\":\"%s\",\"slots\":%d,\"connections\":64,"
                         "\"leaving\":%s}",
                         backend->name, backend->service, backend->zone, backend->address,
                         backend->slots, backend->leaving ? "true" : "false");
  HttpCall call = { .method = EVHTTP_REQ_POST,
                    .path = "/v1/announce",
                    .body = body,
                    .size = strlen (body),
                    .timeout_ms = ANNOUNCE_MS,
                    .done = on_announce_done,
                    .ctx = backend };

  if (backend->entry != NULL && !backend->silent)
    http_pool_call (backend->entry, &call);
  g_free (body);
}

static void
on_announce_timer (evutil_socket_t fd, short what, void *ctx)
{
  announce (ctx);
}

/* POST /leave?how=announced announces the departure; ?how=silent stops announcing. */
static void
serve_leave (Backend *backend, struct evhttp_request *request)
{
  char *how = http_query_value (request, "how");

  if (g_strcmp0 (how, "silent") == 0)
    backend->silent = TRUE;
  else
    backend->leaving = TRUE;
  announce (backend);
  g_free (how);
  reply_plain (request, 200, "leaving\n");
}

static void
on_request (struct evhttp_request *request, void *ctx)
{
  Backend *backend = ctx;
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));

  if (strcmp (path, "/starts") == 0)
    http_reply (request, 200, "text/plain", backend->starts->str, backend->starts->len,
                0);
  else if (strcmp (path, "/counts") == 0)
    serve_counts (backend, request);
  else if (strcmp (path, "/faults") == 0)
    serve_faults (backend, request);
  else if (strcmp (path, "/leave") == 0)
    serve_leave (backend, request);
  else
    serve_task (backend, request);
}

static void
on_term (evutil_socket_t number, short what, void *ctx)
{
  event_base_loopbreak (ctx);
}

int
main (int argc, char **argv)
{
  Backend backend = { event_base_new () };
  char *listen = NULL;
  char *entry = NULL;
  GError *error = NULL;
  struct evhttp *http;
  struct event *timer;
  struct timeval interval = timeval_from_ms (ANNOUNCE_MS);
  const GOptionEntry entries[] = {
    { "listen", 0, 0, G_OPTION_ARG_STRING, &listen, "Address to listen on", "IP:PORT" },
    { "announce", 0, 0, G_OPTION_ARG_STRING, &entry, "Announce to this entry",
      "IP:PORT" },
    { "name", 0, 0, G_OPTION_ARG_STRING, &backend.name, "Name announced", "NAME" },
    { "service", 0, 0, G_OPTION_ARG_STRING, &backend.service, "Service offered", "NAME" },
    { "zone", 0, 0, G_OPTION_ARG_STRING, &backend.zone, "Availability zone", "NAME" },
    { "slots", 0, 0, G_OPTION_ARG_INT, &backend.slots, "Slots announced", "N" },
    { NULL }
  };
  GOptionContext *context = g_option_context_new (NULL);

  backend.slots = 8;
  backend.starts = g_string_new (NULL);
  g_option_context_set_summary (context, "Stands in for a backend server.");
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    goto fail;
  http = listen_http (backend.base, listen != NULL ? listen : "127.0.0.1:0",
                      &backend.address, &error);
  if (http == NULL)
    goto fail;
  evhttp_set_timeout (http, 3600);
  signal (SIGPIPE, SIG_IGN);
  evhttp_set_gencb (http, on_request, &backend);
  if (entry != NULL)
    backend.entry = http_pool_new (backend.base, entry, 1);
  backend.name = backend.name != NULL ? backend.name : g_strdup ("standin");
  backend.service = backend.service != NULL ? backend.service : g_strdup ("exchange");
  backend.zone = backend.zone != NULL ? backend.zone : g_strdup ("zone-1");
  timer = event_new (backend.base, -1, EV_PERSIST, on_announce_timer, &backend);
  event_add (timer, &interval);
  announce (&backend);
  event_add (evsignal_new (backend.base, SIGTERM, on_term, backend.base), NULL);
  fprintf (stderr, "standin-backend listens, http %s\n", backend.address);
  event_base_dispatch (backend.base);
  return EXIT_SUCCESS;

fail:
  fprintf (stderr, "standin-backend: %s\n", error->message);
  return EXIT_FAILURE;
}
