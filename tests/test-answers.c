/* Each caller gets the complete answer to its own request; refusals are immediate and say
 * correctly what ran. */
#include "cases.h"
#include "jobs.h"
#include "relay.h"

#include <string.h>

#define CALLERS 300
#define BIG_TASKS 12
#define BIG_BYTES G_GUINT64_CONSTANT (2000000)

/* Answers must not be swapped or truncated among many concurrent callers: each job has a
 * payload of its own, and mixed run times put the outcomes out of order. */
static void
test_many_callers (void)
{
  HarnessInit init = { .entries = 3, .backends = 6, .slots = 16 };
  Harness *harness = harness_new (&init);
  Jobs *jobs = jobs_new (harness);

  for (guint i = 0; i < CALLERS; i++)
    jobs_submit (jobs, harness_entry (harness, i % 3), 1, 1 + i % 4, 10 + (i * 37) % 90,
                 NULL);
  jobs_wait (jobs);
  g_assert_cmpuint (jobs_check (jobs).complete, ==, CALLERS);
  jobs_free (jobs);
  harness_free (harness);
}

/* An answer larger than one frame must not be truncated or fail: each of 12 tasks answers
 * with 2 MB, while a frame is sent once it has 1 MB. */
static void
test_big_answers (void)
{
  HarnessInit init = { .entries = 2, .backends = 2 };
  Harness *harness = harness_new (&init);
  char *body = job_body (BIG_TASKS, "big:2000000", NULL);

  for (guint i = 0; i < 2; i++)
    {
      Exchange *exchange
          = harness_post (harness, harness_entry (harness, i)->http, "/v1/jobs", body);

      g_assert_cmpint (exchange->status, ==, 200);
      g_assert_cmpint (exchange_answers (exchange), ==, BIG_TASKS);
      g_assert_cmpuint (exchange->size, >, BIG_TASKS * BIG_BYTES);
      exchange_free (exchange);
    }
  g_free (body);
  harness_free (harness);
}

/* A job with one failed task must not be answered with the results of the others. */
static void
test_one_of_many_fails (void)
{
  HarnessInit init = { .entries = 2, .backends = 2 };
  Harness *harness = harness_new (&init);
  GString *body = g_string_new ("{\"service\":\"exchange\",\"tasks\":[");

  for (guint i = 0; i < 130; i++)
    g_string_append_printf (body, "%s{\"payload\":\"%s\"}", i > 0 ? "," : "",
                            i == 77 ? "fail:500" : "10:ok");
  g_string_append (body, "]}");
  for (guint i = 0; i < 2; i++)
    {
      Exchange *exchange = harness_post (harness, harness_entry (harness, i)->http,
                                         "/v1/jobs", body->str);

      g_assert_cmpint (exchange->status, ==, 502);
      g_assert_cmpint (exchange_answers (exchange), ==, -1);
      g_assert_nonnull (strstr (exchange->body, "\"task\":77"));
      g_assert_nonnull (strstr (exchange->body, "\"ran\":\"may have run\""));
      exchange_free (exchange);
    }
  harness_assert_once (harness);
  g_string_free (body, TRUE);
  harness_free (harness);
}

/* Under overload an infeasible job must be refused at once, not at its deadline. An
 * admission check that counts jobs and ignores the expected wait accepts it. One server
 * with a backlog of seconds gets jobs with a far shorter deadline. */
