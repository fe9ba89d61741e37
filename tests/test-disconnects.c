/* Callers whose connections end before they have their answers. */
#include "cases.h"
#include "clock.h"
#include "platform_scene.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Run time of the tasks: long beside every pause of these tests. */
#define TASK_MS 6000
#define TASKS 4
/* A job of a lost caller has to be over when the caller sends it again. */
#define ENDED_MS PLATFORM_RESEND_MS
/* Processor time of an entry within BUSY_MS with such a job open. */
#define BUSY_MS 500
#define BUSY_MAX_MS 150
/* More than an entry reads ahead; the second is more than its socket takes beside. */
#define AHEAD_BYTES (100 << 10)
#define FULL_BYTES (512 << 10)

/* How a caller goes. */
typedef enum
{
  GO_RESET,
  GO_CLOSE,
  GO_HALF_CLOSE,
} Go;

/* A caller's blocking socket. */
typedef struct
{
  Harness *harness;
  int fd;
} Caller;

static Caller
caller_connect (Harness *harness, const char *address)
{
  Caller caller = { harness, socket (AF_INET, SOCK_STREAM, 0) };
  struct sockaddr_in where;
  int length = sizeof where;

  g_assert_cmpint (
      evutil_parse_sockaddr_port (address, (struct sockaddr *)&where, &length), ==, 0);
  g_assert_cmpint (connect (caller.fd, (struct sockaddr *)&where, sizeof where), ==, 0);
  return caller;
}

static void
caller_send (const Caller *caller, const char *text)
{
  g_assert_cmpint (send (caller->fd, text, strlen (text), MSG_NOSIGNAL), ==,
                   strlen (text));
}

/* Sends as much as the socket takes while nobody reads. */
static void
caller_send_ahead (const Caller *caller, gsize size)
{
  char block[4096];
  gsize sent = 0;
  gssize n = 1;

  memset (block, 'x', sizeof block);
  for (guint tries = 0; sent < size && tries < 100; tries++)
    {
      n = send (caller->fd, block, sizeof block, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n > 0)
        sent += (gsize)n;
      else
        harness_run_ms (caller->harness, 2);
    }
}

