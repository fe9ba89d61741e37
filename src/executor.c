#include "executor.h"
#include "clock.h"
#include "counters.h"
#include "held_memory.h"
#include "http.h"
#include "timeline.h"

#define SWEEP_S 1
/* For outcomes not yet acknowledged; well inside a node's 128 MB. */
#define HELD_BYTES_MAX (48u << 20)
/* Of one answer: it is passed on in one frame. */
#define ANSWER_MAX_BYTES (15u << 20)

struct Executor
{
  Owner *owner;
  HttpPool *pool;
  guint timeout_ms; /* of the calls being started */
  ExecutorReport report;
  gpointer ctx;
  struct event *sweep;
};

typedef struct
{
  Executor *executor;
  TaskKey key;
} Call;

static const char *
reason_detail (const OwnerTask *task)
{
  static const char *const names[] = { "",
                                       "busy",
                                       "draining",
                                       "fenced",
                                       "cancelled",
                                       "expired",
                                       "overloaded",
                                       "unreachable",
                                       "handed back",
                                       "owner lost",
                                       "connection lost",
                                       "unsatisfiable",
                                       "no backend",
                                       "memory",
                                       "timeout" };

  return names[task->reason];
}

static void
finish_call (Call *call, const HttpAnswer *answer)
{
  Owner *owner = call->executor->owner;
  gint64 now = clock_now_ms ();
  gboolean too_long = answer->end == HTTP_ANSWERED && answer->size > ANSWER_MAX_BYTES;

  switch (too_long ? HTTP_BROKEN : answer->end)
    {
    case HTTP_ANSWERED:
      counter_add (COUNTER_TASKS_ANSWERED, 1);
      owner_finish (owner, &call->key, GW__OUTCOME__KIND__ANSWERED,
                    GW__OUTCOME__REASON__NONE, answer->status,
                    g_bytes_new (answer->body, answer->size), now);
      break;
    case HTTP_NOT_SENT:
      owner_finish (owner, &call->key, GW__OUTCOME__KIND__NOT_RUN,
                    GW__OUTCOME__REASON__UNREACHABLE, 0, NULL, now);
      break;
    case HTTP_BROKEN:
      counter_add (COUNTER_TASKS_BROKEN, 1);
      owner_finish (owner, &call->key, GW__OUTCOME__KIND__MAY_HAVE_RUN,
                    answer->timed_out ? GW__OUTCOME__REASON__TIMEOUT
                                      : GW__OUTCOME__REASON__CONNECTION_LOST,
                    0, NULL, now);
      break;
    }
}

static void
on_answer (const HttpAnswer *answer, gpointer ctx)
{
  Call *call = ctx;

  finish_call (call, answer);
  g_free (call);
}

static void
on_start (const OwnerTask *task,
          const char *path,
          const void *payload,
          gsize size,
          gpointer ctx)
{
  Executor *executor = ctx;
  char job[JOB_TEXT_SIZE];
  char *id
      = g_strdup_printf ("%s/%u", job_key_format (&task->key.job, job), task->key.index);
  const char *headers[]
      = { "X-Task-Id", id, "Content-Type", "application/octet-stream", NULL };
  Call *call = g_new0 (Call, 1);
  HttpCall http = { .method = EVHTTP_REQ_POST,
                    .path = path,
                    .headers = headers,
                    .body = payload,
                    .size = size,
                    .timeout_ms = executor->timeout_ms,
                    .done = on_answer,
                    .ctx = call };

  call->executor = executor;
  call->key = task->key;
  timeline_add ("task-started", &task->key.job, (int)task->key.index, NULL);
  http_pool_call (executor->pool, &http);
  g_free (id);
}

static void
on_report (const OwnerTask *task, gpointer ctx)
{
  Executor *executor = ctx;
  const char *event = task->kind == GW__OUTCOME__KIND__ANSWERED  ? "task-answered"
                      : task->kind == GW__OUTCOME__KIND__NOT_RUN ? "task-not-run"
                                                                 : "task-broken";

  timeline_add (event, &task->key.job, (int)task->key.index, reason_detail (task));
  executor->report (task, executor->ctx);
}

static void
on_sweep (evutil_socket_t fd, short what, void *ctx)
{
  Executor *executor = ctx;

  owner_expire (executor->owner, clock_now_ms ());
}

Executor *
executor_new (struct event_base *base,
              const ExecutorInit *init,
              ExecutorReport report,
              gpointer ctx)
{
  static const OwnerOps owner_ops = { on_start, on_report };
  Executor *executor = g_new0 (Executor, 1);
  OwnerLimits limits
      = { init->slots, MIN (HELD_BYTES_MAX, held_memory_limit (HELD_ANSWERS)) };
  struct timeval interval = { SWEEP_S, 0 };

  executor->owner = owner_new (&limits, &owner_ops, executor);
  executor->pool
      = http_pool_new (base, init->address, MIN (init->slots, init->connections));
  executor->report = report;
  executor->ctx = ctx;
  executor->sweep = event_new (base, -1, EV_PERSIST, on_sweep, executor);
  event_add (executor->sweep, &interval);
  return executor;
}

void
executor_free (Executor *executor)
{
  if (executor == NULL)
    return;
  event_free (executor->sweep);
  http_pool_free (executor->pool);
  owner_free (executor->owner);
  g_free (executor);
}

Owner *
executor_owner (Executor *executor)
{
  return executor->owner;
}

void
executor_start (Executor *executor, const Gw__Start *start, guint64 receiver)
{
  gint64 now = clock_now_ms ();

  executor->timeout_ms = start->timeout_ms;
  for (gsize i = 0; i < start->n_tasks; i++)
    {
      const Gw__Task *task = start->tasks[i];
      TaskKey key = { { start->job->holder, start->job->number }, task->index };

      owner_start (executor->owner, &key, task->attempt, receiver, start->path,
                   task->payload.data, task->payload.len, now + start->lease_ms, now);
    }
}

Gw__Outcome *
executor_outcome (const OwnerTask *task)
{
  Gw__Outcome *outcome = g_new (Gw__Outcome, 1);

  gw__outcome__init (outcome);
  outcome->job = g_new (Gw__JobId, 1);
  gw__job_id__init (outcome->job);
  outcome->job->holder = task->key.job.holder;
  outcome->job->number = task->key.job.number;
  outcome->index = task->key.index;
  outcome->attempt = task->attempt;
  outcome->kind = task->kind;
  outcome->reason = task->reason;
  outcome->status = task->status;
  outcome->run_ms = task->run_ms;
  if (task->body != NULL)
    {
      gsize size;
      const void *body = g_bytes_get_data (task->body, &size);

      outcome->body.data = g_memdup2 (body, size);
      outcome->body.len = size;
    }
  return outcome;
}
