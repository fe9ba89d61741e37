/* The lasting speed of a backend server, and what the runner makes of it on a simulated
 * server. Run times are log-normal with a spread of half their mean; 3% of the tasks take
 * 7 times as long. */
#include "cases.h"
#include "leased_entry_parts.h"
#include "runner.h"
#include "server_speed.h"
#include "speeds_seen.h"

#include <math.h>
#include <string.h>

#define NEEDED 12
#define SPREAD 0.5
#define TAIL_PART 0.03
#define TAIL_RATIO 7
#define SEEDS 20
/* From a run of test_off_decides_as_before () on the code before. */
#define DECISIONS_BEFORE                                                                 \
  "27bafcd3dabcf2ad0b0989316fc8677f172b6ccbd3ddcca54c76c1d43266ecaa"

/* Ratio of actual to expected run time of one task, with a mean of about 1. */
static double
draw_ratio (GRand *rand)
{
  double normal = sqrt (-2 * log (1 - g_rand_double (rand)))
                  * cos (2 * G_PI * g_rand_double (rand));
  double ratio = exp (SPREAD * normal - SPREAD * SPREAD / 2);

  return g_rand_double (rand) < TAIL_PART ? ratio * TAIL_RATIO : ratio;
}

/* A part of a server's life: runs at regular intervals with the same true speed. */
typedef struct
{
  double ratio; /* true speed */
  guint ms;
  guint interval_ms;
} Part;

#define PARTS_MAX 3

typedef struct
{
  const char *name;
  guint needed;
  Part parts[PARTS_MAX];
  double least; /* bounds of the ratio at the end */
  double most;
} EstimateCase;

static const EstimateCase estimate_cases[] = {
  /* Guards against a speed that counts before there are enough runs. */
  { "too-few-runs-count-as-one", NEEDED, { { 1.6, 90, 10 } }, 1, 1 },
  /* Guards against decisions that change while the setting is off. */
  { "off-counts-as-one", 0, { { 3, 10000, 10 } }, 1, 1 },
  { "equal-server", NEEDED, { { 1, 20000, 10 } }, 0.75, 1.2 },
  { "slow-server", NEEDED, { { 1.6, 20000, 10 } }, 1.25, 1.9 },
  { "fast-server", NEEDED, { { 0.6, 20000, 10 } }, 0.45, 0.72 },
  /* Guards against a fault of some seconds that becomes the server's usual speed. */
  { "short-fault-leaves-it", NEEDED, { { 1, 20000, 10 }, { 3, 3000, 10 } }, 0.75, 1.25 },
  /* Guards against a server that counts as faulty for good after its machine changed. */
  { "slower-for-good", NEEDED, { { 1, 20000, 10 }, { 2.5, 5000, 10 } }, 1.9, 3 },
  { "faster-for-good", NEEDED, { { 1.6, 20000, 10 }, { 0.6, 5000, 10 } }, 0.4, 0.75 },
  { "slower-for-good-few-runs",
    NEEDED,
    { { 1, 20000, 10 }, { 3, 5000, 200 } },
    1.8,
    4.2 },
  /* Guards against a fault that is taken for a lasting change because no run was placed
   * on the server after it. */
  { "fault-before-a-pause-leaves-it",
    NEEDED,
    { { 1, 20000, 10 }, { 3, 500, 50 }, { 1, 5500, 2500 } },
    0.75,
    1.25 },
  /* Guards against an average that is off by runs of absurd length. */
  { "absurd-runs-are-bounded", NEEDED, { { 1000, 6000, 10 } }, 20, 20 },
};

static void
play_parts (ServerSpeed *speed, const Part *parts, GRand *rand)
{
  gint64 now = 1000;

  for (guint i = 0; i < PARTS_MAX; i++)
    for (guint ms = 0; ms < parts[i].ms; ms += parts[i].interval_ms)
      {
        now += parts[i].interval_ms;
        server_speed_observe (speed, parts[i].ratio * draw_ratio (rand), now);
      }
}