static void
test_overload_refused_at_once (void)
{
  HarnessInit init = { .entries = 1, .backends = 1, .slots = 2 };
  Harness *harness = harness_new (&init);
  const Process *entry = harness_entry (harness, 0);
  Jobs *jobs = jobs_new (harness);
  Jobs *late = jobs_new (harness);
  guint refused = 0;

  jobs_submit (jobs, entry, 20, 4, 100, "\"run_ms\":100,");
  jobs_wait_starts (harness, 8);
  jobs_submit (late, entry, 20, 4, 100, "\"run_ms\":100,\"deadline_ms\":300,");
  jobs_wait (late);
  g_assert_cmpuint (jobs_check (late).not_run, >=, 15);
  for (guint i = 0; i < late->list->len; i++)
    {
      const SentJob *job = g_ptr_array_index (late->list, i);

      if (job->exchange->status != 503)
        continue;
      refused++;
      g_assert_cmpint (job->exchange->retry_after_s, >=, 1);
      /* Admission control answers 503; a job that waited until its deadline, 504. */
      g_assert_nonnull (strstr (job->exchange->body, "expected wait"));
    }
  g_assert_cmpuint (refused, >=, 15);
  jobs_wait (jobs);
  g_assert_cmpuint (jobs_check (jobs).complete, ==, 20);
  jobs_free (jobs);
  jobs_free (late);
  harness_free (harness);
}

/* A task too large for every worker must be refused as such, not wait for ever or be
 * answered as a bad request. */
static void
test_impossible_size (void)
{
  HarnessInit init = { .entries = 1, .backends = 1 };
  Harness *harness = harness_new (&init);
  const char *entry = harness_entry (harness, 0)->http;
  Exchange *exchange
      = harness_post (harness, entry, "/v1/config",
                      "{\"key\":\"service.exchange.max_memory_mb\",\"value\":64000}");
  char *body = job_body (1, "10:x", "\"memory_mb\":65000,");

  g_assert_cmpint (exchange->status, ==, 200);
  exchange_free (exchange);
  exchange = harness_post (harness, entry, "/v1/jobs", body);
  g_assert_cmpint (exchange->status, ==, 422);
  g_assert_nonnull (strstr (exchange->body, "no worker can hold"));
  exchange_free (exchange);
  g_free (body);
  harness_free (harness);
}

/* A task must not hang when the backend server takes it and closes the connection without
 * an answer. */
static void
test_dropped_connection (void)
{
  HarnessInit init = { .entries = 1, .backends = 1 };
  Harness *harness = harness_new (&init);
  const char *entry = harness_entry (harness, 0)->http;
  char *body = job_body (1, "10:x", NULL);
  Exchange *exchange;

  harness_fault (harness, harness_backend (harness, 0), "drop");
  exchange = harness_post (harness, entry, "/v1/jobs", body);
  g_assert_cmpint (exchange->status, ==, 502);
  g_assert_nonnull (strstr (exchange->body, "may have run"));
  exchange_free (exchange);
  harness_assert_once (harness);
  g_free (body);
  harness_free (harness);
}

/* A backend server that never answers must not block its caller until the deadline. */
static void
test_call_too_long (void)
{
  HarnessInit init = { .entries = 1, .backends = 1, .agentless = 1 };
  Harness *harness = harness_new (&init);
  const char *entry = harness_entry (harness, 0)->http;
  char *body = job_body (1, "10:x", NULL);

  exchange_free (
      harness_post (harness, entry, "/v1/config",
                    "{\"key\":\"service.exchange.task_timeout_ms\",\"value\":300}"));
  for (guint i = 0; i < 2; i++)
    harness_fault (harness, harness_backend (harness, i), "hang");
  for (guint i = 0; i < 4; i++)
    {
      Exchange *exchange = harness_post (harness, entry, "/v1/jobs", body);

      g_assert_cmpint (exchange->status, ==, 502);
      g_assert_nonnull (strstr (exchange->body, "took too long"));
      exchange_free (exchange);
    }
  harness_assert_once (harness);
  g_free (body);
  harness_free (harness);
}

/* With one backend server dead, tasks never sent to it must not be answered "may have
 * run", nor be lost while another server can run them. */
static void
test_dead_backend_server (void)
{
  HarnessInit init = { .entries = 1, .backends = 2 };
  Harness *harness = harness_new (&init);
  Jobs *jobs = jobs_new (harness);

  process_kill (harness, harness_backend (harness, 0));
  jobs_submit (jobs, harness_entry (harness, 0), 10, 4, 20, NULL);
  jobs_wait (jobs);
  g_assert_cmpuint (jobs_check (jobs).complete, ==, 10);
  jobs_free (jobs);
  harness_free (harness);
}

