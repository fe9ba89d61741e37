#include "lease_server.h"

#include <string.h>

#define CPU_EACH 1000
#define STOP_MS 50
#define LATE_LEAST_MS 2000
#define LATE_MOST_MS 8000
#define FAILS 0.02

typedef struct
{
  RunKey key;
  gint64 ends; /* server's clock; moved on while it hangs */
  gint64 length;
  gint64 stops_at; /* 0: not being stopped */
} Task;

typedef enum
{
  ORDER_START,
  ORDER_STOP,
  ORDER_HOLD,
} OrderKind;

/* A call on its way, or waiting for its answer. */
typedef struct
{
  OrderKind kind;
  ServerCall call;
  char instance[16];
  RunKey key;
  guint64 ends_seen;
  gint64 due;       /* when it is carried out */
  gint64 answer_by; /* of a hold that waits; 0: answered at once */
  gint64 timeout;
  gboolean lost; /* no answer leaves the server */
  gboolean answered;
  gboolean carried_out;
} Order;

struct LeaseServer
{
  GRand *rand;
  const gint64 *now;
  void (*started) (const RunKey *key, gpointer ctx);
  gpointer ctx;
  guint life;
  char instance[16];
  gint64 clock_start;
  guint64 sequence;
  guint64 token;
  gint64 lease;
  guint64 ends;
  GArray *tasks; /* of Task */
  GArray *ended; /* of EndedRun */
  GArray *dead;  /* of RunKey: stopped or ended here */
  GPtrArray *orders;
  gint64 late_until;
  double late_share;
  gint64 silent_until;
  gint64 hang_until;
  gint64 caller_offset;
};

static gint64
server_ms (const LeaseServer *server)
{
  return *server->now - server->clock_start + 1000;
}

static void
begin_life (LeaseServer *server)
{
  server->life++;
  g_snprintf (server->instance, sizeof server->instance, "life-%u", server->life);
  server->clock_start = *server->now;
  server->sequence = 0;
  server->token = 0;
  server->lease = 0;
  server->ends = 0;
  g_array_set_size (server->tasks, 0);
  g_array_set_size (server->ended, 0);
  g_array_set_size (server->dead, 0);
}

LeaseServer *
lease_server_new (GRand *rand,
                  const gint64 *now,
                  void (*started) (const RunKey *key, gpointer ctx),
                  gpointer ctx)
{
  LeaseServer *server = g_new0 (LeaseServer, 1);

  server->rand = rand;
  server->now = now;
  server->started = started;
  server->ctx = ctx;
  server->tasks = g_array_new (FALSE, TRUE, sizeof (Task));
  server->ended = g_array_new (FALSE, TRUE, sizeof (EndedRun));
  server->dead = g_array_new (FALSE, TRUE, sizeof (RunKey));
  server->orders = g_ptr_array_new_with_free_func (g_free);
  begin_life (server);
  return server;
}

void
lease_server_free (LeaseServer *server)
{
  g_array_unref (server->tasks);
  g_array_unref (server->ended);
  g_array_unref (server->dead);
  g_ptr_array_unref (server->orders);
  g_free (server);
}

void
lease_server_set_clock (LeaseServer *server, gint64 caller_offset)
{
  server->caller_offset = caller_offset;
}

void
lease_server_facts (LeaseServer *server, ServerFacts *facts)
{
  facts->instance = server->instance;
  facts->server_ms = server_ms (server);
  facts->sequence = ++server->sequence;
}

static void
end_task (LeaseServer *server, guint i, RunEnd how)
{
  Task *task = &g_array_index (server->tasks, Task, i);
  EndedRun ended = { ++server->ends, task->key, how };

  g_array_append_val (server->dead, task->key);
  g_array_append_val (server->ended, ended);
  g_array_remove_index_fast (server->tasks, i);
}

