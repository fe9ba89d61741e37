/* Randomized soak test of the platform's daemons: real processes, callers on open
 * connections, and overlapping faults injected from outside. Checks the answers of
 * callers and the runs at backend servers against the service's guarantees.
 *
 * Without options the regression seeds run. Manual use: --seed=N, --seeds=N, --seconds=N,
 * --entries=N, --servers=N. */
#include "clock.h"
#include "soak_parts.h"

#include <stdlib.h>
#include <string.h>

#define DEFAULT_SECONDS 6
#define STEP_MS 10
#define MEAN_JOB_INTERVAL_MS 40
#define MAX_TASKS 8
#define MAX_RUN_MS 400
#define CRASHING_SHARE 0.01
#define RESET_SHARE 0.1
#define MAX_TRIES 3
#define MEAN_FAULT_INTERVAL_MS 250
/* The operator's time limit for applying a confirmed version when no fault is active. */
#define MAX_APPLY_MS 2000
/* A request that meets the closing of an idle connection ends sooner than this. */
#define MAX_CLOSING_MS 200
/* A job may be answered as failed once so many servers crashed under one of its tasks. */
#define MIN_CRASHES 2
#define ADDED_PREFIX "/more/0/"
/* At least this share of the jobs must complete despite the faults. */
#define MIN_COMPLETED_SHARE 0.1

static int option_seed = -1;
static int option_seeds = 1;
static int option_seconds = DEFAULT_SECONDS;
static int option_entries = 3;
static int option_servers = 4;

/* Two default seeds, and each seed that ever failed, with its cause. */
static const guint32 regression_seeds[] = { 1, 2 };

typedef struct
{
  guint number;
  guint tasks;
  char *body;
  guint tries;
  guint n_not_run;    /* tries that were refused as not run, or not sent */
  guint entry;        /* of the last try */
  Exchange *exchange; /* in progress, or NULL */
  gint64 resend_ms;   /* time of the next try; 0: none */
  int status;         /* of the last try */
  gboolean completed;
  gboolean crashes;   /* its first task crashes each backend server that starts it */
  ResetCaller caller; /* of a first try whose connection is reset */
} Request;

/* Callers. */

static void
send_and_reset (Soak *soak, Request *request)
{
  if (soak_send_and_reset (soak, request->entry, request->number, request->body,
                           &request->caller))
    return;
  request->n_not_run++;
  request->resend_ms = clock_now_ms () + PLATFORM_RESEND_MS;
}

static void
update_reset_caller (Request *request)
{
  if (request->caller.fd < 0 || clock_now_ms () < request->caller.reset_ms)
    return;
  soak_reset (&request->caller);
  request->resend_ms = clock_now_ms () + PLATFORM_RESEND_MS;
}

static void
send_request (Soak *soak, Request *request)
{
  guint entry = (guint)g_rand_int_range (soak->random, 0, (gint32)soak->scene.n_entries);

  if (process_has_exited (soak->scene.entries[entry]))
    {
      request->resend_ms = clock_now_ms () + PLATFORM_RESEND_MS;
      return;
    }
  request->resend_ms = 0;
  request->tries++;
  request->entry = entry;
  if (request->tries == 1 && g_rand_double (soak->resets) < RESET_SHARE)
    send_and_reset (soak, request);
  else
    request->exchange
        = platform_call (&soak->scene, entry, request->number, request->body);
}

static void
new_request (Soak *soak)
{
  Request *request = g_new0 (Request, 1);
  char *spec;

  request->caller.fd = -1;
  request->crashes = g_rand_double (soak->random) < CRASHING_SHARE;
  spec = g_strdup_printf ("%s%d", request->crashes ? "crash:" : "",
                          g_rand_int_range (soak->random, 5, MAX_RUN_MS));
  request->number = ++soak->scene.jobs;
  request->tasks = (guint)g_rand_int_range (soak->random, 1, MAX_TASKS + 1);
  request->body = platform_job (spec, request->tasks);
  g_ptr_array_add (soak->requests, request);
  send_request (soak, request);
  g_free (spec);
}

