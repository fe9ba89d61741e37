#define LOG_MODULE "runner"
#include "counters.h"
#include "events.h"
#include "runner_parts.h"

#include <string.h>

#define RESTARTED "backend server restarted"
#define LEFT "backend server left"
#define SILENT "backend server out of reach"
/* A call is over after 150 ms. A server that restarts at once has reported by then; jobs
 * are not to wait longer for one that does not. */
#define HELD_AFTER_LEAVE_MS 3000

void
runner_set_state (Runner *runner, InstanceState state)
{
  if (runner->state == state)
    return;
  runner->state = state;
  event_emit ("server-state", "-", "server=%s state=%s token=%" G_GUINT64_FORMAT,
              runner->instance != NULL ? runner->instance : "-",
              state == INSTANCE_READY      ? "ready"
              : state == INSTANCE_CLEARING ? "clearing"
                                           : "unknown",
              runner->token);
  runner->ops->changed (runner->ctx);
}

guint64
runner_clock_token (const Runner *runner, gint64 server_ms)
{
  return runner->clock_base + (guint64)server_ms;
}

void
runner_remember_instance (Runner *runner, char *instance)
{
  g_free (runner->past_instances[PAST_INSTANCES - 1]);
  memmove (runner->past_instances + 1, runner->past_instances,
           (PAST_INSTANCES - 1) * sizeof *runner->past_instances);
  runner->past_instances[0] = instance;
}

static void
forget_instance (Runner *runner)
{
  runner_remember_instance (runner, g_steal_pointer (&runner->instance));
  runner->instance_epoch++;
  long_polls_reset (&runner->long_polls);
  runner->reconciling = FALSE;
  runner->left_ms = 0;
  runner_set_state (runner, INSTANCE_UNKNOWN);
}

/* One that had given notice was to be followed by another; any other crashed. */
static ReportKind
end_kind (const Runner *runner)
{
  return runner->server_draining ? REPORT_LOST : REPORT_SERVER_ENDED;
}

static const char *
end_reason (const Runner *runner)
{
  return runner->server_draining ? LEFT : RESTARTED;
}

static void
note_restart (const Runner *runner)
{
  counter_add (
      runner->server_draining ? COUNTER_SERVERS_REPLACED : COUNTER_SERVERS_RESTARTED, 1);
  event_note ("server-restarted", "-", "server=%s held=%u draining=%d", runner->instance,
              runner->n_runs, runner->server_draining);
}

void
runner_replaced (Runner *runner)
{
  if (runner->instance == NULL)
    return;
  runner_lose_all (runner, end_kind (runner), end_reason (runner));
  runner_resolve_silent (runner, end_kind (runner), end_reason (runner));
  note_restart (runner);
  forget_instance (runner);
}

static gboolean
run_is_listed (const Run *run)
{
  return run->listed;
}

static gboolean
run_is_started (const Run *run)
{
  return run->started_ms > 0;
}

/* Ends the runs for which @is_over, and holds the others. A run that was held already
 * ends as what it was held for. */
static void
hold_runs (Runner *runner,
           gboolean (*is_over) (const Run *run),
           ReportKind kind,
           const char *reason)
{
  Run *run;
  Run *next;

  for (run = TAILQ_FIRST (&runner->runs); run != NULL; run = next)
    {
      next = TAILQ_NEXT (run, link);
      if (is_over (run))
        {
          run_end (runner, run, run->held ? runner->held_kind : kind,
                   run->held ? runner->held_reason : reason);
          continue;
        }
      run->held = TRUE;
      run->state = RUN_UNRESOLVED;
    }
}

/* An answered start may have been carried out by the new instance already, and one under
 * way may reach it. If such a task were started elsewhere at once, it would run twice. A
 * run that the earlier instance has listed ended with it. */