static gboolean
is_dead (const LeaseServer *server, const RunKey *key)
{
  for (guint i = 0; i < server->dead->len; i++)
    {
      const RunKey *dead = &g_array_index (server->dead, RunKey, i);

      if (strcmp (dead->job, key->job) == 0 && dead->index == key->index
          && key->run <= dead->run)
        return TRUE;
    }
  return FALSE;
}

static int
find_task (const LeaseServer *server, const RunKey *key)
{
  for (guint i = 0; i < server->tasks->len; i++)
    if (run_key_equal (&g_array_index (server->tasks, Task, i).key, key))
      return (int)i;
  return -1;
}

static CallEnd
carry_out_start (LeaseServer *server, const Order *order)
{
  Task task = { .key = order->key };

  if (find_task (server, &order->key) >= 0)
    return CALL_DONE;
  if (is_dead (server, &order->key))
    return CALL_SUPERSEDED;
  if (server->lease <= server_ms (server))
    return CALL_LATE;
  task.length = g_rand_int_range (server->rand, 50, 800);
  task.ends = server_ms (server) + task.length;
  g_array_append_val (server->tasks, task);
  server->started (&order->key, server->ctx);
  return CALL_DONE;
}

static CallEnd
carry_out (LeaseServer *server, const Order *order)
{
  int i;

  if (strcmp (order->instance, server->instance) != 0)
    return CALL_OTHER_INSTANCE;
  if (order->call.token < server->token)
    return CALL_FENCED;
  server->token = order->call.token;
  server->lease = MAX (server->lease, order->call.lease_until);
  switch (order->kind)
    {
    case ORDER_START:
      return carry_out_start (server, order);
    case ORDER_STOP:
      i = find_task (server, &order->key);
      if (i >= 0 && g_array_index (server->tasks, Task, i).stops_at == 0)
        g_array_index (server->tasks, Task, i).stops_at
            = server_ms (server) + g_rand_int_range (server->rand, 1, STOP_MS);
      else if (i < 0)
        g_array_append_val (server->dead, order->key);
      break;
    case ORDER_HOLD:
      for (guint j = server->ended->len; j > 0; j--)
        if (g_array_index (server->ended, EndedRun, j - 1).number <= order->ends_seen)
          g_array_remove_index (server->ended, j - 1);
      break;
    }
  return CALL_DONE;
}

void
lease_server_step (LeaseServer *server)
{
  gint64 now = server_ms (server);

  for (guint i = server->tasks->len; i > 0; i--)
    {
      Task *task = &g_array_index (server->tasks, Task, i - 1);

      if (*server->now < server->hang_until)
        task->ends += 5;
      if (task->stops_at != 0 && now >= task->stops_at)
        end_task (server, i - 1, RUN_END_STOPPED);
      else if (now > server->lease)
        end_task (server, i - 1, RUN_END_EXPIRED);
      else if (now >= task->ends)
        end_task (server, i - 1,
                  g_rand_double (server->rand) < FAILS ? RUN_END_FAILED : RUN_END_DONE);
    }
  for (guint i = 0; i < server->orders->len; i++)
    {
      Order *order = g_ptr_array_index (server->orders, i);

      if (order->lost && !order->carried_out && *server->now >= order->due)
        {
          order->carried_out = TRUE;
          carry_out (server, order);
        }
    }
}

static void
answer (LeaseServer *server, Order *order, CallEnd end, gint64 now_ms)
{
  CallReply reply = { .end = end, .now_ms = now_ms };
  RunningRun *running = g_new0 (RunningRun, server->tasks->len + 1);
  EndedRun *ended = g_new0 (EndedRun, server->ended->len + 1);

  for (guint i = 0; i < server->ended->len; i++)
    ended[i] = g_array_index (server->ended, EndedRun, i);
  order->answered = TRUE;
  if (end != CALL_UNANSWERED)
    reply.server_ms = server_ms (server);
  if (end == CALL_DONE && order->kind == ORDER_HOLD)
    {
      for (guint i = 0; i < server->tasks->len; i++)
        {
          const Task *task = &g_array_index (server->tasks, Task, i);
          gint64 left = task->ends - server_ms (server);

          running[i].key = task->key;
          running[i].percent = (guint)CLAMP (100 - left * 100 / task->length, 0, 99);
        }
      reply.running = running;
      reply.n_running = server->tasks->len;
      reply.ended = ended;
      reply.n_ended = server->ended->len;
    }
  order->call.replied (&reply, order->call.ctx, order->call.cookie);
  g_free (running);
  g_free (ended);
}