static void
note_cut (Soak *soak, const Request *request, const Exchange *exchange)
{
  Cut cut = { .number = request->number,
              .entry = request->entry,
              .sent_ms = exchange->called_us / 1000,
              .ended_ms = exchange->answered_us / 1000 };

  if (exchange->end == HTTP_BROKEN && soak->disturbed_ms[cut.entry] < cut.sent_ms)
    g_array_append_val (soak->cuts, cut);
}

/* With no answer, or one that does not resolve the job, the caller resends elsewhere. */
static void
handle_answer (Soak *soak, Request *request)
{
  Exchange *exchange = g_steal_pointer (&request->exchange);
  gboolean answered = exchange->end == HTTP_ANSWERED;

  request->status = answered ? exchange->status : 0;
  request->n_not_run += exchange->end == HTTP_NOT_SENT;
  note_cut (soak, request, exchange);
  if (request->status == 200)
    {
      request->completed = strstr (exchange->body, "completed") != NULL;
      g_assert_true (request->completed || strstr (exchange->body, "failed") != NULL);
    }
  else if (request->status == 503 || request->status == 429)
    {
      request->n_not_run++;
      g_assert_cmpint (exchange->retry_after_s, >=, 0);
    }
  else if (request->tries < MAX_TRIES)
    {
      request->resend_ms = clock_now_ms () + PLATFORM_RESEND_MS;
    }
  exchange_free (exchange);
}

/* Return: whether any request is unanswered. */
static gboolean
update_requests (Soak *soak)
{
  gboolean pending = !soak_update_late_callers (soak);

  for (guint i = 0; i < soak->requests->len; i++)
    {
      Request *request = g_ptr_array_index (soak->requests, i);

      if (request->exchange != NULL && request->exchange->done)
        handle_answer (soak, request);
      update_reset_caller (request);
      if (request->resend_ms > 0 && clock_now_ms () >= request->resend_ms)
        send_request (soak, request);
      pending |= request->exchange != NULL || request->resend_ms > 0
                 || request->caller.fd >= 0;
    }
  return pending;
}

static gboolean
all_are_answered (gpointer ctx)
{
  return !update_requests (ctx);
}

/* Checks. */

static void
count_start (Soak *soak, const char *job, gint64 at_ms)
{
  guint64 number = g_ascii_strtoull (job, NULL, 16);

  for (guint i = 0; i < soak->cuts->len; i++)
    {
      Cut *cut = &g_array_index (soak->cuts, Cut, i);

      cut->starts += cut->number == number && at_ms >= cut->sent_ms
                     && at_ms < cut->ended_ms + PLATFORM_RESEND_MS;
    }
}

static guint
crashes_under (const Soak *soak, const char *task)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (soak->crashed, task));
}

static void
note_run_event (gboolean starts,
                const char *task,
                const char *outcome,
                gint64 at_ms,
                gpointer ctx)
{
  Soak *soak = ctx;
  char *job = g_strndup (task, strcspn (task, "."));

  if (starts)
    count_start (soak, job, at_ms);
  if (starts)
    g_hash_table_add (soak->starts, job);
  else
    g_free (job);
  if (strcmp (outcome, "done") == 0)
    g_hash_table_add (soak->done, g_strdup (task));
  if (strcmp (outcome, "crashed") == 0)
    g_hash_table_replace (soak->crashed, g_strdup (task),
                          GUINT_TO_POINTER (crashes_under (soak, task) + 1));
}

/* No task of the soak fails by itself: its job may fail only as the cause of crashes. */
static void
check_failed (const Soak *soak, const Request *request, const char *job)
{
  guint most = 0;

  if (request->status != 200 || request->completed)
    return;
  for (guint i = 0; i < request->tasks; i++)
    {
      char *task = g_strdup_printf ("%s.0.0.%u", job, i);

      most = MAX (most, crashes_under (soak, task));
      g_free (task);
    }
  if (most < MIN_CRASHES)
    g_error ("job %s failed, and %u servers crashed under one of its tasks, logs in %s",
             job, most, soak->scene.harness->folder);
}

