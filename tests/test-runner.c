/* The runner beside a backend server that the test plays: every call to the server is
 * held until the test answers it, or never is. */
#include "cases.h"
#include "runner.h"

#include <string.h>

#define ENTRY 11
#define OTHER_ENTRY 12
#define LEASE_MS 700
#define CALLS_MAX 1024
#define REPORTS_MAX 64
#define REFUSING_MS 6000
#define DIALS_PER_S 60
/* More calls than this in one turn of the loop are a storm. */
#define STORM 200
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
on_report (guint64 entry, const RunReport *told, gpointer ctx)
{
  Scene *scene = ctx;
  Report *report;

  g_assert_cmpuint (scene->n_reports, <, REPORTS_MAX);
  report = &scene->reports[scene->n_reports++];
  report->entry = entry;
  report->key = told->key;
  report->kind = told->kind;
  scene->last_run_ms = told->run_ms;
  g_strlcpy (report->reason, told->reason, sizeof report->reason);
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
on_no_room (guint64 entry, const ResourceRequest *wish, gpointer ctx)
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

/* Return: the latest call of that kind that is not answered, or NULL. */
static Call *
open_call (Scene *scene, Called what)
{
  for (guint i = scene->n_calls; i > 0; i--)
    if (scene->calls[i - 1].what == what && !scene->calls[i - 1].answered)
      return &scene->calls[i - 1];
  return NULL;
}

static Call *
open_settle (Scene *scene)
{
  for (guint i = scene->n_calls; i > 0; i--)
    if (scene->calls[i - 1].what == CALLED_HOLD && !scene->calls[i - 1].answered
        && scene->calls[i - 1].wait_ms == 0)
      return &scene->calls[i - 1];
  return NULL;
}

static Call *
open_watch (Scene *scene)
{
  for (guint i = scene->n_calls; i > 0; i--)
    if (scene->calls[i - 1].what == CALLED_HOLD && !scene->calls[i - 1].answered
        && scene->calls[i - 1].wait_ms > 0)
      return &scene->calls[i - 1];
  return NULL;
}

static void
pass (Scene *scene, guint ms)
{
  scene->now += ms;
  scene->server_ms += ms;
  runner_tick (scene->runner, scene->now);
}

static void
tell_facts (Scene *scene, const char *instance, guint64 sequence, gboolean draining)
{
  ServerFacts facts = { .instance = instance,
                        .service = "exchange",
                        .zone = "fukuoka-a",
                        .capacity = { 4000, 1000, 0 },
                        .draining = draining,
                        .server_ms = scene->server_ms,
                        .sequence = sequence };

  runner_facts (scene->runner, &facts, scene->now);
}

static void
scene_open (Scene *scene)
{
  RunnerInit init = { &calls, scene, LEASE_MS };

  memset (scene, 0, sizeof *scene);
  scene->now = 1000;
  scene->server_ms = 500000;
  scene->runner = runner_new (&init, &ops, scene);
}

/* A server that answers and runs nothing, and an entry with a long lease. */
static void
scene_ready (Scene *scene)
{
  scene_open (scene);
  tell_facts (scene, "one", 1, FALSE);
  answer (scene, open_settle (scene), CALL_DONE);
  g_assert_true (runner_ready (scene->runner));
  runner_grant (scene->runner, ENTRY, scene->now + 60000);
  runner_tick (scene->runner, scene->now);
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
ask_start (Scene *scene, guint64 entry, const char *job, guint cpu)
{
  RunRequest request = { .entry = entry,
                         .key = key_of (job, 0, 1),
                         .payload = "p",
                         .demand = { cpu, 10, 0 },
                         .expected_ms = 100,
                         .valid_until_ms = scene->now + 250 };

  runner_start (scene->runner, &request, scene->now);
}

static void
list_end (Scene *scene, Call *call, const char *job, RunEnd how)
{
  EndedRun ended = { ++scene->ends, key_of (job, 0, 1), how };
  CallReply reply = { .end = CALL_DONE, .ended = &ended, .n_ended = 1 };

  answer_as (scene, call, reply);
}

static void
list_running (Scene *scene, Call *call, const char *job, guint percent)
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
  ask_start (scene, ENTRY, job, cpu);
  answer (scene, open_call (scene, CALLED_START), CALL_DONE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_STARTED);
}

/* Cases. */

static void
runs_and_reports (Scene *scene)
{
  scene_ready (scene);
  start_running (scene, "j", 1000);
  list_end (scene, open_watch (scene), "j", RUN_END_DONE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_DONE);
  g_assert_cmpuint (runner_count (scene->runner), ==, 0);
  g_assert_cmpuint (open_watch (scene)->ends_seen, ==, 1);
}

/* Symptom: a backend server is loaded beyond its capacity.
 * Sequence: a run is told to stop; before its end is listed the next one starts.
 * Cause: room counted as free when the stop was sent. */
static void
room_is_kept_until_the_end (Scene *scene)
{
  RunKey key = key_of ("j", 0, 1);

  scene_ready (scene);
  start_running (scene, "j", 3000);
  ask_start (scene, ENTRY, "k", 2000);
  g_assert_cmpstr (last_report (scene)->reason, ==, "no room");
  runner_stop (scene->runner, ENTRY, &key, scene->now);
  answer (scene, open_call (scene, CALLED_STOP), CALL_DONE);
  ask_start (scene, ENTRY, "k", 2000);
  g_assert_cmpstr (last_report (scene)->reason, ==, "no room");
  list_end (scene, open_watch (scene), "j", RUN_END_STOPPED);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_LOST);
  ask_start (scene, ENTRY, "k", 2000);
  g_assert_nonnull (open_call (scene, CALLED_START));
}

