#include "bench_cost.h"
#include "clock.h"
#include "harness.h"
#include "owner.h"
#include "placement.h"
#include "queue.h"

#include <stdlib.h>

#define LATENCY_CALLS 300
#define IDLE_MS 5000
#define FLOOD_JOBS 120
#define FLOOD_TASKS 130
#define OPEN_JOBS 1000
#define OPEN_TASKS 10
#define DECISIONS 200000
#define ESTIMATES 5000

typedef struct
{
  Harness *harness;
  CostReport report;
  gpointer ctx;
} Cost;

static int
compare_doubles (gconstpointer a, gconstpointer b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}

static double
quantile (double *values, gsize n, double q)
{
  qsort (values, n, sizeof *values, compare_doubles);
  return values[(gsize)(q * (n - 1))];
}

static double
call_ms (Harness *harness, const char *address, const char *path)
{
  Exchange *exchange = harness_post (harness, address, path, "20");
  double ms = (exchange->answered_us - exchange->called_us) / 1000.0;

  g_assert_cmpint (exchange->status, ==, 200);
  exchange_free (exchange);
  return ms;
}

/* Alternates the same call directly to a backend server and through the dispatcher. */
static void
cost_latency (Cost *cost)
{
  double direct[LATENCY_CALLS];
  double dispatched[LATENCY_CALLS];

  for (guint i = 0; i < LATENCY_CALLS; i++)
    {
      direct[i]
          = call_ms (cost->harness, harness_backend (cost->harness, 0)->http, "/run");
      dispatched[i] = call_ms (cost->harness, harness_entry (cost->harness, i % 3)->http,
                               "/v1/services/exchange");
    }
  cost->report ("added-latency-p50-ms",
                quantile (dispatched, LATENCY_CALLS, 0.5)
                    - quantile (direct, LATENCY_CALLS, 0.5),
                -1, cost->ctx);
  cost->report ("added-latency-p99-ms",
                quantile (dispatched, LATENCY_CALLS, 0.99)
                    - quantile (direct, LATENCY_CALLS, 0.99),
                -1, cost->ctx);
}

static double
sum (Cost *cost, GPtrArray *processes, const char *counter)
{
  double total = 0;

  for (guint i = 0; i < processes->len; i++)
    total += (double)harness_counter (
        cost->harness, ((Process *)g_ptr_array_index (processes, i))->http, counter);
  return total;
}

static void
cost_idle (Cost *cost)
{
  Harness *harness = cost->harness;
  double links = 3 * harness->agents->len + 3;
  double seconds = IDLE_MS / 1000.0;
  double bytes = sum (cost, harness->entries, "bytes_sent")
                 + sum (cost, harness->agents, "bytes_sent");
  double entry_us = sum (cost, harness->entries, "process_cpu_us");
  double agent_us = sum (cost, harness->agents, "process_cpu_us");

  harness_run_ms (harness, IDLE_MS);
  bytes = sum (cost, harness->entries, "bytes_sent")
          + sum (cost, harness->agents, "bytes_sent") - bytes;
  entry_us = sum (cost, harness->entries, "process_cpu_us") - entry_us;
  agent_us = sum (cost, harness->agents, "process_cpu_us") - agent_us;
  cost->report ("idle-bytes-per-link-second", bytes / links / seconds, -1, cost->ctx);
  cost->report ("idle-entry-cpu-percent",
                entry_us / harness->entries->len / seconds / 1e4, -1, cost->ctx);
  cost->report ("idle-agent-cpu-percent", agent_us / harness->agents->len / seconds / 1e4,
                -1, cost->ctx);
}

