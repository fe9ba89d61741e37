/* The home alone, between a holder and a slot owner that the test plays: orders of events
 * that real processes meet too seldom to be tested by them. */
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
one_told (Scene *scene)
{
  return scene->outcomes->len == 1;
}

/* Symptom: tasks of a job that was answered start a second time, on other owners.
 * Sequence: the link to the holder breaks while outcomes are on their way; over the new
 *   one the holder grants the job again and hears the outcomes in the same turn, so that
 *   the job ends there; one frame brings the grant and the word that the job has ended.
 * Cause: the end taken first, which forgets the job; the grant then looks new. */
static void
test_granted_and_finished (void)
{
  Scene *scene = scene_new ();

  scene_grant (scene, 1);
  scene_wait (scene, one_started);
  scene_owner_says (scene, 0, g_array_index (scene->started, guint32, 0),
                    GW__OUTCOME__KIND__ANSWERED, GW__OUTCOME__REASON__NONE);
  g_assert_cmpuint (scene->outcomes->len, ==, 1);
  scene_grant_and_finish (scene, 1);
  g_assert_cmpuint (scene_backend (scene)->placed, ==, 0);
  scene_assert_nothing_left (scene);
  scene_free (scene);
}

/* Symptom: a slot is counted as taken for good; the queue never empties.
 * Sequence: a start is sent, the link breaks and the start is lost; the holder, which
 *   also lost this home, settles and grants the task to another, which starts it at the
 *   same owner; this home reaches the owner again and asks what became of its start.
 * Cause: the owner names the task as started, under the other home's attempt, and no
 *   outcome under our own attempt ever follows. */
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
  scene_wait (scene, one_told);
  g_assert_cmpint (scene_told (scene, 0)->kind, ==, GW__OUTCOME__KIND__MAY_HAVE_RUN);
  scene_assert_nothing_left (scene);
  scene_free (scene);
}

/* Symptom: the outcome of a task that runs on is thrown away after a broken link.
 * Sequence: a start, the link breaks while the task runs, the owner is reached again and
 *   names the task under our attempt; then it ends.
 * Cause: the answer "started" taken for an end. */
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
  scene_owner_says (scene, 0, attempt, GW__OUTCOME__KIND__ANSWERED,
                    GW__OUTCOME__REASON__NONE);
  scene_wait (scene, one_told);
  g_assert_cmpint (scene_told (scene, 0)->kind, ==, GW__OUTCOME__KIND__ANSWERED);
  scene_assert_nothing_left (scene);
  scene_free (scene);
}

/* Symptom: the home stops with a broken count, or a task waits for good.
 * Sequence: more tasks than slots; the holder falls silent, so the next pick takes the
 *   job out of the queue; the owner then refuses a start; the holder is heard again.
 * Cause: the refused task goes back to the queue while its job is out of it, and comes
 *   back a second time with the others. */
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
  scene->holder_silent = TRUE;
  backend->info->slots = SLOTS;
  home_slots_freed (scene->home, backend->group);
  scene_owner_says (scene, 0, first, GW__OUTCOME__KIND__NOT_RUN,
                    GW__OUTCOME__REASON__BUSY);
  backend->hold_ms = 0;
  g_array_set_size (scene->started, 0);
  home_slots_freed (scene->home, backend->group);
  g_assert_cmpuint (backend->placed, ==, 0);
  scene->holder_silent = FALSE;
  home_tick (scene->home, clock_now_ms ());
  g_assert_cmpuint (backend->placed, ==, 2);
  scene_wait (scene, two_started);
  for (guint32 i = 0; i < 2; i++)
    scene_owner_says (scene, i, g_array_index (scene->started, guint32, i),
                      GW__OUTCOME__KIND__ANSWERED, GW__OUTCOME__REASON__NONE);
  g_assert_cmpuint (scene->outcomes->len, ==, 2);
  scene_assert_nothing_left (scene);
  scene_free (scene);
}

/* Symptom: a task starts again under a number it had before, and is refused for good or
 *   taken for a repetition.
 * Sequence: an owner that stays busy refuses a task more than 65,535 times.
 * Cause: the attempt's low half holds 16 bits and would wrap. */
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
      scene_owner_says (scene, 0, ATTEMPT_MAKE (1, placements),
                        GW__OUTCOME__KIND__NOT_RUN, GW__OUTCOME__REASON__BUSY);
      backend->hold_ms = 0;
      home_slots_freed (scene->home, backend->group);
    }
  g_assert_cmpuint (placements, ==, G_MAXUINT16);
  g_assert_cmpint (scene_told (scene, 0)->kind, ==, GW__OUTCOME__KIND__NOT_RUN);
  g_assert_cmpint (scene_told (scene, 0)->reason, ==, GW__OUTCOME__REASON__HANDED_BACK);
  scene_assert_nothing_left (scene);
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

/* Symptom: a job fails at its deadline although all its tasks were answered.
 * Sequence: a home is lost, its holder grants a task to a second one, which starts it and
 *   is lost too; the holder claims the outcome; the first home wakes and asks the owner
 *   what became of its own start.
 * Cause: its question, though about an earlier attempt, takes the outcome over. */
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
  guint refused; /* for want of memory, as not run */
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

/* Symptom: an agent whose outcomes nobody fetches grows until its machine ends it, and
 * all that it remembers is lost. Sequence: large answers wait for their acknowledgement
 * beyond the bound; a start comes; the answers are acknowledged; the start comes again.
 * Cause: answers held without a bound. */
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
  g_test_add_func ("/home/refused-while-held", test_refused_while_held);
  g_test_add_func ("/home/attempts-used-up", test_attempts_used_up);
  g_test_add_func ("/home/late-question", test_late_question);
  g_test_add_func ("/home/memory-bound", test_memory_bound);
  return g_test_run ();
}
