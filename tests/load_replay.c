#include "load_replay_parts.h"

#define REQUEST_BYTES 50
#define SPEED_NOISE 0.1

static int
compare_events (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const Event *left = a;
  const Event *right = b;

  if (left->at != right->at)
    return left->at < right->at ? -1 : 1;
  return left->seq < right->seq ? -1 : 1;
}

ServerLink *
server_link (Replay *replay, const Entry *entry, const Server *server)
{
  return &replay->links[entry->index * replay->init->servers + server->index];
}

Event *
event_at (Replay *replay, gint64 at, EventKind kind, Entry *entry, Server *server)
{
  Event *event = g_new0 (Event, 1);

  event->at = at;
  event->sent_at = replay->now;
  event->seq = replay->next_seq++;
  event->kind = kind;
  event->entry = entry;
  event->server = server;
  if (entry != NULL && server != NULL)
    event->send_delay_ms = server_link (replay, entry, server)->send_delay_ms;
  g_sequence_insert_sorted (replay->events, event, compare_events, NULL);
  return event;
}

/* Dispatcher callbacks. */

static void
on_order (LeasedServer *server,
          const LeasedSpec *spec,
          const RunKey *runs,
          gsize n_runs,
          guint expected_ms,
          const ResourceRequest *request,
          gint64 valid_until_ms,
          gpointer ctx)
{
  Entry *entry = ctx;
  Replay *replay = entry->replay;
  ServerLink *link = leased_server_user_data (server);
  gint64 arrives = link_to_agent (replay, entry, replay->init->payload_bytes);

  for (gsize i = 0; i < n_runs; i++)
    {
      Event *event = event_at (replay, arrives, EVENT_ORDER, entry, link->server);

      event->valid_until_ms = valid_until_ms;
      event->submission = g_hash_table_lookup (replay->by_id, spec->id);
      event->submission->waiting--;
      event->key = runs[i];
      event->request = *request;
      event->last = i == n_runs - 1;
    }
}

static void
on_request_resources (LeasedServer *server, const ResourceRequest *request, gpointer ctx)
{
  Entry *entry = ctx;
  Replay *replay = entry->replay;
  ServerLink *link = leased_server_user_data (server);
  Event *event = event_at (replay, link_to_agent (replay, entry, REQUEST_BYTES),
                           EVENT_RESOURCE_REQUEST, entry, link->server);

  event->request = *request;
}

static void
on_stop (LeasedServer *server, const RunKey *run, gpointer ctx)
{
  Entry *entry = ctx;
  Replay *replay = entry->replay;
  ServerLink *link = leased_server_user_data (server);
  Event *event = event_at (replay, link_to_agent (replay, entry, 0), EVENT_STOP, entry,
                           link->server);

  event->key = *run;
}

static void
on_pump (gpointer ctx)
{
  Entry *entry = ctx;

  entry->pump_needed = TRUE;
}

static const DispatcherOps ops = { on_order, on_request_resources, on_stop, on_pump };

static void
on_done (const LeasedResult *result, gpointer ctx)
{
  Submission *submission = ctx;
  LoadJob *job = submission->job;

  submission->waiting = 0;
  job->ended_ms = submission->replay->now - submission->replay->start_ms;
  job->end = result->end;
  job->retry_after_ms = result->retry_after_ms;
}

/* Entries. */

static void
on_state (Replay *replay,
          Entry *entry,
          Server *server,
          const Demand *used_by_others,
          gboolean offered)
{
  ServerStatus status = { .instance = g_strdup ("instance"),
                          .service = g_strdup ("exchange"),
                          .zone = g_strdup ("fukuoka-a"),
                          .labels = g_new0 (char *, 1),
                          .capacity = server->capacity,
                          .used_by_others = *used_by_others,
                          .ready = TRUE,
                          .offered = offered,
                          .trust = TRUST_FULL };

  agent_report_speed (replay, server, &status);
  dispatcher_server_status (server_link (replay, entry, server)->leased, &status);
}

static void
arrive (Replay *replay, Event *event)
{
  LoadJob *job = event->submission->job;
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
                      .deadline_ms = replay->now + job->deadline_ms };

  event->submission->waiting = job->tasks;
  dispatcher_submit (event->entry->dispatcher, &spec, on_done, event->submission,
                     replay->now);
}

