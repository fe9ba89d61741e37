#define LOG_MODULE "dispatcher"
#include "counters.h"
#include "dispatcher_parts.h"
#include "events.h"

#include <string.h>

/* Least time between resource requests to one server: each is a frame. */
#define REQUEST_INTERVAL_MIN_MS 10
/* After an entry's lease expires, ending a run takes the agent's tick, its call and the
 * server's own time. */
#define STOP_SLACK_MS 150
/* An agent's inventory lists the runs that ended in the last 3 s (runner.c). This is 1 s
 * less, for the link to reconnect. */
#define AGENT_HISTORY_MS 2000
/* Nothing is placed on a server for this long after it refused a start; by then its
 * current state has arrived. */
#define REFUSED_BACKOFF_MS 30

void
server_status_free (ServerStatus *status)
{
  g_free (status->instance);
  g_free (status->service);
  g_free (status->zone);
  g_strfreev (status->labels);
  memset (status, 0, sizeof *status);
}

static LeasedServer *
find_server (Dispatcher *dispatcher, guint64 agent)
{
  LeasedServer *server;

  TAILQ_FOREACH (server, &dispatcher->servers, link)
    if (server->agent == agent)
      return server;
  return NULL;
}

LeasedServer *
dispatcher_server_up (Dispatcher *dispatcher,
                      guint64 agent,
                      const char *name,
                      gpointer user_data)
{
  LeasedServer *server = find_server (dispatcher, agent);

  if (server == NULL)
    {
      server = g_new0 (LeasedServer, 1);
      server->dispatcher = dispatcher;
      server->agent = agent;
      server->name = g_strdup (name);
      server->relative_time = 1;
      TAILQ_INIT (&server->tasks);
      TAILQ_INSERT_TAIL (&dispatcher->servers, server, link);
    }
  dispatcher->linked_ms = dispatcher->now_ms;
  server->user_data = user_data;
  server->waits_for_starts = FALSE;
  server->is_successor = FALSE;
  server->inventoried = FALSE;
  server->delay_ms = 0;
  server->request_throttle = throttle_new (REQUEST_INTERVAL_MIN_MS);
  return server;
}

static void
note_predecessor (const LeasedServer *predecessor)
{
  LeasedServer *server;

  TAILQ_FOREACH (server, &predecessor->dispatcher->servers, link)
    if (strcmp (server->name, predecessor->name) == 0)
      server->is_successor = FALSE;
}

void
dispatcher_server_down (LeasedServer *server, gint64 now_ms)
{
  note_predecessor (server);
  server->user_data = NULL;
  server->unlinked_ms = now_ms;
  event_note ("server-unlinked", "-",
              "agent=%s placed=%u leased_for_ms=%" G_GINT64_FORMAT, server->name,
              server->n_placed,
              server->lease_until - peer_clock_least (&server->clock, now_ms, 0));
}

gpointer
leased_server_user_data (const LeasedServer *server)
{
  return server->user_data;
}

const ServerStatus *
leased_server_status (const LeasedServer *server)
{
  return &server->status;
}

void
dispatcher_server_clock (LeasedServer *server, gint64 peer_ms, gint64 now_ms)
{
  peer_clock_observe (&server->clock, peer_ms, now_ms);
}

void
dispatcher_server_delay (LeasedServer *server, guint delay_ms, gint64 now_ms)
{
  server->delay_ms = delay_ms;
  throttle_on_delay (&server->request_throttle, delay_ms, now_ms);
}

void
dispatcher_server_lease_extended (LeasedServer *server, gint64 until_ms)
{
  server->lease_until = MAX (server->lease_until, until_ms);
}

guint
dispatcher_servers (const Dispatcher *dispatcher)
{
  const LeasedServer *server;
  guint n = 0;

  TAILQ_FOREACH (server, &dispatcher->servers, link)
    if (server->user_data != NULL && server->status.ready)
      n++;
  return n;
}

static void
send_stop (LeasedTask *task)
{
  Dispatcher *dispatcher = task->job->dispatcher;
  RunKey key = { .index = task->index, .run = task->run };

  g_strlcpy (key.job, task->job->spec.id, sizeof key.job);
  if (task->server->user_data != NULL)
    dispatcher->ops->stop (task->server, &key, dispatcher->ctx);
}

void
task_stop (LeasedTask *task)
{
  if (task->state != TASK_PLACED || task->stopping)
    return;
  task->stopping = TRUE;
  send_stop (task);
}