static void
hold_unlisted_runs (Runner *runner, ReportKind kind, const char *reason)
{
  hold_runs (runner, run_is_listed, kind, reason);
  runner->held_kind = kind;
  runner->held_reason = reason;
}

static gboolean
any_run_is_held (const Runner *runner)
{
  const Run *run;

  TAILQ_FOREACH (run, &runner->runs, link)
    if (run->held)
      return TRUE;
  return FALSE;
}

void
runner_lose_silent (Runner *runner)
{
  gboolean was_held = any_run_is_held (runner);

  if (runner_restart_lease_ms (runner) == 0)
    {
      runner_lose_all (runner, REPORT_SERVER_SILENT, SILENT);
      return;
    }
  hold_runs (runner, run_is_started, REPORT_SERVER_SILENT, SILENT);
  if (!was_held)
    {
      runner->held_kind = REPORT_LOST;
      runner->held_reason = SILENT;
    }
  runner->held_until_ms = runner->now_ms + LATE_CALL_MS;
}

/* A late call may be carried out until LATE_CALL_MS have passed, and its run then goes on
 * for the longest lease. */
static gint64
held_limit_ms (const Runner *runner)
{
  guint lease_ms = MAX (runner->init.lease_ms, runner->init.lease_max_ms);

  return runner->now_ms + LATE_CALL_MS + lease_ms
         + lease_ms * SERVER_CLOCK_SLOW_PERCENT / 100;
}

void
runner_restarted (Runner *runner)
{
  if (runner->instance == NULL)
    return;
  hold_unlisted_runs (runner, end_kind (runner), end_reason (runner));
  runner_resolve_silent (runner, end_kind (runner), end_reason (runner));
  runner->held_until_ms = held_limit_ms (runner);
  note_restart (runner);
  forget_instance (runner);
}

void
runner_release_held (Runner *runner)
{
  Run *run;
  Run *next;

  for (run = TAILQ_FIRST (&runner->runs); run != NULL; run = next)
    {
      next = TAILQ_NEXT (run, link);
      if (run->held)
        run_end (runner, run, runner->held_kind, runner->held_reason);
    }
}

void
runner_check_held (Runner *runner)
{
  if (runner->held_until_ms == 0 || runner->now_ms < runner->held_until_ms)
    return;
  runner->held_until_ms = 0;
  runner_release_held (runner);
}

static gboolean
is_past_instance (const Runner *runner, const char *instance)
{
  for (guint i = 0; i < PAST_INSTANCES; i++)
    if (g_strcmp0 (runner->past_instances[i], instance) == 0)
      return TRUE;
  return FALSE;
}

/* Slowness measured while the server is cold holds only then: each state has its own. */
static void
set_cold (Runner *runner, gboolean cold)
{
  double slowness = runner->server_health.slowness;

  if (runner->cold == cold)
    return;
  runner->cold = cold;
  runner->cold_changed_ms = runner->now_ms;
  runner->server_health.slowness = MAX (runner->other_slowness, 1);
  runner->other_slowness = slowness;
  event_note (cold ? "server-cold" : "server-warm", "-",
              "server=%s for_ms=%" G_GINT64_FORMAT " slowness=%.2f before=%.2f",
              runner->instance, MAX (runner->cold_until_ms - runner->now_ms, 0),
              runner->server_health.slowness, slowness);
  runner->ops->changed (runner->ctx);
}

void
runner_check_cold (Runner *runner)
{
  set_cold (runner, runner->now_ms < runner->cold_until_ms);
}

void
runner_check_leaving (Runner *runner)
{
  gboolean accepts = runner_leaving_ms (runner, runner->now_ms) > 0;

  if (accepts || runner->was_accepting)
    runner->ops->changed (runner->ctx);
  runner->was_accepting = accepts;
}

