#include "lease_sim.h"
#include "dispatcher.h"
#include "lease_server.h"
#include "runner.h"

#include <string.h>

#define STEP_MS 5
#define ENTRY_LEASE_MS 450
#define SERVER_LEASE_MS 700
#define HEARTBEAT_MS 120
#define SILENT_MS 500
#define RESEND_MS 1300
#define FAULTS_END_MS 20000
#define END_MS 52000
/* All that the faults left behind is over after this. */
#define CALM_MS 4000
#define CAPACITY 4000
#define CALLER_TIME_MS 4000
#define TRIES_MOST 6

typedef struct Node
{
  guint index;
  gboolean is_entry;
  guint64 incarnation;
  gint64 frozen_until;
  gint64 down_until;   /* 0: runs */
  gint64 clock_offset; /* clocks of different VMs have nothing in common */
  Dispatcher *dispatcher;
  Runner *runner;
  LeaseServer *server;
  LeaseSim *world;
} Node;

typedef struct
{
  gint64 due;
  gboolean to_agent;
  guint64 link; /* the life of the link it was sent on */
  gint64 sender_ms;
  gint64 granted_until; /* 0: none */
  gboolean status;
  ServerStatus state;
  gboolean inventory;
  GArray *reports; /* of TaskReport */
  GArray *starts;  /* of RunRequest */
  GArray *stops;   /* of RunKey */
} Message;

typedef struct
{
  Node *entry;
  Node *agent;
  guint64 life; /* 0: down */
  gint64 up_since;
  gint64 heard_by_entry;
  gint64 heard_by_agent;
  gint64 sent_by_entry;
  gint64 sent_by_agent;
  gint64 cut_to_agent_until;
  gint64 cut_to_entry_until;
  gint64 redial;
  PeerClock agent_clock; /* as the entry knows it */
  LeasedServer *record;
  GQueue *messages;
  Message *entry_out; /* of this step */
  Message *agent_out;
} Wire;

typedef struct WorldJob WorldJob;

/* One request of a caller, on a connection of its own. */
typedef struct
{
  WorldJob *owner;
  Node *entry;
  guint64 entry_life;
  LeasedJob *job; /* NULL once it is answered, or its entry is gone */
  gint64 deadline;
  gboolean abandoned; /* the caller has closed the connection */
} Try;

struct WorldJob
{
  char id[24];
  guint tasks;
  gint64 next_try; /* 0: none is due */
  gboolean over;
  gboolean started;
  gboolean only_refusals;
  Try tries[TRIES_MOST];
  guint n_tries;
  LeaseSim *world;
};

struct LeaseSim
{
  LeaseSimInit init;
  GRand *rand;
  gint64 now;
  guint64 next_life;
  Node *entries;
  Node *agents;
  Wire *wires;
  WorldJob *jobs;
  GString *story;
  char *broken;
  LeaseSimCounts counts;
};

static void G_GNUC_PRINTF (2, 3) tell (LeaseSim *world, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  g_string_append_printf (world->story, "%6" G_GINT64_FORMAT " ", world->now);
  g_string_append_vprintf (world->story, format, args);
  g_string_append_c (world->story, '\n');
  va_end (args);
}

static void G_GNUC_PRINTF (2, 3) breaks (LeaseSim *world, const char *format, ...)
{
  va_list args;

  if (world->broken != NULL)
    return;
  va_start (args, format);
  world->broken = g_strdup_vprintf (format, args);
  va_end (args);
  tell (world, "BROKEN: %s", world->broken);
}

static gboolean
chance (LeaseSim *world, double probability)
{
  return g_rand_double (world->rand) < probability;
}

static gboolean
runs (const Node *node)
{
  return node->down_until == 0 && node->world->now >= node->frozen_until;
}

static gint64
clock_of (const Node *node)
{
  return node->world->now + node->clock_offset;
}

static Wire *
wire_of (LeaseSim *world, const Node *entry, const Node *agent)
{
  return &world->wires[entry->index * world->init.agents + agent->index];
}

/* Messages. */

