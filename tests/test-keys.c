/* A request with an idempotency key runs at most once, whatever happens to the entry or
 * the platform's table between two submissions. */
#include "clock.h"
#include "jobs.h"

#include <string.h>

#define KEYED "\"key\":\"claim-7\",\"team\":\"food-bank\","

/* Long enough for an exponential backoff of table calls to reach its maximum. */
#define HANG_MS 8000
/* The request during the hang is sent this long before the table recovers. */
#define CALL_TO_RECOVERY_MS 50
/* Maximum answer time of keyed requests once the table is back. */
#define ANSWERED_MAX_MS 2000
/* A keyed request whose claim cannot be written is refused after 3 s. */
#define REFUSED_MAX_MS 3500
/* An entry that was stopped this long ago has been declared dead. */
#define SILENCE_MS 4500

typedef struct
{
  Harness *harness;
  char *body;
} Scene;

static Scene
scene_new_with (guint entries, const char *entry_settings)
{
  HarnessInit init
      = { .entries = entries, .backends = 2, .entry_settings = entry_settings };
  Scene scene = { harness_new (&init), job_body (1, "200:crate", KEYED) };

  return scene;
}

static Scene
scene_new (guint entries)
{
  return scene_new_with (entries, NULL);
}

static void
scene_free (Scene *scene, guint starts)
{
  g_assert_cmpuint (harness_assert_once (scene->harness), ==, starts);
  g_assert_cmpuint (harness_starts_of (scene->harness, NULL), ==, starts);
  g_free (scene->body);
  harness_free (scene->harness);
}

static Exchange *
submit (Scene *scene, guint entry)
{
  return harness_call (scene->harness, harness_entry (scene->harness, entry)->http,
                       EVHTTP_REQ_POST, "/v1/jobs", scene->body);
}

/* A keyed job resubmitted to another entry while it runs must not run twice. */
static void
test_resubmitted_elsewhere (void)
{
  Scene scene = scene_new (2);
  Exchange *first = submit (&scene, 0);
  Exchange *second;

  jobs_wait_starts (scene.harness, 1);
  second = submit (&scene, 1);
  harness_wait_exchange (scene.harness, first);
  harness_wait_exchange (scene.harness, second);
  g_assert_cmpint (first->status, ==, 200);
  g_assert_cmpint (second->status, ==, 200);
  g_assert_cmpstr (first->body, ==, second->body);
  exchange_free (first);
  exchange_free (second);
  scene_free (&scene, 1);
}

/* A keyed job resubmitted after its entry was killed must not run a second time. The
 * first entry's state is lost; only the row in the table is left. */
static void
test_first_entry_killed (void)
{
  Scene scene = scene_new (2);
  Exchange *first = submit (&scene, 0);
  Exchange *second;

  jobs_wait_starts (scene.harness, 1);
  process_kill (scene.harness, harness_entry (scene.harness, 0));
  second = submit (&scene, 1);
  harness_wait_exchange (scene.harness, second);
  harness_wait_exchange (scene.harness, first);
  g_assert_cmpint (second->status, ==, 409);
  g_assert_nonnull (strstr (second->body, "may have run"));
  exchange_free (first);
  exchange_free (second);
  scene_free (&scene, 1);
}

/* A key's job must not be called gone while its entry only does not respond: the answer
 * is there when the entry is back. */
static void
test_first_entry_silent (void)
{
  Scene scene = scene_new (2);
  Process *holder = harness_entry (scene.harness, 0);
  Exchange *first = submit (&scene, 0);
  Exchange *meanwhile;
  Exchange *afterwards;

  harness_wait_exchange (scene.harness, first);
  process_signal (holder, SIGSTOP);
  harness_run_ms (scene.harness, SILENCE_MS);
  meanwhile = submit (&scene, 1);
  harness_wait_exchange (scene.harness, meanwhile);
  process_signal (holder, SIGCONT);
  afterwards = submit (&scene, 0);
  harness_wait_exchange (scene.harness, afterwards);
  g_assert_cmpint (meanwhile->status, ==, 503);
  g_assert_nonnull (strstr (meanwhile->body, "may have run"));
  g_assert_cmpint (afterwards->status, ==, 200);
  g_assert_cmpstr (afterwards->body, ==, first->body);
  exchange_free (first);
  exchange_free (meanwhile);
  exchange_free (afterwards);
  scene_free (&scene, 1);
}

/* If the claim's write was applied but its answer lost, the request must not be refused,
 * nor run twice when resubmitted: the result is unknown, not a failure, and the row shows
 * which job has the key. */
static void
test_answer_lost (void)
{
  Scene scene = scene_new (2);
  Exchange *first;
  Exchange *second;

  harness_fault (scene.harness, scene.harness->platform, "lose-next");
  first = submit (&scene, 0);
  harness_wait_exchange (scene.harness, first);
  g_assert_cmpint (first->status, ==, 200);
  second = submit (&scene, 1);
  harness_wait_exchange (scene.harness, second);
  g_assert_cmpstr (first->body, ==, second->body);
  exchange_free (first);
  exchange_free (second);
  scene_free (&scene, 1);
}

