/* The home between a holder and a slot owner played by the test, for sequences of events
 * that are too rare to test with real processes. */
#include "clock.h"
#include "home_scene.h"
#include "owner.h"

static gboolean
is_fenced (Scene *scene)
{
  return scene->fences > 0;
}

static gboolean
one_started (Scene *scene)
{
  return scene->started->len == 1;
}

static gboolean
two_started (Scene *scene)
{
  return scene->started->len == 2;
}

static gboolean
three_started (Scene *scene)
{
  return scene->started->len >= 3;
}

static gboolean
four_started (Scene *scene)
{
  return scene->started->len >= 4;
}

static gboolean
one_reported (Scene *scene)
{
  return scene->outcomes->len == 1;
}

/* Tasks of an answered job must not run again on other backend servers. After a lost link
 * the holder repeats the grant, receives the last outcomes in the same event-loop
 * iteration and sends grant and final ack in one frame. The ack, handled first, frees the
 * job, and the grant then looks new. */
static void
test_granted_and_finished (void)
{
  Scene *scene = scene_new ();

  scene_grant (scene, 1);
  scene_wait (scene, one_started);
  scene_owner_reports (scene, 0, g_array_index (scene->started, guint32, 0),
                       GW__OUTCOME__KIND__ANSWERED, GW__OUTCOME__REASON__NONE);
  g_assert_cmpuint (scene->outcomes->len, ==, 1);
  scene_grant_and_finish (scene, 1);
  g_assert_cmpuint (scene_backend (scene)->placed, ==, 0);
  scene_assert_idle (scene);
  scene_free (scene);
}

/* A slot must not stay taken forever, nor the queue full. A start is lost with its link;
 * the holder, which also lost this home, reconciles and grants the task to another home,
 * which starts it at the same slot owner. The slot owner answers this home's fence with
 * the other attempt, and no outcome under this home's own attempt ever follows. */
static void
test_started_by_another (void)
{
  Scene *scene = scene_new ();

  scene_grant (scene, 1);
  scene_wait (scene, one_started);
  scene_disconnect_agent (scene);
  scene_connect_agent (scene);
  scene_wait (scene, is_fenced);
  scene_reply_started (scene, 0, ATTEMPT_MAKE (2, 1));
  scene_wait (scene, one_reported);
  g_assert_cmpint (scene_reported (scene, 0)->kind, ==, GW__OUTCOME__KIND__MAY_HAVE_RUN);
  scene_assert_idle (scene);
  scene_free (scene);
}

/* The outcome of a running task must not be dropped after a lost link. The slot owner,
 * linked again, reports the task as started under this home's attempt; the home must not
 * take that for its end. */
static void
test_started_by_us (void)
{
  Scene *scene = scene_new ();
  guint32 attempt;

  scene_grant (scene, 1);
  scene_wait (scene, one_started);
  attempt = g_array_index (scene->started, guint32, 0);
  scene_disconnect_agent (scene);
  scene_connect_agent (scene);
  scene_wait (scene, is_fenced);
  scene_reply_started (scene, 0, attempt);
  scene_owner_reports (scene, 0, attempt, GW__OUTCOME__KIND__ANSWERED,
                       GW__OUTCOME__REASON__NONE);
  scene_wait (scene, one_reported);
  g_assert_cmpint (scene_reported (scene, 0)->kind, ==, GW__OUTCOME__KIND__ANSWERED);
  scene_assert_idle (scene);
  scene_free (scene);
}

/* A job must not fail because a start was overtaken. The agent is linked twice at the
 * same moment: the fence over the new link arrives before a start over the old one, which
 * is refused, and the refusal is read before the fence's reply. */
static void
test_refusal_before_reply (void)
{
  Scene *scene = scene_new ();

  scene_grant (scene, 1);
  scene_wait (scene, one_started);
  scene_disconnect_agent (scene);
  scene_connect_agent (scene);
  scene_wait (scene, is_fenced);
  scene_owner_reports (scene, 0, g_array_index (scene->started, guint32, 0),
                       GW__OUTCOME__KIND__NOT_RUN, GW__OUTCOME__REASON__FENCED);
  g_assert_cmpuint (scene->outcomes->len, ==, 0);
  scene_reply_started (scene, 0, 0);
  scene_wait (scene, two_started);
  scene_owner_reports (scene, 0, g_array_index (scene->started, guint32, 1),
                       GW__OUTCOME__KIND__ANSWERED, GW__OUTCOME__REASON__NONE);
  scene_wait (scene, one_reported);
  g_assert_cmpint (scene_reported (scene, 0)->kind, ==, GW__OUTCOME__KIND__ANSWERED);
  scene_assert_idle (scene);
  scene_free (scene);
}

