#include "load_replay_parts.h"

#define REPORT_BYTES 60
#define STATE_BYTES 70

static void
report (Replay *replay, Server *server, Waiter *waiter, const TaskReport *told)
{
  Event *event = event_at (replay, link_to_entry (replay, waiter->entry, REPORT_BYTES),
                           EVENT_REPORTED, waiter->entry, server);

  event->waiter = waiter;
  event->report = *told;
}

static void
tell_later (Replay *replay, Server *server, Entry *entry, gint64 delay_ms)
{
  if (server->telling[entry->index])
    return;
  server->telling[entry->index] = TRUE;
  event_at (replay, replay->now + delay_ms, EVENT_TELLS, entry, server);
}

/* An offer is told at once, other news at most every STATE_MS. */
void
agent_changed (Replay *replay, Server *server)
{
  for (guint i = 0; i < replay->init->entries; i++)
    {
      const Known *known = known_server (replay, &replay->entries[i], server);
      gint64 wait_ms
          = server->told_ms[i] + throttle_interval_ms (&known->state_pace) - replay->now;

      if (offers_is_reserved_for (server->offers, i + 1))
        wait_ms = 0;
      tell_later (replay, server, &replay->entries[i], MAX (wait_ms, 0));
    }
}

static void
tell_offers_room (Replay *replay, Server *server)
{
  Demand room = server->capacity;

  demand_subtract (&room, &server->used);
  offers_set_free (server->offers, &room);
}

void
agent_take_order (Replay *replay, const Event *event)
{
  Server *server = event->server;
  Waiter *waiter = event->waiter;
  LoadJob *job = waiter->job;
  Demand need = { job->cpu_milli, 10, 0 };
  TaskReport told = { .key = event->key, .event = TASK_STARTED, .reason = "" };
  Event *end;
  Run *run;

  if (replay->now > event->valid_until_ms)
    {
      told.event = TASK_NOT_STARTED;
      told.reason = "order too old";
      report (replay, server, waiter, &told);
      return;
    }
  if (!demand_fits (&server->capacity, &server->used, &need))
    {
      offers_request (server->offers, event->entry->index + 1, &event->wish, replay->now);
      told.event = TASK_NOT_STARTED;
      told.reason = "no room";
      report (replay, server, waiter, &told);
      return;
    }
  run = g_new0 (Run, 1);
  run->waiter = waiter;
  run->key = event->key;
  run->started_ms = replay->now;
  job->started = TRUE;
  demand_add (&server->used, &need);
  demand_add (&server->used_by[event->entry->index], &need);
  g_ptr_array_add (server->runs, run);
  tell_offers_room (replay, server);
  if (event->last)
    offers_used (server->offers, event->entry->index + 1, &event->wish, replay->now);
  end = event_at (replay, replay->now + job->run_ms[event->key.index], EVENT_ENDS,
                  event->entry, server);
  end->run = run;
  report (replay, server, waiter, &told);
  agent_changed (replay, server);
}

void
agent_run_over (Replay *replay, Server *server, Run *run, TaskEvent how)
{
  Waiter *waiter = run->waiter;
  LoadJob *job = waiter->job;
  Demand need = { job->cpu_milli, 10, 0 };
  TaskReport told = { .key = run->key, .event = how, .reason = "" };

  run->over = TRUE;
  told.run_ms = (guint)(replay->now - run->started_ms);
  job->run_work += (double)told.run_ms * job->cpu_milli;
  demand_subtract (&server->used, &need);
  demand_subtract (&server->used_by[waiter->entry->index], &need);
  server->freed_ms = replay->now;
  tell_offers_room (replay, server);
  offers_capacity_freed (server->offers, replay->now);
  report (replay, server, waiter, &told);
  agent_changed (replay, server);
}

void
agent_take_stop (Replay *replay, const Event *event)
{
  for (guint i = 0; i < event->server->runs->len; i++)
    {
      Run *run = g_ptr_array_index (event->server->runs, i);

      if (!run->over && run_key_equal (&run->key, &event->key))
        agent_run_over (replay, event->server, run, TASK_LOST);
    }
}

void
agent_tell_state (Replay *replay, const Event *event)
{
  Server *server = event->server;
  guint i = event->entry->index;
  Demand visible;
  Demand used;
  Event *told;

  server->telling[i] = FALSE;
  server->told_ms[i] = replay->now;
  offers_tick (server->offers, replay->now);
  visible = offers_available_to (server->offers, i + 1);
  used = server->capacity;
  demand_subtract (&used, &visible);
  demand_subtract (&used, &server->used_by[i]);
  told = event_at (replay, link_to_entry (replay, event->entry, STATE_BYTES), EVENT_TOLD,
                   event->entry, server);
  told->used_by_others = used;
  told->offered = offers_is_reserved_for (server->offers, i + 1);
  if (offers_open (server->offers))
    tell_later (replay, server, event->entry, OFFER_MS);
}
