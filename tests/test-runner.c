/* The runner with a fake backend server: every call is recorded in the scene (the test
 * fixture) and stays open until the test answers it. */
#include "cases.h"
#include "runner.h"

#include <string.h>

#define ENTRY 11
#define OTHER_ENTRY 12
#define THIRD_ENTRY 13
#define LEASE_MS 700
#define LEASE_MAX_MS 1000 /* of a server that restarts under its name */
#define CALLS_MAX 1024
#define REPORTS_MAX 64
#define REFUSING_MS 6000
#define CALLS_PER_S_MAX 60
/* Most calls answered in one tick, where each call fails and is repeated at once. */
#define CALLS_PER_TICK_MAX 200
#define COLD_MS 3000

typedef enum
{
  CALLED_START,
  CALLED_STOP,
  CALLED_HOLD,
} Called;

/* One call of the runner to the server. */
typedef struct
{
  Called what;
  ServerCall call;
  RunKey key;
  guint64 ends_seen;
  guint wait_ms;
  gboolean answered;
} Call;

typedef struct
{
  guint64 entry;
  RunKey key;
  ReportKind kind;
  char reason[64];
} Report;

typedef struct
{
  Runner *runner;
  Call calls[CALLS_MAX];
  guint n_calls;
  Report reports[REPORTS_MAX];
  guint n_reports;
  guint last_run_ms;
  guint stragglers;
  guint remaining_ms;
  gint64 now;
  gint64 server_ms;
  guint64 ends;
} Scene;

static Call *
note_call (Scene *scene, Called what, const ServerCall *call)
{
  Call *noted;

  g_assert_cmpuint (scene->n_calls, <, CALLS_MAX);
  noted = &scene->calls[scene->n_calls++];
  memset (noted, 0, sizeof *noted);
  noted->what = what;
  noted->call = *call;
  return noted;
}

static void
on_start (const ServerCall *call, const RunKey *key, const char *payload, gpointer server)
{
  note_call (server, CALLED_START, call)->key = *key;
}

static void
on_stop (const ServerCall *call, const RunKey *key, gpointer server)
{
  note_call (server, CALLED_STOP, call)->key = *key;
}

static void
on_hold (const ServerCall *call, guint64 ends_seen, guint wait_ms, gpointer server)
{
  Call *noted = note_call (server, CALLED_HOLD, call);

  noted->ends_seen = ends_seen;
  noted->wait_ms = wait_ms;
}

static const ServerCalls calls = { on_start, on_stop, on_hold };

static void
on_report (guint64 entry, const RunReport *run_report, gpointer ctx)
{
  Scene *scene = ctx;
  Report *report;

  g_assert_cmpuint (scene->n_reports, <, REPORTS_MAX);
  report = &scene->reports[scene->n_reports++];
  report->entry = entry;
  report->key = run_report->key;
  report->kind = run_report->kind;
  scene->last_run_ms = run_report->run_ms;
  g_strlcpy (report->reason, run_report->reason, sizeof report->reason);
}

static void
on_straggles (guint64 entry,
              const RunKey *key,
              guint remaining_ms,
              guint elsewhere_ms,
              gpointer ctx)
{
  Scene *scene = ctx;

  scene->stragglers++;
  scene->remaining_ms = remaining_ms;
}

static void
on_changed (gpointer ctx)
{
}

static void
on_no_room (guint64 entry, const ResourceRequest *resources, gpointer ctx)
{
}

static const RunnerOps ops = { on_report, on_straggles, on_no_room, on_changed };

static void
answer_as (Scene *scene, Call *call, CallReply reply)
{
  g_assert_nonnull (call);
  g_assert_false (call->answered);
  call->answered = TRUE;
  reply.server_ms = scene->server_ms;
  reply.now_ms = scene->now;
  call->call.replied (&reply, call->call.ctx, call->call.cookie);
}

static void
answer (Scene *scene, Call *call, CallEnd end)
{
  CallReply reply = { .end = end };

  answer_as (scene, call, reply);
}

/* Return: the latest unanswered call of that kind, or NULL. */
static Call *
open_call (Scene *scene, Called what)
{
  for (guint i = scene->n_calls; i > 0; i--)
    if (scene->calls[i - 1].what == what && !scene->calls[i - 1].answered)
      return &scene->calls[i - 1];
  return NULL;
}

static Call *
open_poll (Scene *scene)
{
  for (guint i = scene->n_calls; i > 0; i--)
    if (scene->calls[i - 1].what == CALLED_HOLD && !scene->calls[i - 1].answered
        && scene->calls[i - 1].wait_ms == 0)
      return &scene->calls[i - 1];
  return NULL;
}

static Call *
open_long_poll (Scene *scene)
{
  for (guint i = scene->n_calls; i > 0; i--)
    if (scene->calls[i - 1].what == CALLED_HOLD && !scene->calls[i - 1].answered
        && scene->calls[i - 1].wait_ms > 0)
      return &scene->calls[i - 1];
  return NULL;
}

static void
advance (Scene *scene, guint ms)
{
  scene->now += ms;
  scene->server_ms += ms;
  runner_tick (scene->runner, scene->now);
}

/* Delivers a report, and lets the server confirm its instance if it is asked. */
static void
send_facts (Scene *scene, const char *instance, guint64 sequence, gboolean draining)
{
  guint calls_before = scene->n_calls;
  ServerFacts facts = { .instance = instance,
                        .service = "exchange",
                        .zone = "fukuoka-a",
                        .capacity = { 4000, 1000, 0 },
                        .draining = draining,
                        .server_ms = scene->server_ms,
                        .sequence = sequence };

  if (!runner_facts (scene->runner, &facts, scene->now) && scene->n_calls > calls_before)
    answer (scene, &scene->calls[scene->n_calls - 1], CALL_DONE);
}

static void
scene_open_with (Scene *scene, guint drain_ms)
{
  RunnerInit init = { .calls = &calls,
                      .server = scene,
                      .lease_ms = LEASE_MS,
                      .lease_max_ms = LEASE_MAX_MS,
                      .drain_ms = drain_ms };

  memset (scene, 0, sizeof *scene);
  scene->now = 1000;
  scene->server_ms = 500000;
  scene->runner = runner_new (&init, &ops, scene);
}

static void
scene_open (Scene *scene)
{
  scene_open_with (scene, 0);
}

/* A ready server without runs, and an entry with a long lease. */
static void
scene_ready_with (Scene *scene, guint drain_ms)
{
  scene_open_with (scene, drain_ms);
  send_facts (scene, "one", 1, FALSE);
  answer (scene, open_poll (scene), CALL_DONE);
  g_assert_true (runner_ready (scene->runner));
  runner_extend_lease (scene->runner, ENTRY, scene->now + 60000);
  runner_tick (scene->runner, scene->now);
}

static void
scene_ready (Scene *scene)
{
  scene_ready_with (scene, 0);
}

static void
scene_close (Scene *scene)
{
  runner_close (scene->runner);
  for (guint i = 0; i < scene->n_calls; i++)
    if (!scene->calls[i].answered)
      answer (scene, &scene->calls[i], CALL_UNANSWERED);
  runner_free (scene->runner);
}

static RunKey
key_of (const char *job, guint index, guint run)
{
  RunKey key = { .index = index, .run = run };

  g_strlcpy (key.job, job, sizeof key.job);
  return key;
}

static void
order_expected (Scene *scene,
                guint64 entry,
                const char *job,
                guint cpu,
                guint expected_ms)
{
  RunRequest request = { .entry = entry,
                         .key = key_of (job, 0, 1),
                         .payload = "p",
                         .demand = { cpu, 10, 0 },
                         .expected_ms = expected_ms,
                         .valid_until_ms = scene->now + 250 };

  runner_start (scene->runner, &request, scene->now);
}

static void
order_start (Scene *scene, guint64 entry, const char *job, guint cpu)
{
  order_expected (scene, entry, job, cpu, 100);
}

static void
answer_ended (Scene *scene, Call *call, const char *job, RunEnd how)
{
  EndedRun ended = { ++scene->ends, key_of (job, 0, 1), how };
  CallReply reply = { .end = CALL_DONE, .ended = &ended, .n_ended = 1 };

  answer_as (scene, call, reply);
}

static void
answer_running (Scene *scene, Call *call, const char *job, guint percent)
{
  RunningRun running = { key_of (job, 0, 1), percent };
  CallReply reply = { .end = CALL_DONE, .running = &running, .n_running = 1 };

  answer_as (scene, call, reply);
}

static const Report *
last_report (const Scene *scene)
{
  g_assert_cmpuint (scene->n_reports, >, 0);
  return &scene->reports[scene->n_reports - 1];
}

static void
start_running (Scene *scene, const char *job, guint cpu)
{
  order_start (scene, ENTRY, job, cpu);
  answer (scene, open_call (scene, CALLED_START), CALL_DONE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_STARTED);
}

static void
runs_and_reports (Scene *scene)
{
  scene_ready (scene);
  start_running (scene, "j", 1000);
  answer_ended (scene, open_long_poll (scene), "j", RUN_END_DONE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_DONE);
  g_assert_cmpuint (runner_count (scene->runner), ==, 0);
  g_assert_cmpuint (open_long_poll (scene)->ends_seen, ==, 1);
}

/* Guards against loading a server beyond its capacity: the next run started after a stop
 * was sent, before the end of the stopped run was listed. */
