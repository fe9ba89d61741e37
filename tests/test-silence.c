/* The users' store is silent for a while: calls get no answer, and those that had begun
 * get none afterwards either. What holds once it answers again. */
#include "cases.h"
#include "clock.h"
#include "platform_scene.h"

/* The operator's aim for a version confirmed right after the return. */
#define APPLIED_MS 1000
/* The store falls silent, and returns, this much after it has taken a read that it never
 * answers: the worst moments for who waits for that answer. */
#define AFTER_READ_MS 50

static guint64
reads_of (PlatformScene *scene)
{
  return harness_counter (scene->harness, scene->store->http, "config_reads");
}

typedef struct
{
  PlatformScene *scene;
  guint64 reads;
} ReadWait;

static gboolean
was_read (gpointer ctx)
{
  ReadWait *wait = ctx;

  return reads_of (wait->scene) > wait->reads;
}

static void
wait_for_read (PlatformScene *scene)
{
  ReadWait wait = { scene, reads_of (scene) };

  harness_wait (scene->harness, was_read, &wait, "a read of the configuration");
  harness_run_ms (scene->harness, AFTER_READ_MS);
}

static gboolean
first_is_in_force (gpointer ctx)
{
  return platform_serves (ctx, "/first/");
}

static gboolean
second_is_in_force (gpointer ctx)
{
  return platform_serves (ctx, "/second/");
}

static void
check_in_time (gint64 since_ms, gint64 most_ms)
{
  gint64 took_ms = clock_now_ms () - since_ms;

  g_test_message ("after %" G_GINT64_FORMAT " ms", took_ms);
  g_assert_cmpint (took_ms, <=, most_ms);
}

typedef struct
{
  const char *name;
  guint silent_ms;
  gboolean until_read; /* and until a read has begun in it */
} Silence;

static const Silence silences[] = { { "0.1-s", 100, FALSE },
                                    { "1-s", 1000, TRUE },
                                    { "4-s", 4000, TRUE },
                                    { "8-s", 8000, TRUE } };

/* A read that hangs since before the store's return must not delay the next version. */
static void
test_configuration (gconstpointer data)
{
  static const PlatformInit init = { .entries = 1 };
  const Silence *silence = data;
  PlatformScene scene;
  gint64 confirmed_ms;

  platform_scene_open (&scene, &init);
  platform_put_config (&scene, "/first/");
  harness_wait (scene.harness, first_is_in_force, &scene, "the first version");
  wait_for_read (&scene);
  harness_fault (scene.harness, scene.store, "silent");
  harness_run_ms (scene.harness, silence->silent_ms);
  if (silence->until_read)
    wait_for_read (&scene);
  harness_fault (scene.harness, scene.store, "ok");
  platform_put_config (&scene, "/second/");
  confirmed_ms = clock_now_ms ();
  harness_wait (scene.harness, second_is_in_force, &scene, "the second version");
  check_in_time (confirmed_ms, APPLIED_MS);
  platform_scene_close (&scene);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  ADD_CASES ("/silence/configuration-is-read-after", silences, test_configuration);
  return g_test_run ();
}