static gboolean
must_wait (const LeaseServer *server, const Order *order)
{
  return order->answer_by > *server->now && server->ended->len == 0;
}

void
lease_server_reply (LeaseServer *server, gint64 now_ms)
{
  for (guint i = 0; i < server->orders->len; i++)
    {
      Order *order = g_ptr_array_index (server->orders, i);

      if (order->answered)
        continue;
      if (order->lost || *server->now < server->silent_until)
        {
          if (*server->now >= order->timeout)
            {
              order->lost = TRUE;
              answer (server, order, CALL_UNANSWERED, now_ms);
            }
          continue;
        }
      if (*server->now < order->due || must_wait (server, order))
        continue;
      order->carried_out = TRUE;
      answer (server, order, carry_out (server, order), now_ms);
    }
  for (guint i = server->orders->len; i > 0; i--)
    {
      const Order *order = g_ptr_array_index (server->orders, i - 1);

      if (order->answered && (order->carried_out || !order->lost))
        g_ptr_array_remove_index (server->orders, i - 1);
    }
}

void
lease_server_drop_calls (LeaseServer *server)
{
  for (guint i = 0; i < server->orders->len; i++)
    {
      Order *order = g_ptr_array_index (server->orders, i);

      if (order->answered)
        continue;
      answer (server, order, CALL_UNANSWERED, 0);
      order->lost = TRUE;
    }
}

static Order *
take_call (LeaseServer *server, OrderKind kind, const ServerCall *call)
{
  Order *order = g_new0 (Order, 1);

  order->kind = kind;
  order->call = *call;
  g_strlcpy (order->instance, call->instance, sizeof order->instance);
  order->call.instance = NULL;
  order->due = *server->now + g_rand_int_range (server->rand, 0, 6);
  order->timeout = *server->now + call->timeout_ms;
  if (*server->now < server->late_until
      && g_rand_double (server->rand) < server->late_share)
    {
      order->lost = TRUE;
      order->due
          = *server->now + g_rand_int_range (server->rand, LATE_LEAST_MS, LATE_MOST_MS);
    }
  g_ptr_array_add (server->orders, order);
  return order;
}

static void
start (const ServerCall *call, const RunKey *key, const char *payload, gpointer server)
{
  take_call (server, ORDER_START, call)->key = *key;
}

static void
stop (const ServerCall *call, const RunKey *key, gpointer server)
{
  take_call (server, ORDER_STOP, call)->key = *key;
}

static void
hold (const ServerCall *call, guint64 ends_seen, guint wait_ms, gpointer data)
{
  LeaseServer *server = data;
  Order *order = take_call (server, ORDER_HOLD, call);

  order->ends_seen = ends_seen;
  order->answer_by = wait_ms > 0 ? *server->now + wait_ms : 0;
}

const ServerCalls lease_server_calls = { start, stop, hold };

void
lease_server_delay_calls (LeaseServer *server, gint64 until, double share)
{
  server->late_until = until;
  server->late_share = share;
}

void
lease_server_stop_responding (LeaseServer *server, gint64 until)
{
  server->silent_until = until;
}

void
lease_server_hang (LeaseServer *server, gint64 until)
{
  server->hang_until = until;
}

void
lease_server_restart (LeaseServer *server)
{
  begin_life (server);
}

guint
lease_server_used_cpu (const LeaseServer *server)
{
  return server->tasks->len * CPU_EACH;
}

guint
lease_server_running (const LeaseServer *server)
{
  return server->tasks->len;
}

const RunKey *
lease_server_run (const LeaseServer *server, guint i)
{
  return &g_array_index (server->tasks, Task, i).key;
}
