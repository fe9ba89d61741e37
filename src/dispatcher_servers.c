#define LOG_MODULE "dispatcher"
#include "counters.h"
#include "dispatcher_parts.h"
#include "events.h"

#include <string.h>

/* A server is asked for room at most this often: each wish is a frame. */
#define WISH_LEAST_MS 10
/* A task under which so many servers have ended, the last one while it ran there alone,
 * is started no more. */
#define SERVERS_ENDED_MOST (SERVERS_ENDED_ALONE + 1)
/* After the lease of an entry an agent needs its tick, the call and the server's own time
 * to end a run. */
#define STOP_SLACK_MS 150
/* An agent names ends of the last three seconds; less what a link takes to come back. */
#define AGENT_MEMORY_MS 2000
/* A server that refused a start for want of room has told its state by then. */
#define REFUSED_HOLD_MS 30

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
                      gpointer owner)
{
  LeasedServer *server = find_server (dispatcher, agent);

  if (server == NULL)
    {
      server = g_new0 (LeasedServer, 1);
      server->dispatcher = dispatcher;
      server->agent = agent;
      server->name = g_strdup (name);
      TAILQ_INIT (&server->tasks);
      TAILQ_INSERT_TAIL (&dispatcher->servers, server, link);
    }
  dispatcher->linked_ms = dispatcher->now_ms;
  server->owner = owner;
  server->inventoried = FALSE;
  server->late_ms = 0;
  server->wish_pace = throttle_new (WISH_LEAST_MS);
  return server;
}

void
dispatcher_server_down (LeasedServer *server, gint64 now_ms)
{
  server->owner = NULL;
  event_note ("server-unlinked", "-",
              "agent=%s placed=%u leased_for_ms=%" G_GINT64_FORMAT, server->name,
              server->n_placed,
              server->granted_until - peer_clock_least (&server->clock, now_ms, 0));
}

gpointer
leased_server_owner (const LeasedServer *server)
{
  return server->owner;
}

void
dispatcher_server_clock (LeasedServer *server, gint64 told_ms, gint64 now_ms)
{
  peer_clock_hear (&server->clock, told_ms, now_ms);
}

void
dispatcher_server_late (LeasedServer *server, guint late_ms, gint64 now_ms)
{
  server->late_ms = late_ms;
  throttle_on_delay (&server->wish_pace, late_ms, now_ms);
}

void
dispatcher_server_granted (LeasedServer *server, gint64 until_ms)
{
  server->granted_until = MAX (server->granted_until, until_ms);
}

guint
dispatcher_servers (const Dispatcher *dispatcher)
{
  const LeasedServer *server;
  guint n = 0;

  TAILQ_FOREACH (server, &dispatcher->servers, link)
    if (server->owner != NULL && server->status.ready)
      n++;
  return n;
}

void
task_stop (LeasedTask *task)
{
  Dispatcher *dispatcher = task->job->dispatcher;
  RunKey key = { .index = task->index, .run = task->run };

  if (task->state != TASK_PLACED || task->stopping)
    return;
  task->stopping = TRUE;
  g_strlcpy (key.job, task->job->spec.id, sizeof key.job);
  if (task->server->owner != NULL)
    dispatcher->ops->stop (task->server, &key, dispatcher->ctx);
}

static void
note_closing_run_over (LeasedJob *job)
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
  demand_subtract (&server->placed, &task->taken);
  task->server = NULL;
  task->stopping = FALSE;
  job->placed--;
  if (job->closed)
    note_closing_run_over (job);
}

static void
task_wait_again (LeasedTask *task)
{
  LeasedJob *job = task->job;

  task->state = TASK_WAITS;
  task->waits_ms = job->dispatcher->now_ms;
  if (job->closed)
    return;
  job->waiting++;
  job->dispatcher->n_waiting++;
}

static void
observe_run_time (const LeasedJob *job, guint run_ms)
{
  runtimes_observe (dispatcher_runtimes (job->dispatcher, job->spec.queue),
                    job->spec.declared_ms, run_ms);
}

static void
task_done (LeasedTask *task, guint run_ms)
{
  LeasedJob *job = task->job;

  if (run_ms > 0)
    observe_run_time (job, run_ms);
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
  task_wait_again (task);
  if (task->failures >= job->spec.max_attempts)
    job_answer (job, LEASED_FAILED, "a task failed as often as its queue allows", 0);
}

/* A task may end each server that starts it, and with it all that runs beside it. Once
 * that has happened twice it runs alone (dispatcher_place.c): if the server ends again,
 * it is this task that ends them. What only stood beside it ends well there. */
static void
task_server_ended (LeasedTask *task)
{
  LeasedJob *job = task->job;

  task->servers_ended++;
  event_note ("server-ended-under", job->spec.id, "task=%u run=%u agent=%s times=%u",
              task->index, task->run, task->server->name, task->servers_ended);
  task_detach (task);
  task_wait_again (task);
  if (task->servers_ended < SERVERS_ENDED_MOST || job->closed)
    return;
  counter_add (COUNTER_TASKS_ENDED_SERVERS, 1);
  job_answer (job, LEASED_FAILED, "the servers that start a task of it end", 0);
}

