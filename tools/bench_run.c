#include "bench_run.h"
#include "clock.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* Load generator. */

static char *
job_json (const TraceJob *job, guint number, const char *deadline)
{
  GString *body = g_string_new ("{\"service\":\"exchange\",");

  g_string_append_printf (body, "%s\"team\":\"team-%u\",\"run_ms\":%u,\"tasks\":[",
                          deadline, number % TEAMS, job->declared_ms);
  for (guint i = 0; i < job->n_tasks; i++)
    g_string_append_printf (body, "%s{\"payload\":\"%u\"}", i > 0 ? "," : "",
                            job->run_ms[i]);
  g_string_append (body, "]}");
  return g_string_free (body, FALSE);
}

static Process *
pick_entry (Run *run, guint number)
{
  for (guint i = 0; i < ENTRIES; i++)
    {
      Process *entry = harness_entry (run->harness, (number + i) % ENTRIES);

      if (entry->pid > 0)
        return entry;
    }
  g_assert_not_reached ();
}

static void
submit_due (Run *run)
{
  while (run->next < run->jobs->len)
    {
      const TraceJob *job = g_ptr_array_index (run->jobs, run->next);
      char *body;

      if ((clock_now_us () - run->start_us) / 1000.0 < job->arrival_ms)
        return;
      body = job_json (job, run->next, run->deadline);
      run->exchanges[run->next]
          = harness_call (run->harness, pick_entry (run, run->next)->http,
                          EVHTTP_REQ_POST, "/v1/jobs", body);
      g_free (body);
      run->next++;
    }
}

static gboolean
all_done (const Run *run)
{
  if (run->next < run->jobs->len)
    return FALSE;
  for (guint i = 0; i < run->jobs->len; i++)
    if (!run->exchanges[i]->done)
      return FALSE;
  return TRUE;
}

void
run_drive (Run *run)
{
  gboolean injected = FALSE;

  run->start_us = clock_now_us ();
  while (!all_done (run))
    {
      submit_due (run);
      if (!injected && (clock_now_us () - run->start_us) / 1000.0 > run->duration_ms / 3)
        {
          injected = TRUE;
          if (run->inject_fault != NULL)
            run->inject_fault (run);
        }
      harness_run_ms (run->harness, 1);
    }
}

static int
compare_doubles (gconstpointer a, gconstpointer b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}

static double
response_ms (const Exchange *exchange)
{
  return (exchange->answered_us - exchange->called_us) / 1000.0;
}

/* Goodput counts while the load lasts, without the first quarter, in which the queues
 * build up. */
static double
work_in_window (const Run *run, const TraceJob *job, const Exchange *exchange)
{
  double answered_ms = (exchange->answered_us - run->start_us) / 1000.0;
  double work_ms = 0;

  if (answered_ms < run->duration_ms / 4 || answered_ms > run->duration_ms)
    return 0;
  for (guint i = 0; i < job->n_tasks; i++)
    work_ms += job->run_ms[i];
  return work_ms;
}

double
run_window_ms (const Run *run)
{
  return run->duration_ms * 3 / 4;
}

gboolean
run_refused (const Run *run, guint job)
{
  const Exchange *exchange = run->exchanges[job];

  return exchange->end == HTTP_ANSWERED && exchange->status == 503
         && strstr (exchange->body, "\"ran\":\"not run\"") != NULL;
}

static void
count_complete (Run *run, guint number, Outcomes *outcomes)
{
  TraceJob *job = g_ptr_array_index (run->jobs, number);
  const Exchange *exchange = run->exchanges[number];
  double work_ms = work_in_window (run, job, exchange);

  outcomes->complete++;
  outcomes->tasks_complete += job->n_tasks;
  outcomes->work_ms += work_ms;
  outcomes->team_work_ms[number % TEAMS] += work_ms;
  job->response_ms = response_ms (exchange);
}