/* A task must not run twice when its start is refused while a fence is out: it is placed
 * again on the same agent, after the fence, and the reply says nothing of that start. */
static void
test_placed_again_before_reply (void)
{
  Scene *scene = scene_new ();
  Backend *backend = scene_backend (scene);

  scene_grant (scene, 2);
  scene_wait (scene, two_started);
  scene_disconnect_agent (scene);
  scene_connect_agent (scene);
  scene_wait (scene, is_fenced);
  scene_owner_reports (scene, 0, ATTEMPT_MAKE (1, 1), GW__OUTCOME__KIND__NOT_RUN,
                       GW__OUTCOME__REASON__BUSY);
  backend->backoff_until_ms = 0;
  home_slots_freed (scene->home, backend->group);
  scene_wait (scene, three_started);
  scene_reply_started (scene, 0, 0); /* neither the first start nor the second */
  scene_wait (scene, four_started);
  for (guint32 i = 0; i < 2; i++)
    scene_owner_reports (scene, i, ATTEMPT_MAKE (1, 3 + i), GW__OUTCOME__KIND__ANSWERED,
                         GW__OUTCOME__REASON__NONE);
  g_assert_cmpuint (scene->outcomes->len, ==, 2);
  scene_assert_idle (scene);
  scene_free (scene);
}

/* The holder stops responding and its job leaves the queue; the slot owner then refuses a
 * start. The refused task must be queued only once, with its job when the holder responds
 * again. Queued at once as well, it made the home abort on a wrong count or waited
 * forever. */
static void
test_refused_while_held (void)
{
  Scene *scene = scene_new ();
  Backend *backend = scene_backend (scene);
  guint32 first;

  backend->info->slots = 1;
  scene_grant (scene, 2);
  scene_wait (scene, one_started);
  first = g_array_index (scene->started, guint32, 0);
  scene->holder_unresponsive = TRUE;
  backend->info->slots = SLOTS;
  home_slots_freed (scene->home, backend->group);
  scene_owner_reports (scene, 0, first, GW__OUTCOME__KIND__NOT_RUN,
                       GW__OUTCOME__REASON__BUSY);
  backend->backoff_until_ms = 0;
  g_array_set_size (scene->started, 0);
  home_slots_freed (scene->home, backend->group);
  g_assert_cmpuint (backend->placed, ==, 0);
  scene->holder_unresponsive = FALSE;
  home_tick (scene->home, clock_now_ms ());
  g_assert_cmpuint (backend->placed, ==, 2);
  scene_wait (scene, two_started);
  for (guint32 i = 0; i < 2; i++)
    scene_owner_reports (scene, i, g_array_index (scene->started, guint32, i),
                         GW__OUTCOME__KIND__ANSWERED, GW__OUTCOME__REASON__NONE);
  g_assert_cmpuint (scene->outcomes->len, ==, 2);
  scene_assert_idle (scene);
  scene_free (scene);
}

/* The low half of an attempt number has 16 bits: it must not wrap when a busy slot owner
 * refuses a task more than 65,535 times. A reused number is refused for good or taken for
 * a repeated start. */