static Message *
message_new (void)
{
  Message *message = g_new0 (Message, 1);

  message->reports = g_array_new (FALSE, TRUE, sizeof (TaskReport));
  message->starts = g_array_new (FALSE, TRUE, sizeof (RunRequest));
  message->stops = g_array_new (FALSE, TRUE, sizeof (RunKey));
  return message;
}

static void
message_free (gpointer data)
{
  Message *message = data;

  if (message == NULL)
    return;
  g_array_unref (message->reports);
  g_array_unref (message->starts);
  g_array_unref (message->stops);
  server_status_free (&message->state);
  g_free (message);
}

static Message *
entry_out (Wire *wire)
{
  if (wire->entry_out == NULL)
    wire->entry_out = message_new ();
  return wire->entry_out;
}

static Message *
agent_out (Wire *wire)
{
  if (wire->agent_out == NULL)
    wire->agent_out = message_new ();
  return wire->agent_out;
}

/* What the dispatcher asks for. */

static void
on_order (LeasedServer *server,
          const LeasedSpec *spec,
          const RunKey *keys,
          gsize n,
          guint expected_ms,
          const ResourceRequest *wish,
          gint64 valid_until_ms,
          gpointer ctx)
{
  Wire *wire = leased_server_user_data (server);

  for (gsize i = 0; i < n; i++)
    {
      RunRequest request = { .entry = wire->entry->incarnation,
                             .key = keys[i],
                             .payload = "p",
                             .demand = spec->demand,
                             .expected_ms = expected_ms,
                             .resources = *wish,
                             .valid_until_ms = valid_until_ms };

      g_array_append_val (entry_out (wire)->starts, request);
    }
}

static void
on_stop (LeasedServer *server, const RunKey *key, gpointer ctx)
{
  Wire *wire = leased_server_user_data (server);

  g_array_append_val (entry_out (wire)->stops, *key);
}

static void
on_want_pump (gpointer ctx)
{
}

/* Offers of room are left out here: they change who starts, not what may. */
static void
on_want (LeasedServer *server, const ResourceRequest *wish, gpointer ctx)
{
}

static const DispatcherOps dispatcher_ops = { on_order, on_want, on_stop, on_want_pump };

/* What the runner reports. */

static TaskEvent
event_of (ReportKind kind)
{
  static const TaskEvent events[]
      = { TASK_STARTED, TASK_NOT_STARTED, TASK_DONE,        TASK_FAILED,
          TASK_LOST,    TASK_STRAGGLES,   TASK_SERVER_ENDED };

  return events[kind];
}

static Wire *
wire_to_entry (Node *agent, guint64 incarnation)
{
  LeaseSim *world = agent->world;

  for (guint i = 0; i < world->init.entries; i++)
    {
      Wire *wire = wire_of (world, &world->entries[i], agent);

      if (world->entries[i].incarnation == incarnation && wire->life != 0)
        return wire;
    }
  return NULL;
}

static TaskReport
task_report (const RunReport *report)
{
  TaskReport task = { .key = report->key,
                      .event = event_of (report->kind),
                      .reason = report->reason,
                      .run_ms = report->run_ms };

  return task;
}

static void
on_report (guint64 incarnation, const RunReport *told, gpointer ctx)
{
  Wire *wire = wire_to_entry (ctx, incarnation);
  TaskReport report = task_report (told);

  if (wire != NULL)
    g_array_append_val (agent_out (wire)->reports, report);
}

static void
on_straggles (guint64 incarnation,
              const RunKey *key,
              guint remaining_ms,
              guint elsewhere_ms,
              gpointer ctx)
{
  Wire *wire = wire_to_entry (ctx, incarnation);
  TaskReport report = { .key = *key,
                        .event = TASK_STRAGGLES,
                        .reason = "",
                        .remaining_ms = remaining_ms,
                        .elsewhere_ms = elsewhere_ms };

  if (wire != NULL)
    g_array_append_val (agent_out (wire)->reports, report);
}

static void
on_changed (gpointer ctx)
{
  Node *agent = ctx;
  LeaseSim *world = agent->world;

  for (guint i = 0; i < world->init.entries; i++)
    {
      Wire *wire = wire_of (world, &world->entries[i], agent);

      if (wire->life != 0)
        agent_out (wire)->status = TRUE;
    }
}

static void
on_no_room (guint64 incarnation, const ResourceRequest *wish, gpointer ctx)
{
}

