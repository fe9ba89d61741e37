#include "table_calls.h"
#include "clock.h"
#include "counters.h"
#include "hedged_call.h"

#include <string.h>
#include <sys/queue.h>

/* Between two pieces of an answer: a lost packet comes again after about a second. */
#define SILENCE_MS 1500
/* Of the time until a call is made again: the most by which that is put off. */
#define SPREAD_PART 4

typedef struct Call
{
  TAILQ_ENTRY (Call) link;
  TableCalls *calls;
  enum evhttp_cmd_type method;
  char *path;
  char *body;
  HedgedCall *hedged; /* NULL: waits its turn */
  struct event *limit;
  HttpDone done;
  gpointer ctx;
} Call;

struct TableCalls
{
  struct event_base *base;
  HttpPool *pool;
  HedgePolicy policy;
  guint at_once;
  guint under_way;
  guint limit_ms;
  TAILQ_HEAD (, Call) waiting;
  TAILQ_HEAD (, Call) made;
};

static void pump (TableCalls *calls);

static void
call_free (Call *call)
{
  event_free (call->limit);
  g_free (call->path);
  g_free (call->body);
  g_free (call);
}

/* Takes the call. */
static void
finish (Call *call, const HttpAnswer *answer)
{
  TableCalls *calls = call->calls;

  if (call->hedged != NULL)
    {
      TAILQ_REMOVE (&calls->made, call, link);
      calls->under_way--;
    }
  else
    {
      TAILQ_REMOVE (&calls->waiting, call, link);
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
  pump (calls);
}

static const HedgedOps hedged_ops = { on_attempt_failed, on_repeated, on_done };

/* End a call that has no answer. */
static void
give_up (Call *call, gboolean timed_out)
{
  HedgedCall *hedged = call->hedged;
  HttpAnswer answer
      = { .end = hedged != NULL ? HTTP_BROKEN : HTTP_NOT_SENT, .timed_out = timed_out };

  hedged_call_drop (hedged);
  finish (call, &answer);
}

static void
on_limit (evutil_socket_t fd, short what, void *ctx)
{
  Call *call = ctx;
  TableCalls *calls = call->calls;

  counter_add (COUNTER_TABLE_TIMEOUTS, 1);
  give_up (call, TRUE);
  pump (calls);
}

static void
make (Call *call)
{
  static const char *const json_headers[] = { "Content-Type", "application/json", NULL };
  TableCalls *calls = call->calls;
  HedgedRequest request = { .method = call->method,
                            .path = call->path,
                            .headers = call->body != NULL ? json_headers : NULL,
                            .body = call->body,
                            .patience_ms = calls->limit_ms,
                            .silence_ms = SILENCE_MS };

  TAILQ_REMOVE (&calls->waiting, call, link);
  TAILQ_INSERT_TAIL (&calls->made, call, link);
  calls->under_way++;
  call->hedged = hedged_call_new (calls->base, calls->pool, &calls->policy, &request,
                                  &hedged_ops, call);
}

static void
pump (TableCalls *calls)
{
  while (calls->under_way < calls->at_once && !TAILQ_EMPTY (&calls->waiting))
    make (TAILQ_FIRST (&calls->waiting));
}

TableCalls *
table_calls_new (struct event_base *base, const char *address, const TableCallsInit *init)
{
  TableCalls *calls = g_new0 (TableCalls, 1);
  guint max_in_flight = 1 + init->limit_ms / init->timeout_ms;

  calls->base = base;
  calls->at_once = init->at_once;
  calls->limit_ms = init->limit_ms;
  calls->policy.after_ms = init->timeout_ms;
  calls->policy.jitter_ms = init->timeout_ms / SPREAD_PART;
  calls->policy.stall_ms = init->timeout_ms;
  calls->policy.max_in_flight = max_in_flight;
  calls->pool = http_pool_new (base, address, init->at_once * max_in_flight);
  TAILQ_INIT (&calls->waiting);
  TAILQ_INIT (&calls->made);
  return calls;
}

void
table_calls_free (TableCalls *calls)
{
  Call *call;

  while ((call = TAILQ_FIRST (&calls->waiting)) != NULL)
    give_up (call, FALSE);
  while ((call = TAILQ_FIRST (&calls->made)) != NULL)
    give_up (call, FALSE);
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
  call->limit = evtimer_new (calls->base, on_limit, call);
  event_add (call->limit, &limit);
  TAILQ_INSERT_TAIL (&calls->waiting, call, link);
  pump (calls);
}
