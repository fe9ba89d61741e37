#define LOG_MODULE "runner"
#include "events.h"
#include "runner_parts.h"

#include <string.h>

/* A start times out after TIMEOUT_FACTOR times the mean answer time, within these limits.
 * On the server's own VM a start is answered within a few ms; the shortest latency
 * objective leaves about 90 ms for attempts, so a lost start must be resolved well before
 * that. */
#define SHORT_TIMEOUT_MS 15
#define LONG_TIMEOUT_MS 150
#define TIMEOUT_FACTOR 6
/* After so many calls without an answer the timeout is doubled. If half of all calls are
 * lost, that happens by chance once in 256. */
#define DOUBLING_CALLS 8
#define DOUBLINGS_MAX 4    /* from the shortest to the longest timeout */
#define CALL_TIME_RATE 0.2 /* weight of the latest answer in the mean */
#define STOP_TIMEOUT_MS 100
/* Time for the answer itself, on top of the wait at the server. */
#define LONG_POLL_ANSWER_MS 100
/* Most times that one start is sent; it is resent when refused as fenced or late. */
#define STARTS_MAX 4

/* Reconciling calls in a row that are not carried out and are repeated at once; further
 * ones wait for the tick. */
#define RECONCILE_RETRIES 4

/* Steps of the fencing token: the largest passes any clock that counts milliseconds since
 * the start of a server, i.e. 34 years. */
#define TOKEN_DOUBLINGS_MAX 40

/* The state that a call was made in, to compare with when its answer comes. */
typedef struct
{
  RunKey key;
  guint instance_epoch;
  guint64 token;
  gint64 sent_ms;
  guint64 long_poll; /* its number; 0: it is none */
  gboolean reconcile;
} Cookie;

static Cookie *
cookie_new (const Runner *runner)
{
  Cookie *cookie = g_new0 (Cookie, 1);

  cookie->instance_epoch = runner->instance_epoch;
  cookie->token = runner->token;
  cookie->sent_ms = runner->now_ms;
  return cookie;
}

static ServerCall
server_call (Runner *runner, guint timeout_ms, CallReplied replied, Cookie *cookie)
{
  ServerCall call = { .instance = runner->instance,
                      .token = runner->token,
                      .timeout_ms = timeout_ms,
                      .replied = replied,
                      .ctx = runner,
                      .cookie = cookie };

  return call;
}

/* Only answers within the timeout count in the mean, so a server that has become slower
 * than the timeout would be timed out forever: the timeout is doubled while no answer
 * comes. Single lost calls leave it as it is. */
static guint
short_timeout (const Runner *runner)
{
  guint doublings = MIN (runner->unanswered / DOUBLING_CALLS, DOUBLINGS_MAX);
  double base_ms = MAX (TIMEOUT_FACTOR * runner->call_ms, SHORT_TIMEOUT_MS);

  return (guint)MIN (base_ms * (1 << doublings), LONG_TIMEOUT_MS);
}

/* A lease counts from when it is sent, since the server may accept it even if no answer
 * comes. An unresponsive server is sent none, so that it has surely ended all its runs
 * once the last one has expired. */
static void
add_lease (Runner *runner, ServerCall *call)
{
  runner->lease_sent_ms = runner->now_ms;
  if (runner_server_is_unresponsive (runner) || runner->left_ms > 0)
    return;
  runner->extended_ms = runner->now_ms;
  call->lease_until
      = peer_clock_least (&runner->clock, runner->now_ms, SERVER_CLOCK_SLOW_PERCENT)
        + runner->init.lease_ms;
  runner->server_lease_until = MAX (runner->server_lease_until, call->lease_until);
}

static guint64
next_token_step (Runner *runner)
{
  guint doublings = MIN (runner->fenced, TOKEN_DOUBLINGS_MAX);

  runner->fenced++;
  return G_GUINT64_CONSTANT (1) << doublings;
}

/* The server has not said anything. */
static gboolean
is_silence (const CallReply *reply)
{
  return reply->end == CALL_UNANSWERED || reply->end == CALL_NOT_SENT;
}