static void
room_is_kept_until_the_end (Scene *scene)
{
  RunKey key = key_of ("j", 0, 1);

  scene_ready (scene);
  start_running (scene, "j", 3000);
  order_start (scene, ENTRY, "k", 2000);
  g_assert_cmpstr (last_report (scene)->reason, ==, "no room");
  runner_stop (scene->runner, ENTRY, &key, scene->now);
  answer (scene, open_call (scene, CALLED_STOP), CALL_DONE);
  order_start (scene, ENTRY, "k", 2000);
  g_assert_cmpstr (last_report (scene)->reason, ==, "no room");
  answer_ended (scene, open_long_poll (scene), "j", RUN_END_STOPPED);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_LOST);
  order_start (scene, ENTRY, "k", 2000);
  g_assert_nonnull (open_call (scene, CALLED_START));
}

/* Guards against running a task twice: an unanswered start was taken for lost and sent
 * elsewhere, and the server carried it out seconds later. With the token raised first,
 * the late start is refused. */
static void
unanswered_start_is_fenced (Scene *scene)
{
  guint64 token;

  scene_ready (scene);
  order_start (scene, ENTRY, "j", 1000);
  token = open_call (scene, CALLED_START)->call.token;
  answer (scene, open_call (scene, CALLED_START), CALL_UNANSWERED);
  g_assert_cmpuint (scene->n_reports, ==, 0);
  g_assert_cmpuint (open_poll (scene)->call.token, >, token);
  answer (scene, open_poll (scene), CALL_DONE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_NOT_STARTED);
  g_assert_cmpuint (runner_count (scene->runner), ==, 0);
}

/* Guards against sending tasks again and again to a server that answers everything but
 * starts, when only ended runs counted in its health. */
static void
astray_starts_cost_trust (Scene *scene)
{
  scene_ready (scene);
  for (guint i = 0; i < 6; i++)
    {
      char job[2] = { (char)('a' + i), '\0' };

      order_start (scene, ENTRY, job, 1000);
      answer (scene, open_call (scene, CALLED_START), CALL_UNANSWERED);
      answer (scene, open_poll (scene), CALL_DONE);
    }
  g_assert_cmpint (runner_server_health (scene->runner)->trust, ==, TRUST_NONE);
}

static void
unanswered_start_that_runs (Scene *scene)
{
  scene_ready (scene);
  order_start (scene, ENTRY, "j", 1000);
  answer (scene, open_call (scene, CALLED_START), CALL_UNANSWERED);
  answer_running (scene, open_poll (scene), "j", 1);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_STARTED);
  g_assert_cmpuint (runner_count (scene->runner), ==, 1);
}

/* The reconciling call is lost too: it is repeated, and nothing is reported before. */
static void
settling_is_asked_again (Scene *scene)
{
  scene_ready (scene);
  order_start (scene, ENTRY, "j", 1000);
  answer (scene, open_call (scene, CALLED_START), CALL_UNANSWERED);
  answer (scene, open_poll (scene), CALL_UNANSWERED);
  g_assert_cmpuint (scene->n_reports, ==, 0);
  advance (scene, 50);
  answer (scene, open_poll (scene), CALL_DONE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_NOT_STARTED);
}

/* A start that was under way when the token rose is refused for that alone: it is sent
 * again under the new one. */
static void
fenced_start_is_sent_again (Scene *scene)
{
  Call *first;

  scene_ready (scene);
  order_start (scene, ENTRY, "j", 1000);
  first = open_call (scene, CALLED_START);
  answer (scene, first, CALL_FENCED);
  g_assert_cmpuint (open_call (scene, CALLED_START)->call.token, >, first->call.token);
  answer (scene, open_call (scene, CALLED_START), CALL_DONE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_STARTED);
}

/* Ends are listed over another connection than the start's answer. */
static void
end_overtakes_the_answer (Scene *scene)
{
  scene_ready (scene);
  order_start (scene, ENTRY, "j", 1000);
  answer_ended (scene, open_long_poll (scene), "j", RUN_END_DONE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_DONE);
  answer (scene, open_call (scene, CALLED_START), CALL_DONE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_DONE);
  g_assert_cmpuint (scene->n_reports, ==, 2);
}

/* Guards against running a task twice after its entry was killed: the caller sent the job
 * to another entry, which started it elsewhere, and nobody stopped the first run. */
static void
lapsed_entry_is_stopped (Scene *scene)
{
  guint stops = 0;

  scene_ready (scene);
  runner_extend_lease (scene->runner, OTHER_ENTRY, scene->now + 300);
  order_start (scene, OTHER_ENTRY, "j", 1000);
  answer (scene, open_call (scene, CALLED_START), CALL_DONE);
  advance (scene, 250);
  g_assert_null (open_call (scene, CALLED_STOP));
  advance (scene, 100);
  g_assert_nonnull (open_call (scene, CALLED_STOP));
  answer (scene, open_call (scene, CALLED_STOP), CALL_UNANSWERED);
  for (guint i = 0; i < 4; i++)
    advance (scene, 50);
  for (guint i = 0; i < scene->n_calls; i++)
    stops += scene->calls[i].what == CALLED_STOP;
  g_assert_cmpuint (stops, ==, 3);
}

/* Guards against a task that runs twice at once: a start without an answer ran at a
 * server that gave no answers, and was not stopped when its entry's lease lapsed. */
static void
unresolved_start_is_stopped (Scene *scene)
{
  scene_ready (scene);
  runner_extend_lease (scene->runner, OTHER_ENTRY, scene->now + 300);
  order_start (scene, OTHER_ENTRY, "j", 1000);
  answer (scene, open_call (scene, CALLED_START), CALL_UNANSWERED);
  g_assert_null (open_call (scene, CALLED_STOP));
  advance (scene, 350);
  g_assert_nonnull (open_call (scene, CALLED_STOP));
  g_assert_cmpstr (open_call (scene, CALLED_STOP)->key.job, ==, "j");
}

/* Guards against starting a job seconds after it was given up: an agent that was frozen
 * found an old order in its socket, and orders did not expire. */
static void
old_orders_are_refused (Scene *scene)
{
  RunRequest request = { .entry = ENTRY,
                         .key = key_of ("j", 0, 1),
                         .payload = "p",
                         .demand = { 1000, 10, 0 },
                         .expected_ms = 100 };

  scene_ready (scene);
  request.valid_until_ms = scene->now - 1;
  runner_start (scene->runner, &request, scene->now);
  g_assert_cmpstr (last_report (scene)->reason, ==, "order too old");
  request.entry = OTHER_ENTRY;
  request.valid_until_ms = scene->now + 100;
  runner_start (scene->runner, &request, scene->now);
  g_assert_cmpstr (last_report (scene)->reason, ==, "entry's lease has lapsed");
  g_assert_null (open_call (scene, CALLED_START));
}

/* Guards against overloading a server after a restart of its agent: the new agent did not
 * list the runs of the old one and counted their capacity as free. */
static void
strangers_end_first (Scene *scene)
{
  scene_open (scene);
  send_facts (scene, "one", 1, FALSE);
  answer_running (scene, open_poll (scene), "old", 30);
  g_assert_false (runner_ready (scene->runner));
  g_assert_cmpstr (open_call (scene, CALLED_STOP)->key.job, ==, "old");
  advance (scene, 50);
  answer (scene, open_poll (scene), CALL_DONE);
  g_assert_true (runner_ready (scene->runner));
}

/* Another agent has used a token higher than the clock in the server's report: after the
 * refusal, the own one is raised to the server's present clock. */
static void
token_goes_above_a_higher_one (Scene *scene)
{
  guint64 token;

  scene_open (scene);
  send_facts (scene, "one", 1, FALSE);
  token = open_poll (scene)->call.token;
  scene->server_ms += 5000;
  answer (scene, open_poll (scene), CALL_FENCED);
  advance (scene, 50);
  g_assert_cmpuint (open_poll (scene)->call.token, >=, token + 5000);
  answer (scene, open_poll (scene), CALL_DONE);
  g_assert_true (runner_ready (scene->runner));
}

/* No open call is answered. */
static void
advance_without (Scene *scene, CallEnd end)
{
  scene->now += 50;
  for (guint i = 0; i < scene->n_calls; i++)
    if (!scene->calls[i].answered)
      {
        scene->calls[i].answered = TRUE;
        scene->calls[i].call.replied (&(CallReply){ .end = end, .now_ms = scene->now },
                                      scene->calls[i].call.ctx,
                                      scene->calls[i].call.cookie);
      }
  scene->n_calls = 0;
  runner_tick (scene->runner, scene->now);
}

static void
advance_in_silence (Scene *scene)
{
  advance_without (scene, CALL_UNANSWERED);
}

/* Guards against reporting the runs of an unresponsive server as lost while they still go
 * on, or never: the time limit must be the lease that the server holds. */
static void
silent_server_loses_its_runs (Scene *scene)
{
  scene_ready (scene);
  start_running (scene, "j", 1000);
  advance (scene, LEASE_MS - 50);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_STARTED);
  for (guint i = 0; i < 40 && last_report (scene)->kind == REPORT_STARTED; i++)
    advance_in_silence (scene);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_SERVER_SILENT);
  g_assert_false (runner_ready (scene->runner));
}

/* Guards against treating a restarted server as the earlier instance: a report of that
 * one, delayed by a network cut, came after the first of the new instance and was taken
 * for the newest. */
