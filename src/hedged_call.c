#include "hedged_call.h"
#include "clock.h"

#include <string.h>
#include <sys/queue.h>

typedef struct Attempt
{
  TAILQ_ENTRY (Attempt) link;
  HedgedCall *call;
  HttpJob *job;
  gboolean is_arriving;
} Attempt;

struct HedgedCall
{
  HttpPool *pool;
  const HedgePolicy *policy;
  const HedgedOps *ops;
  gpointer ctx;
  enum evhttp_cmd_type method;
  char *path;
  char *hedge_path;
  char **headers;
  char *body;
  guint wait_ms;
  guint first_byte_timeout_ms;
  guint read_timeout_ms;
  struct event *timer;
  TAILQ_HEAD (, Attempt) attempts;
  HedgeView view;
  gint64 last_data_ms;
  gboolean maybe_executed; /* a failed attempt was sent at least in part */
};

static void
schedule (HedgedCall *call)
{
  gint64 due = hedge_due (call->policy, &call->view);
  struct timeval delay;

  if (due < 0)
    {
      event_del (call->timer);
      return;
    }
  delay = timeval_from_ms ((guint)MAX (due - clock_now_ms (), 0));
  event_add (call->timer, &delay);
}

static void
attempt_free (Attempt *attempt)
{
  HedgedCall *call = attempt->call;

  TAILQ_REMOVE (&call->attempts, attempt, link);
  call->view.attempts--;
  g_free (attempt);
}

static void
attempt_drop (Attempt *attempt)
{
  http_job_drop (attempt->job);
  attempt_free (attempt);
}

static gboolean
is_any_arriving (const HedgedCall *call)
{
  const Attempt *attempt;

  TAILQ_FOREACH (attempt, &call->attempts, link)
    if (attempt->is_arriving)
      return TRUE;
  return FALSE;
}

/* One answer is arriving: a second copy of a large one would take part of its bandwidth.
 */
static void
drop_silent_attempts (HedgedCall *call)
{
  Attempt *attempt;
  Attempt *next;

  for (attempt = TAILQ_FIRST (&call->attempts); attempt != NULL; attempt = next)
    {
      next = TAILQ_NEXT (attempt, link);
      if (!attempt->is_arriving)
        attempt_drop (attempt);
    }
}

static void
on_data (gpointer ctx)
{
  Attempt *attempt = ctx;
  HedgedCall *call = attempt->call;
  gboolean is_first = !attempt->is_arriving;

  attempt->is_arriving = TRUE;
  call->view.is_arriving = TRUE;
  call->last_data_ms = clock_now_ms ();
  call->view.progress_ms = call->last_data_ms;
  if (is_first)
    drop_silent_attempts (call);
  schedule (call);
}

static void
attempt_failed (HedgedCall *call, const HttpAnswer *answer)
{
  HttpAnswer last = *answer;

  call->maybe_executed |= answer->end == HTTP_BROKEN;
  call->ops->attempt_failed (answer, call->ctx);
  call->view.is_arriving = is_any_arriving (call);
  if (!TAILQ_EMPTY (&call->attempts))
    {
      schedule (call);
      return;
    }
  last.end = call->maybe_executed ? HTTP_BROKEN : HTTP_NOT_SENT;
  call->ops->done (&last, call->ctx);
  hedged_call_drop (call);
}

static void
on_done (const HttpAnswer *answer, gpointer ctx)
{
  Attempt *attempt = ctx;
  HedgedCall *call = attempt->call;

  attempt_free (attempt);
  if (answer->end != HTTP_ANSWERED)
    {
      attempt_failed (call, answer);
      return;
    }
  call->ops->done (answer, call->ctx);
  hedged_call_drop (call);
}

static void
attempt_new (HedgedCall *call, const char *path, guint wait_ms, gboolean fresh)
{
  Attempt *attempt = g_new0 (Attempt, 1);
  HttpCall http = { .method = call->method,
                    .path = path,
                    .headers = (const char *const *)call->headers,
                    .body = call->body,
                    .size = call->body != NULL ? strlen (call->body) : 0,
                    .timeout_ms = wait_ms + call->first_byte_timeout_ms,
                    .read_timeout_ms = call->read_timeout_ms,
                    .fresh = fresh,
                    .heard = on_data,
                    .done = on_done,
                    .ctx = attempt };

  attempt->call = call;
  TAILQ_INSERT_TAIL (&call->attempts, attempt, link);
  call->view.attempts++;
  /* No answer is due before the server's wait is over. */
  call->view.progress_ms = clock_now_ms () + wait_ms;
  call->view.jitter = g_random_double ();
  attempt->job = http_pool_call (call->pool, &http);
  schedule (call);
}

static void
on_due (evutil_socket_t fd, short what, void *ctx)
{
  HedgedCall *call = ctx;

  call->ops->repeated (clock_now_ms () - call->last_data_ms, call->ctx);
  attempt_new (call, call->hedge_path, 0, TRUE);
}

HedgedCall *
hedged_call_new (struct event_base *base,
                 HttpPool *pool,
                 const HedgePolicy *policy,
                 const HedgedRequest *request,
                 const HedgedOps *ops,
                 gpointer ctx)
{
  HedgedCall *call = g_new0 (HedgedCall, 1);

  call->pool = pool;
  call->policy = policy;
  call->ops = ops;
  call->ctx = ctx;
  call->method = request->method;
  call->path = g_strdup (request->path);
  call->hedge_path
      = g_strdup (request->hedge_path != NULL ? request->hedge_path : request->path);
  call->headers = g_strdupv ((char **)request->headers);
  call->body = g_strdup (request->body);
  call->wait_ms = request->wait_ms;
  call->first_byte_timeout_ms = request->first_byte_timeout_ms;
  call->read_timeout_ms = request->read_timeout_ms;
  call->timer = evtimer_new (base, on_due, call);
  call->last_data_ms = clock_now_ms ();
  TAILQ_INIT (&call->attempts);
  attempt_new (call, call->path, call->wait_ms, FALSE);
  return call;
}

void
hedged_call_drop (HedgedCall *call)
{
  Attempt *attempt;

  if (call == NULL)
    return;
  while ((attempt = TAILQ_FIRST (&call->attempts)) != NULL)
    attempt_drop (attempt);
  event_free (call->timer);
  g_strfreev (call->headers);
  g_free (call->path);
  g_free (call->hedge_path);
  g_free (call->body);
  g_free (call);
}
