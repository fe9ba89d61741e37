#include "load_replay.h"
#include "offers.h"

#include <math.h>
#include <string.h>

/* One way between an entry and an agent, with a turn of either's loop. */
#define WAY_MS 2
/* An agent tells its state at most this often. */
#define STATE_MS 15
#define SERVER_LEASE_MS 700
#define TARGET_MS 60
#define STRETCH 1.6
#define LATE_FACTOR 3
#define LATE_PART 0.2
#define DEADLINE_MS 4300
#define ATTEMPTS 4
/* Spread of run times and widths between jobs, of tasks within a job, and of what is
 * declared, as parts of the mean. */
#define SPREAD 0.4
#define TASK_SPREAD 0.15
#define CPU_SPREAD 0.2
/* Part of a job's benefit that does not grow with its size, and the most it grows to. */
#define FLAT_BENEFIT 0.3
#define MOST_BENEFIT 4.0
/* Kept waiting longer than this part of its objective, a refusal is late. */
#define PROMPT_PART 0.25

typedef struct Replay Replay;

typedef struct
{
  Replay *replay;
  guint index;
  Dispatcher *dispatcher;
  gboolean pump_wanted;
} Entry;

typedef struct
{
  char id[24];
  Entry *entry;
  const LoadQueue *queue;
  guint queue_index;
  guint tasks;
  guint cpu_milli;
  guint *run_ms; /* of each task */
  double benefit;
  double work;
  double run_work; /* done by its runs */
  gint64 arrived_ms;
  double objective_ms;
  gint64 ended_ms; /* 0: not yet */
  LeasedEnd end;
  gboolean started;
} Job;

typedef struct
{
  Job *job;
  RunKey key;
  gboolean over;
  gint64 started_ms;
} Run;

typedef struct
{
  guint index;
  Demand used;
  Demand *used_by; /* by entry */
  GPtrArray *runs;
  Offers *offers;
  gint64 *told_ms; /* by entry */
  gboolean *telling;
} Server;

/* A server as one entry knows it: what the dispatcher's callbacks hand back. */
typedef struct
{
  Server *server;
  LeasedServer *known;
} Known;

typedef enum
{
  EVENT_ARRIVES,
  EVENT_ORDERED,
  EVENT_STOPPED,
  EVENT_WANTED,
  EVENT_ENDS,
  EVENT_REPORTED,
  EVENT_TELLS,
  EVENT_TOLD,
} EventKind;

typedef struct
{
  gint64 at;
  guint64 number;
  EventKind kind;
  Entry *entry;
  Server *server;
  Job *job;
  Run *run;
  RunKey key;
  Wish wish;
  TaskReport report;
  Demand used_by_others;
  gboolean offered;
} Event;

struct Replay
{
  const LoadInit *init;
  GRand *random;
  gint64 now;
  guint64 numbers;
  GSequence *events;
  Entry *entries;
  Server *servers;
  Known *known; /* entries x servers */
  GPtrArray *jobs;
  GHashTable *by_id;
};

static int
compare_events (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const Event *left = a;
  const Event *right = b;

  if (left->at != right->at)
    return left->at < right->at ? -1 : 1;
  return left->number < right->number ? -1 : 1;
}

static Event *
event_at (Replay *replay, gint64 at, EventKind kind, Entry *entry, Server *server)
{
  Event *event = g_new0 (Event, 1);

  event->at = at;
  event->number = replay->numbers++;
  event->kind = kind;
  event->entry = entry;
  event->server = server;
  g_sequence_insert_sorted (replay->events, event, compare_events, NULL);
  return event;
}

static Known *
known_server (Replay *replay, const Entry *entry, const Server *server)
{
  return &replay->known[entry->index * replay->init->servers + server->index];
}

/* About normal, never below a tenth of the mean. */
static double
varied (Replay *replay, double mean, double spread)
{
  double sum = 0;
  double value;

  for (guint i = 0; i < 12; i++)
    sum += g_rand_double (replay->random);
  value = mean * (1 + spread * (sum - 6));
  return MAX (value, mean / 10);
}

static guint
varied_count (Replay *replay, double mean, double spread, guint most)
{
  double value = varied (replay, mean, spread) + 0.5;

  return (guint)CLAMP (value, 1, most);
}

/* The dispatcher's wishes. */