static void
test_estimate (gconstpointer data)
{
  const EstimateCase *c = data;

  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      ServerSpeed speed;

      server_speed_init (&speed, c->needed);
      play_parts (&speed, c->parts, rand);
      g_test_message ("seed %u: %.3f", seed, server_speed_ratio (&speed));
      g_assert_cmpfloat (server_speed_ratio (&speed), >=, c->least - 1e-9);
      g_assert_cmpfloat (server_speed_ratio (&speed), <=, c->most + 1e-9);
      g_rand_free (rand);
    }
}

/* Guards against a change of many servers at once that is taken for a fault of each. */
static void
test_many_change_at_once (void)
{
  static const Part parts[PARTS_MAX] = { { 1, 10000, 20 }, { 2.5, 5000, 20 } };
  GRand *rand = g_rand_new_with_seed (1);

  for (guint i = 0; i < 20; i++)
    {
      ServerSpeed speed;

      server_speed_init (&speed, NEEDED);
      play_parts (&speed, parts, rand);
      g_assert_cmpfloat (server_speed_ratio (&speed), >, 1.8);
      g_assert_cmpfloat (server_speed_ratio (&speed), <, 3.1);
      g_assert_false (server_speed_is_slower (&speed));
    }
  g_rand_free (rand);
}

/* Guards against event lines with each run, and against a change without one. */
static void
test_changes (void)
{
  ServerSpeed speed;
  gint64 now = 1000;
  guint known = 0;
  guint replaced = 0;
  guint moved = 0;

  server_speed_init (&speed, NEEDED);
  for (guint i = 0; i < 1000; i++)
    {
      SpeedChange change = server_speed_observe (&speed, i < 500 ? 1 : 2, now += 10);

      known += change == SPEED_KNOWN;
      replaced += change == SPEED_REPLACED;
      moved += change == SPEED_MOVED;
    }
  g_assert_cmpuint (known, ==, 1);
  g_assert_cmpuint (replaced, ==, 1);
  g_assert_cmpuint (moved, ==, 0);
  for (guint i = 0; i < 400; i++)
    moved += server_speed_observe (&speed, 2.9, now += 10) == SPEED_MOVED;
  g_assert_cmpuint (moved, ==, 1);
}

typedef struct
{
  const char *name;
  guint needed;
  guint own_runs;
  guint percent;
  guint runs;
  gboolean adopted;
} AdoptCase;

static const AdoptCase adopt_cases[] = {
  { "after-a-restart", NEEDED, 0, 160, 255, TRUE },
  { "based-on-more-runs", NEEDED, 20, 160, 50, TRUE },
  /* Guards against the value of an entry that was frozen for long. */
  { "frozen-entry", NEEDED, 200, 160, 100, FALSE },
  { "as-many-runs", NEEDED, 100, 160, 100, FALSE },
  { "percent-too-low", NEEDED, 0, 4, 100, FALSE },
  { "percent-too-high", NEEDED, 0, 2001, 100, FALSE },
  { "too-many-runs", NEEDED, 0, 160, 256, FALSE },
  /* Guards against a message of an older build, whose fields are 0. */
  { "older-build", NEEDED, 0, 0, 0, FALSE },
  { "percent-alone", NEEDED, 0, 160, 0, FALSE },
  { "off", 0, 0, 160, 255, FALSE },
};

static void
test_adopt (gconstpointer data)
{
  const AdoptCase *c = data;
  ServerSpeed speed;
  ServerSpeed before;

  server_speed_init (&speed, c->needed);
  for (guint i = 0; i < c->own_runs; i++)
    server_speed_observe (&speed, 1, 1000 + i);
  before = speed;
  g_assert_cmpint (server_speed_adopt (&speed, c->percent, c->runs), ==, c->adopted);
  if (!c->adopted)
    {
      g_assert_cmpmem (&speed, sizeof speed, &before, sizeof before);
      return;
    }
  g_assert_cmpuint (speed.runs, ==, c->runs);
  g_assert_cmpuint (server_speed_percent (&speed), ==, c->percent);
  /* Guards against adding up copies: the same message has no effect again. */
  g_assert_false (server_speed_adopt (&speed, c->percent, c->runs));
  g_assert_cmpuint (speed.runs, ==, c->runs);
}

