/* Stand-in of a backend server that runs tasks under leases, by the users' protocol. A
 * task takes as many milliseconds as its spec says at its beginning. */
#include "scene.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MAX_SERVERS 12
#define MAX_TASKS 256
#define MAX_ENDS 16384
#define MAX_FINISHED 16384
#define MAX_CONNECTIONS 256
#define TASK_NAME 48
#define TICK_MS 2
#define STOP_MS 20       /* the pages allow 50 */
#define HOLD_MAX_MS 1000 /* bounds.hold_max_ms of the small sites */
#define HEARTBEAT_MS 1500
#define HEARTBEAT_TIMEOUT_MS 1000
#define LISTED_ENDS 500
#define WAIT_MAX_MS 2000
#define LATE_MS 2200 /* applied_late: 2 to 12 s */

typedef struct
{
  char name[TASK_NAME];
  int64_t run;
  int64_t length_ms;
  int64_t started_ms;
  int64_t stop_ms; /* 0: not stopping */
} Task;

typedef struct
{
  int64_t number;
  char name[TASK_NAME];
  int64_t run;
  const char *how;
} End;

typedef struct
{
  char name[TASK_NAME];
  int64_t run;
} Finished;

struct Server
{
  int64_t born_ms;
  int64_t born; /* Unix time */
  int64_t sequence;
  int64_t token;
  int64_t lease_until; /* own clock */
  int64_t acked;
  const char *labels[MAX_LABELS + 1];
  Task tasks[MAX_TASKS];
  End ends[MAX_ENDS];
  Finished finished[MAX_FINISHED];
  int connections[MAX_CONNECTIONS];
  int n_tasks;
  int n_ends;
  int n_finished;
  int port;
  int cpu;
  int boots;
  int listener;
  char name[TEXT];
  char ip[TEXT];
  char address[TEXT];
  char report_to[TEXT];
  char id[TEXT];
  bool up;
  bool keeps_id; /* restarts under its id, and says when it was born */
};

typedef struct
{
  Server *server;
  int boot;
  int fd;
} Connection;

static Server servers[MAX_SERVERS];
static int n_servers;
static atomic_bool late_next; /* the next start gets no answer, and is carried out late */
static _Atomic (Server *) late_at;
static OnStart on_start_call;
/* One lock for all, so that what runs where is seen at one moment. */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t ended = PTHREAD_COND_INITIALIZER;

static int64_t
clock_of (const Server *server)
{
  return now_ms () - server->born_ms + 1000;
}

/* The member that says when the server was born; empty if it does not. */
static const char *
born_member (const Server *server, char *text, size_t size)
{
  text[0] = '\0';
  if (server->keeps_id)
    snprintf (text, size, ",\"born\":%lld", (long long)server->born);
  return text;
}

static int64_t *
finished_run (Server *server, const char *name)
{
  for (int i = 0; i < server->n_finished; i++)
    if (strcmp (server->finished[i].name, name) == 0)
      return &server->finished[i].run;
  if (server->n_finished == MAX_FINISHED)
    scene_unable ("too many tasks ended");
  snprintf (server->finished[server->n_finished].name, TASK_NAME, "%s", name);
  server->finished[server->n_finished].run = 0;
  return &server->finished[server->n_finished++].run;
}

static void
note_finished (Server *server, const char *name, int64_t run)
{
  int64_t *highest = finished_run (server, name);

  if (run > *highest)
    *highest = run;
}

static int
find_task (const Server *server, const char *name)
{
  for (int i = 0; i < server->n_tasks; i++)
    if (strcmp (server->tasks[i].name, name) == 0)
      return i;
  return -1;
}

static void
remove_task (Server *server, int i, const char *how)
{
  note ("%s %s ends %s run %lld: %s", server->name, server->id, server->tasks[i].name,
        (long long)server->tasks[i].run, how);
  server->tasks[i] = server->tasks[--server->n_tasks];
}