static const RunnerOps runner_ops = { on_report, on_straggles, on_no_room, on_changed };

/* Nodes. */

static void
entry_boot (Node *entry)
{
  DispatcherInit init = { SERVER_LEASE_MS };

  entry->incarnation = ++entry->world->next_life;
  entry->dispatcher = dispatcher_new (&init, &dispatcher_ops, entry);
}

static void
tell_facts (Node *agent)
{
  ServerFacts facts
      = { .service = "s", .zone = "z", .capacity = { CAPACITY, 100000, 0 } };

  lease_server_facts (agent->server, &facts);
  runner_facts (agent->runner, &facts, clock_of (agent));
}

static void
agent_boot (Node *agent)
{
  RunnerInit init = { &lease_server_calls, agent->server, SERVER_LEASE_MS };

  agent->incarnation = ++agent->world->next_life;
  lease_server_set_clock (agent->server, agent->clock_offset);
  agent->runner = runner_new (&init, &runner_ops, agent);
  tell_facts (agent);
}

/* Links. */

static void
wire_break (Wire *wire)
{
  Message *message;

  if (wire->life == 0)
    return;
  wire->life = 0;
  wire->redial = wire->entry->world->now + 100;
  while ((message = g_queue_pop_head (wire->messages)) != NULL)
    message_free (message);
  message_free (g_steal_pointer (&wire->entry_out));
  message_free (g_steal_pointer (&wire->agent_out));
  if (wire->entry->dispatcher != NULL && wire->record != NULL)
    dispatcher_server_down (wire->record, clock_of (wire->entry));
  wire->record = NULL;
}

static void
add_to_inventory (const RunReport *told, gpointer ctx)
{
  TaskReport report = task_report (told);

  g_array_append_val (((Message *)ctx)->reports, report);
}

static void
wire_connect (Wire *wire)
{
  LeaseSim *world = wire->entry->world;
  char name[16];

  if (wire->life != 0 || world->now < wire->redial || !runs (wire->entry)
      || !runs (wire->agent) || world->now < wire->cut_to_agent_until
      || world->now < wire->cut_to_entry_until)
    return;
  g_snprintf (name, sizeof name, "agent-%u", wire->agent->index);
  wire->life = ++world->next_life;
  wire->heard_by_entry = wire->heard_by_agent = world->now;
  wire->sent_by_entry = wire->sent_by_agent = 0;
  memset (&wire->agent_clock, 0, sizeof wire->agent_clock);
  peer_clock_observe (&wire->agent_clock, clock_of (wire->agent), clock_of (wire->entry));
  wire->record = dispatcher_server_up (wire->entry->dispatcher, wire->agent->incarnation,
                                       name, wire);
  dispatcher_server_clock (wire->record, clock_of (wire->agent), clock_of (wire->entry));
  agent_out (wire)->inventory = TRUE;
  agent_out (wire)->status = TRUE;
  runner_each_run (wire->agent->runner, wire->entry->incarnation, add_to_inventory,
                   agent_out (wire));
}

static void
post (Wire *wire, Message *message, gboolean to_agent)
{
  LeaseSim *world = wire->entry->world;
  gint64 cut = to_agent ? wire->cut_to_agent_until : wire->cut_to_entry_until;

  message->to_agent = to_agent;
  message->link = wire->life;
  message->due = MAX (world->now, cut) + g_rand_int_range (world->rand, 1, 8);
  for (GList *item = wire->messages->head; item != NULL; item = item->next)
    {
      const Message *other = item->data;

      if (other->to_agent == to_agent)
        message->due = MAX (message->due, other->due);
    }
  g_queue_push_tail (wire->messages, message);
}

static void
fill_status (Wire *wire, Message *message)
{
  Runner *runner = wire->agent->runner;
  const ServerHealth *quality = runner_server_health (runner);

  if (!message->status || runner_instance (runner) == NULL)
    {
      message->status = FALSE;
      return;
    }
  message->state.instance = g_strdup (runner_instance (runner));
  message->state.service = g_strdup ("s");
  message->state.zone = g_strdup ("z");
  message->state.labels = g_new0 (char *, 1);
  message->state.capacity = *runner_capacity (runner);
  message->state.used_by_others
      = runner_used_by_others (runner, wire->entry->incarnation);
  message->state.ready = runner_ready (runner);
  message->state.draining = runner_draining (runner);
  message->state.trust = quality->trust;
  message->state.slowness_percent = (guint)(quality->slowness * 100);
}