static void
earlier_life_is_not_believed (Scene *scene)
{
  scene_ready (scene);
  start_running (scene, "j", 1000);
  send_facts (scene, "two", 1, FALSE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_SERVER_ENDED);
  send_facts (scene, "one", 9, FALSE);
  g_assert_cmpstr (runner_instance (scene->runner), ==, "two");
}

static gboolean
report_as (Scene *scene, const char *instance, guint64 sequence)
{
  ServerFacts facts = { .instance = instance,
                        .service = "exchange",
                        .zone = "fukuoka-a",
                        .capacity = { 4000, 1000, 0 },
                        .server_ms = scene->server_ms,
                        .sequence = sequence };

  return runner_facts (scene->runner, &facts, scene->now);
}

/* Guards against a server that is filled beyond its room: that had shrunk since the
 * report which the agent before this one had stored. */
static void
stored_room_is_not_used (Scene *scene)
{
  ServerFacts facts = { .instance = "one",
                        .service = "exchange",
                        .zone = "fukuoka-a",
                        .capacity = { 4000, 1000, 0 },
                        .server_ms = 1,
                        .sequence = 1,
                        .is_old = TRUE };

  scene_open (scene);
  runner_facts (scene->runner, &facts, scene->now);
  answer (scene, open_poll (scene), CALL_DONE);
  g_assert_true (runner_ready (scene->runner));
  runner_extend_lease (scene->runner, ENTRY, scene->now + 60000);
  order_start (scene, ENTRY, "j", 1000);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_NOT_STARTED);
  g_assert_cmpstr (last_report (scene)->reason, ==, "no room");
  facts.is_old = FALSE;
  facts.capacity.cpu_milli = 2000;
  facts.sequence = 2;
  g_assert_true (runner_facts (scene->runner, &facts, scene->now));
  order_start (scene, ENTRY, "k", 1000);
  g_assert_nonnull (open_call (scene, CALLED_START));
  g_assert_cmpuint (runner_capacity (scene->runner)->cpu_milli, ==, 2000);
}

/* Guards against tasks that run twice: a report of an earlier instance that this agent
 * had never seen, delayed by a cut, ended all runs of the present one in its view. */
static void
late_report_of_an_unknown_instance (Scene *scene)
{
  guint calls_before;

  scene_ready (scene);
  start_running (scene, "j", 1000);
  g_assert_false (report_as (scene, "late", 9));
  g_assert_cmpstr (open_poll (scene)->call.instance, ==, "late");
  g_assert_cmpint (open_poll (scene)->call.lease_until, ==, 0);
  answer (scene, open_poll (scene), CALL_OTHER_INSTANCE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_STARTED);
  g_assert_cmpstr (runner_instance (scene->runner), ==, "one");
  calls_before = scene->n_calls;
  g_assert_false (report_as (scene, "late", 10));
  g_assert_cmpuint (scene->n_calls, ==, calls_before);
  g_assert_true (report_as (scene, "one", 2));
  answer_ended (scene, open_long_poll (scene), "j", RUN_END_DONE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_DONE);
}

/* Guards against a server that is not used after its restart since one call was lost. */
static void
unconfirmed_instance_is_asked_again (Scene *scene)
{
  scene_ready (scene);
  start_running (scene, "j", 1000);
  g_assert_false (report_as (scene, "two", 1));
  answer (scene, open_poll (scene), CALL_UNANSWERED);
  g_assert_cmpstr (runner_instance (scene->runner), ==, "one");
  advance (scene, RUNNER_TICK_MS);
  g_assert_cmpstr (open_poll (scene)->call.instance, ==, "two");
  answer (scene, open_poll (scene), CALL_FENCED);
  g_assert_cmpstr (runner_instance (scene->runner), ==, "two");
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_SERVER_ENDED);
}

/* Guards against calls without an end for an instance that nobody hears of again. */
static void
unconfirmed_instance_is_forgotten (Scene *scene)
{
  scene_ready (scene);
  g_assert_false (report_as (scene, "two", 1));
  for (guint i = 0; i <= RESTART_SEEN_MS / RUNNER_TICK_MS + 1; i++)
    {
      if (open_poll (scene) != NULL)
        answer (scene, open_poll (scene), CALL_UNHEALTHY);
      advance (scene, RUNNER_TICK_MS);
    }
  g_assert_null (open_poll (scene));
  g_assert_cmpstr (runner_instance (scene->runner), ==, "one");
}

/* The known instance is refused first: it has ended, whatever the other's answer is. */
static void
known_instance_is_refused_meanwhile (Scene *scene)
{
  scene_ready (scene);
  start_running (scene, "j", 1000);
  g_assert_false (report_as (scene, "two", 1));
  answer (scene, open_long_poll (scene), CALL_OTHER_INSTANCE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_SERVER_ENDED);
  g_assert_null (runner_instance (scene->runner));
  answer (scene, open_poll (scene), CALL_DONE);
  g_assert_cmpstr (runner_instance (scene->runner), ==, "two");
}

/* Guards against an older report that is taken after a newer one of the same instance:
 * the server had confirmed it late, when the instance was known from the newer. */
static void
confirmed_report_is_outdated (Scene *scene)
{
  Call *asked;

  scene_ready (scene);
  g_assert_false (report_as (scene, "two", 1));
  asked = open_poll (scene);
  answer (scene, open_long_poll (scene), CALL_OTHER_INSTANCE);
  send_facts (scene, "two", 2, TRUE);
  g_assert_true (runner_draining (scene->runner));
  answer (scene, asked, CALL_DONE);
  g_assert_true (runner_draining (scene->runner));
}

static void
send_capacity (Scene *scene, guint64 sequence, guint cpu)
{
  ServerFacts facts = { .instance = "one",
                        .service = "exchange",
                        .zone = "fukuoka-a",
                        .capacity = { cpu, 1000, 0 },
                        .server_ms = scene->server_ms,
                        .sequence = sequence };

  runner_facts (scene->runner, &facts, scene->now);
}

/* Guards against loading a server beyond its capacity when that shrinks below what runs
 * there: free capacity was counted by the old value, or before the end of a stopped run
 * was listed. When the capacity grows again it is used. */
static void
shrunk_room_takes_nothing_more (Scene *scene)
{
  RunKey key = key_of ("j", 0, 1);

  scene_ready (scene);
  start_running (scene, "j", 3000);
  send_capacity (scene, 100, 2000);
  order_start (scene, ENTRY, "k", 500);
  g_assert_cmpstr (last_report (scene)->reason, ==, "no room");
  runner_stop (scene->runner, ENTRY, &key, scene->now);
  answer (scene, open_call (scene, CALLED_STOP), CALL_DONE);
  order_start (scene, ENTRY, "k", 500);
  g_assert_cmpstr (last_report (scene)->reason, ==, "no room");
  answer_ended (scene, open_long_poll (scene), "j", RUN_END_STOPPED);
  order_start (scene, ENTRY, "l", 2500);
  g_assert_cmpstr (last_report (scene)->reason, ==, "no room");
  send_capacity (scene, 101, 4000);
  order_start (scene, ENTRY, "l", 2500);
  g_assert_nonnull (open_call (scene, CALLED_START));
}

static void
other_life_answers (Scene *scene)
{
  scene_ready (scene);
  start_running (scene, "j", 1000);
  answer (scene, open_long_poll (scene), CALL_OTHER_INSTANCE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_SERVER_ENDED);
  g_assert_false (runner_ready (scene->runner));
}

static void
draining_takes_nothing (Scene *scene)
{
  scene_ready (scene);
  send_facts (scene, "one", 2, TRUE);
  order_start (scene, ENTRY, "j", 1000);
  g_assert_cmpstr (last_report (scene)->reason, ==, "backend server is draining");
}

/* Guards against running a task twice: an order repeated over a new link was refused
 * under the number of the run itself, so that the run was reported as never started. */
static void
repeated_order_is_ignored (Scene *scene)
{
  scene_ready (scene);
  start_running (scene, "j", 1000);
  order_start (scene, ENTRY, "j", 1000);
  g_assert_cmpuint (scene->n_reports, ==, 1);
  runner_extend_lease (scene->runner, OTHER_ENTRY, scene->now + 1000);
  g_assert_cmpuint (runner_used_by_others (scene->runner, OTHER_ENTRY).cpu_milli, ==,
                    1000);
  g_assert_cmpuint (runner_used_by_others (scene->runner, ENTRY).cpu_milli, ==, 0);
}

static void
other_run_of_a_task_is_refused (Scene *scene)
{
  RunRequest request = { .entry = ENTRY,
                         .key = key_of ("j", 0, 2),
                         .payload = "p",
                         .demand = { 1000, 10, 0 },
                         .expected_ms = 100 };

  scene_ready (scene);
  start_running (scene, "j", 1000);
  request.valid_until_ms = scene->now + 100;
  runner_start (scene->runner, &request, scene->now);
  g_assert_cmpstr (last_report (scene)->reason, ==, "another run of the task is here");
}

/* Guards against a job that waits until its deadline, since the order of a task that
 * still ran for the entry that had the job before was ignored without a report. */