/* Symptom: a task runs twice at once, seconds after the first start.
 * Sequence: a start gets no answer; it is taken for lost and sent elsewhere; the server
 * carries it out late.
 * Cause: silence taken for a proof. The token is raised first: the late start is refused.
 */
static void
unanswered_start_is_fenced (Scene *scene)
{
  guint64 token;

  scene_ready (scene);
  ask_start (scene, ENTRY, "j", 1000);
  token = open_call (scene, CALLED_START)->call.token;
  answer (scene, open_call (scene, CALLED_START), CALL_UNANSWERED);
  g_assert_cmpuint (scene->n_reports, ==, 0);
  g_assert_cmpuint (open_settle (scene)->call.token, >, token);
  answer (scene, open_settle (scene), CALL_DONE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_NOT_STARTED);
  g_assert_cmpuint (runner_count (scene->runner), ==, 0);
}

/* Symptom: a task is sent again and again to a server that never answers a start.
 * Sequence: its starts go astray, everything else it answers.
 * Cause: only ends of runs told of its quality. */
static void
astray_starts_cost_trust (Scene *scene)
{
  scene_ready (scene);
  for (guint i = 0; i < 6; i++)
    {
      char job[2] = { (char)('a' + i), '\0' };

      ask_start (scene, ENTRY, job, 1000);
      answer (scene, open_call (scene, CALLED_START), CALL_UNANSWERED);
      answer (scene, open_settle (scene), CALL_DONE);
    }
  g_assert_cmpint (runner_quality (scene->runner)->trust, ==, TRUST_NONE);
}

static void
unanswered_start_that_runs (Scene *scene)
{
  scene_ready (scene);
  ask_start (scene, ENTRY, "j", 1000);
  answer (scene, open_call (scene, CALLED_START), CALL_UNANSWERED);
  list_running (scene, open_settle (scene), "j", 1);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_STARTED);
  g_assert_cmpuint (runner_count (scene->runner), ==, 1);
}

/* The settling call goes astray as well: it is asked again, and nothing is said before.
 */
static void
settling_is_asked_again (Scene *scene)
{
  scene_ready (scene);
  ask_start (scene, ENTRY, "j", 1000);
  answer (scene, open_call (scene, CALLED_START), CALL_UNANSWERED);
  answer (scene, open_settle (scene), CALL_UNANSWERED);
  g_assert_cmpuint (scene->n_reports, ==, 0);
  pass (scene, 50);
  answer (scene, open_settle (scene), CALL_DONE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_NOT_STARTED);
}

/* A start that was under way when the token rose is refused for that alone: it is sent
 * again under the new one. */
static void
fenced_start_is_sent_again (Scene *scene)
{
  Call *first;

  scene_ready (scene);
  ask_start (scene, ENTRY, "j", 1000);
  first = open_call (scene, CALLED_START);
  answer (scene, first, CALL_FENCED);
  g_assert_cmpuint (open_call (scene, CALLED_START)->call.token, >, first->call.token);
  answer (scene, open_call (scene, CALLED_START), CALL_DONE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_STARTED);
}