static void
end_task (Server *server, int i, const char *how)
{
  const Task *task = &server->tasks[i];
  End *end = &server->ends[server->n_ends];

  if (server->n_ends == MAX_ENDS)
    scene_unable ("too many ends");
  end->number = ++server->n_ends;
  snprintf (end->name, TASK_NAME, "%s", task->name);
  end->run = task->run;
  end->how = how;
  note_finished (server, task->name, task->run);
  remove_task (server, i, how);
  pthread_cond_broadcast (&ended);
}

/* Called with the lock held. */
static void
advance (Server *server)
{
  int64_t now = now_ms ();

  for (int i = server->n_tasks - 1; i >= 0; i--)
    {
      const Task *task = &server->tasks[i];

      if (task->stop_ms > 0 && now >= task->stop_ms)
        end_task (server, i, "stopped");
      else if (clock_of (server) > server->lease_until)
        end_task (server, i, "lapsed");
      else if (now - task->started_ms >= task->length_ms)
        end_task (server, i, "done");
    }
}

static void *
advance_all (void *data)
{
  for (;;)
    {
      pthread_mutex_lock (&lock);
      for (int i = 0; i < n_servers; i++)
        if (servers[i].up)
          advance (&servers[i]);
      pthread_mutex_unlock (&lock);
      sleep_ms (TICK_MS);
    }
  return NULL;
}

static void
extend_lease (Server *server, int64_t deadline_ms)
{
  int64_t longest = clock_of (server) + HOLD_MAX_MS;

  if (deadline_ms > longest)
    deadline_ms = longest;
  if (deadline_ms > server->lease_until)
    server->lease_until = deadline_ms;
}

/* Return: NULL if it runs, else why it is refused. */
static const char *
start_task (Server *server, const char *name, const char *body)
{
  int64_t run = json_number (body, "run_id", 0);
  int found = find_task (server, name);
  char spec[8192];
  Task *task;

  json_string (body, "spec", spec, sizeof spec);
  if (found >= 0 && server->tasks[found].run == run)
    return NULL;
  if (run <= *finished_run (server, name)
      || (found >= 0 && run < server->tasks[found].run))
    return "old";
  if (clock_of (server) >= server->lease_until)
    return "late";
  if (server->n_tasks == MAX_TASKS)
    return "room";
  task = &server->tasks[server->n_tasks++];
  memset (task, 0, sizeof *task);
  snprintf (task->name, TASK_NAME, "%s", name);
  task->run = run;
  task->length_ms = strtoll (spec, NULL, 10);
  task->started_ms = now_ms ();
  note ("%s %s starts %s run %lld", server->name, server->id, name, (long long)run);
  for (int i = 0; i < n_servers; i++)
    if (&servers[i] != server && servers[i].up && find_task (&servers[i], name) >= 0)
      broken ("%s is started at %s %s while it runs at %s %s", name, server->name,
              server->id, servers[i].name, servers[i].id);
  if (on_start_call != NULL)
    on_start_call (server, name, run, spec);
  return NULL;
}

static void
stop_task (Server *server, const char *name, int64_t run)
{
  int found = find_task (server, name);

  note_finished (server, name, run);
  if (found >= 0 && server->tasks[found].run <= run && server->tasks[found].stop_ms == 0)
    server->tasks[found].stop_ms = now_ms () + STOP_MS;
}

static char *
format_runs (const Server *server)
{
  char *text = NULL;
  size_t size;
  FILE *out = open_memstream (&text, &size);
  char born[TEXT];
  int listed = 0;

  fprintf (out, "{\"clock_ms\":%lld,\"running\":[", (long long)clock_of (server));
  for (int i = 0; i < server->n_tasks; i++)
    {
      const Task *task = &server->tasks[i];
      int64_t age = now_ms () - task->started_ms;

      fprintf (out, "%s[\"%s\",%lld,\"\",%d,1000]", i > 0 ? "," : "", task->name,
               (long long)task->run,
               (int)(age * 99 / (task->length_ms > 0 ? task->length_ms : 1)));
    }
  fprintf (out, "],\"ended\":[");
  for (int i = (int)server->acked; i < server->n_ends && listed < LISTED_ENDS; i++)
    fprintf (out, "%s[%lld,\"%s\",%lld,\"%s\",\"\"]", listed++ > 0 ? "," : "",
             (long long)server->ends[i].number, server->ends[i].name,
             (long long)server->ends[i].run, server->ends[i].how);
  fprintf (out, "]%s}", born_member (server, born, sizeof born));
  fclose (out);
  return text;
}