static void
test_attempts_used_up (void)
{
  Scene *scene = scene_new ();
  Backend *backend = scene_backend (scene);
  guint placements = 0;

  scene_grant (scene, 1);
  while (scene->outcomes->len == 0)
    {
      g_assert_cmpuint (backend->placed, ==, 1);
      g_assert_cmpuint (++placements, <=, G_MAXUINT16);
      scene_owner_reports (scene, 0, ATTEMPT_MAKE (1, placements),
                           GW__OUTCOME__KIND__NOT_RUN, GW__OUTCOME__REASON__BUSY);
      backend->backoff_until_ms = 0;
      home_slots_freed (scene->home, backend->group);
    }
  g_assert_cmpuint (placements, ==, G_MAXUINT16);
  g_assert_cmpint (scene_reported (scene, 0)->kind, ==, GW__OUTCOME__KIND__NOT_RUN);
  g_assert_cmpint (scene_reported (scene, 0)->reason, ==,
                   GW__OUTCOME__REASON__HANDED_BACK);
  scene_assert_idle (scene);
  scene_free (scene);
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
note_receiver (const OwnerTask *task, gpointer ctx)
{
  *(guint64 *)ctx = task->receiver;
}

/* A job must not fail at its deadline when all its tasks are answered. A second home
 * starts a task and is lost; the holder's fence directs the outcome to itself. The first
 * home resumes and sends a fence for its own earlier attempt, which must not redirect the
 * outcome again. */
static void
test_late_question (void)
{
  static const OwnerOps ops = { ignore_start, note_receiver };
  const OwnerLimits limits = { SLOTS, 1 << 20 };
  const TaskKey key = { { HOLDER, 1 }, 0 };
  const guint32 indexes[] = { 0 };
  const guint64 second_home = HOME + 1;
  guint64 receiver = 0;
  Owner *owner = owner_new (&limits, &ops, &receiver);

  owner_start (owner, &key, ATTEMPT_MAKE (2, 1), second_home, "/", "", 0, 1000, 0);
  g_ptr_array_unref (
      owner_fence (owner, &key.job, ATTEMPT_LAST (2), indexes, 1, HOLDER, 1));
  g_ptr_array_unref (
      owner_fence (owner, &key.job, ATTEMPT_LAST (1), indexes, 1, HOME, 2));
  owner_finish (owner, &key, GW__OUTCOME__KIND__ANSWERED, GW__OUTCOME__REASON__NONE, 200,
                NULL, 3);
  g_assert_cmpuint (receiver, ==, HOLDER);
  owner_free (owner);
}

typedef struct
{
  guint started;
  guint refused; /* as not run, reason MEMORY */
} Bounded;

static void
count_start (const OwnerTask *task,
             const char *path,
             const void *payload,
             gsize size,
             gpointer ctx)
{
  Bounded *bounded = ctx;

  bounded->started++;
}

static void
count_refusal (const OwnerTask *task, gpointer ctx)
{
  Bounded *bounded = ctx;

  bounded->refused += task->kind == GW__OUTCOME__KIND__NOT_RUN
                      && task->reason == GW__OUTCOME__REASON__MEMORY;
}

/* An agent must bound the memory of unacknowledged answers: without a bound it was killed
 * for lack of memory and its records were lost. Beyond the bound it must refuse starts
 * until the answers are acknowledged. */
static void
test_memory_bound (void)
{
  static const OwnerOps ops = { count_start, count_refusal };
  static const char answer[100];
  const OwnerLimits limits = { SLOTS, sizeof answer - 1 };
  const TaskKey first = { { HOLDER, 1 }, 0 };
  const TaskKey second = { { HOLDER, 1 }, 1 };
  Bounded bounded = { 0, 0 };
  Owner *owner = owner_new (&limits, &ops, &bounded);

  owner_start (owner, &first, ATTEMPT_MAKE (1, 1), HOME, "/", "", 0, 1000, 0);
  owner_finish (owner, &first, GW__OUTCOME__KIND__ANSWERED, GW__OUTCOME__REASON__NONE,
                200, g_bytes_new_static (answer, sizeof answer), 1);
  owner_start (owner, &second, ATTEMPT_MAKE (1, 2), HOME, "/", "", 0, 1000, 2);
  g_assert_cmpuint (bounded.started, ==, 1);
  g_assert_cmpuint (bounded.refused, ==, 1);
  owner_ack (owner, &first, ATTEMPT_MAKE (1, 1));
  owner_start (owner, &second, ATTEMPT_MAKE (1, 3), HOME, "/", "", 0, 1000, 3);
  g_assert_cmpuint (bounded.started, ==, 2);
  owner_free (owner);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/home/granted-and-finished", test_granted_and_finished);
  g_test_add_func ("/home/started-by-another", test_started_by_another);
  g_test_add_func ("/home/started-by-us", test_started_by_us);
  g_test_add_func ("/home/refusal-before-reply", test_refusal_before_reply);
  g_test_add_func ("/home/placed-again-before-reply", test_placed_again_before_reply);
  g_test_add_func ("/home/refused-while-held", test_refused_while_held);
  g_test_add_func ("/home/attempts-used-up", test_attempts_used_up);
  g_test_add_func ("/home/late-question", test_late_question);
  g_test_add_func ("/home/memory-bound", test_memory_bound);
  return g_test_run ();
}