static void
flush_entry (Wire *wire)
{
  LeaseSim *world = wire->entry->world;
  Message *message;

  if (wire->life == 0 || !runs (wire->entry))
    return;
  if (wire->entry_out == NULL && world->now - wire->sent_by_entry < HEARTBEAT_MS)
    return;
  message = entry_out (wire);
  wire->entry_out = NULL;
  wire->sent_by_entry = world->now;
  message->sender_ms = clock_of (wire->entry);
  message->granted_until
      = peer_clock_least (&wire->agent_clock, clock_of (wire->entry), 0) + ENTRY_LEASE_MS;
  dispatcher_server_lease_extended (wire->record, message->granted_until);
  post (wire, message, TRUE);
}

static void
flush_agent (Wire *wire)
{
  LeaseSim *world = wire->entry->world;
  Message *message;

  if (wire->life == 0 || !runs (wire->agent))
    return;
  if (wire->agent_out == NULL && world->now - wire->sent_by_agent < HEARTBEAT_MS)
    return;
  message = agent_out (wire);
  wire->agent_out = NULL;
  wire->sent_by_agent = world->now;
  message->sender_ms = clock_of (wire->agent);
  fill_status (wire, message);
  post (wire, message, FALSE);
}

static void
take_at_agent (Wire *wire, Message *message)
{
  Node *agent = wire->agent;
  gint64 now = clock_of (agent);

  if (message->granted_until > 0)
    runner_extend_lease (agent->runner, wire->entry->incarnation, message->granted_until);
  for (guint i = 0; i < message->stops->len; i++)
    runner_stop (agent->runner, wire->entry->incarnation,
                 &g_array_index (message->stops, RunKey, i), now);
  for (guint i = 0; i < message->starts->len; i++)
    runner_start (agent->runner, &g_array_index (message->starts, RunRequest, i), now);
}

static void
take_at_entry (Wire *wire, Message *message)
{
  gint64 now = clock_of (wire->entry);

  peer_clock_observe (&wire->agent_clock, message->sender_ms, now);
  dispatcher_server_clock (wire->record, message->sender_ms, now);
  if (message->status)
    {
      dispatcher_server_status (wire->record, &message->state);
      memset (&message->state, 0, sizeof message->state);
    }
  if (message->reports->len > 0 || message->inventory)
    dispatcher_reports (wire->record, (const TaskReport *)message->reports->data,
                        message->reports->len, message->inventory, now);
}

/* A node that was frozen finds old frames; the link's own check drops them with it. */
static gboolean
is_stale (Wire *wire, gboolean at_agent)
{
  gint64 heard = at_agent ? wire->heard_by_agent : wire->heard_by_entry;

  return wire->entry->world->now - heard > SILENT_MS;
}

static void
deliver (Wire *wire)
{
  LeaseSim *world = wire->entry->world;
  GList *item = wire->messages->head;

  while (item != NULL && wire->life != 0)
    {
      Message *message = item->data;
      Node *receiver = message->to_agent ? wire->agent : wire->entry;
      GList *next = item->next;

      if (message->due > world->now || !runs (receiver))
        {
          item = next;
          continue;
        }
      if (is_stale (wire, message->to_agent))
        {
          wire_break (wire);
          return;
        }
      g_queue_delete_link (wire->messages, item);
      if (message->to_agent)
        {
          wire->heard_by_agent = world->now;
          take_at_agent (wire, message);
        }
      else
        {
          wire->heard_by_entry = world->now;
          take_at_entry (wire, message);
        }
      message_free (message);
      item = wire->messages->head;
    }
}

static void
check_silence (Wire *wire)
{
  if (wire->life == 0)
    return;
  if ((runs (wire->entry) && is_stale (wire, FALSE))
      || (runs (wire->agent) && is_stale (wire, TRUE)))
    wire_break (wire);
}

/* Callers. */