static void
on_order (LeasedServer *server,
          const LeasedSpec *spec,
          const RunKey *runs,
          gsize n_runs,
          guint expected_ms,
          const Wish *wish,
          gint64 valid_until_ms,
          gpointer ctx)
{
  Entry *entry = ctx;
  Replay *replay = entry->replay;
  Known *known = leased_server_owner (server);

  for (gsize i = 0; i < n_runs; i++)
    {
      Event *event
          = event_at (replay, replay->now + WAY_MS, EVENT_ORDERED, entry, known->server);

      event->job = g_hash_table_lookup (replay->by_id, spec->id);
      event->key = runs[i];
      event->wish = *wish;
    }
}

static void
on_want (LeasedServer *server, const Wish *wish, gpointer ctx)
{
  Entry *entry = ctx;
  Replay *replay = entry->replay;
  Known *known = leased_server_owner (server);
  Event *event
      = event_at (replay, replay->now + WAY_MS, EVENT_WANTED, entry, known->server);

  event->wish = *wish;
}

static void
on_stop (LeasedServer *server, const RunKey *run, gpointer ctx)
{
  Entry *entry = ctx;
  Replay *replay = entry->replay;
  Known *known = leased_server_owner (server);
  Event *event
      = event_at (replay, replay->now + WAY_MS, EVENT_STOPPED, entry, known->server);

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
  Job *job = ctx;

  job->ended_ms = job->entry->replay->now;
  job->end = result->end;
}

/* Agents. */

static void
report (Replay *replay, Server *server, const Job *job, const TaskReport *told)
{
  Event *event
      = event_at (replay, replay->now + WAY_MS, EVENT_REPORTED, job->entry, server);

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
static void
changed (Replay *replay, Server *server)
{
  for (guint i = 0; i < replay->init->entries; i++)
    {
      gint64 wait_ms = server->told_ms[i] + STATE_MS - replay->now;

      if (offers_to (server->offers) == i + 1)
        wait_ms = 0;
      tell_later (replay, server, &replay->entries[i], MAX (wait_ms, 0));
    }
}

static void
tell_offers_room (Replay *replay, Server *server)
{
  Demand room = { replay->init->server_cpu_milli, 1000000, 0 };

  demand_subtract (&room, &server->used);
  offers_room (server->offers, &room);
}

static void
take_order (Replay *replay, const Event *event)
{
  Server *server = event->server;
  Job *job = event->job;
  Demand capacity = { replay->init->server_cpu_milli, 1000000, 0 };
  Demand need = { job->cpu_milli, 10, 0 };
  TaskReport told = { .key = event->key, .event = TASK_STARTED, .reason = "" };
  Event *end;
  Run *run;

  if (!demand_fits (&capacity, &server->used, &need))
    {
      offers_refused (server->offers, event->entry->index + 1, &event->wish, replay->now);
      told.event = TASK_NOT_STARTED;
      told.reason = "no room";
      report (replay, server, job, &told);
      return;
    }
  run = g_new0 (Run, 1);
  run->job = job;
  run->key = event->key;
  run->started_ms = replay->now;
  job->started = TRUE;
  demand_add (&server->used, &need);
  demand_add (&server->used_by[event->entry->index], &need);
  g_ptr_array_add (server->runs, run);
  tell_offers_room (replay, server);
  offers_used (server->offers, event->entry->index + 1, &event->wish, replay->now);
  end = event_at (replay, replay->now + job->run_ms[event->key.index], EVENT_ENDS,
                  event->entry, server);
  end->run = run;
  report (replay, server, job, &told);
  changed (replay, server);
}

static void
run_over (Replay *replay, Server *server, Run *run, TaskEvent how)
{
  Job *job = run->job;
  Demand need = { job->cpu_milli, 10, 0 };
  TaskReport told = { .key = run->key, .event = how, .reason = "" };

  run->over = TRUE;
  told.run_ms = (guint)(replay->now - run->started_ms);
  job->run_work += (double)told.run_ms * job->cpu_milli;
  demand_subtract (&server->used, &need);
  demand_subtract (&server->used_by[job->entry->index], &need);
  tell_offers_room (replay, server);
  offers_freed (server->offers, replay->now);
  report (replay, server, job, &told);
  changed (replay, server);
}

static void
take_stop (Replay *replay, const Event *event)
{
  for (guint i = 0; i < event->server->runs->len; i++)
    {
      Run *run = g_ptr_array_index (event->server->runs, i);

      if (!run->over && run_key_equal (&run->key, &event->key))
        run_over (replay, event->server, run, TASK_LOST);
    }
}

static void
tell_state (Replay *replay, const Event *event)
{
  Server *server = event->server;
  guint i = event->entry->index;
  Demand used = server->used;
  Event *told;

  server->telling[i] = FALSE;
  server->told_ms[i] = replay->now;
  offers_tick (server->offers, replay->now);
  if (!offers_may_use (server->offers, i + 1))
    used.cpu_milli = replay->init->server_cpu_milli;
  demand_subtract (&used, &server->used_by[i]);
  told = event_at (replay, replay->now + WAY_MS, EVENT_TOLD, event->entry, server);
  told->used_by_others = used;
  told->offered = offers_to (server->offers) == i + 1;
  if (offers_open (server->offers))
    tell_later (replay, server, event->entry, OFFER_MS);
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
                          .capacity = { replay->init->server_cpu_milli, 1000000, 0 },
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
  Job *job = event->job;
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
                      .target_ms = TARGET_MS,
                      .stretch = STRETCH,
                      .demand = { job->cpu_milli, 10, 0 },
                      .arrived_ms = replay->now,
                      .deadline_ms = replay->now + DEADLINE_MS };

  spec.declared_ms = (guint)varied (replay, queue->run_ms, SPREAD);
  dispatcher_submit (event->entry->dispatcher, &spec, on_done, job, replay->now);
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
      take_order (replay, event);
      break;
    case EVENT_STOPPED:
      take_stop (replay, event);
      break;
    case EVENT_WANTED:
      offers_refused (event->server->offers, event->entry->index + 1, &event->wish,
                      replay->now);
      break;
    case EVENT_ENDS:
      if (!event->run->over)
        run_over (replay, event->server, event->run, TASK_DONE);
      break;
    case EVENT_REPORTED:
      dispatcher_reports (known_server (replay, event->entry, event->server)->known,
                          &event->report, 1, FALSE, replay->now);
      break;
    case EVENT_TELLS:
      tell_state (replay, event);
      break;
    case EVENT_TOLD:
      hear_state (replay, event->entry, event->server, &event->used_by_others,
                  event->offered);
      break;
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
}

