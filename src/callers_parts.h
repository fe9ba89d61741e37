#pragma once
/* Internals shared by callers.c (requests and answers) and callers_keys.c (repeated keys,
 * jobs held by other entries). */
#include "answers.h"
#include "callers.h"
#include "http_watch.h"
#include "submission.h"

#define JOBS_PATH "/v1/jobs"
/* Marks a request forwarded by another entry: it is not forwarded again, so no loops. */
#define FORWARDED_HEADER "X-Godwitspar-Passed"

/* An open request. */
typedef struct Caller
{
  LIST_ENTRY (Caller) link_entry;
  Callers *callers;
  struct evhttp_request *request; /* NULL once the client has disconnected */
  HttpWatch *watch;               /* of the request's connection */
  JobKey key;
  gboolean reserved; /* key is reserved, its job not submitted yet */
  Submission *submission;
  gboolean direct;          /* once complete, the response is the backend server's own */
  gboolean wait;            /* respond when the job has ended */
  gboolean forwarding;      /* waiting for another entry's answer */
  gboolean tried_take_over; /* of the key claim */
  JobKey job_with_key;      /* the job that has the caller's key */
} Caller;

struct Callers
{
  CallersInit init;
  gboolean stopping;
  guint open;
  LIST_HEAD (, Caller) list;
  GHashTable *pools; /* HTTP address of an entry -> HttpPool */
};

/* callers.c */
void callers_finish (Caller *caller, Answer *answer);
void callers_refuse (Caller *caller, int status, const char *reason, guint retry_after_s);
void callers_send_state (Caller *caller, const HeldJob *job);
void callers_submit (Caller *caller);

/* callers_keys.c */
void callers_forward (Caller *caller,
                      const Member *member,
                      const JobKey *key,
                      const char *query,
                      enum evhttp_cmd_type method);
const Member *callers_find_member (Callers *callers, guint64 incarnation);

/** callers_holder_is_silent - whether an entry without a link is not proved dead. */
gboolean callers_holder_is_silent (Callers *callers, guint64 incarnation);

/* Callbacks used by both files. */
void callers_on_job_done (const HeldJob *job, gpointer ctx);
void callers_on_key_claimed (ClaimResult result, const JobKey *other, gpointer ctx);