typedef struct
{
  const char *name;
  guint runs;
  double ratio;
  guint said_runs;
  guint said_percent;
} RoundingCase;

/* Guards against a state that differs, and is sent, with each run. */
static const RoundingCase rounding_cases[] = {
  { "none", 0, 1, 0, 0 },
  { "few", 11, 1.6, 0, 0 },
  { "first", 12, 1.61, 12, 160 },
  { "more", 49, 1.59, 25, 160 },
  { "many", 254, 0.62, 100, 60 },
  { "all", 255, 0.63, 255, 65 },
  { "more-than-all", 999, 1, 255, 100 },
  { "fastest", 100, 0.001, 100, 5 },
  { "slowest", 100, 5000, 100, 2000 },
};

static void
test_rounding (gconstpointer data)
{
  const RoundingCase *c = data;
  ServerSpeed speed;

  server_speed_init (&speed, NEEDED);
  for (guint i = 0; i < c->runs; i++)
    server_speed_observe (&speed, c->ratio, 1000 + i);
  g_assert_cmpuint (server_speed_runs (&speed), ==, c->said_runs);
  g_assert_cmpuint (server_speed_percent (&speed), ==, c->said_percent);
}

/* What an entry keeps of the states it received, and whether it sends it to an agent. */
typedef struct
{
  const char *name;
  struct
  {
    const char *instance;
    guint percent;
    guint runs;
    gint64 ms;
  } taken[3];
  guint agent_runs;
  guint percent; /* sent; 0: nothing */
} SeenCase;

static const SeenCase seen_cases[] = {
  { "after-a-restart", { { "i", 160, 255, 1 } }, 0, 160 },
  /* Guards against a kept speed that is lost with the first state of a restarted agent.
   */
  { "fewer-runs-are-not-kept", { { "i", 160, 255, 1 }, { "i", 100, 12, 2 } }, 12, 160 },
  { "changed-speed-is-kept", { { "i", 160, 255, 1 }, { "i", 300, 255, 2 } }, 0, 300 },
  { "agent-knows-as-much", { { "i", 160, 100, 1 } }, 100, 0 },
  { "agent-knows-more", { { "i", 160, 100, 1 } }, 255, 0 },
  { "other-instance", { { "k", 160, 255, 1 } }, 0, 0 },
  { "older-agent", { { "i", 0, 0, 1 } }, 0, 0 },
  { "out-of-range", { { "i", 9999, 255, 1 } }, 0, 0 },
  /* Guards against memory that grows with each instance that ever was. */
  { "old-ones-are-dropped", { { "i", 160, 255, 1 }, { "k", 100, 255, 700000 } }, 0, 0 },
};

static void
test_seen (gconstpointer data)
{
  const SeenCase *c = data;
  SpeedsSeen *seen = speeds_seen_new ();
  guint percent = 0;
  guint runs = 0;

  for (guint i = 0; i < G_N_ELEMENTS (c->taken) && c->taken[i].instance != NULL; i++)
    speeds_seen_take (seen, c->taken[i].instance, c->taken[i].percent, c->taken[i].runs,
                      c->taken[i].ms);
  g_assert_cmpint (speeds_seen_find (seen, "i", c->agent_runs, &percent, &runs), ==,
                   c->percent != 0);
  g_assert_cmpuint (percent, ==, c->percent);
  g_assert_cmpuint (speeds_seen_count (seen), <=, 1);
  speeds_seen_free (seen);
}

/* A runner with a simulated server that is kept full: every SIM_STEP_MS it ends the tasks
 * that are due and answers all calls, long polls only if something has ended. */

#define ENTRY 11
#define LEASE_MS 700
#define SLOTS 8
#define EXPECTED_MS 80
#define SIM_STEP_MS 5
#define CALLS_MAX 256
#define ENDS_MAX 4096
#define SETTLED_MS 20000