static WorldJob *
find_job (LeaseSim *world, const char *id)
{
  for (guint i = 0; i < world->init.jobs; i++)
    if (strcmp (world->jobs[i].id, id) == 0)
      return &world->jobs[i];
  return NULL;
}

static void
try_again (WorldJob *job)
{
  job->only_refusals = FALSE;
  if (job->n_tries < TRIES_MOST)
    job->next_try = job->world->now + RESEND_MS;
  else
    job->over = TRUE;
}

static void
on_done (const LeasedResult *result, gpointer ctx)
{
  Try *try = ctx;
  WorldJob *job = try->owner;
  LeaseSim *world = job->world;

  try->job = NULL;
  if (try->abandoned || job->over)
    return;
  tell (world, "%s ends %d: %s", job->id, result->end, result->reason);
  switch (result->end)
    {
    case LEASED_COMPLETED:
      world->counts.completed++;
      job->over = TRUE;
      break;
    case LEASED_FAILED:
      world->counts.failed++;
      job->over = TRUE;
      break;
    case LEASED_REFUSED:
      world->counts.refused++;
      job->over = TRUE;
      if (job->started && job->only_refusals)
        breaks (world, "%s was said not to have run, and had", job->id);
      break;
    case LEASED_GIVEN_UP:
      world->counts.given_up++;
      if (try->deadline > FAULTS_END_MS + CALM_MS + CALLER_TIME_MS)
        breaks (world, "%s was given up though all was well", job->id);
      try_again (job);
      break;
    }
}

static void
submit (WorldJob *job, Node *entry)
{
  LeaseSim *world = job->world;
  gint64 now = clock_of (entry);
  LeasedSpec spec = { .id = job->id,
                      .queue = "q",
                      .service = "s",
                      .payload = "p",
                      .label = "",
                      .rack = "",
                      .max_attempts = 2,
                      .count = job->tasks,
                      .declared_ms = 200,
                      .target_ms = 60,
                      .stretch = 4,
                      .demand = { 1000, 10, 0 },
                      .arrived_ms = now,
                      .deadline_ms = now + CALLER_TIME_MS };
  Try *try = &job->tries[job->n_tries++];

  tell (world, "%s to entry %u", job->id, entry->index);
  job->next_try = 0;
  try->owner = job;
  try->entry = entry;
  try->entry_life = entry->incarnation;
  try->deadline = world->now + CALLER_TIME_MS + 100;
  try->job = dispatcher_submit (entry->dispatcher, &spec, on_done, try, now);
}

/* The entry of a request notices its caller's going once it runs. */
static void
follow_try (Try *try)
{
  Node *entry = try->entry;
  LeasedJob *left = try->job;

  if (left == NULL)
    return;
  if (entry->incarnation != try->entry_life || entry->down_until != 0)
    {
      try->job = NULL;
      if (!try->abandoned && !try->owner->over)
        try_again (try->owner);
      try->abandoned = TRUE;
      return;
    }
  if (!try->abandoned && entry->world->now > try->deadline)
    {
      try->abandoned = TRUE;
      try_again (try->owner);
    }
  if (!try->abandoned || !runs (entry))
    return;
  try->job = NULL;
  dispatcher_cancel (left, clock_of (entry));
}

static void
follow_job (WorldJob *job)
{
  LeaseSim *world = job->world;
  Node *entry;

  for (guint i = 0; i < job->n_tries; i++)
    follow_try (&job->tries[i]);
  if (job->over || job->next_try == 0 || world->now < job->next_try)
    return;
  entry = &world->entries[g_rand_int_range (world->rand, 0, (gint32)world->init.entries)];
  if (!runs (entry))
    {
      job->next_try = world->now + RESEND_MS;
      return;
    }
  submit (job, entry);
}

/* Faults. */

static void
kill_node (LeaseSim *world, Node *node, gint64 down_ms)
{
  if (node->down_until != 0)
    return;
  node->down_until = world->now + down_ms;
  for (guint i = 0; i < world->init.entries * world->init.agents; i++)
    if (world->wires[i].entry == node || world->wires[i].agent == node)
      wire_break (&world->wires[i]);
  if (node->is_entry)
    {
      g_clear_pointer (&node->dispatcher, dispatcher_free);
      return;
    }
  runner_close (node->runner);
  lease_server_drop_calls (node->server);
  g_clear_pointer (&node->runner, runner_free);
}

