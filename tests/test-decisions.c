/* Decisions without I/O: placement, queue order, shares, health, retry budget, run times,
 * rendezvous hashing. */
#include "budget.h"
#include "cases.h"
#include "health.h"
#include "placement.h"
#include "queue.h"
#include "rendezvous.h"
#include "runtimes.h"

typedef struct
{
  const char *name;
  PlacementCandidate candidates[4];
  gsize n;
  double task_ms;
  guint waiting;
  int chosen;
} PlacementCase;

static const PlacementCase placement_cases[] = {
  { "most-free", { { 2, 8, 1, FALSE, TRUE }, { 5, 8, 1, FALSE, TRUE } }, 2, 100, 0, 1 },
  { "same-zone", { { 5, 8, 1, FALSE, TRUE }, { 5, 8, 1, TRUE, TRUE } }, 2, 100, 0, 1 },
  { "none-free", { { 0, 8, 1, FALSE, TRUE } }, 1, 100, 0, PLACEMENT_NONE },
  { "unsuitable", { { 8, 8, 1, FALSE, FALSE } }, 1, 100, 0, PLACEMENT_NONE },
  { "straggler-last",
    { { 8, 8, 4, FALSE, TRUE }, { 1, 8, 1, FALSE, TRUE } },
    2,
    100,
    0,
    1 },
  { "straggler-waits",
    { { 8, 8, 4, FALSE, TRUE }, { 0, 8, 1, FALSE, TRUE } },
    2,
    100,
    0,
    PLACEMENT_NONE },
  /* With a long queue the wait for a normal server is longer than a slow run. */
  { "straggler-helps",
    { { 8, 8, 4, FALSE, TRUE }, { 0, 8, 1, FALSE, TRUE } },
    2,
    100,
    40,
    0 },
  /* A job waited forever although every slot was free: tasks of 0 ms, measured as 0 or
   * 1 ms, made all servers look slow against the expectation. Peers must be compared. */
  { "all-slow-alike",
    { { 8, 8, 1.7, FALSE, TRUE }, { 8, 8, 1.8, FALSE, TRUE } },
    2,
    1,
    0,
    0 },
  { "only-one-and-slow",
    { { 8, 8, 9, FALSE, TRUE }, { 0, 0, 1, FALSE, TRUE } },
    2,
    100,
    0,
    0 },
};

static void
test_placement (gconstpointer data)
{
  const PlacementCase *c = data;

  g_assert_cmpint (placement_choose (c->candidates, c->n, c->task_ms, c->waiting), ==,
                   c->chosen);
}

static TeamShare
shares (const char *team, gpointer ctx)
{
  TeamShare share = { 1, 0 };

  if (g_strcmp0 (team, "heavy") == 0)
    share.weight = 3;
  if (g_strcmp0 (team, "capped") == 0)
    share.max_running = 2;
  return share;
}

static const QueueOps queue_ops = { shares };

static QueueJob *
add_job (Queue *queue, guint64 number, const char *team, guint tasks, gint64 arrived_ms)
{
  QueueJobInit init = { .key = { 1, number },
                        .grant = 1,
                        .team = team,
                        .task_ms = 100,
                        .job_tasks = tasks,
                        .arrived_ms = arrived_ms,
                        .deadline_ms = arrived_ms + 30000 };
  QueueJob *job = queue_add (queue, &init);

  queue_push (queue, job, tasks);
  return job;
}

static void
test_fewest_remaining_first (void)
{
  Queue *queue = queue_new (&queue_ops, NULL, 0.1);
  QueueJob *wide = add_job (queue, 1, "a", 50, 0);
  QueueJob *narrow = add_job (queue, 2, "a", 2, 10);

  g_assert_true (queue_pick (queue, 8) == narrow);
  g_assert_true (queue_pick (queue, 8) == narrow);
  g_assert_true (queue_pick (queue, 8) == wide);
  queue_free (queue);
}

/* Without aging a large job never ends while small ones keep arriving. */
static void
test_aging (void)
{
  Queue *queue = queue_new (&queue_ops, NULL, 0.1);
  QueueJob *wide = add_job (queue, 1, "a", 50, 0);

  /* 50 tasks of 100 ms are 5000 ms of work; a tenth of 60 s of waiting outweighs it. */
  add_job (queue, 2, "a", 1, 60000);
  g_assert_true (queue_pick (queue, 8) == wide);
  queue_free (queue);
}

typedef struct
{
  const char *name;
  const char *teams[2];
  guint slots;
  guint expected[2];
} ShareCase;

