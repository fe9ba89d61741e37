#pragma once
/* HTTP answers to callers: status codes and JSON bodies. */
#include "findings.h"
#include "holder.h"

#include <event2/http.h>
#include <json-glib/json-glib.h>

typedef struct
{
  int status;
  guint retry_after_s;
  char *body;
} Answer;

/** answer_of_job - the result of an ended job, or the state of a running one. */
Answer answer_of_job (const HeldJob *job);

/** answer_refusal - a refused request: "not run". */
Answer answer_refusal (int status, const char *reason, guint retry_after_s);

/** answer_unknown - a job whose fate cannot be learned: "may have run". */
Answer answer_unknown (int status, const char *reason);

/** answer_no_response - what is known of the job cannot be read now: 503, "may have run".
 */
Answer answer_no_response (const char *reason);

/** answer_findings - a refused input, with the place of every fault. */
Answer answer_findings (int status, const Findings *findings);

void answer_clear (Answer *answer);

/** answer_send - send the answer and clear it. */
void answer_send (struct evhttp_request *request, Answer *answer);

/** json_to_text - the builder's value as text; frees the builder. */
char *json_to_text (JsonBuilder *builder);
