/* Stand-in (fake) for a backend server of the users' platform that runs tasks under
 * leases, by its published protocol: run-start, run-stop, hold, heartbeats. A task with
 * the spec "MS" takes MS milliseconds; "fail:MS" then fails; the first task of a
 * "crash:MS" job then crashes the server, which is down for DOWN_MS, or for the time last
 * set with down=MS in a call to /faults.
 *
 * GET /runs returns all starts and ends, one "start|HOW MILLISECONDS TASK RUN" per line.
 * POST /faults?mode=MODE sets the fault mode: "ok"; "mute" (no responses to orders, no
 * heartbeats); "late" (start and stop orders are executed after LATE_MS and not
 * answered); "hang" (tasks make no progress); "shrink" (half the capacity); "restart" (a
 * new instance); "crash" (the same, after the server was down); "reuse" (a new instance
 * under the same id, which receives the late orders of the earlier one); "drain" and
 * "leave". "drain" with remaining=MS says how long the server stays; it then exits its
 * instance at that time. */
#include "clock.h"
#include "http.h"
#include "listen.h"

#include <json-glib/json-glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 5
#define STOP_MS 20 /* from the stop order to the end of the task */
#define LATE_MS 2000
#define HEARTBEAT_MS 300
#define TASK_CPU 1000 /* thousandths of a core */
#define LONG_POLL_MAX_MS 2000
#define DOWN_MS 500 /* after a crash, by default */
/* Starts sent before the agent received a smaller capacity may still arrive. */
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
  gint64 run_id;
  gint64 started_ms;
  gint64 length_ms;
  gint64 done_ms;
  gint64 stop_at_ms; /* 0: not stopping */
  gboolean fails;
  gboolean crashes;
} Task;

typedef struct
{
  gint64 number;
  char *name;
  gint64 run_id;
  const char *how;
} End;

/* A hold call that waits for the end of a run. */
typedef struct
{
  struct evhttp_request *request;
  gint64 deadline_ms;
} Waiter;

typedef struct
{
  guint instance_count; /* the instance that received it */
  char *path;
  JsonNode *body;
  gint64 due_ms;
} LateOrder;

