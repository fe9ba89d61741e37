/* No task starts twice; a job is complete or failed, never partial; "not run" is true.
 * One table of faults, each struck while jobs of all entries run. */
#include "cases.h"
#include "jobs.h"
#include "relay.h"
#include "rendezvous.h"

#include <string.h>

#define ENTRIES 3
#define BACKENDS 4
#define JOBS_EACH 4
#define TASKS 20
#define RUN_MS 150

typedef struct
{
  Harness *harness;
  Jobs *jobs;
  Process *home;
  Process *holder; /* an entry that is not the home */
} Scene;

typedef struct
{
  const char *name;
  guint backends;
  guint agentless;
  void (*strike) (Scene *scene);
  gboolean all_complete;  /* the fault must cost no job */
  guint may_have_run_max; /* most jobs that it may cost */
  guint broken_max;
} FaultCase;

/* Which entry is home: all processes rank alike, and so can the test. */
static guint
home_among (guint entries)
{
  guint home = 0;
  guint64 best = 0;

  for (guint i = 0; i < entries; i++)
    {
      char *name = g_strdup_printf ("entry-%u", i);
      guint64 score = rendezvous_score ("exchange/0", name);

      if (score > best)
        {
          home = i;
          best = score;
        }
      g_free (name);
    }
  return home;
}

static guint
home_index (void)
{
  return home_among (ENTRIES);
}

static void
strike_nothing (Scene *scene)
{
}

/* Symptom: after a home's death its tasks are lost or run again elsewhere.
 * Sequence: the home dies with some tasks placed and others queued.
 * Cause: only the slot owners know which of them started; a holder that does not ask and
 * fence them all guesses. */
static void
strike_kill_home (Scene *scene)
{
  process_kill (scene->harness, scene->home);
}

/* Symptom: a task placed on a dead agent is run again on another one.
 * Sequence: the agent dies with tasks running on its backend server.
 * Cause: the death of a slot owner proves nothing about what it started. */
static void
strike_kill_agent (Scene *scene)
{
  process_kill (scene->harness, harness_agent (scene->harness, 0));
}

static void
freeze (Scene *scene, Process *process, guint ms)
{
  process_signal (process, SIGSTOP);
  harness_run_ms (scene->harness, ms);
  process_signal (process, SIGCONT);
}

/* Symptom: a home that was stopped starts tasks which were granted elsewhere meanwhile.
 * Sequence: SIGSTOP past its lease, settlement and re-grant by the holders, SIGCONT.
 * Cause: it does not know that time has passed; only the owners' fences stop it. */
static void
strike_freeze_home (Scene *scene)
{
  freeze (scene, scene->home, 4500);
}

/* Symptom: an agent that was stopped starts what it finds in its sockets on waking.
 * Sequence: SIGSTOP past the lease with starts under way to it, SIGCONT.
 * Cause: its links were closed by the other side and its tasks given up as lost. */
static void
strike_freeze_agent (Scene *scene)
{
  freeze (scene, harness_agent (scene->harness, 0), 6500);
}

/* Symptom: a short stop costs jobs. A pause shorter than the lease must cost nothing. */
static void
strike_short_freeze (Scene *scene)
{
  freeze (scene, harness_agent (scene->harness, 0), 800);
}

/* Symptom: a start or an outcome cut in half is lost, or repeated as a second start.
 * Sequence: the link is reset after some bytes of a frame, and opened anew.
 * Cause: neither end knows what the other has taken; it has to be asked. */
static void
strike_cut (Scene *scene)
{
  for (int i = 0; i < 5; i++)
    {
      relay_cut (scene->harness->relay, 20 + 13 * i);
      harness_run_ms (scene->harness, 150);
    }
}

/* Symptom: a frame delivered twice starts its tasks twice. */
static void
strike_repeat (Scene *scene)
{
  relay_set_mode (scene->harness->relay, RELAY_REPEAT, TRUE);
}

/* Symptom: tasks hang on a connection that stands for both ends and carries nothing.
 * Sequence: the relay stops forwarding and closes nothing; new connections work.
 * Cause: no FIN comes; only missing heartbeats tell. */
static void
strike_vanish (Scene *scene)
{
  relay_set_mode (scene->harness->relay, RELAY_VANISH, FALSE);
}

/* Symptom: tasks handed over just before the loss of a link wait for ever.
 * Sequence: what the home sends is lost, while it still hears outcomes and so hands over
 * more; the agent misses its heartbeats and opens a new connection.
 * Cause: neither a start nor an outcome is under way any more; only a question shows that
 * the owner never got the task. */
static void
strike_deaf (Scene *scene)
{
  relay_set_mode (scene->harness->relay, RELAY_DROP_REPLIES, FALSE);
}

/* Symptom: the store's outage stops tasks. */
static void
strike_store_hangs (Scene *scene)
{
  harness_fault (scene->harness, scene->harness->platform, "hang");
}