/* Invalid frames and incomplete requests must not crash the entry, exhaust its memory or
 * break its other links: garbage, a frame of 4 GB and a frame before the Hello go to the
 * frame port, half a request to the HTTP port, then ordinary jobs. */
static void
test_hostile_bytes (void)
{
  static const struct
  {
    const char *bytes;
    gsize size;
  } attacks[] = {
    { "GET / HTTP/1.0\r\n\r\n", 18 },
    { "\xff\xff\xff\xff", 4 },
    { "\0\0\0\x02\x08\x01", 6 },
    { "\0\0\0\x05zzzzz", 9 },
  };
  HarnessInit init = { .entries = 2, .backends = 2 };
  Harness *harness = harness_new (&init);
  Jobs *jobs = jobs_new (harness);
  const Process *entry = harness_entry (harness, 0);

  for (gsize i = 0; i < G_N_ELEMENTS (attacks); i++)
    {
      harness_send_raw (harness, entry->frames, attacks[i].bytes, attacks[i].size);
      harness_send_raw (harness, harness_agent (harness, 0)->frames, attacks[i].bytes,
                        attacks[i].size);
    }
  harness_send_raw (harness, entry->http, "POST /v1/jobs HTTP/1.1\r\nContent-Le", 34);
  jobs_submit (jobs, entry, 10, 4, 20, NULL);
  jobs_wait (jobs);
  g_assert_cmpuint (jobs_check (jobs).complete, ==, 10);
  g_assert_cmpuint (harness_counter (harness, entry->http, "links_broken"), >=, 2);
  g_assert_cmpuint (harness_counter (harness, entry->http, "links_silent"), ==, 0);
  jobs_free (jobs);
  harness_free (harness);
}

typedef struct
{
  const char *name;
  const char *idempotent;
  int status;
  guint starts;
} RetryCase;

static const RetryCase retry_cases[] = {
  { "unmarked", NULL, 502, 1 },
  { "marked-false", "false", 502, 1 },
  { "marked-true", "true", 502, 3 },
};

/* A direct request is retried only if marked as idempotent, and a few times at most. */
static void
test_retry (gconstpointer data)
{
  const RetryCase *c = data;
  HarnessInit init = { .entries = 1, .backends = 1 };
  Harness *harness = harness_new (&init);
  const char *entry = harness_entry (harness, 0)->http;
  const char *headers[] = { "X-Idempotent", c->idempotent, NULL };
  Exchange *exchange;

  /* Each first attempt adds a tenth of a retry to the budget. */
  for (guint i = 0; i < 40; i++)
    exchange_free (harness_post (harness, entry, "/v1/services/exchange", "0:fill"));
  harness_fault (harness, harness_backend (harness, 0), "drop");
  exchange = harness_call_with (harness, entry, EVHTTP_REQ_POST, "/v1/services/exchange",
                                c->idempotent != NULL ? headers : NULL, "0:try");
  harness_wait_exchange (harness, exchange);
  g_assert_cmpint (exchange->status, ==, c->status);
  g_assert_cmpuint (harness_starts_of (harness, NULL), ==, 40 + c->starts);
  exchange_free (exchange);
  harness_assert_once (harness);
  harness_free (harness);
}

#define JOBS_BOUND 2
#define JOBS_SENT 6

/* Jobs beyond limits.max_jobs must be refused at once as not run: an entry that holds
 * jobs without a limit is killed when memory runs out, and all its callers lose their
 * answers. */