static void
classify_one (Run *run, guint number, Outcomes *outcomes, GArray *refusals)
{
  TraceJob *job = g_ptr_array_index (run->jobs, number);
  const Exchange *exchange = run->exchanges[number];
  double waited_ms = response_ms (exchange);

  job->response_ms = -1;
  if (exchange->end != HTTP_ANSWERED)
    outcomes->connection_lost++;
  else if (exchange->status == 200)
    count_complete (run, number, outcomes);
  else if (strstr (exchange->body, "\"ran\":\"not run\"") == NULL)
    outcomes->may_have_run++;
  else
    outcomes->not_run++;
  if (run_refused (run, number))
    g_array_append_val (refusals, waited_ms);
}

Outcomes
run_classify (Run *run)
{
  Outcomes outcomes = { 0 };
  GArray *refusals = g_array_new (FALSE, FALSE, sizeof (double));

  for (guint i = 0; i < run->jobs->len; i++)
    classify_one (run, i, &outcomes, refusals);
  g_array_sort (refusals, compare_doubles);
  outcomes.refused = refusals->len;
  if (refusals->len > 0)
    outcomes.refusal_p99_ms
        = g_array_index (refusals, double, (guint)(0.99 * (refusals->len - 1)));
  g_array_unref (refusals);
  return outcomes;
}

static gboolean
weights_applied (gpointer ctx)
{
  Run *run = ctx;

  for (guint i = 0; i < ENTRIES; i++)
    {
      Exchange *exchange = harness_get (
          run->harness, harness_entry (run->harness, i)->http, "/v1/config");
      gboolean all = strstr (exchange->body, "team.team-3.weight") != NULL;

      exchange_free (exchange);
      if (!all)
        return FALSE;
    }
  return TRUE;
}

void
run_set_weights (Run *run)
{
  for (guint i = 0; i < TEAMS; i++)
    {
      char *body
          = g_strdup_printf ("{\"key\":\"team.team-%u.weight\",\"value\":%u}", i, i + 1);
      Exchange *exchange = harness_post (
          run->harness, harness_entry (run->harness, 0)->http, "/v1/config", body);

      g_assert_cmpint (exchange->status, ==, 200);
      exchange_free (exchange);
      g_free (body);
    }
  harness_wait (run->harness, weights_applied, run, "the weights to be in force");
}

/* Faults. */

void
inject_fail_all (void *ctx)
{
  Run *run = ctx;

  harness_fault (run->harness, harness_backend (run->harness, 0), "fail");
}

void
inject_straggler (void *ctx)
{
  Run *run = ctx;

  harness_fault (run->harness, harness_backend (run->harness, 0), "slow");
}

void
inject_store_hang (void *ctx)
{
  Run *run = ctx;

  harness_fault (run->harness, run->harness->platform, "hang");
}

void
inject_zone_kill (void *ctx)
{
  Run *run = ctx;

  process_kill (run->harness, harness_entry (run->harness, 0));
  for (guint i = 0; i < SERVERS; i += 3)
    process_kill (run->harness, harness_agent (run->harness, i));
}

void
inject_cancels (void *ctx)
{
  Run *run = ctx;

  for (guint e = 0; e < ENTRIES; e++)
    {
      Process *entry = harness_entry (run->harness, e);
      Exchange *rows = harness_get (run->harness, entry->http, "/v1/rows/jobs");
      JsonNode *root = json_from_string (rows->body, NULL);
      JsonArray *array = json_node_get_array (root);

      for (guint i = 0; i < json_array_get_length (array); i++)
        {
          JsonObject *row = json_array_get_object_element (array, i);
          char *path;

          if (strcmp (json_object_get_string_member (row, "state"), "running") != 0
              || i % 2 != 0)
            continue;
          path = g_strdup_printf ("/v1/jobs/%s",
                                  json_object_get_string_member (row, "job"));
          harness_call (run->harness, entry->http, EVHTTP_REQ_DELETE, path, NULL);
          g_free (path);
        }
      json_node_unref (root);
      exchange_free (rows);
    }
}
