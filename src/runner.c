#define LOG_MODULE "runner"
#include "counters.h"
#include "events.h"
#include "orders.h"
#include "runner_parts.h"

#include <string.h>

/* How often the server is polled while something runs; each poll renews its lease. A hung
 * task of 60 ms is found while it can still be run elsewhere in time. */
#define POLL_MS 100
/* After so many unanswered calls in a row the server is unresponsive; single ones get
 * lost. With polls every 100 ms and 150 ms to answer, that takes about 350 ms. */
#define UNRESPONSIVE_CALLS 3
/* Time for a call to arrive at the server, unless it is delayed: the longest timeout. */
#define CALL_ARRIVAL_MS 150
/* A stop is resent until the end of the run is listed. */
#define STOP_RESEND_MS 100
/* How long ended runs are listed to an entry that reconnects; after a longer break it has
 * lost its lease and given them up. */
#define PAST_RUN_MS 3000

static const char *const report_names[]
    = { "started", "not-started", "done",         "failed",
        "lost",    "straggles",   "server-ended", "server-silent" };

Runner *
runner_new (const RunnerInit *init, const RunnerOps *ops, gpointer ctx)
{
  Runner *runner = g_new0 (Runner, 1);

  runner->init = *init;
  runner->ops = ops;
  runner->ctx = ctx;
  runner->entry_leases
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  runner->past_instances = g_new0 (char *, PAST_INSTANCES);
  TAILQ_INIT (&runner->runs);
  TAILQ_INIT (&runner->past);
  TAILQ_INIT (&runner->silent);
  return runner;
}

static void
run_free (Runner *runner, Run *run)
{
  TAILQ_REMOVE (&runner->runs, run, link);
  runner->n_runs--;
  demand_subtract (&runner->used, &run->demand);
  g_free (run->payload);
  g_free (run);
}

/* Forgets the runs that ended before @until_ms. */
static void
forget_past_runs (PastRuns *runs, gint64 until_ms)
{
  PastRun *past;

  while ((past = TAILQ_FIRST (runs)) != NULL && past->ended_ms < until_ms)
    {
      TAILQ_REMOVE (runs, past, link);
      g_free (past);
    }
}

void
runner_free (Runner *runner)
{
  Run *run;

  if (runner == NULL)
    return;
  while ((run = TAILQ_FIRST (&runner->runs)) != NULL)
    run_free (runner, run);
  forget_past_runs (&runner->past, G_MAXINT64);
  forget_past_runs (&runner->silent, G_MAXINT64);
  for (guint i = 0; i < PAST_INSTANCES; i++)
    g_free (runner->past_instances[i]);
  g_free (runner->past_instances);
  g_hash_table_unref (runner->entry_leases);
  runner_drop_candidate (runner);
  g_free (runner->instance);
  g_free (runner->name);
  g_free (runner->kind);
  g_free (runner);
}

void
runner_close (Runner *runner)
{
  runner->instance_epoch++;
  runner_drop_candidate (runner);
  runner->state = INSTANCE_UNKNOWN;
}

Run *
runner_find (const Runner *runner, const RunKey *key)
{
  Run *run;

  TAILQ_FOREACH (run, &runner->runs, link)
    if (run_key_equal (&run->key, key))
      return run;
  return NULL;
}

static Run *
find_any_run (const Runner *runner, const RunKey *key)
{
  Run *run;

  TAILQ_FOREACH (run, &runner->runs, link)
    if (run->key.index == key->index && strcmp (run->key.job, key->job) == 0)
      return run;
  return NULL;
}

static void
emit_report (Runner *runner, guint64 entry, const RunReport *report)
{
  event_emit ("task-report", report->key.job,
              "task=%u run=%u outcome=%s reason=\"%s\" run_ms=%u server=%s",
              report->key.index, report->key.run, report_names[report->kind],
              report->reason, report->run_ms,
              runner->instance != NULL ? runner->instance : "-");
  runner->ops->report (entry, report, runner->ctx);
}

/* Reports the order that waits for the end of @run as not started: the server refuses a
 * run whose number is not above that of one that ended there. */
static void
refuse_next (Runner *runner, Run *run)
{
  RunReport refused = { run->next_key, REPORT_NOT_STARTED, "superseded" };
  guint64 entry = run->next_entry;

  run->next_entry = 0;
  if (entry != 0)
    emit_report (runner, entry, &refused);
}