static void
strike_store_and_home (Scene *scene)
{
  strike_store_hangs (scene);
  strike_kill_home (scene);
}

static void
strike_home_and_agent (Scene *scene)
{
  strike_kill_home (scene);
  strike_kill_agent (scene);
}

static void
strike_freeze_both (Scene *scene)
{
  process_signal (harness_agent (scene->harness, 0), SIGSTOP);
  strike_freeze_home (scene);
  process_signal (harness_agent (scene->harness, 0), SIGCONT);
}

static void
strike_kill_holder (Scene *scene)
{
  process_kill (scene->harness, scene->holder);
}

#define MANY 1000

static const FaultCase fault_cases[] = {
  { "none", BACKENDS, 0, strike_nothing, TRUE },
  { "none-agentless", 0, BACKENDS, strike_nothing, TRUE },
  { "kill-home", BACKENDS, 0, strike_kill_home, FALSE, 0, JOBS_EACH },
  { "kill-home-agentless", 2, 2, strike_kill_home, FALSE, MANY, JOBS_EACH },
  { "kill-holder", BACKENDS, 0, strike_kill_holder, FALSE, 0, JOBS_EACH },
  { "kill-agent", BACKENDS, 0, strike_kill_agent, FALSE, MANY, 0 },
  { "freeze-home", BACKENDS, 0, strike_freeze_home, FALSE, 0, 0 },
  { "freeze-agent", BACKENDS, 0, strike_freeze_agent, FALSE, MANY, 0 },
  { "short-freeze", BACKENDS, 0, strike_short_freeze, TRUE },
  { "cut-mid-frame", BACKENDS, 0, strike_cut, TRUE },
  { "repeated-frames", BACKENDS, 0, strike_repeat, TRUE },
  { "vanished-peer", BACKENDS, 0, strike_vanish, TRUE },
  { "home-not-heard", BACKENDS, 0, strike_deaf, TRUE },
  { "store-hangs", BACKENDS, 0, strike_store_hangs, TRUE },
  { "store-hangs-and-kill-home", BACKENDS, 0, strike_store_and_home, FALSE, 0,
    JOBS_EACH },
  { "kill-home-and-agent", BACKENDS, 0, strike_home_and_agent, FALSE, MANY, JOBS_EACH },
  { "freeze-home-and-agent", BACKENDS, 0, strike_freeze_both, FALSE, MANY, 0 },
};

static void
test_fault (gconstpointer data)
{
  const FaultCase *c = data;
  guint home = home_index ();
  char *home_name = g_strdup_printf ("entry-%u", home);
  HarnessInit init = { .entries = ENTRIES,
                       .backends = c->backends,
                       .agentless = c->agentless,
                       .relayed_entry = home_name };
  Scene scene = { harness_new (&init) };
  JobCounts counts;
  guint sent = ENTRIES * JOBS_EACH;

  scene.home = harness_entry (scene.harness, home);
  scene.holder = harness_entry (scene.harness, (home + 1) % ENTRIES);
  scene.jobs = jobs_new (scene.harness);
  /* The home's own jobs come last, so that it is the others' tasks that run. */
  for (guint i = 1; i <= ENTRIES; i++)
    {
      jobs_submit (scene.jobs, harness_entry (scene.harness, (home + i) % ENTRIES),
                   JOBS_EACH, TASKS, RUN_MS, NULL);
      if (i + 1 == ENTRIES)
        jobs_wait_starts (scene.harness, 10);
    }
  c->strike (&scene);
  jobs_wait (scene.jobs);
  counts = jobs_check (scene.jobs);
  g_assert_cmpuint (
      counts.complete + counts.not_run + counts.may_have_run + counts.broken, ==, sent);
  g_assert_cmpuint (counts.may_have_run, <=, c->may_have_run_max);
  g_assert_cmpuint (counts.broken, <=, c->broken_max);
  if (c->all_complete)
    g_assert_cmpuint (counts.complete, ==, sent);
  if (scene.holder->pid > 0)
    g_test_message (
        "jobs settled %u, tasks granted again %u",
        (guint)harness_counter (scene.harness, scene.holder->http, "jobs_settled"),
        (guint)harness_counter (scene.harness, scene.holder->http, "tasks_regranted"));
  jobs_free (scene.jobs);
  harness_free (scene.harness);
  g_free (home_name);
}

typedef struct
{
  Harness *harness;
  Process *home;
  Process *owner; /* the agent whose task has ended */
} Loss;

static gboolean
one_has_answered (gpointer ctx)
{
  Loss *loss = ctx;

  for (guint i = 0; i < loss->harness->agents->len; i++)
    {
      Process *agent = harness_agent (loss->harness, i);

      if (harness_counter (loss->harness, agent->http, "tasks_answered") > 0)
        loss->owner = agent;
    }
  return loss->owner != NULL;
}