/* Takes what the report says about the server's end. */
static void
take_leaving (Runner *runner, const ServerFacts *facts)
{
  gboolean is_notice = facts->draining && !runner->leaving.leaves;
  guint before = runner_leaving_ms (runner, runner->now_ms);
  guint accepts;

  leaving_report (&runner->leaving, facts->draining, facts->is_old, facts->remaining_ms,
                  runner->now_ms);
  accepts = runner_leaving_ms (runner, runner->now_ms);
  if (is_notice)
    event_note ("server-leaving", "-",
                "server=%s remaining_ms=%u accepts_ms=%u bound_ms=%" G_GINT64_FORMAT
                " runs=%u",
                facts->instance, facts->remaining_ms, accepts,
                MAX (runner->leaving.until_ms - runner->now_ms, 0), runner->n_runs);
  if ((accepts > 0) != (before > 0))
    runner->ops->changed (runner->ctx);
}

/* The clock of a server that restarts under its name begins anew, and calls to the
 * earlier instance may reach this one: only a token above theirs fences them. One that
 * came before that has extended the lease of this instance to a time of the earlier
 * clock, and runs here go on until then, however long the server is silent. */
static void
begin_restarted (Runner *runner, const ServerFacts *facts)
{
  runner_restarted (runner);
  runner->token = MAX (runner->token + 1, runner_clock_token (runner, facts->server_ms));
}

static void
begin_other (Runner *runner, const ServerFacts *facts)
{
  runner_replaced (runner);
  runner_release_held (runner);
  runner->token = runner_clock_token (runner, facts->server_ms);
  runner->server_lease_until = 0;
}

/* Runs that an earlier incarnation of this process started may still go on there, and its
 * calls may still arrive. The server's own clock as fencing token is higher than any that
 * was drawn from it before, and needs no storage. A server that restarts under its name
 * begins its clock anew, so the clock is counted from the start of the server. */
static void
begin_instance (Runner *runner, const ServerFacts *facts)
{
  const char *name = facts->name != NULL ? facts->name : facts->instance;

  runner->clock_base = (guint64)facts->started_ms;
  if (g_strcmp0 (runner->name, name) == 0)
    begin_restarted (runner, facts);
  else
    begin_other (runner, facts);
  g_free (runner->name);
  runner->name = g_strdup (name);
  runner->instance = g_strdup (facts->instance);
  runner->instance_epoch++;
  runner->sequence = 0;
  runner->fenced = 0;
  runner->reconcile_failures = 0;
  runner->held_until_ms = runner->n_runs > 0 ? held_limit_ms (runner) : 0;
  runner->ends_seen = 0;
  runner->unanswered = 0;
  set_cold (runner, FALSE);
  server_health_init (&runner->server_health);
  server_speed_init (&runner->server_speed, runner->init.speed_runs);
  leaving_init (&runner->leaving, runner->init.drain_ms);
  memset (&runner->clock, 0, sizeof runner->clock);
  runner_set_state (runner, INSTANCE_CLEARING);
}

/* Entries choose a server by these; the rest of a report is checked at each start. */
static char *
describe_kind (const ServerFacts *facts)
{
  static const char *const none[] = { NULL };
  const char *const *labels = facts->labels != NULL ? facts->labels : none;
  char *joined = g_strjoinv ("\n", (char **)labels);
  char *kind = g_strdup_printf ("%s\n%s\n%s\n%s", facts->instance,
                                facts->service != NULL ? facts->service : "",
                                facts->zone != NULL ? facts->zone : "", joined);

  g_free (joined);
  return kind;
}

static void
take_kind (Runner *runner, const ServerFacts *facts)
{
  char *kind = describe_kind (facts);

  if (g_strcmp0 (runner->kind, kind) != 0)
    {
      runner->generation++;
      event_note ("server-kind", "-", "server=%s service=%s generation=%u",
                  facts->instance, facts->service, runner->generation);
    }
  g_free (runner->kind);
  runner->kind = kind;
}

/* The room may have shrunk since a report that was kept from an earlier process: nothing
 * fits until the server reports again. */
