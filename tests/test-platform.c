/* The programs for the users' platform, as real processes among stand-ins that speak its
 * published protocols. */
#include "cases.h"
#include "clock.h"
#include "harness.h"

#include <json-glib/json-glib.h>
#include <stdlib.h>
#include <string.h>

#define HOST "claims.example"
#define PREFIX "/claims/"
#define ENTRIES 2
#define SERVERS 2
/* A job that is sent again after its entry was lost comes this much later. */
#define RESEND_MS 1300

typedef struct
{
  Harness *harness;
  Process *store;
  Process *entries[ENTRIES];
  Process *agents[SERVERS];
  Process *servers[SERVERS];
  guint jobs;
  guint version;
} Scene;

/* The operator. */

static char *
config_text (guint version, const char *prefix)
{
  return g_strdup_printf (
      "{\"version\":%u,\"routes\":[{\"name\":\"r-1\",\"host\":\"" HOST
      "\",\"prefix\":\"%s\",\"kind\":\"unsafe\",\"timeout_ms\":1500,"
      "\"target_latency_ms\":400,\"priority\":1,\"service\":\"exchange\","
      "\"max_attempts\":2,\"stretch\":4}],\"services\":[{\"name\":\"exchange\"}],"
      "\"limits\":{\"max_body_bytes\":20000,\"idle_timeout_ms\":15000}}",
      version, prefix);
}

static void
put_config (Scene *scene, const char *prefix)
{
  char *text = config_text (++scene->version, prefix);
  char *value = g_base64_encode ((const guchar *)text, strlen (text));
  char *body
      = g_strdup_printf ("{\"expected\":[],\"puts\":[{\"table\":\"op\",\"part\":\"\","
                         "\"key\":\"config\",\"value\":\"%s\"}],\"remove\":[]}",
                         value);

  exchange_free (harness_post (scene->harness, scene->store->http, "/rows-tx", body));
  g_free (body);
  g_free (value);
  g_free (text);
}

/* Processes. */

static Process *
start_entry (Scene *scene, guint i, const char *peers)
{
  char *name = g_strdup_printf ("entry-%u", i);
  char *settings = g_strdup_printf (
      "name = \"%s\"\nzone = \"z\"\nlisten.http = \"127.0.0.1:0\"\n"
      "listen.frames = \"127.0.0.1:0\"\nlisten.ready = \"127.0.0.1:0\"\n"
      "links.heartbeat_ms = 120\nlinks.timeout_ms = 500\ntable.address = \"%s\"\n"
      "entries.peers = [%s]\ndrain.grace_ms = 300\ndrain.limit_ms = 4000\n",
      name, scene->store->http, peers);
  Process *process
      = harness_spawn_daemon (scene->harness, PLATFORM_ENTRY_EXE, name, settings);

  g_free (settings);
  g_free (name);
  return process;
}

static void
introduce (Scene *scene, guint i)
{
  char *path = g_strdup_printf ("/agent?address=%s", scene->agents[i]->http);

  exchange_free (harness_post (scene->harness, scene->servers[i]->http, path, ""));
  g_free (path);
}

static Process *
start_agent (Scene *scene, guint i)
{
  char *name = g_strdup_printf ("agent-%u", i);
  char *settings = g_strdup_printf (
      "name = \"%s\"\nzone = \"z\"\nlisten.http = \"127.0.0.1:0\"\n"
      "links.heartbeat_ms = 120\nlinks.timeout_ms = 500\ntable.address = \"%s\"\n"
      "entries.peers = [\"%s\"]\nbackend.address = \"%s\"\n",
      name, scene->store->http, scene->entries[0]->frames, scene->servers[i]->http);
  Process *process
      = harness_spawn_daemon (scene->harness, PLATFORM_AGENT_EXE, name, settings);

  g_free (settings);
  g_free (name);
  return process;
}

static char *
job_path (const char *prefix, guint number)
{
  return g_strdup_printf ("%s%016x", prefix, number);
}

static Exchange *
call_job (Scene *scene, guint entry, guint number, const char *body)
{
  const char *headers[] = { "Host", HOST, "X-Deadline-Ms", "8000", NULL };
  char *path = job_path (PREFIX, number);
  Exchange *exchange = harness_call_with (scene->harness, scene->entries[entry]->http,
                                          EVHTTP_REQ_POST, path, headers, body);

  g_free (path);
  return exchange;
}

