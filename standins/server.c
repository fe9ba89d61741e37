/* A stand-in for a back end of the users' platform that runs tasks under leases, by its
 * published protocol: run-start, run-stop, hold, heartbeats. A task whose spec is "MS"
 * takes MS milliseconds; "fail:MS" ends as failed after that; under the first task of
 * "crash:MS" the back end crashes after that, and is back a while later.
 *
 * GET /runs lists all starts and ends: "start|HOW MILLISECONDS TASK RUN" a line.
 * POST /faults?mode=MODE switches: "ok"; "mute" (nothing is answered); "late" (orders are
 * carried out after two seconds, unanswered); "hang" (tasks stand still); "shrink" (half
 * of its capacity); "restart" (a new life); "drain" and "leave". */
#include "clock.h"
#include "http.h"
#include "listen.h"

#include <json-glib/json-glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 5
#define STOP_MS 20
#define LATE_MS 2000
#define HEARTBEAT_MS 300
#define CPU_EACH 1000
#define WATCH_MOST_MS 2000
#define DOWN_MS 500 /* after a crash */
/* Orders that were given before the agent knew what has shrunk may be under way. */
#define SHRINK_GRACE_MS 1000

typedef enum
{
  MODE_OK,
  MODE_MUTE,
  MODE_LATE,
  MODE_HANG,
  MODE_SHRUNK,
} Mode;

typedef struct
{
  char *name;
  gint64 run;
  gint64 begun;
  gint64 length;
  gint64 done;     /* milliseconds of its work */
  gint64 stops_at; /* 0: not being stopped */
  gboolean fails;
  gboolean crashes;
} Task;

typedef struct
{
  gint64 number;
  char *name;
  gint64 run;
  const char *how;
} End;

/* A hold that waits for an end. */
typedef struct
{
  struct evhttp_request *request;
  gint64 until;
} Waiter;

typedef struct
{
  guint life; /* that it was meant for */
  char *path;
  JsonNode *body;
  gint64 due;
} LateOrder;

typedef struct
{
  struct event_base *base;
  char *address;
  const char *zone;
  HttpPool *agent;
  guint life;
  char instance[32];
  gint64 start;
  gint64 token;
  gint64 lease;
  gint64 ends;
  gint64 sequence;
  guint cpu;
  Mode mode;
  gint64 down_until;
  guint beat_cpu;    /* in the last heartbeat sent */
  guint told_cpu;    /* in the last one acknowledged */
  gint64 told_ms;    /* since when that is so */
  guint told_before; /* before that */
  gboolean draining;
  GPtrArray *tasks;
  GPtrArray *ended;
  GPtrArray *waiters;
  GPtrArray *late;
  GHashTable *over; /* task -> highest number of a run that is over in this life */
  GString *log;
  gint64 beat_ms;
} Server;

static void
task_free (gpointer data)
{
  Task *task = data;

  g_free (task->name);
  g_free (task);
}

static void
end_free (gpointer data)
{
  End *end = data;

  g_free (end->name);
  g_free (end);
}

static void
late_free (gpointer data)
{
  LateOrder *order = data;

  g_free (order->path);
  json_node_unref (order->body);
  g_free (order);
}

static gint64
server_ms (const Server *server)
{
  return clock_now_ms () - server->start + 1000;
}

static void
note (Server *server, const char *what, const char *name, gint64 run)
{
  g_string_append_printf (server->log,
                          "%s %" G_GINT64_FORMAT " %s %" G_GINT64_FORMAT "\n", what,
                          clock_now_ms (), name, run);
}

static void
begin_life (Server *server)
{
  for (guint i = 0; i < server->tasks->len; i++)
    {
      const Task *task = g_ptr_array_index (server->tasks, i);

      note (server, "crashed", task->name, task->run);
    }
  server->life++;
  g_snprintf (server->instance, sizeof server->instance, "i-%d-%u", (int)getpid (),
              server->life);
  server->start = clock_now_ms ();
  server->token = 0;
  server->lease = 0;
  server->ends = 0;
  server->sequence = 0;
  server->draining = FALSE;
  g_ptr_array_set_size (server->tasks, 0);
  g_ptr_array_set_size (server->ended, 0);
  g_hash_table_remove_all (server->over);
}

static GString *
lists (Server *server)
{
  GString *body = g_string_new (NULL);

  g_string_printf (body, "{\"clock_ms\":%" G_GINT64_FORMAT ",\"running\":[",
                   server_ms (server));
  for (guint i = 0; i < server->tasks->len; i++)
    {
      const Task *task = g_ptr_array_index (server->tasks, i);

      g_string_append_printf (body, "%s[\"%s\",%" G_GINT64_FORMAT ",\"\",%d,0]",
                              i > 0 ? "," : "", task->name, task->run,
                              (int)MIN (task->done * 100 / MAX (task->length, 1), 99));
    }
  g_string_append (body, "],\"ended\":[");
  for (guint i = 0; i < server->ended->len; i++)
    {
      const End *end = g_ptr_array_index (server->ended, i);

      g_string_append_printf (
          body, "%s[%" G_GINT64_FORMAT ",\"%s\",%" G_GINT64_FORMAT ",\"%s\",\"\"]",
          i > 0 ? "," : "", end->number, end->name, end->run, end->how);
    }
  g_string_append (body, "]}");
  return body;
}