static void
count_retry (const Event *event)
{
  gboolean not_run
      = event->report.event == TASK_NOT_STARTED || event->report.event == TASK_LOST;

  if (not_run && event->submission->job->ended_ms == 0)
    event->submission->waiting++;
}

static void
handle_event (Replay *replay, Event *event)
{
  switch (event->kind)
    {
    case EVENT_ARRIVAL:
      arrive (replay, event);
      break;
    case EVENT_ORDER:
      link_received_by_agent (replay, event);
      agent_on_order (replay, event);
      break;
    case EVENT_STOP:
      agent_on_stop (replay, event);
      break;
    case EVENT_RESOURCE_REQUEST:
      link_received_by_agent (replay, event);
      offers_request (event->server->offers, event->entry->index + 1, &event->request,
                      replay->now);
      agent_state_changed (replay, event->server);
      break;
    case EVENT_RUN_END:
      if (!event->run->ended)
        agent_end_run (replay, event->server, event->run, TASK_DONE);
      break;
    case EVENT_REPORT:
      link_received_by_entry (replay, event);
      count_retry (event);
      dispatcher_reports (server_link (replay, event->entry, event->server)->leased,
                          &event->report, 1, FALSE, replay->now);
      break;
    case EVENT_SEND_STATE:
      agent_send_state (replay, event);
      break;
    case EVENT_SEND_HEARTBEAT:
      link_send_heartbeat (replay, event);
      break;
    case EVENT_HEARTBEAT:
      link_received_by_agent (replay, event);
      link_reply_heartbeat (replay, event);
      break;
    case EVENT_HEARTBEAT_REPLY:
      link_received_by_entry (replay, event);
      break;
    case EVENT_STATE:
      link_received_by_entry (replay, event);
      on_state (replay, event->entry, event->server, &event->used_by_others,
                event->offered);
      break;
    }
}

typedef struct
{
  guint min_cpu_milli; /* of a waiting task */
  double cpu_milli;    /* of all waiting tasks */
} WaitingDemand;

static WaitingDemand
waiting_demand (Replay *replay)
{
  WaitingDemand demand = { G_MAXUINT, 0 };

  while (replay->first_open < replay->jobs->len
         && replay->submissions[replay->first_open].job->ended_ms > 0)
    replay->first_open++;
  for (guint i = replay->first_open; i < replay->jobs->len; i++)
    {
      const Submission *submission = &replay->submissions[i];

      if (submission->job->arrived_ms > replay->now - replay->start_ms)
        break;
      if (submission->waiting == 0)
        continue;
      demand.min_cpu_milli = MIN (demand.min_cpu_milli, submission->job->cpu_milli);
      demand.cpu_milli += (double)submission->waiting * submission->job->cpu_milli;
    }
  return demand;
}

static void
account_idle (Replay *replay)
{
  WaitingDemand demand = waiting_demand (replay);

  for (guint i = 0; i < replay->init->servers && demand.cpu_milli > 0; i++)
    {
      const Server *server = &replay->servers[i];
      guint free = server->capacity.cpu_milli - server->used.cpu_milli;
      double idle = MIN (free, demand.cpu_milli);

      if (free < demand.min_cpu_milli)
        continue;
      demand.cpu_milli -= idle;
      if (replay->now - server->freed_ms <= 2 * (gint64)ONE_WAY_MS)
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
      handle_event (replay, event);
      g_sequence_remove (first);
    }
  summaries_step (replay);
  for (guint i = 0; i < replay->init->entries; i++)
    {
      Entry *entry = &replay->entries[i];

      if (replay->now % DISPATCHER_TICK_MS == 0)
        dispatcher_tick (entry->dispatcher, replay->now);
      if (entry->pump_needed)
        dispatcher_pump (entry->dispatcher, replay->now);
      entry->pump_needed = FALSE;
    }
  account_idle (replay);
}

static void
open_entry (Replay *replay, guint i)
{
  DispatcherInit init = { .server_lease_ms = SERVER_LEASE_MS,
                          .speed_runs = replay->init->speed_runs,
                          .run_shapes = replay->init->run_shapes };
  Entry *entry = &replay->entries[i];
  Demand none = { 0 };

  entry->replay = replay;
  entry->index = i;
  entry->view = summaries_open (replay, entry);
  init.load_view = entry->view;
  entry->dispatcher = dispatcher_new (&init, &ops, entry);
  for (guint j = 0; j < replay->init->servers; j++)
    {
      Server *server = &replay->servers[j];
      ServerLink *link = server_link (replay, entry, server);

      link->server = server;
      link->leased = dispatcher_server_up (entry->dispatcher, 100 + j, "agent", link);
      dispatcher_server_clock (link->leased, replay->now, replay->now);
      dispatcher_reports (link->leased, NULL, 0, TRUE, replay->now);
      on_state (replay, entry, server, &none, FALSE);
      link_open (replay, entry, server);
    }
}

