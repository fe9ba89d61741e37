#pragma once
/* Parses and validates the JSON of a submitted job. */
#include "findings.h"
#include "fleet.h"
#include "holder.h"

typedef struct
{
  char *team;
  char *client_key;
  guint deadline_ms;
  gboolean idempotent;
  GPtrArray *specs;
} Submission;

/**
 * submission_parse - parse the body of a POST to /v1/jobs.
 * @findings: gets every fault with its place, such as "tasks[3].payload".
 * Return: NULL if there was any fault.
 */
Submission *
submission_parse (const char *body, gsize size, const Fleet *fleet, Findings *findings);
void submission_free (Submission *submission);
