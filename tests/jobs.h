#pragma once
/* Submits many jobs with distinct payloads, and checks that each answer is complete,
 * correct and consistent with the backend servers' start logs. */
#include "harness.h"

typedef struct
{
  Harness *harness;
  GPtrArray *list; /* of SentJob */
  guint next_number;
} Jobs;

typedef struct
{
  guint number;
  guint tasks;
  guint run_ms;
  Exchange *exchange;
} SentJob;

typedef struct
{
  guint complete;
  guint not_run; /* failed or refused, proved not to have run */
  guint may_have_run;
  guint broken; /* the caller's entry crashed */
} JobCounts;

Jobs *jobs_new (Harness *harness);
void jobs_free (Jobs *jobs);

/** jobs_submit - submit @n jobs; @more: further members of the JSON body, or NULL. */
void jobs_submit (Jobs *jobs,
                  const Process *entry,
                  guint n,
                  guint tasks,
                  guint run_ms,
                  const char *more);

/** jobs_wait - wait until each job is answered or its connection is lost. */
void jobs_wait (Jobs *jobs);

/** jobs_check - check all answers; fails the test if one is wrong. */
JobCounts jobs_check (Jobs *jobs);

/** jobs_wait_starts - wait until the backend servers have logged @n starts. */
void jobs_wait_starts (Harness *harness, guint n);