/* With the table down a keyed request must be refused as not run with a retry time,
 * neither blocked nor run without its claim, while requests without a key run. Once the
 * table is back, the same key must be free. */
static void
test_table_down (void)
{
  Scene scene = scene_new (1);
  char *unkeyed = job_body (1, "10:plain", NULL);
  Exchange *exchange;

  harness_fault (scene.harness, scene.harness->platform, "down");
  exchange = submit (&scene, 0);
  harness_wait_exchange (scene.harness, exchange);
  g_assert_cmpint (exchange->status, ==, 503);
  g_assert_cmpint (exchange->retry_after_s, >=, 1);
  g_assert_nonnull (strstr (exchange->body, "not run"));
  exchange_free (exchange);
  exchange = harness_post (scene.harness, harness_entry (scene.harness, 0)->http,
                           "/v1/jobs", unkeyed);
  g_assert_cmpint (exchange->status, ==, 200);
  exchange_free (exchange);
  harness_fault (scene.harness, scene.harness->platform, "ok");
  exchange = submit (&scene, 0);
  harness_wait_exchange (scene.harness, exchange);
  g_assert_cmpint (exchange->status, ==, 200);
  exchange_free (exchange);
  g_free (unkeyed);
  scene_free (&scene, 2);
}

/* The table applies a claim's write late, after the request was refused as not run. The
 * row must not block the key, nor may two submissions run: on resubmission to another
 * entry the job's holder confirms that it was abandoned, and the key is taken over. */
static void
test_late_claim_taken_over (void)
{
  Scene scene = scene_new_with (2, "table.timeout_ms = 300");
  Exchange *exchange;

  harness_fault (scene.harness, scene.harness->platform, "late");
  exchange = submit (&scene, 0);
  harness_fault (scene.harness, scene.harness->platform, "late");
  harness_run_ms (scene.harness, 300);
  harness_fault (scene.harness, scene.harness->platform, "hang");
  harness_wait_exchange (scene.harness, exchange);
  g_assert_cmpint (exchange->status, ==, 503);
  g_assert_nonnull (strstr (exchange->body, "not run"));
  exchange_free (exchange);
  harness_fault (scene.harness, scene.harness->platform, "ok");
  exchange = submit (&scene, 1);
  harness_wait_exchange (scene.harness, exchange);
  g_assert_cmpint (exchange->status, ==, 200);
  exchange_free (exchange);
  scene_free (&scene, 1);
}

/* Claims must be batched within table.writes_per_s: entries that write a claim or two as
 * often as the table answers use up the table's write capacity. */
static void
test_write_limit (void)
{
  HarnessInit init
      = { .entries = 1, .backends = 1, .entry_settings = "table.writes_per_s = 2" };
  Harness *harness = harness_new (&init);
  Process *entry = harness_entry (harness, 0);
  gint64 begun_ms = clock_now_ms ();
  Exchange *exchanges[40];

  for (guint i = 0; i < G_N_ELEMENTS (exchanges); i++)
    {
      char *body = g_strdup_printf ("{\"service\":\"exchange\",\"key\":\"k%u\","
                                    "\"tasks\":[{\"payload\":\"5:x\"}]}",
                                    i);

      exchanges[i]
          = harness_call (harness, entry->http, EVHTTP_REQ_POST, "/v1/jobs", body);
      g_free (body);
      harness_run_ms (harness, 10);
    }
  for (guint i = 0; i < G_N_ELEMENTS (exchanges); i++)
    {
      harness_wait_exchange (harness, exchanges[i]);
      g_assert_cmpint (exchanges[i]->status, ==, 200);
      exchange_free (exchanges[i]);
    }
  g_assert_cmpuint (harness_counter (harness, entry->http, "claims_written"), ==, 40);
  g_assert_cmpuint (harness_counter (harness, entry->http, "claim_batches"), <=,
                    2 + (guint64)(clock_now_ms () - begun_ms) / 500);
  g_assert_cmpuint (harness_assert_once (harness), ==, 40);
  harness_free (harness);
}

/* Of many concurrent submissions with one key only one may run. */
static void
test_race (void)
{
  Scene scene = scene_new (3);
  Exchange *exchanges[30];
  guint answered = 0;

  for (guint i = 0; i < G_N_ELEMENTS (exchanges); i++)
    exchanges[i] = submit (&scene, i % 3);
  for (guint i = 0; i < G_N_ELEMENTS (exchanges); i++)
    {
      harness_wait_exchange (scene.harness, exchanges[i]);
      answered += exchanges[i]->status == 200;
      g_assert_cmpstr (exchanges[i]->body, ==, exchanges[0]->body);
    }
  for (guint i = 0; i < G_N_ELEMENTS (exchanges); i++)
    exchange_free (exchanges[i]);
  g_assert_cmpuint (answered, ==, G_N_ELEMENTS (exchanges));
  scene_free (&scene, 1);
}