static Demand
present_capacity (const ServerFacts *facts)
{
  return facts->is_old ? (Demand){ 0 } : facts->capacity;
}

void
runner_take_facts (Runner *runner, const ServerFacts *facts)
{
  gboolean is_new = g_strcmp0 (runner->instance, facts->instance) != 0;
  Demand capacity = present_capacity (facts);
  gboolean changed;

  if (is_new)
    begin_instance (runner, facts);
  take_kind (runner, facts);
  runner->sequence = facts->sequence;
  peer_clock_observe (&runner->clock, facts->server_ms, runner->now_ms);
  changed = is_new || runner->server_draining != facts->draining
            || memcmp (&runner->capacity, &capacity, sizeof capacity) != 0;
  runner->capacity = capacity;
  runner->server_draining = facts->draining;
  take_leaving (runner, facts);
  runner->cold_until_ms = runner->now_ms + facts->cold_ms;
  runner_check_cold (runner);
  if (changed)
    event_emit ("server-facts", "-",
                "server=%s service=%s cpu=%u memory=%u draining=%d cold_ms=%u",
                facts->instance, facts->service, facts->capacity.cpu_milli,
                facts->capacity.memory_mb, facts->draining, facts->cold_ms);
  if (runner->ops->took_facts != NULL)
    runner->ops->took_facts (facts, runner->ctx);
  if (changed)
    runner->ops->changed (runner->ctx);
  if (is_new)
    runner_send_reconcile (runner);
}

/* A server that restarts under its name says which of its starts is the later. */
static gboolean
must_be_confirmed (const Runner *runner, const ServerFacts *facts)
{
  const char *name = facts->name != NULL ? facts->name : facts->instance;

  return runner->instance != NULL && g_strcmp0 (runner->name, name) != 0;
}

gboolean
runner_facts (Runner *runner, const ServerFacts *facts, gint64 now_ms)
{
  gboolean is_new = g_strcmp0 (runner->instance, facts->instance) != 0;

  runner->now_ms = now_ms;
  if (is_new && !facts->replaces && is_past_instance (runner, facts->instance))
    return FALSE;
  if (!is_new && facts->sequence <= runner->sequence)
    return FALSE;
  if (is_new && must_be_confirmed (runner, facts))
    {
      runner_set_candidate (runner, facts);
      return FALSE;
    }
  if (g_strcmp0 (runner->candidate.facts.instance, facts->instance) == 0)
    runner_drop_candidate (runner);
  runner_take_facts (runner, facts);
  return TRUE;
}

static void
forget_left (Runner *runner)
{
  /* It may restart under its name, and a start under way may reach that instance. */
  if (strcmp (runner->name, runner->instance) != 0)
    {
      hold_unlisted_runs (runner, REPORT_LOST, LEFT);
      runner->held_until_ms = runner->left_ms + HELD_AFTER_LEAVE_MS;
    }
  else
    {
      runner_lose_all (runner, REPORT_LOST, LEFT);
    }
  forget_instance (runner);
  runner_check_held (runner);
}

void
runner_check_left (Runner *runner)
{
  if (runner->n_runs == 0 || runner_server_lease_is_over (runner))
    forget_left (runner);
}

/* If the answer to its call is lost, it goes on for some seconds, and so do its runs. */
void
runner_server_left (Runner *runner, const char *instance, gint64 now_ms)
{
  runner->now_ms = now_ms;
  if (g_strcmp0 (runner->instance, instance) != 0 || runner->left_ms > 0)
    return;
  runner_resolve_silent (runner, REPORT_LOST, LEFT);
  runner->left_ms = now_ms;
  runner->server_draining = TRUE;
  event_note ("server-left", "-", "server=%s runs=%u", instance, runner->n_runs);
  runner_stop_all (runner, LEFT);
  runner_check_left (runner);
  runner->ops->changed (runner->ctx);
}