static void
order_beside_another_entrys_run (Scene *scene)
{
  RunKey key = key_of ("j", 0, 1);

  scene_ready (scene);
  runner_extend_lease (scene->runner, OTHER_ENTRY, scene->now + 60000);
  start_running (scene, "j", 1000);
  order_start (scene, OTHER_ENTRY, "j", 1000);
  order_start (scene, OTHER_ENTRY, "j", 1000);
  g_assert_cmpuint (scene->n_reports, ==, 1);
  g_assert_true (runner_has_work (scene->runner, OTHER_ENTRY));
  runner_stop (scene->runner, ENTRY, &key, scene->now);
  answer (scene, open_call (scene, CALLED_STOP), CALL_DONE);
  g_assert_cmpuint (scene->n_reports, ==, 1);
  answer_ended (scene, open_long_poll (scene), "j", RUN_END_STOPPED);
  g_assert_cmpuint (scene->n_reports, ==, 3);
  g_assert_cmpuint (scene->reports[1].entry, ==, OTHER_ENTRY);
  g_assert_cmpint (scene->reports[1].kind, ==, REPORT_NOT_STARTED);
  g_assert_cmpuint (scene->reports[2].entry, ==, ENTRY);
  g_assert_cmpint (scene->reports[2].kind, ==, REPORT_LOST);
  g_assert_false (runner_has_work (scene->runner, OTHER_ENTRY));
}

/* Guards against the same: the waiting order is stopped, or a third entry's comes. */
static void
order_beside_another_entrys_run_is_stopped (Scene *scene)
{
  RunKey key = key_of ("j", 0, 1);

  scene_ready (scene);
  start_running (scene, "j", 1000);
  order_start (scene, OTHER_ENTRY, "j", 1000);
  order_start (scene, THIRD_ENTRY, "j", 1000);
  g_assert_cmpuint (last_report (scene)->entry, ==, OTHER_ENTRY);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_NOT_STARTED);
  runner_stop (scene->runner, THIRD_ENTRY, &key, scene->now);
  g_assert_cmpuint (last_report (scene)->entry, ==, THIRD_ENTRY);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_NOT_STARTED);
  g_assert_null (open_call (scene, CALLED_STOP));
  g_assert_cmpuint (runner_count (scene->runner), ==, 1);
}

/* Guards against jobs that wait until their deadline for one task on a server that hangs
 * but answers and renews leases: the progress of runs was not checked. */
static void
hung_run_is_told (Scene *scene)
{
  scene_ready (scene);
  start_running (scene, "j", 1000);
  for (guint i = 0; i < 4; i++)
    {
      advance (scene, 100);
      answer_running (scene, open_poll (scene), "j", 20);
    }
  g_assert_cmpuint (scene->stragglers, >, 0);
  g_assert_cmpuint (scene->remaining_ms, >, 10000);
  g_assert_cmpint (runner_server_health (scene->runner)->trust, ==, TRUST_NONE);
}

/* A task that is just longer than declared is no straggler: it takes as long anywhere. */
static void
long_run_is_no_straggler (Scene *scene)
{
  scene_ready (scene);
  start_running (scene, "j", 1000);
  for (guint i = 0; i < 8; i++)
    {
      advance (scene, 100);
      answer_running (scene, open_poll (scene), "j", 5 * (i + 1));
    }
  g_assert_cmpuint (scene->stragglers, ==, 0);
  g_assert_cmpint (runner_server_health (scene->runner)->trust, ==, TRUST_FULL);
}

/* Time of each answer, and how many calls may time out before the timeout is adapted. */
#define SLOW_ANSWER_MS 25
#define CALLS_TO_ADAPT 8

/* Guards against never using a server on a slow VM whose answers take 25 ms: each call
 * timed out after 15 ms, since the timeout was learned only from answers within it. */
static void
slow_answers_are_waited_for (Scene *scene)
{
  guint lost = 0;

  scene_open (scene);
  send_facts (scene, "one", 1, FALSE);
  while (open_poll (scene)->call.timeout_ms < SLOW_ANSWER_MS)
    {
      g_assert_cmpuint (lost++, <, CALLS_TO_ADAPT);
      advance (scene, open_poll (scene)->call.timeout_ms);
      answer (scene, open_poll (scene), CALL_UNANSWERED);
      advance (scene, 1);
    }
  advance (scene, SLOW_ANSWER_MS);
  answer (scene, open_poll (scene), CALL_DONE);
  g_assert_true (runner_ready (scene->runner));
}

typedef struct
{
  const char *name;
  void (*play) (Scene *scene);
} Case;

/* Guards against ends that go unseen for a second, which left half the capacity of a
 * server that loses answers unused: the answer of the long poll was lost, and no poll
 * became due because starts kept renewing the lease. */
static void
ends_are_looked_for_under_starts (Scene *scene)
{
  guint polls = 0;

  scene_ready (scene);
  for (guint i = 0; i < 4; i++)
    {
      char *job = g_strdup_printf ("j%u", i);

      start_running (scene, job, 100);
      advance (scene, RUNNER_TICK_MS);
      g_free (job);
    }
  for (guint i = 0; i < scene->n_calls; i++)
    polls += scene->calls[i].what == CALLED_HOLD && scene->calls[i].wait_ms == 0
             && !scene->calls[i].answered;
  g_assert_cmpuint (polls, >, 0);
}

static guint
count_long_polls (const Scene *scene)
{
  guint n = 0;

  for (guint i = 0; i < scene->n_calls; i++)
    n += scene->calls[i].what == CALLED_HOLD && !scene->calls[i].answered
         && scene->calls[i].wait_ms > 0;
  return n;
}

/* Guards against a second in which ends are seen only by polls, up to 100 ms late: the
 * answer of the long poll was lost with its connection, and the long poll was replaced
 * only after its timeout although a poll had listed an end that it should have. */
static void
lost_watch_is_replaced (Scene *scene)
{
  scene_ready (scene);
  g_assert_cmpuint (count_long_polls (scene), ==, 1);
  start_running (scene, "j", 1000);
  start_running (scene, "k", 1000);
  advance (scene, 2 * RUNNER_TICK_MS);
  answer_ended (scene, open_poll (scene), "j", RUN_END_DONE);
  advance (scene, RUNNER_TICK_MS);
  g_assert_cmpuint (count_long_polls (scene), >=, 2);
  g_assert_cmpuint (open_long_poll (scene)->ends_seen, ==, 1);
  answer_ended (scene, open_long_poll (scene), "k", RUN_END_DONE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_DONE);
}

/* The answers of a poll and of the long poll often come together: the long poll must not
 * be taken for lost then. */
static void
watch_that_answers_is_kept (Scene *scene)
{
  Call *poll;

  scene_ready (scene);
  start_running (scene, "j", 1000);
  advance (scene, 2 * RUNNER_TICK_MS);
  poll = open_poll (scene);
  answer_ended (scene, poll, "j", RUN_END_DONE);
  scene->ends--;
  answer_ended (scene, open_long_poll (scene), "j", RUN_END_DONE);
  advance (scene, RUNNER_TICK_MS);
  g_assert_cmpuint (count_long_polls (scene), ==, 1);
}

/* Guards against short tasks that miss their latency objective when several starts are
 * lost in a row: the timeout of each took most of the time. A server whose answers
 * usually take long gets a longer timeout. */
static void
astray_start_is_noticed_soon (Scene *scene)
{
  guint quick_ms;

  scene_ready (scene);
  order_start (scene, ENTRY, "j", 100);
  quick_ms = open_call (scene, CALLED_START)->call.timeout_ms;
  g_assert_cmpuint (quick_ms, <=, 20);
  for (guint i = 0; i < 20; i++)
    {
      Call *call = open_call (scene, CALLED_START);

      scene->now += 12;
      answer (scene, call, CALL_NO_ROOM);
      order_start (scene, ENTRY, "k", 100);
    }
  g_assert_cmpuint (open_call (scene, CALLED_START)->call.timeout_ms, >,
                    quick_ms + quick_ms);
}

/* Every call ends at once as @end, for 6 s, while a start is unresolved. */
static void
storm_with (Scene *scene, CallEnd end)
{
  scene_ready (scene);
  order_start (scene, ENTRY, "j", 1000);
  answer (scene, open_call (scene, CALLED_START), CALL_UNANSWERED);
  for (guint ms = 0; ms < REFUSING_MS; ms += RUNNER_TICK_MS)
    {
      guint before = scene->n_calls;

      for (guint i = 0;
           i < scene->n_calls && scene->n_calls < before + CALLS_PER_TICK_MAX; i++)
        if (!scene->calls[i].answered)
          answer (scene, &scene->calls[i], end);
      advance (scene, RUNNER_TICK_MS);
    }
  g_assert_cmpuint (scene->n_calls, <=, (guint64)REFUSING_MS / 1000 * CALLS_PER_S_MAX);
}

/* Guards against calling a server that refuses connections thousands of times, each over
 * a new connection. */
static void
refusing_server_is_not_stormed (Scene *scene)
{
  storm_with (scene, CALL_UNANSWERED);
  /* The next call that is answered ends the unresponsive state. */
  advance (scene, RUNNER_TICK_MS);
  answer (scene, open_poll (scene), CALL_DONE);
  g_assert_true (runner_ready (scene->runner));
}

/* Guards against an agent that calls a server which has crashed without a pause: a call
 * that cannot be sent counted as an answer, and was repeated at once for ever. */
static void
crashed_server_is_not_stormed (Scene *scene)
{
  storm_with (scene, CALL_NOT_SENT);
}

/* Guards against the same where the server refuses every call. */
static void
unhealthy_server_is_not_stormed (Scene *scene)
{
  storm_with (scene, CALL_UNHEALTHY);
}

/* Guards against runs that are never given up: calls that cannot be sent counted as
 * answers, and renewed the lease of a server that had crashed. */
