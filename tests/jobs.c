#include "jobs.h"

#include <json-glib/json-glib.h>
#include <string.h>

Jobs *
jobs_new (Harness *harness)
{
  Jobs *jobs = g_new0 (Jobs, 1);

  jobs->harness = harness;
  jobs->list = g_ptr_array_new ();
  return jobs;
}

void
jobs_free (Jobs *jobs)
{
  for (guint i = 0; i < jobs->list->len; i++)
    {
      SentJob *job = g_ptr_array_index (jobs->list, i);

      exchange_free (job->exchange);
      g_free (job);
    }
  g_ptr_array_unref (jobs->list);
  g_free (jobs);
}

static char *
payload_of (const SentJob *job, guint task)
{
  return g_strdup_printf ("%u:job-%u-task-%u", job->run_ms, job->number, task);
}

static char *
body_of (const SentJob *job, const char *more)
{
  GString *body = g_string_new ("{\"service\":\"exchange\",");

  g_string_append_printf (body, "%s\"tasks\":[", more != NULL ? more : "");
  for (guint i = 0; i < job->tasks; i++)
    {
      char *payload = payload_of (job, i);

      g_string_append_printf (body, "%s{\"payload\":\"%s\"}", i > 0 ? "," : "", payload);
      g_free (payload);
    }
  g_string_append (body, "]}");
  return g_string_free (body, FALSE);
}

void
jobs_submit (Jobs *jobs,
             const Process *entry,
             guint n,
             guint tasks,
             guint run_ms,
             const char *more)
{
  for (guint i = 0; i < n; i++)
    {
      SentJob *job = g_new0 (SentJob, 1);
      char *body;

      job->number = jobs->next_number++;
      job->tasks = tasks;
      job->run_ms = run_ms;
      body = body_of (job, more);
      job->exchange
          = harness_call (jobs->harness, entry->http, EVHTTP_REQ_POST, "/v1/jobs", body);
      g_ptr_array_add (jobs->list, job);
      g_free (body);
    }
}

static gboolean
all_answered (gpointer ctx)
{
  const Jobs *jobs = ctx;

  for (guint i = 0; i < jobs->list->len; i++)
    {
      const SentJob *job = g_ptr_array_index (jobs->list, i);

      if (!job->exchange->done)
        return FALSE;
    }
  return TRUE;
}

void
jobs_wait (Jobs *jobs)
{
  harness_wait (jobs->harness, all_answered, jobs, "all jobs to be answered");
}

static void
check_complete (const SentJob *job, JsonObject *object)
{
  JsonArray *answers = json_object_get_array_member (object, "answers");

  g_assert_cmpuint (json_array_get_length (answers), ==, job->tasks);
  for (guint i = 0; i < job->tasks; i++)
    {
      JsonObject *answer = json_array_get_object_element (answers, i);
      char *payload = payload_of (job, i);

      g_assert_cmpint (json_object_get_int_member (answer, "task"), ==, (int)i);
      g_assert_cmpstr (json_object_get_string_member (answer, "body"), ==, payload);
      g_free (payload);
    }
}

static guint
starts_of (GHashTable *starts, const char *id)
{
  GHashTableIter iter;
  const char *task;
  gpointer count;
  guint n = 0;

  g_hash_table_iter_init (&iter, starts);
  while (g_hash_table_iter_next (&iter, (gpointer *)&task, &count))
    if (g_str_has_prefix (task, id) && task[strlen (id)] == '/')
      n += GPOINTER_TO_UINT (count);
  return n;
}

static void
check_answered (const SentJob *job,
                GHashTable *starts,
                gboolean all_logs,
                JobCounts *counts)
{
  JsonNode *root = json_from_string (job->exchange->body, NULL);
  JsonObject *object;
  const char *state;
  const char *ran;
  const char *id;

  g_assert_nonnull (root);
  object = json_node_get_object (root);
  state = json_object_get_string_member (object, "state");
  ran = json_object_get_string_member_with_default (object, "ran", "");
  id = json_object_get_string_member_with_default (object, "job", "");
  if (strcmp (state, "complete") == 0)
    {
      counts->complete++;
      g_assert_cmpint (job->exchange->status, ==, 200);
      check_complete (job, object);
      if (all_logs)
        g_assert_cmpuint (starts_of (starts, id), ==, job->tasks);
    }
  else
    {
      g_assert_false (json_object_has_member (object, "answers"));
      g_assert_cmpint (job->exchange->status, >=, 400);
      if (strcmp (ran, "not run") == 0)
        {
          counts->not_run++;
          if (id[0] != '\0')
            g_assert_cmpuint (starts_of (starts, id), ==, 0);
          if (job->exchange->status == 503)
            g_assert_cmpint (job->exchange->retry_after_s, >=, 1);
        }
      else
        {
          g_assert_cmpstr (ran, ==, "may have run");
          counts->may_have_run++;
        }
    }
  json_node_unref (root);
}

JobCounts
jobs_check (Jobs *jobs)
{
  JobCounts counts = { 0 };
  GHashTable *starts;
  gboolean all_logs = TRUE;

  for (guint i = 0; i < jobs->harness->backends->len; i++)
    all_logs = all_logs && harness_backend (jobs->harness, i)->pid > 0;
  harness_assert_once (jobs->harness);
  starts = harness_starts (jobs->harness);
  for (guint i = 0; i < jobs->list->len; i++)
    {
      const SentJob *job = g_ptr_array_index (jobs->list, i);

      if (job->exchange->end != HTTP_ANSWERED)
        counts.broken++;
      else
        check_answered (job, starts, all_logs, &counts);
    }
  g_hash_table_unref (starts);
  g_test_message ("complete %u, not run %u, may have run %u, broken %u", counts.complete,
                  counts.not_run, counts.may_have_run, counts.broken);
  return counts;
}

typedef struct
{
  Harness *harness;
  guint n;
} StartsWait;

static gboolean
enough_starts (gpointer ctx)
{
  StartsWait *wait = ctx;

  return harness_starts_of (wait->harness, NULL) >= wait->n;
}

void
jobs_wait_starts (Harness *harness, guint n)
{
  StartsWait wait = { harness, n };

  harness_wait (harness, enough_starts, &wait, "starts");
}