typedef struct
{
  struct event_base *base;
  char *address;
  const char *zone;
  HttpPool *agent;
  guint instance_count;
  char instance[32];
  gint64 started_ms;
  gint64 born;        /* Unix ms */
  gboolean says_born; /* earlier versions of the protocol do not */
  gint64 leaves_ms;   /* own clock; 0: not said */
  gint64 token;
  gint64 lease_until; /* by server_ms () */
  gint64 n_ends;
  gint64 sequence;
  guint cpu;
  Mode mode;
  gint64 down_until;
  gint64 down_ms;     /* after a crash */
  guint sent_cpu;     /* in the last report sent */
  guint acked_cpu;    /* in the last report acknowledged */
  gint64 acked_ms;    /* time when acked_cpu last changed */
  guint previous_cpu; /* acked_cpu before that */
  gboolean draining;
  GPtrArray *tasks;
  GPtrArray *ended;
  GPtrArray *waiters;
  GPtrArray *late_orders;
  GHashTable *finished; /* task -> highest run stopped or ended in this instance */
  GString *log;
  gint64 sent_ms;
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
late_order_free (gpointer data)
{
  LateOrder *order = data;

  g_free (order->path);
  json_node_unref (order->body);
  g_free (order);
}

static gint64
server_ms (const Server *server)
{
  return clock_now_ms () - server->started_ms + 1000;
}

static void
log_run (Server *server, const char *what, const char *name, gint64 run_id)
{
  g_string_append_printf (server->log,
                          "%s %" G_GINT64_FORMAT " %s %" G_GINT64_FORMAT "\n", what,
                          clock_now_ms (), name, run_id);
}

static void
begin_instance (Server *server)
{
  for (guint i = 0; i < server->tasks->len; i++)
    {
      const Task *task = g_ptr_array_index (server->tasks, i);

      log_run (server, "crashed", task->name, task->run_id);
    }
  server->started_ms = clock_now_ms ();
  server->born = MAX (g_get_real_time () / 1000, server->born + 1);
  server->leaves_ms = 0;
  server->token = 0;
  server->lease_until = 0;
  server->n_ends = 0;
  server->sequence = 0;
  server->draining = FALSE;
  g_ptr_array_set_size (server->tasks, 0);
  g_ptr_array_set_size (server->ended, 0);
  g_hash_table_remove_all (server->finished);
}

static void
begin_named_instance (Server *server)
{
  server->instance_count++;
  g_snprintf (server->instance, sizeof server->instance, "i-%d-%u", (int)getpid (),
              server->instance_count);
  begin_instance (server);
}

static void
append_born (const Server *server, GString *body)
{
  if (server->says_born)
    g_string_append_printf (body, ",\"born\":%" G_GINT64_FORMAT, server->born);
}

static GString *
format_runs (Server *server)
{
  GString *body = g_string_new (NULL);

  g_string_printf (body, "{\"clock_ms\":%" G_GINT64_FORMAT ",\"running\":[",
                   server_ms (server));
  for (guint i = 0; i < server->tasks->len; i++)
    {
      const Task *task = g_ptr_array_index (server->tasks, i);

      g_string_append_printf (
          body, "%s[\"%s\",%" G_GINT64_FORMAT ",\"\",%d,0]", i > 0 ? "," : "", task->name,
          task->run_id, (int)MIN (task->done_ms * 100 / MAX (task->length_ms, 1), 99));
    }
  g_string_append (body, "],\"ended\":[");
  for (guint i = 0; i < server->ended->len; i++)
    {
      const End *end = g_ptr_array_index (server->ended, i);

      g_string_append_printf (
          body, "%s[%" G_GINT64_FORMAT ",\"%s\",%" G_GINT64_FORMAT ",\"%s\",\"\"]",
          i > 0 ? "," : "", end->number, end->name, end->run_id, end->how);
    }
  g_string_append_c (body, ']');
  append_born (server, body);
  g_string_append_c (body, '}');
  return body;
}

static void
reply_runs (Server *server, struct evhttp_request *request)
{
  GString *body = format_runs (server);

  http_reply (request, 200, "application/json", body->str, body->len, 0);
  g_string_free (body, TRUE);
}

static void
reply_status (Server *server,
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

static gint64
last_finished_run (Server *server, const char *name)
{
  gint64 *run_id = g_hash_table_lookup (server->finished, name);

  return run_id != NULL ? *run_id : 0;
}

static void
record_finished (Server *server, const char *name, gint64 run_id)
{
  gint64 highest = MAX (run_id, last_finished_run (server, name));

  g_hash_table_replace (server->finished, g_strdup (name),
                        g_memdup2 (&highest, sizeof highest));
}

static void
end_task (Server *server, guint i, const char *how)
{
  const Task *task = g_ptr_array_index (server->tasks, i);
  End *end = g_new0 (End, 1);

  end->number = ++server->n_ends;
  end->name = g_strdup (task->name);
  end->run_id = task->run_id;
  end->how = how;
  log_run (server, how, task->name, task->run_id);
  record_finished (server, task->name, task->run_id);
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
reported_cpu (const Server *server)
{
  return server->mode == MODE_SHRUNK ? server->cpu / 2 : server->cpu;
}

static gboolean
is_over_capacity (const Server *server)
{
  gboolean is_recent = clock_now_ms () - server->acked_ms < SHRINK_GRACE_MS;
  guint cpu
      = is_recent ? MAX (server->acked_cpu, server->previous_cpu) : server->acked_cpu;

  return server->tasks->len * TASK_CPU > cpu;
}

/* Return: the duration of the task in milliseconds. */
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
  if (server->lease_until <= server_ms (server))
    return "late";
  if (json_object_get_int_member (body, "run_id") <= last_finished_run (server, name))
    return "old";
  task = g_new0 (Task, 1);
  task->name = g_strdup (name);
  task->run_id = json_object_get_int_member (body, "run_id");
  task->length_ms = read_spec (task, spec);
  task->started_ms = clock_now_ms ();
  g_ptr_array_add (server->tasks, task);
  log_run (server, "start", name, task->run_id);
  if (is_over_capacity (server))
    log_run (server, "OVER-CAPACITY", name, task->run_id);
  return NULL;
}

/* Return: NULL, or the reason of the refusal. */
static const char *
execute_order (Server *server, const char *path, JsonObject *body)
{
  gint64 token = json_object_get_int_member_with_default (body, "fencing_token", 0);
  gint64 acked_upto = json_object_get_int_member_with_default (body, "acked_upto", 0);
  int i;

  if (token < server->token)
    return "fence";
  server->token = token;
  server->lease_until
      = MAX (server->lease_until,
             json_object_get_int_member_with_default (body, "deadline_ms", 0));
  if (strcmp (path, "/run-start") == 0)
    return start_task (server, body);
  if (strcmp (path, "/run-stop") == 0)
    {
      record_finished (server, json_object_get_string_member (body, "task"),
                       json_object_get_int_member (body, "run_id"));
      i = find_task (server, json_object_get_string_member (body, "task"));
      if (i >= 0)
        ((Task *)g_ptr_array_index (server->tasks, i))->stop_at_ms
            = clock_now_ms () + STOP_MS;
      return NULL;
    }
  while (server->ended->len > 0
         && ((End *)g_ptr_array_index (server->ended, 0))->number <= acked_upto)
    g_ptr_array_remove_index (server->ended, 0);
  return NULL;
}

static void
on_waiter_closed (struct evhttp_connection *connection, void *ctx)
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
add_waiter (Server *server, struct evhttp_request *request, gint64 wait_ms)
{
  Waiter *waiter = g_new0 (Waiter, 1);

  waiter->request = request;
  waiter->deadline_ms = clock_now_ms () + MIN (wait_ms, LONG_POLL_MAX_MS);
  evhttp_connection_set_closecb (evhttp_request_get_connection (request),
                                 on_waiter_closed, server);
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
      reply_status (server, request, 400, NULL);
    }
  else if (expected != NULL && strcmp (expected, server->instance) != 0)
    {
      reply_status (server, request, 421, NULL);
    }
  else if (server->mode == MODE_LATE && strcmp (path, "/hold") != 0)
    {
      LateOrder *order = g_new0 (LateOrder, 1);

      order->instance_count = server->instance_count;
      order->path = g_strdup (path);
      order->body = json_node_ref (root);
      order->due_ms = clock_now_ms () + LATE_MS;
      g_ptr_array_add (server->late_orders, order);
    }
  else if ((reason = execute_order (server, path, body)) != NULL)
    {
      reply_status (server, request, 409, reason);
    }
  else if (strcmp (path, "/hold") != 0)
    {
      reply_status (server, request, 200, NULL);
    }
  else if (json_object_get_int_member_with_default (body, "wait_ms", 0) > 0
           && server->ended->len == 0)
    {
      add_waiter (server, request, json_object_get_int_member (body, "wait_ms"));
    }
  else
    {
      reply_runs (server, request);
    }
  g_clear_pointer (&root, json_node_unref);
  g_free (text);
}

static void
on_report_done (const HttpAnswer *answer, gpointer ctx)
{
  Server *server = ctx;

  if (answer->end != HTTP_ANSWERED || server->sent_cpu == server->acked_cpu)
    return;
  server->previous_cpu = server->acked_cpu;
  server->acked_cpu = server->sent_cpu;
  server->acked_ms = clock_now_ms ();
}

static GString *
format_report (Server *server)
{
  GString *body = g_string_new (NULL);

  g_string_printf (
      body,
      "{\"service\":\"exchange\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
      "\"slots\":8,\"state\":\"%s\",\"capacity\":{\"cpu\":%u,\"mem_mb\":65536,\"gpu\":0},"
      "\"labels\":[\"a\",\"r1-1\"],\"clock_ms\":%" G_GINT64_FORMAT
      ",\"seq\":%" G_GINT64_FORMAT,
      server->address, server->zone, server->draining ? "draining" : "ready",
      reported_cpu (server), server_ms (server), ++server->sequence);
  append_born (server, body);
  if (server->leaves_ms > 0)
    g_string_append_printf (body, ",\"remaining_ms\":%" G_GINT64_FORMAT,
                            MAX (server->leaves_ms - clock_now_ms (), 0));
  g_string_append_c (body, '}');
  return body;
}

static void
send_report (Server *server, const char *what)
{
  char *path = g_strdup_printf ("/Instances.%s/%s", what, server->instance);
  GString *body = format_report (server);
  HttpCall call = { .method = EVHTTP_REQ_POST,
                    .path = path,
                    .body = body->str,
                    .size = body->len,
                    .timeout_ms = 1000,
                    .done = on_report_done,
                    .ctx = server };

  server->sent_ms = clock_now_ms ();
  server->sent_cpu = reported_cpu (server);
  http_pool_call (server->agent, &call);
  g_free (path);
  g_string_free (body, TRUE);
}

static void
crash (Server *server)
{
  begin_named_instance (server);
  server->down_until = clock_now_ms () + server->down_ms;
}

static gboolean
is_unresponsive (const Server *server)
{
  return server->mode == MODE_MUTE || clock_now_ms () < server->down_until;
}

static void
advance_tasks (Server *server)
{
  gint64 now = clock_now_ms ();

  for (guint i = server->tasks->len; i > 0; i--)
    {
      Task *task = g_ptr_array_index (server->tasks, i - 1);

      if (server->mode != MODE_HANG)
        task->done_ms += TICK_MS;
      if (task->stop_at_ms != 0 && now >= task->stop_at_ms)
        end_task (server, i - 1, "stopped");
      else if (server_ms (server) > server->lease_until)
        end_task (server, i - 1, "lapsed");
      else if (task->done_ms >= task->length_ms && task->crashes)
        {
          crash (server);
          return;
        }
      else if (task->done_ms >= task->length_ms)
        end_task (server, i - 1, task->fails ? "failed" : "done");
    }
}

static void
reply_to_waiters (Server *server)
{
  gint64 now = clock_now_ms ();

  for (guint i = server->waiters->len; i > 0; i--)
    {
      Waiter *waiter = g_ptr_array_index (server->waiters, i - 1);

      if (server->ended->len == 0 && now < waiter->deadline_ms)
        continue;
      evhttp_connection_set_closecb (evhttp_request_get_connection (waiter->request),
                                     NULL, NULL);
      reply_runs (server, waiter->request);
      g_ptr_array_remove_index (server->waiters, i - 1);
    }
}

static void
execute_late_orders (Server *server)
{
  for (guint i = server->late_orders->len; i > 0; i--)
    {
      LateOrder *order = g_ptr_array_index (server->late_orders, i - 1);

      if (clock_now_ms () < order->due_ms)
        continue;
      if (order->instance_count == server->instance_count)
        execute_order (server, order->path, json_node_get_object (order->body));
      g_ptr_array_remove_index (server->late_orders, i - 1);
    }
}

static void
on_tick (evutil_socket_t fd, short what, void *ctx)
{
  Server *server = ctx;

  execute_late_orders (server);
  advance_tasks (server);
  if (server->leaves_ms > 0 && clock_now_ms () >= server->leaves_ms)
    begin_named_instance (server);
  if (is_unresponsive (server))
    return;
  reply_to_waiters (server);
  if (server->agent != NULL && clock_now_ms () - server->sent_ms > HEARTBEAT_MS)
    send_report (server, "Heartbeat");
}

static void
serve_faults (Server *server, struct evhttp_request *request)
{
  static const char *const names[] = { "ok", "mute", "late", "hang", "shrink" };
  char *mode = http_query_value (request, "mode");
  char *remaining = http_query_value (request, "remaining");
  char *down = http_query_value (request, "down");

  if (down != NULL)
    server->down_ms = atoi (down);
  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    if (g_strcmp0 (mode, names[i]) == 0)
      server->mode = i;
  if (g_strcmp0 (mode, "restart") == 0)
    begin_named_instance (server);
  if (g_strcmp0 (mode, "crash") == 0)
    crash (server);
  if (g_strcmp0 (mode, "reuse") == 0)
    begin_instance (server);
  if (g_strcmp0 (mode, "drain") == 0)
    server->draining = TRUE;
  if (remaining != NULL)
    server->leaves_ms = clock_now_ms () + atoi (remaining);
  if (g_strcmp0 (mode, "leave") == 0)
    send_report (server, "Leave");
  else if (!is_unresponsive (server) && server->agent != NULL)
    send_report (server, "Heartbeat");
  reply_status (server, request, 200, NULL);
  g_free (mode);
  g_free (remaining);
  g_free (down);
}

/* Sets the agent's address, which is only known once the agent has started: the agent
 * needs the address of this server first. */
static void
serve_agent (Server *server, struct evhttp_request *request)
{
  char *address = http_query_value (request, "address");

  g_clear_pointer (&server->agent, http_pool_free);
  server->agent = http_pool_new (server->base, address, 1);
  server->mode = MODE_OK;
  send_report (server, "Heartbeat");
  reply_status (server, request, 200, NULL);
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
  else if (is_unresponsive (server))
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
  server.down_ms = DOWN_MS;
  server.cpu = argc > 1 ? (guint)atoi (argv[1]) : 4 * TASK_CPU;
  server.zone = argc > 2 ? argv[2] : "z";
  server.says_born = argc > 3 && strcmp (argv[3], "born") == 0;
  server.acked_cpu = server.cpu;
  server.tasks = g_ptr_array_new_with_free_func (task_free);
  server.ended = g_ptr_array_new_with_free_func (end_free);
  server.waiters = g_ptr_array_new_with_free_func (g_free);
  server.late_orders = g_ptr_array_new_with_free_func (late_order_free);
  server.finished = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  server.log = g_string_new (NULL);
  begin_named_instance (&server);
  evhttp_set_gencb (http, on_request, &server);
  event_add (tick, &interval);
  fprintf (stderr, "standin-server listens, http %s\n", server.address);
  event_base_dispatch (server.base);
  return EXIT_SUCCESS;
}