static void
closing_run_ended (LeasedJob *job)
{
  Dispatcher *dispatcher = job->dispatcher;
  guint left = GPOINTER_TO_UINT (g_hash_table_lookup (dispatcher->closing, job->spec.id));

  if (left <= 1)
    g_hash_table_remove (dispatcher->closing, job->spec.id);
  else
    g_hash_table_replace (dispatcher->closing, g_strdup (job->spec.id),
                          GUINT_TO_POINTER (left - 1));
}

void
task_detach (LeasedTask *task)
{
  LeasedServer *server = task->server;
  LeasedJob *job = task->job;

  g_assert (server != NULL);
  TAILQ_REMOVE (&server->tasks, task, on_server);
  server->n_placed--;
  demand_subtract (&server->placed, &task->reserved);
  task->server = NULL;
  task->stopping = FALSE;
  job->placed--;
  if (job->closed)
    closing_run_ended (job);
}

void
task_requeue (LeasedTask *task)
{
  LeasedJob *job = task->job;

  task->state = TASK_WAITING;
  task->waiting_since_ms = job->dispatcher->now_ms;
  if (job->closed)
    return;
  job->waiting++;
  job->dispatcher->n_waiting++;
}

/* Nothing is learned of a queue that left the configuration while its last tasks ran. */
static void
observe_run_time (const LeasedJob *job, guint run_ms)
{
  Runtimes *runtimes = g_hash_table_lookup (job->dispatcher->runtimes, job->spec.queue);

  if (runtimes != NULL)
    runtimes_observe (runtimes, job->spec.declared_ms, run_ms);
}

/* What the task would have taken at usual speed. On a server that is slow now a long run
 * says nothing of the task, and callers do not count it. */
static double
own_time_ms (const LeasedTask *task, double run_ms)
{
  double slowness = task->server->status.slowness_percent / 100.0;

  return run_ms / MAX (slowness, 1) / task->server->relative_time;
}

/* A run that has not ended counts up to the length that is usual: it may hang. */
static void
observe_running (const LeasedTask *task)
{
  LeasedJob *job = task->job;
  double run_ms
      = own_time_ms (task, (double)(job->dispatcher->now_ms - task->started_ms));
  const Runtimes *shape;

  if (run_ms <= job->seen_ms)
    return;
  shape = job_shape (job);
  if (shape != NULL)
    job_observe_run (job, MIN (run_ms, runtimes_quantile (shape, job->spec.declared_ms,
                                                          USUAL_QUANTILE)));
}

void
dispatcher_follow_runs (Dispatcher *dispatcher)
{
  const LeasedServer *server;
  const LeasedTask *task;

  TAILQ_FOREACH (server, &dispatcher->servers, link)
    TAILQ_FOREACH (task, &server->tasks, on_server)
      if (task->started_ms > 0 && task->job->waiting > 0)
        observe_running (task);
}

/* The run time on the server of median speed, which expected run times are about. Those
 * observed would depend on which servers are used. */
static guint
median_run_ms (const LeasedTask *task, guint run_ms)
{
  return (guint)MAX (run_ms / task->server->relative_time, 1);
}

static void
task_done (LeasedTask *task, guint run_ms)
{
  LeasedJob *job = task->job;

  if (run_ms > 0)
    observe_run_time (job, median_run_ms (task, run_ms));
  job_observe_run (job, own_time_ms (task, run_ms));
  task_detach (task);
  task->state = TASK_ENDED;
  job->ended++;
  if (job->ended == job->spec.count)
    job_answer (job, LEASED_COMPLETED, "", 0);
}

static void
task_failed (LeasedTask *task)
{
  LeasedJob *job = task->job;

  task->avoid = task->server;
  task_detach (task);
  task->failures++;
  task_requeue (task);
  if (task->failures >= job->spec.max_attempts)
    job_answer (job, LEASED_FAILED, "a task failed as often as its queue allows", 0);
}

static void
task_not_started (LeasedTask *task, const char *reason)
{
  LeasedServer *server = task->server;

  /* No backoff in three cases: a superseded run number and an order for an earlier server
   * say nothing about this one, and with "no room" the agent has just reported its
   * present state. */
  if (strcmp (reason, "superseded") != 0 && strcmp (reason, "no room") != 0
      && strcmp (reason, ORDER_REPLACED) != 0)
    server->backoff_until_ms = server->dispatcher->now_ms + REFUSED_BACKOFF_MS;
  if (strcmp (reason, "no room") == 0)
    server_note_no_room (server);
  task_detach (task);
  task_requeue (task);
}