typedef struct
{
  ServerCall call;
  guint64 ends_seen;
  gint64 made_ms;
  guint wait_ms;
  gboolean is_hold;
} SimCall;

typedef struct
{
  RunKey key;
  double work_ms; /* on a server with a speed of 1 */
  double done_ms;
} SimTask;

typedef struct
{
  Runner *runner;
  GRand *rand;
  SimCall calls[CALLS_MAX];
  guint n_calls;
  SimTask tasks[SLOTS];
  guint n_tasks;
  EndedRun ended[ENDS_MAX]; /* a ring */
  guint64 n_ended;
  guint started;
  double ratio; /* true speed */
  gint64 now;
  guint stragglers;
  gint64 straggler_ms; /* the first since it was set to 0 */
  gboolean scaled;     /* a time elsewhere was that of a server of the same speed */
  GString *decisions;
} Sim;

static SimCall *
sim_note_call (Sim *sim, const ServerCall *call)
{
  SimCall *noted = &sim->calls[sim->n_calls++];

  g_assert_cmpuint (sim->n_calls, <, CALLS_MAX);
  memset (noted, 0, sizeof *noted);
  noted->call = *call;
  noted->made_ms = sim->now;
  return noted;
}

static void
sim_start (const ServerCall *call,
           const RunKey *key,
           const char *payload,
           gpointer server)
{
  Sim *sim = server;
  SimTask *task = &sim->tasks[sim->n_tasks++];

  g_assert_cmpuint (sim->n_tasks, <=, SLOTS);
  task->key = *key;
  task->work_ms = EXPECTED_MS * draw_ratio (sim->rand);
  task->done_ms = -SIM_STEP_MS / sim->ratio; /* it starts with the answer */
  sim_note_call (sim, call);
}

static void
sim_stop (const ServerCall *call, const RunKey *key, gpointer server)
{
  sim_note_call (server, call);
}

static void
sim_hold (const ServerCall *call, guint64 ends_seen, guint wait_ms, gpointer server)
{
  SimCall *noted = sim_note_call (server, call);

  noted->is_hold = TRUE;
  noted->ends_seen = ends_seen;
  noted->wait_ms = wait_ms;
}

static const ServerCalls sim_calls = { sim_start, sim_stop, sim_hold };

static void
sim_report (guint64 entry, const RunReport *report, gpointer ctx)
{
}

static void
sim_straggles (guint64 entry,
               const RunKey *key,
               guint remaining_ms,
               guint elsewhere_ms,
               gpointer ctx)
{
  Sim *sim = ctx;
  double ratio = server_speed_ratio (runner_server_speed (sim->runner));

  sim->scaled |= elsewhere_ms == (guint)(EXPECTED_MS * ratio);
  sim->stragglers++;
  if (sim->straggler_ms == 0)
    sim->straggler_ms = sim->now;
  g_string_append_printf (sim->decisions, "%" G_GINT64_FORMAT " %s\n", sim->now,
                          key->job);
}

static void
sim_changed (gpointer ctx)
{
}

static void
sim_no_room (guint64 entry, const ResourceRequest *resources, gpointer ctx)
{
}

static const RunnerOps sim_ops = { sim_report, sim_straggles, sim_no_room, sim_changed };

static void
sim_facts (Sim *sim, const char *instance, guint cold_ms)
{
  ServerFacts facts = { .instance = instance,
                        .service = "exchange",
                        .zone = "fukuoka-a",
                        .capacity = { SLOTS * 1000, 1000, 0 },
                        .cold_ms = cold_ms,
                        .server_ms = sim->now,
                        .sequence = (guint64)sim->now };

  runner_facts (sim->runner, &facts, sim->now);
}

static void
sim_open (Sim *sim, guint speed_runs, double ratio, guint32 seed)
{
  RunnerInit init = {
    .calls = &sim_calls, .server = sim, .lease_ms = LEASE_MS, .speed_runs = speed_runs
  };

  memset (sim, 0, sizeof *sim);
  sim->now = 1000;
  sim->ratio = ratio;
  sim->rand = g_rand_new_with_seed (seed);
  sim->decisions = g_string_new (NULL);
  sim->runner = runner_new (&init, &sim_ops, sim);
  sim_facts (sim, "one", 0);
}