static void
reply_lists (Server *server, struct evhttp_request *request)
{
  GString *body = lists (server);

  http_reply (request, 200, "application/json", body->str, body->len, 0);
  g_string_free (body, TRUE);
}

static void
reply_short (Server *server,
             struct evhttp_request *request,
             int status,
             const char *reason)
{
  char *body
      = g_strdup_printf ("{\"clock_ms\":%" G_GINT64_FORMAT "%s%s%s}", server_ms (server),
                         reason != NULL ? ",\"reason\":\"" : "",
                         reason != NULL ? reason : "", reason != NULL ? "\"" : "");

  http_reply (request, status, "application/json", body, strlen (body), 0);
  g_free (body);
}

/* The highest number under which a run of the task was stopped or ended in this life. */
static gint64
last_run (Server *server, const char *name)
{
  gint64 *run = g_hash_table_lookup (server->over, name);

  return run != NULL ? *run : 0;
}

static void
note_over (Server *server, const char *name, gint64 run)
{
  gint64 highest = MAX (run, last_run (server, name));

  g_hash_table_replace (server->over, g_strdup (name),
                        g_memdup2 (&highest, sizeof highest));
}

static void
end_task (Server *server, guint i, const char *how)
{
  const Task *task = g_ptr_array_index (server->tasks, i);
  End *end = g_new0 (End, 1);

  end->number = ++server->ends;
  end->name = g_strdup (task->name);
  end->run = task->run;
  end->how = how;
  note (server, how, task->name, task->run);
  note_over (server, task->name, task->run);
  g_ptr_array_add (server->ended, end);
  g_ptr_array_remove_index (server->tasks, i);
}

static int
find_task (const Server *server, const char *name)
{
  for (guint i = 0; i < server->tasks->len; i++)
    if (strcmp (((Task *)g_ptr_array_index (server->tasks, i))->name, name) == 0)
      return (int)i;
  return -1;
}

static guint
capacity_told (const Server *server)
{
  return server->mode == MODE_SHRUNK ? server->cpu / 2 : server->cpu;
}

static gboolean
is_over_capacity (const Server *server)
{
  gboolean is_new = clock_now_ms () - server->told_ms < SHRINK_GRACE_MS;
  guint cpu = is_new ? MAX (server->told_cpu, server->told_before) : server->told_cpu;

  return server->tasks->len * CPU_EACH > cpu;
}

/* Return: how long the task takes. */
static gint64
read_spec (Task *task, const char *spec)
{
  const char *colon = strchr (spec, ':');

  task->fails = g_str_has_prefix (spec, "fail:");
  task->crashes
      = g_str_has_prefix (spec, "crash:") && g_str_has_suffix (task->name, ".0");
  return atoi (colon != NULL ? colon + 1 : spec);
}

static const char *
start_task (Server *server, JsonObject *body)
{
  const char *name = json_object_get_string_member (body, "task");
  const char *spec = json_object_get_string_member_with_default (body, "spec", "10");
  Task *task;

  if (find_task (server, name) >= 0)
    return NULL;
  if (server->lease <= server_ms (server))
    return "late";
  if (json_object_get_int_member (body, "run_id") <= last_run (server, name))
    return "old";
  task = g_new0 (Task, 1);
  task->name = g_strdup (name);
  task->run = json_object_get_int_member (body, "run_id");
  task->length = read_spec (task, spec);
  task->begun = clock_now_ms ();
  g_ptr_array_add (server->tasks, task);
  note (server, "start", name, task->run);
  if (is_over_capacity (server))
    note (server, "OVER-CAPACITY", name, task->run);
  return NULL;
}

/* Return: NULL, or why it is refused. */
static const char *
carry_out (Server *server, const char *path, JsonObject *body)
{
  gint64 token = json_object_get_int_member_with_default (body, "fencing_token", 0);
  gint64 seen = json_object_get_int_member_with_default (body, "acked_upto", 0);
  int i;

  if (token < server->token)
    return "fence";
  server->token = token;
  server->lease = MAX (server->lease,
                       json_object_get_int_member_with_default (body, "deadline_ms", 0));
  if (strcmp (path, "/run-start") == 0)
    return start_task (server, body);
  if (strcmp (path, "/run-stop") == 0)
    {
      note_over (server, json_object_get_string_member (body, "task"),
                 json_object_get_int_member (body, "run_id"));
      i = find_task (server, json_object_get_string_member (body, "task"));
      if (i >= 0)
        ((Task *)g_ptr_array_index (server->tasks, i))->stops_at
            = clock_now_ms () + STOP_MS;
      return NULL;
    }
  while (server->ended->len > 0
         && ((End *)g_ptr_array_index (server->ended, 0))->number <= seen)
    g_ptr_array_remove_index (server->ended, 0);
  return NULL;
}