static gboolean
owner_is_gone (gpointer ctx)
{
  const Loss *loss = ctx;
  Exchange *rows = harness_get (loss->harness, loss->home->http, "/v1/rows/backends");
  gboolean gone = strstr (rows->body, loss->owner->name) == NULL;

  exchange_free (rows);
  return gone;
}

/* Symptom: a task that was answered runs again on another backend server.
 * Sequence: one task of a job ends while another runs on; the agent of the first dies,
 * and the home strikes it off the roster; then the home dies. Cause: the home keeps
 * outcomes back until the job's other tasks have ended, so that the holder does not know
 * of the first; it asks the owners of the roster it has, none of which has heard of that
 * task, and takes this for a proof. */
static void
test_owner_then_home (void)
{
  HarnessInit init = { .entries = ENTRIES, .backends = 2, .slots = 1 };
  Loss loss = { harness_new (&init) };
  Exchange *exchange;

  loss.home = harness_entry (loss.harness, home_index ());
  exchange = harness_call (
      loss.harness, harness_entry (loss.harness, (home_index () + 1) % ENTRIES)->http,
      EVHTTP_REQ_POST, "/v1/jobs",
      "{\"service\":\"exchange\",\"tasks\":[{\"payload\":\"50:a\"},"
      "{\"payload\":\"2500:b\"}]}");
  jobs_wait_starts (loss.harness, 2);
  harness_wait (loss.harness, one_has_answered, &loss, "one answer");
  process_kill (loss.harness, loss.owner);
  harness_wait (loss.harness, owner_is_gone, &loss, "the owner to be gone");
  harness_run_ms (loss.harness, 100);
  process_kill (loss.harness, loss.home);
  harness_wait_exchange (loss.harness, exchange);
  g_assert_cmpuint (harness_assert_once (loss.harness), ==, 2);
  g_assert_cmpint (exchange->status, ==, 200);
  g_assert_cmpint (exchange_answers (exchange), ==, 2);
  exchange_free (exchange);
  harness_free (loss.harness);
}

/* Symptom: a task starts twice although its home's loss was settled.
 * Sequence: the home is stopped with tasks queued; its holder gives it up, asks all
 * owners of the home's roster, and grants what none of them has to another home;
 * meanwhile one more agent comes; the home wakes, links to its holder again, sends it a
 * roster with the new agent and, once that is acknowledged, starts its old tasks there.
 * Cause: the home did not see that it had been given up, since only its own clock stood
 *   still, and the new owner was never asked. */
static void
test_new_owner_after_settlement (void)
{
  HarnessInit init = { .entries = ENTRIES, .backends = 2, .slots = 1 };
  Harness *harness = harness_new (&init);
  Jobs *jobs = jobs_new (harness);
  guint home = home_index ();
  JobCounts counts;

  jobs_submit (jobs, harness_entry (harness, (home + 1) % ENTRIES), 4, 10, 300, NULL);
  jobs_wait_starts (harness, 2);
  process_signal (harness_entry (harness, home), SIGSTOP);
  harness_add_agent (harness, "agent-late", "backend.slots = 20\n");
  harness_run_ms (harness, 4500);
  process_signal (harness_entry (harness, home), SIGCONT);
  jobs_wait (jobs);
  counts = jobs_check (jobs);
  g_assert_cmpuint (counts.broken, ==, 0);
  jobs_free (jobs);
  harness_free (harness);
}

#define MANY_ENTRIES 6

/* Symptom: with more than four entries a lost home's tasks wait for good.
 * Sequence: agents link to two entries only, the home and the next in rank; the home dies
 *   with tasks running and queued; holders without a link to any agent settle.
 * Cause: what works while every entry is linked to every agent. */
static void
test_many_entries (void)
{
  HarnessInit init = { .entries = MANY_ENTRIES, .backends = 4 };
  Harness *harness = harness_new (&init);
  Jobs *jobs = jobs_new (harness);
  guint home = home_among (MANY_ENTRIES);
  JobCounts counts;

  for (guint i = 0; i < MANY_ENTRIES; i++)
    if (i != home)
      jobs_submit (jobs, harness_entry (harness, i), JOBS_EACH, TASKS, RUN_MS, NULL);
  jobs_wait_starts (harness, TASKS);
  process_kill (harness, harness_entry (harness, home));
  jobs_wait (jobs);
  counts = jobs_check (jobs);
  g_assert_cmpuint (counts.complete, ==, jobs->list->len);
  jobs_free (jobs);
  harness_free (harness);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD_CASES ("/once", fault_cases, test_fault);
  g_test_add_func ("/once/owner-then-home", test_owner_then_home);
  g_test_add_func ("/once/new-owner-after-settlement", test_new_owner_after_settlement);
  g_test_add_func ("/once/many-entries", test_many_entries);
  return g_test_run ();
}
