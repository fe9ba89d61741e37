#include "answers.h"
#include "http.h"

#include <string.h>

char *
json_to_text (JsonBuilder *builder)
{
  JsonNode *root = json_builder_get_root (builder);
  char *text = json_to_string (root, FALSE);

  json_node_unref (root);
  g_object_unref (builder);
  return text;
}

static void
add_string (JsonBuilder *builder, const char *name, const char *text)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, text);
}

static void
add_number (JsonBuilder *builder, const char *name, gint64 number)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_int_value (builder, number);
}

static void
add_body (JsonBuilder *builder, const ProtobufCBinaryData *body)
{
  gboolean is_utf8 = g_utf8_validate ((const char *)body->data, (gssize)body->len, NULL);
  char *text = is_utf8 ? g_strndup ((const char *)body->data, body->len)
                       : g_base64_encode (body->data, body->len);

  add_string (builder, is_utf8 ? "body" : "body_base64", text);
  g_free (text);
}

static void
add_answers (JsonBuilder *builder, const HeldJob *job)
{
  json_builder_set_member_name (builder, "answers");
  json_builder_begin_array (builder);
  for (guint i = 0; i < job->tasks->len; i++)
    {
      const HeldTask *task = g_ptr_array_index (job->tasks, i);

      json_builder_begin_object (builder);
      add_number (builder, "task", task->index);
      add_number (builder, "status", task->outcome->status);
      add_body (builder, &task->outcome->body);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
}

static void
add_failure (JsonBuilder *builder, const HeldJob *job)
{
  const HeldTask *task;

  add_string (builder, "ran", job->started ? "may have run" : "not run");
  add_string (builder, "reason", job_reason_text (job->reason));
  if (job->retry_after_s > 0)
    add_number (builder, "retry_after_s", job->retry_after_s);
  if (job->failed_index < 0)
    return;
  task = g_ptr_array_index (job->tasks, job->failed_index);
  add_number (builder, "task", job->failed_index);
  if (task->outcome != NULL && task->outcome->kind == GW__OUTCOME__KIND__ANSWERED)
    {
      add_number (builder, "status", task->outcome->status);
      add_body (builder, &task->outcome->body);
    }
}

static int
failure_status (const HeldJob *job)
{
  switch (job->reason)
    {
    case GW__OUTCOME__REASON__CANCELLED:
      return 409;
    case GW__OUTCOME__REASON__EXPIRED:
      return 504;
    case GW__OUTCOME__REASON__UNSATISFIABLE:
      return 422;
    default:
      return job->started ? 502 : 503;
    }
}

Answer
answer_of_job (const HeldJob *job)
{
  Answer answer = { 200 };
  JsonBuilder *builder = json_builder_new ();
  char id[JOB_TEXT_SIZE];

  json_builder_begin_object (builder);
  add_string (builder, "job", job_key_format (&job->key, id));
  add_string (builder, "state", job_state_name (job->state));
  switch (job->state)
    {
    case JOB_RUNNING:
    case JOB_ENDING:
      answer.status = 202;
      add_number (builder, "open", job->open);
      break;
    case JOB_COMPLETE:
      add_answers (builder, job);
      break;
    case JOB_FAILED:
    case JOB_CANCELLED:
      answer.status = failure_status (job);
      answer.retry_after_s = job->started ? 0 : job->retry_after_s;
      if (answer.status == 503 && answer.retry_after_s == 0)
        answer.retry_after_s = 1;
      add_failure (builder, job);
      break;
    }
  json_builder_end_object (builder);
  answer.body = json_to_text (builder);
  return answer;
}

static Answer
answer_failed (int status, const char *ran, const char *reason, guint retry_after_s)
{
  Answer answer = { status, retry_after_s };
  JsonBuilder *builder = json_builder_new ();

  json_builder_begin_object (builder);
  add_string (builder, "state", "failed");
  add_string (builder, "ran", ran);
  add_string (builder, "reason", reason);
  if (retry_after_s > 0)
    add_number (builder, "retry_after_s", retry_after_s);
  json_builder_end_object (builder);
  answer.body = json_to_text (builder);
  return answer;
}

Answer
answer_refusal (int status, const char *reason, guint retry_after_s)
{
  return answer_failed (status, "not run", reason, retry_after_s);
}

Answer
answer_unknown (int status, const char *reason)
{
  return answer_failed (status, "may have run", reason, 0);
}

Answer
answer_no_response (const char *reason)
{
  return answer_failed (503, "may have run", reason, 1);
}

Answer
answer_findings (int status, const Findings *findings)
{
  Answer answer = { status };
  JsonBuilder *builder = json_builder_new ();

  json_builder_begin_object (builder);
  add_string (builder, "state", "failed");
  add_string (builder, "ran", "not run");
  add_string (builder, "reason", "the request has faults");
  json_builder_set_member_name (builder, "faults");
  json_builder_begin_array (builder);
  for (guint i = 0; i < findings_count (findings); i++)
    {
      const Finding *finding = findings_get (findings, i);

      json_builder_begin_object (builder);
      add_string (builder, "place", finding->place);
      add_string (builder, "message", finding->message);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  answer.body = json_to_text (builder);
  return answer;
}

void
answer_clear (Answer *answer)
{
  g_clear_pointer (&answer->body, g_free);
}

void
answer_send (struct evhttp_request *request, Answer *answer)
{
  http_reply (request, answer->status, "application/json", answer->body,
              strlen (answer->body), answer->retry_after_s);
  answer_clear (answer);
}
