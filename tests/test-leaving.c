/* A leaving backend server gets no new tasks; a graceful shutdown interrupts none. */
#include "cases.h"
#include "clock.h"
#include "jobs.h"

#include <stdlib.h>

/* No task may start on a leaving backend server after this. */
#define LEAVING_LIMIT_MS 5000
#define PRESSURE_JOBS 8

typedef struct
{
  Harness *harness;
  Jobs *jobs;
} Scene;

/* Submits jobs that keep all slots busy for about @seconds. */
static void
saturate (Scene *scene, guint seconds)
{
  guint slots = scene->harness->backends->len * 8;

  for (guint i = 0; i < PRESSURE_JOBS; i++)
    jobs_submit (
        scene->jobs, harness_entry (scene->harness, i % scene->harness->entries->len), 1,
        MAX (slots * seconds * 10 / PRESSURE_JOBS, 1), 100, "\"deadline_ms\":60000,");
}

static gint64
last_start_ms (Scene *scene, guint backend, guint *n)
{
  Exchange *exchange = harness_get (
      scene->harness, harness_backend (scene->harness, backend)->http, "/starts");
  char **lines = g_strsplit (exchange->body, "\n", -1);
  gint64 last = 0;

  *n = 0;
  for (char **line = lines; *line != NULL; line++)
    if (**line != '\0')
      {
        last = g_ascii_strtoll (*line, NULL, 10);
        (*n)++;
      }
  g_strfreev (lines);
  exchange_free (exchange);
  return last;
}

static void
leave_by_agent (Scene *scene)
{
  exchange_free (harness_post (scene->harness, harness_agent (scene->harness, 0)->http,
                               "/v1/announce?leaving=1", ""));
}

static void
leave_announced (Scene *scene)
{
  exchange_free (harness_post (scene->harness, harness_backend (scene->harness, 0)->http,
                               "/leave?how=announced", ""));
}

static void
leave_silently (Scene *scene)
{
  exchange_free (harness_post (scene->harness, harness_backend (scene->harness, 0)->http,
                               "/leave?how=silent", ""));
}

static void
drain (Scene *scene, const char *name)
{
  char *body = g_strdup_printf ("{\"key\":\"drain.backend.%s\",\"value\":true}", name);
  Exchange *exchange = harness_post (
      scene->harness, harness_entry (scene->harness, 0)->http, "/v1/config", body);

  g_assert_cmpint (exchange->status, ==, 200);
  exchange_free (exchange);
  g_free (body);
}

static void
leave_by_drain (Scene *scene)
{
  drain (scene, "agent-0");
}

static void
leave_by_drain_agentless (Scene *scene)
{
  drain (scene, "agentless-0");
}

static void
leave_with_store_down (Scene *scene)
{
  harness_fault (scene->harness, scene->harness->platform, "hang");
  leave_by_agent (scene);
}

static void
leave_by_term (Scene *scene)
{
  process_signal (harness_agent (scene->harness, 0), SIGTERM);
}

typedef struct
{
  const char *name;
  guint agents;
  guint agentless;
  void (*leave) (Scene *scene);
} LeaveCase;

static const LeaveCase leave_cases[] = {
  { "agent-announces", 2, 0, leave_by_agent },
  { "agent-terminated", 2, 0, leave_by_term },
  { "agentless-announces", 0, 2, leave_announced },
  { "agentless-goes-silent", 0, 2, leave_silently },
  { "drained", 2, 0, leave_by_drain },
  { "drained-agentless", 0, 2, leave_by_drain_agentless },
  { "store-down", 2, 0, leave_with_store_down },
};

/* A backend server that shuts down while all slots are in demand must get no new tasks,
 * which would be lost with it; for each way of leaving. */