static char *
job_of (const char *spec, guint tasks)
{
  return g_strdup_printf (
      "{\"spec\":\"%s\",\"best_effort\":true,\"steps\":[{\"count\":%u,"
      "\"cpu\":1000,\"mem_mb\":64,\"estimate_ms\":100}]}",
      spec, tasks);
}

static Exchange *
start_job (Scene *scene, guint entry, const char *spec, guint tasks)
{
  char *body = job_of (spec, tasks);
  Exchange *exchange = call_job (scene, entry, ++scene->jobs, body);

  g_free (body);
  return exchange;
}

static void
expect (Scene *scene, Exchange *exchange, int status, const char *text)
{
  harness_wait_exchange (scene->harness, exchange);
  g_assert_cmpint (exchange->status, ==, status);
  if (text != NULL)
    g_assert_nonnull (strstr (exchange->body, text));
  exchange_free (exchange);
}

static void
expect_completed (Scene *scene, guint entry, const char *spec, guint tasks)
{
  expect (scene, start_job (scene, entry, spec, tasks), 200, "completed");
}

static gboolean
is_ready (gpointer ctx)
{
  Scene *scene = ctx;
  Exchange *exchange = start_job (scene, scene->jobs % ENTRIES, "1", SERVERS * 4);
  gboolean ready;

  harness_wait_exchange (scene->harness, exchange);
  ready = exchange->status == 200;
  exchange_free (exchange);
  return ready;
}

static void
scene_open (Scene *scene, gboolean configured)
{
  const char *store[] = { STORE_EXE, NULL };
  const char *server[] = { SERVER_EXE, "4000", NULL };

  memset (scene, 0, sizeof *scene);
  scene->harness = harness_new_bare ();
  scene->store = harness_spawn (scene->harness, "store", store);
  if (configured)
    put_config (scene, PREFIX);
  for (guint i = 0; i < ENTRIES; i++)
    scene->entries[i] = start_entry (scene, i, "");
  for (guint i = 0; i < SERVERS; i++)
    {
      char *name = g_strdup_printf ("server-%u", i);

      scene->servers[i] = harness_spawn (scene->harness, name, server);
      scene->agents[i] = start_agent (scene, i);
      introduce (scene, i);
      g_free (name);
    }
  if (configured)
    harness_wait (scene->harness, is_ready, scene, "all servers serve both entries");
}

/* One start or end of a run on any server. */
typedef struct
{
  gint64 at_ms;
  gboolean starts;
  char *task;
} Moment;

static int
compare_moments (gconstpointer a, gconstpointer b)
{
  const Moment *left = a;
  const Moment *right = b;

  if (left->at_ms != right->at_ms)
    return left->at_ms < right->at_ms ? -1 : 1;
  return left->starts - right->starts;
}

static void
add_moments (Scene *scene, guint i, GArray *moments)
{
  Exchange *exchange = harness_get (scene->harness, scene->servers[i]->http, "/runs");
  char **lines = g_strsplit (exchange->body, "\n", -1);

  for (char **line = lines; *line != NULL && **line != '\0'; line++)
    {
      char **words = g_strsplit (*line, " ", 4);
      Moment moment = { g_ascii_strtoll (words[1], NULL, 10),
                        strcmp (words[0], "start") == 0, g_strdup (words[2]) };

      g_assert_cmpstr (words[0], !=, "OVER-CAPACITY");
      g_array_append_val (moments, moment);
      g_strfreev (words);
    }
  g_strfreev (lines);
  exchange_free (exchange);
}

/* No task ran twice at once on any two servers, and none over its capacity. */
static guint
check_runs (Scene *scene)
{
  GArray *moments = g_array_new (FALSE, TRUE, sizeof (Moment));
  GHashTable *running = g_hash_table_new (g_str_hash, g_str_equal);
  guint starts = 0;

  for (guint i = 0; i < SERVERS; i++)
    add_moments (scene, i, moments);
  g_array_sort (moments, compare_moments);
  for (guint i = 0; i < moments->len; i++)
    {
      const Moment *moment = &g_array_index (moments, Moment, i);

      starts += moment->starts;
      if (!moment->starts)
        g_hash_table_remove (running, moment->task);
      else if (!g_hash_table_add (running, moment->task))
        g_error ("two runs of %s at once", moment->task);
    }
  g_hash_table_unref (running);
  for (guint i = 0; i < moments->len; i++)
    g_free (g_array_index (moments, Moment, i).task);
  g_array_unref (moments);
  return starts;
}