/* Called with the lock held, which it releases while it waits. */
static void
wait_for_end (Server *server, int boot, int64_t wait_ms)
{
  struct timespec until;

  if (wait_ms > WAIT_MAX_MS)
    wait_ms = WAIT_MAX_MS;
  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += wait_ms / 1000;
  until.tv_nsec += wait_ms % 1000 * 1000000;
  if (until.tv_nsec >= 1000000000)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000;
    }
  while (server->up && server->boots == boot && server->n_ends <= server->acked)
    if (pthread_cond_timedwait (&ended, &lock, &until) != 0)
      return;
}

/* Called with the lock held. Return: the status; @answer to be freed. */
static int
carry_out (Server *server, int boot, const Message *request, char **answer)
{
  char name[TASK_NAME];
  char born[TEXT];
  const char *reason = NULL;
  int64_t token = json_number (request->body, "fencing_token", 0);
  bool is_hold = strncmp (request->head, "POST /hold", strlen ("POST /hold")) == 0;
  int64_t acked = json_number (request->body, "acked_upto", 0);

  json_string (request->body, "task", name, sizeof name);
  if (token < server->token)
    {
      reason = "fence";
    }
  else
    {
      server->token = token;
      extend_lease (server, json_number (request->body, "deadline_ms", 0));
      if (strncmp (request->head, "POST /run-start", strlen ("POST /run-start")) == 0)
        reason = start_task (server, name, request->body);
      else if (!is_hold)
        stop_task (server, name, json_number (request->body, "run_id", 0));
    }
  if (is_hold && reason == NULL)
    {
      if (acked > server->acked && acked <= server->n_ends)
        server->acked = acked;
      wait_for_end (server, boot, json_number (request->body, "wait_ms", 0));
      *answer = format_runs (server);
      return 200;
    }
  if (asprintf (answer, "{\"clock_ms\":%lld%s%s%s%s}", (long long)clock_of (server),
                born_member (server, born, sizeof born),
                reason != NULL ? ",\"reason\":\"" : "", reason != NULL ? reason : "",
                reason != NULL ? "\"" : "")
      < 0)
    scene_unable ("no memory");
  return reason != NULL ? 409 : 200;
}

typedef struct
{
  Server *server;
  Message request;
} LateOrder;

static void *
carry_out_late (void *data)
{
  LateOrder *order = data;
  char *answer = NULL;
  int status = 0;

  sleep_ms (LATE_MS);
  pthread_mutex_lock (&lock);
  if (order->server->up)
    status = carry_out (order->server, order->server->boots, &order->request, &answer);
  note ("%s carries out the late order: %d %s", order->server->name, status,
        answer != NULL ? answer : "");
  pthread_mutex_unlock (&lock);
  free (answer);
  http_clear (&order->request);
  free (order);
  return NULL;
}

/* Called with the lock held. Return: whether the order is one that gets no answer. */
static bool
delay_order (Server *server, const Message *request)
{
  bool expected = true;
  LateOrder *order;

  if (strncmp (request->head, "POST /run-start", strlen ("POST /run-start")) != 0
      || !atomic_compare_exchange_strong (&late_next, &expected, false))
    return false;
  order = calloc (1, sizeof *order);
  order->server = server;
  order->request.head = strdup (request->head);
  order->request.body = strdup (request->body);
  order->request.size = request->size;
  note ("%s gives no answer to %s", server->name, request->body);
  atomic_store (&late_at, server);
  thread_start (carry_out_late, order);
  return true;
}