/* Return: FALSE if the answer is outdated. */
static gboolean
take_reply (Runner *runner, const CallReply *reply, const Cookie *cookie)
{
  if (cookie->instance_epoch != runner->instance_epoch)
    return FALSE;
  runner->now_ms = reply->now_ms;
  runner->unanswered = is_silence (reply) ? runner->unanswered + 1 : 0;
  if (is_silence (reply))
    long_polls_lost (&runner->long_polls, runner->now_ms);
  if (!is_silence (reply) && cookie->long_poll == 0)
    runner->call_ms
        += CALL_TIME_RATE * (reply->now_ms - cookie->sent_ms - runner->call_ms);
  if (reply->end == CALL_RESTARTED)
    {
      runner_restarted (runner);
      return FALSE;
    }
  if (reply->server_ms > 0)
    peer_clock_observe (&runner->clock, reply->server_ms, runner->now_ms);
  if (reply->end == CALL_OTHER_INSTANCE)
    {
      runner_replaced (runner);
      return FALSE;
    }
  /* Another runner of this server has drawn a higher token from the server's clock, or a
   * late call of an earlier one carried it: the clock's present value is above both. Not
   * if the server restarted under its name: its clock began anew, while calls to the
   * instance before carried tokens from the earlier clock. Doubled steps pass these. */
  if (reply->end == CALL_FENCED && cookie->token == runner->token)
    runner->token = MAX (runner->token + next_token_step (runner),
                         runner_clock_token (runner, reply->server_ms));
  if (reply->end == CALL_DONE)
    runner->fenced = 0;
  return TRUE;
}

static void
run_set_running (Runner *runner, Run *run)
{
  RunReport report = { run->key, REPORT_STARTED, "" };

  if (run->state == RUN_RUNNING)
    return;
  run->state = RUN_RUNNING;
  run->started_ms = runner->now_ms;
  run->progress_ms = runner->now_ms;
  event_emit ("task-started", run->key.job, "task=%u run=%u server=%s", run->key.index,
              run->key.run, runner->instance);
  runner->ops->report (run->entry, &report, runner->ctx);
}

/* A server that accepts no starts looks idle, and each one sent there costs its job the
 * time until it is resolved: lost starts count against its health. */
static void
run_start_lost (Runner *runner, Run *run, const char *reason)
{
  server_health_start_lost (&runner->server_health, runner->now_ms);
  run_end (runner, run, REPORT_NOT_STARTED, reason);
}

/* Without the bound on starts after the notice, a start that was sent before it may be
 * sent again. */
static gboolean
may_resend_start (const Runner *runner, const Run *run)
{
  return runner->init.drain_ms == 0
         || runner_leaving_refusal (runner, run->expected_ms) == NULL;
}

static void
on_start_reply (const CallReply *reply, gpointer ctx, gpointer data)
{
  Runner *runner = ctx;
  Cookie *cookie = data;
  Run *run;

  if (!take_reply (runner, reply, cookie))
    goto out;
  run = runner_find (runner, &cookie->key);
  if (run == NULL || run->state != RUN_STARTING || run->token != cookie->token)
    goto out;
  switch (reply->end)
    {
    case CALL_DONE:
      run_set_running (runner, run);
      break;
    case CALL_FENCED:
    case CALL_LATE:
      if (run->starts < STARTS_MAX && runner->now_ms <= run->valid_until_ms
          && run->stop_reason == NULL && !runner->zone_closed
          && may_resend_start (runner, run))
        runner_send_start (runner, run);
      else
        run_end (runner, run, REPORT_NOT_STARTED, "start came too late");
      break;
    case CALL_SUPERSEDED:
      run_end (runner, run, REPORT_NOT_STARTED, "superseded");
      break;
    case CALL_NO_ROOM:
      run_end (runner, run, REPORT_NOT_STARTED, "no room");
      break;
    case CALL_UNHEALTHY:
      run_start_lost (runner, run, "unhealthy");
      break;
    case CALL_NOT_SENT:
      run_start_lost (runner, run, "not sent");
      break;
    case CALL_REJECTED:
      run_end (runner, run, REPORT_NOT_STARTED, "rejected");
      break;
    case CALL_UNANSWERED:
      run->state = RUN_UNRESOLVED;
      runner_send_reconcile (runner);
      break;
    case CALL_OTHER_INSTANCE:
    case CALL_RESTARTED:
      break;
    }

out:
  g_free (cookie);
}