static void
task_not_started (LeasedTask *task, const char *reason)
{
  LeasedServer *server = task->server;

  /* A superseded number says nothing about the server: the next one is tried at once. Of
   * a lack of room the agent has just told its present state. */
  if (strcmp (reason, "superseded") != 0 && strcmp (reason, "no room") != 0)
    server->hold_until_ms = server->dispatcher->now_ms + REFUSED_HOLD_MS;
  task_detach (task);
  task_wait_again (task);
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
take_event (LeasedTask *task, const TaskReport *report)
{
  LeasedJob *job = task->job;

  switch (report->event)
    {
    case TASK_STARTED:
      if (task->started_ms == 0)
        task->started_ms = job->dispatcher->now_ms;
      job->started = TRUE;
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
      task_wait_again (task);
      break;
    case TASK_SERVER_ENDED:
      job->started = TRUE;
      task_server_ended (task);
      break;
    case TASK_STRAGGLES:
      dispatcher_straggler (task, report);
      return;
    }
  job_release_if_over (job);
}

static void
lose_task (LeasedTask *task)
{
  LeasedJob *job = task->job;

  job->started |= task->started_ms > 0;
  task_detach (task);
  task_wait_again (task);
  job_release_if_over (job);
}

/* The agent told all it has, with the runs that ended a short while ago: an order that it
 * does not name was lost with its link, and no later one of that link can reach it. One
 * that is older than what the agent remembers may have run. */
static void
drop_unnamed (LeasedServer *server, const TaskReport *reports, gsize n)
{
  LeasedTask *task;
  LeasedTask *next;

  for (task = TAILQ_FIRST (&server->tasks); task != NULL; task = next)
    {
      gboolean named = FALSE;

      next = TAILQ_NEXT (task, on_server);
      for (gsize i = 0; i < n && !named; i++)
        named = is_run_of (task, &reports[i].key);
      if (named)
        continue;
      if (server->dispatcher->now_ms - task->placed_ms > AGENT_MEMORY_MS)
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
      drop_unnamed (server, reports, n);
      server->inventoried = TRUE;
    }
  for (gsize i = 0; i < n; i++)
    {
      LeasedTask *task = find_task (server, &reports[i].key);

      if (task != NULL)
        take_event (task, &reports[i]);
      else if (reports[i].event == TASK_STARTED && server->owner != NULL)
        dispatcher->ops->stop (server, &reports[i].key, dispatcher->ctx);
    }
  dispatcher->ops->pump (dispatcher->ctx);
}

static void
lose_tasks (LeasedServer *server)
{
  LeasedTask *task;

  while ((task = TAILQ_FIRST (&server->tasks)) != NULL)
    {
      task->job->started = TRUE; /* for all that is known */
      lose_task (task);
    }
}

static void
give_up (LeasedServer *server, const char *reason)
{
  event_note ("server-given-up", "-", "agent=%s reason=\"%s\" lost=%u", server->name,
              reason, server->n_placed);
  lose_tasks (server);
  TAILQ_REMOVE (&server->dispatcher->servers, server, link);
  server_status_free (&server->status);
  g_free (server->name);
  g_free (server);
}

/* A new agent says ready only once nothing of its predecessor's runs any more: waiting
 * for the predecessor's leases would cost its tasks about a second. */
static void
bury_earlier_agents (const LeasedServer *living)
{
  LeasedServer *server;
  LeasedServer *next;

  for (server = TAILQ_FIRST (&living->dispatcher->servers); server != NULL; server = next)
    {
      next = TAILQ_NEXT (server, link);
      if (server != living && server->owner == NULL
          && strcmp (server->name, living->name) == 0)
        give_up (server, "a new agent has cleared it");
    }
}

/* Closed if either knows: an entry that is cut off from the table learns it from the
 * agent, and an entry that knows does not wait for the agent's word. */
static void
note_closed (LeasedServer *server)
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
    note_closed (server);
  dispatcher->ops->pump (dispatcher->ctx);
}

void
dispatcher_server_status (LeasedServer *server, ServerStatus *status)
{
  gboolean other_life = g_strcmp0 (server->status.instance, status->instance) != 0;

  if (other_life || server->status.ready != status->ready
      || server->status.draining != status->draining
      || server->status.closed != status->closed || server->status.trust != status->trust)
    event_note ("server-status", "-",
                "agent=%s server=%s ready=%d draining=%d closed=%d cpu=%u trust=%d "
                "slowness=%u failing=%u",
                server->name, status->instance, status->ready, status->draining,
                status->closed, status->capacity.cpu_milli, status->trust,
                status->slowness_percent, status->failing_percent);
  server_status_free (&server->status);
  server->status = *status;
  note_closed (server);
  if (status->ready)
    bury_earlier_agents (server);
  server->dispatcher->ops->pump (server->dispatcher->ctx);
}

/* A server whose agent is not linked: its runs end with the leases, first the one that
 * this process gave the agent, then the one that the agent gave the server. */
static gboolean
runs_are_over (const LeasedServer *server)
{
  const Dispatcher *dispatcher = server->dispatcher;
  gint64 longest = server->granted_until + dispatcher->init.server_lease_ms
                   + dispatcher->init.server_lease_ms / 50 + STOP_SLACK_MS;

  return peer_clock_least (&server->clock, dispatcher->now_ms, 0) > longest;
}

void
dispatcher_check_servers (Dispatcher *dispatcher)
{
  LeasedServer *server;
  LeasedServer *next;

  for (server = TAILQ_FIRST (&dispatcher->servers); server != NULL; server = next)
    {
      next = TAILQ_NEXT (server, link);
      if (server->owner != NULL || !runs_are_over (server))
        continue;
      give_up (server, "leases are over");
    }
}