void
run_end (Runner *runner, Run *run, ReportKind kind, const char *reason)
{
  PastRun *past = g_new0 (PastRun, 1);
  gboolean undecided = kind == REPORT_SERVER_SILENT;

  past->started = run->started_ms > 0;
  if (kind == REPORT_SERVER_ENDED && !past->started)
    kind = REPORT_SERVER_SILENT;
  past->report.key = run->key;
  past->report.kind = kind;
  past->report.reason = reason;
  /* The run time on a cold server is no measure of the task. */
  if (run->started_ms > 0 && !runner->cold)
    past->report.run_ms = (guint)MAX (runner->now_ms - run->started_ms, 1);
  past->entry = run->entry;
  past->ended_ms = runner->now_ms;
  TAILQ_INSERT_TAIL (undecided ? &runner->silent : &runner->past, past, link);
  refuse_next (runner, run);
  run_free (runner, run);
  emit_report (runner, past->entry, &past->report);
  runner->ops->changed (runner->ctx);
}

void
runner_lose_all (Runner *runner, ReportKind kind, const char *reason)
{
  Run *run;

  while ((run = TAILQ_FIRST (&runner->runs)) != NULL)
    run_end (runner, run, kind, reason);
}

void
runner_resolve_silent (Runner *runner, ReportKind kind, const char *reason)
{
  PastRun *past;

  while ((past = TAILQ_FIRST (&runner->silent)) != NULL)
    {
      TAILQ_REMOVE (&runner->silent, past, link);
      TAILQ_INSERT_TAIL (&runner->past, past, link);
      past->ended_ms = runner->now_ms;
      if (kind == REPORT_SERVER_ENDED && !past->started)
        continue;
      past->report.kind = kind;
      past->report.reason = reason;
      emit_report (runner, past->entry, &past->report);
    }
}

gboolean
runner_server_is_unresponsive (const Runner *runner)
{
  return runner->unanswered >= UNRESPONSIVE_CALLS;
}

static gint64
lease_until (const Runner *runner, guint64 entry)
{
  gint64 *until = g_hash_table_lookup (runner->entry_leases, &entry);

  return until != NULL ? *until : 0;
}

const char *
runner_leaving_refusal (const Runner *runner, guint expected_ms)
{
  if (!runner->server_draining)
    return NULL;
  return leaving_refusal (&runner->leaving,
                          expected_ms * server_speed_ratio (&runner->server_speed),
                          runner->now_ms);
}

/* The entry chose the server that was there before. */
static gboolean
is_for_earlier_server (const Runner *runner, const RunRequest *request)
{
  if (request->generation == 0 || request->generation == runner->generation)
    return FALSE;
  counter_add (COUNTER_STARTS_REPLACED, 1);
  event_emit ("start-outdated", request->key.job,
              "task=%u run=%u generation=%u present=%u server=%s", request->key.index,
              request->key.run, request->generation, runner->generation,
              runner->instance != NULL ? runner->instance : "-");
  return TRUE;
}

/* Return: NULL, or why the start must be refused, capacity aside. */
static const char *
refusal (const Runner *runner, const RunRequest *request)
{
  const char *reason;

  if (is_for_earlier_server (runner, request))
    return ORDER_REPLACED;
  if (!runner_ready (runner))
    return "backend server not ready";
  if (runner_server_is_unresponsive (runner))
    return "backend server is silent";
  if (runner->draining)
    return "agent is leaving";
  reason = runner_leaving_refusal (runner, request->expected_ms);
  if (reason != NULL)
    return reason;
  if (runner->zone_closed)
    return "availability zone is closed";
  if (runner->now_ms > request->valid_until_ms)
    return "order too old";
  if (runner->now_ms > lease_until (runner, request->entry))
    return "entry's lease has lapsed";
  if (find_any_run (runner, &request->key) != NULL)
    return "another run of the task is here";
  return NULL;
}

static void
note_leaving_start (const Runner *runner, const Run *run)
{
  counter_add (COUNTER_STARTS_LEAVING, 1);
  event_emit ("leaving-start", run->key.job,
              "task=%u run=%u server=%s expected_ms=%u leaving_ms=%u", run->key.index,
              run->key.run, runner->instance, run->expected_ms,
              runner_leaving_ms (runner, runner->now_ms));
}

/* A job that is sent again begins to count its runs anew. */
static void
forget_run (PastRuns *runs, const RunRequest *request)
{
  PastRun *past;
  PastRun *next;

  for (past = TAILQ_FIRST (runs); past != NULL; past = next)
    {
      next = TAILQ_NEXT (past, link);
      if (past->entry != request->entry
          || !run_key_equal (&past->report.key, &request->key))
        continue;
      TAILQ_REMOVE (runs, past, link);
      g_free (past);
    }
}