static void
on_waiter_gone (struct evhttp_connection *connection, void *ctx)
{
  Server *server = ctx;

  for (guint i = server->waiters->len; i > 0; i--)
    {
      Waiter *waiter = g_ptr_array_index (server->waiters, i - 1);

      if (evhttp_request_get_connection (waiter->request) == connection)
        g_ptr_array_remove_index (server->waiters, i - 1);
    }
}

static void
wait_for_end (Server *server, struct evhttp_request *request, gint64 wait_ms)
{
  Waiter *waiter = g_new0 (Waiter, 1);

  waiter->request = request;
  waiter->until = clock_now_ms () + MIN (wait_ms, WATCH_MOST_MS);
  evhttp_connection_set_closecb (evhttp_request_get_connection (request), on_waiter_gone,
                                 server);
  g_ptr_array_add (server->waiters, waiter);
}

static void
serve_order (Server *server, struct evhttp_request *request, const char *path)
{
  const char *expected = evhttp_find_header (evhttp_request_get_input_headers (request),
                                             "X-Expect-Instance");
  gsize size;
  char *text = http_request_body (request, &size);
  JsonNode *root = json_from_string (text, NULL);
  JsonObject *body = root != NULL ? json_node_get_object (root) : NULL;
  const char *reason;

  if (body == NULL)
    {
      reply_short (server, request, 400, NULL);
    }
  else if (expected != NULL && strcmp (expected, server->instance) != 0)
    {
      reply_short (server, request, 421, NULL);
    }
  else if (server->mode == MODE_LATE && strcmp (path, "/hold") != 0)
    {
      LateOrder *order = g_new0 (LateOrder, 1);

      order->life = server->life;
      order->path = g_strdup (path);
      order->body = json_node_ref (root);
      order->due = clock_now_ms () + LATE_MS;
      g_ptr_array_add (server->late, order);
    }
  else if ((reason = carry_out (server, path, body)) != NULL)
    {
      reply_short (server, request, 409, reason);
    }
  else if (strcmp (path, "/hold") != 0)
    {
      reply_short (server, request, 200, NULL);
    }
  else if (json_object_get_int_member_with_default (body, "wait_ms", 0) > 0
           && server->ended->len == 0)
    {
      wait_for_end (server, request, json_object_get_int_member (body, "wait_ms"));
    }
  else
    {
      reply_lists (server, request);
    }
  g_clear_pointer (&root, json_node_unref);
  g_free (text);
}

static void
on_beaten (const HttpAnswer *answer, gpointer ctx)
{
  Server *server = ctx;

  if (answer->end != HTTP_ANSWERED || server->beat_cpu == server->told_cpu)
    return;
  server->told_before = server->told_cpu;
  server->told_cpu = server->beat_cpu;
  server->told_ms = clock_now_ms ();
}

static void
beat (Server *server, const char *what)
{
  char *path = g_strdup_printf ("/Instances.%s/%s", what, server->instance);
  char *body = g_strdup_printf (
      "{\"service\":\"exchange\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
      "\"slots\":8,\"state\":\"%s\",\"capacity\":{\"cpu\":%u,\"mem_mb\":65536,\"gpu\":0},"
      "\"labels\":[\"a\",\"r1-1\"],\"clock_ms\":%" G_GINT64_FORMAT
      ",\"seq\":%" G_GINT64_FORMAT "}",
      server->address, server->zone, server->draining ? "draining" : "ready",
      capacity_told (server), server_ms (server), ++server->sequence);
  HttpCall call = { .method = EVHTTP_REQ_POST,
                    .path = path,
                    .body = body,
                    .size = strlen (body),
                    .timeout_ms = 1000,
                    .done = on_beaten,
                    .ctx = server };

  server->beat_ms = clock_now_ms ();
  server->beat_cpu = capacity_told (server);
  http_pool_call (server->agent, &call);
  g_free (path);
  g_free (body);
}

static void
crash (Server *server)
{
  begin_life (server);
  server->down_until = clock_now_ms () + DOWN_MS;
}

static gboolean
is_deaf (const Server *server)
{
  return server->mode == MODE_MUTE || clock_now_ms () < server->down_until;
}