static void
sim_answer (Sim *sim, const SimCall *made)
{
  RunningRun running[SLOTS];
  EndedRun *ended = g_new (EndedRun, ENDS_MAX);
  CallReply reply = { .end = CALL_DONE, .server_ms = sim->now, .now_ms = sim->now };

  for (guint i = 0; made->is_hold && i < sim->n_tasks; i++)
    {
      running[i].key = sim->tasks[i].key;
      running[i].percent
          = (guint)(100 * MAX (sim->tasks[i].done_ms, 0) / sim->tasks[i].work_ms);
    }
  for (guint64 n = made->ends_seen; made->is_hold && n < sim->n_ended; n++)
    ended[reply.n_ended++] = sim->ended[n % ENDS_MAX];
  reply.running = running;
  reply.n_running = made->is_hold ? sim->n_tasks : 0;
  reply.ended = ended;
  made->call.replied (&reply, made->call.ctx, made->call.cookie);
  g_free (ended);
}

static void
sim_answer_calls (Sim *sim, gboolean all)
{
  SimCall open[CALLS_MAX];
  guint n = sim->n_calls;

  memcpy (open, sim->calls, n * sizeof *open);
  sim->n_calls = 0;
  for (guint i = 0; i < n; i++)
    {
      gboolean is_due = sim->now - open[i].made_ms >= open[i].wait_ms
                        || open[i].ends_seen < sim->n_ended;

      if (all || is_due)
        sim_answer (sim, &open[i]);
      else
        sim->calls[sim->n_calls++] = open[i];
    }
}

static void
sim_run_tasks (Sim *sim)
{
  guint n = 0;

  for (guint i = 0; i < sim->n_tasks; i++)
    {
      SimTask *task = &sim->tasks[i];

      task->done_ms += SIM_STEP_MS / sim->ratio;
      if (task->done_ms < task->work_ms)
        {
          sim->tasks[n++] = *task;
          continue;
        }
      sim->ended[sim->n_ended % ENDS_MAX].number = sim->n_ended + 1;
      sim->ended[sim->n_ended % ENDS_MAX].key = task->key;
      sim->ended[sim->n_ended % ENDS_MAX].how = RUN_END_DONE;
      sim->n_ended++;
    }
  sim->n_tasks = n;
}

static void
sim_fill (Sim *sim)
{
  while (runner_ready (sim->runner) && runner_count (sim->runner) < SLOTS)
    {
      RunRequest request = { .entry = ENTRY,
                             .key = { .run = 1 },
                             .payload = "p",
                             .demand = { 1000, 10, 0 },
                             .expected_ms = EXPECTED_MS,
                             .valid_until_ms = sim->now + 250 };

      g_snprintf (request.key.job, sizeof request.key.job, "j%u", sim->started++);
      runner_start (sim->runner, &request, sim->now);
    }
}

static void
sim_play (Sim *sim, guint ms)
{
  gint64 end = sim->now + ms;

  while (sim->now < end)
    {
      sim->now += SIM_STEP_MS;
      runner_extend_lease (sim->runner, ENTRY, sim->now + 1000);
      sim_run_tasks (sim);
      sim_answer_calls (sim, FALSE);
      if (sim->now % RUNNER_TICK_MS == 0)
        runner_tick (sim->runner, sim->now);
      sim_fill (sim);
    }
}

static void
sim_close (Sim *sim)
{
  runner_close (sim->runner);
  sim_answer_calls (sim, TRUE);
  runner_free (sim->runner);
  g_rand_free (sim->rand);
  g_string_free (sim->decisions, TRUE);
}

/* Guards against stalled runs whose time elsewhere is taken for one on a server of the
 * same speed, as entries do, but was that on the median server. */
