/* Clients that send without end, never read, or hold connections and jobs in numbers.
 * After each crowd the process must live, must have stayed within its memory and its
 * descriptors, and must answer an ordinary request. */
#define _GNU_SOURCE
#include "cases.h"
#include "crowd.h"
#include "platform_scene.h"

#include <string.h>
#include <sys/resource.h>

#define MB ((gsize)1 << 20)
#define KB ((gsize)1 << 10)

/* Memory and descriptors of each process under test. */
#define MEMORY_MB 64
#define DESCRIPTORS 300
/* How often several crowds send in turn. */
#define ROUNDS 3
#define LIMITS "limits.memory_mb = 64\n"
#define LIMITS_AND_DESCRIPTORS LIMITS "limits.descriptors = 300\n"
/* Of requests, in the configurations used here: a limit of the platform's pages. */
#define MAX_BODY_BYTES 262144

typedef enum
{
  FRONT,
  READY,
  METRICS,
  FRAMES,
  AGENT,
  AGENT_METRICS,
  AGENT_FRAMES,
} Target;

typedef struct
{
  const char *name;
  Target target;
  guint clients;
  const char *first;
  gsize first_size; /* 0: up to its NUL */
  const char *repeat;
  gsize bytes;
  const char *settings;
} Case;

#define GET(path) "GET " path " HTTP/1.1\r\nHost: " PLATFORM_HOST "\r\n\r\n"
#define POST(path, headers)                                                              \
  "POST " path "{id} HTTP/1.1\r\nHost: " PLATFORM_HOST "\r\n" headers "\r\n"
#define X50 "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
#define X1000                                                                            \
  X50 X50 X50 X50 X50 X50 X50 X50 X50 X50 X50 X50 X50 X50 X50 X50 X50 X50 X50 X50
#define CHUNK "3e8\r\n" X1000 "\r\n"
/* A frame of almost 16 MB is announced. */
#define LONG_FRAME "\x00\xff\xff\xff", 4

/* The largest job that the platform's pages allow, of long tasks. */
#define LARGEST_JOB                                                                      \
  "{\"spec\":\"3600:" X1000 X1000 X1000 X50 X50 X50 X50 X50 X50 X50 X50 X50 X50 X50 X50  \
      X50 X50 X50 X50 X50 X50 X50 "\",\"best_effort\":true,\"steps\":[{\"count\":10000," \
  "\"cpu\":1000,\"mem_mb\":64,\"estimate_ms\":3600}]}"
#define LARGEST_JOB_POST                                                                 \
  POST (PLATFORM_PREFIX, "X-Deadline-Ms: 60000\r\nContent-Length: 4053\r\n") LARGEST_JOB
G_STATIC_ASSERT (sizeof (LARGEST_JOB) - 1 == 4053);

#define SHORT_JOB                                                                        \
  "{\"spec\":\"3600\",\"best_effort\":true,\"steps\":[{\"count\":1,\"cpu\":1000,"        \
  "\"mem_mb\":64,\"estimate_ms\":3600}]}"
#define SHORT_JOB_POST                                                                   \
  POST (PLATFORM_PREFIX, "X-Deadline-Ms: 60000\r\nContent-Length: 98\r\n") SHORT_JOB
G_STATIC_ASSERT (sizeof (SHORT_JOB) - 1 == 98);

static Process *
platform_target (PlatformScene *scene, Target target)
{
  return target == AGENT || target == AGENT_METRICS ? scene->agents[0]
                                                    : scene->entries[0];
}

static const char *
target_address (const Process *process, Target target)
{
  switch (target)
    {
    case READY:
      return process->ready_address;
    case METRICS:
    case AGENT_METRICS:
      return process->metrics;
    case FRAMES:
    case AGENT_FRAMES:
      return process->frames;
    case FRONT:
    case AGENT:
      return process->http;
    }
  g_assert_not_reached ();
}

/* Under a sanitizer the memory of the process is the sanitizer's: checks what the process
 * counts as held for others instead. */
static void
assert_memory (Harness *harness, const Process *process, const char *counters)
{
#if defined(__SANITIZE_ADDRESS__)
  guint64 kb = harness_counter (harness, counters, "memory_buffers_max_kb")
               + harness_counter (harness, counters, "memory_jobs_max_kb")
               + harness_counter (harness, counters, "memory_frames_max_kb");
#else
  guint64 kb = process_peak_memory_kb (process);
#endif
  g_test_message ("%s: %" G_GUINT64_FORMAT " kB", process->name, kb);
  g_assert_cmpuint (kb, <=, (guint64)MEMORY_MB * 1024);
}