/* The list of ends comes over another connection than the start's answer. */
static void
end_overtakes_the_answer (Scene *scene)
{
  scene_ready (scene);
  ask_start (scene, ENTRY, "j", 1000);
  list_end (scene, open_watch (scene), "j", RUN_END_DONE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_DONE);
  answer (scene, open_call (scene, CALLED_START), CALL_DONE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_DONE);
  g_assert_cmpuint (scene->n_reports, ==, 2);
}

/* Symptom: a task runs twice at once after its entry was killed.
 * Sequence: the caller sends the job to another entry, which starts it elsewhere, while
 * the first run goes on.
 * Cause: nobody stopped what no entry answers for any more. */
static void
lapsed_entry_is_stopped (Scene *scene)
{
  guint stops = 0;

  scene_ready (scene);
  runner_grant (scene->runner, OTHER_ENTRY, scene->now + 300);
  ask_start (scene, OTHER_ENTRY, "j", 1000);
  answer (scene, open_call (scene, CALLED_START), CALL_DONE);
  pass (scene, 250);
  g_assert_null (open_call (scene, CALLED_STOP));
  pass (scene, 100);
  g_assert_nonnull (open_call (scene, CALLED_STOP));
  answer (scene, open_call (scene, CALLED_STOP), CALL_UNANSWERED);
  for (guint i = 0; i < 4; i++)
    pass (scene, 50);
  for (guint i = 0; i < scene->n_calls; i++)
    stops += scene->calls[i].what == CALLED_STOP;
  g_assert_cmpuint (stops, ==, 3);
}

/* Symptom: a job that was given up starts seconds later.
 * Sequence: an agent that was frozen finds an old order in its socket.
 * Cause: orders without an age. */
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

/* Symptom: a server is over its capacity right after its agent was restarted.
 * Sequence: the new agent counts the room as free while runs of the old one go on.
 * Cause: it did not ask what runs there. */
static void
strangers_end_first (Scene *scene)
{
  scene_open (scene);
  tell_facts (scene, "one", 1, FALSE);
  list_running (scene, open_settle (scene), "old", 30);
  g_assert_false (runner_ready (scene->runner));
  g_assert_cmpstr (open_call (scene, CALLED_STOP)->key.job, ==, "old");
  pass (scene, 50);
  answer (scene, open_settle (scene), CALL_DONE);
  g_assert_true (runner_ready (scene->runner));
}

/* Another agent's token is higher than the clock that was reported: ours goes above it.
 */
static void
token_goes_above_a_higher_one (Scene *scene)
{
  guint64 token;

  scene_open (scene);
  tell_facts (scene, "one", 1, FALSE);
  token = open_settle (scene)->call.token;
  scene->server_ms += 5000;
  answer (scene, open_settle (scene), CALL_FENCED);
  pass (scene, 50);
  g_assert_cmpuint (open_settle (scene)->call.token, >=, token + 5000);
  answer (scene, open_settle (scene), CALL_DONE);
  g_assert_true (runner_ready (scene->runner));
}

/* Symptom: runs are reported lost while the server still works on them, or never.
 * Sequence: the server falls silent.
 * Cause: a limit that is not the lease that the server holds. */
static void
silent_server_loses_its_runs (Scene *scene)
{
  scene_ready (scene);
  start_running (scene, "j", 1000);
  pass (scene, LEASE_MS - 50);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_STARTED);
  for (guint i = 0; i < 40 && last_report (scene)->kind == REPORT_STARTED; i++)
    {
      scene->now += 50;
      for (guint j = 0; j < scene->n_calls; j++)
        if (!scene->calls[j].answered)
          {
            scene->calls[j].answered = TRUE;
            scene->calls[j].call.replied (
                &(CallReply){ .end = CALL_UNANSWERED, .now_ms = scene->now },
                scene->calls[j].call.ctx, scene->calls[j].call.cookie);
          }
      scene->n_calls = 0;
      runner_tick (scene->runner, scene->now);
    }
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_SERVER_ENDED);
  g_assert_false (runner_ready (scene->runner));
}

/* Symptom: an agent drives a backend server that has restarted as if it had not.
 * Sequence: a report of the earlier life was held up in a cut and comes after the first
 * one of the new life.
 * Cause: the last report to arrive taken for the newest. */
static void
earlier_life_is_not_believed (Scene *scene)
{
  scene_ready (scene);
  start_running (scene, "j", 1000);
  tell_facts (scene, "two", 1, FALSE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_SERVER_ENDED);
  tell_facts (scene, "one", 9, FALSE);
  g_assert_cmpstr (runner_instance (scene->runner), ==, "two");
}