static void
test_stalled_run_elsewhere (void)
{
  Sim *sim = g_new0 (Sim, 1);

  sim_open (sim, NEEDED, 1.6, 1);
  sim_play (sim, 5000);
  g_assert_cmpfloat (server_speed_ratio (runner_server_speed (sim->runner)), >, 1.3);
  sim->ratio = 1e9;
  sim_play (sim, 1000);
  g_assert_true (sim->scaled);
  sim_close (sim);
  g_free (sim);
}

typedef struct
{
  const char *name;
  double ratio;
} SoundCase;

/* Guards against restarts of tasks on a server that is slow, but sound. */
static const SoundCase sound_cases[] = {
  { "slow-server-is-no-straggler", 1.6 },
  { "usual-server-is-no-straggler", 1 },
  { "fast-server-is-no-straggler", 0.6 },
};

static void
test_sound (gconstpointer data)
{
  const SoundCase *c = data;
  guint stragglers = 0;

  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      Sim *sim = g_new0 (Sim, 1);

      sim_open (sim, NEEDED, c->ratio, seed);
      sim_play (sim, 60000);
      g_test_message ("seed %u: %u runs, %u reported, speed %.2f", seed, sim->started,
                      sim->stragglers,
                      server_speed_ratio (runner_server_speed (sim->runner)));
      stragglers += sim->stragglers;
      sim_close (sim);
      g_free (sim);
    }
  g_assert_cmpuint (stragglers, ==, 0);
}

/* Return: time until the first report after the server turned 3 times slower. */
static gint64
crawl_found_ms (guint speed_runs, double ratio, guint32 seed)
{
  Sim *sim = g_new0 (Sim, 1);
  gint64 found_ms;

  sim_open (sim, speed_runs, ratio, seed);
  sim_play (sim, SETTLED_MS);
  sim->ratio = 3 * ratio;
  sim->straggler_ms = 0;
  sim_play (sim, 3000);
  found_ms = sim->straggler_ms > 0 ? sim->straggler_ms - SETTLED_MS - 1000 : 3000;
  sim_close (sim);
  g_free (sim);
  return found_ms;
}

/* Guards against evidence that outlasts a fault: long tasks on the recovered server were
 * reported until as many usual runs had ended as the fault had slowed. */
static void
test_recovered_is_no_straggler (void)
{
  guint stragglers = 0;

  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      Sim *sim = g_new0 (Sim, 1);

      sim_open (sim, NEEDED, 1, seed);
      sim_play (sim, SETTLED_MS);
      sim->ratio = 3;
      sim_play (sim, 2500);
      g_assert_cmpuint (sim->stragglers, >, 0);
      sim->ratio = 1;
      sim_play (sim, 1000);
      sim->stragglers = 0;
      sim_play (sim, SETTLED_MS);
      stragglers += sim->stragglers;
      sim_close (sim);
      g_free (sim);
    }
  g_assert_cmpuint (stragglers, ==, 0);
}

typedef struct
{
  const char *name;
  double ratio;
  gint64 most_ms; /* mean of all seeds; 0: as long as with the setting off */
} CrawlCase;

/* Guards against a crawling server that is found later than when all servers counted as
 * equally fast. Of the slow server, each usual run was half of the evidence then, and
 * sound ones were reported. */
static const CrawlCase crawl_cases[] = {
  { "usual-server", 1, 0 },
  { "fast-server", 0.6, 0 },
  { "slow-server", 1.6, 400 },
};

static void
test_crawl (gconstpointer data)
{
  const CrawlCase *c = data;
  double off = 0;
  double on = 0;

  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      off += (double)crawl_found_ms (0, c->ratio, seed) / SEEDS;
      on += (double)crawl_found_ms (NEEDED, c->ratio, seed) / SEEDS;
    }
  g_test_message ("found after %.0f ms, with the setting off %.0f ms", on, off);
  g_assert_cmpfloat (on, <=, c->most_ms > 0 ? (double)c->most_ms : off);
}

/* Guards against decisions that change while the setting is off: the checksum of all
 * reports is that of the code before there were speeds. */