void
runner_send_start (Runner *runner, Run *run)
{
  Cookie *cookie = cookie_new (runner);
  ServerCall call = server_call (runner, short_timeout (runner), on_start_reply, cookie);

  cookie->key = run->key;
  add_lease (runner, &call);
  run->state = RUN_STARTING;
  run->token = runner->token;
  run->starts++;
  runner->init.calls->start (&call, &run->key, run->payload, runner->init.server);
}

/* Only the listed end frees the run's capacity; until then the stop is resent, answered
 * or not. */
static void
on_stop_reply (const CallReply *reply, gpointer ctx, gpointer data)
{
  take_reply (ctx, reply, data);
  g_free (data);
}

void
runner_send_stop (Runner *runner, const RunKey *key)
{
  ServerCall call
      = server_call (runner, STOP_TIMEOUT_MS, on_stop_reply, cookie_new (runner));

  runner->init.calls->stop (&call, key, runner->init.server);
}

static void
end_as_listed (Runner *runner, Run *run, RunEnd how)
{
  /* Ends are listed by another call and may overtake the start's answer. */
  run_set_running (runner, run);
  switch (how)
    {
    case RUN_END_DONE:
      run_update_health (runner, run, FALSE);
      run_end (runner, run, REPORT_DONE, "");
      break;
    case RUN_END_FAILED:
      run_update_health (runner, run, TRUE);
      run_end (runner, run, REPORT_FAILED, "task failed");
      break;
    case RUN_END_STOPPED:
      run_end (runner, run, REPORT_LOST,
               run->stop_reason != NULL ? run->stop_reason : "stopped");
      break;
    case RUN_END_EXPIRED:
      run_end (runner, run, REPORT_LOST, "lease lapsed");
      break;
    case RUN_END_OTHER:
      run_end (runner, run, REPORT_LOST, "ended by the backend server");
      break;
    }
}

/* Return: whether any of them was new. */
static gboolean
take_ends (Runner *runner, const CallReply *reply)
{
  guint64 seen = runner->ends_seen;
  gboolean any_new;

  for (gsize i = 0; i < reply->n_ended; i++)
    {
      const EndedRun *ended = &reply->ended[i];
      Run *run;

      if (ended->number <= runner->ends_seen)
        continue;
      seen = MAX (seen, ended->number);
      run = runner_find (runner, &ended->key);
      if (run != NULL)
        end_as_listed (runner, run, ended->how);
    }
  any_new = seen > runner->ends_seen;
  runner->ends_seen = seen;
  return any_new;
}

static void
mark_listed (Runner *runner, const CallReply *reply)
{
  for (gsize i = 0; reply->is_certain && i < reply->n_running; i++)
    {
      Run *run = runner_find (runner, &reply->running[i].key);

      if (run != NULL)
        run->listed = TRUE;
    }
}

static gboolean
is_listed (const CallReply *reply, const RunKey *key)
{
  for (gsize i = 0; i < reply->n_running; i++)
    if (run_key_equal (&reply->running[i].key, key))
      return TRUE;
  return FALSE;
}

/* The server had accepted a token higher than the start's before it made this list: a
 * start that is not listed never runs. */
static void
resolve_starts (Runner *runner, const CallReply *reply, guint64 token)
{
  Run *run;
  Run *next;

  for (run = TAILQ_FIRST (&runner->runs); run != NULL; run = next)
    {
      next = TAILQ_NEXT (run, link);
      if (run->state != RUN_UNRESOLVED || run->held || run->token >= token)
        continue;
      if (is_listed (reply, &run->key))
        run_set_running (runner, run);
      else
        run_start_lost (runner, run, "start went astray");
    }
}

