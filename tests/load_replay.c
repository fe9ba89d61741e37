#include "load_replay_parts.h"

#define WISH_BYTES 50

static int
compare_events (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const Event *left = a;
  const Event *right = b;

  if (left->at != right->at)
    return left->at < right->at ? -1 : 1;
  return left->number < right->number ? -1 : 1;
}

Known *
known_server (Replay *replay, const Entry *entry, const Server *server)
{
  return &replay->known[entry->index * replay->init->servers + server->index];
}

Event *
event_at (Replay *replay, gint64 at, EventKind kind, Entry *entry, Server *server)
{
  Event *event = g_new0 (Event, 1);

  event->at = at;
  event->sent_at = replay->now;
  event->number = replay->numbers++;
  event->kind = kind;
  event->entry = entry;
  event->server = server;
  if (entry != NULL && server != NULL)
    event->late_there_ms = known_server (replay, entry, server)->late_there_ms;
  g_sequence_insert_sorted (replay->events, event, compare_events, NULL);
  return event;
}

/* The dispatcher's wishes. */

static void
on_order (LeasedServer *server,
          const LeasedSpec *spec,
          const RunKey *runs,
          gsize n_runs,
          guint expected_ms,
          const ResourceRequest *wish,
          gint64 valid_until_ms,
          gpointer ctx)
{
  Entry *entry = ctx;
  Replay *replay = entry->replay;
  Known *known = leased_server_user_data (server);
  gint64 arrives = link_to_agent (replay, entry, replay->init->payload_bytes);

  for (gsize i = 0; i < n_runs; i++)
    {
      Event *event = event_at (replay, arrives, EVENT_ORDERED, entry, known->server);

      event->valid_until_ms = valid_until_ms;
      event->waiter = g_hash_table_lookup (replay->by_id, spec->id);
      event->waiter->waiting--;
      event->key = runs[i];
      event->wish = *wish;
      event->last = i == n_runs - 1;
    }
}

static void
on_want (LeasedServer *server, const ResourceRequest *wish, gpointer ctx)
{
  Entry *entry = ctx;
  Replay *replay = entry->replay;
  Known *known = leased_server_user_data (server);
  Event *event = event_at (replay, link_to_agent (replay, entry, WISH_BYTES),
                           EVENT_WANTED, entry, known->server);

  event->wish = *wish;
}

static void
on_stop (LeasedServer *server, const RunKey *run, gpointer ctx)
{
  Entry *entry = ctx;
  Replay *replay = entry->replay;
  Known *known = leased_server_user_data (server);
  Event *event = event_at (replay, link_to_agent (replay, entry, 0), EVENT_STOPPED, entry,
                           known->server);

  event->key = *run;
}

static void
on_pump (gpointer ctx)
{
  Entry *entry = ctx;

  entry->pump_wanted = TRUE;
}

static const DispatcherOps ops = { on_order, on_want, on_stop, on_pump };

static void
on_done (const LeasedResult *result, gpointer ctx)
{
  Waiter *waiter = ctx;
  LoadJob *job = waiter->job;

  waiter->waiting = 0;
  job->ended_ms = waiter->replay->now - waiter->replay->began;
  job->end = result->end;
  job->retry_after_ms = result->retry_after_ms;
}

/* Entries. */

static void
hear_state (Replay *replay,
            Entry *entry,
            Server *server,
            const Demand *used_by_others,
            gboolean offered)
{
  ServerStatus status = { .instance = g_strdup ("life"),
                          .service = g_strdup ("exchange"),
                          .zone = g_strdup ("fukuoka-a"),
                          .labels = g_new0 (char *, 1),
                          .capacity = server->capacity,
                          .used_by_others = *used_by_others,
                          .ready = TRUE,
                          .offered = offered,
                          .trust = TRUST_FULL,
                          .slowness_percent = 100 };

  dispatcher_server_status (known_server (replay, entry, server)->known, &status);
}