static void
crashed_server_loses_its_runs (Scene *scene)
{
  scene_ready (scene);
  start_running (scene, "j", 1000);
  advance (scene, LEASE_MS - 50);
  for (guint i = 0; i < 60 && last_report (scene)->kind == REPORT_STARTED; i++)
    advance_without (scene, CALL_NOT_SENT);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_SERVER_SILENT);
  g_assert_false (runner_ready (scene->runner));
}

static void
send_cold (Scene *scene, guint64 sequence, guint cold_ms)
{
  ServerFacts facts = { .instance = "one",
                        .service = "exchange",
                        .zone = "fukuoka-a",
                        .capacity = { 4000, 1000, 0 },
                        .cold_ms = cold_ms,
                        .server_ms = scene->server_ms,
                        .sequence = sequence };

  runner_facts (scene->runner, &facts, scene->now);
}

/* Guards against rating a server that is slow after its start as slow afterwards too. */
static void
cold_server_is_no_slow_one (Scene *scene)
{
  scene_ready (scene);
  send_cold (scene, 2, COLD_MS);
  for (guint i = 0; i < 5; i++)
    {
      start_running (scene, "j", 1000);
      advance (scene, 4 * RUNNER_TICK_MS);
      answer_ended (scene, open_long_poll (scene), "j", RUN_END_DONE);
      g_assert_cmpuint (scene->last_run_ms, ==, 0);
    }
  g_assert_cmpfloat (runner_server_health (scene->runner)->slowness, >, 1.2);
  advance (scene, COLD_MS);
  g_assert_cmpfloat (runner_server_health (scene->runner)->slowness, ==, 1);
  /* Cold again, it has the slowness of its last cold time. */
  send_cold (scene, 3, COLD_MS);
  g_assert_cmpfloat (runner_server_health (scene->runner)->slowness, >, 1.2);
}

/* Guards against starts ordered by an entry that does not know yet that the operator has
 * closed the zone. */
static void
closed_zone_takes_nothing (Scene *scene)
{
  guint calls;

  scene_ready (scene);
  start_running (scene, "j", 1000);
  runner_set_zone_closed (scene->runner, TRUE);
  calls = scene->n_calls;
  order_start (scene, ENTRY, "k", 1000);
  g_assert_cmpuint (scene->n_calls, ==, calls);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_NOT_STARTED);
  g_assert_cmpstr (last_report (scene)->reason, ==, "availability zone is closed");
  g_assert_cmpuint (runner_count (scene->runner), ==, 1);
  runner_set_zone_closed (scene->runner, FALSE);
  start_running (scene, "l", 1000);
}

/* Leaving servers. */

#define DRAIN_MS 3000
#define BOUND_MS 2000 /* DRAIN_MS less the margin for late starts */

static void
send_notice (Scene *scene, const char *instance, guint64 sequence, guint remaining_ms)
{
  ServerFacts facts = { .instance = instance,
                        .service = "exchange",
                        .zone = "fukuoka-a",
                        .capacity = { 4000, 1000, 0 },
                        .draining = TRUE,
                        .remaining_ms = remaining_ms,
                        .server_ms = scene->server_ms,
                        .sequence = sequence };

  runner_facts (scene->runner, &facts, scene->now);
}

static void
expect_started (Scene *scene, const char *job)
{
  Call *call = open_call (scene, CALLED_START);

  g_assert_nonnull (call);
  g_assert_cmpstr (call->key.job, ==, job);
}

static void
expect_refused (Scene *scene, const char *job, const char *reason)
{
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_NOT_STARTED);
  g_assert_cmpstr (last_report (scene)->key.job, ==, job);
  g_assert_cmpstr (last_report (scene)->reason, ==, reason);
}

/* Guards against capacity that lies idle during the notice, and against runs that end
 * with their server. */
static void
leaving_server_takes_fitting_runs (Scene *scene)
{
  scene_ready_with (scene, DRAIN_MS);
  send_notice (scene, "one", 2, 1000);
  g_assert_cmpuint (runner_leaving_ms (scene->runner, scene->now), ==, 1000);
  order_expected (scene, ENTRY, "j", 1000, 534);
  expect_refused (scene, "j", "backend server ends before the run");
  order_expected (scene, ENTRY, "k", 1000, 533);
  expect_started (scene, "k");
  answer (scene, open_call (scene, CALLED_START), CALL_DONE);
  advance (scene, 400);
  g_assert_cmpuint (runner_leaving_ms (scene->runner, scene->now), ==, 600);
  order_expected (scene, ENTRY, "l", 1000, 267);
  expect_refused (scene, "l", "backend server ends before the run");
}

/* Guards against a start after the users' bound, whatever an entry orders. */
static void
no_start_after_the_bound (Scene *scene)
{
  scene_ready_with (scene, DRAIN_MS);
  send_notice (scene, "one", 2, 60000);
  advance (scene, BOUND_MS - 1);
  order_expected (scene, ENTRY, "j", 1000, 100);
  expect_started (scene, "j");
  answer (scene, open_call (scene, CALLED_START), CALL_DONE);
  advance (scene, 1);
  send_notice (scene, "one", 3, 60000);
  g_assert_cmpuint (runner_leaving_ms (scene->runner, scene->now), ==, 0);
  order_expected (scene, ENTRY, "k", 1000, 100);
  expect_refused (scene, "k", "too long after the drain notice");
}

/* Guards against a start that is refused, and sent again after the bound. */
static void
no_repeated_start_after_the_bound (Scene *scene)
{
  guint calls;

  scene_ready_with (scene, DRAIN_MS);
  send_notice (scene, "one", 2, 60000);
  advance (scene, BOUND_MS - 10);
  order_expected (scene, ENTRY, "j", 1000, 100);
  expect_started (scene, "j");
  scene->now += 10;
  calls = scene->n_calls;
  answer (scene, open_call (scene, CALLED_START), CALL_FENCED);
  expect_refused (scene, "j", "start came too late");
  g_assert_cmpuint (scene->n_calls, ==, calls);
}

/* Guards against a bound that counts from the start of an agent: the notice may be older.
 */
static void
agent_started_during_the_notice (Scene *scene)
{
  scene_open_with (scene, DRAIN_MS);
  send_notice (scene, "one", 2, 60000);
  answer (scene, open_poll (scene), CALL_DONE);
  runner_extend_lease (scene->runner, ENTRY, scene->now + 60000);
  order_start (scene, ENTRY, "j", 1000);
  expect_refused (scene, "j", "backend server is draining");
  send_notice (scene, "one", 3, 60000);
  order_start (scene, ENTRY, "k", 1000);
  expect_refused (scene, "k", "backend server is draining");
}

/* Guards against starts on a server that does not say how long it stays, or that no
 * longer says so, and with the setting off. */
static void
notice_without_time (Scene *scene)
{
  scene_ready_with (scene, DRAIN_MS);
  send_notice (scene, "one", 2, 0);
  order_start (scene, ENTRY, "j", 1000);
  expect_refused (scene, "j", "backend server is draining");
  send_notice (scene, "one", 3, 2000);
  order_start (scene, ENTRY, "k", 1000);
  expect_started (scene, "k");
  send_notice (scene, "one", 4, 0);
  order_start (scene, ENTRY, "l", 1000);
  expect_refused (scene, "l", "backend server is draining");
}

static void
notice_with_the_setting_off (Scene *scene)
{
  scene_ready (scene);
  start_running (scene, "j", 1000);
  send_notice (scene, "one", 2, 2000);
  order_start (scene, ENTRY, "k", 1000);
  expect_refused (scene, "k", "backend server is draining");
  advance (scene, 100);
  answer_running (scene, open_poll (scene), "j", 20);
  g_assert_cmpuint (scene->stragglers, ==, 0);
}

/* Guards against a restarted server that counts as leaving. */
static void
successor_of_a_leaving_server (Scene *scene)
{
  scene_ready_with (scene, DRAIN_MS);
  send_notice (scene, "one", 2, 60000);
  advance (scene, BOUND_MS);
  send_facts (scene, "two", 1, FALSE);
  answer (scene, open_poll (scene), CALL_DONE);
  order_expected (scene, ENTRY, "j", 1000, 5000);
  expect_started (scene, "j");
}

/* Guards against runs that are lost with their server while another is free, and against
 * restarts of those that end before it. */
static void
run_that_is_cut_off_is_reported (Scene *scene)
{
  scene_ready_with (scene, DRAIN_MS);
  start_running (scene, "j", 1000);
  advance (scene, 100);
  answer_running (scene, open_poll (scene), "j", 20);
  send_notice (scene, "one", 2, 450);
  advance (scene, 100);
  answer_running (scene, open_poll (scene), "j", 40);
  g_assert_cmpuint (scene->stragglers, ==, 0);
  send_notice (scene, "one", 3, 200);
  advance (scene, 100);
  answer_running (scene, open_poll (scene), "j", 60);
  g_assert_cmpuint (scene->stragglers, ==, 1);
  g_assert_cmpuint (scene->remaining_ms, >, 10000);
  g_assert_null (open_call (scene, CALLED_STOP));
}

/* Restarts under one name: calls cannot tell the instances apart. */

static void
send_named (Scene *scene, const char *instance, guint64 sequence)
{
  ServerFacts facts = { .instance = instance,
                        .name = "one",
                        .service = "exchange",
                        .zone = "fukuoka-a",
                        .capacity = { 4000, 1000, 0 },
                        .server_ms = scene->server_ms,
                        .sequence = sequence };

  runner_facts (scene->runner, &facts, scene->now);
}

