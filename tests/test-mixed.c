/* A mixed run from one seed: jobs from all entries, cancellations, bursts, a failing
 * backend server, jobs that can never run, and two faults at a time. At the end all
 * counts must add up, and queues, open files and memory must be back at their baseline.
 */
#include "jobs.h"

#include <json-glib/json-glib.h>
#include <string.h>

#define SEED 20261202
#define ROUNDS 14
#define ENTRIES 3
#define AGENTS 4
/* Sockets still closing and links being dialled again. */
#define FILES_MARGIN 24
#define MEMORY_MARGIN_KB 24000

typedef struct
{
  Harness *harness;
  Jobs *jobs;
  GRand *random;
  guint unsatisfiable;
} Scene;

typedef struct
{
  const char *name;
  void (*inject) (Scene *scene);
  void (*repair) (Scene *scene);
} Fault;

static void
no_repair (Scene *scene)
{
}

static void
server_fails (Scene *scene)
{
  harness_fault (scene->harness, harness_backend (scene->harness, 1), "fail");
}

static void
server_recovers (Scene *scene)
{
  harness_fault (scene->harness, harness_backend (scene->harness, 1), "ok");
}

static void
store_hangs (Scene *scene)
{
  harness_fault (scene->harness, scene->harness->platform, "hang");
}

static void
store_recovers (Scene *scene)
{
  harness_fault (scene->harness, scene->harness->platform, "ok");
}

static void
agent_freezes (Scene *scene)
{
  process_signal (harness_agent (scene->harness, 2), SIGSTOP);
}

static void
agent_resumes (Scene *scene)
{
  process_signal (harness_agent (scene->harness, 2), SIGCONT);
}

static void
agent_dies (Scene *scene)
{
  process_kill (scene->harness, harness_agent (scene->harness, 3));
}

static void
agent_restarts (Scene *scene)
{
  process_restart (scene->harness, harness_agent (scene->harness, 3));
}

static void
entry_dies (Scene *scene)
{
  process_kill (scene->harness, harness_entry (scene->harness, 2));
}

static void
entry_restarts (Scene *scene)
{
  process_restart (scene->harness, harness_entry (scene->harness, 2));
}

static void
links_cut (Scene *scene)
{
  relay_cut (scene->harness->relay, 40);
}

static void
links_vanish (Scene *scene)
{
  relay_set_mode (scene->harness->relay, RELAY_VANISH, FALSE);
}

static void
burst (Scene *scene)
{
  jobs_submit (scene->jobs, harness_entry (scene->harness, 0), 25, 6, 30, NULL);
}

static void
cancel_wave (Scene *scene)
{
  Exchange *rows = harness_get (scene->harness, harness_entry (scene->harness, 0)->http,
                                "/v1/rows/jobs");
  JsonNode *root = json_from_string (rows->body, NULL);
  JsonArray *array = json_node_get_array (root);

  for (guint i = 0; i < json_array_get_length (array); i++)
    {
      JsonObject *row = json_array_get_object_element (array, i);
      char *path
          = g_strdup_printf ("/v1/jobs/%s", json_object_get_string_member (row, "job"));
      Exchange *cancel;

      if (strcmp (json_object_get_string_member (row, "state"), "running") == 0)
        {
          cancel = harness_call (scene->harness, harness_entry (scene->harness, 1)->http,
                                 EVHTTP_REQ_DELETE, path, NULL);
          harness_wait_exchange (scene->harness, cancel);
          exchange_free (cancel);
        }
      g_free (path);
    }
  json_node_unref (root);
  exchange_free (rows);
}

static const Fault faults[] = {
  { "worker-fails", server_fails, server_recovers },
  { "store-hangs", store_hangs, store_recovers },
  { "agent-freezes", agent_freezes, agent_resumes },
  { "agent-dies", agent_dies, agent_restarts },
  { "entry-dies", entry_dies, entry_restarts },
  { "links-cut", links_cut, no_repair },
  { "links-vanish", links_vanish, no_repair },
  { "burst", burst, no_repair },
  { "cancel-wave", cancel_wave, no_repair },
};

static void
submit_some (Scene *scene)
{
  for (guint i = 0; i < ENTRIES; i++)
    {
      Process *entry = harness_entry (scene->harness, i);

      if (entry->pid > 0)
        jobs_submit (scene->jobs, entry, 3,
                     (guint)g_rand_int_range (scene->random, 1, 20),
                     (guint)g_rand_int_range (scene->random, 10, 200), NULL);
    }
}