static void
serve (Connection *connection, const Message *request)
{
  Server *server = connection->server;
  char expected[TEXT];
  char *answer = NULL;
  bool dead;
  int status = 421;

  pthread_mutex_lock (&lock);
  dead = !server->up || server->boots != connection->boot;
  if (dead || delay_order (server, request))
    {
      pthread_mutex_unlock (&lock);
      return;
    }
  if (http_header (request, "X-Expect-Instance", expected, sizeof expected)
      && strcmp (expected, server->id) != 0)
    answer = strdup ("");
  else
    status = carry_out (server, connection->boot, request, &answer);
  dead = !server->up || server->boots != connection->boot;
  pthread_mutex_unlock (&lock);
  if (!dead)
    http_respond (connection->fd, status, answer);
  free (answer);
}

static void
forget_connection (Server *server, int fd)
{
  pthread_mutex_lock (&lock);
  for (int i = 0; i < MAX_CONNECTIONS; i++)
    if (server->connections[i] == fd)
      server->connections[i] = 0;
  close (fd);
  pthread_mutex_unlock (&lock);
}

static void *
serve_connection (void *data)
{
  Connection *connection = data;
  Message request;

  while (http_read (connection->fd, &request))
    {
      serve (connection, &request);
      http_clear (&request);
    }
  forget_connection (connection->server, connection->fd);
  free (connection);
  return NULL;
}

static bool
remember_connection (Server *server, int boot, int fd)
{
  bool done = false;

  pthread_mutex_lock (&lock);
  for (int i = 0; i < MAX_CONNECTIONS && !done && server->up && server->boots == boot;
       i++)
    if (server->connections[i] == 0)
      {
        server->connections[i] = fd;
        done = true;
      }
  pthread_mutex_unlock (&lock);
  return done;
}

static void *
accept_connections (void *data)
{
  Connection *of = data;

  for (;;)
    {
      int fd = accept (of->fd, NULL, NULL);
      Connection *connection;

      if (fd < 0)
        break;
      if (!remember_connection (of->server, of->boot, fd))
        {
          close (fd);
          continue;
        }
      connection = calloc (1, sizeof *connection);
      *connection = *of;
      connection->fd = fd;
      thread_start (serve_connection, connection);
    }
  free (of);
  return NULL;
}

static char *
format_report (Server *server)
{
  char labels[TEXT] = "";
  char born[TEXT];
  char *text = NULL;

  for (int i = 0; server->labels[i] != NULL; i++)
    {
      size_t n = strlen (labels);

      snprintf (labels + n, sizeof labels - n, "%s\"%s\"", i > 0 ? "," : "",
                server->labels[i]);
    }
  if (asprintf (
          &text,
          "{\"service\":\"exchange\",\"address\":\"%s\",\"zone\":\"z\",\"version\":\"v1\""
          ",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":"
          "{\"cpu\":%d,\"mem_mb\":65536,\"gpu\":0},\"labels\":[%s],\"clock_ms\":%lld,"
          "\"seq\":%lld%s}",
          server->address, server->cpu, labels, (long long)clock_of (server),
          (long long)++server->sequence, born_member (server, born, sizeof born))
      < 0)
    scene_unable ("no memory");
  return text;
}

/* The heartbeats of one boot. */
static void *
report (void *data)
{
  Connection *of = data;
  Server *server = of->server;

  for (;;)
    {
      char path[2 * TEXT];
      char to[TEXT];
      char *text = NULL;
      int64_t sent = now_ms ();
      int status;

      pthread_mutex_lock (&lock);
      if (server->up && server->boots == of->boot)
        text = format_report (server);
      snprintf (path, sizeof path, "/Instances.Heartbeat/%s", server->id);
      snprintf (to, sizeof to, "%s", server->report_to);
      pthread_mutex_unlock (&lock);
      if (text == NULL)
        break;
      status = http_call (to, "POST", path, "", text, HEARTBEAT_TIMEOUT_MS, NULL);
      note ("%s heartbeat %s: %d", server->name, path, status);
      free (text);
      while (now_ms () - sent < HEARTBEAT_MS)
        sleep_ms (TICK_MS);
    }
  free (of);
  return NULL;
}

