#define LOG_MODULE "runner"
#include "events.h"
#include "runner_parts.h"

#include <string.h>

/* A start is answered within a few ms on the server's own VM; a task's latency objective
 * leaves about 90 ms for tries at the shortest, so that an astray one is settled well
 * before that. Where the VM is slow, its usual answers take longer, and so does the wait
 * for them. */
#define SHORT_TIMEOUT_MS 15
#define LONG_TIMEOUT_MS 150
#define TIMEOUT_FACTOR 6
/* After so many calls without any answer the limit is doubled: of orders that are lost by
 * halves it is one in 256. */
#define SLOW_CALLS 8
#define DOUBLINGS_MOST 4 /* from the shortest to the longest limit */
#define CALL_TIME_RATE 0.2
#define STOP_TIMEOUT_MS 100
/* An answer's own time, beyond how long the server may wait for an end. */
#define WATCH_ANSWER_MS 100
#define STARTS_MAX 4

/* A settling call without an answer is followed by the next at once, since single ones
 * go astray; after so many calls in a row the server is taken to be down, and it is
 * asked with each tick. */
#define SETTLE_AT_ONCE_CALLS 4

/* What an answer must be matched with: the runner's state may have moved on. */
typedef struct
{
  RunKey key;
  guint life;
  guint64 token;
  gint64 sent_ms;
  guint64 watch; /* its number; 0: it does not wait for an end */
  gboolean settle;
} Cookie;

