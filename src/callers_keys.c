#define LOG_MODULE "callers"
/* Requests with a key used before, and for jobs held by other entries: both are answered
 * by the job's holder. */
#include "answers.h"
#include "callers_parts.h"
#include "http.h"
#include "json_text.h"
#include "submission.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <sys/queue.h>

#define FORWARD_TIMEOUT_MS 3600000
#define FORWARD_CONNECTIONS 64 /* per entry */

static HttpPool *
pool_for (Callers *callers, const char *address)
{
  HttpPool *pool = g_hash_table_lookup (callers->pools, address);

  if (pool != NULL)
    return pool;
  pool = http_pool_new (callers->init.base, address, FORWARD_CONNECTIONS);
  g_hash_table_insert (callers->pools, g_strdup (address), pool);
  return pool;
}

/* Whether the holder of the job with the same key has proof that it did not run, so that
 * this submission may run instead. */
static gboolean
says_not_run (const HttpAnswer *answer)
{
  JsonNode *root = json_text_parse (answer->body, answer->size, NULL);
  gboolean not_run = FALSE;

  if (root != NULL && JSON_NODE_HOLDS_OBJECT (root))
    not_run = g_strcmp0 (json_object_get_string_member_with_default (
                             json_node_get_object (root), "ran", ""),
                         "not run")
              == 0;
  g_clear_pointer (&root, json_node_unref);
  return not_run && answer->status != 404;
}

static void
take_over (Caller *caller)
{
  caller->tried_take_over = TRUE;
  claims_take (caller->callers->init.claims, caller->submission->team,
               caller->submission->client_key, &caller->key, &caller->job_with_key,
               callers_on_key_claimed, caller);
}

static void
forward_answer (Caller *caller, const HttpAnswer *from)
{
  Answer answer
      = { from->status, from->retry_after != NULL ? (guint)atoi (from->retry_after) : 0,
          g_strndup (from->body != NULL ? from->body : "", from->size) };

  callers_finish (caller, &answer);
}

static void
on_forwarded (const HttpAnswer *from, gpointer ctx)
{
  Caller *caller = ctx;
  Answer answer;

  caller->forwarding = FALSE;
  if (from->end != HTTP_ANSWERED || (caller->reserved && from->status == 404))
    {
      answer = answer_unknown (caller->reserved ? 409 : 502,
                               "the entry that held the job is gone");
      callers_finish (caller, &answer);
      return;
    }
  if (caller->reserved && !caller->tried_take_over && says_not_run (from))
    take_over (caller);
  else
    forward_answer (caller, from);
}

void
callers_forward (Caller *caller,
                 const Member *member,
                 const JobKey *key,
                 const char *query,
                 enum evhttp_cmd_type method)
{
  char id[JOB_TEXT_SIZE];
  char *path = g_strdup_printf (JOBS_PATH "/%s%s", job_key_format (key, id), query);
  const char *headers[] = { FORWARDED_HEADER, "1", NULL };
  HttpCall call = { .method = method,
                    .path = path,
                    .headers = headers,
                    .timeout_ms = FORWARD_TIMEOUT_MS,
                    .done = on_forwarded,
                    .ctx = caller };

  caller->forwarding = TRUE;
  http_pool_call (pool_for (caller->callers, member->http_address), &call);
  g_free (path);
}

const Member *
callers_find_member (Callers *callers, guint64 incarnation)
{
  const Member *member = members_by_incarnation (callers->init.members, incarnation);

  if (member == NULL || member->state == MEMBER_DOWN)
    return NULL;
  return member;
}

gboolean
callers_holder_is_silent (Callers *callers, guint64 incarnation)
{
  const Member *member = members_by_incarnation (callers->init.members, incarnation);

  return member != NULL && !member->proved_dead;
}

static void
join_own_job (Caller *caller)
{
  Callers *callers = caller->callers;
  HeldJob *job = holder_lookup (callers->init.holder, &caller->job_with_key);
  gboolean not_run
      = (job != NULL && job->ended_ms > 0 && !job->started && job->state != JOB_COMPLETE)
        || holder_abandoned (callers->init.holder, &caller->job_with_key);
  Answer answer;

  if (not_run && !caller->tried_take_over)
    {
      take_over (caller);
      return;
    }
  if (job != NULL)
    {
      holder_abandon (callers->init.holder, &caller->key);
      caller->reserved = FALSE;
      caller->key = caller->job_with_key;
      if (caller->wait)
        holder_wait (job, callers_on_job_done, caller);
      else
        callers_send_state (caller, job);
      return;
    }
  answer = answer_unknown (409, "a job with this key was held here and is forgotten");
  callers_finish (caller, &answer);
}

/* The key was used before: answers with that job's result instead of a second run. */
static void
join_first_job (Caller *caller)
{
  Callers *callers = caller->callers;
  const Member *member;
  Answer answer;

  if (caller->job_with_key.holder == callers->init.incarnation)
    {
      join_own_job (caller);
      return;
    }
  member = callers_find_member (callers, caller->job_with_key.holder);
  if (member != NULL)
    {
      callers_forward (caller, member, &caller->job_with_key,
                       caller->wait ? "?wait=1" : "", EVHTTP_REQ_GET);
      return;
    }
  answer
      = callers_holder_is_silent (callers, caller->job_with_key.holder)
            ? answer_no_response ("the entry that holds the job does not respond")
            : answer_unknown (409, "the entry that held the job with this key is gone");
  callers_finish (caller, &answer);
}

void
callers_on_key_claimed (ClaimResult result, const JobKey *other, gpointer ctx)
{
  Caller *caller = ctx;

  switch (result)
    {
    case CLAIM_TAKEN:
      callers_submit (caller);
      break;
    case CLAIM_REPEATED:
      caller->job_with_key = *other;
      join_first_job (caller);
      break;
    case CLAIM_UNREACHABLE:
      callers_refuse (caller, 503,
                      "the key cannot be claimed while the table is out of reach", 2);
      break;
    }
}
