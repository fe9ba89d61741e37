#define LOG_MODULE "dispatcher"
#include "counters.h"
#include "dispatcher_parts.h"
#include "events.h"

#include <string.h>

/* A task may crash every server that starts it, and with it all other runs there. After
 * two such servers the task runs alone (dispatcher_place.c): if that server crashes too,
 * the task is the cause; a task that only ran beside the cause completes there. */
static void
count_crash (LeasedTask *task, const LeasedServer *server, guint run, const char *reason)
{
  LeasedJob *job = task->job;

  task->servers_ended++;
  event_note ("server-ended-under", job->spec.id,
              "task=%u run=%u agent=%s times=%u reason=\"%s\"", task->index, run,
              server->name, task->servers_ended, reason);
  if (task->servers_ended < SERVERS_ENDED_MAX || job->closed)
    return;
  counter_add (COUNTER_TASKS_ENDED_SERVERS, 1);
  job_answer (job, LEASED_FAILED, "the servers that start a task of it end", 0);
}

void
task_server_ended (LeasedTask *task, const char *reason)
{
  const LeasedServer *server = task->server;

  task_detach (task);
  task_requeue (task);
  count_crash (task, server, task->run, reason);
}

static gboolean
may_have_crashed (const LeasedTask *task, const SilentRun *silent)
{
  return task->job->dispatcher->now_ms - silent->lost_ms <= RESTART_SEEN_MS;
}

guint
task_suspicion (const LeasedTask *task)
{
  guint n = task->servers_ended;

  for (guint i = 0; i < task->n_silent; i++)
    n += may_have_crashed (task, &task->silent[i]);
  return n;
}

static void
remove_silent_run (LeasedTask *task, guint i)
{
  task->n_silent--;
  memmove (&task->silent[i], &task->silent[i + 1],
           (task->n_silent - i) * sizeof *task->silent);
}

void
task_server_silent (LeasedTask *task)
{
  gint64 now_ms = task->job->dispatcher->now_ms;
  SilentRun silent = { task->run, task->server->agent, now_ms };

  if (task->n_silent == G_N_ELEMENTS (task->silent))
    remove_silent_run (task, 0);
  task->silent[task->n_silent++] = silent;
  event_note ("server-silent-under", task->job->spec.id,
              "task=%u run=%u agent=%s suspicion=%u", task->index, task->run,
              task->server->name, task_suspicion (task));
  task_detach (task);
  task_requeue (task);
}

static SilentRun *
find_silent_run (LeasedTask *task, const LeasedServer *server, guint run)
{
  for (guint i = 0; i < task->n_silent; i++)
    if (task->silent[i].run == run && task->silent[i].agent == server->agent
        && may_have_crashed (task, &task->silent[i]))
      return &task->silent[i];
  return NULL;
}

/* The task may have been started elsewhere, or have ended, since its server fell silent.
 */
void
dispatcher_late_report (const LeasedServer *server, const TaskReport *report)
{
  LeasedJob *job = g_hash_table_lookup (server->dispatcher->by_id, report->key.job);
  SilentRun *silent;
  LeasedTask *task;

  if (job == NULL || report->key.index >= job->spec.count
      || (report->event != TASK_SERVER_ENDED && report->event != TASK_LOST))
    return;
  task = &job->tasks[report->key.index];
  silent = find_silent_run (task, server, report->key.run);
  if (silent == NULL)
    return;
  remove_silent_run (task, (guint)(silent - task->silent));
  if (report->event == TASK_SERVER_ENDED && task->state != TASK_ENDED)
    count_crash (task, server, report->key.run, report->reason);
  job_free_if_done (job);
}
