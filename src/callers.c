#define LOG_MODULE "callers"
#include "answers.h"
#include "callers_parts.h"
#include "counters.h"
#include "http.h"
#include "http_clients.h"
#include "names.h"
#include "submission.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <string.h>
#include <sys/queue.h>

#define SERVICES_PATH "/v1/services/"
/* An idle connection is closed, but not while its client waits for an answer: the open
 * timeout is longer than any job's deadline. */
#define OPEN_TIMEOUT_S 7200
#define IDLE_TIMEOUT_S 60

Callers *
callers_new (const CallersInit *init)
{
  Callers *callers = g_new0 (Callers, 1);

  callers->init = *init;
  callers->pools = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                          (GDestroyNotify)http_pool_free);
  LIST_INIT (&callers->list);
  return callers;
}

static void
caller_free (Caller *caller)
{
  LIST_REMOVE (caller, link_entry);
  caller->callers->open--;
  submission_free (caller->submission);
  http_watch_free (caller->watch);
  g_free (caller);
}

void
callers_free (Callers *callers)
{
  Caller *caller;

  if (callers == NULL)
    return;
  g_hash_table_unref (callers->pools);
  while ((caller = LIST_FIRST (&callers->list)) != NULL)
    caller_free (caller);
  g_free (callers);
}

void
callers_stop_accepting (Callers *callers)
{
  callers->stopping = TRUE;
}

guint
callers_open (const Callers *callers)
{
  return callers->open;
}

/* The client disconnected before it was answered. A job goes on, since its answer can be
 * fetched later; a direct request is cancelled, since its answer cannot. */
static void
on_client_closed (struct evhttp_connection *connection, void *ctx)
{
  Caller *caller = ctx;
  Holder *holder = caller->callers->init.holder;
  HeldJob *job;

  caller->request = NULL;
  g_clear_pointer (&caller->watch, http_watch_free);
  if (caller->reserved || caller->forwarding)
    return; /* freed when the pending call ends */
  job = holder_lookup (holder, &caller->key);
  if (job != NULL)
    holder_remove_waiter (job, caller);
  if (job != NULL && caller->direct)
    holder_cancel (holder, job);
  caller_free (caller);
}

static Caller *
caller_new (Callers *callers, struct evhttp_request *request)
{
  Caller *caller = g_new0 (Caller, 1);
  struct evhttp_connection *connection = evhttp_request_get_connection (request);

  caller->callers = callers;
  caller->request = request;
  callers->open++;
  LIST_INSERT_HEAD (&callers->list, caller, link_entry);
  evhttp_connection_set_timeout (connection, OPEN_TIMEOUT_S);
  http_client_on_closed (connection, on_client_closed, caller);
  caller->watch = http_watch_new (request, NULL, NULL);
  return caller;
}

static void
restore_connection (Caller *caller)
{
  struct evhttp_connection *connection;

  if (caller->request == NULL)
    return;
  g_clear_pointer (&caller->watch, http_watch_free);
  connection = evhttp_request_get_connection (caller->request);
  http_client_on_closed (connection, NULL, NULL);
  evhttp_connection_set_timeout (connection, IDLE_TIMEOUT_S);
}

/* Answers the request if its client is still connected, and frees it. */
void
callers_finish (Caller *caller, Answer *answer)
{
  restore_connection (caller);
  if (caller->request != NULL)
    answer_send (caller->request, answer);
  answer_clear (answer);
  if (caller->reserved)
    holder_abandon (caller->callers->init.holder, &caller->key);
  caller_free (caller);
}

void
callers_refuse (Caller *caller, int status, const char *reason, guint retry_after_s)
{
  Answer answer = answer_refusal (status, reason, retry_after_s);

  callers_finish (caller, &answer);
}

static void
finish_direct (Caller *caller, const HeldJob *job)
{
  const HeldTask *task = g_ptr_array_index (job->tasks, job->tasks->len - 1);

  restore_connection (caller);
  if (caller->request != NULL)
    http_reply (caller->request, (int)task->outcome->status, "application/octet-stream",
                task->outcome->body.data, task->outcome->body.len, 0);
  caller_free (caller);
}

void
callers_on_job_done (const HeldJob *job, gpointer ctx)
{
  Caller *caller = ctx;
  Answer answer;

  if (caller->direct && job->state == JOB_COMPLETE)
    {
      finish_direct (caller, job);
      return;
    }
  answer = answer_of_job (job);
  callers_finish (caller, &answer);
}

void
callers_send_state (Caller *caller, const HeldJob *job)
{
  Answer answer = answer_of_job (job);

  callers_finish (caller, &answer);
}

/* Return: why new work is refused now, or NULL. */
static const char *
refusal_reason (Callers *callers)
{
  const Config *config = callers->init.config;

  if (callers->stopping)
    return "this entry is leaving";
  if (!config_known (config))
    return "no configuration is known yet";
  if (!config_confirmed (config))
    {
      counter_add (COUNTER_CONFIG_UNCONFIRMED, 1);
      return "the configuration cannot be confirmed";
    }
  if (holder_open_jobs (callers->init.holder) >= config_fleet (config)->max_jobs)
    return "this entry holds as many jobs as it may";
  if (http_clients_are_full ())
    return "too many requests are open";
  return NULL;
}

