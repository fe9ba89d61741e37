#include "load_replay_parts.h"

/* How long an agent takes to adopt a lasting change of its server's speed. */
#define SPEED_HELD_MS 4000
#define SPEED_RUNS_MANY 200
#define SPEED_RUNS_FEW 3
#define REPORT_BYTES 60
#define STATE_BYTES 70

static void
send_report (Replay *replay,
             Server *server,
             Submission *submission,
             const TaskReport *report)
{
  Event *event
      = event_at (replay, link_to_entry (replay, submission->entry, REPORT_BYTES),
                  EVENT_REPORT, submission->entry, server);

  event->submission = submission;
  event->report = *report;
}

static void
schedule_state (Replay *replay, Server *server, Entry *entry, gint64 delay_ms)
{
  if (server->state_scheduled[entry->index])
    return;
  server->state_scheduled[entry->index] = TRUE;
  event_at (replay, replay->now + delay_ms, EVENT_SEND_STATE, entry, server);
}

/* Offers are sent at once, other changes at the throttled interval. */
void
agent_state_changed (Replay *replay, Server *server)
{
  for (guint i = 0; i < replay->init->entries; i++)
    {
      const ServerLink *link = server_link (replay, &replay->entries[i], server);
      gint64 wait_ms = server->sent_ms[i] + throttle_interval_ms (&link->state_throttle)
                       - replay->now;

      if (offers_is_reserved_for (server->offers, i + 1))
        wait_ms = 0;
      schedule_state (replay, server, &replay->entries[i], MAX (wait_ms, 0));
    }
}

static void
update_free_capacity (Replay *replay, Server *server)
{
  Demand room = server->capacity;

  demand_subtract (&room, &server->used);
  offers_set_free (server->offers, &room);
}

static gint64
run_ms_on (const Replay *replay, const Server *server, const LoadJob *job, guint task)
{
  double time
      = load_server_time (replay->init, server->index, replay->now - replay->start_ms);

  return (gint64)MAX (job->run_ms[task] * time, 1);
}

static guint
speed_runs (const Replay *replay, const Server *server)
{
  switch (replay->init->speeds)
    {
    case LOAD_SPEEDS_UNKNOWN:
      return SPEED_RUNS_FEW;
    case LOAD_SPEEDS_OLD_BUILD:
      return 0;
    case LOAD_SPEEDS_HALF:
      return server->index % 2 == 0 ? SPEED_RUNS_MANY : SPEED_RUNS_FEW;
    default:
      return SPEED_RUNS_MANY;
    }
}

static guint
speed_percent (const Replay *replay, const Server *server, double time)
{
  if (server->index == 0 && replay->init->speeds == LOAD_SPEEDS_FIRST_LOW)
    return 5;
  if (server->index == 0 && replay->init->speeds == LOAD_SPEEDS_FIRST_HIGH)
    return 2000;
  return (guint)(time * server->speed_noise * 100 + 0.5);
}

/* The agent holds a speed for SPEED_HELD_MS after a change and reports the deviation from
 * it as slowness. While it has no speed, all of the run time is slowness. */
void
agent_report_speed (const Replay *replay, const Server *server, ServerStatus *status)
{
  const LoadInit *init = replay->init;
  gint64 at_ms = replay->now - replay->start_ms;
  double time = load_server_time (init, server->index, at_ms);
  double held = load_server_time (init, server->index, at_ms - SPEED_HELD_MS);
  guint runs = speed_runs (replay, server);
  gboolean known = init->speed_runs > 0 && runs >= init->speed_runs;

  status->slowness_percent
      = (guint)(100 * (known ? time / held : time * server->speed_noise) + 0.5);
  if (runs == 0)
    return;
  status->speed_runs = runs;
  status->speed_percent = speed_percent (replay, server, held);
}

void
agent_on_order (Replay *replay, const Event *event)
{
  Server *server = event->server;
  Submission *submission = event->submission;
  LoadJob *job = submission->job;
  Demand need = { job->cpu_milli, 10, 0 };
  TaskReport report = { .key = event->key, .event = TASK_STARTED, .reason = "" };
  Event *end;
  Run *run;

  if (replay->now > event->valid_until_ms)
    {
      report.event = TASK_NOT_STARTED;
      report.reason = "order too old";
      send_report (replay, server, submission, &report);
      return;
    }
  if (!demand_fits (&server->capacity, &server->used, &need))
    {
      offers_request (server->offers, event->entry->index + 1, &event->request,
                      replay->now);
      report.event = TASK_NOT_STARTED;
      report.reason = "no room";
      send_report (replay, server, submission, &report);
      return;
    }
  run = g_new0 (Run, 1);
  run->submission = submission;
  run->key = event->key;
  run->started_ms = replay->now;
  job->started = TRUE;
  demand_add (&server->used, &need);
  demand_add (&server->used_by[event->entry->index], &need);
  g_ptr_array_add (server->runs, run);
  update_free_capacity (replay, server);
  if (event->last)
    offers_used (server->offers, event->entry->index + 1, &event->request, replay->now);
  end = event_at (replay, replay->now + run_ms_on (replay, server, job, event->key.index),
                  EVENT_RUN_END, event->entry, server);
  end->run = run;
  send_report (replay, server, submission, &report);
  agent_state_changed (replay, server);
}

void
agent_end_run (Replay *replay, Server *server, Run *run, TaskEvent how)
{
  Submission *submission = run->submission;
  LoadJob *job = submission->job;
  Demand need = { job->cpu_milli, 10, 0 };
  TaskReport report = { .key = run->key, .event = how, .reason = "" };

  run->ended = TRUE;
  report.run_ms = (guint)(replay->now - run->started_ms);
  job->run_work += (double)report.run_ms * job->cpu_milli;
  demand_subtract (&server->used, &need);
  demand_subtract (&server->used_by[submission->entry->index], &need);
  server->freed_ms = replay->now;
  update_free_capacity (replay, server);
  offers_capacity_freed (server->offers, replay->now);
  send_report (replay, server, submission, &report);
  agent_state_changed (replay, server);
}

void
agent_on_stop (Replay *replay, const Event *event)
{
  for (guint i = 0; i < event->server->runs->len; i++)
    {
      Run *run = g_ptr_array_index (event->server->runs, i);

      if (!run->ended && run_key_equal (&run->key, &event->key))
        agent_end_run (replay, event->server, run, TASK_LOST);
    }
}

void
agent_send_state (Replay *replay, const Event *event)
{
  Server *server = event->server;
  guint i = event->entry->index;
  Demand visible;
  Demand used;
  Event *state;

  server->state_scheduled[i] = FALSE;
  server->sent_ms[i] = replay->now;
  offers_tick (server->offers, replay->now);
  visible = offers_available_to (server->offers, i + 1);
  used = server->capacity;
  demand_subtract (&used, &visible);
  demand_subtract (&used, &server->used_by[i]);
  state = event_at (replay, link_to_entry (replay, event->entry, STATE_BYTES),
                    EVENT_STATE, event->entry, server);
  state->used_by_others = used;
  state->offered = offers_is_reserved_for (server->offers, i + 1);
  if (offers_open (server->offers))
    schedule_state (replay, server, event->entry, OFFER_MS);
}