static void
scene_close (Scene *scene)
{
  for (guint i = 0; i < ENTRIES; i++)
    process_free (scene->entries[i]);
  for (guint i = 0; i < SERVERS; i++)
    {
      process_free (scene->agents[i]);
      process_free (scene->servers[i]);
    }
  process_free (scene->store);
  harness_free (scene->harness);
}

static gboolean
run_is_logged (Scene *scene, guint server, const char *text)
{
  Exchange *exchange
      = harness_get (scene->harness, scene->servers[server]->http, "/runs");
  gboolean found = strstr (exchange->body, text) != NULL;

  exchange_free (exchange);
  return found;
}

/* Waits until a task of the last job has started somewhere. */
static gboolean
last_job_started (gpointer ctx)
{
  Scene *scene = ctx;
  char *text = g_strdup_printf ("%016x.0.0.0", scene->jobs);
  gboolean started = FALSE;

  for (guint i = 0; i < SERVERS; i++)
    started |= run_is_logged (scene, i, text);
  g_free (text);
  return started;
}

static guint
server_of_last_job (Scene *scene)
{
  char *text = g_strdup_printf ("%016x.0.0.0", scene->jobs);
  guint found = run_is_logged (scene, 0, text) ? 0 : 1;

  g_free (text);
  return found;
}

/* Cases. */

static void
jobs_are_answered (Scene *scene)
{
  expect_completed (scene, 0, "50", 8);
  expect_completed (scene, 1, "50", 20);
  expect (scene, start_job (scene, 0, "fail:20", 1), 200, "failed");
}

static void
input_is_checked (Scene *scene)
{
  static const struct
  {
    const char *body;
    int status;
  } bodies[] = {
    { "", 400 },
    { "[1]", 400 },
    { "{\"spec\":\"1\",\"best_effort\":true}", 400 },
    { "{\"spec\":\"1\",\"best_effort\":true,\"steps\":[7]}", 400 },
    { "{\"spec\":\"1\",\"best_effort\":true,\"steps\":[{\"count\":0}]}", 400 },
    { "{\"spec\":\"1\",\"steps\":[{\"count\":1}]}", 503 },
    { "{\"spec\":\"1\",\"best_effort\":true,\"steps\":[{\"count\":1},{\"count\":1}]}",
      503 },
    { "{\"spec\":\"1\",\"best_effort\":true,\"steps\":[{\"count\":1,\"gang\":true}]}",
      503 },
  };
  char *large = g_strnfill (30000, 'x');

  for (gsize i = 0; i < G_N_ELEMENTS (bodies); i++)
    expect (scene, call_job (scene, 0, ++scene->jobs, bodies[i].body), bodies[i].status,
            "error");
  expect (scene, call_job (scene, 0, ++scene->jobs, large), 413, "error");
  g_free (large);
  expect_completed (scene, 0, "10", 1);
}

static void
unknown_queue_is_not_found (Scene *scene)
{
  const char *headers[] = { "Host", "other.example", NULL };
  Exchange *exchange = harness_call_with (scene->harness, scene->entries[0]->http,
                                          EVHTTP_REQ_GET, PREFIX, headers, "");

  expect (scene, exchange, 404, NULL);
}

static gboolean
new_prefix_works (gpointer ctx)
{
  const char *headers[] = { "Host", HOST, NULL };
  Scene *scene = ctx;
  gboolean works = TRUE;

  for (guint i = 0; i < ENTRIES; i++)
    {
      Exchange *exchange = harness_call_with (scene->harness, scene->entries[i]->http,
                                              EVHTTP_REQ_GET, "/new/", headers, "");

      harness_wait_exchange (scene->harness, exchange);
      works &= exchange->status == 200;
      exchange_free (exchange);
    }
  return works;
}

static void
configuration_is_followed (Scene *scene)
{
  put_config (scene, "/new/");
  harness_wait (scene->harness, new_prefix_works, scene, "the new configuration");
  expect (scene, start_job (scene, 0, "10", 1), 404, NULL);
  harness_fault (scene->harness, scene->store, "forget");
  put_config (scene, PREFIX);
  harness_wait (scene->harness, is_ready, scene, "the configuration after lost history");
}