static void
caller_go (Caller *caller, Go go)
{
  struct linger linger = { 1, 0 };

  if (go == GO_HALF_CLOSE)
    {
      shutdown (caller->fd, SHUT_WR);
      return;
    }
  if (go == GO_RESET)
    setsockopt (caller->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (caller->fd);
  caller->fd = -1;
}

static void
caller_free (Caller *caller)
{
  if (caller->fd >= 0)
    close (caller->fd);
}

/* @status: the beginning of their status code. */
static guint
count_responses (const char *text, const char *status)
{
  char *line = g_strconcat ("HTTP/1.1 ", status, NULL);
  guint n = 0;

  for (const char *at = text; (at = strstr (at, line)) != NULL; at++)
    n++;
  g_free (line);
  return n;
}

/* Reads until the connection ends or @n responses have arrived. */
static char *
caller_read (const Caller *caller, guint n)
{
  GString *text = g_string_new (NULL);
  gint64 end = clock_now_ms () + HARNESS_WAIT_MS;
  char block[4096];
  gssize size = 1;

  while (size != 0 && count_responses (text->str, "") < n && clock_now_ms () < end)
    {
      harness_run_ms (caller->harness, 5);
      size = recv (caller->fd, block, sizeof block, MSG_DONTWAIT);
      if (size < 0 && errno != EAGAIN)
        break;
      if (size > 0)
        g_string_append_len (text, block, size);
    }
  return g_string_free (text, FALSE);
}

/* Return: a request for a job of @tasks tasks of @ms; free with g_free (). */
static char *
post_text (guint number, guint ms, guint tasks)
{
  char *spec = g_strdup_printf ("%u", ms);
  char *body = platform_job (spec, tasks);
  char *text = g_strdup_printf ("POST " PLATFORM_PREFIX
                                "%016x HTTP/1.1\r\nHost: " PLATFORM_HOST "\r\n"
                                "X-Deadline-Ms: 10000\r\nContent-Length: %zu\r\n\r\n%s",
                                number, strlen (body), body);

  g_free (spec);
  g_free (body);
  return text;
}

static Caller
submit (PlatformScene *scene, guint entry, guint ms, guint tasks)
{
  Caller caller = caller_connect (scene->harness, scene->entries[entry]->http);
  char *text = post_text (++scene->jobs, ms, tasks);

  caller_send (&caller, text);
  g_free (text);
  return caller;
}

/* User and system time of a process, in ms. */
static guint64
processor_ms (const Process *process)
{
  char *path = g_strdup_printf ("/proc/%d/stat", process->pid);
  char *text = NULL;
  unsigned long user = 0;
  unsigned long system = 0;

  g_assert_true (g_file_get_contents (path, &text, NULL, NULL));
  g_assert_cmpint (sscanf (strrchr (text, ')') + 2,
                           "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
                           &system),
                   ==, 2);
  g_free (text);
  g_free (path);
  return (user + system) * 1000 / (guint64)sysconf (_SC_CLK_TCK);
}

static guint64
count_cut (PlatformScene *scene, guint entry)
{
  return harness_counter (scene->harness, scene->entries[entry]->metrics, "requests_cut");
}

typedef struct
{
  guint running;
} Running;

static void
count_running (gboolean is_start,
               const char *task,
               const char *kind,
               gint64 at_ms,
               gpointer ctx)
{
  Running *running = ctx;

  running->running += is_start ? 1 : -1;
}

static guint
tasks_running (PlatformScene *scene)
{
  Running running = { 0 };

  platform_check_runs (scene, count_running, &running);
  return running.running;
}

static gboolean
all_are_running (gpointer ctx)
{
  return tasks_running (ctx) == TASKS;
}

static gboolean
none_is_running (gpointer ctx)
{
  return tasks_running (ctx) == 0;
}

/* The caller sends the job again to another entry. */
static void
submit_again (PlatformScene *scene, guint entry)
{
  char *body = platform_job ("50", TASKS);
  Exchange *exchange = platform_call (scene, entry, scene->jobs, body);

  harness_wait_exchange (scene->harness, exchange);
  g_assert_cmpint (exchange->status, ==, 200);
  platform_check_runs (scene, NULL, NULL);
  exchange_free (exchange);
  g_free (body);
}

typedef struct
{
  const char *name;
  gsize ahead_bytes; /* sent after the request, before the caller goes */
  Go go;
  gboolean draining; /* the entry has received SIGTERM */
} Case;

/* Each guards against an entry that does not notice the end of its caller's connection
 * and runs the job on, beside the run of the caller's next attempt. */
static const Case cases[] = {
  { "reset", 0, GO_RESET, FALSE },
  { "close", 0, GO_CLOSE, FALSE },
  { "half-close", 0, GO_HALF_CLOSE, FALSE },
  { "reset-after-part-of-a-request", 10, GO_RESET, FALSE },
  { "close-after-part-of-a-request", 10, GO_CLOSE, FALSE },
  { "reset-after-many-requests", AHEAD_BYTES, GO_RESET, FALSE },
  { "reset-behind-a-full-socket", FULL_BYTES, GO_RESET, FALSE },
  { "close-after-many-requests", AHEAD_BYTES, GO_CLOSE, FALSE },
  { "reset-while-draining", 0, GO_RESET, TRUE },
};

static void
test_case (gconstpointer data)
{
  static const PlatformInit init = { 2, 2, FALSE, TRUE };
  const Case *c = data;
  PlatformScene scene;
  Caller caller;
  gint64 gone_ms;

  platform_scene_open (&scene, &init);
  caller = submit (&scene, 0, TASK_MS, TASKS);
  harness_wait (scene.harness, all_are_running, &scene, "the job's tasks");
  caller_send_ahead (&caller, c->ahead_bytes);
  if (c->draining)
    process_signal (scene.entries[0], SIGTERM);
  harness_run_ms (scene.harness, 50);
  gone_ms = clock_now_ms ();
  caller_go (&caller, c->go);
  harness_wait (scene.harness, none_is_running, &scene, "the end of the tasks");
  harness_assert_within (gone_ms, ENDED_MS);
  submit_again (&scene, 1);
  if (c->draining)
    g_assert_cmpint (process_wait (scene.harness, scene.entries[0]), ==, 0);
  else
    g_assert_cmpuint (count_cut (&scene, 0), ==, 1);
  caller_free (&caller);
  platform_scene_close (&scene);
}

/* Guards against an entry that uses a whole core while the job of a lost caller is open.
 */
static void
test_processor_time (void)
{
  static const PlatformInit init = { 1, 2, FALSE, TRUE };
  static const struct
  {
    Go go;
    gsize ahead_bytes;
  } rows[] = { { GO_RESET, 0 }, { GO_RESET, 10 }, { GO_RESET, FULL_BYTES } };
  PlatformScene scene;

  platform_scene_open (&scene, &init);
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      Caller caller = submit (&scene, 0, TASK_MS, 1);
      guint64 before;
      guint64 used;

      harness_run_ms (scene.harness, 100);
      caller_send_ahead (&caller, rows[i].ahead_bytes);
      before = processor_ms (scene.entries[0]);
      harness_run_ms (scene.harness, BUSY_MS);
      used = processor_ms (scene.entries[0]) - before;
      g_assert_cmpuint (used, <=, BUSY_MAX_MS);
      caller_go (&caller, rows[i].go);
      before = processor_ms (scene.entries[0]);
      harness_run_ms (scene.harness, BUSY_MS);
      used = processor_ms (scene.entries[0]) - before;
      g_test_message ("%" G_GUINT64_FORMAT " ms after the end", used);
      g_assert_cmpuint (used, <=, BUSY_MAX_MS);
      caller_free (&caller);
    }
  platform_scene_close (&scene);
}