/* Not drawn from the plan's generator: the same arrivals with and without noise. */
static double
speed_noise (const LoadInit *init, guint server)
{
  GRand *random;
  double noise;

  if (init->speeds != LOAD_SPEEDS_NOISY)
    return 1;
  random = g_rand_new_with_seed (init->seed * 1000 + server);
  noise = g_rand_double_range (random, 1 - SPEED_NOISE, 1 + SPEED_NOISE);
  g_rand_free (random);
  return noise;
}

static void
open_server (Replay *replay, guint i)
{
  Server *server = &replay->servers[i];

  server->index = i;
  server->speed_noise = speed_noise (replay->init, i);
  server->capacity.cpu_milli = load_server_cpu_milli (replay->init, i);
  server->capacity.memory_mb = 1000000;
  server->runs = g_ptr_array_new_with_free_func (g_free);
  server->offers = offers_new ();
  server->used_by = g_new0 (Demand, replay->init->entries);
  server->sent_ms = g_new0 (gint64, replay->init->entries);
  server->state_scheduled = g_new0 (gboolean, replay->init->entries);
}

static void
replay_close (Replay *replay)
{
  for (guint i = 0; i < replay->init->entries; i++)
    dispatcher_free (replay->entries[i].dispatcher);
  summaries_close (replay);
  for (guint i = 0; i < replay->init->servers; i++)
    {
      Server *server = &replay->servers[i];

      g_ptr_array_unref (server->runs);
      offers_free (server->offers);
      g_free (server->used_by);
      g_free (server->sent_ms);
      g_free (server->state_scheduled);
    }
  g_sequence_free (replay->events);
  g_hash_table_unref (replay->by_id);
  g_ptr_array_unref (replay->jobs);
  g_free (replay->submissions);
  g_free (replay->entries);
  g_free (replay->servers);
  g_free (replay->links);
}

static void
plan (Replay *replay)
{
  replay->jobs = load_plan (replay->init);
  replay->submissions = g_new0 (Submission, replay->jobs->len);
  for (guint i = 0; i < replay->jobs->len; i++)
    {
      LoadJob *job = g_ptr_array_index (replay->jobs, i);
      Submission *submission = &replay->submissions[i];

      submission->replay = replay;
      submission->job = job;
      submission->entry = &replay->entries[job->entry];
      g_hash_table_insert (replay->by_id, job->id, submission);
      event_at (replay, replay->start_ms + job->arrived_ms, EVENT_ARRIVAL,
                submission->entry, NULL)
          ->submission
          = submission;
    }
}

static void
account (Replay *replay, LoadResult *result)
{
  double capacity = 0;

  for (guint i = 0; i < replay->init->servers; i++)
    capacity += (double)replay->servers[i].capacity.cpu_milli * replay->init->length_ms;
  result->idle.fresh = replay->idle.fresh / capacity;
  result->idle.offered = replay->idle.offered / capacity;
  result->idle.unseen = replay->idle.unseen / capacity;
  load_account (replay->init, replay->jobs, result);
}

void
load_replay (const LoadInit *init, LoadResult *result)
{
  Replay replay = { .init = init, .now = 100000, .start_ms = 100000 };
  gint64 end;

  replay.events = g_sequence_new (g_free);
  replay.by_id = g_hash_table_new (g_str_hash, g_str_equal);
  replay.entries = g_new0 (Entry, init->entries);
  replay.servers = g_new0 (Server, init->servers);
  replay.links = g_new0 (ServerLink, init->entries * init->servers);
  for (guint i = 0; i < init->servers; i++)
    open_server (&replay, i);
  for (guint i = 0; i < init->entries; i++)
    open_entry (&replay, i);
  plan (&replay);
  end = replay.start_ms + load_end_ms (init, replay.jobs);
  for (; replay.now < end; replay.now++)
    step (&replay);
  account (&replay, result);
  replay_close (&replay);
}