/* Symptom: callers of a restarted entry are refused while the store is down.
 * Sequence: the store stops answering, an entry is killed and starts again.
 * Cause: the configuration known only from the store. */
static void
configuration_comes_from_the_other_entry (Scene *scene)
{
  char *peers = g_strdup_printf ("\"%s\"", scene->entries[1]->frames);

  harness_fault (scene->harness, scene->store, "down");
  process_kill (scene->harness, scene->entries[0]);
  process_free (scene->entries[0]);
  scene->entries[0] = start_entry (scene, 0, peers);
  g_free (peers);
  harness_wait_page (scene->harness, scene->entries[0]->ready_address, "/ready", "{}");
  expect (scene, start_job (scene, 0, "x", 0), 400, "error");
}

static void
failed_agent_is_replaced (Scene *scene)
{
  Exchange *exchange = start_job (scene, 0, "400", 8);

  harness_wait (scene->harness, last_job_started, scene, "a start");
  process_kill (scene->harness, scene->agents[0]);
  process_free (scene->agents[0]);
  scene->agents[0] = start_agent (scene, 0);
  introduce (scene, 0);
  expect (scene, exchange, 200, "completed");
}

/* Symptom: a job runs twice at once.
 * Sequence: its entry is killed; the caller sends it to another entry 1.3 s later.
 * Cause: the agents let the first runs go on. */
static void
killed_entry_leaves_nothing_running (Scene *scene)
{
  Exchange *exchange = start_job (scene, 0, "3000", 2);
  char *body = job_of ("100", 2);

  harness_wait (scene->harness, last_job_started, scene, "a start");
  process_kill (scene->harness, scene->entries[0]);
  harness_wait_exchange (scene->harness, exchange);
  exchange_free (exchange);
  harness_run_ms (scene->harness, RESEND_MS);
  expect (scene, call_job (scene, 1, scene->jobs, body), 200, "completed");
  g_free (body);
}

static void
restarted_server_runs_tasks_again (Scene *scene)
{
  Exchange *exchange = start_job (scene, 0, "300", 8);

  harness_wait (scene->harness, last_job_started, scene, "a start");
  harness_fault (scene->harness, scene->servers[0], "restart");
  expect (scene, exchange, 200, "completed");
}

static void
mute_server_is_left (Scene *scene)
{
  Exchange *exchange = start_job (scene, 0, "300", 8);

  harness_wait (scene->harness, last_job_started, scene, "a start");
  harness_fault (scene->harness, scene->servers[0], "mute");
  expect (scene, exchange, 200, "completed");
  harness_fault (scene->harness, scene->servers[0], "ok");
}

/* Symptom: a task runs twice at once, two seconds after the first start.
 * Sequence: a start is not answered and carried out late.
 * Cause: the agent gives it up without a proof. */
static void
late_orders_are_harmless (Scene *scene)
{
  Exchange *exchange;

  harness_fault (scene->harness, scene->servers[0], "late");
  exchange = start_job (scene, 0, "200", 8);
  expect (scene, exchange, 200, "completed");
  harness_run_ms (scene->harness, 2300);
  harness_fault (scene->harness, scene->servers[0], "ok");
}

static void
hung_tasks_start_anew (Scene *scene)
{
  Exchange *exchange;

  expect_completed (scene, 0, "100", 8);
  harness_fault (scene->harness, scene->servers[0], "hang");
  exchange = start_job (scene, 0, "200", 4);
  expect (scene, exchange, 200, "completed");
  harness_fault (scene->harness, scene->servers[0], "ok");
}

static void
draining_server_gets_nothing (Scene *scene)
{
  char *text;

  harness_fault (scene->harness, scene->servers[0], "drain");
  harness_run_ms (scene->harness, 200);
  expect_completed (scene, 0, "10", 4);
  text = g_strdup_printf ("%016x", scene->jobs);
  g_assert_false (run_is_logged (scene, 0, text));
  g_free (text);
}

/* Symptom: an orderly end stands six times in the log.
 * Sequence: the process waits for its last frames to leave; its ticks go on.
 * Cause: each tick found it ended anew. */
static void
expect_one_stop (const Process *process)
{
  char *path = g_strconcat (process->log, ".events", NULL);
  char *text = NULL;
  char **parts;

  g_assert_true (g_file_get_contents (path, &text, NULL, NULL));
  parts = g_strsplit (text, "event=stopped", -1);
  g_assert_cmpuint (g_strv_length (parts), ==, 2);
  g_strfreev (parts);
  g_free (text);
  g_free (path);
}