Server *
server_new (const char *name, const char *ip, const char *report_to, int cpu)
{
  Server *server = &servers[n_servers];
  int fd;

  if (n_servers == MAX_SERVERS)
    scene_unable ("too many servers");
  snprintf (server->name, sizeof server->name, "%s", name);
  snprintf (server->ip, sizeof server->ip, "%s", ip);
  snprintf (server->report_to, sizeof server->report_to, "%s", report_to);
  server->cpu = cpu;
  fd = tcp_listen (ip, &server->port);
  if (fd < 0)
    scene_unable ("a server cannot listen");
  close (fd);
  snprintf (server->address, sizeof server->address, "%s:%d", ip, server->port);
  if (n_servers++ == 0)
    thread_start (advance_all, NULL);
  return server;
}

static Connection *
connection_new (Server *server, int fd)
{
  Connection *connection = calloc (1, sizeof *connection);

  connection->server = server;
  connection->boot = server->boots;
  connection->fd = fd;
  return connection;
}

static int64_t
unix_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
server_boot (Server *server, const char *const *labels)
{
  int fd = tcp_listen (server->ip, &server->port);
  int n = 0;

  if (fd < 0)
    scene_unable ("a server cannot listen");
  pthread_mutex_lock (&lock);
  server->boots++;
  snprintf (server->id, sizeof server->id, "i-%s-%d-%d", server->name, (int)getpid (),
            server->keeps_id ? 0 : server->boots);
  for (; labels[n] != NULL && n < MAX_LABELS; n++)
    server->labels[n] = labels[n];
  server->labels[n] = NULL;
  server->listener = fd;
  server->born_ms = now_ms ();
  server->born = unix_ms ();
  server->sequence = 0;
  server->token = 0;
  server->lease_until = 0;
  server->n_tasks = 0;
  server->n_ends = 0;
  server->acked = 0;
  server->n_finished = 0;
  server->up = true;
  note ("%s boots as %s with label %s", server->name, server->id,
        n > 0 ? labels[0] : "-");
  thread_start (accept_connections, connection_new (server, fd));
  thread_start (report, connection_new (server, 0));
  pthread_mutex_unlock (&lock);
}

void
server_crash (Server *server)
{
  pthread_mutex_lock (&lock);
  note ("%s %s crashes", server->name, server->id);
  server->up = false;
  while (server->n_tasks > 0)
    remove_task (server, server->n_tasks - 1, "crashed");
  shutdown (server->listener, SHUT_RDWR);
  close (server->listener);
  for (int i = 0; i < MAX_CONNECTIONS; i++)
    if (server->connections[i] > 0)
      shutdown (server->connections[i], SHUT_RDWR);
  pthread_cond_broadcast (&ended);
  pthread_mutex_unlock (&lock);
}

const char *
server_address (const Server *server)
{
  return server->address;
}

const char *
server_id (const Server *server)
{
  return server->id;
}

const char *
server_name (const Server *server)
{
  return server->name;
}

int
server_running (Server *server)
{
  int n;

  pthread_mutex_lock (&lock);
  n = server->n_tasks;
  pthread_mutex_unlock (&lock);
  return n;
}

void
server_keep_id (Server *server)
{
  server->keeps_id = true;
}

void
server_delay_next_start (void)
{
  atomic_store (&late_at, NULL);
  atomic_store (&late_next, true);
}

Server *
server_with_late_start (void)
{
  return atomic_load (&late_at);
}

void
server_on_start (OnStart on_start)
{
  on_start_call = on_start;
}

bool
server_has_label (const Server *server, const char *label)
{
  for (int i = 0; server->labels[i] != NULL; i++)
    if (strcmp (server->labels[i], label) == 0)
      return true;
  return false;
}