static void
check_request (Soak *soak, const Request *request)
{
  char *job = g_strdup_printf ("%016x", request->number);

  check_failed (soak, request, job);
  if (request->completed && request->crashes)
    g_error ("job %s completed, but its first task always crashes", job);
  if (request->tries > 0 && request->n_not_run == request->tries
      && g_hash_table_contains (soak->starts, job))
    g_error ("job %s was refused as not run, but ran", job);
  for (guint i = 0; request->completed && i < request->tasks; i++)
    {
      char *task = g_strdup_printf ("%s.0.0.%u", job, i);

      if (!g_hash_table_contains (soak->done, task))
        g_error ("job %s completed, but %s never ended", job, task);
      g_free (task);
    }
  g_free (job);
}

/* No server can avoid that a request meets the closing of an idle connection; all others
 * that it has received must be answered. */
static void
check_cuts (const Soak *soak)
{
  for (guint i = 0; i < soak->cuts->len; i++)
    {
      const Cut *cut = &g_array_index (soak->cuts, Cut, i);
      gint64 after_ms = cut->ended_ms - cut->sent_ms;

      if (cut->starts > 0 || after_ms > MAX_CLOSING_MS)
        g_error ("entry %u cut job %016x off after %" G_GINT64_FORMAT
                 " ms, %u tasks started, logs in %s",
                 cut->entry, cut->number, after_ms, cut->starts,
                 soak->scene.harness->folder);
    }
  g_test_message ("%u requests met the closing of a connection", soak->cuts->len);
}

static void
check_all (Soak *soak)
{
  guint completed = 0;
  guint starts = platform_check_runs (&soak->scene, note_run_event, soak);

  for (guint i = 0; i < soak->requests->len; i++)
    {
      const Request *request = g_ptr_array_index (soak->requests, i);

      check_request (soak, request);
      completed += request->completed;
    }
  check_cuts (soak);
  g_test_message ("%u of %u jobs completed, %u runs", completed, soak->requests->len,
                  starts);
  g_assert_cmpuint (completed, >, (guint)(MIN_COMPLETED_SHARE * soak->requests->len));
}

static void
request_free (gpointer data)
{
  Request *request = data;

  if (request->exchange != NULL)
    exchange_free (request->exchange);
  soak_reset (&request->caller);
  g_free (request->body);
  g_free (request);
}

static gboolean
is_ready (gpointer ctx)
{
  PlatformScene *scene = ctx;
  guint ready = 0;

  for (guint i = 0; i < scene->n_entries; i++)
    ready += platform_is_ready (scene);
  return ready == scene->n_entries;
}

static gboolean
is_new_config_applied (gpointer ctx)
{
  PlatformScene *scene = ctx;

  for (guint i = 0; i < scene->n_entries; i++)
    if (!platform_serves_at (scene, i, ADDED_PREFIX))
      return FALSE;
  return TRUE;
}

static void
check_config_applied (PlatformScene *scene)
{
  gint64 confirmed_ms;

  platform_put_routes (scene, PLATFORM_PREFIX, 1);
  confirmed_ms = clock_now_ms ();
  harness_wait (scene->harness, is_new_config_applied, scene, "the last configuration");
  g_assert_cmpint (clock_now_ms () - confirmed_ms, <=, MAX_APPLY_MS);
}

static gboolean
faults_are_over (gpointer ctx)
{
  update_requests (ctx);
  return soak_end_faults (ctx, TRUE);
}

static void
run_load (Soak *soak, guint seconds)
{
  gint64 end = clock_now_ms () + (gint64)seconds * 1000;
  gint64 job_ms = 0;
  gint64 fault_ms = 0;

  while (clock_now_ms () < end)
    {
      if (clock_now_ms () >= job_ms)
        {
          new_request (soak);
          job_ms = clock_now_ms ()
                   + g_rand_int_range (soak->random, 1, 2 * MEAN_JOB_INTERVAL_MS);
        }
      if (clock_now_ms () >= fault_ms)
        {
          soak_inject_fault (soak);
          fault_ms = clock_now_ms ()
                     + g_rand_int_range (soak->random, 1, 2 * MEAN_FAULT_INTERVAL_MS);
        }
      soak_note_closed_zone (soak);
      soak_end_faults (soak, FALSE);
      update_requests (soak);
      harness_run_ms (soak->scene.harness, STEP_MS);
    }
}