/* Symptom: a rolling restart cuts callers off.
 * Sequence: an entry gets SIGTERM while it holds an open job.
 * Cause: it ends before the answer. */
static void
terminated_entry_answers_first (Scene *scene)
{
  Exchange *exchange = start_job (scene, 0, "800", 2);

  harness_wait (scene->harness, last_job_started, scene, "a start");
  process_signal (scene->entries[0], SIGTERM);
  expect (scene, exchange, 200, "completed");
  process_wait (scene->harness, scene->entries[0]);
  expect_one_stop (scene->entries[0]);
}

static void
terminated_agent_finishes_first (Scene *scene)
{
  Exchange *exchange = start_job (scene, 0, "500", 1);
  guint i;

  harness_wait (scene->harness, last_job_started, scene, "a start");
  i = server_of_last_job (scene);
  process_signal (scene->agents[i], SIGTERM);
  expect (scene, exchange, 200, "completed");
  process_wait (scene->harness, scene->agents[i]);
  expect_one_stop (scene->agents[i]);
  g_assert_false (run_is_logged (scene, i, "stopped"));
}

static void
hangup_ends_nothing (Scene *scene)
{
  process_signal (scene->entries[0], SIGHUP);
  process_signal (scene->agents[0], SIGHUP);
  expect_completed (scene, 0, "50", 8);
}

/* The caller closes its connection: its job is stopped. */
static void
abandoned_job_is_stopped (Scene *scene)
{
  char *body = job_of ("3000", 1);
  char *request = g_strdup_printf ("POST " PREFIX "%016x HTTP/1.1\r\nHost: " HOST
                                   "\r\nContent-Length: %zu\r\n\r\n%s",
                                   ++scene->jobs, strlen (body), body);

  harness_send_raw (scene->harness, scene->entries[0]->http, request, strlen (request));
  harness_wait (scene->harness, last_job_started, scene, "a start");
  harness_close_raw (scene->harness);
  harness_run_ms (scene->harness, 300);
  g_assert_true (run_is_logged (scene, server_of_last_job (scene), "stopped"));
  g_free (request);
  g_free (body);
}

typedef struct
{
  const char *name;
  void (*play) (Scene *scene);
} Case;

static const Case cases[] = {
  { "jobs-are-answered", jobs_are_answered },
  { "input-is-checked", input_is_checked },
  { "unknown-queue-is-not-found", unknown_queue_is_not_found },
  { "configuration-is-followed", configuration_is_followed },
  { "configuration-comes-from-the-other-entry",
    configuration_comes_from_the_other_entry },
  { "failed-agent-is-replaced", failed_agent_is_replaced },
  { "killed-entry-leaves-nothing-running", killed_entry_leaves_nothing_running },
  { "restarted-server-runs-tasks-again", restarted_server_runs_tasks_again },
  { "mute-server-is-left", mute_server_is_left },
  { "late-orders-are-harmless", late_orders_are_harmless },
  { "hung-tasks-start-anew", hung_tasks_start_anew },
  { "draining-server-gets-nothing", draining_server_gets_nothing },
  { "terminated-entry-answers-first", terminated_entry_answers_first },
  { "terminated-agent-finishes-first", terminated_agent_finishes_first },
  { "hangup-ends-nothing", hangup_ends_nothing },
  { "abandoned-job-is-stopped", abandoned_job_is_stopped },
};

static void
test_case (gconstpointer data)
{
  const Case *c = data;
  Scene scene;

  scene_open (&scene, TRUE);
  c->play (&scene);
  check_runs (&scene);
  scene_close (&scene);
}

/* Before the first configuration nothing is accepted, and the balancer is told so. */
static void
test_no_configuration (void)
{
  Scene scene;

  scene_open (&scene, FALSE);
  expect (&scene, start_job (&scene, 0, "10", 1), 503, "no configuration");
  expect (&scene, harness_get (scene.harness, scene.entries[0]->ready_address, "/ready"),
          503, NULL);
  put_config (&scene, PREFIX);
  harness_wait (scene.harness, is_ready, &scene, "the first configuration");
  scene_close (&scene);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD_CASES ("/platform", cases, test_case);
  g_test_add_func ("/platform/no-configuration", test_no_configuration);
  return g_test_run ();
}