static void
assert_bounds (Harness *harness, Process *process, const char *counters)
{
  guint descriptors;

  g_assert_false (process_has_exited (process));
  descriptors = process_descriptors (process);
  g_test_message ("%s: %u descriptors", process->name, descriptors);
  g_assert_cmpuint (descriptors, <=, DESCRIPTORS);
  assert_memory (harness, process, counters);
}

static void
open_platform (PlatformScene *scene, const char *settings)
{
  PlatformInit init = { .entries = 1,
                        .servers = 1,
                        .configured = TRUE,
                        .settings = settings,
                        .agent_settings = LIMITS "listen.metrics = \"127.0.0.1:0\"\n",
                        .max_body_bytes = MAX_BODY_BYTES };

  platform_scene_open (scene, &init);
}

/* A caller gets an answer, refused or served, and the balancer gets one. */
static void
assert_answered (PlatformScene *scene)
{
  Exchange *job = platform_start_job (scene, 0, "1", 1);
  Exchange *ready;

  harness_wait_exchange (scene->harness, job);
  g_assert_cmpint (job->status, >, 0);
  exchange_free (job);
  ready = harness_get (scene->harness, scene->entries[0]->ready_address, "/ready");
  g_assert_cmpint (ready->status, >, 0);
  exchange_free (ready);
}

static void
run_crowd (PlatformScene *scene, const Case *c)
{
  const CrowdInit init = { c->clients, c->first, c->first_size, c->repeat, c->bytes };
  Process *process = platform_target (scene, c->target);
  Crowd *crowd = crowd_open (scene->harness, target_address (process, c->target), &init);

  crowd_send (crowd);
  g_assert_false (process_has_exited (process));
  assert_answered (scene);
  assert_bounds (scene->harness, process, process->metrics);
  crowd_free (crowd);
  harness_wait (scene->harness, platform_is_ready, scene, "an ordinary job");
  assert_bounds (scene->harness, process, process->metrics);
}

/* Each guards against a process that holds all that a crowd sends, or has sent. */
static const Case cases[] = {
  { "ready-unread", READY, 8, NULL, 0, GET ("/ready"), 20 * MB, LIMITS },
  { "unknown-path-unread", FRONT, 8, NULL, 0, GET ("/no/such/route"), 20 * MB, LIMITS },
  { "waiting-unread", FRONT, 8, NULL, 0, GET (PLATFORM_PREFIX), 20 * MB, LIMITS },
  { "metrics-unread", METRICS, 4, NULL, 0, GET ("/metrics"), 30 * MB, LIMITS },
  { "body-announced-over-the-limit", FRONT, 8,
    POST (PLATFORM_PREFIX, "Content-Length: 17000000\r\n"), 0, X1000, 17000000, LIMITS },
  { "body-chunked-over-the-limit", FRONT, 8,
    POST (PLATFORM_PREFIX, "Transfer-Encoding: chunked\r\n"), 0, CHUNK, 17000000,
    LIMITS },
  { "body-chunk-size-without-end", FRONT, 8,
    POST (PLATFORM_PREFIX, "Transfer-Encoding: chunked\r\n"), 0, "0000", 17000000,
    LIMITS },
  { "bodies-without-their-end", FRONT, 270,
    POST (PLATFORM_PREFIX, "Content-Length: 262144\r\n"), 0, X1000, 262000, LIMITS },
  { "request-line-without-end", FRONT, 8, "GET /", 0, X1000, 17000000, LIMITS },
  { "headers-without-end", FRONT, 8, "GET / HTTP/1.1\r\n", 0, "X-H: " X1000 "\r\n",
    17000000, LIMITS },
  { "http-to-frames", FRAMES, 8, NULL, 0, GET ("/"), 17000000, LIMITS },
  { "frames-without-their-end", FRAMES, 8, LONG_FRAME, X1000, 16000000, LIMITS },
  { "jobs", FRONT, 200, LARGEST_JOB_POST, 0, NULL, 0, LIMITS },
  { "idle-connections", FRONT, 400, NULL, 0, NULL, 0, LIMITS_AND_DESCRIPTORS },
  { "idle-connections-at-ready", READY, 400, NULL, 0, NULL, 0, LIMITS_AND_DESCRIPTORS },
  { "parts-of-requests", FRONT, 400, "GET / HTTP/1.1\r\nHost: x", 0, NULL, 0,
    LIMITS_AND_DESCRIPTORS },
  { "connections-that-wait", FRONT, 400, SHORT_JOB_POST, 0, NULL, 0,
    LIMITS_AND_DESCRIPTORS },
  { "idle-connections-to-frames", FRAMES, 400, NULL, 0, NULL, 0, LIMITS_AND_DESCRIPTORS },
  { "agent-unread", AGENT, 8, NULL, 0, GET ("/no/such/page"), 20 * MB, LIMITS },
  { "agent-metrics-unread", AGENT_METRICS, 4, NULL, 0, GET ("/metrics"), 30 * MB,
    LIMITS },
  { "agent-body-announced", AGENT, 8,
    "POST /Instances.Heartbeat/i-1 HTTP/1.1\r\nContent-Length: 17000000\r\n\r\n", 0,
    X1000, 17000000, LIMITS },
};