static const ShareCase share_cases[] = {
  { "equal", { "a", "b" }, 8, { 4, 4 } },
  { "weighted", { "heavy", "b" }, 8, { 6, 2 } },
  { "capped", { "capped", "b" }, 8, { 2, 6 } },
};

/* Without shares one team's many jobs take every slot. */
static void
test_shares (gconstpointer data)
{
  const ShareCase *c = data;
  Queue *queue = queue_new (&queue_ops, NULL, 0.1);

  /* The first team has far less remaining work: without shares it gets all slots. */
  for (guint i = 0; i < 30; i++)
    add_job (queue, i, c->teams[0], 1, 0);
  add_job (queue, 100, c->teams[1], 90, 0);
  for (guint i = 0; i < c->slots; i++)
    g_assert_nonnull (queue_pick (queue, c->slots));
  for (guint i = 0; i < 2; i++)
    g_assert_cmpuint (queue_team_running (queue, c->teams[i]), ==, c->expected[i]);
  queue_free (queue);
}

static void
test_alone_no_share (void)
{
  Queue *queue = queue_new (&queue_ops, NULL, 0.1);

  add_job (queue, 1, "a", 8, 0);
  for (guint i = 0; i < 8; i++)
    g_assert_nonnull (queue_pick (queue, 8));
  g_assert_null (queue_pick (queue, 8));
  queue_free (queue);
}

static void
test_expected_finish (void)
{
  Queue *queue = queue_new (&queue_ops, NULL, 0.1);

  for (guint i = 0; i < 10; i++)
    add_job (queue, i, "a", 40, 0);
  /* 40 s of work wait for 8 slots; a small job goes before all of it. */
  g_assert_cmpfloat (queue_expected_finish (queue, "a", 100, 100, 8, 0), ==, 100);
  /* For a large job: smaller work arrives at a rate of 4 slots, which leaves it half. */
  g_assert_cmpfloat_with_epsilon (queue_expected_finish (queue, "a", 1e6, 100, 8, 0),
                                  (40000 + 1e6) / 8 / 0.5, 1);
  /* The last jobs of a burst were refused although they would meet their deadline: work
   * of the same class was counted both as waiting and as arriving. */
  g_assert_cmpfloat_with_epsilon (queue_expected_finish (queue, "a", 4000, 100, 8, 0),
                                  (20000 + 4000) / 8.0, 1);
  /* Long after the last arrival it gets all slots. */
  g_assert_cmpfloat_with_epsilon (
      queue_expected_finish (queue, "a", 1e6, 100, 8, 1000000), (40000 + 1e6) / 8, 1);
  queue_free (queue);
}

typedef struct
{
  const char *name;
  double peers_failure_rate;
  guint backends;
  guint ejected;
  gboolean eject;
} HealthCase;

static const HealthCase health_cases[] = {
  { "fails-alone", 0.0, 10, 0, TRUE },
  { "all-fail-alike", 0.9, 10, 0, FALSE },
  { "too-many-ejected", 0.0, 10, 3, FALSE },
  { "the-only-one", 0.0, 1, 0, FALSE },
};

static void
test_health (gconstpointer data)
{
  const HealthCase *c = data;
  HealthPeers peers = { c->peers_failure_rate, c->backends, c->ejected };
  Health health = { 0 };
  gboolean ejected = FALSE;

  for (guint i = 0; i < 20 && !ejected; i++)
    ejected = health_observe (&health, TRUE, &peers, 1000);
  g_assert_cmpint (ejected, ==, c->eject);
  g_assert_cmpuint (health_capacity (&health, 8, 1001), ==, c->eject ? 0 : 8);
}

/* Under overload a team with four times the weight got 0.67 of its quota, and the one
 * with the least got 1.9 times its own: jobs were refused for what other teams had
 * queued, although by the shares they would have finished in time. */