static void
tell_room (Scene *scene, guint64 sequence, guint cpu)
{
  ServerFacts facts = { .instance = "one",
                        .service = "exchange",
                        .zone = "fukuoka-a",
                        .capacity = { cpu, 1000, 0 },
                        .server_ms = scene->server_ms,
                        .sequence = sequence };

  runner_facts (scene->runner, &facts, scene->now);
}

/* Symptom: a backend server is loaded beyond its capacity.
 * Sequence: its room shrinks below what runs there; a run is told to stop; more is asked
 *   for. The room grows again.
 * Cause: room counted by what it was, or as free before the end of the stop is listed. */
static void
shrunk_room_takes_nothing_more (Scene *scene)
{
  RunKey key = key_of ("j", 0, 1);

  scene_ready (scene);
  start_running (scene, "j", 3000);
  tell_room (scene, 100, 2000);
  ask_start (scene, ENTRY, "k", 500);
  g_assert_cmpstr (last_report (scene)->reason, ==, "no room");
  runner_stop (scene->runner, ENTRY, &key, scene->now);
  answer (scene, open_call (scene, CALLED_STOP), CALL_DONE);
  ask_start (scene, ENTRY, "k", 500);
  g_assert_cmpstr (last_report (scene)->reason, ==, "no room");
  list_end (scene, open_watch (scene), "j", RUN_END_STOPPED);
  ask_start (scene, ENTRY, "l", 2500);
  g_assert_cmpstr (last_report (scene)->reason, ==, "no room");
  tell_room (scene, 101, 4000);
  ask_start (scene, ENTRY, "l", 2500);
  g_assert_nonnull (open_call (scene, CALLED_START));
}

static void
other_life_answers (Scene *scene)
{
  scene_ready (scene);
  start_running (scene, "j", 1000);
  answer (scene, open_watch (scene), CALL_OTHER_LIFE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_SERVER_ENDED);
  g_assert_false (runner_ready (scene->runner));
}

static void
draining_takes_nothing (Scene *scene)
{
  scene_ready (scene);
  tell_facts (scene, "one", 2, TRUE);
  ask_start (scene, ENTRY, "j", 1000);
  g_assert_cmpstr (last_report (scene)->reason, ==, "backend server is draining");
}

/* Symptom: a run that goes on is reported as never started, and runs a second time.
 * Sequence: an order is repeated over a new link.
 * Cause: the repetition refused under the number of the run itself. */