static void
boot_if_due (LeaseSim *world, Node *node)
{
  if (node->down_until == 0 || world->now < node->down_until)
    return;
  node->down_until = 0;
  node->frozen_until = 0;
  tell (world, "%s %u is back", node->is_entry ? "entry" : "agent", node->index);
  if (node->is_entry)
    entry_boot (node);
  else
    agent_boot (node);
}

static void
cut_wire (LeaseSim *world, Wire *wire, gint64 length)
{
  guint way = (guint)g_rand_int_range (world->rand, 0, 3);

  if (way != 1)
    wire->cut_to_agent_until = world->now + length;
  if (way != 2)
    wire->cut_to_entry_until = world->now + length;
}

static void
strike (LeaseSim *world)
{
  static const char *const names[]
      = { "kill entry", "kill agent",  "freeze entry",  "freeze agent",    "cut",
          "reset",      "late orders", "silent server", "server restarts", "hang" };
  guint what = (guint)g_rand_int_range (world->rand, 0, G_N_ELEMENTS (names));
  Node *entry
      = &world->entries[g_rand_int_range (world->rand, 0, (gint32)world->init.entries)];
  Node *agent
      = &world->agents[g_rand_int_range (world->rand, 0, (gint32)world->init.agents)];
  gint64 length = g_rand_int_range (world->rand, 20, 3000);

  world->counts.faults++;
  tell (world, "%s: entry %u, agent %u, %" G_GINT64_FORMAT " ms", names[what],
        entry->index, agent->index, length);
  switch (what)
    {
    case 0:
      kill_node (world, entry, length);
      break;
    case 1:
      kill_node (world, agent, length);
      break;
    case 2:
      entry->frozen_until = world->now + length;
      break;
    case 3:
      agent->frozen_until = world->now + length;
      break;
    case 4:
      cut_wire (world, wire_of (world, entry, agent), length);
      break;
    case 5:
      wire_break (wire_of (world, entry, agent));
      break;
    case 6:
      lease_server_delay_calls (agent->server, world->now + length, 0.3);
      break;
    case 7:
      lease_server_stop_responding (agent->server, world->now + length);
      break;
    case 8:
      lease_server_restart (agent->server);
      break;
    case 9:
      lease_server_hang (agent->server, world->now + length);
      break;
    default:
      g_assert_not_reached ();
    }
}

/* Promises. */

static void
on_started (const RunKey *key, gpointer ctx)
{
  LeaseSim *world = ctx;
  WorldJob *job = find_job (world, key->job);

  world->counts.starts++;
  g_assert_nonnull (job);
  job->started = TRUE;
}

static void
check_promises (LeaseSim *world)
{
  GHashTable *running = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < world->init.agents; i++)
    {
      LeaseServer *server = world->agents[i].server;

      if (lease_server_used_cpu (server) > CAPACITY)
        breaks (world, "server %u is over its capacity", i);
      for (guint j = 0; j < lease_server_running (server); j++)
        {
          const RunKey *key = lease_server_run (server, j);
          char *name = g_strdup_printf ("%s.%u", key->job, key->index);

          if (!g_hash_table_add (running, name))
            breaks (world, "two runs of %s.%u at once", key->job, key->index);
        }
    }
  g_hash_table_unref (running);
}

static void
check_end (LeaseSim *world)
{
  for (guint i = 0; i < world->init.jobs; i++)
    if (!world->jobs[i].over)
      breaks (world, "%s never ended", world->jobs[i].id);
}