static void
test_expected_finish_of_teams (void)
{
  Queue *queue = queue_new (&queue_ops, NULL, 0.1);

  for (guint i = 0; i < 10; i++)
    add_job (queue, i, "a", 40, 0);
  /* "a" can use all 8 slots: an equal team gets 4 of them, one of weight 3 gets 6. */
  g_assert_cmpfloat_with_epsilon (queue_expected_finish (queue, "b", 6000, 100, 8, 0),
                                  1500, 1);
  g_assert_cmpfloat_with_epsilon (queue_expected_finish (queue, "heavy", 6000, 100, 8, 0),
                                  1000, 1);
  /* A cap applies even if slots are free. */
  g_assert_cmpfloat_with_epsilon (
      queue_expected_finish (queue, "capped", 6000, 100, 8, 0), 3000, 1);
  /* "b" needs one slot, less than its share; the rest goes to "a". */
  add_job (queue, 10, "b", 50, 0);
  g_assert_cmpfloat_with_epsilon (queue_expected_finish (queue, "a", 1e6, 100, 8, 0),
                                  (40000 + 1e6) / 7 / (1 - 4 / 7.0), 1);
  queue_free (queue);
}

static void
test_slow_return (void)
{
  HealthPeers peers = { 0, 10, 0 };
  Health health = { 0 };

  while (!health_observe (&health, TRUE, &peers, 0))
    ;
  g_assert_cmpuint (health_capacity (&health, 8, 1999), ==, 0);
  g_assert_cmpuint (health_capacity (&health, 8, 2000), ==, 1);
  g_assert_true (health_observe (&health, TRUE, &peers, 2000));
  g_assert_cmpuint (health_capacity (&health, 8, 5999), ==, 0);
  g_assert_cmpuint (health_capacity (&health, 8, 6000), ==, 1);
  for (guint i = 0; i < 3; i++)
    health_observe (&health, FALSE, &peers, 6000);
  g_assert_cmpuint (health_capacity (&health, 8, 6001), ==, 8);
}

static void
test_budget (void)
{
  RetryBudget budget = { 0 };
  guint allowed = 0;

  g_assert_false (budget_withdraw (&budget));
  for (guint i = 0; i < 1000; i++)
    {
      budget_deposit (&budget);
      allowed += budget_withdraw (&budget);
    }
  g_assert_cmpuint (allowed, >=, 98);
  g_assert_cmpuint (allowed, <=, 100);
}

/* Declared run times wrong by a factor of 10 or more are corrected by observed ones. */
static void
test_runtimes (void)
{
  Runtimes runtimes = { 0 };

  g_assert_cmpfloat (runtimes_estimate (&runtimes, 1000), ==, 1000);
  for (guint i = 0; i < 50; i++)
    {
      runtimes_observe (&runtimes, 1000, 100);
      runtimes_observe (&runtimes, 10, 800);
    }
  g_assert_cmpfloat_with_epsilon (runtimes_estimate (&runtimes, 1000), 100, 1);
  g_assert_cmpfloat_with_epsilon (runtimes_estimate (&runtimes, 10), 800, 1);
  g_assert_cmpfloat (runtimes_estimate (&runtimes, 0), <, 800);
}

/* The loss of one entry must move only its own groups. */
static void
test_rendezvous (void)
{
  const char *entries[] = { "a", "b", "c", "d" };
  guint moved = 0;
  guint lost = 0;

  for (guint g = 0; g < 1000; g++)
    {
      char *group = g_strdup_printf ("service/%u", g);
      gsize home = 0;
      gsize without_d = 0;

      for (gsize i = 1; i < 4; i++)
        {
          if (rendezvous_score (group, entries[i])
              > rendezvous_score (group, entries[home]))
            home = i;
          if (i < 3
              && rendezvous_score (group, entries[i])
                     > rendezvous_score (group, entries[without_d]))
            without_d = i;
        }
      lost += home == 3;
      moved += home != 3 && home != without_d;
      g_free (group);
    }
  g_assert_cmpuint (moved, ==, 0);
  g_assert_cmpuint (lost, >, 180);
  g_assert_cmpuint (lost, <, 320);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD_CASES ("/decisions/placement", placement_cases, test_placement);
  ADD_CASES ("/decisions/shares", share_cases, test_shares);
  ADD_CASES ("/decisions/health", health_cases, test_health);
  g_test_add_func ("/decisions/fewest-remaining-first", test_fewest_remaining_first);
  g_test_add_func ("/decisions/aging", test_aging);
  g_test_add_func ("/decisions/alone-no-share", test_alone_no_share);
  g_test_add_func ("/decisions/expected-finish", test_expected_finish);
  g_test_add_func ("/decisions/expected-finish-of-teams", test_expected_finish_of_teams);
  g_test_add_func ("/decisions/slow-return", test_slow_return);
  g_test_add_func ("/decisions/budget", test_budget);
  g_test_add_func ("/decisions/runtimes", test_runtimes);
  g_test_add_func ("/decisions/rendezvous", test_rendezvous);
  return g_test_run ();
}