static void
repeated_order_is_ignored (Scene *scene)
{
  scene_ready (scene);
  start_running (scene, "j", 1000);
  ask_start (scene, ENTRY, "j", 1000);
  g_assert_cmpuint (scene->n_reports, ==, 1);
  runner_grant (scene->runner, OTHER_ENTRY, scene->now + 1000);
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

/* Symptom: jobs wait to their deadline for one task on a server that hangs.
 * Sequence: all tasks on the server stand still while it answers and renews leases.
 * Cause: progress not looked at. */
static void
hung_run_is_told (Scene *scene)
{
  scene_ready (scene);
  start_running (scene, "j", 1000);
  for (guint i = 0; i < 4; i++)
    {
      pass (scene, 100);
      list_running (scene, open_settle (scene), "j", 20);
    }
  g_assert_cmpuint (scene->stragglers, >, 0);
  g_assert_cmpuint (scene->remaining_ms, >, 10000);
  g_assert_cmpint (runner_quality (scene->runner)->trust, ==, TRUST_NONE);
}

/* A task that is just longer than declared is no straggler: it would be so anywhere. */
static void
long_run_is_no_straggler (Scene *scene)
{
  scene_ready (scene);
  start_running (scene, "j", 1000);
  for (guint i = 0; i < 8; i++)
    {
      pass (scene, 100);
      list_running (scene, open_settle (scene), "j", 5 * (i + 1));
    }
  g_assert_cmpuint (scene->stragglers, ==, 0);
  g_assert_cmpint (runner_quality (scene->runner)->trust, ==, TRUST_FULL);
}

/* What each answer takes, and how many calls may be lost to find that out. */
#define SLOW_ANSWER_MS 25
#define CALLS_TO_ADAPT 8

/* Symptom: a backend server on a slow VM is never used, though it answers every call.
 * Sequence: its answers take 25 ms; each call is given up after 15 ms, as the first ones
 * were. Cause: the limit was learned only from answers that came within it. */
static void
slow_answers_are_waited_for (Scene *scene)
{
  guint lost = 0;

  scene_open (scene);
  tell_facts (scene, "one", 1, FALSE);
  while (open_settle (scene)->call.timeout_ms < SLOW_ANSWER_MS)
    {
      g_assert_cmpuint (lost++, <, CALLS_TO_ADAPT);
      pass (scene, open_settle (scene)->call.timeout_ms);
      answer (scene, open_settle (scene), CALL_UNANSWERED);
      pass (scene, 1);
    }
  pass (scene, SLOW_ANSWER_MS);
  answer (scene, open_settle (scene), CALL_DONE);
  g_assert_true (runner_ready (scene->runner));
}

typedef struct
{
  const char *name;
  void (*play) (Scene *scene);
} Case;

/* Symptom: a server that answers looks idle for a second while its runs have ended; half
 * of the room of a backend server that loses answers goes unused. Sequence: the answer of
 * the call that waits for ends is lost; runs end; starts go on. Cause: starts renew the
 * lease, so that no look for its sake is due, and only the waiting call would tell the
 * ends. */
static void
ends_are_looked_for_under_starts (Scene *scene)
{
  guint looks = 0;

  scene_ready (scene);
  for (guint i = 0; i < 4; i++)
    {
      char *job = g_strdup_printf ("j%u", i);

      start_running (scene, job, 100);
      pass (scene, RUNNER_TICK_MS);
      g_free (job);
    }
  for (guint i = 0; i < scene->n_calls; i++)
    looks += scene->calls[i].what == CALLED_HOLD && scene->calls[i].wait_ms == 0
             && !scene->calls[i].answered;
  g_assert_cmpuint (looks, >, 0);
}

static guint
open_watches (const Scene *scene)
{
  guint n = 0;

  for (guint i = 0; i < scene->n_calls; i++)
    n += scene->calls[i].what == CALLED_HOLD && !scene->calls[i].answered
         && scene->calls[i].wait_ms > 0;
  return n;
}

/* Symptom: each end on a backend server is told up to 100 ms late, for a second.
 * Sequence: the answer of the waiting call is lost with its connection; a look finds an
 * end that this call should have told. Cause: the call is waited for until its timeout.
 */
static void
lost_watch_is_replaced (Scene *scene)
{
  scene_ready (scene);
  g_assert_cmpuint (open_watches (scene), ==, 1);
  start_running (scene, "j", 1000);
  start_running (scene, "k", 1000);
  pass (scene, 2 * RUNNER_TICK_MS);
  list_end (scene, open_settle (scene), "j", RUN_END_DONE);
  pass (scene, RUNNER_TICK_MS);
  g_assert_cmpuint (open_watches (scene), >=, 2);
  g_assert_cmpuint (open_watch (scene)->ends_seen, ==, 1);
  list_end (scene, open_watch (scene), "k", RUN_END_DONE);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_DONE);
}

/* The answers of a look and of the waiting call often come together: that is no loss. */
static void
watch_that_answers_is_kept (Scene *scene)
{
  Call *look;

  scene_ready (scene);
  start_running (scene, "j", 1000);
  pass (scene, 2 * RUNNER_TICK_MS);
  look = open_settle (scene);
  list_end (scene, look, "j", RUN_END_DONE);
  scene->ends--;
  list_end (scene, open_watch (scene), "j", RUN_END_DONE);
  pass (scene, RUNNER_TICK_MS);
  g_assert_cmpuint (open_watches (scene), ==, 1);
}

/* Symptom: with orders that get lost on the way, short tasks miss their objective.
 * Sequence: a start goes astray, and the next, each waited for.
 * Cause: the wait, and not the proof that follows it, took most of the time. A server
 * whose answers usually take long is given longer. */
static void
astray_start_is_noticed_soon (Scene *scene)
{
  guint quick_ms;

  scene_ready (scene);
  ask_start (scene, ENTRY, "j", 100);
  quick_ms = open_call (scene, CALLED_START)->call.timeout_ms;
  g_assert_cmpuint (quick_ms, <=, 20);
  for (guint i = 0; i < 20; i++)
    {
      Call *call = open_call (scene, CALLED_START);

      scene->now += 12;
      answer (scene, call, CALL_NO_ROOM);
      ask_start (scene, ENTRY, "k", 100);
    }
  g_assert_cmpuint (open_call (scene, CALLED_START)->call.timeout_ms, >,
                    quick_ms + quick_ms);
}

/* The server refuses connections for 6 s: an answer fails as soon as it is asked for.
 * Guards against calling it thousands of times, each over a new connection. */