static void
test_case (gconstpointer data)
{
  const Case *c = data;
  PlatformScene scene;

  open_platform (&scene, c->settings);
  run_crowd (&scene, c);
  platform_scene_close (&scene);
}

/* Guards against an entry that holds as many connections as the system lets it, can then
 * accept none, and tries again without a pause. */
static void
test_descriptors_of_the_system (void)
{
  static const Case c = { "", FRONT, 400, NULL, 0, NULL, 0, LIMITS };
  const struct rlimit limit = { DESCRIPTORS, DESCRIPTORS };
  PlatformScene scene;

  open_platform (&scene, c.settings);
  g_assert_cmpint (prlimit (scene.entries[0]->pid, RLIMIT_NOFILE, &limit, NULL), ==, 0);
  run_crowd (&scene, &c);
  platform_scene_close (&scene);
}

static const Case *
find_case (const char *name)
{
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    if (strcmp (cases[i].name, name) == 0)
      return &cases[i];
  g_assert_not_reached ();
}

/* Guards against limits that each hold by themselves and exceed the memory together:
 * unread responses at two addresses, bodies, frames and jobs. */
static void
test_all_at_once (void)
{
  static const char *const which[] = { "ready-unread",
                                       "unknown-path-unread",
                                       "body-chunked-over-the-limit",
                                       "bodies-without-their-end",
                                       "frames-without-their-end",
                                       "jobs" };
  Crowd *crowds[G_N_ELEMENTS (which)];
  PlatformScene scene;

  open_platform (&scene, LIMITS "limits.descriptors = 2000\n");
  for (guint i = 0; i < G_N_ELEMENTS (which); i++)
    {
      const Case *c = find_case (which[i]);
      const CrowdInit init = { c->clients, c->first, c->first_size, c->repeat, c->bytes };

      crowds[i] = crowd_open (scene.harness, target_address (scene.entries[0], c->target),
                              &init);
    }
  for (guint round = 0; round < ROUNDS; round++)
    for (guint i = 0; i < G_N_ELEMENTS (which); i++)
      crowd_send (crowds[i]);
  assert_answered (&scene);
  assert_memory (scene.harness, scene.entries[0], scene.entries[0]->metrics);
  for (guint i = 0; i < G_N_ELEMENTS (which); i++)
    crowd_free (crowds[i]);
  harness_wait (scene.harness, platform_is_ready, &scene, "an ordinary job");
  assert_memory (scene.harness, scene.entries[0], scene.entries[0]->metrics);
  platform_scene_close (&scene);
}

/* Entries and agents of stored jobs. */

static Process *
native_target (Harness *harness, Target target)
{
  return target == AGENT || target == AGENT_FRAMES ? harness_agent (harness, 0)
                                                   : harness_entry (harness, 0);
}

static gboolean
native_is_served (gpointer ctx)
{
  Harness *harness = ctx;
  char *body = job_body (4, "1:hi", NULL);
  Exchange *exchange
      = harness_post (harness, harness_entry (harness, 0)->http, "/v1/jobs", body);
  gboolean served = exchange->status == 200;

  exchange_free (exchange);
  g_free (body);
  return served;
}

static void
run_native_crowd (Harness *harness, Process *process, Crowd *crowd)
{
  Exchange *exchange;

  crowd_send (crowd);
  g_assert_false (process_has_exited (process));
  exchange = harness_get (harness, harness_entry (harness, 0)->http, "/ready");
  g_assert_cmpint (exchange->status, >, 0);
  exchange_free (exchange);
  assert_bounds (harness, process, process->http);
  crowd_free (crowd);
  harness_wait (harness, native_is_served, harness, "an ordinary job");
  assert_bounds (harness, process, process->http);
}