static void
check_services (Callers *callers, const Submission *submission, Findings *findings)
{
  for (guint i = 0; i < submission->specs->len; i++)
    {
      const TaskSpec *spec = g_ptr_array_index (submission->specs, i);
      char *place;

      if (holder_has_service (callers->init.holder, spec->service)
          || fleet_has_service (config_fleet (callers->init.config), spec->service))
        continue;
      place = g_strdup_printf ("tasks[%u].service", i);
      findings_add (findings, place, "unknown service '%s'", spec->service);
      g_free (place);
    }
}

void
callers_submit (Caller *caller)
{
  Callers *callers = caller->callers;
  Submission *submission = caller->submission;
  JobInit init = { .key = caller->key,
                   .team = submission->team,
                   .client_key = submission->client_key,
                   .direct = caller->direct,
                   .idempotent = submission->idempotent,
                   .deadline_ms = submission->deadline_ms,
                   .specs = g_steal_pointer (&submission->specs) };
  HeldJob *job;

  caller->reserved = FALSE;
  job = holder_submit (callers->init.holder, &init);
  if (caller->wait)
    holder_wait (job, callers_on_job_done, caller);
  else
    callers_send_state (caller, job);
}

static void
refuse_findings (Caller *caller, int status, const Findings *findings)
{
  Answer answer = answer_findings (status, findings);

  counter_add (COUNTER_JOBS_REFUSED_INPUT, 1);
  callers_finish (caller, &answer);
}

/* All checks that may refuse the submission come before its key is claimed. */
static void
admit (Caller *caller)
{
  Callers *callers = caller->callers;
  const char *reason = refusal_reason (callers);
  Findings *findings;
  guint room_s;

  if (reason != NULL)
    {
      callers_refuse (caller, 503, reason, 1);
      return;
    }
  findings = findings_new ();
  check_services (callers, caller->submission, findings);
  if (findings_count (findings) > 0)
    {
      refuse_findings (caller, 422, findings);
      findings_free (findings);
      return;
    }
  findings_free (findings);
  room_s = holder_room_s (callers->init.holder, caller->submission->specs);
  if (room_s > 0)
    {
      counter_add (COUNTER_JOBS_OVER_MEMORY, 1);
      callers_refuse (caller, 503, "open jobs hold too much memory", room_s);
      return;
    }
  caller->key = holder_reserve (callers->init.holder);
  if (caller->submission->client_key == NULL)
    {
      callers_submit (caller);
      return;
    }
  caller->reserved = TRUE;
  claims_take (callers->init.claims, caller->submission->team,
               caller->submission->client_key, &caller->key, NULL, callers_on_key_claimed,
               caller);
}

static gboolean
query_wait (struct evhttp_request *request, gboolean fallback)
{
  char *value = http_query_value (request, "wait");
  gboolean wait = value == NULL ? fallback : strcmp (value, "0") != 0;

  g_free (value);
  return wait;
}

/* Valid requests that no worker can hold are answered 422, all other faults 400. */
static gboolean
only_size_faults (const Findings *findings)
{
  for (guint i = 0; i < findings_count (findings); i++)
    if (strstr (findings_get (findings, i)->message, "no worker can hold") == NULL)
      return FALSE;
  return TRUE;
}

static gboolean
refuse_too_large (Callers *callers, struct evhttp_request *request)
{
  gsize size = evbuffer_get_length (evhttp_request_get_input_buffer (request));
  Answer answer;

  if (size <= (gsize)config_fleet (callers->init.config)->max_body_kb * 1024)
    return FALSE;
  counter_add (COUNTER_JOBS_REFUSED_INPUT, 1);
  answer = answer_refusal (413, "the body is larger than limits.max_body_kb allows", 0);
  answer_send (request, &answer);
  return TRUE;
}

static void
serve_submit (Callers *callers, struct evhttp_request *request)
{
  Caller *caller = caller_new (callers, request);
  Findings *findings = findings_new ();
  gsize size;
  char *body = http_request_body (request, &size);

  caller->wait = query_wait (request, TRUE);
  caller->submission
      = submission_parse (body, size, config_fleet (callers->init.config), findings);
  if (caller->submission == NULL)
    refuse_findings (caller, only_size_faults (findings) ? 422 : 400, findings);
  else
    admit (caller);
  findings_free (findings);
  g_free (body);
}

static const char *
header (struct evhttp_request *request, const char *name)
{
  return evhttp_find_header (evhttp_request_get_input_headers (request), name);
}