static gboolean
is_run_of (const LeasedTask *task, const RunKey *key)
{
  return task->index == key->index && task->run == key->run
         && strcmp (task->job->spec.id, key->job) == 0;
}

static LeasedTask *
find_task (const LeasedServer *server, const RunKey *key)
{
  LeasedTask *task;

  TAILQ_FOREACH (task, &server->tasks, on_server)
    if (is_run_of (task, key))
      return task;
  return NULL;
}

static void
handle_report (LeasedTask *task, const TaskReport *report)
{
  LeasedJob *job = task->job;

  switch (report->event)
    {
    case TASK_STARTED:
      if (task->started_ms == 0)
        task->started_ms = job->dispatcher->now_ms;
      job->started = TRUE;
      /* The stop may have been lost with a link. */
      if (task->stopping)
        send_stop (task);
      return;
    case TASK_NOT_STARTED:
      task_not_started (task, report->reason);
      break;
    case TASK_DONE:
      job->started = TRUE;
      task_done (task, report->run_ms);
      break;
    case TASK_FAILED:
      job->started = TRUE;
      task_failed (task);
      break;
    case TASK_LOST:
      job->started = TRUE;
      task_detach (task);
      task_requeue (task);
      break;
    case TASK_SERVER_ENDED:
      job->started = TRUE;
      task_server_ended (task, report->reason);
      break;
    case TASK_SERVER_SILENT:
      job->started = TRUE;
      task_server_silent (task);
      break;
    case TASK_STRAGGLES:
      dispatcher_handle_straggler (task, report);
      return;
    }
  job_free_if_done (job);
}

static void
lose_task (LeasedTask *task)
{
  LeasedJob *job = task->job;

  job->started |= task->started_ms > 0;
  task_detach (task);
  task_requeue (task);
  job_free_if_done (job);
}

/* The inventory lists all of the agent's runs, with those that ended recently. An order
 * that it lacks was lost with its link and can no longer arrive, but if it is older than
 * the agent's history, it may have run. */
static void
drop_unlisted (LeasedServer *server, const TaskReport *reports, gsize n)
{
  LeasedTask *task;
  LeasedTask *next;

  for (task = TAILQ_FIRST (&server->tasks); task != NULL; task = next)
    {
      gboolean listed = FALSE;

      next = TAILQ_NEXT (task, on_server);
      for (gsize i = 0; i < n && !listed; i++)
        listed = is_run_of (task, &reports[i].key);
      if (listed)
        continue;
      if (server->dispatcher->now_ms - task->placed_ms > AGENT_HISTORY_MS)
        task->job->started = TRUE;
      lose_task (task);
    }
}

void
dispatcher_reports (LeasedServer *server,
                    const TaskReport *reports,
                    gsize n,
                    gboolean inventory,
                    gint64 now_ms)
{
  Dispatcher *dispatcher = server->dispatcher;

  dispatcher->now_ms = now_ms;
  if (inventory)
    {
      drop_unlisted (server, reports, n);
      server->inventoried = TRUE;
    }
  for (gsize i = 0; i < n; i++)
    {
      LeasedTask *task = find_task (server, &reports[i].key);

      if (task != NULL)
        handle_report (task, &reports[i]);
      else if (reports[i].event == TASK_STARTED && server->user_data != NULL)
        dispatcher->ops->stop (server, &reports[i].key, dispatcher->ctx);
      else
        dispatcher_late_report (server, &reports[i]);
    }
  dispatcher->ops->pump (dispatcher->ctx);
}

static void
lose_tasks (LeasedServer *server, gboolean unreported_too)
{
  LeasedTask *task;
  LeasedTask *next;

  for (task = TAILQ_FIRST (&server->tasks); task != NULL; task = next)
    {
      next = TAILQ_NEXT (task, on_server);
      if (task->started_ms == 0 && !unreported_too)
        continue;
      task->job->started = TRUE; /* it may have */
      lose_task (task);
    }
}

static void
declare_dead (LeasedServer *server, const char *reason)
{
  event_note ("server-given-up", "-", "agent=%s reason=\"%s\" lost=%u", server->name,
              reason, server->n_placed);
  lose_tasks (server, TRUE);
  TAILQ_REMOVE (&server->dispatcher->servers, server, link);
  server_status_free (&server->status);
  g_free (server->name);
  g_free (server);
}

/* A new agent reports ready only once none of its predecessor's runs is left. Waiting for
 * the predecessor's leases to expire would delay their tasks by about a second. */