/* The caller has sent its job again, to another entry. Until the first entry's run has
 * ended, the task must not be started elsewhere either. */
static gboolean
wait_for_run (Runner *runner, const RunRequest *request)
{
  Run *run = find_any_run (runner, &request->key);

  if (run == NULL || run->entry == request->entry)
    return FALSE;
  if (run->next_entry == request->entry && run_key_equal (&run->next_key, &request->key))
    return TRUE;
  refuse_next (runner, run);
  run->next_entry = request->entry;
  run->next_key = request->key;
  event_emit ("start-waits", run->key.job, "task=%u run=%u here=%u stopping=%d",
              request->key.index, request->key.run, run->key.run,
              run->stop_reason != NULL);
  return TRUE;
}

void
runner_start (Runner *runner, const RunRequest *request, gint64 now_ms)
{
  const char *reason;
  Run *run;

  runner->now_ms = now_ms;
  if (wait_for_run (runner, request) || runner_find (runner, &request->key) != NULL)
    return;
  forget_run (&runner->past, request);
  forget_run (&runner->silent, request);
  reason = refusal (runner, request);
  counter_add (COUNTER_STARTS_ZONE_CLOSED, reason != NULL && runner->zone_closed);
  counter_add (COUNTER_STARTS_LEAVING_REFUSED,
               runner_leaving_refusal (runner, request->expected_ms) != NULL);
  if (reason == NULL && !demand_fits (&runner->capacity, &runner->used, &request->demand))
    {
      runner->ops->no_room (request->entry, &request->resources, runner->ctx);
      reason = "no room";
    }
  if (reason != NULL)
    {
      RunReport refused = { request->key, REPORT_NOT_STARTED, reason };

      emit_report (runner, request->entry, &refused);
      return;
    }
  run = g_new0 (Run, 1);
  run->key = request->key;
  run->entry = request->entry;
  run->payload = g_strdup (request->payload);
  run->demand = request->demand;
  run->valid_until_ms = request->valid_until_ms;
  run->expected_ms = MAX (request->expected_ms, 1);
  TAILQ_INSERT_TAIL (&runner->runs, run, link);
  runner->n_runs++;
  demand_add (&runner->used, &run->demand);
  if (runner->server_draining)
    note_leaving_start (runner, run);
  runner_send_start (runner, run);
  runner->ops->changed (runner->ctx);
}

static void
stop_run (Runner *runner, Run *run, const char *reason)
{
  if (run->stop_reason == NULL)
    {
      run->stop_reason = reason;
      event_emit ("task-stopping", run->key.job, "task=%u run=%u reason=\"%s\"",
                  run->key.index, run->key.run, reason);
    }
  /* A stop that overtakes an unresolved start makes the server refuse it. */
  if (run->state == RUN_STARTING || runner->state == INSTANCE_UNKNOWN
      || runner->now_ms - run->stop_sent_ms < STOP_RESEND_MS)
    return;
  run->stop_sent_ms = runner->now_ms;
  runner_send_stop (runner, &run->key);
}

void
runner_stop_all (Runner *runner, const char *reason)
{
  Run *run;

  TAILQ_FOREACH (run, &runner->runs, link)
    stop_run (runner, run, reason);
}

void
runner_stop (Runner *runner, guint64 entry, const RunKey *key, gint64 now_ms)
{
  Run *run = find_any_run (runner, key);

  runner->now_ms = now_ms;
  if (run == NULL)
    return;
  if (run->next_entry == entry && run_key_equal (&run->next_key, key))
    refuse_next (runner, run);
  else if (run->entry == entry && run_key_equal (&run->key, key))
    stop_run (runner, run, "stopped by its entry");
}

void
runner_extend_lease (Runner *runner, guint64 entry, gint64 until_ms)
{
  gint64 *until = g_hash_table_lookup (runner->entry_leases, &entry);

  if (until != NULL)
    *until = MAX (*until, until_ms);
  else
    g_hash_table_insert (runner->entry_leases, g_memdup2 (&entry, sizeof entry),
                         g_memdup2 (&until_ms, sizeof until_ms));
}

/* The jobs of an entry that was killed, frozen or cut off may be started anew elsewhere:
 * its runs are stopped once it no longer extends their lease. */
static void
stop_unleased (Runner *runner)
{
  Run *run;

  TAILQ_FOREACH (run, &runner->runs, link)
    {
      if (run->stop_reason != NULL)
        stop_run (runner, run, run->stop_reason);
      else if (runner->now_ms > lease_until (runner, run->entry))
        stop_run (runner, run, "entry's lease lapsed");
    }
}