/* The load. */

static void
job_free (gpointer data)
{
  Job *job = data;

  g_free (job->run_ms);
  g_free (job);
}

static void
plan_job (Replay *replay, guint queue_index, gint64 at)
{
  const LoadQueue *queue = &replay->init->queues[queue_index];
  Job *job = g_new0 (Job, 1);
  double mean_work = (double)queue->tasks * queue->run_ms * queue->cpu_milli;
  double run_ms = varied (replay, queue->run_ms, SPREAD);
  guint longest = 0;

  g_snprintf (job->id, sizeof job->id, "%016x", replay->jobs->len + 1);
  job->entry = &replay->entries[g_rand_int_range (replay->random, 0,
                                                  (gint32)replay->init->entries)];
  job->queue = queue;
  job->queue_index = queue_index;
  job->tasks = varied_count (replay, queue->tasks, SPREAD, queue->most_tasks);
  job->cpu_milli = (guint)varied (replay, queue->cpu_milli, CPU_SPREAD);
  job->run_ms = g_new (guint, job->tasks);
  for (guint i = 0; i < job->tasks; i++)
    {
      job->run_ms[i] = varied_count (replay, run_ms, TASK_SPREAD, G_MAXINT);
      job->work += (double)job->run_ms[i] * job->cpu_milli;
      longest = MAX (longest, job->run_ms[i]);
    }
  job->benefit
      = queue->benefit
        * MIN (FLAT_BENEFIT + (1 - FLAT_BENEFIT) * job->work / mean_work, MOST_BENEFIT);
  job->arrived_ms = at;
  job->objective_ms = STRETCH * longest + TARGET_MS;
  g_ptr_array_add (replay->jobs, job);
  g_hash_table_insert (replay->by_id, job->id, job);
  event_at (replay, at, EVENT_ARRIVES, job->entry, NULL)->job = job;
}