static void
drop_predecessors (LeasedServer *successor)
{
  LeasedServer *server;
  LeasedServer *next;

  if (successor->is_successor)
    return;
  successor->is_successor = TRUE;
  for (server = TAILQ_FIRST (&successor->dispatcher->servers); server != NULL;
       server = next)
    {
      next = TAILQ_NEXT (server, link);
      if (server != successor && server->user_data == NULL
          && strcmp (server->name, successor->name) == 0)
        declare_dead (server, "a new agent has cleared it");
    }
}

/* A zone is closed if the entry or the agent knows it: an entry that is cut off from the
 * table learns it from the agent, and one that knows does not wait for the agent. */
static void
update_closed (LeasedServer *server)
{
  const ClosedZones *closures = server->dispatcher->init.closures;
  const char *zone = server->status.zone;

  server->closed
      = server->status.closed
        || (closures != NULL && zone != NULL && closed_zones_has (closures, zone));
}

void
dispatcher_zones_changed (Dispatcher *dispatcher)
{
  LeasedServer *server;

  TAILQ_FOREACH (server, &dispatcher->servers, link)
    update_closed (server);
  dispatcher->ops->pump (dispatcher->ctx);
}

/* Counted from the last event here, which is earlier than the report: runs then fit
 * rather too seldom. That the server leaves is remembered, since it then has little time
 * left also when it accepts nothing any more. */
static void
update_leaving (LeasedServer *server, const ServerStatus *status, gboolean other_instance)
{
  server->leaves = status->draining
                   && (status->leaving_ms > 0 || (server->leaves && !other_instance));
  server->leaving_until_ms = status->draining && status->leaving_ms > 0
                                 ? server->dispatcher->now_ms + status->leaving_ms
                                 : 0;
}

void
dispatcher_server_status (LeasedServer *server, ServerStatus *status)
{
  gboolean other_instance = g_strcmp0 (server->status.instance, status->instance) != 0;

  if (other_instance || server->status.ready != status->ready
      || server->status.draining != status->draining
      || server->status.closed != status->closed || server->status.trust != status->trust)
    event_note ("server-status", "-",
                "agent=%s server=%s ready=%d draining=%d closed=%d cpu=%u trust=%d "
                "slowness=%u failing=%u leaving_ms=%u",
                server->name, status->instance, status->ready, status->draining,
                status->closed, status->capacity.cpu_milli, status->trust,
                status->slowness_percent, status->failing_percent, status->leaving_ms);
  update_leaving (server, status, other_instance);
  if (other_instance)
    server->relative_time = 1;
  if (other_instance || !status->ready)
    server->is_successor = FALSE;
  server_status_free (&server->status);
  server->status = *status;
  server->dispatcher->has_offers |= status->offered;
  update_closed (server);
  if (status->ready)
    drop_predecessors (server);
  server->dispatcher->ops->pump (server->dispatcher->ctx);
}

/* The runs of a server whose agent is not linked end with the leases: that from this
 * entry to the agent, then that from the agent to the server, whose clock may run 2%
 * slow. */
static gboolean
leases_expired (const LeasedServer *server)
{
  const Dispatcher *dispatcher = server->dispatcher;
  guint lease_ms = dispatcher->init.server_lease_ms;
  guint longest_ms = MAX (lease_ms + lease_ms / 50, server->status.restart_lease_ms);
  gint64 longest = server->lease_until + longest_ms + STOP_SLACK_MS;

  return peer_clock_least (&server->clock, dispatcher->now_ms, 0) > longest;
}

/* A start that was not reported may still be under way. If the server has restarted under
 * its name and no agent fences it, it carries the start out.
 *
 * Return: whether the server keeps any task for that reason. */
static gboolean
waits_for_late_starts (LeasedServer *server)
{
  const Dispatcher *dispatcher = server->dispatcher;

  if (server->status.restart_lease_ms == 0
      || dispatcher->now_ms - server->unlinked_ms > LATE_CALL_MS)
    return FALSE;
  lose_tasks (server, FALSE);
  if (server->n_placed > 0 && !server->waits_for_starts)
    event_note ("server-starts-unknown", "-", "agent=%s held=%u", server->name,
                server->n_placed);
  server->waits_for_starts = server->n_placed > 0;
  return server->waits_for_starts;
}

void
dispatcher_check_servers (Dispatcher *dispatcher)
{
  LeasedServer *server;
  LeasedServer *next;

  for (server = TAILQ_FIRST (&dispatcher->servers); server != NULL; server = next)
    {
      next = TAILQ_NEXT (server, link);
      if (server->user_data != NULL || !leases_expired (server)
          || waits_for_late_starts (server))
        continue;
      declare_dead (server, "leases are over");
    }
}