static void
named_ready (Scene *scene)
{
  scene_open (scene);
  send_named (scene, "one#1", 50);
  answer (scene, open_poll (scene), CALL_DONE);
  runner_extend_lease (scene->runner, ENTRY, scene->now + 60000);
  runner_tick (scene->runner, scene->now);
}

/* The clock and the count of reports begin anew. */
static void
restart_named (Scene *scene)
{
  scene->server_ms = 1000;
  scene->ends = 0;
  send_named (scene, "one#2", 1);
}

static void
answer_certain (Scene *scene, Call *call, const char *job)
{
  RunningRun running = { key_of (job, 0, 1), 20 };
  CallReply reply
      = { .end = CALL_DONE, .is_certain = TRUE, .running = &running, .n_running = 1 };

  answer_as (scene, call, reply);
}

/* Guards against a task that runs twice at once: an answered start had been carried out
 * by the restarted server, and was ordered elsewhere as ended with the earlier instance.
 */
static void
unlisted_runs_are_held (Scene *scene)
{
  named_ready (scene);
  start_running (scene, "j", 1000);
  restart_named (scene);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_STARTED);
  answer_running (scene, open_poll (scene), "j", 0);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_STARTED);
  g_assert_cmpstr (open_call (scene, CALLED_STOP)->key.job, ==, "j");
  answer_ended (scene, open_long_poll (scene), "j", RUN_END_STOPPED);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_LOST);
  g_assert_false (runner_ready (scene->runner));
  advance (scene, RUNNER_TICK_MS);
  answer (scene, open_poll (scene), CALL_DONE);
  g_assert_true (runner_ready (scene->runner));
  g_assert_cmpuint (runner_count (scene->runner), ==, 0);
}

/* Guards against a start under way that was reported as never run: the earlier instance
 * may have run it. */
static void
start_under_way_is_held (Scene *scene)
{
  named_ready (scene);
  order_start (scene, ENTRY, "j", 1000);
  restart_named (scene);
  g_assert_cmpuint (scene->n_reports, ==, 0);
  answer (scene, open_call (scene, CALLED_START), CALL_DONE);
  g_assert_cmpuint (scene->n_reports, ==, 0);
  answer (scene, open_poll (scene), CALL_DONE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_SERVER_SILENT);
  g_assert_true (runner_ready (scene->runner));
}

/* Guards against a task that runs twice at once: the server did not get the answer to its
 * Leave call and went on, while its runs counted as over. */
static void
left_server_may_go_on (Scene *scene)
{
  gint64 left_ms;

  scene_ready (scene);
  start_running (scene, "j", 1000);
  left_ms = scene->now;
  runner_server_left (scene->runner, "one", scene->now);
  g_assert_false (runner_ready (scene->runner));
  g_assert_cmpstr (open_call (scene, CALLED_STOP)->key.job, ==, "j");
  order_start (scene, ENTRY, "k", 1000);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_NOT_STARTED);
  for (guint i = 0; i < 60 && last_report (scene)->kind != REPORT_LOST; i++)
    {
      for (guint j = 0; j < scene->n_calls; j++)
        g_assert_true (scene->calls[j].answered || scene->calls[j].call.lease_until == 0
                       || scene->now == left_ms);
      advance_in_silence (scene);
    }
  g_assert_cmpstr (last_report (scene)->key.job, ==, "j");
  g_assert_cmpint (scene->now - left_ms, >=, LEASE_MS);
  g_assert_null (runner_instance (scene->runner));
}

/* The same, where it answers: the end that it lists is proof. */
static void
left_server_lists_its_ends (Scene *scene)
{
  scene_ready (scene);
  start_running (scene, "j", 1000);
  runner_server_left (scene->runner, "one", scene->now);
  answer_ended (scene, open_long_poll (scene), "j", RUN_END_STOPPED);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_LOST);
  advance (scene, RUNNER_TICK_MS);
  g_assert_null (runner_instance (scene->runner));
}

/* Guards against a task that runs twice at once: a start under way when the server left
 * was ordered elsewhere, and the next start under the same id carried it out. */
static void
start_under_way_at_the_end_is_held (Scene *scene)
{
  named_ready (scene);
  start_running (scene, "j", 1000);
  answer_certain (scene, open_long_poll (scene), "j");
  order_start (scene, ENTRY, "k", 1000);
  scene->n_reports = 0;
  runner_server_left (scene->runner, "one#1", scene->now);
  g_assert_cmpuint (scene->n_reports, ==, 0);
  g_assert_cmpstr (open_call (scene, CALLED_STOP)->key.job, ==, "j");
  answer_ended (scene, open_long_poll (scene), "j", RUN_END_STOPPED);
  g_assert_cmpuint (scene->n_reports, ==, 1);
  g_assert_cmpstr (last_report (scene)->key.job, ==, "j");
  restart_named (scene);
  answer_running (scene, open_poll (scene), "k", 0);
  g_assert_cmpuint (scene->n_reports, ==, 1);
  g_assert_cmpstr (open_call (scene, CALLED_STOP)->key.job, ==, "k");
  answer_ended (scene, open_long_poll (scene), "k", RUN_END_STOPPED);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_LOST);
}

/* Guards against a task that waits for good for a server that does not restart. */
static void
left_server_holds_no_start_for_long (Scene *scene)
{
  named_ready (scene);
  order_start (scene, ENTRY, "k", 1000);
  runner_server_left (scene->runner, "one#1", scene->now);
  g_assert_cmpuint (scene->n_reports, ==, 0);
  advance (scene, 3000 + RUNNER_TICK_MS);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_LOST);
  g_assert_cmpuint (runner_count (scene->runner), ==, 0);
}

/* Guards against a task that waits for good for a server that has restarted under its
 * name, reported once and then never answers. */
static void
restarted_silent_server_holds_no_start_for_good (Scene *scene)
{
  named_ready (scene);
  order_start (scene, ENTRY, "k", 1000);
  restart_named (scene);
  for (guint i = 0; i < 4 * LATE_CALL_MS / RUNNER_TICK_MS && scene->n_reports == 0; i++)
    advance_in_silence (scene);
  g_assert_cmpuint (runner_count (scene->runner), ==, 0);
}

/* The same, where no instance reports after the one that refused a call. */
static void
restart_without_a_report_holds_no_start_for_good (Scene *scene)
{
  named_ready (scene);
  start_running (scene, "j", 1000);
  answer (scene, open_long_poll (scene), CALL_RESTARTED);
  advance (scene, 4 * LATE_CALL_MS);
  g_assert_cmpuint (runner_count (scene->runner), ==, 0);
}

/* Guards against a crash that is forgotten: the server restarted under its name with an
 * answered start, and the next instance was silent for its lease before it answered. */
static void
crash_outlasts_the_silence_after_it (Scene *scene)
{
  named_ready (scene);
  start_running (scene, "j", 1000);
  restart_named (scene);
  advance (scene, 500000 + LEASE_MS);
  advance (scene, 500000 / 50);
  for (guint i = 0; i < 3; i++)
    advance_in_silence (scene);
  while (open_poll (scene) != NULL)
    answer (scene, open_poll (scene), CALL_DONE);
  g_assert_true (runner_ready (scene->runner));
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_SERVER_ENDED);
}

/* Guards against a task that waits without need: its run was seen on the earlier instance
 * and ended with it. */
static void
listed_runs_end_at_once (Scene *scene)
{
  named_ready (scene);
  start_running (scene, "j", 1000);
  answer_certain (scene, open_long_poll (scene), "j");
  restart_named (scene);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_SERVER_ENDED);
  g_assert_cmpuint (runner_count (scene->runner), ==, 0);
}

/* Guards against a list of the restarted server that is taken for one of the earlier
 * instance: its runs would count as ended without a trace. */
static void
list_of_a_later_start (Scene *scene)
{
  named_ready (scene);
  start_running (scene, "j", 1000);
  answer (scene, open_long_poll (scene), CALL_RESTARTED);
  g_assert_null (runner_instance (scene->runner));
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_STARTED);
  order_start (scene, ENTRY, "k", 1000);
  g_assert_cmpstr (last_report (scene)->reason, ==, "backend server not ready");
  restart_named (scene);
  answer (scene, open_poll (scene), CALL_DONE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_SERVER_ENDED);
  g_assert_true (runner_ready (scene->runner));
}

/* Guards against calls to the earlier instance that the restarted one carries out: by its
 * own clock, which began anew, the token would be lower than theirs. */
static void
restart_fences_earlier_calls (Scene *scene)
{
  guint64 before;

  named_ready (scene);
  start_running (scene, "j", 1000);
  before = open_long_poll (scene)->call.token;
  restart_named (scene);
  g_assert_cmpuint (open_poll (scene)->call.token, >, before);
}

/* Guards against a task that runs twice at once: a start that a lost agent had sent to
 * the earlier instance was carried out by the restarted one, whose new agent had drawn a
 * lower token from the clock that began anew. */
static void
new_agent_fences_earlier_calls (Scene *scene)
{
  ServerFacts facts = { .instance = "one#1790000000000",
                        .name = "one",
                        .service = "exchange",
                        .zone = "fukuoka-a",
                        .capacity = { 4000, 1000, 0 },
                        .server_ms = 500000,
                        .started_ms = G_GINT64_CONSTANT (1790000000000),
                        .sequence = 50 };
  guint64 before;

  scene_open (scene);
  runner_facts (scene->runner, &facts, scene->now);
  before = open_poll (scene)->call.token;
  scene_close (scene);
  scene_open (scene);
  facts.instance = "one#1790000500000";
  facts.started_ms += 500000;
  facts.server_ms = 1;
  facts.sequence = 1;
  runner_facts (scene->runner, &facts, scene->now);
  g_assert_cmpuint (open_poll (scene)->call.token, >, before);
}