/* Throughput limit of the processes: zero-length tasks that keep the slots full. */
static void
cost_flood (Cost *cost)
{
  Harness *harness = cost->harness;
  Exchange *exchanges[FLOOD_JOBS];
  char *body = job_body (FLOOD_TASKS, "0", NULL);
  double entry_us = sum (cost, harness->entries, "process_cpu_us");
  double agent_us = sum (cost, harness->agents, "process_cpu_us");
  gint64 start_us = clock_now_us ();
  double tasks = FLOOD_JOBS * FLOOD_TASKS;

  for (guint i = 0; i < FLOOD_JOBS; i++)
    exchanges[i] = harness_call (harness, harness_entry (harness, i % 3)->http,
                                 EVHTTP_REQ_POST, "/v1/jobs", body);
  for (guint i = 0; i < FLOOD_JOBS; i++)
    {
      harness_wait_exchange (harness, exchanges[i]);
      g_assert_cmpint (exchanges[i]->status, ==, 200);
      exchange_free (exchanges[i]);
    }
  cost->report ("flood-tasks-per-second", tasks * 1e6 / (clock_now_us () - start_us), -1,
                cost->ctx);
  entry_us = sum (cost, harness->entries, "process_cpu_us") - entry_us;
  agent_us = sum (cost, harness->agents, "process_cpu_us") - agent_us;
  cost->report ("flood-entry-cpu-us-per-task", entry_us / tasks, -1, cost->ctx);
  cost->report ("flood-agent-cpu-us-per-task", agent_us / tasks, -1, cost->ctx);
  cost->report ("flood-tasks-per-entry-core-second", 1e6 / (entry_us / tasks), -1,
                cost->ctx);
  g_free (body);
}

/* Memory of queued jobs, behind tasks that occupy every slot. */
static void
cost_memory (Cost *cost)
{
  Harness *harness = cost->harness;
  char *filler = job_body (80, "3000", "\"deadline_ms\":600000,");
  char *body = job_body (OPEN_TASKS, "0:0123456789012345678901234567890123456789",
                         "\"deadline_ms\":600000,\"run_ms\":60000,");
  Exchange *first = harness_call (harness, harness_entry (harness, 0)->http,
                                  EVHTTP_REQ_POST, "/v1/jobs", filler);
  Exchange *exchanges[OPEN_JOBS];
  double before;
  double after;

  harness_run_ms (harness, 200);
  before = sum (cost, harness->entries, "process_rss_kb");
  for (guint i = 0; i < OPEN_JOBS; i++)
    exchanges[i] = harness_call (harness, harness_entry (harness, i % 3)->http,
                                 EVHTTP_REQ_POST, "/v1/jobs", body);
  harness_run_ms (harness, 1500);
  after = sum (cost, harness->entries, "process_rss_kb");
  cost->report ("memory-kb-per-open-job-of-10", (after - before) / OPEN_JOBS, -1,
                cost->ctx);
  for (guint i = 0; i < OPEN_JOBS; i++)
    {
      harness_wait_exchange (harness, exchanges[i]);
      exchange_free (exchanges[i]);
    }
  harness_wait_exchange (harness, first);
  exchange_free (first);
  cost->report ("memory-entry-rss-kb", after / harness->entries->len, -1, cost->ctx);
  cost->report ("memory-agent-rss-kb",
                sum (cost, harness->agents, "process_rss_kb") / harness->agents->len, -1,
                cost->ctx);
  g_free (body);
  g_free (filler);
}

void
bench_cost_processes (CostReport report, gpointer ctx)
{
  HarnessInit init = { .entries = 3, .backends = 10, .slots = 8 };
  Cost cost = { harness_new (&init), report, ctx };

  harness_run_ms (cost.harness, 500);
  cost_idle (&cost);
  cost_latency (&cost);
  cost_flood (&cost);
  cost_memory (&cost);
  harness_free (cost.harness);
}

/* Modules without I/O. */

static TeamShare
one_share (const char *team, gpointer ctx)
{
  TeamShare share = { 1, 0 };

  return share;
}