static void
arrive (Replay *replay, Event *event)
{
  LoadJob *job = event->waiter->job;
  const LoadQueue *queue = job->queue;
  LeasedSpec spec = { .id = job->id,
                      .queue = queue->name,
                      .service = "exchange",
                      .payload = "p",
                      .label = "",
                      .rack = "",
                      .priority = queue->priority,
                      .max_attempts = ATTEMPTS,
                      .count = job->tasks,
                      .target_ms = LOAD_TARGET_MS,
                      .stretch = LOAD_STRETCH,
                      .demand = { job->cpu_milli, 10, 0 },
                      .arrived_ms = replay->now,
                      .declared_ms = job->declared_ms,
                      .deadline_ms = replay->now + LOAD_DEADLINE_MS };

  event->waiter->waiting = job->tasks;
  dispatcher_submit (event->entry->dispatcher, &spec, on_done, event->waiter,
                     replay->now);
}

static void
note_report (const Event *event)
{
  gboolean again
      = event->report.event == TASK_NOT_STARTED || event->report.event == TASK_LOST;

  if (again && event->waiter->job->ended_ms == 0)
    event->waiter->waiting++;
}

static void
carry_out (Replay *replay, Event *event)
{
  switch (event->kind)
    {
    case EVENT_ARRIVES:
      arrive (replay, event);
      break;
    case EVENT_ORDERED:
      link_heard_by_agent (replay, event);
      agent_take_order (replay, event);
      break;
    case EVENT_STOPPED:
      agent_take_stop (replay, event);
      break;
    case EVENT_WANTED:
      link_heard_by_agent (replay, event);
      offers_request (event->server->offers, event->entry->index + 1, &event->wish,
                      replay->now);
      agent_changed (replay, event->server);
      break;
    case EVENT_ENDS:
      if (!event->run->over)
        agent_run_over (replay, event->server, event->run, TASK_DONE);
      break;
    case EVENT_REPORTED:
      link_heard_by_entry (replay, event);
      note_report (event);
      dispatcher_reports (known_server (replay, event->entry, event->server)->known,
                          &event->report, 1, FALSE, replay->now);
      break;
    case EVENT_TELLS:
      agent_tell_state (replay, event);
      break;
    case EVENT_BEAT:
      link_beat (replay, event);
      break;
    case EVENT_BEAT_HEARD:
      link_heard_by_agent (replay, event);
      link_beat_heard (replay, event);
      break;
    case EVENT_BEAT_ANSWERED:
      link_heard_by_entry (replay, event);
      break;
    case EVENT_TOLD:
      link_heard_by_entry (replay, event);
      hear_state (replay, event->entry, event->server, &event->used_by_others,
                  event->offered);
      break;
    }
}

typedef struct
{
  guint least; /* that one waiting task takes */
  double all;
} WaitingDemand;

static WaitingDemand
waiting_demand (const Replay *replay)
{
  WaitingDemand demand = { G_MAXUINT, 0 };

  for (guint i = 0; i < replay->jobs->len; i++)
    {
      const Waiter *waiter = &replay->waiters[i];

      if (waiter->waiting == 0)
        continue;
      demand.least = MIN (demand.least, waiter->job->cpu_milli);
      demand.all += (double)waiter->waiting * waiter->job->cpu_milli;
    }
  return demand;
}

/* Room that stands free while a task that fits it waits somewhere. */
static void
note_idle (Replay *replay)
{
  WaitingDemand demand = waiting_demand (replay);

  for (guint i = 0; i < replay->init->servers && demand.all > 0; i++)
    {
      const Server *server = &replay->servers[i];
      guint free = server->capacity.cpu_milli - server->used.cpu_milli;
      double idle = MIN (free, demand.all);

      if (free < demand.least)
        continue;
      demand.all -= idle;
      if (replay->now - server->freed_ms <= 2 * (gint64)WAY_MS)
        replay->idle.fresh += idle;
      else if (offers_open (server->offers))
        replay->idle.offered += idle;
      else
        replay->idle.unseen += idle;
    }
}

static void
step (Replay *replay)
{
  GSequenceIter *first;

  while (!g_sequence_iter_is_end (first = g_sequence_get_begin_iter (replay->events)))
    {
      Event *event = g_sequence_get (first);

      if (event->at > replay->now)
        break;
      carry_out (replay, event);
      g_sequence_remove (first);
    }
  for (guint i = 0; i < replay->init->entries; i++)
    {
      Entry *entry = &replay->entries[i];

      if (replay->now % DISPATCHER_TICK_MS == 0)
        dispatcher_tick (entry->dispatcher, replay->now);
      if (entry->pump_wanted)
        dispatcher_pump (entry->dispatcher, replay->now);
      entry->pump_wanted = FALSE;
    }
  note_idle (replay);
}