/* Guards against a server that refuses all calls until its clock has passed that of its
 * earlier instance: a call with a token from that clock has reached it. */
static void
token_catches_up (Scene *scene)
{
  const guint64 highest = G_GUINT64_CONSTANT (7776000000); /* 90 days, ms */

  scene_open (scene);
  scene->server_ms = 1000;
  send_named (scene, "one#2", 1);
  for (guint i = 0; i < 40 && !runner_ready (scene->runner); i++)
    {
      Call *call = open_poll (scene);

      answer (scene, call, call->call.token < highest ? CALL_FENCED : CALL_DONE);
      advance (scene, RUNNER_TICK_MS);
    }
  g_assert_true (runner_ready (scene->runner));
}

/* Guards against a task that runs twice at once: a call to the earlier instance had
 * extended the lease of the restarted server, by the earlier clock, and its runs were
 * given up after the length of one lease without an answer. */
static void
lease_by_the_earlier_clock (Scene *scene)
{
  named_ready (scene);
  start_running (scene, "j", 1000);
  restart_named (scene);
  advance (scene, 2 * RUNNER_TICK_MS + LEASE_MS);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_STARTED);
  advance (scene, 500000 + LEASE_MS);
  advance (scene, 500000 / 50);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_SERVER_ENDED);
}

/* Guards against a task that runs twice at once: a server that had restarted unnoticed
 * ran an unanswered start for the longest lease, and the agent gave it up by the clock of
 * the earlier instance. */
static void
silent_server_may_have_restarted (Scene *scene)
{
  gint64 extended_ms;

  named_ready (scene);
  g_assert_cmpuint (runner_restart_lease_ms (scene->runner), >=, LEASE_MAX_MS);
  start_running (scene, "j", 1000);
  extended_ms = scene->now;
  for (guint i = 0; i < 60 && last_report (scene)->kind == REPORT_STARTED; i++)
    {
      for (guint j = 0; j < scene->n_calls; j++)
        if (scene->calls[j].call.lease_until > 0)
          extended_ms = scene->now;
      advance_in_silence (scene);
    }
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_SERVER_SILENT);
  g_assert_cmpint (scene->now - extended_ms, >, LEASE_MAX_MS);
}

/* Guards against a task that runs twice at once: a start under way to a silent server was
 * given up with its lease, and the restarted server carried it out. */
static void
start_to_a_silent_server_is_held (Scene *scene)
{
  named_ready (scene);
  order_start (scene, ENTRY, "j", 1000);
  for (guint i = 0; i < 60; i++)
    advance_in_silence (scene);
  g_assert_cmpuint (scene->n_reports, ==, 0);
  g_assert_false (runner_ready (scene->runner));
  restart_named (scene);
  answer (scene, open_poll (scene), CALL_DONE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_SERVER_SILENT);
  g_assert_true (runner_ready (scene->runner));
}

/* What became of a server whose runs were lost to its silence. */
typedef enum
{
  AFTER_ANSWERS,     /* it answers again */
  AFTER_REPORT,      /* another instance reports */
  AFTER_REFUSAL,     /* another instance refuses a call */
  AFTER_SAME_NAME,   /* a later start under its name reports */
  AFTER_LATER_START, /* its answer says that it is from a later start */
  AFTER_LEAVING,     /* it had given notice, and another instance reports */
  AFTER_LEFT,        /* it says that it has left */
  AFTER_TOO_LONG,    /* another instance reports, long after */
} Afterwards;

typedef struct
{
  const char *name;
  Afterwards what;
  ReportKind reported; /* once that is known */
} SilenceCase;

/* Guards against runs that count as crashes for no other reason than that their server
 * was silent, and against crashes that never count since they were first seen as silence.
 */
static const SilenceCase silence_cases[]
    = { { "answers-again", AFTER_ANSWERS, REPORT_LOST },
        { "another-reports", AFTER_REPORT, REPORT_SERVER_ENDED },
        { "another-refuses", AFTER_REFUSAL, REPORT_SERVER_ENDED },
        { "restarts-under-its-name", AFTER_SAME_NAME, REPORT_SERVER_ENDED },
        { "answers-from-a-later-start", AFTER_LATER_START, REPORT_SERVER_ENDED },
        { "replaced-after-its-notice", AFTER_LEAVING, REPORT_LOST },
        { "left", AFTER_LEFT, REPORT_LOST },
        { "never-seen-again", AFTER_TOO_LONG, REPORT_SERVER_SILENT } };

static void
end_silence (Scene *scene, Afterwards what)
{
  switch (what)
    {
    case AFTER_ANSWERS:
      advance (scene, RUNNER_TICK_MS);
      answer (scene, open_poll (scene), CALL_DONE);
      g_assert_true (runner_ready (scene->runner));
      return;
    case AFTER_LEAVING:
      send_facts (scene, "one", 100, TRUE);
      send_facts (scene, "two", 1, FALSE);
      return;
    case AFTER_REPORT:
      send_facts (scene, "two", 1, FALSE);
      return;
    case AFTER_REFUSAL:
      advance (scene, RUNNER_TICK_MS);
      answer (scene, open_poll (scene), CALL_OTHER_INSTANCE);
      return;
    case AFTER_SAME_NAME:
      restart_named (scene);
      return;
    case AFTER_LATER_START:
      advance (scene, RUNNER_TICK_MS);
      answer (scene, open_poll (scene), CALL_RESTARTED);
      return;
    case AFTER_LEFT:
      runner_server_left (scene->runner, "one", scene->now);
      return;
    case AFTER_TOO_LONG:
      for (guint i = 0; i <= RESTART_SEEN_MS / RUNNER_TICK_MS; i++)
        advance_in_silence (scene);
      send_facts (scene, "two", 1, FALSE);
      return;
    }
}

typedef struct
{
  guint reports;
  RunReport last;
} Inventory;

static void
add_to_inventory (const RunReport *run_report, gpointer ctx)
{
  Inventory *inventory = ctx;

  inventory->reports++;
  inventory->last = *run_report;
}

static void
test_silence (gconstpointer data)
{
  const SilenceCase *c = data;
  gboolean named = c->what == AFTER_SAME_NAME || c->what == AFTER_LATER_START;
  gboolean known = c->reported != REPORT_SERVER_SILENT;
  Inventory inventory = { 0 };
  Scene scene;

  if (named)
    named_ready (&scene);
  else
    scene_ready (&scene);
  start_running (&scene, "j", 1000);
  for (guint i = 0; i < 60 && last_report (&scene)->kind == REPORT_STARTED; i++)
    advance_in_silence (&scene);
  g_assert_cmpint (last_report (&scene)->kind, ==, REPORT_SERVER_SILENT);
  runner_each_run (scene.runner, ENTRY, add_to_inventory, &inventory);
  g_assert_cmpuint (inventory.reports, ==, 1);
  g_assert_cmpint (inventory.last.kind, ==, REPORT_SERVER_SILENT);
  scene.n_reports = 0;
  end_silence (&scene, c->what);
  g_assert_cmpuint (scene.n_reports, ==, known);
  if (known)
    {
      g_assert_cmpint (last_report (&scene)->kind, ==, c->reported);
      g_assert_cmpstr (last_report (&scene)->key.job, ==, "j");
      g_assert_cmpuint (last_report (&scene)->entry, ==, ENTRY);
    }
  memset (&inventory, 0, sizeof inventory);
  runner_each_run (scene.runner, ENTRY, add_to_inventory, &inventory);
  g_assert_cmpuint (inventory.reports, ==, known);
  if (known)
    g_assert_cmpint (inventory.last.kind, ==, c->reported);
  scene_close (&scene);
}

/* Guards against evidence that finds the wrong run: its job was sent again and the new
 * run 1 goes on here, while the crash under the earlier run 1 is still listed to an entry
 * that reconnects. */
static void
resent_job_is_listed_once (Scene *scene)
{
  Inventory inventory = { 0 };

  scene_ready (scene);
  start_running (scene, "j", 1000);
  for (guint i = 0; i < 60 && last_report (scene)->kind == REPORT_STARTED; i++)
    advance_in_silence (scene);
  send_facts (scene, "two", 1, FALSE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_SERVER_ENDED);
  answer (scene, open_poll (scene), CALL_DONE);
  runner_extend_lease (scene->runner, ENTRY, scene->now + 60000);
  start_running (scene, "j", 1000);
  runner_each_run (scene->runner, ENTRY, add_to_inventory, &inventory);
  g_assert_cmpuint (inventory.reports, ==, 1);
  g_assert_cmpint (inventory.last.kind, ==, REPORT_STARTED);
}

/* Guards against a server that leaves by notice and counts as one that crashed under its
 * runs when another follows. */
static void
replaced_after_notice (Scene *scene)
{
  scene_ready (scene);
  start_running (scene, "j", 1000);
  send_facts (scene, "one", 2, TRUE);
  send_facts (scene, "two", 1, FALSE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_LOST);
}