static void
test_leave (gconstpointer data)
{
  const LeaveCase *c = data;
  HarnessInit init = { .entries = 2, .backends = c->agents, .agentless = c->agentless };
  Scene scene = { harness_new (&init) };
  gint64 left_ms;
  gint64 last_ms;
  guint starts;
  guint later;

  scene.jobs = jobs_new (scene.harness);
  saturate (&scene, 8);
  jobs_wait_starts (scene.harness, 20);
  left_ms = clock_now_ms ();
  c->leave (&scene);
  harness_run_ms (scene.harness, LEAVING_LIMIT_MS);
  last_start_ms (&scene, 0, &starts);
  harness_run_ms (scene.harness, 1000);
  last_ms = last_start_ms (&scene, 0, &later);
  g_test_message ("last start %" G_GINT64_FORMAT " ms after leaving", last_ms - left_ms);
  g_assert_cmpuint (later, ==, starts);
  jobs_wait (scene.jobs);
  g_assert_cmpuint (jobs_check (scene.jobs).complete, ==, PRESSURE_JOBS);
  jobs_free (scene.jobs);
  harness_free (scene.harness);
}

typedef struct
{
  const char *name;
  gboolean agents; /* else entries */
} RollCase;

static const RollCase roll_cases[] = { { "agents", TRUE }, { "entries", FALSE } };

static void
roll_agent (Harness *harness, guint i)
{
  Process *agent = harness_agent (harness, i);

  process_signal (agent, SIGTERM);
  g_assert_cmpint (process_wait (harness, agent), ==, 0);
  process_restart (harness, agent);
  harness_wait_page (harness, agent->http, "/ready", "links");
}

static void
roll_entry (Harness *harness, guint i)
{
  Process *entry = harness_entry (harness, i);

  process_signal (entry, SIGTERM);
  g_assert_cmpint (process_wait (harness, entry), ==, 0);
  process_restart (harness, entry);
  harness_wait_page (harness, entry->http, "/ready", "ready\n");
}

/* A rolling restart must not lose requests in flight: SIGTERM to one process after the
 * other, each restarted, under steady load. Callers avoid leaving entries, as a load
 * balancer would make them. */
static void
test_roll (gconstpointer data)
{
  const RollCase *c = data;
  HarnessInit init
      = { .entries = 3, .backends = 3, .entry_settings = "drain.grace_ms = 300" };
  Harness *harness = harness_new (&init);
  Jobs *jobs = jobs_new (harness);
  guint sent = 0;

  for (guint i = 0; i < 3; i++)
    {
      for (guint e = 0; e < 3; e++, sent += 4)
        jobs_submit (jobs, harness_entry (harness, e), 4, 20, 80,
                     "\"deadline_ms\":60000,");
      jobs_wait_starts (harness, i * 240 + 5);
      if (c->agents)
        roll_agent (harness, i);
      else
        roll_entry (harness, i);
    }
  jobs_wait (jobs);
  g_assert_cmpuint (jobs_check (jobs).complete, ==, sent);
  jobs_free (jobs);
  harness_free (harness);
}

/* A single leaving entry must finish the jobs it holds, then exit. */
static void
test_last_entry_leaves (void)
{
  HarnessInit init
      = { .entries = 1, .backends = 1, .entry_settings = "drain.grace_ms = 100" };
  Harness *harness = harness_new (&init);
  Jobs *jobs = jobs_new (harness);

  jobs_submit (jobs, harness_entry (harness, 0), 3, 20, 80, NULL);
  jobs_wait_starts (harness, 4);
  process_signal (harness_entry (harness, 0), SIGTERM);
  jobs_wait (jobs);
  g_assert_cmpuint (jobs_check (jobs).complete, ==, 3);
  g_assert_cmpint (process_wait (harness, harness_entry (harness, 0)), ==, 0);
  jobs_free (jobs);
  harness_free (harness);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD_CASES ("/leaving", leave_cases, test_leave);
  ADD_CASES ("/leaving/roll", roll_cases, test_roll);
  g_test_add_func ("/leaving/last-entry", test_last_entry_leaves);
  return g_test_run ();
}
