/* Propagation of a configuration to all entries, the last one behind a slow link.
 *
 * Guards against two faults that reinforced each other, with 1,400 routes added three
 * times: over links of 25 Mbit/s a version took more than 3 s, callers got old routes or
 * no response, and large entries were killed for their memory use. Entries sent the whole
 * configuration in reply to each heartbeat with an older version, even with a copy in
 * flight: 272 MB from one entry in 15 s where 14 MB were needed, and 1 to 245 MB queued
 * in its memory ahead of later versions. And reads of the store timed out 0.8 s after
 * their start, whatever had arrived: in 55 s, 1 succeeded and 40 failed. */
#include "cases.h"
#include "clock.h"
#include "config_pull.h"
#include "platform_scene.h"

/* 300 kB, or 400 kB in the store's encoding. */
#define ROUTES 1600
/* Such a response of the store takes the slow line 0.4 s if nothing else uses it. */
#define LINE_BYTES_PER_S 1000000
/* 1.2 MB in the store's encoding take the slower line 1.7 s. */
#define MANY_ROUTES 4800
#define SLOWER_BYTES_PER_S 700000
/* Target: a confirmed version is in force everywhere after this time. */
#define APPLIED_MS 3000
/* By then the other entries have sent a frame with their new version. */
#define VERSION_SENT_MS 150
#define FROZEN 2 /* peers stopped */
/* Target if the store and the first peers chosen are unresponsive. */
#define FROZEN_PEERS_MS 2000
/* Delay of each response of the store stand-in with the fault "slow". */
#define SLOW_STORE_MS 1000
/* Entries without peers look each other up in the store after 0.7 s. */
#define LINKED_MS 2500
/* Target: one copy of a version for each entry, one more if a source stops responding.
 * Counted from the start of the case, since a starting entry may have fetched one. */
#define MAX_COPIES ((guint64)2)

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

static guint64
sum_counter (PlatformScene *scene, const char *counter)
{
  guint64 all = 0;

  for (guint i = 0; i < scene->n_entries; i++)
    all += harness_counter (scene->harness, scene->entries[i]->metrics, counter);
  return all;
}

/* Cases. */

static void
two_versions_in_a_row (PlatformScene *scene)
{
  guint64 copies = sum_counter (scene, "config_frames");
  gint64 confirmed_ms;

  platform_put_routes (scene, "/first/", ROUTES);
  harness_run_ms (scene->harness, 500);
  platform_put_routes (scene, "/second/", ROUTES);
  confirmed_ms = clock_now_ms ();
  harness_wait (scene->harness, second_is_in_force, scene, "the second version");
  g_test_message ("%" G_GUINT64_FORMAT " copies, %" G_GUINT64_FORMAT " of them stale",
                  sum_counter (scene, "config_frames"),
                  sum_counter (scene, "config_stale"));
  harness_assert_within (confirmed_ms, APPLIED_MS);
  g_assert_cmpuint (sum_counter (scene, "config_frames") - copies, <=,
                    2 * MAX_COPIES * scene->n_entries);
}

static void
one_large_version (PlatformScene *scene)
{
  gint64 confirmed_ms;

  platform_put_routes (scene, "/first/", MANY_ROUTES);
  confirmed_ms = clock_now_ms ();
  harness_wait (scene->harness, first_is_in_force, scene, "the version");
  harness_assert_within (confirmed_ms, APPLIED_MS);
}

/* A restarted entry reads the configuration from a store that delays each response by a
 * second. */
static void
slow_store (PlatformScene *scene)
{
  gint64 started_ms;

  platform_put_config (scene, "/first/");
  harness_wait (scene->harness, first_is_in_force, scene, "the version");
  harness_fault (scene->harness, scene->store, "slow");
  process_kill (scene->harness, scene->entries[0]);
  platform_restart_entry (scene, 0);
  started_ms = clock_now_ms ();
  harness_wait (scene->harness, first_is_in_force, scene, "the version once more");
  harness_assert_within (started_ms, APPLIED_MS + SLOW_STORE_MS);
}

/* Requests to a restarted entry must wait while the configuration is arriving, which
 * takes the line 1.7 s. They were refused after 0.5 s. */