static void
test_jobs_bound (void)
{
  HarnessInit init = { .entries = 1, .backends = 1 };
  Harness *harness = harness_new (&init);
  const char *entry = harness_entry (harness, 0)->http;
  char *body = job_body (1, "3000", NULL);
  Exchange *sent[JOBS_SENT];
  guint refused = 0;

  exchange_free (harness_post (harness, entry, "/v1/config",
                               "{\"key\":\"limits.max_jobs\",\"value\":2}"));
  for (guint i = 0; i < JOBS_SENT; i++)
    sent[i] = harness_call (harness, entry, EVHTTP_REQ_POST, "/v1/jobs", body);
  for (guint i = 0; i < JOBS_SENT; i++)
    {
      harness_wait_exchange (harness, sent[i]);
      if (sent[i]->status != 200)
        {
          g_assert_cmpint (sent[i]->status, ==, 503);
          g_assert_cmpint (sent[i]->retry_after_s, >=, 1);
          g_assert_nonnull (strstr (sent[i]->body, "not run"));
          refused++;
        }
      exchange_free (sent[i]);
    }
  g_assert_cmpuint (refused, ==, JOBS_SENT - JOBS_BOUND);
  g_assert_cmpuint (harness_assert_once (harness), ==, JOBS_BOUND);
  g_free (body);
  harness_free (harness);
}

#define DISCONNECTS 20
/* For the test's own connections. */
#define FILES_MARGIN 2

typedef struct
{
  Harness *harness;
  guint64 files;
} DisconnectTest;

static gboolean
all_submitted (gpointer ctx)
{
  const DisconnectTest *fixture = ctx;

  return harness_counter (fixture->harness, harness_entry (fixture->harness, 0)->http,
                          "jobs_submitted")
         == DISCONNECTS;
}

static gboolean
all_released (gpointer ctx)
{
  const DisconnectTest *fixture = ctx;
  const char *entry = harness_entry (fixture->harness, 0)->http;

  return harness_counter (fixture->harness, entry, "jobs_complete") == DISCONNECTS
         && harness_counter (fixture->harness, entry, "process_open_files")
                <= fixture->files + FILES_MARGIN;
}

/* Callers that disconnect while they wait, or after half a request, must not leak
 * connections or memory: an answer must not be written to a freed connection, nor
 * retained when no client is left to read it. */
static void
test_disconnected_callers (void)
{
  static const char body[] = "{\"service\":\"exchange\",\"tasks\":[{\"payload\":"
                             "\"300:x\"}]}";
  HarnessInit init = { .entries = 1, .backends = 1, .slots = DISCONNECTS };
  DisconnectTest fixture = { harness_new (&init) };
  const char *entry = harness_entry (fixture.harness, 0)->http;
  char *request = g_strdup_printf ("POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
                                   "Content-Length: %zu\r\n\r\n%s",
                                   strlen (body), body);

  fixture.files = harness_counter (fixture.harness, entry, "process_open_files");
  for (guint i = 0; i < DISCONNECTS; i++)
    {
      harness_send_raw (fixture.harness, entry, request, strlen (request));
      harness_send_raw (fixture.harness, entry, request, strlen (request) / 2);
    }
  harness_wait (fixture.harness, all_submitted, &fixture, "the jobs to be submitted");
  g_ptr_array_set_size (fixture.harness->raw, 0);
  harness_wait (fixture.harness, all_released, &fixture,
                "the jobs to end and the connections to be closed");
  g_assert_cmpuint (harness_assert_once (fixture.harness), ==, DISCONNECTS);
  g_free (request);
  harness_free (fixture.harness);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/answers/many-callers", test_many_callers);
  g_test_add_func ("/answers/big", test_big_answers);
  g_test_add_func ("/answers/one-of-many-fails", test_one_of_many_fails);
  g_test_add_func ("/answers/overload-refused-at-once", test_overload_refused_at_once);
  g_test_add_func ("/answers/impossible-size", test_impossible_size);
  g_test_add_func ("/answers/call-too-long", test_call_too_long);
  g_test_add_func ("/answers/dropped-connection", test_dropped_connection);
  g_test_add_func ("/answers/hostile-bytes", test_hostile_bytes);
  g_test_add_func ("/answers/jobs-bound", test_jobs_bound);
  g_test_add_func ("/answers/vanished-callers", test_disconnected_callers);
  g_test_add_func ("/answers/dead-backend-server", test_dead_backend_server);
  ADD_CASES ("/answers/retry", retry_cases, test_retry);
  return g_test_run ();
}