static void
plan_queue (Replay *replay, guint queue_index, gint64 from)
{
  const LoadInit *init = replay->init;
  double at = 0;

  while (at < init->length_ms)
    {
      gboolean in_burst = at >= init->burst_from_ms && at < init->burst_to_ms;
      double per_ms
          = init->queues[queue_index].per_s / 1000 * (in_burst ? init->burst : 1);

      at += -log (1 - g_rand_double (replay->random)) / per_ms;
      plan_job (replay, queue_index, from + (gint64)at);
    }
}

/* The account. */

static double
earned_by (const Job *job)
{
  double took_ms = (double)(job->ended_ms - job->arrived_ms);

  if (job->ended_ms == 0 || job->end != LEASED_COMPLETED)
    return 0;
  if (took_ms <= job->objective_ms)
    return job->benefit;
  return took_ms <= LATE_FACTOR * job->objective_ms ? LATE_PART * job->benefit : 0;
}

static void
add_job (LoadShare *share, const Job *job)
{
  double earned = earned_by (job);
  double held_ms = (double)(job->ended_ms - job->arrived_ms);

  share->jobs++;
  share->owed += job->benefit;
  share->earned += earned;
  share->in_time += earned >= job->benefit;
  share->refused += job->ended_ms > 0 && job->end == LEASED_REFUSED;
  share->given_up += job->ended_ms > 0 && job->end == LEASED_GIVEN_UP;
  if (!job->started && held_ms > PROMPT_PART * job->objective_ms)
    share->held_untried += job->benefit;
}

static int
compare_work (gconstpointer a, gconstpointer b)
{
  const Job *left = *(Job *const *)a;
  const Job *right = *(Job *const *)b;

  return (left->work < right->work) - (left->work > right->work);
}

static void
add_largest (Replay *replay, LoadResult *result, guint queue_index)
{
  LoadShare *share = &result->queues[queue_index];
  guint n = 0;

  g_ptr_array_sort (replay->jobs, compare_work);
  for (guint i = 0; i < replay->jobs->len && n < share->jobs / 10; i++)
    {
      const Job *job = g_ptr_array_index (replay->jobs, i);

      if (job->queue_index != queue_index)
        continue;
      n++;
      share->largest_owed += job->benefit;
      share->largest_earned += earned_by (job);
    }
}

static void
account (Replay *replay, LoadResult *result)
{
  double work = 0;
  double wasted = 0;

  memset (result, 0, sizeof *result);
  for (guint i = 0; i < replay->jobs->len; i++)
    {
      const Job *job = g_ptr_array_index (replay->jobs, i);

      add_job (&result->all, job);
      add_job (&result->queues[job->queue_index], job);
      work += job->run_work;
      if (earned_by (job) == 0)
        wasted += job->run_work;
    }
  result->used_part = work / replay->init->servers / replay->init->server_cpu_milli
                      / replay->init->length_ms;
  result->wasted_part = wasted / MAX (work, 1);
  for (guint i = 0; replay->init->queues[i].name != NULL; i++)
    add_largest (replay, result, i);
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
    }
}

static void
open_server (Replay *replay, guint i)
{
  Server *server = &replay->servers[i];

  server->index = i;
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
  g_free (replay->entries);
  g_free (replay->servers);
  g_free (replay->known);
  g_rand_free (replay->random);
}

void
load_replay (const LoadInit *init, LoadResult *result)
{
  Replay replay = { .init = init, .now = 100000 };
  gint64 end = replay.now + init->length_ms + DEADLINE_MS;

  replay.random = g_rand_new_with_seed (init->seed);
  replay.events = g_sequence_new (g_free);
  replay.jobs = g_ptr_array_new_with_free_func (job_free);
  replay.by_id = g_hash_table_new (g_str_hash, g_str_equal);
  replay.entries = g_new0 (Entry, init->entries);
  replay.servers = g_new0 (Server, init->servers);
  replay.known = g_new0 (Known, init->entries * init->servers);
  for (guint i = 0; i < init->servers; i++)
    open_server (&replay, i);
  for (guint i = 0; i < init->entries; i++)
    open_entry (&replay, i);
  for (guint i = 0; init->queues[i].name != NULL; i++)
    plan_queue (&replay, i, replay.now);
  for (; replay.now < end; replay.now++)
    step (&replay);
  account (&replay, result);
  replay_close (&replay);
}