static gboolean
entry_lease_is_old (gpointer key, gpointer value, gpointer ctx)
{
  const Runner *runner = ctx;

  return runner->now_ms - *(gint64 *)value > PAST_RUN_MS;
}

guint
runner_restart_lease_ms (const Runner *runner)
{
  guint lease_ms = MAX (runner->init.lease_ms, runner->init.lease_max_ms);

  if (g_strcmp0 (runner->instance, runner->name) == 0)
    return 0;
  return lease_ms + lease_ms * SERVER_CLOCK_SLOW_PERCENT / 100;
}

/* The clock of a server that has restarted under its name says nothing of the leases of
 * its earlier instance's calls. */
static gboolean
restart_lease_is_over (const Runner *runner)
{
  guint lease_ms = runner_restart_lease_ms (runner);

  return lease_ms == 0
         || runner->now_ms > runner->extended_ms + CALL_ARRIVAL_MS + lease_ms;
}

gboolean
runner_server_lease_is_over (const Runner *runner)
{
  gint64 server_ms
      = peer_clock_least (&runner->clock, runner->now_ms, SERVER_CLOCK_SLOW_PERCENT);

  return server_ms > runner->server_lease_until && restart_lease_is_over (runner);
}

/* A held start outlasts the lease. */
static gboolean
any_run_needs_lease (const Runner *runner)
{
  const Run *run;

  TAILQ_FOREACH (run, &runner->runs, link)
    if (!run->held || run->started_ms > 0)
      return TRUE;
  return FALSE;
}

/* A server that has not answered for longer than its lease has ended all its runs. That
 * it crashed is shown only by a later start of it: it may have been hung, cut off or
 * merely slow, or this process may. When it answers again, what runs there must be listed
 * first. */
static void
check_server_lease (Runner *runner)
{
  if (!runner_server_lease_is_over (runner) || !any_run_needs_lease (runner))
    return;
  event_emit ("server-lease-lapsed", "-",
              "server=%s runs=%u answer_age_ms=%" G_GINT64_FORMAT, runner->instance,
              runner->n_runs, runner->now_ms - runner->clock.received_ms);
  counter_add (COUNTER_SERVERS_SILENT, 1);
  runner_lose_silent (runner);
  runner->token++;
  runner_set_state (runner, INSTANCE_CLEARING);
}

static void
tick_server_health (Runner *runner)
{
  Trust before = runner->server_health.trust;

  if (runner->n_runs == 0)
    runner->server_health.stalls = 0;
  server_health_tick (&runner->server_health, runner->now_ms);
  if (runner->server_health.trust != before)
    runner->ops->changed (runner->ctx);
}

/* Polls renew the lease and list the runs, so whichever is older counts. Starts renew the
 * lease too, but their answers list no runs: by the lease alone, ends on a loaded server
 * went unseen for up to 1.3 s if the answer that listed them was lost. */
static gboolean
poll_is_due (const Runner *runner)
{
  gint64 last_ms = MIN (runner->lease_sent_ms, runner->listed_ms);

  return runner->n_runs > 0 && runner->now_ms - last_ms >= POLL_MS;
}

void
runner_tick (Runner *runner, gint64 now_ms)
{
  runner->now_ms = now_ms;
  forget_past_runs (&runner->past, now_ms - PAST_RUN_MS);
  forget_past_runs (&runner->silent, now_ms - RESTART_SEEN_MS);
  g_hash_table_foreach_remove (runner->entry_leases, entry_lease_is_old, runner);
  runner_check_held (runner);
  runner_check_candidate (runner);
  if (runner->state == INSTANCE_UNKNOWN)
    return;
  runner_check_cold (runner);
  runner_check_leaving (runner);
  tick_server_health (runner);
  if (runner->left_ms > 0)
    runner_check_left (runner);
  else
    check_server_lease (runner);
  if (runner->state == INSTANCE_UNKNOWN)
    return;
  stop_unleased (runner);
  if (runner->state == INSTANCE_CLEARING || runner_must_reconcile (runner))
    runner_send_reconcile (runner);
  if (poll_is_due (runner))
    runner_send_poll (runner);
  long_polls_check (&runner->long_polls, now_ms);
  runner_open_long_polls (runner);
}

void
runner_drain (Runner *runner)
{
  runner->draining = TRUE;
  runner->ops->changed (runner->ctx);
}

void
runner_set_zone_closed (Runner *runner, gboolean closed)
{
  if (runner->zone_closed == closed)
    return;
  runner->zone_closed = closed;
  runner->ops->changed (runner->ctx);
}