typedef struct
{
  const char *name;
  Go go;
} UnreadCase;

/* Each guards against an entry that is late to read a request and starts the tasks of a
 * caller that has gone, beside those of its next attempt. */
static const UnreadCase unread_cases[] = {
  { "reset", GO_RESET },
  { "close", GO_CLOSE },
  { "half-close", GO_HALF_CLOSE },
};

static void
test_unread (gconstpointer data)
{
  static const PlatformInit init = { 2, 2, FALSE, TRUE };
  const UnreadCase *c = data;
  PlatformScene scene;
  Caller caller;
  guint before;

  platform_scene_open (&scene, &init);
  before = platform_check_runs (&scene, NULL, NULL);
  process_signal (scene.entries[0], SIGSTOP);
  caller = submit (&scene, 0, TASK_MS, TASKS);
  harness_run_ms (scene.harness, 20);
  caller_go (&caller, c->go);
  harness_run_ms (scene.harness, 20);
  process_signal (scene.entries[0], SIGCONT);
  submit_again (&scene, 1);
  g_assert_cmpuint (platform_check_runs (&scene, NULL, NULL) - before, ==, TASKS);
  caller_free (&caller);
  platform_scene_close (&scene);
}

typedef struct
{
  char *job;
  guint starts;
} JobStarts;

static void
count_starts (gboolean is_start,
              const char *task,
              const char *kind,
              gint64 at_ms,
              gpointer ctx)
{
  JobStarts *count = ctx;

  count->starts += is_start && g_str_has_prefix (task, count->job);
}

static gboolean
one_was_cut (gpointer ctx)
{
  return count_cut (ctx, 0) == 1;
}

/* Guards against a request that waits for the first configuration, is lost with its
 * caller, and runs nevertheless once the configuration is there. */
static void
test_parked (void)
{
  static const PlatformInit init = { 1, 2, FALSE, FALSE };
  JobStarts parked = { NULL };
  PlatformScene scene;
  Caller caller;

  platform_scene_open (&scene, &init);
  caller = submit (&scene, 0, 300, TASKS);
  parked.job = g_strdup_printf ("%016x.", scene.jobs);
  harness_run_ms (scene.harness, 100);
  caller_go (&caller, GO_RESET);
  harness_wait (scene.harness, one_was_cut, &scene, "the end of the request");
  platform_put_config (&scene, PLATFORM_PREFIX);
  harness_wait (scene.harness, platform_is_ready, &scene, "the configuration");
  platform_check_runs (&scene, count_starts, &parked);
  g_assert_cmpuint (parked.starts, ==, 0);
  g_free (parked.job);
  platform_scene_close (&scene);
}

/* Guards against a request that is lost or harms the entry if its caller sends it while
 * an earlier one, without a body, waits for the first configuration. */
static void
test_bytes_behind_a_parked_get (void)
{
  static const PlatformInit init = { 1, 1, FALSE, FALSE };
  PlatformScene scene;
  Caller caller;
  char *text;

  platform_scene_open (&scene, &init);
  caller = caller_connect (scene.harness, scene.entries[0]->http);
  caller_send (&caller, "GET " PLATFORM_PREFIX " HTTP/1.1\r\nHost: x\r\n\r\n");
  harness_run_ms (scene.harness, 50);
  caller_send (&caller, "GET " PLATFORM_PREFIX " HTTP/1.1\r\nHost: x\r\n\r\n");
  text = caller_read (&caller, 2);
  g_assert_nonnull (strstr (text, "HTTP/1.1 503"));
  g_assert_false (process_has_exited (scene.entries[0]));
  g_free (text);
  caller_free (&caller);
  platform_scene_close (&scene);
}

/* Guards against requests that are lost if a caller sends them before it has the answer
 * to the one before. */