/* Claims that arrive while a write is pending share the next one. */
static void
test_batched (void)
{
  HarnessInit init = { .entries = 1, .backends = 4, .slots = 32 };
  Harness *harness = harness_new (&init);
  const char *entry = harness_entry (harness, 0)->http;
  Exchange *exchanges[100];

  for (guint i = 0; i < G_N_ELEMENTS (exchanges); i++)
    {
      char *more = g_strdup_printf ("\"key\":\"k-%u\",", i);
      char *body = job_body (1, "10:x", more);

      exchanges[i] = harness_call (harness, entry, EVHTTP_REQ_POST, "/v1/jobs", body);
      g_free (body);
      g_free (more);
    }
  for (guint i = 0; i < G_N_ELEMENTS (exchanges); i++)
    {
      harness_wait_exchange (harness, exchanges[i]);
      g_assert_cmpint (exchanges[i]->status, ==, 200);
      exchange_free (exchanges[i]);
    }
  g_assert_cmpuint (harness_counter (harness, entry, "claims_written"), ==, 100);
  g_assert_cmpuint (harness_counter (harness, entry, "claim_batches"), <=, 50);
  harness_free (harness);
}

/* A table call that hung before the table recovered must not delay keyed requests,
 * neither one sent just before the recovery nor one sent after it. */
static void
test_answered_after_hang (void)
{
  Scene scene = scene_new (1);
  Exchange *during;
  Exchange *after;
  char *other = job_body (1, "200:crate", "\"key\":\"claim-8\",\"team\":\"food-bank\",");
  gint64 recovered_ms;

  harness_fault (scene.harness, scene.harness->platform, "hang");
  harness_run_ms (scene.harness, HANG_MS);
  during = submit (&scene, 0);
  harness_run_ms (scene.harness, CALL_TO_RECOVERY_MS);
  harness_fault (scene.harness, scene.harness->platform, "ok");
  recovered_ms = clock_now_ms ();
  after = harness_call (scene.harness, harness_entry (scene.harness, 0)->http,
                        EVHTTP_REQ_POST, "/v1/jobs", other);
  harness_wait_exchange (scene.harness, during);
  g_test_message ("during: %d after %" G_GINT64_FORMAT " ms", during->status,
                  clock_now_ms () - recovered_ms);
  harness_wait_exchange (scene.harness, after);
  g_test_message ("after: %d after %" G_GINT64_FORMAT " ms", after->status,
                  clock_now_ms () - recovered_ms);
  g_assert_cmpint (during->status, ==, 200);
  g_assert_cmpint (after->status, ==, 200);
  g_assert_cmpint (clock_now_ms () - recovered_ms, <=, ANSWERED_MAX_MS);
  exchange_free (during);
  exchange_free (after);
  g_free (other);
  scene_free (&scene, 2);
}

/* While no call to the table is answered, a keyed request is refused in time. */
static void
test_refused_in_time (void)
{
  Scene scene = scene_new (1);
  gint64 submitted_ms;
  Exchange *exchange;

  harness_fault (scene.harness, scene.harness->platform, "hang");
  harness_run_ms (scene.harness, HANG_MS);
  submitted_ms = clock_now_ms ();
  exchange = submit (&scene, 0);
  harness_wait_exchange (scene.harness, exchange);
  g_test_message ("%d after %" G_GINT64_FORMAT " ms", exchange->status,
                  clock_now_ms () - submitted_ms);
  g_assert_cmpint (exchange->status, ==, 503);
  g_assert_nonnull (strstr (exchange->body, "not run"));
  g_assert_cmpint (clock_now_ms () - submitted_ms, <=, REFUSED_MAX_MS);
  exchange_free (exchange);
  scene_free (&scene, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/keys/resubmitted-elsewhere", test_resubmitted_elsewhere);
  g_test_add_func ("/keys/first-entry-killed", test_first_entry_killed);
  g_test_add_func ("/keys/first-entry-silent", test_first_entry_silent);
  g_test_add_func ("/keys/answer-lost", test_answer_lost);
  g_test_add_func ("/keys/store-down", test_table_down);
  g_test_add_func ("/keys/late-claim-taken-over", test_late_claim_taken_over);
  g_test_add_func ("/keys/taken-after-silence", test_answered_after_hang);
  g_test_add_func ("/keys/refused-in-time", test_refused_in_time);
  g_test_add_func ("/keys/race", test_race);
  g_test_add_func ("/keys/paced", test_write_limit);
  g_test_add_func ("/keys/grouped", test_batched);
  return g_test_run ();
}
