#pragma once
/* What the parts of the callers' side share. callers.c reads requests and answers them,
 * callers_keys.c deals with keys used before and with jobs held elsewhere. */
#include "answers.h"
#include "callers.h"
#include "submission.h"

#define JOBS_PATH "/v1/jobs"
/* Marks a request that another entry passed on, so that none goes in circles. */
#define FORWARDED_HEADER "X-Godwitspar-Passed"

/* One open request. */
typedef struct Caller
{
  LIST_ENTRY (Caller) link_entry;
  Callers *callers;
  struct evhttp_request *request; /* NULL once the client has gone */
  JobKey key;
  gboolean reserved; /* an id was taken, and no job made of it yet */
  Submission *submission;
  gboolean direct;
  gboolean wait;
  gboolean passed_for_key; /* asking another holder about a repeated key */
  gboolean took_over;
  JobKey other;
} Caller;

struct Callers
{
  CallersInit init;
  gboolean refusing;
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

/* Callbacks that both parts hand out. */
void callers_on_job_done (const HeldJob *job, gpointer ctx);
void callers_on_key_claimed (ClaimResult result, const JobKey *other, gpointer ctx);
