#include "table_calls.h"
#include "clock.h"
#include "counters.h"
#include "hedged_call.h"

#include <string.h>
#include <sys/queue.h>

/* Timeout between two pieces of a response: a lost packet is retransmitted after about a
 * second. */
#define READ_TIMEOUT_MS 1500
/* Largest random delay of a repeat, as a divisor of the timeout. */
#define JITTER_DIVISOR 4

typedef struct Call
{
  TAILQ_ENTRY (Call) link;
  TableCalls *calls;
  enum evhttp_cmd_type method;
  char *path;
  char *body;
  HedgedCall *hedged; /* NULL: queued */
  struct event *deadline;
  HttpDone done;
  gpointer ctx;
} Call;

struct TableCalls
{
  struct event_base *base;
  HttpPool *pool;
  HedgePolicy policy;
  guint max_active;
  guint n_active;
  guint limit_ms;
  TAILQ_HEAD (, Call) queued;
  TAILQ_HEAD (, Call) active;
};

static void start_queued (TableCalls *calls);

static void
call_free (Call *call)
{
  event_free (call->deadline);
  g_free (call->path);
  g_free (call->body);
  g_free (call);
}

/* Reports the result and frees the call. */
static void
finish (Call *call, const HttpAnswer *answer)
{
  TableCalls *calls = call->calls;

  if (call->hedged != NULL)
    {
      TAILQ_REMOVE (&calls->active, call, link);
      calls->n_active--;
    }
  else
    {
      TAILQ_REMOVE (&calls->queued, call, link);
    }
  call->done (answer, call->ctx);
  call_free (call);
}

static void
on_attempt_failed (const HttpAnswer *answer, gpointer ctx)
{
  counter_add (COUNTER_TABLE_TIMEOUTS, answer->timed_out);
}

static void
on_repeated (gint64 silent_ms, gpointer ctx)
{
  counter_add (COUNTER_TABLE_REPEATS, 1);
}

static void
on_done (const HttpAnswer *answer, gpointer ctx)
{
  Call *call = ctx;
  TableCalls *calls = call->calls;

  finish (call, answer);
  start_queued (calls);
}

static const HedgedOps hedged_ops = { on_attempt_failed, on_repeated, on_done };

/* Ends a call that has no response. */
static void
abort_call (Call *call, gboolean timed_out)
{
  HedgedCall *hedged = call->hedged;
  HttpAnswer answer
      = { .end = hedged != NULL ? HTTP_BROKEN : HTTP_NOT_SENT, .timed_out = timed_out };

  hedged_call_drop (hedged);
  finish (call, &answer);
}

static void
on_deadline (evutil_socket_t fd, short what, void *ctx)
{
  Call *call = ctx;
  TableCalls *calls = call->calls;

  counter_add (COUNTER_TABLE_TIMEOUTS, 1);
  abort_call (call, TRUE);
  start_queued (calls);
}

static void
start (Call *call)
{
  static const char *const json_headers[] = { "Content-Type", "application/json", NULL };
  TableCalls *calls = call->calls;
  HedgedRequest request = { .method = call->method,
                            .path = call->path,
                            .headers = call->body != NULL ? json_headers : NULL,
                            .body = call->body,
                            .first_byte_timeout_ms = calls->limit_ms,
                            .read_timeout_ms = READ_TIMEOUT_MS };

  TAILQ_REMOVE (&calls->queued, call, link);
  TAILQ_INSERT_TAIL (&calls->active, call, link);
  calls->n_active++;
  call->hedged = hedged_call_new (calls->base, calls->pool, &calls->policy, &request,
                                  &hedged_ops, call);
}

static void
start_queued (TableCalls *calls)
{
  while (calls->n_active < calls->max_active && !TAILQ_EMPTY (&calls->queued))
    start (TAILQ_FIRST (&calls->queued));
}

TableCalls *
table_calls_new (struct event_base *base, const char *address, const TableCallsInit *init)
{
  TableCalls *calls = g_new0 (TableCalls, 1);
  guint max_in_flight = 1 + init->limit_ms / init->timeout_ms;

  calls->base = base;
  calls->max_active = init->max_active;
  calls->limit_ms = init->limit_ms;
  calls->policy.after_ms = init->timeout_ms;
  calls->policy.jitter_ms = init->timeout_ms / JITTER_DIVISOR;
  calls->policy.stall_ms = init->timeout_ms;
  calls->policy.max_in_flight = max_in_flight;
  calls->pool = http_pool_new (base, address, init->max_active * max_in_flight);
  TAILQ_INIT (&calls->queued);
  TAILQ_INIT (&calls->active);
  return calls;
}

void
table_calls_free (TableCalls *calls)
{
  Call *call;

  while ((call = TAILQ_FIRST (&calls->queued)) != NULL)
    abort_call (call, FALSE);
  while ((call = TAILQ_FIRST (&calls->active)) != NULL)
    abort_call (call, FALSE);
  http_pool_free (calls->pool);
  g_free (calls);
}

void
table_calls_make (TableCalls *calls,
                  enum evhttp_cmd_type method,
                  const char *path,
                  const char *body,
                  HttpDone done,
                  gpointer ctx)
{
  Call *call = g_new0 (Call, 1);
  struct timeval limit = timeval_from_ms (calls->limit_ms);

  call->calls = calls;
  call->method = method;
  call->path = g_strdup (path);
  call->body = g_strdup (body);
  call->done = done;
  call->ctx = ctx;
  call->deadline = evtimer_new (calls->base, on_deadline, call);
  event_add (call->deadline, &limit);
  TAILQ_INSERT_TAIL (&calls->queued, call, link);
  start_queued (calls);
}