#define NATIVE_POST "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: "

static const Case native_cases[] = {
  { "ready-unread", FRONT, 8, NULL, 0, GET ("/ready"), 20 * MB, LIMITS },
  { "unknown-path-unread", FRONT, 8, NULL, 0, GET ("/no/such/page"), 20 * MB, LIMITS },
  { "counters-unread", FRONT, 4, NULL, 0, GET ("/counters"), 30 * MB, LIMITS },
  { "body-announced-over-the-limit", FRONT, 8, NATIVE_POST "17000000\r\n\r\n", 0, X1000,
    17000000, LIMITS },
  { "bodies-without-their-end", FRONT, 30, NATIVE_POST "4000000\r\n\r\n", 0, X1000,
    3990000, LIMITS },
  { "body-of-many-values", FRONT, 2, NATIVE_POST "4000001\r\n\r\n[", 0, "0,", 4000000,
    LIMITS },
  { "idle-connections", FRONT, 400, NULL, 0, NULL, 0, LIMITS_AND_DESCRIPTORS },
  { "frames-without-their-end", FRAMES, 8, LONG_FRAME, X1000, 16000000, LIMITS },
  { "agent-unread", AGENT, 8, NULL, 0, GET ("/ready"), 20 * MB, LIMITS },
  { "agent-frames-without-their-end", AGENT_FRAMES, 8, LONG_FRAME, X1000, 16000000,
    LIMITS },
};

static void
test_native (gconstpointer data)
{
  const Case *c = data;
  const CrowdInit crowd = { c->clients, c->first, c->first_size, c->repeat, c->bytes };
  HarnessInit init = { .entries = 1,
                       .backends = 1,
                       .entry_settings = c->settings,
                       .agent_settings = c->settings };
  Harness *harness = harness_new (&init);
  Process *process = native_target (harness, c->target);

  run_native_crowd (harness, process,
                    crowd_open (harness, target_address (process, c->target), &crowd));
  harness_free (harness);
}

/* Guards against an entry that holds a copy of a job's answers for each of the clients
 * that ask for them and read nothing. */
static void
test_native_answers_unread (void)
{
  HarnessInit init = { .entries = 1, .backends = 1, .entry_settings = LIMITS };
  Harness *harness = harness_new (&init);
  Process *entry = harness_entry (harness, 0);
  char *body = job_body (10, "big:200000", NULL);
  Exchange *exchange = harness_post (harness, entry->http, "/v1/jobs", body);
  char *job = exchange_text (exchange, "job");
  char *get = g_strdup_printf ("GET /v1/jobs/%s HTTP/1.1\r\nHost: x\r\n\r\n", job);
  const CrowdInit crowd = { 60, NULL, 0, get, 10 * KB };

  g_assert_cmpint (exchange->status, ==, 200);
  run_native_crowd (harness, entry, crowd_open (harness, entry->http, &crowd));
  g_free (get);
  g_free (job);
  exchange_free (exchange);
  g_free (body);
  harness_free (harness);
}

/* Guards against an entry that takes jobs without regard to the memory that they hold. */
static void
test_native_jobs (void)
{
  HarnessInit init = { .entries = 1, .backends = 1, .entry_settings = LIMITS };
  Harness *harness = harness_new (&init);
  Process *entry = harness_entry (harness, 0);
  char *payload = g_strnfill (200000, 'x');
  char *task = g_strconcat ("3600:", payload, NULL);
  char *body = job_body (10, task, NULL);
  char *post = g_strdup_printf ("POST /v1/jobs?wait=0 HTTP/1.1\r\nHost: x\r\n"
                                "Content-Length: %zu\r\n\r\n%s",
                                strlen (body), body);
  const CrowdInit crowd = { 60, post, 0, NULL, 0 };

  run_native_crowd (harness, entry, crowd_open (harness, entry->http, &crowd));
  g_free (post);
  g_free (body);
  g_free (task);
  g_free (payload);
  harness_free (harness);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  ADD_CASES ("/crowds", cases, test_case);
  g_test_add_func ("/crowds/all-at-once", test_all_at_once);
  ADD_CASES ("/crowds/native", native_cases, test_native);
  g_test_add_func ("/crowds/native/answers-unread", test_native_answers_unread);
  g_test_add_func ("/crowds/native/jobs", test_native_jobs);
  g_test_add_func ("/system-limit/descriptors", test_descriptors_of_the_system);
  return g_test_run ();
}