static void
work (Server *server)
{
  gint64 now = clock_now_ms ();

  for (guint i = server->tasks->len; i > 0; i--)
    {
      Task *task = g_ptr_array_index (server->tasks, i - 1);

      if (server->mode != MODE_HANG)
        task->done += TICK_MS;
      if (task->stops_at != 0 && now >= task->stops_at)
        end_task (server, i - 1, "stopped");
      else if (server_ms (server) > server->lease)
        end_task (server, i - 1, "lapsed");
      else if (task->done >= task->length && task->crashes)
        {
          crash (server);
          return;
        }
      else if (task->done >= task->length)
        end_task (server, i - 1, task->fails ? "failed" : "done");
    }
}

static void
answer_waiters (Server *server)
{
  gint64 now = clock_now_ms ();

  for (guint i = server->waiters->len; i > 0; i--)
    {
      Waiter *waiter = g_ptr_array_index (server->waiters, i - 1);

      if (server->ended->len == 0 && now < waiter->until)
        continue;
      evhttp_connection_set_closecb (evhttp_request_get_connection (waiter->request),
                                     NULL, NULL);
      reply_lists (server, waiter->request);
      g_ptr_array_remove_index (server->waiters, i - 1);
    }
}

static void
carry_out_late (Server *server)
{
  for (guint i = server->late->len; i > 0; i--)
    {
      LateOrder *order = g_ptr_array_index (server->late, i - 1);

      if (clock_now_ms () < order->due)
        continue;
      if (order->life == server->life)
        carry_out (server, order->path, json_node_get_object (order->body));
      g_ptr_array_remove_index (server->late, i - 1);
    }
}

static void
on_tick (evutil_socket_t fd, short what, void *ctx)
{
  Server *server = ctx;

  carry_out_late (server);
  work (server);
  if (is_deaf (server))
    return;
  answer_waiters (server);
  if (server->agent != NULL && clock_now_ms () - server->beat_ms > HEARTBEAT_MS)
    beat (server, "Heartbeat");
}

static void
serve_faults (Server *server, struct evhttp_request *request)
{
  static const char *const names[] = { "ok", "mute", "late", "hang", "shrink" };
  char *mode = http_query_value (request, "mode");

  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    if (g_strcmp0 (mode, names[i]) == 0)
      server->mode = i;
  if (g_strcmp0 (mode, "restart") == 0)
    begin_life (server);
  if (g_strcmp0 (mode, "drain") == 0)
    server->draining = TRUE;
  if (g_strcmp0 (mode, "leave") == 0)
    beat (server, "Leave");
  else if (!is_deaf (server) && server->agent != NULL)
    beat (server, "Heartbeat");
  reply_short (server, request, 200, NULL);
  g_free (mode);
}

/* The agent needs this server's address to start, and this server the agent's. */
static void
serve_agent (Server *server, struct evhttp_request *request)
{
  char *address = http_query_value (request, "address");

  g_clear_pointer (&server->agent, http_pool_free);
  server->agent = http_pool_new (server->base, address, 1);
  server->mode = MODE_OK;
  beat (server, "Heartbeat");
  reply_short (server, request, 200, NULL);
  g_free (address);
}

static void
on_request (struct evhttp_request *request, void *ctx)
{
  Server *server = ctx;
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));

  if (strcmp (path, "/runs") == 0)
    http_reply (request, 200, "text/plain", server->log->str, server->log->len, 0);
  else if (strcmp (path, "/faults") == 0)
    serve_faults (server, request);
  else if (strcmp (path, "/agent") == 0)
    serve_agent (server, request);
  else if (is_deaf (server))
    return;
  else
    serve_order (server, request, path);
}

int
main (int argc, char **argv)
{
  Server server = { event_base_new () };
  GError *error = NULL;
  struct timeval interval = timeval_from_ms (TICK_MS);
  struct event *tick = event_new (server.base, -1, EV_PERSIST, on_tick, &server);
  struct evhttp *http = listen_http (server.base, "127.0.0.1:0", &server.address, &error);

  signal (SIGPIPE, SIG_IGN);
  if (http == NULL)
    {
      fprintf (stderr, "standin-server: %s\n", error->message);
      return EXIT_FAILURE;
    }
  server.cpu = argc > 1 ? (guint)atoi (argv[1]) : 4 * CPU_EACH;
  server.zone = argc > 2 ? argv[2] : "z";
  server.told_cpu = server.cpu;
  server.tasks = g_ptr_array_new_with_free_func (task_free);
  server.ended = g_ptr_array_new_with_free_func (end_free);
  server.waiters = g_ptr_array_new_with_free_func (g_free);
  server.late = g_ptr_array_new_with_free_func (late_free);
  server.over = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  server.log = g_string_new (NULL);
  begin_life (&server);
  evhttp_set_gencb (http, on_request, &server);
  event_add (tick, &interval);
  fprintf (stderr, "standin-server listens, http %s\n", server.address);
  event_base_dispatch (server.base);
  return EXIT_SUCCESS;
}