static void
stop_unknown_runs (Runner *runner, const CallReply *reply)
{
  if (reply->n_running == 0)
    {
      runner_release_held (runner);
      runner_resolve_silent (runner, REPORT_LOST, "backend server answers again");
      runner_set_state (runner, INSTANCE_READY);
      return;
    }
  for (gsize i = 0; i < reply->n_running; i++)
    runner_send_stop (runner, &reply->running[i].key);
}

gboolean
runner_must_reconcile (const Runner *runner)
{
  const Run *run;

  TAILQ_FOREACH (run, &runner->runs, link)
    if (run->state == RUN_UNRESOLVED)
      return TRUE;
  return FALSE;
}

/* A call that was refused as fenced made progress: it raised the token. */
static void
retry_reconcile (Runner *runner, const CallReply *reply)
{
  if (reply->end != CALL_FENCED)
    runner->reconcile_failures++;
  if (runner_must_reconcile (runner) && runner->reconcile_failures < RECONCILE_RETRIES)
    runner_send_reconcile (runner);
}

static void
on_hold_reply (const CallReply *reply, gpointer ctx, gpointer data)
{
  Runner *runner = ctx;
  Cookie *cookie = data;

  if (cookie->instance_epoch == runner->instance_epoch && cookie->long_poll != 0)
    long_polls_ended (&runner->long_polls, cookie->long_poll);
  if (cookie->instance_epoch == runner->instance_epoch && cookie->reconcile)
    runner->reconciling = FALSE;
  if (!take_reply (runner, reply, cookie))
    goto out;
  if (reply->end != CALL_DONE)
    {
      if (cookie->reconcile)
        retry_reconcile (runner, reply);
      goto out;
    }
  if (cookie->reconcile)
    runner->reconcile_failures = 0;
  runner->listed_ms = runner->now_ms;
  if (take_ends (runner, reply))
    long_polls_expect_end (&runner->long_polls, runner->now_ms);
  mark_listed (runner, reply);
  runner_take_progress (runner, reply);
  if (cookie->reconcile && runner->state == INSTANCE_CLEARING
      && cookie->token == runner->token)
    stop_unknown_runs (runner, reply);
  else if (cookie->reconcile)
    resolve_starts (runner, reply, cookie->token);
  long_polls_check (&runner->long_polls, runner->now_ms);
  runner_open_long_polls (runner);

out:
  g_free (cookie);
}

static void
send_long_poll (Runner *runner, guint64 number)
{
  guint wait_ms = long_polls_wait_ms (&runner->long_polls, runner->now_ms);
  Cookie *cookie = cookie_new (runner);
  ServerCall call
      = server_call (runner, wait_ms + LONG_POLL_ANSWER_MS, on_hold_reply, cookie);

  cookie->long_poll = number;
  if (runner->n_runs > 0)
    add_lease (runner, &call);
  runner->init.calls->hold (&call, runner->ends_seen, wait_ms, runner->init.server);
}

void
runner_open_long_polls (Runner *runner)
{
  guint64 number;

  if (runner->state == INSTANCE_UNKNOWN)
    return;
  while (
      (number = long_polls_next (&runner->long_polls,
                                 runner_server_is_unresponsive (runner), runner->now_ms))
      != 0)
    send_long_poll (runner, number);
}

void
runner_send_poll (Runner *runner)
{
  ServerCall call
      = server_call (runner, LONG_TIMEOUT_MS, on_hold_reply, cookie_new (runner));

  add_lease (runner, &call);
  runner->listed_ms = runner->now_ms;
  runner->init.calls->hold (&call, runner->ends_seen, 0, runner->init.server);
}

static void
raise_token (Runner *runner)
{
  Run *run;

  TAILQ_FOREACH (run, &runner->runs, link)
    if (run->state == RUN_UNRESOLVED && run->token == runner->token)
      {
        runner->token++;
        return;
      }
}

void
runner_send_reconcile (Runner *runner)
{
  Cookie *cookie;
  ServerCall call;

  if (runner->reconciling)
    return;
  raise_token (runner);
  runner->reconciling = TRUE;
  cookie = cookie_new (runner);
  cookie->reconcile = TRUE;
  call = server_call (runner, short_timeout (runner), on_hold_reply, cookie);
  runner->init.calls->hold (&call, runner->ends_seen, 0, runner->init.server);
}