static void
submit_unsatisfiable (Scene *scene)
{
  Exchange *exchange
      = harness_post (scene->harness, harness_entry (scene->harness, 0)->http, "/v1/jobs",
                      "{\"service\":\"nowhere\",\"tasks\":[{\"payload\":\"1\"}]}");

  scene->unsatisfiable += exchange->status == 422 || exchange->status == 503;
  exchange_free (exchange);
}

static void
run_round (Scene *scene, guint round)
{
  const Fault *first = &faults[round % G_N_ELEMENTS (faults)];
  const Fault *second = first;

  while (second == first)
    second = &faults[g_rand_int_range (scene->random, 0, G_N_ELEMENTS (faults))];
  submit_some (scene);
  harness_run_ms (scene->harness, 100);
  first->inject (scene);
  second->inject (scene);
  submit_some (scene);
  submit_unsatisfiable (scene);
  harness_run_ms (scene->harness, (guint)g_rand_int_range (scene->random, 200, 1500));
  first->repair (scene);
  second->repair (scene);
}

typedef struct
{
  Harness *harness;
  guint64 files[2];
} Baseline;

static gboolean
is_idle (gpointer ctx)
{
  const Baseline *baseline = ctx;
  gboolean clean = TRUE;

  for (guint i = 0; i < ENTRIES && clean; i++)
    {
      const char *entry = harness_entry (baseline->harness, i)->http;
      Exchange *teams = harness_get (baseline->harness, entry, "/v1/rows/teams");
      Exchange *jobs = harness_get (baseline->harness, entry, "/v1/rows/jobs");

      clean = strstr (jobs->body, "\"state\":\"running\"") == NULL;
      if (strstr (teams->body, "\"waiting\"") != NULL)
        clean = clean && strstr (teams->body, "\"waiting\":0,\"running\":0") != NULL;
      exchange_free (teams);
      exchange_free (jobs);
    }
  return clean;
}

static gboolean
are_files_closed (gpointer ctx)
{
  const Baseline *baseline = ctx;

  for (guint i = 0; i < 2; i++)
    if (harness_counter (baseline->harness, harness_entry (baseline->harness, i)->http,
                         "process_open_files")
        > baseline->files[i] + FILES_MARGIN)
      return FALSE;
  return TRUE;
}

static void
test_mixed (void)
{
  HarnessInit init = {
    .entries = ENTRIES, .backends = AGENTS, .agentless = 1, .relayed_entry = "entry-1"
  };
  Scene scene = { harness_new (&init) };
  Baseline baseline = { scene.harness };
  guint64 memory_kb[2];
  JobCounts counts;

  scene.random = g_rand_new_with_seed (SEED);
  scene.jobs = jobs_new (scene.harness);
  submit_some (&scene);
  jobs_wait (scene.jobs);
  for (guint i = 0; i < 2; i++)
    {
      const char *entry = harness_entry (scene.harness, i)->http;

      baseline.files[i] = harness_counter (scene.harness, entry, "process_open_files");
      memory_kb[i] = harness_counter (scene.harness, entry, "process_rss_kb");
    }
  for (guint round = 0; round < ROUNDS; round++)
    run_round (&scene, round);
  jobs_wait (scene.jobs);
  counts = jobs_check (scene.jobs);
  g_assert_cmpuint (counts.complete + counts.not_run + counts.may_have_run
                        + counts.broken,
                    ==, scene.jobs->list->len);
  g_assert_cmpuint (counts.complete, >, scene.jobs->list->len / 3);
  g_assert_cmpuint (scene.unsatisfiable, ==, ROUNDS);
  harness_wait (scene.harness, is_idle, &baseline, "queues to be empty");
  harness_wait (scene.harness, are_files_closed, &baseline, "open files to be back");
  for (guint i = 0; i < 2; i++)
    g_assert_cmpuint (harness_counter (scene.harness,
                                       harness_entry (scene.harness, i)->http,
                                       "process_rss_kb"),
                      <, memory_kb[i] + MEMORY_MARGIN_KB);
  jobs_free (scene.jobs);
  g_rand_free (scene.random);
  harness_free (scene.harness);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/mixed/two-faults-at-a-time", test_mixed);
  return g_test_run ();
}