/* The same, where a call is refused before the other instance reports. */
static void
refused_after_notice (Scene *scene)
{
  scene_ready (scene);
  start_running (scene, "j", 1000);
  send_facts (scene, "one", 2, TRUE);
  answer (scene, open_long_poll (scene), CALL_OTHER_INSTANCE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_LOST);
}

/* Guards against a start that counts as a crash though its server had crashed before: it
 * was never answered. */
static void
start_to_a_crashed_server (Scene *scene)
{
  scene_ready (scene);
  start_running (scene, "j", 1000);
  order_start (scene, ENTRY, "k", 1000);
  scene->n_reports = 0;
  send_facts (scene, "two", 1, FALSE);
  g_assert_cmpuint (scene->n_reports, ==, 2);
  g_assert_cmpint (scene->reports[0].kind, ==, REPORT_SERVER_ENDED);
  g_assert_cmpint (scene->reports[1].kind, ==, REPORT_SERVER_SILENT);
  answer (scene, open_poll (scene), CALL_DONE);
  g_assert_cmpuint (scene->n_reports, ==, 2);
}

/* The same, where the crash was first seen as silence. */
static void
start_to_a_silent_crashed_server (Scene *scene)
{
  scene_ready (scene);
  start_running (scene, "j", 1000);
  order_start (scene, ENTRY, "k", 1000);
  scene->n_reports = 0;
  for (guint i = 0; i < 60; i++)
    advance_in_silence (scene);
  g_assert_cmpuint (scene->n_reports, ==, 2);
  send_facts (scene, "two", 1, FALSE);
  g_assert_cmpuint (scene->n_reports, ==, 3);
  g_assert_cmpstr (last_report (scene)->key.job, ==, "j");
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_SERVER_ENDED);
  answer (scene, open_poll (scene), CALL_DONE);
  g_assert_cmpuint (scene->n_reports, ==, 3);
}

/* Guards against a held start that counts as a crash though no restart was seen. */
static void
held_start_outlasts_the_silence (Scene *scene)
{
  named_ready (scene);
  order_start (scene, ENTRY, "j", 1000);
  for (guint i = 0; i < 60; i++)
    advance_in_silence (scene);
  g_assert_cmpuint (scene->n_reports, ==, 0);
  advance (scene, RUNNER_TICK_MS);
  while (open_poll (scene) != NULL)
    answer (scene, open_poll (scene), CALL_DONE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_LOST);
  g_assert_true (runner_ready (scene->runner));
}

/* Guards against a delayed report of the earlier start that is taken for a new instance.
 */
static void
report_of_an_earlier_start (Scene *scene)
{
  named_ready (scene);
  restart_named (scene);
  send_named (scene, "one#1", 51);
  g_assert_cmpstr (runner_instance (scene->runner), ==, "one#2");
}

/* Guards against a server that is lost for good: one report named a later start that does
 * not exist, and the reports of the true one were those of a past instance. */
static void
start_that_was_known_before (Scene *scene)
{
  ServerFacts facts = { .instance = "one#1",
                        .name = "one",
                        .service = "exchange",
                        .zone = "fukuoka-a",
                        .capacity = { 4000, 1000, 0 },
                        .server_ms = 60000,
                        .sequence = 60,
                        .replaces = TRUE };

  named_ready (scene);
  send_named (scene, "one#2", 1);
  runner_facts (scene->runner, &facts, scene->now);
  g_assert_cmpstr (runner_instance (scene->runner), ==, "one#1");
  send_named (scene, "one#1", 61);
  g_assert_cmpstr (runner_instance (scene->runner), ==, "one#1");
  answer (scene, open_poll (scene), CALL_DONE);
  g_assert_true (runner_ready (scene->runner));
}

static const Case cases[] = {
  { "leaving-server-takes-fitting-runs", leaving_server_takes_fitting_runs },
  { "no-start-after-the-bound", no_start_after_the_bound },
  { "no-repeated-start-after-the-bound", no_repeated_start_after_the_bound },
  { "agent-started-during-the-notice", agent_started_during_the_notice },
  { "notice-without-time", notice_without_time },
  { "notice-with-the-setting-off", notice_with_the_setting_off },
  { "successor-of-a-leaving-server", successor_of_a_leaving_server },
  { "run-that-is-cut-off-is-reported", run_that_is_cut_off_is_reported },
  { "unlisted-runs-are-held", unlisted_runs_are_held },
  { "start-under-way-is-held", start_under_way_is_held },
  { "stored-room-is-not-used", stored_room_is_not_used },
  { "left-server-may-go-on", left_server_may_go_on },
  { "left-server-lists-its-ends", left_server_lists_its_ends },
  { "start-under-way-at-the-end-is-held", start_under_way_at_the_end_is_held },
  { "left-server-holds-no-start-for-long", left_server_holds_no_start_for_long },
  { "restarted-silent-server-holds-no-start-for-good",
    restarted_silent_server_holds_no_start_for_good },
  { "restart-without-a-report-holds-no-start-for-good",
    restart_without_a_report_holds_no_start_for_good },
  { "crash-outlasts-the-silence-after-it", crash_outlasts_the_silence_after_it },
  { "listed-runs-end-at-once", listed_runs_end_at_once },
  { "list-of-a-later-start", list_of_a_later_start },
  { "restart-fences-earlier-calls", restart_fences_earlier_calls },
  { "new-agent-fences-earlier-calls", new_agent_fences_earlier_calls },
  { "token-catches-up", token_catches_up },
  { "silent-server-may-have-restarted", silent_server_may_have_restarted },
  { "start-to-a-silent-server-is-held", start_to_a_silent_server_is_held },
  { "held-start-outlasts-the-silence", held_start_outlasts_the_silence },
  { "lease-by-the-earlier-clock", lease_by_the_earlier_clock },
  { "report-of-an-earlier-start", report_of_an_earlier_start },
  { "start-that-was-known-before", start_that_was_known_before },
  { "closed-zone-takes-nothing", closed_zone_takes_nothing },
  { "cold-server-is-no-slow-one", cold_server_is_no_slow_one },
  { "refusing-server-is-not-stormed", refusing_server_is_not_stormed },
  { "crashed-server-is-not-stormed", crashed_server_is_not_stormed },
  { "unhealthy-server-is-not-stormed", unhealthy_server_is_not_stormed },
  { "crashed-server-loses-its-runs", crashed_server_loses_its_runs },
  { "runs-and-reports", runs_and_reports },
  { "room-is-kept-until-the-end", room_is_kept_until_the_end },
  { "unanswered-start-is-fenced", unanswered_start_is_fenced },
  { "astray-starts-cost-trust", astray_starts_cost_trust },
  { "unanswered-start-that-runs", unanswered_start_that_runs },
  { "settling-is-asked-again", settling_is_asked_again },
  { "fenced-start-is-sent-again", fenced_start_is_sent_again },
  { "end-overtakes-the-answer", end_overtakes_the_answer },
  { "lapsed-entry-is-stopped", lapsed_entry_is_stopped },
  { "unresolved-start-is-stopped", unresolved_start_is_stopped },
  { "old-orders-are-refused", old_orders_are_refused },
  { "strangers-end-first", strangers_end_first },
  { "token-goes-above-a-higher-one", token_goes_above_a_higher_one },
  { "silent-server-loses-its-runs", silent_server_loses_its_runs },
  { "resent-job-is-listed-once", resent_job_is_listed_once },
  { "replaced-after-notice", replaced_after_notice },
  { "refused-after-notice", refused_after_notice },
  { "start-to-a-crashed-server", start_to_a_crashed_server },
  { "start-to-a-silent-crashed-server", start_to_a_silent_crashed_server },
  { "earlier-life-is-not-believed", earlier_life_is_not_believed },
  { "late-report-of-an-unknown-instance", late_report_of_an_unknown_instance },
  { "unconfirmed-instance-is-asked-again", unconfirmed_instance_is_asked_again },
  { "unconfirmed-instance-is-forgotten", unconfirmed_instance_is_forgotten },
  { "known-instance-is-refused-meanwhile", known_instance_is_refused_meanwhile },
  { "confirmed-report-is-outdated", confirmed_report_is_outdated },
  { "other-life-answers", other_life_answers },
  { "shrunk-room-takes-nothing-more", shrunk_room_takes_nothing_more },
  { "draining-takes-nothing", draining_takes_nothing },
  { "repeated-order-is-ignored", repeated_order_is_ignored },
  { "other-run-of-a-task-is-refused", other_run_of_a_task_is_refused },
  { "order-beside-another-entrys-run", order_beside_another_entrys_run },
  { "order-beside-another-entrys-run-is-stopped",
    order_beside_another_entrys_run_is_stopped },
  { "hung-run-is-told", hung_run_is_told },
  { "long-run-is-no-straggler", long_run_is_no_straggler },
  { "ends-are-looked-for-under-starts", ends_are_looked_for_under_starts },
  { "lost-watch-is-replaced", lost_watch_is_replaced },
  { "watch-that-answers-is-kept", watch_that_answers_is_kept },
  { "slow-answers-are-waited-for", slow_answers_are_waited_for },
  { "astray-start-is-noticed-soon", astray_start_is_noticed_soon },
};

static void
test_case (gconstpointer data)
{
  const Case *c = data;
  Scene *scene = g_new0 (Scene, 1);

  c->play (scene);
  scene_close (scene);
  g_free (scene);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD_CASES ("/runner", cases, test_case);
  ADD_CASES ("/runner/silence", silence_cases, test_silence);
  return g_test_run ();
}