static void
test_off_decides_as_before (void)
{
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);

  for (guint32 seed = 1; seed <= 5; seed++)
    {
      Sim *sim = g_new0 (Sim, 1);

      sim_open (sim, 0, 1.6, seed);
      sim_play (sim, 10000);
      sim->ratio = 4;
      sim_play (sim, 3000);
      sim_facts (sim, "one", 2000);
      sim_play (sim, 3000);
      g_checksum_update (sum, (const guchar *)sim->decisions->str,
                         (gssize)sim->decisions->len);
      sim_close (sim);
      g_free (sim);
    }
  g_assert_cmpstr (g_checksum_get_string (sum), ==, DECISIONS_BEFORE);
  g_checksum_free (sum);
}

/* Guards against a lasting speed that contains the time after the server's start. */
static void
test_cold_runs_are_not_counted (void)
{
  Sim *sim = g_new0 (Sim, 1);
  guint before;

  sim_open (sim, NEEDED, 1, 1);
  sim_play (sim, 1000);
  before = runner_server_speed (sim->runner)->runs;
  g_assert_cmpuint (before, >, NEEDED);
  sim->ratio = 2.5;
  sim_facts (sim, "one", 1500);
  sim_play (sim, 1400);
  g_assert_cmpuint (runner_server_speed (sim->runner)->runs, ==, before);
  sim->ratio = 1;
  sim_play (sim, 200);
  g_assert_cmpuint (runner_server_speed (sim->runner)->runs, >, before);
  g_assert_cmpfloat (server_speed_ratio (runner_server_speed (sim->runner)), <, 1.3);
  sim_close (sim);
  g_free (sim);
}

/* Guards against runs that are counted by their progress and at their end again. */
static void
test_each_run_counts_once (void)
{
  Sim *sim = g_new0 (Sim, 1);
  guint ended;

  sim_open (sim, NEEDED, 1, 1);
  sim_play (sim, 1500);
  ended = (guint)sim->n_ended;
  g_assert_cmpuint (ended, <, SPEED_RUNS_MOST);
  g_assert_cmpuint (runner_server_speed (sim->runner)->runs, >=, ended);
  g_assert_cmpuint (runner_server_speed (sim->runner)->runs, <=, ended + SLOTS);
  sim_close (sim);
  g_free (sim);
}

/* Guards against a new instance that is judged by the speed of the one before. */
static void
test_new_instance_begins_anew (void)
{
  Sim *sim = g_new0 (Sim, 1);

  sim_open (sim, NEEDED, 1.6, 1);
  sim_play (sim, 5000);
  g_assert_cmpuint (server_speed_runs (runner_server_speed (sim->runner)), >=, 100);
  sim_facts (sim, "two", 0);
  sim_answer_calls (sim, TRUE);
  g_assert_cmpuint (runner_server_speed (sim->runner)->runs, ==, 0);
  g_assert_cmpfloat (server_speed_ratio (runner_server_speed (sim->runner)), ==, 1);
  g_assert_false (runner_speed_seen (sim->runner, "one", 160, 255));
  g_assert_true (runner_speed_seen (sim->runner, "two", 160, 255));
  g_assert_cmpfloat (runner_server_health (sim->runner)->slowness, ==, 1);
  sim_close (sim);
  g_free (sim);
}

/* The entry's part. */

static void
on_request (LeasedServer *server, const ResourceRequest *resources, gpointer ctx)
{
}

static void
on_pump (gpointer ctx)
{
}

static void
take_state (LeasedEntry *entry, LeasedServer *server, const char *instance, guint runs)
{
  ServerStatus status = { .instance = g_strdup (instance),
                          .speed_percent = runs > 0 ? 160 : 0,
                          .speed_runs = runs };
  Gw__ServerState state;

  gw__server_state__init (&state);
  state.instance = status.instance;
  state.speed_percent = status.speed_percent;
  state.speed_runs = status.speed_runs;
  leased_entry_speeds_state (entry, &state);
  dispatcher_server_status (server, &status);
}