static void
restart_with_a_large_version (PlatformScene *scene)
{
  platform_put_routes (scene, "/first/", MANY_ROUTES);
  harness_wait (scene->harness, first_is_in_force, scene, "the version");
  process_kill (scene->harness, scene->entries[0]);
  platform_restart_entry (scene, 0);
  g_assert_true (first_is_in_force (scene));
}

/* The last entry gets no response from the store; the other entries do. */
static void
store_out_of_reach (PlatformScene *scene)
{
  guint64 copies = sum_counter (scene, "config_frames");
  gint64 confirmed_ms;

  relay_set_mode (scene->store_relay, RELAY_VANISH, TRUE);
  platform_put_routes (scene, "/first/", ROUTES);
  harness_run_ms (scene->harness, 500);
  platform_put_routes (scene, "/second/", ROUTES);
  confirmed_ms = clock_now_ms ();
  harness_wait (scene->harness, second_is_in_force, scene, "the second version");
  harness_assert_within (confirmed_ms, APPLIED_MS);
  g_assert_cmpuint (sum_counter (scene, "config_frames") - copies, <=, 2 * MAX_COPIES);
}

/* Stops the peers that the last entry asks first. */
static void
freeze_first_choices (PlatformScene *scene)
{
  ConfigPullPeer peers[PLATFORM_MAX];
  guint n = scene->n_entries - 1;

  for (guint i = 0; i < n; i++)
    peers[i] = (ConfigPullPeer){ scene->entries[i]->name, 1, 0 };
  for (guint i = 0; i < FROZEN; i++)
    {
      int asked = config_pull_choose (peers, n, scene->entries[n]->name, 0);

      peers[asked].asked_ms = 1;
      process_signal (scene->entries[asked], SIGSTOP);
    }
}

static void
resume_all (PlatformScene *scene)
{
  for (guint i = 0; i < scene->n_entries; i++)
    process_signal (scene->entries[i], SIGCONT);
}

/* An entry without a response from the store asks peers that have just been stopped. */
static void
asked_peers_freeze (PlatformScene *scene)
{
  guint64 copies = sum_counter (scene, "config_frames");
  gint64 confirmed_ms;

  platform_put_config (scene, "/first/");
  harness_wait (scene->harness, first_is_in_force, scene, "the first version");
  relay_set_mode (scene->store_relay, RELAY_VANISH, TRUE);
  platform_put_config (scene, "/second/");
  confirmed_ms = clock_now_ms ();
  harness_run_ms (scene->harness, VERSION_SENT_MS);
  freeze_first_choices (scene);
  harness_wait (scene->harness, second_is_in_force, scene, "the second version");
  harness_assert_within (confirmed_ms, FROZEN_PEERS_MS);
  resume_all (scene);
  g_assert_cmpuint (sum_counter (scene, "config_frames") - copies, <=,
                    FROZEN + MAX_COPIES);
}

typedef struct
{
  const char *name;
  PlatformInit init;
  void (*play) (PlatformScene *scene);
} Case;

static const Case cases[] = {
  { "two-versions-in-a-row",
    { .entries = 5, .relayed = TRUE, .line_bytes_per_s = LINE_BYTES_PER_S },
    two_versions_in_a_row },
  { "store-out-of-reach",
    { .entries = 5, .relayed = TRUE, .line_bytes_per_s = LINE_BYTES_PER_S },
    store_out_of_reach },
  { "asked-peers-freeze",
    { .entries = 5, .relayed = TRUE, .line_bytes_per_s = LINE_BYTES_PER_S },
    asked_peers_freeze },
  { "one-large-version",
    { .entries = 1, .line_bytes_per_s = SLOWER_BYTES_PER_S },
    one_large_version },
  { "restart-with-a-large-version",
    { .entries = 1, .line_bytes_per_s = SLOWER_BYTES_PER_S },
    restart_with_a_large_version },
  { "slow-store", { .entries = 1 }, slow_store },
};

static void
test_case (gconstpointer data)
{
  const Case *c = data;
  PlatformScene scene;

  platform_scene_open (&scene, &c->init);
  platform_put_config (&scene, PLATFORM_PREFIX);
  harness_run_ms (scene.harness, LINKED_MS);
  c->play (&scene);
  platform_scene_close (&scene);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD_CASES ("/spread", cases, test_case);
  return g_test_run ();
}