static void
read_direct_headers (Submission *submission,
                     struct evhttp_request *request,
                     Findings *findings)
{
  const char *team = header (request, "X-Team");
  const char *key = header (request, "Idempotency-Key");
  const char *deadline = header (request, "X-Deadline-Ms");
  const char *idempotent = header (request, "X-Idempotent");
  guint64 number = 0;

  submission->team = g_strdup (team != NULL ? team : "default");
  submission->client_key = g_strdup (key);
  submission->idempotent = idempotent != NULL && strcmp (idempotent, "true") == 0;
  if (!name_is_valid (submission->team))
    findings_add (findings, "X-Team", "expected a team's name");
  if (key != NULL && (strchr (key, '/') != NULL || strlen (key) > 128 || key[0] == '\0'))
    findings_add (findings, "Idempotency-Key",
                  "expected 1 to 128 characters without '/'");
  if (idempotent != NULL && !submission->idempotent && strcmp (idempotent, "false") != 0)
    findings_add (findings, "X-Idempotent", "expected true or false");
  if (deadline != NULL
      && !g_ascii_string_to_unsigned (deadline, 10, 1, 3600000, &number, NULL))
    findings_add (findings, "X-Deadline-Ms", "expected a number from 1 to 3600000");
  submission->deadline_ms = (guint)number;
}

static void
serve_direct (Callers *callers, struct evhttp_request *request, const char *service)
{
  Caller *caller = caller_new (callers, request);
  Submission *submission = g_new0 (Submission, 1);
  Findings *findings = findings_new ();
  TaskSpec *spec = g_new0 (TaskSpec, 1);
  gsize size;
  char *body = http_request_body (request, &size);

  caller->direct = TRUE;
  caller->wait = TRUE;
  caller->submission = submission;
  submission->specs = task_specs_new ();
  spec->service = g_strdup (service);
  spec->payload = g_bytes_new_take (body, size);
  g_ptr_array_add (submission->specs, spec);
  read_direct_headers (submission, request, findings);
  if (submission->deadline_ms == 0)
    submission->deadline_ms
        = fleet_service (config_fleet (callers->init.config), service)->deadline_ms;
  if (!name_is_valid (service))
    findings_add (findings, "path", "expected a service's name");
  if (findings_count (findings) > 0)
    refuse_findings (caller, 400, findings);
  else
    admit (caller);
  findings_free (findings);
}

static void
serve_own_job (Caller *caller, HeldJob *job)
{
  if (evhttp_request_get_command (caller->request) == EVHTTP_REQ_DELETE)
    holder_cancel (caller->callers->init.holder, job);
  if (caller->wait || job->state == JOB_ENDING)
    holder_wait (job, callers_on_job_done, caller);
  else
    callers_send_state (caller, job);
}

static void
serve_job (Callers *callers, struct evhttp_request *request, const char *id)
{
  Caller *caller = caller_new (callers, request);
  const Member *member;
  HeldJob *job;
  Answer answer;

  caller->wait = query_wait (request, FALSE);
  if (!job_key_parse (id, &caller->key))
    {
      callers_refuse (caller, 400, "the path names no job id", 0);
      return;
    }
  job = holder_lookup (callers->init.holder, &caller->key);
  if (job != NULL)
    {
      serve_own_job (caller, job);
      return;
    }
  if (holder_abandoned (callers->init.holder, &caller->key))
    {
      callers_refuse (caller, 410, "the job was refused", 0);
      return;
    }
  member = caller->key.holder == callers->init.incarnation
               ? NULL
               : callers_find_member (callers, caller->key.holder);
  if (member != NULL && header (request, FORWARDED_HEADER) == NULL)
    {
      callers_forward (caller, member, &caller->key, caller->wait ? "?wait=1" : "",
                       evhttp_request_get_command (request));
      return;
    }
  answer = callers_holder_is_silent (callers, caller->key.holder)
               ? answer_no_response ("the entry that holds the job does not respond")
               : answer_unknown (404, "no entry holds this job");
  callers_finish (caller, &answer);
}

static void
refuse_method (struct evhttp_request *request)
{
  Answer answer = answer_refusal (405, "this path does not take the method", 0);

  answer_send (request, &answer);
}

gboolean
callers_serve (Callers *callers, struct evhttp_request *request)
{
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));
  enum evhttp_cmd_type method = evhttp_request_get_command (request);

  if (strcmp (path, JOBS_PATH) == 0)
    {
      if (method != EVHTTP_REQ_POST)
        refuse_method (request);
      else if (!refuse_too_large (callers, request))
        serve_submit (callers, request);
      return TRUE;
    }
  if (g_str_has_prefix (path, JOBS_PATH "/"))
    {
      if (method == EVHTTP_REQ_GET || method == EVHTTP_REQ_DELETE)
        serve_job (callers, request, path + strlen (JOBS_PATH "/"));
      else
        refuse_method (request);
      return TRUE;
    }
  if (g_str_has_prefix (path, SERVICES_PATH))
    {
      if (method != EVHTTP_REQ_POST)
        refuse_method (request);
      else if (!refuse_too_large (callers, request))
        serve_direct (callers, request, path + strlen (SERVICES_PATH));
      return TRUE;
    }
  return FALSE;
}