static void
open_entry (Replay *replay, guint i)
{
  DispatcherInit init = { SERVER_LEASE_MS };
  Entry *entry = &replay->entries[i];
  Demand nothing = { 0 };

  entry->replay = replay;
  entry->index = i;
  entry->dispatcher = dispatcher_new (&init, &ops, entry);
  for (guint j = 0; j < replay->init->servers; j++)
    {
      Server *server = &replay->servers[j];
      Known *known = known_server (replay, entry, server);

      known->server = server;
      known->known = dispatcher_server_up (entry->dispatcher, 100 + j, "agent", known);
      dispatcher_server_clock (known->known, replay->now, replay->now);
      dispatcher_reports (known->known, NULL, 0, TRUE, replay->now);
      hear_state (replay, entry, server, &nothing, FALSE);
      link_open (replay, entry, server);
    }
}

static void
open_server (Replay *replay, guint i)
{
  Server *server = &replay->servers[i];

  server->index = i;
  server->capacity.cpu_milli = load_server_cpu_milli (replay->init, i);
  server->capacity.memory_mb = 1000000;
  server->runs = g_ptr_array_new_with_free_func (g_free);
  server->offers = offers_new ();
  server->used_by = g_new0 (Demand, replay->init->entries);
  server->told_ms = g_new0 (gint64, replay->init->entries);
  server->telling = g_new0 (gboolean, replay->init->entries);
}

static void
replay_close (Replay *replay)
{
  for (guint i = 0; i < replay->init->entries; i++)
    dispatcher_free (replay->entries[i].dispatcher);
  for (guint i = 0; i < replay->init->servers; i++)
    {
      Server *server = &replay->servers[i];

      g_ptr_array_unref (server->runs);
      offers_free (server->offers);
      g_free (server->used_by);
      g_free (server->told_ms);
      g_free (server->telling);
    }
  g_sequence_free (replay->events);
  g_hash_table_unref (replay->by_id);
  g_ptr_array_unref (replay->jobs);
  g_free (replay->waiters);
  g_free (replay->entries);
  g_free (replay->servers);
  g_free (replay->known);
}

static void
plan (Replay *replay)
{
  replay->jobs = load_plan (replay->init);
  replay->waiters = g_new0 (Waiter, replay->jobs->len);
  for (guint i = 0; i < replay->jobs->len; i++)
    {
      LoadJob *job = g_ptr_array_index (replay->jobs, i);
      Waiter *waiter = &replay->waiters[i];

      waiter->replay = replay;
      waiter->job = job;
      waiter->entry = &replay->entries[job->entry];
      g_hash_table_insert (replay->by_id, job->id, waiter);
      event_at (replay, replay->began + job->arrived_ms, EVENT_ARRIVES, waiter->entry,
                NULL)
          ->waiter
          = waiter;
    }
}

static void
account (Replay *replay, LoadResult *result)
{
  double whole = 0;

  for (guint i = 0; i < replay->init->servers; i++)
    whole += (double)replay->servers[i].capacity.cpu_milli * replay->init->length_ms;
  result->idle.fresh = replay->idle.fresh / whole;
  result->idle.offered = replay->idle.offered / whole;
  result->idle.unseen = replay->idle.unseen / whole;
  load_account (replay->init, replay->jobs, result);
}

void
load_replay (const LoadInit *init, LoadResult *result)
{
  Replay replay = { .init = init, .now = 100000, .began = 100000 };
  gint64 end = replay.now + init->length_ms + LOAD_DEADLINE_MS;

  replay.events = g_sequence_new (g_free);
  replay.by_id = g_hash_table_new (g_str_hash, g_str_equal);
  replay.entries = g_new0 (Entry, init->entries);
  replay.servers = g_new0 (Server, init->servers);
  replay.known = g_new0 (Known, init->entries * init->servers);
  for (guint i = 0; i < init->servers; i++)
    open_server (&replay, i);
  for (guint i = 0; i < init->entries; i++)
    open_entry (&replay, i);
  plan (&replay);
  for (; replay.now < end; replay.now++)
    step (&replay);
  account (&replay, result);
  replay_close (&replay);
}