static void
test_requests_sent_ahead (void)
{
  static const PlatformInit init = { 1, 2, FALSE, TRUE };
  PlatformScene scene;
  Caller caller;
  char *answers;

  platform_scene_open (&scene, &init);
  caller = submit (&scene, 0, 200, 1);
  for (guint i = 0; i < 3; i++)
    {
      char *text = post_text (++scene.jobs, 50, 1);

      harness_run_ms (scene.harness, 20);
      caller_send (&caller, text);
      g_free (text);
    }
  answers = caller_read (&caller, 4);
  g_assert_cmpuint (count_responses (answers, "200"), ==, 4);
  g_assert_cmpuint (count_cut (&scene, 0), ==, 0);
  g_free (answers);
  caller_free (&caller);
  platform_scene_close (&scene);
}

/* Entries of stored jobs. */

typedef struct
{
  const char *name;
  const char *path;
  const char *body;
  Go go;
  gboolean cancelled;
} StoredCase;

#define DIRECT "/v1/services/exchange", "6000:one"
#define JOB                                                                              \
  "/v1/jobs", "{\"service\":\"exchange\",\"tasks\":[{\"payload\":\"1500:one\"}]}"

/* Each guards against an entry that does not notice that the client of an open request
 * is gone: a direct request, whose answer nobody can fetch, ran to its end. */
static const StoredCase stored_cases[] = {
  { "direct-reset", DIRECT, GO_RESET, TRUE },
  { "direct-close", DIRECT, GO_CLOSE, TRUE },
  { "job-reset", JOB, GO_RESET, FALSE },
  { "job-close", JOB, GO_CLOSE, FALSE },
};

static guint64
count_native (Harness *harness, const char *name)
{
  return harness_counter (harness, harness_entry (harness, 0)->http, name);
}

static void
test_stored (gconstpointer data)
{
  HarnessInit init = { .entries = 1, .backends = 1 };
  const StoredCase *c = data;
  Harness *harness = harness_new (&init);
  Caller caller = caller_connect (harness, harness_entry (harness, 0)->http);
  char *request
      = g_strdup_printf ("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %zu\r\n\r\n%s",
                         c->path, strlen (c->body), c->body);
  gint64 gone_ms;

  caller_send (&caller, request);
  harness_wait_page (harness, harness_backend (harness, 0)->http, "/counts",
                     "\nrunning 1");
  gone_ms = clock_now_ms ();
  caller_go (&caller, c->go);
  harness_wait_page (harness, harness_entry (harness, 0)->http, "/v1/rows/jobs",
                     c->cancelled ? "\"cancelled\"" : "\"complete\"");
  if (c->cancelled)
    harness_assert_within (gone_ms, ENDED_MS);
  g_assert_cmpuint (count_native (harness, "jobs_cancelled"), ==, c->cancelled ? 1 : 0);
  g_free (request);
  caller_free (&caller);
  harness_free (harness);
}

/* Guards against a request that is lost or harms the entry if its client sends it while
 * an earlier one, without a body, waits for its answer. */
static void
test_bytes_behind_a_waiting_get (void)
{
  HarnessInit init = { .entries = 1, .backends = 1 };
  Harness *harness = harness_new (&init);
  const char *address = harness_entry (harness, 0)->http;
  Exchange *exchange
      = harness_post (harness, address, "/v1/jobs?wait=0",
                      "{\"service\":\"exchange\",\"tasks\":[{\"payload\":\"500:one\"}]}");
  char *job = exchange_text (exchange, "job");
  char *request
      = g_strdup_printf ("GET /v1/jobs/%s?wait=1 HTTP/1.1\r\nHost: x\r\n\r\n", job);
  Caller caller = caller_connect (harness, address);
  char *text;

  caller_send (&caller, request);
  harness_run_ms (harness, 50);
  caller_send (&caller, "GET /live HTTP/1.1\r\nHost: x\r\n\r\n");
  text = caller_read (&caller, 2);
  g_assert_nonnull (strstr (text, "\"complete\""));
  g_assert_nonnull (strstr (text, "alive"));
  g_assert_false (process_has_exited (harness_entry (harness, 0)));
  g_free (text);
  caller_free (&caller);
  g_free (request);
  g_free (job);
  exchange_free (exchange);
  harness_free (harness);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD_CASES ("/disconnects", cases, test_case);
  ADD_CASES ("/disconnects/unread", unread_cases, test_unread);
  g_test_add_func ("/disconnects/processor-time", test_processor_time);
  g_test_add_func ("/disconnects/parked", test_parked);
  g_test_add_func ("/disconnects/bytes-behind-a-parked-get",
                   test_bytes_behind_a_parked_get);
  g_test_add_func ("/disconnects/requests-sent-ahead", test_requests_sent_ahead);
  ADD_CASES ("/disconnects/stored", stored_cases, test_stored);
  g_test_add_func ("/disconnects/stored/bytes-behind-a-waiting-get",
                   test_bytes_behind_a_waiting_get);
  return g_test_run ();
}