static double
placement_ns (guint servers)
{
  PlacementCandidate *candidates = g_new0 (PlacementCandidate, servers);
  guint rounds = DECISIONS / servers + 1;
  gint64 start_us;
  volatile int sink = 0;

  for (guint i = 0; i < servers; i++)
    {
      candidates[i].free = i % 3;
      candidates[i].slots = 8;
      candidates[i].slowness = 1 + (i % 7) / 10.0;
      candidates[i].suitable = TRUE;
    }
  start_us = clock_now_us ();
  for (guint i = 0; i < rounds; i++)
    sink += placement_choose (candidates, servers, 300, i);
  g_free (candidates);
  return (clock_now_us () - start_us) * 1000.0 / rounds;
}

static Queue *
filled_queue (guint teams, guint jobs)
{
  static const QueueOps ops = { one_share };
  Queue *queue = queue_new (&ops, NULL, 0.1);

  for (guint i = 0; i < jobs; i++)
    {
      char *team = g_strdup_printf ("team-%u", i % teams);
      QueueJobInit init = { .key = { 1, i },
                            .grant = 1,
                            .team = team,
                            .task_ms = 100 + i % 50,
                            .job_tasks = 130,
                            .arrived_ms = i,
                            .deadline_ms = 100000 + i };

      queue_push (queue, queue_add (queue, &init), 130);
      g_free (team);
    }
  return queue;
}

static double
estimate_ns (guint teams)
{
  Queue *queue = filled_queue (teams, 10000);
  gint64 start_us = clock_now_us ();
  volatile double sink = 0;

  for (guint i = 0; i < ESTIMATES; i++)
    sink += queue_expected_finish (queue, "team-0", 10000, 100, 80, 10000 + i);
  queue_free (queue);
  return (clock_now_us () - start_us) * 1000.0 / ESTIMATES;
}

static double
queue_ns (guint teams, guint jobs)
{
  Queue *queue = filled_queue (teams, jobs);
  gint64 start_us = clock_now_us ();
  guint rounds = 20000;

  for (guint i = 0; i < rounds; i++)
    queue_release (queue, queue_pick (queue, 80), TRUE);
  start_us = clock_now_us () - start_us;
  queue_free (queue);
  return start_us * 1000.0 / rounds;
}

static void
ignore_start (const OwnerTask *task,
              const char *path,
              const void *payload,
              gsize size,
              gpointer ctx)
{
}

static void
ignore_report (const OwnerTask *task, gpointer ctx)
{
}

static double
owner_ns (void)
{
  static const OwnerOps ops = { ignore_start, ignore_report };
  OwnerLimits limits = { 8, 1 << 30 };
  Owner *owner = owner_new (&limits, &ops, NULL);
  gint64 start_us = clock_now_us ();

  for (guint i = 0; i < DECISIONS; i++)
    {
      TaskKey key = { { 1, i / 10 }, i % 10 };

      owner_start (owner, &key, 1, 1, "/", "", 0, 1000, 0);
      owner_finish (owner, &key, GW__OUTCOME__KIND__ANSWERED, 0, 200, NULL, 0);
      owner_ack (owner, &key, 1);
    }
  start_us = clock_now_us () - start_us;
  owner_free (owner);
  return start_us * 1000.0 / DECISIONS;
}

void
bench_cost_decisions (CostReport report, gpointer ctx)
{
  report ("placement-ns-10-servers", placement_ns (10), -1, ctx);
  report ("placement-ns-100-servers", placement_ns (100), -1, ctx);
  report ("placement-ns-1500-servers", placement_ns (1500), -1, ctx);
  report ("queue-ns-1-team-100-jobs", queue_ns (1, 100), -1, ctx);
  report ("queue-ns-4-teams-10000-jobs", queue_ns (4, 10000), -1, ctx);
  report ("queue-ns-500-teams-10000-jobs", queue_ns (500, 10000), -1, ctx);
  report ("estimate-ns-4-teams", estimate_ns (4), -1, ctx);
  report ("estimate-ns-500-teams", estimate_ns (500), -1, ctx);
  report ("owner-ns", owner_ns (), -1, ctx);
}