static Cookie *
cookie_new (const Runner *runner)
{
  Cookie *cookie = g_new0 (Cookie, 1);

  cookie->life = runner->life;
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

/* What usual answers take is learned from those that came: if none comes, the server may
 * have become slower than the limit, and would never be heard again. Single orders that
 * are lost leave it as it is. */
static guint
short_timeout (const Runner *runner)
{
  guint doublings = MIN (runner->unanswered / SLOW_CALLS, DOUBLINGS_MOST);
  double usual = MAX (TIMEOUT_FACTOR * runner->call_ms, SHORT_TIMEOUT_MS);

  return (guint)MIN (usual * (1 << doublings), LONG_TIMEOUT_MS);
}

/* A lease that is sent may have been taken even if no answer comes: only a server that is
 * given none for the length of one has surely ended everything. */
static void
add_lease (Runner *runner, ServerCall *call)
{
  runner->lease_sent_ms = runner->now_ms;
  if (runner_server_is_silent (runner))
    return;
  call->lease_until
      = peer_clock_least (&runner->clock, runner->now_ms, SERVER_CLOCK_SLOW_PERCENT)
        + runner->init.lease_ms;
  runner->leased_until = MAX (runner->leased_until, call->lease_until);
}

/* Return: FALSE if the answer is of no use any more. */
static gboolean
take_reply (Runner *runner, const CallReply *reply, const Cookie *cookie)
{
  if (cookie->life != runner->life)
    return FALSE;
  runner->now_ms = reply->now_ms;
  runner->unanswered = reply->end == CALL_UNANSWERED ? runner->unanswered + 1 : 0;
  if (reply->end == CALL_UNANSWERED)
    long_polls_lost (&runner->watches, runner->now_ms);
  if (reply->end != CALL_UNANSWERED && cookie->watch == 0)
    runner->call_ms
        += CALL_TIME_RATE * (reply->now_ms - cookie->sent_ms - runner->call_ms);
  if (reply->server_ms > 0)
    peer_clock_hear (&runner->clock, reply->server_ms, runner->now_ms);
  if (reply->end == CALL_OTHER_LIFE)
    {
      runner_forget_life (runner, REPORT_SERVER_ENDED, "backend server restarted");
      return FALSE;
    }
  /* Another runner of this server has drawn a higher token, or an order of an earlier one
   * came late: go above whatever the server's clock allowed it. */
  if (reply->end == CALL_FENCED && cookie->token == runner->token)
    runner->token = MAX (runner->token + 1, (guint64)reply->server_ms);
  return TRUE;
}

static void
run_is_running (Runner *runner, Run *run)
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

/* A server that takes no starts looks free, and each one sent there costs its job the
 * time that it takes to settle it. */
static void
run_refused (Runner *runner, Run *run, const char *reason)
{
  server_health_start_lost (&runner->quality, runner->now_ms);
  run_end (runner, run, REPORT_NOT_STARTED, reason);
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
      run_is_running (runner, run);
      break;
    case CALL_FENCED:
    case CALL_LATE:
      if (run->starts < STARTS_MAX && runner->now_ms <= run->valid_until_ms
          && run->stop_reason == NULL && !runner->zone_closed)
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
      run_refused (runner, run, "unhealthy");
      break;
    case CALL_REJECTED:
      run_end (runner, run, REPORT_NOT_STARTED, "rejected");
      break;
    case CALL_UNANSWERED:
      run->state = RUN_UNRESOLVED;
      runner_send_settle (runner);
      break;
    case CALL_OTHER_LIFE:
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

/* Whether the stop was answered does not matter: only the listed end frees the room, and
 * until then it is sent again. */
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
  /* Ends are listed in an order of their own and may overtake the start's answer. */
  run_is_running (runner, run);
  switch (how)
    {
    case RUN_END_DONE:
      run_rate (runner, run, FALSE);
      run_end (runner, run, REPORT_DONE, "");
      break;
    case RUN_END_FAILED:
      run_rate (runner, run, TRUE);
      run_end (runner, run, REPORT_FAILED, "task failed");
      break;
    case RUN_END_STOPPED:
      run_end (runner, run, REPORT_LOST,
               run->stop_reason != NULL ? run->stop_reason : "stopped");
      break;
    case RUN_END_LAPSED:
      run_end (runner, run, REPORT_LOST, "lease lapsed");
      break;
    case RUN_END_OTHER:
      run_end (runner, run, REPORT_LOST, "ended by the backend server");
      break;
    }
}

/* Return: whether any of them was news. */
static gboolean
take_ends (Runner *runner, const CallReply *reply)
{
  guint64 seen = runner->ends_seen;
  gboolean news;

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
  news = seen > runner->ends_seen;
  runner->ends_seen = seen;
  return news;
}

static gboolean
is_listed (const CallReply *reply, const RunKey *key)
{
  for (gsize i = 0; i < reply->n_running; i++)
    if (run_key_equal (&reply->running[i].key, key))
      return TRUE;
  return FALSE;
}

/* The server took a token higher than the start's before it made this list: the start
 * stands in the list or never happens. */
static void
settle_runs (Runner *runner, const CallReply *reply, guint64 token)
{
  Run *run;
  Run *next;

  for (run = TAILQ_FIRST (&runner->runs); run != NULL; run = next)
    {
      next = TAILQ_NEXT (run, link);
      if (run->state != RUN_UNRESOLVED || run->token >= token)
        continue;
      if (is_listed (reply, &run->key))
        run_is_running (runner, run);
      else
        run_refused (runner, run, "start went astray");
    }
}

static void
clear_strangers (Runner *runner, const CallReply *reply)
{
  if (reply->n_running == 0)
    {
      runner_set_state (runner, LIFE_READY);
      return;
    }
  for (gsize i = 0; i < reply->n_running; i++)
    runner_send_stop (runner, &reply->running[i].key);
}

gboolean
runner_must_settle (const Runner *runner)
{
  const Run *run;

  TAILQ_FOREACH (run, &runner->runs, link)
    if (run->state == RUN_UNRESOLVED)
      return TRUE;
  return FALSE;
}

static void
on_hold_reply (const CallReply *reply, gpointer ctx, gpointer data)
{
  Runner *runner = ctx;
  Cookie *cookie = data;

  if (cookie->life == runner->life && cookie->watch != 0)
    long_polls_ended (&runner->watches, cookie->watch);
  if (cookie->life == runner->life && cookie->settle)
    runner->settling = FALSE;
  if (!take_reply (runner, reply, cookie))
    goto out;
  if (reply->end != CALL_DONE)
    {
      if (cookie->settle && runner_must_settle (runner)
          && runner->unanswered < SETTLE_AT_ONCE_CALLS)
        runner_send_settle (runner);
      goto out;
    }
  runner->listed_ms = runner->now_ms;
  if (take_ends (runner, reply))
    long_polls_expect_end (&runner->watches, runner->now_ms);
  runner_take_progress (runner, reply);
  if (cookie->settle && runner->state == LIFE_CLEARING && cookie->token == runner->token)
    clear_strangers (runner, reply);
  else if (cookie->settle)
    settle_runs (runner, reply, cookie->token);
  long_polls_check (&runner->watches, runner->now_ms);
  runner_send_watch (runner);

out:
  g_free (cookie);
}

static void
send_watch (Runner *runner, guint64 number)
{
  guint wait_ms = long_polls_wait_ms (&runner->watches, runner->now_ms);
  Cookie *cookie = cookie_new (runner);
  ServerCall call
      = server_call (runner, wait_ms + WATCH_ANSWER_MS, on_hold_reply, cookie);

  cookie->watch = number;
  if (runner->n_runs > 0)
    add_lease (runner, &call);
  runner->init.calls->hold (&call, runner->ends_seen, wait_ms, runner->init.server);
}

void
runner_send_watch (Runner *runner)
{
  guint64 number;

  if (runner->state == LIFE_UNKNOWN)
    return;
  while ((number = long_polls_next (&runner->watches, runner_server_is_silent (runner),
                                    runner->now_ms))
         != 0)
    send_watch (runner, number);
}

void
runner_send_renewal (Runner *runner)
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
runner_send_settle (Runner *runner)
{
  Cookie *cookie;
  ServerCall call;

  if (runner->settling)
    return;
  raise_token (runner);
  runner->settling = TRUE;
  cookie = cookie_new (runner);
  cookie->settle = TRUE;
  call = server_call (runner, short_timeout (runner), on_hold_reply, cookie);
  runner->init.calls->hold (&call, runner->ends_seen, 0, runner->init.server);
}