static const Gw__SpeedSeen *
prepared (LeasedEntry *entry, MeshPeer *peer)
{
  Gw__Frame frame;

  gw__frame__init (&frame);
  leased_entry_speeds_prepare (entry, peer, &frame);
  return frame.speed_seen;
}

/* Guards against a speed that is lost with its agent, and against one that is sent with
 * each frame to an agent that does not take it. */
static void
test_entry_sends_it_once (void)
{
  static const DispatcherOps dispatcher_ops = { NULL, on_request, NULL, on_pump };
  DispatcherInit init = { .server_lease_ms = LEASE_MS };
  LeasedEntry entry = { .dispatcher = dispatcher_new (&init, &dispatcher_ops, NULL),
                        .speeds = speeds_seen_new () };
  MeshPeer before = { .incarnation = 1 };
  MeshPeer after = { .incarnation = 2 };
  const Gw__SpeedSeen *sent;

  before.data = dispatcher_server_up (entry.dispatcher, 1, "agent", &before);
  g_assert_null (prepared (&entry, &before));
  take_state (&entry, before.data, "one", 255);
  g_assert_null (prepared (&entry, &before));
  after.data = dispatcher_server_up (entry.dispatcher, 2, "agent", &after);
  g_assert_null (prepared (&entry, &after));
  take_state (&entry, after.data, "one", 0);
  sent = prepared (&entry, &after);
  g_assert_nonnull (sent);
  g_assert_cmpstr (sent->instance, ==, "one");
  g_assert_cmpuint (sent->speed_percent, ==, 160);
  g_assert_cmpuint (sent->speed_runs, ==, 255);
  g_assert_null (prepared (&entry, &after));
  after.speed_sent = FALSE; /* a new link */
  take_state (&entry, after.data, "two", 0);
  g_assert_null (prepared (&entry, &after));
  dispatcher_free (entry.dispatcher);
  speeds_seen_free (entry.speeds);
}

/* Guards against an entry that keeps and sends speeds while the setting is off. */
static void
test_entry_off_sends_nothing (void)
{
  static const DispatcherOps dispatcher_ops = { NULL, on_request, NULL, on_pump };
  DispatcherInit init = { .server_lease_ms = LEASE_MS };
  LeasedEntry entry = { .dispatcher = dispatcher_new (&init, &dispatcher_ops, NULL) };
  MeshPeer peer = { .incarnation = 1 };

  peer.data = dispatcher_server_up (entry.dispatcher, 1, "agent", &peer);
  take_state (&entry, peer.data, "one", 255);
  take_state (&entry, peer.data, "one", 0);
  g_assert_null (prepared (&entry, &peer));
  dispatcher_free (entry.dispatcher);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD_CASES ("/speed/estimate", estimate_cases, test_estimate);
  ADD_CASES ("/speed/adopt", adopt_cases, test_adopt);
  ADD_CASES ("/speed/rounding", rounding_cases, test_rounding);
  ADD_CASES ("/speed/seen", seen_cases, test_seen);
  g_test_add_func ("/speed/stalled-run-elsewhere", test_stalled_run_elsewhere);
  ADD_CASES ("/speed/sound", sound_cases, test_sound);
  g_test_add_func ("/speed/many-change-at-once", test_many_change_at_once);
  g_test_add_func ("/speed/changes", test_changes);
  g_test_add_func ("/speed/recovered-is-no-straggler", test_recovered_is_no_straggler);
  ADD_CASES ("/speed/crawl", crawl_cases, test_crawl);
  g_test_add_func ("/speed/off-decides-as-before", test_off_decides_as_before);
  g_test_add_func ("/speed/cold-runs-are-not-counted", test_cold_runs_are_not_counted);
  g_test_add_func ("/speed/each-run-counts-once", test_each_run_counts_once);
  g_test_add_func ("/speed/new-instance-begins-anew", test_new_instance_begins_anew);
  g_test_add_func ("/speed/entry-sends-it-once", test_entry_sends_it_once);
  g_test_add_func ("/speed/entry-off-sends-nothing", test_entry_off_sends_nothing);
  return g_test_run ();
}
