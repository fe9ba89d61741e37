/* Tasks that end the back ends which start them, and back ends that end or shrink by
 * themselves. */
#include "cases.h"
#include "clock.h"
#include "platform_scene.h"

#include <string.h>

/* The back ends that one task may end, by an entry that knows of it. */
#define CRASHES_MOST 3
#define JOBS_MOST 24
#define JOB_EVERY_MS 50
/* A back end that ended is served again this much later, with a margin. */
#define BACK_MS 800

/* By then each entry and agent knows what has shrunk. */
#define SHRUNK_MS 1500

static const PlatformInit fleet = { .entries = 3, .servers = 4, .configured = TRUE };

typedef struct
{
  PlatformScene *scene;
  Exchange *sound[JOBS_MOST];
  guint n_sound;
} Play;

static void
start_sound (Play *play, guint jobs)
{
  for (guint i = 0; i < jobs; i++)
    {
      play->sound[play->n_sound++]
          = platform_start_job (play->scene, i % play->scene->n_entries, "200", 2);
      harness_run_ms (play->scene->harness, JOB_EVERY_MS);
    }
}

static void
check_state (PlatformScene *scene, Exchange *exchange, const char *state)
{
  harness_wait_exchange (scene->harness, exchange);
  g_assert_cmpint (exchange->status, ==, 200);
  g_assert_nonnull (strstr (exchange->body, state));
  exchange_free (exchange);
}

static void
check_sound (Play *play)
{
  for (guint i = 0; i < play->n_sound; i++)
    check_state (play->scene, play->sound[i], "completed");
}

/* How often a back end has ended under the first task of a job. */
static guint
count_crashes (PlatformScene *scene, guint job)
{
  char *task = g_strdup_printf ("%016x.0.0.0 ", job);
  guint crashes = 0;

  for (guint i = 0; i < scene->n_servers; i++)
    {
      Exchange *exchange = harness_get (scene->harness, scene->servers[i]->http, "/runs");
      char **lines = g_strsplit (exchange->body, "\n", -1);

      for (char **line = lines; *line != NULL; line++)
        crashes += g_str_has_prefix (*line, "crashed ") && strstr (*line, task) != NULL;
      g_strfreev (lines);
      exchange_free (exchange);
    }
  g_free (task);
  return crashes;
}

static void
check_crashes (PlatformScene *scene, guint job, guint most)
{
  guint crashes = count_crashes (scene, job);

  g_test_message ("job %u ended %u back ends", job, crashes);
  g_assert_cmpuint (crashes, >=, 1);
  g_assert_cmpuint (crashes, <=, most);
}

/* Cases. */

static void
one_is_given_up (Play *play)
{
  PlatformScene *scene = play->scene;
  Exchange *crashing = platform_start_job (scene, 0, "crash:100", 8);
  guint job = scene->jobs;

  start_sound (play, 20);
  check_state (scene, crashing, "failed");
  check_sound (play);
  check_crashes (scene, job, CRASHES_MOST);
}

static void
several_are_given_up (Play *play)
{
  PlatformScene *scene = play->scene;
  Exchange *crashing[3];
  guint job = scene->jobs + 1;

  for (guint i = 0; i < G_N_ELEMENTS (crashing); i++)
    crashing[i] = platform_start_job (scene, i, "crash:100", 2);
  start_sound (play, 10);
  for (guint i = 0; i < G_N_ELEMENTS (crashing); i++)
    check_state (scene, crashing[i], "failed");
  check_sound (play);
  for (guint i = 0; i < G_N_ELEMENTS (crashing); i++)
    check_crashes (scene, job + i, CRASHES_MOST);
}

/* What the first entry knew is gone with it; the caller asks another one. */
static void
is_given_up_at_another_entry (Play *play)
{
  PlatformScene *scene = play->scene;
  Exchange *first = platform_start_job (scene, 0, "crash:100", 2);
  guint job = scene->jobs;
  char *body = platform_job ("crash:100", 2);
  Exchange *second;

  while (count_crashes (scene, job) == 0)
    harness_run_ms (scene->harness, JOB_EVERY_MS);
  process_kill (scene->harness, scene->entries[0]);
  harness_wait_exchange (scene->harness, first);
  exchange_free (first);
  harness_run_ms (scene->harness, PLATFORM_RESEND_MS);
  second = platform_call (scene, 1, job, body);
  check_state (scene, second, "failed");
  check_crashes (scene, job, 2 * CRASHES_MOST);
  g_free (body);
}

/* Back ends that end one after the other for reasons of their own: nobody is blamed. */
static void
innocent_are_kept (Play *play)
{
  PlatformScene *scene = play->scene;

  for (guint round = 0; round < 3; round++)
    {
      start_sound (play, 6);
      for (guint i = 0; i < scene->n_servers; i += 2)
        harness_fault (scene->harness, scene->servers[i], "restart");
      harness_run_ms (scene->harness, BACK_MS);
    }
  check_sound (play);
}

/* Half of the room goes while all of it is in use: the back ends themselves check that
 * nothing starts above what they tell. */
static void
shrunk_room_is_kept (Play *play)
{
  PlatformScene *scene = play->scene;

  start_sound (play, 8);
  for (guint i = 0; i < scene->n_servers; i += 2)
    harness_fault (scene->harness, scene->servers[i], "shrink");
  start_sound (play, 8);
  harness_run_ms (scene->harness, SHRUNK_MS);
  start_sound (play, 8);
  check_sound (play);
  for (guint i = 0; i < scene->n_servers; i += 2)
    harness_fault (scene->harness, scene->servers[i], "ok");
  harness_wait (scene->harness, platform_is_ready, scene, "all of the room again");
}

static gboolean
is_remembered (gpointer ctx)
{
  PlatformScene *scene = ctx;
  Exchange *exchange
      = harness_get (scene->harness, scene->store->http, "/rows-get?table=agents&part=");
  char **parts = g_strsplit (exchange->body, "\"value\":\"", -1);
  gboolean found = FALSE;

  for (char **part = parts + 1; *parts != NULL && *part != NULL; part++)
    {
      char *value = g_strndup (*part, strcspn (*part, "\""));
      gsize size = 0;
      char *text = (char *)g_base64_decode (value, &size);

      found |= g_strstr_len (text, (gssize)size, "\"cpu\":2000") != NULL;
      g_free (text);
      g_free (value);
    }
  g_strfreev (parts);
  exchange_free (exchange);
  return found;
}

/* An agent that is restarted goes by the report that is kept until its server's next. */
static void
shrunk_room_is_remembered (Play *play)
{
  PlatformScene *scene = play->scene;

  harness_fault (scene->harness, scene->servers[0], "shrink");
  harness_wait (scene->harness, is_remembered, scene, "the report that is kept");
}

typedef struct
{
  const char *name;
  void (*play) (Play *play);
} Case;

static const Case cases[] = {
  { "one-is-given-up", one_is_given_up },
  { "several-are-given-up", several_are_given_up },
  { "given-up-at-another-entry", is_given_up_at_another_entry },
  { "innocent-are-kept", innocent_are_kept },
  { "shrunk-room-is-kept", shrunk_room_is_kept },
  { "shrunk-room-is-remembered", shrunk_room_is_remembered },
};

static void
test_case (gconstpointer data)
{
  const Case *c = data;
  PlatformScene scene;
  Play play = { &scene };

  platform_scene_open (&scene, &fleet);
  c->play (&play);
  platform_check_runs (&scene, NULL, NULL);
  platform_scene_close (&scene);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD_CASES ("/crashes", cases, test_case);
  return g_test_run ();
}