static void
soak_seed (guint32 seed, guint seconds)
{
  PlatformInit init = { .entries = (guint)option_entries,
                        .servers = (guint)option_servers,
                        .zones = SOAK_ZONES,
                        .relayed = TRUE,
                        .configured = TRUE };
  Soak soak
      = { .random = g_rand_new_with_seed (seed), .resets = g_rand_new_with_seed (seed) };

  g_test_message ("seed %u", seed);
  platform_scene_open (&soak.scene, &init);
  soak.requests = g_ptr_array_new_with_free_func (request_free);
  soak.cuts = g_array_new (FALSE, FALSE, sizeof (Cut));
  soak.starts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  soak.done = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  soak.crashed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  soak.closed_spans = g_array_new (FALSE, FALSE, sizeof (ClosedSpan));
  run_load (&soak, seconds);
  soak_note_closed_zone (&soak);
  harness_wait (soak.scene.harness, faults_are_over, &soak, "the end of all faults");
  soak_open_zone (&soak);
  check_config_applied (&soak.scene);
  harness_wait (soak.scene.harness, all_are_answered, &soak, "answers");
  harness_wait (soak.scene.harness, is_ready, &soak.scene, "all entries to be ready");
  check_all (&soak);
  soak_check_closed_zone (&soak);
  g_array_unref (soak.closed_spans);
  g_ptr_array_unref (soak.requests);
  g_array_unref (soak.cuts);
  g_clear_pointer (&soak.late, g_ptr_array_unref);
  g_hash_table_unref (soak.starts);
  g_hash_table_unref (soak.done);
  g_hash_table_unref (soak.crashed);
  platform_scene_close (&soak.scene);
  g_rand_free (soak.random);
  g_rand_free (soak.resets);
}

static void
test_regression (gconstpointer data)
{
  soak_seed (*(const guint32 *)data, DEFAULT_SECONDS);
}

static void
test_new_seeds (void)
{
  for (int i = 0; i < option_seeds; i++)
    soak_seed ((guint32)(option_seed + i), (guint)option_seconds);
}

int
main (int argc, char **argv)
{
  const GOptionEntry entries[] = {
    { "seed", 0, 0, G_OPTION_ARG_INT, &option_seed, "first seed", "N" },
    { "seeds", 0, 0, G_OPTION_ARG_INT, &option_seeds, "number of seeds", "N" },
    { "seconds", 0, 0, G_OPTION_ARG_INT, &option_seconds, "duration per seed", "N" },
    { "entries", 0, 0, G_OPTION_ARG_INT, &option_entries, "number of entries", "N" },
    { "servers", 0, 0, G_OPTION_ARG_INT, &option_servers, "number of backend servers",
      "N" },
    { NULL }
  };
  GOptionContext *context = g_option_context_new (NULL);

  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_set_ignore_unknown_options (context, TRUE);
  if (!g_option_context_parse (context, &argc, &argv, NULL)
      || option_entries > PLATFORM_MAX || option_servers > PLATFORM_MAX)
    return EXIT_FAILURE;
  g_option_context_free (context);
  g_test_init (&argc, &argv, NULL);
  if (option_seed >= 0)
    g_test_add_func ("/soak/fresh", test_new_seeds);
  for (gsize i = 0; option_seed < 0 && i < G_N_ELEMENTS (regression_seeds); i++)
    {
      char *path = g_strdup_printf ("/soak/seed-%u", regression_seeds[i]);

      g_test_add_data_func (path, &regression_seeds[i], test_regression);
      g_free (path);
    }
  return g_test_run ();
}