static void
refusing_server_is_not_stormed (Scene *scene)
{
  scene_ready (scene);
  ask_start (scene, ENTRY, "j", 1000);
  for (guint ms = 0; ms < REFUSING_MS; ms += RUNNER_TICK_MS)
    {
      guint before = scene->n_calls;

      for (guint i = 0; i < scene->n_calls && scene->n_calls < before + STORM; i++)
        if (!scene->calls[i].answered)
          answer (scene, &scene->calls[i], CALL_UNANSWERED);
      pass (scene, RUNNER_TICK_MS);
    }
  g_assert_cmpuint (scene->n_calls, <=, (guint64)REFUSING_MS / 1000 * DIALS_PER_S);
  /* It is back: a call finds that out soon. */
  pass (scene, RUNNER_TICK_MS);
  answer (scene, open_settle (scene), CALL_DONE);
  g_assert_true (runner_ready (scene->runner));
}

static void
tell_cold (Scene *scene, guint64 sequence, guint cold_ms)
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

/* A server that has just started is slow for a while. Guards against taking it for slow
 * afterwards. */
static void
cold_server_is_no_slow_one (Scene *scene)
{
  scene_ready (scene);
  tell_cold (scene, 2, COLD_MS);
  for (guint i = 0; i < 5; i++)
    {
      start_running (scene, "j", 1000);
      pass (scene, 4 * RUNNER_TICK_MS);
      list_end (scene, open_watch (scene), "j", RUN_END_DONE);
      g_assert_cmpuint (scene->last_run_ms, ==, 0);
    }
  g_assert_cmpfloat (runner_quality (scene->runner)->slowness, >, 1.2);
  pass (scene, COLD_MS);
  g_assert_cmpfloat (runner_quality (scene->runner)->slowness, ==, 1);
  /* Cold again, it is taken to be as slow as it was. */
  tell_cold (scene, 3, COLD_MS);
  g_assert_cmpfloat (runner_quality (scene->runner)->slowness, >, 1.2);
}

/* The operator takes the machines of the zone away. Guards against an entry that has not
 * heard of it. */
static void
closed_zone_takes_nothing (Scene *scene)
{
  guint calls;

  scene_ready (scene);
  start_running (scene, "j", 1000);
  runner_close_zone (scene->runner, TRUE);
  calls = scene->n_calls;
  ask_start (scene, ENTRY, "k", 1000);
  g_assert_cmpuint (scene->n_calls, ==, calls);
  g_assert_cmpint (last_report (scene)->kind, ==, REPORT_NOT_STARTED);
  g_assert_cmpstr (last_report (scene)->reason, ==, "availability zone is closed");
  g_assert_cmpuint (runner_count (scene->runner), ==, 1);
  runner_close_zone (scene->runner, FALSE);
  start_running (scene, "l", 1000);
}

static const Case cases[] = {
  { "closed-zone-takes-nothing", closed_zone_takes_nothing },
  { "cold-server-is-no-slow-one", cold_server_is_no_slow_one },
  { "refusing-server-is-not-stormed", refusing_server_is_not_stormed },
  { "runs-and-reports", runs_and_reports },
  { "room-is-kept-until-the-end", room_is_kept_until_the_end },
  { "unanswered-start-is-fenced", unanswered_start_is_fenced },
  { "astray-starts-cost-trust", astray_starts_cost_trust },
  { "unanswered-start-that-runs", unanswered_start_that_runs },
  { "settling-is-asked-again", settling_is_asked_again },
  { "fenced-start-is-sent-again", fenced_start_is_sent_again },
  { "end-overtakes-the-answer", end_overtakes_the_answer },
  { "lapsed-entry-is-stopped", lapsed_entry_is_stopped },
  { "old-orders-are-refused", old_orders_are_refused },
  { "strangers-end-first", strangers_end_first },
  { "token-goes-above-a-higher-one", token_goes_above_a_higher_one },
  { "silent-server-loses-its-runs", silent_server_loses_its_runs },
  { "earlier-life-is-not-believed", earlier_life_is_not_believed },
  { "other-life-answers", other_life_answers },
  { "shrunk-room-takes-nothing-more", shrunk_room_takes_nothing_more },
  { "draining-takes-nothing", draining_takes_nothing },
  { "repeated-order-is-ignored", repeated_order_is_ignored },
  { "other-run-of-a-task-is-refused", other_run_of_a_task_is_refused },
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
  return g_test_run ();
}