LeaseSim *
lease_sim_new (const LeaseSimInit *init)
{
  LeaseSim *world = g_new0 (LeaseSim, 1);

  world->init = *init;
  world->rand = g_rand_new_with_seed (init->seed);
  world->story = g_string_new (NULL);
  world->now = 1000;
  world->entries = g_new0 (Node, init->entries);
  world->agents = g_new0 (Node, init->agents);
  world->wires = g_new0 (Wire, init->entries * init->agents);
  world->jobs = g_new0 (WorldJob, init->jobs);
  for (guint i = 0; i < init->agents; i++)
    {
      Node *agent = &world->agents[i];

      agent->index = i;
      agent->world = world;
      agent->clock_offset = g_rand_int_range (world->rand, -900, 1000000);
      agent->server = lease_server_new (world->rand, &world->now, on_started, world);
      agent_boot (agent);
    }
  for (guint i = 0; i < init->entries; i++)
    {
      world->entries[i].index = i;
      world->entries[i].is_entry = TRUE;
      world->entries[i].world = world;
      world->entries[i].clock_offset = g_rand_int_range (world->rand, -900, 1000000);
      entry_boot (&world->entries[i]);
    }
  for (guint i = 0; i < init->entries * init->agents; i++)
    {
      world->wires[i].entry = &world->entries[i / init->agents];
      world->wires[i].agent = &world->agents[i % init->agents];
      world->wires[i].messages = g_queue_new ();
    }
  for (guint i = 0; i < init->jobs; i++)
    {
      WorldJob *job = &world->jobs[i];

      g_snprintf (job->id, sizeof job->id, "job-%u", i);
      job->world = world;
      job->only_refusals = TRUE;
      job->tasks = (guint)g_rand_int_range (world->rand, 1, 5);
      job->next_try = g_rand_int_range (world->rand, 2000, FAULTS_END_MS);
    }
  return world;
}

void
lease_sim_free (LeaseSim *world)
{
  for (guint i = 0; i < world->init.entries * world->init.agents; i++)
    {
      wire_break (&world->wires[i]);
      g_queue_free (world->wires[i].messages);
    }
  for (guint i = 0; i < world->init.entries; i++)
    dispatcher_free (world->entries[i].dispatcher);
  for (guint i = 0; i < world->init.agents; i++)
    {
      if (world->agents[i].runner != NULL)
        runner_close (world->agents[i].runner);
      lease_server_drop_calls (world->agents[i].server);
      runner_free (world->agents[i].runner);
      lease_server_free (world->agents[i].server);
    }
  g_free (world->entries);
  g_free (world->agents);
  g_free (world->wires);
  g_free (world->jobs);
  g_rand_free (world->rand);
  g_string_free (world->story, TRUE);
  g_free (world->broken);
  g_free (world);
}

static void
step_node (LeaseSim *world, Node *node)
{
  boot_if_due (world, node);
  if (!runs (node))
    return;
  if (node->is_entry)
    {
      if (world->now % DISPATCHER_TICK_MS == 0)
        dispatcher_tick (node->dispatcher, clock_of (node));
      dispatcher_pump (node->dispatcher, clock_of (node));
      return;
    }
  if (world->now % 1500 == 0)
    tell_facts (node);
  lease_server_reply (node->server, clock_of (node));
  if (world->now % RUNNER_TICK_MS == 0)
    runner_tick (node->runner, clock_of (node));
}

char *
lease_sim_run (LeaseSim *world)
{
  guint n_wires = world->init.entries * world->init.agents;

  while (world->now < END_MS && world->broken == NULL)
    {
      world->now += STEP_MS;
      if (world->init.faults && world->now < FAULTS_END_MS && chance (world, 0.006))
        strike (world);
      for (guint i = 0; i < world->init.agents; i++)
        lease_server_step (world->agents[i].server);
      for (guint i = 0; i < n_wires; i++)
        {
          check_silence (&world->wires[i]);
          wire_connect (&world->wires[i]);
          deliver (&world->wires[i]);
        }
      for (guint i = 0; i < world->init.agents; i++)
        step_node (world, &world->agents[i]);
      for (guint i = 0; i < world->init.entries; i++)
        step_node (world, &world->entries[i]);
      for (guint i = 0; i < world->init.jobs; i++)
        follow_job (&world->jobs[i]);
      for (guint i = 0; i < n_wires; i++)
        {
          flush_entry (&world->wires[i]);
          flush_agent (&world->wires[i]);
        }
      check_promises (world);
    }
  if (world->broken == NULL)
    check_end (world);
  return g_strdup (world->broken);
}

const char *
lease_sim_trace (const LeaseSim *world)
{
  return world->story->str;
}

const LeaseSimCounts *
lease_sim_counts (const LeaseSim *world)
{
  return &world->counts;
}
